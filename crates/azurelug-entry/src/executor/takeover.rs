//! Starts another call beside one that is silent, within the retry budget of the stage.
//!
//! Silence does not tell whether a call has failed: the silent call goes on until another one
//! delivers, and the other one is cancelled if the silent call goes on first.

use std::time::Duration;

use azurelug_core::pipeline::{Action, CallId, Event};
use azurelug_core::retry::{Denied, FailedCall};
use azurelug_core::routing::{Completion, NoTarget};
use azurelug_types::id::StageIndex;
use tokio::time::Instant;

use super::dispatch::Need;
use super::{Attempt, Executor, StepResult};
use crate::metrics::{RepeatKind, Usefulness};
use crate::slots::Slot;

/// Interval of the check while no other target has a free slot.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the check while the retry budget is exhausted.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Executor {
    /// Records that a call has not answered in time.
    pub(super) fn record_silence(&mut self, call: &CallId) {
        if let Some(attempt) = self.attempts.get_mut(call) {
            let now = Instant::now();
            attempt.silent_since = Some(now);
            self.takeover_at = Some(now);
        }
    }

    /// Starts another call of the stage if all of its calls are silent, a target has a free slot and
    /// the retry budget allows it.
    pub(super) fn check_takeover(&mut self) -> StepResult {
        self.takeover_at = None;
        let Some((call, silent_since)) = self.silent_call() else {
            return StepResult::Wait;
        };
        let mut need = self.need(call.stage);
        if silent_since.elapsed() >= self.wait_limit(call.stage) / 2 {
            need.include_tried();
        }
        let Ok(slot) = self.try_acquire_other(&call, &need) else {
            self.takeover_at = Some(Instant::now() + BUSY_CHECK_INTERVAL);
            return StepResult::Wait;
        };
        if let Err(denied) = self.charge_takeover(&call) {
            slot.in_flight.release(Completion::Cancelled, None);
            if denied == Denied::Budget {
                self.takeover_at = Some(Instant::now() + BUDGET_CHECK_INTERVAL);
            }
            return StepResult::Wait;
        }
        log::debug!("entry: call {call} is silent; trying another target");
        let actions = self.run.step(Event::Slow { call: call.clone() });
        let [
            Action::Dispatch {
                call: other,
                resume_from,
                ..
            },
        ] = actions.as_slice()
        else {
            slot.in_flight.release(Completion::Cancelled, None);
            return StepResult::Wait;
        };
        self.start(other, *resume_from, slot);
        if let Some(attempt) = self.attempts.get_mut(other) {
            attempt.is_takeover = true;
        }
        StepResult::Wait
    }

    /// After a token of `call`: cancels the calls of its stage that are silent, and those that were
    /// started because all others were.
    pub(super) fn complete_takeover(&mut self, call: &CallId) {
        if let Some(attempt) = self.attempts.get_mut(call) {
            attempt.silent_since = None;
        }
        let is_superfluous =
            |attempt: &Attempt| attempt.silent_since.is_some() || attempt.is_takeover;
        let superfluous: Vec<CallId> = self
            .live_attempts(call.stage)
            .filter(|(other, attempt)| *other != call && is_superfluous(attempt))
            .map(|(other, _)| other.clone())
            .collect();
        for other in superfluous {
            self.cancel(other);
        }
    }

    /// Cancels a call while another one of its stage goes on.
    pub(super) fn cancel(&mut self, call: CallId) {
        let Some(attempt) = self.attempts.get_mut(&call).filter(|it| !it.is_finished) else {
            return;
        };
        attempt.is_finished = true;
        attempt.abort.abort();
        self.record_cost(&call, Usefulness::Wasted);
        // Another attempt is running, so the state machine returns no actions.
        self.run.step(Event::Failed {
            call,
            may_retry: false,
            retry_after: Duration::ZERO,
        });
    }

    /// A call of the current stage and the time since which all calls of the stage are silent; none
    /// if one of them is not.
    fn silent_call(&self) -> Option<(CallId, Instant)> {
        let mut silent = None;
        for (call, attempt) in self.live_attempts(self.run.stage()) {
            let since = attempt.silent_since?;
            if silent.is_none_or(|(_, latest)| latest < since) {
                silent = Some((call, since));
            }
        }
        silent.map(|(call, since)| (call.clone(), since))
    }

    fn live_attempts(&self, stage: StageIndex) -> impl Iterator<Item = (&CallId, &Attempt)> {
        let attempts = self.attempts.iter();
        attempts.filter(move |(call, attempt)| call.stage == stage && !attempt.is_finished)
    }

    fn try_acquire_other(&self, call: &CallId, need: &Need) -> Result<Slot, NoTarget> {
        let query = need.query();
        // This check is not recorded in the recent decisions, which repeated checks would otherwise
        // fill.
        let available = self
            .entry_state
            .with_router(|router, now| router.choose(&query, now).map(|_| ()));
        if let Err(NoTarget::AllBusy { .. }) = available {
            self.entry_state.shares.mark_starved(query.need);
        }
        available?;
        self.try_acquire(&call.to_string(), need, true)
    }

    fn charge_takeover(&self, call: &CallId) -> Result<(), Denied> {
        let kind = self.pipeline.stages[usize::from(call.stage.0)].kind;
        let estimates = &self.entry_state.estimates;
        let stage = usize::from(call.stage.0);
        let failure = FailedCall {
            idempotent: true,
            attempts: self.run.attempts(),
            remaining: self.time_left(),
            needed: estimates.min_duration(&self.classes, stage),
        };
        estimates.charge_retry(kind, failure)?;
        let metrics = &self.entry_state.metrics;
        metrics.record_repeat(kind, RepeatKind::Retry);
        Ok(())
    }
}
