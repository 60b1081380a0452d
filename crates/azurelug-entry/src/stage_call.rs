//! Runs one call of a stage on its own task.
//!
//! Sends the call once and reports its events and its end to the request's task. Owns the call's
//! slot at the target. Silence is reported and does not end the call. Whether the call is repeated
//! or cancelled is decided by the request's task.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::latency::Class;
use azurelug_core::pipeline::{CallId, Event, StageResults};
use azurelug_core::routing::Completion;
use azurelug_types::config::{Stage, StageKind};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::engine::{self, Failure, Token, Tokens};
use crate::entry_state::{EntryState, InFlightCall};
use crate::estimates::{Classes, is_short};
use crate::slots::Reservation;

/// A stream that produces no token for this long is silent and may be resumed on another target. The usual time between tokens is 29 ms at the 95th percentile.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// By how much the time limit of a connection exceeds the request's deadline. The request's task
/// ends its calls at the deadline, before their connections time out.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);

/// A message from a call's task to the request's task.
#[derive(Debug)]
pub enum Message {
    /// An event for the request's state machine.
    Event(Event),
    /// The call is silent; it goes on.
    Silent {
        /// The call.
        call: CallId,
    },
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
    /// Time until the first token, or the whole answer of a stage without tokens, after which the
    /// call is reported as silent.
    pub first_response_timeout: Duration,
    /// The request's deadline.
    pub deadline: Instant,
    /// Channel to the request's task.
    pub messages: mpsc::Sender<Message>,
    /// Held for as long as the slot.
    pub reservation: Reservation,
}

impl Task {
    /// Sends the call and reports its events and its end.
    pub async fn run(self, mut slot: InFlightCall) {
        let result = match self.stage.kind {
            StageKind::Generate => self.generate(&mut slot).await,
            kind => self.run_unary(kind, &mut slot).await.map(|()| None),
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

    async fn run_unary(&self, kind: StageKind, slot: &mut InFlightCall) -> Result<(), Failure> {
        let request = self.request(slot.address);
        let class = self.classes.stage(usize::from(self.call.stage.0));
        let answer = engine::call_unary(&self.entry_state.pooled, kind, &request);
        let output = self.first_response(slot, class, answer).await?;
        self.record_success(kind, slot.elapsed());
        let call = self.call.clone();
        self.report(Event::Finished { call, output }).await;
        Ok(())
    }

    /// Forwards tokens to the request's task; returns the time to the first token.
    async fn generate(&self, slot: &mut InFlightCall) -> Result<Option<Duration>, Failure> {
        self.copy_kv_cache(slot).await;
        let class = self.classes.first_response(usize::from(self.call.stage.0));
        let (mut tokens, mut token) = self
            .first_response(slot, class, self.open(slot.address))
            .await?;
        let first_token = slot.elapsed();
        self.entry_state.estimates.record(class, first_token);
        let mut time_blocked = Duration::ZERO;
        loop {
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
                return Ok(Some(first_token));
            }
            token = self.next_token(slot, &mut tokens).await?;
        }
    }

    /// Starts the stream and waits for its first token.
    async fn open(&self, address: SocketAddr) -> Result<(Tokens, Token), Failure> {
        let client = &self.entry_state.pooled;
        let request = self.request(address);
        let stream = engine::generate(client, &request, self.max_tokens, self.resume_from);
        let mut tokens = stream.await?;
        let token = tokens.next().await?.ok_or_else(stream_ended)?;
        Ok((tokens, token))
    }

    async fn next_token(
        &self,
        slot: &mut InFlightCall,
        tokens: &mut Tokens,
    ) -> Result<Token, Failure> {
        let mut next = pin!(tokens.next());
        let token = match timeout(TOKEN_TIMEOUT, next.as_mut()).await {
            Ok(token) => token,
            Err(_) => {
                self.report_silence(slot).await;
                next.await
            }
        };
        token?.ok_or_else(stream_ended)
    }

    /// Copies the KV cache of an earlier call, if there is one. Without it, the engine prefills the
    /// prompt itself.
    async fn copy_kv_cache(&self, slot: &InFlightCall) {
        let client = &self.entry_state.pooled;
        if let Some((from, earlier)) = &self.kv_source
            && let Err(failure) = engine::copy_kv_cache(client, *from, earlier, slot.address).await
        {
            log::debug!(
                "entry: KV cache of {earlier} was not copied: {}",
                failure.message
            );
        }
    }

    /// Waits for the first response of the target; reports the call as silent if it takes longer
    /// than the timeout. The time waited is recorded as a lower bound of the latency.
    async fn first_response<T>(
        &self,
        slot: &mut InFlightCall,
        class: Class,
        response: impl Future<Output = T>,
    ) -> T {
        let mut response = pin!(response);
        if let Ok(response) = timeout(self.first_response_timeout, response.as_mut()).await {
            return response;
        }
        let estimates = &self.entry_state.estimates;
        estimates.record_timeout(class, slot.elapsed());
        self.report_silence(slot).await;
        response.await
    }

    async fn report_silence(&self, slot: &mut InFlightCall) {
        log::debug!("entry: call {} to {} is silent", self.call, slot.target);
        slot.record_timeout();
        let call = self.call.clone();
        // The request may have ended already.
        let _ = self.messages.send(Message::Silent { call }).await;
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

    fn request(&self, address: SocketAddr) -> engine::Request<'_> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        engine::Request {
            address,
            call: &self.call,
            model: &self.stage.model,
            context: &self.context,
            priority: u8::from(!is_short(self.max_tokens)),
            timeout: time_left + DEADLINE_MARGIN,
        }
    }

    async fn report(&self, event: Event) {
        // The request may have ended already.
        let _ = self.messages.send(Message::Event(event)).await;
    }
}

fn stream_ended() -> Failure {
    Failure::after_sending("the stream ended before its last token")
}
