//! What a member recovers from its disk.

use std::time::Duration;

use azurelug_coordination::raft::{self, Node, NodeOptions, RecoveredState};
use azurelug_core::machine::{Machine, SnapshotV1, SnapshotV2, SnapshotV3, SnapshotV4};
use azurelug_wire::codec;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::Error;

/// A member of the log and the replicated state, as recovered from the disk.
pub(super) struct RecoveredMember {
    pub(super) node: Node,
    pub(super) machine: Machine,
    pub(super) has_snapshot: bool,
    /// Size of the state in the snapshot.
    pub(super) state_bytes: usize,
}

impl RecoveredMember {
    pub(super) fn new(
        settings: &raft::Settings,
        recovered: RecoveredState,
        now: Duration,
    ) -> Result<Self, Error> {
        let snapshot = recovered.snapshot.as_ref();
        let machine = match snapshot {
            Some(snapshot) => decode_machine(&snapshot.data)?,
            None => Machine::default(),
        };
        let state_bytes = snapshot.map_or(0, |it| it.data.len());
        let has_snapshot = snapshot.is_some_and(|it| it.position.index > 0);
        let start = NodeOptions {
            settings: settings.clone(),
            recovered,
            random: Pcg64::seed_from_u64(rand::random()),
        };
        Ok(Self {
            node: Node::new(start, now)?,
            machine,
            has_snapshot,
            state_bytes,
        })
    }
}

/// Decodes the replicated state from a snapshot's data.
///
/// # Errors
/// The data were not written by this release or an earlier one.
pub fn decode_machine(data: &[u8]) -> Result<Machine, Error> {
    if data.is_empty() {
        return Ok(Machine::default());
    }
    // The fallbacks decode snapshots on disk or of a leader that an earlier release wrote.
    let state = codec::decode_unlimited(data).or_else(|error| {
        let fourth = codec::decode_unlimited::<SnapshotV4>(data).map(Into::into);
        let third = || codec::decode_unlimited::<SnapshotV3>(data).map(Into::into);
        let second = || codec::decode_unlimited::<SnapshotV2>(data).map(Into::into);
        let first = || codec::decode_unlimited::<SnapshotV1>(data).map(Into::into);
        let earlier = fourth.or_else(|_| third()).or_else(|_| second());
        let earlier = earlier.or_else(|_| first());
        earlier.map_err(|_| decode_error(error))
    })?;
    Machine::restore(state).map_err(decode_error)
}

pub(super) fn decode_error(error: impl std::fmt::Display) -> Error {
    Error::Decode {
        message: error.to_string(),
    }
}
