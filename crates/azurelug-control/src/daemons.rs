//! The entry daemons that renew their lease here, for the operators' status.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use azurelug_types::id::{DaemonName, Version, ZoneName};
use serde::Serialize;
use tokio::time::Instant;

/// Daemons that are remembered. Older entries of stopped daemons give way to new ones.
const LIMIT: usize = 4096;

/// A daemon without a renewal for this long is shown as suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(1500);

/// A daemon without a renewal for this long is no longer shown.
const GONE_AFTER: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Entry {
    zone: ZoneName,
    version: Version,
    in_flight: u32,
    renewed: Instant,
}

/// One row of the status.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The daemon.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version it last acknowledged.
    pub version: Version,
    /// Requests it had in flight.
    pub in_flight: u32,
    /// `alive` or `suspect`.
    pub state: &'static str,
    /// Time since its last renewal in milliseconds.
    pub renewed_ms_ago: u64,
}

/// The registry.
#[derive(Debug, Default)]
pub struct Registry {
    entries: Mutex<BTreeMap<DaemonName, Entry>>,
}

impl Registry {
    /// Notes a renewal.
    pub fn renewed(&self, name: &DaemonName, zone: &ZoneName, version: Version, in_flight: u32) {
        let now = Instant::now();
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        entries.retain(|_, entry| now.duration_since(entry.renewed) < GONE_AFTER);
        if entries.len() >= LIMIT && !entries.contains_key(name) {
            return;
        }
        let entry = Entry {
            zone: zone.clone(),
            version,
            in_flight,
            renewed: now,
        };
        entries.insert(name.clone(), entry);
    }

    /// All daemons that renewed within the last minute.
    pub fn rows(&self) -> Vec<Row> {
        let now = Instant::now();
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries
            .iter()
            .map(|(name, entry)| (name, entry, now.duration_since(entry.renewed)))
            .filter(|(_, _, age)| *age < GONE_AFTER)
            .map(|(name, entry, age)| Row {
                name: name.clone(),
                zone: entry.zone.clone(),
                version: entry.version,
                in_flight: entry.in_flight,
                state: if age < SUSPECT_AFTER {
                    "alive"
                } else {
                    "suspect"
                },
                renewed_ms_ago: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }
}
