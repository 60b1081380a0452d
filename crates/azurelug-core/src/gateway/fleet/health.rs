//! What requests show of one target's health. A target that fails is left alone for a time that
//! grows, and then gets one request at a time until one succeeds.

use std::time::Duration;

/// How a request ended at a target, as far as it tells of the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered; the time until the first part of its answer.
    Answered(Duration),
    /// The target answered that it failed.
    Error,
    /// The target was full and did not run the request.
    Full,
    /// No connection could be opened.
    Unconnected,
    /// The connection failed, or gave no answer in time.
    Unreachable,
    /// The target says that it is another one than expected, or is leaving.
    Gone,
    /// The client went away first; nothing is known.
    Unknown,
}

/// Unreachable results in a row that exclude a target.
const EXCLUDE_AFTER: u32 = 2;

/// The first exclusion; each further one is twice as long.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);

/// The longest exclusion. Bounded, so that a pool that has recovered isn't left unused.
const MAX_EXCLUSION: Duration = Duration::from_secs(8);

/// Pause after a target was full.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// A target that is gone is left alone until the list has caught up.
const GONE_PAUSE: Duration = Duration::from_secs(2);

/// Weight of the newest request in the error rate and the time of first answers.
const NEWEST_WEIGHT: f64 = 0.15;

/// First answers slower than this many seconds begin to count against a target.
const SLOW_AFTER_S: f64 = 0.25;

/// The most that slowness counts, in parts of a target's places.
const MAX_SLOWNESS_PENALTY: f64 = 1.5;

#[derive(Debug, Default)]
pub(super) struct Health {
    unreachable_in_row: u32,
    excluded_until: Duration,
    exclusion: Duration,
    /// A request that tells whether an excluded target has recovered.
    trial_sent: Option<Duration>,
    error_rate: f64,
    first_answer_s: f64,
}

/// A trial without a result for this long is forgotten.
const TRIAL_LIMIT: Duration = Duration::from_secs(1);

impl Health {
    pub(super) fn excluded_until(&self, now: Duration) -> Option<Duration> {
        if now < self.excluded_until {
            return Some(self.excluded_until);
        }
        let trial_ends = self.trial_sent.map(|sent| sent + TRIAL_LIMIT);
        trial_ends.filter(|end| self.exclusion > Duration::ZERO && now < *end)
    }

    pub(super) fn sent(&mut self, now: Duration) {
        if self.exclusion > Duration::ZERO {
            self.trial_sent = Some(now);
        }
    }

    pub(super) fn ended(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Answered(first) => {
                self.recovered();
                self.count_error(0.0);
                let newest = first.as_secs_f64();
                self.first_answer_s += (newest - self.first_answer_s) * NEWEST_WEIGHT;
            }
            Outcome::Error => {
                self.recovered();
                self.count_error(1.0);
            }
            Outcome::Full => self.excluded_until = self.excluded_until.max(now + FULL_PAUSE),
            Outcome::Unreachable => {
                self.count_error(1.0);
                self.unreachable_in_row += 1;
                if self.unreachable_in_row >= EXCLUDE_AFTER || self.exclusion > Duration::ZERO {
                    self.exclude(now);
                }
            }
            Outcome::Unconnected => {
                self.count_error(1.0);
                self.unreachable_in_row += 1;
                // A target that refuses connections refuses them at once, so that it looks free.
                self.exclude(now);
            }
            Outcome::Gone => self.excluded_until = self.excluded_until.max(now + GONE_PAUSE),
            Outcome::Unknown => self.trial_sent = None,
        }
    }

    fn recovered(&mut self) {
        self.unreachable_in_row = 0;
        self.exclusion = Duration::ZERO;
        self.trial_sent = None;
    }

    fn exclude(&mut self, now: Duration) {
        // Several requests that fail together count once.
        if now < self.excluded_until {
            return;
        }
        self.exclusion = (self.exclusion * 2).clamp(FIRST_EXCLUSION, MAX_EXCLUSION);
        self.excluded_until = now + self.exclusion;
        self.trial_sent = None;
    }

    fn count_error(&mut self, newest: f64) {
        self.error_rate += (newest - self.error_rate) * NEWEST_WEIGHT;
    }

    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    pub(super) fn slowness_penalty(&self) -> f64 {
        ((self.first_answer_s - SLOW_AFTER_S) / SLOW_AFTER_S).clamp(0.0, MAX_SLOWNESS_PENALTY)
    }
}
