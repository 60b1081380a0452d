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
const MAX_HOLDERS: usize = 4;
/// Maximum number of blocks in the index over all targets, at about 40 bytes each.
const MAX_TOTAL_BLOCKS: usize = 524_288;
/// Up to this age of a target's last event, its entries have full confidence.
const FRESH_AGE: Duration = Duration::from_secs(10);
/// From this age on, its entries have no confidence.
const STALE_AGE: Duration = Duration::from_secs(120);

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
    targets: [Option<TargetKey>; MAX_HOLDERS],
    replace_at: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Continuity {
    /// All events before `next` were applied.
    Complete { next: u64 },
    /// Some of the events up to `seen` are missing.
    Gap { seen: u64 },
}

#[derive(Clone, Debug)]
struct CacheState {
    /// Start stamp of the engine that sent the events.
    start_stamp: u64,
    continuity: Continuity,
    insertion_order: VecDeque<u64>,
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
pub(super) struct PrefixIndex {
    blocks: HashMap<u64, Holders>,
    caches: Vec<CacheState>,
}

impl CacheState {
    fn new(start_stamp: u64) -> Self {
        Self {
            start_stamp,
            continuity: Continuity::Complete { next: 0 },
            insertion_order: VecDeque::new(),
            last_event: Duration::ZERO,
        }
    }
}

impl PrefixIndex {
    /// Resizes the index to `targets` arena slots.
    pub(super) fn resize(&mut self, targets: usize) {
        self.caches.resize_with(targets, || CacheState::new(0));
    }

    /// Whether the target's events are complete.
    pub(super) fn is_complete(&self, target: TargetKey) -> bool {
        matches!(
            self.caches[target.0 as usize].continuity,
            Continuity::Complete { .. }
        )
    }

    /// Clears the state of an arena slot that is reused for another target.
    pub(super) fn reset(&mut self, target: TargetKey) {
        self.clear(target);
        self.caches[target.0 as usize] = CacheState::new(0);
    }

    /// Records the start stamp of the target's engine and drops the entries of an earlier start.
    /// Returns false if `start_stamp` is older than the known stamp.
    pub(super) fn update_engine(&mut self, target: TargetKey, start_stamp: u64) -> bool {
        let known = self.caches[target.0 as usize].start_stamp;
        if start_stamp > known {
            self.clear(target);
            self.caches[target.0 as usize] = CacheState::new(start_stamp);
        }
        start_stamp >= known
    }

    /// Applies an event. Duplicates are ignored; a gap drops the target's entries.
    pub(super) fn apply_event(&mut self, target: TargetKey, event: &CacheEvent, now: Duration) {
        if !self.update_engine(target, event.start_stamp) {
            return;
        }
        let sequence = event.sequence;
        let cache = &mut self.caches[target.0 as usize];
        match cache.continuity {
            Continuity::Complete { next } if sequence < next => return,
            Continuity::Complete { next } if sequence == next => {
                cache.continuity = Continuity::Complete { next: next + 1 };
            }
            Continuity::Complete { .. } => {
                cache.continuity = Continuity::Gap { seen: sequence };
                self.clear(target);
                return;
            }
            Continuity::Gap { seen } => {
                cache.continuity = Continuity::Gap {
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
    pub(super) fn next_sequence(&self, target: TargetKey) -> u64 {
        match self.caches[target.0 as usize].continuity {
            Continuity::Complete { next } => next,
            Continuity::Gap { seen } => seen + 1,
        }
    }

    /// Applies the answer to a poll. A gap before an event is treated as a resync to an empty list,
    /// so the index may miss cached blocks but never contains blocks that are not cached.
    pub(super) fn apply_poll(
        &mut self,
        target: TargetKey,
        start_stamp: u64,
        events: &[CacheEvent],
        now: Duration,
    ) {
        if !self.update_engine(target, start_stamp) {
            return;
        }
        let mut events: Vec<&CacheEvent> = events.iter().collect();
        events.sort_unstable_by_key(|event| event.sequence);
        for event in events
            .into_iter()
            .filter(|it| it.start_stamp == start_stamp)
        {
            let next = self.next_sequence(target);
            let has_gap = !self.is_complete(target);
            if event.sequence > next || (has_gap && event.sequence == next) {
                self.resync(target, start_stamp, event.sequence - 1, &[], now);
            }
            self.apply_event(target, event, now);
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
        if !self.update_engine(target, start_stamp) {
            return false;
        }
        let cache = &mut self.caches[target.0 as usize];
        let is_outdated = match cache.continuity {
            Continuity::Complete { next } => sequence + 1 < next,
            Continuity::Gap { seen } => sequence < seen,
        };
        if is_outdated {
            return false;
        }
        cache.continuity = Continuity::Complete { next: sequence + 1 };
        cache.last_event = now;
        self.clear(target);
        self.store(target, blocks);
        true
    }

    /// Finds a target that caches a long part of the prefix; `pick` selects one of several. Binary
    /// search keeps the number of lookups small: engines evict the ends of prefixes first, so if a
    /// block is cached, the blocks before it usually are as well.
    pub(super) fn longest_match(&self, prefix: &[u64], pick: u32, now: Duration) -> Option<Match> {
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
        let decay =
            age.saturating_sub(FRESH_AGE).as_secs_f32() / (STALE_AGE - FRESH_AGE).as_secs_f32();
        Some(Match {
            target,
            blocks,
            confidence: (1.0 - decay).max(0.0),
        })
    }

    /// Maximum number of blocks of one target in the index.
    fn max_blocks_per_target(&self) -> usize {
        (MAX_TOTAL_BLOCKS / self.caches.len().max(1)).clamp(64, 4096)
    }

    fn store(&mut self, target: TargetKey, blocks: &[u64]) {
        let max_blocks = self.max_blocks_per_target();
        for block in blocks {
            let holders = self.blocks.entry(*block).or_default();
            if holders.targets.contains(&Some(target)) {
                continue;
            }
            holders.targets[holders.replace_at] = Some(target);
            holders.replace_at = (holders.replace_at + 1) % MAX_HOLDERS;
            let insertion_order = &mut self.caches[target.0 as usize].insertion_order;
            insertion_order.push_back(*block);
            if insertion_order.len() > max_blocks
                && let Some(oldest) = insertion_order.pop_front()
            {
                self.remove(target, oldest);
            }
        }
    }

    fn remove(&mut self, target: TargetKey, block: u64) {
        let Some(holders) = self.blocks.get_mut(&block) else {
            return;
        };
        for holder in &mut holders.targets {
            if *holder == Some(target) {
                *holder = None;
            }
        }
        if holders.targets.iter().all(Option::is_none) {
            self.blocks.remove(&block);
        }
    }

    fn clear(&mut self, target: TargetKey) {
        let insertion_order = std::mem::take(&mut self.caches[target.0 as usize].insertion_order);
        for block in insertion_order {
            self.remove(target, block);
        }
    }
}
