//! Sends a request to targets until one answers or no further attempt is allowed.

use std::time::Duration;

use azurelug_core::gateway::events::{Event, Splitter};
use azurelug_core::gateway::fleet::{Key, Outcome, SelectionError};
use azurelug_http::h1::client::{self, Connection};
use azurelug_platform::target::{self, Head, SystemHeaders, Verdict};
use azurelug_types::deployment::RequestKind;
use azurelug_types::id::{AccountName, ZoneName};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::exchange::{Exchange, Failure};
use crate::gateway::{SendKind, Slot};
use crate::upstream::Acquired;

/// Largest answer that is buffered in full.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Attempts that may be refused or fail to connect before the request fails. With a quarter of a
/// pool down, one request in four thousand reaches this limit.
const MAX_REFUSALS: u32 = 6;

/// Longest wait for a free slot at a target, as a fraction of the latency objective.
const SLOT_WAIT_FRACTION: f64 = 0.35;

/// Shortest pause until a slot is searched for again.
const MIN_SLOT_PAUSE: Duration = Duration::from_millis(5);

/// Fraction of the latency objective after which a retryable request is sent to another target.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.6;

/// Shortest timeout for a stream's first event: an engine processes a long prompt before it.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest timeout of an attempt whose answer is not a stream.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(60);

/// Below this remaining time no target can answer.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Shortest `Retry-After` of a refusal: about as long as a request occupies a slot.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// An answer that was buffered in full.
#[derive(Debug)]
pub struct BufferedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as the target sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A stream whose first event has arrived.
pub struct Stream {
    /// The reserved slot at the target.
    pub slot: Slot,
    /// The connection to the target.
    pub connection: Connection,
    /// Idle timeout that the target announced for the connection.
    pub idle: Option<Duration>,
    /// The answer's headers.
    pub headers: HeaderMap,
    /// The unread part of the body.
    pub body: Incoming,
    /// Splits the body into events.
    pub splitter: Splitter,
    /// The first event; none if the stream is empty.
    pub first: Option<Event>,
    /// Whether the end of the body has been read.
    pub is_ended: bool,
}

/// An answer of a target.
pub enum Answer {
    /// Buffered in full.
    Whole(BufferedAnswer),
    /// Forwarded event by event.
    Stream(Box<Stream>),
}

/// Outcome of one attempt.
enum AttemptOutcome {
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

/// What a target returned.
enum TargetReply {
    Whole(BufferedAnswer),
    Stream(StreamStart),
    NotRun(StatusCode),
    WrongTarget,
    Unreachable,
    /// The connection failed.
    ConnectionFailed(&'static str),
    /// The answer is invalid.
    Unusable(&'static str),
}

/// A stream that has been read up to its first event.
struct StreamStart {
    connection: Connection,
    idle: Option<Duration>,
    headers: HeaderMap,
    body: Incoming,
    first: Option<Event>,
    is_ended: bool,
}

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Targets that were tried.
    pub tried: Vec<Key>,
    /// Attempts after which the request may have run.
    pub possible_runs: u32,
    /// Attempts that were refused or did not connect.
    pub refusals: u32,
    /// Whether the request has been credited to the service's retry budget.
    pub is_counted: bool,
    /// Whether the request has reached a target, so that each further attempt is a retry.
    pub has_arrived: bool,
    /// Whether a target refused the request because stage results are no longer available.
    pub inputs_gone: bool,
    /// Whether the client has received a part of the stream.
    pub is_resumed: bool,
}

/// Parameters of the attempts of a request.
pub struct AttemptParams<'a> {
    /// Handles of the stage results.
    pub inputs: &'a [String],
    /// Number of the last event that was delivered to the client.
    pub last_event: Option<u64>,
    /// The preferred zone.
    pub zone: &'a ZoneName,
    /// Splits the answer into events; after a resume it continues at the last event.
    pub splitter: Splitter,
    /// Slot for the next attempt, if one is already reserved.
    pub slot: Option<Slot>,
}

/// Sends the request until a target answers.
///
/// # Errors
/// Why there is no answer.
pub async fn run(
    exchange: &Exchange,
    params: AttemptParams<'_>,
    history: &mut AttemptHistory,
) -> Result<Answer, Failure> {
    let result = send_until_answered(exchange, params, history).await;
    let retry_after = || exchange.gateway.service_retry_after(&exchange.service.name);
    result.map_err(|failure| failure.with_min_retry_after(retry_after()))
}

async fn send_until_answered(
    exchange: &Exchange,
    mut params: AttemptParams<'_>,
    history: &mut AttemptHistory,
) -> Result<Answer, Failure> {
    let mut last = Failure::Refused(RETRY_AFTER, "no target can be reached");
    // A server error that is forwarded if no other target answers.
    let mut failed: Option<BufferedAnswer> = None;
    loop {
        let next = match params.slot.take() {
            Some(slot) => Ok(slot),
            None => next_slot(exchange, &params, history, &last).await,
        };
        let slot = match (next, failed) {
            (Ok(slot), _) => slot,
            (Err(_), Some(whole)) => return Ok(Answer::Whole(whole)),
            (Err(failure), None) => return Err(failure),
        };
        failed = None;
        let name = slot.target.name.clone();
        history.tried.push(slot.key);
        let has_attempts_left = history.possible_runs + 1 < exchange.route.max_attempts;
        let may_retry = exchange.route.kind.is_repeatable() && has_attempts_left;
        let reason = match send(exchange, slot, &mut params, history, may_retry).await {
            AttemptOutcome::Answered(answer) => {
                history.has_arrived = true;
                return Ok(answer);
            }
            AttemptOutcome::Failed(whole) if !may_retry => return Ok(Answer::Whole(whole)),
            AttemptOutcome::Failed(whole) => {
                history.possible_runs += 1;
                last = Failure::NoUsableAnswer("targets failed");
                failed = Some(whole);
                "failed"
            }
            AttemptOutcome::InputsGone => {
                history.has_arrived = true;
                history.inputs_gone = true;
                let reason = "results of a stage are gone";
                log::info!("gateway: request {} at {name}: {reason}", exchange.id);
                return Err(history.record_refusal(last, reason));
            }
            AttemptOutcome::NotRun => {
                last = history.record_refusal(last, "targets are full");
                "not run"
            }
            AttemptOutcome::Unreachable => {
                last = history.record_refusal(last, "no target can be reached");
                log::info!("gateway: request {} at {name}: unreachable", exchange.id);
                if history.refusals >= MAX_REFUSALS {
                    return Err(last);
                }
                continue;
            }
            AttemptOutcome::OutcomeUnknown(reason) => {
                history.possible_runs += 1;
                last = Failure::NoUsableAnswer(reason);
                if !may_retry {
                    let is_over = exchange.time_left() < MIN_TIME_LEFT;
                    return Err(if is_over { Failure::TimedOut } else { last });
                }
                reason
            }
        };
        history.has_arrived = true;
        log::info!("gateway: request {} at {name}: {reason}", exchange.id);
        if history.refusals >= MAX_REFUSALS {
            return Err(last);
        }
    }
}

/// Reserves a slot for the next attempt.
async fn next_slot(
    exchange: &Exchange,
    params: &AttemptParams<'_>,
    history: &mut AttemptHistory,
    last: &Failure,
) -> Result<Slot, Failure> {
    if exchange.time_left() < MIN_TIME_LEFT {
        return Err(deadline_failure(history));
    }
    if history.has_arrived && !exchange.gateway.take_retry_token(&exchange.service.name) {
        log::info!(
            "gateway: request {}: no repeat left in the budget",
            exchange.id
        );
        return Err(last.clone());
    }
    let reserved = wait_for_slot(exchange, params.zone, history).await;
    if !history.is_counted && reserved.is_ok() {
        exchange.gateway.credit_retry_budget(&exchange.service.name);
        history.is_counted = true;
    }
    reserved.map_err(|failure| match (last, failure) {
        (_, failure) if !history.is_counted => failure,
        (Failure::Refused(after, reason), Failure::Refused(open, _)) => {
            Failure::Refused(open.max(*after), reason)
        }
        // The earlier failure tells more than the lack of another target.
        _ => last.clone(),
    })
}

/// Reserves a slot for a retry if one is free now and the retry budget allows it. The pending
/// attempt is abandoned only when a slot elsewhere is reserved: a slow target may be healthy.
pub async fn reserve_retry_slot(
    exchange: &Exchange,
    zone: &ZoneName,
    history: &AttemptHistory,
) -> Option<Slot> {
    if exchange.time_left() < MIN_TIME_LEFT {
        return None;
    }
    let gateway = &exchange.gateway;
    let affinity = exchange.affinity();
    let weights = &exchange.weights;
    let (service, tried) = (&exchange.service, &history.tried);
    let slot = gateway.reserve_permitted_slot(service, affinity, zone, weights, tried);
    let slot = slot.await.ok()?;
    gateway
        .take_retry_token(&exchange.service.name)
        .then_some(slot)
}

impl AttemptHistory {
    /// The kind of the attempt at the last target in `tried`.
    fn send_kind(&self) -> SendKind {
        match self.tried.len() {
            0 | 1 => SendKind::First,
            _ if self.is_resumed => SendKind::Resume,
            _ => SendKind::Repeat,
        }
    }

    /// Counts a refusal. The client may be told that the request was refused only while it can't
    /// have run at any target.
    fn record_refusal(&mut self, last: Failure, reason: &'static str) -> Failure {
        self.refusals += 1;
        if self.possible_runs == 0 {
            Failure::Refused(RETRY_AFTER, reason)
        } else {
            last
        }
    }
}

fn deadline_failure(history: &AttemptHistory) -> Failure {
    if history.possible_runs == 0 {
        Failure::Refused(RETRY_AFTER, "the time is over")
    } else {
        Failure::TimedOut
    }
}

/// Reserves a slot at a target; waits for a short time if none is free.
async fn wait_for_slot(
    exchange: &Exchange,
    zone: &ZoneName,
    history: &AttemptHistory,
) -> Result<Slot, Failure> {
    let gateway = &exchange.gateway;
    let wait = exchange.route.latency_objective.mul_f64(SLOT_WAIT_FRACTION);
    let limit = gateway.now() + wait.min(exchange.time_left());
    loop {
        let affinity = exchange.affinity();
        let weights = &exchange.weights;
        let (service, tried) = (&exchange.service, &history.tried);
        let reserved = gateway.reserve_permitted_slot(service, affinity, zone, weights, tried);
        let unavailable = match reserved.await {
            Ok(slot) => return Ok(slot),
            Err(unavailable) => unavailable,
        };
        let left = limit.saturating_sub(gateway.now());
        let pause = match unavailable {
            SelectionError::None => {
                return Err(Failure::Refused(
                    RETRY_AFTER * 2,
                    "the service has no target",
                ));
            }
            SelectionError::Blocked(pause) if pause > left => {
                let after = pause.max(RETRY_AFTER);
                return Err(Failure::Refused(after, "targets are held back"));
            }
            SelectionError::Full { .. } if left.is_zero() => {
                return Err(Failure::Refused(RETRY_AFTER, "targets are full"));
            }
            SelectionError::Blocked(pause) => pause,
            SelectionError::Full { opens_in } => opens_in.unwrap_or(left).min(left),
        };
        // Wakes when a slot becomes free or the pause ends.
        let pause = pause.max(MIN_SLOT_PAUSE);
        let _ = timeout(pause, gateway.wait_slot_freed()).await;
    }
}

/// Timeout of one attempt.
fn attempt_timeout(exchange: &Exchange, may_retry: bool) -> Duration {
    let left = exchange.time_left();
    if !may_retry {
        return left;
    }
    let minimum = if exchange.route.kind.is_stream() {
        MIN_FIRST_EVENT_TIMEOUT
    } else {
        MIN_ATTEMPT_TIMEOUT
    };
    let attempt_timeout = exchange
        .route
        .latency_objective
        .mul_f64(ATTEMPT_TIMEOUT_FRACTION)
        .max(minimum);
    attempt_timeout.min(left)
}

async fn send(
    exchange: &Exchange,
    mut slot: Slot,
    params: &mut AttemptParams<'_>,
    history: &AttemptHistory,
    may_retry: bool,
) -> AttemptOutcome {
    let (reply, next) = wait_for_reply(exchange, &slot, params, history, may_retry).await;
    params.slot = next;
    let first = slot.elapsed();
    let (sent, outcome) = match reply {
        TargetReply::Whole(whole) if whole.status.is_server_error() => {
            (AttemptOutcome::Failed(whole), Outcome::Error)
        }
        TargetReply::Whole(whole) => (
            AttemptOutcome::Answered(Answer::Whole(whole)),
            Outcome::Answered(first),
        ),
        TargetReply::Stream(start) => {
            slot.set_outcome(Outcome::Answered(first));
            let stream = Stream {
                slot,
                connection: start.connection,
                idle: start.idle,
                headers: start.headers,
                body: start.body,
                splitter: std::mem::take(&mut params.splitter),
                first: start.first,
                is_ended: start.is_ended,
            };
            return AttemptOutcome::Answered(Answer::Stream(Box::new(stream)));
        }
        TargetReply::NotRun(StatusCode::CONFLICT) => (AttemptOutcome::InputsGone, Outcome::Unknown),
        TargetReply::NotRun(_) => (AttemptOutcome::NotRun, Outcome::Full),
        TargetReply::WrongTarget => (AttemptOutcome::NotRun, Outcome::Gone),
        TargetReply::Unreachable => (AttemptOutcome::Unreachable, Outcome::Unconnected),
        TargetReply::ConnectionFailed(reason) => {
            (AttemptOutcome::OutcomeUnknown(reason), Outcome::Unreachable)
        }
        TargetReply::Unusable(reason) => (AttemptOutcome::OutcomeUnknown(reason), Outcome::Error),
    };
    slot.set_outcome(outcome);
    slot.release();
    sent
}

/// Waits for a target's answer. After the attempt's timeout it tries to reserve a slot at another
/// target and returns that slot if it gets one.
async fn wait_for_reply(
    exchange: &Exchange,
    slot: &Slot,
    params: &mut AttemptParams<'_>,
    history: &AttemptHistory,
    may_retry: bool,
) -> (TargetReply, Option<Slot>) {
    const NO_ANSWER: TargetReply = TargetReply::ConnectionFailed("no answer in time");
    let zone = params.zone;
    let mut sent = std::pin::pin!(send_once(exchange, slot, params, history.send_kind()));
    loop {
        let attempt_timeout = attempt_timeout(exchange, may_retry);
        if let Ok(reply) = timeout(attempt_timeout, sent.as_mut()).await {
            return (reply, None);
        }
        if !may_retry || exchange.time_left() < MIN_TIME_LEFT {
            return (NO_ANSWER, None);
        }
        tokio::select! {
            biased;
            reply = sent.as_mut() => return (reply, None),
            next = reserve_retry_slot(exchange, zone, history) => {
                if next.is_some() {
                    return (NO_ANSWER, next);
                }
            }
        }
    }
}

/// Sends the request to one target and reads the answer; a stream only up to its first event.
async fn send_once(
    exchange: &Exchange,
    slot: &Slot,
    params: &mut AttemptParams<'_>,
    kind: SendKind,
) -> TargetReply {
    let upstream = &exchange.gateway.upstream;
    let at_most_once = exchange.route.kind == RequestKind::AtMostOnce;
    let mut acquired = match upstream.acquire(&slot.target, at_most_once).await {
        Ok(acquired) => acquired,
        Err(error) => return connect_failed(exchange, &error),
    };
    loop {
        let gateway = &exchange.gateway;
        gateway.log_limited_send(&slot.target.name, kind, &exchange.id);
        let request = request(exchange, slot, params);
        let error = match acquired.connection.send(request).await {
            Ok(response) => {
                return read_reply(exchange, slot, params, acquired, response).await;
            }
            Err(error) => error,
        };
        if !(error.is_unsent() && acquired.is_reused) {
            log::info!(
                "gateway: request {} at {}: {error}",
                exchange.id,
                slot.target.name
            );
            return if error.is_unsent() {
                TargetReply::Unreachable
            } else {
                TargetReply::ConnectionFailed("the connection failed")
            };
        }
        // The reused connection was already closed, and nothing was sent.
        acquired = match upstream.open(&slot.target).await {
            Ok(acquired) => acquired,
            Err(error) => return connect_failed(exchange, &error),
        };
    }
}

fn connect_failed(exchange: &Exchange, error: &client::Error) -> TargetReply {
    log::info!("gateway: request {}: {error}", exchange.id);
    TargetReply::Unreachable
}

fn request(exchange: &Exchange, slot: &Slot, params: &AttemptParams<'_>) -> Request<Full<Bytes>> {
    let system_headers = SystemHeaders {
        target: &slot.target,
        time_left: exchange.time_left(),
        account: exchange.account.as_ref().map(AccountName::as_str),
        inputs: Some(params.inputs),
        last_event: params.last_event,
    };
    target::request(&exchange.parts, exchange.body.clone(), &system_headers)
}

async fn read_reply(
    exchange: &Exchange,
    slot: &Slot,
    params: &mut AttemptParams<'_>,
    acquired: Acquired,
    response: Response<Incoming>,
) -> TargetReply {
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
    let sent = slot.reserved_at();
    let gateway = &exchange.gateway;
    gateway.apply_notice(&slot.target.name, notice, sent);
    match head.verdict {
        Verdict::Unusable => {
            return TargetReply::Unusable("the answer is not this request's");
        }
        Verdict::NotRun | Verdict::WrongTarget if is_reused && !head.has_request_id => {
            return TargetReply::Unusable("the refusal may be a copy of an earlier one");
        }
        Verdict::Answered if target::is_event_stream(&parts.headers) => {
            return read_first_event(connection, &head, parts.headers, body, &mut params.splitter)
                .await;
        }
        _ => {}
    }
    let read = exchange
        .gateway
        .answer_reader
        .read(body, MAX_ANSWER_BYTES)
        .await;
    let body = match read {
        Ok(body) => body,
        Err(error) => {
            let name = &slot.target.name;
            log::info!("gateway: request {} at {name}: {error}", exchange.id);
            return match head.verdict {
                Verdict::NotRun => TargetReply::NotRun(head.status),
                Verdict::WrongTarget => TargetReply::WrongTarget,
                _ => TargetReply::Unusable("the answer is not whole"),
            };
        }
    };
    let upstream = &exchange.gateway.upstream;
    upstream.put_back_when_ready(&slot.target.name, connection, head.idle_timeout);
    match head.verdict {
        Verdict::NotRun => TargetReply::NotRun(head.status),
        Verdict::WrongTarget => TargetReply::WrongTarget,
        _ => TargetReply::Whole(BufferedAnswer {
            status: head.status,
            headers: parts.headers,
            body,
        }),
    }
}

/// Reads a stream up to its first event.
async fn read_first_event(
    connection: Connection,
    head: &Head,
    headers: HeaderMap,
    mut body: Incoming,
    splitter: &mut Splitter,
) -> TargetReply {
    splitter.restart();
    let mut is_ended = false;
    let first = loop {
        match splitter.next_event() {
            Ok(Some(event)) => break Some(event),
            Ok(None) if is_ended => break None,
            Ok(None) => {}
            Err(_) => return TargetReply::Unusable("the stream skips an event"),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    splitter.push(&data);
                }
            }
            Some(Err(_)) => return TargetReply::ConnectionFailed("the stream broke off"),
            None if splitter.has_partial() => {
                return TargetReply::ConnectionFailed("the stream broke off");
            }
            None => is_ended = true,
        }
    };
    TargetReply::Stream(StreamStart {
        connection,
        idle: head.idle_timeout,
        headers,
        body,
        first,
        is_ended,
    })
}
