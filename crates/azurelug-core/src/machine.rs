//! The replicated state machine: configuration, at-most-once records and deployment orders.
//!
//! Every control daemon applies the same committed commands in the same order and reaches the same
//! state. The state machine reads no clock; commands contain the time on the leader's clock.

use std::sync::Arc;

use azurelug_coordination::once;
use azurelug_types::config::Config;
use azurelug_types::id::Version;
use azurelug_types::patch::{Answer, Patch};
use serde::{Deserialize, Serialize};

use crate::configuration::Store;
use crate::configuration::past::ReplacedValues;
use crate::gateway::orders::{Order, Orders, OrdersV1, OrdersV2};
use crate::gateway::rollout::state as rollout;

/// A committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's patch.
    Patch {
        /// The patch.
        patch: Box<Patch>,
        /// See [`crate::configuration::digest`].
        digest: [u8; 32],
        /// The receiving daemon's wall clock in milliseconds since 1970.
        at_ms: u64,
    },
    /// A command on the at-most-once records.
    Once(once::Command),
    /// An operator's order about the deployment.
    Deployment(Order),
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer to a patch.
    Patch(Answer),
    /// The outcome of a command on the at-most-once records.
    Once(once::Outcome),
    /// The deployment order, or a newer one, is in force.
    Deployment,
    /// The outcome of a command on roll-outs.
    Rollout(rollout::Outcome),
}

/// The replicated state machine.
#[derive(Clone, Debug)]
pub struct Machine {
    store: Store,
    once: once::Table,
    past: ReplacedValues,
    orders: Orders,
}

/// The whole state in serializable form. New fields are added at the end: an earlier release reads
/// the fields it knows and ignores the bytes that follow.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    store: Store,
    once: Vec<u8>,
    past: ReplacedValues,
    orders: Orders,
}

/// A snapshot of the releases that had no versions of streams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotV4 {
    store: Store,
    once: Vec<u8>,
    past: ReplacedValues,
    orders: OrdersV2,
}

impl From<SnapshotV4> for Snapshot {
    fn from(fourth: SnapshotV4) -> Self {
        Self {
            store: fourth.store,
            once: fourth.once,
            past: fourth.past,
            orders: fourth.orders.into(),
        }
    }
}

/// A snapshot of the releases that had no roll-outs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotV3 {
    store: Store,
    once: Vec<u8>,
    past: ReplacedValues,
    orders: OrdersV1,
}

impl From<SnapshotV3> for Snapshot {
    fn from(third: SnapshotV3) -> Self {
        Self {
            store: third.store,
            once: third.once,
            past: third.past,
            orders: third.orders.into(),
        }
    }
}

/// A snapshot of the second release, which had no deployment orders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotV2 {
    store: Store,
    once: Vec<u8>,
    past: ReplacedValues,
}

impl From<SnapshotV2> for Snapshot {
    fn from(second: SnapshotV2) -> Self {
        Self {
            store: second.store,
            once: second.once,
            past: second.past,
            orders: Orders::default(),
        }
    }
}

/// A snapshot of the first release, which kept no earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotV1 {
    store: Store,
    once: Vec<u8>,
}

impl From<SnapshotV1> for Snapshot {
    fn from(first: SnapshotV1) -> Self {
        Self {
            store: first.store,
            once: first.once,
            past: ReplacedValues::default(),
            orders: Orders::default(),
        }
    }
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            store: Store::default(),
            once: once::Table::new(once::Limits::default()),
            past: ReplacedValues::default(),
            orders: Orders::default(),
        }
    }
}

impl Machine {
    /// Applies one committed command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Patch {
                patch,
                digest,
                at_ms,
            } => Outcome::Patch(self.patch(&patch, digest, at_ms)),
            Command::Once(command) => Outcome::Once(self.once.apply(command)),
            Command::Deployment(order) => {
                let outcome = self.orders.apply(order);
                outcome.map_or(Outcome::Deployment, Outcome::Rollout)
            }
        }
    }

    fn patch(&mut self, patch: &Patch, digest: [u8; 32], at_ms: u64) -> Answer {
        let before = Arc::clone(self.store.config());
        let answer = self.store.apply(patch, digest, at_ms);
        // A resent patch gets its first answer and changes nothing.
        if self.store.config().version > before.version {
            self.past.record(&before, &patch.changes);
        }
        answer
    }

    /// Returns the configuration of a version that is current or still in the history.
    ///
    /// # Errors
    /// The oldest version in the history, if the requested one is not available.
    pub fn version(&self, version: Version) -> Result<Config, Version> {
        let current = self.store.config();
        let rebuilt = self.past.rebuild(current, version);
        rebuilt.ok_or_else(|| self.past.oldest(current.version))
    }

    /// The configuration and its history.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The operators' orders about the deployment.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// The at-most-once records.
    pub fn once(&self) -> &once::Table {
        &self.once
    }

    /// A copy without at-most-once records, to find out what a command on the rest would change.
    #[must_use]
    pub fn without_once(&self) -> Self {
        Self {
            store: self.store.clone(),
            once: once::Table::new(once::Limits::default()),
            past: self.past.clone(),
            orders: self.orders.clone(),
        }
    }

    /// Creates a snapshot of the whole state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            store: self.store.clone(),
            once: self.once.snapshot(),
            past: self.past.clone(),
            orders: self.orders.clone(),
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// If the at-most-once records in it do not decode.
    pub fn restore(snapshot: Snapshot) -> Result<Self, once::RestoreError> {
        Ok(Self {
            store: snapshot.store,
            once: once::Table::restore(&snapshot.once)?,
            past: snapshot.past,
            orders: snapshot.orders,
        })
    }
}
