//! Forwards a stream's events to the client and resumes at another target after an interruption.

use std::time::Duration;

use azurelug_core::gateway::events::Splitter;
use azurelug_core::gateway::fleet::Outcome;
use azurelug_types::deployment::RequestKind;
use azurelug_types::id::ZoneName;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{self, Answer, AttemptHistory, AttemptParams, Stream};
use crate::body::BodyInterrupted;
use crate::exchange::Exchange;
use crate::gateway::Slot;
use crate::metrics::End;
use crate::serve::RequestRecord;
use crate::stages;

/// Events buffered for a slow client. A full buffer slows the target down by TCP flow control.
const EVENT_BUFFER: usize = 32;

/// Stall timeout as a multiple of the gap objective between events. After it the stream is resumed
/// at another target if one has a free slot.
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
    pub exchange: Exchange,
    /// Handles of the stage results, which may no longer be available.
    pub inputs: Vec<String>,
    /// The attempts so far.
    pub history: AttemptHistory,
    /// Preferred zone for a target that resumes the stream.
    pub zone: ZoneName,
    /// Log record of the request.
    pub record: RequestRecord,
}

/// Why the part of the stream that comes from one target has ended.
enum SegmentEnd {
    Complete,
    Interrupted(&'static str),
    /// No event within the stall timeout, but the target may be healthy.
    Stalled,
    ClientGone,
    OutOfTime,
}

impl Relay {
    /// Starts a task that forwards the stream.
    pub fn start(self, stream: Box<Stream>) -> EventReceiver {
        let (sender, events) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(self.run(stream, sender));
        events
    }

    async fn run(mut self, mut stream: Box<Stream>, events: EventSender) {
        loop {
            let segment_end = self.forward_events(&mut stream, &events).await;
            let (reason, next) = match segment_end {
                SegmentEnd::Complete => {
                    let Stream {
                        slot,
                        connection,
                        idle,
                        ..
                    } = *stream;
                    let upstream = &self.exchange.gateway.upstream;
                    upstream.put_back_when_ready(&slot.target.name, connection, idle);
                    slot.release();
                    let is_late = self.record.is_late(&self.exchange);
                    let end = if is_late { End::Late } else { End::InTime };
                    return self.close(end, "complete");
                }
                SegmentEnd::ClientGone => {
                    stream.slot.set_outcome(Outcome::Unknown);
                    return self.close(End::Abandoned, "the client disconnected");
                }
                SegmentEnd::OutOfTime => {
                    return self.interrupt(&events, "out of time").await;
                }
                SegmentEnd::Interrupted(reason) => (reason, None),
                SegmentEnd::Stalled => {
                    let (exchange, history) = (&self.exchange, &self.history);
                    let next = attempt::reserve_retry_slot(exchange, &self.zone, history).await;
                    if next.is_none() {
                        continue;
                    }
                    ("the stream stalled", next)
                }
            };
            stream.slot.set_outcome(Outcome::Unreachable);
            let name = &stream.slot.target.name;
            let last = stream.splitter.last();
            log::info!(
                "gateway: request {} at {name}: {reason} after event {last:?}",
                self.exchange.id
            );
            self.history.possible_runs += 1;
            match self.resume(*stream, next).await {
                Some(next) => stream = next,
                None => return self.interrupt(&events, reason).await,
            }
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
    }

    /// Forwards events until the target's part of the stream ends.
    async fn forward_events(&mut self, stream: &mut Stream, events: &EventSender) -> SegmentEnd {
        let gateway = &self.exchange.gateway;
        let deadline = gateway.at(self.exchange.deadline);
        let mut next = stream.first.take();
        // Only complete events reset the stall timeout, not mere bytes.
        let mut last = Instant::now();
        loop {
            if let Some(event) = next.take() {
                if events.send(Ok(event.bytes)).await.is_err() {
                    return SegmentEnd::ClientGone;
                }
                last = Instant::now();
            }
            match stream.splitter.next_event() {
                Ok(Some(event)) => {
                    next = Some(event);
                    continue;
                }
                Ok(None) if stream.is_ended => return SegmentEnd::Complete,
                Ok(None) => {}
                Err(_) => return SegmentEnd::Interrupted("an event is missing"),
            }
            let stall_deadline = self
                .stall_timeout()
                .map(|stall_timeout| last + stall_timeout);
            let limit =
                stall_deadline.map_or(deadline, |stall_deadline| stall_deadline.min(deadline));
            let read = tokio::select! {
                read = timeout_at(limit, stream.body.frame()) => read,
                () = events.closed() => return SegmentEnd::ClientGone,
            };
            match read {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        stream.splitter.push(&data);
                    }
                }
                Ok(Some(Err(_))) => return SegmentEnd::Interrupted("the stream was interrupted"),
                Ok(None) if stream.splitter.has_partial() => {
                    return SegmentEnd::Interrupted("the stream was interrupted inside an event");
                }
                Ok(None) => stream.is_ended = true,
                Err(_) if self.exchange.time_left().is_zero() => return SegmentEnd::OutOfTime,
                Err(_) => return SegmentEnd::Stalled,
            }
        }
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

    /// Resumes the stream at another target after the last forwarded event.
    async fn resume(&mut self, failed: Stream, next: Option<Slot>) -> Option<Box<Stream>> {
        let is_resumable = self.exchange.route.kind == RequestKind::Stream { resumable: true };
        if !is_resumable || self.history.possible_runs >= self.exchange.route.max_attempts {
            return None;
        }
        let Stream {
            splitter,
            connection,
            slot,
            ..
        } = failed;
        // The failed target must stop before another one starts.
        drop(connection);
        slot.release();
        let last = splitter.last().or(self.exchange.fields.last_event);
        self.history.is_resumed = true;
        let resumed = self.resume_at_target(last, next).await;
        if resumed.is_some() || !std::mem::take(&mut self.history.inputs_gone) {
            return resumed;
        }
        // The first target had fetched the stage results, and their memory has been reused since.
        let results = match stages::run(&self.exchange, &self.zone).await {
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
        next: Option<Slot>,
    ) -> Option<Box<Stream>> {
        let params = AttemptParams {
            inputs: &self.inputs,
            last_event: last,
            zone: &self.zone,
            splitter: Splitter::after(last),
            slot: next,
        };
        match attempt::run(&self.exchange, params, &mut self.history).await {
            Ok(Answer::Stream(stream)) => Some(stream),
            Ok(Answer::Whole(_)) => None,
            Err(failure) => {
                let id = &self.exchange.id;
                log::info!("gateway: request {id}: not resumed: {}", failure.reason());
                None
            }
        }
    }
}
