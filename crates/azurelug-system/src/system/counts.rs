//! What the targets of a zone have done, read from their own counters.

use super::System;

impl System {
    /// Calls that the engines and the service of a zone have started.
    pub fn started(&self, zone: usize) -> u64 {
        let engines = self.zones[zone].engines.values();
        let calls = engines.map(|engine| engine.counts().started);
        calls.sum::<u64>() + self.booked(zone)
    }

    /// Bookings that the replica of a zone has executed.
    pub fn booked(&self, zone: usize) -> u64 {
        let executions = self.zones[zone].stock.executions();
        executions.operations.values().sum()
    }

    /// Waits until an entry daemon is in a lease mode.
    ///
    /// # Panics
    /// If it is not in time.
    pub async fn wait_mode(&self, zone: usize, mode: &str) {
        self.wait_state(zone, |state| state["mode"] == mode).await;
    }
}
