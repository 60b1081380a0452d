//! Tests the smaller components of the gateway: routing, accounts, operator commands, retry budget,
//! event streams and stage plans.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::budget::{Allowance, Budget};
use azurelug_core::gateway::events::{Error, Splitter};
use azurelug_core::gateway::orders::{Order, Orders};
use azurelug_core::gateway::plan::Plan;
use azurelug_core::gateway::rendezvous;
use azurelug_core::gateway::table::Table;
use azurelug_core::gateway::value_rank::ValueRanking;
use azurelug_types::deployment::{
    Account, Batch, Deployment, RequestKind, Route, Service, ServiceKey, Stage, WeightedService,
};
use azurelug_types::id::{AccountName, ServiceName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(800),
        event_gap_objective: Duration::from_millis(250),
        priority: 0,
        services: vec![WeightedService {
            service: ServiceKey(0),
            weight: 1,
        }],
        max_attempts: 2,
        stages: Vec::new(),
        is_anonymous: false,
    }
}

fn service(name: &str, is_staged: bool) -> Service {
    Service {
        name: ServiceName::from(name),
        max_connections: 100,
        cold_start_time: Duration::ZERO,
        cold_rate_limit: 0.0,
        engine: None,
        batch: is_staged.then_some(Batch {
            slots: 1,
            queue: 2,
            max_pieces: 20,
            call_time: 200 * MS,
            piece_time: 8 * MS,
            result_capacity: 0,
            result_lifetime: 4000 * MS,
        }),
    }
}

/// Guards against a request that is routed by another host or a shorter prefix.
#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let deployment = Deployment {
        routes: vec![
            route("short", "one.example", "/a/"),
            route("long", "one.example", "/a/b/"),
            route("other", "two.example", "/a/b/c/"),
        ],
        services: vec![service("s", false)],
        ..Deployment::default()
    };
    let table = Table::new(Arc::new(deployment));
    let name = |host, path| table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("one.example", "/a/b/c/d"), Some("long"));
    assert_eq!(name("one.example:8080", "/a/x"), Some("short"));
    assert_eq!(name("ONE.example", "/a/x"), Some("short"));
    assert_eq!(name("one.example", "/a"), None);
    assert_eq!(name("three.example", "/a/b/"), None);
}

/// Guards against a removed key that is still valid.
#[test]
fn a_key_is_valid_only_while_an_account_has_it() {
    let account = |keys: &[&str]| Account {
        name: AccountName::from("carts"),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: 0,
    };
    let table = |keys| {
        Table::new(Arc::new(Deployment {
            accounts: Some(vec![account(keys)]),
            ..Deployment::default()
        }))
    };
    assert!(table(&["old", "new"]).account("old").is_some());
    assert!(table(&["new"]).account("old").is_none());
    assert!(table(&["new"]).requires_key());
}

/// Guards against the removal of the last account, which would open every route.
#[test]
fn an_empty_list_of_accounts_still_requires_a_key() {
    let table = |accounts| {
        Table::new(Arc::new(Deployment {
            accounts,
            ..Deployment::default()
        }))
    };
    assert!(table(Some(Vec::new())).requires_key());
    assert!(table(Some(Vec::new())).account("old").is_none());
    assert!(!table(None).requires_key());
}

/// Guards against requests to a service with a weight of 0.
#[test]
fn a_service_without_weight_gets_no_requests() {
    let table = Table::default();
    let share = |service, weight| WeightedService {
        service: ServiceKey(service),
        weight,
    };
    let split = [share(0, 0), share(1, 90), share(2, 10), share(3, 0)];
    let mut counts = [0; 4];
    for draw in 0..1000 {
        let chosen = table.choose(&split, f64::from(draw) / 1000.0);
        counts[usize::from(chosen.0)] += 1;
    }
    assert_eq!(counts, [0, 900, 100, 0]);
}

/// Guards against weights whose sum overflows.
#[test]
fn large_weights_divide_the_requests_in_proportion() {
    let share = |service| WeightedService {
        service: ServiceKey(service),
        weight: u32::MAX,
    };
    let split = [share(0), share(1), share(2), share(3)];
    let choose = |draw| Table::default().choose(&split, draw).0;
    assert_eq!([0.1, 0.3, 0.6, 0.9].map(choose), [0, 1, 2, 3]);
}

/// Guards against a configuration that reverts: old and repeated commands must not change it, in
/// whatever order they arrive.
#[test]
fn the_highest_version_stays_in_force() {
    let configure = |version: u64, text: &str| Order::Configure {
        version,
        document: Arc::from(text.as_bytes()),
    };
    let mut orders = Orders::default();
    for order in [
        configure(3, "three"),
        configure(7, "seven"),
        configure(5, "five"),
        configure(7, "other content"),
        configure(3, "three"),
    ] {
        orders.apply(order);
    }
    let document = orders.document().unwrap();
    assert_eq!(
        (document.version, &*document.bytes),
        (7, b"seven".as_slice())
    );
    assert_eq!(orders.sequence(), 2);
}

/// Guards against a command that is applied twice because it was repeated after its answer was
/// lost.
#[test]
fn a_zone_is_drained_until_its_drain_is_cancelled() {
    let drain = |drained| Order::Drain {
        zone: ZoneName::from("a"),
        drained,
    };
    let mut orders = Orders::default();
    orders.apply(drain(true));
    orders.apply(drain(true));
    assert!(orders.drained().contains(&ZoneName::from("a")));
    orders.apply(drain(false));
    assert!(orders.drained().is_empty());
    assert_eq!(orders.sequence(), 2);
}

/// Guards against gateways that respect the retry budget separately but exceed it together.
/// Failures come in waves, and each gateway retries whenever its budget allows it.
#[test]
fn retries_of_all_gateways_stay_within_the_budget_of_any_window() {
    let allowance = Allowance {
        ratio: 0.2,
        window: Duration::from_secs(10),
        extra: 54.0,
    };
    for seed in 0..10 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut gateways = vec![Budget::default(); 7];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(60) {
            now += Duration::from_micros(random.random_range(1000..30_000));
            let budget = &mut gateways[random.random_range(0..7)];
            budget.earn(&allowance, 7, now);
            requests.push(now);
            let is_wave = now.as_secs() % 20 > 8;
            if is_wave {
                while budget.take(&allowance, 7, now) {
                    retries.push(now);
                }
            }
        }
        let within = |times: &[Duration], from: Duration| {
            let end = from + allowance.window;
            times.iter().filter(|at| **at >= from && **at < end).count() as f64
        };
        for from in &retries {
            let allowed = allowance.ratio * within(&requests, *from) + allowance.extra;
            let used = within(&retries, *from);
            assert!(
                used <= allowed,
                "seed {seed}: {used} retries from {from:?}, {allowed} allowed"
            );
        }
    }
}

/// Guards against a retry budget that can't be used because each share is less than one retry: each
/// of 295 gateways can retry its first failed request, and together they stay within the budget.
#[test]
fn hundreds_of_gateways_can_use_the_budget_and_stay_within_it() {
    let allowance = Allowance {
        ratio: 0.2,
        window: Duration::from_secs(10),
        extra: 630.0,
    };
    let mut gateways = vec![Budget::default(); 295];
    let at = |second: u64| Duration::from_secs(second);
    let first = gateways.iter_mut();
    let first = first.filter_map(|it| it.take(&allowance, 295, at(0)).then_some(()));
    assert_eq!(first.count(), 295);
    let mut used = 295.0;
    for second in 1..10 {
        for budget in &mut gateways {
            while budget.take(&allowance, 295, at(second)) {
                used += 1.0;
            }
        }
    }
    assert!(used <= allowance.extra, "{used} retries in a window");
}

/// Guards against events that are forwarded incompletely, twice or with a gap when another target
/// resumes a stream.
#[test]
fn a_stream_that_another_target_resumes_has_each_event_once() {
    let mut splitter = Splitter::after(None);
    let mut passed = String::new();
    let mut take = |splitter: &mut Splitter| {
        while let Some(event) = splitter.next_event().unwrap() {
            passed.push_str(std::str::from_utf8(&event.bytes).unwrap());
        }
    };
    for part in ["id: 1\nda", "ta: a\n\nid: 2\ndata: b\n\nid: 3\nda"] {
        splitter.push(part.as_bytes());
        take(&mut splitter);
    }
    assert!(splitter.has_partial());
    assert_eq!(splitter.last(), Some(2));
    splitter.restart();
    for part in ["id: 2\ndata: b\n\n", "id: 3\r\ndata: c\r\n\r\n"] {
        splitter.push(part.as_bytes());
        take(&mut splitter);
    }
    assert!(!splitter.has_partial());
    assert_eq!(
        passed,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"
    );
}

/// Guards against a gap in the events that a client receives.
#[test]
fn a_missing_event_is_an_error() {
    let mut splitter = Splitter::after(Some(4));
    splitter.push(b"id: 5\n\nid: 7\n\n");
    assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(5));
    let missing = Error::Order { last: 5, found: 7 };
    assert_eq!(splitter.next_event(), Err(missing));
}

/// Guards against the text of an error that is forwarded as an event.
#[test]
fn lines_without_a_field_of_an_event_are_an_error() {
    let next = |text: &str| {
        let mut splitter = Splitter::default();
        splitter.push(text.as_bytes());
        splitter.next_event().map(|event| event.unwrap().bytes)
    };
    for text in [
        "an error\n\n",
        "HTTP/1.1 500 Error\r\nserver: x\r\n\r\n",
        "{\"error\":1}\n\n",
    ] {
        assert_eq!(next(text), Err(Error::NotAnEvent), "{text}");
    }
    for text in [
        "data\n\n",
        ": comment\n\n",
        "\n\n",
        "x-weight-versions: 2\r\nid: 1\r\n\r\n",
    ] {
        assert_eq!(next(text).unwrap(), text);
    }
}

/// Guards against unbounded buffering of a response that is not an event stream.
#[test]
fn too_many_bytes_without_an_end_of_an_event_are_an_error() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(splitter.next_event(), Err(Error::TooLong));
}

/// Guards against stages that wait for a skipped stage, and against an engine that gets the results
/// of the wrong stages.
#[test]
fn no_stage_waits_for_a_skipped_stage() {
    let stage = |after: &[u8]| Stage {
        service: ServiceKey(0),
        after: after.to_vec(),
        result_bytes: 1000,
    };
    let mut route = route("r", "h", "/");
    route.stages = vec![stage(&[]), stage(&[]), stage(&[0, 1]), stage(&[2])];
    let deployment = Deployment {
        services: vec![service("encode", true)],
        ..Deployment::default()
    };
    let plan = Plan::new(&deployment, &route, &[0, 2, 6, 10], |_| Duration::ZERO).unwrap();
    assert_eq!(plan.steps[2].after, [1]);
    let last: Vec<bool> = plan.steps.iter().map(|step| step.is_last).collect();
    assert_eq!(last, [false, false, false, true]);
    assert!(plan.steps[0].rest > plan.steps[2].rest);
    assert!(Plan::new(&deployment, &route, &[1, 2], |_| Duration::ZERO).is_err());
}

/// Guards against a preference for large requests regardless of their work.
#[test]
fn the_value_of_a_request_is_compared_relative_to_its_work() {
    let mut ranking = ValueRanking::default();
    for size in 1..=100_u64 {
        ranking.rank(Some((size * 100, 10)), 40 * MS);
    }
    let large = ranking.rank(Some((12_000, 10)), 40 * MS);
    let small = ranking.rank(Some((100, 10)), 40 * MS);
    let costly = ranking.rank(Some((12_000, 10)), 4000 * MS);
    assert!(large > 0.9 && small < 0.1, "large {large}, small {small}");
    assert!(
        costly < 0.1,
        "a large request with a hundred times the work has rank {costly}"
    );
    let unknown = ranking.rank(None, 40 * MS);
    assert!((unknown - 0.5).abs() < f64::EPSILON);
}

/// Guards against one VM that runs the dispatchers of several services while others run none.
#[test]
fn the_first_choices_of_different_keys_are_different_entries() {
    let keys = ["encode", "rank", "rerank"];
    for seed in 0..50 {
        let entries: Vec<String> = (0..4).map(|number| format!("{seed}-{number}")).collect();
        let mut first: Vec<&String> = (0..3)
            .map(|position| rendezvous::spread(&keys, position, &entries)[0])
            .collect();
        first.sort();
        first.dedup();
        assert_eq!(first.len(), 3, "seed {seed}");
    }
    let one = ["only".to_owned()];
    assert_eq!(rendezvous::spread(&keys, 2, &one), [&one[0]]);
    assert!(rendezvous::spread::<_, String>(&keys, 2, &[]).is_empty());
}

/// Three stages of one service, each of which uses the results of the previous one.
fn three_stages() -> (Deployment, Route) {
    let stage = |after: &[u8], result_bytes| Stage {
        service: ServiceKey(0),
        after: after.to_vec(),
        result_bytes,
    };
    let mut route = route("r", "h", "/");
    route.stages = vec![stage(&[], 8000), stage(&[0], 60_000), stage(&[1], 6000)];
    let deployment = Deployment {
        services: vec![service("encode", true)],
        ..Deployment::default()
    };
    (deployment, route)
}

/// Guards against a stage whose zone is selected by the size of its results although each of its
/// pieces fetches all results of the previous stage.
#[test]
fn a_stage_fetches_all_inputs_for_each_of_its_pieces() {
    let (deployment, route) = three_stages();
    let plan = Plan::new(&deployment, &route, &[1, 6, 10], |_| Duration::ZERO).unwrap();
    assert_eq!(plan.input_bytes(0, &route), 0);
    assert_eq!(plan.input_bytes(1, &route), 6 * 8000);
    assert_eq!(plan.input_bytes(2, &route), 10 * 6 * 60_000);
    assert_eq!(plan.result_bytes(2, &route), 10 * 6000);
    let without = Plan::new(&deployment, &route, &[1, 0, 10], |_| Duration::ZERO).unwrap();
    assert_eq!(without.input_bytes(2, &route), 0);
}
