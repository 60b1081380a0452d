//! The state of a node as shown to operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::event::RefusedJoin;
use super::log::Position;
use super::member::{Member, Membership, Seat, Standing};

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Has no identity yet and asks to join.
    Joining,
    /// Follows a leader or waits for one. Learners are followers.
    Follower,
    /// Asks in a pre-vote whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Accepts proposals and replicates the log.
    Leader,
}

/// State of a node at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Identity; incarnation 0 while it has none.
    pub member: Member,
    /// Random id of the data folder.
    pub storage: u64,
    /// Role.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Vote in that term.
    pub vote: Option<Member>,
    /// Leader of that term, if known.
    pub leader: Option<Member>,
    /// Last position of the log.
    pub last: Position,
    /// Commit index; every entry up to it has been returned for applying.
    pub commit: u64,
    /// Position before the first entry in memory.
    pub base: Position,
    /// Last entry that the snapshot covers.
    pub snapshot: Position,
    /// Bytes of log entries in memory.
    pub log_bytes: usize,
    /// Latest membership in the log.
    pub membership: Membership,
    /// Index of that membership's entry.
    pub membership_index: u64,
    /// End of the leader lease; only on a leader that has one.
    pub lease_until: Option<Duration>,
    /// Latest time at which the applied state was known to be current.
    pub fresh_as_of: Option<Duration>,
    /// Receiver of a leadership transfer in progress.
    pub transfer_to: Option<Member>,
    /// Replication state of each other member; empty unless this node is the leader.
    pub followers: Vec<FollowerState>,
    /// The last request to join that was refused, by this member or to it.
    #[serde(default)]
    pub refused_join: Option<RefusedJoin>,
}

impl State {
    /// Whether a cluster that maintains `target_voters` still counts on this member: it leads others,
    /// has a vote that a learner may yet get, or the changes that hand the vote over are not complete.
    /// A member without others is never needed by them.
    #[must_use]
    pub fn is_needed(&self, target_voters: Option<usize>) -> bool {
        let seats = self.membership.seats.iter();
        let others: Vec<&Seat> = seats.filter(|seat| seat.member != self.member).collect();
        let has_learner = others.iter().any(|seat| seat.standing != Standing::Voter);
        let has_vote = self.membership.is_voter(self.member);
        let voters = self.membership.voters().count();
        let lacks_voters = target_voters.is_some_and(|target| voters < target);
        (self.role == Role::Leader && !others.is_empty())
            || (has_learner && (has_vote || lacks_voters))
            || self.membership_index > self.commit
    }
}

/// Replication state of one member as tracked by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerState {
    /// Identity.
    pub member: Member,
    /// Last index known to be durable there.
    pub matched: u64,
    /// Next index to send.
    pub next: u64,
    /// Unanswered batches.
    pub in_flight: usize,
    /// Bytes of a snapshot acknowledged so far, while one is being sent.
    pub snapshot_sent: Option<u64>,
    /// Sending time of the latest message that the member answered.
    pub answered: Option<Duration>,
}
