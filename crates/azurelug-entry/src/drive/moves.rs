//! Migrates running streams away from targets that are leaving.
//!
//! Owns the state of the migration. The old call continues until the new one delivers a token, so
//! that a failed migration does not affect the caller.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_core::pipeline::{CallId, Event};
use azurelug_core::routing::{Need, NoTarget, Query};
use azurelug_types::config::StageKind;
use azurelug_types::id::TargetKey;
use tokio::time::Instant;

use super::{Driver, Step};
use crate::metrics::Use;

/// Interval of the check whether the target of a running stream is leaving. A draining target stays
/// up for at least the 3 s within which new work stops.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Interval of the check while all other targets are busy. Slots of targets in other zones are
/// granted only for as long as they are requested.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Limit of migration attempts per request. Each also counts as an attempt of the stage.
const MAX_MOVES: u8 = 2;

/// The migration state of a request's stream.
pub(super) struct Move {
    /// Time of the next check of the target.
    pub(super) look_at: Instant,
    /// The old call, which is cancelled when the new one delivers.
    from: Option<CallId>,
    made: u8,
}

impl Default for Move {
    fn default() -> Self {
        Self {
            look_at: Instant::now() + LOOK_EVERY,
            from: None,
            made: 0,
        }
    }
}

impl Move {
    /// Whether a call is being replaced by another one.
    pub(super) fn is_under_way(&self) -> bool {
        self.from.is_some()
    }
}

impl Driver {
    /// Starts a second call for a stream whose target is leaving, if another target has a free
    /// slot.
    pub(super) async fn look(&mut self) -> Step {
        self.moves.look_at = Instant::now() + LOOK_EVERY;
        let stage = self.run.stage();
        let mut live = self.attempts.iter().filter(|(call, attempt)| {
            call.stage == stage && attempt.stage == StageKind::Generate && !attempt.is_over
        });
        let (Some((call, attempt)), None) = (live.next(), live.next()) else {
            return Step::Wait;
        };
        if self.moves.made >= MAX_MOVES || attempt.tokens == 0 {
            return Step::Wait;
        }
        let (call, key) = (call.clone(), attempt.key);
        let has_room = {
            let model = &self.pipeline.stages[usize::from(stage.0)].model;
            let query = Query {
                need: Need::Stage(StageKind::Generate, model),
                idempotent: true,
                prefix: &[],
                exclude: &[key],
                avoid_cold: false,
            };
            let chosen = self.gateway.with_router(|router, now| {
                let is_leaving = router.is_leaving(key);
                is_leaving.then(|| router.choose(&query, now).map(|_| ()))
            });
            if let Some(Err(NoTarget::AllBusy { .. })) = chosen {
                self.gateway.shares.starved(query.need);
                self.moves.look_at = Instant::now() + LOOK_AGAIN;
            }
            matches!(chosen, Some(Ok(())))
        };
        if !has_room {
            return Step::Wait;
        }
        log::debug!("entry: call {call}: its target is leaving; migrating to another target");
        self.moves.made += 1;
        self.moves.from = Some(call.clone());
        self.take(Event::Slow { call }).await
    }

    /// Completes a migration: cancels the old call once another one delivers.
    pub(super) fn delivered(&mut self, by: &CallId) {
        if self
            .moves
            .from
            .as_ref()
            .is_none_or(|from| from == by || from.stage != by.stage)
        {
            return;
        }
        let Some(from) = self.moves.from.take() else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(&from).filter(|it| !it.is_over) else {
            return;
        };
        attempt.is_over = true;
        attempt.abort.abort();
        self.count(&from, Use::Wasted);
        // Another attempt is running, so the state machine returns no actions.
        self.run.step(Event::Failed {
            call: from,
            may_retry: false,
            retry_after: Duration::ZERO,
        });
    }

    /// The engine that may hold the KV cache of the latest earlier call of a stream, and that call.
    pub(super) fn kv_source(&self, call: &CallId, new: TargetKey) -> Option<(SocketAddr, CallId)> {
        self.attempts
            .iter()
            .filter(|(earlier, attempt)| earlier.stage == call.stage && attempt.tokens > 0)
            .max_by_key(|(earlier, _)| earlier.attempt.0)
            .filter(|(_, attempt)| attempt.key != new && attempt.stage == StageKind::Generate)
            .map(|(earlier, attempt)| (attempt.address, earlier.clone()))
    }
}
