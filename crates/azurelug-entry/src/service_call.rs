//! Calls to plain services. A non-idempotent call is claimed at a quorum of control before it is
//! sent, so that it runs at most once.

mod idempotent;

use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::once::{self, Claim, Guard, Key};
use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::{Completion, NoTarget, Query, Requirement};
use azurelug_http::client::Call;
use azurelug_types::id::{AccountName, OperationName, RequestId, ServiceName, TargetKey};
use azurelug_types::outcome::{Execution, Reason, Refusal};
use azurelug_wire::Frame;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method};
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep};

use crate::engine::completion;
use crate::entry_state::{EntryState, InFlightCall, RunningRequest};
use crate::refusal;

/// Size limit of a service's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Timeout of a command to control: an election takes up to 2 s.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a command is sent to control again.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Limit of attempts to commit a result or a release in the background.
const MAX_COMMIT_ATTEMPTS: u32 = 25;

/// A call waits for a free slot for at most one part in this many of the remaining time; the rest
/// is reserved for the service.
const SLOT_WAIT_DIVISOR: u32 = 2;

/// Default retry time, if no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a service.
pub struct Job {
    /// The request's id.
    pub id: RequestId,
    /// The account.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The operation.
    pub operation: OperationName,
    /// Whether repeating the call has no further effect.
    pub is_idempotent: bool,
    /// The caller's idempotency key; required if the call is not idempotent.
    pub key: Option<Key>,
    /// The request body, forwarded unchanged.
    pub body: Bytes,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// A service's answer.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status of the service's answer.
    pub status: u16,
    /// Body of the service's answer.
    pub body: Bytes,
    /// Whether this is the recorded answer to an earlier call with the same idempotency key.
    pub is_replayed: bool,
}

/// Runs the call.
///
/// # Errors
/// The refusal for the caller.
pub async fn run(entry_state: Arc<EntryState>, job: Job) -> Result<ServiceResponse, Refusal> {
    match job.key {
        None if job.is_idempotent => idempotent::run(&entry_state, &job).await,
        Some(key) if !job.is_idempotent => run_at_most_once(&entry_state, &job, key).await,
        // The key of an idempotent call is forwarded to the service and otherwise ignored.
        Some(_) => idempotent::run(&entry_state, &job).await,
        None => Err(refusal::new_refusal(
            &job.id.0,
            Reason::BadRequest,
            Execution::NotRun,
            None,
        )),
    }
}

async fn run_at_most_once(
    entry_state: &Arc<EntryState>,
    job: &Job,
    key: Key,
) -> Result<ServiceResponse, Refusal> {
    if entry_state.mode() != Mode::Normal {
        return Err(no_target_refusal(
            job,
            &NoTarget::NoQuorum,
            Execution::NotRun,
        ));
    }
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    let mut guard = Guard::new(entry_state.now() + time_left);
    // The claim precedes the slot: if the call has already run, a resend must get its recorded
    // answer and not the refusal `not_run`, however busy the service is.
    match claim(entry_state, job, key, time_left).await? {
        ClaimDecision::Replay(response) => Ok(response),
        ClaimDecision::Send(claim) => {
            if let Some(release_command) = guard.grant(claim) {
                commit_in_background(entry_state, release_command);
            }
            match acquire_slot(entry_state, job, &[]).await {
                Ok(slot) => send_once(entry_state, job, &mut guard, slot).await,
                Err(error) => {
                    release(entry_state, &mut guard);
                    Err(no_target_refusal(job, &error, Execution::NotRun))
                }
            }
        }
    }
}

/// The decision of control on a claim.
enum ClaimDecision {
    /// The claim is granted: the call may be sent, once.
    Send(Claim),
    /// The call has already run; this is its recorded answer.
    Replay(ServiceResponse),
}

/// Sends the call once, under a granted claim.
async fn send_once(
    entry_state: &Arc<EntryState>,
    job: &Job,
    guard: &mut Guard,
    slot: InFlightCall,
) -> Result<ServiceResponse, Refusal> {
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    if guard.start_send(entry_state.now()).is_err() {
        slot.release(Completion::Cancelled, None);
        release(entry_state, guard);
        let reason = Reason::DeadlineUnreachable;
        return Err(refusal::new_refusal(
            &job.id.0,
            reason,
            Execution::NotRun,
            Some(DEFAULT_RETRY_AFTER),
        ));
    }
    match entry_state
        .unpooled
        .send_whole(service_request(job, &slot, time_left), MAX_ANSWER_BYTES)
        .await
    {
        Ok((status, body)) => {
            slot.release(Completion::Success, None);
            if let Some(command) = guard.record(once::Answer::whole(status, body.to_vec())) {
                commit_in_background(entry_state, command);
            }
            Ok(ServiceResponse {
                status,
                body,
                is_replayed: false,
            })
        }
        Err(error) => {
            log::warn!(
                "entry: request {}: call to the service failed: {error}",
                job.id
            );
            if !error.is_not_sent() {
                slot.abandon(completion(&error));
                let reason = Reason::UnknownOutcome;
                return Err(refusal::new_refusal(
                    &job.id.0,
                    reason,
                    Execution::Unknown,
                    None,
                ));
            }
            slot.release(Completion::Failure, None);
            guard.undo_send();
            release(entry_state, guard);
            let reason = Reason::StageFailed;
            Err(refusal::new_refusal(
                &job.id.0,
                reason,
                Execution::NotRun,
                Some(DEFAULT_RETRY_AFTER),
            ))
        }
    }
}

/// Requests the claim from control until it answers or the deadline has passed. All attempts use
/// the same claimant number, so that control recognizes a claim whose answer was lost.
async fn claim(
    entry_state: &Arc<EntryState>,
    job: &Job,
    key: Key,
    time_left: Duration,
) -> Result<ClaimDecision, Refusal> {
    let command = once::Command::Claim {
        account: account_id(&job.account),
        key,
        fingerprint: fingerprint(job),
        claimant: claimant(&job.id),
        now_ms: 0,
        deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
    };
    loop {
        // The caller gets an answer at its deadline, even if control has not answered by then.
        let time_left = job.deadline.saturating_duration_since(Instant::now());
        match commit(entry_state, command.clone(), COMMIT_TIMEOUT.min(time_left)).await {
            Some(outcome) => {
                log_claim(job, &outcome);
                return decide(job, outcome);
            }
            None if Instant::now() + COMMIT_RETRY_DELAY >= job.deadline => {
                // The claim may still be committed. Nothing was sent to the service, so releasing
                // the claim makes the key usable again.
                log::warn!(
                    "entry: request {}: no answer to its claim before the deadline",
                    job.id
                );
                release_unanswered_claim(entry_state, command);
                let reason = Reason::NoQuorum;
                let refusal = refusal::new_refusal(
                    &job.id.0,
                    reason,
                    Execution::NotRun,
                    Some(DEFAULT_RETRY_AFTER),
                );
                return Err(refusal);
            }
            None => sleep(COMMIT_RETRY_DELAY).await,
        }
    }
}

/// The request's id as a number, so that control can log which request holds a claim. The id is a
/// UUIDv7 with 74 random bits, generated once per request.
fn claimant(id: &RequestId) -> u128 {
    // Ids are generated by this process. Should one be malformed, the number must still be unique.
    uuid::Uuid::try_parse(&id.0).map_or_else(|_| rand::random(), |id| id.as_u128())
}

fn log_claim(job: &Job, outcome: &once::Outcome) {
    match outcome {
        once::Outcome::Claimed { claim } => {
            log::info!("entry: request {}: claim {} granted", job.id, claim.number);
        }
        other => log::info!(
            "entry: request {}: claim answered {}",
            job.id,
            other.as_str()
        ),
    }
}

/// Maps the outcome of a claim to a decision, or to the refusal for the caller.
fn decide(job: &Job, outcome: once::Outcome) -> Result<ClaimDecision, Refusal> {
    let refuse = |reason, execution, retry_after| {
        Err(refusal::new_refusal(
            &job.id.0,
            reason,
            execution,
            retry_after,
        ))
    };
    match outcome {
        once::Outcome::Claimed { claim } => Ok(ClaimDecision::Send(claim)),
        once::Outcome::Recorded { answer } => Ok(ClaimDecision::Replay(replay(answer))),
        once::Outcome::InProgress { retry_after_ms } => {
            let retry_after = Duration::from_millis(retry_after_ms);
            refuse(Reason::InProgress, Execution::Unknown, Some(retry_after))
        }
        once::Outcome::Unknown => refuse(Reason::UnknownOutcome, Execution::Unknown, None),
        once::Outcome::Expired => refuse(Reason::KeyExpired, Execution::Unknown, None),
        once::Outcome::Conflict => refuse(Reason::KeyConflict, Execution::NotRun, None),
        once::Outcome::FromFuture => refuse(Reason::BadRequest, Execution::NotRun, None),
        once::Outcome::Full => refuse(
            Reason::Overloaded,
            Execution::NotRun,
            Some(DEFAULT_RETRY_AFTER),
        ),
        once::Outcome::Released | once::Outcome::Stale | once::Outcome::Advanced { .. } => {
            refuse(Reason::UnknownOutcome, Execution::Unknown, None)
        }
    }
}

/// Builds the response from a recorded answer. If the body was too long to be recorded, only the
/// status is known.
fn replay(answer: once::Answer) -> ServiceResponse {
    let body = match answer.body {
        once::Body::Whole(body) => Bytes::from(body),
        _ => Bytes::from_static(b"{\"replayed\":true,\"body\":\"too long to keep\"}"),
    };
    ServiceResponse {
        status: answer.status,
        body,
        is_replayed: true,
    }
}

/// Chooses a target and acquires a slot there; waits for a free slot for a part of the remaining
/// time.
async fn acquire_slot(
    entry_state: &Arc<EntryState>,
    job: &Job,
    tried: &[TargetKey],
) -> Result<InFlightCall, NoTarget> {
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    let end = Instant::now() + time_left / SLOT_WAIT_DIVISOR;
    loop {
        match try_acquire_slot(entry_state, job, tried) {
            Err(NoTarget::AllBusy { .. }) if Instant::now() < end => {
                entry_state.slot_queues.wait_freed(end).await;
            }
            result => return result,
        }
    }
}

/// Chooses a target and acquires a slot there without waiting.
fn try_acquire_slot(
    entry_state: &Arc<EntryState>,
    job: &Job,
    tried: &[TargetKey],
) -> Result<InFlightCall, NoTarget> {
    let query = Query {
        need: Requirement::Service(&job.service),
        idempotent: job.is_idempotent,
        prefix: &[],
        exclude: tried,
        avoid_cold: false,
    };
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    entry_state.acquire_slot(&job.id.0, &query, time_left)
}

fn no_target_refusal(job: &Job, error: &NoTarget, execution: Execution) -> Refusal {
    let retry_after = match error {
        NoTarget::AllBusy { retry_after, .. } => *retry_after,
        _ => DEFAULT_RETRY_AFTER,
    };
    refusal::new_refusal(&job.id.0, error.reason(), execution, Some(retry_after))
}

fn service_request(job: &Job, slot: &InFlightCall, timeout: Duration) -> Call {
    let mut headers = vec![(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    )];
    if let Ok(id) = HeaderValue::from_str(&job.id.0) {
        headers.push((HeaderName::from_static("azurelug-request-id"), id));
    }
    if let Some(key) = job.key
        && let Ok(key) = HeaderValue::from_str(&key.to_string())
    {
        headers.push((HeaderName::from_static("idempotency-key"), key));
    }
    Call {
        method: Method::POST,
        address: slot.address,
        path: format!("/{}", job.operation),
        headers,
        body: job.body.clone(),
        timeout,
    }
}

/// Tries once to commit a command; returns `None` if its outcome is not known.
async fn commit(
    entry_state: &EntryState,
    command: once::Command,
    timeout: Duration,
) -> Option<once::Outcome> {
    match entry_state
        .control_link
        .call(Frame::Once(command), timeout)
        .await
    {
        Ok(Frame::OnceOutcome(outcome)) => Some(outcome),
        Ok(_) => None,
        Err(error) => {
            log::debug!("entry: command to control failed: {error}");
            None
        }
    }
}

/// Commits a result or a release in the background, so that the caller's answer is not delayed. It
/// counts as a request in flight, so that a graceful shutdown waits for it.
fn commit_in_background(entry_state: &Arc<EntryState>, command: once::Command) {
    let running = RunningRequest::start(entry_state);
    let entry_state = Arc::clone(entry_state);
    tokio::spawn(async move {
        let _running = running;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            if commit(&entry_state, command.clone(), COMMIT_TIMEOUT)
                .await
                .is_some()
            {
                return;
            }
            sleep(COMMIT_RETRY_DELAY).await;
        }
        log::warn!(
            "entry: a result or release was not committed; its key now leads to unknown_outcome"
        );
    });
}

fn release(entry_state: &Arc<EntryState>, guard: &mut Guard) {
    if let once::Release::Propose(command) = guard.release() {
        commit_in_background(entry_state, command);
    }
}

/// Repeats an unanswered claim in the background, to release it if it was granted.
fn release_unanswered_claim(entry_state: &Arc<EntryState>, command: once::Command) {
    let running = RunningRequest::start(entry_state);
    let entry_state = Arc::clone(entry_state);
    tokio::spawn(async move {
        let _running = running;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match commit(&entry_state, command.clone(), COMMIT_TIMEOUT).await {
                Some(once::Outcome::Claimed { claim }) => {
                    commit_in_background(&entry_state, once::Command::Release { claim });
                    return;
                }
                Some(_) => return,
                None => sleep(COMMIT_RETRY_DELAY).await,
            }
        }
    });
}

/// The number that identifies the account of an idempotency key. The fingerprint covers the
/// account's name too, so that two accounts whose numbers collide get a conflict and never each
/// other's answer.
fn account_id(account: &AccountName) -> u64 {
    let digest = Sha256::digest(account.as_str().as_bytes());
    u64::from_be_bytes(*digest.first_chunk().expect("a SHA-256 has 32 bytes"))
}

/// A hash that tells calls with the same idempotency key but different content apart.
fn fingerprint(job: &Job) -> u128 {
    let mut hasher = Sha256::new();
    for text in [
        job.account.as_str(),
        job.service.as_str(),
        job.operation.as_str(),
    ] {
        hasher.update(text.as_bytes());
        hasher.update([0]);
    }
    hasher.update(&job.body);
    u128::from_be_bytes(
        *hasher
            .finalize()
            .first_chunk()
            .expect("a SHA-256 has 32 bytes"),
    )
}
