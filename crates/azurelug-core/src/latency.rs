//! Measured latency distributions of stages, and the time limits derived from them.
//!
//! Keeps histograms of the current and the previous window for each class of calls. Quantiles are
//! computed once per tick, so reading one costs one array access.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::key;
use hdrhistogram::Histogram;

use crate::slow_start::COLD_FACTOR;

/// Length of a window. Short enough to follow a stage that slows down within two deadlines.
const WINDOW: Duration = Duration::from_secs(10);
/// Largest recorded latency in milliseconds; far above the longest deadline of 12 s.
const MAX_LATENCY_MS: u64 = 120_000;
/// Samples needed before measured quantiles replace the defaults.
const MIN_SAMPLES: u64 = 10;
/// A stage may use at least 1/n of the time not needed by the other stages. With its measured share
/// alone, a fast stage that becomes slower would have every call cut off, and as failures are not
/// recorded, the share would never grow.
const MIN_SLACK_DIVISOR: u32 = 8;
/// An attempt that takes longer than this multiple of the p95 is considered lost.
const LATE_FACTOR: u32 = 3;

key! {
    /// Calls whose latencies are measured together.
    pub struct Class(u16);

    /// Quantiles of a class.
    pub struct Quantiles {
        /// The mean, for throughput, which cannot be derived from quantiles when short and long
        /// calls are mixed.
        pub mean: Duration,
        /// The 50th percentile.
        pub p50: Duration,
        /// The 90th percentile.
        pub p90: Duration,
        /// The 95th percentile.
        pub p95: Duration,
    }
}

/// Quantiles used until enough samples are measured, for example after a restart.
pub const DEFAULT_QUANTILES: Quantiles = Quantiles {
    mean: Duration::from_millis(250),
    p50: Duration::from_millis(200),
    p90: Duration::from_millis(500),
    p95: Duration::from_millis(800),
};

/// Latencies of the current window and of the previous one.
#[derive(Clone, Debug)]
struct Windows {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

#[derive(Clone, Debug)]
struct Distribution {
    all: Windows,
    /// Excludes the calls that were cut off.
    completed: Windows,
    quantiles: Quantiles,
    completed_quantiles: Quantiles,
    is_measured: bool,
}

/// The distributions of all classes.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    names: HashMap<String, Class>,
    classes: Vec<Distribution>,
    window_start: Duration,
}

impl Windows {
    fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_MS, 2).expect("the bounds are valid");
        Self {
            current: histogram.clone(),
            previous: histogram,
        }
    }

    fn record(&mut self, latency: Duration) {
        let millis = (latency.as_millis() as u64).clamp(1, MAX_LATENCY_MS);
        self.current.saturating_record(millis);
    }

    /// The quantiles, if there are enough samples.
    fn quantiles(&self) -> Option<Quantiles> {
        let mut merged = self.previous.clone();
        // Both histograms have the same bounds, so adding them cannot fail.
        merged.add(&self.current).ok()?;
        let at = |quantile| Duration::from_millis(merged.value_at_quantile(quantile).max(1));
        (merged.len() >= MIN_SAMPLES).then(|| Quantiles {
            mean: Duration::from_secs_f64(merged.mean().max(1.0) / 1000.0),
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
        })
    }

    fn rotate(&mut self) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
    }
}

impl Distribution {
    fn new() -> Self {
        Self {
            all: Windows::new(),
            completed: Windows::new(),
            quantiles: DEFAULT_QUANTILES,
            completed_quantiles: DEFAULT_QUANTILES,
            is_measured: false,
        }
    }

    fn update_quantiles(&mut self) {
        let all = self.all.quantiles();
        self.is_measured = all.is_some();
        self.quantiles = all.unwrap_or(self.quantiles);
        // If hardly any call completes, the whole stage is slow, and the quantiles of all calls
        // apply.
        self.completed_quantiles = self.completed.quantiles().unwrap_or(self.quantiles);
    }
}

impl Latencies {
    /// Returns the class of a name such as `summary/generate`, and creates it if needed. Names come
    /// from the configuration, so their number is bounded.
    pub fn class(&mut self, name: &str) -> Class {
        if let Some(class) = self.names.get(name) {
            return *class;
        }
        let class = Class(self.classes.len().min(usize::from(u16::MAX)) as u16);
        if usize::from(class.0) == self.classes.len() {
            self.classes.push(Distribution::new());
        }
        self.names.insert(name.to_owned(), class);
        class
    }

    /// Records the latency of a successful call. Failures are not recorded, because they would make
    /// a failing stage look fast.
    pub fn record(&mut self, class: Class, latency: Duration) {
        let class = &mut self.classes[usize::from(class.0)];
        class.all.record(latency);
        class.completed.record(latency);
    }

    /// Records a call that was cut off after `waited`. It counts as twice that time, because a
    /// stage that has become slow would otherwise keep the short time limit that cuts its calls
    /// off. It counts as at least the median, because a call with a short time limit shows nothing
    /// about the speed of the stage.
    pub fn record_cut_off(&mut self, class: Class, waited: Duration) {
        let median = match self.is_measured(class) {
            true => self.quantiles(class).p50,
            false => Duration::ZERO,
        };
        let class = &mut self.classes[usize::from(class.0)];
        class.all.record((waited * 2).max(median));
    }

    /// Computes the quantiles and starts a new window when the current one is over. To be called
    /// about once a second.
    pub fn tick(&mut self, now: Duration) {
        for class in &mut self.classes {
            class.update_quantiles();
        }
        if now.saturating_sub(self.window_start) < WINDOW {
            return;
        }
        self.window_start = now;
        for class in &mut self.classes {
            class.all.rotate();
            class.completed.rotate();
        }
    }

    /// The quantiles as of the last tick.
    #[must_use]
    pub fn quantiles(&self, class: Class) -> Quantiles {
        self.classes[usize::from(class.0)].quantiles
    }

    /// Like [`Latencies::quantiles`], but excludes calls that were cut off, as long as enough calls
    /// complete. Used to decide when a call is late: if the calls cut off at one hanging target
    /// were included, calls at the other targets would get as much time, with none left for a
    /// retry.
    #[must_use]
    pub fn completed_quantiles(&self, class: Class) -> Quantiles {
        self.classes[usize::from(class.0)].completed_quantiles
    }

    /// Whether the quantiles come from the last two windows. If not, they are defaults or outdated
    /// and must not be a reason to refuse work, because then they would never be measured again.
    #[must_use]
    pub fn is_measured(&self, class: Class) -> bool {
        self.classes[usize::from(class.0)].is_measured
    }

    /// The time that the remaining stages are expected to take: the sum of their p95, as estimated
    /// by admission control. A request with less time left is abandoned before its next stage,
    /// because that stage would probably be cut off.
    #[must_use]
    pub fn expected_time(&self, stages: &[Class]) -> Duration {
        stages.iter().map(|it| self.quantiles(*it).p95).sum()
    }

    /// Whether the remaining stages would probably meet the deadline if the first one ran at a
    /// target in cold start.
    #[must_use]
    pub fn fits_cold(&self, remaining: Duration, stages: &[Class]) -> bool {
        let Some((first, later)) = stages.split_first() else {
            return true;
        };
        let first = self.quantiles(*first).p50 * COLD_FACTOR;
        first + self.expected_time(later) <= remaining
    }

    /// The part of the remaining time that the first of the remaining stages may use, in proportion
    /// to the p90 of the stages.
    #[must_use]
    pub fn share(&self, remaining: Duration, stages: &[Class]) -> Duration {
        let Some(first) = stages.first() else {
            return remaining;
        };
        let sum: Duration = stages.iter().map(|stage| self.quantiles(*stage).p90).sum();
        remaining.mul_f64(self.quantiles(*first).p90.as_secs_f64() / sum.as_secs_f64())
    }

    /// Time limit of an attempt at the first of the remaining stages, until its first token or, for
    /// a stage without tokens, its whole answer; `head` is the class of that latency.
    ///
    /// The limit is the stage's share of the remaining time, but at least an eighth of the time
    /// that the later stages do not need, and at least three times the p95 of completed calls. Half
    /// of that time is reserved for a retry if this does not cut off attempts that are merely slow.
    /// If there is no time for a retry, the attempt may use all of it.
    #[must_use]
    pub fn time_limit(&self, remaining: Duration, head: Class, stages: &[Class]) -> Duration {
        let Some((stage, later)) = stages.split_first() else {
            return remaining;
        };
        let mut classes = vec![head];
        if head != *stage {
            // The tokens after the first one need a part of the remaining time, too.
            classes.push(*stage);
        }
        classes.extend(later);
        let share = self.share(remaining, &classes);
        // If the later stages need all of the remaining time, it is divided in proportion.
        let slack = remaining
            .saturating_sub(self.measured_p90_sum(later))
            .max(share);
        let expected = self.completed_quantiles(head);
        let late_after = expected.p95 * LATE_FACTOR;
        let retry_time = self.completed_quantiles(*stage).p90;
        let upper_bound = match slack.checked_sub(retry_time) {
            Some(left) if left >= expected.p95 => left.min(late_after).max(slack / 2),
            _ => slack,
        };
        share
            .max(late_after)
            .max(slack / MIN_SLACK_DIVISOR)
            .min(upper_bound)
    }

    /// The sum of the p90 of those stages that have recent measurements.
    #[must_use]
    pub fn measured_p90_sum(&self, stages: &[Class]) -> Duration {
        let measured = stages.iter().filter(|it| self.is_measured(**it));
        measured.map(|it| self.quantiles(*it).p90).sum()
    }
}
