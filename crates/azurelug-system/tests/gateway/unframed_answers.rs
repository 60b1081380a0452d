//! Tests of a gateway with targets whose answers end with the connection or are cut.

use crate::deployment::Deployment;
use crate::deployment::kept_client::Expected;
use crate::deployment::scripted::{End, Framing, Kind, Pause, Reply, Script};

const KINDS: [Kind; 4] = [
    Kind::Safe,
    Kind::AtMostOnce,
    Kind::Resumable,
    Kind::NotResumable,
];

const FRAMINGS: [Framing; 4] = [
    Framing::Chunked,
    Framing::Length,
    Framing::Announced,
    Framing::Unframed,
];

/// The framings of an answer that ends with its connection.
const UNTIL_CLOSE: [Framing; 2] = [Framing::Announced, Framing::Unframed];

const fn run(framing: Framing, end: End) -> Reply {
    Reply::Run(framing, None, end)
}

async fn check(cases: Vec<(Script, Expected)>) {
    let deployment = Deployment::start_scripted(&cases).await;
    deployment.check_scripts(&cases).await;
}

/// The ways in which an answer of a kind can be cut so that the gateway can tell: the end of the
/// connection after a part of a body is the regular end if nothing else marks it.
fn cuts(kind: Kind) -> impl Iterator<Item = Reply> {
    let ends = [End::Closed, End::Reset];
    let all = FRAMINGS
        .iter()
        .flat_map(move |&framing| ends.map(|end| (framing, end)));
    let is_cut = move |&(framing, end): &(Framing, End)| {
        kind.is_stream() || end == End::Reset || !UNTIL_CLOSE.contains(&framing)
    };
    all.filter(is_cut).map(|(framing, end)| run(framing, end))
}

/// Guards against answers without length and chunks that are lost or cut off, also after a pause,
/// and against a client's connection that ends with them.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_arrives_whole() {
    let pauses = [
        None,
        Some(Pause::AfterHead),
        Some(Pause::BetweenEvents),
        Some(Pause::InsideEvent),
    ];
    let replies = UNTIL_CLOSE
        .iter()
        .flat_map(|&framing| pauses.map(|pause| Reply::Run(framing, pause, End::Complete)));
    let scripts = replies.flat_map(|reply| {
        let replies = vec![reply, run(Framing::Unframed, End::Complete)];
        KINDS.map(|kind| Script {
            kind,
            replies: replies.clone(),
        })
    });
    check(scripts.map(|it| (it, Expected::Complete)).collect()).await;
}

/// Guards against answers that break off and look complete, and against repeated requests that may
/// run only once.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_does_not_look_complete() {
    let scripts = KINDS.iter().flat_map(|&kind| {
        let replies = move |cut| vec![cut, cut];
        cuts(kind).map(move |cut| Script {
            kind,
            replies: replies(cut),
        })
    });
    check(scripts.map(|it| (it, Expected::Incomplete)).collect()).await;
}

/// Guards against results of a stage that are lost or mixed up because the answer to its call ends
/// with its connection or is cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_call_whose_answer_ends_with_its_connection_or_is_cut_is_completed() {
    let whole = UNTIL_CLOSE.iter().map(|&it| run(it, End::Complete));
    let replies = whole.chain(cuts(Kind::Safe));
    let scripts = replies.flat_map(|reply| {
        [Framing::Chunked, Framing::Unframed].map(|framing| Script {
            kind: Kind::Staged,
            replies: vec![reply, run(framing, End::Complete)],
        })
    });
    check(scripts.map(|it| (it, Expected::Complete)).collect()).await;
}

/// Guards against an answer that is given up although another target may complete it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_is_completed_by_another_target_where_allowed() {
    let scripts = [Kind::Safe, Kind::Resumable].into_iter().flat_map(|kind| {
        let cuts = cuts(kind);
        cuts.flat_map(move |cut| {
            let second = [Framing::Chunked, Framing::Unframed];
            second.map(|framing| Script {
                kind,
                replies: vec![cut, run(framing, End::Complete)],
            })
        })
    });
    check(scripts.map(|it| (it, Expected::Complete)).collect()).await;
}

/// Guards against a stream that looks complete, or contains the text of an error, because the
/// target that was to resume it refused or failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_that_no_target_resumes_does_not_look_complete() {
    let failures = [Reply::Refusal, Reply::Error, Reply::Disconnect];
    let scripts = cuts(Kind::Resumable).flat_map(|cut| {
        failures.map(|failure| Script {
            kind: Kind::Resumable,
            replies: vec![cut, failure],
        })
    });
    check(scripts.map(|it| (it, Expected::Incomplete)).collect()).await;
}
