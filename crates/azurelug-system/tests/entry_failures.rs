//! Failing calls and draining targets: how an entry daemon rates the target and moves its streams.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::operator::Operator;
use azurelug_system::system::{System, wait_until};
use azurelug_testkit::caller;
use azurelug_testkit::engine::{Faults, Settings};
use azurelug_types::config::{StageKind, State};
use azurelug_types::id::TargetName;
use azurelug_types::patch::Change;
use serde_json::Value;

fn target<'a>(state: &'a Value, name: &str) -> &'a Value {
    let mut targets = state["targets"].as_array().unwrap().iter();
    targets.find(|target| target["name"] == name).unwrap()
}

/// Guards against a hanging engine that looks as fast as an idle one because calls that time out
/// are missing from its measured latency.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_time_out_count_as_slow_answers() {
    let system = System::start().await;
    system.zones[0].engines[&StageKind::Rerank].set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    let report = caller::run(system.call_settings(&[0], 2, Duration::from_millis(80)))
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

/// Guards against full load on an engine that has just crashed and will be cold after its restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_lost_midway_turns_the_target_cold() {
    let settings = Settings {
        token_time: Duration::from_millis(20),
        ..Settings::default()
    };
    let mut system = System::start_with(settings).await;
    let mut calls = system.call_settings(&[0], 1, Duration::ZERO);
    calls.max_tokens = 64;
    let running = tokio::spawn(caller::run(calls));
    let engines = &mut system.zones[0].engines;
    let engine = engines.remove(&StageKind::Generate).unwrap();
    wait_until("a stream on the engine", || async {
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

/// The number of prompt blocks that the generate engines of zones b and c found in their caches.
fn blocks_cached_in_other_zones(system: &System) -> u64 {
    let zones = system.zones[1..].iter();
    let engines = zones.map(|zone| &zone.engines[&StageKind::Generate]);
    engines.map(|engine| engine.counts().cached_blocks).sum()
}

/// Guards against a stream that is resumed with a full prefill although its KV cache can be
/// fetched.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_stream_fetches_its_kv_cache() {
    let system = System::start().await;
    system.zones[0].engines[&StageKind::Generate].set_faults(Faults {
        stop_after_tokens: 5,
        ..Faults::default()
    });
    let report = caller::run(system.call_settings(&[0], 1, Duration::ZERO))
        .await
        .unwrap();
    assert_eq!(report.correct(), 1, "{:?}", report.refused());
    assert!(blocks_cached_in_other_zones(&system) > 0);
}

/// Guards against streams that stay on a draining target, and against tokens that are lost or
/// repeated when a stream moves to another target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_streams_move_off_a_drained_target() {
    let settings = Settings {
        token_time: Duration::from_millis(20),
        ..Settings::default()
    };
    let system = System::start_with(settings).await;
    let mut calls = system.call_settings(&[0], 2, Duration::from_millis(1));
    calls.max_tokens = 256;
    let running = tokio::spawn(caller::run(calls));
    let engine = &system.zones[0].engines[&StageKind::Generate];
    wait_until("streams on the engine", || async {
        engine.counts().started == 2
    })
    .await;
    let change = Change::SetTargetState {
        name: TargetName::from("generate-zone-a"),
        state: State::Draining,
    };
    Operator::new()
        .change(system.operators_address(0), vec![change])
        .await;
    let report = running.await.unwrap().unwrap();
    let (refused, wrong) = (report.refused(), report.wrong());
    assert_eq!(report.correct(), 2, "{refused:?} {wrong:?}");
    let counts = engine.counts();
    assert_eq!((counts.finished, counts.cancelled), (0, 2), "{counts:?}");
    assert!(blocks_cached_in_other_zones(&system) > 0);
}
