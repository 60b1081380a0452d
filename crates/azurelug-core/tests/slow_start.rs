//! Tests slow start: several daemons, unreported cold starts, delayed reports, failures.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/query.rs"]
mod query;

use std::time::Duration;

use azurelug_core::routing::{CallKey, Completion, Finished, LoadReport, Outcome, Query, Router};
use azurelug_core::slow_start::{DaemonRank, Phase};
use azurelug_types::config::Config;
use azurelug_types::id::{TargetKey, TargetName};
use fleet::{SECOND, SUCCESS, fleet as zones, model, report, router, warm_router};
use query::query;

const TARGET: TargetKey = TargetKey(0);

fn one_target(limit: u32, cold_limit: u32) -> Config {
    let mut config = zones(1, 1);
    let target = config.targets.get_mut(&TargetName::from("a0"));
    let target = target.expect("the fleet has this target");
    (target.limit, target.cold_limit) = (limit, cold_limit);
    config
}

/// Begins calls until the router has no slot left.
fn fill(router: &mut Router, now: Duration) -> Vec<CallKey> {
    std::iter::from_fn(|| router.begin(TARGET, now)).collect()
}

fn call(router: &mut Router, outcome: Outcome, now: Duration) -> Finished {
    let call = router.begin(TARGET, now).expect("a slot is free");
    router
        .finish(call, outcome, now)
        .expect("the first outcome")
}

fn first_token(millis: u64) -> Outcome {
    Outcome {
        completion: Completion::Success,
        first_token: Some(Duration::from_millis(millis)),
    }
}

/// Guards against a target that is overloaded in cold start because each daemon uses the whole
/// limit.
#[test]
fn all_daemons_together_never_exceed_the_cold_limit() {
    for daemons in 1..=9 {
        for cold_limit in 0..=7 {
            let config = one_target(16, cold_limit);
            let total: usize = (0..daemons)
                .map(|rank| {
                    let position = DaemonRank { rank, daemons };
                    let mut router = router(&config, 1, position);
                    let unknown = fill(&mut router, SECOND);
                    report(&mut router, "a0", 0, false, 1, SECOND);
                    unknown.len() + fill(&mut router, SECOND).len()
                })
                .sum();
            assert_eq!(total, cold_limit as usize, "{daemons} daemons");
        }
    }
}

/// Guards against a jump to the full limit, and against a limit that rises while the target is
/// still reported as cold.
#[test]
fn the_limit_rises_by_steps_and_only_after_the_cold_start() {
    let mut router = router(&one_target(16, 2), 1, DaemonRank::ALONE);
    report(&mut router, "a0", 0, false, 1, SECOND);
    for _ in 0..50 {
        call(&mut router, SUCCESS, SECOND);
    }
    assert_eq!(router.dump(SECOND)[0].limit, 2);
    report(&mut router, "a0", 0, true, 1, 2 * SECOND);
    let mut limits = vec![router.dump(2 * SECOND)[0].limit];
    while router.dump(2 * SECOND)[0].phase != Phase::Warm {
        call(&mut router, SUCCESS, 2 * SECOND);
        let limit = router.dump(2 * SECOND)[0].limit;
        if *limits.last().unwrap() != limit {
            limits.push(limit);
        }
    }
    assert_eq!(limits, [2, 3, 4, 6, 9, 13, 16]);
}

/// Guards against full load on a target in cold start that no report has announced.
#[test]
fn slow_first_tokens_indicate_an_unreported_cold_start() {
    let mut router = warm_router(&one_target(16, 2), 1);
    for _ in 0..20 {
        call(&mut router, SUCCESS, SECOND);
    }
    assert!(!call(&mut router, first_token(500), SECOND).turned_cold);
    assert!(
        !call(&mut router, SUCCESS, SECOND).turned_cold,
        "one slow first token does not indicate a cold start"
    );
    assert!(!call(&mut router, first_token(500), SECOND).turned_cold);
    assert!(call(&mut router, first_token(500), SECOND).turned_cold);
    assert_eq!(fill(&mut router, SECOND).len(), 2);
}

/// Guards against a delayed report that lifts the cold limit although it was taken before the cold
/// start was detected.
#[test]
fn a_report_from_before_a_detected_cold_start_does_not_lift_the_limit() {
    let mut router = warm_router(&one_target(16, 2), 1);
    (0..20).for_each(|_| assert!(!call(&mut router, SUCCESS, SECOND).turned_cold));
    call(&mut router, first_token(500), 4 * SECOND);
    assert!(call(&mut router, first_token(500), 4 * SECOND).turned_cold);
    let late = LoadReport {
        calls: 0,
        taken_at: 3 * SECOND,
        warm: true,
        start_stamp: 1,
    };
    router.report(TARGET, late, 5 * SECOND);
    let state = &router.dump(5 * SECOND)[0];
    assert_eq!((state.phase, state.limit), (Phase::Cold, 2));
    let after = LoadReport {
        taken_at: 5 * SECOND,
        ..late
    };
    router.report(TARGET, after, 6 * SECOND);
    assert_eq!(router.dump(6 * SECOND)[0].phase, Phase::Rising);
}

/// Guards against full load on an engine that was restarted between two reports.
#[test]
fn a_changed_start_stamp_is_a_cold_start_even_if_the_report_says_warm() {
    let mut router = warm_router(&one_target(16, 2), 1);
    report(&mut router, "a0", 0, true, 2, 3 * SECOND);
    assert_eq!(fill(&mut router, 3 * SECOND).len(), 2);
}

/// Guards against a failing target that keeps its raised limit.
#[test]
fn a_failure_while_the_limit_rises_resets_it_to_the_cold_limit() {
    let mut router = router(&one_target(16, 2), 1, DaemonRank::ALONE);
    for _ in 0..8 {
        call(&mut router, SUCCESS, SECOND);
    }
    assert_eq!(router.dump(SECOND)[0].limit, 4);
    let failure = Outcome {
        completion: Completion::Failure,
        first_token: None,
    };
    call(&mut router, failure, SECOND);
    assert_eq!(router.dump(SECOND)[0].limit, 2);
}

/// Guards against a daemon that never uses a warm target because its part of the cold limit is 0,
/// so that it completes no calls.
#[test]
fn a_daemon_without_a_part_of_the_cold_limit_uses_a_target_reported_as_warm() {
    let position = DaemonRank {
        rank: 4,
        daemons: 9,
    };
    let mut router = router(&one_target(16, 2), 1, position);
    report(&mut router, "a0", 0, false, 1, SECOND);
    assert!(router.begin(TARGET, SECOND).is_none());
    for second in 2..20 {
        report(&mut router, "a0", 0, true, 1, second * SECOND);
        let calls = fill(&mut router, second * SECOND);
        for call in calls {
            router.finish(call, SUCCESS, second * SECOND);
        }
    }
    assert!(router.begin(TARGET, 20 * SECOND).is_some());
}

/// Guards against a granted share that overrides the cold limit.
#[test]
fn a_grant_never_raises_the_cold_limit() {
    let mut router = warm_router(&one_target(16, 2), 1);
    router.grant(TARGET, Some(12), SECOND);
    assert_eq!(fill(&mut router, SECOND).len(), 12);
    let position = DaemonRank {
        rank: 0,
        daemons: 2,
    };
    let mut router = fleet::router(&one_target(16, 2), 1, position);
    router.grant(TARGET, Some(12), SECOND);
    report(&mut router, "a0", 0, false, 1, SECOND);
    assert_eq!(fill(&mut router, SECOND).len(), 1);
}

/// Guards against full load on a restarted engine in the time until its next report.
#[test]
fn a_broken_connection_applies_the_cold_limit_at_once() {
    let mut router = warm_router(&one_target(16, 2), 1);
    let calls = fill(&mut router, SECOND);
    let broken = Outcome {
        completion: Completion::Broken,
        first_token: None,
    };
    let finished = router.finish(calls[0], broken, 2 * SECOND).unwrap();
    assert!(finished.turned_cold);
    for call in &calls[1..] {
        let full = router.in_flight(TARGET) >= 2;
        assert!(!full || router.begin(TARGET, 2 * SECOND).is_none());
        assert!(
            !router
                .finish(*call, broken, 2 * SECOND)
                .unwrap()
                .turned_cold
        );
    }
    assert_eq!(fill(&mut router, 2 * SECOND).len(), 2);
}

/// Guards against calls to a cold target while warm ones have free capacity.
#[test]
fn a_cold_target_is_used_only_after_the_warm_ones() {
    let model = model();
    for seed in 0..20 {
        let mut router = warm_router(&zones(1, 2), seed);
        report(&mut router, "a0", 0, false, 1, SECOND);
        let mut order = Vec::new();
        while let Ok(choice) = router.choose(&query(&model, &[]), SECOND) {
            router.begin(choice.target, SECOND).unwrap();
            order.push(choice.target == TARGET);
        }
        let first_cold = order.iter().position(|cold| *cold).unwrap();
        // With five of ten calls at the warm target, the scores are equal.
        assert!(first_cold >= 5, "seed {seed}: {order:?}");
        assert_eq!(order.len(), 12, "seed {seed}");
    }
}

/// Guards against sending a long call to a cold target where it would miss its deadline, and
/// against refusing all such calls when every target is cold.
#[test]
fn a_call_too_long_for_a_cold_start_avoids_cold_targets_unless_all_are_cold() {
    let model = model();
    for seed in 1..=20 {
        let mut router = warm_router(&zones(2, 2), seed);
        let long = Query {
            avoid_cold: true,
            ..query(&model, &[])
        };
        for cold in ["a0", "b0", "b1"] {
            report(&mut router, cold, 0, false, 1, 2 * SECOND);
        }
        let warm = router.table().key(&TargetName::from("a1"));
        while let Ok(choice) = router.choose(&long, 2 * SECOND) {
            assert_eq!(Some(choice.target), warm, "seed {seed}");
            router.begin(choice.target, 2 * SECOND).unwrap();
        }
        assert!(router.choose(&query(&model, &[]), 2 * SECOND).is_ok());
        report(&mut router, "a1", 10, false, 1, 3 * SECOND);
        assert!(router.choose(&long, 3 * SECOND).is_ok(), "seed {seed}");
    }
}
