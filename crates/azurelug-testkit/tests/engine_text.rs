//! Generated text of the engine double: determinism, resumption, duplicates and premature ends of
//! streams.

#[path = "support/common.rs"]
mod common;

use azurelug_http::Client;
use azurelug_testkit::engine::{Faults, Settings};
use azurelug_testkit::{Engine, text};
use common::{get, local_address, next_token, post, start_stream};
use serde_json::json;

/// Guards against text that depends on the engine instance, which would make a resumed stream
/// differ from an uninterrupted one.
#[tokio::test]
async fn another_engine_continues_the_same_text() {
    let client = Client::pooled().unwrap();
    let first = Engine::start(local_address(), Settings::default())
        .await
        .unwrap();
    let second = Engine::start(local_address(), Settings::default())
        .await
        .unwrap();
    first.set_faults(Faults {
        stop_after_tokens: 5,
        ..Faults::default()
    });
    let mut call = json!({
        "model": "m@1", "prompt": "winter renewal", "max_tokens": 12, "stream": true,
        "request_id": "r1",
    });
    let mut read = Vec::new();
    let mut events = start_stream(&client, first.address(), &call).await;
    while let Some(token) = next_token(&mut events).await {
        read.push(token);
    }
    assert_eq!(read.len(), 5, "the first stream ends early");
    call["resume_from"] = json!(5);
    let mut events = start_stream(&client, second.address(), &call).await;
    while let Some(token) = next_token(&mut events).await {
        read.push(token);
    }
    let indices: Vec<u64> = read.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, (0..12).collect::<Vec<_>>());
    let joined: String = read.into_iter().map(|(_, text)| text).collect();
    assert_eq!(joined, text::tokens("m@1", "winter renewal", 0, 12));

    call["stream"] = json!(false);
    call["resume_from"] = json!(0);
    let (status, whole) = post(&client, second.address(), "/v1/completions", &call)
        .await
        .unwrap();
    assert_eq!((status, whole["id"].as_str()), (200, Some("r1")));
    assert_eq!(whole["choices"][0]["text"], joined.as_str());
    assert_eq!(first.counts().failed, 1, "a premature end counts as failed");
}

/// Guards against equal texts for different requests, with which a response that is delivered to
/// the wrong request would go unnoticed.
#[test]
fn texts_differ_by_model_and_prompt() {
    let of = |model, prompt| text::tokens(model, prompt, 0, 6);
    assert_ne!(of("m@1", "a"), of("m@1", "b"));
    assert_ne!(of("m@1", "a"), of("m@2", "a"));
    assert_ne!(of("m@1", "a"), of("m+x@1", "a"));
    assert_ne!(text::token("m@1", "a", 0), text::token("m@1", "a", 1));
}

/// Guards against a `duplicate_every` fault without effect, which would leave deduplication
/// untested.
#[tokio::test]
async fn duplicated_tokens_carry_the_same_number() {
    let client = Client::pooled().unwrap();
    let engine = Engine::start(local_address(), Settings::default())
        .await
        .unwrap();
    engine.set_faults(Faults {
        duplicate_every: 2,
        ..Faults::default()
    });
    let call = json!({ "model": "m@1", "prompt": "p", "max_tokens": 4, "stream": true });
    let mut events = start_stream(&client, engine.address(), &call).await;
    let mut indices = Vec::new();
    while let Some((index, _)) = next_token(&mut events).await {
        indices.push(index);
    }
    assert_eq!(indices, [0, 1, 1, 2, 3, 3]);
}

/// Guards against an engine that accepts calls for models that are not loaded.
#[tokio::test]
async fn a_model_that_is_not_loaded_is_not_found() {
    let client = Client::pooled().unwrap();
    let engine = Engine::start(local_address(), Settings::default())
        .await
        .unwrap();
    let address = engine.address();
    let call = json!({ "model": "m+wax@2", "input": "x", "request_id": "r" });
    let (status, _) = post(&client, address, "/v1/embeddings", &call)
        .await
        .unwrap();
    assert_eq!(status, 404);
    let load = json!({ "order": "load", "model": "m+wax@2", "fencing": 3 });
    let (status, _) = post(&client, address, "/v1/orders", &load).await.unwrap();
    assert_eq!(status, 200);
    let (status, body) = post(&client, address, "/v1/embeddings", &call)
        .await
        .unwrap();
    assert_eq!((status, body["id"].as_str()), (200, Some("r")));
    let embedding = body["data"][0]["embedding"].as_array().unwrap();
    assert_eq!(embedding.len(), text::EMBEDDING_LEN);
    let state = get(&client, address, "/v1/state").await;
    assert_eq!(state["history"][0]["model"], "m+wax@2");
}
