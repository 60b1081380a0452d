//! Coordination parts without I/O, for embedding in a server or a test.
//!
//! Each module is a state machine that takes an event and a time and returns a value or a list of
//! actions. None opens a socket, reads a clock or draws a random number by itself, and none knows
//! what the ids stand for.
//!
//! - [`journal`]: bytes of the durable log: records, segments, snapshots, hard state, recovery scan.
//! - [`lease`]: leases with bounded clock drift, and fencing numbers.
//! - [`membership`]: which daemons are alive, suspect or gone.
//! - [`once`]: at-most-once records, applied from committed log entries.
//! - [`orders`]: orders to engines, from their actual to their desired state.
//! - [`raft`]: the replicated log.
//! - [`rate`]: a token rate that several holders share under leases.
//! - [`share`]: leased shares of a target's limit.

pub mod journal;
pub mod lease;
pub mod membership;
pub mod once;
pub mod orders;
pub mod raft;
pub mod rate;
pub mod share;
