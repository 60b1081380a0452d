//! The time that requests of a service take at a target of usual speed: a recursive least-squares
//! fit to the outcomes.

use super::{FEATURES, Features};

/// Weight of an outcome relative to the next one. The fit follows the last 500 outcomes, so that it
/// adapts when the mix of requests changes, and single outcomes have little influence.
const FORGETTING: f64 = 0.998;

/// Initial variance of the coefficients in square seconds per unit: far above what is possible, so
/// that the first outcomes determine them.
const INITIAL_VARIANCE: f64 = 10.0;

/// Upper bound of the sum of variances. Quantities that are always 0 would raise it without end.
const MAX_VARIANCE: f64 = 4.0 * INITIAL_VARIANCE;

/// Outcomes after which the fit is used; three for each coefficient.
const MIN_SAMPLES: u32 = 12;

/// Lowest expected time in seconds: about a round trip between zones.
const MIN_EXPECTED_S: f64 = 0.002;

/// Largest deviation from the expected time that one outcome counts with, as a multiple of the
/// expected time. Outcomes of stalled targets would distort the fit.
const MAX_DEVIATION: f64 = 3.0;

/// The fit for one service.
#[derive(Clone, Debug)]
pub struct Model {
    coefficients: [f64; FEATURES],
    covariance: [[f64; FEATURES]; FEATURES],
    samples: u32,
}

impl Default for Model {
    fn default() -> Self {
        let mut covariance = [[0.0; FEATURES]; FEATURES];
        for (position, row) in covariance.iter_mut().enumerate() {
            row[position] = INITIAL_VARIANCE;
        }
        Self {
            coefficients: [0.0; FEATURES],
            covariance,
            samples: 0,
        }
    }
}

impl Model {
    /// Whether enough outcomes are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// The expected time in seconds at a target of usual speed.
    #[must_use]
    pub fn expected(&self, features: &Features) -> f64 {
        // More work never takes less time; a negative coefficient is noise.
        let terms = self.coefficients.iter().zip(features.0);
        let sum: f64 = terms.map(|(weight, value)| weight.max(0.0) * value).sum();
        sum.max(MIN_EXPECTED_S)
    }

    /// How certain the expected time is, up to 1: the ratio of the time with the likely cached tokens
    /// in the cache to the time without.
    #[must_use]
    pub fn certainty(&self, features: &Features) -> f64 {
        let (cached, read) = features.cached_and_read();
        self.expected(&cached) / self.expected(&read)
    }

    /// Corrects the fit by the time that a request took, converted to a target of usual speed.
    pub fn learn(&mut self, features: &Features, seconds: f64) {
        let expected = if self.is_ready() {
            self.expected(features)
        } else {
            seconds.max(MIN_EXPECTED_S)
        };
        let seconds = seconds.min(expected * (1.0 + MAX_DEVIATION));
        // Relative errors count, because long requests vary more than short ones.
        let scaled = features.0.map(|value| value / expected);
        let predicted = dot(&self.coefficients, &scaled);
        let error = seconds / expected - predicted;
        let spread: [f64; FEATURES] =
            std::array::from_fn(|row| dot(&self.covariance[row], &scaled));
        let divisor = FORGETTING + dot(&scaled, &spread);
        let variance: f64 = (0..FEATURES).map(|at| self.covariance[at][at]).sum();
        let growth = if variance < MAX_VARIANCE {
            1.0 / FORGETTING
        } else {
            1.0
        };
        for row in 0..FEATURES {
            self.coefficients[row] += spread[row] / divisor * error;
            for column in 0..FEATURES {
                let reduced = self.covariance[row][column] - spread[row] * spread[column] / divisor;
                self.covariance[row][column] = reduced * growth;
            }
        }
        self.samples = self.samples.saturating_add(1);
    }
}

fn dot(left: &[f64; FEATURES], right: &[f64; FEATURES]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}
