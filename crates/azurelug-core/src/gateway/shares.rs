//! Fair sharing of targets between client accounts, where capacity is short.
//!
//! Load pattern: one account sends ten times its usual load. Admission by value alone would refuse
//! requests of all accounts alike. Capacity is shared by max-min fairness instead: accounts that ask
//! for less than an equal part get all of it, and what they leave is divided equally between the
//! others.

use std::time::Duration;

/// Part of its share above which an account gets work admitted only by value, and the additional
/// part for its work of the highest value. The average is 1.
const BASE_PART: f64 = 0.75;
const VALUE_PART: f64 = 0.5;

/// Accounts that are remembered; configurations have a few dozen.
const MAX_ACCOUNTS: usize = 256;

/// Target time of one account in the averaging window, in seconds.
#[derive(Clone, Copy, Debug)]
struct Use {
    account: u64,
    asked: f64,
    used: f64,
    updated_at: Duration,
}

impl Use {
    fn decay(&mut self, window: Duration, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / window.as_secs_f64()).exp();
        self.asked *= factor;
        self.used *= factor;
        self.updated_at = now;
    }
}

/// Use and shares of the accounts; without effect unless it is enabled.
#[derive(Debug)]
pub(super) struct Shares {
    is_enabled: bool,
    /// Averaging window for what accounts ask for and get.
    window: Duration,
    /// Fraction of the targets' time that is shared.
    fraction: f64,
    uses: Vec<Use>,
}

impl Shares {
    pub(super) fn new(window: Duration, fraction: f64) -> Self {
        Self {
            is_enabled: false,
            window,
            fraction,
            uses: Vec::new(),
        }
    }

    pub(super) fn enable(&mut self) {
        self.is_enabled = true;
    }

    /// Records that an account asks for work of a value from 0 to 1. Returns the value with which
    /// the work competes for capacity, or none if it is refused because the account has its share.
    /// `rate` is the target time available in a second, in seconds.
    pub(super) fn ask(
        &mut self,
        account: u64,
        work: Duration,
        value: f64,
        rate: f64,
        now: Duration,
    ) -> Option<f64> {
        if !self.is_enabled {
            return Some(value);
        }
        let own = self.entry(account, now);
        own.asked += work.as_secs_f64();
        let used = own.used + work.as_secs_f64();
        let Some(share) = self.share(rate, now) else {
            return Some(value);
        };
        let allowed = share * (BASE_PART + VALUE_PART * value.clamp(0.0, 1.0));
        if used > allowed {
            return None;
        }
        // Capacity that other accounts were promised beyond their shares doesn't count against it.
        let is_protected = used <= share * BASE_PART;
        Some(if is_protected { 1.0 } else { value })
    }

    /// Records that an account asks for work. Returns the part of what it asks for that it may get,
    /// from 0 to 1.
    pub(super) fn part(&mut self, account: u64, work: Duration, rate: f64, now: Duration) -> f64 {
        let own = self.entry(account, now);
        own.asked += work.as_secs_f64();
        let asked = own.asked;
        let share = self.share(rate, now);
        share.map_or(1.0, |share| (share / asked).min(1.0))
    }

    /// Records that work of an account was admitted.
    pub(super) fn admit(&mut self, account: u64, work: Duration, now: Duration) {
        if self.is_enabled {
            self.entry(account, now).used += work.as_secs_f64();
        }
    }

    /// Records that admitted work of an account was cancelled before it ran.
    pub(super) fn refund(&mut self, account: u64, work: Duration) {
        let own = self.uses.iter_mut().find(|it| it.account == account);
        if let Some(own) = own {
            own.used = (own.used - work.as_secs_f64()).max(0.0);
        }
    }

    /// Target time in the averaging window that an account may use; none if there is enough for
    /// all.
    pub(super) fn share(&mut self, rate: f64, now: Duration) -> Option<f64> {
        for entry in &mut self.uses {
            entry.decay(self.window, now);
        }
        let mut asked: Vec<f64> = self.uses.iter().map(|it| it.asked).collect();
        asked.sort_by(f64::total_cmp);
        let mut left = rate * self.window.as_secs_f64() * self.fraction;
        let count = asked.len();
        for (position, asked) in asked.into_iter().enumerate() {
            let part = left / (count - position) as f64;
            if asked > part {
                return Some(part);
            }
            left -= asked;
        }
        None
    }

    fn entry(&mut self, account: u64, now: Duration) -> &mut Use {
        let position = self.uses.iter().position(|it| it.account == account);
        let position = position.unwrap_or_else(|| {
            if self.uses.len() >= MAX_ACCOUNTS {
                self.remove_least(now);
            }
            self.uses.push(Use {
                account,
                asked: 0.0,
                used: 0.0,
                updated_at: now,
            });
            self.uses.len() - 1
        });
        let entry = &mut self.uses[position];
        entry.decay(self.window, now);
        entry
    }

    fn remove_least(&mut self, now: Duration) {
        for entry in &mut self.uses {
            entry.decay(self.window, now);
        }
        let entries = self.uses.iter().enumerate();
        let least = entries.min_by(|(_, a), (_, b)| a.asked.total_cmp(&b.asked));
        if let Some((position, _)) = least {
            self.uses.swap_remove(position);
        }
    }
}
