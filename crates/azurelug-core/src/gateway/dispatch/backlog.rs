//! How much work is promised to be in time, and what that leaves for more.

use std::time::Duration;

/// Time over which the use of targets is averaged: a few calls.
const WINDOW: Duration = Duration::from_secs(1);

/// Above this use, late work would hardly ever get its turn.
const MAX_USE: f64 = 0.95;

/// Part of the targets' time that may be promised to the most urgent work. The rest covers calls
/// that are not full and take longer than usual.
const PROMISED_PART: f64 = 0.95;

/// How much less of it may be promised to each rank that is less urgent, and the ranks that count.
const RANK_PART: f64 = 0.02;
const MAX_RANK: u16 = 8;

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

/// Work and the time by which it is to be done.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    pub(super) due: Duration,
    pub(super) work: Duration,
}

/// Whether more work can be promised: whether, for its own due time and each later one, everything
/// due until then fits into the targets' time until then. `busy` is the time that calls in progress
/// still take, summed over the targets; `rate` the number of targets.
pub(super) fn fits(
    mut promises: Vec<Promise>,
    new: Promise,
    rank: u16,
    busy: Duration,
    rate: f64,
    now: Duration,
) -> bool {
    let part = PROMISED_PART - RANK_PART * f64::from(rank.min(MAX_RANK));
    promises.push(new);
    promises.sort_by_key(|promise| promise.due);
    let mut sum = busy;
    for promise in promises {
        sum += promise.work;
        if promise.due < new.due {
            continue;
        }
        let time = promise.due.saturating_sub(now).as_secs_f64() * rate * part;
        if sum.as_secs_f64() > time {
            return false;
        }
    }
    true
}
