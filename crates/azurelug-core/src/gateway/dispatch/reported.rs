//! Momentary slowness that targets report with their answers.
//!
//! Load pattern: a VM slows down to less than half of its speed for half a second at a time, several
//! calls long, so that an average of earlier calls is always late.

use std::time::Duration;

use azurelug_types::id::TargetName;

use super::Dispatcher;

/// Half-life of a reported figure. The periods last about half a second, and a report comes at any
/// point of one.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// The figure that a target has reported last.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reported {
    slowness: f64,
    at: Duration,
}

impl Reported {
    pub(super) fn new(percent: u16, at: Duration) -> Self {
        let slowness = f64::from(percent) / 100.0;
        Self { slowness, at }
    }

    /// The slowness at a later time, which approaches `learned`, that of the target's calls.
    pub(super) fn at(&self, learned: f64, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        learned + (self.slowness - learned) * weight
    }
}

impl Dispatcher {
    /// Applies the slowness in percent that a target has reported with its answer. It counts for the
    /// expected time of the target's next call.
    pub fn record_reported_slowness(&mut self, target: &TargetName, percent: u16, now: Duration) {
        self.workers.report_slowness(target, percent, now);
    }
}
