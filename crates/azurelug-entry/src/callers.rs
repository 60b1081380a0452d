//! HTTP endpoints for callers: pipeline requests and calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::once::Key;
use azurelug_http::answer::{self, BODY_LIMIT};
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

use crate::admit::{self, Permit};
use crate::drive::{self, StageReport};
use crate::estimates::is_short;
use crate::gateway::{Gateway, Running};
use crate::metrics::End;
use crate::plain;
use crate::refuse;
use crate::view::View;

/// The longest deadline, and the default, in milliseconds.
const MAX_DEADLINE_MS: u64 = 12_000;

/// Limit of generated tokens if the caller sets none.
const DEFAULT_TOKENS: u32 = 256;

/// The largest token limit that a caller may set. Within the longest deadline of 12 s, at 29 ms per
/// token, 413 tokens can be generated.
const MAX_TOKENS: u32 = 1024;

/// Tokens that are buffered for a slow reader of a stream.
const STREAM_QUEUE: usize = 64;

/// Retry time while the daemon has no configuration yet.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// Retry time for an account at its limit of calls in flight.
const ACCOUNT_WAIT: Duration = Duration::from_millis(200);

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
    DEFAULT_TOKENS
}

/// Parses the body. `serde` alone would accept an array as the fields in order, and adding a field
/// would then change the meaning of such a body.
fn pipeline_body(body: &[u8]) -> Result<PipelineBody, String> {
    if body.trim_ascii_start().first() == Some(&b'[') {
        return Err("send a JSON object instead of an array".to_owned());
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
pub fn router(gateway: &Arc<Gateway>) -> Router {
    let (pipelines, services) = (Arc::clone(gateway), Arc::clone(gateway));
    Router::new()
        .route(
            "/v1/pipelines/{pipeline}",
            post(move |path: PathParamsVec, request: Request| {
                let gateway = Arc::clone(&pipelines);
                async move { handle(gateway, Route::Pipeline, path, request).await }
            }),
        )
        .route(
            "/v1/services/{service}/{operation}",
            post(move |path: PathParamsVec, request: Request| {
                let gateway = Arc::clone(&services);
                async move { handle(gateway, Route::Service, path, request).await }
            }),
        )
}

#[derive(Clone, Copy)]
enum Route {
    Pipeline,
    Service,
}

/// An authenticated request with its deadline.
struct Accepted {
    id: RequestId,
    view: Arc<View>,
    account: AccountName,
    deadline: Instant,
    max_in_flight: u32,
}

async fn handle(
    gateway: Arc<Gateway>,
    route: Route,
    path: PathParamsVec,
    request: Request,
) -> Response {
    let id = RequestId(uuid::Uuid::now_v7().to_string());
    let running = Running::start(&gateway);
    let names: Vec<String> = path
        .into_iter()
        .map(|(_, value)| value.to_string())
        .collect();
    let answered = match accept(&gateway, &id, request.headers()) {
        Ok(accepted) => match route {
            Route::Pipeline => {
                pipeline(Arc::clone(&gateway), accepted, running, &names, request).await
            }
            Route::Service => {
                service(Arc::clone(&gateway), accepted, running, &names, request).await
            }
        },
        Err(refusal) => Err(refusal),
    };
    let mut response = answered.unwrap_or_else(|refusal| {
        let route = configured(&gateway, route, &names);
        gateway.metrics.refused(&refusal);
        gateway
            .refused
            .log(&refusal, route.as_deref(), gateway.now());
        refuse::respond(&refusal)
    });
    if let Ok(id) = HeaderValue::from_str(&id.0) {
        response.headers_mut().insert(REQUEST_ID.clone(), id);
    }
    if gateway.shutdown.is_closing() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// The pipeline or service named in the path, if it is configured. Names made up by callers are not
/// logged.
fn configured(gateway: &Gateway, route: Route, names: &[String]) -> Option<String> {
    let (view, name) = (gateway.view()?, names.first()?);
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
fn accept(
    gateway: &Arc<Gateway>,
    id: &RequestId,
    headers: &HeaderMap,
) -> Result<Accepted, Refusal> {
    let not_run = |reason, wait| refuse::refusal(&id.0, reason, Execution::NotRun, wait);
    let view = gateway.view();
    let view = view.ok_or_else(|| not_run(Reason::NoConfiguration, Some(CONFIGURATION_WAIT)))?;
    let (name, account) = account(&view, headers)
        .map(|(name, account)| (name.clone(), account.clone()))
        .ok_or_else(|| not_run(Reason::Unauthorized, None))?;
    let millis = deadline_ms(headers).ok_or_else(|| not_run(Reason::DeadlinePassed, None))?;
    Ok(Accepted {
        id: id.clone(),
        view,
        account: name,
        deadline: Instant::now() + Duration::from_millis(millis),
        max_in_flight: account.max_in_flight,
    })
}

fn account<'a>(view: &'a View, headers: &HeaderMap) -> Option<(&'a AccountName, &'a Account)> {
    let text = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    view.account(text.strip_prefix("Bearer ")?)
}

fn deadline_ms(headers: &HeaderMap) -> Option<u64> {
    let Some(value) = headers.get(&DEADLINE) else {
        return Some(MAX_DEADLINE_MS);
    };
    let millis = value.to_str().ok()?.parse().ok()?;
    (1..=MAX_DEADLINE_MS).contains(&millis).then_some(millis)
}

async fn read(id: &RequestId, request: Request) -> Result<Bytes, Refusal> {
    answer::read_body(request.into_body(), BODY_LIMIT)
        .await
        .map_err(|error| {
            let reason = match error {
                azurelug_http::Error::TooLarge { .. } => Reason::TooLarge,
                _ => Reason::BadRequest,
            };
            refuse::refusal(&id.0, reason, Execution::NotRun, None)
        })
}

async fn pipeline(
    gateway: Arc<Gateway>,
    accepted: Accepted,
    running: Running,
    names: &[String],
    request: Request,
) -> Result<Response, Refusal> {
    let Accepted {
        id,
        view,
        account,
        deadline,
        ..
    } = accepted;
    let not_run = |reason| refuse::refusal(&id.0, reason, Execution::NotRun, None);
    let name = PipelineName(names.first().cloned().unwrap_or_default());
    let Some(pipeline) = view.config.pipelines.get(&name).cloned() else {
        return Err(not_run(Reason::UnknownPipeline));
    };
    let body = read(&id, request).await?;
    let body = pipeline_body(&body).map_err(|error| {
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
    let classes = gateway.estimates.classes(&name, &pipeline.stages, is_short);
    let ask = admit::Request {
        account: &account,
        config: &view.config,
        pipeline: &name,
        classes: &classes,
        is_short,
        max_tokens: body.max_tokens,
        deadline,
    };
    let started = Instant::now();
    let mut ending = Ending {
        route: name.0.clone(),
        started,
        deadline,
        gateway: Arc::clone(&gateway),
        is_counted: false,
    };
    let permit = gateway.admit.enter(ask).await.map_err(|refused| {
        ending.count(false);
        let wait = Some(refused.retry_after);
        refuse::refusal(&id.0, refused.reason, Execution::NotRun, wait)
    })?;
    let job = drive::Job {
        id: id.clone(),
        pipeline,
        classes,
        input: body.input,
        max_tokens: body.max_tokens,
        deadline,
    };
    if body.stream {
        return Ok(stream(gateway, job, ending, (running, permit)));
    }
    let result = drive::run(Arc::clone(&gateway), job, None).await;
    ending.count(result.is_ok());
    drop((running, permit));
    result.map(|done| answer::json(200, &pipeline_answer(&id, done)))
}

fn pipeline_answer(id: &RequestId, done: drive::Done) -> PipelineAnswer {
    PipelineAnswer {
        request_id: id.0.clone(),
        execution: Execution::Done,
        output: done.output,
        stages: done.stages,
    }
}

/// Records the end of a request in the metrics, once.
struct Ending {
    route: String,
    started: Instant,
    deadline: Instant,
    gateway: Arc<Gateway>,
    is_counted: bool,
}

impl Ending {
    fn count(&mut self, is_answered: bool) {
        self.is_counted = true;
        let end = match is_answered {
            true if Instant::now() <= self.deadline => End::InTime,
            true => End::Late,
            false => End::Refused,
        };
        let metrics = &self.gateway.metrics;
        metrics.ended(&self.route, end, self.started.elapsed());
    }
}

/// A request that is dropped before its end was abandoned by its caller.
impl Drop for Ending {
    fn drop(&mut self) {
        if !self.is_counted {
            self.gateway.metrics.abandoned(&self.route);
        }
    }
}

/// Answers with server-sent events. The request ends when its caller disconnects.
fn stream(
    gateway: Arc<Gateway>,
    job: drive::Job,
    mut ending: Ending,
    held: (Running, Permit),
) -> Response {
    let (events, body) = mpsc::channel::<Bytes>(STREAM_QUEUE);
    let (sink, mut tokens) = mpsc::channel(STREAM_QUEUE);
    tokio::spawn(async move {
        let id = job.id.clone();
        let run = drive::run(Arc::clone(&gateway), job, Some(sink));
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
        ending.count(result.is_ok());
        let last = match result {
            Ok(done) => answer::event("done", &pipeline_answer(&id, done)),
            Err(refusal) => {
                let route = Some(ending.route.as_str());
                gateway.metrics.refused(&refusal);
                gateway.refused.log(&refusal, route, gateway.now());
                answer::event("error", &refusal)
            }
        };
        // Sending fails if the caller has disconnected; the last event is not needed then.
        let _ = events.send(last).await;
        drop(held);
    });
    answer::events(body)
}

async fn service(
    gateway: Arc<Gateway>,
    accepted: Accepted,
    running: Running,
    names: &[String],
    request: Request,
) -> Result<Response, Refusal> {
    let Accepted {
        id,
        view,
        account,
        deadline,
        max_in_flight,
    } = accepted;
    let not_run = |reason| refuse::refusal(&id.0, reason, Execution::NotRun, None);
    let slot = gateway
        .enter_account(&account, max_in_flight)
        .ok_or_else(|| {
            refuse::refusal(
                &id.0,
                Reason::AccountLimit,
                Execution::NotRun,
                Some(ACCOUNT_WAIT),
            )
        })?;
    let service = ServiceName(names.first().cloned().unwrap_or_default());
    let operation = OperationName(names.get(1).cloned().unwrap_or_default());
    let declared = view.config.services.get(&service);
    let Some(declared) = declared.and_then(|service| service.operations.get(&operation)) else {
        return Err(not_run(Reason::UnknownService));
    };
    let key = idempotency_key(request.headers(), declared.idempotent).map_err(|help| {
        let mut refusal = not_run(Reason::BadRequest);
        refusal.help = help;
        refusal
    })?;
    let body = read(&id, request).await?;
    let mut ending = Ending {
        route: service.0.clone(),
        started: Instant::now(),
        deadline,
        gateway: Arc::clone(&gateway),
        is_counted: false,
    };
    let job = plain::Job {
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
    let task_gateway = Arc::clone(&gateway);
    let run = tokio::spawn(async move {
        let result = plain::run(task_gateway, job).await;
        drop((running, slot));
        result
    });
    let result = run.await.expect("the service call's task does not panic");
    ending.count(result.is_ok());
    result.map(service_answer)
}

fn service_answer(done: plain::Done) -> Response {
    let body = volo_http::body::Body::from(done.body);
    let mut response = answer::with_type(done.status, "application/json", body);
    if done.is_replayed {
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
            "this operation must not run twice; send an Idempotency-Key header with a UUIDv7"
                .to_owned(),
        );
    };
    let text = value.to_str().map_err(|error| error.to_string())?;
    // The draft for this header uses RFC 8941 strings, which are quoted.
    text.trim_matches('"')
        .parse()
        .map(Some)
        .map_err(|error| format!("Idempotency-Key: {error}"))
}
