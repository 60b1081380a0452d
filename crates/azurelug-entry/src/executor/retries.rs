//! Retries failed calls and hedges late ones, within the budgets of their stage.
//!
//! Owns no state. A call is never repeated once the budget is exhausted.

use azurelug_core::pipeline::{CallId, Event};
use azurelug_core::retry;
use azurelug_types::config::StageKind;
use tokio::time::Instant;

use super::{Executor, RETRY_AFTER, StepResult};
use crate::metrics::{RepeatKind, Usefulness};

impl Executor {
    /// Records the cost of a failed call, checks the retry budget, and builds the event of the
    /// failure.
    pub(super) fn failure_event(&mut self, call: CallId, is_not_executed: bool) -> Event {
        let may_retry = self.may_retry(&call, is_not_executed);
        self.record_cost(&call, Usefulness::Wasted);
        // The remaining calls of the stage may all be silent.
        self.takeover_at = Some(Instant::now());
        Event::Failed {
            call,
            may_retry,
            retry_after: RETRY_AFTER,
        }
    }

    /// Whether a failed call may be repeated. A retry is charged to the stage's budget, unless
    /// another attempt is still running or the target did no work: such a call put no load on the
    /// stage.
    pub(super) fn may_retry(&mut self, call: &CallId, is_not_executed: bool) -> bool {
        let Some(attempt) = self.attempts.get_mut(call) else {
            return false;
        };
        attempt.is_finished = true;
        let kind = attempt.stage;
        if is_not_executed || call.stage != self.run.stage() || self.has_live_attempt() {
            return true;
        }
        let stage = usize::from(call.stage.0);
        let failure = retry::FailedCall {
            idempotent: true,
            attempts: call.attempt.0 + 1,
            remaining: self.time_left(),
            needed: self
                .entry_state
                .estimates
                .min_duration(&self.classes, stage),
        };
        let result = self.entry_state.estimates.charge_retry(kind, failure);
        if result.is_ok() {
            self.entry_state
                .metrics
                .record_repeat(kind, RepeatKind::Retry);
        }
        result.is_ok()
    }

    /// Starts a second attempt in parallel to a late one, if the budget allows it.
    pub(super) async fn hedge(&mut self) -> StepResult {
        let Some(timer) = self.hedge_timer.take() else {
            return StepResult::Wait;
        };
        let Some(attempt) = self.attempts.get(&timer.call).filter(|it| !it.is_finished) else {
            return StepResult::Wait;
        };
        let kind = attempt.stage;
        let slow = retry::SlowCall {
            idempotent: true,
            has_tokens: kind == StageKind::Generate,
            waited: attempt.started.elapsed(),
            p95: timer.p95,
        };
        if self.entry_state.estimates.charge_hedge(kind, slow).is_err() {
            return StepResult::Wait;
        }
        self.entry_state
            .metrics
            .record_repeat(kind, RepeatKind::Hedge);
        self.handle_event(Event::Slow { call: timer.call }).await
    }

    /// Whether an attempt of the current stage is still running.
    pub(super) fn has_live_attempt(&self) -> bool {
        let stage = self.run.stage();
        let mut attempts = self.attempts.iter();
        attempts.any(|(call, attempt)| call.stage == stage && !attempt.is_finished)
    }
}
