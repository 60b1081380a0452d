//! Finds targets that are much slower or fail more often than the rest of their pool.
//!
//! Keeps the recent samples and the ejection time of each target. Never ejects more than a third of
//! a pool.

use std::time::Duration;

/// Recent samples kept for each target.
const WINDOW: usize = 32;
/// The median is recomputed after this many samples, because that costs as much as a routing
/// decision.
const MEDIAN_EVERY: usize = 4;
/// Samples needed before a target can be ejected.
const MIN_SAMPLES: usize = 8;
/// Number of newest samples, which show whether a change of the whole pool has reached a target.
const NEWEST: usize = 8;
/// Index of the lower quartile in the sorted newest samples.
const FAST: usize = 1;
/// A target is slow if its median is over this multiple of the pool's median.
const SLOW_FACTOR: u32 = 3;
/// A target fails too often if more than this percentage of its calls fail.
const ERROR_PERCENT: usize = 30;
/// Duration of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(300);

/// Statistics of one target's recent calls, and its ejection state.
#[derive(Clone, Debug)]
pub struct Record {
    latencies: [u32; WINDOW],
    latency_count: usize,
    median: u32,
    results: u32,
    result_count: usize,
    ejected_until: Option<Duration>,
    returned_at: Duration,
    times: u32,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            latencies: [0; WINDOW],
            latency_count: 0,
            median: 0,
            results: 0,
            result_count: 0,
            ejected_until: None,
            returned_at: Duration::ZERO,
            times: 0,
        }
    }
}

impl Record {
    /// Records a successful call. `latency` is its first-token time, or its total latency if it has
    /// no tokens, in microseconds.
    pub fn success(&mut self, latency: u32) {
        self.latencies[self.latency_count % WINDOW] = latency;
        self.latency_count += 1;
        if self.latency_count <= MIN_SAMPLES || self.latency_count.is_multiple_of(MEDIAN_EVERY) {
            self.median = self.compute_median();
        }
        self.result(false);
    }

    /// Records a failed call.
    pub fn failure(&mut self) {
        self.result(true);
    }

    /// The median of the recent samples in microseconds, and the number of samples.
    #[must_use]
    pub fn median(&self) -> Option<(u32, usize)> {
        let count = self.latency_count.min(WINDOW);
        (count > 0).then_some((self.median, count))
    }

    /// Percentage of the recent calls that failed, once there are enough samples.
    #[must_use]
    pub fn error_percent(&self) -> Option<usize> {
        let count = self.result_count.min(WINDOW);
        (count >= MIN_SAMPLES).then(|| self.results.count_ones() as usize * 100 / count)
    }

    /// End of the ejection, if the target is ejected at `now`.
    #[must_use]
    pub fn ejected_until(&self, now: Duration) -> Option<Duration> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Ejects the target and clears its samples, so that only new ones count after its return.
    fn eject(&mut self, now: Duration) -> Duration {
        // A long time without an ejection resets the backoff.
        if now.saturating_sub(self.returned_at) > MAX_EJECTION {
            self.times = 0;
        }
        let length = FIRST_EJECTION
            .saturating_mul(1 << self.times.min(8))
            .min(MAX_EJECTION);
        let until = now + length;
        self.times += 1;
        self.ejected_until = Some(until);
        self.returned_at = until;
        self.latency_count = 0;
        self.results = 0;
        self.result_count = 0;
        until
    }

    /// The lower quartile and the median of the newest samples, once there are enough of them.
    fn newest(&self) -> Option<(u32, u32)> {
        let oldest = self.latency_count.checked_sub(NEWEST)?;
        let mut newest: [u32; NEWEST] =
            std::array::from_fn(|it| self.latencies[(oldest + it) % WINDOW]);
        newest.sort_unstable();
        Some((newest[FAST], newest[NEWEST / 2]))
    }

    fn compute_median(&self) -> u32 {
        let count = self.latency_count.min(WINDOW);
        let mut samples = self.latencies;
        *samples[..count].select_nth_unstable(count / 2).1
    }

    fn result(&mut self, failed: bool) {
        self.results = self.results << 1 | u32::from(failed);
        self.result_count += 1;
    }
}

/// Ejects the outliers of one pool at `now`, the worst first. `records` must contain the whole
/// pool, including its ejected targets. Returns the index and the end of each new ejection.
///
/// A target's median of all recent samples is compared with the pool's newest samples. When the
/// whole pool becomes slower, the medians of its targets change at different times. Without this
/// rule, the first ones to change would look like outliers, and during recovery the last ones.
pub fn judge(records: &mut [&mut Record], now: Duration) -> Vec<(usize, Duration)> {
    let mut medians: Vec<u32> = records
        .iter()
        .filter_map(|record| record.newest())
        .map(|(_, median)| median)
        .collect();
    let usual = (medians.len() >= 3).then(|| {
        // The lower median, so that slow targets are found even if they are half of the pool.
        let middle = (medians.len() - 1) / 2;
        *medians.select_nth_unstable(middle).1
    });
    let ejected = records
        .iter()
        .filter(|record| record.ejected_until(now).is_some())
        .count();
    let room = (records.len() / 3).saturating_sub(ejected);
    let mut suspects: Vec<(u64, usize)> = records
        .iter()
        .enumerate()
        .filter(|(_, record)| record.ejected_until(now).is_none())
        .filter_map(|(position, record)| Some((badness(record, usual)?, position)))
        .collect();
    suspects.sort_unstable_by(|left, right| right.cmp(left));
    suspects
        .into_iter()
        .take(room)
        .map(|(_, position)| (position, records[position].eject(now)))
        .collect()
}

/// Severity of an outlier; `None` if the target is within bounds. Errors rank above slowness.
fn badness(record: &Record, usual: Option<u32>) -> Option<u64> {
    if let Some(percent) = record.error_percent()
        && percent > ERROR_PERCENT
    {
        return Some(u64::from(u32::MAX) + percent as u64);
    }
    let (median, _) = record.median()?;
    let (fast, _) = record.newest()?;
    let bound = usual?.saturating_mul(SLOW_FACTOR);
    (median > bound && fast > bound).then_some(u64::from(median))
}
