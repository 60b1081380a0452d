//! Rate limit for the requests of this gateway to one target. In any second, a gateway sends no
//! more than its share of what a cold target can handle. A target can become cold at any time, so
//! the limit always applies.

use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Maximum number of send times that are kept.
const MAX_SEND_TIMES: usize = 256;

/// Lowest rate in requests a second: one request in 100 s.
const MIN_RATE: f64 = 0.01;

#[derive(Debug, Default)]
pub(super) struct RateLimit {
    send_times: VecDeque<Duration>,
}

impl RateLimit {
    pub(super) fn record_send(&mut self, now: Duration) {
        if self.send_times.len() == MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
        self.send_times.push_back(now);
    }

    /// Removes the last recorded request, which was not sent.
    pub(super) fn cancel_send(&mut self) {
        self.send_times.pop_back();
    }

    /// Returns the time until which the limit of `rate` requests a second blocks further requests.
    /// Bursts of `min_burst` requests are allowed, in the time that they take at that rate.
    pub(super) fn blocked_until(
        &self,
        rate: f64,
        min_burst: usize,
        now: Duration,
    ) -> Option<Duration> {
        let rate = rate.clamp(MIN_RATE, MAX_SEND_TIMES as f64);
        let burst = (rate.ceil() as usize).max(min_burst);
        let span = SECOND.mul_f64(burst as f64 / rate);
        let oldest = self.send_times.len().checked_sub(burst)?;
        let until = self.send_times[oldest] + span;
        (until > now).then_some(until)
    }
}
