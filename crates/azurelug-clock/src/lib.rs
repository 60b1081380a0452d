//! A clock that goes on while the machine is suspended.
//!
//! `tokio::time::Instant` reads the kernel's steady clock, which stands still during a suspension.
//! A daemon that measures a lease or the age of shared state by it takes what was true before the
//! suspension for true after it. Such times are durations on a [`Clock`]; the runtime's own clock
//! serves for timers and for the duration of local work.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Measures the time since its start, including suspensions.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    steady: Instant,
    boot: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            steady: Instant::now(),
            boot: time_since_boot(),
        }
    }

    /// The time since the start. It never decreases.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        // The steady clock leads only in tests that advance the runtime's clock.
        self.steady.elapsed().max(self.elapsed_since_boot())
    }

    /// The part of the time since the start in which the machine was suspended.
    #[must_use]
    pub fn suspended(&self) -> Duration {
        // Read in this order, so that a pause of the process between the readings is not taken for a
        // suspension.
        let since_boot = self.elapsed_since_boot();
        since_boot.saturating_sub(self.steady.elapsed())
    }

    /// Converts a time on this clock to the time at which a timer reaches it, if the machine is not
    /// suspended until then.
    #[must_use]
    pub fn instant(&self, time: Duration) -> Instant {
        let (now, elapsed) = (Instant::now(), self.elapsed());
        if time >= elapsed {
            now + (time - elapsed)
        } else {
            now.checked_sub(elapsed - time).unwrap_or(now)
        }
    }

    fn elapsed_since_boot(&self) -> Duration {
        time_since_boot().saturating_sub(self.boot)
    }
}

/// Time since the kernel started, including suspensions; zero on kernels without that clock (before
/// Linux 2.6.39), where suspensions are not noticed.
fn time_since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Shortest suspension that is reported; the two clocks are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Notices suspensions, for logs and metrics.
#[derive(Debug)]
pub struct Watch {
    clock: Clock,
    known: Duration,
}

impl Watch {
    /// Starts to watch.
    #[must_use]
    pub fn start() -> Self {
        Self {
            clock: Clock::start(),
            known: Duration::ZERO,
        }
    }

    /// How long the machine was suspended since the last call; none if it was not.
    pub fn take(&mut self) -> Option<Duration> {
        let suspended = self.clock.suspended();
        let new = suspended.saturating_sub(self.known);
        (new >= MIN_SUSPENSION).then(|| {
            self.known = suspended;
            new
        })
    }
}
