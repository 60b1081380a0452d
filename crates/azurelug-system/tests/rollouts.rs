//! Tests of roll-outs with real processes.
#![allow(clippy::unwrap_used)]

#[path = "support/rollout_deployment.rs"]
mod rollout_deployment;

use azurelug_system::process::Process;
use bytes::Bytes;
use http::Method;
use nix::sys::signal::Signal;
use rollout_deployment::{Deployment, Fault, status};

/// Duration of the roll-outs in seconds.
const DURATION_S: f64 = 12.0;

/// Answers that clients get after the end of a roll-out.
const LATER_ANSWERS: usize = 60;

async fn started(fault: Fault) -> Deployment {
    let deployment = Deployment::start(true).await;
    deployment.set_fault(fault);
    deployment.start_load();
    deployment
        .wait_gateways("v1 is allowed", |row| row["allowed"][0] == "v1")
        .await;
    deployment.add_targets("v2").await;
    deployment.start_rollout("v2", DURATION_S).await;
    deployment
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
