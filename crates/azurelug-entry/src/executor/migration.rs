//! Migrates running streams away from targets that are leaving.
//!
//! Owns the state of the migration. The old call continues until the new one delivers a token, so
//! that a failed migration does not affect the caller.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_core::pipeline::{CallId, Event};
use azurelug_core::routing::{NoTarget, Query, Requirement};
use azurelug_types::config::StageKind;
use azurelug_types::id::TargetKey;
use tokio::time::Instant;

use super::{Executor, StepResult};

/// Interval of the check whether the target of a running stream is leaving. A draining target stays
/// up for at least the 3 s within which new work stops.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the check while all other targets are busy. Slots of targets in other zones are
/// granted only for as long as they are requested.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of migration attempts per request. Each also counts as an attempt of the stage.
const MAX_MIGRATIONS: u8 = 2;

/// The migration state of a request's stream.
pub(super) struct Migration {
    /// Time of the next check of the target.
    pub(super) next_check: Instant,
    /// The old call, which is cancelled when the new one delivers.
    old_call: Option<CallId>,
    count: u8,
}

impl Default for Migration {
    fn default() -> Self {
        Self {
            next_check: Instant::now() + CHECK_INTERVAL,
            old_call: None,
            count: 0,
        }
    }
}

impl Migration {
    /// Whether a call is being replaced by another one.
    pub(super) fn is_active(&self) -> bool {
        self.old_call.is_some()
    }
}

impl Executor {
    /// Starts a second call for a stream whose target is leaving, if another target has a free
    /// slot.
    pub(super) async fn check_migration(&mut self) -> StepResult {
        self.migration.next_check = Instant::now() + CHECK_INTERVAL;
        let stage = self.run.stage();
        let mut live = self.attempts.iter().filter(|(call, attempt)| {
            call.stage == stage && attempt.stage == StageKind::Generate && !attempt.is_finished
        });
        let (Some((call, attempt)), None) = (live.next(), live.next()) else {
            return StepResult::Wait;
        };
        if self.migration.count >= MAX_MIGRATIONS || attempt.tokens == 0 {
            return StepResult::Wait;
        }
        let (call, key) = (call.clone(), attempt.key);
        let has_room = {
            let model = &self.pipeline.stages[usize::from(stage.0)].model;
            let query = Query {
                need: Requirement::Stage(StageKind::Generate, model),
                idempotent: true,
                prefix: &[],
                exclude: &[key],
                avoid_cold: false,
            };
            let chosen = self.entry_state.with_router(|router, now| {
                let is_leaving = router.is_leaving(key);
                is_leaving.then(|| router.choose(&query, now).map(|_| ()))
            });
            if let Some(Err(NoTarget::AllBusy { .. })) = chosen {
                self.entry_state.shares.mark_starved(query.need);
                self.migration.next_check = Instant::now() + BUSY_CHECK_INTERVAL;
            }
            matches!(chosen, Some(Ok(())))
        };
        if !has_room {
            return StepResult::Wait;
        }
        log::debug!("entry: call {call}: its target is leaving; migrating to another target");
        self.migration.count += 1;
        self.migration.old_call = Some(call.clone());
        self.handle_event(Event::Slow { call }).await
    }

    /// Completes a migration: cancels the old call once another one delivers.
    pub(super) fn complete_migration(&mut self, new_call: &CallId) {
        if self
            .migration
            .old_call
            .as_ref()
            .is_none_or(|old_call| old_call == new_call || old_call.stage != new_call.stage)
        {
            return;
        }
        let Some(old_call) = self.migration.old_call.take() else {
            return;
        };
        self.cancel(old_call);
    }

    /// The engine that may hold the KV cache of the latest earlier call of a stream, and that call.
    pub(super) fn kv_source(
        &self,
        call: &CallId,
        new_target: TargetKey,
    ) -> Option<(SocketAddr, CallId)> {
        self.attempts
            .iter()
            .filter(|(earlier, attempt)| earlier.stage == call.stage && attempt.tokens > 0)
            .max_by_key(|(earlier, _)| earlier.attempt.0)
            .filter(|(_, attempt)| {
                attempt.key != new_target && attempt.stage == StageKind::Generate
            })
            .map(|(earlier, attempt)| (attempt.address, earlier.clone()))
    }
}
