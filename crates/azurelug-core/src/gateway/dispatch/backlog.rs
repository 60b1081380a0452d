//! How much of the targets' time is used by work that can be in time, and what that leaves for work
//! that can't.

use std::time::Duration;

/// Time over which the use is averaged: a few calls.
const WINDOW: Duration = Duration::from_secs(1);

/// Above this use, late work would hardly ever get its turn.
const MAX_USE: f64 = 0.95;

/// An exponential average of the targets' time that is asked for in each second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Utilization {
    seconds: f64,
    at: Duration,
}

impl Utilization {
    /// Notes work that is asked for.
    pub(super) fn add(&mut self, work: Duration, now: Duration) {
        self.seconds = self.decayed(now) + work.as_secs_f64();
        self.at = now;
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.seconds * (-age / WINDOW.as_secs_f64()).exp()
    }

    /// How long a wait of late work becomes by the work that goes before it; none if there is no
    /// end to it. `rate` is the number of targets.
    pub(super) fn stretch(&self, wait: Duration, rate: f64, now: Duration) -> Option<Duration> {
        let used = self.decayed(now) / WINDOW.as_secs_f64() / rate.max(0.01);
        (used < MAX_USE).then(|| wait.div_f64(1.0 - used))
    }
}
