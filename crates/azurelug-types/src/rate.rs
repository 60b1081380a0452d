//! Rates of requests.

use std::fmt;

use crate::key;

key! {
    /// A rate in thousandths of a request a second; greater than 0 and at most [`Rate::MAX`].
    pub struct Rate(u32);
}

impl Rate {
    /// The highest rate: a million requests a second.
    pub const MAX: Self = Self(1_000_000_000);

    /// Lowest rate: one request in ten seconds. A target that accepts less is asked that often,
    /// because only an answer shows that its limit has ended.
    pub const MIN: Self = Self(100);

    /// Converts requests a second; returns none if the number is negative or not a number.
    /// Others are clamped to the range from [`Rate::MIN`] to [`Rate::MAX`].
    #[must_use]
    pub fn from_per_second(rate: f64) -> Option<Self> {
        if rate.is_nan() || rate < 0.0 {
            return None;
        }
        let thousandths = (rate * 1000.0).clamp(f64::from(Self::MIN.0), f64::from(Self::MAX.0));
        Some(Self(thousandths as u32))
    }

    /// Multiplies the rate by a positive factor, within the range from [`Rate::MIN`] to
    /// [`Rate::MAX`].
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self::from_per_second(self.per_second() * factor).unwrap_or(self)
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}
