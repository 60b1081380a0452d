//! Answers clients' requests.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use azurelug_core::gateway::fleet::Weights;
use azurelug_core::gateway::table::Table;
use azurelug_http::h1::server::{Abort, head_bytes};
use azurelug_platform::answer::{self, Refusal};
use azurelug_platform::client::Fields;
use azurelug_types::deployment::{Account, RequestKind, Route};
use azurelug_types::id::{AccountName, ZoneName};
use bytes::Bytes;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::RngExt;

use crate::attempt::{self, Answer, AttemptHistory, AttemptParams};
use crate::body::Body;
use crate::exchange::{Exchange, Failure};
use crate::gateway::{Gateway, Snapshot};
use crate::incoming;
use crate::memory::Holder;
use crate::metrics::End;
use crate::quarantine;
use crate::relay::Relay;
use crate::stages::{self, Results};

/// `Retry-After` while this gateway has no current configuration. Other gateways have one, and a
/// retry reaches another gateway.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` after the start of the gateway, as a fraction of the request's time; clients don't
/// wait longer. When all gateways start together, the first configuration arrives after one or two
/// seconds, and clients retry only once or twice.
const STARTUP_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// `Retry-After` of a request whose body found no memory. Slow clients take about as long to read
/// what the gateway holds for them.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Added to the deadline before an exchange is cancelled, so that its own handling of the deadline
/// comes first.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Values for the log line at the end of a request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Time until the first part of the answer.
    pub first: Duration,
    /// Time until the stages had finished.
    pub staged: Duration,
    /// Number of targets that were tried.
    pub targets: usize,
}

impl RequestRecord {
    /// Whether the first part came later than the latency objective.
    #[must_use]
    pub fn is_late(&self, exchange: &Exchange) -> bool {
        self.first > exchange.route.latency_objective
    }

    /// Logs and counts the end of a request.
    pub fn close(self, exchange: &Exchange, end: End, reason: &'static str) {
        let metrics = &exchange.gateway.metrics;
        metrics.record_request(end, self.first);
        metrics.in_flight.dec();
        if matches!(end, End::InTime | End::Late) {
            let gateway = &exchange.gateway;
            gateway.record_duration(&exchange.route.name, exchange.elapsed());
        }
        let staleness = exchange.gateway.staleness().unwrap_or_default();
        log::info!(
            "gateway: request {} {}: {reason}; route={} account={} staged_ms={} first_ms={} \
             total_ms={} targets={} version={} key_age_ms={} version_age_ms={}",
            exchange.id,
            end.as_str(),
            exchange.route.name,
            exchange.account.as_ref().map_or("-", AccountName::as_str),
            self.staged.as_millis(),
            self.first.as_millis(),
            exchange.elapsed().as_millis(),
            self.targets,
            exchange.table.deployment().version,
            optional_millis(exchange.key_age),
            staleness.as_millis(),
        );
    }
}

/// Milliseconds for a log line.
fn optional_millis(time: Option<Duration>) -> String {
    time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
}

/// Answers one request.
pub async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let fields = Fields::read(&parts);
    let id = fields.id.clone();
    match admit(&gateway, parts, fields, body).await {
        Ok(exchange) => {
            gateway.metrics.in_flight.inc();
            let memory = exchange.memory.clone();
            // Boxed, so that a request whose body arrives doesn't take the room of its later states.
            let mut response = Box::pin(serve(exchange)).await;
            // From here on the client decides how long the answer is held.
            response.extensions_mut().insert(Abort(memory.eviction()));
            response
        }
        Err((refusal, reason)) => {
            let id = id.as_deref();
            let status = refusal.status().as_u16();
            let version = gateway.table().map(|table| table.deployment().version);
            log::info!(
                "gateway: request {} refused: {reason}; status={status} version={} version_age_ms={}",
                id.unwrap_or("-"),
                version.unwrap_or_default(),
                optional_millis(gateway.staleness()),
            );
            let mut response = refusal.response(id, reason).map(Body::complete);
            // After a body that was not read whole, nothing more can be read from the connection.
            let is_body_unread = UNREAD.contains(&reason);
            // The retry on a new connection reaches another gateway.
            if is_body_unread || gateway.shutdown().is_some() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    }
}

type Rejection = (Refusal, &'static str);

/// Reads a request and finds its route and account.
async fn admit(
    gateway: &Arc<Gateway>,
    parts: Parts,
    fields: Fields,
    body: Incoming,
) -> Result<Exchange, Rejection> {
    let arrived = gateway.now();
    let limits = gateway.client_limits();
    if head_bytes(&parts) > limits.max_head_bytes {
        return Err((Refusal::HeadTooLarge, "the head is too long"));
    }
    let memory = gateway.memory.open();
    let body = read_body(gateway, &memory, body).await?;
    // Read once, after the last wait for the client.
    let snapshot = gateway.snapshot();
    let Some(table) = snapshot.table.clone() else {
        let left = fields.time_left.unwrap_or_default();
        let spread = rand::rng().random_range(0.8..1.0);
        let after = left
            .mul_f64(STARTUP_RETRY_AFTER_FRACTION * spread)
            .max(NO_CONFIGURATION_RETRY_AFTER);
        return Err((Refusal::Busy(after), "no configuration yet"));
    };
    let Some(id) = fields.id.clone() else {
        return Err((Refusal::Malformed, "no request id"));
    };
    let Some(route) = table.route(&fields.host, parts.uri.path()).cloned() else {
        return Err((Refusal::NoRoute, "no route"));
    };
    let account = authenticate(gateway, &snapshot, &table, &route, &fields)?;
    let key_age = account.and(snapshot.age);
    let (account, account_rank) = match account {
        Some(account) => (Some(account.name.clone()), account.priority),
        None => (None, 0),
    };
    let time = fields.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + time;
    if let Some(shutdown) = gateway.shutdown() {
        let typical = gateway.typical_duration(&route.name);
        let refusal = shutdown.refusal(gateway.now(), deadline, typical);
        if let Some(after) = refusal {
            return Err((Refusal::Busy(after), "stopping"));
        }
    }
    let key = table.choose(&route.services, rand::random());
    let service = table.service(key).clone();
    let work = stage_work(&table, &route, &fields.pieces);
    let value_rank = gateway.rank_by_value(&route.name, fields.tokens, work);
    Ok(Exchange {
        gateway: Arc::clone(gateway),
        weights: zone_weights(gateway, &table, &route),
        rank: Exchange::rank(account_rank, route.priority),
        value_rank,
        service,
        account,
        key_age,
        id,
        parts,
        body,
        memory,
        arrived,
        deadline,
        digest: OnceLock::new(),
        is_probe: false,
        crashes: AtomicU32::new(0),
        route,
        table,
        fields,
    })
}

/// Zone weights of a route with stages. Results that cross zones cost more than any other transfer
/// of the request, so each zone gets requests in proportion to its stage targets.
fn zone_weights(gateway: &Gateway, table: &Table, route: &Route) -> Weights {
    let heaviest = route.stages.iter().max_by_key(|stage| stage.result_bytes);
    let Some(stage) = heaviest else {
        return Weights::default();
    };
    let service = &table.service(stage.service).name;
    let zones = gateway.fleet().zones(service).into_iter();
    Weights(zones.map(|(zone, count)| (zone, count as f64)).collect())
}

/// Time at stage targets that a request needs itself, without the fixed time of the shared calls.
fn stage_work(table: &Table, route: &Route, pieces: &[u16]) -> Duration {
    let stages = route.stages.iter().zip(pieces);
    let times = stages.filter_map(|(stage, count)| {
        let batch = table.service(stage.service).batch?;
        Some(batch.piece_time * u32::from(*count))
    });
    times.sum()
}

const TOO_LONG: &str = "the body is too long";
const LATE: &str = "the body did not arrive in time";
const NO_MEMORY: &str = "no memory left for the body";

/// Reasons of refusals before the body was read whole.
const UNREAD: [&str; 3] = [TOO_LONG, LATE, NO_MEMORY];

async fn read_body(gateway: &Gateway, memory: &Holder, body: Incoming) -> Result<Bytes, Rejection> {
    let limit = gateway.client_limits().max_body_bytes;
    let read = incoming::read_request(memory, body, limit, gateway.clients.pace).await;
    read.map_err(|error| match error {
        incoming::Error::TooLong { .. } => (Refusal::TooLarge, TOO_LONG),
        incoming::Error::Interrupted { .. } => (Refusal::Malformed, "the body is not whole"),
        incoming::Error::Late => (Refusal::BodyLate, LATE),
        incoming::Error::Exhausted(_) => (Refusal::Busy(MEMORY_RETRY_AFTER), NO_MEMORY),
    })
}

/// The account of a request; none if the request needs no key and has none. A key has to be valid also
/// on a route that serves requests without one, because it may have been removed.
fn authenticate<'a>(
    gateway: &Gateway,
    snapshot: &Snapshot,
    table: &'a Table,
    route: &Route,
    fields: &Fields,
) -> Result<Option<&'a Account>, Rejection> {
    if !table.requires_key() || (route.is_anonymous && fields.key.is_none()) {
        return Ok(None);
    }
    if !gateway.may_check_keys(snapshot) {
        return Err((
            Refusal::Busy(NO_CONFIGURATION_RETRY_AFTER),
            "keys can't be checked",
        ));
    }
    let account = fields.key.as_deref().and_then(|key| table.account(key));
    account
        .map(Some)
        .ok_or((Refusal::Unauthorized, "the key belongs to no account"))
}

/// Serves an admitted request. A request that may run only once is completed even if the client
/// disconnects, because its outcome would be unknown otherwise.
async fn serve(exchange: Exchange) -> Response<Body> {
    if exchange.route.kind == RequestKind::AtMostOnce {
        let served = tokio::spawn(answer(exchange)).await;
        return served.unwrap_or_else(|error| {
            log::error!("gateway: the task of a request failed: {error}");
            Refusal::BadAnswer
                .response(None, "internal error")
                .map(Body::complete)
        });
    }
    answer(exchange).await
}

async fn answer(exchange: Exchange) -> Response<Body> {
    let guard = PendingGuard::new(&exchange);
    let deadline = exchange.deadline;
    answer_in_time(guard, deadline, try_answer(exchange)).await
}

/// Runs an exchange, which logs and counts its own end; cancels it if it misses its deadline.
pub async fn answer_in_time(
    mut guard: PendingGuard,
    deadline: Duration,
    answer: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    let gateway = Arc::clone(&guard.gateway);
    let deadline = gateway.at(deadline);
    let answered = gateway.run_until_with_margin(deadline, DEADLINE_GRACE, answer);
    if let Some(answered) = answered.await {
        guard.close();
        return answered;
    }
    guard.end(End::Failed, "cancelled after its deadline");
    let response = Refusal::TimedOut.response(Some(&guard.id), "no answer in time");
    response.map(Body::complete)
}

/// Logs and counts a request whose task is dropped before its end: its client disconnected, or the
/// process ends.
pub struct PendingGuard {
    gateway: Arc<Gateway>,
    id: String,
    route: String,
    arrived: Duration,
    is_ended: bool,
}

impl PendingGuard {
    /// Creates the guard of a request that has not ended.
    #[must_use]
    pub fn new(exchange: &Exchange) -> Self {
        Self {
            gateway: Arc::clone(&exchange.gateway),
            id: exchange.id.clone(),
            route: exchange.route.name.clone(),
            arrived: exchange.arrived,
            is_ended: false,
        }
    }

    /// Logs and counts the end of the request.
    fn end(&mut self, end: End, reason: &str) {
        self.is_ended = true;
        let elapsed = self.gateway.now().saturating_sub(self.arrived);
        self.gateway.metrics.record_request(end, elapsed);
        self.gateway.metrics.in_flight.dec();
        log::info!(
            "gateway: request {} {}: {reason}; route={} total_ms={}",
            self.id,
            end.as_str(),
            self.route,
            elapsed.as_millis()
        );
    }

    /// Ends the guard of a request whose end has been logged and counted.
    pub fn close(mut self) {
        self.is_ended = true;
    }
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        if self.gateway.is_exiting() {
            self.end(End::CutOff, "the process ends");
        } else {
            self.end(End::Abandoned, "the client disconnected");
        }
    }
}

async fn try_answer(mut exchange: Exchange) -> Response<Body> {
    let mut record = RequestRecord {
        first: Duration::ZERO,
        staged: Duration::ZERO,
        targets: 0,
    };
    if let Err(failure) = quarantine::admit(&mut exchange).await {
        return refuse(&exchange, record, &failure);
    }
    let zone = home_zone(&exchange);
    let results = match run_stages(&exchange, &zone).await {
        Ok(results) => results,
        Err(failure) => return refuse(&exchange, record, &failure),
    };
    record.staged = exchange.elapsed();
    let mut history = AttemptHistory::default();
    let params = AttemptParams {
        inputs: &results.inputs,
        last_event: exchange.fields.last_event,
        zone: &zone,
        slot: None,
    };
    let answered = attempt::run(&exchange, params, &mut history).await;
    record.first = exchange.elapsed();
    record.targets = history.tried.len();
    match answered {
        Ok(Answer::Whole(whole)) => {
            drop(results.close());
            let is_late = record.is_late(&exchange);
            let end = match whole.status.is_success() {
                false => End::Failed,
                true if is_late => End::Late,
                true => End::InTime,
            };
            record.close(&exchange, end, "answered");
            let head = answer::forwarded_head(whole.status, whole.headers);
            head.map(|()| Body::complete(whole.body))
        }
        Ok(Answer::Stream(mut stream)) => {
            let headers = std::mem::take(&mut stream.headers);
            let relay = Relay {
                guard: PendingGuard::new(&exchange),
                exchange: Arc::new(exchange),
                inputs: results.close(),
                history,
                zone,
                record,
            };
            let events = relay.start(stream);
            let head = answer::forwarded_head(http::StatusCode::OK, headers);
            head.map(|()| Body::Stream(events))
        }
        Err(failure) => {
            drop(results.close());
            refuse(&exchange, record, &failure)
        }
    }
}

/// The zone in which the request is likely to run: that of the target that caches its prompt
/// prefix, otherwise this gateway's zone.
fn home_zone(exchange: &Exchange) -> ZoneName {
    let gateway = &exchange.gateway;
    let Some(affinity) = exchange.affinity() else {
        return gateway.zone.clone();
    };
    let fleet = gateway.fleet();
    let home = fleet.home(&exchange.service.name, affinity, &exchange.weights);
    home.map_or_else(|| gateway.zone.clone(), |target| target.zone.clone())
}

async fn run_stages(exchange: &Exchange, zone: &ZoneName) -> Result<Results, Failure> {
    if exchange.route.stages.is_empty() {
        return Ok(Results::none(exchange));
    }
    let gateway = &exchange.gateway;
    let deadline = gateway.at(exchange.deadline);
    let results = gateway.run_until(deadline, stages::run(exchange, zone));
    results.await.unwrap_or(Err(Failure::Refused(
        NO_CONFIGURATION_RETRY_AFTER,
        "the time is over",
    )))
}

fn refuse(exchange: &Exchange, mut record: RequestRecord, failure: &Failure) -> Response<Body> {
    record.first = exchange.elapsed();
    let end = match failure {
        Failure::Refused(..) => End::Refused,
        Failure::NoUsableAnswer(_) | Failure::TimedOut => End::Failed,
    };
    let reason = failure.reason();
    record.close(exchange, end, reason);
    let response = failure.refusal().response(Some(&exchange.id), reason);
    response.map(Body::complete)
}
