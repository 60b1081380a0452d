//! Forwards a stream's events to the client and resumes at another target after an interruption.

use std::time::Duration;

use azurelug_core::gateway::events::Splitter;
use azurelug_core::gateway::fleet::Outcome;
use azurelug_types::deployment::Kind;
use azurelug_types::id::ZoneName;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{self, Answer, Sending, Stream, Trail};
use crate::body::BrokenOff;
use crate::exchange::Exchange;
use crate::gateway::Place;
use crate::metrics::End;
use crate::serve::Record;
use crate::stages;

/// Events buffered for a slow client. A full buffer slows the target down by TCP flow control.
const EVENTS: usize = 32;

/// Stall timeout as a multiple of the gap objective between events. After it the stream is resumed
/// at another target if one has a free slot.
const STALL_FACTOR: f64 = 3.0;

/// The same for a stream with stages, which may have to run again before another target resumes.
const STAGED_STALL_FACTOR: f64 = 6.0;

/// Shortest stall timeout: an engine that processes another request's long prompt pauses for less.
const MIN_STALL: Duration = Duration::from_millis(900);

/// The receiving end of a stream's events.
pub type Events = mpsc::Receiver<Result<Bytes, BrokenOff>>;

/// A stream that is being forwarded.
pub struct Relay {
    /// The request.
    pub exchange: Exchange,
    /// Handles of the stage results, which may have expired.
    pub inputs: Vec<String>,
    /// The attempts so far.
    pub trail: Trail,
    /// Preferred zone for a target that resumes the stream.
    pub zone: ZoneName,
    /// Log record of the request.
    pub record: Record,
}

/// Why the part of the stream that comes from one target has ended.
enum Part {
    Whole,
    Broken(&'static str),
    /// No event within the stall timeout, but the target may be healthy.
    Stalled,
    ClientGone,
    OutOfTime,
}

impl Relay {
    /// Starts a task that forwards the stream.
    pub fn start(self, stream: Box<Stream>) -> Events {
        let (sender, events) = mpsc::channel(EVENTS);
        tokio::spawn(self.run(stream, sender));
        events
    }

    async fn run(mut self, mut stream: Box<Stream>, events: Sender<Result<Bytes, BrokenOff>>) {
        loop {
            let part = self.pass_on(&mut stream, &events).await;
            let (reason, next) = match part {
                Part::Whole => {
                    let Stream {
                        place,
                        connection,
                        idle,
                        ..
                    } = *stream;
                    let upstream = &self.exchange.gateway.upstream;
                    upstream.keep_when_ready(&place.target.name, connection, idle);
                    place.close();
                    let is_late = self.record.is_late(&self.exchange);
                    let end = if is_late { End::Late } else { End::InTime };
                    return self.close(end, "complete");
                }
                Part::ClientGone => {
                    stream.place.show(Outcome::Unknown);
                    return self.close(End::Abandoned, "the client disconnected");
                }
                Part::OutOfTime => {
                    let _ = events.send(Err(BrokenOff)).await;
                    return self.close(End::Failed, "out of time");
                }
                Part::Broken(reason) => (reason, None),
                Part::Stalled => {
                    let next = attempt::reserve(&self.exchange, &self.zone, &self.trail);
                    if next.is_none() {
                        continue;
                    }
                    ("the stream stalled", next)
                }
            };
            stream.place.show(Outcome::Unreachable);
            let name = &stream.place.target.name;
            let last = stream.splitter.last();
            log::info!(
                "gateway: request {} at {name}: {reason} after event {last:?}",
                self.exchange.id
            );
            self.trail.runs += 1;
            match self.resume(*stream, next).await {
                Some(next) => stream = next,
                None => {
                    let _ = events.send(Err(BrokenOff)).await;
                    return self.close(End::Failed, reason);
                }
            }
        }
    }

    fn close(mut self, end: End, reason: &'static str) {
        self.record.targets = self.trail.tried.len();
        self.record.close(&self.exchange, end, reason);
    }

    /// Forwards events until the target's part of the stream ends.
    async fn pass_on(
        &mut self,
        stream: &mut Stream,
        events: &Sender<Result<Bytes, BrokenOff>>,
    ) -> Part {
        let gateway = &self.exchange.gateway;
        let deadline = gateway.at(self.exchange.deadline);
        let mut next = stream.first.take();
        // Only complete events reset the stall timeout, not mere bytes.
        let mut last = Instant::now();
        loop {
            if let Some(event) = next.take() {
                if events.send(Ok(event.bytes)).await.is_err() {
                    return Part::ClientGone;
                }
                last = Instant::now();
            }
            match stream.splitter.next_event() {
                Ok(Some(event)) => {
                    next = Some(event);
                    continue;
                }
                Ok(None) if stream.is_ended => return Part::Whole,
                Ok(None) => {}
                Err(_) => return Part::Broken("an event is missing"),
            }
            let patience = self.stall().map(|stall| last + stall);
            let limit = patience.map_or(deadline, |patience| patience.min(deadline));
            let read = tokio::select! {
                read = timeout_at(limit, stream.body.frame()) => read,
                () = events.closed() => return Part::ClientGone,
            };
            match read {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        stream.splitter.push(&data);
                    }
                }
                Ok(Some(Err(_))) => return Part::Broken("the stream was interrupted"),
                Ok(None) if stream.splitter.has_partial() => {
                    return Part::Broken("the stream was interrupted inside an event");
                }
                Ok(None) => stream.is_ended = true,
                Err(_) if self.exchange.left().is_zero() => return Part::OutOfTime,
                Err(_) => return Part::Stalled,
            }
        }
    }

    /// Stall timeout; none if the stream may not be resumed.
    fn stall(&self) -> Option<Duration> {
        let factor = if self.exchange.route.stages.is_empty() {
            STALL_FACTOR
        } else {
            STAGED_STALL_FACTOR
        };
        let stall = self.exchange.route.gap_objective.mul_f64(factor);
        self.may_resume().then(|| stall.max(MIN_STALL))
    }

    fn may_resume(&self) -> bool {
        let is_resumable = self.exchange.route.kind == Kind::Stream { resumable: true };
        is_resumable && self.trail.runs + 1 < self.exchange.route.max_attempts
    }

    /// Resumes the stream at another target after the last forwarded event.
    async fn resume(&mut self, broken: Stream, next: Option<Place>) -> Option<Box<Stream>> {
        let is_resumable = self.exchange.route.kind == Kind::Stream { resumable: true };
        if !is_resumable || self.trail.runs >= self.exchange.route.max_attempts {
            return None;
        }
        let Stream {
            splitter,
            connection,
            place,
            ..
        } = broken;
        // The failed target must stop before another one starts.
        drop(connection);
        place.close();
        let last = splitter.last().or(self.exchange.fields.last_event);
        let resumed = self.go_on(last, next).await;
        if resumed.is_some() || !std::mem::take(&mut self.trail.inputs_gone) {
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
        let resumed = self.go_on(last, None).await;
        drop(results.close());
        resumed
    }

    /// Sends the request to a target that resumes after event `last`.
    async fn go_on(&mut self, last: Option<u64>, next: Option<Place>) -> Option<Box<Stream>> {
        let sending = Sending {
            inputs: &self.inputs,
            last_event: last,
            zone: &self.zone,
            splitter: Splitter::after(last),
            place: next,
        };
        match attempt::run(&self.exchange, sending, &mut self.trail).await {
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
