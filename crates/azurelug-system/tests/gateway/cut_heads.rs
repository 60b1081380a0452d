//! Tests of a gateway with targets whose connection ends inside the head of an answer.

use futures_util::future::join_all;

use crate::deployment::Deployment;
use crate::deployment::kept_client::Expected;
use crate::deployment::scripted::{
    EARLIER_REQUESTS, End, Framing, HeadCut, Kind, Pause, Reply, Script, answer_head, cut_places,
};

const KINDS: [Kind; 5] = [
    Kind::Safe,
    Kind::AtMostOnce,
    Kind::Resumable,
    Kind::NotResumable,
    Kind::Staged,
];

/// What a request meets beside the target that cuts its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    /// The next target answers.
    Answers,
    /// All targets cut their answers.
    Cuts,
    /// A target breaks off the stream before, and another one resumes it.
    Resumes,
    /// A target pauses in the stream, and goes on.
    Pauses,
}

impl Other {
    fn replies(self, cut: Reply) -> Vec<Reply> {
        let run = |pause, end| Reply::Run(Framing::Chunked, pause, end);
        let complete = run(None, End::Complete);
        match self {
            Self::Answers => vec![cut, complete],
            Self::Cuts => vec![cut],
            Self::Resumes => vec![run(None, End::Reset), cut, complete, complete],
            Self::Pauses => vec![run(Some(Pause::BetweenEvents), End::Complete), cut],
        }
    }
}

/// All scripts of a kind with an answer whose head is cut, and what the client must receive.
fn cases(position: usize, kind: Kind) -> Vec<(Script, Expected)> {
    let framings = [Framing::Length, Framing::Chunked, Framing::Unframed];
    let others = match kind {
        Kind::AtMostOnce | Kind::NotResumable => &[Other::Cuts][..],
        Kind::Safe | Kind::Staged => &[Other::Answers, Other::Cuts],
        Kind::Resumable => &[Other::Answers, Other::Cuts, Other::Resumes, Other::Pauses],
    };
    let mut cases = Vec::new();
    for &other in others {
        for is_first in [false, true] {
            // Each kind meets two of the framings, and each place both ends.
            let framing = framings[(position + usize::from(is_first)) % framings.len()];
            let head = answer_head(framing, false, "", 0);
            for place in 0..cut_places(&head).len() {
                let end = [End::Closed, End::Reset][(place + usize::from(is_first)) % 2];
                let cut = Reply::CutHead(HeadCut {
                    framing,
                    place,
                    end,
                    is_first,
                });
                let expected = match (kind, other) {
                    // Without results of the stages the request has not run.
                    (Kind::Staged, _) => Expected::Served,
                    (_, Other::Cuts) => Expected::Incomplete,
                    _ => Expected::Complete,
                };
                let replies = other.replies(cut);
                cases.push((Script { kind, replies }, expected));
            }
        }
    }
    cases
}

/// Checks the answers to requests whose target cuts the head of its answer.
async fn check_kind(position: usize, kind: Kind) {
    let cases = cases(position, kind);
    let deployment = Deployment::start_scripted(&cases).await;
    deployment.check_scripts(&cases).await;
    let (mut reusable, mut reused, mut refused) = (0, 0, 0);
    for (index, (script, _)) in cases.iter().enumerate() {
        let prefix = if kind == Kind::Staged { "call-of-" } else { "" };
        let arrivals = deployment.received(&format!("{prefix}first-{index}"));
        let mut replies = arrivals.iter().zip(&script.replies);
        let cut = replies.find_map(|(arrival, reply)| match reply {
            Reply::CutHead(cut) => Some((cut.is_first, arrival.headers[EARLIER_REQUESTS] == "0")),
            _ => None,
        });
        let Some((must_be_first, is_first)) = cut else {
            // Requests may be refused for their stages' load.
            assert_eq!(
                kind,
                Kind::Staged,
                "no answer was cut: {script:?}: {arrivals:?}"
            );
            refused += 1;
            continue;
        };
        assert!(is_first || !must_be_first, "{script:?}: {arrivals:?}");
        reusable += usize::from(!must_be_first);
        reused += usize::from(!is_first);
    }
    assert!(
        refused <= cases.len() / 4,
        "{refused} requests were refused"
    );
    // The gateway doesn't use a connection that has been idle for some time.
    assert!(
        reused >= reusable / 4,
        "{kind:?}: {reused} of {reusable} connections were reused"
    );
}

/// Guards against a success with an empty or short body in place of an answer whose head is cut.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_head_is_cut_is_not_passed_on_as_success() {
    let kinds = KINDS.into_iter().enumerate();
    join_all(kinds.map(|(position, kind)| check_kind(position, kind))).await;
}
