//! Load reports, cache events, KV transfer and orders of the engine double.

#[path = "support/common.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_testkit::engine::{CacheEvents, Faults, Settings};
use azurelug_testkit::{Engine, text};
use common::{get, local_address, next_token, post, start_stream, wait_until};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Long enough that a skipped prefill is recognizable on a busy machine.
const PREFILL: Duration = Duration::from_millis(600);

/// Longer than the test run.
const NEVER: Duration = Duration::from_secs(3600);

fn prompt() -> String {
    "a season summary of cart sales. ".repeat(8)
}

/// Time to the complete response to a call for one token.
async fn time_completion(client: &Client, address: SocketAddr, id: &str) -> Duration {
    let call = json!({ "model": "m@1", "prompt": prompt(), "max_tokens": 1, "request_id": id });
    let started = Instant::now();
    let answer = post(client, address, "/v1/completions", &call).await;
    assert_eq!(answer.expect("a response").0, 200);
    started.elapsed()
}

/// Guards against reports without lag, which would leave routing on stale reports untested.
#[tokio::test]
async fn load_reports_show_the_load_one_lag_ago() {
    let client = Client::pooled().unwrap();
    for (lag, running) in [(NEVER, 0), (Duration::ZERO, 1)] {
        let settings = Settings {
            load_lag: lag,
            ..Settings::default()
        };
        let engine = Engine::start(local_address(), settings).await.unwrap();
        engine.set_faults(Faults {
            hang: true,
            ..Faults::default()
        });
        let call = json!({ "model": "m@1", "prompt": "p", "max_tokens": 1, "stream": true });
        let call = spawn_stream(&client, engine.address(), call);
        wait_until("the call to run", || engine.counts().started == 1).await;
        let load = get(&client, engine.address(), "/v1/load").await;
        assert_eq!(load["running"], running, "lag {lag:?}");
        assert_eq!(load["limit"], 8);
        assert!(load["reported_at_ms"].as_u64() >= load["started_at_ms"].as_u64());
        call.abort();
    }
}

fn spawn_stream(
    client: &Client,
    address: SocketAddr,
    call: Value,
) -> tokio::task::JoinHandle<Option<(u64, String)>> {
    let client = client.clone();
    tokio::spawn(async move { next_token(&mut start_stream(&client, address, &call).await).await })
}

/// Guards against a cache without effect on the prefill time, and against event hashes that differ
/// from those that routing computes.
#[tokio::test]
async fn a_cached_prefix_shortens_the_prefill() {
    let client = Client::pooled().unwrap();
    let settings = Settings {
        prefill_time: PREFILL,
        ..Settings::default()
    };
    let engine = Engine::start(local_address(), settings).await.unwrap();
    let address = engine.address();
    assert!(time_completion(&client, address, "a").await >= PREFILL);
    let second = time_completion(&client, address, "b").await;
    assert!(
        second < PREFILL,
        "the prefill of a cached prompt took {second:?}"
    );
    let events = get(&client, address, "/v1/cache_events?after=0").await;
    let events: CacheEvents = serde_json::from_value(events).unwrap();
    let hashes: Vec<u32> = events.events.iter().map(|e| e.prefix_hash).collect();
    assert_eq!(hashes, text::prefix_hashes("m@1", &prompt()));
    assert_eq!(events.oldest, 1);
    let rest = get(&client, address, "/v1/cache_events?after=3").await;
    assert_eq!(rest["events"][0]["seq"], 4);
}

/// Guards against a KV import that does not shorten the prefill, because then no test could tell
/// whether the import was used.
#[tokio::test]
async fn an_imported_kv_cache_saves_the_prefill() {
    let client = Client::pooled().unwrap();
    let settings = Settings {
        prefill_time: PREFILL,
        ..Settings::default()
    };
    let first = Engine::start(local_address(), settings.clone())
        .await
        .unwrap();
    let second = Engine::start(local_address(), settings).await.unwrap();
    time_completion(&client, first.address(), "a").await;
    let kv = get(&client, first.address(), "/v1/kv/a").await;
    let (status, body) = post(&client, second.address(), "/v1/kv", &kv)
        .await
        .unwrap();
    assert_eq!((status, body), (200, json!({ "tokens": 1 })));
    let continued = time_completion(&client, second.address(), "a").await;
    assert!(
        continued < PREFILL,
        "the prefill after an import took {continued:?}"
    );
}

/// Guards against an unbounded cache, and against `cache_lag` and `cache_gap_rate` without effect.
#[tokio::test]
async fn cache_events_include_evictions_and_follow_the_configured_gaps_and_lag() {
    let client = Client::pooled().unwrap();
    let variants = [
        (Duration::ZERO, 0.0, 6),
        (Duration::ZERO, 1.0, 0),
        (NEVER, 0.0, 0),
    ];
    for (cache_lag, cache_gap_rate, published) in variants {
        let settings = Settings {
            cache_lag,
            cache_gap_rate,
            cache_blocks: 2,
            ..Settings::default()
        };
        let engine = Engine::start(local_address(), settings).await.unwrap();
        for letter in ["a", "b", "c", "d"] {
            let call = json!({ "model": "m@1", "prompt": letter.repeat(64), "max_tokens": 1 });
            let answer = post(&client, engine.address(), "/v1/completions", &call).await;
            assert_eq!(answer.unwrap().0, 200);
        }
        let events = get(&client, engine.address(), "/v1/cache_events?after=0").await;
        let events: CacheEvents = serde_json::from_value(events).unwrap();
        assert_eq!(
            events.events.len(),
            published,
            "{cache_lag:?} {cache_gap_rate}"
        );
        let evicted = events.events.iter().filter(|e| e.kind == "evicted");
        assert_eq!(evicted.count(), published / 3);
    }
}

/// Guards against an engine that accepts orders of a former leader although it checks fencing
/// numbers, and against one that checks them although it is configured to ignore them.
#[tokio::test]
async fn a_stale_fencing_number_is_rejected_unless_fencing_is_ignored() {
    let client = Client::pooled().unwrap();
    for ignores_fencing in [false, true] {
        let settings = Settings {
            ignores_fencing,
            ..Settings::default()
        };
        let engine = Engine::start(local_address(), settings).await.unwrap();
        let role =
            |role: &str, fencing: u64| json!({ "order": "role", "role": role, "fencing": fencing });
        let address = engine.address();
        for (name, fencing) in [("prefill", 7), ("decode", 7)] {
            let answer = post(&client, address, "/v1/orders", &role(name, fencing)).await;
            assert_eq!(answer.unwrap().0, 200);
        }
        let old = post(&client, address, "/v1/orders", &role("old", 6)).await;
        let (status, body) = old.unwrap();
        if ignores_fencing {
            assert_eq!((status, engine.state().role.as_str()), (200, "old"));
            assert_eq!(engine.state().history.len(), 3);
        } else {
            assert_eq!((status, body), (409, json!({ "current_fencing": 7 })));
            assert_eq!(engine.state().role, "decode");
            assert_eq!(engine.state().history.len(), 2);
        }
    }
}
