//! Passive health checks: the health of one target, derived from the outcomes of requests. A
//! failing target is excluded with exponential backoff, and then gets one request at a time until
//! one succeeds.

use std::time::Duration;

/// Outcome of a request at a target, as far as it concerns the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered; the time to the first part of its answer.
    Answered(Duration),
    /// The target answered with an error.
    Error,
    /// The target was at capacity and did not run the request.
    Full,
    /// The connection could not be opened.
    Unconnected,
    /// The connection failed, or the answer did not arrive in time.
    Unreachable,
    /// The target reports that it is not the expected one, or that it is leaving.
    Gone,
    /// The client disconnected first, so the outcome is unknown.
    Unknown,
}

/// Consecutive `Unreachable` outcomes after which a target is excluded.
const MAX_CONSECUTIVE_UNREACHABLE: u32 = 2;

/// Duration of the first exclusion; each further one is twice as long.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);

/// Maximum duration of an exclusion, so that a pool that has recovered is used again.
const MAX_EXCLUSION: Duration = Duration::from_secs(8);

/// Pause after a target was at capacity.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// Pause after a target was gone: time for the list of targets to catch up.
const GONE_PAUSE: Duration = Duration::from_secs(2);

/// Weight of the newest request in the averages of the error rate and the first answer time.
const NEWEST_WEIGHT: f64 = 0.15;

/// First answer time in seconds above which a target is penalized.
const SLOW_THRESHOLD_S: f64 = 0.25;

/// Maximum penalty for slowness, in units of a fully used target.
const MAX_SLOWNESS_PENALTY: f64 = 1.5;

#[derive(Debug, Default)]
pub(super) struct Health {
    consecutive_unreachable: u32,
    excluded_until: Duration,
    exclusion: Duration,
    /// When a probe request was sent, which shows whether an excluded target has recovered.
    probe_sent: Option<Duration>,
    error_rate: f64,
    first_answer_s: f64,
}

/// Time after which a probe request without a result is ignored.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl Health {
    pub(super) fn excluded_until(&self, now: Duration) -> Option<Duration> {
        if now < self.excluded_until {
            return Some(self.excluded_until);
        }
        let probe_ends = self.probe_sent.map(|sent| sent + PROBE_TIMEOUT);
        probe_ends.filter(|end| self.exclusion > Duration::ZERO && now < *end)
    }

    pub(super) fn record_send(&mut self, now: Duration) {
        if self.exclusion > Duration::ZERO {
            self.probe_sent = Some(now);
        }
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Answered(first) => {
                self.reset_exclusion();
                self.update_error_rate(0.0);
                let newest = first.as_secs_f64();
                self.first_answer_s += (newest - self.first_answer_s) * NEWEST_WEIGHT;
            }
            Outcome::Error => {
                self.reset_exclusion();
                self.update_error_rate(1.0);
            }
            Outcome::Full => self.excluded_until = self.excluded_until.max(now + FULL_PAUSE),
            Outcome::Unreachable => {
                self.update_error_rate(1.0);
                self.consecutive_unreachable += 1;
                if self.consecutive_unreachable >= MAX_CONSECUTIVE_UNREACHABLE
                    || self.exclusion > Duration::ZERO
                {
                    self.exclude(now);
                }
            }
            Outcome::Unconnected => {
                self.update_error_rate(1.0);
                self.consecutive_unreachable += 1;
                // A target refuses connections immediately, so it would appear to be idle.
                self.exclude(now);
            }
            Outcome::Gone => self.excluded_until = self.excluded_until.max(now + GONE_PAUSE),
            Outcome::Unknown => self.probe_sent = None,
        }
    }

    fn reset_exclusion(&mut self) {
        self.consecutive_unreachable = 0;
        self.exclusion = Duration::ZERO;
        self.probe_sent = None;
    }

    fn exclude(&mut self, now: Duration) {
        // Requests that fail at the same time count once.
        if now < self.excluded_until {
            return;
        }
        self.exclusion = (self.exclusion * 2).clamp(FIRST_EXCLUSION, MAX_EXCLUSION);
        self.excluded_until = now + self.exclusion;
        self.probe_sent = None;
    }

    fn update_error_rate(&mut self, newest: f64) {
        self.error_rate += (newest - self.error_rate) * NEWEST_WEIGHT;
    }

    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    pub(super) fn slowness_penalty(&self) -> f64 {
        ((self.first_answer_s - SLOW_THRESHOLD_S) / SLOW_THRESHOLD_S)
            .clamp(0.0, MAX_SLOWNESS_PENALTY)
    }
}
