//! Operators' HTTP calls for whole configurations and drained zones, and the reader of the
//! platform's list of targets.

mod reader;

pub use reader::read_targets;

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::orders::Order;
use azurelug_core::machine::Command;
use azurelug_http::clients::Clients;
use azurelug_http::incoming;
use azurelug_platform::document;
use azurelug_platform::operators::Operation;
use azurelug_platform::rollout;
use azurelug_types::id::{ServiceName, ZoneName};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::replica::{Error, Replica};
use crate::rollouts::{Refusal, Rollouts};

/// Size limit of a configuration document in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// How long a read waits for confirmation that the state is the newest: three freshness probes, and
/// less than the 1 s after which operators ask another daemon.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Handles one call of an operator.
pub async fn handle(
    replica: Replica,
    clients: Clients,
    rollouts: Option<Rollouts>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let operation = Operation::read(request.method(), request.uri().path());
    match (operation, rollouts) {
        (Some(Operation::StartRollout), Some(rollouts)) => {
            start_rollout(&rollouts, &clients, request.into_body()).await
        }
        (Some(Operation::ReadRollout(service)), Some(rollouts)) => {
            read_rollout(&rollouts, &service).await
        }
        (Some(Operation::EndRollout(service)), Some(rollouts)) => {
            rollout_answer(rollouts.end(&service).await)
        }
        (operation, _) => handle_deployment(&replica, &clients, operation, request).await,
    }
}

async fn handle_deployment(
    replica: &Replica,
    clients: &Clients,
    operation: Option<Operation>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match operation {
        Some(Operation::Configure) => configure(replica, clients, request.into_body()).await,
        Some(Operation::ReadConfiguration) => read(replica).await,
        Some(Operation::Drain { zone, drained }) => drain(replica, zone, drained).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// Size limit of an order for a roll-out in bytes; it has three short fields.
const MAX_ORDER_BYTES: usize = 16 * 1024;

async fn start_rollout(
    rollouts: &Rollouts,
    clients: &Clients,
    body: Incoming,
) -> Response<Full<Bytes>> {
    let body = match clients.read(body, MAX_ORDER_BYTES).await {
        Ok(body) => body,
        Err(error) => return unread(&error),
    };
    let order = match rollout::Order::read(&body) {
        Ok(order) => order,
        Err(error) => {
            log::warn!("control: roll-out refused: {error}");
            return error_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let started = rollouts.start(order.service, order.target, order.duration);
    rollout_answer(started.await)
}

async fn read_rollout(rollouts: &Rollouts, service: &ServiceName) -> Response<Full<Bytes>> {
    match rollouts.read(service, READ_TIMEOUT).await {
        Ok(rollout) => {
            let state = rollout::state(rollout.step, &rollout.target);
            json_response(StatusCode::OK, Bytes::from(state))
        }
        Err(refusal) => rollout_answer(Err(refusal)),
    }
}

fn rollout_answer(result: Result<(), Refusal>) -> Response<Full<Bytes>> {
    match result {
        Ok(()) => success(),
        Err(refusal) => error_response(refusal.status(), &refusal.to_string()),
    }
}

/// The answer to a call whose body was not read whole.
fn unread(error: &incoming::Error) -> Response<Full<Bytes>> {
    let mut response = error_response(error.status(), &error.to_string());
    error.close(response.headers_mut());
    response
}

async fn configure(replica: &Replica, clients: &Clients, body: Incoming) -> Response<Full<Bytes>> {
    let body = match clients.read(body, MAX_DOCUMENT_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            log::warn!("control: configuration refused: {error}");
            return unread(&error);
        }
    };
    let version = match document::read(&body) {
        Ok(deployment) => deployment.version,
        Err(error) => {
            log::warn!("control: configuration refused: {error}");
            return error_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    // A document that is applied here is committed, so that a repeated one needs no new log entry.
    let current = replica.orders().document().map(|current| current.version);
    if current.is_some_and(|current| current >= version) {
        log::info!("control: configuration {version} acknowledged; {current:?} is in force");
        return success();
    }
    let order = Order::Configure {
        version,
        document: Arc::from(&body[..]),
    };
    let subject = format!("configuration {version}, {} bytes", body.len());
    // The order has a copy.
    drop(body);
    commit(replica, order, &subject).await
}

async fn drain(replica: &Replica, zone: ZoneName, drained: bool) -> Response<Full<Bytes>> {
    let verb = if drained { "out of use" } else { "in use" };
    let subject = format!("zone {zone} {verb}");
    commit(replica, Order::Drain { zone, drained }, &subject).await
}

async fn commit(replica: &Replica, order: Order, subject: &str) -> Response<Full<Bytes>> {
    match replica.propose(&Command::Deployment(order)).await {
        Ok(_) => {
            log::info!("control: {subject}: committed");
            success()
        }
        Err(error @ Error::Malformed { .. }) => {
            log::warn!("control: {subject}: {error}");
            error_response(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string())
        }
        Err(error @ Error::NoQuorum { .. }) => {
            log::warn!("control: {subject}: {error}");
            error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
        Err(error @ Error::StateFull { .. }) => {
            log::warn!("control: {subject}: {error}");
            error_response(StatusCode::INSUFFICIENT_STORAGE, &error.to_string())
        }
    }
}

async fn read(replica: &Replica) -> Response<Full<Bytes>> {
    if !replica.wait_fresh(READ_TIMEOUT).await {
        log::warn!("control: configuration not read: no word of the leader");
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not known to be the newest; ask another daemon",
        );
    }
    match replica.orders().document() {
        Some(document) => json_response(StatusCode::OK, Bytes::copy_from_slice(&document.bytes)),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
    }
}

fn success() -> Response<Full<Bytes>> {
    json_response(StatusCode::OK, Bytes::from_static(b"{}"))
}

fn error_response(status: StatusCode, error: &str) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": error }).to_string();
    json_response(status, Bytes::from(body))
}

fn json_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
