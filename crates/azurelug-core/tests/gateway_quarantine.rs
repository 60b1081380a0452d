//! Tests of the quarantine for prompt parts that crash targets.
#![allow(clippy::unwrap_used)]

#[path = "support/quarantine_daemons.rs"]
mod quarantine_daemons;
#[path = "support/quarantine_keys.rs"]
mod quarantine_keys;
#[path = "support/quarantine_model.rs"]
mod quarantine_model;
#[path = "support/quarantine_totals.rs"]
mod quarantine_totals;

use std::time::Duration;

use azurelug_core::gateway::quarantine::{
    CLOCK_START, Crash, MAX_RECORDS, PROBE_PAUSES, Quarantine, Record, Status, Verdict,
};
use azurelug_types::fleet::PartKey;
use quarantine_daemons::Condition;
use quarantine_model::Model;
use quarantine_totals::{CONTACT_TIME, Deadly, Size};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Numbers of gateways, from the smallest deployment to the largest.
const GATEWAYS: [usize; 3] = [9, 71, 295];

/// Most requests with a deadly part that may reach targets after the contact time.
const MAX_LATE_SENDS: usize = 3;

/// Ids of deadly parts.
const DEADLY: u64 = 77;
const SECOND_DEADLY: u64 = 78;

/// Longest time for which sound requests are refused: until targets are back, the pause before a
/// probe, and the time for the news of its success.
const MAX_FALSE_TIME: Duration = Duration::from_secs(8);

fn deadly(share: f64) -> Deadly {
    Deadly {
        id: DEADLY,
        share,
        service: None,
        until: Duration::MAX,
    }
}

fn check_rules(model: &Model, id: u64, label: &str) {
    let totals = &model.totals;
    let late = totals.late_sends(id);
    let count = totals.crash_count(id);
    eprintln!(
        "{label}: {count} crashes, {late} late sends, {} sound refused of {}, {} lost, false \
         accusations {}, refusals for up to {:?}",
        totals.refused(),
        totals.sound.len(),
        totals.lost,
        totals.false_accusations.len(),
        totals.longest_refusal,
    );
    assert!(late <= MAX_LATE_SENDS, "{label}: {late} late sends");
    let crashes = totals.crashes.get(&id);
    if let Some(last) = crashes.and_then(|it| it.get(4).or(it.last())) {
        let share = totals.sound_share(*last + 2 * CONTACT_TIME);
        assert!(share >= 0.5, "{label}: {share} of the sound requests sent");
    }
    let longest = totals.longest_refusal;
    assert!(
        longest <= MAX_FALSE_TIME,
        "{label}: falsely for {longest:?}"
    );
}

/// Guards against requests with a deadly part that crash one target after the other.
#[test]
fn a_deadly_part_is_refused_at_all_gateways_soon_after_its_first_crashes() {
    for count in GATEWAYS {
        for (seed, share) in [0.005, 0.02, 0.05, 0.3].into_iter().enumerate() {
            let mut model = Model::new(Size::of(count), seed as u64);
            model.run(4 * SECOND);
            model.set_deadly(&[deadly(share)]);
            model.run(40 * SECOND);
            let label = format!("{count} gateways, seed {seed}, share {share}");
            check_rules(&model, DEADLY, &label);
            assert_eq!(model.totals.deadly_progress, 0);
        }
    }
}

/// Guards against probes that begin anew at gateways that restart, are cut off or learn late, and
/// at control daemons that restart.
#[test]
fn faults_of_daemons_do_not_add_requests_with_a_deadly_part() {
    for count in GATEWAYS {
        for seed in if count < 100 { 10..14 } else { 10..12 } {
            let mut model = Model::new(Size::of(count), seed);
            model.run(4 * SECOND);
            model.set_deadly(&[deadly([0.02, 0.1][seed as usize % 2])]);
            let mut faulty = Vec::new();
            for round in 0..24 {
                let owner = model.owner(DEADLY);
                let number = if round % 3 == 0 { owner } else { model.pick() };
                let condition = [Condition::Down, Condition::Isolated][model.pick() % 2];
                model.set_condition(number, condition);
                faulty.push(number);
                if round % 8 == 7 {
                    model.restart_control(round / 8);
                }
                let span = 200 * (1 + model.pick() as u32 % 9);
                model.run(MS * span);
                if faulty.len() > 2 {
                    let number = faulty.remove(0);
                    model.set_condition(number, Condition::Sound);
                }
            }
            model.run(20 * SECOND);
            let label = format!("{count} gateways with faults, seed {seed}");
            check_rules(&model, DEADLY, &label);
        }
    }
}

/// Guards against a restart of all control daemons that loses accusations.
#[test]
fn restarted_control_daemons_are_told_of_accused_parts() {
    let mut model = Model::new(Size::of(9), 20);
    model.run(2 * SECOND);
    model.set_deadly(&[deadly(0.1)]);
    model.run(10 * SECOND);
    let before = model.totals.crash_count(DEADLY);
    for number in 0..3 {
        model.restart_control(number);
    }
    model.run(SECOND);
    for number in 0..9 {
        model.set_condition(number, Condition::Down);
        model.run(100 * MS);
        model.set_condition(number, Condition::Sound);
        model.run(2 * SECOND);
    }
    let after = model.totals.crash_count(DEADLY);
    assert!(
        after - before <= PROBE_PAUSES.len(),
        "{before} then {after}"
    );
}

/// Guards against one deadly part that hides another one.
#[test]
fn two_deadly_parts_at_once_are_both_found() {
    for count in GATEWAYS {
        for (seed, shares) in [(30, (0.05, 0.05)), (31, (0.3, 0.02)), (32, (0.01, 0.1))] {
            let mut model = Model::new(Size::of(count), seed);
            model.run(4 * SECOND);
            let second = Deadly {
                id: SECOND_DEADLY,
                ..deadly(shares.1)
            };
            model.set_deadly(&[deadly(shares.0), second]);
            model.run(50 * SECOND);
            let label = format!("{count} gateways, two parts, seed {seed}");
            check_rules(&model, DEADLY, &label);
            check_rules(&model, SECOND_DEADLY, &label);
        }
    }
}

/// Guards against a part that is refused at services whose targets it does not crash, and against
/// progress there that clears it.
#[test]
fn a_part_that_is_deadly_for_one_service_is_served_by_the_others() {
    for seed in 40..43 {
        let mut size = Size::of(9);
        (size.services, size.targets, size.rate) = (2, 36, 90.0);
        let mut model = Model::new(size, seed);
        model.run(4 * SECOND);
        let only = Deadly {
            service: Some(0),
            ..deadly(0.1)
        };
        model.set_deadly(&[only]);
        model.run(30 * SECOND);
        check_rules(&model, DEADLY, &format!("one service, seed {seed}"));
        let served = model.totals.deadly_progress;
        assert!(served > 80, "{served} answers at the other service");
    }
}

/// Guards against crashes of racks, zones and releases that accuse parts for longer than a probe
/// takes.
#[test]
fn crashes_that_no_request_causes_accuse_nobody_for_long() {
    for count in GATEWAYS {
        let failures = [
            ("rack", 0.17, Duration::ZERO),
            ("zone", 0.34, 50 * MS),
            ("overload", 0.8, SECOND),
            ("release", 1.0, 8 * SECOND),
            ("service", 1.0, Duration::ZERO),
        ];
        let rounds = if count < 100 { 3 } else { 1 };
        for (seed, (name, share, span)) in failures.into_iter().enumerate() {
            for is_deadly in [false, true] {
                let mut model = Model::new(Size::of(count), 50 + seed as u64);
                model.run(4 * SECOND);
                if is_deadly {
                    model.set_deadly(&[deadly(0.05)]);
                }
                for _ in 0..rounds {
                    model.run(SECOND);
                    model.crash_targets(share, span);
                    model.run(8 * SECOND);
                }
                model.run(10 * SECOND);
                let label = format!("{count} gateways, {name}, deadly part {is_deadly}");
                check_rules(&model, DEADLY, &label);
                let sent = model.totals.sound_share(Duration::ZERO);
                let least = if name == "service" { 0.5 } else { 0.95 };
                assert!(sent >= least, "{label}: {sent} of the sound requests sent");
            }
        }
    }
}

/// Guards against a part that is refused for the rest of the day although its crashes have ended.
#[test]
fn a_part_that_is_sound_again_is_found_by_a_probe() {
    let mut size = Size::of(9);
    size.rate = 10.0;
    let mut model = Model::new(size, 60);
    let until = 60 * SECOND;
    model.set_deadly(&[Deadly {
        until,
        ..deadly(0.2)
    }]);
    model.run(until);
    assert_eq!(model.totals.deadly_progress, 0);
    model.run(PROBE_PAUSES[2]);
    assert!(model.totals.deadly_progress > 20);
}

fn part(id: u64) -> PartKey {
    PartKey { service: 1, id }
}

fn crash(target: u64, at: Duration) -> Crash {
    Crash {
        target,
        at: CLOCK_START + at,
    }
}

/// Guards against memory that grows with the number of distinct parts, and against a flood of parts
/// with one crash each that displaces an accused one.
#[test]
fn hundreds_of_thousands_of_parts_use_bounded_memory() {
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        let crash = crash(number, SECOND * number as u32);
        quarantine.record_crash(&[part(DEADLY)], crash, crash.at);
    }
    for number in 0..300_000_u32 {
        let at = 5 * SECOND + MS * number;
        let id = 1000 + u64::from(number);
        if number % 3 == 0 {
            let crash = crash(u64::from(number), at);
            quarantine.record_crash(&[part(id)], crash, crash.at);
        } else {
            quarantine.record_progress(&[part(id)], CLOCK_START + at);
        }
    }
    assert!(quarantine.record_count() <= MAX_RECORDS);
    let now = CLOCK_START + 400 * SECOND;
    assert_eq!(quarantine.status(&part(DEADLY), now), Status::Accused);
    let reports = quarantine.changes_since(0, now).reports;
    assert!(reports.len() <= MAX_RECORDS);
    let mut restarted = Quarantine::default();
    restarted.merge(&reports, CLOCK_START);
    assert_eq!(
        restarted.status(&part(DEADLY), CLOCK_START),
        Status::Accused
    );
}

/// Guards against a part that belongs to one request, or to its session, and is accused.
#[test]
fn a_request_without_shared_parts_accuses_nothing() {
    let mut quarantine = Quarantine::default();
    for number in 0..20 {
        let crash = crash(number, SECOND * number as u32);
        quarantine.record_crash(&[], crash, crash.at);
    }
    let now = CLOCK_START + 30 * SECOND;
    assert_eq!(quarantine.record_count(), 0);
    assert_eq!(quarantine.check(&[], now), Verdict::Allowed);
    assert!(quarantine.may_repeat(&[], 1, now));
}

/// Guards against one crash that several gateways report and that counts several times, and against
/// targets that fail together and count as independent crashes.
#[test]
fn a_crash_that_many_gateways_see_counts_once() {
    let mut quarantine = Quarantine::default();
    for gateway in 0..50 {
        let crash = crash(1, SECOND + 3 * MS * gateway);
        quarantine.record_crash(&[part(1)], crash, crash.at);
    }
    let now = CLOCK_START + 2 * SECOND;
    assert_eq!(quarantine.status(&part(1), now), Status::Clear);
    quarantine.record_progress(&[part(2)], CLOCK_START + 2 * SECOND);
    for target in 0..50 {
        let crash = crash(target, 3 * SECOND + MS * target as u32);
        quarantine.record_crash(&[part(2)], crash, crash.at);
    }
    let now = CLOCK_START + 9 * SECOND;
    assert_eq!(quarantine.status(&part(2), now), Status::Clear);
}

/// Guards against a repeat that crashes the next target.
#[test]
fn a_request_with_a_suspected_part_is_not_repeated() {
    let mut quarantine = Quarantine::default();
    let parts = [part(1), part(2)];
    let (first, second) = (crash(1, SECOND), crash(2, 2 * SECOND));
    quarantine.record_crash(&parts, first, first.at);
    assert!(quarantine.may_repeat(&parts, 1, first.at));
    quarantine.record_crash(&parts, second, second.at);
    assert!(!quarantine.may_repeat(&parts, 1, second.at));
    assert_eq!(quarantine.check(&parts, second.at), Verdict::Allowed);
    quarantine.record_progress(&[part(1)], second.at + SECOND);
    assert!(quarantine.may_repeat(&[part(1)], 1, second.at + SECOND));
    assert!(!quarantine.may_repeat(&[part(2)], 1, second.at + SECOND));
    let other = [part(3)];
    let (first, second) = (crash(1, 8 * SECOND), crash(2, 8 * SECOND + 70 * MS));
    quarantine.record_crash(&other, first, first.at);
    quarantine.record_crash(&other, second, second.at);
    assert!(!quarantine.may_repeat(&other, 2, second.at));
}

/// Guards against a part that crashes all targets of a small service at once and is found only when
/// they are back.
#[test]
fn five_crashes_within_a_moment_accuse_a_part_that_was_never_sound() {
    let mut quarantine = Quarantine::default();
    for target in 0..5 {
        let crash = crash(target, SECOND + 10 * MS * target as u32);
        quarantine.record_crash(&[part(1)], crash, crash.at);
    }
    let now = CLOCK_START + 2 * SECOND;
    assert_eq!(quarantine.status(&part(1), now), Status::Accused);
}

/// Guards against daemons that keep different records after the same reports in another order.
#[test]
fn records_merge_to_the_same_evidence_in_any_order() {
    let crashes: Vec<Crash> = (0..24)
        .map(|number| crash(100 * (number % 9), SECOND * 3 * number as u32))
        .collect();
    let record = |order: &[usize]| {
        let mut record = Record::default();
        for position in order {
            let mut other = Record::default();
            other.add_crash(crashes[*position]);
            other.add_probe(CLOCK_START + 9 * SECOND);
            record.merge(&other);
        }
        record
    };
    let ascending: Vec<usize> = (0..24).collect();
    let descending: Vec<usize> = (0..24).rev().collect();
    let mixed: Vec<usize> = (0..72).map(|step| step * 7 % 24).collect();
    assert_eq!(record(&ascending), record(&descending));
    assert_eq!(record(&ascending), record(&mixed));
    let mut cleared = record(&mixed);
    let mut progress = Record::default();
    progress.add_progress(CLOCK_START + 100 * SECOND);
    assert!(cleared.merge(&progress));
    assert!(!cleared.merge(&record(&ascending)));
    assert_eq!(cleared.crashes().len(), 0);
}

/// Guards against more probes than a deadly part may get, and against two probes at once.
#[test]
fn probes_follow_at_growing_pauses_and_end() {
    let mut quarantine = Quarantine::default();
    let parts = [part(1)];
    for number in 0..3 {
        let crash = crash(number, SECOND * number as u32);
        quarantine.record_crash(&parts, crash, crash.at);
    }
    let mut sent = Vec::new();
    for step in 0..36_000_u32 {
        let now = CLOCK_START + 2 * SECOND + 100 * MS * step;
        if quarantine.check(&parts, now) == Verdict::ProbeDue(parts.to_vec()) {
            assert!(quarantine.grant_probe(&parts, now));
            assert!(!quarantine.grant_probe(&parts, now + MS));
            quarantine.record_probe(&parts, now);
            let crash = crash(100 + u64::from(step), now - CLOCK_START + 50 * MS);
            quarantine.record_crash(&parts, crash, crash.at);
            sent.push(now - CLOCK_START);
        }
    }
    assert_eq!(sent.len(), PROBE_PAUSES.len(), "{sent:?}");
    assert!(sent[1] - sent[0] >= PROBE_PAUSES[1]);
    assert!(sent[2] - sent[1] >= PROBE_PAUSES[2]);
}

/// Guards against an accusation that never expires, because daemons that restart learn of it anew.
#[test]
fn an_accusation_expires_a_day_after_its_last_crash() {
    const HOUR: Duration = Duration::from_secs(3600);
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let crash = crash(number, SECOND * number as u32);
        quarantine.record_crash(&[part(1)], crash, crash.at);
    }
    let mut now = CLOCK_START + SECOND;
    for _ in 0..3 {
        now += 7 * HOUR;
        let reports = quarantine.changes_since(0, now).reports;
        quarantine = Quarantine::default();
        quarantine.merge(&reports, now);
        quarantine.prune(now);
        assert_eq!(quarantine.status(&part(1), now), Status::Accused);
    }
    quarantine.prune(now + 4 * HOUR);
    assert_eq!(quarantine.record_count(), 0);
}
