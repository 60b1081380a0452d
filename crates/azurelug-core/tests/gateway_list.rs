//! Tests how the fleet follows lists with restarted targets and with repeated names.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::{Bounds, Fleet, Key, Outcome, TargetQuery, Weights};
use azurelug_types::deployment::Target;
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

const NOW: Duration = Duration::from_secs(1);

fn target(name: &str, address: &str) -> Target {
    Target {
        name: TargetName(name.to_owned()),
        service: ServiceName::from("llm"),
        address: address.parse().unwrap(),
        zone: ZoneName::from("a"),
        slots: 16,
        is_leaving: false,
        cold_ms: 0,
        version: String::new(),
    }
}

fn place(fleet: &mut Fleet) -> Key {
    let query = TargetQuery {
        versions: azurelug_core::gateway::fleet::Versions::Any,
        service: &ServiceName::from("llm"),
        affinity: None,
        zone: &ZoneName::from("a"),
        weights: &Weights::default(),
        tried: &[],
        bounds: Bounds {
            gateways: 1,
            cold_rate: 0.0,
            cold_limit: 0.0,
            slots: None,
        },
        work: Work::default(),
    };
    fleet.select(&query, 0.5, NOW).unwrap()
}

/// Guards against requests to the address that a target had before it restarted under the same name,
/// and against records that accumulate while two entries of the list have the same name.
#[test]
fn a_target_is_used_only_at_its_listed_address() {
    let old = [target("t0", "10.0.0.1:80"), target("t1", "10.0.0.2:80")];
    let new = [target("t0", "10.0.0.3:80"), target("t1", "10.0.0.4:80")];
    let mut fleet = Fleet::default();
    fleet.list(&old, NOW);
    let in_flight = place(&mut fleet);
    let check = |fleet: &mut Fleet| {
        let keys = [(); 6].map(|()| place(fleet));
        for key in keys {
            assert!(new.contains(fleet.target(key)), "{:?}", fleet.target(key));
            fleet.finished(key, Outcome::Answered(NOW), NOW);
        }
        assert_eq!(fleet.loads().count(), 2);
        for target in &new {
            let key = fleet.key(&target.name).unwrap();
            assert_eq!(fleet.target(key), target);
        }
    };
    fleet.list(&new, NOW);
    check(&mut fleet);
    fleet.finished(in_flight, Outcome::Answered(NOW), NOW);
    let repeated = [&new[0], &old[0], &new[1], &old[1]].map(Target::clone);
    for _ in 0..5 {
        fleet.list(&repeated, NOW);
        check(&mut fleet);
    }
}
