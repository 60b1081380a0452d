//! Readiness, metrics and the state dump.

use std::sync::Arc;

use azurelug_http::clients::Held;
use azurelug_platform::operators::READY;
use azurelug_types::rate::Rate;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::body::Body;
use crate::gateway::Gateway;
use crate::placement::{ServiceCostRow, TargetCostRow};
use crate::quarantine::SuspectRow;
use crate::rollouts::RolloutRow;

#[derive(Serialize)]
struct Dump {
    name: String,
    zone: String,
    is_ready: bool,
    version: Option<u64>,
    staleness_ms: Option<u128>,
    gateways: usize,
    idle_connections: usize,
    targets: Vec<TargetRow>,
    stage_targets: Vec<StageRow>,
    suspects: Vec<SuspectRow>,
    clients: Held,
    rollouts: Vec<RolloutRow>,
    service_costs: Vec<ServiceCostRow>,
    target_costs: Vec<TargetCostRow>,
    stream_versions: Vec<VersionsRow>,
    stream_records: usize,
    /// Empty unless accounts share slots.
    slots: Vec<SlotRow>,
}

/// How long requests take the slots of a service, and for how long they still count as short.
#[derive(Serialize)]
struct SlotRow {
    service: String,
    duration_ms: u128,
    short_ms: u128,
}

/// The software versions of a service at which streams may begin.
#[derive(Serialize)]
struct VersionsRow {
    service: String,
    versions: Vec<String>,
}

#[derive(Serialize)]
struct TargetRow {
    name: String,
    service: String,
    zone: String,
    version: String,
    is_leaving: bool,
    /// Limit that the target has named, in requests a second from all gateways.
    limit: Option<f64>,
    in_flight: u32,
}

#[derive(Serialize)]
struct StageRow {
    name: String,
    running: u32,
    held_bytes: u64,
}

/// Answers one request at the admin address.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        READY if gateway.is_ready() => text(StatusCode::OK, "ready\n".to_owned()),
        READY => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        "/metrics" => text(StatusCode::OK, metrics(&gateway)),
        "/debug/state" => match serde_json::to_string(&dump(&gateway)) {
            Ok(dump) => text(StatusCode::OK, dump),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => text(StatusCode::NOT_FOUND, "unknown path\n".to_owned()),
    }
}

fn dump(gateway: &Gateway) -> Dump {
    let fleet = gateway.fleet();
    let rows = fleet.loads().map(|(target, in_flight)| TargetRow {
        name: target.name.to_string(),
        service: target.service.to_string(),
        zone: target.zone.to_string(),
        version: target.version.clone(),
        is_leaving: target.is_leaving,
        limit: fleet.limit(&target.name).map(Rate::per_second),
        in_flight,
    });
    let targets = rows.collect();
    let registered = fleet.registered_versions();
    let stream_versions = registered.map(|(service, versions)| VersionsRow {
        service: service.to_string(),
        versions: versions.to_vec(),
    });
    let stream_versions = stream_versions.collect();
    drop(fleet);
    let (service_costs, target_costs) = gateway.cost_rows();
    let stage_targets = gateway.dispatch_workers.dump().into_iter();
    let shortages = gateway.slots.shortages(gateway.now()).into_iter();
    let slots = shortages.map(|(service, shortage)| SlotRow {
        service: service.to_string(),
        duration_ms: shortage.duration.as_millis(),
        short_ms: shortage.remaining.as_millis(),
    });
    let slots = slots.collect();
    Dump {
        name: gateway.name.to_string(),
        zone: gateway.zone.to_string(),
        is_ready: gateway.is_ready(),
        version: gateway.table().map(|table| table.deployment().version),
        staleness_ms: gateway.staleness().map(|age| age.as_millis()),
        gateways: gateway.gateway_count(),
        idle_connections: gateway.upstream.idle_count(),
        targets,
        stage_targets: stage_targets
            .map(|(name, running, held_bytes)| StageRow {
                name,
                running,
                held_bytes,
            })
            .collect(),
        suspects: gateway.suspect_rows(),
        clients: gateway.clients.held(),
        rollouts: gateway.rollout_rows(),
        service_costs,
        target_costs,
        stream_versions,
        stream_records: gateway.streams.count(),
        slots,
    }
}

fn metrics(gateway: &Gateway) -> String {
    let mut text = gateway.metrics.text();
    let clients = &gateway.clients;
    clients.append_metrics("azurelug_gateway", &mut text);
    text
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::complete(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
