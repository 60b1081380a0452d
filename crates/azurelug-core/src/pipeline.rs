//! The execution of one request through the stages of its pipeline.
//!
//! Owns the request's intermediate results and live attempts. Every result is matched by request,
//! stage and attempt; the first complete result of a stage is used, all others are reported as
//! waste. Sending is left to the caller, which carries out the returned actions.

use std::time::Duration;

use azurelug_types::config::{Pipeline, StageKind};
use azurelug_types::id::{Attempt, RequestId, StageIndex};
use azurelug_types::outcome::Reason;
use serde::{Deserialize, Serialize};

use crate::stream::{Stream, Token};

/// Maximum number of attempts at one stage, including the first one.
pub const MAX_ATTEMPTS: u16 = 4;

/// Identifies one call to a target. Its text form is sent as the engine's request id and echoed in
/// the engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The request.
    pub request: RequestId,
    /// The stage.
    pub stage: StageIndex,
    /// The attempt at the stage.
    pub attempt: Attempt,
}

impl std::fmt::Display for CallId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{}/{}/{}",
            self.request, self.stage.0, self.attempt.0
        )
    }
}

/// The results of the stages that are complete.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageResults {
    /// The caller's input, or the text of the last generate stage.
    pub query: String,
    /// The embedding of the query.
    pub embedding: Vec<f32>,
    /// Documents, best first.
    pub documents: Vec<String>,
    /// The generated text of the last generate stage.
    pub text: String,
}

/// The whole result of one stage that produces no token stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// From an encode stage.
    Embedding(Vec<f32>),
    /// From a retrieve or rerank stage, best first.
    Documents(Vec<String>),
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A whole result arrived.
    Finished {
        /// The call it answers, as echoed by the target.
        call: CallId,
        /// The result.
        output: Output,
    },
    /// A token arrived.
    Token {
        /// The call it answers.
        call: CallId,
        /// Its position in the generation.
        index: u32,
        /// Its text.
        text: String,
        /// Whether the target says that it is the last one.
        is_last: bool,
    },
    /// A call failed, or its stream ended before the last token.
    Failed {
        /// The call.
        call: CallId,
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
        /// When the caller should retry if no other attempt is made now.
        retry_after: Duration,
    },
    /// No target could be chosen for a call.
    NoTarget {
        /// The call.
        call: CallId,
        /// Why no target was chosen.
        reason: Reason,
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// A call is late or silent, and its stage's budgets allow another attempt at the same time.
    Slow {
        /// The late call.
        call: CallId,
    },
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Choose a target and send this call.
    Dispatch {
        /// The call.
        call: CallId,
        /// The kind of its stage.
        kind: StageKind,
        /// For a generate stage, the index of the first token that is still missing.
        resume_from: u32,
    },
    /// Send a token to the client.
    Deliver(Token),
    /// Stop a call whose result is no longer needed.
    Cancel(CallId),
    /// A result has the wrong type for its stage, or its token is too far ahead of the others,
    /// which is an engine fault. Stop the call and report it as `Failed`, so that another attempt
    /// is subject to the retry budget.
    Reject(CallId),
    /// A result is late, a duplicate or for another call; count it as wasted work of this stage.
    CountWasted(StageIndex),
    /// The request is complete.
    Complete,
    /// The request has failed; send the error to the client at once.
    Fail {
        /// Why it failed.
        reason: Reason,
        /// When the client should retry.
        retry_after: Duration,
    },
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct RequestRun {
    request: RequestId,
    kinds: Vec<StageKind>,
    stage: usize,
    next_attempt: u16,
    live: Vec<Attempt>,
    stream: Stream,
    context: StageResults,
    is_finished: bool,
}

impl RequestRun {
    /// Starts a request. Returns its state and the dispatch of its first call.
    pub fn start(request: RequestId, pipeline: &Pipeline, input: String) -> (Self, Vec<Action>) {
        let mut run = Self {
            request,
            kinds: pipeline.stages.iter().map(|stage| stage.kind).collect(),
            stage: 0,
            next_attempt: 0,
            live: Vec::new(),
            stream: Stream::default(),
            context: StageResults {
                query: input,
                ..StageResults::default()
            },
            is_finished: false,
        };
        let actions = vec![run.dispatch()];
        (run, actions)
    }

    /// The results of the earlier stages, which are the input of the current stage.
    pub fn context(&self) -> &StageResults {
        &self.context
    }

    /// The current stage.
    pub fn stage(&self) -> StageIndex {
        StageIndex(u8::try_from(self.stage).expect("a pipeline has at most 8 stages"))
    }

    /// Attempts made at the current stage, including those that found no target.
    pub fn attempts(&self) -> u16 {
        self.next_attempt
    }

    /// Whether the request is complete or has failed.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::DeadlinePassed if self.is_finished => Vec::new(),
            Event::DeadlinePassed => self.fail(Reason::DeadlineUnreachable, Duration::ZERO),
            Event::Finished { call, output } => self.finished(&call, output),
            Event::Token {
                call,
                index,
                text,
                is_last,
            } => self.token(&call, index, text, is_last),
            Event::Failed {
                call,
                may_retry,
                retry_after,
            } => self.failed(&call, may_retry, retry_after),
            Event::Slow { call } => {
                if self.is_live(&call) && self.next_attempt < MAX_ATTEMPTS {
                    return vec![self.dispatch()];
                }
                Vec::new()
            }
            Event::NoTarget {
                call,
                reason,
                retry_after,
            } => {
                if self.remove_live(&call) && self.live.is_empty() {
                    return self.fail(reason, retry_after);
                }
                Vec::new()
            }
        }
    }

    fn finished(&mut self, call: &CallId, output: Output) -> Vec<Action> {
        if !self.is_live(call) {
            return vec![Action::CountWasted(call.stage)];
        }
        match (self.kinds[self.stage], output) {
            (StageKind::Encode, Output::Embedding(embedding)) => self.context.embedding = embedding,
            (StageKind::Retrieve | StageKind::Rerank, Output::Documents(documents)) => {
                self.context.documents = documents;
            }
            _ => return vec![Action::Reject(call.clone())],
        }
        self.advance(call)
    }

    fn token(&mut self, call: &CallId, index: u32, text: String, is_last: bool) -> Vec<Action> {
        if !self.is_live(call) {
            return vec![Action::CountWasted(call.stage)];
        }
        let Ok(ready) = self.stream.push(index, text) else {
            return vec![Action::Reject(call.clone())];
        };
        if is_last {
            self.stream.finish_at(index + 1);
        }
        let is_answer = self.stage + 1 == self.kinds.len();
        let mut actions = Vec::with_capacity(ready.len() + 1);
        for token in ready {
            self.context.text.push_str(&token.text);
            if is_answer {
                actions.push(Action::Deliver(token));
            }
        }
        if self.stream.is_complete() {
            actions.extend(self.advance(call));
        }
        actions
    }

    fn failed(&mut self, call: &CallId, may_retry: bool, retry_after: Duration) -> Vec<Action> {
        if !self.remove_live(call) {
            return Vec::new();
        }
        if !self.live.is_empty() {
            return Vec::new();
        }
        if may_retry && self.next_attempt < MAX_ATTEMPTS {
            return vec![self.dispatch()];
        }
        self.fail(Reason::StageFailed, retry_after)
    }

    /// Ends the current stage after the result of the call `completed`: cancels its other attempts
    /// and starts the next stage.
    fn advance(&mut self, completed: &CallId) -> Vec<Action> {
        let attempts = std::mem::take(&mut self.live);
        let mut actions: Vec<Action> = attempts
            .into_iter()
            .filter(|attempt| *attempt != completed.attempt)
            .map(|attempt| Action::Cancel(self.call(attempt)))
            .collect();
        if self.kinds[self.stage] == StageKind::Generate && self.stage + 1 < self.kinds.len() {
            self.context.query = std::mem::take(&mut self.context.text);
            self.stream = Stream::default();
        }
        self.stage += 1;
        if self.stage == self.kinds.len() {
            self.stage -= 1;
            self.is_finished = true;
            actions.push(Action::Complete);
        } else {
            self.next_attempt = 0;
            actions.push(self.dispatch());
        }
        actions
    }

    fn fail(&mut self, reason: Reason, retry_after: Duration) -> Vec<Action> {
        self.is_finished = true;
        let live = std::mem::take(&mut self.live);
        let cancels = live
            .into_iter()
            .map(|attempt| Action::Cancel(self.call(attempt)));
        cancels
            .chain([Action::Fail {
                reason,
                retry_after,
            }])
            .collect()
    }

    fn dispatch(&mut self) -> Action {
        let attempt = Attempt(self.next_attempt);
        self.next_attempt += 1;
        self.live.push(attempt);
        Action::Dispatch {
            call: self.call(attempt),
            kind: self.kinds[self.stage],
            resume_from: self.stream.next_index(),
        }
    }

    fn call(&self, attempt: Attempt) -> CallId {
        CallId {
            request: self.request.clone(),
            stage: self.stage(),
            attempt,
        }
    }

    fn is_live(&self, call: &CallId) -> bool {
        !self.is_finished
            && call.request == self.request
            && call.stage == self.stage()
            && self.live.contains(&call.attempt)
    }

    fn remove_live(&mut self, call: &CallId) -> bool {
        if !self.is_live(call) {
            return false;
        }
        self.live.retain(|attempt| *attempt != call.attempt);
        true
    }
}
