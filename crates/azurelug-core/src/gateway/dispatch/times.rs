//! Estimates piece times from measured calls. The configuration has one time for all pieces of a
//! service, but those of some stages need only a fraction of it.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::deployment::Batch;

/// Step size: fraction of the error of one call that is corrected.
const LEARNING_RATE: f64 = 0.4;

/// Bounds of a learned time, as fractions of the configured one.
const MIN_TIME_FACTOR: f64 = 0.05;
const MAX_TIME_FACTOR: f64 = 2.0;

/// Calls longer than this multiple of the expected time are ignored: they indicate a slow target,
/// not slow pieces.
const MAX_CALL_RATIO: f64 = 1.5;

/// Maximum number of kinds of pieces; a deployment has a few dozen.
const MAX_KINDS: usize = 1024;

/// Number of pieces and the time that they add to a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Load {
    pub(super) pieces: usize,
    pub(super) time: Duration,
}

impl Load {
    pub(super) fn add(&mut self, other: Self) {
        self.pieces += other.pieces;
        self.time += other.time;
    }
}

impl std::iter::Sum for Load {
    fn sum<I: Iterator<Item = Self>>(loads: I) -> Self {
        loads.fold(Self::default(), |mut sum, load| {
            sum.add(load);
            sum
        })
    }
}

/// Learned time of a piece of each kind, in seconds.
#[derive(Debug, Default)]
pub(super) struct PieceTimes {
    learned: HashMap<u64, f64>,
}

impl PieceTimes {
    /// Returns the time that one piece of a kind adds to a call.
    pub(super) fn piece(&self, batch: &Batch, kind: u64) -> Duration {
        let learned = self.learned.get(&kind).copied();
        learned.map_or(batch.piece_time, Duration::from_secs_f64)
    }

    /// Returns the load of a number of pieces of a kind.
    pub(super) fn load(&self, batch: &Batch, kind: u64, pieces: usize) -> Load {
        let count = u32::try_from(pieces).unwrap_or(u32::MAX);
        Load {
            pieces,
            time: self.piece(batch, kind) * count,
        }
    }

    /// Updates the piece times from a call that took `elapsed` on a target of usual speed.
    pub(super) fn learn(&mut self, batch: &Batch, kinds: &[u64], elapsed: Duration) {
        let mut counts: HashMap<u64, f64> = HashMap::new();
        for kind in kinds {
            *counts.entry(*kind).or_default() += 1.0;
        }
        let configured = batch.piece_time.as_secs_f64();
        let known = |kind: &u64| learned_or(&self.learned, *kind, configured);
        let pieces: f64 = counts.iter().map(|(kind, count)| known(kind) * count).sum();
        let expected = batch.call_time.as_secs_f64() + pieces;
        let error = elapsed.as_secs_f64() - expected;
        if elapsed.as_secs_f64() > expected * MAX_CALL_RATIO || self.learned.len() > MAX_KINDS {
            return;
        }
        let norm: f64 = counts.values().map(|count| count * count).sum();
        for (kind, count) in counts {
            let time =
                learned_or(&self.learned, kind, configured) + LEARNING_RATE * error * count / norm;
            self.learned.insert(
                kind,
                time.clamp(configured * MIN_TIME_FACTOR, configured * MAX_TIME_FACTOR),
            );
        }
    }
}

fn learned_or(learned: &HashMap<u64, f64>, kind: u64, configured: f64) -> f64 {
    learned.get(&kind).copied().unwrap_or(configured)
}
