//! Bounds of different parts that only hold together. Those within the replicated log are compared by
//! `raft::Node::new`.

use azurelug_coordination::journal::{MAX_ENTRY_LEN, MAX_SNAPSHOT_LEN};
use azurelug_coordination::{once, raft};
use azurelug_wire::codec::MAX_FRAME_BYTES;
use thiserror::Error;

use crate::replica::MAX_COMMAND_BYTES;

/// Size of a message or record around its content, at most: names, positions and a membership.
const ENVELOPE_BYTES: usize = 64 * 1024;

/// Two bounds that don't hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{larger} is {value}, but {smaller} needs {least}; raise the first or lower the second")]
pub struct Conflict {
    /// The bound that is too low.
    pub larger: &'static str,
    /// Its value in bytes.
    pub value: u64,
    /// The bound, or the sum of bounds, that it must reach.
    pub smaller: &'static str,
    /// The value of that in bytes.
    pub least: u64,
}

/// Compares the bounds of the replicated log, of the at-most-once records and of the process's
/// `memory` in bytes.
///
/// The log of a follower reaches twice `max_log_bytes`. The memory is compared with what is held at
/// the least, the log and one snapshot; the copies while a snapshot is encoded are not counted.
///
/// # Errors
/// The first two that don't hold together.
pub fn check(log: &raft::Settings, records: &once::Limits, memory: usize) -> Result<(), Conflict> {
    let largest_content = log
        .max_command_bytes
        .max(log.max_batch_bytes)
        .max(log.chunk_bytes);
    let pairs = [
        (
            ("memory_mb in bytes", memory as u64),
            (
                "2 x max_log_bytes + max_snapshot_bytes",
                (2 * log.max_log_bytes + log.max_snapshot_bytes) as u64,
            ),
        ),
        (
            ("max_snapshot_bytes", log.max_snapshot_bytes as u64),
            (
                "the limit of at-most-once records + state_reserve_bytes",
                records.bytes + log.state_reserve_bytes as u64,
            ),
        ),
        (
            ("max_command_bytes", log.max_command_bytes as u64),
            (
                "the largest command that is proposed",
                MAX_COMMAND_BYTES as u64,
            ),
        ),
        (
            ("the largest frame", MAX_FRAME_BYTES as u64),
            (
                "a message with max_command_bytes, max_batch_bytes or chunk_bytes",
                (largest_content + ENVELOPE_BYTES) as u64,
            ),
        ),
        (
            ("the largest record of the journal", MAX_ENTRY_LEN as u64),
            (
                "an entry with max_command_bytes",
                (log.max_command_bytes + ENVELOPE_BYTES) as u64,
            ),
        ),
        (
            ("the largest snapshot on disk", MAX_SNAPSHOT_LEN as u64),
            (
                "a snapshot with max_snapshot_bytes",
                (log.max_snapshot_bytes + ENVELOPE_BYTES) as u64,
            ),
        ),
    ];
    pairs
        .iter()
        .try_for_each(|&((larger, value), (smaller, least))| {
            if value >= least {
                return Ok(());
            }
            Err(Conflict {
                larger,
                value,
                smaller,
                least,
            })
        })
}
