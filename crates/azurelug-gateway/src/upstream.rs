//! Connections to targets that wait for their next request.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::h1::client::{Connection, Error};
use azurelug_types::deployment::Target;
use azurelug_types::id::TargetName;
use tokio::time::{Instant, timeout};

/// Time for a new connection. A round trip between zones takes a few milliseconds; a target whose
/// queue of new connections is full answers the second try after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// A target that acknowledges nothing for this long is taken to be gone.
const SILENCE: Duration = Duration::from_millis(700);

/// Idle time after which a connection is not used again if the target states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Part of the target's own idle time that is used: its clock started earlier.
const IDLE_PART: f64 = 0.6;

/// Idle time after which a request that may run only once gets a new connection. A target may drop
/// an idle connection without notice, and what was sent on it can't be sent again.
const FRESH: Duration = Duration::from_millis(400);

/// Idle connections of this gateway to one target at most. A burst opens more; they are closed
/// afterwards.
const MAX_IDLE: usize = 6;

/// Time for a target to take the rest of a request that it has answered.
const READY_LIMIT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

/// The idle connections.
#[derive(Debug)]
pub struct Upstream {
    idle: Arc<Waiting>,
    /// Idle connections to one target that leave room for those of the other gateways.
    limit: Arc<AtomicUsize>,
}

/// Idle connections by target.
type Waiting = Mutex<HashMap<TargetName, Vec<Idle>>>;

/// A connection for one request.
#[derive(Debug)]
pub struct Taken {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried a request before.
    pub is_kept: bool,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            idle: Arc::default(),
            limit: Arc::new(AtomicUsize::new(MAX_IDLE)),
        }
    }
}

impl Upstream {
    /// Takes this gateway's part of the connections that a target accepts from all of them.
    pub fn limit(&self, part: usize) {
        self.limit.store(part.clamp(1, MAX_IDLE), Ordering::Relaxed);
    }

    /// An idle connection to a target, or a new one. `once` asks for one that can hardly have been
    /// dropped by the target.
    ///
    /// # Errors
    /// `Connect`.
    pub async fn take(&self, target: &Target, once: bool) -> Result<Taken, Error> {
        if let Some(connection) = self.take_idle(target, once) {
            return Ok(Taken {
                connection,
                is_kept: true,
            });
        }
        self.open(target).await
    }

    /// A new connection to a target.
    ///
    /// # Errors
    /// `Connect`.
    pub async fn open(&self, target: &Target) -> Result<Taken, Error> {
        let connection = Connection::open(target.address, CONNECT_LIMIT, SILENCE).await?;
        Ok(Taken {
            connection,
            is_kept: false,
        })
    }

    fn take_idle(&self, target: &Target, once: bool) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let waiting = idle.get_mut(&target.name)?;
        // The newest is the least likely to have been closed by the target.
        while let Some(last) = waiting.pop() {
            let limit = if once {
                last.limit.min(FRESH)
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

    /// Keeps a connection whose answer has been read to its end.
    pub fn keep(&self, target: &TargetName, connection: Connection, idle: Option<Duration>) {
        let limit = self.limit.load(Ordering::Relaxed);
        keep(&self.idle, limit, target, connection, idle);
    }

    /// Keeps a connection once the rest of its exchange has been dealt with: the target may have
    /// answered before the request body was sent.
    pub fn keep_when_ready(
        &self,
        target: &TargetName,
        mut connection: Connection,
        idle: Option<Duration>,
    ) {
        if connection.is_ready() {
            self.keep(target, connection, idle);
            return;
        }
        let waiting = Arc::clone(&self.idle);
        let limit = self.limit.load(Ordering::Relaxed);
        let target = target.clone();
        tokio::spawn(async move {
            let is_ready = timeout(READY_LIMIT, connection.wait_ready()).await;
            if is_ready == Ok(true) {
                keep(&waiting, limit, &target, connection, idle);
            }
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.retain(|_, waiting| {
            waiting.retain(|it| !it.connection.is_closed() && it.since.elapsed() < it.limit);
            !waiting.is_empty()
        });
    }

    /// How many connections are idle.
    pub fn idle_count(&self) -> usize {
        let idle = self.idle.lock().expect("no holder of the lock panics");
        idle.values().map(Vec::len).sum()
    }
}

fn keep(
    waiting: &Waiting,
    most: usize,
    target: &TargetName,
    connection: Connection,
    idle: Option<Duration>,
) {
    if connection.is_closed() {
        return;
    }
    let limit = idle.map_or(DEFAULT_IDLE, |idle| idle.mul_f64(IDLE_PART));
    let mut kept = waiting.lock().expect("no holder of the lock panics");
    let waiting = kept.entry(target.clone()).or_default();
    if waiting.len() < most {
        waiting.push(Idle {
            connection,
            since: Instant::now(),
            limit,
        });
    }
}
