//! Passive health checks: the health of one target, derived from the outcomes of requests. A
//! failing target is excluded with exponential backoff, and then gets one request at a time until
//! one succeeds.

use std::time::Duration;

/// Outcome of a request at a target, as far as it concerns the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded; carries the time until the first part of its response.
    Answered(Duration),
    /// The target responded with an error.
    Error,
    /// The target was at capacity and did not run the request.
    Full,
    /// The connection could not be opened.
    Unconnected,
    /// The connection failed, or the response timed out.
    Unreachable,
    /// The target crashed under a request that crashes targets, and will be back soon.
    Crashed,
    /// The target reports that it is not the expected instance, or that it is shutting down.
    Gone,
    /// The client disconnected first, so the outcome is unknown.
    Unknown,
}

/// Consecutive `Unreachable` outcomes after which a target is excluded.
const MAX_CONSECUTIVE_UNREACHABLE: u32 = 2;

/// Duration of the first exclusion; it doubles with each consecutive one.
const INITIAL_EXCLUSION: Duration = Duration::from_millis(500);

/// Maximum duration of an exclusion, so that a recovered pool is soon used again.
const MAX_EXCLUSION: Duration = Duration::from_secs(8);

/// Time after a crash that a request has caused in which exclusions stay short.
const CRASH_RECOVERY: Duration = Duration::from_secs(15);

/// Maximum duration of an exclusion in this time.
const MAX_CRASH_EXCLUSION: Duration = Duration::from_millis(800);

/// Time without requests to a target that was at capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(40);

/// Time without requests to a target that was gone, in which the target list is updated.
const GONE_BACKOFF: Duration = Duration::from_secs(2);

/// Weight of a new sample in the moving averages of the error rate and the response start time.
const EWMA_WEIGHT: f64 = 0.15;

/// Mean response start time in seconds above which a target is penalized.
const SLOW_THRESHOLD_S: f64 = 0.25;

/// Maximum slowness penalty; 1 corresponds to the load of a fully utilized target.
const MAX_SLOWNESS_PENALTY: f64 = 1.5;

#[derive(Debug, Default)]
pub(super) struct Health {
    consecutive_unreachable: u32,
    excluded_until: Duration,
    /// Duration of the last exclusion; zero after a response.
    exclusion_backoff: Duration,
    /// When the last probe was sent: a request that tests whether the target has recovered.
    probe_sent_at: Option<Duration>,
    /// Until when the target is expected to recover from a crash that a request has caused.
    recovering_until: Duration,
    error_rate: f64,
    mean_response_start_s: f64,
}

/// Time after which a probe without an outcome no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl Health {
    pub(super) fn excluded_until(&self, now: Duration) -> Option<Duration> {
        if now < self.excluded_until {
            return Some(self.excluded_until);
        }
        let probe_expiry = self.probe_sent_at.map(|sent_at| sent_at + PROBE_TIMEOUT);
        probe_expiry.filter(|expiry| self.exclusion_backoff > Duration::ZERO && now < *expiry)
    }

    pub(super) fn record_send(&mut self, now: Duration) {
        if self.exclusion_backoff > Duration::ZERO {
            self.probe_sent_at = Some(now);
        }
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Duration) {
        match outcome {
            Outcome::Answered(response_start) => {
                self.reset_exclusion();
                self.update_error_rate(0.0);
                let sample = response_start.as_secs_f64();
                self.mean_response_start_s += (sample - self.mean_response_start_s) * EWMA_WEIGHT;
            }
            Outcome::Error => {
                self.reset_exclusion();
                self.update_error_rate(1.0);
            }
            Outcome::Full => self.excluded_until = self.excluded_until.max(now + FULL_BACKOFF),
            Outcome::Unreachable => {
                self.update_error_rate(1.0);
                self.consecutive_unreachable += 1;
                if self.consecutive_unreachable >= MAX_CONSECUTIVE_UNREACHABLE
                    || self.exclusion_backoff > Duration::ZERO
                {
                    self.exclude(now);
                }
            }
            Outcome::Crashed => {
                self.recovering_until = now + CRASH_RECOVERY;
                self.exclude(now);
            }
            Outcome::Unconnected => {
                if now >= self.recovering_until {
                    self.update_error_rate(1.0);
                }
                self.consecutive_unreachable += 1;
                // A refused connection fails immediately, so the target would appear to be idle.
                self.exclude(now);
            }
            Outcome::Gone => self.excluded_until = self.excluded_until.max(now + GONE_BACKOFF),
            Outcome::Unknown => self.probe_sent_at = None,
        }
    }

    fn reset_exclusion(&mut self) {
        self.consecutive_unreachable = 0;
        self.exclusion_backoff = Duration::ZERO;
        self.probe_sent_at = None;
    }

    fn exclude(&mut self, now: Duration) {
        // Concurrent failures extend the backoff only once.
        if now < self.excluded_until {
            return;
        }
        let max_exclusion = if now < self.recovering_until {
            MAX_CRASH_EXCLUSION
        } else {
            MAX_EXCLUSION
        };
        self.exclusion_backoff =
            (self.exclusion_backoff * 2).clamp(INITIAL_EXCLUSION, max_exclusion);
        self.excluded_until = now + self.exclusion_backoff;
        self.probe_sent_at = None;
    }

    fn update_error_rate(&mut self, sample: f64) {
        self.error_rate += (sample - self.error_rate) * EWMA_WEIGHT;
    }

    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    pub(super) fn slowness_penalty(&self) -> f64 {
        ((self.mean_response_start_s - SLOW_THRESHOLD_S) / SLOW_THRESHOLD_S)
            .clamp(0.0, MAX_SLOWNESS_PENALTY)
    }
}
