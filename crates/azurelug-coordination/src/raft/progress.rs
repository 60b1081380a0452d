//! Replication progress of one member as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use super::Member;
use super::event::Snapshot;
use super::state::FollowerState;

/// How entries are sent to a member.
#[derive(Debug)]
pub(super) enum Mode {
    /// One message at a time, to find the last matching entry.
    Probing {
        /// Whether a message is unanswered.
        waiting: bool,
    },
    /// Several batches at a time.
    Streaming,
    /// A snapshot, one chunk at a time.
    SendingSnapshot { snapshot: Snapshot, received: u64 },
}

#[derive(Debug)]
pub(super) struct Progress {
    pub(super) matched: u64,
    pub(super) next: u64,
    pub(super) mode: Mode,
    /// Last index and sending time of each unanswered batch while streaming.
    pub(super) in_flight: VecDeque<(u64, Duration)>,
    /// When this leader began to track the member.
    pub(super) since: Duration,
    /// Sending time of the latest message that the member answered.
    pub(super) answered: Option<Duration>,
    /// Index up to which a learner must hold durable entries before it may become a voter.
    pub(super) catch_up_index: u64,
    /// Id of the data folder in the member's answers.
    pub(super) storage: Option<u64>,
    /// Until when the member counts as leaving.
    pub(super) leaving_until: Duration,
}

impl Progress {
    pub(super) fn new(last: u64, now: Duration) -> Self {
        Self {
            matched: 0,
            next: last + 1,
            mode: Mode::Probing { waiting: false },
            in_flight: VecDeque::new(),
            since: now,
            answered: None,
            catch_up_index: last,
            storage: None,
            leaving_until: Duration::ZERO,
        }
    }

    pub(super) fn probe_from(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.mode = Mode::Probing { waiting: false };
        self.in_flight.clear();
    }

    /// Stops sending entries until the next heartbeat.
    pub(super) fn pause(&mut self) {
        if !matches!(self.mode, Mode::SendingSnapshot { .. }) {
            self.probe_from(self.matched + 1);
            self.mode = Mode::Probing { waiting: true };
        }
    }

    /// Records that the member's log matches up to `index`.
    pub(super) fn record_match(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        while self
            .in_flight
            .front()
            .is_some_and(|(last, _)| *last <= self.matched)
        {
            self.in_flight.pop_front();
        }
        let found = match &self.mode {
            Mode::Probing { .. } => index + 1 >= self.next,
            Mode::Streaming => true,
            Mode::SendingSnapshot { snapshot, .. } => self.matched >= snapshot.position.index,
        };
        if found {
            if !matches!(self.mode, Mode::Streaming) {
                self.mode = Mode::Streaming;
                self.next = self.matched + 1;
            }
            self.next = self.next.max(self.matched + 1);
        }
    }

    pub(super) fn state(&self, member: Member) -> FollowerState {
        FollowerState {
            member,
            matched: self.matched,
            next: self.next,
            in_flight: self.in_flight.len(),
            snapshot_sent: match self.mode {
                Mode::SendingSnapshot { received, .. } => Some(received),
                Mode::Probing { .. } | Mode::Streaming => None,
            },
            answered: self.answered,
        }
    }
}
