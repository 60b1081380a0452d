//! Tests of a gateway with sound targets that fall silent for a while and go on, while the only
//! other target refuses, fails or closes the connection.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::deployment::Deployment;
use crate::deployment::kept_client::Expected;
use crate::deployment::scripted::{End, Framing, Kind, Pause, Reply, Script};

const OTHERS: [Reply; 3] = [Reply::Refusal, Reply::Error, Reply::Disconnect];

const UNTIL_FIRST_EVENT: [Pause; 3] = [Pause::BeforeHead, Pause::InHead, Pause::AfterHead];

const IN_BODY: [Pause; 2] = [Pause::BetweenEvents, Pause::InsideEvent];

/// Sends a request to a silent target for each pause and each reply of the other target, and
/// expects the silent target's complete answer.
async fn check_pauses(kind: Kind, pauses: &[Pause]) {
    let silent = |pause| Reply::Run(Framing::Chunked, Some(pause), End::Complete);
    let script = |pause, other| Script {
        kind,
        replies: vec![silent(pause), other],
    };
    let pauses = pauses.iter();
    let scripts = pauses.flat_map(|&pause| OTHERS.map(|other| script(pause, other)));
    let expected = match kind {
        // Without results of the stages the request has not run.
        Kind::Staged => Expected::Served,
        _ => Expected::Complete,
    };
    let cases: Vec<_> = scripts.map(|it| (it, expected)).collect();
    let deployment = Deployment::start_scripted(&cases).await;
    deployment.check_scripts(&cases).await;
}

/// Guards against a stream that is cut off because its sound target paused and the other target,
/// which was to resume it, refused or failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_silent_target_goes_on_is_not_cut_when_another_target_refuses() {
    check_pauses(Kind::Resumable, &IN_BODY).await;
}

/// Guards against a failure instead of the stream of a sound target whose first event is late.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_late_first_event_does_not_fail_when_another_target_refuses() {
    check_pauses(Kind::Resumable, &UNTIL_FIRST_EVENT).await;
}

/// Guards against a failure instead of the answer of a sound target that paused.
#[tokio::test(flavor = "multi_thread")]
async fn a_safe_request_at_a_silent_target_does_not_fail_when_another_target_refuses() {
    check_pauses(Kind::Safe, &[&UNTIL_FIRST_EVENT[..], &IN_BODY].concat()).await;
}

/// Guards against a request without an answer or a refusal because a target of its stage pauses.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_stage_target_pauses_is_served_or_refused() {
    check_pauses(Kind::Staged, &[&UNTIL_FIRST_EVENT[..], &IN_BODY].concat()).await;
}

/// Guards against requests that may run only once and are given up while their target pauses.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_waits_for_its_silent_target() {
    let pauses = [&UNTIL_FIRST_EVENT[..], &IN_BODY].concat();
    check_pauses(Kind::AtMostOnce, &pauses).await;
    check_pauses(Kind::NotResumable, &pauses).await;
}

/// Checks the complete answer to a resumable stream whose targets reply like this.
async fn check_replies(replies: Vec<Reply>) {
    let kind = Kind::Resumable;
    let cases = [(Script { kind, replies }, Expected::Complete)];
    let deployment = Deployment::start_scripted(&cases).await;
    deployment.check_scripts(&cases).await;
}

const fn chunked(pause: Option<Pause>, end: End) -> Reply {
    Reply::Run(Framing::Chunked, pause, end)
}

/// Guards against a stalled stream that more targets fail to resume than the request may run at.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_runs_at_no_more_targets_than_allowed() {
    let stalls = chunked(Some(Pause::Twice), End::Complete);
    check_replies(vec![stalls, Reply::Error, Reply::Error, Reply::Error]).await;
}

/// Guards against attempts to resume a stream that are cancelled and not counted as runs.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_attempts_to_resume_a_stream_are_counted() {
    let stalls = chunked(Some(Pause::Twice), End::Complete);
    let waits = chunked(Some(Pause::BeforeHead), End::Complete);
    let waits_longer = chunked(Some(Pause::Twice), End::Complete);
    check_replies(vec![stalls, waits_longer, waits, waits]).await;
}

/// Guards against a stream that is cut because the target that has room now refused to resume it
/// while the first target was silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refused_may_resume_the_stream_later() {
    let breaks_off = chunked(Some(Pause::BetweenEvents), End::Reset);
    let complete = chunked(None, End::Complete);
    check_replies(vec![breaks_off, Reply::Refusal, complete]).await;
}

/// Guards against an answer without length, chunks and events that is taken for a complete stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_before_its_first_event_is_not_complete() {
    let complete = chunked(None, End::Complete);
    check_replies(vec![Reply::Empty, complete]).await;
    let stalls = chunked(Some(Pause::BetweenEvents), End::Complete);
    check_replies(vec![stalls, Reply::Empty]).await;
}

/// Guards against targets that go on working on a stream that is being resumed after its client has
/// left.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_ends_when_its_client_leaves() {
    let replies = vec![
        chunked(None, End::Reset),
        chunked(Some(Pause::BeforeHead), End::Complete),
    ];
    let kind = Kind::Resumable;
    let cases = [(Script { kind, replies }, Expected::Complete)];
    let deployment = Deployment::start_scripted(&cases).await;
    let mut client = deployment.client().await;
    let asked = client.request("left", "/scripted0/x", &[]);
    let left = timeout(Duration::from_millis(600), asked).await;
    assert!(left.is_err(), "{left:?}");
    drop(client);
    sleep(Duration::from_millis(500)).await;
    let log = deployment.log();
    let mut ends = log.lines().filter(|line| line.contains("request left"));
    let is_ended = ends.any(|line| line.contains("the client disconnected"));
    assert!(is_ended, "{log}");
}

/// Guards against requests that fail because all of their targets pause at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_by_targets_that_all_pause() {
    let pauses = [&UNTIL_FIRST_EVENT[..], &IN_BODY].concat();
    let silent = |framing, pause| Reply::Run(framing, Some(pause), End::Complete);
    let pairs = pauses.iter().flat_map(|&first| {
        let seconds = pauses.iter();
        seconds.map(move |&second| {
            vec![
                silent(Framing::Unframed, first),
                silent(Framing::Chunked, second),
            ]
        })
    });
    let scripts = pairs.flat_map(|replies| {
        [Kind::Safe, Kind::Resumable].map(|kind| Script {
            kind,
            replies: replies.clone(),
        })
    });
    let cases: Vec<_> = scripts.map(|it| (it, Expected::Complete)).collect();
    let deployment = Deployment::start_scripted(&cases).await;
    deployment.check_scripts(&cases).await;
}

/// Guards against a connection that is closed, with a request that may run only once, because its
/// target reads nothing for a while.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_waits_for_a_target_that_pauses_reading() {
    let silent = Reply::Run(Framing::Chunked, Some(Pause::Reading), End::Complete);
    let cases = [Kind::AtMostOnce, Kind::NotResumable].map(|kind| {
        let replies = vec![silent];
        (Script { kind, replies }, Expected::Complete)
    });
    let deployment = Deployment::start_scripted(&cases).await;
    deployment.check_scripts(&cases).await;
}
