//! Sends a request to targets until one answers or no further attempt is allowed.

use std::time::Duration;

use azurelug_core::gateway::events::{Event, Splitter};
use azurelug_core::gateway::fleet::{Key, Outcome, Unplaced};
use azurelug_http::h1::client::{self, Connection};
use azurelug_platform::target::{self, Head, Order, Verdict};
use azurelug_types::deployment::Kind;
use azurelug_types::id::{AccountName, ZoneName};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::exchange::{Exchange, Failure};
use crate::gateway::Place;
use crate::upstream::Taken;

/// Largest answer that is buffered in full.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// Attempts that may be refused or fail to connect before the request fails. With a quarter of a
/// pool down, one request in four thousand reaches this limit.
const MAX_REFUSALS: u32 = 6;

/// Longest wait for a free slot at a target, as a fraction of the latency objective.
const PLACE_WAIT_PART: f64 = 0.35;

/// Fraction of the latency objective after which a retryable request is sent to another target.
const PATIENCE_PART: f64 = 0.6;

/// Shortest timeout for a stream's first event: an engine processes a long prompt before it.
const MIN_STREAM_PATIENCE: Duration = Duration::from_millis(700);

/// Shortest timeout of an attempt whose answer is not a stream.
const MIN_PATIENCE: Duration = Duration::from_millis(60);

/// Below this remaining time no target can answer.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// `Retry-After` of a refusal: about as long as a request occupies a slot.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// An answer that was buffered in full.
#[derive(Debug)]
pub struct Whole {
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
    pub place: Place,
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
    Whole(Whole),
    /// Forwarded event by event.
    Stream(Box<Stream>),
}

/// Outcome of one attempt.
enum Sent {
    Answered(Answer),
    /// The target answered with a server error, which may be forwarded to the client.
    Failed(Whole),
    /// The target did not run the request.
    NotRun,
    /// The stage results have expired at their targets; the target did not run the request.
    InputsGone,
    /// The request did not reach the target.
    Unreachable,
    /// No usable answer; the request may have run.
    Lost(&'static str),
}

/// What a target returned.
enum Reply {
    Whole(Whole),
    Stream(Begun),
    NotRun(StatusCode),
    WrongTarget,
    Unreachable,
    /// The connection failed.
    Broken(&'static str),
    /// The answer is invalid.
    Unusable(&'static str),
}

/// A stream that has been read up to its first event.
struct Begun {
    connection: Connection,
    idle: Option<Duration>,
    headers: HeaderMap,
    body: Incoming,
    first: Option<Event>,
    is_ended: bool,
}

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub struct Trail {
    /// Targets that were tried.
    pub tried: Vec<Key>,
    /// Attempts after which the request may have run.
    pub runs: u32,
    /// Attempts that were refused or did not connect.
    pub refusals: u32,
    /// Whether the request has been credited to the service's retry budget.
    pub is_counted: bool,
    /// Whether the request has reached a target, so that each further attempt is a retry.
    pub has_arrived: bool,
    /// Whether a target refused the request because stage results have expired.
    pub inputs_gone: bool,
}

/// Parameters of the attempts of a request.
pub struct Sending<'a> {
    /// Handles of the stage results.
    pub inputs: &'a [String],
    /// Number of the last event that was delivered to the client.
    pub last_event: Option<u64>,
    /// The preferred zone.
    pub zone: &'a ZoneName,
    /// Splits the answer into events; after a resume it continues at the last event.
    pub splitter: Splitter,
    /// Slot for the next attempt, if one is already reserved.
    pub place: Option<Place>,
}

/// Sends the request until a target answers.
///
/// # Errors
/// Why there is no answer.
pub async fn run(
    exchange: &Exchange,
    sending: Sending<'_>,
    trail: &mut Trail,
) -> Result<Answer, Failure> {
    let result = send_until_answered(exchange, sending, trail).await;
    let opens_in = || exchange.gateway.opens_in(&exchange.service.name);
    result.map_err(|failure| failure.not_before(opens_in()))
}

async fn send_until_answered(
    exchange: &Exchange,
    mut sending: Sending<'_>,
    trail: &mut Trail,
) -> Result<Answer, Failure> {
    let mut last = Failure::Refused(RETRY_AFTER, "no target can be reached");
    // A server error that is forwarded if no other target answers.
    let mut failed: Option<Whole> = None;
    loop {
        let next = match sending.place.take() {
            Some(place) => Ok(place),
            None => next_place(exchange, &sending, trail, &last).await,
        };
        let place = match (next, failed) {
            (Ok(place), _) => place,
            (Err(_), Some(whole)) => return Ok(Answer::Whole(whole)),
            (Err(failure), None) => return Err(failure),
        };
        failed = None;
        let name = place.target.name.clone();
        trail.tried.push(place.key);
        let more_runs = trail.runs + 1 < exchange.route.max_attempts;
        let may_repeat = exchange.route.kind.is_repeatable() && more_runs;
        let reason = match send(exchange, place, &mut sending, trail, may_repeat).await {
            Sent::Answered(answer) => {
                trail.has_arrived = true;
                return Ok(answer);
            }
            Sent::Failed(whole) if !may_repeat => return Ok(Answer::Whole(whole)),
            Sent::Failed(whole) => {
                trail.runs += 1;
                last = Failure::Broken("targets failed");
                failed = Some(whole);
                "failed"
            }
            Sent::InputsGone => {
                trail.has_arrived = true;
                trail.inputs_gone = true;
                return Err(trail.refused(last, "results of a stage have expired"));
            }
            Sent::NotRun => {
                last = trail.refused(last, "targets are full");
                "not run"
            }
            Sent::Unreachable => {
                last = trail.refused(last, "no target can be reached");
                log::info!("gateway: request {} at {name}: unreachable", exchange.id);
                if trail.refusals >= MAX_REFUSALS {
                    return Err(last);
                }
                continue;
            }
            Sent::Lost(reason) => {
                trail.runs += 1;
                last = Failure::Broken(reason);
                if !may_repeat {
                    let is_over = exchange.left() < MIN_LEFT;
                    return Err(if is_over { Failure::TimedOut } else { last });
                }
                reason
            }
        };
        trail.has_arrived = true;
        log::info!("gateway: request {} at {name}: {reason}", exchange.id);
        if trail.refusals >= MAX_REFUSALS {
            return Err(last);
        }
    }
}

/// Reserves a slot for the next attempt.
async fn next_place(
    exchange: &Exchange,
    sending: &Sending<'_>,
    trail: &mut Trail,
    last: &Failure,
) -> Result<Place, Failure> {
    if exchange.left() < MIN_LEFT {
        return Err(out_of_time(trail));
    }
    if trail.has_arrived && !exchange.gateway.may_repeat(&exchange.service.name) {
        log::info!(
            "gateway: request {}: no repeat left in the budget",
            exchange.id
        );
        return Err(last.clone());
    }
    let placed = place(exchange, sending.zone, trail).await;
    if !trail.is_counted && placed.is_ok() {
        exchange.gateway.earn(&exchange.service.name);
        trail.is_counted = true;
    }
    placed.map_err(|failure| match (last, failure) {
        (_, failure) if !trail.is_counted => failure,
        (Failure::Refused(after, reason), Failure::Refused(open, _)) => {
            Failure::Refused(open.max(*after), reason)
        }
        // The earlier failure tells more than the lack of another target.
        _ => last.clone(),
    })
}

/// Reserves a slot for a retry if one is free now and the retry budget allows it. The pending
/// attempt is abandoned only when a slot elsewhere is reserved: a slow target may be healthy.
pub fn reserve(exchange: &Exchange, zone: &ZoneName, trail: &Trail) -> Option<Place> {
    if exchange.left() < MIN_LEFT {
        return None;
    }
    let gateway = &exchange.gateway;
    let affinity = exchange.affinity();
    let weights = &exchange.weights;
    let place = gateway.place(&exchange.service, affinity, zone, weights, &trail.tried);
    let place = place.ok()?;
    gateway.may_repeat(&exchange.service.name).then_some(place)
}

impl Trail {
    /// Counts a refusal. The client may be told that the request was refused only while it can't
    /// have run at any target.
    fn refused(&mut self, last: Failure, reason: &'static str) -> Failure {
        self.refusals += 1;
        if self.runs == 0 {
            Failure::Refused(RETRY_AFTER, reason)
        } else {
            last
        }
    }
}

fn out_of_time(trail: &Trail) -> Failure {
    if trail.runs == 0 {
        Failure::Refused(RETRY_AFTER, "the deadline has passed")
    } else {
        Failure::TimedOut
    }
}

/// Reserves a slot at a target; waits for a short time if none is free.
async fn place(exchange: &Exchange, zone: &ZoneName, trail: &Trail) -> Result<Place, Failure> {
    let gateway = &exchange.gateway;
    let wait = exchange.route.objective.mul_f64(PLACE_WAIT_PART);
    let limit = gateway.now() + wait.min(exchange.left());
    loop {
        let affinity = exchange.affinity();
        let weights = &exchange.weights;
        let placed = gateway.place(&exchange.service, affinity, zone, weights, &trail.tried);
        let unplaced = match placed {
            Ok(place) => return Ok(place),
            Err(unplaced) => unplaced,
        };
        let left = limit.saturating_sub(gateway.now());
        let pause = match unplaced {
            Unplaced::None => {
                return Err(Failure::Refused(
                    RETRY_AFTER * 2,
                    "the service has no target",
                ));
            }
            Unplaced::Held(pause) if pause > left => {
                return Err(Failure::Refused(pause, "no target accepts requests now"));
            }
            Unplaced::Full if left.is_zero() => {
                return Err(Failure::Refused(RETRY_AFTER, "targets are full"));
            }
            Unplaced::Held(pause) => pause,
            Unplaced::Full => left,
        };
        // Wakes when a slot becomes free or the pause ends.
        let _ = timeout(pause, gateway.wait_freed()).await;
    }
}

/// Timeout of one attempt.
fn patience(exchange: &Exchange, may_repeat: bool) -> Duration {
    let left = exchange.left();
    if !may_repeat {
        return left;
    }
    let least = if exchange.route.kind.is_stream() {
        MIN_STREAM_PATIENCE
    } else {
        MIN_PATIENCE
    };
    let patience = exchange.route.objective.mul_f64(PATIENCE_PART).max(least);
    patience.min(left)
}

async fn send(
    exchange: &Exchange,
    mut place: Place,
    sending: &mut Sending<'_>,
    trail: &Trail,
    may_repeat: bool,
) -> Sent {
    let (reply, next) = wait(exchange, &place, sending, trail, may_repeat).await;
    sending.place = next;
    let first = place.elapsed();
    let (sent, outcome) = match reply {
        Reply::Whole(whole) if whole.status.is_server_error() => {
            (Sent::Failed(whole), Outcome::Error)
        }
        Reply::Whole(whole) => (
            Sent::Answered(Answer::Whole(whole)),
            Outcome::Answered(first),
        ),
        Reply::Stream(begun) => {
            place.show(Outcome::Answered(first));
            let stream = Stream {
                place,
                connection: begun.connection,
                idle: begun.idle,
                headers: begun.headers,
                body: begun.body,
                splitter: std::mem::take(&mut sending.splitter),
                first: begun.first,
                is_ended: begun.is_ended,
            };
            return Sent::Answered(Answer::Stream(Box::new(stream)));
        }
        Reply::NotRun(StatusCode::CONFLICT) => (Sent::InputsGone, Outcome::Unknown),
        Reply::NotRun(_) => (Sent::NotRun, Outcome::Full),
        Reply::WrongTarget => (Sent::NotRun, Outcome::Gone),
        Reply::Unreachable => (Sent::Unreachable, Outcome::Unconnected),
        Reply::Broken(reason) => (Sent::Lost(reason), Outcome::Unreachable),
        Reply::Unusable(reason) => (Sent::Lost(reason), Outcome::Error),
    };
    place.show(outcome);
    place.close();
    sent
}

/// Waits for a target's answer. After the attempt's timeout it tries to reserve a slot at another
/// target and returns that slot if it gets one.
async fn wait(
    exchange: &Exchange,
    place: &Place,
    sending: &mut Sending<'_>,
    trail: &Trail,
    may_repeat: bool,
) -> (Reply, Option<Place>) {
    const NO_ANSWER: Reply = Reply::Broken("no answer in time");
    let zone = sending.zone;
    let mut sent = std::pin::pin!(send_once(exchange, place, sending));
    loop {
        let patience = patience(exchange, may_repeat);
        if let Ok(reply) = timeout(patience, sent.as_mut()).await {
            return (reply, None);
        }
        if !may_repeat || exchange.left() < MIN_LEFT {
            return (NO_ANSWER, None);
        }
        if let Some(next) = reserve(exchange, zone, trail) {
            return (NO_ANSWER, Some(next));
        }
    }
}

/// Sends the request to one target and reads the answer; a stream only up to its first event.
async fn send_once(exchange: &Exchange, place: &Place, sending: &mut Sending<'_>) -> Reply {
    let upstream = &exchange.gateway.upstream;
    let once = exchange.route.kind == Kind::AtMostOnce;
    let mut taken = match upstream.take(&place.target, once).await {
        Ok(taken) => taken,
        Err(error) => return unreachable(exchange, &error),
    };
    loop {
        let request = request(exchange, place, sending);
        let error = match taken.connection.send(request).await {
            Ok(response) => {
                return read(exchange, place, sending, taken, response).await;
            }
            Err(error) => error,
        };
        if !(error.is_unsent() && taken.is_kept) {
            log::info!(
                "gateway: request {} at {}: {error}",
                exchange.id,
                place.target.name
            );
            return if error.is_unsent() {
                Reply::Unreachable
            } else {
                Reply::Broken("the connection failed")
            };
        }
        // The reused connection was already closed, and nothing was sent.
        taken = match upstream.open(&place.target).await {
            Ok(taken) => taken,
            Err(error) => return unreachable(exchange, &error),
        };
    }
}

fn unreachable(exchange: &Exchange, error: &client::Error) -> Reply {
    log::info!("gateway: request {}: {error}", exchange.id);
    Reply::Unreachable
}

fn request(exchange: &Exchange, place: &Place, sending: &Sending<'_>) -> Request<Full<Bytes>> {
    let order = Order {
        target: &place.target,
        time_left: exchange.left(),
        account: exchange.account.as_ref().map(AccountName::as_str),
        inputs: Some(sending.inputs),
        last_event: sending.last_event,
    };
    target::request(&exchange.parts, exchange.body.clone(), &order)
}

async fn read(
    exchange: &Exchange,
    place: &Place,
    sending: &mut Sending<'_>,
    taken: Taken,
    response: Response<Incoming>,
) -> Reply {
    let Taken {
        connection,
        is_kept,
    } = taken;
    let (parts, body) = response.into_parts();
    let head = Head::read(parts.status, &parts.headers, &exchange.id);
    exchange.gateway.note(&place.target.name, head.notice);
    match head.verdict {
        Verdict::Unusable => {
            return Reply::Unusable("the answer belongs to another request or is not signed");
        }
        Verdict::NotRun | Verdict::WrongTarget if is_kept && !head.is_named => {
            return Reply::Unusable("the refusal may be a copy of an earlier one");
        }
        Verdict::Answered if target::is_event_stream(&parts.headers) => {
            return begin(
                connection,
                &head,
                parts.headers,
                body,
                &mut sending.splitter,
            )
            .await;
        }
        _ => {}
    }
    let read = exchange.gateway.answers.read(body, ANSWER_LIMIT).await;
    let body = match read {
        Ok(body) => body,
        Err(error) => {
            let name = &place.target.name;
            log::info!("gateway: request {} at {name}: {error}", exchange.id);
            return match head.verdict {
                Verdict::NotRun => Reply::NotRun(head.status),
                Verdict::WrongTarget => Reply::WrongTarget,
                _ => Reply::Unusable("the answer is incomplete"),
            };
        }
    };
    let upstream = &exchange.gateway.upstream;
    upstream.keep_when_ready(&place.target.name, connection, head.idle);
    match head.verdict {
        Verdict::NotRun => Reply::NotRun(head.status),
        Verdict::WrongTarget => Reply::WrongTarget,
        _ => Reply::Whole(Whole {
            status: head.status,
            headers: parts.headers,
            body,
        }),
    }
}

/// Reads a stream up to its first event.
async fn begin(
    connection: Connection,
    head: &Head,
    headers: HeaderMap,
    mut body: Incoming,
    splitter: &mut Splitter,
) -> Reply {
    splitter.restart();
    let mut is_ended = false;
    let first = loop {
        match splitter.next_event() {
            Ok(Some(event)) => break Some(event),
            Ok(None) if is_ended => break None,
            Ok(None) => {}
            Err(_) => return Reply::Unusable("the stream skips an event"),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    splitter.push(&data);
                }
            }
            Some(Err(_)) => return Reply::Broken("the stream was interrupted"),
            None if splitter.has_partial() => return Reply::Broken("the stream was interrupted"),
            None => is_ended = true,
        }
    };
    Reply::Stream(Begun {
        connection,
        idle: head.idle,
        headers,
        body,
        first,
        is_ended,
    })
}
