//! The limits that targets name, and the requests that they got from each gateway.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_testkit::limit::{CONTACT, Ledger, Violation};
use azurelug_types::rate::Rate;
use tokio::time::Instant;

#[derive(Default)]
struct State {
    ledgers: HashMap<String, Ledger>,
    /// The gateway that each request was sent to by its client.
    gateways: HashMap<String, usize>,
    /// Gateways under a fault, and since when.
    faulty: HashMap<usize, Duration>,
}

/// Records the requests to targets that name limits.
pub struct Limits {
    epoch: Instant,
    state: Mutex<State>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            epoch: Instant::now(),
            state: Mutex::default(),
        }
    }
}

impl Limits {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Records that a target names another limit, or none, from now on.
    pub fn set_limit(&self, target: &str, limit: Option<Rate>) {
        let now = self.now();
        let mut state = self.state();
        let ledger = state.ledgers.entry(target.to_owned()).or_default();
        ledger.set_limit(limit.map(Rate::per_second), now);
    }

    /// Records the gateway that a client sends a request to.
    pub fn record_sent(&self, id: &str, gateway: usize) {
        self.state().gateways.insert(id.to_owned(), gateway);
    }

    /// The gateway that a request was sent to by its client.
    pub fn gateway(&self, id: &str) -> Option<usize> {
        self.state().gateways.get(id).copied()
    }

    /// Records that a client has received an answer which names the target's limit.
    pub fn record_told(&self, target: &str, gateway: usize) {
        let now = self.now();
        let mut state = self.state();
        if state.faulty.contains_key(&gateway) {
            return;
        }
        let target = target_of(target);
        if let Some(ledger) = state.ledgers.get_mut(target) {
            ledger.record_told(&name(gateway), now);
        }
    }

    /// Records that a target has crashed. No gateway knows the limit of its next lifetime.
    pub fn record_crash(&self, target: &str) {
        if let Some(ledger) = self.state().ledgers.get_mut(target) {
            ledger.forget_all();
        }
    }

    /// Records a client's request that has arrived at a target.
    pub fn record_arrival(&self, target: &str, id: &str) {
        let now = self.now();
        let mut state = self.state();
        let Some(gateway) = state.gateways.get(id).copied() else {
            return;
        };
        if let Some(ledger) = state.ledgers.get_mut(target) {
            ledger.record_arrival(&name(gateway), now);
        }
    }

    /// Records a call that runs pieces or releases results. It doesn't show which gateway sent it.
    pub fn record_call(&self, target: &str) {
        let now = self.now();
        let mut state = self.state();
        if let Some(ledger) = state.ledgers.get_mut(target) {
            ledger.record_arrival(ANY_GATEWAY, now);
            ledger.record_told(ANY_GATEWAY, now);
        }
    }

    /// Records that a gateway is killed, stopped or frozen.
    pub fn start_fault(&self, gateway: usize) {
        let now = self.now();
        self.state().faulty.insert(gateway, now);
    }

    /// Records the end of a gateway's fault. Its requests don't count from the start of the fault
    /// until it is in contact again, and then not before it has passed on another answer.
    pub fn end_fault(&self, gateway: usize) {
        let now = self.now();
        let mut state = self.state();
        let Some(start) = state.faulty.remove(&gateway) else {
            return;
        };
        for ledger in state.ledgers.values_mut() {
            ledger.excuse(&name(gateway), start, now + CONTACT);
            ledger.forget(&name(gateway));
        }
    }

    /// The windows in which a target got too many requests, as text.
    pub fn violations(&self) -> Vec<String> {
        let mut state = self.state();
        let faulty = std::mem::take(&mut state.faulty);
        for (gateway, start) in faulty {
            for ledger in state.ledgers.values_mut() {
                ledger.excuse(&name(gateway), start, Duration::MAX);
            }
        }
        let ledgers = state.ledgers.iter();
        // The first window of each target tells enough.
        let first = ledgers.filter_map(|(target, ledger)| {
            let violation = ledger.violations().into_iter().next()?;
            Some(describe(target, &violation))
        });
        first.collect()
    }

    /// Number of requests of informed gateways that a target got in a span.
    pub fn count(&self, target: &str, from: Duration, until: Duration) -> usize {
        let state = self.state();
        let ledger = state.ledgers.get(target);
        ledger.map_or(0, |ledger| ledger.count(from, until))
    }
}

/// Stands for the gateways that send calls.
const ANY_GATEWAY: &str = "any gateway";

/// The target of a name on the platform's list: a restarted target adds a suffix to its name.
fn target_of(id: &str) -> &str {
    id.split('.').next().unwrap_or(id)
}

fn name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}

fn describe(target: &str, violation: &Violation) -> String {
    let Violation {
        start,
        count,
        allowed,
        gateways,
    } = violation;
    format!(
        "{target} got {count} requests in 4 s from {start:?} on, {allowed} are allowed by its limit: \
         {gateways:?}"
    )
}
