//! Tests of the memory budget: who is refused, who is ended and who waits when it is used up.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_gateway::memory::{Budget, Exhausted};
use bytes::Bytes;
use tokio::time::timeout;

const KIB: usize = 1024;

/// A time after which a future counts as waiting.
const A_MOMENT: Duration = Duration::from_millis(50);

/// Guards against small exchanges that are refused because others have used up the limit.
#[tokio::test(start_paused = true)]
async fn small_exchanges_are_not_refused() {
    let budget = Budget::with_limit(100 * KIB);
    let large = budget.open();
    let _held = large.hold(164 * KIB).await.unwrap();
    let small = budget.open();
    assert!(small.hold(64 * KIB).await.is_ok());
}

/// Guards against an exchange that takes the memory of smaller ones.
#[tokio::test(start_paused = true)]
async fn the_largest_exchange_is_refused_first() {
    let budget = Budget::with_limit(200 * KIB);
    let (first, second) = (budget.open(), budget.open());
    let eviction = first.eviction();
    let _receiver = eviction.subscribe();
    let _first = first.hold(164 * KIB).await.unwrap();
    let second = second.hold(264 * KIB).await;
    assert_eq!(second.map(drop), Err(Exhausted));
    assert!(!first.is_evicted());
}

/// Guards against an exchange that is refused although a larger one could be ended.
#[tokio::test(start_paused = true)]
async fn a_larger_exchange_is_ended_for_a_smaller_one() {
    let budget = Budget::with_limit(200 * KIB);
    let (large, small) = (budget.open(), budget.open());
    let held = large.hold(264 * KIB).await.unwrap();
    let eviction = large.eviction();
    let mut receiver = eviction.subscribe();
    let mut waiting = Box::pin(small.hold(128 * KIB));
    assert!(timeout(A_MOMENT, &mut waiting).await.is_err());
    receiver.wait_for(|is_evicted| *is_evicted).await.unwrap();
    assert_eq!(large.hold(KIB).await.map(drop), Err(Exhausted));
    drop(held);
    assert!(timeout(A_MOMENT, waiting).await.unwrap().is_ok());
}

/// Guards against an exchange that is ended although it can't release its memory.
#[tokio::test(start_paused = true)]
async fn an_exchange_that_can_not_end_is_not_chosen() {
    let budget = Budget::with_limit(200 * KIB);
    let (large, small) = (budget.open(), budget.open());
    let _held = large.hold(264 * KIB).await.unwrap();
    assert_eq!(small.hold(128 * KIB).await.map(drop), Err(Exhausted));
    assert!(!large.is_evicted());
}

/// Guards against bytes that no longer count while they are being sent, or count for ever.
#[tokio::test(start_paused = true)]
async fn bytes_count_until_their_last_copy_is_dropped() {
    let budget = Budget::with_limit(200 * KIB);
    let holder = budget.open();
    let held = holder.hold(164 * KIB).await.unwrap();
    let mut bytes = held.attach(Bytes::from(vec![0; 164 * KIB]));
    let part = bytes.split_to(KIB);
    drop(bytes);
    assert_eq!(holder.bytes(), 164 * KIB);
    drop(part);
    assert_eq!(holder.bytes(), 0);
    drop(holder);
    assert_eq!(budget.shared_bytes(), 0);
}
