//! Tests of the quarantine's ledger when it has no room for more records.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::quarantine::{
    CLOCK_START, Crash, MAX_RECORDS, Quarantine, Status, Verdict,
};
use azurelug_types::fleet::PartKey;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn part(number: u64) -> PartKey {
    PartKey::part(1, number)
}

fn request(number: u64) -> PartKey {
    PartKey::request(1, number)
}

/// Fills the ledger with records of `crashes` crashes each, 5 s apart, from `start` on.
fn fill(quarantine: &mut Quarantine, key: fn(u64) -> PartKey, crashes: u32, start: Duration) {
    for number in 0..MAX_RECORDS as u64 {
        for count in 0..crashes {
            let crash = Crash {
                target: 5000 + u64::from(count),
                at: CLOCK_START + start + 5 * SECOND * count,
            };
            quarantine.record_crash(&[key(10 + number)], crash, crash.at);
        }
    }
}

/// Sends a request that crashes each target every 3 s; returns how many of 100 are sent.
fn sends(quarantine: &mut Quarantine, keys: &[PartKey], start: Duration) -> usize {
    let mut sent = 0;
    for step in 0..100 {
        let now = CLOCK_START + start + 3 * SECOND * step;
        quarantine.prune(now);
        if quarantine.check(keys, now) == Verdict::Allowed {
            sent += 1;
            let crash = Crash {
                target: u64::from(step % 3),
                at: now,
            };
            quarantine.record_crash(keys, crash, now);
        }
    }
    sent
}

/// Guards against records that lock a deadly request or part out of the ledger, so that it crashes
/// targets for an hour.
#[test]
fn a_full_ledger_hides_no_deadly_request_or_part() {
    let mut failures = Vec::new();
    for (name, key, crashes) in [
        ("parts with one crash", part as fn(u64) -> PartKey, 1),
        ("parts with two crashes", part, 2),
        ("requests with one crash", request, 1),
        ("requests with two crashes", request, 2),
    ] {
        for (deadly, keys) in [("request", [request(1)]), ("part", [part(1)])] {
            let mut quarantine = Quarantine::default();
            fill(&mut quarantine, key, crashes, Duration::ZERO);
            let sent = sends(&mut quarantine, &keys, 60 * SECOND);
            assert!(quarantine.record_count() <= MAX_RECORDS);
            if sent != 3 {
                failures.push(format!("{name}, a deadly {deadly}: {sent} sends"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against accused records that newcomers displace.
#[test]
fn accused_records_are_displaced_last() {
    let mut quarantine = Quarantine::default();
    fill(&mut quarantine, part, 2, Duration::ZERO);
    let keys = [request(1)];
    assert_eq!(sends(&mut quarantine, &keys, 60 * SECOND), 3);
    fill(&mut quarantine, request, 2, 400 * SECOND);
    fill(&mut quarantine, part, 2, 500 * SECOND);
    let now = CLOCK_START + 600 * SECOND;
    assert_eq!(quarantine.status(&keys[0], now), Status::Accused);
    let suspected = quarantine.suspected(now);
    for is_request in [true, false] {
        let kind = suspected
            .iter()
            .filter(|(key, _)| key.is_request() == is_request);
        assert!(kind.count() <= MAX_RECORDS / 4 * 3);
    }
    assert!(suspected.len() <= MAX_RECORDS);
}

/// Guards against a request that is repeated without end because no record of it could be kept.
#[test]
fn a_request_without_a_record_is_not_repeated_after_two_crashes() {
    let quarantine = Quarantine::default();
    let now = CLOCK_START;
    assert!(quarantine.may_repeat(&[request(1)], 1, now));
    assert!(!quarantine.may_repeat(&[request(1)], 2, now));
    assert!(quarantine.may_repeat(&[part(1)], 2, now));
}

/// Guards against the only crashes of sound parts, which are kept and passed on for an hour.
#[test]
fn the_only_crash_of_a_part_is_kept_for_minutes() {
    let mut quarantine = Quarantine::default();
    for (key, count) in [(part(1), 1), (part(2), 2)] {
        for number in 0..count {
            let at = CLOCK_START + MS * 500 * number;
            let target = u64::from(number);
            quarantine.record_crash(&[key], Crash { target, at }, at);
        }
    }
    quarantine.prune(CLOCK_START + 599 * SECOND);
    assert_eq!(quarantine.record_count(), 2);
    quarantine.prune(CLOCK_START + 601 * SECOND);
    assert!(quarantine.record(&part(1)).is_none());
    assert_eq!(quarantine.record_count(), 1);
}
