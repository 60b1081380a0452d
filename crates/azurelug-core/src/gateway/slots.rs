//! Fair sharing of the slots of engines and plain services between client accounts.
//!
//! Load pattern: one account sends ten times its usual requests to a service whose targets run a few
//! requests at a time. Targets that are full refuse requests of all accounts alike. While they do, a
//! gateway refuses a part of the requests of accounts beyond their max-min share before they are
//! sent. Each gateway decides by itself, with an equal part of the slots.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::id::ServiceName;

use super::shares::Shares;

/// Averaging window for what accounts ask for. A gateway of a large deployment sees a few requests
/// of a service in a second; in a shorter window, chance decides who is beyond its share.
const WINDOW: Duration = Duration::from_secs(60);

/// Fraction of the slots' time that accounts share. Requests that arrive at random find all slots
/// taken long before the slots are in use all the time.
const SHARED_FRACTION: f64 = 0.8;

/// Standard deviations of the requests in a window, if they arrive at random, by which they may
/// exceed the fraction.
const TOLERANCE: f64 = 1.0;

/// Least part of the window that counts as seen. The first requests tell little of the shares.
const MIN_SEEN: f64 = 0.1;

/// Time for which slots count as short after a request found none.
const SHORTAGE: Duration = Duration::from_secs(10);

/// Weight of a request in the average of the durations.
const DURATION_WEIGHT: f64 = 0.1;

/// Services that are remembered; configurations add and remove services by the hundred.
const MAX_SERVICES: usize = 512;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Hash of the account's name.
    pub account: u64,
    /// A random number from 0 to 1.
    pub draw: f64,
    /// This gateway's part of the slots of the service.
    pub slots: f64,
}

/// A request beyond the share of its account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Part of the account's requests that get a slot, from 0 to 1.
    pub part: f64,
}

/// What is known of the slots of a service, for a state dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Average time for which a request takes a slot.
    pub duration: Duration,
    /// Time for which the slots still count as short; zero if they don't.
    pub remaining: Duration,
}

#[derive(Debug)]
struct Service {
    shares: Shares,
    /// Average time for which a request takes a slot; zero until one has ended.
    duration: Duration,
    short_until: Duration,
    seen_since: Duration,
}

impl Service {
    fn new(now: Duration) -> Self {
        Self {
            shares: Shares::new(WINDOW, SHARED_FRACTION),
            duration: Duration::ZERO,
            short_until: Duration::ZERO,
            seen_since: now,
        }
    }

    /// The slots with which the requests in the window are compared.
    fn available(&self, slots: f64, now: Duration) -> f64 {
        let age = now.saturating_sub(self.seen_since).as_secs_f64();
        let window = WINDOW.as_secs_f64();
        let seen = (1.0 - (-age / window).exp()).max(MIN_SEEN);
        let requests = slots * seen * window / self.duration.as_secs_f64();
        slots * seen * (1.0 + TOLERANCE / requests.sqrt().max(1.0))
    }
}

/// Requests for the slots of all services by account; without effect unless it is enabled.
#[derive(Debug, Default)]
pub struct Ledger {
    is_enabled: bool,
    services: HashMap<ServiceName, Service>,
}

impl Ledger {
    /// Creates a ledger that shares slots if `is_enabled`.
    #[must_use]
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            services: HashMap::new(),
        }
    }

    /// Records that a request wants a slot.
    ///
    /// # Errors
    /// Slots are short, and the request is beyond the share of its account.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        request: Request,
        now: Duration,
    ) -> Result<(), Refused> {
        if !self.is_enabled {
            return Ok(());
        }
        let service = self.service(service, now);
        let work = service.duration;
        if work.is_zero() {
            return Ok(());
        }
        let available = service.available(request.slots, now);
        let part = service.shares.part(request.account, work, available, now);
        if request.draw < part || service.short_until <= now {
            Ok(())
        } else {
            Err(Refused { part })
        }
    }

    /// Returns the services whose slots were used, for a state dump.
    pub fn shortages(&self, now: Duration) -> impl Iterator<Item = (&ServiceName, Shortage)> {
        self.services.iter().map(move |(name, service)| {
            let shortage = Shortage {
                duration: service.duration,
                remaining: service.short_until.saturating_sub(now),
            };
            (name, shortage)
        })
    }

    /// Records that a request found no free slot.
    pub fn record_shortage(&mut self, service: &ServiceName, now: Duration) {
        if self.is_enabled {
            self.service(service, now).short_until = now + SHORTAGE;
        }
    }

    /// Records for how long a request took a slot.
    pub fn record_duration(&mut self, service: &ServiceName, duration: Duration, now: Duration) {
        if !self.is_enabled {
            return;
        }
        let average = &mut self.service(service, now).duration;
        *average = if average.is_zero() {
            duration
        } else {
            average.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT)
        };
    }

    fn service(&mut self, name: &ServiceName, now: Duration) -> &mut Service {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(name) {
            self.services.clear();
        }
        let service = self.services.entry(name.clone());
        service.or_insert_with(|| Service::new(now))
    }
}
