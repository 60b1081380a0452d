//! This gateway's part of the budget for repeated requests.
//!
//! Load pattern: targets fail or answer late while traffic is high, and every repeat adds load just
//! then. The bound holds over all gateways together in any window, so each one gets an equal part of
//! the fixed allowance and earns the rest with its own first requests.

use std::time::Duration;

/// What all gateways together may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each first request.
    pub ratio: f64,
    /// The window over which the bound counts.
    pub window: Duration,
    /// Repeats in each window beyond the ratio, over all gateways.
    pub extra: f64,
}

/// Part of the allowance that is handed out. The rest covers gateways that have just started and
/// repeats near the edge of a window.
const USED_PART: f64 = 0.7;

/// What one gateway gets of the allowance.
struct Part {
    /// The most tokens that it holds.
    most: f64,
    /// Tokens that flow in during a window.
    inflow: f64,
}

/// Tokens for repeats of one service's requests.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: f64,
    refilled: Option<Duration>,
}

impl Budget {
    /// Notes a first request.
    pub fn earn(&mut self, allowance: &Allowance, gateways: usize, now: Duration) {
        self.refill(allowance, gateways, now);
        let most = part(allowance, gateways).most.max(1.0);
        // Tokens earned above the cap would allow a burst that a later window can't cover.
        self.tokens = (self.tokens + allowance.ratio * USED_PART).min(most);
    }

    /// Takes a token for one repeat; false if the budget is used up.
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

/// A window can hold a full bucket and what flows in meanwhile. Among hundreds of gateways the half
/// of a part is less than one token, with which nothing can be repeated, so a bucket holds a whole
/// one as long as the part does.
fn part(allowance: &Allowance, gateways: usize) -> Part {
    let whole = allowance.extra * USED_PART / gateways.max(1) as f64;
    let most = (whole / 2.0).max(whole.min(1.0));
    Part {
        most,
        inflow: whole - most,
    }
}
