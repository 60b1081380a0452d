//! Orders to load and unload models and to change the role, with or without fencing.
//!
//! Owns the loaded models, the role and the highest fencing number. It never reorders orders.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::Settings;

/// Accepted orders that are kept.
const HISTORY: usize = 1_024;

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// `load`, `unload` or `role`.
    pub order: String,
    /// Model string of `load` and `unload`.
    #[serde(default)]
    pub model: Option<String>,
    /// New role of `role`.
    #[serde(default)]
    pub role: Option<String>,
    /// Fencing number of whoever gives the order.
    pub fencing: u64,
}

/// An accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// Milliseconds since the engine started.
    pub at_ms: u64,
}

/// The answer to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Loaded model strings.
    pub loaded: BTreeSet<String>,
    /// The role.
    pub role: String,
    /// The highest fencing number of an accepted order.
    pub fencing: u64,
    /// Accepted orders, the oldest first.
    pub history: VecDeque<Accepted>,
}

/// Why an order is not accepted.
pub(super) enum Rejection {
    Fenced { current: u64 },
    Malformed,
}

pub(super) struct Orders {
    state: State,
    ignores_fencing: bool,
}

impl Orders {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            state: State {
                loaded: settings.models.iter().cloned().collect(),
                role: settings.role.clone(),
                fencing: 0,
                history: VecDeque::new(),
            },
            ignores_fencing: settings.ignores_fencing,
        }
    }

    pub(super) fn is_loaded(&self, model: &str) -> bool {
        self.state.loaded.contains(model)
    }

    pub(super) fn state(&self) -> State {
        self.state.clone()
    }

    /// Accepts an order, and carries it out unless it loads a model. Orders with the current
    /// fencing number are accepted, because one leader gives many.
    pub(super) fn accept(&mut self, order: &Order, at_ms: u64) -> Result<(), Rejection> {
        if order.fencing < self.state.fencing && !self.ignores_fencing {
            let current = self.state.fencing;
            return Err(Rejection::Fenced { current });
        }
        match (order.order.as_str(), &order.model, &order.role) {
            ("load", Some(_), _) => {}
            ("unload", Some(model), _) => {
                self.state.loaded.remove(model);
            }
            ("role", _, Some(role)) => self.state.role.clone_from(role),
            _ => return Err(Rejection::Malformed),
        }
        self.state.fencing = self.state.fencing.max(order.fencing);
        if self.state.history.len() == HISTORY {
            self.state.history.pop_front();
        }
        let order = order.clone();
        self.state.history.push_back(Accepted { order, at_ms });
        Ok(())
    }

    /// A model's weights have arrived.
    pub(super) fn loaded(&mut self, model: &str) {
        self.state.loaded.insert(model.to_owned());
    }
}
