//! A randomized soak test of a deployment: runs gateways and control daemons as real processes,
//! injects faults from outside, and checks what callers, operators and targets observe.
//!
//! A seed determines the fault schedule, but not the timing of the processes. A run with violations
//! may not be reproducible, so its logs are kept.

pub mod callers;
pub mod operator;
pub mod plan;
pub mod targets;
pub mod verdict;
pub mod world;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use plan::{Fault, Step};
use verdict::{Report, Verdict};
use world::World;

/// Time after the last fault within which the deployment must serve requests again.
pub const RECOVERY: Duration = Duration::from_secs(10);

/// Length of the final measurement of served requests.
pub const MEASURED: Duration = Duration::from_secs(4);

/// Size and duration of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the fault schedule.
    pub seed: u64,
    /// Time during which faults are injected.
    pub faults_for: Duration,
    /// Gateways in each of the three zones.
    pub gateways: u8,
    /// Number of concurrent callers; each sends one request at a time.
    pub callers: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            faults_for: Duration::from_secs(20),
            gateways: 2,
            callers: 24,
        }
    }
}

/// Runs one seed.
///
/// # Panics
/// If a process can't be started.
pub async fn run(options: &Options) -> Report {
    let plan = plan::plan(options);
    let verdict = Arc::new(Verdict::default());
    let mut world = World::start(options, Arc::clone(&verdict)).await;
    let callers = callers::start(&world, options);
    let operator = operator::start(&world, options.seed);
    let started = Instant::now();
    let mut ends: Vec<(Duration, Fault)> = Vec::new();
    for Step { at, lasts, fault } in plan.iter().cloned() {
        end_until(&mut world, &mut ends, started, at).await;
        sleep_until(started + at).await;
        verdict.injected(&fault);
        world.begin(&fault);
        ends.push((at + lasts, fault));
        ends.sort_by_key(|(end, _)| *end);
    }
    end_until(&mut world, &mut ends, started, Duration::MAX).await;
    sleep(RECOVERY).await;
    let measured = verdict.counts();
    sleep(MEASURED).await;
    verdict.check_recovery(&measured);
    operator.abort();
    for caller in callers {
        caller.abort();
    }
    world.close(options.seed, &verdict, &plan)
}

/// Ends, in order, the faults whose end time is at or before `limit`.
async fn end_until(
    world: &mut World,
    ends: &mut Vec<(Duration, Fault)>,
    started: Instant,
    limit: Duration,
) {
    while ends.first().is_some_and(|(end, _)| *end <= limit) {
        let (end, fault) = ends.remove(0);
        sleep_until(started + end).await;
        world.end(&fault).await;
    }
}
