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
const USED_PART: f64 = 0.7;

/// One gateway's share of the allowance.
struct Part {
    /// Capacity of the token bucket.
    most: f64,
    /// Tokens added during one window.
    inflow: f64,
}

/// Token bucket for retries of requests to one service.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: f64,
    refilled: Option<Duration>,
}

impl Budget {
    /// Records a first attempt.
    pub fn earn(&mut self, allowance: &Allowance, gateways: usize, now: Duration) {
        self.refill(allowance, gateways, now);
        let most = part(allowance, gateways).most.max(1.0);
        // Tokens above the capacity would allow a burst beyond the bound of a later window.
        self.tokens = (self.tokens + allowance.ratio * USED_PART).min(most);
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
        let Part { most, inflow } = part(allowance, gateways);
        let Some(refilled) = self.refilled.replace(now) else {
            self.tokens = most;
            return;
        };
        let passed = now.saturating_sub(refilled).as_secs_f64() / allowance.window.as_secs_f64();
        if self.tokens < most {
            self.tokens = (self.tokens + inflow * passed).min(most);
        }
    }
}

/// Splits a gateway's share into bucket capacity and inflow, because a window can spend a full
/// bucket and the inflow. With hundreds of gateways, half of a share is less than one token, which
/// permits no retry, so the capacity is a whole token if the share has one.
fn part(allowance: &Allowance, gateways: usize) -> Part {
    let whole = allowance.extra * USED_PART / gateways.max(1) as f64;
    let most = (whole / 2.0).max(whole.min(1.0));
    Part {
        most,
        inflow: whole - most,
    }
}
