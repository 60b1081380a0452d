//! At-most-once records: which key was claimed by whom, and with what result.
//!
//! [`Table`] is the replicated side. It is applied from committed log entries
//! and owns the records and the watermark; it must never depend on anything
//! but the commands it is given. [`Guard`] is the claimant's side. It owns the
//! single permission to send and must never grant it twice.

mod answer;
mod guard;
mod key;
mod table;

pub use answer::{Answer, Body};
pub use guard::{Guard, Release, SendError};
pub use key::{Key, KeyError};
pub use table::{Limits, RestoreError, Table};

use serde::{Deserialize, Serialize};

/// One permission to send, issued when a claim commits.
///
/// The number differs for each claim of the same key, so that a late message
/// of an earlier claimant cannot change a later claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// The account that scopes the key.
    pub account: u64,
    /// The caller's idempotency key.
    pub key: Key,
    /// Issued by the table in increasing order, starting at 1.
    pub number: u64,
}

/// A committed log entry.
///
/// `now_ms` is the wall clock, in milliseconds since the Unix epoch, that the
/// leader read when it proposed the entry. The table never moves its time back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Asks for the permission to send a call.
    Claim {
        /// Scope of the key.
        account: u64,
        /// The caller's key.
        key: Key,
        /// Digest of the call's body, such as the first 16 bytes of a SHA-256.
        fingerprint: u128,
        /// Unique for each request that a daemon handles. A resent command
        /// with the same claimant gets the same claim again.
        claimant: u128,
        /// The leader's wall clock.
        now_ms: u64,
        /// Time left until the call's deadline when the claimant asked. It is
        /// relative, because the clocks of claimant and leader may differ.
        deadline_ms: u64,
    },
    /// States the result of a call.
    Record {
        /// The claim under which the call was sent.
        claim: Claim,
        /// The result.
        answer: Answer,
    },
    /// States that no byte was sent under the claim and that none will be.
    Release {
        /// The claim that is given back.
        claim: Claim,
    },
    /// Turns overdue claims unknown and forgets records below the watermark.
    Expire {
        /// The leader's wall clock.
        now_ms: u64,
    },
}

/// The answer to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The claimant may send, once.
    Claimed {
        /// The permission.
        claim: Claim,
    },
    /// Another claim of the key is open.
    InProgress {
        /// Time until the open claim turns unknown at the latest.
        retry_after_ms: u64,
    },
    /// The call has run; also the answer to [`Command::Record`].
    Recorded {
        /// The result of the call.
        answer: Answer,
    },
    /// The call may have run and its result is not known.
    Unknown,
    /// The key is older than the watermark. It is never treated as new.
    Expired,
    /// The key was used with another body.
    Conflict,
    /// The key's time is too far ahead of the table's time.
    FromFuture,
    /// The table has no room for the claim. Nothing was claimed by this copy of
    /// the command; [`Guard::release`] tells whether the call was not run.
    Full,
    /// The claim was given back; the answer to [`Command::Release`].
    Released,
    /// The command names a claim that is no longer current. Nothing changed.
    Stale,
    /// The answer to [`Command::Expire`].
    Advanced {
        /// Claims that turned unknown.
        unknown: u64,
        /// Records that were forgotten.
        forgotten: u64,
    },
}

impl Outcome {
    /// Every name, for metrics whose labels must be a fixed list.
    pub const NAMES: [&'static str; 11] = [
        "claimed",
        "in_progress",
        "recorded",
        "unknown",
        "expired",
        "conflict",
        "from_future",
        "full",
        "released",
        "stale",
        "advanced",
    ];

    /// The outcome's name without its content, for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        let index = match self {
            Self::Claimed { .. } => 0,
            Self::InProgress { .. } => 1,
            Self::Recorded { .. } => 2,
            Self::Unknown => 3,
            Self::Expired => 4,
            Self::Conflict => 5,
            Self::FromFuture => 6,
            Self::Full => 7,
            Self::Released => 8,
            Self::Stale => 9,
            Self::Advanced { .. } => 10,
        };
        Self::NAMES[index]
    }
}
