//! Tests outlier ejection: pools that fail or slow down as a whole, repeated ejections.

use std::time::Duration;

use azurelug_core::outlier::{Record, judge};

const SECOND: Duration = Duration::from_secs(1);

fn judge_all(records: &mut [Record], now: Duration) -> Vec<usize> {
    let mut borrowed: Vec<&mut Record> = records.iter_mut().collect();
    judge(&mut borrowed, now)
        .into_iter()
        .map(|(position, _)| position)
        .collect()
}

fn pool(latencies: &[u32]) -> Vec<Record> {
    let mut records = vec![Record::default(); latencies.len()];
    for (record, latency) in records.iter_mut().zip(latencies) {
        (0..20).for_each(|_| record.success(*latency));
    }
    records
}

/// Guards against the ejection of a whole pool when a shared dependency fails.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    for size in 1..=30 {
        let mut records = vec![Record::default(); size];
        let mut ejected = 0;
        for second in 0..20 {
            for record in &mut records {
                (0..20).for_each(|_| record.failure());
            }
            judge_all(&mut records, second * SECOND);
            let now = second * SECOND;
            let out = records
                .iter()
                .filter(|it| it.ejected_until(now).is_some())
                .count();
            assert!(out <= size / 3, "{out} of {size} at {now:?}");
            ejected = ejected.max(out);
        }
        assert_eq!(ejected, size / 3);
    }
}

/// Guards against a slow or failing target that is not ejected.
#[test]
fn a_target_three_times_slower_or_failing_is_ejected_and_others_are_not() {
    let mut records = pool(&[100, 120, 90, 301, 100, 299]);
    (0..10).for_each(|_| records[4].failure());
    assert_eq!(judge_all(&mut records, SECOND), vec![4, 3]);
}

/// Guards against ejections when every target of a stage has become slow.
#[test]
fn a_pool_that_is_slow_as_a_whole_ejects_nobody() {
    let mut records = pool(&[9_000, 9_500, 10_000, 11_000, 10_500, 9_800]);
    assert_eq!(judge_all(&mut records, SECOND), Vec::<usize>::new());
}

/// Guards against ejections of healthy targets while the latency of the whole pool rises or falls
/// and the targets' medians change one after the other.
#[test]
fn a_pool_that_changes_its_pace_together_ejects_nobody() {
    let mut records = pool(&[100; 6]);
    for latency in [1_000, 100] {
        for step in 1..=10 {
            for (index, record) in records.iter_mut().enumerate() {
                // The targets receive different numbers of calls between two checks.
                let calls = if (index + step) % 2 == 0 {
                    3
                } else {
                    1 + index % 2
                };
                (0..calls).for_each(|_| record.success(latency));
            }
            let now = step as u32 * SECOND;
            assert_eq!(
                judge_all(&mut records, now),
                Vec::<usize>::new(),
                "{latency}, step {step}"
            );
        }
        records = pool(&[latency; 6]);
    }
}

/// Guards against ejections based on too few calls.
#[test]
fn a_few_failures_are_no_verdict() {
    let mut records = vec![Record::default(); 6];
    (0..7).for_each(|_| records[0].failure());
    assert_eq!(judge_all(&mut records, SECOND), Vec::<usize>::new());
}

/// Guards against a failing target whose ejections do not become longer, and against ejections
/// based on samples from before the last ejection.
#[test]
fn each_ejection_lasts_twice_as_long_and_starts_from_fresh_samples() {
    let mut records = pool(&[100, 100, 100]);
    let mut now = SECOND;
    for length in [5, 10, 20, 40] {
        (0..20).for_each(|_| records[0].failure());
        assert_eq!(judge_all(&mut records, now), vec![0]);
        assert_eq!(records[0].ejected_until(now), Some(now + length * SECOND));
        now += length * SECOND;
        assert_eq!(records[0].ejected_until(now), None);
        assert_eq!(judge_all(&mut records, now), Vec::<usize>::new());
    }
}
