//! State of the gateway that its tasks share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::budget::{Allowance, Budget};
use azurelug_core::gateway::fleet::{self, Fleet, Key, Outcome, Unplaced, Wanted, Weights};
use azurelug_core::gateway::table::Table;
use azurelug_core::gateway::worth::Worth;
use azurelug_types::deployment::{Limits, Notice, Service, Target};
use azurelug_types::id::{DaemonName, ServiceName, TargetName, ZoneName};
use azurelug_wire::handshake::Identity;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answers::Answers;
use crate::metrics::Metrics;
use crate::peers::{Peers, Scope};
use crate::settings::{Bounds, Settings};
use crate::station::Stations;
use crate::upstream::Upstream;

/// Fraction of the revocation bound after which the gateway stops accepting keys by its
/// configuration. The rest covers the transfer of a request to a target and the error of both
/// clocks.
const TRUST_PART: f64 = 0.88;

/// Most targets of a service that one gateway dispatches across all zones.
const MAX_POOL: usize = 8;

/// Routes whose request values are tracked; configurations add and remove routes by the hundred.
const MAX_WORTHS: usize = 512;

/// The configuration and its freshness.
#[derive(Debug, Default)]
struct View {
    table: Option<Arc<Table>>,
    /// Number of the last operators' order that this gateway knows.
    sequence: u64,
    fresh_as_of: Option<Instant>,
    is_stopping: bool,
}

/// The gateway.
pub struct Gateway {
    /// Daemon name.
    pub name: DaemonName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Connection pool for targets.
    pub upstream: Upstream,
    /// Reads answers within a memory limit.
    pub answers: Answers,
    /// The other gateways.
    pub peers: Peers,
    /// Dispatchers of staged services that run in this gateway.
    pub stations: Stations,
    /// Metrics of this daemon.
    pub metrics: Metrics,
    bounds: Bounds,
    started: Instant,
    view: Mutex<View>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    /// Values of recent requests, by route.
    worths: Mutex<HashMap<String, Worth>>,
    /// Notified when a slot at a target becomes free.
    freed: Notify,
}

impl Gateway {
    /// Creates a gateway without configuration or targets.
    pub fn new(settings: &Settings, identity: Arc<Identity>) -> Self {
        Self {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            upstream: Upstream::default(),
            answers: Answers::default(),
            peers: Peers::new(settings, identity),
            stations: Stations::default(),
            metrics: Metrics::default(),
            bounds: settings.bounds,
            started: Instant::now(),
            view: Mutex::default(),
            fleet: Mutex::new(Fleet::new(rand::random())),
            budgets: Mutex::default(),
            worths: Mutex::default(),
            freed: Notify::new(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a time since the start to an `Instant`.
    pub fn at(&self, time: Duration) -> Instant {
        self.started + time
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("no holder of the lock panics")
    }

    /// The targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Applies the status that a target reported in the headers of an answer.
    pub fn note(self: &Arc<Self>, name: &TargetName, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let now = self.now();
        let is_leaving = {
            let mut fleet = self.fleet();
            let Some(key) = fleet.key(name) else { return };
            fleet.note(key, notice, now)
        };
        if let Some(closed) = notice.closed {
            log::info!(
                "gateway: target {name} wants nothing for {} ms",
                closed.as_millis()
            );
        }
        if is_leaving {
            log::info!("gateway: target {name} says that it is leaving; gets no new work");
            self.stations.relist(self);
        }
    }

    /// Time until a target accepts requests from this gateway again.
    pub fn closed_for(&self, name: &TargetName) -> Duration {
        self.fleet().closed_for(name, self.now())
    }

    /// Time until the first target of a service accepts requests from this gateway again.
    pub fn opens_in(&self, service: &ServiceName) -> Duration {
        self.fleet().opens_in(service, self.now())
    }

    /// Whether an optional call may be sent to a target now.
    pub fn may_call(&self, name: &TargetName) -> bool {
        self.fleet().may_call(name, self.now())
    }

    /// Stops new work for zones that can't be reached.
    pub fn notice_cuts(&self) {
        let cut = self.peers.cut();
        if self.fleet().cut_off(cut.clone()) {
            log::warn!("gateway: zones that can't be reached: {cut:?}");
        }
    }

    /// The group of targets that a service's targets in `zone` are dispatched with. A few targets
    /// form one pool, because a free one is found sooner in a larger pool. Many are split by zone,
    /// because one gateway could not dispatch them all.
    pub fn scope(&self, service: &ServiceName, zone: &ZoneName) -> Scope {
        let count = self.fleet().usable(service).count();
        (count > MAX_POOL).then(|| zone.clone())
    }

    /// Service and zone of the target that produced a result.
    pub fn maker(&self, handle: &str) -> Option<(ServiceName, ZoneName)> {
        let address = azurelug_platform::pieces::maker(handle)?;
        let fleet = self.fleet();
        let mut loads = fleet.loads();
        let maker = loads.find(|(target, _)| target.address == address);
        maker.map(|(target, _)| (target.service.clone(), target.zone.clone()))
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
        let held = view.table.as_ref().map(|table| table.deployment().version);
        if held.is_some_and(|held| held >= version) {
            return;
        }
        log::info!("gateway: configuration {version} in force, previously {held:?}");
        self.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let services = table.deployment().services.iter();
        let staged = services.filter(|service| service.batch.is_some());
        self.peers
            .stage(staged.map(|service| service.name.clone()).collect());
        view.table = Some(Arc::new(table));
    }

    /// Records that the orders up to `sequence` are known and were the newest at `as_of`. Returns
    /// false if newer ones are already known.
    pub fn refreshed(&self, sequence: u64, as_of: Instant) -> bool {
        let mut view = self.view();
        if sequence < view.sequence {
            return false;
        }
        view.sequence = sequence;
        view.fresh_as_of = view.fresh_as_of.max(Some(as_of));
        true
    }

    /// Time since the configuration was last known to be current.
    pub fn staleness(&self) -> Option<Duration> {
        self.view().fresh_as_of.map(|as_of| as_of.elapsed())
    }

    /// Whether keys can be checked, i.e. whether every removal of a key older than the revocation
    /// bound is known.
    pub fn may_check_keys(&self) -> bool {
        let limit = self.bounds.revocation.0.mul_f64(TRUST_PART);
        self.staleness().is_some_and(|age| age < limit)
    }

    /// Whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let has_targets = || self.fleet().loads().next().is_some();
        !self.view().is_stopping && self.table().is_some() && self.may_check_keys() && has_targets()
    }

    /// Reports not ready from now on, so that the load balancer takes the gateway out of rotation.
    pub fn stop(&self) {
        self.view().is_stopping = true;
    }

    /// Number of serving gateways, this one included.
    pub fn gateways(&self) -> usize {
        self.peers.count()
    }

    /// Limits this gateway's idle connections so that all gateways together use at most half of the
    /// connections that a target accepts; the other half is for running requests.
    pub fn share_connections(&self) {
        let Some(table) = self.table() else { return };
        let services = table.deployment().services.iter();
        let least = services.map(|service| service.max_connections).min();
        let part = least.unwrap_or(0) as usize / 2 / self.gateways();
        self.upstream.limit(part);
    }

    fn bounds_of(&self, service: &Service) -> fleet::Bounds {
        fleet::Bounds {
            gateways: self.gateways(),
            cold_rate: service.cold_rate,
            cold_limit: service.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra,
            slots: service.engine.map(|engine| engine.slots),
        }
    }

    /// Reserves a slot at a target for a request.
    ///
    /// # Errors
    /// Why no target is available.
    pub fn place(
        self: &Arc<Self>,
        service: &Service,
        affinity: Option<u64>,
        zone: &ZoneName,
        weights: &Weights,
        tried: &[Key],
    ) -> Result<Place, Unplaced> {
        let wanted = Wanted {
            service: &service.name,
            affinity,
            zone,
            weights,
            tried,
            bounds: self.bounds_of(service),
        };
        let now = self.now();
        let mut fleet = self.fleet();
        let key = fleet.place(&wanted, rand::random(), now)?;
        let target = fleet.target(key).clone();
        Ok(Place {
            gateway: Arc::clone(self),
            key,
            target,
            sent: now,
            outcome: Outcome::Unknown,
        })
    }

    /// Rank of a request by value per unit of work among recent requests of its route, from 0 to 1.
    pub fn weigh(&self, route: &str, tokens: Option<(u64, u64)>, work: Duration) -> f64 {
        let mut worths = self.worths.lock().expect("no holder of the lock panics");
        if worths.len() > MAX_WORTHS {
            worths.clear();
        }
        let worth = worths.entry(route.to_owned()).or_default();
        worth.place(tokens, work)
    }

    /// Waits until a slot may have become free.
    pub async fn wait_freed(&self) {
        self.freed.notified().await;
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
    pub fn earn(&self, service: &ServiceName) {
        let (allowance, gateways, now) = (self.allowance(), self.gateways(), self.now());
        let mut budgets = self.budgets();
        let budget = budgets.entry(service.clone()).or_default();
        budget.earn(&allowance, gateways, now);
    }

    /// Takes a token from the retry budget; returns false if the budget is used up.
    pub fn may_repeat(&self, service: &ServiceName) -> bool {
        let (allowance, gateways, now) = (self.allowance(), self.gateways(), self.now());
        let mut budgets = self.budgets();
        let budget = budgets.entry(service.clone()).or_default();
        let is_allowed = budget.take(&allowance, gateways, now);
        if is_allowed {
            self.metrics.repeated(service.as_str());
        }
        is_allowed
    }
}

/// A request's reserved slot at a target. Dropping it releases the slot.
pub struct Place {
    gateway: Arc<Gateway>,
    /// The target's key in the fleet.
    pub key: Key,
    /// The target that the slot belongs to.
    pub target: Target,
    sent: Duration,
    outcome: Outcome,
}

impl Place {
    /// Time since the slot was reserved.
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.sent)
    }

    /// Sets the outcome that is reported to the target's health record on release.
    pub fn show(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Releases the slot.
    pub fn close(self) {}
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.fleet().finished(self.key, self.outcome, now);
        self.gateway.freed.notify_one();
    }
}
