//! Coordination parts without I/O, for azurelug and for other programs.
//!
//! - [`raft`]: the replicated log.

pub mod raft;
