//! The prompt parts that gateways suspect. They are not replicated in the log: a crash has to reach
//! all gateways soon, and gateways report their records again to a daemon that has restarted.

use std::time::Duration;

use azurelug_core::gateway::quarantine::{Broadcast, CLOCK_START, Changes, Ledger};
use azurelug_types::fleet::SuspectPart;
use tokio::time::Instant;

/// The records of all gateways.
#[derive(Debug)]
pub struct Suspects {
    ledger: Ledger,
    broadcast: Broadcast,
    started: Instant,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            ledger: Ledger::default(),
            broadcast: Broadcast::default(),
            started: Instant::now(),
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

    /// Removes expired records and returns those for the other control daemons.
    pub fn next_broadcast(&mut self) -> Vec<SuspectPart> {
        let now = self.now();
        self.ledger.prune(now);
        self.broadcast.next(&self.ledger, now)
    }
}
