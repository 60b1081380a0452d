//! The fault schedule of a run, generated from its seed.

use std::time::Duration;

use azurelug_types::rate::Rate;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Options;
use super::crashes::Draft;
use super::targets::{Behaviour, Manner, versions};

/// Number of control daemons, one in each zone.
pub const CONTROL_COUNT: u8 = 3;

/// Number of targets of each service, one in each zone.
pub const TARGETS_PER_SERVICE: u8 = 3;

/// Services whose targets are subject to faults.
pub const SERVICES: [&str; 3] = ["llm", "desk", "encode"];

/// A fault that is injected from outside a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed with SIGKILL, and restarted at the end.
    KillGateway(u8),
    /// A gateway is stopped with SIGTERM, and restarted at the end.
    StopGateway(u8),
    /// A gateway is suspended with SIGSTOP.
    FreezeGateway(u8),
    /// A control daemon is killed with SIGKILL, and restarted at the end.
    KillControl(u8),
    /// A control daemon is stopped with SIGTERM, and restarted at the end.
    StopControl(u8),
    /// A control daemon is suspended with SIGSTOP.
    FreezeControl(u8),
    /// A control daemon is killed and its data folder removed; it is restarted at the end.
    WipeControl(u8),
    /// A target misbehaves.
    Target(String, Behaviour),
    /// A target that is otherwise as it was answers in an unusual manner.
    Manner(String, Manner),
    /// A gateway gets SIGHUP.
    ReloadGateway(u8),
    /// A target names a limit for the requests of all gateways, and no limit at the end.
    Limit(String, Rate),
    /// The gateways' connections to a target fail.
    Link(String, LinkFault),
    /// The platform's list shows a target as draining, and as ready again at the end.
    Leave(String),
    /// Engines crash when they begin to answer a request with a part, which comes in so many of a
    /// thousand requests.
    Part(String, u32),
    /// Targets crash when they begin to answer a request, which comes in so many of a thousand
    /// requests.
    Request(Draft, u32),
    /// Targets of streams of a new version start beside those of the one before, which leave at the
    /// end. A bit for each zone says whether they crash or drain.
    Release(u8, u8),
    /// Operators drain a zone, and undo the drain at the end.
    Drain(u8),
}

/// A connection fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are delayed by 80 ms.
    Delayed,
    /// Open connections are closed.
    Reset,
    /// Bytes from the target to the gateway are dropped.
    OneWay,
    /// All bytes on open connections are dropped; new connections work.
    Silent,
}

/// A scheduled fault.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Start of the fault, as time since the start of the run.
    pub start: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Services whose targets name limits. Requests for pieces don't tell which gateway sent them.
const LIMITED_SERVICES: [&str; 2] = ["llm", "desk"];

/// Distinguishes the random numbers of limits from those of the other faults.
const LIMIT_SEED: u64 = 0x6c69_6d69_7400;

/// Distinguishes the random numbers of long suspensions.
const SUSPENSION_SEED: u64 = 0x7375_7370_656e;

/// Range of the length of long suspensions, in milliseconds: the revocation bound, and time for one
/// to three removals before it.
const SUSPENSION_MS: std::ops::Range<u64> = 6500..8500;

/// Time between a long suspension and another fault of the gateway, in milliseconds: a gateway that
/// stops may end 8 s after the start of its fault, 4.5 s after the planned end.
const SUSPENSION_MARGIN_MS: u64 = 5000;

/// Distinguishes the random numbers of releases.
const RELEASE_SEED: u64 = 0x7265_6c65_6173;

/// Distinguishes the random numbers of parts that crash engines.
const PART_SEED: u64 = 0x7061_7274_7300;

/// Distinguishes the random numbers of whole requests that crash targets.
const REQUEST_SEED: u64 = 0x7265_7175_6573;

/// Requests with a cause of crashes, out of a thousand.
const SHARES: [u32; 5] = [5, 20, 50, 100, 300];

/// Distinguishes the random numbers of manners and reloads from those of the other faults.
const MANNER_SEED: u64 = 0x6d61_6e6e_6572;

/// Minimum time between two faults of control daemons. Only one data folder may be lost at a time,
/// and a control daemon needs several seconds to recover its state from the others.
const CONTROL_FAULT_PAUSE_MS: u64 = 6000;

/// Generates the fault schedule of a seed: one series of faults for gateways, one for control
/// daemons, two for targets, and one for drains and leaving targets. The series overlap.
#[must_use]
pub fn plan(options: &Options) -> Vec<ScheduledFault> {
    let mut random = Pcg64::seed_from_u64(options.seed);
    let end = options.fault_duration.as_millis() as u64;
    let gateways = options.gateways_per_zone * CONTROL_COUNT;
    let mut faults = Vec::new();
    let mut series = |pause: std::ops::Range<u64>, draw: &dyn Fn(&mut Pcg64) -> (Fault, u64)| {
        let mut start = random.random_range(0..pause.end);
        while start < end {
            let (fault, duration) = draw(&mut random);
            faults.push(ScheduledFault {
                start: Duration::from_millis(start),
                duration: Duration::from_millis(duration),
                fault,
            });
            start += duration + random.random_range(pause.clone());
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
    series(
        CONTROL_FAULT_PAUSE_MS..CONTROL_FAULT_PAUSE_MS + 3000,
        &|random| {
            let control = random.random_range(0..CONTROL_COUNT);
            match random.random_range(0..4) {
                0 => (Fault::KillControl(control), random.random_range(200..3000)),
                1 => (Fault::StopControl(control), random.random_range(1000..3000)),
                2 => (
                    Fault::FreezeControl(control),
                    random.random_range(200..4000),
                ),
                _ => (Fault::WipeControl(control), random.random_range(200..2000)),
            }
        },
    );
    for _ in 0..2 {
        series(200..1500, &|random| {
            let service = SERVICES[random.random_range(0..SERVICES.len())];
            let target = format!(
                "{service}-{}",
                zone_name(random.random_range(0..TARGETS_PER_SERVICE))
            );
            let duration = random.random_range(300..3000);
            let fault = match random.random_range(0..3) {
                0 => Fault::Link(target, LinkFault::draw(random)),
                _ => Fault::Target(target, Behaviour::draw(random)),
            };
            (fault, duration)
        });
    }
    series(2000..6000, &|random| {
        let zone_number = random.random_range(0..TARGETS_PER_SERVICE);
        if random.random_range(0..2) == 0 {
            (Fault::Drain(zone_number), random.random_range(6000..9000))
        } else {
            let service = SERVICES[random.random_range(0..SERVICES.len())];
            let target = format!("{service}-{}", zone_name(zone_number));
            (Fault::Leave(target), random.random_range(4000..7000))
        }
    });
    let suspensions = plan_suspensions(options, &faults);
    faults.extend(suspensions);
    faults.extend(plan_limits(options));
    let manners = plan_manners(options, &faults);
    faults.extend(manners);
    if options.versions {
        add_releases(options, &mut faults);
    }
    if options.crashing_parts {
        faults.extend(plan_parts(options));
    }
    if options.crashing_requests {
        faults.extend(plan_requests(options));
    }
    faults.sort_by_key(|fault| fault.start);
    faults
}

/// Generates suspensions of gateways that are longer than the revocation bound, so that keys are
/// removed and the bound passes during them. They have a generator of their own, so that the other
/// faults of a seed remain the same, and concern gateways without another fault at the time.
fn plan_suspensions(options: &Options, others: &[ScheduledFault]) -> Vec<ScheduledFault> {
    let mut random = Pcg64::seed_from_u64(options.seed ^ SUSPENSION_SEED);
    let end = options.fault_duration.as_millis() as u64;
    let gateways = options.gateways_per_zone * CONTROL_COUNT;
    let mut faults = Vec::new();
    let mut start = random.random_range(0..1500);
    while start < end {
        let duration = random.random_range(SUSPENSION_MS);
        let first = random.random_range(0..gateways);
        let from = Duration::from_millis(start.saturating_sub(SUSPENSION_MARGIN_MS));
        let until = Duration::from_millis(start + duration + SUSPENSION_MARGIN_MS);
        let is_free = |gateway: &u8| {
            let number = Some(usize::from(*gateway));
            let mut of_gateway = others.iter().filter(|it| it.fault.gateway() == number);
            of_gateway.all(|other| other.start > until || other.start + other.duration < from)
        };
        let mut candidates = (0..gateways).map(|offset| (first + offset) % gateways);
        if let Some(gateway) = candidates.find(is_free) {
            faults.push(ScheduledFault {
                start: Duration::from_millis(start),
                duration: Duration::from_millis(duration),
                fault: Fault::FreezeGateway(gateway),
            });
            start += duration;
        }
        start += random.random_range(500..2500);
    }
    faults
}

/// Generates the limits of targets. They have a generator of their own, so that the other faults
/// of a seed remain the same.
fn plan_limits(options: &Options) -> Vec<ScheduledFault> {
    let mut random = Pcg64::seed_from_u64(options.seed ^ LIMIT_SEED);
    let end = options.fault_duration.as_millis() as u64;
    let mut faults = Vec::new();
    let mut start = random.random_range(0..2000);
    while start < end {
        let service = LIMITED_SERVICES[random.random_range(0..LIMITED_SERVICES.len())];
        let zone = zone_name(random.random_range(0..TARGETS_PER_SERVICE));
        let rates = [0.3, 1.0, 2.2, 8.0];
        let rate = Rate::from_per_second(rates[random.random_range(0..rates.len())]);
        let duration = random.random_range(5000..12_000);
        faults.push(ScheduledFault {
            start: Duration::from_millis(start),
            duration: Duration::from_millis(duration),
            fault: Fault::Limit(
                format!("{service}-{zone}"),
                rate.expect("the rates are positive"),
            ),
        });
        start += duration + random.random_range(200..2000);
    }
    faults
}

/// Adds releases of new versions, and during each a kill of all gateways at once, in place of the
/// faults that gateways have at the time.
fn add_releases(options: &Options, faults: &mut Vec<ScheduledFault>) {
    let mut random = Pcg64::seed_from_u64(options.seed ^ RELEASE_SEED);
    let end = options.fault_duration.as_millis() as u64;
    let gateways = options.gateways_per_zone * CONTROL_COUNT;
    let mut start = random.random_range(1500..3000);
    for version in 2..=u8::MAX {
        let duration = random.random_range(3000..5000);
        let crashes = random.random_range(0..8);
        let kill = start + random.random_range(1000..duration);
        let down = random.random_range(200..800);
        if kill + down > end {
            break;
        }
        let from = Duration::from_millis(kill.saturating_sub(SUSPENSION_MARGIN_MS));
        let until = Duration::from_millis(kill + down);
        faults.retain(|it| {
            let is_apart = it.start > until || it.start + it.duration < from;
            it.fault.gateway().is_none() || is_apart
        });
        faults.push(ScheduledFault {
            start: Duration::from_millis(start),
            duration: Duration::from_millis(duration),
            fault: Fault::Release(version, crashes),
        });
        faults.extend((0..gateways).map(|gateway| ScheduledFault {
            start: Duration::from_millis(kill),
            duration: Duration::from_millis(down),
            fault: Fault::KillGateway(gateway),
        }));
        start += duration + random.random_range(5000..7000);
    }
}

/// Generates the parts that crash engines. They begin one after the other, after a time without
/// any, and end with the faults.
fn plan_parts(options: &Options) -> Vec<ScheduledFault> {
    let mut random = Pcg64::seed_from_u64(options.seed ^ PART_SEED);
    let end = options.fault_duration.as_millis() as u64;
    let count = random.random_range(1..=2);
    let parts = (1..=count).map(|number| {
        let start = (number * random.random_range(2500..4000)).min(end);
        let share = SHARES[random.random_range(0..SHARES.len())];
        ScheduledFault {
            start: Duration::from_millis(start),
            duration: Duration::from_millis(end - start),
            fault: Fault::Part(format!("{:x}", random.random::<u32>()), share),
        }
    });
    parts.collect()
}

/// Generates the requests that crash targets, as [`plan_parts`] does for parts.
fn plan_requests(options: &Options) -> Vec<ScheduledFault> {
    let mut random = Pcg64::seed_from_u64(options.seed ^ REQUEST_SEED);
    let end = options.fault_duration.as_millis() as u64;
    let count = random.random_range(1..=2);
    let requests = (1..=count).map(|number| {
        let start = (number * random.random_range(2500..4000)).min(end);
        let share = SHARES[random.random_range(0..SHARES.len())];
        ScheduledFault {
            start: Duration::from_millis(start),
            duration: Duration::from_millis(end - start),
            fault: Fault::Request(draw_request(&mut random), share),
        }
    });
    requests.collect()
}

/// Draws a request of any route, without a prompt, with a part of its own, or also with parts that
/// other requests share.
fn draw_request(random: &mut Pcg64) -> Draft {
    let paths = ["/look/x?item=7", "/book/x", "/talk/x", "/chat/x"];
    let path = paths[random.random_range(0..paths.len())];
    let own = random.random::<u32>();
    let prompts = [
        String::new(),
        format!("{own:x}:250"),
        format!("5c1e:800,91bd:400,{own:x}:250"),
    ];
    let prompt = prompts[random.random_range(0..prompts.len())].clone();
    let post = Draft {
        body: format!("body {own:x}"),
        ..Draft::post(path, prompt)
    };
    if path.starts_with("/look") && random.random() {
        return Draft {
            method: Method::GET,
            body: String::new(),
            ..post
        };
    }
    post
}

/// Time after the end of a fault in which answers that began during the fault end.
const ANSWER_TIME: Duration = Duration::from_millis(4000);

/// Generates the manners of targets, in two series, and the reloads of gateways, with a generator of
/// their own.
fn plan_manners(options: &Options, others: &[ScheduledFault]) -> Vec<ScheduledFault> {
    let mut random = Pcg64::seed_from_u64(options.seed ^ MANNER_SEED);
    let end = options.fault_duration.as_millis() as u64;
    let gateways = options.gateways_per_zone * CONTROL_COUNT;
    let mut faults = Vec::new();
    for _ in 0..2 {
        let mut start = random.random_range(0..1500);
        while start < end {
            let service = SERVICES[random.random_range(0..SERVICES.len())];
            let zone = zone_name(random.random_range(0..TARGETS_PER_SERVICE));
            let target = format!("{service}-{zone}");
            let mut manner = Manner::draw(&mut random);
            let duration = random.random_range(2000..6000);
            let gateway = random.random_range(0..gateways);
            let until = Duration::from_millis(start + duration) + ANSWER_TIME;
            let is_closed = options.has_crashes()
                || (options.versions && service == versions::SERVICE)
                || others.iter().any(|other| {
                    let link = Fault::Link(target.clone(), LinkFault::Reset);
                    let end = other.start + other.duration;
                    other.fault == link
                        && other.start < until
                        && end >= Duration::from_millis(start)
                });
            if is_closed {
                // The proxy's close, also at a crash or the end of an old version, would mark the end
                // of an unframed answer.
                manner = Manner::Pauses;
            }
            let fault = Fault::Manner(target, manner);
            for (fault, duration) in [(fault, duration), (Fault::ReloadGateway(gateway), 0)] {
                faults.push(ScheduledFault {
                    start: Duration::from_millis(start),
                    duration: Duration::from_millis(duration),
                    fault,
                });
            }
            start += duration + random.random_range(100..1000);
        }
    }
    faults
}

impl Fault {
    /// The gateway whose process this fault concerns.
    #[must_use]
    pub fn gateway(&self) -> Option<usize> {
        match self {
            Self::KillGateway(it) | Self::StopGateway(it) | Self::FreezeGateway(it) => {
                Some(usize::from(*it))
            }
            _ => None,
        }
    }
}

/// The name of a zone.
#[must_use]
pub fn zone_name(number: u8) -> &'static str {
    ["a", "b", "c"][usize::from(number) % 3]
}

impl LinkFault {
    fn draw(random: &mut Pcg64) -> Self {
        let all = [Self::Delayed, Self::Reset, Self::OneWay, Self::Silent];
        all[random.random_range(0..all.len())]
    }
}
