//! Engines that are silent for seconds but sound, against real processes.
//!
//! Every caller checks its whole answer: each token once, in order and of its own request.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::system::{System, wait_until};
use azurelug_testkit::caller::{self, Report};
use azurelug_testkit::engine::{self, Faults};
use azurelug_types::config::StageKind;

/// Calls that succeed before an engine is silent, so that the retry budgets are not empty.
const EARLIER_CALLS: u64 = 24;

/// Pause between calls, longer than one call: engines that have just started accept few at once.
const PAUSE: Duration = Duration::from_millis(80);

/// Time limit of the requests.
const DEADLINE: Duration = Duration::from_secs(12);

/// How long an engine is silent: longer than the timeouts of all attempts at a stage together, and
/// far shorter than the time limit.
const SILENCE: Duration = Duration::from_secs(5);

/// Settings of engines that are slow enough for a test to act in the middle of a stream.
fn streaming_engines() -> engine::Settings {
    engine::Settings {
        token_time: Duration::from_millis(20),
        ..engine::Settings::default()
    }
}

fn settings(system: &System, requests: u64, max_tokens: u32) -> caller::Settings {
    let mut calls = system.call_settings(&[0], requests, PAUSE);
    calls.max_tokens = max_tokens;
    calls.deadline = DEADLINE;
    calls
}

/// Makes calls and asserts that every caller got its whole answer.
async fn assert_served(calls: caller::Settings) -> Report {
    let requests = usize::try_from(calls.requests).unwrap();
    let report = caller::run(calls).await.unwrap();
    let (refused, wrong) = (report.refused(), report.wrong());
    assert_eq!(report.correct(), requests, "{refused:?} {wrong:?}");
    report
}

async fn warm_up(system: &System) {
    assert_served(settings(system, EARLIER_CALLS, 2)).await;
}

/// Starts a stream at zone-a's engine and returns once it has delivered tokens.
async fn start_stream(system: &System) -> tokio::task::JoinHandle<Report> {
    let engine = &system.zones[0].engines[&StageKind::Generate];
    let before = engine.counts().started;
    let running = tokio::spawn(assert_served(settings(system, 1, 64)));
    wait_until("the stream at zone-a's engine", || async {
        engine.counts().started > before
    })
    .await;
    // Long enough for the first tokens; all 64 take 1.3 s.
    tokio::time::sleep(Duration::from_millis(200)).await;
    running
}

fn set_faults(system: &System, zones: &[usize], kind: StageKind, faults: &Faults) {
    for zone in zones {
        system.zones[*zone].engines[&kind].set_faults(faults.clone());
    }
}

/// Guards against a stream that ends as `stage_failed` because each of its tokens takes longer than
/// the time after which another engine is tried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_slow_tokens_is_not_refused_as_failed() {
    let system = System::start_with(engine::Settings {
        token_time: Duration::from_millis(1200),
        ..engine::Settings::default()
    })
    .await;
    assert_served(settings(&system, 1, 6)).await;
    let engines = system.zones.iter().map(|it| &it.engines);
    let calls = engines.map(|it| it[&StageKind::Generate].counts().started);
    // The retry budget allows three attempts at a stage.
    assert!((1..=3).contains(&calls.sum::<u64>()));
}

/// Guards against a stream whose engine was left during a pause although no other engine could take
/// the stream over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_stream_goes_on_if_all_other_engines_fail() {
    let system = System::start_with(streaming_engines()).await;
    warm_up(&system).await;
    let running = start_stream(&system).await;
    let failing = Faults {
        fail_every: 1,
        ..Faults::default()
    };
    set_faults(&system, &[1, 2], StageKind::Generate, &failing);
    let pause = Faults {
        pause: true,
        ..Faults::default()
    };
    set_faults(&system, &[0], StageKind::Generate, &pause);
    tokio::time::sleep(SILENCE).await;
    set_faults(&system, &[0], StageKind::Generate, &Faults::default());
    running.await.unwrap();
}

/// Guards against a request that ends as `stage_failed` because a stage takes longer than the time
/// limit of one attempt, although it answers before the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_stage_that_answers_before_the_deadline_is_not_refused_as_failed() {
    for kind in [StageKind::Encode, StageKind::Generate] {
        let system = System::start().await;
        warm_up(&system).await;
        let slow = Faults {
            delay_ms: u64::try_from(SILENCE.as_millis()).unwrap(),
            ..Faults::default()
        };
        set_faults(&system, &[0, 1, 2], kind, &slow);
        assert_served(settings(&system, 1, 16)).await;
    }
}
