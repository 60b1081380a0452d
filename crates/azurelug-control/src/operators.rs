//! HTTP API for operators: status, configuration, patches, history, engines, state dump.

use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::raft::State;
use azurelug_core::configuration;
use azurelug_core::machine::{Command, Outcome};
use azurelug_http::answer::{self, BODY_LIMIT};
use azurelug_http::clients::{Clients, Held};
use azurelug_platform::rollout;
use azurelug_types::id::{DaemonName, ServiceName, Version, ZoneName};
use azurelug_types::patch::{Answer, Patch};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, get, post};

use crate::daemons::{DaemonRow, Registry};
use crate::internal::wall_clock_ms;
use crate::metrics::{self, GaugeValues};
use crate::orders::{self, Engines};
use crate::replica::{self, Replica};
use crate::rollouts::{Refusal, RolloutRow, Rollouts};
use crate::shares::{self, Shares};

/// A member is ready while its state is at most this old. A configuration lease lasts 2 s from the
/// time at which the state was known to be the newest, so a member with older state can't renew
/// any.
const MAX_READY_AGE: Duration = Duration::from_secs(2);

/// How long the answer to a patch is delayed until this member has applied the version.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// The error where the settings hold no bounds for roll-outs.
const NO_ROLLOUTS: &str = "no roll-outs here; set `bounds` in the settings of all control daemons";

/// The state that the handlers share.
#[derive(Clone)]
pub struct OperatorApi {
    /// This daemon.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The replicated state.
    pub replica: Replica,
    /// The entry daemons that are known here.
    pub registry: Arc<Registry>,
    /// The shares of the own zone's targets.
    pub shares: Shares,
    /// The engines and the orders to them.
    pub engines: Engines,
    /// Bounds on what is held for operators.
    pub clients: Clients,
    /// Roll-outs, if the deployment has any.
    pub rollouts: Option<Rollouts>,
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

#[derive(Serialize)]
struct Status {
    daemon: DaemonName,
    zone: ZoneName,
    version: u64,
    role: String,
    freshness_age_ms: Option<u128>,
    /// The last request to join that this daemon refused, or that was refused to it.
    #[serde(skip_serializing_if = "Option::is_none")]
    refused_join: Option<String>,
    entry_daemons: Vec<DaemonRow>,
}

#[derive(Serialize)]
struct Dump {
    daemon: DaemonName,
    zone: ZoneName,
    version: u64,
    freshness_age_ms: Option<u128>,
    once: OnceRecords,
    shares: Vec<shares::TargetRow>,
    engines: orders::Report,
    holders: shares::HoldersState,
    log: Option<State>,
    entry_daemons: Vec<DaemonRow>,
    clients: Held,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    rollouts: Vec<RolloutRow>,
}

/// The size of the at-most-once records.
#[derive(Serialize)]
struct OnceRecords {
    records: usize,
    bytes: u64,
    watermark_ms: u64,
}

impl OnceRecords {
    fn read(replica: &Replica) -> Self {
        let machine = replica.machine();
        let table = machine.once();
        Self {
            records: table.len(),
            bytes: table.bytes(),
            watermark_ms: table.watermark_ms(),
        }
    }
}

impl OperatorApi {
    /// The HTTP routes.
    pub fn router(self) -> Router {
        let (status, config, history, dump) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        let (ready, metrics) = (self.clone(), self.clone());
        let engines = self.engines.clone();
        let (rollouts, starts, ends) = (self.clone(), self.clone(), self.clone());
        let patches = self;
        Router::new()
            .route(
                "/v1/rollouts",
                get(move || async move { rollouts.rollout_rows() }).post(
                    move |request: Request| {
                        let api = starts.clone();
                        async move { api.start_rollout(request).await }
                    },
                ),
            )
            .route(
                "/v1/rollouts/end",
                post(move |request: Request| {
                    let api = ends.clone();
                    async move { api.end_rollout(request).await }
                }),
            )
            .route("/healthz", get(|| async { "ok" }))
            .route("/readyz", get(move || async move { ready.readiness() }))
            .route(
                "/metrics",
                get(move || async move { metrics.metrics().await }),
            )
            .route(
                "/v1/status",
                get(move || async move { status.status().await }),
            )
            .route(
                "/v1/config",
                get(move |request: Request| async move { config.config(&request) }),
            )
            .route("/v1/history", get(move || async move { history.history() }))
            .route(
                "/v1/engines",
                get(move || async move { answer::json(200, &engines.report()) }),
            )
            .route(
                "/debug/state",
                get(move || async move { dump.dump().await }),
            )
            .route(
                "/v1/patches",
                post(move |request: Request| {
                    let api = patches.clone();
                    async move { api.patch(request).await }
                }),
            )
    }

    /// Ready while entry daemons can renew their leases here.
    fn readiness(&self) -> Response {
        let reason = match self.replica.freshness_age() {
            Some(age) if age < MAX_READY_AGE => {
                return answer::text(200, "text/plain", "ready\n".to_owned());
            }
            Some(age) => format!("no word of the leader for {} ms", age.as_millis()),
            None => "no word of the leader since the start".to_owned(),
        };
        answer::text(503, "text/plain", format!("not ready: {reason}\n"))
    }

    async fn metrics(&self) -> Response {
        let log = self.replica.log_state().await;
        let once = OnceRecords::read(&self.replica);
        let (share_limit, share_granted) = self.shares.totals();
        let values = GaugeValues {
            log,
            version: self.replica.config().version.0,
            once_records: once.records,
            once_record_bytes: once.bytes,
            share_limit,
            share_granted,
        };
        let mut text = self.replica.metrics().encode_text(&values);
        self.clients.append_metrics("azurelug_control", &mut text);
        answer::text(200, answer::OPEN_METRICS, text)
    }

    async fn status(&self) -> Response {
        let state = self.replica.log_state().await;
        let status = Status {
            daemon: self.name.clone(),
            zone: self.zone.clone(),
            version: self.replica.config().version.0,
            refused_join: state
                .as_ref()
                .and_then(|state| self.replica.refused_join(state)),
            role: state.map_or_else(|| "stopped".to_owned(), |state| format!("{:?}", state.role)),
            freshness_age_ms: self.replica.freshness_age().map(|age| age.as_millis()),
            entry_daemons: self.registry.rows(),
        };
        answer::json(200, &status)
    }

    async fn dump(&self) -> Response {
        let log = self.replica.log_state().await;
        let dump = Dump {
            daemon: self.name.clone(),
            zone: self.zone.clone(),
            version: self.replica.config().version.0,
            freshness_age_ms: self.replica.freshness_age().map(|age| age.as_millis()),
            once: OnceRecords::read(&self.replica),
            shares: self.shares.rows(),
            engines: self.engines.report(),
            holders: self.shares.holders(),
            log,
            entry_daemons: self.registry.rows(),
            clients: self.clients.held(),
            rollouts: self.rollouts.as_ref().map_or_else(Vec::new, Rollouts::rows),
        };
        answer::json(200, &dump)
    }

    /// The version in force, or the one that `?version=` names.
    fn config(&self, request: &Request) -> Response {
        let Some(query) = request.uri().query() else {
            return answer::json(200, &*self.replica.config());
        };
        let version = query
            .strip_prefix("version=")
            .and_then(|text| text.parse().ok());
        let Some(version) = version else {
            return error_response(400, "the only query is version=NUMBER".to_owned());
        };
        let rebuilt = self.replica.machine().version(Version(version));
        match rebuilt {
            Ok(config) => answer::json(200, &config),
            Err(oldest) => {
                let newest = self.replica.config().version;
                let text =
                    format!("version {version} is not kept here; ask for {oldest} to {newest}");
                error_response(404, text)
            }
        }
    }

    fn history(&self) -> Response {
        let machine = self.replica.machine();
        let events: Vec<_> = machine.store().history().collect();
        answer::json(200, &events)
    }

    async fn patch(&self, request: Request) -> Response {
        let is_dry_run = request.uri().query() == Some("dry_run=true");
        let body = match self.clients.read(request.into_body(), BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => {
                let mut response = error_response(error.status().as_u16(), error.to_string());
                error.close(response.headers_mut());
                return response;
            }
        };
        let patch: Patch = match serde_json::from_slice(&body) {
            Ok(patch) => patch,
            Err(error) => {
                return error_response(400, format!("not a patch: {error}; see docs/operators.md"));
            }
        };
        if is_dry_run {
            return dry_run(&self.replica, &patch);
        }
        let digest = configuration::digest(&patch);
        let at_ms = wall_clock_ms();
        let command = Command::Patch {
            patch: Box::new(patch),
            digest,
            at_ms,
        };
        match self.replica.propose(&command).await {
            Ok(Outcome::Patch(answer)) => {
                self.replica.metrics().count_patch(&answer);
                self.catch_up(&answer).await;
                patch_answer(&answer)
            }
            Ok(Outcome::Once(_) | Outcome::Deployment | Outcome::Rollout(_)) => {
                error_response(500, "wrong outcome; report this".to_owned())
            }
            Err(error @ replica::Error::Malformed { .. }) => {
                self.replica.metrics().count_failed_patch(metrics::TOO_LONG);
                error_response(413, error.to_string())
            }
            Err(error @ replica::Error::NoQuorum { .. }) => {
                self.replica
                    .metrics()
                    .count_failed_patch(metrics::NO_QUORUM);
                error_response(503, error.to_string())
            }
            Err(error @ replica::Error::StateFull { .. }) => {
                self.replica
                    .metrics()
                    .count_failed_patch(metrics::STATE_FULL);
                error_response(507, error.to_string())
            }
        }
    }
}

/// An order for a roll-out from the operators' tool.
#[derive(Deserialize)]
struct RolloutOrder {
    service: ServiceName,
    version: String,
    within_ms: u64,
}

/// An order to end a roll-out from the operators' tool.
#[derive(Deserialize)]
struct RolloutEnd {
    service: ServiceName,
}

/// The answer to an order that is in force.
#[derive(Serialize)]
struct Accepted {
    service: ServiceName,
}

impl OperatorApi {
    fn rollout_rows(&self) -> Response {
        match &self.rollouts {
            Some(rollouts) => answer::json(200, &rollouts.rows()),
            None => error_response(404, NO_ROLLOUTS.to_owned()),
        }
    }

    async fn start_rollout(&self, request: Request) -> Response {
        let order: RolloutOrder = match read_json(request).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        let Some(rollouts) = &self.rollouts else {
            return error_response(404, NO_ROLLOUTS.to_owned());
        };
        if let Err(error) = rollout::check_version(&order.version) {
            return error_response(400, error.to_string());
        }
        if order.within_ms == 0 {
            return error_response(
                400,
                "within_ms is 0; write the time in milliseconds".to_owned(),
            );
        }
        let duration = Duration::from_millis(order.within_ms);
        let service = order.service.clone();
        let started = rollouts.start(order.service, order.version, duration);
        rollout_answer(started.await, service)
    }

    async fn end_rollout(&self, request: Request) -> Response {
        let end: RolloutEnd = match read_json(request).await {
            Ok(end) => end,
            Err(response) => return response,
        };
        match &self.rollouts {
            Some(rollouts) => rollout_answer(rollouts.end(&end.service).await, end.service),
            None => error_response(404, NO_ROLLOUTS.to_owned()),
        }
    }
}

async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T, Response> {
    let body = answer::read_body(request.into_body(), BODY_LIMIT).await;
    let body = body.map_err(|error| error_response(413, error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| {
        error_response(400, format!("not an order: {error}; see docs/operators.md"))
    })
}

fn rollout_answer(result: Result<(), Refusal>, service: ServiceName) -> Response {
    match result {
        Ok(()) => answer::json(200, &Accepted { service }),
        Err(refusal) => error_response(refusal.status().as_u16(), refusal.to_string()),
    }
}

impl OperatorApi {
    /// Waits until this member has applied an accepted version, so that the operator's next read
    /// from the same daemon shows it and a patch based on it causes no conflict. A follower learns
    /// of a commit with the leader's next heartbeat.
    async fn catch_up(&self, answer: &Answer) {
        let Answer::Accepted { version } = answer else {
            return;
        };
        let mut configs = self.replica.watch_config();
        let applied = configs.wait_for(|config| config.version >= *version);
        // The patch is committed even if this member does not apply it in time.
        let _ = tokio::time::timeout(CATCH_UP_TIMEOUT, applied).await;
    }
}

fn dry_run(replica: &Replica, patch: &Patch) -> Response {
    match replica.machine().store().evaluate(patch) {
        Ok(config) => patch_answer(&Answer::Accepted {
            version: config.version,
        }),
        Err(answer) => patch_answer(&answer),
    }
}

fn patch_answer(patch_answer: &Answer) -> Response {
    let status = match patch_answer {
        Answer::Accepted { .. } => 200,
        Answer::Conflict { .. } => 409,
        Answer::Invalid { .. } => 422,
    };
    answer::json(status, patch_answer)
}

fn error_response(status: u16, error: String) -> Response {
    answer::json(status, &ErrorBody { error })
}
