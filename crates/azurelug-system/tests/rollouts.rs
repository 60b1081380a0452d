//! Tests of roll-outs with real processes.
#![allow(clippy::unwrap_used)]

#[path = "support/rollout_deployment.rs"]
mod rollout_deployment;

use std::time::{Duration, Instant};

use azurelug_system::process::Process;
use bytes::Bytes;
use http::Method;
use nix::sys::signal::Signal;
use rollout_deployment::{ANSWER_TIME, Deployment, Fault, Received, status};
use serde_json::Value;
use tokio::time::sleep;

/// Duration of the roll-outs in seconds.
const DURATION_S: f64 = 12.0;

/// Time within which a bad version must be rolled back, as in the settings.
const ROLLBACK: Duration = Duration::from_secs(5);

/// Number of bad answers from which that time counts.
const BAD_ANSWERS: usize = 50;

/// Answers that clients get after the end of a roll-out.
const LATER_ANSWERS: usize = 60;

async fn started(fault: Fault) -> Deployment {
    order(Deployment::start(true).await, fault).await
}

/// Orders a roll-out of a version with this fault.
async fn order(deployment: Deployment, fault: Fault) -> Deployment {
    deployment.set_fault(fault);
    deployment.start_load();
    deployment
        .wait_gateways("v1 is allowed", |row| row["allowed"][0] == "v1")
        .await;
    deployment.add_targets("v2").await;
    deployment.start_rollout("v2", DURATION_S).await;
    deployment
}

/// Checks, until gateways follow the step in which half of the calls may go to the new version or the
/// roll-out ends, that calls and releases at targets of the new version stay within the exposure bound
/// of the calls to the service since the first one to the new version.
async fn check_exposure_of_calls(deployment: &Deployment) {
    let mut checked = Vec::new();
    while deployment.state(0).await.is_none_or(|it| it.0 == "running") {
        let arrivals = deployment.arrivals();
        // Read after the arrivals, so that these were sent in an earlier step.
        if let Some(policies) = deployment.policies().await {
            let is_past = |policy: &Value| policy["step"] == "half" || policy["step"] == "full";
            if policies.iter().any(is_past) {
                break;
            }
            checked = arrivals;
        }
        sleep(Duration::from_millis(30)).await;
    }
    let is_new = |it: &&Received| it.version == "v2";
    let first = checked.iter().position(|it| is_new(&it));
    let first = first.expect("the new version gets calls before it is judged");
    let (mut calls, mut sent) = (0, 0);
    for arrival in &checked[first..] {
        calls += usize::from(!arrival.is_release);
        sent += usize::from(is_new(&arrival));
        let log = || deployment.log();
        assert!(sent <= calls / 10 + 50, "{sent} of {calls}\n{}", log());
    }
}

/// Waits for the roll-back, and checks that the bad version got no more than the exposure bound and
/// gets nothing afterwards.
async fn check_rolled_back(deployment: &Deployment) {
    deployment.wait_state(1, "rolled_back").await;
    deployment
        .wait_gateways("v2 is rejected", |row| row["rejected"][0] == "v2")
        .await;
    // Requests that were sent before have been answered by then.
    deployment.wait_answers(LATER_ANSWERS).await;
    let (sent, failures) = deployment.received("v2");
    deployment.wait_answers(LATER_ANSWERS).await;
    assert_eq!(
        deployment.received("v2").0,
        sent,
        "sent after the roll-back"
    );
    assert!(
        sent > 0,
        "the version was never tried\n{}",
        deployment.log()
    );
    let bound = (sent + deployment.received("v1").0) / 10 + 50;
    let log = deployment.log();
    assert!(sent <= bound, "{sent} of {bound}, {failures} failed\n{log}");
}

/// Guards against a good version that is not completed, against requests that fail because of the
/// roll-out, and against an old target that gets requests after it may have been stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_gets_all_requests_and_no_request_fails() {
    let deployment = started(Fault::None).await;
    assert_eq!(deployment.state(1).await.unwrap().1, "v2");
    deployment.wait_state(0, "completed").await;
    let old = deployment.received("v1").0;
    deployment.wait_answers(LATER_ANSWERS).await;
    let log = deployment.log();
    assert_eq!(
        deployment.received("v1").0,
        old,
        "sent after the end\n{log}"
    );
    let failed = deployment
        .statuses()
        .iter()
        .filter(|it| **it != 200)
        .count();
    assert_eq!(failed, 0, "{}", deployment.log());
}

/// Guards against a good version of a stage that gets more calls than the exposure bound before it is
/// judged or is not completed in time, against pieces that only one version runs during the roll-out,
/// against calls and releases at the old version after the end, and against requests that fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_of_a_stage_gets_all_pieces_and_no_request_fails() {
    let deployment = order(Deployment::start_stages().await, Fault::None).await;
    let (ordered, before) = (Instant::now(), deployment.received("v1").0);
    check_exposure_of_calls(&deployment).await;
    deployment.wait_state(0, "completed").await;
    let elapsed = ordered.elapsed().as_secs_f64();
    let old = deployment.received("v1").0;
    let new = deployment.received("v2").0;
    let log = deployment.log();
    assert!(elapsed <= DURATION_S, "completed after {elapsed} s\n{log}");
    assert!(old > before && new > 0, "{} and {new}", old - before);
    deployment.wait_answers(LATER_ANSWERS).await;
    let log = deployment.log();
    let later = deployment.received("v1").0 - old;
    assert_eq!(later, 0, "sent after the end\n{log}");
    assert!(deployment.received("v2").0 > new, "{log}");
    let statuses = deployment.statuses();
    let failed = statuses.iter().filter(|it| **it != 200).count();
    assert_eq!(failed, 0, "of {}\n{log}", statuses.len());
}

/// Waits for the roll-back of a bad version of a stage, and checks its calls until then and later.
async fn check_rolled_back_stage(deployment: &Deployment) {
    check_exposure_of_calls(deployment).await;
    deployment.wait_state(0, "rolled_back").await;
    deployment
        .wait_gateways("v2 is rejected", |row| row["rejected"][0] == "v2")
        .await;
    // Calls that were sent before have arrived by then.
    deployment.wait_answers(LATER_ANSWERS).await;
    let sent = deployment.received("v2").0;
    // Gateways without a new policy would go on for this long, and a release may be late.
    sleep(ROLLBACK).await;
    deployment.wait_answers(LATER_ANSWERS).await;
    let log = deployment.log();
    let later = deployment.received("v2").0 - sent;
    assert_eq!(later, 0, "sent after the roll-back\n{log}");
    let mut arrivals = deployment.arrivals();
    arrivals.retain(|it| it.version == "v2");
    let mut bad = arrivals.iter().filter(|it| it.is_failed);
    if let (Some(fiftieth), Some(last)) = (bad.nth(BAD_ANSWERS - 1), arrivals.last()) {
        let late = last.at - fiftieth.at;
        assert!(late <= ROLLBACK + ANSWER_TIME, "{late:?}\n{log}");
    }
}

/// Guards against a version of a stage that keeps its calls although half of them fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_of_a_stage_whose_calls_fail_half_the_time_is_rolled_back() {
    let deployment = order(Deployment::start_stages().await, Fault::After(0)).await;
    check_rolled_back_stage(&deployment).await;
}

/// Guards against a version of a stage whose calls all fail, so that its targets get few calls, and
/// which is completed for want of evidence.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_of_a_stage_whose_calls_all_fail_is_rolled_back() {
    let deployment = order(Deployment::start_stages().await, Fault::Always).await;
    check_rolled_back_stage(&deployment).await;
}

/// Guards against a version that keeps its traffic although half of its answers fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_at_once_is_rolled_back() {
    check_rolled_back(&started(Fault::After(0)).await).await;
}

/// Guards against failures that begin after a number of good answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_later_is_rolled_back() {
    check_rolled_back(&started(Fault::After(25)).await).await;
}

/// Guards against failures of one route that the good answers of another one hide.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_fails_on_one_route_is_rolled_back() {
    check_rolled_back(&started(Fault::OnPath("/find/x")).await).await;
}

/// Guards against a version that answers several times slower.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_version_is_rolled_back() {
    check_rolled_back(&started(Fault::Slow).await).await;
}

/// Guards against a roll-out that ends with its leader, and against an order that is refused or
/// starts anew when another daemon gets it, also while one daemon is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_goes_on_when_its_leader_is_killed() {
    let mut deployment = Deployment::start(true).await;
    deployment.start_load();
    deployment.add_targets("v2").await;
    let leader = deployment.leader().await.unwrap();
    let (cut, other) = ((leader + 1) % 3, (leader + 2) % 3);
    deployment.controls[cut].signal(Signal::SIGSTOP);
    let order = async || deployment.order(other, "v2", DURATION_S).await == Some(200);
    deployment.until("the order is acknowledged", order).await;
    deployment.controls[cut].signal(Signal::SIGCONT);
    let order = async || deployment.order(cut, "v2", DURATION_S).await == Some(200);
    deployment.until("its repeat is acknowledged", order).await;
    let refused = deployment.order(other, "v3", DURATION_S).await;
    assert_eq!(refused, Some(409));
    deployment
        .wait_gateways("the canary", |row| row["step"] == "canary")
        .await;
    deployment.controls[leader].kill();
    deployment.wait_state(other, "completed").await;
    assert_eq!(deployment.state(cut).await.unwrap().1, "v2");
}

/// Guards against an acknowledged order that is lost when all control daemons are killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_survives_the_loss_of_all_control_daemons() {
    let mut deployment = started(Fault::None).await;
    deployment.controls.iter_mut().for_each(Process::kill);
    deployment.controls.iter_mut().for_each(Process::start);
    deployment.wait_state(2, "completed").await;
    assert_eq!(deployment.state(2).await.unwrap().1, "v2");
}

/// Guards against a version that keeps its traffic after an operator has ended the roll-out, and
/// against invalid orders that are accepted.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_can_end_a_roll_out_and_an_invalid_order_is_refused() {
    let deployment = started(Fault::None).await;
    let at = deployment.operators[2];
    for body in [
        r#"{"service":"none","target":"v2","duration_s":12}"#,
        r#"{"service":"desk","target":"","duration_s":12}"#,
        r#"{"service":"desk","target":"a b","duration_s":12}"#,
        r#"{"service":"desk","target":"v2","duration_s":0}"#,
        r#"{"service":"desk","target":"v2","duration_s":-1}"#,
        r#"{"service":"desk","target":"v2","duration_s":"12"}"#,
        r#"{"service":"desk"}"#,
    ] {
        let refused = status(at, Method::POST, "/rollouts", &Bytes::from(body)).await;
        assert_eq!(refused, Some(400), "{body}");
    }
    let end = async || {
        let ended = status(at, Method::DELETE, "/rollouts/desk", &Bytes::new()).await;
        ended == Some(200)
    };
    deployment.until("the end is acknowledged", end).await;
    assert_eq!(deployment.state(0).await.unwrap().0, "rolled_back");
    check_rolled_back_without_sends(&deployment).await;
}

async fn check_rolled_back_without_sends(deployment: &Deployment) {
    deployment
        .wait_gateways("v2 is rejected", |row| row["rejected"][0] == "v2")
        .await;
    deployment.wait_answers(LATER_ANSWERS).await;
    let sent = deployment.received("v2").0;
    deployment.wait_answers(LATER_ANSWERS).await;
    assert_eq!(deployment.received("v2").0, sent, "sent after the end");
}

/// Guards against roll-outs in a deployment whose settings hold no bounds for them, and against a new
/// version that is held back there.
#[tokio::test(flavor = "multi_thread")]
async fn without_bounds_there_are_no_roll_outs_and_all_versions_are_used() {
    let deployment = Deployment::start(false).await;
    deployment.start_load();
    deployment.add_targets("v2").await;
    assert_eq!(deployment.order(0, "v2", DURATION_S).await, Some(404));
    let used = async || deployment.received("v2").0 > 20;
    deployment.until("the new targets are used", used).await;
}
