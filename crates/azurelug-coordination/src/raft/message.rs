//! Messages between members. They are owned, serializable values that fit the frame limit with the
//! default [`Settings`](super::Settings).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::event::JoinRefusal;
use super::log::{Entry, Position};
use super::member::{Member, Membership};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Cluster of the sender. A receiver of another cluster rejects the message.
    pub cluster: u128,
    /// Sender; incarnation 0 until it has an identity.
    pub from: Member,
    /// Random id of the sender's data folder.
    pub storage: u64,
    /// Receiver; incarnation 0 addresses any incarnation of the slot.
    pub to: Member,
    /// Current term of the sender.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election in `next_term` could succeed. Changes no state at the receiver.
    PreVote {
        /// Term that the sender would campaign in.
        next_term: u64,
        /// Last entry of the sender.
        last: Position,
    },
    /// Answer to `PreVote`.
    PreVoteAnswer {
        /// Term of the request.
        next_term: u64,
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// Last entry of the sender.
        last: Position,
        /// Whether the previous leader transferred its leadership and gave up its lease.
        transfer: bool,
    },
    /// Answer to `Vote`.
    VoteAnswer {
        /// Whether the sender votes for the candidate.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// Position of the entry before the first one sent.
        prev: Position,
        /// Consecutive entries after `prev`.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Leader's clock when it sent this message.
        sent_at: Duration,
    },
    /// Answer to `Append`, sent after the entries are durable.
    AppendAnswer {
        /// Whether the receiver's log held `prev`.
        outcome: Outcome,
        /// Echo of the leader's clock.
        sent_at: Duration,
    },
    /// Part of a snapshot.
    Chunk {
        /// Last entry that the snapshot covers.
        position: Position,
        /// Members at that entry.
        membership: Membership,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Offset of `data` in the snapshot in bytes.
        offset: u64,
        /// At most 256 KiB.
        data: Vec<u8>,
        /// Leader's clock when it sent this message.
        sent_at: Duration,
    },
    /// Answer to `Chunk`. A completed snapshot is answered with `AppendAnswer` instead.
    ChunkAnswer {
        /// Snapshot that the answer is about.
        position: Position,
        /// Number of bytes received in order so far.
        received: u64,
        /// Echo of the leader's clock.
        sent_at: Duration,
    },
    /// A member without identity asks the leader for one.
    Join,
    /// The identity assigned to the data folder `storage` by a committed entry.
    Joined {
        /// New identity.
        member: Member,
        /// Data folder that it belongs to.
        storage: u64,
    },
    /// Asks the leader whether the sender's state is current.
    Probe {
        /// Random id of the sender's process run.
        run: u64,
        /// Sender's clock.
        stamp: Duration,
    },
    /// Answer to `Probe`, sent only under a valid leader lease.
    ProbeAnswer {
        /// Echo of the run id.
        run: u64,
        /// Echo of the clock in the probe.
        stamp: Duration,
        /// Commit index of the leader when it answered.
        commit: u64,
    },
    /// The leader transfers its leadership to the receiver, which starts an election at once.
    TimeoutNow,
    /// The sender is about to stop and may not return, so that a learner should get its vote now.
    /// Repeated with each answer to the leader, because a restarted sender no longer leaves.
    Leave,
    /// A member with an identity that hears from no leader asks whether it still has a seat.
    Inquire,
    /// The membership no longer contains the receiver, so that it has to join anew.
    Removed {
        /// Identity without a seat.
        member: Member,
        /// Data folder that it belongs to.
        storage: u64,
    },
    /// The answer to `Join` if the sender is not admitted now.
    JoinRefused {
        /// Data folder of the member that asked.
        storage: u64,
        /// Reason.
        refusal: JoinRefusal,
    },
}

/// Result of an `Append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The log matches the leader's log up to this index.
    Matched {
        /// Last index known to match.
        index: u64,
    },
    /// As `Matched`, but the receiver's log is full until it is compacted. The sender waits for the
    /// next heartbeat; otherwise both would exchange the same entries in a tight loop.
    Full {
        /// Last index known to match.
        index: u64,
    },
    /// The log does not hold the position before the entries.
    Missing {
        /// Index that was missing or had another term.
        prev: u64,
        /// Last position that may match.
        hint: Position,
    },
}
