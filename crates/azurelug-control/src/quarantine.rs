//! The prompt parts that gateways suspect. They are not replicated in the log: a crash has to reach
//! all gateways soon, and gateways report their records again to a daemon that has restarted. An
//! [`Archive`] keeps the accused ones for a restart of all daemons.

mod archive;

pub use archive::Archive;

use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::gateway::quarantine::{Broadcast, CLOCK_START, Changes, Ledger};
use azurelug_types::fleet::SuspectPart;

/// The records of all gateways.
#[derive(Debug)]
pub struct Suspects {
    ledger: Ledger,
    broadcast: Broadcast,
    started: Clock,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            ledger: Ledger::default(),
            broadcast: Broadcast::default(),
            started: Clock::start(),
        }
    }
}

impl Suspects {
    fn now(&self) -> Duration {
        CLOCK_START + self.started.elapsed()
    }

    /// Takes over reports of gateways or other control daemons.
    pub fn merge(&mut self, reports: &[SuspectPart]) {
        let now = self.now();
        for report in reports {
            self.ledger.merge(report, now);
        }
    }

    /// The records that have changed since `revision`.
    pub fn changes_since(&self, revision: u64) -> Changes {
        self.ledger.changes_since(revision, self.now())
    }

    /// The records of the accused parts, if a record has changed since `revision`.
    pub fn accused_since(&self, revision: u64) -> Option<Changes> {
        let mut changes = self.ledger.changes_since(0, self.now());
        if changes.revision == revision {
            return None;
        }
        let is_accused = |report: &SuspectPart| self.ledger.is_conclusive(&report.part);
        changes.reports.retain(is_accused);
        Some(changes)
    }

    /// Removes expired records and returns those for the other control daemons.
    pub fn next_broadcast(&mut self) -> Vec<SuspectPart> {
        let now = self.now();
        self.ledger.prune(now);
        self.broadcast.next(&self.ledger, now)
    }
}
