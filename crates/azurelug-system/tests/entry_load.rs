//! Attacks an entry daemon with more calls than its targets can run, with long calls and with an
//! engine that hangs. Engines have a known speed, so the capacity is known.

use std::collections::BTreeSet;
use std::time::Duration;

use azurelug_system::System;
use azurelug_testkit::caller::{self, End, Report};
use azurelug_testkit::engine::{Faults, Settings};
use azurelug_types::config::StageKind;

/// A short call takes about 3 x 50 ms and 50 ms + 16 x 25 ms. The 24 generate slots of the three
/// zones complete 53 of them in a second.
const CAPACITY: u32 = 53;

/// A refusal that comes within this time comes at once, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(500);

async fn start() -> System {
    let settings = Settings {
        prefill: Duration::from_millis(50),
        token: Duration::from_millis(25),
        queue: 256,
        ..Settings::default()
    };
    let system = System::start_with(settings).await;
    // Targets start under their cold limits and rise with completed calls.
    for (requests, per_second) in [(40, CAPACITY / 6), (100, CAPACITY / 3)] {
        let warm = run(calls(&system, requests, per_second, 16, 12_000)).await;
        let correct = u64::try_from(warm.correct()).expect("counts fit");
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
        ..system.calls(&[0], requests, Duration::from_secs(1) / per_second)
    }
}

async fn run(settings: caller::Settings) -> Report {
    caller::run(settings).await.expect("build the client")
}

/// Requests of which any engine got a call.
fn sent(system: &System) -> BTreeSet<String> {
    let engines = system.zones.iter().flat_map(|zone| zone.engines.values());
    let calls = engines.flat_map(|engine| engine.counts().by_request.into_keys());
    calls
        .filter_map(|call| call.split('/').next().map(str::to_owned))
        .collect()
}

/// Guards against refusals that come after work was done, that come late or without a time to come
/// back, that say `not_run` though an engine got a call, and against answers after the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_is_refused_at_once_and_the_rest_is_answered_in_time() {
    let system = start().await;
    let deadline = Duration::from_secs(3);
    let report = run(calls(&system, 636, 2 * CAPACITY, 16, 3_000)).await;
    assert_eq!(report.wrong(), Vec::<String>::new());
    let sent = sent(&system);
    let (mut refused, mut at_once) = (0, 0);
    for (_, end) in &report.ends {
        match end {
            End::Correct { duration, .. } => {
                assert!(
                    *duration <= deadline + AT_ONCE,
                    "answered after {duration:?}"
                );
            }
            End::Refused {
                request_id,
                execution,
                retry_after_ms,
                duration,
                ..
            } => {
                let was_sent = sent.contains(request_id);
                assert!(!was_sent || execution != "not_run", "{request_id} has run");
                assert!(retry_after_ms.is_some_and(|after| after > 0), "{end:?}");
                refused += 1;
                at_once += u32::from(execution == "not_run" && *duration < AT_ONCE);
            }
            End::Wrong { .. } => {}
        }
    }
    assert!(refused >= 100, "{refused} of 636 calls refused");
    assert!(
        at_once * 100 >= refused * 95,
        "{at_once} of {refused} refusals came at once and without work"
    );
    assert!(report.correct() >= 150, "{} answered", report.correct());
}

/// Guards against an engine that hangs and takes the deadline of every call that meets it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hanging_engine_does_not_take_the_whole_deadline() {
    let system = start().await;
    let faults = Faults {
        hang: true,
        ..Faults::default()
    };
    system.zones[0].engines[&StageKind::Rerank].set_faults(faults);
    let report = run(calls(&system, 100, CAPACITY / 3, 16, 12_000)).await;
    assert_eq!(report.wrong(), Vec::<String>::new());
    assert_eq!(report.correct(), 100, "{:?}", report.refused());
    let slowest = report.ends.iter().filter_map(|(_, end)| match end {
        End::Correct { duration, .. } => Some(*duration),
        _ => None,
    });
    let slowest = slowest.max().expect("there are answers");
    assert!(slowest < Duration::from_secs(5), "{slowest:?}");
}

/// Guards against long calls that take all slots of a stage, and against refusing most of them while
/// their deadline leaves time to wait.
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
