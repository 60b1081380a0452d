//! Calls to the doubles, shared by the test files.
#![allow(
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    reason = "each test file uses a part of these helpers, which are test code"
)]

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::client::{Call, Events};
use azurelug_http::{Client, Error};
use serde_json::Value;

/// Longer than any call of the tests takes, so that only a hanging call reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum length in bytes of a response that the tests read.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

pub fn local_address() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub async fn get(client: &Client, address: SocketAddr, path: &str) -> Value {
    let call = Call::get(address, path, TIMEOUT);
    let (status, body) = client.send_whole(call, MAX_RESPONSE_BYTES).await.unwrap();
    assert_eq!(status, 200, "GET {path}: {body:?}");
    serde_json::from_slice(&body).unwrap()
}

pub async fn post(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<(u16, Value), Error> {
    let call = Call::post_json(address, path, body, TIMEOUT);
    let (status, body) = client.send_whole(call, MAX_RESPONSE_BYTES).await?;
    Ok((status, serde_json::from_slice(&body).unwrap()))
}

/// Starts a stream and checks that it is accepted.
pub async fn start_stream(client: &Client, address: SocketAddr, body: &Value) -> Events {
    let call = Call::post_json(address, "/v1/completions", body, TIMEOUT);
    let response = client.send(call).await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    Events::new(response, address)
}

/// The next token of a stream as index and text; `None` at `[DONE]` or a premature end.
pub async fn next_token(events: &mut Events) -> Option<(u64, String)> {
    let event = tokio::time::timeout(TIMEOUT, events.next()).await;
    let event = event.expect("a token within the timeout").ok()??;
    if event.data == "[DONE]" {
        return None;
    }
    let value: Value = serde_json::from_str(&event.data).unwrap();
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().unwrap().to_owned();
    Some((choice["token_index"].as_u64().unwrap(), text))
}

/// Polls until `check` holds, and fails the test after [`TIMEOUT`].
pub async fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(TIMEOUT, async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting for: {what}");
}
