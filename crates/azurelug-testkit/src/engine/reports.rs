//! Counts of calls and load reports.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

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
    /// Prefix blocks of the prompts of generate calls.
    pub prompt_blocks: u64,
    /// Those of them that were cached when the call began to run.
    pub cached_blocks: u64,
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

/// Whole milliseconds of a duration.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
