//! Sends a request to targets until one answers or no further attempt is allowed.
//!
//! A target that is silent for longer than the attempt's timeout may still answer, so its attempt
//! goes on beside the next one. The first answer ends all other attempts.

mod reply;
mod slot;

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use azurelug_core::gateway::events::{Event, Splitter};
use azurelug_core::gateway::fleet::{Key, Outcome};
use azurelug_http::h1::client::Connection;
use azurelug_types::id::ZoneName;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::exchange::{Exchange, Failure};
use crate::gateway::{SendKind, Slot};
use crate::memory::Held;
use crate::quarantine;
use crate::rollouts;
use reply::{Attempt, AttemptOutcome, Reply, outcome};
use slot::next_slot;
pub use slot::reserve_retry_slot;

/// Attempts that may be refused or fail to connect before the request fails. With a quarter of a
/// pool down, one request in four thousand reaches this limit.
const MAX_REFUSALS: u32 = 6;

/// Fraction of the latency objective after which a retryable request is sent to another target, too.
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
    /// Memory of the splitter's bytes.
    pub held: Held,
    /// The first event; none if the stream is empty.
    pub first: Option<Event>,
    /// Whether the end of the body has been read.
    pub is_ended: bool,
    /// Whether a length or chunks mark the end of the body.
    pub is_framed: bool,
}

/// An answer of a target.
pub enum Answer {
    /// Buffered in full.
    Whole(BufferedAnswer),
    /// Forwarded event by event.
    Stream(Box<Stream>),
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
    /// Whether the request competes for slots with those of other accounts.
    is_admitted: bool,
    /// Whether the request has reached a target, so that each further attempt is a retry.
    pub has_arrived: bool,
    /// Whether a target refused the request because stage results are no longer available.
    pub inputs_gone: bool,
    /// Targets that did not run the request; they may have room later.
    refused: Vec<Key>,
    /// Whether the client has received a part of the stream.
    pub is_resumed: bool,
    /// The software version at which the stream began; none before its first event.
    pub version: Option<String>,
}

/// Parameters of the attempts of a request.
pub struct AttemptParams<'a> {
    /// Handles of the stage results.
    pub inputs: &'a [String],
    /// Number of the last event that was delivered to the client.
    pub last_event: Option<u64>,
    /// The preferred zone.
    pub zone: &'a ZoneName,
    /// Slot for the next attempt, if one is already reserved.
    pub slot: Option<Slot>,
}

/// Sends the request until a target answers.
///
/// # Errors
/// Why there is no answer.
pub async fn run<'a>(
    exchange: &'a Exchange,
    params: AttemptParams<'a>,
    history: &'a mut AttemptHistory,
) -> Result<Answer, Failure> {
    let attempts = Attempts {
        exchange,
        params,
        history,
        pending: Vec::new(),
        is_due: true,
        last: Failure::Refused(RETRY_AFTER, "no target can be reached"),
        failed: None,
    };
    let result = attempts.run().await;
    let retry_after = || exchange.gateway.service_retry_after(&exchange.service.name);
    result.map_err(|failure| failure.with_min_retry_after(retry_after()))
}

/// A request that was sent to a target and has no reply yet. Dropping it closes the connection.
struct Pending<'a> {
    slot: Slot,
    reply: Pin<Box<dyn Future<Output = Reply> + Send + 'a>>,
}

/// The attempts of a request and what is known from those that have ended.
struct Attempts<'a> {
    exchange: &'a Exchange,
    params: AttemptParams<'a>,
    history: &'a mut AttemptHistory,
    /// Attempts without a reply, oldest first.
    pending: Vec<Pending<'a>>,
    /// Whether another attempt is to be made as soon as a target has a slot.
    is_due: bool,
    /// The failure of the last attempt that ended.
    last: Failure,
    /// A server error that is forwarded if no target answers.
    failed: Option<BufferedAnswer>,
}

/// What happens next to a request.
enum Step {
    Send(Slot),
    Reply(Slot, Reply),
    /// No further attempt is possible.
    Stop(Failure),
    OutOfTime,
}

impl Drop for Attempts<'_> {
    /// Attempts that are cancelled may have run.
    fn drop(&mut self) {
        let cancelled = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        self.history.possible_runs = self.history.possible_runs.saturating_add(cancelled);
    }
}

impl<'a> Attempts<'a> {
    async fn run(mut self) -> Result<Answer, Failure> {
        loop {
            match self.next_step().await {
                Step::Send(slot) => {
                    let is_hedge = !self.pending.is_empty();
                    match quarantine::check_attempt(self.exchange, self.history, is_hedge, slot) {
                        Ok(slot) => self.send(slot),
                        Err(failure) if self.pending.is_empty() => return self.fail(failure),
                        Err(_) => self.is_due = false,
                    }
                }
                Step::Reply(slot, reply) => {
                    if let Some(answer) = self.record_reply(slot, reply) {
                        self.abandon_pending();
                        return Ok(answer);
                    }
                }
                Step::Stop(failure) if self.pending.is_empty() => return self.fail(failure),
                // A silent target may still answer.
                Step::Stop(_) => self.is_due = false,
                Step::OutOfTime => {
                    self.abandon_pending();
                    return self.fail(Failure::TimedOut);
                }
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        if let Some(slot) = self.params.slot.take() {
            return Step::Send(slot);
        }
        let exchange = self.exchange;
        // A suspected request is at one target at a time, and takes no repeat from others.
        let may_run_twice = self.pending.is_empty() || quarantine::may_repeat(exchange);
        let may_retry = self.may_retry(0) && may_run_twice;
        if self.is_due {
            if !self.pending.is_empty() && !may_retry {
                return Step::Stop(self.last.clone());
            }
            return tokio::select! {
                biased;
                (slot, reply) = next_reply(&mut self.pending) => Step::Reply(slot, reply),
                next = next_slot(exchange, &self.params, self.history, &self.last) => {
                    next.map_or_else(Step::Stop, Step::Send)
                }
            };
        }
        if self.pending.is_empty() {
            return Step::Stop(self.last.clone());
        }
        let limit = Instant::now() + attempt_timeout(exchange, may_retry);
        let replied = exchange
            .gateway
            .run_until(limit, next_reply(&mut self.pending));
        if let Some((slot, reply)) = replied.await {
            return Step::Reply(slot, reply);
        }
        if is_out_of_time(exchange) {
            return Step::OutOfTime;
        }
        tokio::select! {
            biased;
            (slot, reply) = next_reply(&mut self.pending) => Step::Reply(slot, reply),
            next = reserve_retry_slot(exchange, self.params.zone, self.history), if may_retry => {
                next.map_or(Step::Stop(self.last.clone()), Step::Send)
            }
        }
    }

    /// Whether the request may be sent to another target after `ended` further attempts that may
    /// have run, while the pending ones go on.
    fn may_retry(&self, ended: usize) -> bool {
        let runs = self.history.possible_runs as usize + self.pending.len() + ended;
        let route = &self.exchange.route;
        let may_run = route.kind.is_repeatable() && runs < route.max_attempts as usize;
        may_run && self.history.refusals < MAX_REFUSALS && !self.history.inputs_gone
    }

    fn send(&mut self, mut slot: Slot) {
        let exchange = self.exchange;
        slot.subject = rollouts::subject(exchange);
        if self.history.tried.is_empty() {
            let service = &exchange.service.name;
            exchange.gateway.fleet().record_request(service);
        }
        if let Some(silent) = self.pending.last() {
            let name = &silent.slot.target.name;
            log::info!(
                "gateway: request {} at {name}: silent, sent to another target as well",
                exchange.id
            );
            self.history.has_arrived = true;
        }
        self.history.tried.push(slot.key);
        let attempt = Attempt {
            target: slot.target.clone(),
            reserved_at: slot.reserved_at(),
            inputs: self.params.inputs,
            last_event: self.params.last_event,
            splitter: Splitter::after(self.params.last_event),
            kind: self.history.send_kind(),
            progress: Arc::clone(&slot.progress),
        };
        let reply = Box::pin(reply::send(exchange, attempt));
        self.pending.push(Pending { slot, reply });
        self.is_due = false;
    }

    /// Ends the pending attempts. Each of them may have run.
    fn abandon_pending(&mut self) {
        for mut silent in self.pending.drain(..) {
            let name = &silent.slot.target.name;
            log::info!(
                "gateway: request {} at {name}: no answer in time",
                self.exchange.id
            );
            // An attempt that was sent a moment ago tells nothing of its target.
            if silent.slot.elapsed() >= attempt_timeout(self.exchange, true) {
                silent.slot.set_outcome(Outcome::Unreachable);
            }
            self.history.possible_runs += 1;
            self.history.has_arrived = true;
        }
    }

    fn fail(mut self, failure: Failure) -> Result<Answer, Failure> {
        let failed = self.failed.take().map(Answer::Whole);
        failed.ok_or(failure)
    }

    /// Records the reply of an attempt that has ended; returns the answer for the client.
    fn record_reply(&mut self, slot: Slot, reply: Reply) -> Option<Answer> {
        let name = slot.target.name.clone();
        let key = slot.key;
        let may_retry = self.may_retry(1);
        // Further attempts wait for a free slot, unless this reply ends them.
        self.is_due = true;
        let reason = match outcome(slot, reply) {
            AttemptOutcome::Answered(answer) => {
                self.history.has_arrived = true;
                self.history.inputs_gone = false;
                // A stream counts when its target is left.
                if let Answer::Whole(whole) = &answer {
                    quarantine::record_answer(self.exchange, whole);
                    self.history.possible_runs += 1;
                }
                return Some(answer);
            }
            AttemptOutcome::Failed(whole) if !may_retry && self.pending.is_empty() => {
                self.history.possible_runs += 1;
                return Some(Answer::Whole(whole));
            }
            AttemptOutcome::Failed(whole) => {
                self.history.possible_runs += 1;
                self.last = Failure::NoUsableAnswer("targets failed");
                self.failed = Some(whole);
                "failed"
            }
            AttemptOutcome::InputsGone => {
                self.history.inputs_gone = true;
                let reason = "results of a stage are gone";
                self.last = self.history.record_refusal(&self.last, reason);
                reason
            }
            AttemptOutcome::NotRun => {
                self.history.refused.push(key);
                self.last = self.history.record_refusal(&self.last, "targets are full");
                "not run"
            }
            AttemptOutcome::Unreachable => {
                let reason = "no target can be reached";
                self.history.refused.push(key);
                self.last = self.history.record_refusal(&self.last, reason);
                log::info!(
                    "gateway: request {} at {name}: unreachable",
                    self.exchange.id
                );
                self.is_due = self.history.refusals < MAX_REFUSALS;
                return None;
            }
            AttemptOutcome::OutcomeUnknown(reason) => {
                self.history.possible_runs += 1;
                self.last = if !may_retry && is_out_of_time(self.exchange) {
                    Failure::TimedOut
                } else {
                    Failure::NoUsableAnswer(reason)
                };
                self.is_due = may_retry && quarantine::may_repeat(self.exchange);
                reason
            }
        };
        self.history.has_arrived = true;
        log::info!("gateway: request {} at {name}: {reason}", self.exchange.id);
        self.is_due &= self.history.refusals < MAX_REFUSALS && !self.history.inputs_gone;
        None
    }
}

fn is_out_of_time(exchange: &Exchange) -> bool {
    exchange.time_left() < MIN_TIME_LEFT
}

/// Waits for the next reply to a pending attempt; the oldest attempt comes first.
async fn next_reply(pending: &mut Vec<Pending<'_>>) -> (Slot, Reply) {
    let (position, reply) = poll_fn(|context| {
        for (position, attempt) in pending.iter_mut().enumerate() {
            if let Poll::Ready(reply) = attempt.reply.as_mut().poll(context) {
                return Poll::Ready((position, reply));
            }
        }
        Poll::Pending
    })
    .await;
    (pending.remove(position).slot, reply)
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

    /// Makes targets that did not run the request eligible again.
    pub fn forget_refusals(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        self.tried.retain(|key| !refused.contains(key));
        self.refusals = 0;
    }

    /// Counts a refusal. The client may be told that the request was refused only while it can't
    /// have run at any target.
    fn record_refusal(&mut self, last: &Failure, reason: &'static str) -> Failure {
        self.refusals += 1;
        if self.possible_runs == 0 {
            Failure::Refused(RETRY_AFTER, reason)
        } else {
            last.clone()
        }
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
