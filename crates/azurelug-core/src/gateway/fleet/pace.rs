//! Rate limit for the requests of this gateway to one target. In any second, a gateway sends no
//! more than its share of what a cold target can handle. A target can become cold at any time, so
//! the limit always applies.

use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Maximum number of send times that are kept.
const KEPT: usize = 256;

/// Lowest rate in requests a second: one request in 100 s.
const MIN_RATE: f64 = 0.01;

#[derive(Debug, Default)]
pub(super) struct Pace {
    sent: VecDeque<Duration>,
}

impl Pace {
    pub(super) fn sent(&mut self, now: Duration) {
        if self.sent.len() == KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Returns the time until which the limit of `rate` requests a second blocks further requests.
    /// Bursts of `least` requests are allowed, in the time that they take at that rate.
    pub(super) fn held_until(&self, rate: f64, least: usize, now: Duration) -> Option<Duration> {
        let rate = rate.clamp(MIN_RATE, KEPT as f64);
        let count = (rate.ceil() as usize).max(least);
        let span = SECOND.mul_f64(count as f64 / rate);
        let first = self.sent.len().checked_sub(count)?;
        let until = self.sent[first] + span;
        (until > now).then_some(until)
    }
}
