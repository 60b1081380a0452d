//! Admission, priorities, cold starts and cancellation in the engine double.

#[path = "support/common.rs"]
mod common;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_testkit::Engine;
use azurelug_testkit::engine::{Counts, Faults, Settings};
use common::{TIMEOUT, get, local_address, next_token, post, start_stream, wait_until};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::task::JoinHandle;

async fn start_hanging_engine(settings: Settings) -> Engine {
    let engine = Engine::start(local_address(), settings)
        .await
        .expect("a free port");
    set_hang(&engine, true);
    engine
}

fn set_hang(engine: &Engine, hang: bool) {
    engine.set_faults(Faults {
        hang,
        ..Faults::default()
    });
}

/// Starts a call in the background and returns its status.
fn spawn_embedding(
    client: &Client,
    address: SocketAddr,
    id: &str,
    priority: i64,
) -> JoinHandle<u16> {
    let client = client.clone();
    let call = json!({ "model": "m@1", "input": "x", "request_id": id, "priority": priority });
    tokio::spawn(async move {
        let answer = post(&client, address, "/v1/embeddings", &call).await;
        answer.map_or(0, |(status, _)| status)
    })
}

async fn wait_for_waiting_calls(client: &Client, address: SocketAddr, expected: u64) {
    let waited = tokio::time::timeout(TIMEOUT, async {
        while get(client, address, "/v1/load").await["waiting"] != expected {
            tokio::task::yield_now().await;
        }
    });
    assert!(
        waited.await.is_ok(),
        "the number of waiting calls never was {expected}"
    );
}

/// Guards against a cold start that tolerates too many calls, which would hide a violation of P2.
#[tokio::test]
async fn a_call_over_the_cold_limit_fails_the_batch_and_is_counted() {
    let client = Client::pooled().unwrap();
    let engine = start_hanging_engine(Settings {
        cold_limit: 2,
        warm_after: 3,
        ..Settings::default()
    })
    .await;
    let address = engine.address();
    let first = spawn_embedding(&client, address, "a", 0);
    let second = spawn_embedding(&client, address, "b", 0);
    wait_until("two calls to run", || engine.counts().started == 2).await;
    assert_eq!(engine.counts().over_cold_limit, 0);
    let third = spawn_embedding(&client, address, "c", 0);
    for call in [first, second, third] {
        assert_eq!(call.await.unwrap(), 500);
    }
    let counts = engine.counts();
    assert_eq!((counts.over_cold_limit, counts.failed), (1, 3));
    assert_eq!(counts.max_running, 3);
}

/// Guards against an engine that never becomes warm, or that becomes warm through failed calls.
#[tokio::test]
async fn completed_calls_end_the_cold_start() {
    let client = Client::pooled().unwrap();
    let engine = Engine::start(
        local_address(),
        Settings {
            cold_limit: 1,
            warm_after: 2,
            ..Settings::default()
        },
    )
    .await
    .unwrap();
    let address = engine.address();
    for warm in [false, false, true] {
        let load = get(&client, address, "/v1/load").await;
        assert_eq!(load["warm"], warm);
        assert_eq!(
            spawn_embedding(&client, address, "a", 0).await.unwrap(),
            200
        );
    }
    set_hang(&engine, true);
    let calls = [
        spawn_embedding(&client, address, "b", 0),
        spawn_embedding(&client, address, "c", 0),
    ];
    wait_until("two calls to run", || engine.counts().started == 5).await;
    set_hang(&engine, false);
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    assert_eq!(engine.counts().over_cold_limit, 0);
    let faults = json!({ "go_cold": true });
    post(&client, address, "/test/faults", &faults)
        .await
        .unwrap();
    let load = get(&client, address, "/v1/load").await;
    assert_eq!(load["warm"], false, "go_cold starts a new cold start");
}

/// Guards against an engine that starts queued calls beyond the cold limit, which would count a
/// violation that no caller has caused.
#[tokio::test]
async fn queued_calls_start_within_the_cold_limit() {
    let client = Client::pooled().unwrap();
    let settings = Settings {
        max_running: 3,
        cold_limit: 1,
        warm_after: 2,
        ..Settings::default()
    };
    let engine = Engine::start(local_address(), settings).await.unwrap();
    let address = engine.address();
    for _ in 0..2 {
        assert_eq!(
            spawn_embedding(&client, address, "warm", 0).await.unwrap(),
            200
        );
    }
    set_hang(&engine, true);
    let calls: Vec<_> = (0..6)
        .map(|_| spawn_embedding(&client, address, "a", 0))
        .collect();
    wait_for_waiting_calls(&client, address, 3).await;
    engine.set_faults(Faults {
        go_cold: true,
        ..Faults::default()
    });
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    assert_eq!(engine.counts().over_cold_limit, 0);
}

/// Guards against an engine that ignores priorities or whose queue grows without bound.
#[tokio::test]
async fn the_queue_is_bounded_and_served_by_priority() {
    let client = Client::pooled().unwrap();
    let engine = start_hanging_engine(Settings {
        max_running: 1,
        max_waiting: 2,
        ..Settings::default()
    })
    .await;
    let address = engine.address();
    let running = spawn_embedding(&client, address, "running", 0);
    wait_until("the first call to run", || engine.counts().started == 1).await;
    let later = spawn_embedding(&client, address, "later", 5);
    wait_for_waiting_calls(&client, address, 1).await;
    let sooner = spawn_embedding(&client, address, "sooner", 1);
    wait_for_waiting_calls(&client, address, 2).await;

    let call = json!({ "model": "m@1", "input": "x" });
    let call = Call::post_json(address, "/v1/embeddings", &call, TIMEOUT);
    let refused = client.send(call).await.unwrap();
    assert_eq!(refused.status().as_u16(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(engine.counts().refused, 1);

    let cancel = json!({ "request_id": "running" });
    let (_, body) = post(&client, address, "/v1/requests/cancel", &cancel)
        .await
        .unwrap();
    assert_eq!(body, json!({ "cancelled": true }));
    assert_eq!(running.await.unwrap(), 499);
    wait_until("the next call to run", || engine.counts().started == 2).await;
    let by_request = engine.counts().by_request;
    assert!(by_request.contains_key("sooner") && !by_request.contains_key("later"));
    set_hang(&engine, false);
    assert_eq!((sooner.await.unwrap(), later.await.unwrap()), (200, 200));
    let counts: Counts =
        serde_json::from_value(get(&client, address, "/test/counts").await).unwrap();
    assert_eq!(
        (counts.finished, counts.cancelled, counts.max_running),
        (2, 1, 1)
    );
}

/// Guards against calls that occupy a slot after their client has disconnected, which would make
/// the engine's load reports wrong.
#[tokio::test]
async fn a_client_that_disconnects_cancels_its_call() {
    let client = Client::unpooled().unwrap();
    let engine = start_hanging_engine(Settings::default()).await;
    let address = engine.address();
    let call = spawn_embedding(&client, address, "whole", 0);
    wait_until("the call to run", || engine.counts().started == 1).await;
    call.abort();
    wait_until("the non-streamed call to be cancelled", || {
        engine.counts().cancelled == 1
    })
    .await;

    set_hang(&engine, false);
    let call: Value =
        json!({ "model": "m@1", "prompt": "p", "max_tokens": 100_000, "stream": true });
    let mut events = start_stream(&client, address, &call).await;
    assert!(next_token(&mut events).await.is_some());
    drop(events);
    wait_until("the stream to be cancelled", || {
        engine.counts().cancelled == 2
    })
    .await;
    assert_eq!(engine.counts().finished, 0);
}

/// Guards against `fail_every` failing other calls than every n-th.
#[tokio::test]
async fn every_third_call_fails() {
    let client = Client::pooled().unwrap();
    let engine = Engine::start(local_address(), Settings::default())
        .await
        .unwrap();
    engine.set_faults(Faults {
        fail_every: 3,
        ..Faults::default()
    });
    let mut statuses = Vec::new();
    for _ in 0..6 {
        statuses.push(
            spawn_embedding(&client, engine.address(), "a", 0)
                .await
                .unwrap(),
        );
    }
    assert_eq!(statuses, [200, 200, 500, 200, 200, 500]);
}
