//! This gateway's share of the retry budget.
//!
//! Load pattern: targets fail or answer late under high traffic, and every retry adds load at that
//! time. The bound applies to all gateways together in any window, so each gateway receives an
//! equal share of the fixed allowance and earns the rest by its own first attempts.

use std::time::Duration;

/// Retries that all gateways together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// The window in which the bound applies.
    pub window: Duration,
    /// Retries in each window in addition to the ratio, for all gateways together.
    pub extra: f64,
}

/// Fraction of the allowance that is distributed. The rest covers gateways that have just started
/// and retries near the edge of a window.
const DISTRIBUTED_FRACTION: f64 = 0.7;

/// One gateway's share of the allowance.
struct Bucket {
    /// Capacity of the token bucket.
    capacity: f64,
    /// Tokens added during one window.
    inflow: f64,
}

/// Token bucket for retries of requests to one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: f64,
    last_refill: Option<Duration>,
}

impl Budget {
    /// Records a first attempt.
    pub fn earn(&mut self, allowance: &Allowance, gateways: usize, now: Duration) {
        self.refill(allowance, gateways, now);
        let capacity = bucket(allowance, gateways).capacity.max(1.0);
        // Tokens above the capacity would allow a burst beyond the bound of a later window.
        self.tokens = (self.tokens + allowance.ratio * DISTRIBUTED_FRACTION).min(capacity);
    }

    /// Consumes a token for one retry; returns false if the budget is exhausted.
    pub fn take(&mut self, allowance: &Allowance, gateways: usize, now: Duration) -> bool {
        self.refill(allowance, gateways, now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    fn refill(&mut self, allowance: &Allowance, gateways: usize, now: Duration) {
        let Bucket { capacity, inflow } = bucket(allowance, gateways);
        let Some(last_refill) = self.last_refill.replace(now) else {
            self.tokens = capacity;
            return;
        };
        let passed = now.saturating_sub(last_refill).as_secs_f64() / allowance.window.as_secs_f64();
        if self.tokens < capacity {
            self.tokens = (self.tokens + inflow * passed).min(capacity);
        }
    }
}

/// Splits a gateway's share into bucket capacity and inflow, because a window can spend a full
/// bucket and the inflow. With hundreds of gateways, half of a share is less than one token, which
/// permits no retry, so the capacity is a whole token if the share has one.
fn bucket(allowance: &Allowance, gateways: usize) -> Bucket {
    let share = allowance.extra * DISTRIBUTED_FRACTION / gateways.max(1) as f64;
    let capacity = (share / 2.0).max(share.min(1.0));
    Bucket {
        capacity,
        inflow: share - capacity,
    }
}
