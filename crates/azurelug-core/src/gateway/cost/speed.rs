//! Speeds of targets, from the ratios of observed to expected times, and how much they differ
//! within a service.

use std::time::Duration;

use azurelug_types::fleet::TargetSpeed;
use azurelug_types::id::TargetName;

/// Half-life of the weight of an outcome in the speed of a target. Long enough for several outcomes
/// of one target where hundreds of gateways share it, and short against the life of a VM.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Largest deviations of one outcome from the usual time, as logarithms. Above a factor of two,
/// outcomes tell of queues and stalls more than of the speed of the target.
const MIN_LOG: f64 = -1.5;
const MAX_LOG: f64 = 0.7;

/// Half-life of what the outcome of one request says about the work that waits at a target. The
/// queue of a target that gets too much lasts for seconds.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Ratio of the upper to the lower decile of the speeds below which a service is even again.
const EVEN_RATIO: f64 = 1.5;

/// Estimated ratio above which a service is uneven. Queues at popular targets, and parts that were
/// not cached, look like low speed and raise the estimate to 1.5 where all speeds are equal.
const UNEVEN_RATIO: f64 = 1.8;

/// Standard errors by which the variance between targets must exceed that of a service at this
/// ratio.
const SIGNIFICANCE: f64 = 2.0;

/// Standard deviations between the lower and the upper decile of a normal distribution.
const DECILES: f64 = 2.563;

/// Successive estimates, one a second, that must find a service uneven. Queues at a few targets
/// look like low speed while they last.
const MIN_CONFIRMATIONS: u32 = 4;

/// Deviations from which on the variance of the outcomes of one target counts as known.
const MIN_DEVIATIONS: f64 = 30.0;

/// Weight of earlier outcomes of a target below which the deviation from them says nothing.
const MIN_EARLIER: f64 = 0.5;

/// Decayed statistics of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    count: f64,
    sum: f64,
    squares: f64,
    deviations: f64,
    updated_at: Duration,
    /// Time that the newest request waited beyond the expected time.
    delay_s: f64,
}

/// The time that one request took at a target.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Observed time in seconds.
    pub seconds: f64,
    /// Expected time in seconds at a target of usual speed.
    pub usual: f64,
    /// The current estimate of the target's slowness.
    pub slowness: f64,
    /// How certain the expected time is, up to 1.
    pub weight: f64,
}

impl Outcome {
    /// Logarithm of the ratio of the observed to the usual time.
    #[must_use]
    pub fn log(&self) -> f64 {
        let ratio = (self.seconds / self.usual).max(f64::MIN_POSITIVE);
        ratio.ln().clamp(MIN_LOG, MAX_LOG)
    }

    /// The squared deviation from the weight and the mean of earlier outcomes, scaled to an outcome
    /// of weight 1; none if too little is known.
    fn squared_deviation(&self, (count, mean): (f64, f64)) -> Option<f64> {
        // The variance of an outcome is inverse to its weight, and the mean varies, too.
        let scale = 1.0 / self.weight + 1.0 / count;
        (count >= MIN_EARLIER).then(|| (self.log() - mean).powi(2) / scale)
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

impl Speed {
    /// The weight of the outcomes, and the mean logarithm of their ratios to the usual time.
    #[must_use]
    pub fn mean(&self, now: Duration) -> (f64, f64) {
        if self.count == 0.0 {
            return (0.0, 0.0);
        }
        let age = now.saturating_sub(self.updated_at);
        (self.count * decay(age, HALF_LIFE), self.sum / self.count)
    }

    /// Age of the newest outcome; none without outcomes.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        (self.count > 0.0).then(|| now.saturating_sub(self.updated_at))
    }

    /// Seconds of work that probably wait at the target, from the delay of the newest request there.
    #[must_use]
    pub fn delay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.delay_s * decay(age, DELAY_HALF_LIFE)
    }

    /// Returns the sum of squared deviations from the mean, and their number.
    fn deviations(&self, now: Duration) -> (f64, f64) {
        let left = decay(now.saturating_sub(self.updated_at), HALF_LIFE);
        (self.squares * left, self.deviations * left)
    }

    /// Records an outcome. `earlier` has the weight and the mean of what is known of the target.
    pub fn observe(&mut self, outcome: &Outcome, earlier: (f64, f64), now: Duration) {
        let (count, mean) = self.mean(now);
        let (squares, deviations) = self.deviations(now);
        let squared = outcome.squared_deviation(earlier);
        *self = Self {
            count: count + outcome.weight,
            sum: mean * count + outcome.log() * outcome.weight,
            squares: squares + squared.unwrap_or(0.0),
            deviations: deviations + f64::from(u8::from(squared.is_some())),
            updated_at: now,
            delay_s: (outcome.seconds - outcome.usual * outcome.slowness).max(0.0),
        };
    }

    /// Adds outcomes of other gateways.
    pub fn add(&mut self, other: &Self, now: Duration) {
        let newest = self.updated_at.max(other.updated_at);
        let ((count, mean), (more, other_mean)) = (self.mean(newest), other.mean(newest));
        if more == 0.0 {
            return;
        }
        let (squares, deviations) = self.deviations(newest);
        let (more_squares, more_deviations) = other.deviations(newest);
        let is_newer = other.updated_at >= self.updated_at;
        *self = Self {
            count: count + more,
            sum: mean * count + other_mean * more,
            squares: squares + more_squares,
            deviations: deviations + more_deviations,
            updated_at: newest.min(now),
            delay_s: if is_newer {
                other.delay_s
            } else {
                self.delay_s
            },
        };
    }

    /// Converts the message of another process.
    #[must_use]
    pub fn from_report(report: &TargetSpeed, now: Duration) -> Self {
        let outcomes = f64::from(report.outcomes);
        let mean = f64::from(report.mean_log);
        if !(outcomes.is_finite() && mean.is_finite() && outcomes > 0.0) {
            return Self::default();
        }
        let age = Duration::from_millis(report.age_ms);
        // The message has the weights at the time of sending.
        let growth = 1.0 / decay(age, HALF_LIFE).max(f64::MIN_POSITIVE);
        let valid = |value: f32| {
            let value = f64::from(value) * growth;
            if value.is_finite() {
                value.max(0.0)
            } else {
                0.0
            }
        };
        let count = valid(report.outcomes);
        Self {
            count,
            sum: mean.clamp(MIN_LOG, MAX_LOG) * count,
            squares: valid(report.squares),
            deviations: valid(report.deviations),
            updated_at: now.saturating_sub(age),
            delay_s: f64::from(report.delay_ms) / 1000.0,
        }
    }

    /// Converts to a message to another process.
    #[must_use]
    pub fn report(&self, target: &TargetName, address: u64, now: Duration) -> TargetSpeed {
        let (count, mean) = self.mean(now);
        let (squares, deviations) = self.deviations(now);
        let age = self.age(now).unwrap_or_default();
        TargetSpeed {
            target: target.clone(),
            address,
            outcomes: count as f32,
            mean_log: mean as f32,
            squares: squares as f32,
            deviations: deviations as f32,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            delay_ms: (self.delay_s * 1000.0) as u32,
        }
    }
}

/// How much the speeds of a service's targets differ.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    mean: f64,
    /// Outcomes after which a target's own outcomes count as much as the mean of all targets.
    prior: f64,
    /// Ratio of the upper to the lower decile of the slowness; 1 if it is unknown.
    pub ratio: f64,
    /// Slowness halfway between the deciles.
    pub midpoint: f64,
    /// Successive estimates above the ratio.
    confirmations: u32,
    /// Whether the choice of a target takes the speeds into account.
    pub is_uneven: bool,
}

impl Spread {
    /// Estimates how much targets differ beyond the variation of single outcomes.
    #[must_use]
    pub fn update(&self, speeds: &[Speed], now: Duration) -> Self {
        let mut next = Self {
            prior: f64::INFINITY,
            ratio: 1.0,
            midpoint: 1.0,
            ..Self::default()
        };
        let (mut squares, mut deviations) = (0.0, 0.0);
        for speed in speeds {
            let (more, count) = speed.deviations(now);
            (squares, deviations) = (squares + more, deviations + count);
        }
        // Variance of the outcomes of one target.
        let within = squares / deviations.max(1.0);
        let means: Vec<(f64, f64)> = speeds.iter().map(|speed| speed.mean(now)).collect();
        let known = || means.iter().filter(|(count, _)| *count > 0.0);
        let total: f64 = known().map(|(count, _)| count).sum();
        let targets = known().count() as f64;
        let squares: f64 = known().map(|(count, _)| count * count).sum();
        let scale = total - squares / total.max(f64::MIN_POSITIVE);
        if targets < 2.0 || deviations < MIN_DEVIATIONS || scale <= 0.0 {
            return next;
        }
        let overall = known().map(|(count, mean)| count * mean).sum::<f64>() / total;
        let distances = known().map(|(count, mean)| count * (mean - overall).powi(2));
        let excess = distances.sum::<f64>() - (targets - 1.0) * within;
        let between = excess / scale;
        if between <= 0.0 {
            return next;
        }
        // Standard error of the estimate for these targets.
        let chance = 2.0 * (targets - 1.0) * within.powi(2) + 4.0 * within * excess;
        let error = chance.sqrt() / scale;
        next.prior = within / between;
        // Fast targets have more outcomes, which must not shift what counts as usual.
        let weights = || known().map(|(count, mean)| (count.min(1.0), mean));
        let sum: f64 = weights().map(|(weight, mean)| weight * mean).sum();
        next.mean = sum / weights().map(|(weight, _)| weight).sum::<f64>();
        let mut speeds: Vec<f64> = means.iter().map(|it| next.slowness(*it)).collect();
        speeds.sort_by(f64::total_cmp);
        let decile = |part: f64| speeds[((speeds.len() - 1) as f64 * part).round() as usize];
        let (lower, upper) = (decile(0.1), decile(0.9));
        next.ratio = upper / lower;
        next.midpoint = (upper * lower).sqrt();
        // The variance within targets may be higher than it was estimated from a few deviations.
        let within_error = within * (2.0 / deviations).sqrt() * (targets - 1.0) / scale;
        let sure = (between - SIGNIFICANCE * (error + within_error)).max(0.0);
        let sure = sure.sqrt();
        let sure_ratio = (DECILES * sure).exp();
        if self.is_uneven {
            next.is_uneven = next.ratio > EVEN_RATIO;
        } else if next.ratio.min(sure_ratio) > UNEVEN_RATIO {
            next.confirmations = self.confirmations + 1;
            next.is_uneven = next.confirmations >= MIN_CONFIRMATIONS;
        }
        next
    }

    /// The time that a target takes relative to the usual time. Targets with few outcomes are taken
    /// to be closer to the mean.
    #[must_use]
    pub fn slowness(&self, (count, mean): (f64, f64)) -> f64 {
        if count <= 0.0 || !self.prior.is_finite() {
            return 1.0;
        }
        ((mean - self.mean) * count / (count + self.prior)).exp()
    }
}
