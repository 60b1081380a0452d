//! Runs one call of a stage on its own task.
//!
//! Sends the call once and reports its events and its end to the request's task. Owns the call's
//! slot at the target. Whether the call is repeated is decided by the request's task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::latency::Class;
use azurelug_core::pipeline::{CallId, Event, StageResults};
use azurelug_core::routing::Completion;
use azurelug_types::config::{Stage, StageKind};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::engine::{self, Failure};
use crate::entry_state::{EntryState, InFlightCall};
use crate::estimates::{Classes, is_short};
use crate::slots::Reservation;

/// A stream that produces no token for this long counts as failed and is resumed on another target.
/// The usual time between tokens is 29 ms at the 95th percentile.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// A message from a call's task to the request's task.
#[derive(Debug)]
pub enum Message {
    /// An event for the request's state machine.
    Event(Event),
    /// The call has failed.
    Failed {
        /// The call.
        call: CallId,
        /// Whether the target has certainly received no byte.
        is_not_sent: bool,
        /// Whether the target has certainly not executed any of it.
        is_not_executed: bool,
    },
}

/// The task of one call.
pub struct Task {
    /// The shared state.
    pub entry_state: Arc<EntryState>,
    /// The call.
    pub call: CallId,
    /// Its stage.
    pub stage: Stage,
    /// The latency classes of the request's stages.
    pub classes: Classes,
    /// The results of the stages so far.
    pub context: StageResults,
    /// The most tokens that a generate stage may produce.
    pub max_tokens: u32,
    /// Index of the first token that is still needed.
    pub resume_from: u32,
    /// The engine that may still hold the KV cache of an earlier call of the stream, and that call.
    pub kv_source: Option<(SocketAddr, CallId)>,
    /// Time limit for the first token, or for the whole answer of a stage without tokens.
    pub first_response_timeout: Duration,
    /// Channel to the request's task.
    pub messages: mpsc::Sender<Message>,
    /// Held for as long as the slot.
    pub reservation: Reservation,
}

impl Task {
    /// Sends the call and reports its events and its end.
    pub async fn run(self, slot: InFlightCall) {
        let result = match self.stage.kind {
            StageKind::Generate => self.generate(&slot).await,
            kind => self.run_unary(kind, &slot).await.map(|()| None),
        };
        match result {
            Ok(first_token) => slot.release(Completion::Success, first_token),
            Err(failure) => {
                log::debug!(
                    "entry: call {} to {} failed: {}",
                    self.call,
                    slot.target,
                    failure.message
                );
                if failure.is_stopped {
                    slot.release(failure.completion, None);
                } else {
                    slot.abandon(failure.completion);
                }
                let call = self.call.clone();
                let message = Message::Failed {
                    call,
                    is_not_sent: failure.is_not_sent,
                    is_not_executed: failure.is_not_executed,
                };
                // The request may have ended already.
                let _ = self.messages.send(message).await;
            }
        }
    }

    async fn run_unary(&self, kind: StageKind, slot: &InFlightCall) -> Result<(), Failure> {
        let request = self.request(slot);
        let output = engine::call_unary(&self.entry_state.pooled, kind, &request).await;
        let class = self.classes.stage(usize::from(self.call.stage.0));
        let output =
            output.inspect_err(|failure| self.record_timeout(failure, class, slot.elapsed()))?;
        self.record_success(kind, slot.elapsed());
        let call = self.call.clone();
        self.report(Event::Finished { call, output }).await;
        Ok(())
    }

    /// Forwards tokens to the request's task; returns the time to the first token.
    async fn generate(&self, slot: &InFlightCall) -> Result<Option<Duration>, Failure> {
        let request = self.request(slot);
        let client = &self.entry_state.pooled;
        let first_response = self.classes.first_response(usize::from(self.call.stage.0));
        if let Some((from, earlier)) = &self.kv_source
            && let Err(failure) = engine::copy_kv_cache(client, *from, earlier, slot.address).await
        {
            // Without the KV cache, the engine prefills the prompt itself.
            log::debug!(
                "entry: KV cache of {earlier} was not copied: {}",
                failure.message
            );
        }
        let tokens = engine::generate(client, &request, self.max_tokens, self.resume_from).await;
        let mut tokens = tokens
            .inspect_err(|failure| self.record_timeout(failure, first_response, slot.elapsed()))?;
        let mut first_token = None;
        let mut time_blocked = Duration::ZERO;
        loop {
            let token_timeout = if first_token.is_none() {
                request.timeout
            } else {
                TOKEN_TIMEOUT
            };
            let next = timeout(token_timeout, tokens.next()).await;
            let next = next.unwrap_or_else(|_| Err(Failure::no_token(token_timeout)));
            if let (Err(failure), None) = (&next, first_token) {
                self.record_timeout(failure, first_response, slot.elapsed());
            }
            let Some(token) = next? else {
                let message = "the stream ended before its last token";
                return Err(Failure::after_sending(message));
            };
            if first_token.is_none() {
                first_token = Some(slot.elapsed());
                self.entry_state
                    .estimates
                    .record(first_response, slot.elapsed());
            }
            let is_last = token.is_last;
            if is_last {
                // Time spent waiting for a slow caller doesn't count as latency of the stage.
                let latency = slot.elapsed().saturating_sub(time_blocked);
                self.record_success(StageKind::Generate, latency);
            }
            let report_started = Instant::now();
            self.report(Event::Token {
                call: self.call.clone(),
                index: token.index,
                text: token.text,
                is_last,
            })
            .await;
            time_blocked += report_started.elapsed();
            if is_last {
                return Ok(first_token);
            }
        }
    }

    /// Records a success. The latency of a resumed generation is not recorded, because it covers
    /// only a part of the output.
    fn record_success(&self, kind: StageKind, latency: Duration) {
        self.entry_state.estimates.credit_success(kind);
        if self.resume_from == 0 {
            let class = self.classes.stage(usize::from(self.call.stage.0));
            self.entry_state.estimates.record(class, latency);
        }
    }

    /// Records a timed-out call in the estimates, with the time waited as a lower bound of its
    /// latency.
    fn record_timeout(&self, failure: &Failure, class: Class, waited: Duration) {
        if failure.completion == Completion::TimedOut {
            self.entry_state.estimates.record_timeout(class, waited);
        }
    }

    fn request<'a>(&'a self, slot: &InFlightCall) -> engine::Request<'a> {
        engine::Request {
            address: slot.address,
            call: &self.call,
            model: &self.stage.model,
            context: &self.context,
            priority: u8::from(!is_short(self.max_tokens)),
            timeout: self.first_response_timeout,
        }
    }

    async fn report(&self, event: Event) {
        // The request may have ended already.
        let _ = self.messages.send(Message::Event(event)).await;
    }
}
