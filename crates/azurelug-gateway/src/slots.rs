//! Shares of client accounts in the slots of engines and plain services.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::slots::{Ledger, Request, Shortage};
use azurelug_platform::contracts::Features;
use azurelug_types::id::{AccountName, ServiceName};

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

    /// The services whose slots were used, for the state dump; empty if slots are not shared.
    pub fn shortages(&self, now: Duration) -> Vec<(ServiceName, Shortage)> {
        let ledger = self.ledger();
        let shortages = ledger.shortages(now);
        shortages.map(|(name, it)| (name.clone(), it)).collect()
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
    let now = gateway.now();
    let admitted = gateway.slots.ledger().admit(&service.name, request, now);
    if let Err(refused) = admitted {
        gateway.metrics.record_share_refusal(service.name.as_str());
        log::info!(
            "gateway: request {}: beyond the share of its account; account={} service={} slots={:.2} \
             part={:.2}",
            exchange.id,
            exchange.account.as_ref().map_or("-", AccountName::as_str),
            service.name,
            request.slots,
            refused.part,
        );
    }
    admitted.is_ok()
}
