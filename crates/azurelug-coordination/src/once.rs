//! At-most-once records: which claimant claimed a key, and with what result.
//!
//! [`Table`] is the replicated side. It applies committed log entries and holds
//! the records and the watermark; its state must depend on nothing but these
//! commands. [`Guard`] is the claimant's side. It holds the single permission to
//! send and must never grant it twice.

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
    /// Requests the permission to send a call.
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
        /// Time left until the call's deadline when the claim was requested. It is
        /// relative, because the clocks of claimant and leader may differ.
        deadline_ms: u64,
    },
    /// Records the result of a call.
    Record {
        /// The claim under which the call was sent.
        claim: Claim,
        /// The result.
        answer: Answer,
    },
    /// Releases a claim under which no byte was sent and none will be.
    Release {
        /// The claim to release.
        claim: Claim,
    },
    /// Marks overdue claims as unknown and removes records below the watermark.
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
        /// Longest time until the open claim becomes unknown.
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
    /// the command; [`Guard::release`] returns whether the call was not run.
    Full,
    /// The claim was released; the answer to [`Command::Release`].
    Released,
    /// The command names a claim that is no longer current. Nothing changed.
    Stale,
    /// The answer to [`Command::Expire`].
    Advanced {
        /// Claims that became unknown.
        unknown: u64,
        /// Records that were removed.
        forgotten: u64,
    },
}

impl Outcome {
    /// All names, for metrics whose labels must be a fixed list.
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
