//! Target registry and target selection.
//!
//! Load pattern: many gateways see the same stale list, targets fail, hang or become cold without
//! notice, and a burst or a popular prompt concentrates load. Requests with a common prompt prefix
//! go to one target while it has capacity, and spill over in an order that all gateways share. Each
//! gateway limits its concurrency and its request rate for a target to its share of what the target
//! can handle.

mod availability;
mod health;
mod load;
mod notices;
mod permits;
mod placement;
mod rate_limit;
mod versions;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use azurelug_types::deployment::Target;
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

use super::cost::Work;
use super::cost::speed::Speed;
use super::rollout::gate::{Gate, Side};
use super::{limits, rendezvous};
use availability::concurrency_limit;
use health::Health;
pub use health::Outcome;
pub use notices::NoticeEffect;
pub use placement::{Placement, ServiceCosts, TargetCost};
use rate_limit::RateLimit;

/// Index into the arena of targets. It stays valid while a request is in flight at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(u32);

impl Key {
    fn at(position: usize) -> Self {
        Self(u32::try_from(position).expect("targets fit into 32 bits"))
    }
}

/// Limits that all gateways together have to respect at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Number of gateways that send to the same targets, including this one.
    pub gateways: usize,
    /// Requests a second that a cold target can handle from all gateways; 0 for no limit.
    pub cold_rate: f64,
    /// Hard limit for the requests in any second that a cold target gets from all gateways.
    pub cold_limit: f64,
    /// Concurrent requests of one target, if the service sets them.
    pub slots: Option<u32>,
}

/// Criteria for the target of a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// The service whose targets are eligible.
    pub service: &'a ServiceName,
    /// Digest of the prompt prefix, for requests that benefit from the prefix cache of one target.
    pub affinity: Option<u64>,
    /// The preferred zone.
    pub zone: &'a ZoneName,
    /// Weight of each zone for requests with a prompt prefix.
    pub weights: &'a Weights,
    /// Targets of earlier attempts, which are not eligible.
    pub tried: &'a [Key],
    /// Limits for one target.
    pub bounds: Bounds,
    /// What is known of the request's work.
    pub work: Work,
    /// The software versions whose targets are eligible.
    pub versions: Versions<'a>,
}

/// The software versions that may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions<'a> {
    /// All: the answer comes from one target.
    Any,
    /// Those at which a stream may begin.
    Registered,
    /// The version at which the stream began.
    Only(&'a str),
}

/// Weights of zones; the default is 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weights(pub Vec<(ZoneName, f64)>);

impl Weights {
    fn of(&self, zone: &ZoneName) -> f64 {
        let named = self.0.iter().find(|(name, _)| name == zone);
        named.map_or(1.0, |(_, weight)| *weight)
    }
}

/// Why no target is available for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// Some targets are at their concurrency limits; a request may end at any time. Others are
    /// excluded or rate limited, and the first of these is available after the given time.
    Full {
        /// None if all targets are at their concurrency limits.
        opens_in: Option<Duration>,
    },
    /// Every target is excluded or rate limited; the first one is available after this time.
    Blocked(Duration),
    /// The service has no usable target.
    None,
}

#[derive(Debug)]
struct TargetState {
    target: Target,
    is_listed: bool,
    in_flight: u32,
    cold_until: Duration,
    /// Whether the target itself has reported that it is leaving. The list reports it later, and
    /// never to a daemon that can't get the list.
    reported_leaving: bool,
    /// Until when the target has asked this daemon to send no requests.
    closed_until: Duration,
    /// The target's own limit for the requests from all gateways.
    limit: limits::Knowledge,
    /// Permits for requests while there is such a limit.
    permits: limits::Stock,
    health: Health,
    rate_limit: RateLimit,
    /// Outcomes that this gateway has seen, and those that it has not reported yet.
    speed: Speed,
    unreported: Speed,
    /// Outcomes that all gateways have reported.
    reported: Speed,
    /// The time that the target takes relative to the usual time; 1 if it is unknown.
    slowness: f64,
    /// Expected time in seconds of this gateway's requests that wait for an outcome there.
    pending_s: f64,
}

impl TargetState {
    fn new(target: &Target, cold_until: Duration) -> Self {
        Self {
            target: target.clone(),
            is_listed: true,
            in_flight: 0,
            cold_until,
            reported_leaving: false,
            closed_until: Duration::ZERO,
            limit: limits::Knowledge::default(),
            permits: limits::Stock::default(),
            health: Health::default(),
            rate_limit: RateLimit::default(),
            speed: Speed::default(),
            unreported: Speed::default(),
            reported: Speed::default(),
            slowness: 1.0,
            pending_s: 0.0,
        }
    }

    /// Resets the state that the target reported before its restart.
    fn reset_reported(&mut self) {
        self.reported_leaving = false;
        self.closed_until = Duration::ZERO;
        self.limit = limits::Knowledge::default();
        self.reset_speed();
    }
}

/// The targets of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    records: Vec<TargetState>,
    by_name: HashMap<TargetName, Key>,
    pools: HashMap<ServiceName, Vec<Key>>,
    drained: BTreeSet<ZoneName>,
    unreachable: BTreeSet<ZoneName>,
    /// Which versions of services may get requests.
    gates: HashMap<ServiceName, Gate>,
    /// The versions of services at which streams may begin.
    registered: HashMap<ServiceName, Vec<String>>,
    /// Until when the gates may be followed without newer information.
    policies_until: Duration,
    /// Differs between gateways; the seed for the selection of the gateways that may send.
    seed: u64,
    costs: HashMap<ServiceName, ServiceCosts>,
    /// When the control daemon sent the outcomes of all gateways; zero if never.
    reported_at: Duration,
}

impl Fleet {
    /// Creates a fleet without targets. `seed` is a random number of this gateway.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Applies the platform's newest list of targets. Of entries with the same name the first counts.
    pub fn list(&mut self, targets: &[Target], now: Duration) {
        let mut named: HashSet<&TargetName> = HashSet::new();
        let mut targets: Vec<&Target> = targets.iter().collect();
        targets.retain(|target| named.insert(&target.name));
        for key in self.by_name.values() {
            let record = &mut self.records[key.0 as usize];
            let was_listed = record.is_listed;
            record.is_listed = named.contains(&record.target.name);
            if record.is_listed && !was_listed {
                record.reset_reported();
            }
        }
        for target in targets {
            self.upsert(target, now);
        }
        self.pools.clear();
        for (position, record) in self.records.iter().enumerate() {
            if record.is_listed {
                let pool = self.pools.entry(record.target.service.clone());
                pool.or_default().push(Key::at(position));
            }
        }
    }

    fn upsert(&mut self, target: &Target, now: Duration) {
        let cold_until = now + Duration::from_millis(target.cold_ms);
        let known = self.by_name.get(&target.name).copied();
        let is_same_instance = |record: &TargetState| {
            record.target.address == target.address && record.target.service == target.service
        };
        if let Some(key) = known
            && is_same_instance(&self.records[key.0 as usize])
        {
            let record = &mut self.records[key.0 as usize];
            record.cold_until = record.cold_until.max(cold_until);
            if record.target.is_leaving && !target.is_leaving {
                record.reset_reported();
            }
            record.target.clone_from(target);
            record.is_listed = true;
            return;
        }
        if let Some(Key(replaced)) = known {
            self.records[replaced as usize].is_listed = false;
        }
        let record = TargetState::new(target, cold_until);
        let is_gone = |it: &TargetState| !it.is_listed && it.in_flight == 0;
        let position = match self.records.iter().position(is_gone) {
            Some(position) => {
                let old = std::mem::replace(&mut self.records[position], record);
                // A newer record may have the same name.
                if self.by_name.get(&old.target.name) == Some(&Key::at(position)) {
                    self.by_name.remove(&old.target.name);
                }
                position
            }
            None => {
                self.records.push(record);
                self.records.len() - 1
            }
        };
        self.by_name.insert(target.name.clone(), Key::at(position));
    }

    /// Sets the zones that operators have drained.
    pub fn drain(&mut self, zones: BTreeSet<ZoneName>) {
        self.drained = zones;
    }

    /// Sets the unreachable zones. Their targets get no new work as long as a service has others.
    /// Returns whether the set has changed.
    pub fn set_unreachable_zones(&mut self, zones: BTreeSet<ZoneName>) -> bool {
        let is_changed = self.unreachable != zones;
        self.unreachable = zones;
        is_changed
    }

    /// Returns the target of a key.
    #[must_use]
    pub fn target(&self, key: Key) -> &Target {
        &self.records[key.0 as usize].target
    }

    /// Returns the targets of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Target> {
        let keys = self.usable_keys(service).into_iter();
        keys.map(|key| &self.records[key.0 as usize].target)
    }

    /// Returns the targets that may get new work; only those in reachable zones, if there are any.
    fn usable_keys(&self, service: &ServiceName) -> Vec<Key> {
        let keys = self.pools.get(service).into_iter().flatten().copied();
        let mut usable: Vec<Key> = keys
            .filter(|key| self.may_use(&self.records[key.0 as usize]))
            .collect();
        self.retain_allowed(service, &mut usable);
        let is_reachable = |key: &Key| !self.unreachable.contains(&self.target(*key).zone);
        if !self.unreachable.is_empty() && usable.iter().any(is_reachable) {
            usable.retain(is_reachable);
        }
        usable
    }

    fn may_use(&self, record: &TargetState) -> bool {
        record.is_listed
            && !record.target.is_leaving
            && !record.reported_leaving
            && !self.drained.contains(&record.target.zone)
    }

    /// Whether a target may get new work.
    #[must_use]
    pub fn is_usable(&self, key: Key) -> bool {
        self.may_use(&self.records[key.0 as usize])
    }

    /// Returns the preferred target of a prompt prefix, regardless of its load.
    #[must_use]
    pub fn home(&self, service: &ServiceName, affinity: u64, weights: &Weights) -> Option<&Target> {
        let targets = self.usable(service);
        let weigh = |target: &Target| {
            rendezvous::weighted(&affinity, &target.name, weights.of(&target.zone))
        };
        targets.max_by(|a, b| weigh(a).total_cmp(&weigh(b)))
    }

    /// Counts the targets of a service that may get new work in each zone.
    #[must_use]
    pub fn zones(&self, service: &ServiceName) -> Vec<(ZoneName, usize)> {
        let mut zones: Vec<(ZoneName, usize)> = Vec::new();
        for target in self.usable(service) {
            match zones.iter_mut().find(|(zone, _)| *zone == target.zone) {
                Some((_, count)) => *count += 1,
                None => zones.push((target.zone.clone(), 1)),
            }
        }
        zones
    }

    /// Selects a target and counts the request as in flight there. `random` is uniform in 0..1.
    ///
    /// # Errors
    /// Why no target is available.
    pub fn place(
        &mut self,
        wanted: &TargetQuery<'_>,
        random: f64,
        now: Duration,
    ) -> Result<Placement, SelectionError> {
        self.update_spread(wanted.service, now);
        let placement = self.select_version(wanted, random, now)?;
        let record = &mut self.records[placement.key.0 as usize];
        record.in_flight += 1;
        record.pending_s += placement.expected_s;
        record.rate_limit.record_send(now);
        record.health.record_send(now);
        self.record_send(placement.key);
        Ok(placement)
    }

    /// Selects a target of a side of the roll-out in progress, or of any if none is given.
    fn select_among(
        &mut self,
        wanted: &TargetQuery<'_>,
        side: Option<Side>,
        random: f64,
        now: Duration,
    ) -> Result<Placement, SelectionError> {
        let mut by_cost = self.cost_choice(wanted);
        let mut candidates = self.candidates(wanted);
        candidates.retain(|key| side.is_none_or(|side| self.is_of(*key, side)));
        if candidates.is_empty() {
            return Err(SelectionError::None);
        }
        let mut blocked: Option<Duration> = None;
        let mut best: Option<(f64, Key)> = None;
        let mut is_any_full = false;
        let any_warm = candidates.iter().any(|key| !self.is_cold(*key, now));
        if let Some(choice) = &mut by_cost {
            choice.set_home(self, &candidates);
        }
        for (preference, key) in candidates.iter().enumerate() {
            let record = &self.records[key.0 as usize];
            if let Some(until) = self.blocked_until(record, &wanted.bounds, now) {
                blocked = Some(blocked.map_or(until, |earliest| earliest.min(until)));
                continue;
            }
            let limit = concurrency_limit(record, &wanted.bounds);
            if record.in_flight >= limit {
                is_any_full = true;
                continue;
            }
            let is_cold = any_warm && self.is_cold(*key, now);
            let cost = load::cost(record, wanted, preference, limit, is_cold, random);
            if let Some(choice) = &mut by_cost {
                choice.offer(record, *key, cost, is_cold, now);
            }
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, *key));
            }
        }
        let Some((_, key)) = best else {
            let opens_in = blocked.map(|until| until.saturating_sub(now));
            return Err(match opens_in {
                Some(wait) if !is_any_full => SelectionError::Blocked(wait),
                _ => SelectionError::Full { opens_in },
            });
        };
        Ok(self.placement(wanted, &candidates, key, by_cost))
    }

    /// Returns the eligible targets in descending order of preference for the prompt prefix.
    fn candidates(&self, wanted: &TargetQuery<'_>) -> Vec<Key> {
        let mut candidates = self.usable_keys(wanted.service);
        candidates.retain(|key| !wanted.tried.contains(key));
        self.retain_versions(wanted, &mut candidates);
        if let Some(affinity) = wanted.affinity {
            let mut weighed: Vec<(f64, Key)> = candidates
                .into_iter()
                .map(|key| {
                    let target = self.target(key);
                    let weight = wanted.weights.of(&target.zone);
                    (rendezvous::weighted(&affinity, &target.name, weight), key)
                })
                .collect();
            weighed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
            candidates = weighed.into_iter().map(|(_, key)| key).collect();
        }
        candidates
    }

    /// Ends a request at a target and records its outcome.
    pub fn finished(&mut self, key: Key, outcome: Outcome, now: Duration) {
        let record = &mut self.records[key.0 as usize];
        record.in_flight = record.in_flight.saturating_sub(1);
        record.health.record_outcome(outcome, now);
        if matches!(
            outcome,
            Outcome::Crashed | Outcome::Unconnected | Outcome::Gone
        ) {
            record.reset_speed();
        }
    }

    /// Ends a request that was not sent.
    pub fn cancelled(&mut self, key: Key, now: Duration) {
        self.finished(key, Outcome::Unknown, now);
        self.records[key.0 as usize].rate_limit.cancel_send();
        self.cancel_send(key);
    }

    /// Returns the key of a target by its name.
    #[must_use]
    pub fn key(&self, name: &TargetName) -> Option<Key> {
        self.by_name.get(name).copied()
    }

    /// Returns the requests in flight at each target, for a state dump.
    pub fn loads(&self) -> impl Iterator<Item = (&Target, u32)> {
        let listed = self.records.iter().filter(|record| record.is_listed);
        listed.map(|record| (&record.target, record.in_flight))
    }
}
