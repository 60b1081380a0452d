//! The load of one target: own calls in flight, and a lagging report of everybody's calls.
//!
//! Owns a short history of the own count, so that a report can be corrected by the own calls that
//! were sent and finished after the report's time stamp.

use std::time::Duration;

const BUCKETS: usize = 64;
/// Width of a history bucket. Shorter than the usual lag of reports, which is some hundreds of
/// milliseconds.
const BUCKET: Duration = Duration::from_millis(100);
/// Age above which a report is not used.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Own and foreign calls at one target.
#[derive(Clone, Debug)]
pub(super) struct Load {
    own: u32,
    /// The own count at the start of each bucket.
    history: [u16; BUCKETS],
    newest: u64,
    others: u32,
    taken_at: Option<Duration>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            own: 0,
            history: [0; BUCKETS],
            newest: 0,
            others: 0,
            taken_at: None,
        }
    }
}

impl Load {
    /// Own calls in flight.
    pub(super) fn own(&self) -> u32 {
        self.own
    }

    /// One own call was sent.
    pub(super) fn sent(&mut self, now: Duration) {
        self.advance(now);
        self.own += 1;
    }

    /// One own call has ended.
    pub(super) fn ended(&mut self, now: Duration) {
        self.advance(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Calls of other daemons according to the last report, if it is recent enough.
    pub(super) fn others(&self, now: Duration) -> Option<u32> {
        let taken_at = self.taken_at?;
        (now.saturating_sub(taken_at) <= MAX_REPORT_AGE).then_some(self.others)
    }

    /// When the last report becomes too old to be used.
    pub(super) fn report_expiry(&self) -> Option<Duration> {
        Some(self.taken_at? + MAX_REPORT_AGE + Duration::from_nanos(1))
    }

    /// A report that counted `calls` at `taken_at` on the own clock. Older reports than the last
    /// one are ignored; returns whether this one was used.
    pub(super) fn report(&mut self, calls: u32, taken_at: Duration, now: Duration) -> bool {
        if self.taken_at.is_some_and(|last| taken_at < last)
            || now.saturating_sub(taken_at) > MAX_REPORT_AGE
        {
            return false;
        }
        self.advance(now);
        self.others = calls.saturating_sub(self.own_at(taken_at));
        self.taken_at = Some(taken_at);
        true
    }

    fn own_at(&self, at: Duration) -> u32 {
        let bucket = bucket(at).min(self.newest);
        u32::from(self.history[bucket as usize % BUCKETS])
    }

    /// Fills the buckets that began since the last change with the unchanged own count.
    fn advance(&mut self, now: Duration) {
        let current = bucket(now);
        let first = (self.newest + 1).max(current.saturating_sub(BUCKETS as u64 - 1));
        for index in first..=current {
            self.history[index as usize % BUCKETS] = self.own.min(u32::from(u16::MAX)) as u16;
        }
        self.newest = self.newest.max(current);
    }
}

fn bucket(at: Duration) -> u64 {
    (at.as_millis() / BUCKET.as_millis()) as u64
}
