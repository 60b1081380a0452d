//! State of the gateway that its tasks share.

mod slot;

use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::gateway::budget::{Allowance, Budget};
use azurelug_core::gateway::fleet::Fleet;
use azurelug_core::gateway::limits::CLOCK_START;
use azurelug_core::gateway::shutdown::{Durations, Shutdown};
use azurelug_core::gateway::table::Table;
use azurelug_core::gateway::value_rank::ValueRanking;
use azurelug_http::clients::Clients;
use azurelug_platform::contracts::Features;
use azurelug_types::deployment::{LimitNotice, Limits, TargetNotice};
use azurelug_types::id::{DaemonName, ServiceName, TargetName, ZoneName};
use azurelug_wire::handshake::Identity;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

pub use self::slot::{SendKind, Slot, Wanted};
use crate::dispatch_worker::DispatchWorkers;
use crate::metrics::Metrics;
use crate::peers::{Peers, Scope};
use crate::permits::Permits;
use crate::quarantine::RequestQuarantine;
use crate::settings::{Bounds, RolloutBounds, Settings};
use crate::slots::Slots;
use crate::streams::Streams;
use crate::upstream::Upstream;
use crate::{clients, memory};

/// Fraction of the revocation bound after which the gateway stops accepting keys by its
/// configuration. The rest covers the transfer of a request to a target and the error of both
/// clocks.
const MAX_STALENESS_FRACTION: f64 = 0.88;

/// Most targets of a service that one gateway dispatches across all zones.
const MAX_POOLED_TARGETS: usize = 8;

/// Routes whose request values or durations are tracked; configurations add and remove routes by the
/// hundred.
const MAX_TRACKED_ROUTES: usize = 512;

/// The configuration and its freshness.
#[derive(Debug, Default)]
struct View {
    table: Option<Arc<Table>>,
    /// Number of the last operators' order that this gateway knows.
    sequence: u64,
    /// Time by the gateway's clock.
    fresh_as_of: Option<Duration>,
    is_exiting: bool,
}

/// The configuration in force and its age, read at one moment: a newer age would vouch for an older
/// configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration; none before the first one.
    pub table: Option<Arc<Table>>,
    /// Time since it was last known to be current.
    pub age: Option<Duration>,
}

/// The gateway.
pub struct Gateway {
    /// Daemon name.
    pub name: DaemonName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Connection pool for targets.
    pub upstream: Upstream,
    /// The bytes that exchanges may hold.
    pub memory: memory::Budget,
    /// Bounds on what is held for clients.
    pub clients: Clients,
    /// The other gateways.
    pub peers: Peers,
    /// Permits for requests to targets that name a limit.
    pub permits: Permits,
    /// Requests and prompt parts that crash targets.
    pub quarantine: RequestQuarantine,
    /// The versions at which streams began.
    pub streams: Streams,
    /// Dispatchers of staged services that run in this gateway.
    pub dispatch_workers: DispatchWorkers,
    /// Shares of client accounts in the slots of targets.
    pub slots: Slots,
    /// Metrics of this daemon.
    pub metrics: Metrics,
    bounds: Bounds,
    clock: Clock,
    view: Mutex<View>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    /// Values of recent requests, by route.
    request_values: Mutex<HashMap<String, ValueRanking>>,
    /// Durations of recent complete requests, by route.
    durations: Mutex<HashMap<String, Durations>>,
    /// The planned stop, once it has been requested.
    shutdown: watch::Sender<Option<Shutdown>>,
    /// Notified when a slot at a target becomes free.
    slot_freed: Notify,
}

impl Gateway {
    /// Creates a gateway without configuration or targets.
    pub fn new(settings: &Settings, identity: Arc<Identity>) -> Self {
        let clients = clients::bounds(settings);
        let features = Features::read(&settings.contracts);
        Self {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            upstream: Upstream::default(),
            memory: clients.memory.clone(),
            clients,
            quarantine: RequestQuarantine::new(&identity),
            streams: Streams::new(Arc::clone(&identity)),
            peers: Peers::new(settings, identity),
            permits: Permits::default(),
            dispatch_workers: DispatchWorkers::new(&features),
            slots: Slots::new(&features),
            metrics: Metrics::default(),
            bounds: settings.bounds,
            clock: Clock::start(),
            view: Mutex::default(),
            fleet: Mutex::new(Fleet::new(rand::random())),
            budgets: Mutex::default(),
            request_values: Mutex::default(),
            durations: Mutex::default(),
            shutdown: watch::Sender::new(None),
            slot_freed: Notify::new(),
        }
    }

    /// The time by this gateway's clock, which is at [`CLOCK_START`] when the gateway starts and goes
    /// on while the machine is suspended.
    pub fn now(&self) -> Duration {
        CLOCK_START + self.clock.elapsed()
    }

    /// The time at which a timer reaches a time by this gateway's clock.
    pub fn at(&self, time: Duration) -> Instant {
        self.clock.instant(time.saturating_sub(CLOCK_START))
    }

    /// The bounds for roll-outs, if the deployment has any.
    pub fn rollout_bounds(&self) -> Option<RolloutBounds> {
        self.bounds.rollouts()
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("no holder of the lock panics")
    }

    /// The targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Applies the status that a target reported in the headers of an answer to a request that was
    /// sent at `sent`.
    pub fn apply_notice(self: &Arc<Self>, name: &TargetName, notice: TargetNotice, sent: Duration) {
        if notice == TargetNotice::default() {
            return;
        }
        let now = self.now();
        let effect = {
            let mut fleet = self.fleet();
            let Some(key) = fleet.key(name) else { return };
            fleet.apply_notice(key, notice, sent, now)
        };
        if effect.is_limit_changed {
            log_limit(name, notice.limit);
        }
        if let Some(closed) = notice.unavailable_for {
            log::info!(
                "gateway: target {name} wants nothing for {} ms",
                closed.as_millis()
            );
        }
        if effect.is_leaving {
            log::info!("gateway: target {name} says that it is leaving; gets no new work");
            self.dispatch_workers.relist(self);
        }
    }

    /// Logs a request to a target that has named a limit. Targets without one cause no lines.
    pub fn log_limited_send(&self, target: &TargetName, kind: SendKind, id: &str) {
        if let Some(limit) = self.fleet().limit(target) {
            let kind = kind.as_str();
            log::info!("gateway: request {id} sent to {target}; kind={kind} limit={limit}");
        }
    }

    /// Time until a target accepts requests from this gateway again.
    pub fn target_retry_after(&self, name: &TargetName) -> Duration {
        self.fleet().closed_for(name, self.now())
    }

    /// Time until the first target of a service accepts requests from this gateway again.
    pub fn service_retry_after(&self, service: &ServiceName) -> Duration {
        self.fleet().time_until_open(service, self.now())
    }

    /// Whether an optional call may be sent to a target now.
    pub fn may_call(&self, name: &TargetName) -> bool {
        self.fleet().may_call(name, self.now())
    }

    /// Stops new work for zones that can't be reached.
    pub fn update_unreachable_zones(&self) {
        let unreachable = self.peers.unreachable_zones();
        if self.fleet().set_unreachable_zones(unreachable.clone()) {
            log::warn!("gateway: zones that can't be reached: {unreachable:?}");
        }
    }

    /// The group of targets that a service's targets in `zone` are dispatched with. A few targets
    /// form one pool, because a free one is found sooner in a larger pool. Many are split by zone,
    /// because one gateway could not dispatch them all.
    pub fn scope(&self, service: &ServiceName, zone: &ZoneName) -> Scope {
        let count = self.fleet().pool_size(service);
        (count > MAX_POOLED_TARGETS).then(|| zone.clone())
    }

    /// Service and zone of the target that produced a result.
    pub fn producer(&self, handle: &str) -> Option<(ServiceName, ZoneName)> {
        let address = azurelug_platform::pieces::producer(handle)?;
        let fleet = self.fleet();
        let mut loads = fleet.loads();
        let producer = loads.find(|(target, _)| target.address == address);
        producer.map(|(target, _)| (target.service.clone(), target.zone.clone()))
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.view().table.clone()
    }

    /// Limits for clients' requests.
    pub fn client_limits(&self) -> Limits {
        let table = self.table();
        table.map_or_else(Limits::default, |table| table.deployment().limits)
    }

    /// Puts a newer configuration in force; an older one is ignored.
    pub fn configure(&self, table: Table) {
        let version = table.deployment().version;
        let mut view = self.view();
        let current = view.table.as_ref().map(|table| table.deployment().version);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        log::info!("gateway: configuration {version} in force, previously {current:?}");
        self.metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let services = table.deployment().services.iter();
        let staged = services.filter(|service| service.batch.is_some());
        self.peers
            .set_staged_services(staged.map(|service| service.name.clone()).collect());
        view.table = Some(Arc::new(table));
    }

    /// Records that the orders up to `sequence` are known and were the newest at `as_of`. Returns
    /// false if newer ones are already known.
    pub fn record_freshness(&self, sequence: u64, as_of: Duration) -> bool {
        let mut view = self.view();
        if sequence < view.sequence {
            return false;
        }
        view.sequence = sequence;
        view.fresh_as_of = view.fresh_as_of.max(Some(as_of));
        true
    }

    /// The configuration in force and its age.
    pub fn snapshot(&self) -> Snapshot {
        let (table, as_of) = {
            let view = self.view();
            (view.table.clone(), view.fresh_as_of)
        };
        Snapshot {
            table,
            age: as_of.map(|as_of| self.now().saturating_sub(as_of)),
        }
    }

    /// Time since the configuration was last known to be current.
    pub fn staleness(&self) -> Option<Duration> {
        self.snapshot().age
    }

    /// Logs and counts that the machine was suspended.
    pub fn record_suspension(&self, suspended: Duration) {
        let millis = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
        self.metrics.suspended_ms.inc_by(millis);
        let snapshot = self.snapshot();
        let may_check_keys = self.may_check_keys(&snapshot);
        log::warn!(
            "gateway: the machine was suspended for {millis} ms; version_age_ms={} \
             may_check_keys={may_check_keys}",
            snapshot.age.unwrap_or_default().as_millis()
        );
    }

    /// Whether keys can be checked by a configuration, i.e. whether every removal of a key older than
    /// the revocation bound is known.
    pub fn may_check_keys(&self, snapshot: &Snapshot) -> bool {
        let limit = self.bounds.revocation.0.mul_f64(MAX_STALENESS_FRACTION);
        snapshot.age.is_some_and(|age| age < limit)
    }

    /// Whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let has_targets = || {
            let fleet = self.fleet();
            fleet.loads().next().is_some() && fleet.knows_versions()
        };
        let snapshot = self.snapshot();
        self.shutdown().is_none()
            && snapshot.table.is_some()
            && self.may_check_keys(&snapshot)
            && has_targets()
    }

    /// Starts a planned stop: the gateway reports not ready from now on, so that the load balancer
    /// takes it out of rotation, and every exchange ends in time.
    pub fn stop(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// The planned stop, once it has been requested.
    pub fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// The time at which an exchange with this deadline ends: earlier if the gateway is stopping.
    pub fn cap_deadline(&self, deadline: Duration) -> Duration {
        let shutdown = self.shutdown();
        shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.latest_end()))
    }

    /// Runs a part of an exchange until `limit`, or until exchanges end because the gateway is
    /// stopping, also if the stop is requested meanwhile; none if the time is over first.
    pub async fn run_until<F: Future>(&self, limit: Instant, work: F) -> Option<F::Output> {
        self.run_until_with_margin(limit, Duration::ZERO, work)
            .await
    }

    /// As [`Gateway::run_until`], with `margin` after the limit. A stop shortens the margin, because
    /// the answer must be sent before the process exits.
    pub async fn run_until_with_margin<F: Future>(
        &self,
        limit: Instant,
        margin: Duration,
        work: F,
    ) -> Option<F::Output> {
        let mut stops = self.shutdown.subscribe();
        let mut work = pin!(work);
        loop {
            let end = self.shutdown().map_or(limit + margin, |stop| {
                let limit = limit.min(self.at(stop.latest_end()));
                (limit + margin).min(self.at(stop.cancels_at()))
            });
            tokio::select! {
                biased;
                output = &mut work => return Some(output),
                () = sleep_until(end) => return None,
                // The sender is a field of `self`, so this can't fail.
                _ = stops.changed() => {}
            }
        }
    }

    fn durations(&self) -> MutexGuard<'_, HashMap<String, Durations>> {
        self.durations.lock().expect("no holder of the lock panics")
    }

    /// Records how long a complete request of a route took.
    pub fn record_duration(&self, route: &str, duration: Duration) {
        let now = self.now();
        let mut durations = self.durations();
        if let Some(known) = durations.get_mut(route) {
            return known.record(duration, now);
        }
        if durations.len() > MAX_TRACKED_ROUTES {
            durations.clear();
        }
        let new = durations.entry(route.to_owned()).or_default();
        new.record(duration, now);
    }

    /// The duration within which most requests of a route are complete; none if it is unknown.
    pub fn typical_duration(&self, route: &str) -> Option<Duration> {
        self.durations().get(route)?.typical(self.now())
    }

    /// Records that the process ends now, which cuts off the requests that are still in flight.
    pub fn set_exiting(&self) {
        self.view().is_exiting = true;
    }

    /// Whether the process ends now.
    pub fn is_exiting(&self) -> bool {
        self.view().is_exiting
    }

    /// The number by which bounds for all gateways together are divided: cold rates, the retry
    /// budget, limits of concurrent requests and idle connections.
    pub fn gateway_count(&self) -> usize {
        self.peers.count(self.now())
    }

    /// Limits this gateway's idle connections so that all gateways together use at most half of the
    /// connections that a target accepts; the other half is for running requests.
    pub fn update_idle_limit(&self) {
        let Some(table) = self.table() else { return };
        let services = table.deployment().services.iter();
        let least = services.map(|service| service.max_connections).min();
        let share = least.unwrap_or(0) as usize / 2 / self.gateway_count();
        self.upstream.set_idle_limit(share);
    }

    /// Rank of a request by value per unit of work among recent requests of its route, from 0 to 1.
    pub fn rank_by_value(&self, route: &str, tokens: Option<(u64, u64)>, work: Duration) -> f64 {
        let mut request_values = self
            .request_values
            .lock()
            .expect("no holder of the lock panics");
        if request_values.len() > MAX_TRACKED_ROUTES {
            request_values.clear();
        }
        let values = request_values.entry(route.to_owned()).or_default();
        values.rank(tokens, work)
    }

    /// Waits until a slot may have become free.
    pub async fn wait_slot_freed(&self) {
        self.slot_freed.notified().await;
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.bounds.retry_ratio,
            window: self.bounds.retry_window.0,
            extra: self.bounds.retry_extra,
        }
    }

    fn budgets(&self) -> MutexGuard<'_, HashMap<ServiceName, Budget>> {
        self.budgets.lock().expect("no holder of the lock panics")
    }

    /// Credits a request's first attempt to the service's retry budget.
    pub fn credit_retry_budget(&self, service: &ServiceName) {
        let (allowance, gateways, now) = (self.allowance(), self.gateway_count(), self.now());
        let mut budgets = self.budgets();
        let budget = budgets.entry(service.clone()).or_default();
        budget.earn(&allowance, gateways, now);
    }

    /// Takes a token from the retry budget; returns false if the budget is used up.
    pub fn take_retry_token(&self, service: &ServiceName) -> bool {
        let (allowance, gateways, now) = (self.allowance(), self.gateway_count(), self.now());
        let mut budgets = self.budgets();
        let budget = budgets.entry(service.clone()).or_default();
        let is_allowed = budget.take(&allowance, gateways, now);
        if is_allowed {
            self.metrics.record_retry(service.as_str());
        }
        is_allowed
    }
}

fn log_limit(name: &TargetName, limit: LimitNotice) {
    match limit {
        LimitNotice::Limited(rate) => log::info!("gateway: target {name} names a limit of {rate}"),
        LimitNotice::Unlimited => log::info!("gateway: target {name} names no limit any more"),
        LimitNotice::Unknown => {}
    }
}
