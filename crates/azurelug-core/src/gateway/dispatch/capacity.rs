//! Capacity planning for admission: the work already promised in time, and whether more fits.

use std::time::Duration;

/// Averaging window for the utilization of targets: a few calls.
const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// Utilization above which late work would hardly ever run.
const MAX_UTILIZATION: f64 = 0.95;

/// Fraction of the targets' time that may be promised to work of the lowest value. The rest covers
/// calls that are partly filled or slower than usual.
const BASE_FRACTION: f64 = 0.8;

/// Additional fraction for work of the highest value.
const VALUE_FRACTION: f64 = 0.3;

/// Reduction of the fraction for each step to a less urgent rank, and the highest rank that counts.
const RANK_FRACTION: f64 = 0.01;
const MAX_RANK: u16 = 8;

/// Urgency and value of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Priority {
    pub(super) rank: u16,
    /// From 0 to 1.
    pub(super) value: f64,
}

impl Priority {
    /// Fraction of the targets' time up to which this work may be promised.
    fn fraction(self) -> f64 {
        let rank = f64::from(self.rank.min(MAX_RANK));
        BASE_FRACTION + VALUE_FRACTION * self.value.clamp(0.0, 1.0) - RANK_FRACTION * rank
    }
}

/// Exponential moving average of the target time that is requested in each second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Utilization {
    seconds: f64,
    updated_at: Duration,
}

impl Utilization {
    /// Records requested work.
    pub(super) fn add(&mut self, work: Duration, now: Duration) {
        self.seconds = self.decayed(now) + work.as_secs_f64();
        self.updated_at = now;
    }

    fn decayed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.seconds * (-age / AVERAGING_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the wait of late work, extended by work that arrives meanwhile and has priority;
    /// none if it would never end. `rate` is the number of targets.
    pub(super) fn extended_wait(
        &self,
        wait: Duration,
        rate: f64,
        now: Duration,
    ) -> Option<Duration> {
        let used = self.decayed(now) / AVERAGING_WINDOW.as_secs_f64() / rate.max(0.01);
        (used < MAX_UTILIZATION).then(|| wait.div_f64(1.0 - used))
    }
}

/// Work and its due time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Commitment {
    pub(super) due: Duration,
    pub(super) work: Duration,
}

/// Whether more work can be promised: for its own due time and each later one, all work due by then
/// must fit into the targets' time until then. `busy` is the remaining time of calls in progress,
/// summed over the targets; `rate` is the number of targets.
pub(super) fn fits(
    mut commitments: Vec<Commitment>,
    new: Commitment,
    priority: Priority,
    busy: Duration,
    rate: f64,
    now: Duration,
) -> bool {
    let fraction = priority.fraction();
    commitments.push(new);
    commitments.sort_by_key(|commitment| commitment.due);
    let mut sum = busy;
    for commitment in commitments {
        sum += commitment.work;
        if commitment.due < new.due {
            continue;
        }
        let time = commitment.due.saturating_sub(now).as_secs_f64() * rate * fraction;
        if sum.as_secs_f64() > time {
            return false;
        }
    }
    true
}
