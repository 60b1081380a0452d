//! Leader side of replication: batches, acknowledgements, commit index and leadership transfer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::log::{Entry, Payload, Position};
use super::progress::{Mode, Progress};
use super::{Action, Body, FollowerState, Member, Node, Outcome, Refusal, Role, Write};

/// State that exists only while a node is the leader.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) followers: BTreeMap<Member, Progress>,
    pub(super) heartbeat_due: Duration,
    pub(super) started: Duration,
    /// Index of the first entry of this term.
    pub(super) first_index: u64,
    pub(super) transfer: Option<Transfer>,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    to: Member,
    deadline: Duration,
    /// Whether `TimeoutNow` was sent. The receiver may then already be campaigning, so the lease is
    /// given up for the rest of the term.
    pub(super) sent: bool,
}

impl Leadership {
    pub(super) fn transfer_to(&self) -> Option<Member> {
        self.transfer.as_ref().map(|transfer| transfer.to)
    }

    /// The follower with the most matching entries among those that `may_lead`.
    fn successor(&self, may_lead: impl Fn(Member) -> bool) -> Option<Member> {
        let followers = self.followers.iter();
        let candidates = followers.filter(|(member, _)| may_lead(**member));
        let successor =
            candidates.max_by_key(|(_, progress)| (progress.matched, progress.answered));
        successor.map(|(&member, _)| member)
    }

    /// Whether a follower has announced that it is about to stop.
    pub(super) fn is_leaving(&self, member: Member, now: Duration) -> bool {
        let progress = self.followers.get(&member);
        progress.is_some_and(|progress| now < progress.leaving_until)
    }

    pub(super) fn follower_states(&self) -> Vec<FollowerState> {
        self.followers
            .iter()
            .map(|(&member, progress)| progress.state(member))
            .collect()
    }
}

impl Node {
    pub(super) fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.record.member);
        self.granted.clear();
        self.incoming = None;
        self.leadership = Some(Leadership {
            followers: BTreeMap::new(),
            heartbeat_due: now + self.settings.heartbeat,
            started: now,
            first_index: self.log.last().index + 1,
            transfer: None,
        });
        self.sync_followers();
        self.append_entry(Payload::Empty, now);
    }

    /// Adds and removes the progress of followers after a membership change.
    fn sync_followers(&mut self) {
        let own = self.record.member;
        let last = self.log.last().index;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let seats = &self.history.latest().seats;
        leadership
            .followers
            .retain(|member, _| seats.iter().any(|seat| seat.member == *member));
        for seat in seats.iter().filter(|seat| seat.member != own) {
            leadership
                .followers
                .entry(seat.member)
                .or_insert_with(|| Progress::new(last, self.now));
        }
    }

    /// Appends an entry of the current term and starts replicating it.
    pub(super) fn append_entry(&mut self, payload: Payload, now: Duration) -> Position {
        let position = Position {
            term: self.record.term,
            index: self.log.last().index + 1,
        };
        let entry = Entry { position, payload };
        self.out.writes.push(Write::Append(vec![entry.clone()]));
        if let Payload::Membership(membership) = &entry.payload {
            self.history.push(position.index, membership.clone());
        }
        self.log.push(entry);
        self.sync_followers();
        self.replicate_all(now);
        self.advance_commit(now);
        position
    }

    /// Appends a command unless there is a reason to refuse it. `state` is the reason of a state
    /// that leaves no room for the command.
    pub(super) fn on_propose(
        &mut self,
        token: u64,
        command: Vec<u8>,
        state: Option<Refusal>,
        now: Duration,
    ) {
        let refusal = match &self.leadership {
            None => Some(Refusal::NotLeader {
                leader: self.leader,
            }),
            Some(leadership) if leadership.transfer.is_some() => Some(Refusal::Transferring),
            Some(_) if command.len() > self.settings.max_command_bytes => Some(Refusal::TooLarge {
                size: command.len(),
                limit: self.settings.max_command_bytes,
            }),
            Some(_) if self.is_full() => Some(Refusal::Busy),
            Some(_) => state,
        };
        if let Some(refusal) = refusal {
            self.out.notices.push(Action::Refused { token, refusal });
            return;
        }
        let position = self.append_entry(Payload::Command(command), now);
        self.out.notices.push(Action::Proposed { token, position });
    }

    fn is_full(&self) -> bool {
        let uncommitted = self.log.last().index - self.commit;
        uncommitted >= self.settings.max_uncommitted || self.is_log_full()
    }

    pub(super) fn on_transfer(&mut self, token: u64, to: Option<Member>, now: Duration) {
        let voters: Vec<Member> = self.history.latest().voters().collect();
        let Some(leadership) = &mut self.leadership else {
            let refusal = Refusal::NotLeader {
                leader: self.leader,
            };
            self.out.notices.push(Action::Refused { token, refusal });
            return;
        };
        let may_lead = |member| voters.contains(&member) && to.is_none_or(|to| to == member);
        let target = leadership
            .successor(|member| may_lead(member) && !leadership.is_leaving(member, now))
            .or_else(|| leadership.successor(may_lead));
        let refusal = match target {
            _ if leadership.transfer.is_some() => Refusal::Transferring,
            None => Refusal::Impossible("leadership can only be transferred to another voter"),
            Some(to) => {
                let deadline = now + self.settings.election_timeout;
                leadership.transfer = Some(Transfer {
                    to,
                    deadline,
                    sent: false,
                });
                self.continue_transfer();
                return;
            }
        };
        self.out.notices.push(Action::Refused { token, refusal });
    }

    pub(super) fn on_resign(&mut self, now: Duration) {
        let voters: Vec<Member> = self.history.latest().voters().collect();
        let Some(leadership) = &self.leadership else {
            return;
        };
        let successor = leadership.successor(|member| voters.contains(&member));
        self.become_follower(self.record.term, None, now);
        if let Some(to) = successor {
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Tells the receiver to start an election once it holds the whole log.
    fn continue_transfer(&mut self) {
        let last = self.log.last().index;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let to = transfer.to;
        let ready = leadership
            .followers
            .get(&to)
            .is_some_and(|progress| progress.matched == last);
        if ready {
            transfer.sent = true;
            self.send(to, Body::TimeoutNow);
        }
    }

    pub(super) fn tick_leader(&mut self, now: Duration) {
        let limit = self.shortest_election_timeout(now);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let (started, due) = (leadership.started, leadership.heartbeat_due);
        let transfer_over = leadership
            .transfer
            .as_ref()
            .filter(|transfer| now >= transfer.deadline)
            .map(|t| t.sent);
        if transfer_over == Some(false) {
            leadership.transfer = None;
        }
        let last_contact = self.quorum_time(now).unwrap_or_default().max(started);
        let lost_quorum = self.running_time(last_contact, now) >= limit;
        if lost_quorum {
            self.out.notices.push(Action::LostQuorum {
                silence: now.saturating_sub(last_contact),
                stalled: self.stalls.between(last_contact, now),
                limit,
            });
        }
        if transfer_over == Some(true) || lost_quorum {
            self.become_follower(self.record.term, None, now);
            return;
        }
        if now < due {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.heartbeat_due = now + self.settings.heartbeat;
        }
        for member in self.follower_ids() {
            self.send_heartbeat(member, now);
        }
        if self.leaves {
            self.on_transfer(0, None, now);
        }
        self.continue_transfer();
        self.request_snapshot();
        self.maintain_membership(now);
        self.tick_probe(now);
    }

    fn follower_ids(&self) -> Vec<Member> {
        self.leadership
            .iter()
            .flat_map(|leadership| leadership.followers.keys().copied())
            .collect()
    }

    pub(super) fn progress(&mut self, member: Member) -> Option<&mut Progress> {
        self.leadership.as_mut()?.followers.get_mut(&member)
    }

    fn replicate_all(&mut self, now: Duration) {
        for member in self.follower_ids() {
            self.replicate(member, now);
        }
    }

    fn send_heartbeat(&mut self, member: Member, now: Duration) {
        // Two heartbeats cover a round trip and one lost message.
        let stall_timeout = self.settings.heartbeat * 2;
        let base = self.log.base().index;
        let Some(progress) = self.progress(member) else {
            return;
        };
        let stalled = progress
            .in_flight
            .front()
            .is_some_and(|(_, sent)| now >= *sent + stall_timeout);
        match &mut progress.mode {
            Mode::Probing { waiting } => {
                *waiting = false;
                self.replicate(member, now);
            }
            Mode::Streaming if stalled || progress.matched < base => {
                let next = progress.matched + 1;
                progress.probe_from(next);
                self.replicate(member, now);
            }
            Mode::Streaming => {
                let matched = progress.matched;
                self.send_append(member, matched, Vec::new(), now);
            }
            Mode::SendingSnapshot { .. } => self.send_chunk(member, now),
        }
    }

    /// Sends as many entries or chunks as the member's mode allows.
    fn replicate(&mut self, member: Member, now: Duration) {
        let (last, base) = (self.log.last().index, self.log.base().index);
        let (max_entries, max_bytes) = (
            self.settings.max_batch_entries,
            self.settings.max_batch_bytes,
        );
        let max_in_flight = self.settings.max_in_flight;
        loop {
            let Some(progress) = self.progress(member) else {
                return;
            };
            let next = progress.next;
            match &mut progress.mode {
                Mode::SendingSnapshot { .. } | Mode::Probing { waiting: true } => return,
                Mode::Probing { .. } | Mode::Streaming if next <= base => {
                    return self.start_sending_snapshot(member, now);
                }
                Mode::Probing { waiting } => {
                    *waiting = true;
                    let batch = self.log.batch(next, max_entries, max_bytes);
                    return self.send_append(member, next - 1, batch, now);
                }
                Mode::Streaming => {
                    if next > last || progress.in_flight.len() >= max_in_flight {
                        return;
                    }
                    let batch = self.log.batch(next, max_entries, max_bytes);
                    let end = next + batch.len() as u64 - 1;
                    if let Some(progress) = self.progress(member) {
                        progress.in_flight.push_back((end, now));
                        progress.next = end + 1;
                    }
                    self.send_append(member, next - 1, batch, now);
                }
            }
        }
    }

    fn send_append(&mut self, member: Member, prev: u64, entries: Vec<Entry>, now: Duration) {
        let Some(term) = self.log.term_at(prev) else {
            return;
        };
        let prev = Position { term, index: prev };
        let body = Body::Append {
            prev,
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send(member, body);
    }

    pub(super) fn on_append_answer(
        &mut self,
        from: Member,
        storage: u64,
        outcome: Outcome,
        sent_at: Duration,
        now: Duration,
    ) {
        let last = self.log.last().index;
        if !self.record_answer(from, sent_at, now) {
            return;
        }
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.storage = Some(storage);
        match outcome {
            Outcome::Matched { index } | Outcome::Full { index } if index > last => return,
            Outcome::Matched { index } | Outcome::Full { index } => {
                progress.record_match(index);
                if matches!(outcome, Outcome::Full { .. }) {
                    progress.pause();
                }
                self.advance_commit(now);
                self.continue_transfer();
            }
            Outcome::Missing { prev, hint } => {
                let current = match progress.mode {
                    Mode::Probing { .. } => prev + 1 == progress.next,
                    Mode::Streaming => prev > progress.matched,
                    Mode::SendingSnapshot { .. } => false,
                };
                if current {
                    let found = self.log.backtrack(hint).index.min(hint.index);
                    let next = found.min(prev.saturating_sub(1)) + 1;
                    if let Some(progress) = self.progress(from) {
                        progress.probe_from(next);
                    }
                }
            }
        }
        self.replicate(from, now);
    }

    /// Records a completed round trip. Returns false if the sender is not a tracked member or the
    /// echoed sending time is in the future.
    pub(super) fn record_answer(&mut self, from: Member, sent_at: Duration, now: Duration) -> bool {
        let Some(progress) = self.progress(from) else {
            return false;
        };
        if sent_at > now {
            return false;
        }
        progress.answered = progress.answered.max(Some(sent_at));
        true
    }

    /// Commits the entries that a majority holds. Only entries of the current term are counted;
    /// earlier ones are committed with them.
    fn advance_commit(&mut self, now: Duration) {
        let own = self.record.member;
        let Some(leadership) = &self.leadership else {
            return;
        };
        let membership = self.history.latest();
        let mut matched: Vec<u64> = membership
            .voters()
            .map(|voter| match leadership.followers.get(&voter) {
                Some(progress) => progress.matched,
                None if voter == own => self.log.last().index,
                None => 0,
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = matched.get(membership.majority() - 1) else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.record.term) {
            return;
        }
        self.commit_to(index);
        for member in self.follower_ids() {
            let progress = self.progress(member);
            let streaming = progress.filter(|progress| matches!(progress.mode, Mode::Streaming));
            if let Some(matched) = streaming.map(|progress| progress.matched) {
                self.send_append(member, matched, Vec::new(), now);
            }
        }
        let committed = self.history.at(self.commit);
        if self.history.latest_index() <= self.commit && !committed.is_voter(own) {
            self.become_follower(self.record.term, None, now);
        }
    }
}
