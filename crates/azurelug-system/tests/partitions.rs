//! Availability zones that are partitioned from all others, and what operators can still do there.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::Booking;
use azurelug_system::operator::{Operator, zone_state};
use azurelug_system::system::{System, ZONES, wait_until};
use azurelug_testkit::caller::{self, CallResult};
use azurelug_testkit::service::Faults;
use azurelug_types::config::{OnPartition, State, Zone};
use azurelug_types::id::ZoneName;
use azurelug_types::patch::Change;
use tokio::task::JoinSet;

/// The time after which a drained zone may get no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// A deadline that leaves time for a second attempt.
const DEADLINE: Duration = Duration::from_secs(4);

/// Guards against calls that are lost, executed twice or left without an answer when the zone of
/// their entry daemon loses its links to all other zones, including those to targets that run the
/// calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_partitioned_under_load_answers_every_call() {
    let system = System::start_with_links().await;
    // With this delay some bookings are executed but not yet answered when the links are cut.
    system.set_stock_faults(&Faults {
        delay_ms: 700,
        ..Faults::default()
    });
    let booked = || {
        [1, 2]
            .map(|zone| system.service_executions(zone))
            .iter()
            .sum::<u64>()
    };
    // More calls than the own zone can run, so that some run in other zones when the links are cut.
    let calls = system.call_settings(&[0], 400, Duration::from_millis(5));
    let pipelines = tokio::spawn(caller::run(calls));
    let mut bookings = JoinSet::new();
    for _ in 0..60 {
        let (booking, entry) = (Booking::new(DEADLINE), system.callers_address(0));
        bookings.spawn(async move {
            let answer = booking.send(entry).await;
            (booking, answer)
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    wait_until("bookings in other zones", || async { booked() > 5 }).await;
    system.links.isolate(0);
    system.links.isolate_from_targets(0);

    let report = pipelines.await.unwrap().unwrap();
    assert!(report.wrong().is_empty(), "{:?}", report.wrong());
    assert_eq!(report.results.len(), 400);
    assert!(report.correct() > 0, "{:?}", report.refused());
    let mut unknown = 0;
    for (booking, answer) in bookings.join_all().await {
        let answer = answer.expect("every booking is answered");
        let executions = system.executions_of_key(&booking.key);
        assert!(executions <= 1, "{executions} executions, {answer:?}");
        assert!(answer.status != 200 || executions == 1, "{answer:?}");
        assert!(!answer.is_not_run() || executions == 0, "{answer:?}");
        unknown += usize::from(answer.refusal().1 == "unknown_outcome");
    }
    assert!(
        unknown > 0,
        "no booking was in flight when the links were cut"
    );

    system.wait_lease_mode(0, "degraded").await;
    let calls = system.call_settings(&[0], 20, Duration::from_millis(100));
    let report = caller::run(calls).await.unwrap();
    assert_eq!(report.correct(), 20, "{:?}", report.failed_calls());
    system.links.heal();
    system.wait_lease_mode(0, "normal").await;
    system.set_stock_faults(&Faults::default());
    let answer = Booking::new(DEADLINE)
        .send(system.callers_address(0))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against new work in a drained and partitioned zone that is configured to refuse all work
/// during a partition, and against a daemon there that gives its callers no answer or a wrong one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_zone_that_must_refuse_gets_no_work_after_its_drain() {
    let system = System::start_with_links().await;
    let operator = Operator::new();
    let zone = Zone {
        state: State::Active,
        on_partition: OnPartition::Refuse,
    };
    let name = ZoneName::from(ZONES[0]);
    let version = operator
        .change(
            system.operators_address(1),
            vec![Change::SetZone { name, zone }],
        )
        .await;
    let is_known = |state: &serde_json::Value| state["version"] == version.0;
    system.wait_state(0, is_known).await;
    let load = tokio::spawn(caller::run(system.call_settings(
        &[0],
        120,
        Duration::from_millis(50),
    )));
    system.links.isolate(0);
    system.links.isolate_from_targets(0);
    wait_until("a patch outside the partition", || async {
        let config = operator.config(system.operators_address(1)).await;
        let Some(config) = config else { return false };
        let drain = vec![zone_state(ZONES[0], State::Draining)];
        let patch = azurelug_system::operator::patch(config.version, drain);
        operator
            .patch(system.operators_address(1), &patch)
            .await
            .is_some()
    })
    .await;
    // New work must end within this limit.
    tokio::time::sleep(DRAIN_LIMIT).await;
    let before = system.started_calls(0);
    let report = load.await.unwrap().unwrap();
    assert!(report.wrong().is_empty(), "{:?}", report.wrong());
    system.wait_lease_mode(0, "refuse").await;
    let calls = system.call_settings(&[0], 10, Duration::from_millis(20));
    let report = caller::run(calls).await.unwrap();
    for (_, end) in &report.results {
        let CallResult::Refused { execution, .. } = end else {
            panic!("not refused: {end:?}");
        };
        assert_eq!(execution, "not_run");
    }
    assert_eq!(system.started_calls(0), before, "new work after the limit");
}

/// Guards against new work in a locally drained zone, and against a local drain that stays in force
/// after the next version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_local_drain_holds_until_the_next_version() {
    let system = System::start().await;
    let operator = Operator::new();
    let client = Client::unpooled().unwrap();
    let run = async |requests| {
        let calls = system.call_settings(&[1], requests, Duration::from_millis(80));
        let report = caller::run(calls).await.unwrap();
        assert_eq!(
            report.correct(),
            requests as usize,
            "{:?}",
            report.failed_calls()
        );
    };
    run(10).await;
    assert!(system.started_calls(1) > 0, "the own zone got no work");
    let mut call = Call::post_json(system.admin_address(1), "/v1/local-drain", &(), DEADLINE);
    call.body = ZONES[1].as_bytes().to_vec().into();
    let (status, body) = client.send_whole(call, 1024).await.unwrap();
    assert_eq!(status, 200, "{body:?}");
    let before = system.started_calls(1);
    run(20).await;
    assert_eq!(
        system.started_calls(1),
        before,
        "new work after the local drain"
    );
    let account = azurelug_system::system::account("depots", "depot-key");
    operator
        .change(system.operators_address(0), vec![account])
        .await;
    wait_until("work after the next version", || async {
        run(1).await;
        system.started_calls(1) > before
    })
    .await;
}
