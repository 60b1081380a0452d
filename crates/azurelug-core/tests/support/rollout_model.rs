//! A model of one roll-out: gateways with their gates, targets of two versions, and the leader's
//! decisions. Requests arrive at random; messages take up to a second.
#![allow(dead_code, reason = "each test uses a part of the model")]

use std::time::Duration;

use azurelug_core::gateway::rollout::evidence::{Evidence, Observation};
use azurelug_core::gateway::rollout::gate::{Gate, Side};
use azurelug_core::gateway::rollout::ledger::Exposure;
use azurelug_core::gateway::rollout::plan::{Monitor, Observed};
use azurelug_core::gateway::rollout::state::{Command, Rollouts};
use azurelug_types::id::{DaemonName, ServiceName};
use azurelug_types::rollout::{GatewayReports, Step};
use rand::RngExt;
use rand_pcg::Pcg64;

/// Simulated time between two rounds.
const TICK: Duration = Duration::from_millis(50);

/// Rounds between two reports of a gateway, and between two decisions.
const REPORT_TICKS: u64 = 6;

/// Rounds until a report has reached the leader: an exchange between control daemons.
const REPORT_DELAY_TICKS: u64 = 10;

/// Most rounds until a gateway follows a transition.
const MAX_LEARN_TICKS: u64 = 12;

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// A part of the answers fails from this time on, in seconds.
    From(f64),
    /// A part fails while the version gets more than this part of the requests.
    AboveLoad(f64),
    /// A part fails on the first route.
    OneRoute,
    /// Answers take this many times as long.
    Slow(f64),
}

/// What affects both versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// Half of all requests fail for a time.
    Burst,
    /// One target of the new version crashes.
    NewCrash,
    /// One target of each version crashes.
    Crashes,
    /// A third of the targets of each version are four times slower for a time.
    SlowZone,
    /// A tenth of all answers is lost for a time.
    LostAnswers,
}

pub(crate) const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::Burst,
    Trouble::NewCrash,
    Trouble::Crashes,
    Trouble::SlowZone,
    Trouble::LostAnswers,
];

/// One history to draw.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) gateways: usize,
    pub(crate) targets: usize,
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) duration_s: f64,
    pub(crate) fault: Fault,
    pub(crate) trouble: Trouble,
    /// Probability that a process of a gateway restarts in one second.
    pub(crate) restarts: f64,
    /// Whether the leader decides; without it the roll-out stays in its step.
    pub(crate) decides: bool,
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) end: Option<Step>,
    pub(crate) end_s: f64,
    pub(crate) reason: String,
    pub(crate) requests: u64,
    pub(crate) new_sends: u64,
    /// Most sends to the new version beyond the bound, before most requests went there.
    pub(crate) worst_excess: f64,
    /// When the 50th bad answer arrived.
    pub(crate) fiftieth_s: Option<f64>,
    /// Last send to the new version.
    pub(crate) last_send_s: f64,
    pub(crate) bad_answers: u64,
}

struct Gateway {
    gate: Gate,
    incarnation: u64,
    learns_at: u64,
    polls: u64,
}

pub(crate) fn exposure() -> Exposure {
    Exposure {
        share: 0.1,
        slack: 50.0,
    }
}

/// Draws one history.
pub(crate) fn run(setup: Setup, random: &mut Pcg64) -> History {
    Model::new(setup, random).run(random)
}

struct Model {
    setup: Setup,
    service: ServiceName,
    state: Rollouts,
    gateways: Vec<Gateway>,
    evidence: Evidence,
    /// Reports on their way, with the round of their arrival.
    sent: Vec<(u64, GatewayReports)>,
    monitor: Monitor,
    /// Failure rate and typical response time of each route.
    routes: [(f64, f64); 3],
    trouble_s: (f64, f64),
    history: History,
    /// Sends to each version in the last rounds.
    recent: [f64; 2],
}

impl Model {
    fn new(setup: Setup, random: &mut Pcg64) -> Self {
        let service = ServiceName::from("orders");
        let mut state = Rollouts::default();
        state.apply(Command::Start {
            service: service.clone(),
            target: "v2".to_owned(),
            listed: vec!["v1".to_owned()],
            duration_ms: (setup.duration_s * 1000.0) as u64,
            at_ms: 0,
            repeat_ms: 0,
        });
        if !setup.decides {
            state.apply(Command::Advance {
                service: service.clone(),
                number: 1,
                from: Step::Probe,
                to: Step::Canary,
                at_ms: 0,
                reason: String::new(),
            });
        }
        let gateways = (0..setup.gateways).map(|_| Gateway {
            gate: Gate::new(state.policies()[0].clone(), exposure(), random.random()),
            incarnation: random.random(),
            learns_at: 0,
            polls: 0,
        });
        let gateways = gateways.collect();
        let route = |random: &mut Pcg64| {
            let rate = 0.005 * 28_f64.powf(random.random::<f64>());
            (rate, 20.0 * 10_f64.powf(random.random::<f64>()))
        };
        let begin = random.random_range(0.05..0.6) * setup.duration_s;
        Self {
            setup,
            service,
            state,
            gateways,
            evidence: Evidence::default(),
            sent: Vec::new(),
            monitor: Monitor::new(Duration::ZERO),
            routes: [route(random), route(random), route(random)],
            trouble_s: (begin, begin + random.random_range(0.5..3.0)),
            history: History::default(),
            recent: [0.0; 2],
        }
    }

    fn run(mut self, random: &mut Pcg64) -> History {
        let ticks = (self.setup.duration_s / TICK.as_secs_f64()) as u64;
        // Gateways hear of the end late.
        for tick in 0..ticks + 40 {
            let now_s = tick as f64 * TICK.as_secs_f64();
            self.arrivals(now_s, random);
            self.messages(tick, random);
            if tick % 3 == 0 && self.setup.decides && self.history.end.is_none() {
                self.decide(tick, random);
            }
        }
        self.history
    }

    fn arrivals(&mut self, now_s: f64, random: &mut Pcg64) {
        let mean = self.setup.rate * TICK.as_secs_f64();
        // Bursts of up to three times the mean.
        let count = (mean * random.random_range(0.0..2.0) + random.random::<f64>()) as u64;
        self.recent.iter_mut().for_each(|sum| *sum *= 0.9);
        for _ in 0..count {
            self.request(now_s, random);
        }
    }

    fn request(&mut self, now_s: f64, random: &mut Pcg64) {
        let position = random.random_range(0..self.gateways.len());
        let gate = &mut self.gateways[position].gate;
        let side = gate.choice(true).map_or(Side::Old, |choice| choice.first);
        let is_new = match side {
            Side::New => true,
            Side::Old => gate.side("v1").is_none(),
        };
        let version = if is_new { "v2" } else { "v1" };
        gate.record_request();
        gate.record_send(version);
        self.history.requests += 1;
        self.recent[usize::from(is_new)] += 1.0;
        if is_new {
            self.history.new_sends += 1;
            self.history.last_send_s = now_s;
        }
        let is_exposed = self.state.running().next();
        if is_exposed.is_some_and(|(_, it)| it.step <= Step::Canary) {
            let bound = exposure().share * self.history.requests as f64 + exposure().slack;
            let excess = self.history.new_sends as f64 - bound;
            self.history.worst_excess = self.history.worst_excess.max(excess);
        }
        self.answer(position, is_new, now_s, random);
    }

    fn answer(&mut self, position: usize, is_new: bool, now_s: f64, random: &mut Pcg64) {
        let route = random.random_range(0..self.routes.len());
        let target = random.random_range(0..self.setup.targets);
        let (base, typical) = self.routes[route];
        let is_troubled = now_s >= self.trouble_s.0 && now_s < self.trouble_s.1;
        let trouble = if is_troubled {
            self.setup.trouble
        } else {
            Trouble::None
        };
        let zone_rate = match trouble {
            Trouble::Burst => 0.5,
            Trouble::LostAnswers => 0.1,
            Trouble::NewCrash if is_new && target == 0 => 1.0,
            Trouble::Crashes if target == 0 => 1.0,
            _ => 0.0,
        };
        let load = self.recent[1] / (self.recent[0] + self.recent[1]).max(1.0);
        let is_faulty = is_new
            && match self.setup.fault {
                Fault::From(from) => now_s >= from,
                Fault::AboveLoad(limit) => load > limit,
                Fault::OneRoute => route == 0,
                Fault::None | Fault::Slow(_) => false,
            };
        let bad_rate = if is_faulty { 0.3 } else { 0.0 };
        let is_bad = random.random::<f64>() < bad_rate;
        let fails = is_bad || random.random::<f64>() < base || random.random::<f64>() < zone_rate;
        let slow = match self.setup.fault {
            Fault::Slow(factor) if is_new => factor,
            _ => 1.0,
        };
        let in_slow_zone = trouble == Trouble::SlowZone && target.is_multiple_of(3);
        let zone = if in_slow_zone { 4.0 } else { 1.0 };
        if is_bad || slow > 1.0 {
            self.history.bad_answers += 1;
            if self.history.bad_answers == 50 {
                self.history.fiftieth_s = Some(now_s);
            }
        }
        // The sum of three uniform numbers is close to a normal one; its deviation is 0.5.
        let spread: f64 = (0..3).map(|_| random.random_range(-0.5..0.5)).sum();
        let millis = typical * slow * zone * (spread * 1.2).exp();
        let observation = if fails {
            Observation::Failure
        } else {
            Observation::Answer(Some(Duration::from_secs_f64(millis / 1000.0)))
        };
        let version = if is_new { "v2" } else { "v1" };
        let gate = &mut self.gateways[position].gate;
        gate.record(
            version,
            &format!("{version}-{target}"),
            route as u64,
            observation,
        );
    }

    /// Gateways report, restart and learn of transitions.
    fn messages(&mut self, tick: u64, random: &mut Pcg64) {
        let policy = self.state.policies()[0].clone();
        let restarts = self.setup.restarts * TICK.as_secs_f64();
        for (position, gateway) in self.gateways.iter_mut().enumerate() {
            if *gateway.gate.policy() != policy && tick >= gateway.learns_at {
                gateway
                    .gate
                    .follow(policy.clone(), exposure(), gateway.incarnation);
            }
            if random.random::<f64>() < restarts {
                gateway.incarnation = random.random();
                gateway.polls = 0;
                gateway.gate = Gate::new(policy.clone(), exposure(), gateway.incarnation);
            }
            if self.setup.decides && (tick + position as u64).is_multiple_of(REPORT_TICKS) {
                gateway.polls += 1;
                let reports = GatewayReports {
                    gateway: DaemonName(format!("gateway-{position}")),
                    incarnation: gateway.incarnation,
                    poll: gateway.polls,
                    age_ms: 0,
                    reports: gateway.gate.report(0, true).into_iter().collect(),
                };
                self.sent.push((tick + REPORT_DELAY_TICKS, reports));
            }
        }
        let now = TICK * u32::try_from(tick).unwrap_or(u32::MAX);
        let (due, rest) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|(arrives, _)| *arrives <= tick);
        self.sent = rest;
        let due: Vec<(u64, GatewayReports)> = due;
        for (_, reports) in due {
            self.evidence.receive(reports, true, now);
        }
    }

    fn decide(&mut self, tick: u64, random: &mut Pcg64) {
        let now = TICK * u32::try_from(tick).unwrap_or(u32::MAX);
        let rollout = self.state.running().next();
        let rollout = rollout.expect("the roll-out has not ended").1.clone();
        let contact = Duration::from_secs(2);
        let summary = self.evidence.summary(&self.service, 1, contact, now);
        let observed = Observed {
            new_targets: self.setup.targets,
            old_targets: self.setup.targets,
            summary,
            elapsed: now,
            in_step: now.saturating_sub(Duration::from_millis(rollout.step_ms)),
        };
        let Some(transition) = self.monitor.decide(&rollout, &observed, now) else {
            return;
        };
        self.state.apply(Command::Advance {
            service: self.service.clone(),
            number: 1,
            from: rollout.step,
            to: transition.to,
            at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            reason: transition.reason.clone(),
        });
        for gateway in &mut self.gateways {
            gateway.learns_at = tick + random.random_range(1..=MAX_LEARN_TICKS);
        }
        if transition.to.is_final() {
            self.history.end = Some(transition.to);
            self.history.end_s = now.as_secs_f64();
            self.history.reason = format!("{} in {}", transition.reason, rollout.step.as_str());
        }
    }
}
