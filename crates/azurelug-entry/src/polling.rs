//! Polls the load reporters and the platform's list of VMs, and passes the results to the router.
//!
//! Owns only the polls. Targets missing from an answer keep their state, except that a VM that is
//! no longer listed as leaving may get new work again.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Weak;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use azurelug_core::routing::LoadReport;
use azurelug_http::client::Call;
use azurelug_types::id::TargetKey;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::{MissedTickBehavior, interval};

use crate::entry_state::EntryState;

/// Interval of polls of load reporters, which are polled in rotation.
const REPORTER_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of polls of the platform: well below the 3 s within which new work to a leaving target
/// must stop.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a poll. After a reporter has timed out, the next one is polled.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Size limit of an answer, in bytes; enough for about 2,000 targets.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct Loads {
    loads: Vec<Load>,
}

#[derive(Deserialize)]
struct Load {
    address: SocketAddr,
    reported_at_ms: u64,
    started_at_ms: u64,
    running: u32,
    waiting: u32,
    warm: bool,
}

#[derive(Deserialize)]
struct Vm {
    address: SocketAddr,
    state: VmState,
}

#[derive(PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

/// Polls the reporters until the entry state is dropped. If one fails, the next one is polled at once.
pub async fn poll_reporters(entry_state: Weak<EntryState>, reporters: Vec<SocketAddr>) {
    let mut ticks = interval(REPORTER_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = rand::random_range(0..reporters.len().max(1));
    loop {
        ticks.tick().await;
        let Some(entry_state) = entry_state.upgrade() else {
            return;
        };
        for _ in 0..reporters.len() {
            current = (current + 1) % reporters.len();
            match poll::<Loads>(&entry_state, reporters[current], "/v1/loads").await {
                Ok(loads) => {
                    apply_loads(&entry_state, &loads.loads);
                    break;
                }
                Err(message) => log::debug!("entry: reporter {}: {message}", reporters[current]),
            }
        }
    }
}

fn apply_loads(entry_state: &EntryState, loads: &[Load]) {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_time = unix_time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    });
    let targets = targets_by_address(entry_state);
    entry_state.with_router(|router, now| {
        for load in loads {
            // The engine's wall clock is only used for the age of a report. The router ignores
            // reports older than 5 s, so that a larger clock difference only loses reports.
            let age = Duration::from_millis(unix_time.saturating_sub(load.reported_at_ms));
            let report = LoadReport {
                calls: load.running.saturating_add(load.waiting),
                taken_at: now.saturating_sub(age),
                warm: load.warm,
                start_stamp: load.started_at_ms,
            };
            for target in targets.get(&load.address).into_iter().flatten() {
                router.report(*target, report, now);
            }
        }
    });
}

/// Polls the platform's list of VMs until the entry state is dropped.
pub async fn poll_platform(entry_state: Weak<EntryState>, platform: SocketAddr) {
    let mut ticks = interval(PLATFORM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(entry_state) = entry_state.upgrade() else {
            return;
        };
        match poll::<Vec<Vm>>(&entry_state, platform, "/v1/vms").await {
            Ok(vms) => set_leaving(&entry_state, &vms),
            // The previous list stays in force.
            Err(message) => log::debug!("entry: platform {platform}: {message}"),
        }
    }
}

fn set_leaving(entry_state: &EntryState, vms: &[Vm]) {
    let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
    let leaving: HashSet<SocketAddr> = leaving.map(|vm| vm.address).collect();
    for (address, keys) in targets_by_address(entry_state) {
        let is_leaving = leaving.contains(&address);
        entry_state.with_router(|router, now| {
            for key in keys {
                router.set_leaving(key, is_leaving, now);
            }
        });
    }
}

/// The targets by address. Several targets may share the address of one process.
fn targets_by_address(entry_state: &EntryState) -> HashMap<SocketAddr, Vec<TargetKey>> {
    let mut targets: HashMap<SocketAddr, Vec<TargetKey>> = HashMap::new();
    entry_state.with_router(|router, _| {
        for (key, entry) in router.table().targets() {
            targets.entry(entry.address).or_default().push(key);
        }
    });
    targets
}

async fn poll<T: DeserializeOwned>(
    entry_state: &EntryState,
    address: SocketAddr,
    path: &str,
) -> Result<T, String> {
    let call = Call::get(address, path, POLL_TIMEOUT);
    let answer = entry_state.pooled.send_whole(call, MAX_ANSWER_BYTES).await;
    let (status, body) = answer.map_err(|error| error.to_string())?;
    if status != 200 {
        return Err(format!("status {status}"));
    }
    serde_json::from_slice(&body).map_err(|error| format!("malformed answer: {error}"))
}
