//! An HTTP client for the operations of operators and callers.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_types::config::{Config, State};
use azurelug_types::id::{Version, ZoneName};
use azurelug_types::patch::{Answer, Change, Patch};
use http::{HeaderName, HeaderValue};
use serde_json::Value;

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum length of an answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// An HTTP client that returns status and body of each answer.
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
    /// Builds a client that opens a new connection for each call.
    ///
    /// # Panics
    /// If the HTTP client can't be built.
    pub fn new() -> Self {
        Self {
            client: Client::unpooled().expect("build the client"),
        }
    }

    /// Reads a JSON document; none if the call fails. A body that is not JSON is returned as null.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<(u16, Value)> {
        let call = Call::get(address, path, TIMEOUT);
        let (status, body) = self.client.send_whole(call, ANSWER_LIMIT).await.ok()?;
        Some((status, serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// The configuration in force at a control daemon; none if it can't be read.
    pub async fn config(&self, address: SocketAddr) -> Option<Config> {
        let (_, value) = self.get(address, "/v1/config").await?;
        serde_json::from_value(value).ok()
    }

    /// Sends a patch; none without a valid answer.
    pub async fn patch(&self, address: SocketAddr, patch: &Patch) -> Option<Answer> {
        let call = Call::post_json(address, "/v1/patches", patch, TIMEOUT);
        let (_, body) = self.client.send_whole(call, ANSWER_LIMIT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends changes based on the version in force and returns the accepted version.
    ///
    /// # Panics
    /// If the patch is not accepted.
    pub async fn change(&self, address: SocketAddr, changes: Vec<Change>) -> Version {
        let base_version = self
            .config(address)
            .await
            .expect("read the configuration")
            .version;
        let patch = patch(base_version, changes);
        match self.patch(address, &patch).await {
            Some(Answer::Accepted { version }) => version,
            other => panic!("the patch was not accepted: {other:?}"),
        }
    }

    /// Calls an operation of a plain service; none if the call fails.
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

/// Builds a patch with a new id.
pub fn patch(base_version: Version, changes: Vec<Change>) -> Patch {
    Patch {
        patch_id: uuid::Uuid::now_v7().to_string(),
        base_version,
        author: "test".to_owned(),
        changes,
    }
}

/// Builds the change that sets a zone's state.
pub fn zone_state(zone: &str, state: State) -> Change {
    Change::SetZoneState {
        name: ZoneName::from(zone),
        state,
    }
}
