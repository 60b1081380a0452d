//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::h1::client::{Connection, Error};
use azurelug_types::deployment::Target;
use azurelug_types::id::TargetName;
use tokio::time::{Instant, timeout};

/// Connect timeout. A round trip between zones takes a few milliseconds; a target whose accept
/// queue is full answers only the second SYN, after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without acknowledgements, or without room in its receive buffer, after which a target counts
/// as unreachable. A sound target may pause for up to two seconds.
const ACK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle timeout of a connection if the target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the target's idle timeout that is used, because its clock started earlier.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Longest idle time of a connection for a request that may run only once. A target may drop an
/// idle connection without notice, and such a request can't be sent again.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(400);

/// Most idle connections of this gateway to one target. Further connections that a burst opens are
/// closed afterwards.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Time for a target to read the rest of a request that it has already answered.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

/// The connection pool.
#[derive(Debug)]
pub struct Upstream {
    idle: Arc<IdleConnections>,
    /// Most idle connections to one target, so that the other gateways can have theirs.
    limit: Arc<AtomicUsize>,
}

/// Idle connections by target.
type IdleConnections = Mutex<HashMap<TargetName, Vec<Idle>>>;

/// A connection for one request.
#[derive(Debug)]
pub struct Acquired {
    /// The connection.
    pub connection: Connection,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            idle: Arc::default(),
            limit: Arc::new(AtomicUsize::new(MAX_IDLE_CONNECTIONS)),
        }
    }
}

impl Upstream {
    /// Sets this gateway's share of the idle connections to a target.
    pub fn set_idle_limit(&self, share: usize) {
        self.limit
            .store(share.clamp(1, MAX_IDLE_CONNECTIONS), Ordering::Relaxed);
    }

    /// Returns an idle connection to a target, or a new one. With `at_most_once` only connections
    /// are reused that the target is unlikely to have dropped.
    ///
    /// # Errors
    /// `Connect`.
    pub async fn acquire(&self, target: &Target, at_most_once: bool) -> Result<Acquired, Error> {
        if let Some(connection) = self.acquire_idle(target, at_most_once) {
            return Ok(Acquired {
                connection,
                is_reused: true,
            });
        }
        self.open(target).await
    }

    /// Opens a new connection to a target.
    ///
    /// # Errors
    /// `Connect`.
    pub async fn open(&self, target: &Target) -> Result<Acquired, Error> {
        let connection = Connection::open(target.address, CONNECT_TIMEOUT, ACK_TIMEOUT).await?;
        Ok(Acquired {
            connection,
            is_reused: false,
        })
    }

    fn acquire_idle(&self, target: &Target, at_most_once: bool) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let connections = idle.get_mut(&target.name)?;
        // The target is least likely to have closed the newest connection.
        while let Some(last) = connections.pop() {
            let limit = if at_most_once {
                last.limit.min(MAX_IDLE_AT_MOST_ONCE)
            } else {
                last.limit
            };
            let is_usable = last.connection.is_ready() && last.since.elapsed() < limit;
            if is_usable {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer has been read completely.
    pub fn put_back(&self, target: &TargetName, connection: Connection, idle: Option<Duration>) {
        let limit = self.limit.load(Ordering::Relaxed);
        put_back(&self.idle, limit, target, connection, idle);
    }

    /// Returns a connection to the pool when its exchange is complete: the target may have answered
    /// before the request body was sent.
    pub fn put_back_when_ready(
        &self,
        target: &TargetName,
        mut connection: Connection,
        idle: Option<Duration>,
    ) {
        if connection.is_ready() {
            self.put_back(target, connection, idle);
            return;
        }
        let connections = Arc::clone(&self.idle);
        let limit = self.limit.load(Ordering::Relaxed);
        let target = target.clone();
        tokio::spawn(async move {
            let is_ready = timeout(READY_TIMEOUT, connection.wait_ready()).await;
            if is_ready == Ok(true) {
                put_back(&connections, limit, &target, connection, idle);
            }
        });
    }

    /// Removes connections that are closed or have been idle for too long.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.retain(|_, connections| {
            connections.retain(|it| !it.connection.is_closed() && it.since.elapsed() < it.limit);
            !connections.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        let idle = self.idle.lock().expect("no holder of the lock panics");
        idle.values().map(Vec::len).sum()
    }
}

fn put_back(
    connections: &IdleConnections,
    max_connections: usize,
    target: &TargetName,
    connection: Connection,
    idle: Option<Duration>,
) {
    if connection.is_closed() {
        return;
    }
    let limit = idle.map_or(DEFAULT_IDLE_TIMEOUT, |idle| {
        idle.mul_f64(IDLE_TIMEOUT_FRACTION)
    });
    let mut idle_connections = connections.lock().expect("no holder of the lock panics");
    let connections = idle_connections.entry(target.clone()).or_default();
    if connections.len() < max_connections {
        connections.push(Idle {
            connection,
            since: Instant::now(),
            limit,
        });
    }
}
