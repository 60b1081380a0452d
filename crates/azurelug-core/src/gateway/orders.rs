//! The operators' orders about a deployment, as the replicated state holds them.
//!
//! The document of the highest version is in force. An order that is sent again, or that a newer one
//! has overtaken, changes nothing.

use std::collections::BTreeSet;
use std::sync::Arc;

use azurelug_types::id::ZoneName;
use serde::{Deserialize, Serialize};

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Puts a configuration document in force if its version is the highest so far.
    Configure {
        /// The document's version.
        version: u64,
        /// The document as it was received.
        document: Arc<[u8]>,
    },
    /// Takes a zone out of use, or back into use.
    Drain {
        /// The zone.
        zone: ZoneName,
        /// Whether its targets get no new work.
        drained: bool,
    },
}

/// A document and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The operators' number.
    pub version: u64,
    /// The document as it was received.
    pub bytes: Arc<[u8]>,
}

/// The orders in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    sequence: u64,
    document: Option<Document>,
    drained: BTreeSet<ZoneName>,
}

impl Orders {
    /// Applies a committed order.
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
            .is_none_or(|held| version > held.version);
        if is_newer {
            self.document = Some(Document { version, bytes });
        }
        is_newer
    }

    /// Rises with each order that changed something.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The zones that are out of use.
    #[must_use]
    pub fn drained(&self) -> &BTreeSet<ZoneName> {
        &self.drained
    }
}
