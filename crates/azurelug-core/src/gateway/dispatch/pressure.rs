//! What a dispatcher shows of its load, for logs and the state dump.

use std::time::Duration;

use azurelug_types::id::TargetName;

use super::Dispatcher;
use super::workers::Worker;

/// Load of a dispatcher and capacity of its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Pieces in the queue.
    pub waiting: usize,
    /// Pieces of later stages with a booking.
    pub booked: usize,
    /// Remaining time of the calls in progress, summed over the targets.
    pub busy: Duration,
    /// Capacity of the usable targets, in targets of usual speed.
    pub targets: f64,
    /// Target time that each account may use in the averaging window; none if there is enough for
    /// all, or if accounts don't share.
    pub share: Option<Duration>,
}

impl Dispatcher {
    /// Returns the inputs of the admission decision, for logs.
    #[must_use]
    pub fn pressure(&mut self, now: Duration) -> Pressure {
        let targets = self.workers.capacity(now).map_or(0.0, |(_, rate)| rate);
        let share = self.shares.share(targets, now);
        let booked = self.bookings.iter().filter(|it| it.commitment.due > now);
        let waiting = self.queue.load();
        Pressure {
            waiting: waiting.pieces,
            booked: booked.map(|it| it.load.pieces).sum(),
            busy: self.workers.busy_time(now),
            targets,
            share: share.map(Duration::from_secs_f64),
        }
    }

    /// Returns the running calls and held bytes of each target, for a state dump.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, u32, u64)> {
        self.workers.iter().map(target_load)
    }
}

fn target_load(worker: &Worker) -> (&TargetName, u32, u64) {
    (&worker.target.name, worker.running, worker.held_bytes)
}
