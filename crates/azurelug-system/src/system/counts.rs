//! Counters of the targets of a zone, and waiting for a lease mode.

use super::System;

impl System {
    /// Number of calls that the engines and the service replica of a zone have started.
    pub fn started_calls(&self, zone: usize) -> u64 {
        let engines = self.zones[zone].engines.values();
        let calls = engines.map(|engine| engine.counts().started);
        calls.sum::<u64>() + self.service_executions(zone)
    }

    /// Number of service operations that the replica of a zone has executed.
    pub fn service_executions(&self, zone: usize) -> u64 {
        let executions = self.zones[zone].stock.executions();
        executions.operations.values().sum()
    }

    /// Waits until an entry daemon reports the lease mode `mode`.
    ///
    /// # Panics
    /// If it does not within 30 s.
    pub async fn wait_lease_mode(&self, zone: usize, mode: &str) {
        self.wait_state(zone, |state| state["mode"] == mode).await;
    }
}
