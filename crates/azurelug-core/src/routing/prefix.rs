//! Index of the prompt prefixes that each target caches, built from cache events that may be
//! delayed or lost.
//!
//! The index is bounded and maps a block hash to the targets that hold the block. A hash covers the
//! prompt up to the end of its block. After a gap in a target's sequence numbers, the entries from
//! before the gap are dropped, and no events are applied until a resync.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use azurelug_types::id::TargetKey;

/// Targets kept for each block. More would not help, because only one of them is compared.
const HOLDERS: usize = 4;
/// Maximum number of blocks in the index over all targets, at about 40 bytes each.
const TOTAL_BLOCKS: usize = 524_288;
/// Up to this age of a target's last event, its entries have full confidence.
const FRESH: Duration = Duration::from_secs(10);
/// From this age on, its entries have no confidence.
const STALE: Duration = Duration::from_secs(120);

/// The change that a cache event reports.
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
    /// Identifies one start of the engine process; a later start has a larger stamp.
    pub start_stamp: u64,
    /// Sequence number of the event since the engine's start, from 0.
    pub sequence: u64,
    /// The reported change.
    pub change: CacheChange,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    targets: [Option<TargetKey>; HOLDERS],
    next: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// All events before `next` were applied.
    Complete { next: u64 },
    /// Some of the events up to `seen` are missing.
    Broken { seen: u64 },
}

#[derive(Clone, Debug)]
struct Cache {
    /// Start stamp of the engine that sent the events.
    engine: u64,
    trust: Trust,
    order: VecDeque<u64>,
    last_event: Duration,
}

/// A target that caches a part of the prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Match {
    pub(super) target: TargetKey,
    pub(super) blocks: usize,
    /// From 0 to 1; decreases with the age of the target's last event.
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
    /// Resizes the index to `targets` arena slots.
    pub(super) fn resize(&mut self, targets: usize) {
        self.caches.resize_with(targets, || Cache::new(0));
    }

    /// Whether the target's events are complete.
    pub(super) fn is_complete(&self, target: TargetKey) -> bool {
        matches!(self.caches[target.0 as usize].trust, Trust::Complete { .. })
    }

    /// Clears the state of an arena slot that is reused for another target.
    pub(super) fn reset(&mut self, target: TargetKey) {
        self.clear(target);
        self.caches[target.0 as usize] = Cache::new(0);
    }

    /// Records the start stamp of the target's engine and drops the entries of an earlier start.
    /// Returns false if `engine` is older than the known stamp.
    pub(super) fn engine(&mut self, target: TargetKey, engine: u64) -> bool {
        let known = self.caches[target.0 as usize].engine;
        if engine > known {
            self.clear(target);
            self.caches[target.0 as usize] = Cache::new(engine);
        }
        engine >= known
    }

    /// Applies an event. Duplicates are ignored; a gap drops the target's entries.
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

    /// Sequence number of the next event to request.
    pub(super) fn next(&self, target: TargetKey) -> u64 {
        match self.caches[target.0 as usize].trust {
            Trust::Complete { next } => next,
            Trust::Broken { seen } => seen + 1,
        }
    }

    /// Applies the answer to a poll. A gap before an event is treated as a resync to an empty list,
    /// so the index may miss cached blocks but never contains blocks that are not cached.
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
        // An answer without events confirms that the entries are current.
        self.caches[target.0 as usize].last_event = now;
    }

    /// Replaces the target's entries by the complete list as of `sequence`. A list that is older
    /// than an event already received is ignored.
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

    /// Finds a target that caches a long part of the prefix; `pick` selects one of several. Binary
    /// search keeps the number of lookups small: engines evict the ends of prefixes first, so if a
    /// block is cached, the blocks before it usually are as well.
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

    /// Maximum number of blocks of one target in the index.
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
