//! An operator that changes the configuration and reads it back, and orders to control daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::h1::client::Connection;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::checker::Checker;
use super::deployment::Deployment;
use super::keys::{PERMANENT_KEY, Rotated, rotated};

/// Time after which an order is no longer retried.
const ORDER_LIMIT: Duration = Duration::from_secs(20);

/// Timeout of one call.
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// Starts an operator that sends a new configuration version every second or so and reads the
/// configuration in between.
pub fn start(deployment: &Deployment, seed: u64) -> JoinHandle<()> {
    let controls = deployment.controls();
    let checker = deployment.checker();
    let random = Pcg64::seed_from_u64(seed + 7);
    tokio::spawn(run_operator(controls, checker, random))
}

async fn run_operator(controls: Vec<SocketAddr>, checker: Arc<Checker>, mut random: Pcg64) {
    let mut acknowledged = 1;
    checker.keys.record_acknowledged(1, checker.limits.now());
    for version in 2_u64.. {
        let body = Bytes::from(configuration(version).to_string());
        checker.keys.record_sent(version);
        if send_order(&controls, Method::PUT, "/configuration", body).await {
            acknowledged = version;
            let now = checker.limits.now();
            checker.keys.record_acknowledged(version, now);
        }
        for _ in 0..random.random_range(1..4) {
            let control = controls[random.random_range(0..controls.len())];
            let expected = acknowledged;
            let read = call(control, Method::GET, "/configuration", Bytes::new()).await;
            if let Some((200, body)) = read {
                checker.record_config_read();
                check_read(&checker, &body, expected);
            }
            sleep(Duration::from_millis(random.random_range(50..500))).await;
        }
    }
}

fn check_read(checker: &Checker, body: &Bytes, acknowledged: u64) {
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    let version = document["version"].as_u64().unwrap_or_default();
    if version < acknowledged {
        checker.record_violation(format!(
            "version {version} was read after version {acknowledged} had been acknowledged"
        ));
    }
    if document != configuration(version) {
        checker.record_violation(format!(
            "version {version} differs from the document that was sent"
        ));
    }
}

/// Sends an order to the control daemons in turn until one acknowledges it; false after
/// `ORDER_LIMIT`.
pub async fn send_order(controls: &[SocketAddr], method: Method, path: &str, body: Bytes) -> bool {
    let started = Instant::now();
    for control in controls.iter().cycle() {
        let answer = call(*control, method.clone(), path, body.clone()).await;
        if answer.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        if started.elapsed() > ORDER_LIMIT {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Sends one call; none without an answer.
pub(super) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<(u16, Bytes)> {
    let called = timeout(CALL_LIMIT, async {
        let mut connection = Connection::open(address, CALL_LIMIT, CALL_LIMIT)
            .await
            .ok()?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "control");
        let request = request.body(Full::new(body)).ok()?;
        let response = connection.send(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?;
        Some((status, body.to_bytes()))
    });
    called.await.ok()?
}

/// A configuration with an idempotent route, one that is not idempotent, two streaming routes, one of
/// them with stages, and two routes that serve requests without a key, always or in some versions.
/// All settings that leave the answers as they are depend on the version; a spare service with a
/// route comes and goes. Keys come and go, but none returns.
#[must_use]
pub fn configuration(version: u64) -> Value {
    // Version 1 has the first values.
    let step_of = |step: u64| (version.saturating_sub(1) / step) as usize;
    let pick = |step: u64, values: &[u64]| values[step_of(step) % values.len()];
    let timeout = 4000 + version % 50;
    let latency = pick(2, &[1000, 500, 2000]);
    let gap = pick(1, &[400, 200, 1000]);
    let attempts = pick(5, &[2, 3]);
    let route = |name: &str, kind: &str, service: &str, attempts: u64| {
        json!({"name": name, "host": "carts.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": timeout, "target_latency_ms": latency, "priority": 0,
            "service": service, "max_attempts": attempts, "resume_streams": true,
            "gap_aim_ms": gap, "stages": []})
    };
    let mut chat = route("chat", "streaming", "llm", attempts);
    chat["stages"] = json!([
        {"service": "encode", "after": [], "bytes": pick(3, &[1000, 200_000])},
        {"service": "encode", "after": [0], "bytes": 1000}
    ]);
    let mut look = route("look", "safe", "desk", attempts);
    if version.is_multiple_of(3) {
        look["traffic_split"] = json!([{"service": "desk", "weight": pick(1, &[1, 90])},
            {"service": "encode", "weight": 0}]);
    }
    let open = |name: &str, is_open: bool| {
        let mut route = route(name, "safe", "desk", attempts);
        route["allow_anonymous"] = json!(is_open);
        route
    };
    let mut routes = vec![
        chat,
        look,
        route("book", "unsafe", "desk", 1),
        route("talk", "streaming", "llm", attempts),
        open("open", true),
        open("half", pick(2, &[0, 1]) == 1),
    ];
    let pieces = json!({"slots": pick(2, &[1, 2]), "queue": 2, "batch": pick(3, &[8, 4]),
        "call_ms": pick(2, &[20, 40]), "item_ms": 1, "room_mb": 10, "handle_s": pick(4, &[4, 8])});
    let mut services = vec![
        json!({"name": "llm", "max_connections": pick(3, &[200, 100]), "cold_start_s": 0,
            "cold_per_s": 0}),
        json!({"name": "desk"}),
        json!({"name": "encode", "pieces": pieces}),
    ];
    let keys = std::iter::once(PERMANENT_KEY.to_owned());
    let keys: Vec<String> = keys.chain(rotated(version).map(Rotated::text)).collect();
    if version.is_multiple_of(2) {
        routes.push(route("spare", "safe", "spare", 2));
        services.push(json!({"name": "spare"}));
    }
    json!({"version": version, "routes": routes, "services": services,
        "tenants": [{"name": "carts", "api_keys": keys, "priority": pick(3, &[0, 1])},
            {"name": "tolls", "api_keys": ["key-2"], "priority": 0}],
        "limits": {"max_header_bytes": pick(2, &[16_384, 8192, 65_536]),
            "max_body_bytes": 4_194_304, "header_timeout_ms": pick(3, &[3000, 1000]),
            "idle_timeout_ms": pick(1, &[15_000, 2000, 5000])}})
}
