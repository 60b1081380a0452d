//! Leased shares of the number of concurrent calls that a target can handle.
//!
//! [`Grantor`] divides each target's concurrency limit among the daemons;
//! [`Holder`] counts the calls in flight of one daemon. The calls in flight at a
//! target must never exceed its limit, even if messages are lost, duplicated,
//! delayed or reordered, or processes stop.
//!
//! A lease covers all targets of a holder, so a renewal contains only the
//! targets whose demand, usage or slots changed. A granted slot counts as used
//! until the holder has acknowledged its revocation and reported the end of its
//! calls, or until the lease and then the longest possible call have ended.

mod demand;
mod grantor;
mod holder;

pub use grantor::{Grantor, Limits};
pub use holder::{Holder, Refusal, Slot};

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease::{Identity, drift_safe_wait};

/// Durations that must be the same at all grantors and holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Length of a lease.
    pub term: Duration,
    /// Maximum time from the start of a call to its deadline.
    pub longest_call: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(2),
            longest_call: Duration::from_secs(12),
        }
    }
}

impl Timing {
    /// Time after the last answer of a grantor until no call that started under
    /// the lease can still be running, including the allowance for clock drift.
    pub fn settled(self) -> Duration {
        drift_safe_wait(self.term + self.longest_call)
    }
}

/// The number of concurrent calls that a target can handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Current concurrency limit.
    pub limit: u32,
    /// Concurrent calls that the target can handle during a cold start.
    pub cold: u32,
    /// Sum of the base shares of all daemons, which they use without a lease. While
    /// base shares change, it is the larger of the old and the new sum.
    pub base: u32,
}

impl Capacity {
    /// Creates a capacity whose base shares add up to half the cold limit, which is safe at any
    /// time. They are at most a quarter of the limit, because an unused base share is not available
    /// to other daemons.
    pub fn new(limit: u32, cold: u32) -> Self {
        Self {
            limit,
            cold,
            base: (cold / 2).min(limit / 4),
        }
    }

    /// Number of slots that can be leased.
    pub fn leased(self) -> u32 {
        self.limit.saturating_sub(self.base)
    }
}

/// The base share of the daemon at `index` when `base` slots are divided among
/// `daemons`. The remainder is distributed to the daemons with the lowest indices.
pub fn base_share(base: u32, daemons: u32, index: u32) -> u32 {
    if daemons == 0 || index >= daemons {
        return 0;
    }
    base / daemons + u32::from(index < base % daemons)
}

/// A holder's demand and usage at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Id of the target.
    pub target: u32,
    /// Number of leased slots that the holder could use now.
    pub wanted: u32,
    /// Number of leased slots in use.
    pub in_use: u32,
    /// Whether the holder has detected a cold start of the target.
    pub cold: bool,
}

/// A lease renewal request, sent every 500 ms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The holder that sends the request.
    pub holder: Identity,
    /// Sequence number, which increases with each request.
    pub sequence: u64,
    /// Epoch of the grantor that sent the latest applied answer, or 0.
    pub epoch: u64,
    /// Number of the latest applied answer, or 0.
    pub applied: u64,
    /// Sequence number of the latest request whose needs the grantor is known to
    /// have; `needs` lists all changes since.
    pub basis: u64,
    /// Targets whose demand or usage changed since `basis`.
    pub needs: Vec<Need>,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The holder that sent the request.
    pub holder: Identity,
    /// Epoch of the grantor.
    pub epoch: u64,
    /// Number of the answer, which increases with each answer of the grantor.
    pub number: u64,
    /// Sequence number of the answered request. The lease starts when that request
    /// was sent, on the holder's clock.
    pub sequence: u64,
    /// Sequence number of the latest request whose needs the grantor has; 0 asks the
    /// holder to send all of them.
    pub heard: u64,
    /// Whether targets that are not listed have no slots. Otherwise they keep
    /// the slots that they had at the answer named in [`Request::applied`].
    pub full: bool,
    /// Pairs of target id and number of slots.
    pub slots: Vec<(u32, u32)>,
}
