//! Recent values with their times, for delayed reports.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of retained values. If more changes fall within one lag, reports are more recent
/// than configured.
const MAX_VALUES: usize = 65_536;

/// The values within the last `lag`.
pub(crate) struct History<T> {
    lag: Duration,
    values: VecDeque<(Duration, T)>,
}

impl<T> History<T> {
    /// A history whose first value is `value`.
    pub(crate) fn new(lag: Duration, value: T) -> Self {
        Self {
            lag,
            values: VecDeque::from([(Duration::ZERO, value)]),
        }
    }

    /// Records that the value changes at `now`.
    pub(crate) fn record(&mut self, now: Duration, value: T) {
        self.prune(now);
        if self.values.len() == MAX_VALUES {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// The time that a report made at `now` describes, and the value at that time.
    pub(crate) fn report(&mut self, now: Duration) -> (Duration, &T) {
        self.prune(now);
        let (_, value) = self.values.front().expect("a history is never empty");
        (now.saturating_sub(self.lag), value)
    }

    /// Removes values older than the one that applied one lag ago.
    fn prune(&mut self, now: Duration) {
        let cutoff = now.saturating_sub(self.lag);
        while self.values.get(1).is_some_and(|(at, _)| *at <= cutoff) {
            self.values.pop_front();
        }
    }
}
