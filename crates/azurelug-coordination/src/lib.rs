//! Coordination parts without I/O, for embedding in a server or a test.
//!
//! Each module is a state machine that takes an event and a time and returns
//! a value or a list of actions. None opens a socket, reads a clock or draws
//! a random number by itself, and none knows what the ids stand for.

/// Leases with bounded clock drift, and fencing numbers.
pub mod lease;
/// Which daemons are alive, suspect or gone.
pub mod membership;
/// At-most-once records, applied from committed log entries.
pub mod once;
/// A token rate that several holders share under leases.
pub mod rate;
/// Leased shares of a target's limit.
pub mod share;
