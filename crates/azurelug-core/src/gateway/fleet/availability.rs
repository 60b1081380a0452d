//! How much a target may get from this gateway now.

use std::time::Duration;

use azurelug_types::id::ServiceName;

use super::{Bounds, Fleet, Key, TargetState};
use crate::gateway::rendezvous;

/// Overcommit factor for a target's slots, over all gateways. Above 1, because gateways rarely use
/// their full share at the same time, and a target can queue a few requests.
const SLOT_OVERCOMMIT: f64 = 1.5;

/// Minimum concurrency limit of a gateway at one target.
const MIN_CONCURRENCY: u32 = 2;

/// Fraction of a cold target's rate and limit that is used, because requests of many gateways
/// bunch.
const RATE_FRACTION: f64 = 0.85;

/// Burst size of a gateway at a warm target, regardless of its share of the rate. With hundreds of
/// gateways that share is one request in ten seconds, and the second request for a prompt prefix
/// would have another target process the prefix again.
const WARM_BURST: usize = 2;

impl Fleet {
    /// Returns this gateway's part of the slots of a service's targets.
    #[must_use]
    pub fn slots(&self, service: &ServiceName, bounds: &Bounds, now: Duration) -> f64 {
        let keys = self.usable_keys(service).into_iter();
        let records = keys.map(|key| &self.records[key.0 as usize]);
        let working = records.filter(|record| record.health.excluded_until(now).is_none());
        let slots = working.map(|record| bounds.slots.unwrap_or(record.target.slots));
        f64::from(slots.sum::<u32>()) / bounds.gateways.max(1) as f64
    }

    /// Returns the time until which a target gets nothing: it is excluded, closed or rate limited.
    pub(super) fn blocked_until(
        &self,
        record: &TargetState,
        bounds: &Bounds,
        now: Duration,
    ) -> Option<Duration> {
        if record.closed_until > now {
            return Some(record.closed_until);
        }
        if let Some(until) = record.health.excluded_until(now) {
            return Some(until);
        }
        if let Some(until) = record.denied_until(now) {
            return Some(until);
        }
        if bounds.cold_rate <= 0.0 {
            return None;
        }
        // A target can become cold at any time, so the limit also applies to warm targets.
        let rate = if record.cold_until > now {
            bounds.cold_rate
        } else {
            bounds.cold_limit
        };
        let share = rate * RATE_FRACTION / bounds.gateways.max(1) as f64;
        if record.cold_until > now && share < 1.0 {
            return self
                .not_selected_until(record, share, now)
                .or_else(|| record.rate_limit.blocked_until(1.0, 1, now));
        }
        record.rate_limit.blocked_until(share, WARM_BURST, now)
    }

    /// Returns the time until which this gateway is not selected to send to a cold target. One
    /// request from each of hundreds of gateways would overload it, so a pseudorandom fraction of
    /// the gateways is selected in each second.
    pub(super) fn not_selected_until(
        &self,
        record: &TargetState,
        share: f64,
        now: Duration,
    ) -> Option<Duration> {
        let second = now.as_secs();
        let draw = rendezvous::uniform(&(self.seed, second), &record.target.name);
        (draw >= share).then(|| Duration::from_secs(second + 1))
    }

    pub(super) fn is_cold(&self, key: Key, now: Duration) -> bool {
        self.records[key.0 as usize].cold_until > now
    }
}

/// Returns the concurrency limit of this gateway at a target.
pub(super) fn concurrency_limit(record: &TargetState, bounds: &Bounds) -> u32 {
    let slots = bounds.slots.unwrap_or(record.target.slots).max(1);
    let share = f64::from(slots) * SLOT_OVERCOMMIT / bounds.gateways.max(1) as f64;
    (share.ceil() as u32)
        .max(MIN_CONCURRENCY)
        .min(slots.max(MIN_CONCURRENCY))
}
