//! Which versions of a service may get requests, and what is counted during a roll-out.

use std::time::Duration;

use azurelug_types::fleet::ServiceVersions;
use azurelug_types::id::{ServiceName, TargetName};
use azurelug_types::rollout::{Policy, Report};

use super::{Fleet, Key, Placement, SelectionError, TargetQuery, Versions};
use crate::gateway::rollout::evidence::Observation;
use crate::gateway::rollout::gate::{Choice, Gate, Side};
use crate::gateway::rollout::ledger::Exposure;

impl Fleet {
    /// Sets the versions at which streams may begin.
    pub fn set_versions(&mut self, versions: Vec<ServiceVersions>) {
        let versions = versions.into_iter();
        self.registered = versions.map(|it| (it.service, it.versions)).collect();
    }

    /// The versions of services at which streams may begin, for a state dump.
    pub fn registered_versions(&self) -> impl Iterator<Item = (&ServiceName, &[String])> {
        let registered = self.registered.iter();
        registered.map(|(service, versions)| (service, versions.as_slice()))
    }

    /// Whether the versions are known at which streams may begin.
    #[must_use]
    pub fn knows_versions(&self) -> bool {
        !self.registered.is_empty()
    }

    /// Whether a target of a version of a service may get new work.
    #[must_use]
    pub fn has_version(&self, service: &ServiceName, version: &str) -> bool {
        self.usable(service).any(|target| target.version == version)
    }

    /// Removes the targets whose versions are not wanted. Streams begin at versions that are not
    /// registered only if no target of a registered one is listed: then no other gateway finds a
    /// target at which it could continue them at a wrong version.
    pub(super) fn retain_versions(&self, wanted: &TargetQuery<'_>, keys: &mut Vec<Key>) {
        match wanted.versions {
            Versions::Any => {}
            Versions::Only(version) => keys.retain(|key| self.target(*key).version == version),
            Versions::Registered => {
                let registered = self.registered.get(wanted.service);
                let registered = registered.map_or(&[][..], Vec::as_slice);
                let is_registered = |key: &Key| registered.contains(&self.target(*key).version);
                let pool = self.pools.get(wanted.service);
                let is_any_listed = pool.is_some_and(|pool| pool.iter().any(is_registered));
                if registered.is_empty() || is_any_listed {
                    keys.retain(is_registered);
                }
            }
        }
    }

    /// Follows the newest policies. A service without one has no restriction.
    pub fn set_policies(&mut self, policies: Vec<Policy>, exposure: Exposure) {
        self.gates
            .retain(|service, _| policies.iter().any(|it| it.service == *service));
        for policy in policies {
            match self.gates.get_mut(&policy.service) {
                Some(gate) => gate.follow(policy, exposure, self.seed),
                None => {
                    let service = policy.service.clone();
                    let gate = Gate::new(policy, exposure, self.seed);
                    self.gates.insert(service, gate);
                }
            }
        }
    }

    /// Records until when the policies may be followed without newer information.
    pub fn confirm_policies(&mut self, until: Duration) {
        self.policies_until = self.policies_until.max(until);
    }

    /// The policies, for a state dump.
    pub fn gates(&self) -> impl Iterator<Item = &Gate> {
        self.gates.values()
    }

    /// Removes the targets whose versions may get nothing. Without a target of an allowed version,
    /// one that nobody ordered may replace it.
    pub(super) fn retain_allowed(&self, service: &ServiceName, keys: &mut Vec<Key>) {
        let Some(gate) = self.gates.get(service) else {
            return;
        };
        let is_allowed = |key: &Key| gate.side(&self.target(*key).version).is_some();
        if gate.is_running() || keys.iter().any(is_allowed) {
            keys.retain(is_allowed);
        } else {
            keys.retain(|key| gate.may_substitute(&self.target(*key).version));
        }
    }

    /// Returns the number of targets of a service that may get new work; during a roll-out those of the
    /// version that has more, because the targets of both are there only for its time.
    #[must_use]
    pub fn pool_size(&self, service: &ServiceName) -> usize {
        let keys = self.usable_keys(service);
        match self.gates.get(service) {
            Some(gate) if gate.is_running() => {
                let of = |side| keys.iter().filter(|key| self.is_of(**key, side)).count();
                of(Side::Old).max(of(Side::New))
            }
            _ => keys.len(),
        }
    }

    /// Whether a target is one of a side of the roll-out in progress.
    pub(super) fn is_of(&self, key: Key, side: Side) -> bool {
        let target = self.target(key);
        let gate = self.gates.get(&target.service);
        gate.is_none_or(|gate| gate.side(&target.version) == Some(side))
    }

    fn choice(&self, service: &ServiceName, now: Duration) -> Option<Choice> {
        let gate = self.gates.get(service)?;
        gate.choice(now < self.policies_until)
    }

    /// Selects a target of the version that is due, or of the other one if that may replace it.
    pub(super) fn select_version(
        &mut self,
        wanted: &TargetQuery<'_>,
        random: f64,
        now: Duration,
    ) -> Result<Placement, SelectionError> {
        let Some(choice) = self.choice(wanted.service, now) else {
            return self.select_among(wanted, None, random, now);
        };
        let selected = self.select_among(wanted, Some(choice.first), random, now);
        let (Err(error), Some(other)) = (selected, choice.overflow) else {
            return selected;
        };
        if choice.only_without_target && error != SelectionError::None {
            return selected;
        }
        let overflow = self.select_among(wanted, Some(other), random, now);
        match overflow {
            Err(SelectionError::None) => selected,
            overflow => overflow,
        }
    }

    /// Counts a request that reaches a service. Repeats of it do not count.
    pub fn record_request(&mut self, service: &ServiceName) {
        if let Some(gate) = self.gates.get_mut(service) {
            gate.record_request();
        }
    }

    /// Counts a send to a target that was not selected here, for instance a call for pieces.
    pub fn record_send(&mut self, key: Key) {
        let target = &self.records[key.0 as usize].target;
        if let Some(gate) = self.gates.get_mut(&target.service) {
            gate.record_send(&target.version);
        }
    }

    pub(super) fn cancel_send(&mut self, key: Key) {
        let target = &self.records[key.0 as usize].target;
        if let Some(gate) = self.gates.get_mut(&target.service) {
            gate.cancel_send(&target.version);
        }
    }

    /// Whether a send to this target that is not needed may be made: it is of a version that was
    /// judged, or the exposure bound has room.
    #[must_use]
    pub fn may_send_optional(&self, name: &TargetName, now: Duration) -> bool {
        let Some(key) = self.key(name) else {
            return true;
        };
        let target = self.target(key);
        let Some(gate) = self.gates.get(&target.service) else {
            return true;
        };
        match (
            gate.side(&target.version),
            gate.room(now < self.policies_until),
        ) {
            (Some(Side::New), Some((_, room))) => room > 0,
            (Some(_), _) => true,
            (None, _) => false,
        }
    }

    /// Returns the targets of a service that may get no call now, because the calls to their version
    /// are used up. Of a version with room for `n` calls, `n` targets may get one.
    #[must_use]
    pub fn held_back(&self, service: &ServiceName, now: Duration) -> Vec<TargetName> {
        let gate = self.gates.get(service);
        let Some((old, new)) = gate.and_then(|gate| gate.room(now < self.policies_until)) else {
            return Vec::new();
        };
        let keys = self.usable_keys(service);
        let of = |side| {
            keys.iter()
                .copied()
                .filter(move |key| self.is_of(*key, side))
        };
        // Without a target of the new version the old one goes on.
        let has_new = of(Side::New).next().is_some();
        let old = if has_new { old } else { u64::MAX };
        let rest = |side, room: u64| {
            let skipped = usize::try_from(room).unwrap_or(usize::MAX);
            of(side).skip(skipped)
        };
        let held = rest(Side::Old, old).chain(rest(Side::New, new));
        held.map(|key| self.target(key).name.clone()).collect()
    }

    /// Counts an outcome at a target.
    pub fn record_observation(
        &mut self,
        key: Key,
        subject: u64,
        observation: Observation,
        now: Duration,
    ) {
        let is_cold = self.is_cold(key, now);
        let target = &self.records[key.0 as usize].target;
        let Some(gate) = self.gates.get_mut(&target.service) else {
            return;
        };
        // A target in cold start is slow whatever its version.
        let observation = match observation {
            Observation::Answer(_) if is_cold => Observation::Answer(None),
            other => other,
        };
        gate.record(&target.version, target.name.as_str(), subject, observation);
    }

    /// The reports on the roll-outs in progress. `pending` returns what else is pending at a target:
    /// calls for pieces and results that are still needed.
    pub fn rollout_reports(
        &self,
        pending: impl Fn(&TargetName) -> u64,
        now: Duration,
    ) -> Vec<Report> {
        let is_fresh = now < self.policies_until;
        let running = self.gates.values().filter(|gate| gate.is_running());
        let reports = running.filter_map(|gate| {
            let records = self.records.iter().filter(|record| {
                record.target.service == gate.policy().service
                    && gate.side(&record.target.version) == Some(Side::Old)
            });
            let pending_old = records
                .map(|record| u64::from(record.in_flight) + pending(&record.target.name))
                .sum();
            gate.report(pending_old, is_fresh)
        });
        reports.collect()
    }
}
