//! HTTP endpoints for the load balancer, for metrics and for operators.

use std::sync::Arc;

use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::TargetState;
use azurelug_http::answer;
use azurelug_http::clients::Held;
use azurelug_types::id::{DaemonName, Version, ZoneName};
use serde::Serialize;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, get, post};

use crate::entry_state::EntryState;
use crate::recent_decisions::Decision;

#[derive(Serialize)]
struct StateDump {
    daemon: DaemonName,
    zone: ZoneName,
    version: Version,
    mode: Mode,
    control: Option<String>,
    stopping: bool,
    in_flight: i64,
    base_shares_open: bool,
    targets: Vec<TargetState>,
    recent_decisions: Vec<Decision>,
    clients: Held,
}

/// Builds the router of the admin listener.
pub fn router(entry_state: &Arc<EntryState>) -> Router {
    let (ready, metrics, dump, drain) = (
        Arc::clone(entry_state),
        Arc::clone(entry_state),
        Arc::clone(entry_state),
        Arc::clone(entry_state),
    );
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(move || async move { readiness(&ready) }))
        .route(
            "/metrics",
            get(move || async move {
                let mut text = metrics.metrics.encode_text();
                metrics.clients.append_metrics("azurelug_entry", &mut text);
                answer::text(200, answer::OPEN_METRICS, text)
            }),
        )
        .route(
            "/debug/state",
            get(move || async move { answer::json(200, &state_dump(&dump)) }),
        )
        .route(
            "/v1/local-drain",
            post(move |request: Request| async move { local_drain(&drain, request).await }),
        )
}

/// Reports ready while a configuration is in force and no shutdown is running. A daemon without a
/// valid lease stays ready, because its zone may have no other daemon to serve it.
fn readiness(entry_state: &EntryState) -> Response {
    let problem = if entry_state.shutdown.is_stopping() {
        "stopping"
    } else if entry_state.view().is_none() {
        "no configuration yet"
    } else if entry_state.mode() == Mode::Refuse {
        "no lease, and the zone's policy is to refuse"
    } else {
        return answer::text(200, "text/plain", "ready\n".to_owned());
    };
    answer::text(503, "text/plain", format!("not ready: {problem}\n"))
}

fn state_dump(entry_state: &EntryState) -> StateDump {
    StateDump {
        daemon: entry_state.name.clone(),
        zone: entry_state.zone.clone(),
        version: entry_state.version(),
        mode: entry_state.mode(),
        control: entry_state.control_link.peer(),
        stopping: entry_state.shutdown.is_stopping(),
        in_flight: entry_state.metrics.in_flight.get(),
        base_shares_open: entry_state.shares.is_base_open(),
        targets: entry_state.with_router(|router, now| router.dump(now)),
        recent_decisions: entry_state.recent_decisions.all(),
        clients: entry_state.clients.held(),
    }
}

/// Drains a zone on this daemon only, until a newer configuration version arrives. It can stop new
/// work to a zone, but not resume it.
async fn local_drain(entry_state: &EntryState, request: Request) -> Response {
    let body = answer::read_body(request.into_body(), 1024)
        .await
        .unwrap_or_default();
    let name = ZoneName(String::from_utf8_lossy(&body).trim().to_owned());
    if entry_state.with_router(|router, _| router.drain_locally(&name)) {
        log::warn!("entry: zone {name} is drained on this daemon");
        return answer::text(200, "text/plain", format!("zone {name} is drained here\n"));
    }
    answer::text(
        404,
        "text/plain",
        format!("no zone is named '{name}'; send its name as the body\n"),
    )
}
