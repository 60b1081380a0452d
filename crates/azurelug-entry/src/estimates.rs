//! Measured latencies and repeat budgets of the stages, and the time limits that follow from them.
//!
//! Owns the daemon's latency distributions and one budget for each stage kind. Never sends anything.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::latency::{Class, Latencies};
use azurelug_core::retry::{Budget, Denied, Failure, Slow};
use azurelug_types::config::{Stage, StageKind};
use azurelug_types::id::PipelineName;

/// A stage may use at least this part of the time that the other stages leave. Its measured share
/// alone would cut off every call of a fast stage that turns slower, until enough of them were
/// recorded as cut off.
const LEAST_PART: u32 = 8;

/// Generations up to this length are short calls, such as look-ups. They run before longer ones and
/// have reserved slots, so that they are not starved.
const SHORT_TOKENS: u32 = 64;

/// Whether a call that asks for this many tokens is a short one.
pub fn is_short(max_tokens: u32) -> bool {
    max_tokens <= SHORT_TOKENS
}

/// The latency classes of one request, in the order of its stages.
#[derive(Clone, Debug)]
pub struct Classes {
    /// Whole calls.
    stages: Vec<Class>,
    /// Calls up to their first sign of success: the first token, or the whole answer of a stage
    /// without tokens.
    heads: Vec<Class>,
    /// Whole requests from their admission on.
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

    /// The class of calls of a stage up to the first token.
    pub fn head(&self, stage: usize) -> Class {
        self.heads[stage]
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
    /// The classes of a request for a pipeline.
    pub fn classes(&self, pipeline: &PipelineName, stages: &[Stage], is_short: bool) -> Classes {
        let length = if is_short { "short" } else { "long" };
        let mut state = self.lock();
        let class = |state: &mut State, place: usize, kind: StageKind, part: &str| {
            let kind = kind.as_str();
            // A pipeline may have several stages of one kind.
            let name = format!("{pipeline}/{place}-{kind}/{length}{part}");
            state.latencies.class(&name)
        };
        let mut classes = Classes {
            stages: Vec::with_capacity(stages.len()),
            heads: Vec::with_capacity(stages.len()),
            total: state.latencies.class(&format!("{pipeline}/{length}/total")),
        };
        for (place, stage) in stages.iter().enumerate() {
            let whole = class(&mut state, place, stage.kind, "");
            classes.stages.push(whole);
            classes.heads.push(match stage.kind {
                StageKind::Generate => class(&mut state, place, stage.kind, "/first-token"),
                _ => whole,
            });
        }
        classes
    }

    /// Records a successful call.
    pub fn record(&self, class: Class, latency: Duration) {
        self.lock().latencies.record(class, latency);
    }

    /// Records a call that was given up after `waited`.
    pub fn cut_off(&self, class: Class, waited: Duration) {
        self.lock().latencies.cut_off(class, waited);
    }

    /// Computes the quantiles; about once a second.
    pub fn tick(&self, now: Duration) {
        self.lock().latencies.tick(now);
    }

    /// Runs `read` on the latencies and on those classes of whole calls that were measured lately.
    /// A request is not refused because of a stage of which nothing recent is known.
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

    /// The typical time of a whole call.
    pub fn typical(&self, class: Class) -> Duration {
        self.lock().latencies.quantiles(class).p50
    }

    /// How late a call must be before it is hedged.
    pub fn p95(&self, class: Class) -> Duration {
        self.lock().latencies.completed(class).p95
    }

    /// How long a call may wait for a slot: the stage's share of the remaining deadline, as long as
    /// this and the later stages still fit in afterwards, but at least an eighth of the time that the
    /// later stages leave.
    pub fn wait_limit(&self, classes: &Classes, stage: usize, remaining: Duration) -> Duration {
        let state = self.lock();
        let latencies = &state.latencies;
        let stages = &classes.stages[stage..];
        let least = remaining.saturating_sub(latencies.usual(&stages[1..])) / LEAST_PART;
        let left = remaining.saturating_sub(latencies.usual(stages));
        latencies.share(remaining, stages).min(left).max(least)
    }

    /// Whether a call of the stage would probably end in time at a target in cold start.
    pub fn fits_cold(&self, classes: &Classes, stage: usize, remaining: Duration) -> bool {
        let state = self.lock();
        // Of a stage that was not measured lately nothing can be said.
        !state.latencies.is_measured(classes.stages[stage])
            || state
                .latencies
                .fits_cold(remaining, &classes.stages[stage..])
    }

    /// How long an attempt at a stage may take until its first sign of success.
    pub fn time_limit(&self, classes: &Classes, stage: usize, remaining: Duration) -> Duration {
        let state = self.lock();
        let stages = &classes.stages[stage..];
        state
            .latencies
            .time_limit(remaining, classes.heads[stage], stages)
    }

    /// How much longer requests take from admission to their answer than their stages' p90 add up
    /// to, because they wait for slots between stages.
    pub fn overrun(&self, classes: &Classes) -> Duration {
        let state = self.lock();
        let latencies = &state.latencies;
        if !latencies.is_measured(classes.total) {
            return Duration::ZERO;
        }
        let stages = latencies.usual(&classes.stages);
        latencies
            .quantiles(classes.total)
            .p95
            .saturating_sub(stages)
    }

    /// The p90 of all stages that were measured lately.
    pub fn needed(&self, classes: &Classes) -> Duration {
        self.lock().latencies.usual(&classes.stages)
    }

    /// Whether all stages were measured lately.
    pub fn is_measured(&self, classes: &Classes) -> bool {
        let state = self.lock();
        let mut stages = classes.stages.iter();
        stages.all(|class| state.latencies.is_measured(*class))
    }

    /// The least time that the stages from `stage` on are expected to take. Classes without recent
    /// measurements count nothing.
    pub fn least_time(&self, classes: &Classes, stage: usize) -> Duration {
        let state = self.lock();
        let latencies = &state.latencies;
        classes.stages[stage..]
            .iter()
            .filter(|class| latencies.is_measured(**class))
            .map(|class| latencies.quantiles(*class).p50)
            .sum()
    }

    /// A call of the stage has succeeded.
    pub fn success(&self, kind: StageKind) {
        self.lock().budgets.entry(kind).or_default().success();
    }

    /// Takes a retry from the stage's budget.
    ///
    /// # Errors
    /// Why there is none.
    pub fn retry(&self, kind: StageKind, failure: Failure) -> Result<(), Denied> {
        self.lock().budgets.entry(kind).or_default().retry(failure)
    }

    /// Takes a hedge from the stage's budget.
    ///
    /// # Errors
    /// Why there is none.
    pub fn hedge(&self, kind: StageKind, slow: Slow) -> Result<(), Denied> {
        self.lock().budgets.entry(kind).or_default().hedge(slow)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
