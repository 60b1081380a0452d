//! The times of the last requests to one target, so that no second holds more than a gateway's part
//! of what a cold target bears. A target can turn cold at any moment, so the bound always holds.

use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub(super) struct Pace {
    sent: VecDeque<Duration>,
}

/// The most times that are kept.
const KEPT: usize = 256;

impl Pace {
    pub(super) fn sent(&mut self, now: Duration) {
        if self.sent.len() == KEPT {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Until when nothing may be sent at `rate` requests a second, if so. A rate below one request
    /// a second spaces requests by its period.
    pub(super) fn held_until(&self, rate: f64, now: Duration) -> Option<Duration> {
        let (count, span) = if rate >= 1.0 {
            (rate as usize, SECOND)
        } else {
            (1, SECOND.div_f64(rate.max(0.01)))
        };
        let first = self.sent.len().checked_sub(count)?;
        let until = self.sent[first] + span;
        (until > now).then_some(until)
    }
}
