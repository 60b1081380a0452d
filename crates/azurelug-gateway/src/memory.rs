//! Limits the bytes that the gateway holds for its clients and targets.
//!
//! What an exchange holds counts from its arrival until it has been sent or dropped: the request's
//! body, an answer that arrives or waits for its client, and events in a queue. All exchanges share
//! one limit. When it is reached, the exchange that holds the most is ended, so that clients that
//! don't read and targets that send without end don't take the others' memory.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::{Notify, watch};

/// Bytes of each exchange that don't count against the shared limit. Nearly all requests and answers
/// are shorter, so they are served even while others have used up the limit.
const UNSHARED_BYTES: usize = 64 * 1024;

/// The shared limit as a fraction of the process's memory. The rest is for the unshared bytes of all
/// exchanges, buffers of connections, and buffers that are copied while they grow.
const MEMORY_FRACTION: usize = 8;

/// The shared limit in bytes if the process's memory is not known.
const DEFAULT_LIMIT: usize = 24 * 1024 * 1024;

/// Bytes of one megabyte in the settings.
const MEGABYTE: usize = 1_000_000;

/// The exchange can't hold more, because it already holds more than the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the gateway has no memory left for an exchange of this size; read answers faster, or raise \
     `memory_mb`"
)]
pub struct Exhausted;

/// The bytes that a gateway may hold. Clones share the limit.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    state: Mutex<State>,
    /// Notified when bytes have been released.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    holders: HashMap<u64, Entry>,
    next_id: u64,
    /// Sum of the holders' shared bytes.
    shared_bytes: usize,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// Set to true to end the exchange. Its receivers are those who would end it.
    is_evicted: Arc<watch::Sender<bool>>,
}

impl Entry {
    fn shared_bytes(&self) -> usize {
        self.bytes.saturating_sub(UNSHARED_BYTES)
    }

    fn is_evicted(&self) -> bool {
        *self.is_evicted.borrow()
    }
}

/// Whether bytes may be held.
enum Decision {
    Granted,
    /// Others release bytes soon.
    Wait,
    Exhausted,
}

impl Budget {
    /// A budget for a process with `memory_mb` megabytes, if known.
    #[must_use]
    pub fn new(memory_mb: Option<usize>) -> Self {
        let memory = memory_mb.map(|megabytes| megabytes.saturating_mul(MEGABYTE));
        Self::with_limit(memory.map_or(DEFAULT_LIMIT, |memory| memory / MEMORY_FRACTION))
    }

    /// A budget with the given shared limit in bytes.
    #[must_use]
    pub fn with_limit(limit: usize) -> Self {
        Self(Arc::new(Shared {
            limit,
            state: Mutex::default(),
            released: Notify::new(),
        }))
    }

    /// Adds an exchange that holds nothing yet.
    #[must_use]
    pub fn open(&self) -> Holder {
        let mut state = self.0.lock();
        let id = state.next_id;
        state.next_id += 1;
        let entry = Entry {
            bytes: 0,
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
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn entry(&mut self, id: u64) -> &mut Entry {
        let entry = self.holders.get_mut(&id);
        entry.expect("an entry stays until its holder is dropped")
    }

    fn resize(&mut self, id: u64, bytes: usize) {
        let entry = self.entry(id);
        let before = entry.shared_bytes();
        entry.bytes = bytes;
        let after = entry.shared_bytes();
        self.shared_bytes = self.shared_bytes - before + after;
    }

    /// Holds `more` bytes if the limit allows it; otherwise ends larger exchanges.
    fn try_hold(&mut self, id: u64, more: usize, limit: usize) -> Decision {
        let entry = self.entry(id);
        let held = entry.bytes + more;
        let growth = held.saturating_sub(UNSHARED_BYTES) - entry.shared_bytes();
        if growth == 0 || self.shared_bytes + growth <= limit {
            self.resize(id, held);
            return Decision::Granted;
        }
        if self.entry(id).is_evicted() {
            return Decision::Exhausted;
        }
        let evicted = self.holders.values().filter(|entry| entry.is_evicted());
        let mut released: usize = evicted.map(Entry::shared_bytes).sum();
        while self.shared_bytes - released + growth > limit {
            let others = self.holders.iter().filter(|(other, _)| **other != id);
            let ends = others
                .map(|(_, entry)| entry)
                .filter(|entry| !entry.is_evicted() && entry.is_evicted.receiver_count() > 0);
            let largest = ends.max_by_key(|entry| entry.bytes);
            let Some(largest) = largest.filter(|entry| entry.bytes > held) else {
                return Decision::Exhausted;
            };
            log::warn!(
                "gateway: no memory left: the exchange that holds {} bytes is ended",
                largest.bytes
            );
            released += largest.shared_bytes();
            largest.is_evicted.send_replace(true);
        }
        Decision::Wait
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
        state.resize(self.id, 0);
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
        let shared = &self.0.shared;
        let eviction = self.eviction();
        loop {
            let mut released = Box::pin(shared.released.notified());
            // Registers for notifications before the limit is checked.
            released.as_mut().enable();
            let decision = shared.lock().try_hold(self.0.id, bytes, shared.limit);
            match decision {
                Decision::Granted => {
                    return Ok(Held {
                        holder: self.clone(),
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

    fn release(&self, bytes: usize) {
        let shared = &self.0.shared;
        let mut state = shared.lock();
        let held = state.entry(self.0.id).bytes;
        state.resize(self.0.id, held - bytes);
        drop(state);
        shared.released.notify_waiters();
    }
}

/// Waits until an exchange has to end. It can be chosen while this future exists.
pub async fn wait_evicted(eviction: &watch::Sender<bool>) {
    let mut receiver = eviction.subscribe();
    // The sender is borrowed, so that it can't be dropped.
    let _ = receiver.wait_for(|is_evicted| *is_evicted).await;
}

/// Bytes that are held. Dropping it releases them.
#[derive(Debug)]
pub struct Held {
    holder: Holder,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.holder.release(self.bytes);
        }
    }
}

impl Held {
    /// Holds nothing yet.
    #[must_use]
    pub fn empty(holder: &Holder) -> Self {
        Self {
            holder: holder.clone(),
            bytes: 0,
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes`; nothing happens if it is as large already.
    ///
    /// # Errors
    /// As [`Holder::hold`].
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes > self.bytes {
            let mut more = self.holder.hold(bytes - self.bytes).await?;
            self.bytes += std::mem::take(&mut more.bytes);
        }
        Ok(())
    }

    /// Shrinks to `bytes`; nothing happens if it is as small already.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        drop(self.split(less));
    }

    /// Splits off `bytes`, at most all.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            holder: self.holder.clone(),
            bytes,
        }
    }

    /// Ties the accounting to `bytes`, so that it ends when the last copy of them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Attached { bytes, _held: self })
    }
}

struct Attached {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Attached {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
