//! Bounds the number of a server's connections.
//!
//! When the bound is reached, a new connection takes the place of the one that has waited longest for
//! a complete request. If all are being answered, the new one is refused.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::phase::{Phase, PhaseTracker};
use crate::throttle::Throttle;

/// Answer to a connection that is refused. Nothing of its request was read, so it has not run.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The open connections of one server. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    open: Mutex<Open>,
    closed: AtomicU64,
    refused: AtomicU64,
    closed_log: Throttle,
    refused_log: Throttle,
}

#[derive(Debug, Default)]
struct Open {
    entries: HashMap<u64, Entry>,
    next_id: u64,
}

#[derive(Debug)]
struct Entry {
    tracker: PhaseTracker,
    close: Arc<Notify>,
}

/// The connections of a server by their state, and those that the bound has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Connections on which nothing has arrived.
    pub new: usize,
    /// Connections on which a part of a head has arrived.
    pub reading: usize,
    /// Connections with a request that is being read or answered.
    pub answering: usize,
    /// Connections that wait for their next request.
    pub idle: usize,
    /// Connections that were closed for newer ones.
    pub closed: u64,
    /// Connections that were refused.
    pub refused: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Connections {
    /// At most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared {
            limit,
            open: Mutex::default(),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            closed_log: Throttle::default(),
            refused_log: Throttle::default(),
        }))
    }

    /// The connections by their state.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            closed: self.0.closed.load(Ordering::Relaxed),
            refused: self.0.refused.load(Ordering::Relaxed),
            ..Counts::default()
        };
        for entry in self.0.lock().entries.values() {
            let count = match entry.tracker.phase() {
                Phase::New => &mut counts.new,
                Phase::ReadingHead => &mut counts.reading,
                Phase::Answering => &mut counts.answering,
                Phase::Idle => &mut counts.idle,
            };
            *count += 1;
        }
        counts
    }

    /// Adds a connection, in place of a waiting one if the bound is reached; none if all are being
    /// answered.
    pub(super) fn admit(&self, tracker: &PhaseTracker) -> Option<Admission> {
        let mut open = self.0.lock();
        if open.entries.len() >= self.0.limit {
            let Some(id) = open.longest_waiting() else {
                drop(open);
                self.log_refusal();
                return None;
            };
            let replaced = open.entries.remove(&id);
            replaced.expect("the entry was found").close.notify_one();
            self.0.closed.fetch_add(1, Ordering::Relaxed);
            if let Some(count) = self.0.closed_log.pass() {
                log::warn!(
                    "http: {count} waiting connections closed for newer ones; {} are open, the limit",
                    self.0.limit
                );
            }
        }
        let id = open.next_id;
        open.next_id += 1;
        let close = Arc::new(Notify::new());
        let entry = Entry {
            tracker: tracker.clone(),
            close: Arc::clone(&close),
        };
        open.entries.insert(id, entry);
        drop(open);
        Some(Admission {
            connections: self.clone(),
            id,
            close,
        })
    }

    fn log_refusal(&self) {
        self.0.refused.fetch_add(1, Ordering::Relaxed);
        if let Some(count) = self.0.refused_log.pass() {
            log::warn!(
                "http: {count} connections refused; {} are being answered, the limit",
                self.0.limit
            );
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().expect("no holder of the lock panics")
    }
}

impl Open {
    fn longest_waiting(&self) -> Option<u64> {
        let entries = self.entries.iter();
        let waiting = entries.filter_map(|(id, entry)| {
            let (phase, since) = entry.tracker.state();
            (phase != Phase::Answering).then_some((since, *id))
        });
        waiting.min().map(|(_, id)| id)
    }
}

/// The place of one connection. Dropping it makes room for another one.
#[derive(Debug)]
pub(super) struct Admission {
    connections: Connections,
    id: u64,
    close: Arc<Notify>,
}

impl Admission {
    /// Waits until a newer connection takes the place.
    pub(super) async fn wait_replaced(&self) {
        self.close.notified().await;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.connections.0.lock().entries.remove(&self.id);
    }
}

/// Refuses a connection without reading from it.
pub(super) fn refuse(stream: &TcpStream) {
    // The send buffer of a new connection has room; the client may have closed it.
    let _ = stream.try_write(REFUSAL);
}
