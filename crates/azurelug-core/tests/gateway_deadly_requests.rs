//! Tests of the quarantine for whole requests that crash targets.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::quarantine::{
    CLOCK_START, Crash, MAX_RECORDS, PROBE_PAUSES, Quarantine, Status, Verdict,
};
use azurelug_types::fleet::PartKey;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn part(id: u64) -> PartKey {
    PartKey::part(1, id)
}

fn request(digest: u64) -> PartKey {
    PartKey::request(1, digest)
}

fn crash(target: u64, at: Duration) -> Crash {
    Crash {
        target,
        at: CLOCK_START + at,
    }
}

/// Records crashes of requests with these keys, a second apart, from `start` on.
fn crash_targets(quarantine: &mut Quarantine, keys: &[PartKey], start: u32, count: u32) {
    for number in start..start + count {
        let crash = crash(u64::from(number), SECOND * number);
        quarantine.record_crash(keys, crash, crash.at);
    }
}

fn at(seconds: u32) -> Duration {
    CLOCK_START + SECOND * seconds
}

/// Guards against a request without prompt parts that crashes one target after the other.
#[test]
fn three_crashes_accuse_a_request_however_close_together() {
    let mut quarantine = Quarantine::default();
    let keys = [request(1)];
    let mut statuses = Vec::new();
    for number in 0..3 {
        // Two reports of the same crash.
        for delay in [0, 30] {
            let crash = crash(number, 70 * MS * number as u32 + MS * delay);
            quarantine.record_crash(&keys, crash, crash.at);
        }
        let now = CLOCK_START + 300 * MS;
        let may_repeat = quarantine.may_repeat(&keys, 1, now);
        statuses.push((quarantine.status(&keys[0], now), may_repeat));
    }
    let expected = [
        (Status::Clear, true),
        (Status::Suspected, false),
        (Status::Accused, false),
    ];
    assert_eq!(statuses, expected);
    let verdict = quarantine.check(&keys, at(1));
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    assert_eq!(quarantine.check(&[request(2)], at(1)), Verdict::Allowed);
}

/// Guards against sound requests that are refused because of a request that has the same parts.
#[test]
fn a_deadly_request_does_not_accuse_the_parts_that_it_shares() {
    let mut quarantine = Quarantine::default();
    // One crash that another request causes.
    crash_targets(&mut quarantine, &[request(9), part(1)], 0, 1);
    crash_targets(&mut quarantine, &[request(1), part(1), part(2)], 1, 4);
    let now = at(5);
    assert_eq!(quarantine.status(&request(1), now), Status::Accused);
    assert_eq!(quarantine.status(&part(1), now), Status::Clear);
    assert_eq!(quarantine.status(&part(2), now), Status::Clear);
    let sound = [request(2), part(1), part(2)];
    assert_eq!(quarantine.check(&sound, now), Verdict::Allowed);
    assert!(quarantine.may_repeat(&sound, 0, now));
    // The same part at another service.
    let elsewhere = PartKey::part(2, 1);
    let crash = crash(50, 5 * SECOND);
    quarantine.record_crash(&[elsewhere], crash, now);
    assert_eq!(quarantine.status(&elsewhere, now), Status::Clear);
}

/// Guards against a part that is accused because a request has crashed more targets than its record
/// holds, and against a deadly part that is cleared because of it.
#[test]
fn crashes_that_were_not_kept_do_not_accuse_a_part() {
    let keys = [request(1), part(1)];
    for other in 0..40 {
        let mut quarantine = Quarantine::default();
        for number in 0..40 {
            if number == 20 {
                quarantine.record_progress(&[part(1)], at(number));
            }
            let target = 1000 * (u64::from(number) * 7 % 40);
            let crash = crash(target, SECOND * number);
            quarantine.record_crash(&keys, crash, crash.at);
        }
        assert_eq!(quarantine.status(&part(1), at(40)), Status::Clear);
        let later = crash(1000 * other + 1, 41 * SECOND);
        quarantine.record_crash(&[request(2), part(1)], later, later.at);
        assert_eq!(quarantine.status(&part(1), at(41)), Status::Accused);
    }
}

/// Guards against a deadly request that is a probe of its own parts time after time, while they are
/// refused to sound requests.
#[test]
fn a_deadly_request_clears_a_part_that_was_accused_before_it() {
    let mut quarantine = Quarantine::default();
    crash_targets(&mut quarantine, &[request(9), part(1)], 0, 1);
    let keys = [request(1), part(1)];
    crash_targets(&mut quarantine, &keys, 1, 2);
    assert_eq!(quarantine.status(&part(1), at(3)), Status::Accused);
    assert!(!quarantine.may_repeat(&keys, 1, at(3)));
    let probe = at(5);
    assert_eq!(
        quarantine.check(&keys, probe),
        Verdict::ProbeDue(vec![part(1)])
    );
    quarantine.record_probe(&keys, probe);
    crash_targets(&mut quarantine, &keys, 6, 1);
    assert_eq!(quarantine.status(&request(1), at(7)), Status::Accused);
    assert_eq!(quarantine.status(&part(1), at(7)), Status::Clear);
}

/// Guards against a deadly part that is taken for several deadly requests, because clients repeat
/// its requests.
#[test]
fn a_part_that_two_requests_have_in_common_is_accused() {
    let mut quarantine = Quarantine::default();
    let first = [request(1), part(1)];
    let second = [request(2), part(1)];
    crash_targets(&mut quarantine, &first, 0, 3);
    assert_eq!(quarantine.status(&part(1), at(3)), Status::Clear);
    crash_targets(&mut quarantine, &second, 3, 2);
    assert_eq!(quarantine.status(&part(1), at(5)), Status::Accused);
    crash_targets(&mut quarantine, &second, 5, 1);
    crash_targets(&mut quarantine, &first, 6, 1);
    assert_eq!(quarantine.status(&part(1), at(7)), Status::Accused);
    let fresh = quarantine.check(&[request(3), part(1)], at(7));
    assert!(matches!(fresh, Verdict::Refused(_)), "{fresh:?}");
}

/// Guards against sound requests that are refused because they were pending at the targets that
/// another request crashed.
#[test]
fn a_request_with_more_crashes_explains_those_of_others() {
    let mut quarantine = Quarantine::default();
    crash_targets(&mut quarantine, &[request(1)], 0, 4);
    crash_targets(&mut quarantine, &[request(2)], 0, 3);
    crash_targets(&mut quarantine, &[request(3)], 9, 3);
    let status = |digest| quarantine.status(&request(digest), at(12));
    assert_eq!(status(1), Status::Accused);
    assert_eq!(status(2), Status::Clear);
    assert_eq!(status(3), Status::Accused);
}

/// Guards against a sound request that stays accused after it was pending at several targets of a
/// failing rack.
#[test]
fn progress_clears_a_request_at_all_gateways() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let keys = [request(1), part(1)];
    for target in 0..6 {
        let crash = crash(target, SECOND);
        here.record_crash(&keys, crash, crash.at);
    }
    there.merge(&here.changes_since(0, at(1)).reports, at(1));
    assert_eq!(there.status(&request(1), at(1)), Status::Accused);
    there.record_progress(&keys, at(2));
    assert_eq!(there.check(&keys, at(2)), Verdict::Allowed);
    here.merge(&there.changes_since(0, at(3)).reports, at(3));
    assert_eq!(here.check(&keys, at(3)), Verdict::Allowed);
}

/// The times at which a request that always crashes its target is sent as a probe.
fn probe_times(pause: Duration) -> Vec<Duration> {
    let mut quarantine = Quarantine::default();
    let keys = [request(1)];
    for number in 0..3 {
        let crash = crash(number, pause * number as u32);
        quarantine.record_crash(&keys, crash, crash.at);
    }
    let start = CLOCK_START + 2 * pause;
    let mut last = start;
    let mut pauses = Vec::new();
    for step in 0..36_000_u32 {
        let now = start + 100 * MS * step;
        if quarantine.check(&keys, now) == Verdict::ProbeDue(keys.to_vec()) {
            assert!(quarantine.grant_probe(&keys, now));
            quarantine.record_probe(&keys, now);
            let crash = crash(100 + u64::from(step), now - CLOCK_START + 50 * MS);
            quarantine.record_crash(&keys, crash, crash.at);
            pauses.push((now - last).max(100 * MS));
            last = crash.at;
        }
    }
    pauses
}

/// Guards against probes of a request that only the request itself can have crashed targets with,
/// and against a sound request that waits for long because a rack failed.
#[test]
fn the_first_probe_is_left_out_after_three_independent_crashes() {
    let due = |pauses: &[Duration], probes: Vec<Duration>| {
        assert_eq!(pauses.len(), probes.len(), "{probes:?}");
        for (pause, probe) in pauses.iter().zip(probes) {
            assert!(probe >= *pause && probe < *pause + 200 * MS, "{probe:?}");
        }
    };
    due(&PROBE_PAUSES[1..], probe_times(SECOND));
    due(&PROBE_PAUSES, probe_times(90 * MS));
}

/// Guards against thousands of requests at a failing rack whose records displace those of accused
/// requests and of parts.
#[test]
fn first_crashes_of_requests_displace_no_record_with_more_weight() {
    let mut quarantine = Quarantine::default();
    crash_targets(&mut quarantine, &[request(1)], 0, 3);
    crash_targets(&mut quarantine, &[request(2)], 4, 2);
    crash_targets(&mut quarantine, &[part(3)], 7, 1);
    for number in 0..20_000_u32 {
        let crash = crash(1000 + u64::from(number % 7), 20 * SECOND + MS * number);
        quarantine.record_crash(&[request(u64::from(number) + 10)], crash, crash.at);
        quarantine.record_progress(&[request(u64::from(number) + 50_000)], crash.at);
    }
    assert!(quarantine.record_count() <= MAX_RECORDS);
    let status = |key| quarantine.status(&key, at(41));
    assert_eq!(status(request(1)), Status::Accused);
    assert_eq!(status(request(2)), Status::Suspected);
    assert_eq!(quarantine.record(&part(3)).unwrap().crashes().len(), 1);

    // Only records with more weight.
    let mut quarantine = Quarantine::default();
    for number in 0..2 * MAX_RECORDS as u64 {
        crash_targets(&mut quarantine, &[part(number)], 0, 2);
    }
    let count = quarantine.record_count();
    for number in 0..2 * MAX_RECORDS as u64 {
        crash_targets(&mut quarantine, &[request(number)], 9, 1);
    }
    let parts = quarantine.suspected(at(10));
    assert_eq!(
        parts.iter().filter(|(key, _)| !key.is_request()).count(),
        count
    );
}

/// Guards against records of sound requests that are kept and passed on for an hour.
#[test]
fn the_only_crash_of_a_request_is_kept_for_minutes() {
    let mut quarantine = Quarantine::default();
    crash_targets(&mut quarantine, &[request(1), part(1)], 0, 1);
    crash_targets(&mut quarantine, &[request(2)], 0, 3);
    quarantine.prune(at(599));
    assert_eq!(quarantine.record_count(), 3);
    quarantine.prune(at(601));
    assert!(quarantine.record(&request(1)).is_none());
    assert_eq!(
        quarantine.status(&request(2), at(23 * 3600)),
        Status::Accused
    );
}
