//! Everything that one gateway knows, shared by its tasks.

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

/// Part of the revocation bound after which a gateway stops to trust its configuration. The rest is
/// for the way of a request to a target and the error of both clocks.
const TRUST_PART: f64 = 0.88;

/// The most targets that one gateway dispatches over all zones.
const MAX_POOL: usize = 8;

/// Routes whose requests are compared. Configurations bring and take away routes by the hundred.
const MAX_WORTHS: usize = 512;

/// The configuration and how old it can be at most.
#[derive(Debug, Default)]
struct View {
    table: Option<Arc<Table>>,
    /// Number of the operators' last order that is known here.
    sequence: u64,
    fresh_as_of: Option<Instant>,
    is_stopping: bool,
}

/// One gateway.
pub struct Gateway {
    /// Its name.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Connections to targets.
    pub upstream: Upstream,
    /// Memory for answers that are held as a whole.
    pub answers: Answers,
    /// The other gateways.
    pub peers: Peers,
    /// Dispatchers of staged services.
    pub stations: Stations,
    /// Metrics.
    pub metrics: Metrics,
    bounds: Bounds,
    started: Instant,
    view: Mutex<View>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    /// What requests are worth, by route.
    worths: Mutex<HashMap<String, Worth>>,
    /// Woken when a place at a target has become free.
    freed: Notify,
}

impl Gateway {
    /// A gateway that knows nothing yet.
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

    /// The moment at a time since the start.
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

    /// Takes what a target says of itself beside an answer to this gateway.
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

    /// How much longer a target wants no request from this gateway.
    pub fn closed_for(&self, name: &TargetName) -> Duration {
        self.fleet().closed_for(name, self.now())
    }

    /// How much longer all targets of a service want no request from this gateway.
    pub fn opens_in(&self, service: &ServiceName) -> Duration {
        self.fleet().opens_in(service, self.now())
    }

    /// Whether a target may be told of something that it can do without.
    pub fn may_call(&self, name: &TargetName) -> bool {
        self.fleet().may_call(name, self.now())
    }

    /// Keeps new work away from zones that can't be reached.
    pub fn notice_cuts(&self) {
        let cut = self.peers.cut();
        if self.fleet().cut_off(cut.clone()) {
            log::warn!("gateway: zones that can't be reached: {cut:?}");
        }
    }

    /// The targets with which one of a service in `zone` is dispatched. A few are one pool, because
    /// a free target is found sooner among more of them; many are split by zone, because one
    /// gateway could not dispatch them all.
    pub fn scope(&self, service: &ServiceName, zone: &ZoneName) -> Scope {
        let count = self.fleet().usable(service).count();
        (count > MAX_POOL).then(|| zone.clone())
    }

    /// The service and the zone of the target that made a result.
    pub fn maker(&self, handle: &str) -> Option<(ServiceName, ZoneName)> {
        let address = azurelug_platform::pieces::maker(handle)?;
        let fleet = self.fleet();
        let mut loads = fleet.loads();
        let maker = loads.find(|(target, _)| target.address == address);
        maker.map(|(target, _)| (target.service.clone(), target.zone.clone()))
    }

    /// The configuration in force here.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.view().table.clone()
    }

    /// What a client may send.
    pub fn client_limits(&self) -> Limits {
        let table = self.table();
        table.map_or_else(Limits::default, |table| table.deployment().limits)
    }

    /// Puts a newer configuration in force; an older one changes nothing.
    pub fn configure(&self, table: Table) {
        let version = table.deployment().version;
        let mut view = self.view();
        let held = view.table.as_ref().map(|table| table.deployment().version);
        if held.is_some_and(|held| held >= version) {
            return;
        }
        log::info!("gateway: configuration {version} in force, before {held:?}");
        self.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let services = table.deployment().services.iter();
        let staged = services.filter(|service| service.batch.is_some());
        self.peers
            .stage(staged.map(|service| service.name.clone()).collect());
        view.table = Some(Arc::new(table));
    }

    /// Notes that the orders up to `sequence` are known here and were the newest at `as_of`. False
    /// if newer ones are known already.
    pub fn refreshed(&self, sequence: u64, as_of: Instant) -> bool {
        let mut view = self.view();
        if sequence < view.sequence {
            return false;
        }
        view.sequence = sequence;
        view.fresh_as_of = view.fresh_as_of.max(Some(as_of));
        true
    }

    /// How old the configuration can be.
    pub fn staleness(&self) -> Option<Duration> {
        self.view().fresh_as_of.map(|as_of| as_of.elapsed())
    }

    /// Whether keys can be checked: whether every key that was removed longer ago than the bound
    /// allows is known.
    pub fn may_check_keys(&self) -> bool {
        let limit = self.bounds.revocation.0.mul_f64(TRUST_PART);
        self.staleness().is_some_and(|age| age < limit)
    }

    /// Whether new connections are wanted.
    pub fn is_ready(&self) -> bool {
        let has_targets = || self.fleet().loads().next().is_some();
        !self.view().is_stopping && self.table().is_some() && self.may_check_keys() && has_targets()
    }

    /// Takes the gateway out of rotation.
    pub fn stop(&self) {
        self.view().is_stopping = true;
    }

    /// Gateways that serve, this one included.
    pub fn gateways(&self) -> usize {
        self.peers.count()
    }

    /// Keeps the idle connections of all gateways together within what targets accept: half of it,
    /// as the other half carries requests.
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

    /// Takes a place at a target for a request.
    ///
    /// # Errors
    /// Why there is none.
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

    /// The place of a request by worth for its work among others of its route.
    pub fn weigh(&self, route: &str, tokens: Option<(u64, u64)>, work: Duration) -> f64 {
        let mut worths = self.worths.lock().expect("no holder of the lock panics");
        if worths.len() > MAX_WORTHS {
            worths.clear();
        }
        let worth = worths.entry(route.to_owned()).or_default();
        worth.place(tokens, work)
    }

    /// Returns when a place may have become free.
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

    /// Notes the first sending of a request.
    pub fn earn(&self, service: &ServiceName) {
        let (allowance, gateways, now) = (self.allowance(), self.gateways(), self.now());
        let mut budgets = self.budgets();
        let budget = budgets.entry(service.clone()).or_default();
        budget.earn(&allowance, gateways, now);
    }

    /// Takes a token to send a request once more; false if the budget is used up.
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

/// A request's place at a target. It is given back when this is dropped.
pub struct Place {
    gateway: Arc<Gateway>,
    /// The target's position.
    pub key: Key,
    /// The target.
    pub target: Target,
    sent: Duration,
    outcome: Outcome,
}

impl Place {
    /// Time since the place was taken.
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.sent)
    }

    /// Notes what the request shows of the target's health.
    pub fn show(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Gives the place back.
    pub fn close(self) {}
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.gateway.fleet().finished(self.key, self.outcome, now);
        self.gateway.freed.notify_one();
    }
}
