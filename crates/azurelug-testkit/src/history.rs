//! Values over time, for reports that lag.

use std::collections::VecDeque;
use std::time::Duration;

/// The most values that are kept. Under more changes within one lag, reports are younger than set.
const KEPT: usize = 65_536;

/// The values of the last lag.
pub(crate) struct History<T> {
    lag: Duration,
    values: VecDeque<(Duration, T)>,
}

impl<T> History<T> {
    /// A history that begins with `value`.
    pub(crate) fn new(lag: Duration, value: T) -> Self {
        Self {
            lag,
            values: VecDeque::from([(Duration::ZERO, value)]),
        }
    }

    /// The value changes at `now`.
    pub(crate) fn record(&mut self, now: Duration, value: T) {
        self.forget(now);
        if self.values.len() == KEPT {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// The moment that a report made at `now` describes, and the value then.
    pub(crate) fn report(&mut self, now: Duration) -> (Duration, &T) {
        self.forget(now);
        let (_, value) = self.values.front().expect("a history is never empty");
        (now.saturating_sub(self.lag), value)
    }

    /// Removes values older than the one that was true a lag ago.
    fn forget(&mut self, now: Duration) {
        let then = now.saturating_sub(self.lag);
        while self.values.get(1).is_some_and(|(at, _)| *at <= then) {
            self.values.pop_front();
        }
    }
}
