//! Targets whose state an entry daemon learns only from load reports and the platform's list.

use std::time::Duration;

use azurelug_system::System;
use azurelug_testkit::caller;
use azurelug_testkit::engine::Settings;
use azurelug_testkit::platform::{Vm, VmState};
use azurelug_types::config::StageKind;

/// The engines' cold limit, as in the configuration.
const COLD_LIMIT: usize = 2;

fn engine_settings() -> Settings {
    Settings {
        prefill_time: Duration::from_millis(20),
        token_time: Duration::from_millis(10),
        max_waiting: 256,
        cold_limit: COLD_LIMIT,
        ..Settings::default()
    }
}

/// Guards against a daemon that treats an engine as warm after completed calls although the engine
/// reports that it is cold, and that sends it more than it can handle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cold_engine_gets_at_most_its_cold_limit_from_one_daemon() {
    let settings = Settings {
        warm_after: u64::MAX,
        ..engine_settings()
    };
    let system = System::start_with_observers(settings).await;
    // Six generate slots complete 33 calls per second; calls arrive at twice that rate.
    let calls = system.call_settings(&[0], 300, Duration::from_millis(15));
    let report = caller::run(calls).await.expect("build the client");
    assert_eq!(report.wrong(), Vec::<String>::new());
    assert!(report.correct() > 50, "{:?}", report.refused());
    for (zone, parts) in system.zones.iter().enumerate() {
        for (kind, engine) in &parts.engines {
            let counts = engine.counts();
            assert!(
                counts.max_running <= COLD_LIMIT && counts.over_cold_limit == 0,
                "{kind} of zone {zone} ran {} calls at once, {} over the cold limit",
                counts.max_running,
                counts.over_cold_limit
            );
        }
    }
}

/// Guards against new work for a target whose VM the platform is about to remove.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_gets_no_new_work_after_3_s() {
    let system = System::start_with_observers(engine_settings()).await;
    let observers = system
        .observers
        .as_ref()
        .expect("the system was started with observers");
    let engine = &system.zones[0].engines[&StageKind::Rerank];
    let run = async |requests| {
        let calls = system.call_settings(&[0], requests, Duration::from_millis(50));
        caller::run(calls).await.expect("build the client")
    };
    assert_eq!(run(10).await.correct(), 10);
    let before = engine.counts().started;
    assert!(before > 0, "the engine of the own zone got no work");
    let vm = |state| Vm {
        name: "rerank-zone-a".to_owned(),
        zone: "zone-a".to_owned(),
        address: engine.address(),
        state,
    };
    observers.platform.set_vms(vec![vm(VmState::Leaving)]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after_leaving = engine.counts().started;
    let report = run(40).await;
    assert_eq!(report.correct(), 40, "{:?}", report.failed_calls());
    assert_eq!(engine.counts().started, after_leaving);
    observers.platform.set_vms(vec![vm(VmState::Live)]);
    system
        .wait_state(0, |state| {
            let targets = state["targets"].as_array().cloned().unwrap_or_default();
            let mut targets = targets.iter();
            targets.all(|it| !it["unused"].to_string().contains("leaving"))
        })
        .await;
    assert_eq!(run(10).await.correct(), 10);
    assert!(
        engine.counts().started > after_leaving,
        "the engine got no work after its VM was listed as live again"
    );
}
