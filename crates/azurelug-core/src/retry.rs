//! Decides whether a failed call is tried again and whether a slow one is hedged.
//!
//! Owns the budgets of one stage. Never repeats a call that must not repeat, and never lets
//! repeated calls exceed their part of the successful ones.

use std::time::Duration;

use azurelug_types::key;

/// A retry costs this many successes: 10% of the successful calls.
const RETRY_COST: u32 = 10;
/// A hedge costs this many successes: 2% of the successful calls.
const HEDGE_COST: u32 = 50;
/// Repetitions that may be saved up. Small, because a burst of retries hits a stage that has just
/// begun to fail.
const MAX_SAVED: u32 = 20;
/// Retries that a stage without history may make.
const INITIAL_RETRIES: u32 = 3;
/// Attempts at one stage of one request, the first one included.
const MAX_ATTEMPTS: u16 = 3;

key! {
    /// A failed call.
    pub struct Failure {
        /// Whether a repeated call has the same effect as one call.
        pub idempotent: bool,
        /// Attempts made so far, 1 or more.
        pub attempts: u16,
        /// What is left of the request's deadline.
        pub remaining: Duration,
        /// The least time that the rest of the request is expected to take.
        pub needed: Duration,
    }

    /// A call that has not answered yet.
    pub struct Slow {
        /// Whether a repeated call has the same effect as one call.
        pub idempotent: bool,
        /// Whether the stage delivers tokens.
        pub has_tokens: bool,
        /// Time since it was sent.
        pub waited: Duration,
        /// The stage's measured p95.
        pub p95: Duration,
    }

    /// Why a call is not repeated.
    #[serde(rename_all = "snake_case")]
    pub enum Denied {
        /// It must not repeat.
        NotIdempotent,
        /// It has tokens, which would arrive twice.
        HasTokens,
        /// It is not late yet.
        TooEarly,
        /// It was tried often enough.
        Attempts,
        /// There is not enough time left for another attempt to succeed.
        Deadline,
        /// The budget is used up.
        Budget,
    }
}

/// The budgets of one stage.
#[derive(Clone, Debug)]
pub struct Budget {
    retry: u32,
    hedge: u32,
    retries: u64,
    hedges: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            retry: INITIAL_RETRIES * RETRY_COST,
            hedge: 0,
            retries: 0,
            hedges: 0,
        }
    }
}

impl Budget {
    /// A call of the stage has succeeded.
    pub fn success(&mut self) {
        self.retry = (self.retry + 1).min(MAX_SAVED * RETRY_COST);
        self.hedge = (self.hedge + 1).min(MAX_SAVED * HEDGE_COST);
    }

    /// Takes a retry from the budget, or tells why there is none.
    pub fn retry(&mut self, failure: Failure) -> Result<(), Denied> {
        if !failure.idempotent {
            return Err(Denied::NotIdempotent);
        }
        if failure.attempts >= MAX_ATTEMPTS {
            return Err(Denied::Attempts);
        }
        if failure.remaining < failure.needed || failure.remaining.is_zero() {
            return Err(Denied::Deadline);
        }
        self.retry = self.retry.checked_sub(RETRY_COST).ok_or(Denied::Budget)?;
        self.retries += 1;
        Ok(())
    }

    /// Takes a hedge from the budget, or tells why there is none.
    pub fn hedge(&mut self, slow: Slow) -> Result<(), Denied> {
        if !slow.idempotent {
            return Err(Denied::NotIdempotent);
        }
        if slow.has_tokens {
            return Err(Denied::HasTokens);
        }
        if slow.waited < slow.p95 {
            return Err(Denied::TooEarly);
        }
        self.hedge = self.hedge.checked_sub(HEDGE_COST).ok_or(Denied::Budget)?;
        self.hedges += 1;
        Ok(())
    }

    /// Retries and hedges granted so far, for metrics.
    #[must_use]
    pub fn granted(&self) -> (u64, u64) {
        (self.retries, self.hedges)
    }
}
