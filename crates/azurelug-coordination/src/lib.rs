//! Coordination parts without I/O, embeddable by other programs.
//!
//! - [`journal`]: bytes of the durable log: records, segments, snapshots, hard state, recovery scan.

pub mod journal;
