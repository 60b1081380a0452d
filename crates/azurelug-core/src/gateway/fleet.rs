//! The targets, and the one that a request is sent to.
//!
//! Load pattern: many gateways see the same lagging list, targets fail, hang or turn cold without
//! notice, and a burst or a popular prompt sends much work the same way. Requests with a common
//! prompt prefix keep to one target while it has room, and spill over in an order that all gateways
//! share. What a gateway may send to one target, at the same time and in each second, is its part of
//! what the target bears.

mod health;
mod pace;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use azurelug_types::deployment::{Notice, Target};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

use super::owner;
use health::Health;
pub use health::Outcome;
use pace::Pace;

/// A position in the arena of targets. It stays valid while a request holds a place at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(u32);

/// What is known of the other gateways and of the service, for a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Gateways that send to the same targets, this one included.
    pub gateways: usize,
    /// Requests a second that a cold target bears from all gateways; 0 for no bound.
    pub cold_rate: f64,
    /// Requests in any second that no cold target may get from all gateways.
    pub cold_limit: f64,
    /// Requests that one target runs at the same time, if the service states it.
    pub slots: Option<u32>,
}

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Digest of the prompt prefix that is worth keeping at one target.
    pub affinity: Option<u64>,
    /// The zone to prefer.
    pub zone: &'a ZoneName,
    /// How much of the work with a prompt prefix each zone is to get.
    pub weights: &'a Weights,
    /// Targets that were tried already.
    pub tried: &'a [Key],
    /// What the target bears.
    pub bounds: Bounds,
}

/// Weights of zones; a zone that is not named has 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weights(pub Vec<(ZoneName, f64)>);

impl Weights {
    fn of(&self, zone: &ZoneName) -> f64 {
        let named = self.0.iter().find(|(name, _)| name == zone);
        named.map_or(1.0, |(_, weight)| *weight)
    }
}

/// Why there is no target for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// Every target has as many requests as it may; a place may become free at any moment.
    Full,
    /// Every target is held back; the first one is free after this time.
    Held(Duration),
    /// The service has no target that may be used.
    None,
}

/// Part of a target's slots that all gateways together may use if all send their share at once.
/// Above 1, because they hardly ever do, and the target queues a few.
const SLOT_FACTOR: f64 = 1.5;

/// The fewest requests that a gateway may have at one target.
const MIN_PLACES: u32 = 2;

/// How much fuller a target of another zone must be to be as good as one of the preferred zone, in
/// parts of its places.
const ZONE_PENALTY: f64 = 0.4;

/// How much a request avoids a target that fails all requests, in parts of its places.
const ERROR_PENALTY: f64 = 2.0;

/// Requests that a gateway may send to a warm target together, whatever its part of a second is. With
/// hundreds of gateways that part is a request in ten seconds, and the second request for a prompt
/// prefix would have it read by another target.
const WARM_BURST: usize = 2;

/// Part of a cold target's rate, and of its limit, that is used: the requests of many gateways bunch.
const PACE_PART: f64 = 0.85;

#[derive(Debug)]
struct Record {
    target: Target,
    is_listed: bool,
    in_flight: u32,
    cold_until: Duration,
    /// Whether the target itself has said that it is leaving. The list says so later, and a daemon
    /// that is cut off from the list not at all.
    says_leaving: bool,
    /// Until when the target wants no request from this daemon.
    closed_until: Duration,
    health: Health,
    pace: Pace,
}

impl Record {
    fn new(target: &Target, cold_until: Duration) -> Self {
        Self {
            target: target.clone(),
            is_listed: true,
            in_flight: 0,
            cold_until,
            says_leaving: false,
            closed_until: Duration::ZERO,
            health: Health::default(),
            pace: Pace::default(),
        }
    }

    /// Forgets what an earlier start of the target said of itself.
    fn restarted(&mut self) {
        self.says_leaving = false;
        self.closed_until = Duration::ZERO;
    }
}

/// All targets of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    records: Vec<Record>,
    by_name: HashMap<TargetName, Key>,
    pools: HashMap<ServiceName, Vec<Key>>,
    drained: BTreeSet<ZoneName>,
    cut: BTreeSet<ZoneName>,
    /// Differs from gateway to gateway, for lots that are drawn among them.
    lots: u64,
}

impl Fleet {
    /// A fleet without targets. `lots` is a random number of this gateway.
    #[must_use]
    pub fn new(lots: u64) -> Self {
        Self {
            lots,
            ..Self::default()
        }
    }

    /// Takes the platform's newest list, read `age` ago.
    pub fn list(&mut self, targets: &[Target], now: Duration) {
        let named: HashSet<&TargetName> = targets.iter().map(|target| &target.name).collect();
        for record in &mut self.records {
            let was_listed = record.is_listed;
            record.is_listed = named.contains(&record.target.name);
            if record.is_listed && !was_listed {
                record.restarted();
            }
        }
        for target in targets {
            self.list_one(target, now);
        }
        self.pools.clear();
        for (position, record) in self.records.iter().enumerate() {
            if record.is_listed {
                let key = Key(u32::try_from(position).expect("targets fit into 32 bits"));
                let pool = self.pools.entry(record.target.service.clone());
                pool.or_default().push(key);
            }
        }
    }

    fn list_one(&mut self, target: &Target, now: Duration) {
        let cold_until = now + Duration::from_millis(target.cold_ms);
        let known = self.by_name.get(&target.name).copied();
        let same_place = |record: &Record| {
            record.target.address == target.address && record.target.service == target.service
        };
        if let Some(key) = known
            && same_place(&self.records[key.0 as usize])
        {
            let record = &mut self.records[key.0 as usize];
            record.cold_until = record.cold_until.max(cold_until);
            if record.target.is_leaving && !target.is_leaving {
                record.restarted();
            }
            record.target.clone_from(target);
            record.is_listed = true;
            return;
        }
        let record = Record::new(target, cold_until);
        let is_gone = |it: &Record| !it.is_listed && it.in_flight == 0;
        let position = match self.records.iter().position(is_gone) {
            Some(position) => {
                let old = std::mem::replace(&mut self.records[position], record);
                self.by_name.remove(&old.target.name);
                position
            }
            None => {
                self.records.push(record);
                self.records.len() - 1
            }
        };
        let key = Key(u32::try_from(position).expect("targets fit into 32 bits"));
        self.by_name.insert(target.name.clone(), key);
    }

    /// Takes the zones that operators have drained.
    pub fn drain(&mut self, zones: BTreeSet<ZoneName>) {
        self.drained = zones;
    }

    /// Takes the zones that can't be reached. Their targets get no new work as long as a service has
    /// others. Returns whether these are other zones than before.
    pub fn cut_off(&mut self, zones: BTreeSet<ZoneName>) -> bool {
        let is_changed = self.cut != zones;
        self.cut = zones;
        is_changed
    }

    /// The target of a key.
    #[must_use]
    pub fn target(&self, key: Key) -> &Target {
        &self.records[key.0 as usize].target
    }

    /// The targets of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a Target> {
        let keys = self.usable_keys(service).into_iter();
        keys.map(|key| &self.records[key.0 as usize].target)
    }

    /// The targets of a service that may get new work: those that can be reached, if there are any.
    fn usable_keys(&self, service: &ServiceName) -> Vec<Key> {
        let keys = self.pools.get(service).into_iter().flatten().copied();
        let mut usable: Vec<Key> = keys
            .filter(|key| self.may_use(&self.records[key.0 as usize]))
            .collect();
        let is_near = |key: &Key| !self.cut.contains(&self.target(*key).zone);
        if !self.cut.is_empty() && usable.iter().any(is_near) {
            usable.retain(is_near);
        }
        usable
    }

    fn may_use(&self, record: &Record) -> bool {
        record.is_listed
            && !record.target.is_leaving
            && !record.says_leaving
            && !self.drained.contains(&record.target.zone)
    }

    /// Whether a target may still get new work.
    #[must_use]
    pub fn is_usable(&self, key: Key) -> bool {
        self.may_use(&self.records[key.0 as usize])
    }

    /// The preferred target of a prompt prefix, whatever its load.
    #[must_use]
    pub fn home(&self, service: &ServiceName, affinity: u64, weights: &Weights) -> Option<&Target> {
        let targets = self.usable(service);
        let weigh =
            |target: &Target| owner::weighted(&affinity, &target.name, weights.of(&target.zone));
        targets.max_by(|a, b| weigh(a).total_cmp(&weigh(b)))
    }

    /// How many targets of a service may get new work in each zone.
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

    /// Chooses a target and takes a place there. `random` draws from 0..1.
    ///
    /// # Errors
    /// Why there is none.
    pub fn place(
        &mut self,
        wanted: &Wanted<'_>,
        random: f64,
        now: Duration,
    ) -> Result<Key, Unplaced> {
        let candidates = self.candidates(wanted);
        if candidates.is_empty() {
            return Err(Unplaced::None);
        }
        let mut held: Option<Duration> = None;
        let mut best: Option<(f64, Key)> = None;
        let any_warm = candidates.iter().any(|key| !self.is_cold(*key, now));
        for (order, key) in candidates.iter().enumerate() {
            let record = &self.records[key.0 as usize];
            if let Some(until) = self.held_until(record, &wanted.bounds, now) {
                held = Some(held.map_or(until, |first| first.min(until)));
                continue;
            }
            let places = places(record, &wanted.bounds);
            if record.in_flight >= places {
                continue;
            }
            let is_cold = any_warm && self.is_cold(*key, now);
            let score = score(record, wanted, order, places, is_cold, random);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, *key));
            }
        }
        let Some((_, key)) = best else {
            let wait = held.map(|until| until.saturating_sub(now));
            return Err(wait.map_or(Unplaced::Full, Unplaced::Held));
        };
        let record = &mut self.records[key.0 as usize];
        record.in_flight += 1;
        record.pace.sent(now);
        record.health.sent(now);
        Ok(key)
    }

    /// Candidates by falling preference of the prompt prefix.
    fn candidates(&self, wanted: &Wanted<'_>) -> Vec<Key> {
        let mut candidates = self.usable_keys(wanted.service);
        candidates.retain(|key| !wanted.tried.contains(key));
        if let Some(affinity) = wanted.affinity {
            let mut weighed: Vec<(f64, Key)> = candidates
                .into_iter()
                .map(|key| {
                    let target = self.target(key);
                    let weight = wanted.weights.of(&target.zone);
                    (owner::weighted(&affinity, &target.name, weight), key)
                })
                .collect();
            weighed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
            candidates = weighed.into_iter().map(|(_, key)| key).collect();
        }
        candidates
    }

    /// Until when a target gets nothing, because it failed lately or has had its part of a second.
    fn held_until(&self, record: &Record, bounds: &Bounds, now: Duration) -> Option<Duration> {
        if record.closed_until > now {
            return Some(record.closed_until);
        }
        if let Some(until) = record.health.excluded_until(now) {
            return Some(until);
        }
        if bounds.cold_rate <= 0.0 {
            return None;
        }
        // A target can turn cold at any moment, so that the limit holds for all of them.
        let rate = if record.cold_until > now {
            bounds.cold_rate
        } else {
            bounds.cold_limit
        };
        let part = rate * PACE_PART / bounds.gateways.max(1) as f64;
        if record.cold_until > now && part < 1.0 {
            return self
                .lot_until(record, part, now)
                .or_else(|| record.pace.held_until(1.0, 1, now));
        }
        record.pace.held_until(part, WARM_BURST, now)
    }

    /// Until when a cold target gets nothing, because this gateway is not among those that may send
    /// to it. Hundreds of gateways with a request each would be too many for one second, so that in
    /// each second a part of them is drawn by lot.
    fn lot_until(&self, record: &Record, part: f64, now: Duration) -> Option<Duration> {
        let second = now.as_secs();
        let lot = owner::uniform(&(self.lots, second), &record.target.name);
        (lot >= part).then(|| Duration::from_secs(second + 1))
    }

    fn is_cold(&self, key: Key, now: Duration) -> bool {
        self.records[key.0 as usize].cold_until > now
    }

    /// Gives a place back.
    pub fn finished(&mut self, key: Key, outcome: Outcome, now: Duration) {
        let record = &mut self.records[key.0 as usize];
        record.in_flight = record.in_flight.saturating_sub(1);
        record.health.ended(outcome, now);
    }

    /// Takes what a target says of itself. Returns whether it has turned out to be leaving.
    pub fn note(&mut self, key: Key, notice: Notice, now: Duration) -> bool {
        let record = &mut self.records[key.0 as usize];
        if let Some(left) = notice.cold {
            record.cold_until = record.cold_until.max(now + left);
        }
        if let Some(closed) = notice.closed {
            record.closed_until = record.closed_until.max(now + closed);
        }
        let is_news = notice.is_leaving && !record.says_leaving;
        record.says_leaving |= notice.is_leaving;
        is_news
    }

    /// The key of a listed target.
    #[must_use]
    pub fn key(&self, name: &TargetName) -> Option<Key> {
        self.by_name.get(name).copied()
    }

    /// Whether a target may be called at all: whether it has neither closed itself nor said that it
    /// is leaving. One that is no longer listed may not.
    #[must_use]
    pub fn may_call(&self, name: &TargetName, now: Duration) -> bool {
        let record = self.key(name).map(|key| &self.records[key.0 as usize]);
        record.is_some_and(|it| it.is_listed && !it.says_leaving && it.closed_until <= now)
    }

    /// How much longer all targets of a service want no request from this daemon; zero if one of
    /// them is open.
    #[must_use]
    pub fn opens_in(&self, service: &ServiceName, now: Duration) -> Duration {
        let keys = self.usable_keys(service).into_iter();
        let closed = keys.map(|key| self.records[key.0 as usize].closed_until);
        closed.min().unwrap_or_default().saturating_sub(now)
    }

    /// How much longer a target wants no request from this daemon.
    #[must_use]
    pub fn closed_for(&self, name: &TargetName, now: Duration) -> Duration {
        let record = self.key(name).map(|key| &self.records[key.0 as usize]);
        record.map_or(Duration::ZERO, |it| it.closed_until.saturating_sub(now))
    }

    /// Requests in flight by target, for a dump.
    pub fn loads(&self) -> impl Iterator<Item = (&Target, u32)> {
        let listed = self.records.iter().filter(|record| record.is_listed);
        listed.map(|record| (&record.target, record.in_flight))
    }
}

/// How many requests this gateway may have at a target.
fn places(record: &Record, bounds: &Bounds) -> u32 {
    let slots = bounds.slots.unwrap_or(record.target.slots).max(1);
    let part = f64::from(slots) * SLOT_FACTOR / bounds.gateways.max(1) as f64;
    (part.ceil() as u32)
        .max(MIN_PLACES)
        .min(slots.max(MIN_PLACES))
}

/// How much a target is to be avoided.
fn score(
    record: &Record,
    wanted: &Wanted<'_>,
    order: usize,
    places: u32,
    is_cold: bool,
    random: f64,
) -> f64 {
    let load = f64::from(record.in_flight) / f64::from(places);
    let zone = if record.target.zone == *wanted.zone {
        0.0
    } else {
        ZONE_PENALTY
    };
    let cold = if is_cold { 1.0 } else { 0.0 };
    let trouble = record.health.error_rate() * ERROR_PENALTY + record.health.slowness_penalty();
    // With a prefix, each step down the shared order costs as much as half of the places in use.
    let locality = match wanted.affinity {
        Some(_) => order as f64 * 0.5,
        // Breaks ties differently each time, so that equal targets share the load.
        None => ((order as f64 + 1.0) * 0.618 + random).fract() * 0.05,
    };
    load + zone + cold + trouble + locality
}
