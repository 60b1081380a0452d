//! Leased shares of the number of calls that a target can handle at once.
//!
//! [`Grantor`] divides each target's limit; [`Holder`] counts the calls in
//! flight of one daemon. The calls in flight at a target must never exceed its
//! limit, even if messages are lost, repeated, delayed or reordered, or
//! processes stop.
//!
//! A lease covers all targets of a holder, so a renewal carries only the
//! targets whose need, use or slots changed. A slot that was granted counts as
//! used until the holder has acknowledged its withdrawal and reported the end of
//! its calls, or until the lease and the longest call have ended.

mod demand;
mod grantor;
mod holder;

pub use grantor::{Grantor, Limits};
pub use holder::{Holder, Refusal, Slot};

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease::{Identity, drift_safe_wait};

/// Times that all grantors and holders must agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Length of a lease.
    pub term: Duration,
    /// Longest time from the start of a call to its deadline.
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
    /// How long a grantor must wait after its last answer until no call that
    /// started under the lease can still run.
    pub fn settled(self) -> Duration {
        drift_safe_wait(self.term + self.longest_call)
    }
}

/// The number of concurrent calls that a target can handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Concurrent calls that are allowed now.
    pub limit: u32,
    /// Concurrent calls that the target can handle during a cold start.
    pub cold: u32,
    /// Sum of the base shares that any daemon may be using. While base shares
    /// change, it is the larger of the old and the new sum.
    pub base: u32,
}

impl Capacity {
    /// A capacity whose base shares are half the cold limit, which is safe at any time, but at most
    /// a quarter of the limit: no other daemon can use a base share that its daemon does not need.
    pub fn new(limit: u32, cold: u32) -> Self {
        Self {
            limit,
            cold,
            base: (cold / 2).min(limit / 4),
        }
    }

    /// Slots that can be granted under leases.
    pub fn leased(self) -> u32 {
        self.limit.saturating_sub(self.base)
    }
}

/// The base share of the daemon at `index` when `base` slots are divided among
/// `daemons`; the first ones get the remainder.
pub fn base_share(base: u32, daemons: u32, index: u32) -> u32 {
    if daemons == 0 || index >= daemons {
        return 0;
    }
    base / daemons + u32::from(index < base % daemons)
}

/// A holder's need and use of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// The target.
    pub target: u32,
    /// Leased slots the holder could use now.
    pub wanted: u32,
    /// Leased slots in use.
    pub in_use: u32,
    /// Whether the holder has detected a cold start of the target.
    pub cold: bool,
}

/// A renewal, sent every 500 ms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The sender.
    pub holder: Identity,
    /// Rises with each request.
    pub sequence: u64,
    /// Epoch of the grantor that sent the latest applied answer, or 0.
    pub epoch: u64,
    /// Number of the latest applied answer, or 0.
    pub applied: u64,
    /// The request up to which the grantor knows the needs; `needs` lists all
    /// changes since.
    pub basis: u64,
    /// Targets whose need or use changed since `basis`.
    pub needs: Vec<Need>,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The holder that sent the request.
    pub holder: Identity,
    /// Epoch of the grantor.
    pub epoch: u64,
    /// Rises with each answer of the grantor.
    pub number: u64,
    /// The request that is answered. The lease counts from the moment it was
    /// sent, on the holder's clock.
    pub sequence: u64,
    /// The request up to which the grantor knows the holder's needs; 0 requests
    /// all of them.
    pub heard: u64,
    /// Whether targets that are not listed have no slots. Otherwise they keep
    /// the slots that they had at the answer named in [`Request::applied`].
    pub full: bool,
    /// Targets and their slots.
    pub slots: Vec<(u32, u32)>,
}
