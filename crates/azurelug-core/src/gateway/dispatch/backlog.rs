//! Capacity planning for admission: the work already promised in time, and whether more fits.

use std::time::Duration;

/// Averaging window for the utilization of targets: a few calls.
const WINDOW: Duration = Duration::from_secs(1);

/// Utilization above which late work would hardly ever run.
const MAX_USE: f64 = 0.95;

/// Fraction of the targets' time that may be promised to work of the lowest value. The rest covers
/// calls that are not full or slower than usual.
const PROMISED_PART: f64 = 0.8;

/// Additional fraction for work of the highest value.
const WORTH_PART: f64 = 0.3;

/// Reduction of the fraction for each step to a less urgent rank, and the highest rank that counts.
const RANK_PART: f64 = 0.01;
const MAX_RANK: u16 = 8;

/// Urgency and value of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) rank: u16,
    /// From 0 to 1.
    pub(super) worth: f64,
}

impl Claim {
    /// Fraction of the targets' time up to which this work may be promised.
    fn part(self) -> f64 {
        let rank = f64::from(self.rank.min(MAX_RANK));
        PROMISED_PART + WORTH_PART * self.worth.clamp(0.0, 1.0) - RANK_PART * rank
    }
}

/// Exponential moving average of the target time that is requested in each second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Utilization {
    seconds: f64,
    at: Duration,
}

impl Utilization {
    /// Records requested work.
    pub(super) fn add(&mut self, work: Duration, now: Duration) {
        self.seconds = self.decayed(now) + work.as_secs_f64();
        self.at = now;
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.seconds * (-age / WINDOW.as_secs_f64()).exp()
    }

    /// Returns the wait of late work, extended by work that arrives meanwhile and has priority;
    /// none if it would never end. `rate` is the number of targets.
    pub(super) fn stretch(&self, wait: Duration, rate: f64, now: Duration) -> Option<Duration> {
        let used = self.decayed(now) / WINDOW.as_secs_f64() / rate.max(0.01);
        (used < MAX_USE).then(|| wait.div_f64(1.0 - used))
    }
}

/// Work and its due time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    pub(super) due: Duration,
    pub(super) work: Duration,
}

/// Whether more work can be promised: for its own due time and each later one, all work due by then
/// must fit into the targets' time until then. `busy` is the remaining time of calls in progress,
/// summed over the targets; `rate` is the number of targets.
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
