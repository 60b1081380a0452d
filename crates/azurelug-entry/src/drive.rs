//! Drives one pipeline request: carries out the actions of `azurelug_core::pipeline`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::outcome::Ledger;
use azurelug_core::pipeline::{Action, CallId, Context, Event, Run};
use azurelug_core::routing::Need;
use azurelug_core::routing::{Completion, NoTarget, Query};
use azurelug_core::stream::Token;
use azurelug_types::config::{Pipeline, Stage, StageKind};
use azurelug_types::id::{RequestId, StageIndex, TargetKey};
use azurelug_types::outcome::{Reason, Refusal};
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

use crate::engine::{self, Failure};
use crate::gateway::{Gateway, InFlight};
use crate::metrics::Use;
use crate::refuse;

/// Events that wait for the request's task. A stream that runs ahead waits for its caller.
const EVENT_QUEUE: usize = 64;

/// A stream without a token for this long is taken for failed and resumed elsewhere. The usual time
/// between tokens is 29 ms at the 95th percentile.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// When a retry makes sense after every attempt has failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One request for a pipeline.
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// The pipeline, as declared in the version that was in force at the start.
    pub pipeline: Pipeline,
    /// The caller's input.
    pub input: String,
    /// Tokens that a generate stage may produce.
    pub max_tokens: u32,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// The call that completed a stage.
#[derive(Clone, Debug, Serialize)]
pub struct StageReport {
    /// The stage's kind.
    pub stage: StageKind,
    /// The target.
    pub target: String,
    /// The attempt, from 0.
    pub attempt: u16,
    /// Time of the attempt in milliseconds.
    pub latency_ms: u64,
    /// Tokens that the attempt produced.
    pub tokens: u64,
}

/// A complete answer.
#[derive(Debug)]
pub struct Done {
    /// The text of the last stage, or its documents or embedding.
    pub output: Value,
    /// One entry for each stage.
    pub stages: Vec<StageReport>,
}

/// An attempt that was sent.
struct Attempt {
    stage: StageKind,
    target: String,
    key: TargetKey,
    started: Instant,
    tokens: u64,
    abort: AbortHandle,
}

struct Driver {
    gateway: Arc<Gateway>,
    run: Run,
    pipeline: Pipeline,
    max_tokens: u32,
    deadline: Instant,
    ledger: Ledger,
    events: mpsc::Sender<Event>,
    tasks: JoinSet<()>,
    attempts: HashMap<CallId, Attempt>,
    reports: Vec<StageReport>,
    sink: Option<mpsc::Sender<Token>>,
    started: Instant,
}

/// What a step leads to.
enum Step {
    Wait,
    Complete,
    Failed {
        reason: Reason,
        retry_after: Duration,
    },
}

/// Runs the request to its end. Tokens of the last stage go to `sink` as they come.
///
/// Dropping the future cancels all its calls.
///
/// # Errors
/// The refusal for the caller.
pub async fn run(
    gateway: Arc<Gateway>,
    job: Job,
    sink: Option<mpsc::Sender<Token>>,
) -> Result<Done, Refusal> {
    let request = job.id.clone();
    let (run, actions) = Run::start(job.id, &job.pipeline, job.input);
    let (events, mut incoming) = mpsc::channel(EVENT_QUEUE);
    let mut driver = Driver {
        gateway,
        run,
        pipeline: job.pipeline,
        max_tokens: job.max_tokens,
        deadline: job.deadline,
        ledger: Ledger::default(),
        events,
        tasks: JoinSet::new(),
        attempts: HashMap::new(),
        reports: Vec::new(),
        sink,
        started: Instant::now(),
    };
    let mut step = driver.carry_out(actions).await;
    loop {
        match step {
            Step::Wait => {}
            Step::Complete => return Ok(driver.done()),
            Step::Failed {
                reason,
                retry_after,
            } => {
                let execution = driver.ledger.execution();
                return Err(refuse::refusal(
                    &request.0,
                    reason,
                    execution,
                    Some(retry_after),
                ));
            }
        }
        let event = tokio::select! {
            event = incoming.recv() => event.expect("the driver holds a sender"),
            () = sleep_until(driver.deadline) => Event::DeadlinePassed,
        };
        step = driver.take(event).await;
    }
}

impl Driver {
    /// Passes an event on and carries out what follows.
    async fn take(&mut self, event: Event) -> Step {
        let call = match &event {
            Event::Finished { call, .. }
            | Event::Token { call, .. }
            | Event::Failed { call, .. }
            | Event::NoTarget { call, .. }
            | Event::Slow { call, .. } => Some(call.clone()),
            Event::DeadlinePassed => None,
        };
        let has_failed = matches!(event, Event::Failed { .. });
        if let (Event::Token { .. }, Some(call)) = (&event, &call)
            && let Some(attempt) = self.attempts.get_mut(call)
        {
            attempt.tokens += 1;
        }
        let before = self.run.stage();
        let actions = self.run.step(event);
        let is_complete = actions.contains(&Action::Complete);
        if let Some(call) = call {
            if is_complete || self.run.stage() != before {
                self.count(&call, Use::Useful);
            } else if has_failed {
                self.count(&call, Use::Wasted);
            }
        }
        self.carry_out(actions).await
    }

    /// Carries out actions. A dispatch that finds no target is answered at once by another step.
    async fn carry_out(&mut self, actions: Vec<Action>) -> Step {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Dispatch {
                    call,
                    kind,
                    resume_from,
                } => {
                    if let Err(error) = self.dispatch(&call, kind, resume_from) {
                        let retry_after = retry_after(&error);
                        let reason = error.reason();
                        queue.extend(self.run.step(Event::NoTarget {
                            call,
                            reason,
                            retry_after,
                        }));
                    }
                }
                Action::Deliver(token) => self.deliver(token).await,
                Action::Cancel(call) => {
                    if let Some(attempt) = self.attempts.get(&call) {
                        attempt.abort.abort();
                    }
                    self.count(&call, Use::Wasted);
                }
                Action::Waste(StageIndex(stage)) => {
                    let stage = self.pipeline.stages[usize::from(stage)].kind;
                    self.gateway
                        .metrics
                        .call(stage, Use::Wasted, Duration::ZERO, 1);
                }
                Action::Complete => return Step::Complete,
                Action::Fail {
                    reason,
                    retry_after,
                } => {
                    return Step::Failed {
                        reason,
                        retry_after,
                    };
                }
            }
        }
        Step::Wait
    }

    /// Chooses a target and starts the call on a task of its own.
    fn dispatch(
        &mut self,
        call: &CallId,
        kind: StageKind,
        resume_from: u32,
    ) -> Result<(), NoTarget> {
        let stage: Stage = self.pipeline.stages[usize::from(call.stage.0)].clone();
        let exclude: Vec<TargetKey> = self
            .attempts
            .iter()
            .filter(|(earlier, _)| earlier.stage == call.stage)
            .map(|(_, attempt)| attempt.key)
            .collect();
        let query = Query {
            need: Need::Stage(kind, &stage.model),
            idempotent: true,
            prefix: &[],
            exclude: &exclude,
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let slot = self.gateway.begin(&call.to_string(), &query, left)?;
        self.ledger.about_to_send();
        let (target, key) = (slot.target.to_string(), slot.choice.target);
        let attempt = CallTask {
            gateway: Arc::clone(&self.gateway),
            call: call.clone(),
            stage,
            context: self.run.context().clone(),
            max_tokens: self.max_tokens,
            resume_from,
            deadline: self.deadline,
            events: self.events.clone(),
        };
        let abort = self.tasks.spawn(attempt.run(slot));
        let started = Instant::now();
        let attempt = Attempt {
            stage: kind,
            target,
            key,
            started,
            tokens: 0,
            abort,
        };
        self.attempts.insert(call.clone(), attempt);
        Ok(())
    }

    async fn deliver(&mut self, token: Token) {
        if token.index == 0 {
            self.gateway.metrics.first_token(self.started.elapsed());
        }
        if let Some(sink) = &self.sink {
            // A caller that went away drops the whole request; nothing is lost here.
            let _ = sink.send(token).await;
        }
    }

    /// Counts the cost of a call once, and reports the call that completed a stage.
    fn count(&mut self, call: &CallId, used: Use) {
        let Some(attempt) = self.attempts.get(call) else {
            return;
        };
        let duration = attempt.started.elapsed();
        self.gateway
            .metrics
            .call(attempt.stage, used, duration, attempt.tokens);
        if used == Use::Useful {
            self.reports.push(StageReport {
                stage: attempt.stage,
                target: attempt.target.clone(),
                attempt: call.attempt.0,
                latency_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
                tokens: attempt.tokens,
            });
        }
    }

    fn done(mut self) -> Done {
        self.ledger.answered();
        let context = self.run.context();
        let output = match self.pipeline.stages.last().map(|stage| stage.kind) {
            Some(StageKind::Encode) => serde_json::json!(context.embedding),
            Some(StageKind::Retrieve | StageKind::Rerank) => serde_json::json!(context.documents),
            Some(StageKind::Generate) | None => Value::String(context.text.clone()),
        };
        Done {
            output,
            stages: self.reports,
        }
    }
}

fn retry_after(error: &NoTarget) -> Duration {
    match error {
        NoTarget::AllBusy { retry_after, .. } => *retry_after,
        _ => RETRY_AFTER,
    }
}

/// One call on its own task.
struct CallTask {
    gateway: Arc<Gateway>,
    call: CallId,
    stage: Stage,
    context: Context,
    max_tokens: u32,
    resume_from: u32,
    deadline: Instant,
    events: mpsc::Sender<Event>,
}

impl CallTask {
    async fn run(self, slot: InFlight) {
        let result = match self.stage.kind {
            StageKind::Generate => self.generate(&slot).await,
            kind => self.whole(kind, &slot).await.map(|()| None),
        };
        match result {
            Ok(first_token) => slot.close(Completion::Success, first_token),
            Err(failure) => {
                log::debug!(
                    "entry: call {} to {} failed: {}",
                    self.call,
                    slot.target,
                    failure.message
                );
                if failure.is_ended {
                    slot.close(Completion::Failure, None);
                } else {
                    slot.abandon(Completion::Failure);
                }
                let call = self.call.clone();
                let event = Event::Failed {
                    call,
                    may_retry: true,
                    retry_after: RETRY_AFTER,
                };
                // The request may have ended already.
                let _ = self.events.send(event).await;
            }
        }
    }

    async fn whole(&self, kind: StageKind, slot: &InFlight) -> Result<(), Failure> {
        let request = self.request(slot);
        let output = engine::whole(&self.gateway.pooled, kind, &request).await?;
        let _ = self
            .events
            .send(Event::Finished {
                call: self.call.clone(),
                output,
            })
            .await;
        Ok(())
    }

    /// Passes tokens on; returns the time to the first one.
    async fn generate(&self, slot: &InFlight) -> Result<Option<Duration>, Failure> {
        let request = self.request(slot);
        let client = &self.gateway.pooled;
        let mut tokens =
            engine::generate(client, &request, self.max_tokens, self.resume_from).await?;
        let mut first_token = None;
        loop {
            let limit = if first_token.is_none() {
                request.timeout
            } else {
                TOKEN_TIMEOUT
            };
            let next = timeout(limit, tokens.next()).await;
            let next = next.map_err(|_| Failure {
                is_not_sent: false,
                is_ended: false,
                message: format!("no token within {} ms", limit.as_millis()),
            })??;
            let Some(token) = next else {
                return Err(Failure {
                    is_not_sent: false,
                    is_ended: false,
                    message: "the stream ended before its last token".to_owned(),
                });
            };
            first_token.get_or_insert_with(|| slot.elapsed());
            let is_last = token.is_last;
            let (call, index, text) = (self.call.clone(), token.index, token.text);
            let _ = self
                .events
                .send(Event::Token {
                    call,
                    index,
                    text,
                    is_last,
                })
                .await;
            if is_last {
                return Ok(first_token);
            }
        }
    }

    fn request<'a>(&'a self, slot: &InFlight) -> engine::Request<'a> {
        // Half of the time left goes to this attempt, so that a silent target leaves time for
        // another one.
        let left = self.deadline.saturating_duration_since(Instant::now());
        engine::Request {
            address: slot.address,
            call: &self.call,
            model: &self.stage.model,
            context: &self.context,
            priority: u8::from(self.max_tokens > SHORT_TOKENS),
            timeout: left / 2,
        }
    }
}

/// Generations up to this length run before longer ones, so that look-ups are not starved.
const SHORT_TOKENS: u32 = 64;
