//! Passes a stream's events on to the client, and goes on at another target if one breaks off.

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

/// Events that wait for a slow client. More hold the target back through its connection.
const EVENTS: usize = 32;

/// A pause between events after which another target goes on with a stream, if one has room, as a
/// multiple of the longest pause that is still on time.
const STALL_FACTOR: f64 = 3.0;

/// The same for a stream with stages, which have to run again before another target goes on.
const STAGED_STALL_FACTOR: f64 = 6.0;

/// The shortest such pause: an engine that reads another request's long prompt stops for less.
const MIN_STALL: Duration = Duration::from_millis(900);

/// The receiving end of a stream's events.
pub type Events = mpsc::Receiver<Result<Bytes, BrokenOff>>;

/// A stream that is being passed on.
pub struct Relay {
    /// The request.
    pub exchange: Exchange,
    /// Handles of its stages' results, which may be gone by now.
    pub inputs: Vec<String>,
    /// Where it was sent so far.
    pub trail: Trail,
    /// The zone to prefer for a target that goes on.
    pub zone: ZoneName,
    /// What is logged at the end.
    pub record: Record,
}

/// Why a target's part of the stream has ended.
enum Part {
    Whole,
    Broken(&'static str),
    /// No event has come for long, but the target may be sound.
    Stalled,
    ClientGone,
    OutOfTime,
}

impl Relay {
    /// Starts to pass the stream on.
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
                    return self.close(end, "whole");
                }
                Part::ClientGone => {
                    stream.place.show(Outcome::Unknown);
                    return self.close(End::Abandoned, "the client left");
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

    /// Passes events on until the target's part ends.
    async fn pass_on(
        &mut self,
        stream: &mut Stream,
        events: &Sender<Result<Bytes, BrokenOff>>,
    ) -> Part {
        let gateway = &self.exchange.gateway;
        let deadline = gateway.at(self.exchange.deadline);
        let mut next = stream.first.take();
        // Bytes without an event do not keep a stream alive.
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
                Ok(Some(Err(_))) => return Part::Broken("the stream broke off"),
                Ok(None) if stream.splitter.has_partial() => {
                    return Part::Broken("the stream broke off inside an event");
                }
                Ok(None) => stream.is_ended = true,
                Err(_) if self.exchange.left().is_zero() => return Part::OutOfTime,
                Err(_) => return Part::Stalled,
            }
        }
    }

    /// The longest pause before another target goes on, if one may.
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

    /// Has another target go on after the last event that was passed on.
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
        // The broken target must stop before another one starts.
        drop(connection);
        place.close();
        let last = splitter.last().or(self.exchange.fields.last_event);
        let resumed = self.go_on(last, next).await;
        if resumed.is_some() || !std::mem::take(&mut self.trail.inputs_gone) {
            return resumed;
        }
        // The first target had fetched the results of the stages, and their room was needed.
        let results = match stages::run(&self.exchange, &self.zone).await {
            Ok(results) => results,
            Err(failure) => {
                let id = &self.exchange.id;
                let reason = failure.reason();
                log::info!("gateway: request {id}: stages not run again: {reason}");
                return None;
            }
        };
        self.inputs.clone_from(&results.inputs);
        let resumed = self.go_on(last, None).await;
        drop(results.close());
        resumed
    }

    /// Has a target go on after event `last`.
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
