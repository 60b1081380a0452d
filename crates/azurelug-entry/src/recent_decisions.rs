//! The most recent routing decisions, so that the state dump shows why a request went to a target.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Serialize;

/// Number of decisions that are kept.
const MAX_DECISIONS: usize = 256;

/// A routing decision.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// The call: the ids of request, stage and attempt.
    pub call: String,
    /// The chosen target and the candidates compared, or the reason why none was chosen.
    pub reason: String,
    /// Time since the process started, in milliseconds.
    pub at_ms: u64,
}

/// A ring buffer of routing decisions.
#[derive(Debug, Default)]
pub struct RecentDecisions {
    decisions: Mutex<VecDeque<Decision>>,
}

impl RecentDecisions {
    /// Adds a decision; drops the oldest one if the buffer is full.
    pub fn add(&self, decision: Decision) {
        let mut decisions = self.decisions.lock().expect("no holder of the lock panics");
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the kept decisions, oldest first.
    pub fn all(&self) -> Vec<Decision> {
        self.decisions
            .lock()
            .expect("no holder of the lock panics")
            .iter()
            .cloned()
            .collect()
    }
}
