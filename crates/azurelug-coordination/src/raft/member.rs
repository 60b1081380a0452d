//! Member identities and the membership recorded in the log.

use serde::{Deserialize, Serialize};

/// Identity of one copy of the log.
///
/// A slot is a fixed position in the cluster, such as one control daemon of a zone. The incarnation
/// changes each time the slot starts with an empty disk, so that a member that lost its vote record
/// cannot act as the member that cast the votes. Incarnation 0 means that none has been assigned
/// yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Position in the cluster.
    pub slot: u32,
    /// Higher than each incarnation that this slot had before.
    pub incarnation: u64,
}

impl std::fmt::Display for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.slot, self.incarnation)
    }
}

/// Role of a member in replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Votes and counts towards a majority.
    Voter,
    /// Receives the log only.
    Learner {
        /// Whether the leader replaces the slot's previous voter once this learner holds a durable
        /// copy.
        replaces: bool,
    },
}

/// One member as recorded in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Identity.
    pub member: Member,
    /// Random id of the member's data folder; `None` until an initialized member has answered the
    /// leader.
    pub storage: Option<u64>,
    /// Voter or learner.
    pub standing: Standing,
}

/// A requested membership change. Each change affects at most one voter, so that any majority
/// before it shares a member with any majority after it.
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
    /// Voters and learners, sorted by member.
    pub seats: Vec<Seat>,
    /// Highest incarnation assigned so far to each slot with a seat, and the highest one of all.
    /// Slots that are not listed get an incarnation above all of these, so that no identity is
    /// assigned twice although the list does not grow with each slot that was ever in use.
    pub incarnations: Vec<(u32, u64)>,
}

impl Membership {
    /// Membership in which each slot is a voter with incarnation 1.
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

    /// Record of `member`, if it belongs to the cluster.
    #[must_use]
    pub fn seat(&self, member: Member) -> Option<&Seat> {
        self.seats.iter().find(|seat| seat.member == member)
    }

    /// Whether `member` is a voter.
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
    pub(super) fn voter_in_slot(&self, slot: u32) -> Option<Member> {
        self.voters().find(|member| member.slot == slot)
    }

    fn has_successor(&self, member: Member) -> bool {
        self.seats.iter().any(|seat| {
            seat.member.slot == member.slot && seat.member.incarnation > member.incarnation
        })
    }

    /// Adds a learner for `slot` with the next incarnation and removes earlier learners of the
    /// slot.
    pub(super) fn with_learner(&self, slot: u32, storage: u64) -> (Self, Member) {
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
        let incarnation = next.assign_incarnation(slot);
        let member = Member { slot, incarnation };
        next.seats.push(Seat {
            member,
            storage: Some(storage),
            standing: Standing::Learner { replaces },
        });
        next.seats.sort_by_key(|seat| seat.member);
        next.forget_unused_slots();
        (next, member)
    }

    fn assign_incarnation(&mut self, slot: u32) -> u64 {
        let mut known = self.incarnations.iter_mut();
        if let Some((_, highest)) = known.find(|(known, _)| *known == slot) {
            *highest += 1;
            return *highest;
        }
        let highest = self.incarnations.iter().map(|(_, highest)| *highest).max();
        let incarnation = highest.unwrap_or_default() + 1;
        self.incarnations.push((slot, incarnation));
        incarnation
    }

    /// Drops the incarnations of slots without a seat, but keeps the highest of all.
    fn forget_unused_slots(&mut self) {
        let highest = self.incarnations.iter().map(|(_, highest)| *highest).max();
        let seats = &self.seats;
        let has_seat = |slot: u32| seats.iter().any(|seat| seat.member.slot == slot);
        let is_highest = |incarnation: u64| Some(incarnation) == highest;
        let mut entries = self.incarnations.iter();
        let mut is_kept = entries.any(|&(slot, it)| has_seat(slot) && is_highest(it));
        self.incarnations.retain(|&(slot, incarnation)| {
            let is_needed = !is_kept && is_highest(incarnation);
            has_seat(slot) || (is_needed && !std::mem::replace(&mut is_kept, true))
        });
    }

    /// Records the data folder of an initialized member, unless one is recorded already.
    pub(super) fn record_data_folder(&mut self, member: Member, storage: u64) {
        if let Some(seat) = self.seats.iter_mut().find(|seat| seat.member == member) {
            seat.storage.get_or_insert(storage);
        }
    }

    /// Membership after `change`, or the reason why the change is not possible.
    pub(super) fn with_change(
        &self,
        change: Change,
        max_voters: usize,
    ) -> Result<Self, &'static str> {
        let mut next = self.clone();
        let (Change::Promote(member) | Change::Demote(member) | Change::Remove(member)) = change;
        let position = next
            .seats
            .iter()
            .position(|seat| seat.member == member)
            .ok_or("the member is not in the cluster")?;
        match change {
            Change::Promote(_) => {
                if self.voter_in_slot(member.slot).is_some() {
                    return Err("the slot already has a voter; remove it first");
                }
                if self.voters().count() >= max_voters {
                    return Err(
                        "the cluster already has the maximum number of voters; demote one first",
                    );
                }
                next.seats[position].standing = Standing::Voter;
            }
            // A voter whose successor has joined has lost its disk, so it is removed instead.
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
            return Err("the last voter cannot be removed or demoted");
        }
        next.forget_unused_slots();
        Ok(next)
    }
}

/// The membership at the log's base and all later ones in the log, with their indexes, oldest
/// first.
#[derive(Clone, Debug)]
pub(super) struct MembershipHistory {
    memberships: std::collections::VecDeque<(u64, Membership)>,
}

impl MembershipHistory {
    pub(super) fn new(index: u64, membership: Membership) -> Self {
        Self {
            memberships: std::iter::once((index, membership)).collect(),
        }
    }

    /// Latest membership, which is in force whether committed or not.
    pub(super) fn latest(&self) -> &Membership {
        &self
            .memberships
            .back()
            .expect("the history always contains the base membership")
            .1
    }

    pub(super) fn latest_index(&self) -> u64 {
        self.memberships
            .back()
            .expect("the history always contains the base membership")
            .0
    }

    pub(super) fn at(&self, index: u64) -> &Membership {
        let entry = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        &entry
            .unwrap_or_else(|| {
                self.memberships
                    .front()
                    .expect("the history always contains the base membership")
            })
            .1
    }

    pub(super) fn was_ever_voter(&self, member: Member) -> bool {
        self.memberships
            .iter()
            .any(|(_, membership)| membership.is_voter(member))
    }

    pub(super) fn push(&mut self, index: u64, membership: Membership) {
        self.memberships.push_back((index, membership));
    }

    pub(super) fn truncate(&mut self, from: u64) {
        while self.memberships.len() > 1 && self.latest_index() >= from {
            self.memberships.pop_back();
        }
    }

    pub(super) fn compact(&mut self, through: u64) {
        while self.memberships.len() > 1 && self.memberships[1].0 <= through {
            self.memberships.pop_front();
        }
    }
}
