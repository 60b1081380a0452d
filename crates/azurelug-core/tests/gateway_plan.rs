//! Tests of where the stages of a request are expected to run.
#![allow(clippy::unwrap_used)]

#[path = "support/staged.rs"]
mod staged;

use std::time::Duration;

use azurelug_core::gateway::plan::{Bounds, Plan};
use azurelug_types::deployment::Deployment;
use azurelug_types::id::ZoneName;
use staged::{route, service};

/// Three stages; each piece of the third one fetches all results of the second one.
fn plan() -> (Plan, azurelug_types::deployment::Route) {
    let stages: &[(u16, &[u8], u64)] = &[(0, &[], 8000), (1, &[0], 60_000), (2, &[1], 6000)];
    let route = route("brief", 1700, 0, stages);
    let deployment = Deployment {
        services: vec![
            service("encode", 20, 8600, 45_000_000),
            service("rerank", 62, 2800, 8_100_000),
            service("rank", 86, 2000, 1_100_000),
        ],
        ..Deployment::default()
    };
    let plan = Plan::new(&deployment, &route, &[1, 6, 10], |_| Duration::ZERO).unwrap();
    (plan, route)
}

/// Guards against stages of one request that are booked in different zones, so that each piece of
/// the last one fetches the results of the one before across zones.
#[test]
fn a_stage_is_expected_in_the_zone_of_its_large_inputs() {
    let (plan, route) = plan();
    let (a, b) = (ZoneName::from("a"), ZoneName::from("b"));
    let zones = vec![a.clone(), b.clone()];
    let (zone, bytes) = plan.expected_zone(2, &route, &zones, &a);
    assert_eq!((zone, bytes), (&b, 10 * 6 * 60_000));
}

/// Guards against stages that follow small inputs away from the engine, which fetches their larger
/// results.
#[test]
fn a_stage_with_small_inputs_is_expected_in_the_zone_of_the_engine() {
    let (plan, route) = plan();
    let (a, b) = (ZoneName::from("a"), ZoneName::from("b"));
    let (zone, bytes) = plan.expected_zone(1, &route, std::slice::from_ref(&b), &a);
    assert_eq!((zone, bytes), (&a, 6 * 60_000));
    let (zone, bytes) = plan.expected_zone(0, &route, &[], &a);
    assert_eq!((zone, bytes), (&a, 8000));
}

/// Guards against streams that clients take up and that are refused because their stages would take
/// more than half of the little time that is left.
#[test]
fn the_stages_of_a_resumed_stream_may_take_its_whole_time() {
    let rest = Duration::from_millis(200);
    let bounds = |is_resumed| Bounds {
        arrived: Duration::from_secs(100),
        due: Duration::from_millis(100_700),
        deadline: Duration::from_secs(102),
        limit: Duration::from_secs(5),
        is_resumed,
    };
    let new = bounds(false).give_up_at(rest);
    assert_eq!(new, Duration::from_secs(101));
    assert_eq!(
        bounds(true).give_up_at(rest),
        Duration::from_millis(101_800)
    );
}
