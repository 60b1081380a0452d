//! The state of the engines and their orders, for operators.

use std::collections::BTreeSet;
use std::time::Duration;

use azurelug_coordination::orders::{EngineStatus, Order, OrderResult, Waiting};
use azurelug_types::id::TargetName;
use serde::Serialize;

use super::{Engine, EngineCatalog, Engines};

/// The state of the engines as this daemon knows it, or as it was when the daemon last led.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Whether this daemon holds the leader lease.
    leads: bool,
    /// The fencing number of its orders.
    fencing: Option<u64>,
    engines: Vec<EngineRow>,
}

/// The state of one engine.
#[derive(Debug, Serialize)]
struct EngineRow {
    target: TargetName,
    number: u32,
    desired: ModelsAndRole,
    /// As last read; none if it was not read in this term.
    actual: Option<ModelsAndRole>,
    read_ms_ago: Option<u128>,
    last_order: Option<LastOrder>,
    /// Failed reads, and orders without effect, in a row.
    misses: u32,
    /// Why it gets no order at present.
    waiting: &'static str,
}

#[derive(Debug, Serialize)]
struct ModelsAndRole {
    loaded: BTreeSet<String>,
    role: String,
}

#[derive(Debug, Serialize)]
struct LastOrder {
    order: String,
    sent_ms_ago: u128,
    end: &'static str,
}

impl Engines {
    /// The state of all engines.
    pub fn report(&self) -> Report {
        let now = self.started.elapsed();
        let inner = self.lock();
        let Some(orders) = &inner.orders else {
            return Report {
                leads: false,
                fencing: None,
                engines: Vec::new(),
            };
        };
        let leads = now < self.leads_until(orders.term());
        let engine_row = |row: EngineStatus<EngineCatalog>| {
            Some(engine_row(inner.targets.get(&row.engine)?, row, now))
        };
        Report {
            leads,
            fencing: Some(orders.term()),
            engines: orders.engine_statuses(now).filter_map(engine_row).collect(),
        }
    }
}

fn engine_row(engine: &Engine, row: EngineStatus<EngineCatalog>, now: Duration) -> EngineRow {
    let ago = |at: Duration| now.saturating_sub(at).as_millis();
    EngineRow {
        target: engine.name.clone(),
        number: row.engine,
        desired: ModelsAndRole {
            loaded: engine.desired.loaded.clone(),
            role: engine.desired.role.clone(),
        },
        actual: row.state.map(|state| ModelsAndRole {
            loaded: state.loaded,
            role: state.role,
        }),
        read_ms_ago: row.read_at.map(ago),
        last_order: row.last.map(|(order, sent_at, end)| LastOrder {
            order: order_text(&order),
            sent_ms_ago: ago(sent_at),
            end: match end {
                None => "running",
                Some(OrderResult::Done) => "done",
                Some(OrderResult::Refused) => "refused",
                Some(OrderResult::Unanswered) => "unanswered",
            },
        }),
        misses: row.misses,
        waiting: match row.waiting {
            Waiting::Nothing => "as desired",
            Waiting::EarlierLeader => "the lease of an earlier leader",
            Waiting::Read => "its state",
            Waiting::Running => "the running order",
            Waiting::Unanswered => "an order without an answer",
            Waiting::StoreRate => "the weight store's rate",
            Waiting::OrderLimit => "orders to other engines",
            Waiting::Retry => "the next attempt",
        },
    }
}

/// An order as logs and reports show it.
pub(super) fn order_text(order: &Order<EngineCatalog>) -> String {
    match order {
        Order::Load(model) => format!("load {model}"),
        Order::Role(role) => format!("role {role}"),
        Order::Unload(model) => format!("unload {model}"),
    }
}
