//! Seats of the membership: admission of members without an identity, removal of learners that are
//! gone, and answers to members that have lost their seat.
//!
//! Load pattern: hundreds of members a day are replaced by others at new addresses. Without removal
//! the seats fill up with members that are gone, and no successor is admitted.

use std::time::Duration;

use super::event::{JoinRefusal, RefusedJoin};
use super::log::Payload;
use super::member::Standing;
use super::{Action, Body, Change, Member, Membership, Message, Node, Role};

impl Node {
    /// Whether the leader maintains the membership. Otherwise operators do, and a member that they
    /// removed does not return by itself.
    fn is_maintained(&self) -> bool {
        self.settings.target_voters.is_some()
    }

    /// Removes a learner that has been silent for `remove_after` while enough others vote. Each new
    /// leader counts the silence anew, so that `replace_after` is enough when more than half of the
    /// seats are taken.
    pub(super) fn next_removal(&self, now: Duration) -> Option<Membership> {
        let target = self.settings.target_voters?;
        let current = self.history.latest();
        let has_enough_voters = current.voters().count() >= target;
        let is_crowded = current.seats.len() > self.settings.max_members / 2;
        let limit = if is_crowded {
            self.settings.replace_after
        } else {
            self.settings.remove_after
        };
        let removed = self.without_silent_learner(limit, now);
        removed.filter(|_| has_enough_voters)
    }

    /// The membership without the learner that has been silent for longest, if that is at least
    /// `limit` and a majority of the voters answers. The voters stay as they are.
    fn without_silent_learner(&self, limit: Duration, now: Duration) -> Option<Membership> {
        if !self.has_lease(now) {
            return None;
        }
        let current = self.history.latest();
        let seats = current.seats.iter();
        let learners = seats.filter(|seat| seat.standing != Standing::Voter);
        let silent = learners
            .map(|seat| seat.member)
            .filter(|&learner| self.is_silent_for(learner, limit, now));
        let gone = silent.min_by_key(|&learner| self.last_contact(learner))?;
        let change = Change::Remove(gone);
        current.with_change(change, self.settings.max_voters).ok()
    }

    /// Slots of the members to ask: those of the settings, and those of the log's membership, which
    /// may be newer.
    fn slots_to_ask(&self) -> Vec<u32> {
        let seats = self.history.latest().seats.iter();
        let known = seats.map(|seat| seat.member.slot);
        let known = known.filter(|_| self.is_maintained());
        let mut slots = self.settings.peers.clone();
        for slot in known {
            if !slots.contains(&slot) {
                slots.push(slot);
            }
        }
        slots.retain(|&slot| slot != self.record.member.slot);
        slots
    }

    fn ask_all(&mut self, body: &Body) {
        for slot in self.slots_to_ask() {
            let any = Member {
                slot,
                incarnation: 0,
            };
            self.send(any, body.clone());
        }
    }

    pub(super) fn tick_joining(&mut self, now: Duration) {
        if now >= self.join_due {
            self.join_due = now + self.settings.join_interval;
            self.ask_all(&Body::Join);
        }
    }

    /// Assigns an identity to the data folder `storage` of the sender's slot through a committed
    /// entry.
    pub(super) fn on_join(&mut self, from: Member, storage: u64, to: Member, now: Duration) {
        let slot = from.slot;
        if slot == self.record.member.slot || self.role == Role::Joining {
            return;
        }
        if self.role != Role::Leader {
            if !self.relay(from, storage, to, Body::Join) && to.incarnation == 0 {
                self.refuse_join(slot, storage, JoinRefusal::NoLeader);
            }
            return;
        }
        let recorded_seat = |membership: &Membership| {
            let mut seats = membership.seats.iter();
            seats
                .find(|seat| seat.member.slot == slot && seat.storage == Some(storage))
                .copied()
        };
        if let Some(seat) = recorded_seat(self.history.at(self.commit)) {
            let member = seat.member;
            self.forget_refusal(slot);
            self.send(without_identity(slot), Body::Joined { member, storage });
        } else if recorded_seat(self.history.latest()).is_none() {
            match self.admit(slot, storage, now) {
                Ok(next) => {
                    self.append_entry(Payload::Membership(next), now);
                }
                Err(refusal) => self.refuse_join(slot, storage, refusal),
            }
        }
    }

    /// The membership with a new learner. If all seats are taken, the one without the learner that
    /// has been silent for longest; the new one asks again.
    fn admit(&self, slot: u32, storage: u64, now: Duration) -> Result<Membership, JoinRefusal> {
        let current = self.history.latest();
        let voter = current.voter_in_slot(slot);
        if voter.is_some_and(|voter| self.is_responsive(voter, now)) {
            return Err(JoinRefusal::SlotInUse);
        }
        if !self.can_change() {
            return Err(JoinRefusal::ChangePending);
        }
        let (next, _) = current.with_learner(slot, storage);
        if next.seats.len() <= self.settings.max_members {
            return Ok(next);
        }
        let room = self.without_silent_learner(self.settings.replace_after, now);
        let members = current.seats.len();
        room.filter(|_| self.is_maintained())
            .ok_or(JoinRefusal::Full { members })
    }

    fn refuse_join(&mut self, slot: u32, storage: u64, refusal: JoinRefusal) {
        let by = self.record.member;
        self.note_refusal(RefusedJoin { slot, by, refusal });
        if self.is_maintained() {
            let body = Body::JoinRefused { storage, refusal };
            self.send(without_identity(slot), body);
        }
    }

    fn note_refusal(&mut self, refused: RefusedJoin) {
        self.refused_join = Some(refused);
        self.out.notices.push(Action::JoinRefused(refused));
    }

    fn forget_refusal(&mut self, slot: u32) {
        self.refused_join = self.refused_join.filter(|refused| refused.slot != slot);
    }

    pub(super) fn on_join_refused(&mut self, by: Member, storage: u64, refusal: JoinRefusal) {
        let slot = self.record.member.slot;
        if self.role == Role::Joining && storage == self.record.storage {
            self.note_refusal(RefusedJoin { slot, by, refusal });
        }
    }

    /// Forwards a request to the leader, which the sender may not know. A request that names the
    /// receiver's incarnation has already been forwarded once and is dropped.
    fn relay(&mut self, from: Member, storage: u64, to: Member, body: Body) -> bool {
        let Some(leader) = self.leader.filter(|_| to.incarnation == 0) else {
            return false;
        };
        self.out.sends.push(Message {
            cluster: self.record.cluster,
            from,
            storage,
            to: leader,
            term: 0,
            body,
        });
        true
    }

    pub(super) fn on_joined(&mut self, member: Member, storage: u64, now: Duration) {
        let own = self.record.member;
        if self.role == Role::Joining && own.slot == member.slot && storage == self.record.storage {
            self.record.member = member;
            self.record_changed = true;
            self.role = Role::Follower;
            self.forget_refusal(own.slot);
            self.reset_election_deadline(now);
        }
    }

    /// Asks whether this member, which hears from no leader, still has a seat: the leader sends
    /// nothing to a member that was removed.
    pub(super) fn inquire(&mut self) {
        if self.is_maintained() {
            self.ask_all(&Body::Inquire);
        }
    }

    /// Tells the sender if its seat is gone. A leader with a lease knows every membership that was
    /// ever committed, and an identity is given out only after the entry that assigns it is
    /// committed. A missing seat was therefore removed and never returns.
    pub(super) fn on_inquire(&mut self, from: Member, storage: u64, to: Member, now: Duration) {
        if self.role != Role::Leader {
            self.relay(from, storage, to, Body::Inquire);
            return;
        }
        let is_seated = self.history.at(self.commit).seat(from).is_some();
        if self.is_maintained() && self.has_lease(now) && !is_seated {
            let member = from;
            self.send(from, Body::Removed { member, storage });
        }
    }

    /// Gives up an identity without a seat and asks for a new one. The log is kept, so that little
    /// has to be sent again. The term and the vote are kept too; until the new identity is durable,
    /// a restart begins with the old one, which is removed again.
    pub(super) fn on_removed(&mut self, member: Member, storage: u64, now: Duration) {
        if self.role == Role::Joining || storage != self.record.storage {
            return;
        }
        self.become_follower(self.record.term, None, now);
        self.role = Role::Joining;
        self.record.member.incarnation = 0;
        // A late answer to an earlier request to join names the former data folder.
        self.record.storage = rand::RngExt::random(&mut self.random);
        self.join_due = now;
        self.out.notices.push(Action::Removed { member });
    }
}

fn without_identity(slot: u32) -> Member {
    Member {
        slot,
        incarnation: 0,
    }
}
