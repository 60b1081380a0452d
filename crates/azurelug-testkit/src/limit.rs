//! Checks a target's limit against the requests that it received.
//!
//! A target may name a limit for the requests of all gateways together. In any span of
//! [`WINDOW`], it may then get [`FACTOR`] times what the limit allows and [`EXTRA`] requests more,
//! counted over the gateways that have passed on an answer with the limit.

use std::collections::HashMap;
use std::time::Duration;

use crate::outage::Outages;

/// Span over which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Factor on what the limit allows in a window.
pub const FACTOR: f64 = 1.5;

/// Requests in a window beyond the limit.
pub const EXTRA: f64 = 5.0;

/// Time from the first answer with a limit until windows are checked.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Time from the answer that a gateway passed on until its requests count.
pub const NOTICE: Duration = Duration::from_millis(500);

/// The events at one target. All times count from the same moment.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The limits in requests a second, and since when; none if there is none.
    limits: Vec<(Duration, Option<f64>)>,
    /// When each gateway first passed on an answer with the limit in force.
    told: HashMap<String, Duration>,
    /// Spans in which the requests of a gateway don't count.
    excused: Outages,
    arrivals: Vec<(Duration, String)>,
}

/// A window with too many requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Start of the window.
    pub start: Duration,
    /// Requests in the window.
    pub count: usize,
    /// Highest number that is allowed.
    pub allowed: usize,
    /// Requests by gateway.
    pub gateways: Vec<(String, usize)>,
}

impl Ledger {
    /// Records that the target names another limit, in requests a second, or none, from `at` on.
    pub fn set_limit(&mut self, rate: Option<f64>, at: Duration) {
        if self.current().is_none() || rate.is_none() {
            self.told.clear();
        }
        self.limits.push((at, rate));
    }

    fn current(&self) -> Option<f64> {
        self.limits.last().and_then(|(_, rate)| *rate)
    }

    /// Records an answer with a limit that a client received from a gateway.
    pub fn record_told(&mut self, gateway: &str, at: Duration) {
        if self.current().is_some() {
            self.told.entry(gateway.to_owned()).or_insert(at);
        }
    }

    /// Excludes a gateway's requests, because it was killed, frozen or cut off.
    pub fn excuse(&mut self, gateway: &str, from: Duration, until: Duration) {
        self.excused.record(gateway, from, until);
    }

    /// Records that a gateway has lost what it knew of the limit.
    pub fn forget(&mut self, gateway: &str) {
        self.told.remove(gateway);
    }

    /// Records that all gateways have lost what they knew of the limit, because the target has
    /// started again.
    pub fn forget_all(&mut self) {
        self.told.clear();
    }

    /// Records a request from a gateway. Requests of gateways that don't know the limit are allowed.
    pub fn record_arrival(&mut self, gateway: &str, at: Duration) {
        let told = self.told.get(gateway);
        if told.is_some_and(|told| *told + NOTICE <= at) {
            self.arrivals.push((at, gateway.to_owned()));
        }
    }

    /// Number of recorded requests of gateways that knew the limit, in a span.
    #[must_use]
    pub fn count(&self, from: Duration, until: Duration) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(|(at, _)| (from..until).contains(at))
            .count()
    }

    /// The windows with too many requests, each start of a window once.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let Some((first, _)) = self.limits.iter().find(|(_, rate)| rate.is_some()) else {
            return Vec::new();
        };
        let starts = self.arrivals.iter().map(|(at, _)| *at);
        let starts = starts.filter(|at| *at >= *first + CONTACT);
        starts.filter_map(|start| self.check(start)).collect()
    }

    fn check(&self, start: Duration) -> Option<Violation> {
        let end = start + WINDOW;
        let rate = self.highest_limit(start.saturating_sub(CONTACT), end)?;
        let mut gateways: HashMap<&str, usize> = HashMap::new();
        for (at, gateway) in &self.arrivals {
            if (start..end).contains(at) && !self.excused.covers(gateway, *at) {
                *gateways.entry(gateway).or_default() += 1;
            }
        }
        let count = gateways.values().sum();
        let allowed = (FACTOR * rate * WINDOW.as_secs_f64() + EXTRA) as usize;
        let mut gateways: Vec<(String, usize)> = gateways
            .into_iter()
            .map(|(name, count)| (name.to_owned(), count))
            .collect();
        gateways.sort();
        (count > allowed).then_some(Violation {
            start,
            count,
            allowed,
            gateways,
        })
    }

    /// The highest limit in force in a span. None if there was none for a part of it.
    fn highest_limit(&self, from: Duration, until: Duration) -> Option<f64> {
        let before = self.limits.iter().rev().find(|(at, _)| *at <= from);
        let within = self.limits.iter();
        let within = within.filter(|(at, _)| (from..until).contains(at));
        let rates: Vec<Option<f64>> = before.into_iter().chain(within).map(|it| it.1).collect();
        let rates: Option<Vec<f64>> = rates.into_iter().collect();
        rates?.into_iter().reduce(f64::max)
    }
}
