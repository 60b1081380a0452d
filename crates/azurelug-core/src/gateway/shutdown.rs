//! Times of a planned stop: until when requests are accepted, when the last exchange ends, and which
//! new requests are refused because they would hardly end in time.
//!
//! A process is killed when its grace period is over. Every exchange gets an answer before that, so
//! that its client learns whether the request may have run.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time for which requests are accepted after the readiness check starts to fail: the load
/// balancer checks once a second and removes a gateway after two failed checks.
const MAX_DRAIN_PERIOD: Duration = Duration::from_millis(2600);

/// Fraction of a short grace period in which requests are accepted.
const DRAIN_FRACTION: f64 = 1.0 / 3.0;

/// Part of the grace period that is reserved for the exit of the process.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Part of the grace period, before the exit, in which the last answers reach their clients.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Largest fraction of a short grace period for each margin.
const MARGIN_FRACTION: f64 = 1.0 / 16.0;

/// `Retry-After` of a refused request: the retry reaches a gateway that isn't stopping.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A stop that was requested by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    signalled_at: Duration,
    grace: Duration,
}

impl Shutdown {
    /// Creates the times of a stop from the time of the signal and the grace period.
    #[must_use]
    pub fn new(signalled_at: Duration, grace: Duration) -> Self {
        Self {
            signalled_at,
            grace,
        }
    }

    /// When the gateway stops accepting requests.
    #[must_use]
    pub fn accepts_until(&self) -> Duration {
        self.signalled_at + MAX_DRAIN_PERIOD.min(self.grace.mul_f64(DRAIN_FRACTION))
    }

    /// When the last exchange ends.
    #[must_use]
    pub fn latest_end(&self) -> Duration {
        let margins = self.margin(MAX_EXIT_MARGIN) + self.margin(MAX_ANSWER_MARGIN);
        self.signalled_at + self.grace.saturating_sub(margins)
    }

    /// When exchanges that should have ended are cancelled. The answers still reach their clients.
    #[must_use]
    pub fn cancels_at(&self) -> Duration {
        self.latest_end() + self.margin(MAX_ANSWER_MARGIN) / 2
    }

    /// When the process exits at the latest.
    #[must_use]
    pub fn exits_at(&self) -> Duration {
        self.signalled_at + self.grace - self.margin(MAX_EXIT_MARGIN)
    }

    fn margin(&self, most: Duration) -> Duration {
        most.min(self.grace.mul_f64(MARGIN_FRACTION))
    }

    /// The retry delay if a new request is to be refused: the stop would end it before its own
    /// `deadline`, and requests of its route typically need more than the time that is left.
    #[must_use]
    pub fn refusal(
        &self,
        now: Duration,
        deadline: Duration,
        typical: Option<Duration>,
    ) -> Option<Duration> {
        let latest_end = self.latest_end();
        let is_too_long = typical.is_some_and(|typical| now + typical > latest_end);
        (deadline > latest_end && is_too_long).then_some(RETRY_AFTER)
    }
}

/// Recent requests kept for each route.
const MAX_RECENT: usize = 32;

/// Requests needed before a duration counts as typical.
const MIN_RECENT: usize = 4;

/// Requests that ended longer ago than this don't count.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Fraction of the recent requests that end within the typical duration. A refused request is served
/// by another gateway a little later, and one that doesn't end in time is lost.
const TYPICAL_FRACTION: f64 = 0.8;

/// Durations of the recent complete requests of one route.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    /// End and duration of each request, oldest first.
    recent: VecDeque<(Duration, Duration)>,
}

impl Durations {
    /// Records a complete request that has ended now.
    pub fn record(&mut self, duration: Duration, now: Duration) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, duration));
    }

    /// The duration within which most requests are complete; none if too few are known.
    #[must_use]
    pub fn typical(&self, now: Duration) -> Option<Duration> {
        let recent = self.recent.iter();
        let recent = recent.filter(|(ended_at, _)| *ended_at + MAX_AGE >= now);
        let mut durations: Vec<Duration> = recent.map(|(_, duration)| *duration).collect();
        if durations.len() < MIN_RECENT {
            return None;
        }
        durations.sort_unstable();
        let within = (durations.len() as f64 * TYPICAL_FRACTION).ceil() as usize;
        durations.get(within.saturating_sub(1)).copied()
    }
}
