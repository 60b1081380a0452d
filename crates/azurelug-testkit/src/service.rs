//! A service with non-idempotent calls, which counts the executions.
//!
//! Holds the counters and the faults. It never deduplicates, so that a call that is sent twice is
//! counted twice.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurelug_http::{Error, answer};
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use volo::net::Address;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::error_response::{ErrorResponse, parse_json};
use crate::test_server::{Connections, TestServer};

/// Maximum number of entries in each map of counters; further keys are not counted.
const MAX_COUNTED_KEYS: usize = 1_000_000;

/// Settings of a service.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Seed of the random faults.
    pub seed: u64,
    /// Faults at startup.
    pub faults: Faults,
}

/// Faults of a service. `POST /test/faults` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of next calls that are executed and whose connection is closed without a response.
    pub lose_next: u64,
    /// Fraction of calls, 0.0 to 1.0, that are executed and whose response is lost.
    pub lose_share: f64,
    /// Number of next calls whose connection is closed before the body is read, without execution.
    pub close_next: u64,
    /// Milliseconds between execution and response.
    pub delay_ms: u64,
    /// Calls are executed but never answered, and their connection stays open.
    pub hang: bool,
}

/// Counters of executions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions per `Idempotency-Key`.
    pub keys: BTreeMap<String, u64>,
    /// Executions per operation.
    pub operations: BTreeMap<String, u64>,
    /// Executions per `Azurelug-Request-Id`.
    #[serde(default)]
    pub requests: BTreeMap<String, u64>,
    /// Executions per body digest, see [`digest`].
    pub digests: BTreeMap<String, u64>,
}

/// The response to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The operation from the path.
    pub operation: String,
    /// Number of this execution, from 1.
    pub sequence: u64,
    /// Digest of the body.
    pub echo_digest: String,
}

/// A running service.
pub struct Service {
    server: TestServer,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    connections: Arc<Connections>,
}

struct State {
    faults: Faults,
    random: Pcg32,
    sequence: u64,
    executions: Executions,
}

/// SHA-256 of a body in hexadecimal.
pub fn digest(body: &[u8]) -> String {
    let bytes = sha2::Sha256::digest(body);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Service {
    /// Starts a service on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let state = Mutex::new(State {
            faults: settings.faults,
            random: Pcg32::seed_from_u64(settings.seed),
            sequence: 0,
            executions: Executions::default(),
        });
        let mut shared_state = None;
        let server = TestServer::start(address, |connections| {
            let shared = Arc::new(Shared { state, connections });
            shared_state = Some(shared.clone());
            Router::new().fallback(move |peer: Address, request: Request| {
                let shared = shared.clone();
                async move { shared.handle(&peer, request).await }
            })
        })
        .await?;
        let shared = shared_state.expect("the router is built before the server starts");
        Ok(Self { server, shared })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Counters of the executions so far.
    pub fn executions(&self) -> Executions {
        self.shared.lock().executions.clone()
    }

    /// Closes the listener and all connections, as a crash of the process would.
    pub fn close(self) {
        self.server.close();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, peer: &Address, request: Request) -> Response {
        let path = request.uri().path().trim_start_matches('/').to_owned();
        let method = request.method().clone();
        if method == Method::GET && path == "test/executions" {
            return answer::json(200, &self.lock().executions);
        }
        if method != Method::POST || path.is_empty() {
            return ErrorResponse::new(404, "POST an operation, such as /book").into_response();
        }
        if path == "test/faults" {
            return self.replace_faults(request).await;
        }
        self.execute(path, peer, request).await
    }

    async fn replace_faults(&self, request: Request) -> Response {
        match parse_json::<Faults>(request).await {
            Ok(faults) => {
                self.lock().faults = faults.clone();
                answer::json(200, &faults)
            }
            Err(error) => error.into_response(),
        }
    }

    async fn execute(&self, operation: String, peer: &Address, request: Request) -> Response {
        let closes_connection = use_up_one(&mut self.lock().faults.close_next);
        if closes_connection {
            return self.close_without_response(peer).await;
        }
        let header = |name| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let (key, id) = (header("idempotency-key"), header("azurelug-request-id"));
        let body = match answer::read_body(request.into_body(), answer::BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return ErrorResponse::new(400, &error.to_string()).into_response(),
        };
        let (answer, faults, loses_response) = {
            let mut state = self.lock();
            if let Some(id) = id {
                count(&mut state.executions.requests, id);
            }
            state.execute(operation, key, digest(&body))
        };
        if loses_response {
            return self.close_without_response(peer).await;
        }
        if faults.hang {
            return pending().await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        answer::json(200, &answer)
    }

    /// Closes the connection. The server drops this future once it sees the end of the stream.
    async fn close_without_response(&self, peer: &Address) -> Response {
        if let Address::Ip(peer) = peer {
            self.connections.close(*peer);
        }
        pending().await
    }
}

impl State {
    fn execute(
        &mut self,
        operation: String,
        key: Option<String>,
        echo_digest: String,
    ) -> (Answer, Faults, bool) {
        self.sequence += 1;
        count(&mut self.executions.operations, operation.clone());
        count(&mut self.executions.digests, echo_digest.clone());
        if let Some(key) = key {
            count(&mut self.executions.keys, key);
        }
        let by_share = self.random.random_range(0.0..1.0) < self.faults.lose_share;
        let loses_response = use_up_one(&mut self.faults.lose_next) || by_share;
        let answer = Answer {
            operation,
            sequence: self.sequence,
            echo_digest,
        };
        (answer, self.faults.clone(), loses_response)
    }
}

fn use_up_one(left: &mut u64) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

fn count(counts: &mut BTreeMap<String, u64>, key: String) {
    if counts.len() < MAX_COUNTED_KEYS || counts.contains_key(&key) {
        *counts.entry(key).or_default() += 1;
    }
}
