//! Retries failed calls and hedges late ones, within the budgets of their stage.
//!
//! Owns no state. A call is never repeated once the budget is exhausted.

use azurelug_core::pipeline::{CallId, Event};
use azurelug_core::retry;
use azurelug_types::config::StageKind;

use super::{Driver, RETRY_AFTER, Step};
use crate::metrics::{Repeat, Use};

impl Driver {
    /// Records the cost of a failed call, checks the retry budget, and builds the event of the
    /// failure.
    pub(super) fn failed(&mut self, call: CallId, is_undone: bool) -> Event {
        let may_retry = self.may_retry(&call, is_undone);
        self.count(&call, Use::Wasted);
        Event::Failed {
            call,
            may_retry,
            retry_after: RETRY_AFTER,
        }
    }

    /// Whether a failed call may be repeated. A retry is charged to the stage's budget, unless
    /// another attempt is still running or the target did no work: such a call put no load on the
    /// stage.
    pub(super) fn may_retry(&mut self, call: &CallId, is_undone: bool) -> bool {
        let Some(attempt) = self.attempts.get_mut(call) else {
            return false;
        };
        attempt.is_over = true;
        let kind = attempt.stage;
        if is_undone || call.stage != self.run.stage() || self.has_live_attempt() {
            return true;
        }
        let stage = usize::from(call.stage.0);
        let failure = retry::Failure {
            idempotent: true,
            attempts: call.attempt.0 + 1,
            remaining: self.left(),
            needed: self.gateway.estimates.least_time(&self.classes, stage),
        };
        let result = self.gateway.estimates.retry(kind, failure);
        if result.is_ok() {
            self.gateway.metrics.repeated(kind, Repeat::Retry);
        }
        result.is_ok()
    }

    /// Starts a second attempt in parallel to a late one, if the budget allows it.
    pub(super) async fn hedge(&mut self) -> Step {
        let Some(late) = self.late.take() else {
            return Step::Wait;
        };
        let Some(attempt) = self.attempts.get(&late.call).filter(|it| !it.is_over) else {
            return Step::Wait;
        };
        let kind = attempt.stage;
        let slow = retry::Slow {
            idempotent: true,
            has_tokens: kind == StageKind::Generate,
            waited: attempt.started.elapsed(),
            p95: late.p95,
        };
        if self.gateway.estimates.hedge(kind, slow).is_err() {
            return Step::Wait;
        }
        self.gateway.metrics.repeated(kind, Repeat::Hedge);
        self.take(Event::Slow { call: late.call }).await
    }

    /// Whether an attempt of the current stage is still running.
    pub(super) fn has_live_attempt(&self) -> bool {
        let stage = self.run.stage();
        let mut attempts = self.attempts.iter();
        attempts.any(|(call, attempt)| call.stage == stage && !attempt.is_over)
    }
}
