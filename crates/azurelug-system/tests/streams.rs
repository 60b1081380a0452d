//! Engines that fail during a stream and entry daemons that shut down, against real processes.
//!
//! Every caller checks its whole answer: each token once, in order and of its own request.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_system::operator::Operator;
use azurelug_system::system::{System, wait_until};
use azurelug_testkit::caller::{self, Report};
use azurelug_testkit::engine::{self, Faults};
use azurelug_testkit::proxy::{self, Link, Proxy, Rule};
use azurelug_types::config::StageKind;
use azurelug_types::id::TargetName;
use azurelug_types::patch::Change;

/// Calls that succeed before an engine fails, so that the retry budgets are not empty.
const EARLIER_CALLS: u64 = 24;

/// Calls that are sent to the failing engine; few enough for the retry budgets and the cold limit
/// of the other engines.
const FAILING_CALLS: u64 = 2;

/// Pause between calls, longer than one call: engines that have just started accept few at once.
const PAUSE: Duration = Duration::from_millis(80);

/// Settings of engines that are slow enough for a test to act in the middle of a stream.
fn slow_tokens() -> engine::Settings {
    engine::Settings {
        token_time: Duration::from_millis(20),
        ..engine::Settings::default()
    }
}

async fn run(calls: caller::Settings) -> Report {
    caller::run(calls).await.unwrap()
}

fn assert_all_correct(report: &Report, requests: u64) {
    let (refused, wrong) = (report.refused(), report.wrong());
    let requests = usize::try_from(requests).unwrap();
    assert_eq!(report.correct(), requests, "{refused:?} {wrong:?}");
}

/// Makes calls through zone-a's entry daemon while all engines work.
async fn warm_up(system: &System) {
    let mut calls = system.call_settings(&[0], EARLIER_CALLS, PAUSE);
    calls.max_tokens = 2;
    assert_all_correct(&run(calls).await, EARLIER_CALLS);
}

/// The number of stages of `kind` that were completed by a retry.
fn retried(report: &Report, kind: StageKind) -> usize {
    let is_retried = |stage: &&caller::Stage| stage.stage == kind && stage.attempt > 0;
    report.stages().filter(is_retried).count()
}

/// Guards against tokens that are lost or repeated when an engine ends a stream before its last token.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_ends_early_goes_on_at_another_engine() {
    let system = System::start().await;
    warm_up(&system).await;
    system.zones[0].engines[&StageKind::Generate].set_faults(Faults {
        stop_after_tokens: 5,
        ..Faults::default()
    });
    let report = run(system.call_settings(&[0], FAILING_CALLS, PAUSE)).await;
    assert_all_correct(&report, FAILING_CALLS);
    assert!(retried(&report, StageKind::Generate) > 0);
}

/// Guards against tokens that are lost or repeated when an engine crashes during streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_engine_dies_goes_on_at_another_engine() {
    let mut system = System::start_with(slow_tokens()).await;
    warm_up(&system).await;
    let mut calls = system.call_settings(&[0], FAILING_CALLS, Duration::from_millis(1));
    calls.max_tokens = 64;
    let running = tokio::spawn(run(calls));
    let engine = system.zones[0]
        .engines
        .remove(&StageKind::Generate)
        .unwrap();
    let before = engine.counts().started;
    wait_until("streams on the engine", || async {
        engine.counts().started > before
    })
    .await;
    // Long enough for the first tokens; all 64 take 1.3 s.
    tokio::time::sleep(Duration::from_millis(200)).await;
    engine.close();
    let report = running.await.unwrap();
    assert_all_correct(&report, FAILING_CALLS);
    assert!(retried(&report, StageKind::Generate) > 0);
}

/// Guards against a caller that gets a token twice because the engine sent it twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_token_that_arrives_twice_is_delivered_once() {
    let system = System::start().await;
    for zone in &system.zones {
        zone.engines[&StageKind::Generate].set_faults(Faults {
            duplicate_every: 2,
            ..Faults::default()
        });
    }
    let report = run(system.call_settings(&[0, 1, 2], 30, PAUSE)).await;
    assert_all_correct(&report, 30);
}

/// Guards against requests that wait for an engine that accepts calls and never answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_a_hung_engine_is_made_elsewhere_in_time() {
    let system = System::start().await;
    warm_up(&system).await;
    for kind in [StageKind::Encode, StageKind::Generate] {
        system.zones[0].engines[&kind].set_faults(Faults {
            hang: true,
            ..Faults::default()
        });
        let mut calls = system.call_settings(&[0], FAILING_CALLS, PAUSE);
        calls.deadline = Duration::from_secs(4);
        let report = run(calls).await;
        assert_all_correct(&report, FAILING_CALLS);
        assert!(retried(&report, kind) > 0, "{kind}");
        system.zones[0].engines[&kind].set_faults(Faults::default());
    }
}

/// Guards against a stream that waits forever on a connection that went silent in the middle of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_on_a_silent_connection_goes_on_at_another_engine() {
    let system = System::start_with(slow_tokens()).await;
    let engine = &system.zones[0].engines[&StageKind::Generate];
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = proxy::Settings {
        target: engine.address(),
        control_address: any,
        link: Link::default(),
    };
    let proxy = Proxy::start(any, settings).await.unwrap();
    let operator = Operator::new();
    let config = operator.config(system.operators_address(0)).await.unwrap();
    let name = TargetName::from("generate-zone-a");
    let mut target = config.targets[&name].clone();
    target.address = proxy.address();
    let change = vec![Change::SetTarget { name, target }];
    let version = operator.change(system.operators_address(0), change).await;
    system
        .wait_state(0, |state| state["version"] == version.0)
        .await;

    warm_up(&system).await;
    let mut calls = system.call_settings(&[0], FAILING_CALLS, Duration::from_millis(1));
    calls.max_tokens = 64;
    let running = tokio::spawn(run(calls));
    let before = engine.counts().started;
    wait_until("streams on the engine", || async {
        engine.counts().started > before
    })
    .await;
    // Long enough for the first tokens; all 64 take 1.3 s.
    tokio::time::sleep(Duration::from_millis(200)).await;
    proxy.set_link(Link {
        forward: Rule::Drop,
        backward: Rule::Drop,
        ..Link::default()
    });
    let report = running.await.unwrap();
    assert_all_correct(&report, FAILING_CALLS);
    assert!(retried(&report, StageKind::Generate) > 0);
    assert!(proxy.traffic().dropped_backward > 0);
}

/// Guards against a result that is delivered to another request because the engine mixed up ids.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_with_the_id_of_another_call_reaches_no_caller() {
    let system = System::start().await;
    warm_up(&system).await;
    for kind in StageKind::ALL {
        let engine = &system.zones[0].engines[&kind];
        engine.set_faults(Faults {
            wrong_id_every: 1,
            ..Faults::default()
        });
        let report = run(system.call_settings(&[0], FAILING_CALLS, PAUSE)).await;
        assert_all_correct(&report, FAILING_CALLS);
        assert!(retried(&report, kind) > 0, "{kind}");
        engine.set_faults(Faults::default());
    }
}

/// Makes calls over keep-alive connections and stops using a daemon that is not ready, as the
/// platform's load balancer does. Returns how the calls ended.
async fn balanced_caller(
    daemons: Vec<(SocketAddr, SocketAddr)>,
    settings: caller::Settings,
    mut stopped: tokio::sync::watch::Receiver<bool>,
    calls_made: std::sync::Arc<std::sync::atomic::AtomicUsize>,
) -> Vec<caller::CallResult> {
    let client = azurelug_http::Client::pooled().unwrap();
    let operator = Operator::new();
    let mut ends = Vec::new();
    while !*stopped.borrow_and_update() {
        let (callers, admin) = daemons[ends.len() % daemons.len()];
        let ready = operator.get(admin, "/readyz").await;
        let number = u64::try_from(ends.len()).unwrap();
        if ready.is_some_and(|(status, _)| status == 200) {
            let settings = caller::Settings {
                entries: vec![callers],
                ..settings.clone()
            };
            ends.push(caller::make_call(&client, &settings, number).await);
            calls_made.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        } else {
            let (callers, _) = daemons[1];
            let settings = caller::Settings {
                entries: vec![callers],
                ..settings.clone()
            };
            ends.push(caller::make_call(&client, &settings, number).await);
        }
    }
    ends
}

async fn wait_ended(system: &mut System, zone: usize) {
    let started = tokio::time::Instant::now();
    while !system.zones[zone].entry.has_ended() {
        let waited = started.elapsed();
        assert!(
            waited < Duration::from_secs(20),
            "the daemon still runs after {waited:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests that are cut off when an entry daemon shuts down: running ones,
/// including a long stream, and those that arrive before the load balancer has noticed the
/// shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_cuts_off_no_request() {
    use std::sync::atomic::Ordering;
    let mut system = System::start_with(slow_tokens()).await;
    let daemons: Vec<_> = (0..3)
        .map(|zone| (system.callers_address(zone), system.admin_address(zone)))
        .collect();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let calls_made = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..6 {
        let calls = system.call_settings(&[0], 1, Duration::ZERO);
        callers.spawn(balanced_caller(
            daemons.clone(),
            calls,
            stopped.clone(),
            calls_made.clone(),
        ));
    }
    wait_until("calls on every daemon", || async {
        calls_made.load(Ordering::Relaxed) >= 24
    })
    .await;
    // Two streams of 4 s, longer than the 2 s for which the HTTP library waits on its own.
    let mut long = system.call_settings(&[0], 2, Duration::from_millis(1));
    long.max_tokens = 200;
    let long = tokio::spawn(run(long));
    let operator = Operator::new();
    let admin = system.admin_address(0);
    wait_until("the long streams", || async {
        let state = operator.get(admin, "/debug/state").await;
        state.is_some_and(|(_, state)| state["in_flight"].as_u64() >= Some(2))
    })
    .await;
    system.zones[0]
        .entry
        .signal(nix::sys::signal::Signal::SIGTERM);
    wait_until("the end of readiness", || async {
        let ready = operator.get(admin, "/readyz").await;
        ready.is_some_and(|(status, _)| status == 503)
    })
    .await;
    // The load balancer has not noticed the shutdown yet.
    assert_all_correct(&run(system.call_settings(&[0], 4, Duration::ZERO)).await, 4);
    wait_ended(&mut system, 0).await;
    stop.send_replace(true);
    assert_all_correct(&long.await.unwrap(), 2);
    for end in callers.join_all().await.into_iter().flatten() {
        assert!(matches!(end, caller::CallResult::Correct { .. }), "{end:?}");
    }
    let log = system.zones[0].entry.log();
    assert!(log.contains("stopped with 0 requests in flight"), "{log}");
}

/// Guards against a daemon without requests in flight that stops accepting new ones before the load
/// balancer has noticed the shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_daemon_without_requests_accepts_those_of_a_lagging_balancer() {
    let mut system = System::start().await;
    system.zones[0]
        .entry
        .signal(nix::sys::signal::Signal::SIGTERM);
    let admin = system.admin_address(0);
    let operator = Operator::new();
    wait_until("the end of readiness", || async {
        let ready = operator.get(admin, "/readyz").await;
        ready.is_some_and(|(status, _)| status == 503)
    })
    .await;
    // The lag of the load balancer; the daemon accepts requests for 1 s.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let report = run(system.call_settings(&[0], 2, PAUSE)).await;
    assert_all_correct(&report, 2);
    wait_ended(&mut system, 0).await;
}

/// Guards against a booking whose caller has its answer but whose key turns unknown because the
/// entry daemon exited before the answer was recorded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_booking_that_ends_during_a_shutdown_is_recorded() {
    use azurelug_system::Booking;
    use nix::sys::signal::Signal;
    let mut system = System::start().await;
    system.set_stock_faults(&azurelug_testkit::service::Faults {
        delay_ms: 1200,
        ..Default::default()
    });
    let booking = Booking::new(Duration::from_secs(4));
    let (entry, copy) = (system.callers_address(0), booking.clone());
    let sent = tokio::spawn(async move { copy.send(entry).await });
    wait_until("the execution", || async {
        system.executions_of_key(&booking.key) == 1
    })
    .await;
    system.zones[0].entry.signal(Signal::SIGTERM);
    // Without a quorum the answer is recorded only after the caller has received it.
    for zone in [1, 2] {
        system.zones[zone].control.signal(Signal::SIGSTOP);
    }
    let answer = sent.await.unwrap().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    // Longer than the daemon needs to exit once no request is in flight.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for zone in [1, 2] {
        system.zones[zone].control.signal(Signal::SIGCONT);
    }
    wait_ended(&mut system, 0).await;
    let entry = system.callers_address(1);
    wait_until("the recorded answer", || async {
        let resent = booking.send(entry).await;
        resent.is_some_and(|resent| {
            assert_ne!(resent.refusal().1, "unknown_outcome", "{resent:?}");
            resent.is_replayed && resent.body == answer.body
        })
    })
    .await;
    assert_eq!(system.executions_of_key(&booking.key), 1);
}

/// Guards against callers that keep using a connection to a daemon that is shutting down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_a_stopping_daemon_close_kept_alive_connections() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut system = System::start_with(slow_tokens()).await;
    let mut long = system.call_settings(&[0], 1, Duration::ZERO);
    long.max_tokens = 200;
    let long = tokio::spawn(run(long));
    let mut stream = tokio::net::TcpStream::connect(system.callers_address(0))
        .await
        .unwrap();
    let request = "POST /v1/pipelines/none HTTP/1.1\r\nhost: entry\r\ncontent-length: 0\r\n\r\n";
    let mut heads = Vec::new();
    for index in 0..2 {
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut buffer = vec![0; 4096];
        let read = stream.read(&mut buffer).await.unwrap();
        heads.push(String::from_utf8_lossy(&buffer[..read]).to_lowercase());
        if index == 0 {
            system.zones[0]
                .entry
                .signal(nix::sys::signal::Signal::SIGTERM);
            // The daemon accepts requests for 1 s after it reports not ready.
            tokio::time::sleep(Duration::from_millis(1500)).await;
        }
    }
    assert!(!heads[0].contains("connection: close"), "{}", heads[0]);
    assert!(heads[1].contains("connection: close"), "{}", heads[1]);
    let read = stream.read(&mut [0; 16]).await.unwrap();
    assert_eq!(read, 0, "the connection is still open");
    assert_all_correct(&long.await.unwrap(), 1);
    wait_ended(&mut system, 0).await;
}
