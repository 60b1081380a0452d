//! The prompt prefix cache and its events, which are published with a delay and with gaps.
//!
//! Holds the stored blocks in order of use, evicts the least recently used one and never exceeds
//! its capacity.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use super::Settings;

/// Maximum number of retained events.
const MAX_EVENTS: usize = 4_096;

/// Published events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// When the engine started, in Unix milliseconds. Sequence numbers restart at 1 on each start.
    pub started_at_ms: u64,
    /// Sequence number of the oldest retained event. A reader that asks for older events has missed
    /// some.
    pub oldest: u64,
    /// Events after the requested one.
    pub events: Vec<CacheEvent>,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, from 1. A missing number belongs to an event that was never published.
    pub seq: u64,
    /// Hash of the prefix, see [`crate::text::prefix_hashes`].
    pub prefix_hash: u32,
    /// `stored` or `evicted`.
    pub kind: String,
}

pub(super) struct Cache {
    capacity: usize,
    lag: Duration,
    gap_rate: f64,
    random: Pcg32,
    /// Stored blocks and the value of `use_count` at their last use.
    stored: HashMap<u32, u64>,
    use_count: u64,
    next_seq: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl Cache {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            capacity: settings.cache_blocks,
            lag: settings.cache_lag,
            gap_rate: settings.cache_gap_rate,
            random: Pcg32::seed_from_u64(settings.seed),
            stored: HashMap::new(),
            use_count: 0,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Number of consecutive blocks that are stored, from the first one on.
    pub(super) fn cached_prefix_len(&self, hashes: &[u32]) -> usize {
        let stored = hashes
            .iter()
            .take_while(|hash| self.stored.contains_key(hash));
        stored.count()
    }

    /// Stores the blocks of a prompt, or marks them as used. Later blocks of a prompt are evicted
    /// before earlier ones, because a block is useless without its predecessors.
    pub(super) fn store(&mut self, now: Duration, hashes: &[u32]) {
        let hashes = &hashes[..hashes.len().min(self.capacity)];
        self.use_count += hashes.len() as u64;
        for (index, hash) in hashes.iter().enumerate() {
            let last_used = self.use_count - index as u64;
            if self.stored.insert(*hash, last_used).is_none() {
                self.publish(now, *hash, "stored");
            }
            if self.stored.len() > self.capacity {
                self.evict(now);
            }
        }
    }

    /// Events with a sequence number above `after` that are published by `now`.
    pub(super) fn events(&self, now: Duration, after: u64, started_at_ms: u64) -> CacheEvents {
        let published = self.events.iter().filter(|(at, _)| *at + self.lag <= now);
        CacheEvents {
            started_at_ms,
            oldest: self
                .events
                .front()
                .map_or(self.next_seq, |(_, event)| event.seq),
            events: published
                .filter(|(_, event)| event.seq > after)
                .map(|(_, event)| event.clone())
                .collect(),
        }
    }

    fn evict(&mut self, now: Duration) {
        let oldest = self.stored.iter().min_by_key(|(_, last_used)| **last_used);
        if let Some(hash) = oldest.map(|(hash, _)| *hash) {
            self.stored.remove(&hash);
            self.publish(now, hash, "evicted");
        }
    }

    fn publish(&mut self, now: Duration, prefix_hash: u32, kind: &str) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.random.random_range(0.0..1.0) < self.gap_rate {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let kind = kind.to_owned();
        let event = CacheEvent {
            seq,
            prefix_hash,
            kind,
        };
        self.events.push_back((now, event));
    }
}
