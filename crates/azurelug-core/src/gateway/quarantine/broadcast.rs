//! What a daemon sends to others that confirm nothing: each change several times, and all records
//! once in a while, for those that were out of reach.

use std::collections::VecDeque;
use std::time::Duration;

use azurelug_types::fleet::SuspectPart;

use super::ledger::Ledger;

/// Rounds in which a change is sent.
const ROUNDS_PER_CHANGE: usize = 6;

/// Rounds from one message with all records to the next. A control daemon that has restarted knows
/// nothing until then.
const ROUNDS_PER_REFRESH: u64 = 4;

/// The messages sent so far.
#[derive(Debug, Default)]
pub struct Broadcast {
    /// Revisions at the last rounds, oldest first.
    revisions: VecDeque<u64>,
    rounds: u64,
}

impl Broadcast {
    /// The records for the next message.
    pub fn next(&mut self, ledger: &Ledger, now: Duration) -> Vec<SuspectPart> {
        if self.revisions.len() >= ROUNDS_PER_CHANGE {
            self.revisions.pop_front();
        }
        let oldest = self.revisions.front().copied();
        let is_refresh = self.rounds.is_multiple_of(ROUNDS_PER_REFRESH);
        let since = oldest.filter(|_| !is_refresh).unwrap_or(0);
        self.rounds += 1;
        let changes = ledger.changes_since(since, now);
        self.revisions.push_back(changes.revision);
        changes.reports
    }
}
