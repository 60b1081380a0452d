//! Orders to engines, from a patch to the engine's state, against real processes.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::client::Call;
use azurelug_system::operator::Operator;
use azurelug_system::system::{System, wait_until};
use azurelug_testkit::engine::{AcceptedOrder, Settings, State};
use azurelug_types::config::{Config, Model, ModelRef, Role, StageKind};
use azurelug_types::id::ModelName;
use azurelug_types::patch::Change;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

async fn start(engines: Settings, lines: &str) -> System {
    let system = System::prepare(engines, false).await;
    system.add_control_settings(lines);
    system.launch().await
}

fn model(version: &str) -> ModelRef {
    ModelRef {
        model: ModelName::from("extra"),
        adapter: None,
        version: version.to_owned(),
    }
}

/// Changes after which every engine is to have its own models and these versions of the model
/// `extra`.
fn desired_model_changes(config: &Config, versions: &[&str], checks_fencing: bool) -> Vec<Change> {
    let definition = Model {
        versions: ["1", "2"].map(str::to_owned).into(),
        adapters: Default::default(),
    };
    let mut changes = vec![Change::SetModel {
        name: ModelName::from("extra"),
        model: definition,
    }];
    for (name, target) in &config.targets {
        if matches!(target.role, Role::Engine(_)) {
            let mut target = target.clone();
            target.loaded.retain(|it| it.model.as_str() != "extra");
            target.loaded.extend(versions.iter().map(|it| model(it)));
            target.checks_fencing = checks_fencing;
            let name = name.clone();
            changes.push(Change::SetTarget { name, target });
        }
    }
    changes
}

fn states(system: &System) -> Vec<State> {
    let engines = system.zones.iter().flat_map(|zone| zone.engines.values());
    engines.map(azurelug_testkit::Engine::state).collect()
}

fn loads(system: &System) -> usize {
    let is_load = |it: &&AcceptedOrder| it.order.order == "load";
    let count = |state: &State| state.history.iter().filter(is_load).count();
    states(system).iter().map(count).sum()
}

/// Whether every engine has two models, its own and `extra@VERSION`.
fn all_loaded(system: &System, version: &str) -> bool {
    let extra = format!("extra@{version}");
    let has_both = |state: &State| state.loaded.len() == 2 && state.loaded.contains(&extra);
    states(system).iter().all(has_both)
}

/// The start times of all loads in milliseconds since the Unix epoch, sorted.
async fn load_times(system: &System) -> Vec<u64> {
    let operator = Operator::new();
    let mut times = Vec::new();
    for engine in system.zones.iter().flat_map(|zone| zone.engines.values()) {
        let (_, load) = operator.get(engine.address(), "/v1/load").await.unwrap();
        let started = load["started_at_ms"].as_u64().unwrap();
        let state = engine.state();
        let orders = state.history.iter().filter(|it| it.order.order == "load");
        times.extend(orders.map(|it| started + it.at_ms));
    }
    times.sort_unstable();
    times
}

/// Posts an order to an engine as a leader would; returns the status.
async fn post_order(engine: SocketAddr, order: &Value) -> u16 {
    let call = Call::post_json(engine, "/v1/orders", order, Duration::from_secs(5));
    let client = azurelug_http::Client::unpooled().unwrap();
    client.send_whole(call, 1024 * 1024).await.unwrap().0
}

/// Checks a rate of at most one load in 500 ms. A message may reach an engine 300 ms late.
async fn assert_rate_limit(system: &System) {
    let times = load_times(system).await;
    for (first, &from) in times.iter().enumerate() {
        for (later, &to) in times.iter().enumerate().skip(first + 1) {
            let min_ms = 500 * (later - first) as u64;
            assert!(to - from + 300 >= min_ms, "{from} to {to}: {times:?}");
        }
    }
}

/// Guards against a patch to the desired models that leads to no orders, against an unload before
/// the load of the new model, and against orders of followers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_model_added_to_a_target_is_loaded_and_a_removed_one_unloaded() {
    let system = start(Settings::default(), "").await;
    let operator = Operator::new();
    let control = system.operators_address(0);
    for (version, earlier) in [("1", None), ("2", Some("1"))] {
        let config = operator.config(control).await.unwrap();
        operator
            .change(control, desired_model_changes(&config, &[version], true))
            .await;
        wait_until("the models at every engine", || async {
            all_loaded(&system, version)
        })
        .await;
        for state in states(&system) {
            let history_index = |order: &str, version: &str| {
                let model = Some(format!("extra@{version}"));
                let mut orders = state.history.iter();
                orders.position(|it| it.order.order == order && it.order.model == model)
            };
            if let Some(earlier) = earlier {
                assert!(
                    history_index("load", version) < history_index("unload", earlier),
                    "{state:?}"
                );
            }
        }
    }
    let leader = system.wait_leader().await;
    let report = |zone: usize| {
        let operator = operator.clone();
        let address = system.operators_address(zone);
        async move { operator.get(address, "/v1/engines").await.unwrap().1 }
    };
    wait_until("the leader's report", || async {
        let engines = report(leader).await["engines"].clone();
        let engines: Vec<Value> = serde_json::from_value(engines).unwrap();
        engines.len() == 12 && engines.iter().all(|it| it["waiting"] == "as desired")
    })
    .await;
    for zone in (0..3).filter(|zone| *zone != leader) {
        assert_eq!(report(zone).await["leads"], json!(false));
    }
    let terms: Vec<u64> = states(&system).iter().map(|it| it.fencing).collect();
    let term = report(leader).await["fencing"].as_u64().unwrap();
    assert!(terms.iter().all(|it| *it == term), "{terms:?} {term}");
}

/// Guards against a rollout that stops when its leader is killed, and against a new leader that
/// ignores the loads of the previous one and exceeds the weight store's rate.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_leader_completes_a_rollout_within_the_stores_rate() {
    let engines = Settings {
        load_time: Duration::from_millis(400),
        ..Settings::default()
    };
    let lines = "orders: { weight_store: { loads: 2, per: 1s } }\n";
    let mut system = start(engines, lines).await;
    let operator = Operator::new();
    let leader = system.wait_leader().await;
    let control = system.operators_address((leader + 1) % 3);
    let config = operator.config(control).await.unwrap();
    let version = operator
        .change(control, desired_model_changes(&config, &["1"], true))
        .await;
    wait_until("some loads", || async { loads(&system) >= 4 }).await;
    assert!(!all_loaded(&system, "1"));
    system.zones[leader].control.kill();
    wait_until("the rest of the loads", || async {
        all_loaded(&system, "1")
    })
    .await;
    let config = operator.config(control).await.unwrap();
    assert_eq!(config.version, version);
    assert_rate_limit(&system).await;
}

/// Guards against late orders of a frozen leader that stay in effect at engines without fencing
/// after a new leader has sent other ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_without_fencing_reach_the_desired_state_after_a_frozen_leader() {
    let engines = Settings {
        load_time: Duration::from_millis(400),
        ignores_fencing: true,
        ..Settings::default()
    };
    let lines =
        "orders: { weight_store: { loads: 2, per: 1s }, read_interval: 3s, longest_order: 4s }\n";
    let system = start(engines, lines).await;
    let operator = Operator::new();
    let frozen = system.wait_leader().await;
    let control = system.operators_address((frozen + 1) % 3);
    let config = operator.config(control).await.unwrap();
    operator
        .change(control, desired_model_changes(&config, &["1"], false))
        .await;
    wait_until("some loads", || async { loads(&system) >= 3 }).await;
    system.zones[frozen].control.signal(Signal::SIGSTOP);
    // Some engines have the first version already; the new leader has to replace it.
    wait_until("another patch", || async {
        let Some(config) = operator.config(control).await else {
            return false;
        };
        let changes = desired_model_changes(&config, &["2"], false);
        let patch = azurelug_system::operator::patch(config.version, changes);
        operator
            .patch(control, &patch)
            .await
            .is_some_and(|answer| matches!(answer, azurelug_types::patch::Answer::Accepted { .. }))
    })
    .await;
    wait_until("the second version at every engine", || async {
        all_loaded(&system, "2")
    })
    .await;
    system.zones[frozen].control.signal(Signal::SIGCONT);
    // A delayed order of the frozen leader, which the engine accepts.
    let late = json!({ "order": "load", "model": "extra@1", "fencing": 1 });
    let engine = system.zones[0].engines.values().next().unwrap();
    assert_eq!(post_order(engine.address(), &late).await, 200);
    assert!(engine.state().loaded.contains("extra@1"));
    wait_until("the late order to be undone", || async {
        all_loaded(&system, "2")
    })
    .await;
    // Two more reads of the engines' states lead to no further order.
    let before: Vec<State> = states(&system);
    tokio::time::sleep(Duration::from_secs(7)).await;
    assert_eq!(before, states(&system));
    assert!(all_loaded(&system, "2"));
}

/// Guards against calls that are refused because the engine of the own zone has lost its model: the
/// retries would exhaust the budget before the next read of the engine's state detects the loss.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_use_other_engines_while_an_engine_lacks_the_model() {
    let system = start(Settings::default(), "orders: { read_interval: 10m }\n").await;
    let operator = Operator::new();
    system.wait_base_shares().await;
    let engine = &system.zones[0].engines[&StageKind::Rerank];
    let unload = json!({ "order": "unload", "model": "rank@1", "fencing": engine.state().fencing });
    assert_eq!(post_order(engine.address(), &unload).await, 200);
    let calls = system.call_settings(&[0], 30, Duration::from_millis(80));
    let report = azurelug_testkit::caller::run(calls).await.unwrap();
    let (refused, wrong) = (report.refused(), report.wrong());
    assert_eq!(report.correct(), 30, "{refused:?} {wrong:?}");
    let is_retried = |it: &azurelug_testkit::caller::Stage| it.attempt > 0;
    let retried = report.stages().filter(|it| is_retried(it)).count();
    assert!(
        retried >= 4,
        "only {retried} stages were retried, which the retry budget covers"
    );
    // A patch makes the leader read the engine's state.
    let control = system.operators_address(0);
    let config = operator.config(control).await.unwrap();
    let changes = desired_model_changes(&config, &["1"], true);
    operator.change(control, changes).await;
    wait_until("the load of the lost model", || async {
        engine.state().loaded.contains("rank@1")
    })
    .await;
}
