//! One simulated host and its process.

use std::collections::BTreeMap;
use std::time::Duration;

use azurelug_coordination::raft::{Message, Node};

use super::Time;
use super::disk::Disk;
use super::model::StateMachine;

#[derive(Default)]
pub(crate) struct Host {
    pub(crate) disk: Disk,
    pub(crate) process: Option<Process>,
    /// Number of process starts so far.
    pub(crate) runs: u64,
    pub(crate) tick_at: Time,
    pub(crate) frozen_since: Time,
    pub(crate) frozen_until: Time,
    /// Messages that arrived while the process was frozen.
    pub(crate) backlog: Vec<Message>,
    /// The process crashes during the next write.
    pub(crate) tears_next_write: bool,
}

pub(crate) struct Process {
    pub(crate) node: Node,
    pub(crate) machine: StateMachine,
    pub(crate) started: Time,
    /// Rate of the process's clock relative to simulated time.
    pub(crate) rate: f64,
    /// Term and command of each proposal, by index.
    pub(crate) proposals: BTreeMap<u64, (u64, Vec<u8>)>,
}

impl Process {
    pub(crate) fn clock(&self, time: Time) -> Duration {
        Duration::from_nanos(((time - self.started) as f64 * 1000.0 * self.rate) as u64)
    }

    /// Simulated time at which the process's clock shows `clock`.
    pub(crate) fn real_time(&self, clock: Duration) -> Time {
        self.started + (clock.as_nanos() as f64 / 1000.0 / self.rate) as u64
    }
}
