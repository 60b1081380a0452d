//! A token rate that several holders share under leases.
//!
//! [`Grantor`] runs on the leader and divides the rate; [`Holder`] spends
//! tokens. Over any interval the holders together spend at most
//! `per_second * (interval + window)` tokens, regardless of lost messages and of
//! changes of leader. A holder must never spend tokens that it accumulated before
//! its lease expired, because another holder may have received its share since.

use std::time::Duration;

use crate::lease::{DRIFT_PERCENT, Identity, drift_safe_wait};
use crate::share::{self, Answer, Capacity, Limits, Request, Timing};

/// The rate is divided as the limit of a single target.
const TARGET: u32 = 0;

/// A limit on tokens, such as requests or kilobytes of a weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Tokens per second.
    pub per_second: u32,
    /// Longest time for which a holder accumulates unused tokens.
    pub window: Duration,
}

impl Rate {
    /// Tokens per second to divide. Fewer than `per_second`, because a holder whose clock runs fast
    /// accumulates its tokens faster.
    pub fn grantable_per_second(self) -> u32 {
        let limit = u64::from(self.per_second) * 100 / (100 + u64::from(DRIFT_PERCENT));
        u32::try_from(limit).expect("the divided rate is below the whole rate")
    }
}

/// Times that all grantors and holders of a rate must agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Length of a holder's lease.
    pub term: Duration,
    /// Length of the lease under which a leader may act as leader.
    pub leader_lease: Duration,
}

impl LeaseTimes {
    fn timing(self) -> Timing {
        Timing {
            term: self.term,
            longest_call: Duration::ZERO,
        }
    }
}

/// Divides the rate while its process is the leader.
#[derive(Debug)]
pub struct Grantor {
    shares: share::Grantor,
}

impl Grantor {
    /// A grantor for a newly elected leader. It grants nothing until the earlier
    /// leader can no longer answer and the leases of its last answers have ended.
    /// `epoch` is the leader's term.
    pub fn new(
        now: Duration,
        epoch: u64,
        rate: Rate,
        lease_times: LeaseTimes,
        limits: Limits,
    ) -> Self {
        let mut shares = share::Grantor::new(now, epoch, lease_times.timing(), limits);
        shares.open_after(now + drift_safe_wait(lease_times.term + lease_times.leader_lease));
        let limit = rate.grantable_per_second();
        shares.set_capacity(
            TARGET,
            Capacity {
                limit,
                cold: 0,
                base: 0,
            },
        );
        Self { shares }
    }

    /// Answers a renewal. `leads_until` is the end of the leader lease on the
    /// grantor's clock, counted from the moment the leader sent the messages
    /// that a majority has acknowledged; after it there is no answer.
    pub fn request(
        &mut self,
        now: Duration,
        leads_until: Duration,
        request: &Request,
    ) -> Option<Answer> {
        if now >= leads_until {
            return None;
        }
        self.shares.request(now, request, &mut Vec::new())
    }

    /// Tokens per second that holders may be spending.
    pub fn exposed(&self) -> u64 {
        self.shares.exposed(TARGET)
    }
}

/// Spends its share of the rate.
#[derive(Debug)]
pub struct Holder {
    shares: share::Holder,
    window: Duration,
    /// Accumulated tokens, in billionths.
    accrued: u128,
    accrued_at: Duration,
}

const BILLION: u128 = 1_000_000_000;

impl Holder {
    /// A holder without tokens.
    pub fn new(now: Duration, identity: Identity, rate: Rate, lease_times: LeaseTimes) -> Self {
        Self {
            shares: share::Holder::new(now, identity, lease_times.timing()),
            window: rate.window,
            accrued: 0,
            accrued_at: now,
        }
    }

    /// Sets how many tokens per second the holder could use.
    pub fn set_demand(&mut self, per_second: u32) {
        self.shares.set_demand(TARGET, per_second);
    }

    /// The next renewal; send it at once.
    pub fn request(&mut self, now: Duration) -> Request {
        self.shares.request(now)
    }

    /// Applies an answer.
    pub fn answer(&mut self, now: Duration, answer: &Answer) {
        self.accrue(now);
        self.shares.answer(answer);
    }

    /// Spends tokens if there are enough. Call it immediately before the use, with
    /// a fresh clock reading.
    #[must_use]
    pub fn spend(&mut self, now: Duration, tokens: u32) -> bool {
        let is_enough = self.has_tokens(now, tokens);
        if is_enough {
            self.accrued -= u128::from(tokens) * BILLION;
        }
        is_enough
    }

    /// Whether there are enough tokens now. This reserves none for a later use.
    pub fn has_tokens(&mut self, now: Duration, tokens: u32) -> bool {
        self.accrue(now);
        self.accrued >= u128::from(tokens) * BILLION
    }

    fn max_accrued(&self, now: Duration) -> u128 {
        u128::from(self.shares.allowed(now, TARGET)) * self.window.as_nanos()
    }

    /// Adds the tokens accumulated since the last call, or drops all tokens if the
    /// lease has ended.
    fn accrue(&mut self, now: Duration) {
        let earned = u128::from(self.shares.allowed(now, TARGET))
            * now.saturating_sub(self.accrued_at).as_nanos();
        self.accrued = (self.accrued + earned).min(self.max_accrued(now));
        self.accrued_at = now;
    }
}
