//! Limits the bytes that a process holds for its clients and targets.
//!
//! What an exchange holds counts from its arrival until it has been sent or dropped: the request's
//! body, an answer that arrives or waits for its client, and events in a queue. All exchanges share
//! one limit. The first 64 KiB of an exchange have a limit of their own, so that short requests are
//! served while a few exchanges hold much. When both are reached, exchanges are ended: first those
//! whose body has stalled, then those that hold the most. So clients that don't send or don't read, and
//! targets that send without end, don't take the others' memory.

mod held;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::throttle::Throttle;
pub use held::Held;

/// Bytes of each exchange that count against a limit of their own. Nearly all requests and answers
/// are shorter.
const UNSHARED_BYTES: usize = 64 * 1024;

/// A body without a byte for this long is ended before others when memory is short. Two lost packets
/// take less.
const STALLED: Duration = Duration::from_secs(2);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Bodies of requests.
    Request,
    /// Answers, and events of streams.
    Answer,
}

/// Bounds on what a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that exchanges share.
    pub shared: usize,
    /// Bytes for the first 64 KiB of all exchanges. What exceeds them counts as shared.
    pub unshared: usize,
    /// Request bodies that arrive at the same time.
    pub bodies: usize,
}

/// The exchange can't hold more, because it already holds more than the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory left for an exchange of this size; read answers faster, or raise `memory_mb`")]
pub struct Exhausted;

/// The bytes that a process may hold. Clones share the limit.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limits: Limits,
    state: Mutex<State>,
    /// Notified when bytes have been released.
    released: Notify,
    evictions: AtomicU64,
    log: Throttle,
}

#[derive(Debug, Default)]
struct State {
    holders: HashMap<u64, Entry>,
    next_id: u64,
    /// Sum of the holders' bytes.
    bytes: usize,
    /// Sum of the holders' shared bytes.
    shared_bytes: usize,
    /// Bytes of request bodies; the rest are answers.
    request_bytes: usize,
    /// Request bodies that are arriving.
    bodies: usize,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// The part of `bytes` that counts as shared.
    shared: usize,
    /// When the request's body has last grown; none if it is not arriving.
    arriving: Option<Instant>,
    /// Set to true to end the exchange. Its receivers are those who would end it.
    is_evicted: Arc<watch::Sender<bool>>,
}

impl Entry {
    fn unshared(&self) -> usize {
        self.bytes - self.shared
    }

    fn is_evicted(&self) -> bool {
        *self.is_evicted.borrow()
    }

    fn can_end(&self) -> bool {
        !self.is_evicted() && self.is_evicted.receiver_count() > 0
    }

    /// How long the request's body has stalled, if so.
    fn stalled_for(&self, now: Instant) -> Option<Duration> {
        let quiet = now.saturating_duration_since(self.arriving?);
        (quiet >= STALLED).then_some(quiet)
    }
}

/// Whether bytes may be held.
enum Decision {
    Granted,
    /// Others release bytes soon.
    Wait,
    Exhausted,
}

/// What a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Usage {
    /// Bytes of request bodies.
    pub requests: usize,
    /// Bytes of answers.
    pub answers: usize,
    /// Request bodies that are arriving.
    pub bodies: usize,
    /// Exchanges that were ended so far.
    pub evictions: u64,
}

impl Budget {
    /// A budget with the given limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Shared {
            limits,
            state: Mutex::default(),
            released: Notify::new(),
            evictions: AtomicU64::new(0),
            log: Throttle::default(),
        }))
    }

    /// A budget with the given shared limit in bytes, and no other.
    #[must_use]
    pub fn with_limit(limit: usize) -> Self {
        Self::new(Limits {
            shared: limit,
            unshared: usize::MAX,
            bodies: usize::MAX,
        })
    }

    /// Adds an exchange that holds nothing yet.
    #[must_use]
    pub fn open(&self) -> Holder {
        let mut state = self.0.lock();
        let id = state.next_id;
        state.next_id += 1;
        let entry = Entry {
            bytes: 0,
            shared: 0,
            arriving: None,
            is_evicted: Arc::new(watch::Sender::new(false)),
        };
        state.holders.insert(id, entry);
        drop(state);
        Holder(Arc::new(Registration {
            shared: Arc::clone(&self.0),
            id,
        }))
    }

    /// Bytes that are held beyond the unshared bytes of each exchange.
    #[must_use]
    pub fn shared_bytes(&self) -> usize {
        self.0.lock().shared_bytes
    }

    /// What is held.
    #[must_use]
    pub fn usage(&self) -> Usage {
        let state = self.0.lock();
        Usage {
            requests: state.request_bytes,
            answers: state.bytes - state.request_bytes,
            bodies: state.bodies,
            evictions: self.0.evictions.load(Ordering::Relaxed),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Logs and counts that an exchange is ended.
    fn record_eviction(&self, entry: &Entry, reason: &str) {
        self.evictions.fetch_add(1, Ordering::Relaxed);
        if let Some(count) = self.log.pass() {
            log::warn!(
                "memory: no memory left: the exchange that holds {} bytes is ended, {reason}; \
                 {count} since the last line",
                entry.bytes
            );
        }
        entry.is_evicted.send_replace(true);
    }

    /// Holds `more` bytes if the limits allow it; otherwise ends other exchanges.
    fn try_hold(&self, id: u64, kind: Kind, more: usize) -> Decision {
        let mut state = self.lock();
        let state = &mut *state;
        let unshared_left = self.limits.unshared.saturating_sub(state.unshared_bytes());
        let entry = state.entry(id);
        let room = UNSHARED_BYTES.saturating_sub(entry.unshared());
        let growth = more.saturating_sub(room.min(unshared_left));
        if growth == 0 || state.shared_bytes + growth <= self.limits.shared {
            state.grow(id, kind, more, growth);
            return Decision::Granted;
        }
        if state.entry(id).is_evicted() {
            return Decision::Exhausted;
        }
        let (bytes, now) = (state.entry(id).bytes + more, Instant::now());
        // Unshared bytes of others serve only as far as this exchange may have more of them.
        let wanted = room.saturating_sub(unshared_left).min(growth);
        let ended = state.holders.values().filter(|entry| entry.is_evicted());
        let mut released = ended.fold((0, 0), |sum, entry| {
            (sum.0 + entry.shared, sum.1 + entry.unshared())
        });
        while state.shared_bytes + growth > self.limits.shared + released.0 + released.1.min(wanted)
        {
            let others = state.holders.iter().filter(|(other, _)| **other != id);
            let ends = others
                .map(|(_, entry)| entry)
                .filter(|entry| entry.bytes > 0 && entry.can_end());
            let last = ends.max_by_key(|entry| (entry.stalled_for(now), entry.bytes));
            let chosen = last.filter(|it| it.stalled_for(now).is_some() || it.bytes > bytes);
            let Some(chosen) = chosen else {
                return Decision::Exhausted;
            };
            released.0 += chosen.shared;
            released.1 += chosen.unshared();
            let is_stalled = chosen.stalled_for(now).is_some();
            let reason = if is_stalled {
                "its body has stalled"
            } else {
                "the largest"
            };
            self.record_eviction(chosen, reason);
        }
        Decision::Wait
    }
}

impl State {
    fn entry(&mut self, id: u64) -> &mut Entry {
        let entry = self.holders.get_mut(&id);
        entry.expect("an entry stays until its holder is dropped")
    }

    fn unshared_bytes(&self) -> usize {
        self.bytes - self.shared_bytes
    }

    fn grow(&mut self, id: u64, kind: Kind, bytes: usize, shared: usize) {
        let entry = self.entry(id);
        entry.bytes += bytes;
        entry.shared += shared;
        if let Some(last) = &mut entry.arriving {
            *last = Instant::now();
        }
        self.bytes += bytes;
        self.shared_bytes += shared;
        if kind == Kind::Request {
            self.request_bytes += bytes;
        }
    }

    /// Releases bytes; shared ones first.
    fn shrink(&mut self, id: u64, kind: Kind, bytes: usize) {
        let entry = self.entry(id);
        let shared = entry.shared.min(bytes);
        entry.bytes -= bytes;
        entry.shared -= shared;
        self.bytes -= bytes;
        self.shared_bytes -= shared;
        if kind == Kind::Request {
            self.request_bytes -= bytes;
        }
    }

    fn end_arrival(&mut self, id: u64) {
        if self.entry(id).arriving.take().is_some() {
            self.bodies -= 1;
        }
    }
}

/// What one exchange holds. Clones stand for the same exchange.
#[derive(Clone, Debug)]
pub struct Holder(Arc<Registration>);

#[derive(Debug)]
struct Registration {
    shared: Arc<Shared>,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.end_arrival(self.id);
        // All bytes that were held have been released: each has a clone of the holder.
        state.holders.remove(&self.id);
        drop(state);
        self.shared.released.notify_waiters();
    }
}

impl Holder {
    /// Holds `bytes` more until the result is dropped. Waits while larger exchanges are ended.
    ///
    /// # Errors
    /// `Exhausted` if this exchange holds more than the others, or has been ended.
    pub async fn hold(&self, bytes: usize) -> Result<Held, Exhausted> {
        self.hold_as(Kind::Answer, bytes).await
    }

    async fn hold_as(&self, kind: Kind, bytes: usize) -> Result<Held, Exhausted> {
        let shared = &self.0.shared;
        let eviction = self.eviction();
        loop {
            let mut released = Box::pin(shared.released.notified());
            // Registers for notifications before the limit is checked.
            released.as_mut().enable();
            let decision = shared.try_hold(self.0.id, kind, bytes);
            match decision {
                Decision::Granted => {
                    return Ok(Held {
                        holder: self.clone(),
                        kind,
                        bytes,
                    });
                }
                Decision::Exhausted => return Err(Exhausted),
                Decision::Wait => {}
            }
            tokio::select! {
                () = released => {}
                () = wait_evicted(&eviction) => return Err(Exhausted),
            }
        }
    }

    /// Becomes true when the exchange has to end. While it has a receiver, the exchange can be
    /// chosen, so the receiver's owner must then drop what the exchange holds.
    #[must_use]
    pub fn eviction(&self) -> Arc<watch::Sender<bool>> {
        Arc::clone(&self.0.shared.lock().entry(self.0.id).is_evicted)
    }

    /// Whether the exchange was ended because it held the most.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.0.shared.lock().entry(self.0.id).is_evicted()
    }

    /// Bytes that the exchange holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.shared.lock().entry(self.0.id).bytes
    }

    /// Waits until the exchange holds at most `bytes`.
    pub async fn wait_until(&self, bytes: usize) {
        while self.bytes() > bytes {
            let mut released = Box::pin(self.0.shared.released.notified());
            // Registers for notifications before the size is checked.
            released.as_mut().enable();
            if self.bytes() <= bytes {
                return;
            }
            released.await;
        }
    }

    /// The most bytes that one exchange can hold.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.0.shared.limits.shared.saturating_add(UNSHARED_BYTES)
    }

    /// Records that the request's body is arriving, until the guard is dropped. If too many are, the
    /// one that has been without a byte for longest is ended.
    #[must_use]
    pub fn begin_arrival(&self) -> Arrival {
        let shared = &self.0.shared;
        let mut state = shared.lock();
        let is_full = state.bodies >= shared.limits.bodies;
        let arriving = state.holders.values();
        let oldest = arriving
            .filter(|entry| is_full && entry.arriving.is_some() && entry.can_end())
            .min_by_key(|entry| entry.arriving);
        if let Some(oldest) = oldest {
            shared.record_eviction(oldest, "too many bodies are arriving");
        }
        if state
            .entry(self.0.id)
            .arriving
            .replace(Instant::now())
            .is_none()
        {
            state.bodies += 1;
        }
        drop(state);
        Arrival(self.clone())
    }

    fn release(&self, kind: Kind, bytes: usize) {
        let shared = &self.0.shared;
        shared.lock().shrink(self.0.id, kind, bytes);
        shared.released.notify_waiters();
    }
}

/// Guard of a request body that is arriving.
#[derive(Debug)]
pub struct Arrival(Holder);

impl Drop for Arrival {
    fn drop(&mut self) {
        let registration = &self.0.0;
        registration.shared.lock().end_arrival(registration.id);
    }
}

/// Waits until an exchange has to end. It can be chosen while this future exists.
pub async fn wait_evicted(eviction: &watch::Sender<bool>) {
    let mut receiver = eviction.subscribe();
    // The sender is borrowed, so that it can't be dropped.
    let _ = receiver.wait_for(|is_evicted| *is_evicted).await;
}
