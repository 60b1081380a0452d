//! Measured latencies and retry budgets of the stages, and the time limits derived from them.
//!
//! Owns the daemon's latency distributions and one budget for each stage kind. Does no I/O.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::latency::{Class, Latencies};
use azurelug_core::retry::{Budget, Denied, FailedCall, SlowCall};
use azurelug_types::config::{Stage, StageKind};
use azurelug_types::id::PipelineName;

/// A stage may use at least one part in this many of the time that the other stages leave. With its
/// measured share alone, every call of a fast stage that becomes slower would time out, until
/// enough timeouts were recorded.
const MIN_WAIT_DIVISOR: u32 = 8;

/// Requests for at most this many tokens count as short, for instance look-ups. They have priority
/// over longer ones and have reserved slots, so that long requests don't starve them.
const SHORT_MAX_TOKENS: u32 = 64;

/// Whether a request with this token limit counts as short.
pub fn is_short(max_tokens: u32) -> bool {
    max_tokens <= SHORT_MAX_TOKENS
}

/// The latency classes of one request, in the order of its stages.
#[derive(Clone, Debug)]
pub struct Classes {
    /// Whole calls, by stage.
    stages: Vec<Class>,
    /// Calls up to their first token, by stage; whole calls for a stage without tokens.
    first_responses: Vec<Class>,
    /// Whole requests, from admission to the end.
    total: Class,
}

impl Classes {
    /// The class of whole requests.
    pub fn total(&self) -> Class {
        self.total
    }

    /// The class of whole calls of a stage.
    pub fn stage(&self, stage: usize) -> Class {
        self.stages[stage]
    }

    /// The class of calls of a stage up to the first token; whole calls if the stage has no tokens.
    pub fn first_response(&self, stage: usize) -> Class {
        self.first_responses[stage]
    }
}

/// The estimates of one daemon.
#[derive(Debug, Default)]
pub struct Estimates {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    latencies: Latencies,
    budgets: HashMap<StageKind, Budget>,
}

impl Estimates {
    /// The latency classes of a request for a pipeline.
    pub fn classes(&self, pipeline: &PipelineName, stages: &[Stage], is_short: bool) -> Classes {
        let length = if is_short { "short" } else { "long" };
        let mut state = self.lock();
        let class = |state: &mut State, stage_index: usize, kind: StageKind, suffix: &str| {
            let kind = kind.as_str();
            // A pipeline may have several stages of one kind.
            let name = format!("{pipeline}/{stage_index}-{kind}/{length}{suffix}");
            state.latencies.class(&name)
        };
        let mut classes = Classes {
            stages: Vec::with_capacity(stages.len()),
            first_responses: Vec::with_capacity(stages.len()),
            total: state.latencies.class(&format!("{pipeline}/{length}/total")),
        };
        for (stage_index, stage) in stages.iter().enumerate() {
            let whole = class(&mut state, stage_index, stage.kind, "");
            classes.stages.push(whole);
            classes.first_responses.push(match stage.kind {
                StageKind::Generate => class(&mut state, stage_index, stage.kind, "/first-token"),
                _ => whole,
            });
        }
        classes
    }

    /// Records the latency of a successful call.
    pub fn record(&self, class: Class, latency: Duration) {
        self.lock().latencies.record(class, latency);
    }

    /// Records a call that timed out after `waited`.
    pub fn record_timeout(&self, class: Class, waited: Duration) {
        self.lock().latencies.record_cut_off(class, waited);
    }

    /// Updates the quantiles; called about once a second.
    pub fn tick(&self, now: Duration) {
        self.lock().latencies.tick(now);
    }

    /// Runs `read` on the latencies and on those classes of whole calls that have recent
    /// measurements. A stage without recent measurements must not cause a refusal.
    pub fn with_measured<T>(
        &self,
        classes: &Classes,
        read: impl FnOnce(&Latencies, &[Class]) -> T,
    ) -> T {
        let state = self.lock();
        let is_measured = |class: &Class| state.latencies.is_measured(*class);
        let measured: Vec<Class> = classes.stages.iter().copied().filter(is_measured).collect();
        read(&state.latencies, &measured)
    }

    /// The median latency of a class.
    pub fn median(&self, class: Class) -> Duration {
        self.lock().latencies.quantiles(class).p50
    }

    /// The time after which a call is hedged: the 95th percentile of completed calls.
    pub fn hedge_delay(&self, class: Class) -> Duration {
        self.lock().latencies.completed_quantiles(class).p95
    }

    /// How long a call may wait for a slot: the stage's share of the remaining time, limited so
    /// that this and the later stages still fit in afterwards, but at least an eighth of the time
    /// that the later stages leave.
    pub fn wait_limit(&self, classes: &Classes, stage: usize, remaining: Duration) -> Duration {
        let state = self.lock();
        let latencies = &state.latencies;
        let stages = &classes.stages[stage..];
        let min_wait =
            remaining.saturating_sub(latencies.measured_p90_sum(&stages[1..])) / MIN_WAIT_DIVISOR;
        let slack = remaining.saturating_sub(latencies.measured_p90_sum(stages));
        latencies.share(remaining, stages).min(slack).max(min_wait)
    }

    /// Whether a call of the stage is likely to complete in time at a target in cold start.
    pub fn fits_cold(&self, classes: &Classes, stage: usize, remaining: Duration) -> bool {
        let state = self.lock();
        // Without recent measurements of the stage, no prediction is possible.
        !state.latencies.is_measured(classes.stages[stage])
            || state
                .latencies
                .fits_cold(remaining, &classes.stages[stage..])
    }

    /// Time limit of an attempt at a stage until its first token, or its answer if it has no
    /// tokens.
    pub fn attempt_timeout(
        &self,
        classes: &Classes,
        stage: usize,
        remaining: Duration,
    ) -> Duration {
        let state = self.lock();
        let stages = &classes.stages[stage..];
        state
            .latencies
            .time_limit(remaining, classes.first_responses[stage], stages)
    }

    /// The time by which the p95 of whole requests exceeds the sum of the p90 of their stages,
    /// because requests wait for slots between stages.
    pub fn queueing_overhead(&self, classes: &Classes) -> Duration {
        let state = self.lock();
        let latencies = &state.latencies;
        if !latencies.is_measured(classes.total) {
            return Duration::ZERO;
        }
        let stages = latencies.measured_p90_sum(&classes.stages);
        latencies
            .quantiles(classes.total)
            .p95
            .saturating_sub(stages)
    }

    /// The sum of the p90 of all stages with recent measurements.
    pub fn usual_duration(&self, classes: &Classes) -> Duration {
        self.lock().latencies.measured_p90_sum(&classes.stages)
    }

    /// Whether all stages have recent measurements.
    pub fn is_measured(&self, classes: &Classes) -> bool {
        let state = self.lock();
        let mut stages = classes.stages.iter();
        stages.all(|class| state.latencies.is_measured(*class))
    }

    /// The time that the stages from `stage` on need at least: the sum of their medians. Stages
    /// without recent measurements count as zero.
    pub fn min_duration(&self, classes: &Classes, stage: usize) -> Duration {
        let state = self.lock();
        let latencies = &state.latencies;
        classes.stages[stage..]
            .iter()
            .filter(|class| latencies.is_measured(**class))
            .map(|class| latencies.quantiles(*class).p50)
            .sum()
    }

    /// Credits the stage's budget for a successful call.
    pub fn credit_success(&self, kind: StageKind) {
        self.lock().budgets.entry(kind).or_default().success();
    }

    /// Charges a retry to the stage's budget.
    ///
    /// # Errors
    /// The reason why a retry is denied.
    pub fn charge_retry(&self, kind: StageKind, failure: FailedCall) -> Result<(), Denied> {
        self.lock().budgets.entry(kind).or_default().retry(failure)
    }

    /// Charges a hedge to the stage's budget.
    ///
    /// # Errors
    /// The reason why a hedge is denied.
    pub fn charge_hedge(&self, kind: StageKind, slow: SlowCall) -> Result<(), Denied> {
        self.lock().budgets.entry(kind).or_default().hedge(slow)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
