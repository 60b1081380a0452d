//! The most recent faults of the gateways, which decide whether a request must be answered.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Time after the exit of a gateway during which callers may still send on connections to it.
const STALE_CONNECTION_TIME: Duration = Duration::from_secs(1);

/// Time for which a stopping gateway accepts requests, a little below its specified time.
const ACCEPT_TIME: Duration = Duration::from_millis(2300);

/// The most recent faults of one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultHistory {
    /// Whether it has been killed and not been restarted.
    pub(super) is_down: bool,
    /// When it was last restarted after a kill.
    pub(super) restarted: Option<Instant>,
    /// Since when it is suspended.
    pub(super) suspended: Option<Instant>,
    pub(super) resumed: Option<Instant>,
    /// When it received SIGTERM, and when it exited.
    pub(super) stopped: Option<Instant>,
    pub(super) exited: Option<Instant>,
}

/// The most recent faults of the gateways, to decide whether a request must be answered.
#[derive(Default)]
pub struct GatewayFaults(Mutex<HashMap<usize, FaultHistory>>);

impl GatewayFaults {
    /// Whether a request that was sent to a gateway at `sent` must be answered, whatever the
    /// targets do: the gateway has not been killed or suspended since, and was accepting requests
    /// at `sent`.
    pub fn must_answer(&self, gateway: usize, sent: Instant) -> bool {
        let histories = self.0.lock().expect("the lock is not poisoned");
        let history = histories.get(&gateway).copied().unwrap_or_default();
        let since = |at: Option<Instant>| at.is_some_and(|at| at >= sent);
        let is_closing = history.stopped.is_some_and(|at| at + ACCEPT_TIME <= sent)
            && history
                .exited
                .is_none_or(|at| sent < at + STALE_CONNECTION_TIME);
        !history.is_down
            && !since(history.restarted)
            && history.suspended.is_none()
            && !since(history.resumed)
            && !is_closing
    }

    /// For how long a gateway has been suspended; none unless it is.
    pub fn suspended_for(&self, gateway: usize) -> Option<Duration> {
        let histories = self.0.lock().expect("the lock is not poisoned");
        let suspended = histories.get(&gateway)?.suspended;
        suspended.map(|at| at.elapsed())
    }

    /// Whether a gateway is down or was started less than `time` ago.
    pub(super) fn has_restarted_within(&self, gateway: u8, time: Duration) -> bool {
        let histories = self.0.lock().expect("the lock is not poisoned");
        let history = histories.get(&usize::from(gateway));
        history.is_some_and(|it| {
            let mut starts = [it.restarted, it.exited].into_iter().flatten();
            it.is_down || starts.any(|at| at.elapsed() < time)
        })
    }

    pub(super) fn update(&self, gateway: u8, change: impl FnOnce(&mut FaultHistory)) {
        let mut histories = self.0.lock().expect("the lock is not poisoned");
        change(histories.entry(usize::from(gateway)).or_default());
    }
}
