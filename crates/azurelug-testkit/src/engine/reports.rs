//! Call counters and load reports.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Counters of an engine's calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that started running.
    pub started: u64,
    /// Calls that ran to completion.
    pub finished: u64,
    /// Running calls that were cancelled, by request id or by a disconnect.
    pub cancelled: u64,
    /// Running calls that failed.
    pub failed: u64,
    /// Calls that were refused because the queue was full.
    pub refused: u64,
    /// How often an arriving call exceeded the cold limit.
    pub over_cold_limit: u64,
    /// Maximum number of calls that ran concurrently.
    pub max_running: usize,
    /// Prefix blocks in the prompts of generate calls.
    pub prompt_blocks: u64,
    /// Of these, the blocks that were cached when the call started running.
    pub cached_blocks: u64,
    /// Calls that started running, per request id.
    pub by_request: BTreeMap<String, u64>,
}

/// A load report. Times are in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Time at which the values applied.
    pub reported_at_ms: u64,
    /// When the engine started.
    pub started_at_ms: u64,
    /// Running calls.
    pub running: usize,
    /// Waiting calls.
    pub waiting: usize,
    /// Whether the engine was warm, that is, not in a cold start.
    pub warm: bool,
    /// Maximum number of concurrently running calls when warm.
    pub limit: usize,
}

/// The load at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadSample {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) warm: bool,
}

/// A duration in whole milliseconds, saturating.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
