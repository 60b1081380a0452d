//! A schedule of orders: engines, leaders that are replaced without noticing, and orders that are
//! lost or delayed.

mod order_engines;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurelug_coordination::orders::{
    Action, Catalog, Event, Limits, Order, OrderResult, Orders, Settings, State, StoreLimit,
    Waiting,
};

use super::sim::{MILLI, Micros, Net, Process, Report, SECOND, SimRandom};

const ENGINES: usize = 5;
const MODELS: u64 = 5;
const ROLES: u64 = 2;
const LEASE: Duration = Duration::from_secs(1);
const SEND_DELAY: Duration = Duration::from_millis(100);
const LONGEST_ORDER: Duration = Duration::from_secs(4);
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The end of the faults; after it the engines must converge. Late copies arrive for 16 s more.
const FAULTS_END: Micros = 40 * SECOND;
const END: Micros = 100 * SECOND;

#[derive(Clone, Debug, PartialEq, Eq)]
struct TestCatalog;

impl Catalog for TestCatalog {
    type Engine = usize;
    type Model = u64;
    type Role = u64;
}

type DesiredStates = BTreeMap<usize, State<TestCatalog>>;

#[derive(Clone)]
enum Message {
    Read {
        term: u64,
        number: u64,
    },
    Order {
        term: u64,
        number: u64,
        order: Order<TestCatalog>,
    },
    State {
        term: u64,
        engine: usize,
        number: u64,
        state: State<TestCatalog>,
    },
    Ended {
        term: u64,
        engine: usize,
        number: u64,
        end: OrderResult,
    },
}

struct Engine {
    state: State<TestCatalog>,
    fencing: u64,
    checks_fencing: bool,
    down_until: Micros,
    /// Running loads: when they end, the model, and the term and number to answer.
    loads: Vec<(Micros, u64, u64, u64)>,
}

impl Engine {
    fn restart(&mut self) {
        self.state = State {
            loaded: BTreeSet::new(),
            role: 0,
        };
        self.fencing = 0;
        self.loads.clear();
    }
}

/// A leader's calls to one engine, for the checks, on that leader's clock.
#[derive(Clone, Default)]
struct EngineHistory {
    running: bool,
    last_ended: Option<Duration>,
    /// When the last answered read was started, and the state that it returned.
    last_read: Option<(Duration, State<TestCatalog>)>,
    unanswered: Option<(Order<TestCatalog>, Duration)>,
}

struct Leader {
    term: u64,
    process: Process,
    orders: Orders<TestCatalog>,
    leads_until: Duration,
    desired: DesiredStates,
    /// Calls without a result: the engine, the order (`None` for a read), and when it was sent.
    calls: BTreeMap<u64, (usize, Option<Order<TestCatalog>>, Duration)>,
    /// Issued orders, and when the process sends them.
    issued: Vec<(Micros, usize, u64, Order<TestCatalog>)>,
    history: Vec<EngineHistory>,
    tick_due: Micros,
}

fn settings() -> Settings {
    Settings {
        leader_lease: LEASE,
        send_delay: SEND_DELAY,
        read_interval: Duration::from_secs(5),
        retry: Duration::from_millis(500),
        longest_order: LONGEST_ORDER,
        store: StoreLimit::spread(3, Duration::from_secs(1)),
        limits: Limits::default(),
    }
}

/// The weight store's token bucket: at most one load, refilled at the rate in real time.
struct TokenBucket {
    level: f64,
    at: Micros,
}

struct World {
    dice: SimRandom,
    net: Net<Message>,
    leaders: Vec<Leader>,
    engines: Vec<Engine>,
    bucket: TokenBucket,
    desired: DesiredStates,
    now: Micros,
}

fn random_state(dice: &mut SimRandom) -> State<TestCatalog> {
    let count = dice.below(4);
    State {
        loaded: (0..count).map(|_| dice.below(MODELS)).collect(),
        role: dice.below(ROLES),
    }
}

fn leader_address(term: u64) -> usize {
    ENGINES + (term % 2) as usize
}

impl World {
    fn elect(&mut self, term: u64) {
        let process = Process::new(&mut self.dice, term);
        let clock = process.clock(self.now);
        let mut leader = Leader {
            term,
            process,
            orders: Orders::new(clock, term, settings()),
            leads_until: clock + LEASE,
            desired: DesiredStates::new(),
            calls: BTreeMap::new(),
            issued: Vec::new(),
            history: vec![EngineHistory::default(); ENGINES],
            tick_due: self.now,
        };
        self.configure(&mut leader);
        self.leaders.push(leader);
    }

    /// Passes the configuration in force to a leader.
    fn configure(&mut self, leader: &mut Leader) {
        for (engine, state) in self.desired.clone() {
            if leader.desired.get(&engine) != Some(&state) {
                let event = Event::Desired {
                    engine,
                    state,
                    checks_fencing: self.engines[engine].checks_fencing,
                };
                self.step(leader, event);
            }
        }
        leader.desired.clone_from(&self.desired);
    }

    fn step(&mut self, leader: &mut Leader, event: Event<TestCatalog>) {
        let clock = leader.process.clock(self.now);
        for action in leader.orders.step(event, clock, leader.leads_until) {
            match action {
                Action::Read { engine, number } => {
                    leader.calls.insert(number, (engine, None, clock));
                    let read = Message::Read {
                        term: leader.term,
                        number,
                    };
                    let from = leader_address(leader.term);
                    self.net.send(self.now, &mut self.dice, from, engine, read);
                }
                Action::Order {
                    engine,
                    number,
                    order,
                    ..
                } => {
                    let at = self.now + self.dice.below(20 * MILLI);
                    leader.issued.push((at, engine, number, order));
                }
            }
        }
    }

    /// Sends the issued orders that are due, and checks each of them.
    fn send(&mut self, leader: &mut Leader) -> Result<(), String> {
        let due = |issued: &(Micros, usize, u64, Order<TestCatalog>)| issued.0 <= self.now;
        let ready: Vec<_> = leader.issued.extract_if(.., |it| due(it)).collect();
        for (_, engine, number, order) in ready {
            let clock = leader.process.clock(self.now);
            if !leader
                .orders
                .confirm_send(engine, number, clock, leader.leads_until)
            {
                self.net.count("order dropped before sending");
                continue;
            }
            self.check(leader, engine, &order, clock).map_err(|fault| {
                format!("term {} engine {engine} {order:?}: {fault}", leader.term)
            })?;
            leader.history[engine].running = true;
            leader.history[engine].unanswered = None;
            leader
                .calls
                .insert(number, (engine, Some(order.clone()), clock));
            let term = leader.term;
            let message = Message::Order {
                term,
                number,
                order,
            };
            self.net.count("order sent");
            let from = leader_address(term);
            self.net
                .send(self.now, &mut self.dice, from, engine, message);
        }
        Ok(())
    }

    fn check(
        &mut self,
        leader: &Leader,
        engine: usize,
        order: &Order<TestCatalog>,
        clock: Duration,
    ) -> Result<(), String> {
        if clock >= leader.leads_until {
            return Err("sent after the end of the lease".to_owned());
        }
        for other in self.leaders.iter().filter(|it| it.term < leader.term) {
            if other.process.clock(self.now) < other.leads_until {
                return Err(format!("sent under the lease of term {}", other.term));
            }
        }
        if let Order::Load(_) = order {
            let rate = 3.0;
            let earned = rate * (self.now - self.bucket.at) as f64 / SECOND as f64;
            self.bucket.level = (self.bucket.level + earned).min(1.0) - 1.0;
            self.bucket.at = self.now;
            if self.bucket.level < -1e-4 {
                return Err(format!(
                    "exceeds the store's rate by {}",
                    -self.bucket.level
                ));
            }
        }
        let history = &leader.history[engine];
        if history.running {
            return Err("another order runs".to_owned());
        }
        let Some((read_started, last_read)) = &history.last_read else {
            return Err("sent without a read".to_owned());
        };
        if history
            .last_ended
            .is_some_and(|ended| *read_started < ended)
        {
            return Err("sent without a read since the last order".to_owned());
        }
        if clock > *read_started + settings().read_interval {
            return Err("sent after an outdated read".to_owned());
        }
        let desired = &leader.desired[&engine];
        if let Order::Unload(model) = order
            && (desired.loaded.contains(model) || !desired.loaded.is_subset(&last_read.loaded))
        {
            return Err("unloaded before the desired models were loaded".to_owned());
        }
        if let Some((_, sent_at)) = history.unanswered
            && !self.engines[engine].checks_fencing
            && clock < sent_at + LONGEST_ORDER
        {
            return Err("the last order may still run".to_owned());
        }
        Ok(())
    }

    fn handle_at_leader(&mut self, leader: &mut Leader, message: Message) {
        let event = match message {
            Message::State {
                engine,
                number,
                state,
                ..
            } => match leader.calls.remove(&number) {
                Some((_, None, read_started)) => {
                    let history = &mut leader.history[engine];
                    let shown = |it: &(Order<TestCatalog>, Duration)| it.0.is_done_in(&state);
                    if history.unanswered.as_ref().is_some_and(shown) {
                        history.unanswered = None;
                    }
                    history.last_read = Some((read_started, state.clone()));
                    Event::Read {
                        engine,
                        number,
                        state: Some(state),
                    }
                }
                _ => return,
            },
            Message::Ended {
                engine,
                number,
                end,
                ..
            } => {
                if leader.calls.remove(&number).is_none() {
                    return;
                }
                leader.history[engine].running = false;
                leader.history[engine].last_ended = Some(leader.process.clock(self.now));
                Event::Ended {
                    engine,
                    number,
                    end,
                }
            }
            Message::Read { .. } | Message::Order { .. } => return,
        };
        self.step(leader, event);
    }

    /// Ends calls without an answer after their timeout, as the process's client does.
    fn time_out(&mut self, leader: &mut Leader) {
        let clock = leader.process.clock(self.now);
        let is_late = |call: &(usize, Option<Order<TestCatalog>>, Duration)| {
            let limit = if call.1.is_some() {
                LONGEST_ORDER
            } else {
                READ_TIMEOUT
            };
            clock >= call.2 + limit
        };
        let late: Vec<_> = leader
            .calls
            .extract_if(.., |_, call| is_late(call) || self.dice.one_in(2_000))
            .collect();
        for (number, (engine, order, sent_at)) in late {
            let event = match order {
                None => Event::Read {
                    engine,
                    number,
                    state: None,
                },
                Some(order) => {
                    self.net.count("order unanswered");
                    let history = &mut leader.history[engine];
                    history.running = false;
                    history.last_ended = Some(clock);
                    history.unanswered = Some((order, sent_at));
                    Event::Ended {
                        engine,
                        number,
                        end: OrderResult::Unanswered,
                    }
                }
            };
            self.step(leader, event);
        }
    }

    fn run_leader(&mut self, leader: &mut Leader) -> Result<(), String> {
        if leader.process.is_frozen(self.now) {
            return Ok(());
        }
        self.send(leader)?;
        self.time_out(leader);
        if self.now >= leader.tick_due {
            leader.tick_due = self.now + 100 * MILLI;
            self.step(leader, Event::Tick);
        }
        Ok(())
    }

    fn deliver(&mut self) {
        while let Some((to, message)) = self.net.receive(self.now) {
            if to < ENGINES {
                if self.now >= self.engines[to].down_until {
                    self.handle_at_engine(to, message);
                }
                continue;
            }
            let (Message::State { term, .. } | Message::Ended { term, .. }) = message else {
                continue;
            };
            let Some(index) = self.leaders.iter().position(|it| it.term == term) else {
                continue;
            };
            let mut leader = self.leaders.remove(index);
            if leader.process.is_frozen(self.now) {
                let at = leader.process.frozen_until + self.dice.below(MILLI);
                self.net.enqueue(at, to, message);
            } else {
                self.handle_at_leader(&mut leader, message);
            }
            self.leaders.insert(index, leader);
        }
    }

    fn all_converged(&self) -> Result<(), String> {
        let newest = self.leaders.last().expect("there is a leader");
        for (id, engine) in self.engines.iter().enumerate() {
            if engine.state != self.desired[&id] {
                return Err(format!(
                    "engine {id} has the state {:?} instead of {:?}",
                    engine.state, self.desired[&id]
                ));
            }
        }
        match newest
            .orders
            .engine_statuses(newest.process.clock(self.now))
            .find(|row| !matches!(row.waiting, Waiting::Nothing | Waiting::Read))
        {
            Some(row) => Err(format!("an engine still has an order to wait for: {row:?}")),
            None => Ok(()),
        }
    }
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let mut dice = SimRandom::new(seed);
    let net = Net::new(&mut dice);
    let engines = (0..ENGINES)
        .map(|_| Engine {
            state: random_state(&mut dice),
            fencing: 0,
            checks_fencing: dice.one_in(2),
            down_until: 0,
            loads: Vec::new(),
        })
        .collect();
    let desired = (0..ENGINES)
        .map(|id| (id, random_state(&mut dice)))
        .collect();
    let mut world = World {
        dice,
        net,
        leaders: Vec::new(),
        engines,
        bucket: TokenBucket { level: 1.0, at: 0 },
        desired,
        now: 0,
    };
    world.elect(1);
    let mut report = Report::default();
    while world.now < END {
        world.now += world.dice.between(MILLI, 30 * MILLI);
        report.steps += 1;
        let is_calm = world.now > FAULTS_END;
        if is_calm && !world.net.faults_ended {
            world.net.end_faults();
            let newest = world.leaders.last_mut().expect("there is a leader");
            newest.process.frozen_until = 0;
        }
        if !is_calm {
            world.inject_faults();
        }
        world.deliver();
        world.finish_loads();
        let newest = world.leaders.last_mut().expect("there is a leader");
        if !newest.process.is_frozen(world.now) {
            newest.leads_until = newest.process.clock(world.now) + LEASE;
        }
        for index in 0..world.leaders.len() {
            let mut leader = world.leaders.remove(index);
            let result = world.run_leader(&mut leader);
            world.leaders.insert(index, leader);
            let now = world.now;
            result.map_err(|fault| format!("seed {seed}: at {now} us {fault}"))?;
        }
    }
    world
        .all_converged()
        .map_err(|fault| format!("seed {seed}: {fault}"))?;
    report.faults = world.net.faults;
    Ok(report)
}
