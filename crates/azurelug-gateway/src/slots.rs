//! Shares of client accounts in the slots of engines and plain services.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::slots::{Ledger, Request};
use azurelug_platform::contracts::Features;
use azurelug_types::id::ServiceName;

use crate::exchange::Exchange;

/// Requests for slots that this gateway has seen.
#[derive(Debug)]
pub struct Slots {
    are_shared: bool,
    ledger: Mutex<Ledger>,
}

impl Slots {
    /// Slots that are shared fairly if the deployment asks for it.
    #[must_use]
    pub fn new(features: &Features) -> Self {
        Self {
            are_shared: features.fair_shares,
            ledger: Mutex::new(Ledger::new(features.fair_shares)),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }

    /// Records that a request found no free slot at a target of the service.
    pub fn record_shortage(&self, service: &ServiceName, now: Duration) {
        self.ledger().record_shortage(service, now);
    }

    /// Records for how long a request took a slot.
    pub fn record_duration(&self, service: &ServiceName, duration: Duration, now: Duration) {
        self.ledger().record_duration(service, duration, now);
    }
}

/// Whether a request may compete for a slot; false if slots are short and it is beyond the share of
/// its account.
pub fn admit(exchange: &Exchange) -> bool {
    let gateway = &exchange.gateway;
    let service = &exchange.service;
    if !gateway.slots.are_shared {
        return true;
    }
    let request = Request {
        account: exchange.account_hash(),
        draw: rand::random(),
        slots: gateway.slots_of(service),
    };
    let is_admitted = gateway
        .slots
        .ledger()
        .admit(&service.name, request, gateway.now());
    if !is_admitted {
        gateway.metrics.record_share_refusal(service.name.as_str());
        log::info!(
            "gateway: request {}: beyond the share of its account; service={} slots={:.2}",
            exchange.id,
            service.name,
            request.slots,
        );
    }
    is_admitted
}
