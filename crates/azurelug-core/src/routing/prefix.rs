//! Which targets hold which prompt prefixes, learned from cache events that come late and with
//! gaps.
//!
//! Owns a bounded index from block hash to holders. A hash covers the prompt up to the end of its
//! block. After a gap in a target's sequence numbers, nothing that was stored before it is claimed
//! about that target until a resync.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use azurelug_types::id::TargetKey;

/// Holders kept for one block. More would not help, because only one of them is compared.
const HOLDERS: usize = 4;
/// Blocks in the index over all targets; about 40 bytes each.
const TOTAL_BLOCKS: usize = 524_288;
/// Age of a target's last event up to which its entries count in full.
const FRESH: Duration = Duration::from_secs(10);
/// Age from which its entries do not count at all.
const STALE: Duration = Duration::from_secs(120);

/// What an engine's cache event says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// These blocks are now cached.
    Stored(Vec<u64>),
    /// These blocks are no longer cached.
    Removed(Vec<u64>),
    /// Nothing is cached any more.
    Cleared,
}

/// One cache event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Identifies the run of the engine; a later run has a larger stamp.
    pub start_stamp: u64,
    /// Counts the events of one run, from 0.
    pub sequence: u64,
    /// What has changed.
    pub change: CacheChange,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    targets: [Option<TargetKey>; HOLDERS],
    next: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// All events up to `next` were applied.
    Complete { next: u64 },
    /// Events up to `seen` are missing in part.
    Broken { seen: u64 },
}

#[derive(Clone, Debug)]
struct Cache {
    /// When the engine that sent the events was started.
    engine: u64,
    trust: Trust,
    order: VecDeque<u64>,
    last_event: Duration,
}

/// A holder of a part of the prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Match {
    pub(super) target: TargetKey,
    pub(super) blocks: usize,
    /// From 0 to 1, falls with the age of the target's last event.
    pub(super) confidence: f32,
}

/// The index over all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    blocks: HashMap<u64, Holders>,
    caches: Vec<Cache>,
}

impl Cache {
    fn new(engine: u64) -> Self {
        Self {
            engine,
            trust: Trust::Complete { next: 0 },
            order: VecDeque::new(),
            last_event: Duration::ZERO,
        }
    }
}

impl Index {
    /// Makes room for `targets` arena slots.
    pub(super) fn resize(&mut self, targets: usize) {
        self.caches.resize_with(targets, || Cache::new(0));
    }

    /// Whether the target's events are complete.
    pub(super) fn is_complete(&self, target: TargetKey) -> bool {
        matches!(self.caches[target.0 as usize].trust, Trust::Complete { .. })
    }

    /// Forgets a target whose arena slot gets a new occupant.
    pub(super) fn reset(&mut self, target: TargetKey) {
        self.clear(target);
        self.caches[target.0 as usize] = Cache::new(0);
    }

    /// Learns when the target's engine was started. Entries of an earlier engine are dropped.
    /// Returns false if `engine` is the earlier one.
    pub(super) fn engine(&mut self, target: TargetKey, engine: u64) -> bool {
        let known = self.caches[target.0 as usize].engine;
        if engine > known {
            self.clear(target);
            self.caches[target.0 as usize] = Cache::new(engine);
        }
        engine >= known
    }

    /// Applies an event. Repeated events are ignored; a gap drops the target's entries.
    pub(super) fn event(&mut self, target: TargetKey, event: &CacheEvent, now: Duration) {
        if !self.engine(target, event.start_stamp) {
            return;
        }
        let sequence = event.sequence;
        let cache = &mut self.caches[target.0 as usize];
        match cache.trust {
            Trust::Complete { next } if sequence < next => return,
            Trust::Complete { next } if sequence == next => {
                cache.trust = Trust::Complete { next: next + 1 };
            }
            Trust::Complete { .. } => {
                cache.trust = Trust::Broken { seen: sequence };
                self.clear(target);
                return;
            }
            Trust::Broken { seen } => {
                cache.trust = Trust::Broken {
                    seen: seen.max(sequence),
                };
                return;
            }
        }
        cache.last_event = now;
        match &event.change {
            CacheChange::Stored(blocks) => self.store(target, blocks),
            CacheChange::Removed(blocks) => {
                for block in blocks {
                    self.remove(target, *block);
                }
            }
            CacheChange::Cleared => self.clear(target),
        }
    }

    /// The event that is needed next.
    pub(super) fn next(&self, target: TargetKey) -> u64 {
        match self.caches[target.0 as usize].trust {
            Trust::Complete { next } => next,
            Trust::Broken { seen } => seen + 1,
        }
    }

    /// Applies the answer to a poll. A gap before an event is treated as a resync to an empty list,
    /// which claims too little and never too much.
    pub(super) fn answer(
        &mut self,
        target: TargetKey,
        engine: u64,
        events: &[CacheEvent],
        now: Duration,
    ) {
        if !self.engine(target, engine) {
            return;
        }
        let mut events: Vec<&CacheEvent> = events.iter().collect();
        events.sort_unstable_by_key(|event| event.sequence);
        for event in events.into_iter().filter(|it| it.start_stamp == engine) {
            let next = self.next(target);
            let is_broken = !self.is_complete(target);
            if event.sequence > next || (is_broken && event.sequence == next) {
                self.resync(target, engine, event.sequence - 1, &[], now);
            }
            self.event(target, event, now);
        }
        // An answer without events confirms the entries.
        self.caches[target.0 as usize].last_event = now;
    }

    /// Replaces the target's entries by the complete list as of `sequence`. A list that is older
    /// than an event already seen is ignored.
    pub(super) fn resync(
        &mut self,
        target: TargetKey,
        start_stamp: u64,
        sequence: u64,
        blocks: &[u64],
        now: Duration,
    ) -> bool {
        if !self.engine(target, start_stamp) {
            return false;
        }
        let cache = &mut self.caches[target.0 as usize];
        let behind = match cache.trust {
            Trust::Complete { next } => sequence + 1 < next,
            Trust::Broken { seen } => sequence < seen,
        };
        if behind {
            return false;
        }
        cache.trust = Trust::Complete { next: sequence + 1 };
        cache.last_event = now;
        self.clear(target);
        self.store(target, blocks);
        true
    }

    /// A holder of a long part of the prefix; `pick` chooses among several. Binary search keeps
    /// the number of look-ups small; engines evict the ends of prefixes first, so a held block
    /// usually means that the blocks before it are held too.
    pub(super) fn longest(&self, prefix: &[u64], pick: u32, now: Duration) -> Option<Match> {
        if self.blocks.is_empty() {
            return None;
        }
        let (mut low, mut high) = (0, prefix.len());
        let mut found = None;
        while low < high {
            let middle = low.midpoint(high);
            match self.blocks.get(&prefix[middle]) {
                Some(holders) => {
                    found = Some((middle + 1, holders));
                    low = middle + 1;
                }
                None => high = middle,
            }
        }
        let (blocks, holders) = found?;
        let count = holders.targets.iter().flatten().count();
        let target = *holders
            .targets
            .iter()
            .flatten()
            .nth(pick as usize % count)?;
        let age = now.saturating_sub(self.caches[target.0 as usize].last_event);
        let fading = age.saturating_sub(FRESH).as_secs_f32() / (STALE - FRESH).as_secs_f32();
        Some(Match {
            target,
            blocks,
            confidence: (1.0 - fading).max(0.0),
        })
    }

    /// Blocks that one target may have in the index.
    fn share(&self) -> usize {
        (TOTAL_BLOCKS / self.caches.len().max(1)).clamp(64, 4096)
    }

    fn store(&mut self, target: TargetKey, blocks: &[u64]) {
        let share = self.share();
        for block in blocks {
            let holders = self.blocks.entry(*block).or_default();
            if holders.targets.contains(&Some(target)) {
                continue;
            }
            holders.targets[holders.next] = Some(target);
            holders.next = (holders.next + 1) % HOLDERS;
            let order = &mut self.caches[target.0 as usize].order;
            order.push_back(*block);
            if order.len() > share
                && let Some(oldest) = order.pop_front()
            {
                self.remove(target, oldest);
            }
        }
    }

    fn remove(&mut self, target: TargetKey, block: u64) {
        let Some(holders) = self.blocks.get_mut(&block) else {
            return;
        };
        for slot in &mut holders.targets {
            if *slot == Some(target) {
                *slot = None;
            }
        }
        if holders.targets.iter().all(Option::is_none) {
            self.blocks.remove(&block);
        }
    }

    fn clear(&mut self, target: TargetKey) {
        let order = std::mem::take(&mut self.caches[target.0 as usize].order);
        for block in order {
            self.remove(target, block);
        }
    }
}
