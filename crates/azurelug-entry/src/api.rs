//! HTTP endpoints for callers: pipeline requests and calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::once::Key;
use azurelug_core::lease_mode::{LEASE, Mode};
use azurelug_http::answer::{self, BODY_LIMIT};
use azurelug_http::incoming;
use azurelug_types::config::Account;
use azurelug_types::id::{AccountName, OperationName, PipelineName, RequestId, ServiceName};
use azurelug_types::outcome::{Execution, Reason, Refusal};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParamsVec;
use volo_http::server::route::{Router, post};

use crate::admission::{self, Permit};
use crate::entry_state::{EntryState, RunningRequest};
use crate::estimates::is_short;
use crate::executor::{self, StageReport};
use crate::metrics::RequestEnd;
use crate::refusal;
use crate::service_call;
use crate::view::View;

/// The longest deadline, and the default, in milliseconds.
const MAX_DEADLINE_MS: u64 = 12_000;

/// Limit of generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The largest token limit that a caller may set. Within the longest deadline of 12 s, at 29 ms per
/// token, 413 tokens can be generated.
const MAX_TOKENS: u32 = 1024;

/// Tokens that are buffered for a slow reader of a stream.
const STREAM_QUEUE_LENGTH: usize = 64;

/// Retry time while the daemon has no configuration yet.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry time of a request whose body found no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry time for an account at its limit of calls in flight.
const ACCOUNT_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(200);

static REQUEST_ID: HeaderName = HeaderName::from_static("azurelug-request-id");
static DEADLINE: HeaderName = HeaderName::from_static("azurelug-deadline-ms");
static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
static REPLAYED: HeaderName = HeaderName::from_static("azurelug-replayed");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PipelineBody {
    input: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Parses the body. `serde` alone would accept an array as the fields in order, and adding a field
/// would then change the meaning of such a body.
fn parse_pipeline_body(body: &[u8]) -> Result<PipelineBody, String> {
    if body.trim_ascii_start().first() == Some(&b'[') {
        return Err("send a JSON object in place of the array".to_owned());
    }
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

#[derive(Serialize)]
struct PipelineAnswer {
    request_id: String,
    execution: Execution,
    output: Value,
    stages: Vec<StageReport>,
}

#[derive(Serialize)]
struct TokenEvent {
    index: u32,
    text: String,
}

/// Builds the router of the callers' listener.
pub fn router(entry_state: &Arc<EntryState>) -> Router {
    let (pipelines, services) = (Arc::clone(entry_state), Arc::clone(entry_state));
    Router::new()
        .route(
            "/v1/pipelines/{pipeline}",
            post(move |path: PathParamsVec, request: Request| {
                let entry_state = Arc::clone(&pipelines);
                async move { handle(entry_state, Route::Pipeline, path, request).await }
            }),
        )
        .route(
            "/v1/services/{service}/{operation}",
            post(move |path: PathParamsVec, request: Request| {
                let entry_state = Arc::clone(&services);
                async move { handle(entry_state, Route::Service, path, request).await }
            }),
        )
}

#[derive(Clone, Copy)]
enum Route {
    Pipeline,
    Service,
}

/// An authenticated request with its deadline.
struct RequestContext {
    id: RequestId,
    view: Arc<View>,
    account: AccountName,
    deadline: Instant,
    max_in_flight: u32,
}

async fn handle(
    entry_state: Arc<EntryState>,
    route: Route,
    path: PathParamsVec,
    request: Request,
) -> Response {
    let id = RequestId(uuid::Uuid::now_v7().to_string());
    let running = RunningRequest::start(&entry_state);
    let path_params: Vec<String> = path
        .into_iter()
        .map(|(_, value)| value.to_string())
        .collect();
    let result = match request_context(&entry_state, &id, request.headers()) {
        Ok(context) => match route {
            Route::Pipeline => {
                handle_pipeline(
                    Arc::clone(&entry_state),
                    context,
                    running,
                    &path_params,
                    request,
                )
                .await
            }
            Route::Service => {
                handle_service(
                    Arc::clone(&entry_state),
                    context,
                    running,
                    &path_params,
                    request,
                )
                .await
            }
        },
        Err(refusal) => Err(refusal),
    };
    // After a body that was not read whole, nothing more can be read from the connection.
    let mut is_body_unread = false;
    let mut response = result.unwrap_or_else(|refusal| {
        is_body_unread = matches!(refusal.reason, Reason::TooLarge | Reason::BodyLate);
        let route = configured_route(&entry_state, route, &path_params);
        entry_state.metrics.record_refusal(&refusal);
        entry_state
            .refusal_log
            .log(&refusal, route.as_deref(), entry_state.now());
        refusal::to_response(&refusal)
    });
    if let Ok(id) = HeaderValue::from_str(&id.0) {
        response.headers_mut().insert(REQUEST_ID.clone(), id);
    }
    if is_body_unread || entry_state.shutdown.is_closing() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// The pipeline or service named in the path, if it is configured. Names made up by callers are not
/// logged.
fn configured_route(
    entry_state: &EntryState,
    route: Route,
    path_params: &[String],
) -> Option<String> {
    let (view, name) = (entry_state.view()?, path_params.first()?);
    let is_known = match route {
        Route::Pipeline => {
            let name = PipelineName::from(name.as_str());
            view.config.pipelines.contains_key(&name)
        }
        Route::Service => {
            let name = ServiceName::from(name.as_str());
            view.config.services.contains_key(&name)
        }
    };
    is_known.then(|| name.clone())
}

/// Authenticates the caller and reads the deadline.
fn request_context(
    entry_state: &Arc<EntryState>,
    id: &RequestId,
    headers: &HeaderMap,
) -> Result<RequestContext, Refusal> {
    let not_run =
        |reason, retry_after| refusal::new_refusal(&id.0, reason, Execution::NotRun, retry_after);
    let view = entry_state.view();
    let view =
        view.ok_or_else(|| not_run(Reason::NoConfiguration, Some(NO_CONFIGURATION_RETRY_AFTER)))?;
    let (name, account) = authenticate(&view, headers)
        .map(|(name, account)| (name.clone(), account.clone()))
        .ok_or_else(|| not_run(Reason::Unauthorized, None))?;
    let millis = deadline_ms(headers).ok_or_else(|| not_run(Reason::DeadlinePassed, None))?;
    Ok(RequestContext {
        id: id.clone(),
        view,
        account: name,
        deadline: Instant::now() + Duration::from_millis(millis),
        max_in_flight: account.max_in_flight,
    })
}

fn authenticate<'a>(view: &'a View, headers: &HeaderMap) -> Option<(&'a AccountName, &'a Account)> {
    let text = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    view.account_by_key(text.strip_prefix("Bearer ")?)
}

fn deadline_ms(headers: &HeaderMap) -> Option<u64> {
    let Some(value) = headers.get(&DEADLINE) else {
        return Some(MAX_DEADLINE_MS);
    };
    let millis = value.to_str().ok()?.parse().ok()?;
    (1..=MAX_DEADLINE_MS).contains(&millis).then_some(millis)
}

/// Checks the key by the configuration that is in force once the body has arrived. The lease that is
/// checked from then on vouches for that one, and not for the one from before the body.
fn check_key_again(
    entry_state: &EntryState,
    id: &RequestId,
    account: &AccountName,
    headers: &HeaderMap,
) -> Result<(), Refusal> {
    let not_run =
        |reason, retry_after| refusal::new_refusal(&id.0, reason, Execution::NotRun, retry_after);
    // Read first, so that the lease is not that of a newer configuration.
    let mode = entry_state.mode();
    let view = entry_state.view();
    let found = view.as_ref().and_then(|view| authenticate(view, headers));
    if found.is_none_or(|(name, _)| name != account) {
        return Err(not_run(Reason::Unauthorized, None));
    }
    if mode == Mode::Refuse {
        return Err(not_run(Reason::NoQuorum, Some(LEASE)));
    }
    Ok(())
}

async fn read_request(
    entry_state: &EntryState,
    id: &RequestId,
    request: Request,
) -> Result<(HeaderMap, Bytes), Refusal> {
    let (parts, body) = request.into_parts();
    let read = entry_state.clients.read(body, BODY_LIMIT);
    let body = read.await;
    let body = body.map_err(|error| {
        let (reason, after) = match error {
            incoming::Error::TooLong { .. } => (Reason::TooLarge, None),
            incoming::Error::Late => (Reason::BodyLate, None),
            incoming::Error::Exhausted(_) => (Reason::Overloaded, Some(MEMORY_RETRY_AFTER)),
            incoming::Error::Interrupted { .. } => (Reason::BadRequest, None),
        };
        refusal::new_refusal(&id.0, reason, Execution::NotRun, after)
    })?;
    Ok((parts.headers, body))
}

async fn handle_pipeline(
    entry_state: Arc<EntryState>,
    context: RequestContext,
    running: RunningRequest,
    path_params: &[String],
    request: Request,
) -> Result<Response, Refusal> {
    let RequestContext {
        id,
        view,
        account,
        deadline,
        ..
    } = context;
    let not_run = |reason| refusal::new_refusal(&id.0, reason, Execution::NotRun, None);
    let name = PipelineName(path_params.first().cloned().unwrap_or_default());
    let Some(pipeline) = view.config.pipelines.get(&name).cloned() else {
        return Err(not_run(Reason::UnknownPipeline));
    };
    let (headers, body) = read_request(&entry_state, &id, request).await?;
    check_key_again(&entry_state, &id, &account, &headers)?;
    let body = parse_pipeline_body(&body).map_err(|error| {
        let mut refusal = not_run(Reason::BadRequest);
        refusal.help = format!("{error}; {}", refusal.help);
        refusal
    })?;
    if body.max_tokens == 0 || body.max_tokens > MAX_TOKENS {
        let mut refusal = not_run(Reason::BadRequest);
        refusal.help = format!("set max_tokens from 1 to {MAX_TOKENS}");
        return Err(refusal);
    }
    let is_short = is_short(body.max_tokens);
    let classes = entry_state
        .estimates
        .classes(&name, &pipeline.stages, is_short);
    let admission_request = admission::Request {
        account: &account,
        config: &view.config,
        pipeline: &name,
        classes: &classes,
        is_short,
        max_tokens: body.max_tokens,
        deadline,
    };
    let started = Instant::now();
    let mut end_recorder = EndRecorder {
        route: name.0.clone(),
        started,
        deadline,
        entry_state: Arc::clone(&entry_state),
        is_recorded: false,
    };
    let permit = entry_state
        .admission
        .admit(admission_request)
        .await
        .map_err(|refused| {
            end_recorder.record(false);
            let retry_after = Some(refused.retry_after);
            refusal::new_refusal(&id.0, refused.reason, Execution::NotRun, retry_after)
        })?;
    let job = executor::Job {
        id: id.clone(),
        pipeline,
        classes,
        input: body.input,
        max_tokens: body.max_tokens,
        deadline,
    };
    if body.stream {
        return Ok(stream_response(
            entry_state,
            job,
            end_recorder,
            (running, permit),
        ));
    }
    let result = executor::run(Arc::clone(&entry_state), job, None).await;
    end_recorder.record(result.is_ok());
    drop((running, permit));
    result.map(|response| answer::json(200, &pipeline_answer(&id, response)))
}

fn pipeline_answer(id: &RequestId, response: executor::PipelineResponse) -> PipelineAnswer {
    PipelineAnswer {
        request_id: id.0.clone(),
        execution: Execution::Done,
        output: response.output,
        stages: response.stages,
    }
}

/// Records the end of a request in the metrics, once.
struct EndRecorder {
    route: String,
    started: Instant,
    deadline: Instant,
    entry_state: Arc<EntryState>,
    is_recorded: bool,
}

impl EndRecorder {
    fn record(&mut self, is_answered: bool) {
        self.is_recorded = true;
        let end = match is_answered {
            true if Instant::now() <= self.deadline => RequestEnd::InTime,
            true => RequestEnd::Late,
            false => RequestEnd::Refused,
        };
        let metrics = &self.entry_state.metrics;
        metrics.record_end(&self.route, end, self.started.elapsed());
    }
}

/// A request that is dropped before its end was abandoned by its caller.
impl Drop for EndRecorder {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.entry_state.metrics.record_abandoned(&self.route);
        }
    }
}

/// Answers with server-sent events. The request ends when its caller disconnects.
fn stream_response(
    entry_state: Arc<EntryState>,
    job: executor::Job,
    mut end_recorder: EndRecorder,
    guards: (RunningRequest, Permit),
) -> Response {
    let (events, body) = mpsc::channel::<Bytes>(STREAM_QUEUE_LENGTH);
    let (token_sender, mut tokens) = mpsc::channel(STREAM_QUEUE_LENGTH);
    tokio::spawn(async move {
        let id = job.id.clone();
        let run = executor::run(Arc::clone(&entry_state), job, Some(token_sender));
        let forward = async {
            while let Some(token) = tokens.recv().await {
                let event = TokenEvent {
                    index: token.index,
                    text: token.text,
                };
                if events.send(answer::event("token", &event)).await.is_err() {
                    return;
                }
            }
        };
        let result = tokio::select! {
            (result, ()) = async { tokio::join!(run, forward) } => result,
            () = events.closed() => return,
        };
        end_recorder.record(result.is_ok());
        let last = match result {
            Ok(response) => answer::event("done", &pipeline_answer(&id, response)),
            Err(refusal) => {
                let route = Some(end_recorder.route.as_str());
                entry_state.metrics.record_refusal(&refusal);
                entry_state
                    .refusal_log
                    .log(&refusal, route, entry_state.now());
                answer::event("error", &refusal)
            }
        };
        // Sending fails if the caller has disconnected; the last event is not needed then.
        let _ = events.send(last).await;
        drop(guards);
    });
    answer::events(body)
}

async fn handle_service(
    entry_state: Arc<EntryState>,
    context: RequestContext,
    running: RunningRequest,
    path_params: &[String],
    request: Request,
) -> Result<Response, Refusal> {
    let RequestContext {
        id,
        view,
        account,
        deadline,
        max_in_flight,
    } = context;
    let not_run = |reason| refusal::new_refusal(&id.0, reason, Execution::NotRun, None);
    let slot = entry_state
        .acquire_account_slot(&account, max_in_flight)
        .ok_or_else(|| {
            refusal::new_refusal(
                &id.0,
                Reason::AccountLimit,
                Execution::NotRun,
                Some(ACCOUNT_LIMIT_RETRY_AFTER),
            )
        })?;
    let service = ServiceName(path_params.first().cloned().unwrap_or_default());
    let operation = OperationName(path_params.get(1).cloned().unwrap_or_default());
    let declared = view.config.services.get(&service);
    let Some(declared) = declared.and_then(|service| service.operations.get(&operation)) else {
        return Err(not_run(Reason::UnknownService));
    };
    let key = idempotency_key(request.headers(), declared.idempotent).map_err(|help| {
        let mut refusal = not_run(Reason::BadRequest);
        refusal.help = help;
        refusal
    })?;
    let (headers, body) = read_request(&entry_state, &id, request).await?;
    check_key_again(&entry_state, &id, &account, &headers)?;
    let mut end_recorder = EndRecorder {
        route: service.0.clone(),
        started: Instant::now(),
        deadline,
        entry_state: Arc::clone(&entry_state),
        is_recorded: false,
    };
    let job = service_call::Job {
        id,
        account,
        service,
        operation,
        is_idempotent: declared.idempotent,
        key,
        body,
        deadline,
    };
    // The call runs on its own task: a caller that disconnects must not interrupt a claimed call
    // between its claim and the recording of its result.
    let task_gateway = Arc::clone(&entry_state);
    let run = tokio::spawn(async move {
        let result = service_call::run(task_gateway, job).await;
        drop((running, slot));
        result
    });
    let result = run.await.expect("the service call's task does not panic");
    end_recorder.record(result.is_ok());
    result.map(service_answer)
}

fn service_answer(service_response: service_call::ServiceResponse) -> Response {
    let body = volo_http::body::Body::from(service_response.body);
    let mut response = answer::with_type(service_response.status, "application/json", body);
    if service_response.is_replayed {
        response
            .headers_mut()
            .insert(REPLAYED.clone(), HeaderValue::from_static("true"));
    }
    response
}

fn idempotency_key(headers: &HeaderMap, is_idempotent: bool) -> Result<Option<Key>, String> {
    let Some(value) = headers.get(&IDEMPOTENCY_KEY) else {
        if is_idempotent {
            return Ok(None);
        }
        return Err(
            "this operation must not repeat; send Idempotency-Key with a UUIDv7".to_owned(),
        );
    };
    let text = value.to_str().map_err(|error| error.to_string())?;
    // The draft for this header uses RFC 8941 strings, which are quoted.
    text.trim_matches('"')
        .parse()
        .map(Some)
        .map_err(|error| format!("Idempotency-Key: {error}"))
}
