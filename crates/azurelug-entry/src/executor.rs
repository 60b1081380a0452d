//! Executes one pipeline request: performs the actions of the `azurelug_core::pipeline` state
//! machine.

mod dispatch;
mod migration;
mod retries;
mod takeover;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::outcome::ExecutionTracker;
use azurelug_core::pipeline::{Action, CallId, Event, RequestRun};
use azurelug_core::routing::NoTarget;
use azurelug_core::stream::Token;
use azurelug_types::config::{Pipeline, StageKind};
use azurelug_types::id::{RequestId, StageIndex, TargetKey};
use azurelug_types::outcome::{Reason, Refusal};
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

use crate::entry_state::EntryState;
use crate::estimates::Classes;
use crate::metrics::Usefulness;
use crate::refusal;
use crate::stage_call::Message;

/// Length of the queue of events for the request's task. A stream that is faster than its caller
/// waits when the queue is full.
const EVENT_QUEUE_LENGTH: usize = 64;

/// Retry time for the caller after all attempts have failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A pipeline request.
pub struct Job {
    /// The request's id.
    pub id: RequestId,
    /// The pipeline, as declared in the configuration version that was in force at the start.
    pub pipeline: Pipeline,
    /// The latency classes of its stages.
    pub classes: Classes,
    /// The caller's input.
    pub input: String,
    /// The most tokens that a generate stage may produce.
    pub max_tokens: u32,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// The call that completed a stage, as reported to the caller.
#[derive(Clone, Debug, Serialize)]
pub struct StageReport {
    /// The stage's kind.
    pub stage: StageKind,
    /// The target.
    pub target: String,
    /// The attempt, counted from 0.
    pub attempt: u16,
    /// Duration of the attempt in milliseconds.
    pub latency_ms: u64,
    /// Tokens that the attempt produced.
    pub tokens: u64,
}

/// The result of a completed request.
#[derive(Debug)]
pub struct PipelineResponse {
    /// The text, the documents or the embedding that the last stage produced.
    pub output: Value,
    /// One entry for each stage.
    pub stages: Vec<StageReport>,
}

/// An attempt that was sent.
struct Attempt {
    stage: StageKind,
    target: String,
    key: TargetKey,
    address: SocketAddr,
    started: Instant,
    tokens: u64,
    abort: AbortHandle,
    /// When it was reported as silent; none if it has delivered since.
    silent_since: Option<Instant>,
    /// Whether it was started because all other calls of its stage were silent.
    is_takeover: bool,
    /// Whether it has failed or was cancelled.
    is_finished: bool,
    /// Whether its cost was recorded in the metrics.
    is_recorded: bool,
}

/// A call that is hedged if it has not completed at `at`.
struct HedgeTimer {
    call: CallId,
    p95: Duration,
    at: Instant,
}

struct Executor {
    entry_state: Arc<EntryState>,
    run: RequestRun,
    pipeline: Pipeline,
    classes: Classes,
    max_tokens: u32,
    deadline: Instant,
    tracker: ExecutionTracker,
    messages: mpsc::Sender<Message>,
    hedge_timer: Option<HedgeTimer>,
    migration: migration::Migration,
    /// When to check whether another call is to be started beside silent ones.
    takeover_at: Option<Instant>,
    tasks: JoinSet<()>,
    attempts: HashMap<CallId, Attempt>,
    stage_reports: Vec<StageReport>,
    token_sender: Option<mpsc::Sender<Token>>,
    started: Instant,
}

/// The result of handling one event.
enum StepResult {
    Wait,
    Complete,
    Failed {
        reason: Reason,
        retry_after: Duration,
    },
}

/// Runs the request to its end. Tokens of the last stage are sent to `token_sender` as they arrive.
///
/// Dropping the future cancels all calls of the request.
///
/// # Errors
/// The refusal for the caller.
pub async fn run(
    entry_state: Arc<EntryState>,
    job: Job,
    token_sender: Option<mpsc::Sender<Token>>,
) -> Result<PipelineResponse, Refusal> {
    let request = job.id.clone();
    let (run, actions) = RequestRun::start(job.id, &job.pipeline, job.input);
    let (messages, mut incoming) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let mut executor = Executor {
        entry_state,
        run,
        pipeline: job.pipeline,
        classes: job.classes,
        max_tokens: job.max_tokens,
        deadline: job.deadline,
        tracker: ExecutionTracker::default(),
        messages,
        hedge_timer: None,
        migration: migration::Migration::default(),
        takeover_at: None,
        tasks: JoinSet::new(),
        attempts: HashMap::new(),
        stage_reports: Vec::new(),
        token_sender,
        started: Instant::now(),
    };
    let mut step = executor.execute(actions).await;
    loop {
        match step {
            StepResult::Wait => {}
            StepResult::Complete => {
                // The duration of a streamed answer depends on its reader and is not recorded.
                if executor.token_sender.is_none() {
                    let (class, latency) = (executor.classes.total(), executor.started.elapsed());
                    executor.entry_state.estimates.record(class, latency);
                }
                return Ok(executor.into_response());
            }
            StepResult::Failed {
                reason,
                retry_after,
            } => {
                let execution = executor.tracker.execution();
                // The state machine sets no retry time for a passed deadline.
                let is_known = !retry_after.is_zero();
                let retry_after = if is_known { retry_after } else { RETRY_AFTER };
                return Err(refusal::new_refusal(
                    &request.0,
                    reason,
                    execution,
                    Some(retry_after),
                ));
            }
        }
        let hedge_at = executor.hedge_timer.as_ref().map(|timer| timer.at);
        let takeover_at = executor.takeover_at;
        step = tokio::select! {
            message = incoming.recv() => {
                executor.handle_message(message.expect("the request holds a sender")).await
            }
            () = sleep_until(hedge_at.unwrap_or(executor.deadline)), if hedge_at.is_some() => {
                executor.hedge().await
            }
            () = sleep_until(takeover_at.unwrap_or(executor.deadline)), if takeover_at.is_some() => {
                executor.check_takeover()
            }
            () = sleep_until(executor.migration.next_check) => executor.check_migration().await,
            () = sleep_until(executor.deadline) => {
                executor.handle_event(Event::DeadlinePassed).await
            }
        };
    }
}

impl Executor {
    async fn handle_message(&mut self, message: Message) -> StepResult {
        match message {
            Message::Event(event) => self.handle_event(event).await,
            Message::Silent { call } => {
                self.record_silence(&call);
                StepResult::Wait
            }
            Message::Failed {
                call,
                is_not_sent,
                is_not_executed,
            } => {
                if is_not_sent {
                    self.tracker.was_not_sent();
                }
                let failed = self.failure_event(call, is_not_executed);
                self.handle_event(failed).await
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Passes an event to the state machine and executes the resulting actions.
    async fn handle_event(&mut self, event: Event) -> StepResult {
        let call = match &event {
            Event::Finished { call, .. } | Event::Token { call, .. } => Some(call.clone()),
            _ => None,
        };
        let mut live_stream = None;
        if let (Event::Token { .. }, Some(call)) = (&event, &call)
            && let Some(attempt) = self.attempts.get_mut(call)
        {
            attempt.tokens += 1;
            // A token of a cancelled call may still be in the queue.
            if !attempt.is_finished {
                live_stream = Some(call.clone());
                self.complete_migration(call);
            }
        }
        let previous_stage = self.run.stage();
        let actions = self.run.step(event);
        let is_complete = actions.contains(&Action::Complete);
        let is_rejected = matches!(actions.as_slice(), [Action::Reject(_)]);
        if is_complete || self.run.stage() != previous_stage {
            self.hedge_timer = None;
            if let Some(call) = call {
                self.record_cost(&call, Usefulness::Useful);
            }
        } else if let Some(call) = live_stream.filter(|_| !is_rejected) {
            self.complete_takeover(&call);
        }
        self.execute(actions).await
    }

    /// Executes actions. If a dispatch finds no target, that event is passed to the state machine
    /// at once, and the resulting actions are executed too.
    async fn execute(&mut self, actions: Vec<Action>) -> StepResult {
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Dispatch {
                    call, resume_from, ..
                } => {
                    if let Err(error) = self.dispatch(&call, resume_from).await {
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
                    if let Some(attempt) = self.attempts.get_mut(&call) {
                        attempt.is_finished = true;
                        attempt.abort.abort();
                    }
                    self.record_cost(&call, Usefulness::Wasted);
                }
                Action::Reject(call) => {
                    if let Some(attempt) = self.attempts.get(&call) {
                        attempt.abort.abort();
                    }
                    let failed = self.failure_event(call, false);
                    queue.extend(self.run.step(failed));
                }
                Action::CountWasted(StageIndex(stage)) => {
                    let stage = self.pipeline.stages[usize::from(stage)].kind;
                    self.entry_state.metrics.record_call(
                        stage,
                        Usefulness::Wasted,
                        Duration::ZERO,
                        1,
                    );
                }
                Action::Complete => return StepResult::Complete,
                Action::Fail {
                    reason,
                    retry_after,
                } => {
                    return StepResult::Failed {
                        reason,
                        retry_after,
                    };
                }
            }
        }
        StepResult::Wait
    }

    async fn deliver(&mut self, token: Token) {
        if token.index == 0 {
            self.entry_state
                .metrics
                .record_first_token(self.started.elapsed());
        }
        if let Some(token_sender) = &self.token_sender {
            // If the caller has disconnected, the whole request is dropped anyway.
            let _ = token_sender.send(token).await;
        }
    }

    /// Records the cost of a call, once, and adds a report if the call completed a stage.
    fn record_cost(&mut self, call: &CallId, used: Usefulness) {
        let Some(attempt) = self.attempts.get_mut(call).filter(|it| !it.is_recorded) else {
            return;
        };
        attempt.is_recorded = true;
        let duration = attempt.started.elapsed();
        self.entry_state
            .metrics
            .record_call(attempt.stage, used, duration, attempt.tokens);
        if used == Usefulness::Useful {
            self.stage_reports.push(StageReport {
                stage: attempt.stage,
                target: attempt.target.clone(),
                attempt: call.attempt.0,
                latency_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
                tokens: attempt.tokens,
            });
        }
    }

    fn into_response(mut self) -> PipelineResponse {
        self.tracker.answered();
        let context = self.run.context();
        let output = match self.pipeline.stages.last().map(|stage| stage.kind) {
            Some(StageKind::Encode) => serde_json::json!(context.embedding),
            Some(StageKind::Retrieve | StageKind::Rerank) => serde_json::json!(context.documents),
            Some(StageKind::Generate) | None => Value::String(context.text.clone()),
        };
        PipelineResponse {
            output,
            stages: std::mem::take(&mut self.stage_reports),
        }
    }
}

/// Records calls that still run at the end of a request as wasted, also if its caller disconnected.
impl Drop for Executor {
    fn drop(&mut self) {
        let calls: Vec<CallId> = self.attempts.keys().cloned().collect();
        for call in calls {
            self.record_cost(&call, Usefulness::Wasted);
        }
    }
}

fn retry_after(error: &NoTarget) -> Duration {
    match error {
        NoTarget::AllBusy { retry_after, .. } => *retry_after,
        _ => RETRY_AFTER,
    }
}
