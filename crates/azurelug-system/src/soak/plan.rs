//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Options;
use super::targets::Behaviour;

/// Control daemons of a deployment, one in each zone.
pub const CONTROLS: u8 = 3;

/// Targets of each service, one in each zone.
pub const TARGETS: u8 = 3;

/// Services whose targets are disturbed.
pub const SERVICES: [&str; 3] = ["llm", "desk", "encode"];

/// A fault from outside a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed, and started again at the end.
    KillGateway(u8),
    /// A gateway is asked to stop, and started again at the end.
    StopGateway(u8),
    /// A gateway stands still.
    FreezeGateway(u8),
    /// A control daemon is killed, and started again at the end.
    KillControl(u8),
    /// A control daemon is asked to stop, and started again at the end.
    StopControl(u8),
    /// A control daemon stands still.
    FreezeControl(u8),
    /// A control daemon is killed and loses its data folder.
    WipeControl(u8),
    /// A target misbehaves.
    Target(String, Behaviour),
    /// The connections of gateways to a target are disturbed.
    Link(String, Disturbance),
    /// The platform's list says that a target is leaving; it is listed anew at the end.
    Leave(String),
    /// Operators take a zone out of use, and back into use at the end.
    Drain(u8),
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Bytes take 80 ms longer.
    Delayed,
    /// Open connections are closed.
    Reset,
    /// Answers are swallowed.
    OneWay,
    /// Open connections fall silent; new ones work.
    Silent,
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time since the start.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The least time between two faults of control daemons. One disk may be lost at a time, and a daemon
/// without one has its state again after some seconds.
const CONTROL_PAUSE_MS: u64 = 6000;

/// Draws the plan of a seed: a series for gateways, one for control daemons, one for targets and one
/// for operators, which overlap each other.
#[must_use]
pub fn plan(options: &Options) -> Vec<Step> {
    let mut random = Pcg64::seed_from_u64(options.seed);
    let end = options.faults_for.as_millis() as u64;
    let gateways = options.gateways * CONTROLS;
    let mut steps = Vec::new();
    let mut series = |pause: std::ops::Range<u64>, draw: &dyn Fn(&mut Pcg64) -> (Fault, u64)| {
        let mut at = random.random_range(0..pause.end);
        while at < end {
            let (fault, lasts) = draw(&mut random);
            steps.push(Step {
                at: Duration::from_millis(at),
                lasts: Duration::from_millis(lasts),
                fault,
            });
            at += lasts + random.random_range(pause.clone());
        }
    };
    series(300..2500, &|random| {
        let gateway = random.random_range(0..gateways);
        match random.random_range(0..3) {
            0 => (Fault::KillGateway(gateway), random.random_range(200..2500)),
            1 => (Fault::StopGateway(gateway), random.random_range(3500..5000)),
            _ => (
                Fault::FreezeGateway(gateway),
                random.random_range(200..3000),
            ),
        }
    });
    series(CONTROL_PAUSE_MS..CONTROL_PAUSE_MS + 3000, &|random| {
        let control = random.random_range(0..CONTROLS);
        match random.random_range(0..4) {
            0 => (Fault::KillControl(control), random.random_range(200..3000)),
            1 => (Fault::StopControl(control), random.random_range(1000..3000)),
            2 => (
                Fault::FreezeControl(control),
                random.random_range(200..4000),
            ),
            _ => (Fault::WipeControl(control), random.random_range(200..2000)),
        }
    });
    for _ in 0..2 {
        series(200..1500, &|random| {
            let service = SERVICES[random.random_range(0..SERVICES.len())];
            let target = format!("{service}-{}", zone(random.random_range(0..TARGETS)));
            let lasts = random.random_range(300..3000);
            let fault = match random.random_range(0..3) {
                0 => Fault::Link(target, Disturbance::draw(random)),
                _ => Fault::Target(target, Behaviour::draw(random)),
            };
            (fault, lasts)
        });
    }
    series(2000..6000, &|random| {
        let zone_number = random.random_range(0..TARGETS);
        if random.random_range(0..2) == 0 {
            (Fault::Drain(zone_number), random.random_range(6000..9000))
        } else {
            let service = SERVICES[random.random_range(0..SERVICES.len())];
            let target = format!("{service}-{}", zone(zone_number));
            (Fault::Leave(target), random.random_range(4000..7000))
        }
    });
    steps.sort_by_key(|step| step.at);
    steps
}

/// The name of a zone.
#[must_use]
pub fn zone(number: u8) -> &'static str {
    ["a", "b", "c"][usize::from(number) % 3]
}

impl Disturbance {
    fn draw(random: &mut Pcg64) -> Self {
        let all = [Self::Delayed, Self::Reset, Self::OneWay, Self::Silent];
        all[random.random_range(0..all.len())]
    }
}
