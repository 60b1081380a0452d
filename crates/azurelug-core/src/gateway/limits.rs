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

/// What a daemon knows of one target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// The limit in force; none if the target has none.
    pub rate: Option<Rate>,
    /// When the target said so last.
    pub as_of: Duration,
}

impl Knowledge {
    /// Applies an answer that arrived at `now` to a request that was sent at `sent`. Returns
    /// whether the limit has changed.
    pub fn observe(&mut self, limit: LimitNotice, sent: Duration, now: Duration) -> bool {
        let rate = match limit {
            LimitNotice::Unknown => return false,
            LimitNotice::Limited(rate) => Some(rate),
            // The target may have sent this answer before it named the limit.
            LimitNotice::Unlimited if sent < self.as_of => return false,
            LimitNotice::Unlimited => None,
        };
        let is_changed = self.rate != rate;
        // Without a limit, answers need no record.
        if is_changed || rate.is_some() {
            *self = Self { rate, as_of: now };
        }
        is_changed
    }

    /// Takes over what another daemon knows if that is newer. Returns whether the limit has
    /// changed.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.as_of <= self.as_of {
            return false;
        }
        let is_changed = self.rate != other.rate;
        *self = other;
        is_changed
    }
}
