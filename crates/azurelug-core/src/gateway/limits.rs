//! Limits that targets name for the requests from all gateways together.

use std::time::Duration;

use azurelug_types::deployment::LimitNotice;
use azurelug_types::rate::Rate;

/// What a gateway knows of one target's limit.
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
}
