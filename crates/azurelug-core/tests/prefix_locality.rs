//! Tests the prefix index: gaps, duplicates, late resyncs, engine restarts, size bound.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/query.rs"]
mod query;

use azurelug_core::routing::{CacheChange, CacheEvent, Router};
use azurelug_core::slow_start::DaemonRank;
use azurelug_types::id::{TargetKey, TargetName};
use fleet::{SECOND, SUCCESS, fleet as zones, model, report, router, warm_router};
use query::query;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

fn event(sequence: u64, change: CacheChange) -> CacheEvent {
    CacheEvent {
        start_stamp: 1,
        sequence,
        change,
    }
}

/// The chosen target, and the number of prefix blocks that the router assumes it has cached.
fn chosen_target(router: &mut Router, prefix: &[u64]) -> (TargetKey, u32) {
    let model = model();
    let choice = router
        .choose(&query(&model, prefix), SECOND)
        .expect("a target is free");
    let claimed = choice.compared[0]
        .expect("the chosen target comes first")
        .prefix_blocks;
    (choice.target, claimed)
}

/// Guards against prefix locality without effect, and against one that overloads the holder.
#[test]
fn a_holder_of_the_prefix_is_preferred_until_it_is_busy() {
    let mut router = warm_router(&zones(1, 20), 4);
    let holder = router.table().key(&TargetName::from("a13")).unwrap();
    router.apply_cache_event(
        holder,
        &event(0, CacheChange::Stored(vec![1, 2, 3, 4])),
        SECOND,
    );
    assert_eq!(chosen_target(&mut router, &[1, 2, 9, 9]), (holder, 2));
    for _ in 0..2 {
        assert_eq!(chosen_target(&mut router, &[1, 2, 3, 4]), (holder, 4));
        router.begin(holder, SECOND).unwrap();
    }
    for _ in 0..3 {
        router.begin(holder, SECOND).unwrap();
    }
    assert_ne!(
        chosen_target(&mut router, &[1, 2, 3, 4]).0,
        holder,
        "5 of 10 calls outweigh the prefix bonus"
    );
}

/// Guards against the use of entries that a lost event may have removed.
#[test]
fn after_a_gap_no_entry_is_used_until_a_resync() {
    let mut router = warm_router(&zones(1, 1), 4);
    let key = TargetKey(0);
    router.apply_cache_event(key, &event(0, CacheChange::Stored(vec![1, 2])), SECOND);
    assert_eq!(chosen_target(&mut router, &[1, 2]).1, 2);
    // Event 1 is lost. Event 2 arrives, and later events too.
    router.apply_cache_event(key, &event(2, CacheChange::Stored(vec![3])), SECOND);
    assert_eq!(chosen_target(&mut router, &[1, 2, 3]).1, 0);
    router.apply_cache_event(key, &event(3, CacheChange::Stored(vec![1, 2])), SECOND);
    assert_eq!(chosen_target(&mut router, &[1, 2]).1, 0);
    assert_eq!(router.needs_resync().collect::<Vec<_>>(), vec![key]);
    assert!(
        !router.cache_resync(key, 1, 2, &[1, 2], SECOND),
        "older than event 3"
    );
    assert_eq!(chosen_target(&mut router, &[1, 2]).1, 0);
    assert!(router.cache_resync(key, 1, 3, &[1], SECOND));
    assert_eq!(chosen_target(&mut router, &[1, 2]).1, 1);
    // The delayed event 1 and a duplicate of event 3 are ignored.
    router.apply_cache_event(key, &event(1, CacheChange::Cleared), SECOND);
    router.apply_cache_event(key, &event(3, CacheChange::Cleared), SECOND);
    assert_eq!(chosen_target(&mut router, &[1, 2]).1, 1);
}

/// Guards against the use of cache entries from before an engine's restart.
#[test]
fn entries_from_before_an_engine_restart_are_not_used() {
    let mut router = router(&zones(1, 1), 4, DaemonRank::ALONE);
    let key = TargetKey(0);
    report(&mut router, "a0", 0, true, 1, SECOND);
    router.apply_cache_event(key, &event(0, CacheChange::Stored(vec![1])), SECOND);
    assert_eq!(chosen_target(&mut router, &[1]).1, 1);
    report(&mut router, "a0", 0, false, 2, SECOND);
    assert_eq!(chosen_target(&mut router, &[1]).1, 0);
    router.apply_cache_event(key, &event(1, CacheChange::Stored(vec![1])), SECOND);
    assert_eq!(
        chosen_target(&mut router, &[1]).1,
        0,
        "a delayed event from before the restart"
    );
    assert!(!router.cache_resync(key, 1, 9, &[1], SECOND));
    let mut router = warm_router(&zones(1, 1), 4);
    report(&mut router, "a0", 0, false, 2, SECOND);
    router.apply_cache_event(key, &event(0, CacheChange::Stored(vec![1])), SECOND);
    assert_eq!(chosen_target(&mut router, &[1]).1, 0);
}

/// Guards against an index that differs from the engine's cache as of the last received event,
/// under random loss and duplication of events and with outdated resyncs.
#[test]
fn the_index_never_contradicts_the_events_that_the_engine_has_sent() {
    for seed in 0..200 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut router = warm_router(&zones(1, 1), seed);
        let key = TargetKey(0);
        // The engine's cache after each event. Without a gap, the index must match the state after
        // the last delivered event or resync; after a gap, it must be empty.
        let mut cache = BTreeSet::new();
        let mut states = Vec::new();
        let mut delivered = None;
        let mut in_order = true;
        for sequence in 0..40 {
            let block = random.random_range(0..6);
            let change = match random.random_range(0..8) {
                0 => CacheChange::Cleared,
                1..=3 => CacheChange::Removed(vec![block]),
                _ => CacheChange::Stored(vec![block]),
            };
            match &change {
                CacheChange::Cleared => cache.clear(),
                CacheChange::Removed(_) => {
                    cache.remove(&block);
                }
                CacheChange::Stored(_) => {
                    cache.insert(block);
                }
            }
            states.push(cache.clone());
            let lost = random.random_range(0..6) == 0;
            if !lost {
                in_order &= delivered.map_or(0, |last: u64| last + 1) == sequence;
                router.apply_cache_event(key, &event(sequence, change.clone()), SECOND);
                delivered = Some(sequence);
                if random.random_range(0..4) == 0 {
                    router.apply_cache_event(key, &event(sequence, change), SECOND);
                }
            }
            if random.random_range(0..6) == 0 {
                let at = sequence - random.random_range(0..=sequence.min(3));
                let blocks: Vec<u64> = states[at as usize].iter().copied().collect();
                if router.cache_resync(key, 1, at, &blocks, SECOND) {
                    delivered = Some(at);
                    in_order = true;
                }
            }
            for block in 0..6 {
                let claimed = chosen_target(&mut router, &[block]).1 == 1;
                let held = delivered
                    .is_some_and(|last| in_order && states[last as usize].contains(&block));
                assert_eq!(
                    claimed, held,
                    "seed {seed}, event {sequence}, block {block}"
                );
            }
        }
    }
}

/// Guards against an index that grows without bound because old blocks are never evicted.
#[test]
fn the_oldest_blocks_are_evicted_from_a_full_index() {
    let mut router = warm_router(&zones(1, 1), 4);
    let key = TargetKey(0);
    for sequence in 0..10_000 {
        let change = CacheChange::Stored(vec![sequence + 1]);
        router.apply_cache_event(key, &event(sequence, change), SECOND);
    }
    assert_eq!(chosen_target(&mut router, &[1]).1, 0);
    assert_eq!(chosen_target(&mut router, &[10_000]).1, 1);
    let call = router.begin(key, SECOND).unwrap();
    router.finish(call, SUCCESS, SECOND).unwrap();
}

/// Guards against index entries that are not in the engine's cache when polled events are lost,
/// repeated or reordered, and against a permanent loss of locality after one lost event.
#[test]
fn polled_events_with_gaps_cause_no_wrong_entries_and_the_index_recovers() {
    let (mut claimed, mut held) = (0, 0);
    for seed in 0..200 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut router = warm_router(&zones(1, 1), 4);
        let key = TargetKey(0);
        let mut cache = BTreeSet::new();
        let mut published = Vec::new();
        for sequence in 0..60 {
            let block = random.random_range(0..6);
            let change = if cache.remove(&block) {
                CacheChange::Removed(vec![block])
            } else {
                cache.insert(block);
                CacheChange::Stored(vec![block])
            };
            if random.random_range(0..10) > 0 {
                published.push((event(sequence, change), cache.clone()));
            }
            if random.random_range(0..3) > 0 {
                continue;
            }
            let next = router
                .next_cache_sequence(key)
                .saturating_sub(random.random_range(0..3));
            let mut answer: Vec<CacheEvent> = published
                .iter()
                .map(|(event, _)| event.clone())
                .filter(|event| event.sequence >= next)
                .collect();
            answer.reverse();
            router.apply_cache_poll(key, 1, &answer, SECOND);
            let Some((_, known)) = published.last() else {
                continue;
            };
            for block in 0..6 {
                let is_claimed = chosen_target(&mut router, &[block]).1 == 1;
                let is_held = known.contains(&block);
                assert!(
                    is_held || !is_claimed,
                    "seed {seed}, event {sequence}, block {block}"
                );
                claimed += u32::from(is_claimed);
                held += u32::from(is_held);
            }
        }
    }
    assert!(
        claimed * 2 > held,
        "{claimed} of {held} cached blocks are in the index"
    );
}
