//! The speeds of targets, as gateways report them. They are not replicated in the log: after a
//! failure gateways learn them anew, and until then they choose targets as if all were equal.

use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::gateway::cost::board::Board;
use azurelug_types::fleet::TargetSpeed;
use azurelug_types::id::DaemonName;

/// Time for which the sum of all outcomes is reused: most of a poll interval. Hundreds of gateways
/// poll several times a second, and each sum looks at all targets.
const REUSE_TIME: Duration = Duration::from_millis(200);

/// The outcomes that this control daemon knows.
#[derive(Debug)]
pub struct Speeds {
    started: Clock,
    board: Board,
    merged: Vec<TargetSpeed>,
    merged_at: Option<Duration>,
}

impl Default for Speeds {
    fn default() -> Self {
        Self {
            started: Clock::start(),
            board: Board::default(),
            merged: Vec::new(),
            merged_at: None,
        }
    }
}

impl Speeds {
    fn now(&self) -> Duration {
        // Outcomes may be older than this daemon.
        azurelug_core::gateway::limits::CLOCK_START + self.started.elapsed()
    }

    /// Adds outcomes that a gateway has seen since its last poll.
    pub fn record(&mut self, reports: &[TargetSpeed]) {
        let now = self.now();
        self.board.record(reports, now);
    }

    /// Replaces the outcomes that the gateways of another control daemon have seen.
    pub fn replace(&mut self, daemon: DaemonName, reports: &[TargetSpeed]) {
        let now = self.now();
        self.board.replace(daemon, reports, now);
    }

    /// The outcomes that the gateways of this control daemon have seen.
    pub fn own(&self) -> Vec<TargetSpeed> {
        self.board.own(self.now())
    }

    /// The outcomes that all gateways have seen.
    pub fn merged(&mut self) -> Vec<TargetSpeed> {
        let now = self.now();
        if self.merged_at.is_none_or(|at| now >= at + REUSE_TIME) {
            self.merged = self.board.merged(now);
            self.merged_at = Some(now);
        }
        self.merged.clone()
    }
}
