//! Pre-votes, votes, and the withholding of votes that keeps a leader's lease valid.

use std::time::Duration;

use rand::RngExt;

use super::log::Position;
use super::{Body, Member, Message, Node, Outcome, Role};

impl Node {
    pub(super) fn reset_election_deadline(&mut self, now: Duration) {
        let base = self.shortest_election_timeout(now);
        self.election_deadline = now + base + base.mul_f64(self.random.random_range(0.0..1.0));
    }

    /// Whether a leader's lease may still rely on this member not to vote for another candidate.
    fn withholds_vote(&self, now: Duration) -> bool {
        self.role == Role::Leader || now < self.vote_withheld_until
    }

    /// Compares terms and adopts a higher one. Returns whether the message is to be handled.
    pub(super) fn accept_term(&mut self, message: &Message, now: Duration) -> bool {
        let from = message.from;
        if message.term < self.record.term {
            self.answer_stale_term(message);
            return false;
        }
        if message.term == self.record.term {
            return true;
        }
        match message.body {
            Body::Vote {
                transfer: false, ..
            } if self.withholds_vote(now) => return false,
            Body::PreVote { next_term, .. } if self.withholds_vote(now) => {
                self.send(
                    from,
                    Body::PreVoteAnswer {
                        next_term,
                        granted: false,
                    },
                );
                return false;
            }
            // A removed member must not depose a leader whose membership no longer includes it.
            Body::AppendAnswer { .. } | Body::ChunkAnswer { .. } | Body::Probe { .. }
                if self.role == Role::Leader && self.history.latest().seat(from).is_none() =>
            {
                return false;
            }
            _ => {}
        }
        let leads = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
        self.become_follower(message.term, leads.then_some(from), now);
        true
    }

    /// Answers a message of an old term, so that its sender learns the current term.
    fn answer_stale_term(&mut self, message: &Message) {
        let body = match message.body {
            Body::PreVote { next_term, .. } => Body::PreVoteAnswer {
                next_term,
                granted: false,
            },
            Body::Vote { .. } => Body::VoteAnswer { granted: false },
            Body::Append { prev, sent_at, .. } => Body::AppendAnswer {
                outcome: Outcome::Missing {
                    prev: prev.index,
                    hint: self.log.last(),
                },
                sent_at,
            },
            Body::Chunk {
                position, sent_at, ..
            } => Body::ChunkAnswer {
                position,
                received: 0,
                sent_at,
            },
            _ => return,
        };
        self.send(message.from, body);
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<Member>, now: Duration) {
        if term > self.record.term {
            self.record.term = term;
            self.record.vote = None;
            self.record_changed = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.leadership = None;
        self.granted.clear();
        self.incoming = None;
        self.reset_election_deadline(now);
    }

    pub(super) fn start_pre_vote(&mut self, now: Duration) {
        self.reset_election_deadline(now);
        let own = self.record.member;
        if !self.may_campaign() {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.granted = vec![own];
        if self.has_majority() {
            self.campaign(false, now);
            return;
        }
        let next_term = self.record.term + 1;
        let last = self.log.last();
        self.send_to_voters(&Body::PreVote { next_term, last });
    }

    /// Whether this member may campaign. A member whose own removal is not yet committed may be the
    /// only one that holds the entry of the removal, so it still campaigns, without counting its
    /// own vote. After a restart it does not know which memberships are committed, so it may
    /// campaign if it is a voter in any membership of the log in memory.
    fn may_campaign(&self) -> bool {
        self.history.was_ever_voter(self.record.member)
    }

    fn campaign(&mut self, transfer: bool, now: Duration) {
        let own = self.record.member;
        self.reset_election_deadline(now);
        self.role = Role::Candidate;
        self.leader = None;
        self.record.term += 1;
        self.record.vote = Some(own);
        self.record_changed = true;
        self.granted = vec![own];
        if self.has_majority() {
            self.become_leader(now);
            return;
        }
        let last = self.log.last();
        self.send_to_voters(&Body::Vote { last, transfer });
    }

    fn send_to_voters(&mut self, body: &Body) {
        let own = self.record.member;
        let voters: Vec<Member> = self.history.latest().voters().collect();
        for voter in voters.into_iter().filter(|&voter| voter != own) {
            self.send(voter, body.clone());
        }
    }

    fn has_majority(&self) -> bool {
        let membership = self.history.latest();
        let granted = membership
            .voters()
            .filter(|voter| self.granted.contains(voter))
            .count();
        granted >= membership.majority()
    }

    fn count_vote(&mut self, from: Member) -> bool {
        if !self.granted.contains(&from) && self.history.latest().is_voter(from) {
            self.granted.push(from);
        }
        self.has_majority()
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: Member,
        next_term: u64,
        last: Position,
        now: Duration,
    ) {
        let granted =
            !self.withholds_vote(now) && next_term > self.record.term && last >= self.log.last();
        if granted && self.history.latest().is_voter(from) {
            self.wait_for_candidate(now);
        }
        self.send(from, Body::PreVoteAnswer { next_term, granted });
    }

    pub(super) fn on_pre_vote_answer(
        &mut self,
        from: Member,
        next_term: u64,
        granted: bool,
        now: Duration,
    ) {
        let current = self.role == Role::PreCandidate && next_term == self.record.term + 1;
        if current && granted && self.count_vote(from) {
            self.campaign(false, now);
        }
    }

    pub(super) fn on_vote(&mut self, from: Member, last: Position, now: Duration) {
        let free = self.record.vote.is_none_or(|vote| vote == from);
        let granted = free && last >= self.log.last();
        if granted {
            if self.record.vote.is_none() {
                self.record.vote = Some(from);
                self.record_changed = true;
            }
            self.reset_election_deadline(now);
        }
        self.send(from, Body::VoteAnswer { granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: Member, granted: bool, now: Duration) {
        if self.role == Role::Candidate && granted && self.count_vote(from) {
            self.become_leader(now);
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: Member, now: Duration) {
        let follows = self.role == Role::Follower && self.leader == Some(from);
        if follows && self.may_campaign() {
            self.campaign(true, now);
        }
    }
}
