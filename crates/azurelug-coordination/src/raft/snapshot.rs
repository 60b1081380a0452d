//! Snapshot requests, log compaction, and sending of snapshots in chunks.

use std::sync::Arc;
use std::time::Duration;

use super::event::Snapshot;
use super::log::Position;
use super::progress::Mode;
use super::{Body, Member, Node, Refusal, Role, Write};

/// Interval at which an unanswered snapshot request is repeated, and shortest interval between
/// snapshots of many small entries. Without repetition, a full log on one member could prevent a
/// majority permanently.
const REQUEST_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

impl Node {
    /// Requests a snapshot once enough has been applied since the last one, or once the log is
    /// full.
    pub(super) fn request_snapshot(&mut self) {
        let entries = self.commit - self.snapshot.position.index;
        let is_large = self.applied_bytes >= self.settings.snapshot_bytes;
        let due = is_large
            || entries >= self.settings.snapshot_entries
            || (entries > 0 && (self.is_log_full() || self.measures_state()));
        let repeat = self
            .snapshot_requested_at
            .is_none_or(|requested_at| self.now >= requested_at + REQUEST_REPEAT_INTERVAL);
        // Large commands can fill the log within the interval.
        let is_next = is_large && !self.snapshot_pending;
        if due && (repeat || is_next) {
            self.snapshot_requested_at = Some(self.now);
            self.snapshot_pending = true;
            self.out.snapshot = true;
        }
    }

    /// Why a state that a command of `bytes` enlarges could not be held by a snapshot, if so. Its
    /// size is that of the last snapshot and of the entries above it.
    pub(super) fn state_refusal(&self, bytes: usize) -> Option<Refusal> {
        let limit = self.settings.max_snapshot_bytes - self.settings.state_reserve_bytes;
        let known = self.snapshot.data.len() + bytes;
        // The log's size is at hand; the part above the snapshot has to be summed up.
        if known + self.log.bytes() <= limit {
            return None;
        }
        let size = known + self.log.bytes_above(self.snapshot.position.index);
        (size > limit).then_some(Refusal::StateFull { size, limit })
    }

    /// Whether a command of `bytes` that enlarges the state is refused now, because a snapshot could
    /// not hold the state. The caller then proposes those that don't as [`Event::Reduce`].
    ///
    /// [`Event::Reduce`]: super::Event::Reduce
    #[must_use]
    pub fn is_state_full(&self, bytes: usize) -> bool {
        self.state_refusal(bytes).is_some()
    }

    /// Whether this leader needs the size of the state, because its estimate leaves no room for the
    /// largest command. Commands that shrink the state show only in the next snapshot.
    fn measures_state(&self) -> bool {
        self.role == Role::Leader && self.is_state_full(self.settings.max_command_bytes)
    }

    /// Whether a leader refuses commands until the log is compacted.
    pub(super) fn is_log_full(&self) -> bool {
        self.log.len() >= self.settings.max_log_entries
            || self.log.bytes() >= self.settings.max_log_bytes
    }

    /// Whether a follower refuses entries until the log is compacted. The limit is twice the
    /// leader's, because a restarted follower learns the commit index, which compaction needs, only
    /// after it has accepted the first entry of a new leader.
    pub(super) fn is_follower_log_full(&self) -> bool {
        self.log.len() >= 2 * self.settings.max_log_entries
            || self.log.bytes() >= 2 * self.settings.max_log_bytes
    }

    pub(super) fn on_snapshot_taken(&mut self, index: u64, data: Arc<[u8]>) {
        let newer = index > self.snapshot.position.index && index <= self.commit;
        let term = self.log.term_at(index).filter(|_| newer);
        let (Some(term), true) = (term, data.len() <= self.settings.max_snapshot_bytes) else {
            self.reject_malformed(self.record.member);
            return;
        };
        let membership = self.history.at(index).clone();
        self.snapshot = Snapshot {
            position: Position { term, index },
            membership,
            data,
        };
        self.out.writes.push(Write::Snapshot(self.snapshot.clone()));
        self.applied_bytes = 0;
        self.snapshot_pending = false;
        let kept = self.settings.kept_entries;
        let oldest = self.log.oldest_within(index, self.settings.kept_bytes);
        self.log.compact(oldest.max(index.saturating_sub(kept)));
        self.history.compact(self.log.base().index);
    }

    pub(super) fn start_sending_snapshot(&mut self, member: Member, now: Duration) {
        let snapshot = self.snapshot.clone();
        if let Some(progress) = self.progress(member) {
            progress.in_flight.clear();
            progress.mode = Mode::SendingSnapshot {
                snapshot,
                received: 0,
            };
            self.send_chunk(member, now);
        }
    }

    pub(super) fn send_chunk(&mut self, member: Member, now: Duration) {
        let chunk_bytes = self.settings.chunk_bytes;
        let Some(progress) = self.progress(member) else {
            return;
        };
        let Mode::SendingSnapshot { snapshot, received } = &progress.mode else {
            return;
        };
        let start = usize::try_from(*received)
            .unwrap_or(usize::MAX)
            .min(snapshot.data.len());
        let end = (start + chunk_bytes).min(snapshot.data.len());
        let body = Body::Chunk {
            position: snapshot.position,
            membership: snapshot.membership.clone(),
            total: snapshot.data.len() as u64,
            offset: *received,
            data: snapshot.data[start..end].to_vec(),
            sent_at: now,
        };
        self.send(member, body);
    }

    pub(super) fn on_chunk_answer(
        &mut self,
        from: Member,
        position: Position,
        answered: u64,
        sent_at: Duration,
        now: Duration,
    ) {
        if !self.record_answer(from, sent_at, now) {
            return;
        }
        let Some(progress) = self.progress(from) else {
            return;
        };
        let Mode::SendingSnapshot { snapshot, received } = &mut progress.mode else {
            return;
        };
        let known = snapshot.position == position && answered <= snapshot.data.len() as u64;
        // A duplicate answer must not start a second sequence of chunks; a lost chunk is resent on
        // the next heartbeat.
        if known && *received != answered {
            *received = answered;
            self.send_chunk(from, now);
        }
    }
}
