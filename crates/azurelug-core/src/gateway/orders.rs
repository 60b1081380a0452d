//! Operator commands for a deployment, as stored in the replicated state.
//!
//! The document with the highest version is in force. A repeated command, or one that is older than
//! the state, changes nothing.

use std::collections::BTreeSet;
use std::sync::Arc;

use azurelug_types::id::ZoneName;
use serde::{Deserialize, Serialize};

use super::rollout::state::{self, Rollouts};
use super::versions::{self, Registry};

/// One operator command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Puts a configuration document in force if its version is the highest so far.
    Configure {
        /// The document's version.
        version: u64,
        /// The document as it was received.
        document: Arc<[u8]>,
    },
    /// Drains a zone, or ends its drain.
    Drain {
        /// The zone to change.
        zone: ZoneName,
        /// Whether the zone is drained: its targets get no new work.
        drained: bool,
    },
    /// Changes a roll-out, or the versions that may get requests.
    Rollout(state::Command),
    /// Changes the versions at which streams may begin.
    Versions(versions::Change),
}

/// A document and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version number set by the operators.
    pub version: u64,
    /// The document as it was received.
    pub bytes: Arc<[u8]>,
}

/// The state that results from all applied commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    sequence: u64,
    document: Option<Document>,
    drained: BTreeSet<ZoneName>,
    /// Shared, because the state is copied for each answer to a gateway.
    rollouts: Arc<Rollouts>,
    /// Shared for the same reason.
    versions: Arc<Registry>,
}

/// The state in the releases that had no versions of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersV2 {
    sequence: u64,
    document: Option<Document>,
    drained: BTreeSet<ZoneName>,
    rollouts: Arc<Rollouts>,
}

impl From<OrdersV2> for Orders {
    fn from(second: OrdersV2) -> Self {
        Self {
            sequence: second.sequence,
            document: second.document,
            drained: second.drained,
            rollouts: second.rollouts,
            versions: Arc::default(),
        }
    }
}

/// The state in the releases that had no roll-outs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersV1 {
    sequence: u64,
    document: Option<Document>,
    drained: BTreeSet<ZoneName>,
}

impl From<OrdersV1> for Orders {
    fn from(first: OrdersV1) -> Self {
        Self {
            sequence: first.sequence,
            document: first.document,
            drained: first.drained,
            rollouts: Arc::default(),
            versions: Arc::default(),
        }
    }
}

impl Orders {
    /// Applies a committed command. Returns the outcome of one on roll-outs.
    pub fn apply(&mut self, order: Order) -> Option<state::Outcome> {
        let mut outcome = None;
        let has_changed = match order {
            Order::Rollout(command) => {
                let (applied, has_changed) = Arc::make_mut(&mut self.rollouts).apply(command);
                outcome = Some(applied);
                has_changed
            }
            Order::Versions(change) => Arc::make_mut(&mut self.versions).apply(change),
            Order::Configure { version, document } => self.configure(version, document),
            Order::Drain {
                zone,
                drained: true,
            } => self.drained.insert(zone),
            Order::Drain {
                zone,
                drained: false,
            } => self.drained.remove(&zone),
        };
        self.sequence += u64::from(has_changed);
        outcome
    }

    fn configure(&mut self, version: u64, bytes: Arc<[u8]>) -> bool {
        let is_newer = self
            .document
            .as_ref()
            .is_none_or(|current| version > current.version);
        if is_newer {
            self.document = Some(Document { version, bytes });
        }
        is_newer
    }

    /// Counts the commands that changed the state.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The drained zones.
    #[must_use]
    pub fn drained(&self) -> &BTreeSet<ZoneName> {
        &self.drained
    }

    /// The roll-outs and the versions of services.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// The versions at which streams may begin.
    #[must_use]
    pub fn versions(&self) -> &Registry {
        &self.versions
    }
}
