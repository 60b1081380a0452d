//! Decides whether a failed call is retried and whether a slow one is hedged.
//!
//! Keeps the retry and hedge budgets of one stage. Calls that are not idempotent are never
//! repeated, and repeated calls never exceed a fixed percentage of the successful ones.

use std::time::Duration;

use azurelug_types::key;

/// Successful calls needed for one retry: retries are at most 10% of the successful calls.
const SUCCESSES_PER_RETRY: u32 = 10;
/// Successful calls needed for one hedge: hedges are at most 2% of the successful calls.
const SUCCESSES_PER_HEDGE: u32 = 50;
/// Maximum number of unused retries or hedges in a budget. Small, because a burst of retries hits a
/// stage that has just begun to fail.
const MAX_SAVED_REPEATS: u32 = 20;
/// Retries in the initial budget, before any call has succeeded.
const INITIAL_RETRIES: u32 = 3;
/// Maximum number of attempts at one stage of one request, including the first.
const MAX_ATTEMPTS: u16 = 3;

key! {
    /// A failed call.
    pub struct FailedCall {
        /// Whether a repeated call has the same effect as one call.
        pub idempotent: bool,
        /// Attempts made so far, at least 1.
        pub attempts: u16,
        /// Time until the request's deadline.
        pub remaining: Duration,
        /// Minimum time that the rest of the request is expected to take.
        pub needed: Duration,
    }

    /// A call that has not answered yet.
    pub struct SlowCall {
        /// Whether a repeated call has the same effect as one call.
        pub idempotent: bool,
        /// Whether the stage streams tokens.
        pub has_tokens: bool,
        /// Time since it was sent.
        pub waited: Duration,
        /// The stage's measured p95.
        pub p95: Duration,
    }

    /// Why a call is not repeated.
    #[serde(rename_all = "snake_case")]
    pub enum Denied {
        /// It is not idempotent.
        NotIdempotent,
        /// It streams tokens, which would arrive twice.
        HasTokens,
        /// It is not late yet.
        TooEarly,
        /// The maximum number of attempts is reached.
        Attempts,
        /// The remaining time is too short for another attempt.
        Deadline,
        /// The budget is exhausted.
        Budget,
    }
}

/// The retry and hedge budgets of one stage.
#[derive(Clone, Debug)]
pub struct Budget {
    retry_credit: u32,
    hedge_credit: u32,
    retries: u64,
    hedges: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            retry_credit: INITIAL_RETRIES * SUCCESSES_PER_RETRY,
            hedge_credit: 0,
            retries: 0,
            hedges: 0,
        }
    }
}

impl Budget {
    /// Adds a successful call of the stage to both budgets.
    pub fn success(&mut self) {
        self.retry_credit = (self.retry_credit + 1).min(MAX_SAVED_REPEATS * SUCCESSES_PER_RETRY);
        self.hedge_credit = (self.hedge_credit + 1).min(MAX_SAVED_REPEATS * SUCCESSES_PER_HEDGE);
    }

    /// Takes a retry from the budget, or returns why the call is not retried.
    pub fn retry(&mut self, failure: FailedCall) -> Result<(), Denied> {
        if !failure.idempotent {
            return Err(Denied::NotIdempotent);
        }
        if failure.attempts >= MAX_ATTEMPTS {
            return Err(Denied::Attempts);
        }
        if failure.remaining < failure.needed || failure.remaining.is_zero() {
            return Err(Denied::Deadline);
        }
        self.retry_credit = self
            .retry_credit
            .checked_sub(SUCCESSES_PER_RETRY)
            .ok_or(Denied::Budget)?;
        self.retries += 1;
        Ok(())
    }

    /// Takes a hedge from the budget, or returns why the call is not hedged.
    pub fn hedge(&mut self, slow: SlowCall) -> Result<(), Denied> {
        if !slow.idempotent {
            return Err(Denied::NotIdempotent);
        }
        if slow.has_tokens {
            return Err(Denied::HasTokens);
        }
        if slow.waited < slow.p95 {
            return Err(Denied::TooEarly);
        }
        self.hedge_credit = self
            .hedge_credit
            .checked_sub(SUCCESSES_PER_HEDGE)
            .ok_or(Denied::Budget)?;
        self.hedges += 1;
        Ok(())
    }

    /// Retries and hedges granted so far, for metrics.
    #[must_use]
    pub fn granted(&self) -> (u64, u64) {
        (self.retries, self.hedges)
    }
}
