//! Limits the log lines about refused joins: a member that is not admitted asks several times a
//! second.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_coordination::raft::{JoinRefusal, RefusedJoin};
use tokio::time::Instant;

/// Shortest interval between two lines about the same slot and reason.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Largest number of slots and reasons that are logged within the interval. Any address may ask.
const MAX_LOGGED: usize = 64;

/// When each refusal was logged last, by slot and reason. Several members may refuse in turn, for
/// different reasons.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    logged: HashMap<(u32, JoinRefusal), Instant>,
}

impl Refusals {
    /// Whether a refusal is to be logged now.
    pub(super) fn is_due(&mut self, refused: RefusedJoin, now: Instant) -> bool {
        self.logged
            .retain(|_, at| now.duration_since(*at) < LOG_INTERVAL);
        let key = (refused.slot, refused.refusal);
        if self.logged.contains_key(&key) || self.logged.len() >= MAX_LOGGED {
            return false;
        }
        self.logged.insert(key, now);
        true
    }
}
