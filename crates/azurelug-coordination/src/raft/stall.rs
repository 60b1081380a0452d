//! Times in which this member handled no events, because of its own disk or host.
//!
//! They are not a silence of the other members: their messages waited, and this member's own
//! messages were not sent.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Node, Role};

/// Shortest stall that is recorded. Shorter ones delay no election timeout noticeably, and would
/// displace the recorded ones.
const MIN_STALL: Duration = Duration::from_millis(50);

/// Number of recorded stalls. Together they last longer than any silence that a leader judges by
/// `replace_after`; older ones count as time in which the member ran.
const MAX_STALLS: usize = 64;

/// Time for which the duration of a slow write counts.
const SLOW_WRITE_RETENTION: Duration = Duration::from_secs(10);

/// Longest extension of the election timeout by slow writes, in election timeouts.
const MAX_EXTENSION: u32 = 2;

/// The latest stalls of a member, by start and end.
#[derive(Debug, Default)]
pub(super) struct Stalls {
    recent: VecDeque<(Duration, Duration)>,
    /// Duration and end of the slowest recent write.
    slow_write: Option<(Duration, Duration)>,
}

impl Stalls {
    fn record(&mut self, start: Duration, end: Duration) {
        if self.recent.len() >= MAX_STALLS {
            self.recent.pop_front();
        }
        self.recent.push_back((start, end));
    }

    fn record_write(&mut self, duration: Duration, end: Duration) {
        if duration >= self.slow_write(end) {
            self.slow_write = Some((duration, end));
        }
    }

    /// Duration of the slowest recent write; zero if there was none.
    fn slow_write(&self, now: Duration) -> Duration {
        let recent = |&(_, end): &(Duration, Duration)| now < end + SLOW_WRITE_RETENTION;
        let slow_write = self.slow_write.filter(recent);
        slow_write.map_or(Duration::ZERO, |(duration, _)| duration)
    }

    /// Total duration of the stalls between `since` and `now`.
    pub(super) fn between(&self, since: Duration, now: Duration) -> Duration {
        let overlaps = self
            .recent
            .iter()
            .map(|&(start, end)| end.min(now).saturating_sub(start.max(since)));
        overlaps.sum()
    }
}

impl Node {
    pub(super) fn on_stalled(&mut self, duration: Duration, is_write: bool, now: Duration) {
        let duration = duration.min(now);
        if duration < MIN_STALL {
            return;
        }
        self.stalls.record(now - duration, now);
        if is_write {
            self.stalls.record_write(duration, now);
        }
        self.election_deadline += duration;
        // The voters write their votes too. Without this time, a candidate on disks as slow as its
        // own starts the next election before the first vote arrives.
        if matches!(self.role, Role::PreCandidate | Role::Candidate) {
            let answered = now + self.shortest_election_timeout(now);
            self.election_deadline = self.election_deadline.max(answered);
        }
    }

    /// Gives a candidate time to write its vote before it asks for this member's; an own election
    /// meanwhile would split the votes. Nothing changes where writes are fast.
    pub(super) fn wait_for_candidate(&mut self, now: Duration) {
        if !self.stalls.slow_write(now).is_zero() {
            let asked = now + self.shortest_election_timeout(now);
            self.election_deadline = self.election_deadline.max(asked);
        }
    }

    /// Shortest time without messages after which a leader counts as gone. A slow write of a leader
    /// delays its heartbeats and one of a follower its answers, and the disks of other members are
    /// taken to be about as slow as this member's.
    pub(super) fn shortest_election_timeout(&self, now: Duration) -> Duration {
        let base = self.settings.election_timeout;
        base + self.stalls.slow_write(now).min(base * MAX_EXTENSION)
    }

    /// Time since `since` in which this member handled events.
    pub(super) fn running_time(&self, since: Duration, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(since);
        elapsed.saturating_sub(self.stalls.between(since, now))
    }
}
