//! The event loop of the simulation: arrivals, calls, timeouts, delayed load reports, and the
//! changes of a scenario.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use azurelug_core::admission::{Action, AdmissionRequest, Admitted};
use azurelug_core::lease_mode::Mode;
use azurelug_core::retry::FailedCall;
use azurelug_core::routing::{Completion, LoadReport, Outcome};
use azurelug_core::slow_start::DaemonRank;
use azurelug_types::config::{Config, State};
use azurelug_types::id::{AccountKey, TargetKey};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::daemon::{DAEMONS, Daemon, Modules};
use crate::model::{COLD_START, KINDS, Target, fleet, zone_name};
use crate::request::{Request, RunResult};

const DEADLINE: Duration = Duration::from_secs(12);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Time until a call across the partition fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay until a request for which no target was available is dispatched again.
const DISPATCH_RETRY_DELAY: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Change {
    Drain(usize, bool),
    ColdThird,
    Slow(usize, u32),
    Partition(Option<usize>),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Dispatch(usize),
    CallEnd(usize, u32, Completion),
    Timeout(usize, u32),
    Deadline(usize),
    Report(usize),
    Deliver(usize, LoadReport),
    Tick(u64),
    Change(usize),
    LeaseExpired,
}

pub(crate) struct World<'a> {
    now: Duration,
    end: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    random: Pcg32,
    rate: &'a dyn Fn(f64) -> f64,
    changes: &'a [(u64, Change)],
    config: Config,
    targets: Vec<Target>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    isolated_zone: Option<usize>,
    result: RunResult,
}

/// Simulates arrivals for `seconds`, and then runs until all requests have ended.
pub(crate) fn run(
    is_naive: bool,
    seed: u64,
    seconds: u64,
    rate: &dyn Fn(f64) -> f64,
    changes: &[(u64, Change)],
) -> RunResult {
    let (config, targets) = fleet();
    let daemons = (0..DAEMONS)
        .map(|rank| Daemon::new(rank, is_naive, &config, seed))
        .collect();
    let mut world = World {
        now: Duration::ZERO,
        end: Duration::from_secs(seconds),
        events: BinaryHeap::new(),
        sequence: 0,
        random: Pcg32::seed_from_u64(seed),
        rate,
        changes,
        config,
        targets,
        daemons,
        requests: Vec::new(),
        isolated_zone: None,
        result: RunResult::default(),
    };
    for target in 0..world.targets.len() {
        world.send_report(target);
        let phase = REPORT_INTERVAL.mul_f64(world.random.random());
        world.schedule(phase, Event::Report(target));
    }
    for (index, (second, _)) in changes.iter().enumerate() {
        world.schedule(Duration::from_secs(*second), Event::Change(index));
    }
    // The first load reports arrive before the first request.
    world.schedule(Duration::from_secs(1), Event::Arrive);
    world.schedule(Duration::ZERO, Event::Tick(0));
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.handle(event);
    }
    world.result.above_cold_limit = world
        .targets
        .iter()
        .map(|it| it.calls_above_cold_limit)
        .sum();
    world.result
}

impl World<'_> {
    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.handle_arrival(),
            Event::Dispatch(request) => self.dispatch(request),
            Event::CallEnd(request, attempt, it) => self.handle_call_end(request, attempt, it),
            Event::Timeout(request, attempt) => {
                let it = &self.requests[request];
                if it.attempt == attempt
                    && let Some((_, _, started, _)) = it.call
                {
                    let daemon = &mut self.daemons[it.daemon];
                    daemon.record_timeout(it.kind, it.short, self.now - started);
                    self.handle_call_end(request, attempt, Completion::TimedOut);
                }
            }
            Event::Deadline(request) => self.end_request(request, false, false),
            Event::Report(target) => {
                self.send_report(target);
                self.grant_slots(target);
                if self.now < self.end + DEADLINE {
                    self.schedule(REPORT_INTERVAL, Event::Report(target));
                }
            }
            Event::Deliver(target, report) => {
                let zone = self.targets[target].zone;
                for daemon in 0..DAEMONS {
                    if self.can_reach(daemon, zone) {
                        let key = TargetKey(target as u32);
                        self.daemons[daemon].report(key, report, self.now);
                    }
                }
            }
            Event::Tick(count) => {
                for daemon in 0..DAEMONS {
                    let actions = self.daemons[daemon].tick(count % 10 == 0, self.now);
                    self.apply_actions(daemon, actions);
                }
                if self.now < self.end + DEADLINE {
                    self.schedule(Duration::from_millis(100), Event::Tick(count + 1));
                }
            }
            Event::Change(index) => self.apply_change(self.changes[index].1),
            Event::LeaseExpired => {
                for daemon in &mut self.daemons {
                    if self.isolated_zone == Some(daemon.zone) {
                        daemon.set_mode(Mode::Degraded);
                    }
                }
            }
        }
    }

    fn can_reach(&self, daemon: usize, zone: usize) -> bool {
        let own = self.daemons[daemon].zone;
        own == zone
            || self
                .isolated_zone
                .is_none_or(|isolated| isolated != own && isolated != zone)
    }

    fn send_report(&mut self, target: usize) {
        let it = &self.targets[target];
        let report = LoadReport {
            calls: it.running,
            taken_at: self.now,
            warm: !it.is_cold(self.now),
            start_stamp: it.start_stamp,
        };
        self.schedule(REPORT_DELAY, Event::Deliver(target, report));
    }

    /// Divides the slots of a target in the same way as leased shares: each daemon keeps the slots
    /// that it uses, and the free slots are divided among the daemons that can reach the target.
    fn grant_slots(&mut self, target: usize) {
        let zone = self.targets[target].zone;
        let key = TargetKey(target as u32);
        let used: u32 = self.daemons.iter().map(|it| it.in_flight(key)).sum();
        let limit = self.targets[target].limit_in_force(self.now);
        let sharers: Vec<usize> = (0..DAEMONS)
            .filter(|it| self.can_reach(*it, zone))
            .collect();
        let salt = self.random.random_range(0..DAEMONS as u32);
        for (rank, daemon) in sharers.iter().enumerate() {
            let position = DaemonRank {
                rank: rank as u32,
                daemons: sharers.len() as u32,
            };
            let free = position.part(limit.saturating_sub(used), salt);
            let it = &mut self.daemons[*daemon];
            let slots = it.in_flight(key) + free;
            it.grant(key, slots, self.now);
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Drain(zone, drained) => {
                let zone = self
                    .config
                    .zones
                    .get_mut(&zone_name(zone))
                    .expect("the scenario names an existing zone");
                zone.state = if drained {
                    State::Draining
                } else {
                    State::Active
                };
                self.config.version = self.config.version.next();
                for daemon in &mut self.daemons {
                    daemon.apply(&self.config, self.now);
                }
            }
            Change::ColdThird => {
                // Every third target restarts, and its calls fail.
                for target in (0..self.targets.len()).step_by(3) {
                    self.targets[target].cold_until = self.now + COLD_START;
                    self.targets[target].start_stamp += 1;
                    self.fail_calls(|_, it| it == target);
                }
            }
            Change::Slow(kind, factor) => {
                for target in self.targets.iter_mut().filter(|it| it.kind == kind) {
                    target.slowdown = f64::from(factor);
                }
            }
            Change::Partition(zone) => {
                self.isolated_zone = zone;
                if let Some(zone) = zone {
                    let zones: Vec<usize> = self.targets.iter().map(|it| it.zone).collect();
                    self.fail_calls(|own, target| (own == zone) != (zones[target] == zone));
                    self.schedule(Duration::from_secs(2), Event::LeaseExpired);
                } else {
                    for daemon in &mut self.daemons {
                        daemon.set_mode(Mode::Normal);
                    }
                }
            }
        }
    }

    /// Fails the calls for which `is_affected` is true, given the daemon's zone and the target.
    fn fail_calls(&mut self, is_affected: impl Fn(usize, usize) -> bool) {
        for request in 0..self.requests.len() {
            let it = &self.requests[request];
            if let Some((_, target, ..)) = it.call
                && is_affected(self.daemons[it.daemon].zone, target)
            {
                let attempt = it.attempt;
                self.handle_call_end(request, attempt, Completion::Broken);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let pause = -(1.0 - self.random.random::<f64>()).ln() / (self.rate)(self.now.as_secs_f64());
        if self.now + Duration::from_secs_f64(pause) < self.end {
            self.schedule(Duration::from_secs_f64(pause), Event::Arrive);
        }
        let daemon = self.random.random_range(0..DAEMONS);
        let short = self.random.random();
        // Two large accounts with 40% of the calls each, and three small ones.
        let account =
            [0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 2, 3, 4][self.random.random_range(0..15)];
        let request = self.requests.len();
        self.requests.push(Request::new(daemon, short, self.now));
        let stages = self.daemons[daemon].classes[usize::from(!short)];
        let ask = AdmissionRequest {
            account: AccountKey(account),
            short,
            cost: if short { 100 } else { 1000 },
            deadline: self.now + DEADLINE,
            stages: &stages,
        };
        match self.daemons[daemon].offer(&ask, self.now) {
            Ok(entry) => {
                let (Admitted::Start(ticket) | Admitted::Wait(ticket)) = entry;
                self.requests[request].ticket = Some(ticket);
                self.schedule(DEADLINE, Event::Deadline(request));
                if matches!(entry, Admitted::Start(_)) {
                    self.dispatch(request);
                }
            }
            Err(_) => self.end_request(request, false, true),
        }
    }

    fn apply_actions(&mut self, daemon: usize, actions: Vec<Action>) {
        for action in actions {
            let (Action::Start(ticket) | Action::Refuse(ticket, _)) = action;
            let found = self
                .requests
                .iter()
                .rposition(|it| it.daemon == daemon && it.ticket == Some(ticket) && !it.ended);
            let request = found.expect("an action refers to a waiting request");
            if matches!(action, Action::Start(_)) {
                self.dispatch(request);
            } else {
                self.requests[request].ticket = None;
                self.end_request(request, false, true);
            }
        }
    }

    /// Chooses a target for the request's current stage and starts a call; tries again later if
    /// there is none.
    fn dispatch(&mut self, request: usize) {
        if self.requests[request].ended {
            return;
        }
        if self.requests[request].admitted.is_none() {
            self.requests[request].admitted = Some(self.now);
            self.requests[request].waiting_since = self.now;
        }
        let it = &self.requests[request];
        let (kind, short, index) = (it.kind, it.short, it.daemon);
        let remaining = (it.arrived + DEADLINE).saturating_sub(self.now);
        if self.daemons[index].cannot_meet_deadline(kind, short, remaining) {
            self.requests[request].failure_cause = "unreachable deadline";
            return self.end_request(request, false, false);
        }
        let daemon = &mut self.daemons[index];
        let choice = daemon.choose(kind, &it.tried, short, remaining, self.now);
        let call = choice
            .ok()
            .and_then(|it| Some((daemon.begin(it.target, self.now)?, it.target)));
        let Some((call, key)) = call else {
            self.requests[request].tried.clear();
            return self.schedule(DISPATCH_RETRY_DELAY, Event::Dispatch(request));
        };
        let timeout = daemon.call_timeout(kind, short, remaining);
        let target = key.0 as usize;
        let reached = self.can_reach(index, self.targets[target].zone);
        let simulated = self.targets[target].start(short, &mut self.random, self.now);
        let it = &mut self.requests[request];
        it.attempt += 1;
        it.slot_waits[kind] += self.now - it.waiting_since;
        it.tried.push(key);
        it.call = Some((call, target, self.now, simulated.first_token));
        let attempt = it.attempt;
        if reached {
            self.schedule(
                simulated.duration,
                Event::CallEnd(request, attempt, simulated.completion),
            );
        } else {
            self.schedule(
                CONNECT_TIMEOUT,
                Event::CallEnd(request, attempt, Completion::Failure),
            );
        }
        // Only the naive baseline stops a call after its first token has arrived.
        let is_timed = matches!(self.daemons[index].modules, Modules::Naive(..))
            || !reached
            || simulated.first_token > timeout;
        if is_timed {
            self.schedule(timeout, Event::Timeout(request, attempt));
        }
    }

    /// Ends the running call at its target and in the router.
    fn remove_call(&mut self, request: usize, completion: Completion) -> Option<Duration> {
        let it = &mut self.requests[request];
        let (call, target, started, first_token) = it.call.take()?;
        let spent = self.now - started;
        let cold = self.targets[target].is_cold(started);
        // An attempt that did not succeed is wasted even if a later one succeeds.
        if completion == Completion::Success {
            it.slot_seconds[it.kind] += spent.as_secs_f64();
        } else {
            self.result.wasted[it.kind] += spent.as_secs_f64();
            let temperature = if cold { "cold" } else { "warm" };
            let cause = format!("waste, {completion:?} {} {temperature}", it.name());
            self.result.causes.add(cause, spent.as_secs_f64());
        }
        self.targets[target].running -= 1;
        let outcome = Outcome {
            completion,
            first_token: (completion == Completion::Success).then_some(first_token),
        };
        self.daemons[it.daemon].finish(call, outcome, self.now);
        Some(spent)
    }

    fn handle_call_end(&mut self, request: usize, attempt: u32, completion: Completion) {
        let it = &self.requests[request];
        if it.ended || it.attempt != attempt || it.call.is_none() {
            return;
        }
        let (kind, short, daemon) = (it.kind, it.short, it.daemon);
        let first_token_at = it
            .call
            .map(|(_, _, started, first_token)| started + first_token);
        if completion == Completion::Success {
            let Some(spent) = self.remove_call(request, completion) else {
                return;
            };
            let first_token = first_token_at.map_or(spent, |at| at + spent - self.now);
            self.daemons[daemon].record_success(kind, short, first_token, spent);
            let it = &mut self.requests[request];
            it.tried.clear();
            it.kind += 1;
            it.waiting_since = self.now;
            if it.kind == KINDS {
                it.kind = KINDS - 1;
                it.first_token = first_token_at.map(|at| at - it.arrived);
                return self.end_request(request, true, false);
            }
            return self.dispatch(request);
        }
        self.remove_call(request, completion);
        self.requests[request].waiting_since = self.now;
        let it = &self.requests[request];
        let daemon = &mut self.daemons[daemon];
        let stages = &daemon.classes[usize::from(!short)][kind..];
        let failure = FailedCall {
            idempotent: true,
            attempts: it.tried.len() as u16,
            remaining: (it.arrived + DEADLINE).saturating_sub(self.now),
            needed: daemon.latencies.expected_time(stages),
        };
        if daemon.may_retry(kind, failure) {
            self.dispatch(request);
        } else {
            self.requests[request].failure_cause = "retry denied";
            self.end_request(request, false, false);
        }
    }

    fn end_request(&mut self, request: usize, met: bool, refused: bool) {
        if self.requests[request].ended {
            return;
        }
        self.remove_call(request, Completion::Cancelled);
        let it = &mut self.requests[request];
        it.ended = true;
        let sum = if met {
            &mut self.result.useful
        } else {
            &mut self.result.wasted
        };
        it.record_causes(met, refused, &mut self.result.causes);
        for (sum, spent) in sum.iter_mut().zip(it.slot_seconds) {
            *sum += spent;
        }
        let first_token = it.first_token.map(|it| it.as_secs_f64());
        self.result
            .requests
            .push((it.arrived.as_secs_f64(), met, refused, first_token));
        if let Some(ticket) = it.ticket.take() {
            let daemon = it.daemon;
            let actions = self.daemons[daemon].release(ticket, self.now);
            self.apply_actions(daemon, actions);
        }
    }
}
