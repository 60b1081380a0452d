//! The choice of a target by the expected cost of requests, where the targets of a service are
//! uneven. Elsewhere only outcomes are recorded, and the choice is that of `load`.
//!
//! Load pattern: targets of one service differ in speed by more than a factor of two, and each
//! gateway has no or one request at most of them.

use std::time::Duration;

use azurelug_types::deployment::Target;
use azurelug_types::fleet::TargetSpeed;
use azurelug_types::id::ServiceName;

use super::load::ERROR_PENALTY;
use super::{Fleet, Key, SelectionError, TargetQuery, TargetState};
use crate::gateway::cost::Features;
use crate::gateway::cost::model::Model;
use crate::gateway::cost::speed::{self, Speed, Spread};
use crate::gateway::rendezvous;

/// Interval between estimates of the spread of speeds. They change over many seconds, and an
/// estimate looks at all targets.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Factor by which the expected time must be shorter at the first target that isn't slow: the ratio
/// from which on speeds count. All gateways go there, so that the shared parts are read once more.
const MIN_HOME_GAIN: f64 = 1.5;

/// Factor by which it must be shorter at any other target, where the shared parts have to be read
/// again, which is billed.
const MIN_GAIN: f64 = 2.0;

/// Targets in the shared order that are compared. With a third of the targets slow, all of eight
/// are slow in one order of six thousand.
const MAX_COMPARED: usize = 8;

/// Factor for the expected time at a cold target while others are warm.
const COLD_FACTOR: f64 = 2.0;

/// Age of the newest report of all gateways' outcomes after which only this gateway's own outcomes
/// count: it is cut off from the control daemons.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// A request that is placed at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The target.
    pub key: Key,
    /// Whether the expected time has moved the request away from its preferred target.
    pub has_left_preferred: bool,
    features: Features,
    /// Expected time in seconds at a target of usual speed; 0 if it is unknown.
    pub(super) expected_s: f64,
}

/// What is known of the costs of a service's requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceCosts {
    model: Model,
    spread: Spread,
    updated_at: Duration,
    /// Requests that were placed while the service was uneven.
    pub placed: u64,
    /// Those of them that left their preferred targets.
    pub left: u64,
}

impl ServiceCosts {
    /// Ratio of the upper to the lower decile of the targets' slowness; 1 if it is unknown.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.spread.ratio
    }

    /// Whether the choice of a target takes costs into account.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        self.spread.is_uneven && self.model.is_ready()
    }
}

/// What is known of the speed and the work of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetCost {
    /// The time that it takes relative to the usual time.
    pub slowness: f64,
    /// Age of the newest outcome.
    pub age: Option<Duration>,
    /// Expected time in seconds of this gateway's requests that wait for an outcome there.
    pub pending_s: f64,
}

/// Compares the targets of one request by their expected times.
pub(super) struct CostChoice {
    has_affinity: bool,
    /// Usual time in seconds where the shared parts are likely to be cached, and elsewhere.
    cached_s: f64,
    uncached_s: f64,
    /// Slowness above which a target is left by all gateways that know it.
    slow: f64,
    /// The targets that are likely to have the shared parts cached.
    homes: [Option<Key>; 2],
    compared: usize,
    preferred: Option<Key>,
    best: Option<(f64, Key)>,
}

impl CostChoice {
    /// Determines which targets are likely to have the shared parts cached: the preferred one, and
    /// the first one that isn't slow, to which all gateways go that know the speeds.
    pub(super) fn set_home(&mut self, fleet: &Fleet, candidates: &[Key]) {
        let is_fast = |key: &&Key| fleet.records[key.0 as usize].slowness <= self.slow;
        self.homes = [
            candidates.first().copied(),
            candidates.iter().find(is_fast).copied(),
        ];
    }

    /// Considers a target that can take the request. Targets come by falling preference.
    pub(super) fn offer(
        &mut self,
        record: &TargetState,
        key: Key,
        load_cost: f64,
        is_cold: bool,
        now: Duration,
    ) {
        let score = if self.has_affinity {
            self.compared += 1;
            if self.compared > MAX_COMPARED {
                return;
            }
            self.expected(record, key, is_cold, now)
        } else {
            load_cost - record.health.slowness_penalty() + record.slowness
        };
        self.preferred.get_or_insert(key);
        let gain = match self.has_affinity {
            true if self.homes.contains(&Some(key)) => MIN_HOME_GAIN,
            true => MIN_GAIN,
            false => 1.0,
        };
        if self.best.is_none_or(|(lowest, _)| score * gain < lowest) {
            self.best = Some((score, key));
        }
    }

    /// Expected time until the request's outcome at a target.
    fn expected(&self, record: &TargetState, key: Key, is_cold: bool, now: Duration) -> f64 {
        let usual = if self.homes.contains(&Some(key)) {
            self.cached_s
        } else {
            self.uncached_s
        };
        let waiting = record.speed.delay(now).max(record.reported.delay(now));
        let work = (usual + record.pending_s) * record.slowness + waiting;
        let failures = 1.0 + record.health.error_rate() * ERROR_PENALTY;
        work * failures * if is_cold { COLD_FACTOR } else { 1.0 }
    }
}

impl TargetState {
    /// The outcomes of all gateways, as far as they are known.
    fn all_outcomes(&self, reported_at: Duration, now: Duration) -> Speed {
        if now.saturating_sub(reported_at) > MAX_REPORT_AGE {
            return self.speed;
        }
        let mut all = self.reported;
        all.add(&self.unreported, now);
        all
    }

    /// Forgets the speed, because the target has restarted.
    pub(super) fn reset_speed(&mut self) {
        self.speed = Speed::default();
        self.unreported = Speed::default();
        self.reported = Speed::default();
        self.slowness = 1.0;
    }
}

impl Fleet {
    /// As [`Fleet::place`]; returns only the target.
    ///
    /// # Errors
    /// Why no target is available.
    pub fn select(
        &mut self,
        wanted: &TargetQuery<'_>,
        random: f64,
        now: Duration,
    ) -> Result<Key, SelectionError> {
        self.place(wanted, random, now).map(|placed| placed.key)
    }

    /// Starts the comparison by cost; none if the targets of the service are even.
    pub(super) fn cost_choice(&self, wanted: &TargetQuery<'_>) -> Option<CostChoice> {
        let costs = self.costs.get(wanted.service)?;
        let usual = |is_cached| costs.model.expected(&wanted.work.features(is_cached));
        costs.is_uneven().then(|| CostChoice {
            has_affinity: wanted.affinity.is_some(),
            cached_s: usual(true),
            uncached_s: usual(false),
            slow: costs.spread.midpoint,
            homes: [None; 2],
            compared: 0,
            preferred: None,
            best: None,
        })
    }

    /// The placement of a request: at the target with the lowest expected time, or at `usual` where
    /// costs don't count.
    pub(super) fn placement(
        &mut self,
        wanted: &TargetQuery<'_>,
        candidates: &[Key],
        usual: Key,
        by_cost: Option<CostChoice>,
    ) -> Placement {
        let chosen = by_cost.as_ref().and_then(|choice| choice.best);
        let key = chosen.map_or(usual, |(_, key)| key);
        let homes = by_cost.as_ref().map(|choice| choice.homes);
        let homes = homes.unwrap_or([candidates.first().copied(), None]);
        // A repeat goes to a target that other requests with the same parts are not sent to.
        let is_cached = wanted.affinity.is_some() && homes.contains(&Some(key));
        let is_cached = is_cached && wanted.tried.is_empty();
        let preferred = by_cost.filter(|choice| choice.has_affinity);
        let preferred = preferred.and_then(|choice| choice.preferred);
        let has_left_preferred = preferred.is_some_and(|preferred| preferred != key);
        let features = wanted.work.features(is_cached);
        let mut expected_s = 0.0;
        if let Some(costs) = self.costs.get_mut(wanted.service) {
            if costs.model.is_ready() {
                expected_s = costs.model.expected(&features);
            }
            costs.placed += u64::from(chosen.is_some());
            costs.left += u64::from(has_left_preferred);
        }
        Placement {
            key,
            has_left_preferred,
            features,
            expected_s,
        }
    }

    /// Ends the wait for the outcome of a placed request: `answered` is the time until the first
    /// part of its answer, none if there was none. Call it before [`Fleet::finished`], once.
    pub fn settle(&mut self, placed: &Placement, answered: Option<Duration>, now: Duration) {
        let record = &mut self.records[placed.key.0 as usize];
        record.pending_s = (record.pending_s - placed.expected_s).max(0.0);
        // A cold start says nothing of the target's speed when it is warm.
        let Some(answered) = answered.filter(|_| record.cold_until <= now) else {
            return;
        };
        let service = record.target.service.clone();
        let costs = self.costs.entry(service).or_default();
        let seconds = answered.as_secs_f64();
        let record = &mut self.records[placed.key.0 as usize];
        if costs.model.is_ready() {
            let outcome = speed::Outcome {
                seconds,
                usual: costs.model.expected(&placed.features),
                slowness: record.slowness,
                weight: costs.model.certainty(&placed.features),
            };
            let earlier = record.all_outcomes(self.reported_at, now).mean(now);
            record.unreported.observe(&outcome, earlier, now);
            record.speed.observe(&outcome, earlier, now);
        }
        let usual = seconds / record.slowness;
        costs.model.learn(&placed.features, usual);
    }

    /// Estimates the speeds of a service's targets anew, once in a while.
    pub(super) fn update_spread(&mut self, service: &ServiceName, now: Duration) {
        let Some(costs) = self.costs.get_mut(service) else {
            return;
        };
        if now < costs.updated_at + UPDATE_INTERVAL {
            return;
        }
        costs.updated_at = now;
        let reported_at = self.reported_at;
        let keys = self.pools.get(service).map_or(&[][..], Vec::as_slice);
        let records = &mut self.records;
        let known = keys.iter().map(|key| &records[key.0 as usize]);
        let speeds: Vec<Speed> = known.map(|it| it.all_outcomes(reported_at, now)).collect();
        costs.spread = costs.spread.update(&speeds, now);
        for (key, speed) in keys.iter().zip(&speeds) {
            records[key.0 as usize].slowness = costs.spread.slowness(speed.mean(now));
        }
    }

    /// Takes the outcomes that were not reported yet, for the control daemon.
    pub fn take_speed_reports(&mut self, now: Duration) -> Vec<TargetSpeed> {
        let listed = self.records.iter_mut().filter(|it| it.is_listed);
        let unreported = listed.filter_map(|record| {
            let outcomes = std::mem::take(&mut record.unreported);
            outcomes.age(now)?;
            let target = &record.target;
            Some(outcomes.report(&target.name, address_hash(target), now))
        });
        unreported.collect()
    }

    /// Replaces what is known of the outcomes of all gateways.
    pub fn learn_speeds(&mut self, reports: &[TargetSpeed], now: Duration) {
        self.reported_at = now;
        for report in reports {
            let key = self.key(&report.target);
            let is_same = |key: &Key| address_hash(self.target(*key)) == report.address;
            if let Some(key) = key.filter(is_same) {
                self.records[key.0 as usize].reported = Speed::from_report(report, now);
            }
        }
    }

    /// What is known of the costs of each service's requests, for metrics.
    pub fn costs(&self) -> impl Iterator<Item = (&ServiceName, &ServiceCosts)> {
        self.costs.iter()
    }

    /// What is known of the speed and the work of each target, for a state dump.
    pub fn target_costs(&self, now: Duration) -> impl Iterator<Item = (&Target, TargetCost)> {
        let listed = self.records.iter().filter(|record| record.is_listed);
        listed.map(move |record| {
            let cost = TargetCost {
                slowness: record.slowness,
                age: record.speed.age(now),
                pending_s: record.pending_s,
            };
            (&record.target, cost)
        })
    }
}

fn address_hash(target: &Target) -> u64 {
    rendezvous::weight("address", &target.address)
}
