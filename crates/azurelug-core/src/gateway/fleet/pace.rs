//! The times of the last requests to one target, so that no second holds more than a gateway's part
//! of what a cold target bears. A target can turn cold at any moment, so the bound always holds.

use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The most times that are kept.
const KEPT: usize = 256;

/// The lowest rate: one request in 100 s.
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

    /// Until when nothing may be sent at `rate` requests a second, if so. `least` requests at least
    /// may be sent together, in the time that they take at that rate.
    pub(super) fn held_until(&self, rate: f64, least: usize, now: Duration) -> Option<Duration> {
        let rate = rate.clamp(MIN_RATE, KEPT as f64);
        let count = (rate.ceil() as usize).max(least);
        let span = SECOND.mul_f64(count as f64 / rate);
        let first = self.sent.len().checked_sub(count)?;
        let until = self.sent[first] + span;
        (until > now).then_some(until)
    }
}
