//! A model engine with continuous batching, a prompt prefix cache, cold starts and delayed reports.
//!
//! Its text output is deterministic, see [`crate::text`]. The engine holds its schedule, its cache
//! and its loaded models. It never retries and never calls another process.

mod api;
mod cache;
mod completion;
mod orders;
mod reports;
mod schedule;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use azurelug_http::Error;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::server::route::Router;

use crate::history::History;
use crate::test_server::TestServer;

pub use cache::{CacheEvent, CacheEvents};
pub use orders::{AcceptedOrder, Order, State};
pub use reports::{Counts, Load};

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model strings that are loaded at startup.
    pub models: Vec<String>,
    /// Role at startup.
    pub role: String,
    /// Maximum number of concurrently running calls.
    pub max_running: usize,
    /// Maximum number of calls that wait for a free slot.
    pub max_waiting: usize,
    /// Duration of a prefill without cached prefix, and of every call that generates no text.
    pub prefill_time: Duration,
    /// Time per generated token.
    pub token_time: Duration,
    /// Maximum number of concurrently running calls during a cold start.
    pub cold_limit: usize,
    /// Number of completed calls after which a cold start ends; 0 starts warm.
    pub warm_after: u64,
    /// Factor by which a cold start multiplies the prefill time.
    pub cold_factor: u32,
    /// Age of the values in load reports.
    pub load_lag: Duration,
    /// Delay between a cache event and its publication.
    pub cache_lag: Duration,
    /// Fraction of cache events, 0.0 to 1.0, that are never published.
    pub cache_gap_rate: f64,
    /// Capacity of the cache in prefix blocks.
    pub cache_blocks: usize,
    /// Time to load a model.
    pub load_time: Duration,
    /// Accepts orders regardless of their fencing number.
    pub ignores_fencing: bool,
    /// Seed for the choice of unpublished cache events.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models: vec!["m@1".to_owned()],
            role: "generate".to_owned(),
            max_running: 8,
            max_waiting: 16,
            prefill_time: Duration::from_millis(5),
            token_time: Duration::from_millis(1),
            cold_limit: 2,
            warm_after: 0,
            cold_factor: 1,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_gap_rate: 0.0,
            cache_blocks: 256,
            load_time: Duration::ZERO,
            ignores_fencing: false,
            seed: 1,
        }
    }
}

/// Faults of an engine. `POST /test/faults` replaces all of them; zero and false mean none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Milliseconds added to the prefill of each call.
    pub delay_ms: u64,
    /// Every n-th call fails with 500 when it starts.
    pub fail_every: u64,
    /// Stops each generation after this many tokens: a stream ends without `[DONE]`, a response
    /// that is not streamed is a 500.
    pub stop_after_tokens: u64,
    /// Sends every n-th token of a stream twice.
    pub duplicate_every: u64,
    /// Every n-th call is answered with the id of another call.
    pub wrong_id_every: u64,
    /// Starts a cold start immediately. Takes effect once and is not stored.
    pub go_cold: bool,
    /// Calls start but make no progress until the fault is cleared.
    pub hang: bool,
    /// Streams produce no token until the fault is cleared.
    pub pause: bool,
}

/// A running engine.
pub struct Engine {
    server: TestServer,
    shared: Arc<Shared>,
}

/// State shared by the request handlers.
struct Shared {
    settings: Settings,
    started_at: Instant,
    started_at_ms: u64,
    inner: Mutex<Inner>,
    faults: tokio::sync::watch::Sender<Faults>,
}

struct Inner {
    schedule: schedule::Schedule,
    cache: cache::Cache,
    orders: orders::Orders,
    load: History<reports::LoadSample>,
    kv: completion::KvStore,
}

impl Engine {
    /// Starts an engine on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let shared = Arc::new(Shared::new(settings));
        let shared_state = shared.clone();
        let server = TestServer::start(address, |_| {
            Router::new().fallback(move |request: Request| {
                let shared = shared.clone();
                async move { api::handle(shared, request).await }
            })
        })
        .await?;
        Ok(Self {
            server,
            shared: shared_state,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Counters of the calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().schedule.counts.clone()
    }

    /// Loaded models, role, fencing number and accepted orders.
    pub fn state(&self) -> State {
        self.shared.lock().orders.state()
    }

    /// Closes the listener and all connections, as a crash of the process would.
    pub fn close(self) {
        self.server.close();
    }
}

impl Shared {
    fn new(settings: Settings) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_at_ms = now.map_or(0, reports::millis);
        let schedule = schedule::Schedule::new(&settings);
        let inner = Inner {
            load: History::new(settings.load_lag, schedule.sample()),
            schedule,
            cache: cache::Cache::new(&settings),
            orders: orders::Orders::new(&settings),
            kv: completion::KvStore::default(),
        };
        Self {
            settings,
            started_at: Instant::now(),
            started_at_ms,
            inner: Mutex::new(inner),
            faults: tokio::sync::watch::Sender::new(Faults::default()),
        }
    }

    /// Time since the engine started.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the schedule and records the new load for the delayed reports.
    fn update_schedule<R>(&self, change: impl FnOnce(&mut schedule::Schedule) -> R) -> R {
        let now = self.now();
        let mut inner = self.lock();
        let result = change(&mut inner.schedule);
        let sample = inner.schedule.sample();
        inner.load.record(now, sample);
        result
    }

    fn set_faults(&self, mut faults: Faults) {
        if std::mem::take(&mut faults.go_cold) {
            self.update_schedule(schedule::Schedule::go_cold);
        }
        self.faults.send_replace(faults);
    }
}
