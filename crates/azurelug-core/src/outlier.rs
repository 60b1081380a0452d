//! Finds targets that are much slower or fail more often than the rest of their pool.
//!
//! Owns the recent samples and the ejection time of one target, and the rule for a pool. Never
//! ejects more than a third of a pool.

use std::time::Duration;

/// Recent samples kept for each target.
const WINDOW: usize = 32;
/// The median is computed with every fourth sample, because it costs as much as a routing decision.
const MEDIAN_EVERY: usize = 4;
/// Samples needed before a target is judged.
const MIN_SAMPLES: usize = 8;
/// The newest samples, which tell whether a change of the whole pool has reached a target.
const NEWEST: usize = 8;
/// Position of the fast quartile among the sorted newest samples.
const FAST: usize = 1;
/// A target is slow when its median is over this many times the median of the pool.
const SLOW_FACTOR: u32 = 3;
/// A target fails too often when more than this share of its calls fail, in percent.
const ERROR_PERCENT: usize = 30;
/// The first ejection lasts this long; each further one twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(300);

/// Recent calls of one target, and its ejection.
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
    /// A successful call with its first-token time, or its latency if it has no tokens, in
    /// microseconds.
    pub fn success(&mut self, latency: u32) {
        self.latencies[self.latency_count % WINDOW] = latency;
        self.latency_count += 1;
        if self.latency_count <= MIN_SAMPLES || self.latency_count.is_multiple_of(MEDIAN_EVERY) {
            self.median = self.compute_median();
        }
        self.result(false);
    }

    /// A failed call.
    pub fn failure(&mut self) {
        self.result(true);
    }

    /// The median of the recent samples in microseconds, and how many there are.
    #[must_use]
    pub fn median(&self) -> Option<(u32, usize)> {
        let count = self.latency_count.min(WINDOW);
        (count > 0).then_some((self.median, count))
    }

    /// Failed calls among the recent ones, in percent, once there are enough of them.
    #[must_use]
    pub fn error_percent(&self) -> Option<usize> {
        let count = self.result_count.min(WINDOW);
        (count >= MIN_SAMPLES).then(|| self.results.count_ones() as usize * 100 / count)
    }

    /// Until when the target is ejected, if it is at `now`.
    #[must_use]
    pub fn ejected_until(&self, now: Duration) -> Option<Duration> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Ejects the target and forgets its samples, so that it is judged anew when it returns.
    fn eject(&mut self, now: Duration) -> Duration {
        // A long time in good order clears the history of ejections.
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

    /// The fast quartile and the median of the newest samples, once there are enough of them.
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

/// Judges one pool at `now` and ejects its outliers, the worst first. `records` must hold the
/// whole pool, also its ejected targets. Returns the position and the end of each new ejection.
///
/// The newest samples of the pool are compared with all recent ones of a target. When the whole pool
/// becomes slower, its targets' medians follow at different times, and those that follow first would
/// otherwise look like outliers; when it recovers, those that follow last.
pub fn judge(records: &mut [&mut Record], now: Duration) -> Vec<(usize, Duration)> {
    let mut medians: Vec<u32> = records
        .iter()
        .filter_map(|record| record.newest())
        .map(|(_, median)| median)
        .collect();
    let usual = (medians.len() >= 3).then(|| {
        // The lower middle, so that half a pool of bad targets does not hide itself.
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

/// How bad a target is; none if it is within bounds. Errors rank above slowness.
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
