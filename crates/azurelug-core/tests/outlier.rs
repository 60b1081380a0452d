//! Tests outlier ejection: pools that fail or slow down as a whole, repeated ejections.

use std::time::Duration;

use azurelug_core::outlier::{CallStats, eject_outliers};

const SECOND: Duration = Duration::from_secs(1);

fn ejected_positions(pool_stats: &mut [CallStats], now: Duration) -> Vec<usize> {
    let mut borrowed: Vec<&mut CallStats> = pool_stats.iter_mut().collect();
    eject_outliers(&mut borrowed, now)
        .into_iter()
        .map(|(position, _)| position)
        .collect()
}

fn pool(latencies: &[u32]) -> Vec<CallStats> {
    let mut pool_stats = vec![CallStats::default(); latencies.len()];
    for (stats, latency) in pool_stats.iter_mut().zip(latencies) {
        (0..20).for_each(|_| stats.record_success(*latency));
    }
    pool_stats
}

/// Guards against the ejection of a whole pool when a shared dependency fails.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    for size in 1..=30 {
        let mut pool_stats = vec![CallStats::default(); size];
        let mut ejected = 0;
        for second in 0..20 {
            for stats in &mut pool_stats {
                (0..20).for_each(|_| stats.record_failure());
            }
            ejected_positions(&mut pool_stats, second * SECOND);
            let now = second * SECOND;
            let ejected_now = pool_stats
                .iter()
                .filter(|it| it.ejected_until(now).is_some())
                .count();
            assert!(
                ejected_now <= size / 3,
                "{ejected_now} of {size} at {now:?}"
            );
            ejected = ejected.max(ejected_now);
        }
        assert_eq!(ejected, size / 3);
    }
}

/// Guards against a slow or failing target that is not ejected.
#[test]
fn a_target_three_times_slower_or_failing_is_ejected_and_others_are_not() {
    let mut pool_stats = pool(&[100, 120, 90, 301, 100, 299]);
    (0..10).for_each(|_| pool_stats[4].record_failure());
    assert_eq!(ejected_positions(&mut pool_stats, SECOND), vec![4, 3]);
}

/// Guards against ejections when every target of a stage has become slow.
#[test]
fn a_pool_that_is_slow_as_a_whole_ejects_no_target() {
    let mut pool_stats = pool(&[9_000, 9_500, 10_000, 11_000, 10_500, 9_800]);
    assert_eq!(
        ejected_positions(&mut pool_stats, SECOND),
        Vec::<usize>::new()
    );
}

/// Guards against ejections of healthy targets while the latency of the whole pool rises or falls
/// and the targets' medians change one after the other.
#[test]
fn a_pool_whose_latency_changes_as_a_whole_ejects_no_target() {
    let mut pool_stats = pool(&[100; 6]);
    for latency in [1_000, 100] {
        for step in 1..=10 {
            for (index, stats) in pool_stats.iter_mut().enumerate() {
                // The targets receive different numbers of calls between two checks.
                let calls = if (index + step) % 2 == 0 {
                    3
                } else {
                    1 + index % 2
                };
                (0..calls).for_each(|_| stats.record_success(latency));
            }
            let now = step as u32 * SECOND;
            assert_eq!(
                ejected_positions(&mut pool_stats, now),
                Vec::<usize>::new(),
                "{latency}, step {step}"
            );
        }
        pool_stats = pool(&[latency; 6]);
    }
}

/// Guards against ejections based on too few calls.
#[test]
fn a_few_failures_do_not_eject_a_target() {
    let mut pool_stats = vec![CallStats::default(); 6];
    (0..7).for_each(|_| pool_stats[0].record_failure());
    assert_eq!(
        ejected_positions(&mut pool_stats, SECOND),
        Vec::<usize>::new()
    );
}

/// Guards against a failing target whose ejections do not become longer, and against ejections
/// based on samples from before the last ejection.
#[test]
fn each_ejection_lasts_twice_as_long_and_is_based_on_new_samples() {
    let mut pool_stats = pool(&[100, 100, 100]);
    let mut now = SECOND;
    for length in [5, 10, 20, 40] {
        (0..20).for_each(|_| pool_stats[0].record_failure());
        assert_eq!(ejected_positions(&mut pool_stats, now), vec![0]);
        assert_eq!(
            pool_stats[0].ejected_until(now),
            Some(now + length * SECOND)
        );
        now += length * SECOND;
        assert_eq!(pool_stats[0].ejected_until(now), None);
        assert_eq!(ejected_positions(&mut pool_stats, now), Vec::<usize>::new());
    }
}
