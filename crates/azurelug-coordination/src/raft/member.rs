//! Member identities and the membership recorded in the log.

use serde::{Deserialize, Serialize};

/// Identity of one copy of the log.
///
/// A slot is a place in the cluster, such as one control daemon of a zone. The incarnation changes
/// each time the slot starts with an empty disk, so that a member that forgot its votes cannot act
/// as the member that cast them. Incarnation 0 means that none has been assigned yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Place in the cluster.
    pub slot: u32,
    /// Number of the disk that this slot uses, counted from 1.
    pub incarnation: u64,
}

impl std::fmt::Display for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.slot, self.incarnation)
    }
}

/// Part a member plays in replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Votes and counts towards a majority.
    Voter,
    /// Receives the log only.
    Learner {
        /// The leader replaces the slot's previous voter once this learner holds a durable copy.
        replaces: bool,
    },
}

/// One member as the log records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Identity.
    pub member: Member,
    /// Random id of the member's data folder; `None` until an initialized member has been heard.
    pub storage: Option<u64>,
    /// Voter or learner.
    pub standing: Standing,
}

/// A requested membership change. Each changes at most one voter, so that any majority before the
/// change shares a member with any majority after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Turns a learner that holds a durable copy into a voter.
    Promote(Member),
    /// Turns a voter into a learner.
    Demote(Member),
    /// Removes a voter or a learner.
    Remove(Member),
}

/// Members of the cluster at one log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Seats, sorted by member.
    pub seats: Vec<Seat>,
    /// Highest incarnation given so far to each slot; never shrinks.
    pub incarnations: Vec<(u32, u64)>,
}

impl Membership {
    /// Membership in which each slot votes under incarnation 1.
    #[must_use]
    pub fn initial(slots: &[u32]) -> Self {
        let mut slots = slots.to_vec();
        slots.sort_unstable();
        slots.dedup();
        Self {
            seats: slots
                .iter()
                .map(|&slot| Seat {
                    member: Member {
                        slot,
                        incarnation: 1,
                    },
                    storage: None,
                    standing: Standing::Voter,
                })
                .collect(),
            incarnations: slots.iter().map(|&slot| (slot, 1)).collect(),
        }
    }

    /// Seat of `member`, if it has one.
    #[must_use]
    pub fn seat(&self, member: Member) -> Option<&Seat> {
        self.seats.iter().find(|seat| seat.member == member)
    }

    /// Whether `member` votes.
    #[must_use]
    pub fn is_voter(&self, member: Member) -> bool {
        self.seat(member)
            .is_some_and(|seat| seat.standing == Standing::Voter)
    }

    /// All voters.
    pub fn voters(&self) -> impl Iterator<Item = Member> + '_ {
        self.seats
            .iter()
            .filter(|seat| seat.standing == Standing::Voter)
            .map(|seat| seat.member)
    }

    /// Smallest number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Voter of `slot`, whatever its incarnation.
    pub(super) fn voter_of(&self, slot: u32) -> Option<Member> {
        self.voters().find(|member| member.slot == slot)
    }

    fn has_successor(&self, member: Member) -> bool {
        self.seats.iter().any(|seat| {
            seat.member.slot == member.slot && seat.member.incarnation > member.incarnation
        })
    }

    /// Adds a learner for `slot` under the next incarnation. Earlier learners of the slot leave.
    pub(super) fn admit(&self, slot: u32, storage: u64) -> (Self, Member) {
        let mut next = self.clone();
        let replaces = next.seats.iter().any(|seat| {
            seat.member.slot == slot
                && matches!(
                    seat.standing,
                    Standing::Voter | Standing::Learner { replaces: true }
                )
        });
        next.seats
            .retain(|seat| seat.member.slot != slot || seat.standing == Standing::Voter);
        let incarnation = match next
            .incarnations
            .iter_mut()
            .find(|(known, _)| *known == slot)
        {
            Some((_, highest)) => {
                *highest += 1;
                *highest
            }
            None => {
                next.incarnations.push((slot, 1));
                1
            }
        };
        let member = Member { slot, incarnation };
        next.seats.push(Seat {
            member,
            storage: Some(storage),
            standing: Standing::Learner { replaces },
        });
        next.seats.sort_by_key(|seat| seat.member);
        (next, member)
    }

    /// Records the data folder of an initialized member.
    pub(super) fn bind(&mut self, member: Member, storage: u64) {
        if let Some(seat) = self.seats.iter_mut().find(|seat| seat.member == member) {
            seat.storage.get_or_insert(storage);
        }
    }

    /// Result of `change`, or why it is not possible.
    pub(super) fn changed(&self, change: Change, max_voters: usize) -> Result<Self, &'static str> {
        let mut next = self.clone();
        let (Change::Promote(member) | Change::Demote(member) | Change::Remove(member)) = change;
        let position = next
            .seats
            .iter()
            .position(|seat| seat.member == member)
            .ok_or("the member is not in the cluster")?;
        match change {
            Change::Promote(_) => {
                if self.voter_of(member.slot).is_some() {
                    return Err("the slot has a voter; remove it first");
                }
                if self.voters().count() >= max_voters {
                    return Err("the cluster has its full number of voters; demote one first");
                }
                next.seats[position].standing = Standing::Voter;
            }
            // A voter whose successor has joined has lost its disk, so it leaves instead.
            Change::Demote(_) if next.has_successor(member) => {
                next.seats.remove(position);
            }
            Change::Demote(_) => {
                next.seats[position].standing = Standing::Learner { replaces: false };
            }
            Change::Remove(_) => {
                next.seats.remove(position);
            }
        }
        if next.voters().next().is_none() {
            return Err("the last voter cannot leave");
        }
        Ok(next)
    }
}

/// Memberships in the log that are not yet covered by the log's base, oldest first.
#[derive(Clone, Debug)]
pub(super) struct History {
    steps: std::collections::VecDeque<(u64, Membership)>,
}

impl History {
    pub(super) fn new(index: u64, membership: Membership) -> Self {
        Self {
            steps: std::iter::once((index, membership)).collect(),
        }
    }

    /// Latest membership, which is in force whether committed or not.
    pub(super) fn latest(&self) -> &Membership {
        &self
            .steps
            .back()
            .expect("a history holds at least its base")
            .1
    }

    pub(super) fn latest_index(&self) -> u64 {
        self.steps
            .back()
            .expect("a history holds at least its base")
            .0
    }

    pub(super) fn at(&self, index: u64) -> &Membership {
        let step = self.steps.iter().rev().find(|(at, _)| *at <= index);
        &step
            .unwrap_or_else(|| {
                self.steps
                    .front()
                    .expect("a history holds at least its base")
            })
            .1
    }

    pub(super) fn ever_voter(&self, member: Member) -> bool {
        self.steps
            .iter()
            .any(|(_, membership)| membership.is_voter(member))
    }

    pub(super) fn push(&mut self, index: u64, membership: Membership) {
        self.steps.push_back((index, membership));
    }

    pub(super) fn truncate(&mut self, from: u64) {
        while self.steps.len() > 1 && self.latest_index() >= from {
            self.steps.pop_back();
        }
    }

    pub(super) fn compact(&mut self, through: u64) {
        while self.steps.len() > 1 && self.steps[1].0 <= through {
            self.steps.pop_front();
        }
    }
}
