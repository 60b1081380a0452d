//! Calls of idempotent operations, which may be repeated at other targets.
//!
//! A call that is silent goes on beside the next one; the first answer ends the others.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::outcome::ExecutionTracker;
use azurelug_core::routing::Completion;
use azurelug_types::id::TargetKey;
use azurelug_types::outcome::{Reason, Refusal};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until, timeout};

use super::{DEFAULT_RETRY_AFTER, Job, MAX_ANSWER_BYTES, ServiceResponse};
use super::{acquire_slot, no_target_refusal, service_request, try_acquire_slot};
use crate::engine::completion;
use crate::entry_state::{EntryState, InFlightCall};
use crate::refusal;

/// Limit of attempts, including the first.
const MAX_ATTEMPTS: usize = 3;

/// A call that takes longer than one part in this many of the remaining time is silent.
const SILENCE_DIVISOR: u32 = 2;

/// Interval of the check while no other target has a free slot for a further call.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The end of one call.
enum CallEnd {
    Answered(ServiceResponse),
    Failed,
    /// The target has certainly received no byte.
    NotSent,
}

/// Runs the call.
///
/// # Errors
/// The refusal for the caller.
pub(super) async fn run(
    entry_state: &Arc<EntryState>,
    job: &Job,
) -> Result<ServiceResponse, Refusal> {
    let mut tracker = ExecutionTracker::default();
    let mut tried: Vec<TargetKey> = Vec::new();
    let mut pending = FuturesUnordered::new();
    let mut next_attempt_at = Instant::now();
    loop {
        if tried.len() < MAX_ATTEMPTS && Instant::now() >= next_attempt_at {
            let slot = if pending.is_empty() {
                acquire_slot(entry_state, job, &tried).await
            } else {
                try_acquire_slot(entry_state, job, &tried)
            };
            match slot {
                Ok(slot) => {
                    tried.push(slot.choice.target);
                    tracker.about_to_send();
                    next_attempt_at = Instant::now() + silence_timeout(job);
                    pending.push(send(entry_state, job, slot));
                }
                Err(error) if tried.is_empty() => {
                    return Err(no_target_refusal(job, &error, tracker.execution()));
                }
                Err(_) => next_attempt_at = Instant::now() + BUSY_CHECK_INTERVAL,
            }
        }
        let has_attempts = tried.len() < MAX_ATTEMPTS;
        tokio::select! {
            end = pending.next() => match end {
                Some(CallEnd::Answered(response)) => return Ok(response),
                Some(CallEnd::Failed) => next_attempt_at = Instant::now(),
                Some(CallEnd::NotSent) => {
                    tracker.was_not_sent();
                    next_attempt_at = Instant::now();
                }
                None => break,
            },
            () = sleep_until(next_attempt_at), if has_attempts => {}
        }
    }
    let execution = tracker.execution();
    Err(refusal::new_refusal(
        &job.id.0,
        Reason::StageFailed,
        execution,
        Some(DEFAULT_RETRY_AFTER),
    ))
}

fn time_left(job: &Job) -> Duration {
    job.deadline.saturating_duration_since(Instant::now())
}

/// The time after which a call that is sent now is silent.
fn silence_timeout(job: &Job) -> Duration {
    time_left(job) / SILENCE_DIVISOR
}

/// Sends the call once and reads its answer until the deadline.
async fn send(entry_state: &EntryState, job: &Job, mut slot: InFlightCall) -> CallEnd {
    let request = service_request(job, &slot, time_left(job));
    let mut sent = pin!(entry_state.pooled.send_whole(request, MAX_ANSWER_BYTES));
    let sent = match timeout(silence_timeout(job), sent.as_mut()).await {
        Ok(sent) => sent,
        Err(_) => {
            slot.record_timeout();
            sent.await
        }
    };
    match sent {
        Ok((status, body)) if status < 500 => {
            slot.release(Completion::Success, None);
            CallEnd::Answered(ServiceResponse {
                status,
                body,
                is_replayed: false,
            })
        }
        Ok(_) => {
            slot.release(Completion::Failure, None);
            CallEnd::Failed
        }
        Err(error) if error.is_not_sent() => {
            slot.release(Completion::Failure, None);
            CallEnd::NotSent
        }
        Err(error) => {
            slot.abandon(completion(&error));
            CallEnd::Failed
        }
    }
}
