//! Findings about configurations that are valid but contradict themselves. Each test starts from a
//! configuration without findings.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_core::gateway::lint::{self, Finding};
use azurelug_types::deployment::{
    Account, Batch, Deployment, Field, Limits, RequestKind, Route, Service, ServiceKey, Stage,
    WeightedService,
};
use azurelug_types::id::{AccountName, ServiceName};

const MS: Duration = Duration::from_millis(1);

fn service(name: &str) -> Service {
    Service {
        name: ServiceName(name.to_owned()),
        max_connections: 100,
        cold_start_time: Duration::ZERO,
        cold_rate_limit: 0.0,
        engine: None,
        batch: None,
    }
}

/// A route with two stages, one after the other, each with calls of 221 ms.
fn sound() -> Deployment {
    let batch = Batch {
        slots: 1,
        queue: 2,
        max_pieces: 8,
        call_time: 200 * MS,
        piece_time: 21 * MS,
        result_capacity: 18_000_000,
        result_lifetime: Duration::from_secs(5),
    };
    let stage = |after: &[u8]| Stage {
        service: ServiceKey(1),
        after: after.to_vec(),
        result_bytes: 8000,
    };
    let staged = Service {
        batch: Some(batch),
        ..service("files")
    };
    let route = Route {
        name: "review".to_owned(),
        host: "review.example".to_owned(),
        prefix: "/review".to_owned(),
        kind: RequestKind::Idempotent,
        timeout: 6000 * MS,
        latency_objective: 1200 * MS,
        event_gap_objective: 1200 * MS,
        priority: 0,
        services: vec![WeightedService {
            service: ServiceKey(0),
            weight: 1,
        }],
        max_attempts: 2,
        stages: vec![stage(&[]), stage(&[0])],
        is_anonymous: false,
    };
    Deployment {
        version: 1,
        routes: vec![route],
        services: vec![service("engine"), staged],
        accounts: Some(vec![Account {
            name: AccountName("shop".to_owned()),
            keys: vec!["secret".to_owned()],
            priority: 0,
        }]),
        limits: Limits::default(),
    }
}

fn targets(engine: usize) -> HashMap<ServiceName, usize> {
    HashMap::from([(ServiceName("engine".to_owned()), engine)])
}

/// The only finding after a change of the sound configuration.
fn only(change: impl Fn(&mut Deployment)) -> Finding {
    let mut deployment = sound();
    assert_eq!(lint::check(&deployment, &targets(2)), []);
    change(&mut deployment);
    let [finding] = &lint::check(&deployment, &targets(2))[..] else {
        panic!("{:?}", lint::check(&deployment, &targets(2)));
    };
    finding.clone()
}

fn check(change: impl Fn(&mut Deployment), entry: &str, field: Field, part: &str) {
    let finding = only(change);
    assert_eq!((&finding.entry[..], finding.field), (entry, field));
    assert!(finding.problem.contains(part), "{}", finding.problem);
}

/// A request may never be on time although all of its figures look valid.
#[test]
fn an_objective_above_the_time_limit_is_found() {
    let change = |it: &mut Deployment| it.routes[0].latency_objective = 6001 * MS;
    check(change, "review", Field::LatencyObjective, "6001 ms");
}

/// Every request of the route would be refused or run in vain.
#[test]
fn a_time_limit_under_the_calls_of_the_stages_is_found() {
    let change = |it: &mut Deployment| {
        it.routes[0].timeout = 442 * MS;
        it.routes[0].latency_objective = 400 * MS;
    };
    check(change, "review", Field::TimeLimit, "442 ms");
    let mut parallel = sound();
    change(&mut parallel);
    parallel.routes[0].stages[1].after.clear();
    assert_eq!(lint::check(&parallel, &targets(2)), []);
}

/// Attempts beyond the number of targets can't take place.
#[test]
fn more_attempts_than_targets_are_found() {
    let change = |it: &mut Deployment| it.routes[0].max_attempts = 3;
    check(change, "review", Field::MaxAttempts, "2 targets");
}

/// No target could ever store a result, so that every call fails.
#[test]
fn a_result_larger_than_the_memory_for_results_is_found() {
    let change = |it: &mut Deployment| it.routes[0].stages[0].result_bytes = 18_000_001;
    check(change, "review", Field::Stages, "18000000");
}

/// The check of the document compares hosts as they are written; requests are matched without case.
#[test]
fn a_route_that_differs_by_the_case_of_its_host_only_is_found() {
    let change = |it: &mut Deployment| {
        let mut second = it.routes[0].clone();
        second.name = "second".to_owned();
        second.host = "Review.Example".to_owned();
        it.routes.push(second);
    };
    check(change, "second", Field::Host, "'review'");
}

/// Requests name no port and no query in what routes are compared with.
#[test]
fn hosts_and_prefixes_that_no_request_has_are_found() {
    let host = |it: &mut Deployment| it.routes[0].host = "review.example:80".to_owned();
    check(host, "review", Field::Host, "review.example:80");
    for prefix in ["review", "/review?a=1"] {
        let change = |it: &mut Deployment| it.routes[0].prefix = prefix.to_owned();
        check(change, "review", Field::Prefix, prefix);
    }
}

/// A service that was renamed in one place only.
#[test]
fn a_service_that_no_route_uses_is_found() {
    let change = |it: &mut Deployment| it.services.push(service("unused"));
    check(change, "unused", Field::Name, "no route");
}

/// An account without keys has no requests.
#[test]
fn an_account_without_a_key_is_found() {
    let change = |it: &mut Deployment| {
        if let Some(accounts) = &mut it.accounts {
            accounts[0].keys.clear();
        }
    };
    check(change, "shop", Field::Keys, "no key");
}
