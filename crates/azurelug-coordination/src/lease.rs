//! Leases between clocks that drift, and fencing numbers.
//!
//! [`Grantor`] leases one resource to one holder at a time; [`Holder`] is the
//! holder's side. Each uses only the monotonic clock of its own process. The
//! holder must never treat a lease as valid that the grantor counts as ended.

mod grantor;
mod holder;

pub use grantor::{Grantor, Reply};
pub use holder::Holder;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bound on the relative drift of two clocks, in percent. Quartz clocks drift by
/// a hundredth of it.
pub const DRIFT_PERCENT: u32 = 1;

/// Added to each wait, for the granularity of clocks and timers.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(50);

/// How long one process must wait, on its clock, to be sure that `span` has
/// passed on the clock of any other process.
pub fn drift_safe_wait(span: Duration) -> Duration {
    span + span * DRIFT_PERCENT / 100 + CLOCK_MARGIN
}

/// A process that holds a lease. A restarted process has a new incarnation and
/// is another holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The process.
    pub id: u64,
    /// Differs for each start of the process.
    pub incarnation: u64,
}

/// A fencing number, which orders the holders of one resource. A resource that
/// compares it can refuse an operation of an earlier holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Rises with each start of the grantor, such as the raft term.
    pub epoch: u64,
    /// Rises with each change of holder within the epoch.
    pub number: u64,
}

/// Requests or renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The sender.
    pub holder: Identity,
    /// Rises with each message of the holder.
    pub sequence: u64,
}

/// The grantor's positive answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The holder that sent the request.
    pub holder: Identity,
    /// The request that is answered. The lease counts from the moment it was
    /// sent, on the holder's clock.
    pub sequence: u64,
    /// Length of the lease.
    pub term: Duration,
    /// The holder's fencing number.
    pub fence: Fence,
}

/// Releases the lease before it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The sender.
    pub holder: Identity,
    /// Rises with each message of the holder.
    pub sequence: u64,
}
