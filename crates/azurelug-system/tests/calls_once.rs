//! At-most-once execution of bookings, against real processes.
//!
//! The number of executions is read from the service's own counters, never from a daemon.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use azurelug_system::operator::Operator;
use azurelug_system::system::{ACCOUNT_KEY, System, account, wait_until};
use azurelug_system::{Booking, booking};
use azurelug_testkit::service::Faults;
use nix::sys::signal::Signal;
use serde_json::json;

/// A deadline that a healthy system meets easily.
const DEADLINE: Duration = Duration::from_secs(4);

/// A short deadline, for tests that wait until it and the following 5 s have passed.
const SHORT_DEADLINE: Duration = Duration::from_secs(1);

async fn wait_executed(system: &System, booking: &Booking) {
    wait_until("the execution", || async {
        system.executions_of_key(&booking.key) > 0
    })
    .await;
}

/// Sends a booking again until the answer passes `check`.
async fn wait_answer(
    system: &System,
    zone: usize,
    booking: &Booking,
    check: impl Fn(&booking::Answer) -> bool,
) -> booking::Answer {
    let found = std::sync::Mutex::new(None);
    let entry = system.callers_address(zone);
    wait_until("the expected answer", || async {
        let answer = booking.send(entry).await;
        let is_expected = answer.as_ref().is_some_and(&check);
        *found.lock().unwrap() = answer;
        is_expected
    })
    .await;
    found.into_inner().unwrap().unwrap()
}

/// Guards against a second execution of a booking whose answer was lost between the service and the
/// entry daemon: its outcome is unknown, and a resend must not execute it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_whose_answer_is_lost_is_not_executed_again() {
    let system = System::start().await;
    system.set_stock_faults(&Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let booking = Booking::new(SHORT_DEADLINE);
    let first = booking.send(system.callers_address(0)).await.unwrap();
    assert_eq!(first.refusal(), (504, "unknown_outcome", "unknown"));
    system.set_stock_faults(&Faults::default());
    let unknown = wait_answer(&system, 1, &booking, |answer| {
        assert!(
            matches!(answer.refusal().1, "in_progress" | "unknown_outcome"),
            "{answer:?}"
        );
        answer.refusal().1 == "unknown_outcome"
    })
    .await;
    assert_eq!(unknown.refusal(), (504, "unknown_outcome", "unknown"));
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Guards against a second execution, or a lost result, of a booking whose caller disconnected
/// before the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_whose_caller_disconnected_is_recorded() {
    let system = System::start().await;
    system.set_stock_faults(&Faults {
        delay_ms: 500,
        ..Faults::default()
    });
    let booking = Booking::new(DEADLINE);
    {
        let sent = booking.send(system.callers_address(0));
        tokio::select! {
            answer = sent => panic!("answered before the delay of the service: {answer:?}"),
            () = wait_executed(&system, &booking) => {}
        }
    }
    let answer = wait_answer(&system, 1, &booking, |answer| answer.status == 200).await;
    assert!(answer.is_replayed, "{answer:?}");
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Guards against a second execution of a booking whose entry daemon was killed after the claim and
/// before the result was recorded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_of_a_killed_entry_daemon_turns_unknown() {
    let mut system = System::start().await;
    system.set_stock_faults(&Faults {
        delay_ms: 800,
        ..Faults::default()
    });
    let booking = Booking::new(SHORT_DEADLINE);
    let (entry, copy) = (system.callers_address(0), booking.clone());
    let sent = tokio::spawn(async move { copy.send(entry).await });
    wait_executed(&system, &booking).await;
    system.zones[0].entry.kill();
    assert!(sent.await.unwrap().is_none(), "the killed daemon answered");
    let resent = booking.send(system.callers_address(1)).await.unwrap();
    assert_eq!(resent.refusal(), (409, "in_progress", "unknown"));
    system.zones[0].entry.start();
    system.wait_ready().await;
    for zone in [2, 0] {
        let check = |answer: &booking::Answer| answer.refusal().1 == "unknown_outcome";
        wait_answer(&system, zone, &booking, check).await;
    }
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Guards against an entry daemon that sends a booking after the deadline of its claim passed while
/// the daemon was frozen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_entry_daemon_does_not_send_after_the_deadline() {
    let system = System::start().await;
    let leader = system.wait_leader().await;
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    // Without followers the claim stays uncommitted in the leader's log until the entry daemon is
    // frozen.
    for other in others {
        system.zones[other].control.signal(Signal::SIGSTOP);
    }
    let booking = Booking::new(Duration::from_millis(1500));
    let (entry, copy) = (system.callers_address(leader), booking.clone());
    let sent = tokio::spawn(async move { copy.send(entry).await });
    system
        .wait_state(leader, |state| state["in_flight"] == 1)
        .await;
    // The entry daemon must stay frozen for longer than the deadline.
    tokio::time::sleep(Duration::from_millis(200)).await;
    system.zones[leader].entry.signal(Signal::SIGSTOP);
    for other in others {
        system.zones[other].control.signal(Signal::SIGCONT);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    system.zones[leader].entry.signal(Signal::SIGCONT);
    let answer = sent.await.unwrap().unwrap();
    assert!(answer.is_not_run(), "{answer:?}");
    assert_eq!(system.executions_of_key(&booking.key), 0);
    let again = wait_answer(&system, others[0], &booking, |answer| answer.status == 200).await;
    assert!(!again.is_replayed, "{again:?}");
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Guards against a second execution of a booking whose entry daemon was frozen past the deadline
/// while the service executed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_executed_while_its_entry_daemon_was_frozen_is_not_executed_again() {
    let system = System::start().await;
    system.set_stock_faults(&Faults {
        delay_ms: 300,
        ..Faults::default()
    });
    let booking = Booking::new(SHORT_DEADLINE);
    let (entry, copy) = (system.callers_address(0), booking.clone());
    let sent = tokio::spawn(async move { copy.send(entry).await });
    wait_executed(&system, &booking).await;
    system.zones[0].entry.signal(Signal::SIGSTOP);
    let resent = booking.send(system.callers_address(1)).await.unwrap();
    assert_eq!(resent.refusal(), (409, "in_progress", "unknown"));
    // The entry daemon must stay frozen for longer than the deadline.
    tokio::time::sleep(SHORT_DEADLINE + Duration::from_millis(500)).await;
    system.zones[0].entry.signal(Signal::SIGCONT);
    let first = sent.await.unwrap().unwrap();
    assert!(
        first.status == 200 || first.refusal() == (504, "unknown_outcome", "unknown"),
        "{first:?}"
    );
    let last = wait_answer(&system, 2, &booking, |answer| {
        answer.refusal().1 != "in_progress"
    })
    .await;
    assert!(
        last.is_replayed || last.refusal().1 == "unknown_outcome",
        "{last:?}"
    );
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Guards against two executions of a booking that is sent through two entry daemons at the same
/// time, and against different answers to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_through_another_entry_daemon_gets_in_progress_and_then_the_answer() {
    let system = System::start().await;
    system.set_stock_faults(&Faults {
        delay_ms: 1500,
        ..Faults::default()
    });
    let booking = Booking::new(DEADLINE);
    let (entry, copy) = (system.callers_address(0), booking.clone());
    let sent = tokio::spawn(async move { copy.send(entry).await });
    wait_executed(&system, &booking).await;
    let resent = booking.send(system.callers_address(1)).await.unwrap();
    assert_eq!(resent.refusal(), (409, "in_progress", "unknown"));
    assert!(
        resent.body["retry_after_ms"].as_u64().is_some(),
        "{resent:?}"
    );
    let first = sent.await.unwrap().unwrap();
    assert_eq!((first.status, first.is_replayed), (200, false), "{first:?}");
    let replayed = wait_answer(&system, 2, &booking, |answer| answer.status == 200).await;
    assert!(replayed.is_replayed);
    assert_eq!(replayed.body, first.body);
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Sends one booking through the entry daemons in rotation until its outcome is final, and returns
/// the outcome with the refusals before it.
async fn resend_until_final(
    entries: &[std::net::SocketAddr],
    booking: &Booking,
    number: usize,
) -> Outcome {
    let mut outcome = Outcome::default();
    for step in 0..60 {
        let entry = entries[(number + step) % entries.len()];
        match booking.send(entry).await {
            Some(answer) if answer.status == 200 => {
                outcome.is_done = true;
                return outcome;
            }
            Some(answer) if answer.refusal().1 == "unknown_outcome" => return outcome,
            Some(answer) => outcome.refusals.push(answer.refusal().1.to_owned()),
            None => outcome.refusals.push("no answer".to_owned()),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    outcome.is_open = true;
    outcome
}

#[derive(Debug, Default)]
struct Outcome {
    is_done: bool,
    is_open: bool,
    refusals: Vec<String>,
}

/// Guards against bookings that are executed twice, or are answered without an execution, when the
/// leader is killed while it commits claims and results.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_are_executed_at_most_once_when_the_leader_is_killed() {
    let mut system = System::start().await;
    let leader = system.wait_leader().await;
    let entries: Vec<_> = (0..3).map(|zone| system.callers_address(zone)).collect();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..60 {
        let entries = entries.clone();
        tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(10 * number)).await;
            let booking = Booking::new(DEADLINE);
            let number = usize::try_from(number).unwrap();
            (
                resend_until_final(&entries, &booking, number).await,
                booking,
            )
        });
    }
    wait_until("20 executed bookings", || async {
        let counts = system.zones.iter().map(|zone| zone.stock.executions());
        counts.map(|counts| counts.keys.len()).sum::<usize>() >= 20
    })
    .await;
    system.zones[leader].control.kill();
    for (outcome, booking) in tasks.join_all().await {
        let count = system.executions_of_key(&booking.key);
        assert!(!outcome.is_open, "{outcome:?}");
        assert!(
            count <= 1,
            "booking {} was executed {count} times: {outcome:?}",
            booking.key
        );
        assert!(
            count == 1 || !outcome.is_done,
            "answered without an execution: {outcome:?}"
        );
    }
}

/// Guards against a refusal that says `not_run` for a booking that the service executed: answers
/// are lost, connections close early and replicas stop while bookings are sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_says_not_run_is_true() {
    let mut system = System::start().await;
    let (mut not_run, mut unknown) = (0, 0);
    for round in 0..3 {
        let faults = Faults {
            lose_share: 0.3,
            close_next: 3,
            ..Faults::default()
        };
        system.set_stock_faults(&faults);
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..30 {
            let entry = system.callers_address(number % 3);
            tasks.spawn(async move {
                let booking = Booking::new(DEADLINE);
                (booking.send(entry).await.unwrap(), booking)
            });
        }
        for (answer, booking) in tasks.join_all().await {
            let count = system.executions_of_key(&booking.key);
            match (answer.status, answer.is_not_run()) {
                (200, _) => assert_eq!(count, 1, "{answer:?}"),
                (_, true) => {
                    assert_eq!(count, 0, "{answer:?}");
                    not_run += 1;
                }
                (_, false) => {
                    assert!(count <= 1, "{answer:?}");
                    assert_eq!(answer.body["execution"], "unknown", "{answer:?}");
                    unknown += 1;
                }
            }
        }
        // Each round runs with one replica fewer; calls to a closed one fail before anything is
        // sent.
        if round < 2 {
            let replacement = azurelug_testkit::Service::start(
                std::net::SocketAddr::from(([127, 0, 0, 1], 0)),
                azurelug_testkit::service::Settings::default(),
            );
            let closed =
                std::mem::replace(&mut system.zones[round].stock, replacement.await.unwrap());
            closed.close();
        }
    }
    assert!(
        not_run > 0 && unknown > 0,
        "the faults caused too few refusals: {not_run} not run, {unknown} unknown"
    );
}

/// Guards against a key that is accepted for a booking with another body, and against two accounts
/// that share the records of their keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_belongs_to_one_body_and_one_account() {
    let system = System::start().await;
    let operator = Operator::new();
    let change = vec![account("renewals", "renewals-key")];
    let version = operator.change(system.operators_address(0), change).await;
    for zone in 0..3 {
        system
            .wait_state(zone, |state| state["version"] == version.0)
            .await;
    }
    let booking = Booking::new(DEADLINE);
    let first = booking.send(system.callers_address(0)).await.unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    let mut other_body = booking.clone();
    other_body.body = json!({"item": "roasted corn", "count": 4});
    let conflict = other_body.send(system.callers_address(1)).await.unwrap();
    assert_eq!(conflict.refusal(), (422, "key_conflict", "not_run"));
    assert_eq!(system.executions_of_key(&booking.key), 1);

    let mut other_account = booking.clone();
    other_account.account_key = "renewals-key".to_owned();
    let second = other_account.send(system.callers_address(2)).await.unwrap();
    assert_eq!(
        (second.status, second.is_replayed),
        (200, false),
        "{second:?}"
    );
    assert_eq!(system.executions_of_key(&booking.key), 2);
    for (account_key, answer) in [(ACCOUNT_KEY, &first), ("renewals-key", &second)] {
        let mut resent = booking.clone();
        resent.account_key = account_key.to_owned();
        let replayed = wait_answer(&system, 0, &resent, |answer| answer.refusal().0 != 409).await;
        assert_eq!(replayed.body, answer.body, "{account_key}");
    }
    assert_eq!(system.executions_of_key(&booking.key), 2);
}

fn key_of_age(age: Duration) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let time = now.checked_sub(age).unwrap();
    let timestamp =
        uuid::Timestamp::from_unix(uuid::NoContext, time.as_secs(), time.subsec_nanos());
    uuid::Uuid::new_v7(timestamp).to_string()
}

/// Guards against a key that is older than the retention time of records and counts as new: its
/// record may have been removed after an execution.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_older_than_a_day_is_refused() {
    let mut system = System::start().await;
    const DAY: Duration = Duration::from_secs(24 * 60 * 60);
    // The first leader advances the watermark within its first second.
    let entry = system.callers_address(0);
    wait_until("the watermark", || async {
        let probe = Booking::with_key(key_of_age(2 * DAY), DEADLINE);
        let answer = probe.send(entry).await.unwrap();
        answer.refusal().1 == "key_expired"
    })
    .await;
    let old = Booking::with_key(key_of_age(DAY + Duration::from_secs(120)), DEADLINE);
    let answer = old.send(system.callers_address(1)).await.unwrap();
    assert_eq!(answer.refusal(), (409, "key_expired", "unknown"));
    assert_eq!(system.executions_of_key(&old.key), 0);

    let leader = system.wait_leader().await;
    system.zones[leader].control.kill();
    let check = |answer: &booking::Answer| answer.refusal().1 != "no_quorum";
    let answer = wait_answer(&system, (leader + 1) % 3, &old, check).await;
    assert_eq!(answer.refusal(), (409, "key_expired", "unknown"));
    assert_eq!(system.executions_of_key(&old.key), 0);
    // A key that is almost a day old still counts as new.
    let recent = Booking::with_key(key_of_age(DAY - Duration::from_secs(120)), DEADLINE);
    let answer = recent
        .send(system.callers_address((leader + 1) % 3))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against bookings that are sent without a quorum, and against pipelines that stop working
/// without one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_bookings_are_refused_and_pipelines_keep_working() {
    let mut system = System::start().await;
    // Without its control daemon a zone has only base shares.
    system.wait_base_shares().await;
    for zone in [1, 2] {
        system.zones[zone].control.kill();
    }
    // The first bookings start before the lease has expired, the second ones after that.
    for round in 0..2 {
        let mut tasks = tokio::task::JoinSet::new();
        for zone in 0..3 {
            let entry = system.callers_address(zone);
            tasks.spawn(async move {
                // Longer than one attempt to commit a claim, so that the bookings see an attempt
                // fail.
                let booking = Booking::new(Duration::from_millis(4500));
                let sent = tokio::time::Instant::now();
                let answer = booking.send(entry).await.unwrap();
                (answer, booking, sent.elapsed())
            });
        }
        let calls = system.call_settings(&[0, 1, 2], 30, Duration::from_millis(20));
        let report = azurelug_testkit::caller::run(calls).await.unwrap();
        assert_eq!(
            report.correct(),
            30,
            "round {round}: {:?} {:?}",
            report.refused(),
            report.wrong()
        );
        for (answer, booking, answered_after) in tasks.join_all().await {
            assert_eq!(
                answer.refusal(),
                (503, "no_quorum", "not_run"),
                "round {round}"
            );
            assert_eq!(system.executions_of_key(&booking.key), 0, "round {round}");
            let limit = booking.deadline + Duration::from_secs(1);
            assert!(
                answered_after <= limit,
                "round {round}: answered after {answered_after:?}"
            );
        }
    }
    for zone in [1, 2] {
        system.zones[zone].control.start();
    }
    system.wait_ready().await;
    for zone in 0..3 {
        let booking = Booking::new(DEADLINE);
        wait_answer(&system, zone, &booking, |answer| answer.status == 200).await;
        assert_eq!(system.executions_of_key(&booking.key), 1);
    }
}
