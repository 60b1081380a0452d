//! Graceful shutdown: reports not ready, still accepts requests for a while, then waits for those
//! that are running.
//!
//! `volo-http` closes connections 2 s after a signal, but runs its shutdown hook before that. The
//! sequence therefore runs inside the hook, while requests are still accepted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::entry_state::EntryState;

/// Interval of the check whether requests are still in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of the shutdown.
pub struct Shutdown {
    stopping: AtomicBool,
    closing: AtomicBool,
    done: watch::Sender<bool>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            done: watch::Sender::new(false),
        }
    }
}

impl Shutdown {
    /// Whether the daemon is stopping and must report not ready.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether responses must ask the caller to close the connection.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Waits until the shutdown sequence has finished. The admin listener stays up until then, so
    /// that the load balancer can see that the daemon is not ready.
    pub async fn wait_done(&self) {
        let mut done = self.done.subscribe();
        // The sender lives as long as `self`.
        let _ = done.wait_for(|is_done| *is_done).await;
    }
}

/// Runs the shutdown sequence: reports not ready, accepts requests for `drain_wait`, then asks
/// callers to close their connections and waits up to `finish_wait` for running requests.
pub async fn run(entry_state: Arc<EntryState>, drain_wait: Duration, finish_wait: Duration) {
    entry_state.shutdown.stopping.store(true, Ordering::Relaxed);
    log::info!(
        "entry: stopping, not ready; new requests are accepted for another {} ms",
        drain_wait.as_millis()
    );
    sleep(drain_wait).await;
    entry_state.shutdown.closing.store(true, Ordering::Relaxed);
    let end = Instant::now() + finish_wait;
    while entry_state.metrics.in_flight.get() > 0 && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    let in_flight = entry_state.metrics.in_flight.get();
    log::info!("entry: stopped with {in_flight} requests in flight");
    entry_state.shutdown.done.send_replace(true);
}
