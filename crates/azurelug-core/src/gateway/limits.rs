//! Limits that targets name for the requests from all gateways together.
//!
//! Load pattern: a target in need accepts a few requests a second, from any number of gateways. A
//! limit that is divided among the gateways vanishes or multiplies: each share is less than one
//! request in a burst, and most shares belong to gateways without requests for the target.
//! Therefore one gateway of the target's zone grants permits, on demand, from one token bucket.
//!
//! Gateways that disagree on who that is must not exceed the limit by more than a half. See
//! [`Standing::share`].

mod grantor;
mod rota;
mod stock;

use std::time::Duration;

use azurelug_types::deployment::LimitNotice;
use azurelug_types::rate::Rate;

pub use grantor::{Decision, Grantor};
pub use rota::{HANDOVER, Rota, Standing};
pub use stock::{LIFETIME, Stock};

/// Value of a daemon's clock at its start, so that it can represent reports from before its start.
pub const CLOCK_START: Duration = Duration::from_secs(3600);

/// Time from the end of a limit until requests need no permits. Until then the rate doubles every
/// second, because the target may name a limit again, and the report of the end may be outdated.
pub const RAMP_UP: Duration = Duration::from_secs(5);

/// What a daemon knows of one target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// The limit that the target named last; none if it never named one.
    pub rate: Option<Rate>,
    /// Whether the target has named no limit since then.
    pub is_ended: bool,
    /// When the target said so, by the daemon's clock; zero if it never did.
    pub as_of: Duration,
}

impl Knowledge {
    /// Time since the target said so.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.as_of)
    }

    /// The limit in force.
    #[must_use]
    pub fn in_force(&self) -> Option<Rate> {
        self.rate.filter(|_| !self.is_ended)
    }

    /// The rate at which permits are granted; none if requests need no permit.
    #[must_use]
    pub fn permitted(&self, now: Duration) -> Option<Rate> {
        let rate = self.rate?;
        if !self.is_ended {
            return Some(rate);
        }
        let age = self.age(now);
        (age < RAMP_UP).then(|| rate.scaled(age.as_secs_f64().exp2()))
    }

    /// Applies an answer that arrived at `now` to a request that was sent at `sent`. Returns
    /// whether the limit has changed.
    pub fn observe(&mut self, limit: LimitNotice, sent: Duration, now: Duration) -> bool {
        let before = (self.rate, self.is_ended);
        match limit {
            LimitNotice::Limited(rate) => {
                *self = Self {
                    rate: Some(rate),
                    is_ended: false,
                    as_of: now,
                };
            }
            // The target may have sent an answer before it named the limit.
            LimitNotice::Unlimited if self.in_force().is_some() && sent >= self.as_of => {
                self.is_ended = true;
                self.as_of = now;
            }
            LimitNotice::Unlimited | LimitNotice::Unknown => {}
        }
        before != (self.rate, self.is_ended)
    }

    /// Takes over what another daemon knows if that is newer. Returns whether the limit has
    /// changed.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.as_of <= self.as_of {
            return false;
        }
        let is_changed = (self.rate, self.is_ended) != (other.rate, other.is_ended);
        *self = other;
        is_changed
    }
}
