//! Operator commands for a deployment, as stored in the replicated state.
//!
//! The document with the highest version is in force. A repeated command, or one that is older than
//! the state, changes nothing.

use std::collections::BTreeSet;
use std::sync::Arc;

use azurelug_types::id::ZoneName;
use serde::{Deserialize, Serialize};

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
}

impl Orders {
    /// Applies a committed command.
    pub fn apply(&mut self, order: Order) {
        let has_changed = match order {
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
}
