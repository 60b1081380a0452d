//! Input events and output actions of a node.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::log::{Entry, Position};
use super::member::{Change, Member, Membership};
use super::message::Message;
use super::state::Role;

/// Input of [`Node::step`](super::Node::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A timer expired. Due at [`Node::next_deadline`](super::Node::next_deadline).
    Tick,
    /// A message arrived.
    Receive(Message),
    /// Appends a command to the log. Answered by `Action::Proposed` or `Action::Refused`.
    Propose {
        /// Chosen by the caller and returned in the answer.
        token: u64,
        /// Opaque command.
        command: Vec<u8>,
    },
    /// As `Propose`, for a command that doesn't enlarge the state. It is accepted although the state
    /// leaves no room for larger ones.
    Reduce {
        /// Chosen by the caller and returned in the answer.
        token: u64,
        /// Opaque command.
        command: Vec<u8>,
    },
    /// Changes the membership by one step. Answered by `Action::Proposed` or `Action::Refused`.
    Change {
        /// Chosen by the caller and returned in the answer.
        token: u64,
        /// Requested change.
        change: Change,
    },
    /// Transfers the leadership to `to`, or to the voter with the most matching entries if `to` is
    /// `None`. A refusal returns `token`; success is reported as `Action::RoleChanged`.
    Transfer {
        /// Chosen by the caller and returned in a refusal.
        token: u64,
        /// Requested next leader.
        to: Option<Member>,
    },
    /// This member is about to stop and may not return. It hands over its leadership, and its vote
    /// as soon as a learner can take it. Holds until the node is dropped.
    Leave,
    /// A write failed. A leader gives up its lease and tells the voter with the most matching
    /// entries to start an election, which needs no write here. The caller carries out the `Send`
    /// actions of this step and discards the node.
    Resign,
    /// The caller handled no events for `duration` until now, for instance because its host did not
    /// run it. Messages of other members may have waited, so this time does not count as their
    /// silence. Leases and withheld votes are not affected.
    Stalled {
        /// Time until now.
        duration: Duration,
    },
    /// As `Stalled`, because the caller carried out `Persist` actions. The election timeout is
    /// extended for a while, as the disks of other members may be as slow.
    Written {
        /// Time until now.
        duration: Duration,
    },
    /// The caller encoded its state machine as of the entry `index`, which it has applied.
    SnapshotTaken {
        /// Last entry included.
        index: u64,
        /// Encoded state.
        data: Arc<[u8]>,
    },
}

/// Output of [`Node::step`](super::Node::step), to be carried out in the order given: all
/// `Persist` first, then all `Send`, then the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync before carrying out any later action. If a write or sync fails, the caller
    /// carries out nothing further, may step `Event::Resign`, and discards the node.
    Persist(Write),
    /// Send, with no guarantee of delivery or order.
    Send(Message),
    /// A proposal was appended. It is decided when an entry at `position.index` is applied:
    /// committed if its term equals `position.term`, lost otherwise.
    Proposed {
        /// Token of the event.
        token: u64,
        /// Position in the log.
        position: Position,
    },
    /// A proposal, change or transfer had no effect.
    Refused {
        /// Token of the event.
        token: u64,
        /// Reason.
        refusal: Refusal,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// Own role.
        role: Role,
        /// Current term.
        term: u64,
        /// Leader of that term, if known.
        leader: Option<Member>,
    },
    /// This leader gave up the leadership, because a majority did not answer. The caller may log
    /// this.
    LostQuorum {
        /// Time since a majority last answered.
        silence: Duration,
        /// Part of it in which this member handled no events.
        stalled: Duration,
        /// Time without answers that was allowed.
        limit: Duration,
    },
    /// Apply a committed entry to the state machine. Entries without a command are included, so
    /// that indexes are consecutive.
    Apply(Entry),
    /// Replace the state of the state machine by a snapshot.
    Restore(Snapshot),
    /// Encode the state machine and answer with `Event::SnapshotTaken`.
    TakeSnapshot {
        /// Last entry applied.
        index: u64,
    },
    /// The applied state includes every entry that was acknowledged before `as_of`.
    Fresh {
        /// Own clock when the probe was sent.
        as_of: Duration,
    },
    /// A request to join was refused. Reported by the member that refuses, and by the one that
    /// asked. The caller may log this, at a limited rate.
    JoinRefused(RefusedJoin),
    /// This member no longer has a seat and asks for a new identity.
    Removed {
        /// The identity that it had.
        member: Member,
    },
    /// A message was rejected. The caller may log this, at a limited rate.
    Rejected {
        /// Sender.
        from: Member,
        /// Reason.
        fault: Fault,
    },
}

/// A refused request to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RefusedJoin {
    /// Slot of the member that asked.
    pub slot: u32,
    /// The member that refused.
    pub by: Member,
    /// Reason.
    pub refusal: JoinRefusal,
}

/// Why a member without an identity is not admitted now. It asks again until it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error, Serialize, Deserialize)]
pub enum JoinRefusal {
    /// All seats belong to voters or to learners that answer.
    #[error(
        "all {members} seats of the replicated log are taken; stop a member that is not needed"
    )]
    Full {
        /// Number of seats.
        members: usize,
    },
    /// A voter with the same slot answers.
    #[error("another process with this address or name still votes; stop one of the two")]
    SlotInUse,
    /// An earlier membership change is not committed yet.
    #[error(
        "an earlier change of the members is not committed yet; check that a majority of the voters runs"
    )]
    ChangePending,
    /// The member that was asked knows no leader.
    #[error("no leader is known; check that a majority of the voters runs")]
    NoLeader,
}

/// Change of the durable state. After a crash, the writes of one step may be present up to any
/// point, as long as their order is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Replaces the vote record.
    Vote(VoteRecord),
    /// Removes every entry at `from` and above.
    Truncate {
        /// First index removed.
        from: u64,
    },
    /// Adds entries after the last one.
    Append(Vec<Entry>),
    /// Replaces the snapshot atomically. Once all writes of the step are durable, entries below its
    /// position may be removed. The entry at the position stays until a `Truncate` removes it,
    /// because recovery compares its term to detect a crash between the two writes.
    Snapshot(Snapshot),
}

/// Identity, term and vote of one data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRecord {
    /// Cluster that the folder belongs to.
    pub cluster: u128,
    /// Identity.
    pub member: Member,
    /// Random id of the folder.
    pub storage: u64,
    /// Highest term seen.
    pub term: u64,
    /// Candidate voted for in that term.
    pub vote: Option<Member>,
}

/// State of the caller's state machine at one position of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry covered.
    pub position: Position,
    /// Members at that entry.
    pub membership: Membership,
    /// Encoded by the caller.
    pub data: Arc<[u8]>,
}

/// Why a proposal, change or transfer had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// This node is not the leader.
    #[error("this node is not the leader; send the request to the leader")]
    NotLeader {
        /// Leader, if known.
        leader: Option<Member>,
    },
    /// Too many entries are uncommitted, or the log is full.
    #[error("too many entries are waiting to be committed or compacted; retry later")]
    Busy,
    /// The command exceeds the size limit.
    #[error("the command has {size} bytes, the limit is {limit}; split it")]
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The leader is transferring its leadership.
    #[error("the leader is transferring its leadership; retry with the next leader")]
    Transferring,
    /// Another membership change is not yet committed, a leadership transfer is in progress, or the
    /// leader has not yet committed an entry of its own term.
    #[error("another membership change, an election or a transfer is in progress; retry later")]
    ChangePending,
    /// The change or transfer is not possible.
    #[error("the change or transfer is not possible: {0}")]
    Impossible(#[serde(skip)] &'static str),
    /// A snapshot could not hold the state with this command and the reserve.
    #[error(
        "the replicated state would have {size} bytes, the limit is {limit} (max_snapshot_bytes \
         without state_reserve_bytes); remove what is not needed, then send the command again"
    )]
    StateFull {
        /// Size of the state with the command, estimated, in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Fault {
    /// Sent by a member of another cluster.
    #[error("the sender belongs to another cluster; check its settings and data folder")]
    WrongCluster,
    /// Addressed to another member or another incarnation of this one.
    #[error("the message is addressed to another member")]
    WrongReceiver,
    /// The sender uses an identity that was assigned to another data folder.
    #[error(
        "the sender's data folder is not the one recorded for its incarnation; empty the folder so that the member rejoins"
    )]
    WrongStorage,
    /// A field exceeds a limit or contradicts another one or the known state.
    #[error(
        "the message exceeds a limit or contradicts itself; check that all members run the same version"
    )]
    Malformed,
}
