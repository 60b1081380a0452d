//! Tests of streams that break off and can't be resumed, because the next target answers with an
//! error.

use std::time::Duration;

use crate::deployment::{Deployment, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    Length,
    Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Chunked, Framing::Length, Framing::Close];

impl Framing {
    /// An answer with a body, of which only the first `sent` bytes are sent.
    fn answer(self, head: &str, body: &str, sent: usize) -> Reply {
        let length = body.len();
        let (sent, is_cut) = (&body[..sent], sent < length);
        let text = match self {
            Self::Chunked => {
                let end = if is_cut { "" } else { "0\r\n\r\n" };
                format!(
                    "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{sent}\r\n{end}",
                    sent.len()
                )
            }
            Self::Length => format!("{head}content-length: {length}\r\n\r\n{sent}"),
            Self::Close => format!("{head}connection: close\r\n\r\n{sent}"),
        };
        Reply {
            parts: vec![text],
            closes: is_cut || self == Self::Close,
        }
    }
}

fn head(status: u16, id: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nx-request-attempt-id: {id}\r\n{fields}")
}

const STREAM: &str = "x-response-signature: s\r\ncontent-type: text/event-stream\r\n";

fn events(from: u64) -> String {
    (from..=6)
        .map(|id| format!("id: {id}\ndata: {id}\n\n"))
        .collect()
}

/// Sends a request and returns everything that the gateway sends until it closes the connection.
async fn read_all(deployment: &Deployment, id: &str) -> String {
    let mut stream = deployment.connect().await.unwrap();
    let head = format!(
        "POST /wire/x HTTP/1.1\r\nHost: carts.example\r\nAuthorization: Bearer key-1\r\n\
         X-Request-Attempt-Id: {id}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // The gateway may reset the connection.
    let read = timeout(Duration::from_secs(8), stream.read_to_end(&mut bytes)).await;
    assert!(read.is_ok(), "{id}: the connection stays open");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends requests until two targets receive one, and returns its answer.
async fn read_resumed(
    deployment: &Deployment,
    number: usize,
    replies: impl Fn(&str) -> [Reply; 2],
) -> String {
    for attempt in 0..40 {
        // Answers credit the budget for repeats, and end the exclusion of targets.
        for _ in 0..8 {
            deployment.request("sound", "/wire/x", &[]).await;
        }
        let id = format!("id-{number}-{attempt}");
        deployment.set_replies(&id, replies(&id));
        let answer = read_all(deployment, &id).await;
        if deployment.received(&id).len() == 2 {
            return answer;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no stream was resumed: {}", deployment.log());
}

/// The data in a chunked answer, and whether the answer is complete.
fn chunked(answer: &str) -> (String, bool) {
    let (head, mut rest) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    assert!(
        head.to_lowercase().contains("transfer-encoding: chunked"),
        "{answer}"
    );
    let mut data = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (data, true);
        }
        data += &after[..size];
        rest = &after[size + 2..];
    }
    (data, false)
}

/// Guards against a client that finds the text of an error in its stream, or a stream that looks
/// complete although its last events are missing.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_that_meets_an_error_ends_visibly_cut() {
    let deployment = Deployment::start().await;
    let not_run = "x-not-executed: 1\r\n";
    let signed = "x-response-signature: s\r\n";
    let plain = "content-type: text/plain\r\n";
    let typed = "content-type: text/event-stream\r\n";
    let mut second: Vec<(u16, String, &str)> = Vec::new();
    for status in [500, 503, 400, 202] {
        for body in ["data: an error\n\n", "id: 4\ndata: an error\n\n"] {
            second.push((status, format!("{signed}{typed}"), body));
            second.push((status, typed.to_owned(), body));
            second.push((status, format!("{not_run}{signed}{typed}"), body));
            second.push((status, format!("{signed}{plain}"), body));
        }
    }
    second.push((200, format!("{signed}{plain}"), "id: 4\ndata: an error\n\n"));
    second.push((200, format!("{signed}{typed}"), "an error\n\n"));
    second.push((
        200,
        format!("{signed}{typed}"),
        "HTTP/1.1 500 an error\r\nserver: x\r\n\r\n",
    ));
    let whole = events(1);
    let begun = whole.find("id: 4").unwrap();
    let mut failures = Vec::new();
    for (number, (status, fields, body)) in second.iter().enumerate() {
        let first_framing = FRAMINGS[number % 3];
        let framing = FRAMINGS[number / 3 % 3];
        let replies = |id: &str| {
            let first = first_framing.answer(&head(200, id, STREAM), &whole, begun + 8);
            [
                first,
                framing.answer(&head(*status, id, fields), body, body.len()),
            ]
        };
        let answer = read_resumed(&deployment, number, replies).await;
        let (data, is_complete) = chunked(&answer);
        if data != whole[..begun] || is_complete {
            failures.push(format!(
                "{status} {framing:?} {fields:?} {body:?}: {answer:?}"
            ));
        }
    }
    let all = second.len();
    assert!(
        failures.is_empty(),
        "{} of {all}: {failures:#?}",
        failures.len()
    );
}

/// Guards against a stream that is not resumed, or with a missing or repeated event, for any framing
/// of its two parts.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_whatever_the_framing_of_its_parts() {
    let deployment = Deployment::start().await;
    let whole = events(1);
    let begun = whole.find("id: 4").unwrap();
    for (number, first) in FRAMINGS.into_iter().enumerate() {
        for (other, second) in FRAMINGS.into_iter().enumerate() {
            let rest = events(3 + other as u64);
            let replies = |id: &str| {
                let head = head(200, id, STREAM);
                let begun = first.answer(&head, &whole, begun + 8);
                [begun, second.answer(&head, &rest, rest.len())]
            };
            let answer = read_resumed(&deployment, number * 3 + other, replies).await;
            let expected = if other > 1 {
                (whole[..begun].to_owned(), false)
            } else {
                (whole.clone(), true)
            };
            assert_eq!(chunked(&answer), expected, "{first:?} {second:?}");
        }
    }
}

/// Guards against an error of a target that is passed on as a success, because its body has the type
/// of an event stream.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_with_the_type_of_a_stream_is_not_passed_on_as_success() {
    let deployment = Deployment::start().await;
    for (number, framing) in FRAMINGS.into_iter().enumerate() {
        for status in [500, 503, 404] {
            let id = format!("id-{number}-{status}");
            let body = "data: an error\n\n";
            let error = framing.answer(&head(status, &id, STREAM), body, body.len());
            deployment.set_replies(&id, [error.clone(), error]);
            let answer = read_all(&deployment, &id).await;
            let line = answer.lines().next().unwrap_or_default();
            let expected = [format!("HTTP/1.1 {status} "), "HTTP/1.1 502 ".to_owned()];
            assert!(
                expected.iter().any(|it| line.starts_with(it)),
                "{framing:?}: {answer}"
            );
        }
    }
}

/// Guards against a client that finds another answer in its stream, because the target writes one
/// before the end of the stream.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_inside_a_stream_is_not_forwarded_as_an_event() {
    let deployment = Deployment::start().await;
    let whole = events(1);
    let begun = &whole[..whole.find("id: 4").unwrap()];
    for (number, framing) in FRAMINGS.into_iter().enumerate() {
        let body = format!("{begun}HTTP/1.1 500 Error\r\ncontent-length: 8\r\n\r\nan error");
        let rest = events(4);
        let replies = |id: &str| {
            let head = head(200, id, STREAM);
            let first = framing.answer(&head, &body, body.len());
            [first, framing.answer(&head, &rest, rest.len())]
        };
        let answer = read_resumed(&deployment, number, replies).await;
        assert_eq!(chunked(&answer), (whole.clone(), true), "{framing:?}");
    }
}
