//! Tests routing decisions: drains, lease modes, delayed reports, key reuse, expiry.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/query.rs"]
mod query;

use std::time::Duration;

use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::{Completion, NoTarget, Outcome, Query, UnavailableReason, ZoneReason};
use azurelug_core::slow_start::DaemonRank;
use azurelug_types::config::State;
use azurelug_types::id::{TargetKey, TargetName, Version, ZoneName};
use fleet::{SECOND, SUCCESS, fleet as zones, model, report, router, warm_router};
use query::query;

const SEEDS: std::ops::Range<u64> = 0..20;

/// Guards against new calls in a drained zone, including calls whose target was chosen before.
#[test]
fn a_drained_zone_gets_no_new_calls() {
    let model = model();
    for seed in SEEDS {
        let mut config = zones(3, 4);
        let mut router = warm_router(&config, seed);
        let before = router.choose(&query(&model, &[]), SECOND).unwrap();
        assert_eq!(
            router.table().zones()[before.zone.0 as usize].name.as_str(),
            "a"
        );
        config.version = Version(2);
        config.zones.get_mut(&ZoneName::from("a")).unwrap().state = State::Draining;
        assert!(router.apply(&config, SECOND));
        assert!(router.begin(before.target, SECOND).is_none(), "seed {seed}");
        let drained = router.table().zone(&ZoneName::from("a")).unwrap();
        for _ in 0..80 {
            let choice = router.choose(&query(&model, &[]), SECOND).unwrap();
            assert_ne!(choice.zone, drained, "seed {seed}");
            assert_eq!(choice.step, ZoneReason::SpillEmpty);
            router.begin(choice.target, SECOND).unwrap();
        }
        let full = router.choose(&query(&model, &[]), SECOND);
        assert!(matches!(full, Err(NoTarget::AllBusy { members: 8, .. })));
        assert!(
            router
                .unavailable_reasons(before.target, SECOND)
                .contains(&UnavailableReason::ZoneDraining)
        );
    }
}

/// Guards against a daemon that requests slots of other zones only after the last target of its own
/// zone has left and calls are waiting, and against one that requests them before its lease is
/// granted.
#[test]
fn only_healthy_targets_in_service_count_as_the_own_zone() {
    let mut config = zones(2, 2);
    let mut router = warm_router(&config, 1);
    router.set_mode(Mode::Refuse);
    assert_eq!(router.healthy_targets_in_own_zone(SECOND).len(), 2);
    let leaving = router.healthy_targets_in_own_zone(SECOND)[0];
    router.set_leaving(leaving, true, SECOND);
    assert!(
        !router
            .healthy_targets_in_own_zone(SECOND)
            .contains(&leaving)
    );
    config.version = Version(2);
    config.zones.get_mut(&ZoneName::from("a")).unwrap().state = State::Draining;
    router.apply(&config, SECOND);
    assert!(router.healthy_targets_in_own_zone(SECOND).is_empty());
}

/// Guards against an older configuration that puts a drained target back in service.
#[test]
fn an_older_version_does_not_bring_a_drained_target_back() {
    let old = zones(1, 1);
    let mut new = old.clone();
    new.version = Version(2);
    new.targets.get_mut(&TargetName::from("a0")).unwrap().state = State::Draining;
    let mut router = warm_router(&old, 1);
    router.apply(&new, SECOND);
    assert!(!router.apply(&old, SECOND));
    let result = router.choose(&query(&model(), &[]), SECOND);
    assert_eq!(result, Err(NoTarget::NotConfigured));
}

/// Guards against herding: all daemons choose the target that looks idle in their common report.
#[test]
fn routers_with_the_same_delayed_report_do_not_all_choose_one_target() {
    let model = model();
    for seed in SEEDS {
        let config = zones(1, 12);
        let mut chosen = [0u32; 12];
        for rank in 0..24 {
            let mut router = warm_router(&config, seed * 100 + rank);
            for name in config.targets.keys().skip(1) {
                report(&mut router, name.as_str(), 4, true, 1, SECOND);
            }
            for _ in 0..4 {
                let choice = router.choose(&query(&model, &[]), 2 * SECOND).unwrap();
                router.begin(choice.target, 2 * SECOND).unwrap();
                chosen[choice.target.0 as usize] += 1;
            }
        }
        // 96 calls; an even spread is 8 each, herding would put nearly all on the empty target.
        assert!(
            *chosen.iter().max().unwrap() <= 29,
            "seed {seed}: {chosen:?}"
        );
    }
}

/// Guards against ignoring the calls that were sent after a report was taken.
#[test]
fn calls_sent_since_a_delayed_report_are_counted() {
    let model = model();
    let config = zones(1, 2);
    let mut router = warm_router(&config, 7);
    let first = router.table().key(&TargetName::from("a0")).unwrap();
    for _ in 0..6 {
        router.begin(first, 2 * SECOND).unwrap();
    }
    // Taken before the six calls were sent: one call of other daemons at a0, three at a1.
    let taken = |calls| azurelug_core::routing::LoadReport {
        calls,
        taken_at: SECOND,
        warm: true,
        start_stamp: 1,
    };
    let second = router.table().key(&TargetName::from("a1")).unwrap();
    router.report(first, taken(1), 2 * SECOND);
    router.report(second, taken(3), 2 * SECOND);
    let choice = router.choose(&query(&model, &[]), 2 * SECOND).unwrap();
    let shown = choice.compared.iter().flatten();
    let shown = shown.map(|it| (it.target, it.own, it.others));
    let expected = [(second, 0, Some(3)), (first, 6, Some(1))];
    assert_eq!(shown.collect::<Vec<_>>(), expected);
    // A report that includes the six calls must not count them twice.
    report(&mut router, "a0", 6, true, 1, 3 * SECOND);
    let choice = router.choose(&query(&model, &[]), 3 * SECOND).unwrap();
    let shown = choice
        .compared
        .iter()
        .flatten()
        .find(|it| it.target == first)
        .unwrap();
    assert_eq!((shown.own, shown.others), (6, Some(0)));
}

/// Guards against calls that the partition policy forbids.
#[test]
fn a_daemon_without_a_lease_sends_only_idempotent_work_in_its_own_zone() {
    let model = model();
    let config = zones(2, 2);
    let mut router = warm_router(&config, 3);
    let other = router.table().key(&TargetName::from("b0")).unwrap();
    router.set_mode(Mode::Degraded);
    assert!(router.begin(other, SECOND).is_none());
    let once = Query {
        idempotent: false,
        ..query(&model, &[])
    };
    assert_eq!(router.choose(&once, SECOND), Err(NoTarget::NoQuorum));
    for _ in 0..20 {
        let choice = router.choose(&query(&model, &[]), SECOND).unwrap();
        assert_eq!(choice.step, ZoneReason::OwnZone);
        router.begin(choice.target, SECOND).unwrap();
    }
    let full = router.choose(&query(&model, &[]), SECOND);
    assert!(matches!(full, Err(NoTarget::AllBusy { members: 2, .. })));
    router.set_mode(Mode::Refuse);
    let refused = router.choose(&query(&model, &[]), SECOND);
    assert_eq!(refused, Err(NoTarget::NoLease));
}

/// Guards against a busy zone that never spills over, and against needless calls between zones.
#[test]
fn work_spills_over_only_when_the_own_zone_is_over_its_threshold() {
    let model = model();
    for seed in SEEDS {
        let config = zones(2, 3);
        let mut router = warm_router(&config, seed);
        let mut own = 0;
        loop {
            let choice = router.choose(&query(&model, &[]), SECOND).unwrap();
            if choice.step != ZoneReason::OwnZone {
                assert_eq!(choice.step, ZoneReason::SpillBusy);
                break;
            }
            router.begin(choice.target, SECOND).unwrap();
            own += 1;
        }
        // 30 slots; with 27 calls at the latest, every target is over the threshold of 80%.
        assert!((18..=27).contains(&own), "seed {seed}: {own}");
    }
}

/// Guards against wrong in-flight counts when a new version arrives while calls are in flight.
#[test]
fn a_target_that_stays_keeps_its_calls_and_a_reused_key_does_not_inherit_them() {
    let mut config = zones(1, 2);
    let mut router = warm_router(&config, 5);
    let stays = router.table().key(&TargetName::from("a1")).unwrap();
    let leaves = router.table().key(&TargetName::from("a0")).unwrap();
    let call = router.begin(stays, SECOND).unwrap();
    let old_call = router.begin(leaves, SECOND).unwrap();
    let gone = config.targets.remove(&TargetName::from("a0")).unwrap();
    config.targets.insert(TargetName::from("a9"), gone);
    config.version = Version(2);
    router.apply(&config, SECOND);
    let new = router.table().key(&TargetName::from("a9")).unwrap();
    assert_eq!(router.table().key(&TargetName::from("a1")), Some(stays));
    assert_eq!(router.in_flight(stays), 1);
    assert_ne!(new, leaves, "the old target still has a call in flight");
    assert!(router.finish(old_call, SUCCESS, SECOND).is_some());
    assert!(router.finish(call, SUCCESS, SECOND).is_some());
    assert!(
        router.finish(call, SUCCESS, SECOND).is_none(),
        "a second outcome must be ignored"
    );
    assert_eq!((router.in_flight(stays), router.in_flight(new)), (0, 0));
}

/// Guards against a target that is never used again because it was full when its ejection began, or
/// because the report that showed it full was the last one.
#[test]
fn a_target_is_used_again_after_its_ejection_and_after_its_last_report_has_expired() {
    let config = zones(1, 3);
    let model = model();
    let mut router = warm_router(&config, 11);
    let bad = router.table().key(&TargetName::from("a0")).unwrap();
    let failure = Outcome {
        completion: Completion::Failure,
        first_token: None,
    };
    for _ in 0..10 {
        let call = router.begin(bad, SECOND).unwrap();
        router.finish(call, failure, SECOND);
    }
    let calls: Vec<_> = (0..10)
        .map(|_| router.begin(bad, SECOND).unwrap())
        .collect();
    router.tick(SECOND);
    for call in calls {
        router.finish(call, SUCCESS, SECOND);
    }
    assert!(router.begin(bad, 11 * SECOND / 2).is_none(), "ejected");
    assert!(
        router.begin(bad, 7 * SECOND).is_some(),
        "the ejection lasts five seconds"
    );
    for name in ["a0", "a1", "a2"] {
        report(&mut router, name, 10, true, 1, 8 * SECOND);
    }
    assert!(router.choose(&query(&model, &[]), 9 * SECOND).is_err());
    assert!(router.choose(&query(&model, &[]), 14 * SECOND).is_ok());
}

/// Guards against a retry that goes to the target that has just failed.
#[test]
fn a_retry_goes_to_another_target() {
    let model = model();
    for seed in SEEDS {
        let mut router = warm_router(&zones(1, 3), seed);
        let first = router.choose(&query(&model, &[]), SECOND).unwrap().target;
        let second = Query {
            exclude: &[first],
            ..query(&model, &[])
        };
        let second = router.choose(&second, SECOND).unwrap().target;
        let third = Query {
            exclude: &[first, second],
            ..query(&model, &[])
        };
        let third = router.choose(&third, SECOND).unwrap().target;
        assert!(
            first != second && second != third && first != third,
            "seed {seed}"
        );
    }
}

/// Guards against new calls to a target whose VM the platform lists as leaving.
#[test]
fn a_leaving_target_gets_no_new_calls() {
    let mut router = warm_router(&zones(1, 1), 1);
    let key = router.table().key(&TargetName::from("a0")).unwrap();
    router.set_leaving(key, true, SECOND);
    assert!(router.choose(&query(&model(), &[]), SECOND).is_err());
    assert!(router.begin(key, SECOND).is_none());
    assert_eq!(
        router.unavailable_reasons(key, SECOND),
        vec![UnavailableReason::Leaving]
    );
}

/// Guards against routing decisions that the state dump does not explain.
#[test]
fn a_choice_and_an_unused_target_are_shown_with_their_reasons() {
    let mut config = zones(2, 1);
    config
        .targets
        .get_mut(&TargetName::from("b0"))
        .unwrap()
        .state = State::Draining;
    let mut router = router(&config, 1, DaemonRank::ALONE);
    report(&mut router, "a0", 3, true, 1, SECOND);
    let choice = router.choose(&query(&model(), &[]), SECOND).unwrap();
    assert_eq!(
        choice.describe(router.table()),
        "a0 in a (version 1, own zone, own zone 0.30): a0 0.30 (own 0, others 3, limit 10, prefix blocks 0)"
    );
    let dump = router.dump(Duration::from_secs(2));
    assert_eq!(dump[0].unused, vec![]);
    assert_eq!(dump[1].unused, vec![UnavailableReason::TargetDraining]);
}

/// Guards against the ejection of a third of the targets of a stage that is slow as a whole, and
/// against a hanging target that stays in use.
#[test]
fn calls_that_time_out_eject_a_single_slow_target_but_not_a_slow_pool() {
    let late = Outcome {
        completion: Completion::TimedOut,
        first_token: None,
    };
    for slow in [1, 6] {
        let mut router = warm_router(&zones(1, 6), 1);
        let keys: Vec<_> = router.table().targets().map(|(key, _)| key).collect();
        for (index, key) in keys.iter().enumerate() {
            for _ in 0..20 {
                let call = router.begin(*key, SECOND).unwrap();
                if index < slow {
                    router.finish(call, late, 2 * SECOND);
                } else {
                    router.finish(call, SUCCESS, 2 * SECOND);
                }
            }
        }
        router.tick(2 * SECOND);
        let is_unavailable = |key| !router.unavailable_reasons(key, 2 * SECOND).is_empty();
        let ejected = keys.iter().filter(|key| is_unavailable(**key)).count();
        assert_eq!(ejected, usize::from(slow == 1), "{slow} slow targets");
    }
}

/// Guards against timed-out calls with short time limits that lower the target's median and make
/// the rest of the pool look slow.
#[test]
fn calls_that_time_out_early_do_not_lower_the_median_of_a_target() {
    let mut router = warm_router(&zones(1, 1), 1);
    let key = TargetKey(0);
    for completion in [Completion::Success, Completion::TimedOut] {
        for _ in 0..40 {
            let outcome = Outcome {
                completion,
                ..SUCCESS
            };
            let call = router.begin(key, SECOND).unwrap();
            router.finish(call, outcome, SECOND + SECOND / 1000);
        }
    }
    assert_eq!(router.dump(SECOND)[0].median_us, Some(100_000));
}

/// Guards against an idle pool in which some members are never chosen among equal scores.
#[test]
fn an_idle_pool_uses_all_its_targets_evenly() {
    for size in 2..6 {
        let mut router = warm_router(&zones(1, size), 1);
        let mut counts = vec![0; size];
        for _ in 0..size * 100 {
            let choice = router.choose(&query(&model(), &[]), SECOND).unwrap();
            counts[choice.target.0 as usize] += 1;
        }
        assert!(
            counts.iter().all(|count| (70..130).contains(count)),
            "{counts:?}"
        );
    }
}

/// Guards against a repeated outcome that ends a later call in the same slab slot.
#[test]
fn a_repeated_outcome_does_not_end_a_later_call() {
    let mut router = warm_router(&zones(1, 1), 1);
    let key = router.table().key(&TargetName::from("a0")).unwrap();
    let first = router.begin(key, SECOND).unwrap();
    assert!(router.finish(first, SUCCESS, SECOND).is_some());
    let second = router.begin(key, SECOND).unwrap();
    assert!(router.finish(first, SUCCESS, SECOND).is_none());
    assert_eq!(router.in_flight(key), 1);
    assert!(router.finish(second, SUCCESS, SECOND).is_some());
}
