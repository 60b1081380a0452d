//! Membership changes, one at a time, and the replacement of members that lost their disk.

use std::time::Duration;

use super::log::Payload;
use super::member::Standing;
use super::{Action, Change, Member, Membership, Node, Refusal, Role};

impl Node {
    /// Whether a membership change may start: the previous one is committed, this leader has
    /// committed an entry of its own term, and no leadership transfer is in progress.
    pub(super) fn can_change(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| {
            leadership.transfer.is_none()
                && self.commit >= leadership.first_index
                && self.history.latest_index() <= self.commit
        })
    }

    pub(super) fn on_change(&mut self, token: u64, change: Change, now: Duration) {
        let result = if self.role != Role::Leader {
            Err(Refusal::NotLeader {
                leader: self.leader,
            })
        } else if !self.can_change() {
            Err(Refusal::ChangePending)
        } else if let Change::Promote(member) = change
            && !self.is_caught_up(member)
        {
            Err(Refusal::Impossible(
                "the learner has not yet acknowledged a durable copy of the log; retry later",
            ))
        } else {
            let changed = self
                .history
                .latest()
                .with_change(change, self.settings.max_voters);
            changed.map_err(Refusal::Impossible)
        };
        match result {
            Ok(membership) => {
                let position = self.append_entry(Payload::Membership(membership), now);
                self.out.notices.push(Action::Proposed { token, position });
            }
            Err(refusal) => self.out.notices.push(Action::Refused { token, refusal }),
        }
    }

    /// Whether the member has acknowledged every entry that existed when this leader started to
    /// track it.
    fn is_caught_up(&mut self, member: Member) -> bool {
        self.progress(member)
            .is_some_and(|progress| progress.matched >= progress.catch_up_index)
    }

    /// Whether the member answered within the last election timeout.
    pub(super) fn is_responsive(&self, member: Member, now: Duration) -> bool {
        let own = member == self.record.member;
        let progress = self
            .leadership
            .as_ref()
            .and_then(|leadership| leadership.followers.get(&member));
        let answered = progress.and_then(|progress| progress.answered);
        own || answered.is_some_and(|at| now < at + self.settings.election_timeout)
    }

    /// Starts the next automatic membership change, if any: records the data folders of initialized
    /// members, continues a pending replacement, or adjusts the number of voters.
    pub(super) fn maintain_membership(&mut self, now: Duration) {
        if !self.can_change() {
            return;
        }
        if let Some(next) = self
            .membership_with_data_folders()
            .or_else(|| self.next_replacement(now))
            .or_else(|| self.next_adjustment(now))
            .or_else(|| self.next_removal(now))
        {
            self.append_entry(Payload::Membership(next), now);
        }
    }

    fn membership_with_data_folders(&self) -> Option<Membership> {
        let current = self.history.latest();
        let mut next = current.clone();
        for seat in current.seats.iter().filter(|seat| seat.storage.is_none()) {
            let storage = if seat.member == self.record.member {
                Some(self.record.storage)
            } else {
                let followers = &self.leadership.as_ref()?.followers;
                followers
                    .get(&seat.member)
                    .and_then(|progress| progress.storage)
            };
            if let Some(storage) = storage {
                next.record_data_folder(seat.member, storage);
            }
        }
        (next != *current).then_some(next)
    }

    /// Removes the old voter of a slot once its successor holds a durable copy, and promotes the
    /// successor in a second step. After a single step, a majority before the change and one after
    /// it might have no member in common.
    fn next_replacement(&mut self, now: Duration) -> Option<Membership> {
        let current = self.history.latest().clone();
        let waiting = current
            .seats
            .iter()
            .filter(|seat| seat.standing == (Standing::Learner { replaces: true }));
        for successor in waiting.map(|seat| seat.member) {
            if !self.is_caught_up(successor) || !self.is_responsive(successor, now) {
                continue;
            }
            let change = match current.voter_in_slot(successor.slot) {
                Some(old) if self.is_responsive(old, now) => continue,
                Some(old) => Change::Remove(old),
                None => Change::Promote(successor),
            };
            if let Ok(next) = current.with_change(change, self.settings.max_voters) {
                return Some(next);
            }
        }
        None
    }

    /// Keeps the number of voters at `target_voters`. A voter that leaves or is lost is demoted
    /// before a learner is promoted: if both were voters, a majority of an even number would be
    /// needed.
    fn next_adjustment(&mut self, now: Duration) -> Option<Membership> {
        let target = self.settings.target_voters?;
        let current = self.history.latest().clone();
        let learners = current
            .seats
            .iter()
            .filter(|seat| seat.standing == (Standing::Learner { replaces: false }))
            .map(|seat| seat.member)
            .filter(|learner| current.voter_in_slot(learner.slot).is_none())
            .filter(|&learner| !self.is_leaving(learner, now));
        let learners: Vec<Member> = learners.collect();
        let ready = learners
            .into_iter()
            .find(|&learner| self.is_responsive(learner, now) && self.is_caught_up(learner))?;
        let max_voters = self.settings.max_voters;
        if current.voters().count() < target {
            return current.with_change(Change::Promote(ready), max_voters).ok();
        }
        let mut voters = current.voters();
        let is_gone = |&voter: &Member| self.is_leaving(voter, now) || self.is_lost(voter, now);
        let gone = voters.find(is_gone)?;
        let next = current.with_change(Change::Demote(gone), max_voters).ok()?;
        self.can_commit(&next, now).then_some(next)
    }

    /// Whether a majority of a membership's voters answers. A change that needs the answer of a
    /// voter that is gone could be neither committed nor taken back.
    fn can_commit(&self, membership: &Membership, now: Duration) -> bool {
        let voters = membership.voters();
        let answering = voters.filter(|&voter| self.is_responsive(voter, now));
        answering.count() >= membership.majority()
    }

    /// Whether a voter has been silent for `replace_after`, so that a learner should replace it.
    fn is_lost(&self, voter: Member, now: Duration) -> bool {
        self.is_silent_for(voter, self.settings.replace_after, now)
    }

    pub(super) fn is_silent_for(&self, member: Member, limit: Duration, now: Duration) -> bool {
        let last_contact = self.last_contact(member);
        last_contact.is_some_and(|at| self.running_time(at, now) >= limit)
    }

    /// When another member was last known to run; `None` for this one, and without a leadership.
    ///
    /// A new leader knows how long its predecessor has been silent, because leaders send heartbeats.
    /// Other members send nothing to a follower, so their silence counts from the election on, or
    /// from their admission.
    pub(super) fn last_contact(&self, member: Member) -> Option<Duration> {
        let leadership = self.leadership.as_ref()?;
        let progress = leadership.followers.get(&member);
        let answered = progress.and_then(|progress| progress.answered);
        let led = self.last_leader.filter(|(leader, _)| *leader == member);
        let since = progress.map_or(leadership.started, |progress| progress.since);
        let assumed = led.map_or(since, |(_, heard)| heard);
        let last_contact = answered.map_or(assumed, |at| at.max(assumed));
        (member != self.record.member).then_some(last_contact)
    }

    fn is_leaving(&self, member: Member, now: Duration) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| leadership.is_leaving(member, now))
    }

    /// Hands over the leadership, and the vote with the answers to the next leader.
    pub(super) fn leave(&mut self, now: Duration) {
        self.leaves = true;
        if self.role == Role::Leader {
            self.on_transfer(0, None, now);
        }
    }

    pub(super) fn on_leave(&mut self, from: Member, now: Duration) {
        let leaving_until = now + self.settings.election_timeout;
        if let Some(progress) = self.progress(from) {
            progress.leaving_until = leaving_until;
            self.maintain_membership(now);
        }
    }
}
