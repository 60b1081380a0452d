//! Tests of requests that are in flight while the configuration changes or a daemon is reloaded,
//! stopped or restarted. Their targets pause, so that the changes take effect before the answers.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::deployment::Deployment;
use crate::deployment::kept_client::{Client, Expected};
use crate::deployment::scripted::{
    End, Framing, Kind, Pause, Reply, Script, scripted_configuration, service_name,
};

/// A change of the `index`-th scripted route in a configuration.
type Change = fn(&mut Value, usize);

/// Time from the start of the requests until the change.
const LEAD: Duration = Duration::from_millis(400);

/// Longest time until a gateway has applied a configuration (`apply` of its settings).
const APPLY: Duration = Duration::from_secs(2);

/// Pausing targets for all kinds of requests, framings that differ, and second targets that answer,
/// refuse or close the connection.
fn cases() -> Vec<(Script, Expected)> {
    let kinds = [
        Kind::Safe,
        Kind::AtMostOnce,
        Kind::Resumable,
        Kind::NotResumable,
        Kind::Staged,
    ];
    let whole = Reply::Run(Framing::Unframed, None, End::Complete);
    let replies = [
        (Framing::Chunked, Pause::BeforeHead, whole),
        (Framing::Unframed, Pause::AfterHead, Reply::Refusal),
        (Framing::Announced, Pause::InsideEvent, Reply::Refusal),
        (Framing::Chunked, Pause::BetweenEvents, Reply::Disconnect),
    ];
    let script = |kind, (framing, pause, other)| Script {
        kind,
        replies: vec![
            Reply::Run(framing, Some(pause), End::Complete),
            // The calls of a stage may be refused if no target answers in time.
            if kind == Kind::Staged { whole } else { other },
        ],
    };
    let scripts = kinds
        .iter()
        .flat_map(|&kind| replies.map(|reply| script(kind, reply)));
    scripts.map(|it| (it, Expected::Complete)).collect()
}

fn route(document: &mut Value, index: usize) -> &mut Value {
    let name = service_name(index);
    let routes = document["routes"].as_array_mut().unwrap();
    let mut routes = routes.iter_mut();
    routes.find(|it| it["name"] == name.as_str()).unwrap()
}

/// Sends a request on each kept connection. Returns what was wrong with the answers.
async fn send_round(
    round: &str,
    cases: &[(Script, Expected)],
    clients: &mut [Client],
) -> Vec<String> {
    let requests = cases.iter().zip(clients).enumerate();
    let requests = requests.map(|(index, ((script, _), client))| async move {
        let id = format!("{round}-{index}");
        let path = format!("/{}/x", service_name(index));
        match client.request(&id, &path, &[]).await {
            Ok(answer) if answer.is_complete(script.kind, &id) => None,
            other => Some(format!("{id}, {script:?}: {other:?}")),
        }
    });
    join_all(requests).await.into_iter().flatten().collect()
}

async fn wait_in_force(deployment: &Deployment, version: u64) {
    let started = Instant::now();
    let line = format!("configuration {version} in force");
    while !deployment.log().contains(&line) {
        assert!(started.elapsed() < APPLY * 5, "version {version} is late");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Applies each change while requests are in flight, takes it back, and sends further requests on
/// the same connections.
async fn check_changes(changes: &[(&str, Change)]) {
    let cases = cases();
    let deployment = Deployment::start_scripted(&cases).await;
    let mut clients = Vec::new();
    for _ in &cases {
        clients.push(deployment.client().await);
    }
    let mut version = 2;
    let mut failures = Vec::new();
    for (name, change) in changes {
        let mut changed = scripted_configuration(version + 1, &cases);
        for index in 0..cases.len() {
            change(&mut changed, index);
        }
        let (wrong, ()) = tokio::join!(send_round(name, &cases, &mut clients), async {
            sleep(LEAD).await;
            deployment.put_configuration(&changed, 200).await;
        });
        failures.extend(wrong);
        version += 2;
        let restored = scripted_configuration(version, &cases);
        deployment.put_configuration(&restored, 200).await;
        wait_in_force(&deployment, version).await;
        // The gateway forgets and relearns the targets of a service that was removed.
        sleep(Duration::from_secs(1)).await;
        let round = format!("warm-{name}");
        failures.extend(send_round(&round, &cases, &mut clients).await);
    }
    let log = deployment.log();
    assert!(failures.is_empty(), "{}\n{log}", failures.join("\n"));
}

/// Guards against requests that are cut off or given up because the settings of their route change.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_route_cuts_off_no_request_in_flight() {
    check_changes(&[
        ("short-gap", |it, index| {
            route(it, index)["gap_aim_ms"] = json!(5);
        }),
        ("long-gap", |it, index| {
            route(it, index)["gap_aim_ms"] = json!(5000);
        }),
        ("timeout", |it, index| {
            route(it, index)["timeout_ms"] = json!(300);
        }),
        ("latency", |it, index| {
            route(it, index)["target_latency_ms"] = json!(20);
        }),
        ("one-attempt", |it, index| {
            route(it, index)["max_attempts"] = json!(1);
        }),
        ("attempts", |it, index| {
            route(it, index)["max_attempts"] = json!(5);
        }),
    ])
    .await;
}

/// Guards against requests that are cut off because their route or service is replaced or removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_moved_route_or_removed_service_cuts_off_no_request_in_flight() {
    check_changes(&[
        ("moved", |it, index| {
            route(it, index)["service"] = json!("desk");
        }),
        ("split", |it, index| {
            let services =
                json!([{"service": "desk", "weight": 3}, {"service": "raw", "weight": 0}]);
            route(it, index)["traffic_split"] = services;
        }),
        ("kind", |it, index| {
            route(it, index)["kind"] = json!("unsafe");
        }),
        ("no-route", |it, index| {
            let name = service_name(index);
            let routes = it["routes"].as_array_mut().unwrap();
            routes.retain(|it| it["name"] != name.as_str());
        }),
        ("no-service", |it, index| {
            let name = service_name(index);
            for list in ["routes", "services"] {
                let entries = it[list].as_array_mut().unwrap();
                entries.retain(|it| it["name"] != name.as_str());
            }
        }),
        ("stages", |it, index| {
            let stage = json!([{"service": "encode", "after": [], "bytes": 1000}]);
            route(it, index)["stages"] = stage;
        }),
    ])
    .await;
}

/// Guards against requests that are cut off because limits, keys or settings of services change.
#[tokio::test(flavor = "multi_thread")]
async fn changed_limits_and_keys_cut_off_no_request_in_flight() {
    check_changes(&[
        ("small-limits", |it, _| {
            it["limits"] = json!({"max_header_bytes": 600, "max_body_bytes": 100,
                "header_timeout_ms": 200, "idle_timeout_ms": 300});
        }),
        ("large-limits", |it, _| {
            it["limits"] = json!({"max_header_bytes": 65536, "max_body_bytes": 9_000_000,
                "header_timeout_ms": 9000, "idle_timeout_ms": 60000});
        }),
        ("other-key", |it, _| {
            it["tenants"][0]["api_keys"] = json!(["key-2"]);
        }),
        ("other-account", |it, _| {
            it["tenants"][0]["name"] = json!("barrows");
        }),
        ("no-accounts", |it, _| it["tenants"] = json!([])),
        ("connections", |it, _| {
            for service in it["services"].as_array_mut().unwrap() {
                service["max_connections"] = json!(1);
                service["cold_start_s"] = json!(5.0);
                service["cold_per_s"] = json!(0.5);
            }
        }),
    ])
    .await;
}

/// Guards against requests that are given up because the settings of their stages change.
#[tokio::test(flavor = "multi_thread")]
async fn changed_stages_cut_off_no_request_in_flight() {
    check_changes(&[
        ("small-pieces", |it, _| {
            set_pieces(
                it,
                &json!({"slots": 1, "queue": 0, "batch": 1, "call_ms": 1, "item_ms": 0,
                    "room_mb": 0.001, "handle_s": 0.1}),
            );
        }),
        ("large-pieces", |it, _| {
            set_pieces(
                it,
                &json!({"slots": 9, "queue": 9, "batch": 64, "call_ms": 900, "item_ms": 50,
                    "room_mb": 900, "handle_s": 60}),
            );
        }),
        ("two-stages", |it, index| {
            let stages = json!([{"service": "encode", "after": [], "bytes": 1000},
                {"service": "encode", "after": [0], "bytes": 1000}]);
            route(it, index)["stages"] = stages;
        }),
        ("no-stages", |it, index| {
            route(it, index)["stages"] = json!([]);
        }),
    ])
    .await;
}

fn set_pieces(document: &mut Value, pieces: &Value) {
    let services = document["services"].as_array_mut().unwrap();
    for service in services.iter_mut().filter(|it| !it["pieces"].is_null()) {
        service["pieces"] = pieces.clone();
    }
}

/// Guards against requests that are cut off by a reload of the daemons or a restart of control.
#[tokio::test(flavor = "multi_thread")]
async fn a_reload_or_a_restart_of_control_cuts_off_no_request_in_flight() {
    let cases = cases();
    let mut deployment = Deployment::start_scripted(&cases).await;
    let mut clients = Vec::new();
    for _ in &cases {
        clients.push(deployment.client().await);
    }
    let (wrong, ()) = tokio::join!(send_round("reload", &cases, &mut clients), async {
        sleep(LEAD).await;
        deployment.gateway.signal(Signal::SIGHUP);
        deployment.control.signal(Signal::SIGHUP);
    });
    assert!(wrong.is_empty(), "{wrong:?}\n{}", deployment.log());
    let control = &mut deployment.control;
    let (wrong, ()) = tokio::join!(send_round("restart", &cases, &mut clients), async {
        sleep(LEAD).await;
        assert!(control.terminate(Duration::from_secs(8)));
        control.start();
    });
    assert!(wrong.is_empty(), "{wrong:?}\n{}", deployment.log());
    let wrong = send_round("warm-after", &cases, &mut clients).await;
    assert!(wrong.is_empty(), "{wrong:?}\n{}", deployment.log());
}

/// Guards against a planned stop that cuts off requests whose targets pause, or requests on kept
/// connections that are sent after the signal.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_cuts_off_no_request_at_a_silent_target() {
    let cases = cases();
    let mut deployment = Deployment::start_scripted(&cases).await;
    let (mut clients, mut late_clients) = (Vec::new(), Vec::new());
    for _ in &cases {
        clients.push(deployment.client().await);
        late_clients.push(deployment.client().await);
    }
    let opened = send_round("warm-before", &cases, &mut late_clients).await;
    assert!(opened.is_empty(), "{opened:?}");
    let late = async {
        sleep(LEAD).await;
        deployment.gateway.signal(Signal::SIGTERM);
        // The listener closes 2.6 s after the signal, while these requests are in flight.
        sleep(Duration::from_millis(1800)).await;
        send_round("late", &cases, &mut late_clients).await
    };
    let (wrong, late) = tokio::join!(send_round("stop", &cases, &mut clients), late);
    let wrong = [wrong, late].concat();
    assert!(wrong.is_empty(), "{wrong:?}\n{}", deployment.log());
    assert!(deployment.gateway.terminate(Duration::from_secs(8)));
    deployment.gateway.start();
    deployment.wait_ready(true).await;
    for client in &mut clients {
        *client = deployment.client().await;
    }
    let wrong = send_round("warm-after", &cases, &mut clients).await;
    assert!(wrong.is_empty(), "{wrong:?}\n{}", deployment.log());
}

/// Guards against requests that are lost in a quick series of configurations.
#[tokio::test(flavor = "multi_thread")]
async fn a_series_of_configurations_cuts_off_no_request() {
    let cases = cases();
    let deployment = Deployment::start_scripted(&cases).await;
    let mut clients = Vec::new();
    for _ in &cases {
        clients.push(deployment.client().await);
    }
    let changes = async {
        for version in 3..80 {
            let mut document = scripted_configuration(version, &cases);
            for index in 0..cases.len() {
                let route = route(&mut document, index);
                route["gap_aim_ms"] = json!(100 + version % 7 * 100);
                route["target_latency_ms"] = json!(500 + version % 5 * 500);
                route["timeout_ms"] = json!(6000 + version % 3 * 1000);
            }
            document["limits"] = json!({"max_header_bytes": 8000 + version * 100,
                "max_body_bytes": 1_000_000, "header_timeout_ms": 2000 + version % 4 * 500,
                "idle_timeout_ms": 4000 + version % 6 * 2000});
            deployment.put_configuration(&document, 200).await;
            sleep(Duration::from_millis(60)).await;
        }
    };
    let rounds = async {
        let mut wrong = Vec::new();
        for round in 0..4 {
            wrong.extend(send_round(&format!("round{round}"), &cases, &mut clients).await);
        }
        wrong
    };
    let ((), wrong) = tokio::join!(changes, rounds);
    let log = deployment.log();
    assert!(wrong.is_empty(), "{}\n{log}", wrong.join("\n"));
}
