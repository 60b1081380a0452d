//! A model engine with continuous batching, a prompt prefix cache, cold starts and lagging reports.
//!
//! Its text output is deterministic, see [`crate::text`]. It owns its schedule, cache and loaded
//! models. It never retries and never calls out.

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
use crate::host::Host;

pub use cache::{CacheEvent, CacheEvents};
pub use orders::{Accepted, Order, State};
pub use reports::{Counts, Load};

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model strings that are loaded from the start.
    pub models: Vec<String>,
    /// Role from the start.
    pub role: String,
    /// Calls that run at once.
    pub limit: usize,
    /// Calls that may wait for a free place.
    pub queue: usize,
    /// Time of a prefill without cached prefix, and of every call that generates no text.
    pub prefill: Duration,
    /// Time of each token.
    pub token: Duration,
    /// Calls that may run at once during a cold start.
    pub cold_limit: usize,
    /// Completed calls that end a cold start; 0 starts warm.
    pub warm_after: u64,
    /// Factor on the prefill time during a cold start.
    pub cold_factor: u32,
    /// Age of the values in load reports.
    pub load_lag: Duration,
    /// Delay between a cache event and its publication.
    pub cache_lag: Duration,
    /// Share of cache events, 0.0 to 1.0, that are never published.
    pub cache_gaps: f64,
    /// Prefix blocks that the cache holds.
    pub cache_blocks: usize,
    /// Time that loading a model takes.
    pub load_time: Duration,
    /// Accepts orders whatever their fencing number is.
    pub ignores_fencing: bool,
    /// Seed of the random gaps.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models: vec!["m@1".to_owned()],
            role: "generate".to_owned(),
            limit: 8,
            queue: 16,
            prefill: Duration::from_millis(5),
            token: Duration::from_millis(1),
            cold_limit: 2,
            warm_after: 0,
            cold_factor: 1,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_gaps: 0.0,
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
    /// Every n-th call that starts fails with 500.
    pub fail_every: u64,
    /// Ends each text after this many tokens: a stream without `[DONE]`, a whole answer with 500.
    pub stop_after_tokens: u64,
    /// Sends every n-th token of a stream twice.
    pub duplicate_every: u64,
    /// Answers every n-th call that starts with the id of another call.
    pub wrong_id_every: u64,
    /// Starts a cold start now. Takes effect once and is not kept.
    pub go_cold: bool,
    /// Calls start and never make progress, until the fault is cleared.
    pub hang: bool,
}

/// A running engine.
pub struct Engine {
    host: Host,
    shared: Arc<Shared>,
}

/// State behind the HTTP interface.
struct Shared {
    settings: Settings,
    origin: Instant,
    started_at_ms: u64,
    inner: Mutex<Inner>,
    faults: tokio::sync::watch::Sender<Faults>,
}

struct Inner {
    schedule: schedule::Schedule,
    cache: cache::Cache,
    orders: orders::Orders,
    load: History<reports::Sample>,
    kv: completion::KvStore,
}

impl Engine {
    /// Starts an engine on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let shared = Arc::new(Shared::new(settings));
        let kept = shared.clone();
        let host = Host::start(address, |_| {
            Router::new().fallback(move |request: Request| {
                let shared = shared.clone();
                async move { api::handle(shared, request).await }
            })
        })
        .await?;
        Ok(Self { host, shared: kept })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// What has happened to the calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().schedule.counts.clone()
    }

    /// Loaded models, role, fencing number and accepted orders.
    pub fn state(&self) -> State {
        self.shared.lock().orders.state()
    }

    /// Closes the listener and all connections, as the death of the process would.
    pub fn close(self) {
        self.host.close();
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
            origin: Instant::now(),
            started_at_ms,
            inner: Mutex::new(inner),
            faults: tokio::sync::watch::Sender::new(Faults::default()),
        }
    }

    /// Time since the engine started.
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the schedule and records the new load for the lagging reports.
    fn change<R>(&self, change: impl FnOnce(&mut schedule::Schedule) -> R) -> R {
        let now = self.now();
        let mut inner = self.lock();
        let result = change(&mut inner.schedule);
        let sample = inner.schedule.sample();
        inner.load.record(now, sample);
        result
    }

    fn set_faults(&self, mut faults: Faults) {
        if std::mem::take(&mut faults.go_cold) {
            self.change(schedule::Schedule::go_cold);
        }
        self.faults.send_replace(faults);
    }
}
