//! How much work is promised to be in time, and what that leaves for more.

use std::time::Duration;

/// Time over which the use of targets is averaged: a few calls.
const WINDOW: Duration = Duration::from_secs(1);

/// Above this use, late work would hardly ever get its turn.
const MAX_USE: f64 = 0.95;

/// Part of the targets' time that may be promised to work that is worth the least. The rest covers
/// calls that are not full and take longer than usual.
const PROMISED_PART: f64 = 0.8;

/// How much more of it may be promised to work that is worth the most.
const WORTH_PART: f64 = 0.3;

/// How much less of it may be promised to each rank that is less urgent, and the ranks that count.
const RANK_PART: f64 = 0.01;
const MAX_RANK: u16 = 8;

/// How urgent and how much worth work is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) rank: u16,
    /// From 0 to 1.
    pub(super) worth: f64,
}

impl Claim {
    /// Part of the targets' time up to which this work may be promised.
    fn part(self) -> f64 {
        let rank = f64::from(self.rank.min(MAX_RANK));
        PROMISED_PART + WORTH_PART * self.worth.clamp(0.0, 1.0) - RANK_PART * rank
    }
}

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
    claim: Claim,
    busy: Duration,
    rate: f64,
    now: Duration,
) -> bool {
    let part = claim.part();
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
