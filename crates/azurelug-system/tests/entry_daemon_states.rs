//! The states that control daemons report for entry daemons that freeze, leave or are partitioned,
//! against real processes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::operator::{Operator, patch, zone_state};
use azurelug_system::system::{System, ZONES, wait_until};
use azurelug_testkit::platform::VmState;
use azurelug_types::config::State;
use azurelug_types::patch::Answer;
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// The row of an entry daemon in a control daemon's status.
async fn row(system: &System, control: usize, entry: usize) -> Option<Value> {
    let address = system.operators_address(control);
    let (_, status) = Operator::new().get(address, "/v1/status").await?;
    let zone = ZONES[entry];
    let rows = status["entry_daemons"].as_array()?;
    rows.iter().find(|row| row["zone"] == zone).cloned()
}

/// The control daemon that reports an entry daemon as alive. It may be in another zone.
async fn control_of(system: &System, entry: usize) -> usize {
    let found = std::sync::Mutex::new(0);
    wait_until(
        "a control daemon that reports the entry daemon as alive",
        || async {
            for control in 0..ZONES.len() {
                let row = row(system, control, entry).await;
                if row.is_some_and(|row| row["state"] == "alive") {
                    *found.lock().unwrap() = control;
                    return true;
                }
            }
            false
        },
    )
    .await;
    found.into_inner().unwrap()
}

/// Waits until the row of the first entry daemon at `control` passes `check`, and returns the row.
async fn wait_row(
    system: &System,
    control: usize,
    what: &str,
    check: impl Fn(&Value) -> bool,
) -> Value {
    let passed = std::sync::Mutex::new(Value::Null);
    wait_until(what, || async {
        let row = row(system, control, 0).await.unwrap_or_default();
        let has_passed = check(&row);
        *passed.lock().unwrap() = row;
        has_passed
    })
    .await;
    passed.into_inner().unwrap()
}

/// Reads the row of the first entry daemon at `control` for `time`, and requires it to pass `check`
/// each time.
async fn watch_row(
    system: &System,
    control: usize,
    time: Duration,
    check: impl Fn(&Value) -> bool,
) {
    let started = Instant::now();
    while started.elapsed() < time {
        let row = row(system, control, 0).await.unwrap();
        assert!(check(&row), "{row} after {:?}", started.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
}

fn has_state(state: &str) -> impl Fn(&Value) -> bool {
    move |row| row["state"] == state
}

fn set_listed_vms(system: &System, first: Option<VmState>) {
    let others = (1..ZONES.len()).map(|zone| System::entry_vm(zone, VmState::Live));
    let first = first.map(|state| System::entry_vm(0, state));
    let platform = &system.observers.as_ref().unwrap().platform;
    platform.set_vms(first.into_iter().chain(others).collect());
}

/// Guards against a frozen daemon that is reported as alive, against a running one that is reported
/// as gone because the platform's list lags, and against one that is reported as gone before its
/// lease could have expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_daemon_is_suspect_until_the_platform_no_longer_lists_it() {
    let system = System::start_with_links_and_observers().await;
    let control = control_of(&system, 0).await;
    let entry = &system.zones[0].entry;
    entry.signal(Signal::SIGSTOP);
    let frozen = wait_row(&system, control, "suspect", has_state("suspect")).await;
    let reason = frozen["reason"].as_str().unwrap();
    assert!(reason.starts_with("no round trip for "), "{reason}");
    assert_eq!(frozen["version"], 1);
    watch_row(
        &system,
        control,
        Duration::from_secs(3),
        has_state("suspect"),
    )
    .await;
    set_listed_vms(&system, Some(VmState::Leaving));
    let is_leaving = |row: &Value| row["reason"].to_string().contains("leaving by");
    let leaving = wait_row(&system, control, "leaving", is_leaving).await;
    assert_eq!(leaving["state"], "suspect");
    set_listed_vms(&system, None);
    let gone = wait_row(&system, control, "gone", has_state("gone")).await;
    assert_eq!(gone["version"], 1);
    let reason = gone["reason"].as_str().unwrap();
    assert!(
        reason.ends_with("no longer in the platform's list"),
        "{reason}"
    );

    entry.signal(Signal::SIGCONT);
    wait_row(&system, control, "alive again", has_state("alive")).await;
    watch_row(&system, control, Duration::from_secs(3), has_state("alive")).await;
    entry.signal(Signal::SIGSTOP);
    let respects_lease = |row: &Value| {
        // The last renewal may have granted a lease of 2 s.
        row["state"] != "gone" || row["renewed_ms_ago"].as_u64().unwrap() >= 2000
    };
    watch_row(&system, control, Duration::from_secs(4), respects_lease).await;
    wait_row(&system, control, "gone again", has_state("gone")).await;
    entry.signal(Signal::SIGCONT);
}

/// Guards against a daemon that counts as alive although messages pass in one direction only, and
/// against a new version that is reported as acknowledged during that time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_way_cut_makes_a_daemon_suspect() {
    let operator = Operator::new();
    for is_to_zone in [true, false] {
        let system = System::start_with_links_and_observers().await;
        let control = control_of(&system, 0).await;
        let alive = row(&system, control, 0).await.unwrap();
        system.links.cut_one_way(0, is_to_zone);
        wait_row(&system, control, "suspect", has_state("suspect")).await;
        let base = operator
            .config(system.operators_address(1))
            .await
            .unwrap()
            .version;
        let change = patch(base, vec![zone_state(ZONES[2], State::Active)]);
        wait_until("a patch outside the partition", || async {
            let answer = operator.patch(system.operators_address(1), &change).await;
            matches!(answer, Some(Answer::Accepted { .. }))
        })
        .await;
        watch_row(&system, control, Duration::from_secs(4), |row| {
            row["state"] == "suspect" && row["version"] == alive["version"]
        })
        .await;
        system.links.heal();
        // The entry daemon may have connected to another control daemon.
        wait_until("alive with the new version", || async {
            let current = control_of(&system, 0).await;
            let row = row(&system, current, 0).await;
            row.is_some_and(|row| row["version"] == base.next().0)
        })
        .await;
    }
}

/// Guards against a control daemon that counts the time of its own freeze as silence of its entry
/// daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_control_daemon_does_not_report_its_daemons_gone() {
    let system = System::start_with_links_and_observers().await;
    for frozen in [Duration::from_millis(1400), Duration::from_secs(5)] {
        let control = control_of(&system, 0).await;
        let process = &system.zones[control].control;
        process.signal(Signal::SIGSTOP);
        sleep(frozen).await;
        process.signal(Signal::SIGCONT);
        let first = row(&system, control, 0).await.unwrap();
        assert_eq!(first["state"], "alive", "after {frozen:?}: {first}");
        // After the longer freeze the entry daemon renews its lease at another control daemon.
        let state = if frozen < Duration::from_secs(2) {
            "alive"
        } else {
            "suspect"
        };
        watch_row(&system, control, Duration::from_secs(4), |row| {
            row["state"] == "alive" || row["state"] == state
        })
        .await;
    }
}
