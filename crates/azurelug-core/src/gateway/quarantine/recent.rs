//! When answers to requests with a part last went on, in bounded memory.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::fleet::PartKey;

/// Most parts of one generation.
const GENERATION_SIZE: usize = 8192;

/// Times of progress in two generations: when the current one is full, it replaces the previous
/// one, so that parts that are in use stay.
#[derive(Debug, Default)]
pub struct Recent {
    current: HashMap<PartKey, Duration>,
    previous: HashMap<PartKey, Duration>,
}

impl Recent {
    /// Records progress.
    pub fn record(&mut self, part: PartKey, at: Duration) {
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, at);
    }

    /// The last progress; none if there was none or it has been forgotten.
    #[must_use]
    pub fn get(&self, part: &PartKey) -> Option<Duration> {
        let found = self.current.get(part);
        found.or_else(|| self.previous.get(part)).copied()
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
