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
const NEWEST_SAMPLES: usize = 8;
/// Index of the lower quartile in the sorted newest samples.
const LOWER_QUARTILE: usize = 1;
/// A target is slow if its median is over this multiple of the pool's median.
const SLOW_FACTOR: u32 = 3;
/// A target fails too often if more than this percentage of its calls fail.
const MAX_ERROR_PERCENT: usize = 30;
/// Duration of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(300);

/// Statistics of one target's recent calls, and its ejection state.
#[derive(Clone, Debug)]
pub struct CallStats {
    latencies: [u32; WINDOW],
    latency_count: usize,
    median: u32,
    failure_bits: u32,
    result_count: usize,
    ejected_until: Option<Duration>,
    last_ejection_end: Duration,
    ejection_count: u32,
}

impl Default for CallStats {
    fn default() -> Self {
        Self {
            latencies: [0; WINDOW],
            latency_count: 0,
            median: 0,
            failure_bits: 0,
            result_count: 0,
            ejected_until: None,
            last_ejection_end: Duration::ZERO,
            ejection_count: 0,
        }
    }
}

impl CallStats {
    /// Records a successful call. `latency` is its first-token time, or its total latency if it has
    /// no tokens, in microseconds.
    pub fn record_success(&mut self, latency: u32) {
        self.latencies[self.latency_count % WINDOW] = latency;
        self.latency_count += 1;
        if self.latency_count <= MIN_SAMPLES || self.latency_count.is_multiple_of(MEDIAN_EVERY) {
            self.median = self.compute_median();
        }
        self.record_result(false);
    }

    /// Records a failed call.
    pub fn record_failure(&mut self) {
        self.record_result(true);
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
        (count >= MIN_SAMPLES).then(|| self.failure_bits.count_ones() as usize * 100 / count)
    }

    /// End of the ejection, if the target is ejected at `now`.
    #[must_use]
    pub fn ejected_until(&self, now: Duration) -> Option<Duration> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Ejects the target and clears its samples, so that only new ones count after its return.
    fn eject(&mut self, now: Duration) -> Duration {
        // A long time without an ejection resets the backoff.
        if now.saturating_sub(self.last_ejection_end) > MAX_EJECTION {
            self.ejection_count = 0;
        }
        let duration = FIRST_EJECTION
            .saturating_mul(1 << self.ejection_count.min(8))
            .min(MAX_EJECTION);
        let until = now + duration;
        self.ejection_count += 1;
        self.ejected_until = Some(until);
        self.last_ejection_end = until;
        self.latency_count = 0;
        self.failure_bits = 0;
        self.result_count = 0;
        until
    }

    /// The lower quartile and the median of the newest samples, once there are enough of them.
    fn newest_quantiles(&self) -> Option<(u32, u32)> {
        let oldest = self.latency_count.checked_sub(NEWEST_SAMPLES)?;
        let mut newest: [u32; NEWEST_SAMPLES] =
            std::array::from_fn(|it| self.latencies[(oldest + it) % WINDOW]);
        newest.sort_unstable();
        Some((newest[LOWER_QUARTILE], newest[NEWEST_SAMPLES / 2]))
    }

    fn compute_median(&self) -> u32 {
        let count = self.latency_count.min(WINDOW);
        let mut samples = self.latencies;
        *samples[..count].select_nth_unstable(count / 2).1
    }

    fn record_result(&mut self, failed: bool) {
        self.failure_bits = self.failure_bits << 1 | u32::from(failed);
        self.result_count += 1;
    }
}

/// Ejects the outliers of one pool at `now`, the worst first. `pool` must contain the whole
/// pool, including its ejected targets. Returns the index and the end of each new ejection.
///
/// A target's median of all recent samples is compared with the pool's newest samples. When the
/// whole pool becomes slower, the medians of its targets change at different times. Without this
/// rule, the first ones to change would look like outliers, and during recovery the last ones.
pub fn eject_outliers(pool: &mut [&mut CallStats], now: Duration) -> Vec<(usize, Duration)> {
    let mut medians: Vec<u32> = pool
        .iter()
        .filter_map(|stats| stats.newest_quantiles())
        .map(|(_, median)| median)
        .collect();
    let pool_median = (medians.len() >= 3).then(|| {
        // The lower median, so that slow targets are found even if they are half of the pool.
        let middle = (medians.len() - 1) / 2;
        *medians.select_nth_unstable(middle).1
    });
    let ejected = pool
        .iter()
        .filter(|stats| stats.ejected_until(now).is_some())
        .count();
    let quota = (pool.len() / 3).saturating_sub(ejected);
    let mut outliers: Vec<(u64, usize)> = pool
        .iter()
        .enumerate()
        .filter(|(_, stats)| stats.ejected_until(now).is_none())
        .filter_map(|(position, stats)| Some((severity(stats, pool_median)?, position)))
        .collect();
    outliers.sort_unstable_by(|left, right| right.cmp(left));
    outliers
        .into_iter()
        .take(quota)
        .map(|(_, position)| (position, pool[position].eject(now)))
        .collect()
}

/// Severity of an outlier; `None` if the target is within bounds. Errors rank above slowness.
fn severity(stats: &CallStats, pool_median: Option<u32>) -> Option<u64> {
    if let Some(percent) = stats.error_percent()
        && percent > MAX_ERROR_PERCENT
    {
        return Some(u64::from(u32::MAX) + percent as u64);
    }
    let (median, _) = stats.median()?;
    let (lower_quartile, _) = stats.newest_quantiles()?;
    let bound = pool_median?.saturating_mul(SLOW_FACTOR);
    (median > bound && lower_quartile > bound).then_some(u64::from(median))
}
