//! Leased shares after a restart of the control daemon that grants them, against real processes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::operator::Operator;
use azurelug_system::system::{System, wait_until};
use azurelug_testkit::caller;
use azurelug_testkit::engine::Settings;
use azurelug_types::config::StageKind;
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The duration of a lease, the longest call and the clock drift; see docs/design.md, section 12.
const FULL_WAIT: Duration = Duration::from_millis(14_190);

/// Slots that an entry daemon holds beyond its base share of 1 at each engine that it calls
/// occasionally.
const LEASED_SLOTS: u64 = 3;

/// Starts a system whose engines have a cold limit of 2, so that a daemon requests more than its
/// base share.
async fn start() -> System {
    let settings = Settings {
        cold_limit: 2,
        warm_after: 1,
        ..Settings::default()
    };
    System::start_with(settings).await
}

/// Makes calls through the first zone's entry daemon until the task is aborted. Without calls a
/// daemon requests only one slot, which is its base share.
fn start_load(system: &System) -> JoinHandle<()> {
    let calls = system.call_settings(&[0], 1_000, Duration::from_millis(200));
    tokio::spawn(async move {
        caller::run(calls).await.unwrap();
    })
}

/// Whether each engine of the first zone has at least `slots` leased slots in use.
async fn has_leased_slots(system: &System, slots: u64) -> bool {
    let dump = Operator::new()
        .get(system.operators_address(0), "/debug/state")
        .await;
    let Some((_, state)) = dump else {
        return false;
    };
    let targets = state["shares"].as_array().cloned().unwrap_or_default();
    let granted = targets
        .iter()
        .filter(|it| it["leased_in_use"].as_u64() >= Some(slots));
    granted.count() >= StageKind::ALL.len()
}

/// Kills and restarts the first control daemon, and returns the times until the first and until all
/// leased slots of its zone are granted again.
async fn restart(system: &mut System) -> [Duration; 2] {
    wait_until("grants", || has_leased_slots(system, LEASED_SLOTS)).await;
    system.zones[0].control.kill();
    system.zones[0].control.start();
    let restarted = Instant::now();
    wait_until("grants after the restart", || has_leased_slots(system, 1)).await;
    let first = restarted.elapsed();
    wait_until("all grants after the restart", || {
        has_leased_slots(system, LEASED_SLOTS)
    })
    .await;
    [first, restarted.elapsed()]
}

/// Guards against a zone that has only base shares for the duration of the longest call after each
/// restart of its control daemon, and against a control daemon that grants early although its list
/// of holders is missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_grantor_opens_when_all_holders_have_reported() {
    let mut system = start().await;
    let load = start_load(&system);
    for _ in 0..3 {
        let [first, all] = restart(&mut system).await;
        println!("with the list of holders: first grants after {first:?}, all after {all:?}");
        assert!(
            all < Duration::from_secs(10),
            "all leased slots were granted only after {all:?}"
        );
    }
    std::fs::remove_file(system.control_data_folder(0).join("holders")).unwrap();
    let [first, all] = restart(&mut system).await;
    println!("without the list of holders: first grants after {first:?}, all after {all:?}");
    assert!(
        first >= FULL_WAIT,
        "the first leased slots were granted after only {first:?}"
    );
    load.abort();
}

/// Guards against grants that ignore the calls of a frozen entry daemon, which can't report them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_holder_keeps_a_restarted_grantor_closed() {
    let mut system = start().await;
    let load = start_load(&system);
    wait_until("grants", || has_leased_slots(&system, LEASED_SLOTS)).await;
    system.zones[0].entry.signal(Signal::SIGSTOP);
    system.zones[0].control.kill();
    system.zones[0].control.start();
    let restarted = Instant::now();
    let is_open = async || {
        let dump = Operator::new()
            .get(system.operators_address(0), "/debug/state")
            .await;
        dump.is_some_and(|(_, state)| state["holders"]["is_open"] == true)
    };
    wait_until("an open grantor", &is_open).await;
    let opened_after = restarted.elapsed();
    assert!(
        opened_after >= FULL_WAIT,
        "the grantor opened after only {opened_after:?}"
    );
    system.zones[0].entry.signal(Signal::SIGCONT);
    wait_until("grants", || has_leased_slots(&system, LEASED_SLOTS)).await;
    load.abort();
}
