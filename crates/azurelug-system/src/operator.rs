//! What an operator and a caller do, by HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_types::config::{Config, State};
use azurelug_types::id::{Version, ZoneName};
use azurelug_types::patch::{Answer, Change, Patch};
use http::{HeaderName, HeaderValue};
use serde_json::Value;

/// Time for one call.
const TIMEOUT: Duration = Duration::from_secs(8);

/// The longest answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// An HTTP client that shows what it got.
#[derive(Clone)]
pub struct Operator {
    client: Client,
}

impl Default for Operator {
    fn default() -> Self {
        Self::new()
    }
}

impl Operator {
    /// A client without open connections.
    ///
    /// # Panics
    /// If the HTTP client can't be built.
    pub fn new() -> Self {
        Self {
            client: Client::unpooled().expect("build the client"),
        }
    }

    /// Reads a JSON document; none if nothing or something else answers.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, Value)> {
        let call = Call::get(address, path, TIMEOUT);
        let (status, body) = self.client.send_whole(call, ANSWER_LIMIT).await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// The version in force at a control daemon.
    pub async fn config(&self, address: SocketAddr) -> Option<Config> {
        let (_, value) = self.get(address, "/v1/config").await?;
        serde_json::from_value(value).ok()
    }

    /// Sends a patch; none if no answer came.
    pub async fn patch(&self, address: SocketAddr, patch: &Patch) -> Option<Answer> {
        let call = Call::post_json(address, "/v1/patches", patch, TIMEOUT);
        let (_, body) = self.client.send_whole(call, ANSWER_LIMIT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends changes against the version in force and expects them to be accepted.
    ///
    /// # Panics
    /// If the patch is not accepted.
    pub async fn change(&self, address: SocketAddr, changes: Vec<Change>) -> Version {
        let base_version = self.config(address).await.expect("control answers").version;
        let patch = patch(base_version, changes);
        match self.patch(address, &patch).await {
            Some(Answer::Accepted { version }) => version,
            other => panic!("the patch was not accepted: {other:?}"),
        }
    }

    /// Calls an operation of a plain service; none if no answer came.
    pub async fn service(
        &self,
        entry: SocketAddr,
        account_key: &str,
        path: &str,
        idempotency_key: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let mut call = Call::post_json(entry, format!("/v1/services/{path}"), body, TIMEOUT * 2);
        let header = |name: &'static str, text: &str| {
            let value = HeaderValue::from_str(text).expect("header values are plain text");
            (HeaderName::from_static(name), value)
        };
        call.headers
            .push(header("authorization", &format!("Bearer {account_key}")));
        call.headers
            .push(header("idempotency-key", idempotency_key));
        let (status, body) = self.client.send_whole(call, ANSWER_LIMIT).await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or_default()))
    }
}

/// A patch with a new id.
pub fn patch(base_version: Version, changes: Vec<Change>) -> Patch {
    Patch {
        patch_id: uuid::Uuid::now_v7().to_string(),
        base_version,
        author: "test".to_owned(),
        changes,
    }
}

/// The change that sets a zone's state.
pub fn zone_state(zone: &str, state: State) -> Change {
    Change::SetZoneState {
        name: ZoneName::from(zone),
        state,
    }
}
