//! The newest routing decisions, for the state dump's answer to "why did this request go there".

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Serialize;

/// Decisions that are kept.
const KEPT: usize = 256;

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// The call: request, stage and attempt.
    pub call: String,
    /// The chosen target and the comparison, or why none was chosen.
    pub reason: String,
    /// Time since the process started, in milliseconds.
    pub at_ms: u64,
}

/// The ring of decisions.
#[derive(Debug, Default)]
pub struct Recent {
    decisions: Mutex<VecDeque<Decision>>,
}

impl Recent {
    /// Adds a decision and drops the oldest one if the ring is full.
    pub fn add(&self, decision: Decision) {
        let mut decisions = self.decisions.lock().expect("no holder of the lock panics");
        if decisions.len() == KEPT {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// All kept decisions, oldest first.
    pub fn all(&self) -> Vec<Decision> {
        self.decisions
            .lock()
            .expect("no holder of the lock panics")
            .iter()
            .cloned()
            .collect()
    }
}
