//! Leases between clocks that drift, and fencing numbers.
//!
//! [`Grantor`] gives one resource to one holder at a time; [`Holder`] is the
//! other side. Both use only their own monotonic clock. The holder must never
//! believe in a lease that the grantor already counts as ended.

mod grantor;
mod holder;

pub use grantor::{Grantor, Reply};
pub use holder::Holder;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bound on the relative drift of two clocks, in percent. Quartz clocks show a
/// hundredth of it.
pub const DRIFT_PERCENT: u32 = 1;

/// Added to each wait, for the granularity of clocks and timers.
pub const MARGIN: Duration = Duration::from_millis(50);

/// How long one process must wait, on its clock, to be sure that `span` has
/// passed on the clock of any other process.
pub fn outwait(span: Duration) -> Duration {
    span + span * DRIFT_PERCENT / 100 + MARGIN
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

/// Orders the holders of one resource. A resource that compares it can refuse
/// an order of an earlier holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    /// Rises with each start of the grantor, such as the raft term.
    pub epoch: u64,
    /// Rises with each change of holder within the epoch.
    pub number: u64,
}

/// Asks for the lease or renews it.
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
    /// The holder that asked.
    pub holder: Identity,
    /// The request that is answered. The lease counts from the moment it was
    /// sent, on the holder's clock.
    pub sequence: u64,
    /// Length of the lease.
    pub term: Duration,
    /// The holder's fencing number.
    pub fence: Fence,
}

/// Gives the lease back early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The sender.
    pub holder: Identity,
    /// Rises with each message of the holder.
    pub sequence: u64,
}
