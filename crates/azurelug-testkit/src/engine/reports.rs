//! Counts of calls, and load reports with the values of a while ago.
//!
//! Owns the recent history of the load. It never reports the present unless the lag is zero.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The most samples that are kept. Under more changes within one lag, reports are older than set.
const SAMPLES: usize = 65_536;

/// What has happened to the calls of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that began to run.
    pub started: u64,
    /// Calls that ran to their end.
    pub finished: u64,
    /// Running calls that were cancelled, by request id or by a disconnect.
    pub cancelled: u64,
    /// Running calls that failed.
    pub failed: u64,
    /// Calls that were refused because the queue was full.
    pub refused: u64,
    /// Times that an arriving call exceeded the cold limit.
    pub over_cold_limit: u64,
    /// The most calls that ran at once.
    pub max_running: usize,
    /// Calls that began to run, for each request id.
    pub by_request: BTreeMap<String, u64>,
}

/// A load report. Times are in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// When the values were true.
    pub reported_at_ms: u64,
    /// When the engine started.
    pub started_at_ms: u64,
    /// Running calls.
    pub running: usize,
    /// Waiting calls.
    pub waiting: usize,
    /// Whether no cold start was under way.
    pub warm: bool,
    /// Calls that run at once when warm.
    pub limit: usize,
}

/// The load at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sample {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) warm: bool,
}

/// The load over the last lag.
pub(super) struct Reports {
    lag: Duration,
    samples: VecDeque<(Duration, Sample)>,
}

impl Reports {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, now: Duration, sample: Sample) {
        self.samples.push_back((now, sample));
        self.forget(now);
    }

    /// The moment that a report made at `now` describes, and the load then.
    pub(super) fn report(&mut self, now: Duration) -> (Duration, Sample) {
        self.forget(now);
        let (_, sample) = self
            .samples
            .front()
            .expect("a sample is recorded at the start");
        (now.saturating_sub(self.lag), *sample)
    }

    /// Removes samples older than the one that was true a lag ago.
    fn forget(&mut self, now: Duration) {
        let then = now.saturating_sub(self.lag);
        while self.samples.len() > SAMPLES || self.samples.get(1).is_some_and(|s| s.0 <= then) {
            self.samples.pop_front();
        }
    }
}

/// Whole milliseconds of a duration.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
