//! What an entry daemon learns about a target from the way in which its calls fail.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::system::{System, wait};
use azurelug_testkit::caller;
use azurelug_testkit::engine::{Faults, Settings};
use azurelug_types::config::StageKind;
use serde_json::Value;

fn target<'a>(state: &'a Value, name: &str) -> &'a Value {
    let mut targets = state["targets"].as_array().unwrap().iter();
    targets.find(|target| target["name"] == name).unwrap()
}

/// Guards against an engine that hangs and looks as fast as one without calls, because its calls
/// that time out are not measured.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_time_out_count_as_slow_answers() {
    let system = System::start().await;
    system.zones[0].engines[&StageKind::Rerank].set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    let report = caller::run(system.calls(&[0], 2, Duration::from_millis(80)))
        .await
        .unwrap();
    assert_eq!(report.correct(), 2, "{:?}", report.refused());
    system
        .wait_state(0, |state| {
            let median = target(state, "rerank-zone-a")["median_us"].as_u64();
            median.is_some_and(|median| median > 1_000_000)
        })
        .await;
}

/// Guards against full load on an engine that has just died and will be cold when it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_lost_midway_turns_the_target_cold() {
    let settings = Settings {
        token: Duration::from_millis(20),
        ..Settings::default()
    };
    let mut system = System::start_with(settings).await;
    let mut calls = system.calls(&[0], 1, Duration::ZERO);
    calls.max_tokens = 64;
    let running = tokio::spawn(caller::run(calls));
    let engines = &mut system.zones[0].engines;
    let engine = engines.remove(&StageKind::Generate).unwrap();
    wait("a stream on the engine", || async {
        engine.counts().started > 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    engine.close();
    let report = running.await.unwrap().unwrap();
    assert_eq!(report.correct(), 1, "{:?}", report.refused());
    system
        .wait_state(0, |state| {
            target(state, "generate-zone-a")["phase"] == "cold"
        })
        .await;
}
