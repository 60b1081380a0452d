//! Limits the log lines about refused joins: a member that is not admitted asks several times a
//! second.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_coordination::raft::RefusedJoin;
use tokio::time::Instant;

/// Shortest interval between two lines about the same slot and reason.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Largest number of slots that are logged within the interval. Any address may ask.
const MAX_SLOTS: usize = 64;

/// The refusals that were logged recently, by slot.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    logged: HashMap<u32, (RefusedJoin, Instant)>,
}

impl Refusals {
    /// Whether a refusal is to be logged now.
    pub(super) fn is_due(&mut self, refused: RefusedJoin, now: Instant) -> bool {
        self.logged
            .retain(|_, (_, at)| now.duration_since(*at) < LOG_INTERVAL);
        let known = self.logged.get(&refused.slot);
        let is_known = known.is_some_and(|(known, _)| known.refusal == refused.refusal);
        if is_known || (known.is_none() && self.logged.len() >= MAX_SLOTS) {
            return false;
        }
        self.logged.insert(refused.slot, (refused, now));
        true
    }
}
