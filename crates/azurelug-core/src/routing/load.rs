//! The load of one target: this daemon's calls in flight, and a delayed report of all daemons'
//! calls.
//!
//! Keeps a short history of this daemon's count, which is subtracted from a report as of the
//! report's timestamp: calls that this daemon has started or finished since then are counted
//! exactly.

use std::time::Duration;

const BUCKETS: usize = 64;
/// Width of a history bucket. Shorter than the usual delay of reports, which is several hundred
/// milliseconds.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// Reports older than this are not used.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Calls of this daemon and of the others at one target.
#[derive(Clone, Debug)]
pub(super) struct Load {
    own: u32,
    /// This daemon's calls in flight at the start of each bucket.
    history: [u16; BUCKETS],
    newest_bucket: u64,
    others: u32,
    taken_at: Option<Duration>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            own: 0,
            history: [0; BUCKETS],
            newest_bucket: 0,
            others: 0,
            taken_at: None,
        }
    }
}

impl Load {
    /// This daemon's calls in flight.
    pub(super) fn own(&self) -> u32 {
        self.own
    }

    /// Counts a call that this daemon starts.
    pub(super) fn call_started(&mut self, now: Duration) {
        self.advance(now);
        self.own += 1;
    }

    /// Counts the end of one of this daemon's calls.
    pub(super) fn call_ended(&mut self, now: Duration) {
        self.advance(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Calls of other daemons according to the last report, if it is recent enough.
    pub(super) fn others(&self, now: Duration) -> Option<u32> {
        let taken_at = self.taken_at?;
        (now.saturating_sub(taken_at) <= MAX_REPORT_AGE).then_some(self.others)
    }

    /// Time from which the last report is too old to be used.
    pub(super) fn report_expiry(&self) -> Option<Duration> {
        Some(self.taken_at? + MAX_REPORT_AGE + Duration::from_nanos(1))
    }

    /// Applies a report that counted `calls` at `taken_at` on this daemon's clock. Reports older
    /// than the last one are ignored. Returns whether the report was used.
    pub(super) fn apply_report(&mut self, calls: u32, taken_at: Duration, now: Duration) -> bool {
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
        let bucket = bucket(at).min(self.newest_bucket);
        u32::from(self.history[bucket as usize % BUCKETS])
    }

    /// Fills the buckets that started since the last change with the unchanged count.
    fn advance(&mut self, now: Duration) {
        let current = bucket(now);
        let first = (self.newest_bucket + 1).max(current.saturating_sub(BUCKETS as u64 - 1));
        for index in first..=current {
            self.history[index as usize % BUCKETS] = self.own.min(u32::from(u16::MAX)) as u16;
        }
        self.newest_bucket = self.newest_bucket.max(current);
    }
}

fn bucket(at: Duration) -> u64 {
    (at.as_millis() / BUCKET_WIDTH.as_millis()) as u64
}
