//! Seeded schedules of faults against real nodes on simulated disks, clocks and links.

mod checks;
mod counts;
mod disk;
mod faults;
mod host;
mod model;
mod replacements;
mod seats;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Body, Event, Member, Membership, Message, Node, NodeOptions, RecoveredState, Settings,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) use counts::Counts;
use disk::Disk;
use host::{Host, Process};
use model::{Model, StateMachine};
pub(crate) use seats::{Round, replace_many};

/// Simulated microseconds.
type Time = u64;
const MS: Time = 1000;
const CLUSTER: u128 = 77;
/// Time after the last fault within which the cluster has to recover fully.
const RECOVERY_LIMIT: Time = 60_000 * MS;

/// More steps than any schedule needs; reached when two nodes answer each other in an endless loop.
const MAX_STEPS: u64 = 200_000;

/// From this seed on, leaders resign after a failed write. Earlier seeds keep their schedules.
pub(crate) const FIRST_RESIGNING_SEED: u64 = 100_000;

/// From this seed on, schedules replace members instead of the other faults.
pub(crate) const FIRST_REPLACING_SEED: u64 = 200_000;

/// From this seed on, the leader maintains the membership under all faults, with few seats and a
/// short time until members that are gone are removed.
pub(crate) const FIRST_REMOVING_SEED: u64 = 300_000;

/// From this seed on, processes tell their node how long they were frozen, half of the times as a
/// slow write.
pub(crate) const FIRST_STALLING_SEED: u64 = 400_000;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Deliver(usize),
    Tick {
        host: usize,
        run: u64,
    },
    Start(usize),
    Unfreeze(usize),
    /// Second part of a staggered cut.
    FinishStaggeredCut(usize),
    ProposeCommand,
    InjectFault,
}

pub(crate) struct World {
    random: Pcg64,
    time: Time,
    settings: Settings,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Time, u64, ScheduledEvent)>>,
    queued: u64,
    /// Messages in transit; `None` once delivered.
    messages: Vec<Option<Message>>,
    /// End of the cut of each link, by sending and receiving host.
    cuts: BTreeMap<(usize, usize), Time>,
    loss: f64,
    duplication: f64,
    delay: f64,
    faults_enabled: bool,
    leaders_resign: bool,
    reports_stalls: bool,
    /// Clients propose nothing before this time.
    no_proposals_until: Time,
    /// Number of acknowledged commands when the faults ended.
    acknowledged_before_recovery: u64,
    next_command: u64,
    model: Model,
    /// Index and content of each membership proposed after the committed one.
    proposed_memberships: Vec<(u64, Membership)>,
    counts: Counts,
}

/// Runs the schedule of `seed` with 3 or 5 voters and, in some schedules, one learner.
pub(crate) fn run(seed: u64) -> Result<Counts, String> {
    let (mut world, result);
    if seed >= FIRST_STALLING_SEED {
        world = World::new(seed);
        result = world.run();
    } else if seed >= FIRST_REMOVING_SEED {
        world = World::with_few_seats(seed);
        result = world.run();
    } else if seed >= FIRST_REPLACING_SEED {
        world = World::with_replacements(seed);
        result = world.run_replacements();
    } else {
        world = World::new(seed);
        result = world.run();
    }
    result.map_err(|error| format!("seed {seed} at {} us: {error}", world.time))?;
    Ok(world.counts)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let voters: u32 = if random.random_bool(0.6) { 3 } else { 5 };
        let learners = u32::from(random.random_bool(0.4));
        Self::with_random(random, seed, voters, learners)
    }

    fn with_members(seed: u64, voters: u32, others: u32) -> Self {
        Self::with_random(Pcg64::seed_from_u64(seed), seed, voters, others)
    }

    /// A cluster of `voters`, with further hosts that have an empty disk.
    fn with_random(mut random: Pcg64, seed: u64, voters: u32, learners: u32) -> Self {
        let slots: Vec<u32> = (0..voters).collect();
        let hosts = (0..voters + learners).map(|slot| {
            let disk = if slot < voters {
                let storage = 1000 + u64::from(slot);
                Disk::initialized(RecoveredState::initialize(CLUSTER, slot, &slots, storage))
            } else {
                Disk::default()
            };
            Host {
                disk,
                ..Host::default()
            }
        });
        let hosts: Vec<Host> = hosts.collect();
        let settings = Settings {
            peers: (0..voters + learners).collect(),
            join_interval: Settings::default().election_timeout,
            max_batch_entries: random.random_range(1..6),
            max_in_flight: random.random_range(1..5),
            max_uncommitted: 40,
            max_log_entries: 100,
            snapshot_entries: random.random_range(8..48),
            kept_entries: random.random_range(0..12),
            chunk_bytes: random.random_range(40..400),
            max_waiting_probes: 2,
            ..Settings::default()
        };
        Self {
            random,
            time: MS,
            settings,
            hosts,
            queue: BinaryHeap::new(),
            queued: 0,
            messages: Vec::new(),
            cuts: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: 0.0,
            faults_enabled: true,
            leaders_resign: seed >= FIRST_RESIGNING_SEED,
            reports_stalls: seed >= FIRST_STALLING_SEED,
            no_proposals_until: 0,
            acknowledged_before_recovery: 0,
            next_command: 0,
            model: Model::new(&slots),
            proposed_memberships: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn run(&mut self) -> Result<(), String> {
        for host in 0..self.hosts.len() {
            let start = self.random.random_range(0..300 * MS);
            self.push(start, ScheduledEvent::Start(host));
        }
        self.push(2000 * MS, ScheduledEvent::InjectFault);
        self.push(1000 * MS, ScheduledEvent::ProposeCommand);
        let end = self.random.random_range(6000..20_000) * MS;
        self.run_until(end, |_| false)?;
        self.heal();
        let deadline = end + RECOVERY_LIMIT;
        if !self.run_until(deadline, World::has_recovered)? {
            return Err(format!(
                "not recovered {RECOVERY_LIMIT} us after the last fault: {}",
                self.dump()
            ));
        }
        let voters = self.model.membership.voters();
        self.counts.replaced_members += voters.filter(|voter| voter.incarnation > 1).count() as u64;
        Ok(())
    }

    fn run_until(&mut self, end: Time, done: fn(&mut Self) -> bool) -> Result<bool, String> {
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > end {
                self.push(time, event);
                return Ok(false);
            }
            self.time = time;
            let check = event == ScheduledEvent::ProposeCommand;
            self.handle(event)?;
            if check && done(self) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn push(&mut self, time: Time, event: ScheduledEvent) {
        self.queued += 1;
        self.queue.push(Reverse((time, self.queued, event)));
    }

    fn handle(&mut self, event: ScheduledEvent) -> Result<(), String> {
        match event {
            ScheduledEvent::Deliver(message_index) => {
                let Some(message) = self.messages[message_index].take() else {
                    return Ok(());
                };
                let host = message.to.slot as usize;
                if self.hosts[host].frozen_until > self.time {
                    self.hosts[host].backlog.push(message);
                    return Ok(());
                }
                self.step(host, Event::Receive(message))
            }
            ScheduledEvent::Tick { host, run } => {
                let state = &self.hosts[host];
                let current = state.runs == run && state.tick_at == self.time;
                if !current || state.frozen_until > self.time {
                    return Ok(());
                }
                self.step(host, Event::Tick)
            }
            ScheduledEvent::Start(host) => self.start(host),
            ScheduledEvent::Unfreeze(host) => self.unfreeze(host),
            ScheduledEvent::FinishStaggeredCut(host) => {
                self.finish_staggered_cut(host);
                Ok(())
            }
            ScheduledEvent::ProposeCommand => self.propose_command(),
            ScheduledEvent::InjectFault => {
                if self.faults_enabled {
                    let pause = self.random.random_range(30..700) * MS;
                    self.push(self.time + pause, ScheduledEvent::InjectFault);
                    self.inject_fault()?;
                }
                Ok(())
            }
        }
    }

    fn start(&mut self, host: usize) -> Result<(), String> {
        if self.hosts[host].process.is_some() {
            return Ok(());
        }
        // The ratio of the extremes is 1.01, the bound on relative drift.
        let between = self.random.random_range(0.99503..1.00497);
        let rate = [0.99503, 1.00497, between, between][self.random.random_range(0..4)];
        self.counts.drifting_starts += 1;
        let state = &mut self.hosts[host];
        let recovered = state.disk.recover(CLUSTER, host as u32);
        let mut machine = StateMachine::default();
        if let Some(snapshot) = &state.disk.snapshot {
            machine.restore(snapshot);
        }
        let random = Pcg64::seed_from_u64(self.random.random());
        let start = NodeOptions {
            settings: self.settings.clone(),
            recovered,
            random,
        };
        let node = Node::new(start, Duration::ZERO).map_err(|error| error.to_string())?;
        state.runs += 1;
        state.tick_at = 0;
        state.frozen_until = 0;
        state.backlog.clear();
        let proposals = BTreeMap::new();
        state.process = Some(Process {
            node,
            machine,
            started: self.time,
            rate,
            proposals,
        });
        self.schedule_tick(host);
        Ok(())
    }

    fn schedule_tick(&mut self, host: usize) {
        let tick_delay = self.random.random_range(1..3 * MS);
        let state = &mut self.hosts[host];
        let Some(process) = &state.process else {
            return;
        };
        let due = process
            .real_time(process.node.next_deadline())
            .max(self.time)
            + tick_delay;
        if state.tick_at <= self.time || due < state.tick_at || state.tick_at + 20 * MS < due {
            state.tick_at = due;
            let run = state.runs;
            self.push(due, ScheduledEvent::Tick { host, run });
        }
    }

    fn step(&mut self, host: usize, event: Event) -> Result<(), String> {
        let Some(process) = &mut self.hosts[host].process else {
            return Ok(());
        };
        let now = process.clock(self.time);
        let actions = process.node.step(event, now);
        self.counts.steps += 1;
        if self.counts.steps > MAX_STEPS {
            return Err(format!("more than {MAX_STEPS} steps: {}", self.dump()));
        }
        self.carry_out(host, actions)?;
        self.schedule_tick(host);
        Ok(())
    }

    fn carry_out(&mut self, host: usize, actions: Vec<Action>) -> Result<(), String> {
        let rank = |action: &Action| match action {
            Action::Persist(_) => 0,
            Action::Send(_) => 1,
            _ => 2,
        };
        if !actions.is_sorted_by_key(rank) {
            return Err(format!("actions out of order: {actions:?}"));
        }
        let writes = actions.iter().filter(|action| rank(action) == 0).count();
        let is_torn = writes > 0 && std::mem::take(&mut self.hosts[host].tears_next_write);
        let mut intact = if is_torn {
            self.random.random_range(0..writes)
        } else {
            usize::MAX
        };
        let mut voted = false;
        for action in actions {
            match action {
                Action::Persist(write) if intact == 0 => {
                    let entries = self.random.random_range(0..4);
                    self.hosts[host].disk.write_torn(write, entries);
                    self.counts.torn_writes += 1;
                    self.resign(host);
                    self.kill(host);
                    return Ok(());
                }
                Action::Persist(write) => {
                    intact -= 1;
                    self.record_memberships(&write);
                    self.hosts[host].disk.write(write);
                }
                Action::Send(message) => {
                    voted |= matches!(message.body, Body::VoteAnswer { granted: true });
                    self.transmit(host, &message);
                }
                other => self.check_action(host, other)?,
            }
        }
        if voted && self.faults_enabled {
            self.restart_voter(host);
        }
        Ok(())
    }

    /// Sometimes gives up a leadership after a failed write.
    fn resign(&mut self, host: usize) {
        if !self.leaders_resign || self.random.random_bool(0.3) {
            return;
        }
        let Some(process) = self.hosts[host].process.as_mut() else {
            return;
        };
        let now = process.clock(self.time);
        for action in process.node.step(Event::Resign, now) {
            if let Action::Send(message) = action {
                self.transmit(host, &message);
            }
        }
    }

    /// Proposes one command, mostly to a leader.
    fn propose_command(&mut self) -> Result<(), String> {
        let pause = self.random.random_range(3..90) * MS;
        self.push(self.time + pause, ScheduledEvent::ProposeCommand);
        let leader = self.leader_host().filter(|_| self.random.random_bool(0.85));
        let host = leader.unwrap_or_else(|| self.random.random_range(0..self.hosts.len()));
        let done_after_recovery =
            !self.faults_enabled && self.counts.acknowledged > self.acknowledged_before_recovery;
        let is_paused = self.no_proposals_until > self.time;
        if self.hosts[host].frozen_until > self.time || done_after_recovery || is_paused {
            return Ok(());
        }
        self.next_command += 1;
        let token = self.next_command;
        self.step(
            host,
            Event::Propose {
                token,
                command: token.to_be_bytes().to_vec(),
            },
        )
    }

    fn leader_host(&self) -> Option<usize> {
        let term = |host: usize| {
            let process = self.hosts[host].process.as_ref()?;
            let leads = process.node.leader() == Some(process.node.member());
            leads.then(|| process.node.term())
        };
        (0..self.hosts.len())
            .filter(|&host| term(host).is_some())
            .max_by_key(|&host| term(host))
    }

    /// Whether the member's identity is the one on its host's disk.
    fn is_intact(&self, member: Member) -> bool {
        let record = self.hosts[member.slot as usize].disk.vote;
        record.is_some_and(|record| record.member == member)
    }

    fn dump(&self) -> String {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let states = processes.map(|process| serde_json::to_string(&process.node.state()));
        states
            .map(|state| format!("\n{}", state.unwrap_or_default()))
            .collect()
    }
}
