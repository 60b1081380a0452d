//! A randomized soak test of a deployment: runs gateways and control daemons as real processes,
//! injects faults from outside, and checks what callers, operators and targets observe.
//!
//! A seed determines the fault schedule, but not the timing of the processes. A run with violations
//! may not be reproducible, so its logs are kept.

pub mod callers;
pub mod checker;
pub mod crashes;
pub mod deployment;
pub mod keys;
pub mod limits;
pub mod load;
pub mod operator;
pub mod plan;
pub mod probes;
pub mod resumers;
pub mod rollouts;
pub mod streams;
pub mod targets;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use checker::{Checker, Report};
use deployment::Deployment;
use plan::{Fault, ScheduledFault};

/// Time after the last fault within which the deployment must serve requests again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Length of the final measurement of served requests.
pub const MEASUREMENT_TIME: Duration = Duration::from_secs(4);

/// Size and duration of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the fault schedule.
    pub seed: u64,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
    /// Gateways in each of the three zones.
    pub gateways_per_zone: u8,
    /// Targets of each service in each zone.
    pub targets_per_zone: u8,
    /// Whether parts of prompts crash engines.
    pub crashing_parts: bool,
    /// Whether whole requests crash targets.
    pub crashing_requests: bool,
    /// Whether targets of streams of further software versions come beside the old ones, which leave,
    /// and clients resume streams.
    pub versions: bool,
    /// Whether an operator orders roll-outs of plain targets to new versions, good and bad ones. Not
    /// together with `versions`: the bounds of roll-outs hold back versions that no order names.
    pub rollouts: bool,
    /// Number of concurrent callers; each sends one request at a time.
    pub callers: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            fault_duration: Duration::from_secs(20),
            gateways_per_zone: 2,
            targets_per_zone: 1,
            crashing_parts: false,
            crashing_requests: false,
            versions: false,
            rollouts: false,
            callers: 24,
        }
    }
}

impl Options {
    /// Whether requests crash targets.
    pub(crate) fn has_crashes(&self) -> bool {
        self.crashing_parts || self.crashing_requests
    }
}

/// Runs one seed.
///
/// # Panics
/// If a process can't be started.
pub async fn run(options: &Options) -> Report {
    let plan = plan::plan(options);
    let checker = Arc::new(Checker::default());
    for scheduled in &plan {
        match &scheduled.fault {
            Fault::Part(part, _) => checker.crashes.add_part("llm", part),
            Fault::Request(draft, _) => checker.crashes.add_request(draft),
            _ => {}
        }
    }
    let mut deployment = Deployment::start(options, Arc::clone(&checker)).await;
    let mut callers = callers::start(&deployment, options);
    callers.extend(probes::start(&deployment, options));
    if options.versions {
        callers.extend(resumers::start(&deployment, options));
    }
    if options.rollouts {
        callers.push(rollouts::orders::start(&deployment, options));
    }
    let operator = operator::start(&deployment, options.seed);
    let started = Instant::now();
    let mut pending_ends: Vec<(Duration, Fault)> = Vec::new();
    for ScheduledFault {
        start,
        duration,
        fault,
    } in plan.iter().cloned()
    {
        end_faults_until(&mut deployment, &mut pending_ends, started, start).await;
        sleep_until(started + start).await;
        checker.record_fault(&fault);
        deployment.start_fault(&fault);
        pending_ends.push((start + duration, fault));
        pending_ends.sort_by_key(|(end, _)| *end);
    }
    end_faults_until(&mut deployment, &mut pending_ends, started, Duration::MAX).await;
    sleep(RECOVERY_TIME).await;
    let before = checker.outcome_counts();
    sleep(MEASUREMENT_TIME).await;
    checker.check_recovery(&before);
    operator.abort();
    for caller in callers {
        caller.abort();
    }
    deployment.finish(options.seed, &checker, &plan)
}

/// Ends, in order, the faults whose end time is at or before `limit`.
async fn end_faults_until(
    deployment: &mut Deployment,
    pending_ends: &mut Vec<(Duration, Fault)>,
    started: Instant,
    limit: Duration,
) {
    while pending_ends.first().is_some_and(|(end, _)| *end <= limit) {
        let (end, fault) = pending_ends.remove(0);
        sleep_until(started + end).await;
        deployment.end_fault(&fault).await;
    }
}
