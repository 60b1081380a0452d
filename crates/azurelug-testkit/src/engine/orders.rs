//! Orders to load and unload models and to change the role, with or without fencing.
//!
//! Holds the loaded models, the role and the highest fencing number. Orders are never reordered.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::Settings;

/// Maximum number of accepted orders that are retained.
const MAX_HISTORY: usize = 1_024;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// `load`, `unload` or `role`.
    pub order: String,
    /// Model string for `load` and `unload`.
    #[serde(default)]
    pub model: Option<String>,
    /// New role for `role`.
    #[serde(default)]
    pub role: Option<String>,
    /// Fencing number of the sender.
    pub fencing: u64,
}

/// An accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// The order as received.
    #[serde(flatten)]
    pub order: Order,
    /// When it was accepted, in milliseconds since the engine started.
    pub at_ms: u64,
}

/// The response to `GET /v1/state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Loaded model strings.
    pub loaded: BTreeSet<String>,
    /// Current role.
    pub role: String,
    /// The highest fencing number of an accepted order.
    pub fencing: u64,
    /// Accepted orders, oldest first.
    pub history: VecDeque<AcceptedOrder>,
}

/// Why an order was rejected.
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

    /// Accepts an order and applies it, except for the load of a model, which ends with
    /// [`Self::mark_loaded`]. Orders with the current fencing number are accepted, because one
    /// leader sends many.
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
        if self.state.history.len() == MAX_HISTORY {
            self.state.history.pop_front();
        }
        let order = order.clone();
        self.state.history.push_back(AcceptedOrder { order, at_ms });
        Ok(())
    }

    /// Marks a model as loaded.
    pub(super) fn mark_loaded(&mut self, model: &str) {
        self.state.loaded.insert(model.to_owned());
    }
}
