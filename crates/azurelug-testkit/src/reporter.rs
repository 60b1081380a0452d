//! A load reporter: polls engines and reports their loads with a delay and with missing entries.
//!
//! Holds the recent polls. It never interprets the load reports of the engines.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurelug_http::client::Call;
use azurelug_http::{Client, Error, answer};
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::engine::Load;
use crate::error_response::{ErrorResponse, parse_json};
use crate::history::History;
use crate::test_server::TestServer;

/// Time limit of one poll. An engine that works responds well within it.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum length of a load report in bytes.
const MAX_REPORT_BYTES: usize = 4096;

/// Settings of a reporter.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Engines that are polled.
    pub engines: Vec<SocketAddr>,
    /// Interval between polls.
    pub interval: Duration,
    /// Age of the polls that are reported.
    pub lag: Duration,
    /// Fraction of entries, 0.0 to 1.0, that are left out of each poll.
    pub missing: f64,
    /// Seed for the choice of missing entries.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            engines: Vec::new(),
            interval: Duration::from_millis(100),
            lag: Duration::ZERO,
            missing: 0.0,
            seed: 1,
        }
    }
}

/// The load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address of the engine.
    pub address: SocketAddr,
    /// The engine's load report.
    #[serde(flatten)]
    pub load: Load,
}

/// The response to `GET /v1/loads`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// Number of the poll, from 1; 0 before the first poll.
    pub poll: u64,
    /// Loads. Engines that did not respond are missing as well.
    pub loads: Vec<Entry>,
}

/// A running reporter.
pub struct Reporter {
    server: TestServer,
    shared: Arc<Shared>,
    poll_task: tokio::task::JoinHandle<()>,
}

struct Shared {
    started_at: Instant,
    state: Mutex<State>,
}

struct State {
    engines: Vec<SocketAddr>,
    missing: f64,
    random: Pcg32,
    polls: u64,
    history: History<Loads>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    #[serde(default)]
    engines: Option<Vec<SocketAddr>>,
    #[serde(default)]
    missing: Option<f64>,
}

impl Reporter {
    /// Starts a reporter on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local, `Build` if no client can be built.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let client = Client::pooled()?;
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            state: Mutex::new(State {
                engines: settings.engines,
                missing: settings.missing,
                random: Pcg32::seed_from_u64(settings.seed),
                polls: 0,
                history: History::new(settings.lag, Loads::default()),
            }),
        });
        let served = shared.clone();
        let server = TestServer::start(address, |_| {
            Router::new().fallback(move |request: Request| {
                let shared = served.clone();
                async move { shared.handle(request).await }
            })
        })
        .await?;
        let polled = shared.clone();
        let poll_task = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(settings.interval);
            loop {
                ticks.tick().await;
                polled.poll(&client).await;
            }
        });
        Ok(Self {
            server,
            shared,
            poll_task,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the polled engines.
    pub fn set_engines(&self, engines: Vec<SocketAddr>) {
        self.shared.lock().engines = engines;
    }

    /// Stops the polls and closes the listener and all connections.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        self.poll_task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn poll(&self, client: &Client) {
        let engines = self.lock().engines.clone();
        let polls = engines.into_iter().map(|engine| poll_one(client, engine));
        let polled: VecDeque<Option<Entry>> = futures_util::future::join_all(polls).await.into();
        let mut state = self.lock();
        let missing = state.missing;
        let mut loads = Vec::new();
        for entry in polled {
            // Drawn for every engine, so that an engine that is down does not change which later
            // entries are missing.
            let is_missing = state.random.random_range(0.0..1.0) < missing;
            loads.extend(entry.filter(|_| !is_missing));
        }
        state.polls += 1;
        let poll = state.polls;
        let now = self.started_at.elapsed();
        state.history.record(now, Loads { poll, loads });
    }

    async fn handle(&self, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/loads") => {
                let now = self.started_at.elapsed();
                answer::json(200, self.lock().history.report(now).1)
            }
            (&Method::POST, "/test/reporter") => match parse_json::<Change>(request).await {
                Ok(change) => self.change(change),
                Err(error) => error.into_response(),
            },
            _ => ErrorResponse::new(404, "GET /v1/loads or POST /test/reporter").into_response(),
        }
    }

    fn change(&self, change: Change) -> Response {
        let mut state = self.lock();
        if let Some(engines) = change.engines {
            state.engines = engines;
        }
        if let Some(missing) = change.missing {
            state.missing = missing;
        }
        answer::json(
            200,
            &serde_json::json!({ "engines": state.engines, "missing": state.missing }),
        )
    }
}

async fn poll_one(client: &Client, address: SocketAddr) -> Option<Entry> {
    let call = Call::get(address, "/v1/load", POLL_TIMEOUT);
    let (status, body) = client.send_whole(call, MAX_REPORT_BYTES).await.ok()?;
    let load = serde_json::from_slice(&body)
        .ok()
        .filter(|_| status == 200)?;
    Some(Entry { address, load })
}
