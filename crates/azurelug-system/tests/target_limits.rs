//! Tests of gateways and control daemons as real processes with targets that name a limit for the
//! requests of all gateways together.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_core::gateway::limits::RAMP_UP;
use azurelug_http::h1::client::Connection;
use azurelug_system::soak::Options;
use azurelug_system::soak::checker::Checker;
use azurelug_system::soak::deployment::Deployment;
use azurelug_system::soak::plan::Fault;
use azurelug_system::soak::targets::Behaviour;
use azurelug_types::rate::Rate;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

/// How long the targets name their limits.
const LIMITED_TIME: Duration = Duration::from_secs(12);

/// Time until all gateways have been answered by a target that names a limit.
const LEARNING_TIME: Duration = Duration::from_secs(4);

fn rate(per_second: f64) -> Option<Rate> {
    Rate::from_per_second(per_second)
}

fn options(seed: u64) -> Options {
    Options {
        seed,
        gateways_per_zone: 2,
        ..Options::default()
    }
}

/// An answer that a client received.
#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    target: Option<String>,
    retry_after: Option<f64>,
    elapsed: Duration,
}

/// Clients that send requests at a steady rate through all gateways.
struct Load {
    answers: Arc<Mutex<Vec<Answer>>>,
    clients: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Load {
    /// Starts one client for each gateway, which sends a request every `interval`.
    fn start(deployment: &Deployment, path: &'static str, interval: Duration) -> Self {
        let all: Vec<usize> = (0..deployment.gateways().len()).collect();
        Self::start_at(&all, deployment, path, interval)
    }

    /// Starts clients for some of the gateways.
    fn start_at(
        used: &[usize],
        deployment: &Deployment,
        path: &'static str,
        interval: Duration,
    ) -> Self {
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let stop = watch::Sender::new(false);
        let gateways = deployment.gateways().into_iter().enumerate();
        let gateways = gateways.filter(|(gateway, _)| used.contains(gateway));
        let clients = gateways.map(|(gateway, address)| {
            let (answers, checker) = (Arc::clone(&answers), deployment.checker());
            let mut stop = stop.subscribe();
            tokio::spawn(async move {
                let mut ticks = tokio::time::interval(interval);
                let mut requests = JoinSet::new();
                for number in 0_u64.. {
                    tokio::select! {
                        _ = ticks.tick() => {}
                        _ = stop.wait_for(|is_stopped| *is_stopped) => break,
                    }
                    let id = format!("load-{gateway}-{number}");
                    let (answers, checker) = (Arc::clone(&answers), Arc::clone(&checker));
                    requests.spawn(async move {
                        // A gateway that is killed gives no answer.
                        let Some(answer) = send(gateway, address, &id, path, &checker).await else {
                            return;
                        };
                        answers.lock().unwrap().push(answer);
                    });
                }
                requests.join_all().await;
            })
        });
        Self {
            clients: clients.collect(),
            answers,
            stop,
        }
    }

    /// Stops the clients, waits for their last answers and returns all.
    async fn close(self) -> Vec<Answer> {
        self.stop.send_replace(true);
        for client in self.clients {
            client.await.unwrap();
        }
        self.answers.lock().unwrap().clone()
    }
}

async fn send(
    gateway: usize,
    address: SocketAddr,
    id: &str,
    path: &str,
    checker: &Checker,
) -> Option<Answer> {
    let sent = Instant::now();
    checker.limits.record_sent(id, gateway);
    let request = Request::post(path)
        .header("host", "carts.example")
        .header("authorization", "Bearer key-1")
        .header("x-request-attempt-id", id)
        .header("x-deadline-milliseconds", "4000")
        .header("x-pieces", "2,3")
        .header("x-piece-key", "k")
        .body(Full::new(Bytes::from_static(b"a body")))
        .unwrap();
    let limit = Duration::from_secs(5);
    let mut connection = Connection::open(address, limit, limit).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let text = |name: &str| parts.headers.get(name).and_then(|it| it.to_str().ok());
    if let Some(target) = text("x-instance-id")
        && parts.headers.contains_key("server-limit")
    {
        checker.limits.record_told(target, gateway);
    }
    let answer = Answer {
        status: parts.status.as_u16(),
        target: text("x-instance-id").map(str::to_owned),
        retry_after: text("retry-after").and_then(|it| it.parse().ok()),
        elapsed: sent.elapsed(),
    };
    body.collect().await.ok()?;
    Some(answer)
}

fn by_status(answers: &[Answer]) -> HashMap<u16, usize> {
    let mut counts = HashMap::new();
    for answer in answers {
        *counts.entry(answer.status).or_default() += 1;
    }
    counts
}

/// What happened while targets named limits.
struct Outcome {
    answers: Vec<Answer>,
    statuses: HashMap<u16, usize>,
    /// Requests of informed gateways, after [`LEARNING_TIME`].
    used: usize,
    /// Seconds in which these were counted.
    seconds: f64,
}

/// Has targets name a limit for [`LIMITED_TIME`], and checks that none gets more than it allows.
async fn limit_targets(
    deployment: &Deployment,
    load: Load,
    targets: &[&str],
    per_second: f64,
) -> Outcome {
    let checker = deployment.checker();
    for target in targets {
        deployment.set_limit(target, rate(per_second));
    }
    let start = checker.limits.now() + LEARNING_TIME;
    sleep(LIMITED_TIME).await;
    let end = checker.limits.now();
    let answers = load.close().await;
    let statuses = by_status(&answers);
    let violations = checker.limits.violations();
    assert_eq!(violations, [] as [String; 0], "{statuses:?}");
    let counts = targets
        .iter()
        .map(|it| checker.limits.count(it, start, end));
    let (used, seconds) = (counts.sum(), (end - start).as_secs_f64());
    let allowed = per_second * targets.len() as f64 * seconds;
    println!("used {used} of {allowed:.1} requests that the limits allow; {statuses:?}");
    Outcome {
        answers,
        statuses,
        used,
        seconds,
    }
}

/// Guards against gateways that each keep a limit which holds for all of them together, or that
/// ignore it, and against requests that are refused although other targets have room.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_together_exceed_no_limit_that_a_target_names() {
    let deployment = Deployment::start(&options(9001), Arc::default()).await;
    let load = Load::start(&deployment, "/look/x", Duration::from_millis(60));
    sleep(Duration::from_secs(1)).await;
    let outcome = limit_targets(&deployment, load, &["desk-a"], 2.2).await;
    let statuses = outcome.statuses;
    assert!(
        statuses.keys().all(|status| *status == 200),
        "targets without a limit had room: {statuses:?}"
    );
    assert!(outcome.used > 0, "the limited target got nothing");
}

/// Guards against a limit that gateways keep after the target has ended it.
#[tokio::test(flavor = "multi_thread")]
async fn all_gateways_use_a_target_again_when_its_limit_ends() {
    let checker = Arc::new(Checker::default());
    let deployment = Deployment::start(&options(9003), Arc::clone(&checker)).await;
    let load = Load::start(&deployment, "/look/x", Duration::from_millis(60));
    sleep(Duration::from_secs(1)).await;
    deployment.set_limit("desk-a", rate(1.0));
    sleep(Duration::from_secs(5)).await;
    deployment.set_limit("desk-a", None);
    // The first answer without the limit, two polls and an exchange of the control daemons.
    sleep(Duration::from_secs(2) + RAMP_UP).await;
    let later = Load::start(&deployment, "/look/x", Duration::from_millis(60));
    sleep(Duration::from_secs(2)).await;
    let answers = later.close().await;
    load.close().await;
    let used = answers
        .iter()
        .filter(|it| it.target.as_deref() == Some("desk-a"));
    let (used, all) = (used.count(), answers.len());
    // A third of the gateways are in its zone.
    assert!(used * 4 >= all, "{used} of {all} answers are the target's");
}

/// Guards against calls for pieces, and releases of results, that exceed a limit.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_dispatchers_exceed_no_limit_that_a_target_names() {
    let deployment = Deployment::start(&options(9004), Arc::default()).await;
    let load = Load::start(&deployment, "/chat/x", Duration::from_millis(150));
    sleep(Duration::from_secs(1)).await;
    let outcome = limit_targets(&deployment, load, &["encode-a"], 3.0).await;
    assert!(outcome.used > 0, "the limited target got no calls");
    let statuses = outcome.statuses;
    let served = statuses.get(&200).copied().unwrap_or_default();
    assert!(served * 10 >= outcome.answers.len() * 9, "{statuses:?}");
}

/// Guards against a pool whose limited targets together serve much less than their limits allow,
/// and against requests that wait for a limited target instead of being refused with the time at
/// which there is room.
#[tokio::test(flavor = "multi_thread")]
async fn a_pool_of_limited_targets_serves_the_sum_of_their_limits() {
    let deployment = Deployment::start(&options(9002), Arc::default()).await;
    let load = Load::start(&deployment, "/look/x", Duration::from_millis(120));
    let targets = ["desk-a", "desk-b", "desk-c"];
    let outcome = limit_targets(&deployment, load, &targets, 5.0).await;
    let (used, allowed) = (outcome.used, 15.0 * outcome.seconds);
    assert!(used as f64 >= 0.8 * allowed, "{used} of {allowed:.1}");
    for refused in outcome.answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(refused.status, 503);
        assert!(refused.retry_after.is_some_and(|after| after > 0.0));
        // A third of the route's latency objective of 1 s, and time for the processes.
        assert!(refused.elapsed < Duration::from_millis(800), "{refused:?}");
    }
}

/// Guards against a restarted gateway that grants permits for a limit as if the target had none,
/// because the other gateways were told the limit before its start.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_gateway_ends_no_limit() {
    let checker = Arc::new(Checker::default());
    let mut deployment = Deployment::start(&options(9005), Arc::clone(&checker)).await;
    for target in ["desk-b", "desk-c"] {
        deployment.set_behaviour(target, Behaviour::Full);
    }
    // The gateways of the target's zone, one of which grants the permits, get no requests.
    let used = [1, 2, 4, 5];
    let load = Load::start_at(&used, &deployment, "/look/x", Duration::from_millis(100));
    deployment.set_limit("desk-a", rate(1.0));
    sleep(LEARNING_TIME).await;
    for gateway in [0, 3] {
        let fault = Fault::KillGateway(gateway);
        deployment.start_fault(&fault);
        sleep(Duration::from_millis(500)).await;
        deployment.end_fault(&fault).await;
        sleep(Duration::from_secs(5)).await;
    }
    let answers = load.close().await;
    let statuses = by_status(&answers);
    let logs = deployment.gateway_logs();
    let ended = logs.lines().filter(|line| {
        line.contains("has ended, as other") || line.contains("names no limit any more")
    });
    assert_eq!(ended.collect::<Vec<_>>(), [] as [&str; 0]);
    assert_eq!(
        checker.limits.violations(),
        [] as [String; 0],
        "{statuses:?}"
    );
}
