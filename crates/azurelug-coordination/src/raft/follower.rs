//! Follower side of replication: entries and snapshots from the leader.

use std::time::Duration;

use super::event::Snapshot;
use super::log::{Entry, Log, Payload, Position};
use super::member::{Membership, MembershipHistory};
use super::{Action, Body, Fault, Member, Node, Outcome, Role, Write};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    position: Position,
    total: u64,
    data: Vec<u8>,
}

/// Fields of a `Chunk` message.
#[derive(Debug)]
pub(super) struct SnapshotChunk {
    pub(super) position: Position,
    pub(super) membership: Membership,
    pub(super) total: u64,
    pub(super) offset: u64,
    pub(super) data: Vec<u8>,
    pub(super) sent_at: Duration,
}

impl Node {
    /// Accepts the sender as leader and extends the time in which this member votes for no other
    /// candidate. Returns false if this term has another leader.
    fn accept_leader(&mut self, from: Member, now: Duration) -> bool {
        if self.role == Role::Leader || self.leader.is_some_and(|leader| leader != from) {
            self.reject_malformed(from);
            return false;
        }
        if self.role != Role::Follower {
            self.become_follower(self.record.term, Some(from), now);
        }
        self.leader = Some(from);
        self.last_leader = Some((from, now));
        self.vote_withheld_until = now + self.settings.election_timeout;
        self.reset_election_deadline(now);
        true
    }

    pub(super) fn reject_malformed(&mut self, from: Member) {
        self.out.notices.push(Action::Rejected {
            from,
            fault: Fault::Malformed,
        });
    }

    pub(super) fn on_append(
        &mut self,
        from: Member,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        sent_at: Duration,
        now: Duration,
    ) {
        if !self.is_well_formed(prev, &entries) {
            self.reject_malformed(from);
            return;
        }
        if !self.accept_leader(from, now) {
            return;
        }
        let outcome = self.append_entries(prev, entries);
        if let Outcome::Matched { index } | Outcome::Full { index } = outcome {
            self.commit_to(commit.min(index));
        }
        self.send(from, Body::AppendAnswer { outcome, sent_at });
        if self.leaves {
            self.send(from, Body::Leave);
        }
    }

    fn is_well_formed(&self, prev: Position, entries: &[Entry]) -> bool {
        let mut before = prev;
        entries.len() <= self.settings.max_batch_entries
            && entries.iter().all(|entry| {
                let next = entry.position;
                let follows = next.index == before.index + 1
                    && (before.term..=self.record.term).contains(&next.term);
                before = next;
                follows
            })
    }

    /// Appends the entries that the log lacks and removes those that conflict with the leader's
    /// log.
    fn append_entries(&mut self, mut prev: Position, mut entries: Vec<Entry>) -> Outcome {
        // Committed entries are the same as the leader's, and may already be compacted.
        if prev.index < self.commit {
            entries.retain(|entry| entry.position.index > self.commit);
            let term = self.log.term_at(self.commit).unwrap_or_default();
            prev = Position {
                term,
                index: self.commit,
            };
        }
        if !self.log.contains(prev) {
            let hint = self.log.backtrack(prev);
            return Outcome::Missing {
                prev: prev.index,
                hint,
            };
        }
        let mut index = prev.index;
        let mut added = Vec::new();
        let mut full = false;
        for entry in entries {
            if self.log.contains(entry.position) {
                index = entry.position.index;
                continue;
            }
            if entry.position.index <= self.log.last().index {
                self.truncate_log(entry.position.index);
            }
            if self.is_follower_log_full() {
                full = true;
                break;
            }
            index = entry.position.index;
            if let Payload::Membership(membership) = &entry.payload {
                self.history.push(index, membership.clone());
            }
            self.log.push(entry.clone());
            added.push(entry);
        }
        if !added.is_empty() {
            self.out.writes.push(Write::Append(added));
        }
        if full {
            Outcome::Full { index }
        } else {
            Outcome::Matched { index }
        }
    }

    fn truncate_log(&mut self, from: u64) {
        debug_assert!(from > self.commit, "a committed entry must not be removed");
        self.log.truncate(from);
        self.history.truncate(from);
        self.out.writes.push(Write::Truncate { from });
    }

    pub(super) fn on_chunk(&mut self, from: Member, chunk: SnapshotChunk, now: Duration) {
        let SnapshotChunk {
            position,
            membership,
            total,
            offset,
            data,
            sent_at,
        } = chunk;
        let fits = total <= self.settings.max_snapshot_bytes as u64
            && data.len() <= self.settings.chunk_bytes
            && offset + data.len() as u64 <= total;
        if !fits {
            self.reject_malformed(from);
            return;
        }
        if !self.accept_leader(from, now) {
            return;
        }
        if position.index <= self.commit || self.log.contains(position) {
            self.commit_to(position.index);
            self.incoming = None;
            let outcome = Outcome::Matched { index: self.commit };
            self.send(from, Body::AppendAnswer { outcome, sent_at });
            return;
        }
        let same =
            |incoming: &IncomingSnapshot| incoming.position == position && incoming.total == total;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(IncomingSnapshot {
                position,
                total,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            self.send(
                from,
                Body::ChunkAnswer {
                    position,
                    received,
                    sent_at,
                },
            );
            return;
        }
        let data = std::mem::take(&mut incoming.data).into();
        self.install(Snapshot {
            position,
            membership,
            data,
        });
        let outcome = Outcome::Matched {
            index: position.index,
        };
        self.send(from, Body::AppendAnswer { outcome, sent_at });
    }

    /// Replaces the log and the state machine's state by a snapshot of entries that this member
    /// lacks.
    fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        self.incoming = None;
        // The snapshot must be durable before the log is truncated, because earlier entries of the
        // log may have been counted towards a majority.
        self.out.writes.push(Write::Snapshot(snapshot.clone()));
        if self.log.last().index >= position.index {
            self.out.writes.push(Write::Truncate {
                from: position.index,
            });
        }
        self.log = Log::new(position);
        self.history = MembershipHistory::new(position.index, snapshot.membership.clone());
        self.commit = position.index;
        self.applied_bytes = 0;
        self.snapshot_requested_at = None;
        self.snapshot_pending = false;
        self.snapshot = snapshot.clone();
        self.out.applies.push(Action::Restore(snapshot));
        self.complete_probes();
    }

    /// Advances the commit index to `index` and queues the entries up to it for applying.
    pub(super) fn commit_to(&mut self, index: u64) {
        while self.commit < index {
            let Some(entry) = self.log.get(self.commit + 1) else {
                break;
            };
            self.applied_bytes += entry.size();
            self.out.applies.push(Action::Apply(entry.clone()));
            self.commit += 1;
        }
        self.request_snapshot();
        self.complete_probes();
    }
}
