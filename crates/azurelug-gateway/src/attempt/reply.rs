//! Sends a request to one target and reads the start of its answer.

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::events::{Event, Splitter};
use azurelug_core::gateway::fleet::Outcome;
use azurelug_http::h1::client::{self, Connection};
use azurelug_platform::target::{self, Head, SystemHeaders, Verdict};
use azurelug_types::deployment::{RequestKind, Target};
use azurelug_types::id::AccountName;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::{Answer, BufferedAnswer, Stream};
use crate::exchange::Exchange;
use crate::gateway::{SendKind, Slot};
use crate::incoming;
use crate::memory::Held;
use crate::quarantine::{self, Progress};
use crate::upstream::Acquired;

/// Largest answer that is buffered in full.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// What is sent to one target.
pub(super) struct Attempt<'a> {
    /// The target.
    pub(super) target: Target,
    /// When the slot at the target was reserved.
    pub(super) reserved_at: Duration,
    /// Handles of the stage results.
    pub(super) inputs: &'a [String],
    /// Number of the last event that was delivered to the client.
    pub(super) last_event: Option<u64>,
    /// Splits the answer into events.
    pub(super) splitter: Splitter,
    /// Why the request is sent.
    pub(super) kind: SendKind,
    /// Evidence about the request's prompt parts.
    pub(super) progress: Arc<Progress>,
}

impl Attempt<'_> {
    fn record_crash(&self, exchange: &Exchange) {
        quarantine::record_crash(exchange, &self.target.name, &self.progress);
    }
}

/// What a target returned.
pub(super) enum Reply {
    Whole(BufferedAnswer),
    Stream(Box<StreamStart>),
    NotRun(StatusCode),
    WrongTarget,
    Unreachable,
    /// The connection failed.
    ConnectionFailed(&'static str),
    /// The answer is invalid.
    Unusable(&'static str),
}

/// A stream that has been read up to its first event.
pub(super) struct StreamStart {
    pub(super) connection: Connection,
    pub(super) idle: Option<Duration>,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) splitter: Splitter,
    pub(super) held: Held,
    pub(super) first: Option<Event>,
    pub(super) is_ended: bool,
    pub(super) is_framed: bool,
}

/// Sends the request to one target and reads the answer; a stream only up to its first event.
pub(super) async fn send(exchange: &Exchange, attempt: Attempt<'_>) -> Reply {
    let upstream = &exchange.gateway.upstream;
    let at_most_once = exchange.route.kind == RequestKind::AtMostOnce;
    let mut acquired = match upstream.acquire(&attempt.target, at_most_once).await {
        Ok(acquired) => acquired,
        Err(error) => return connect_failed(exchange, &error),
    };
    loop {
        let gateway = &exchange.gateway;
        gateway.log_limited_send(&attempt.target.name, attempt.kind, &exchange.id);
        let request = request(exchange, &attempt);
        let error = match acquired.connection.send(request).await {
            Ok(response) => {
                return read_reply(exchange, attempt, acquired, response).await;
            }
            Err(error) => error,
        };
        if error.is_ended_by_server() {
            attempt.record_crash(exchange);
        }
        if !(error.is_unsent() && acquired.is_reused) {
            log::info!(
                "gateway: request {} at {}: {error}",
                exchange.id,
                attempt.target.name
            );
            return if error.is_unsent() {
                Reply::Unreachable
            } else {
                Reply::ConnectionFailed("the connection failed")
            };
        }
        // The reused connection was already closed, and nothing was sent.
        acquired = match upstream.open(&attempt.target).await {
            Ok(acquired) => acquired,
            Err(error) => return connect_failed(exchange, &error),
        };
    }
}

fn connect_failed(exchange: &Exchange, error: &client::Error) -> Reply {
    log::info!("gateway: request {}: {error}", exchange.id);
    Reply::Unreachable
}

fn request(exchange: &Exchange, attempt: &Attempt<'_>) -> Request<Full<Bytes>> {
    let system_headers = SystemHeaders {
        target: &attempt.target,
        time_left: exchange.time_left(),
        account: exchange.account.as_ref().map(AccountName::as_str),
        inputs: Some(attempt.inputs),
        last_event: attempt.last_event,
    };
    target::request(&exchange.parts, exchange.body.clone(), &system_headers)
}

async fn read_reply(
    exchange: &Exchange,
    attempt: Attempt<'_>,
    acquired: Acquired,
    response: Response<Incoming>,
) -> Reply {
    let Acquired {
        connection,
        is_reused,
    } = acquired;
    let (parts, body) = response.into_parts();
    let head = Head::read(parts.status, &parts.headers, &exchange.id);
    let notice = match head.verdict {
        Verdict::Answered => head.notice,
        // A refusal need not name the limit.
        _ => head.notice.without_limit_end(),
    };
    let sent = attempt.reserved_at;
    let gateway = &exchange.gateway;
    gateway.apply_notice(&attempt.target.name, notice, sent);
    match head.verdict {
        Verdict::Unusable => {
            return Reply::Unusable("the answer is not this request's");
        }
        Verdict::NotRun | Verdict::WrongTarget if is_reused && !head.has_request_id => {
            return Reply::Unusable("the refusal may be a copy of an earlier one");
        }
        Verdict::Answered
            if head.status == StatusCode::OK && target::is_event_stream(&parts.headers) =>
        {
            let stream = (connection, parts.headers, body);
            return read_first_event(exchange, attempt, stream, &head).await;
        }
        _ => {}
    }
    let body = match incoming::read(&exchange.memory, body, MAX_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            let name = &attempt.target.name;
            log::info!("gateway: request {} at {name}: {error}", exchange.id);
            if head.verdict == Verdict::Answered && error.is_ended_by_server() {
                attempt.record_crash(exchange);
            }
            return match head.verdict {
                Verdict::NotRun => Reply::NotRun(head.status),
                Verdict::WrongTarget => Reply::WrongTarget,
                _ => Reply::Unusable("the answer is not whole"),
            };
        }
    };
    let upstream = &exchange.gateway.upstream;
    upstream.put_back_when_ready(&attempt.target.name, connection, head.idle_timeout);
    match head.verdict {
        Verdict::NotRun => Reply::NotRun(head.status),
        Verdict::WrongTarget => Reply::WrongTarget,
        _ => Reply::Whole(BufferedAnswer {
            status: head.status,
            headers: parts.headers,
            body,
        }),
    }
}

/// Reads a stream up to its first event.
async fn read_first_event(
    exchange: &Exchange,
    mut attempt: Attempt<'_>,
    (connection, headers, mut body): (Connection, HeaderMap, Incoming),
    head: &Head,
) -> Reply {
    // Without a length or chunks, an end before the first event can't be told from a failure.
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let mut is_ended = false;
    let mut held = Held::empty(&exchange.memory);
    let first = loop {
        if held.grow_to(attempt.splitter.buffered()).await.is_err() {
            return Reply::Unusable("no memory left for the stream");
        }
        match attempt.splitter.next_event() {
            Ok(Some(event)) => break Some(event),
            Ok(None) if is_ended => break None,
            Ok(None) => {}
            Err(_) => return Reply::Unusable("the stream skips an event"),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    attempt.splitter.push(&data);
                }
            }
            Some(Err(error)) => {
                if client::is_ended_by_server(&error) {
                    attempt.record_crash(exchange);
                }
                return Reply::ConnectionFailed("the stream broke off");
            }
            None if attempt.splitter.has_partial() || !is_framed => {
                // A body of known length that ends inside an event is a faulty answer.
                if !is_framed {
                    attempt.record_crash(exchange);
                }
                return Reply::ConnectionFailed("the stream broke off");
            }
            None => is_ended = true,
        }
    };
    Reply::Stream(Box::new(StreamStart {
        connection,
        idle: head.idle_timeout,
        headers,
        body,
        splitter: attempt.splitter,
        held,
        first,
        is_ended,
        is_framed,
    }))
}

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    Answered(Answer),
    /// The target answered with a server error, which may be forwarded to the client.
    Failed(BufferedAnswer),
    /// The target did not run the request.
    NotRun,
    /// Stage results are no longer available; the target did not run the request.
    InputsGone,
    /// The request did not reach the target.
    Unreachable,
    /// No usable answer; the request may have run.
    OutcomeUnknown(&'static str),
}

/// Records the outcome of an attempt in the target's health and releases the slot, unless the
/// answer is a stream, which keeps it.
pub(super) fn outcome(mut slot: Slot, reply: Reply) -> AttemptOutcome {
    let first = slot.elapsed();
    let (sent, outcome) = match reply {
        Reply::Whole(whole) if whole.status.is_server_error() => {
            (AttemptOutcome::Failed(whole), Outcome::Error)
        }
        Reply::Whole(whole) => (
            AttemptOutcome::Answered(Answer::Whole(whole)),
            Outcome::Answered(first),
        ),
        Reply::Stream(start) => {
            slot.set_started(first);
            let stream = Stream {
                slot,
                connection: start.connection,
                idle: start.idle,
                headers: start.headers,
                body: start.body,
                splitter: start.splitter,
                held: start.held,
                first: start.first,
                is_ended: start.is_ended,
                is_framed: start.is_framed,
            };
            return AttemptOutcome::Answered(Answer::Stream(Box::new(stream)));
        }
        Reply::NotRun(StatusCode::CONFLICT) => (AttemptOutcome::InputsGone, Outcome::Unknown),
        Reply::NotRun(_) => (AttemptOutcome::NotRun, Outcome::Full),
        Reply::WrongTarget => (AttemptOutcome::NotRun, Outcome::Gone),
        Reply::Unreachable => (AttemptOutcome::Unreachable, Outcome::Unconnected),
        Reply::ConnectionFailed(reason) => {
            (AttemptOutcome::OutcomeUnknown(reason), Outcome::Unreachable)
        }
        Reply::Unusable(reason) => (AttemptOutcome::OutcomeUnknown(reason), Outcome::Error),
    };
    slot.set_outcome(outcome);
    slot.release();
    sent
}
