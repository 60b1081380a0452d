//! Tests of the health of targets that requests have crashed.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::{Bounds, Fleet, Outcome, TargetQuery, Weights};
use azurelug_types::deployment::Target;
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Time from the return of a target that was down for five seconds until it is selected.
fn time_until_found(first: Outcome) -> Duration {
    let service = ServiceName::from("llm");
    let zone = ZoneName::from("a");
    let target = Target {
        name: TargetName::from("t"),
        service: service.clone(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.clone(),
        slots: 16,
        is_leaving: false,
        cold_ms: 0,
        version: String::new(),
    };
    let mut fleet = Fleet::default();
    fleet.list(&[target], Duration::ZERO);
    let weights = Weights::default();
    let query = TargetQuery {
        versions: azurelug_core::gateway::fleet::Versions::Any,
        service: &service,
        affinity: None,
        zone: &zone,
        weights: &weights,
        tried: &[],
        bounds: Bounds {
            gateways: 7,
            cold_rate: 0.0,
            cold_limit: 0.0,
            slots: None,
        },
        work: Work::default(),
    };
    let key = fleet.select(&query, 0.5, SECOND).unwrap();
    fleet.finished(key, first, SECOND);
    let back = 6 * SECOND;
    let mut now = SECOND;
    loop {
        now += 10 * MS;
        if let Ok(key) = fleet.select(&query, 0.5, now) {
            if now >= back {
                return now - back;
            }
            fleet.finished(key, Outcome::Unconnected, now);
        }
    }
}

/// Guards against a target that is back after a crash and gets no sound requests for seconds,
/// because the requests that crashed it count against its health.
#[test]
fn a_target_is_used_soon_after_a_crash_that_a_request_caused() {
    let found = time_until_found(Outcome::Crashed);
    assert!(found <= SECOND, "found after {found:?}");
    let found = time_until_found(Outcome::Unreachable);
    assert!(found > SECOND, "other failures are backed off from");
}
