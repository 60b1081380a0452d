//! Overload of an entry daemon: more calls than its targets can run, long calls and an engine that
//! hangs. The engines have a fixed speed, so the capacity is known.

use std::collections::BTreeSet;
use std::time::Duration;

use azurelug_system::System;
use azurelug_testkit::caller::{self, CallResult, Report};
use azurelug_testkit::engine::{Faults, Settings};
use azurelug_types::config::StageKind;

/// Short calls per second that the system can complete. A short call takes about 3 x 50 ms for the
/// other stages and 50 ms + 16 x 25 ms for generate, so the 24 generate slots of the three zones
/// complete 53 of them per second.
const CAPACITY_PER_S: u32 = 53;

/// Within this time a refusal counts as immediate. An answer may miss its deadline by as much. The
/// value allows for a busy machine.
const DELAY_TOLERANCE: Duration = Duration::from_millis(500);

async fn start() -> System {
    let settings = Settings {
        prefill_time: Duration::from_millis(50),
        token_time: Duration::from_millis(25),
        max_waiting: 256,
        ..Settings::default()
    };
    let system = System::start_with(settings).await;
    // Targets start with their cold limits, and their limits rise with completed calls.
    for (requests, per_second) in [(40, CAPACITY_PER_S / 6), (100, CAPACITY_PER_S / 3)] {
        let warm = run(calls(&system, requests, per_second, 16, 12_000)).await;
        let correct = u64::try_from(warm.correct()).expect("the count fits into 64 bits");
        assert_eq!(correct, requests, "{:?} {:?}", warm.refused(), warm.wrong());
    }
    system
}

fn calls(
    system: &System,
    requests: u64,
    per_second: u32,
    max_tokens: u32,
    deadline_ms: u64,
) -> caller::Settings {
    caller::Settings {
        max_tokens,
        deadline: Duration::from_millis(deadline_ms),
        ..system.call_settings(&[0], requests, Duration::from_secs(1) / per_second)
    }
}

async fn run(settings: caller::Settings) -> Report {
    caller::run(settings).await.expect("build the client")
}

/// The ids of the requests for which any engine received a call.
fn received_requests(system: &System) -> BTreeSet<String> {
    let engines = system.zones.iter().flat_map(|zone| zone.engines.values());
    let calls = engines.flat_map(|engine| engine.counts().by_request.into_keys());
    calls
        .filter_map(|call| call.split('/').next().map(str::to_owned))
        .collect()
}

/// Guards against refusals that come after work was done, that come late or without a retry time,
/// that say `not_run` although an engine received a call, and against answers after the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_is_refused_at_once_and_the_rest_is_answered_in_time() {
    let system = start().await;
    let deadline = Duration::from_secs(3);
    let report = run(calls(&system, 636, 2 * CAPACITY_PER_S, 16, 3_000)).await;
    assert_eq!(report.wrong(), Vec::<String>::new());
    let received = received_requests(&system);
    let (mut refused, mut immediate) = (0, 0);
    for (_, end) in &report.results {
        match end {
            CallResult::Correct { duration, .. } => {
                assert!(
                    *duration <= deadline + DELAY_TOLERANCE,
                    "answered after {duration:?}"
                );
            }
            CallResult::Refused {
                request_id,
                execution,
                retry_after_ms,
                duration,
                ..
            } => {
                let was_received = received.contains(request_id);
                assert!(
                    !was_received || execution != "not_run",
                    "{request_id} was refused as not run, but an engine received its call"
                );
                assert!(retry_after_ms.is_some_and(|after| after > 0), "{end:?}");
                refused += 1;
                immediate += u32::from(execution == "not_run" && *duration < DELAY_TOLERANCE);
            }
            CallResult::Wrong { .. } => {}
        }
    }
    assert!(refused >= 100, "only {refused} of 636 calls were refused");
    assert!(
        immediate * 100 >= refused * 95,
        "only {immediate} of {refused} refusals were immediate and without work"
    );
    assert!(
        report.correct() >= 150,
        "only {} calls were answered",
        report.correct()
    );
}

/// Guards against a hanging engine that uses up the deadline of every call that is sent to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hanging_engine_does_not_use_up_the_whole_deadline() {
    let system = start().await;
    let faults = Faults {
        hang: true,
        ..Faults::default()
    };
    system.zones[0].engines[&StageKind::Rerank].set_faults(faults);
    let report = run(calls(&system, 100, CAPACITY_PER_S / 3, 16, 12_000)).await;
    assert_eq!(report.wrong(), Vec::<String>::new());
    assert_eq!(report.correct(), 100, "{:?}", report.refused());
    let slowest = report.results.iter().filter_map(|(_, end)| match end {
        CallResult::Correct { duration, .. } => Some(*duration),
        _ => None,
    });
    let slowest = slowest.max().expect("there are answers");
    assert!(
        slowest < Duration::from_secs(5),
        "the slowest call took {slowest:?}"
    );
}

/// Guards against long calls that occupy all slots of a stage, and against refusing most of them
/// although their deadlines leave time to wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_of_long_calls_does_not_starve_short_ones() {
    let system = start().await;
    let long = run(calls(&system, 50, 1_000, 128, 12_000));
    let short = run(calls(&system, 40, 5, 16, 3_000));
    let (long, short) = tokio::join!(long, short);
    assert_eq!(long.wrong(), Vec::<String>::new());
    assert_eq!(short.wrong(), Vec::<String>::new());
    assert!(short.correct() >= 38, "short: {:?}", short.refused());
    assert!(long.correct() >= 35, "long: {:?}", long.refused());
}
