//! Bounds the number of connections that have not completed the handshake, which anybody can open.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::task::AbortHandle;

/// Most connections whose handshake is not complete: more than the largest number of gateways (295),
/// which connect at the same time after a restart. Together they take about 10 MB.
const MAX_HANDSHAKES: usize = 512;

/// The connections of a listener whose handshake is not complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handshakes(Arc<Mutex<Pending>>);

#[derive(Debug, Default)]
struct Pending {
    /// By the order of their arrival.
    tasks: BTreeMap<u64, Option<AbortHandle>>,
    next_id: u64,
}

impl Handshakes {
    /// Spawns the task of a connection. If too many handshakes are incomplete, the oldest connection
    /// is closed.
    pub(crate) fn spawn<F>(&self, serve: impl FnOnce(Handshake) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut pending = self.lock();
        if pending.tasks.len() >= MAX_HANDSHAKES
            && let Some((_, Some(oldest))) = pending.tasks.pop_first()
        {
            log::debug!("wire: a connection closed: too many handshakes are incomplete");
            oldest.abort();
        }
        let id = pending.next_id;
        pending.next_id += 1;
        pending.tasks.insert(id, None);
        // The new task takes the lock when it ends, which may be at once.
        drop(pending);
        let handshakes = self.clone();
        let task = tokio::spawn(serve(Handshake { handshakes, id }));
        if let Some(entry) = self.lock().tasks.get_mut(&id) {
            *entry = Some(task.abort_handle());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

/// Guard of a handshake. Dropping it, at its end, keeps the connection.
#[derive(Debug)]
pub(crate) struct Handshake {
    handshakes: Handshakes,
    id: u64,
}

impl Drop for Handshake {
    fn drop(&mut self) {
        self.handshakes.lock().tasks.remove(&self.id);
    }
}
