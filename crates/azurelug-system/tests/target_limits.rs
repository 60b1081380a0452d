//! Tests of gateways and control daemons as real processes with targets that name a limit for the
//! requests of all gateways together.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::limits::RAMP_UP;
use azurelug_system::soak::Options;
use azurelug_system::soak::checker::Checker;
use azurelug_system::soak::crashes::Draft;
use azurelug_system::soak::deployment::Deployment;
use azurelug_system::soak::load::{Answer, Load, Pace};
use azurelug_system::soak::plan::Fault;
use azurelug_system::soak::targets::Behaviour;
use azurelug_types::rate::Rate;
use tokio::time::sleep;

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

/// Starts one client for each gateway, which sends a request every `interval`.
fn start_load(deployment: &Deployment, path: &'static str, interval: Duration) -> Load {
    start_load_at(&[], deployment, path, interval)
}

/// Starts clients for some of the gateways.
fn start_load_at(
    gateways: &[usize],
    deployment: &Deployment,
    path: &'static str,
    interval: Duration,
) -> Load {
    let pace = Pace {
        gateways,
        interval,
        seed: 0,
        repeats: 0,
    };
    Load::start(deployment, pace, move |_| Draft::post(path, String::new()))
}

/// Stops the clients and returns the whole answers. A gateway that is killed gives none.
async fn close(load: Load) -> Vec<Answer> {
    let answers = load.close().await.into_iter();
    answers.filter(|answer| answer.is_whole).collect()
}

fn by_status(answers: &[Answer]) -> HashMap<u16, usize> {
    let mut counts = HashMap::new();
    for status in answers.iter().filter_map(|answer| answer.status) {
        *counts.entry(status).or_default() += 1;
    }
    counts
}

/// Number of refused requests by the reason that the gateways logged.
fn refusals(deployment: &Deployment) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in deployment.gateway_logs().lines() {
        let refused = line.split_once(" refused: ").map(|(_, rest)| rest);
        if let Some((reason, _)) = refused.and_then(|rest| rest.split_once("; route=")) {
            *counts.entry(reason.to_owned()).or_default() += 1;
        }
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
    let answers = close(load).await;
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
    let load = start_load(&deployment, "/look/x", Duration::from_millis(60));
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
    let load = start_load(&deployment, "/look/x", Duration::from_millis(60));
    sleep(Duration::from_secs(1)).await;
    deployment.set_limit("desk-a", rate(1.0));
    sleep(Duration::from_secs(5)).await;
    deployment.set_limit("desk-a", None);
    // The first answer without the limit, two polls and an exchange of the control daemons.
    sleep(Duration::from_secs(2) + RAMP_UP).await;
    let later = start_load(&deployment, "/look/x", Duration::from_millis(60));
    sleep(Duration::from_secs(2)).await;
    let answers = close(later).await;
    close(load).await;
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
    let load = start_load(&deployment, "/chat/x", Duration::from_millis(150));
    sleep(Duration::from_secs(1)).await;
    let outcome = limit_targets(&deployment, load, &["encode-a"], 3.0).await;
    assert!(outcome.used > 0, "the limited target got no calls");
    let statuses = outcome.statuses;
    let served = statuses.get(&200).copied().unwrap_or_default();
    assert!(
        served * 10 >= outcome.answers.len() * 9,
        "{statuses:?}, refused because of {:?}",
        refusals(&deployment)
    );
}

/// Guards against a pool whose limited targets together serve much less than their limits allow,
/// and against requests that wait for a limited target instead of being refused with the time at
/// which there is room.
#[tokio::test(flavor = "multi_thread")]
async fn a_pool_of_limited_targets_serves_the_sum_of_their_limits() {
    let deployment = Deployment::start(&options(9002), Arc::default()).await;
    let load = start_load(&deployment, "/look/x", Duration::from_millis(120));
    let targets = ["desk-a", "desk-b", "desk-c"];
    let outcome = limit_targets(&deployment, load, &targets, 5.0).await;
    let (used, allowed) = (outcome.used, 15.0 * outcome.seconds);
    assert!(used as f64 >= 0.8 * allowed, "{used} of {allowed:.1}");
    for refused in outcome
        .answers
        .iter()
        .filter(|answer| answer.status != Some(200))
    {
        assert_eq!(refused.status, Some(503));
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
    let load = start_load_at(&used, &deployment, "/look/x", Duration::from_millis(100));
    deployment.set_limit("desk-a", rate(1.0));
    sleep(LEARNING_TIME).await;
    for gateway in [0, 3] {
        let fault = Fault::KillGateway(gateway);
        deployment.start_fault(&fault);
        sleep(Duration::from_millis(500)).await;
        deployment.end_fault(&fault).await;
        sleep(Duration::from_secs(5)).await;
    }
    let answers = close(load).await;
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
