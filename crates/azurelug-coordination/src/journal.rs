//! File formats of the durable log: records, segment headers, snapshots and the hard state.
//!
//! Also contains the recovery scan, which distinguishes a torn tail from corruption. The module is
//! stateless and does no I/O; `azurelug-storage` reads and writes the files.
//!
//! # Formats
//!
//! Integers are little-endian. A record is `len u32 | crc32 u32 | generation u64 | index u64 |
//! payload`, where `len` is the length of the payload and the checksum covers every other byte of
//! the record. The payload starts with one byte for the [`RecordKind`]. A segment is a
//! [`SegmentHeader`] followed by records of the same generation. Header, hard state and snapshot
//! share one block format, `magic [u8; 8] | crc32 u32 | version u32 | body`, whose checksum covers
//! version and body.
//!
//! # Corruption or torn tail
//!
//! CRC-32 detects every change within 32 consecutive bits, and therefore every single flipped byte.
//! The scan must then distinguish a damaged record that was synced (corruption) from one that was
//! being written when the machine stopped (torn tail):
//! - A [`RecordKind::SyncMark`] record is appended after each successful sync and contains its own
//!   offset. All bytes before a valid mark were synced, so an invalid record before any valid mark
//!   is corruption. A later valid *entry* proves nothing, because the pages of an unsynced batch
//!   can reach the disk in any order.
//! - The hard-state file records a synced [`Position`]; an invalid record or a missing byte before
//!   it is corruption.
//! - The header of each segment records the length of the previous segment, so an invalid, missing
//!   or surplus byte in an older segment is corruption.
//! - Header, hard state and snapshot get their final name only after a sync, so an invalid byte in
//!   them is corruption, never a torn write.
//!
//! A mark itself is synced only with the next batch. After a power failure that also loses the last
//! mark, damage to the last synced batch, or the loss of that whole batch, looks like a torn tail
//! unless the hard state was saved after that batch. A second sync for each batch would close this
//! gap at twice the latency. A payload that contains a well-formed mark for the exact offset at
//! which it is stored can make a torn tail look like corruption, never the reverse.
//!
//! # Origin of the rules
//!
//! Recorded positions instead of file sizes, and a new generation at each writer start, follow
//! zeropg, "v1: incremental WAL shipping". `cargo run --release -p azurelug-storage --example
//! sync_cost -- --seed 1 --seconds 3` truncated a closed journal of 20 entries at 5,320 lengths:
//! recovery detected all truncations with the recorded position and none from the file size alone.
//! The other figures are in `docs/design/storage.md`.

mod block;
mod error;
mod log_terms;
mod record;
mod scan;

pub use block::{
    SegmentHeader, decode_hard_state, decode_snapshot, encode_hard_state, encode_snapshot,
    snapshot_len,
};
pub use error::FormatError;
pub use log_terms::LogTerms;
pub use record::{
    Record, RecordKind, encode_entry, encode_sync_mark, encode_truncation, entry_len,
};
pub use scan::{Scan, ScanContext, Segment, SegmentStart, TornTail, scan};

/// Version of all file formats of this module.
pub const FORMAT_VERSION: u32 = 1;
/// Length of a record before its payload, in bytes.
pub const RECORD_HEADER_LEN: usize = 24;
/// Length of a segment header, in bytes.
pub const SEGMENT_HEADER_LEN: usize = 72;
/// Maximum payload of an entry, in bytes. A wire frame holds at most 1 MiB, so a replicated entry
/// always fits.
pub const MAX_ENTRY_LEN: usize = 4 << 20;
/// Maximum payload of a snapshot, in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 1 << 30;

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Raft term in which the entry was proposed.
    pub term: u64,
    /// Opaque content, at most [`MAX_ENTRY_LEN`] bytes.
    pub payload: Vec<u8>,
}

/// The part of a member's state that must be durable before it answers a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, bincode::Encode, bincode::Decode)]
pub struct HardState {
    /// Latest raft term seen.
    pub term: u64,
    /// Member voted for in `term`, as slot and incarnation.
    pub vote: Option<(u32, u64)>,
    /// This member's slot in the cluster.
    pub slot: u32,
    /// This member's incarnation; 0 until one is assigned.
    pub incarnation: u64,
    /// Random id of the data folder, which lets peers detect that the folder was replaced.
    pub storage: u64,
    /// Highest committed index at the time the state was saved.
    pub commit: u64,
}

/// State of the replicated state machine after applying all entries up to `index`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Opaque content, at most [`MAX_SNAPSHOT_LEN`] bytes.
    pub payload: Vec<u8>,
}

/// A byte position in the journal, ordered by generation, then offset.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, bincode::Encode, bincode::Decode,
)]
pub struct Position {
    /// Generation of the segment; 0 before the first segment exists.
    pub generation: u64,
    /// Offset in that segment, in bytes.
    pub offset: u64,
}
