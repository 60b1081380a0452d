//! Bounds how often a log line is written, so that clients can't fill the log.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// The times of one kind of log line.
#[derive(Debug, Default)]
pub struct Throttle(Mutex<(Option<Instant>, u64)>);

impl Throttle {
    /// Returns how many events the next line stands for, or none if it is too early for a line.
    pub fn pass(&self) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.0.lock().expect("no holder of the lock panics");
        let (last, events) = &mut *state;
        *events += 1;
        if last.is_some_and(|last| now < last + INTERVAL) {
            return None;
        }
        *last = Some(now);
        Some(std::mem::take(events))
    }
}
