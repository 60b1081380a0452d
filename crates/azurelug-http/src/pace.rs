//! Time limits of a body that arrives.

use std::time::Duration;

use tokio::time::Instant;

/// Time that each body has in addition to that of its bytes, for lost packets and a busy link.
const GRACE: Duration = Duration::from_secs(15);

/// How slowly a body may arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Longest time without a byte. The default is as long as a connection may wait for an
    /// acknowledgement.
    pub stall: Duration,
    /// Least bytes a second on average, after a grace period of 15 s. The default is a 57th of a link
    /// of 7.5 Mbit/s.
    pub bytes_per_second: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            stall: Duration::from_secs(10),
            bytes_per_second: 16 * 1024,
        }
    }
}

impl Pace {
    /// When the next bytes of a body have to arrive, of which `received` bytes have arrived.
    #[must_use]
    pub fn limit(&self, started: Instant, last: Instant, received: usize) -> Instant {
        let rate = u64::from(self.bytes_per_second.max(1));
        let transfer = Duration::from_millis(received as u64 * 1000 / rate);
        (last + self.stall).min(started + GRACE + transfer)
    }
}
