//! Forwards a stream's events to the client and resumes at another target after an interruption.

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::events::Event;
use azurelug_core::gateway::fleet::Outcome;
use azurelug_http::h1::client;
use azurelug_types::deployment::RequestKind;
use azurelug_types::id::{TargetName, ZoneName};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::Instant;

use crate::attempt::{self, Answer, AttemptHistory, AttemptParams, Stream};
use crate::body::BodyInterrupted;
use crate::exchange::{Exchange, Failure};
use crate::gateway::Slot;
use crate::metrics::End;
use crate::quarantine;
use crate::serve::{PendingGuard, RequestRecord};
use crate::stages;

/// Events buffered for a slow client. A full buffer slows the target down by TCP flow control.
const EVENT_BUFFER: usize = 32;

/// Bytes of events that wait for a slow client before nothing more is read from the target. A single
/// event may be longer.
const QUEUED_BYTES: usize = 64 * 1024;

/// Stall timeout as a multiple of the gap objective between events. After it another target is asked
/// to resume the stream if one has a free slot.
const STALL_FACTOR: f64 = 3.0;

/// The same for a stream with stages, which may have to run again before another target resumes.
const STAGED_STALL_FACTOR: f64 = 6.0;

/// Shortest stall timeout: an engine that processes another request's long prompt pauses for less.
const MIN_STALL: Duration = Duration::from_millis(900);

/// The receiving end of a stream's events.
pub type EventReceiver = mpsc::Receiver<Result<Bytes, BodyInterrupted>>;

type EventSender = Sender<Result<Bytes, BodyInterrupted>>;

/// A stream that is being forwarded.
pub struct Relay {
    /// The request.
    pub exchange: Arc<Exchange>,
    /// Handles of the stage results, which may no longer be available.
    pub inputs: Vec<String>,
    /// The attempts so far.
    pub history: AttemptHistory,
    /// Preferred zone for a target that resumes the stream.
    pub zone: ZoneName,
    /// Log record of the request.
    pub record: RequestRecord,
    /// Logs the request if the process ends first.
    pub guard: PendingGuard,
}

/// What the target of a stream did next.
enum Read {
    Event(Event),
    Complete,
    Interrupted(&'static str),
    /// No event within the stall timeout, but the target may be healthy.
    Stalled,
    ClientGone,
    OutOfTime,
    /// The stream holds more memory than the others, and no more is left.
    OutOfMemory,
}

/// Outcome of the attempt to resume a stalled stream at another target.
enum Takeover {
    /// The other target has sent an event.
    Resumed(Box<Stream>),
    /// The stalled target went on first.
    Returned(Box<Stream>, Read),
    /// No other target resumes the stream; the stalled one may still go on.
    Failed(Box<Stream>),
    /// The stalled target has failed, and no other one resumes the stream.
    Lost(&'static str),
    ClientGone,
}

impl Relay {
    /// Starts a task that forwards the stream.
    pub fn start(self, stream: Box<Stream>) -> EventReceiver {
        let (sender, events) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(self.run(stream, sender));
        events
    }

    async fn run(mut self, mut stream: Box<Stream>, events: EventSender) {
        // Only complete events reset the stall timeout, not mere bytes.
        let mut last_event = Instant::now();
        let mut returned = None;
        let memory = self.exchange.memory.clone();
        // Without the stream's own bytes.
        let base_bytes = memory.bytes() - stream.held.bytes();
        loop {
            let read = match returned.take() {
                Some(read) => read,
                None => {
                    let stalled_at = self.stall_timeout().map(|time| last_event + time);
                    read_event(&self.exchange, &mut stream, &events, stalled_at).await
                }
            };
            match read {
                Read::Event(event) => {
                    let held = stream.held.split(event.bytes.len());
                    stream.held.shrink_to(stream.splitter.buffered());
                    if events.send(Ok(held.attach(event.bytes))).await.is_err() {
                        return self.abandon(*stream);
                    }
                    quarantine::record_event(&self.exchange, &stream.slot.progress);
                    let queued = base_bytes + stream.held.bytes() + QUEUED_BYTES;
                    self.wait_for_client(&events, queued).await;
                    last_event = Instant::now();
                }
                Read::Complete => return self.complete(*stream),
                Read::ClientGone => return self.abandon(*stream),
                Read::OutOfTime => return self.interrupt(&events, "out of time").await,
                Read::OutOfMemory => {
                    stream.slot.set_outcome(Outcome::Unknown);
                    return self.interrupt(&events, "no memory left").await;
                }
                Read::Interrupted(reason) => {
                    let resumed = tokio::select! {
                        resumed = self.resume(*stream, reason) => Some(resumed),
                        () = events.closed() => None,
                    };
                    match resumed {
                        Some(Some(next)) => {
                            stream = next;
                            last_event = Instant::now();
                        }
                        Some(None) => return self.interrupt(&events, reason).await,
                        None => return self.close_abandoned(),
                    }
                }
                Read::Stalled => match self.take_over(stream, &events).await {
                    Takeover::Resumed(next) | Takeover::Failed(next) => {
                        stream = next;
                        last_event = Instant::now();
                    }
                    Takeover::Returned(next, read) => {
                        stream = next;
                        returned = Some(read);
                    }
                    Takeover::Lost(reason) => return self.interrupt(&events, reason).await,
                    Takeover::ClientGone => return self.close_abandoned(),
                },
            }
        }
    }

    fn complete(self, stream: Stream) {
        if stream.is_framed {
            quarantine::record_complete(&self.exchange);
        }
        let Stream {
            slot,
            connection,
            idle,
            ..
        } = stream;
        let upstream = &self.exchange.gateway.upstream;
        upstream.put_back_when_ready(&slot.target.name, connection, idle);
        slot.release();
        let is_late = self.record.is_late(&self.exchange);
        let end = if is_late { End::Late } else { End::InTime };
        self.close(end, "complete");
    }

    fn abandon(self, mut stream: Stream) {
        stream.slot.set_outcome(Outcome::Unknown);
        self.close_abandoned();
    }

    fn close_abandoned(self) {
        if self.exchange.memory.is_evicted() {
            self.close(End::Failed, "no memory left");
        } else {
            self.close(End::Abandoned, "the client disconnected");
        }
    }

    /// Waits until the exchange holds at most `bytes`, or its client has disconnected.
    async fn wait_for_client(&self, events: &EventSender, bytes: usize) {
        tokio::select! {
            () = self.exchange.memory.wait_until(bytes) => {}
            () = events.closed() => {}
        }
    }

    /// Ends the client's stream so that it does not look complete.
    async fn interrupt(self, events: &EventSender, reason: &'static str) {
        // The client may have disconnected.
        let _ = events.send(Err(BodyInterrupted)).await;
        self.exchange.gateway.metrics.interrupted_streams.inc();
        self.close(End::Failed, reason);
    }

    fn close(mut self, end: End, reason: &'static str) {
        self.record.targets = self.history.tried.len();
        self.record.close(&self.exchange, end, reason);
        self.guard.close();
    }

    /// Stall timeout; none if the stream may not be resumed.
    fn stall_timeout(&self) -> Option<Duration> {
        let factor = if self.exchange.route.stages.is_empty() {
            STALL_FACTOR
        } else {
            STAGED_STALL_FACTOR
        };
        let stall_timeout = self.exchange.route.event_gap_objective.mul_f64(factor);
        self.may_resume().then(|| stall_timeout.max(MIN_STALL))
    }

    fn may_resume(&self) -> bool {
        let is_resumable = self.exchange.route.kind == RequestKind::Stream { resumable: true };
        is_resumable && self.history.possible_runs + 1 < self.exchange.route.max_attempts
    }

    /// Resumes a stream whose target has failed at another target.
    async fn resume(&mut self, mut failed: Stream, reason: &'static str) -> Option<Box<Stream>> {
        failed.slot.set_outcome(Outcome::Unreachable);
        let last = failed.splitter.last();
        self.log_left(&failed.slot.target.name, last, reason);
        self.history.possible_runs += 1;
        let is_resumable = self.exchange.route.kind == RequestKind::Stream { resumable: true };
        let has_attempts = self.history.possible_runs < self.exchange.route.max_attempts;
        if !is_resumable || !has_attempts || !quarantine::may_repeat(&self.exchange) {
            return None;
        }
        drop(failed);
        self.history.forget_refusals();
        self.resume_after(last, None).await
    }

    /// Asks another target to resume a stalled stream. The stalled target may be sound, so its
    /// connection stays open until the other one has sent an event.
    async fn take_over(&mut self, mut stalled: Box<Stream>, events: &EventSender) -> Takeover {
        // Counts the stalled target's own run while the other attempts are counted.
        self.history.possible_runs += 1;
        let exchange = Arc::clone(&self.exchange);
        let last = stalled.splitter.last();
        let name = stalled.slot.target.name.clone();
        let mut resumed = Box::pin(self.resume_stalled(&name, last));
        let end = tokio::select! {
            biased;
            read = read_event(&exchange, &mut stalled, events, None) => match read {
                Read::Interrupted(reason) => {
                    stalled.slot.set_outcome(Outcome::Unreachable);
                    drop(stalled);
                    return tokio::select! {
                        next = resumed => next.map_or(Takeover::Lost(reason), Takeover::Resumed),
                        () = events.closed() => Takeover::ClientGone,
                    };
                }
                read => Some(read),
            },
            next = resumed.as_mut() => match next {
                Some(next) => {
                    stalled.slot.set_outcome(Outcome::Unreachable);
                    return Takeover::Resumed(next);
                }
                None => None,
            },
        };
        // Ends the attempts, which are counted then.
        drop(resumed);
        self.history.possible_runs -= 1;
        match end {
            Some(read) => Takeover::Returned(stalled, read),
            None => Takeover::Failed(stalled),
        }
    }

    async fn resume_stalled(
        &mut self,
        name: &TargetName,
        last: Option<u64>,
    ) -> Option<Box<Stream>> {
        self.history.forget_refusals();
        let (exchange, history) = (&self.exchange, &self.history);
        let slot = attempt::reserve_retry_slot(exchange, &self.zone, history).await?;
        self.log_left(name, last, "the stream stalled");
        self.resume_after(last, Some(slot)).await
    }

    fn log_left(&self, name: &TargetName, last: Option<u64>, reason: &str) {
        log::info!(
            "gateway: request {} at {name}: {reason} after event {last:?}",
            self.exchange.id
        );
    }

    /// Continues the stream at another target after event `last`.
    async fn resume_after(&mut self, last: Option<u64>, slot: Option<Slot>) -> Option<Box<Stream>> {
        let last = last.or(self.exchange.fields.last_event);
        self.history.is_resumed = true;
        let resumed = self.resume_at_target(last, slot).await;
        if resumed.is_some() || !std::mem::take(&mut self.history.inputs_gone) {
            return resumed;
        }
        // The first target had fetched the stage results, and their memory has been reused since.
        let gateway = &self.exchange.gateway;
        let deadline = gateway.at(self.exchange.deadline);
        let results = gateway.run_until(deadline, stages::run(&self.exchange, &self.zone));
        let results = match results.await.unwrap_or(Err(Failure::TimedOut)) {
            Ok(results) => results,
            Err(failure) => {
                let id = &self.exchange.id;
                let reason = failure.reason();
                log::info!("gateway: request {id}: rerun of the stages failed: {reason}");
                return None;
            }
        };
        self.inputs.clone_from(&results.inputs);
        let resumed = self.resume_at_target(last, None).await;
        drop(results.close());
        resumed
    }

    /// Sends the request to a target that resumes after event `last`.
    async fn resume_at_target(
        &mut self,
        last: Option<u64>,
        slot: Option<Slot>,
    ) -> Option<Box<Stream>> {
        let params = AttemptParams {
            inputs: &self.inputs,
            last_event: last,
            zone: &self.zone,
            slot,
        };
        match attempt::run(&self.exchange, params, &mut self.history).await {
            Ok(Answer::Stream(stream)) => {
                let target = &stream.slot.target;
                log::info!(
                    "gateway: request {} goes on at {} after event {last:?}; version={} previous_version={}",
                    self.exchange.id,
                    target.name,
                    target.version,
                    self.record.target_version.as_deref().unwrap_or("-"),
                );
                Some(stream)
            }
            Ok(Answer::Whole(_)) => None,
            Err(failure) => {
                let id = &self.exchange.id;
                log::info!("gateway: request {id}: not resumed: {}", failure.reason());
                None
            }
        }
    }
}

/// Reads up to the next event. Cancelling this loses nothing.
async fn read_event(
    exchange: &Exchange,
    stream: &mut Stream,
    events: &EventSender,
    stalled_at: Option<Instant>,
) -> Read {
    if let Some(first) = stream.first.take() {
        return Read::Event(first);
    }
    let deadline = exchange.gateway.at(exchange.deadline);
    let limit = stalled_at.map_or(deadline, |stalled_at| stalled_at.min(deadline));
    loop {
        // What was read counts before more is read; a cancelled wait is repeated by the next call.
        let counted = tokio::select! {
            counted = stream.held.grow_to(stream.splitter.buffered()) => counted,
            () = events.closed() => return Read::ClientGone,
        };
        if counted.is_err() {
            return Read::OutOfMemory;
        }
        match stream.splitter.next_event() {
            Ok(Some(event)) => return Read::Event(event),
            Ok(None) if stream.is_ended => return Read::Complete,
            Ok(None) => {}
            Err(_) => return Read::Interrupted("an event is missing"),
        }
        let read = tokio::select! {
            read = exchange.gateway.run_until(limit, stream.body.frame()) => read,
            () = events.closed() => return Read::ClientGone,
        };
        match read {
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    stream.splitter.push(&data);
                }
            }
            Some(Some(Err(error))) => {
                if client::is_ended_by_server(&error) {
                    record_crash(exchange, stream);
                }
                return Read::Interrupted("the stream was interrupted");
            }
            Some(None) if stream.splitter.has_partial() => {
                if !stream.is_framed {
                    record_crash(exchange, stream);
                }
                return Read::Interrupted("the stream was interrupted inside an event");
            }
            Some(None) => stream.is_ended = true,
            None if exchange.time_left().is_zero() => return Read::OutOfTime,
            None => return Read::Stalled,
        }
    }
}

fn record_crash(exchange: &Exchange, stream: &Stream) {
    let slot = &stream.slot;
    quarantine::record_crash(exchange, &slot.target.name, &slot.progress);
}
