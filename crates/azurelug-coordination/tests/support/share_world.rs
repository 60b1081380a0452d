//! A schedule of leased shares: one grantor, several daemons, and targets whose calls are counted
//! in real time.

mod share_faults;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{
    Answer, Capacity, Grantor, Holder, Limits, Request, Slot, Timing, base_share,
};

use super::sim::{MILLI, Micros, Net, Process, Report, SECOND, SimRandom};

pub(crate) const HOLDERS: usize = 4;
const GRANTOR: usize = HOLDERS;
const TARGETS: usize = 3;
const FAULTS_END: Micros = 50 * SECOND;
/// From here on, every daemon must start calls. All calls and exposed slots of the faulty phase
/// have ended by then.
const FAIRNESS_START: Micros = FAULTS_END + 20 * SECOND;
/// If there is one leased slot, each daemon in rotation holds it for a lease, the
/// longest call and a renewal.
const END: Micros = FAIRNESS_START + HOLDERS as Micros * 15 * SECOND;

#[derive(Clone)]
enum Message {
    Request(Request),
    Answer(Answer),
}

struct Call {
    holder: usize,
    incarnation: u64,
    ends: Micros,
    /// Started before the limit was reduced, or by a daemon that could not know of it.
    is_excluded: bool,
    slot: Option<Slot>,
}

struct Target {
    limit: u32,
    warm: u32,
    cold: u32,
    base: [u32; HOLDERS],
    calls: Vec<Call>,
    /// Whether each daemon knows of the reduced limit; all must know at `all_know_at`.
    knows_limit: [bool; HOLDERS],
    all_know_at: Micros,
    grantor_informed: bool,
    /// Answers from this epoch and number on take the reduced limit into account.
    informed_from: (u64, u64),
    /// Earlier limits of the last settling time, with the time when each was reduced.
    earlier_limits: Vec<(Micros, u32)>,
    started: [u64; HOLDERS],
    /// Daemons that start calls now. Idle ones hold free slots, which reveals a
    /// withdrawal that is counted too early.
    busy: [bool; HOLDERS],
}

/// A base slot that moves from one daemon to another.
struct BaseMove {
    target: usize,
    from: usize,
    to: usize,
    incarnation: u64,
    /// Real time at which the calls of a restarted holder have ended.
    dead_until: Option<Micros>,
}

pub(crate) struct World {
    seed: u64,
    dice: SimRandom,
    now: Micros,
    net: Net<Message>,
    grantor_process: Process,
    grantor: Grantor,
    /// The grantor's durable list of holders, unless it is lost.
    listed: Option<BTreeSet<Identity>>,
    processes: Vec<Process>,
    holders: Vec<Holder>,
    targets: Vec<Target>,
    base_move: Option<BaseMove>,
    number: u64,
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let mut world = World::new(seed);
    let mut report = Report::default();
    while world.now < END {
        world.step()?;
        report.steps += 1;
    }
    for (id, target) in world.targets.iter().enumerate() {
        if let Some(holder) = target.started.iter().position(|&started| started == 0) {
            return Err(format!(
                "seed {seed}: daemon {holder} started no call at target {id} after the faults ended"
            ));
        }
    }
    report.faults = world.net.faults;
    Ok(report)
}

impl Target {
    /// The capacity under a limit in force. The base shares follow from the configured limits.
    fn capacity(&self, limit: u32) -> Capacity {
        Capacity {
            limit,
            ..Capacity::new(self.warm, self.cold)
        }
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let mut dice = SimRandom::new(seed);
        let net = Net::new(&mut dice);
        let timing = Timing::default();
        let grantor_process = Process::new(&mut dice, 1);
        let grantor =
            Grantor::new(grantor_process.clock(0), 1, timing, Limits::default()).with_list(None);
        let processes: Vec<Process> = (0..HOLDERS).map(|_| Process::new(&mut dice, 1)).collect();
        let holders = processes
            .iter()
            .enumerate()
            .map(|(id, p)| new_holder(0, id, p))
            .collect();
        let targets = (0..TARGETS).map(|_| {
            let cold = dice.between(1, 12) as u32;
            let warm = cold + dice.between(0, 30) as u32;
            let total = Capacity::new(warm, cold).base;
            let base = std::array::from_fn(|id| base_share(total, HOLDERS as u32, id as u32));
            Target {
                limit: warm,
                warm,
                cold,
                base,
                calls: Vec::new(),
                knows_limit: [true; HOLDERS],
                all_know_at: 0,
                grantor_informed: true,
                informed_from: (0, 0),
                earlier_limits: Vec::new(),
                started: [0; HOLDERS],
                busy: [true; HOLDERS],
            }
        });
        let targets: Vec<Target> = targets.collect();
        let mut world = Self {
            seed,
            dice,
            now: 0,
            net,
            grantor_process,
            grantor,
            listed: None,
            processes,
            holders,
            targets,
            base_move: None,
            number: 0,
        };
        world.set_capacities();
        (0..HOLDERS).for_each(|id| world.set_bases(id));
        world
    }

    fn set_capacities(&mut self) {
        for (id, target) in self.targets.iter().enumerate() {
            let limit = if target.grantor_informed {
                target.limit
            } else {
                target.warm
            };
            self.grantor.set_capacity(id as u32, target.capacity(limit));
        }
    }

    fn set_bases(&mut self, holder: usize) {
        for (id, target) in self.targets.iter().enumerate() {
            self.holders[holder].set_base(id as u32, target.base[holder]);
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += self.dice.between(MILLI, 40 * MILLI);
        if self.now > FAULTS_END && !self.net.faults_ended {
            self.net.end_faults();
            self.grantor_process.frozen_until = 0;
            self.processes
                .iter_mut()
                .for_each(|process| process.frozen_until = 0);
            self.targets
                .iter_mut()
                .for_each(|target| target.limit = target.warm);
            self.set_capacities();
        }
        self.end_calls();
        let was_open = self.grantor.is_open(self.grantor_process.clock(self.now));
        self.deliver();
        if !was_open && self.grantor.unreported_holders() == Some(0) {
            self.net.count("grantor opened early");
        }
        for id in 0..HOLDERS {
            self.run_daemon(id);
            self.check(&format!("after daemon {id}"))?;
        }
        if !self.net.faults_ended {
            self.inject_faults();
            self.change_limit();
            self.move_base();
        }
        self.check("after the faults")
    }

    fn end_calls(&mut self) {
        for id in 0..TARGETS {
            let mut index = 0;
            while index < self.targets[id].calls.len() {
                if self.targets[id].calls[index].ends > self.now {
                    index += 1;
                    continue;
                }
                let call = self.targets[id].calls.swap_remove(index);
                let process = &self.processes[call.holder];
                // If the daemon is frozen or the connection failed, the answer is lost,
                // and the slot is freed after the deadline.
                let gets_answer =
                    call.incarnation == process.incarnation && !process.is_frozen(self.now);
                if let Some(slot) = call.slot.filter(|_| gets_answer) {
                    self.holders[call.holder].end(slot);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((to, message)) = self.net.receive(self.now) {
            let process = if to == GRANTOR {
                &self.grantor_process
            } else {
                &self.processes[to]
            };
            if process.is_frozen(self.now) {
                let at = process.frozen_until + self.dice.below(MILLI);
                self.net.enqueue(at, to, message);
                continue;
            }
            let clock = process.clock(self.now);
            match message {
                Message::Request(request) => {
                    // Some writes of the list fail in the schedule.
                    if self.grantor.needs_listing(clock, &request) && !self.dice.one_in(8) {
                        let listed = self.grantor.listed().chain([request.holder]);
                        self.listed = Some(listed.collect());
                        self.grantor.add_to_list(request.holder);
                    }
                    let mut turned_cold = Vec::new();
                    let answer = self.grantor.request(clock, &request, &mut turned_cold);
                    for id in turned_cold {
                        self.inform_grantor(id as usize);
                    }
                    if let Some(answer) = answer {
                        self.number = answer.number;
                        let (to, message) = (request.holder.id as usize, Message::Answer(answer));
                        self.net
                            .send(self.now, &mut self.dice, GRANTOR, to, message);
                    }
                }
                Message::Answer(answer) => {
                    let before = self.holders[to].valid_until();
                    self.holders[to].answer(&answer);
                    let applied = self.holders[to].valid_until() != before;
                    for target in &mut self.targets {
                        let knows = target.grantor_informed
                            && (answer.epoch, answer.number) >= target.informed_from;
                        target.knows_limit[to] |= applied && knows;
                    }
                }
            }
        }
    }

    fn inform_grantor(&mut self, id: usize) {
        let target = &mut self.targets[id];
        if !target.grantor_informed {
            target.grantor_informed = true;
            target.informed_from = (self.grantor_process.incarnation, self.number + 1);
            target.all_know_at = self.now + 2_080 * MILLI;
        }
        // A late report of the same cold start must not reset the slow start.
        self.grantor
            .set_capacity(id as u32, target.capacity(target.limit));
    }

    fn run_daemon(&mut self, id: usize) {
        let now = self.now;
        if self.processes[id].is_frozen(now) {
            return;
        }
        let clock = self.processes[id].clock(now);
        let calm = self.net.faults_ended;
        if self.processes[id].take_due_renewal(now, &mut self.dice) {
            for target in 0..TARGETS {
                let wanted = if calm { 40 } else { self.dice.below(40) as u32 };
                self.holders[id].set_demand(target as u32, wanted);
            }
            let message = Message::Request(self.holders[id].request(clock));
            self.net.send(now, &mut self.dice, id, GRANTOR, message);
        }
        for index in 0..TARGETS {
            if !calm && self.dice.one_in(60) {
                self.targets[index].busy[id] ^= true;
            }
            if !calm && !self.targets[index].busy[id] {
                continue;
            }
            for _ in 0..self.dice.below(12) {
                let time_left = self.dice.between(1_000, 12_000);
                let time_left = Duration::from_millis(time_left);
                let Ok(slot) = self.holders[id].start(clock, index as u32, time_left) else {
                    break;
                };
                let longest = time_left.as_micros() as u64;
                let shortest = if self.dice.one_in(4) {
                    longest
                } else {
                    50 * MILLI
                };
                let target = &mut self.targets[index];
                target.started[id] += u64::from(now > FAIRNESS_START);
                target.calls.push(Call {
                    holder: id,
                    incarnation: self.processes[id].incarnation,
                    ends: now + self.dice.between(shortest, longest),
                    is_excluded: !target.knows_limit[id] && now < target.all_know_at,
                    slot: (!self.dice.one_in(10)).then_some(slot),
                });
            }
        }
    }

    fn check(&mut self, moment: &str) -> Result<(), String> {
        let (now, seed) = (self.now, self.seed);
        for (id, target) in self.targets.iter_mut().enumerate() {
            // Calls started under a limit of the last settling time may still run.
            target
                .earlier_limits
                .retain(|&(at, _)| now < at + 17 * SECOND);
            let before = target
                .earlier_limits
                .iter()
                .map(|&(_, limit)| limit)
                .max()
                .unwrap_or(0);
            let all = target.calls.len();
            let counted = target.calls.iter().filter(|call| !call.is_excluded).count();
            if counted > target.limit as usize || all > target.limit.max(before) as usize {
                return Err(format!(
                    "seed {seed}: {moment} at {now} us target {id} runs {all} calls, {counted} of \
                     them counted, above its limit of {} (before: {before}); base {:?}, exposed {}, calls by daemon and \
                     incarnation {:?}, allowed {:?}",
                    target.limit,
                    target.base,
                    self.grantor.exposed(id as u32),
                    target.calls.iter().fold(BTreeMap::new(), |mut sums, call| {
                        *sums.entry((call.holder, call.incarnation)).or_insert(0) += 1;
                        sums
                    }),
                    (0..HOLDERS)
                        .map(|holder| {
                            let clock = self.processes[holder].clock(now);
                            self.holders[holder].allowed(clock, id as u32)
                        })
                        .collect::<Vec<_>>(),
                ));
            }
        }
        Ok(())
    }
}

fn new_holder(now: Micros, id: usize, process: &Process) -> Holder {
    let identity = Identity {
        id: id as u64,
        incarnation: process.incarnation,
    };
    Holder::new(process.clock(now), identity, Timing::default())
}
