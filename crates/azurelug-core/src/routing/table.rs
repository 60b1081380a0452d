//! A configuration version compiled for routing.
//!
//! Holds the arena of targets and the numbering of the candidate lists, one for each zone and need.
//! Targets that remain keep their keys across versions. The router leaves draining targets, and
//! targets in draining zones, out of its pools.

use std::collections::HashMap;
use std::net::SocketAddr;

use azurelug_types::config::{Config, ModelRef, OnPartition, Role, StageKind, State, Target};
use azurelug_types::id::{ServiceName, TargetKey, TargetName, Version, ZoneKey, ZoneName};

/// The capability that a call requires of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement<'a> {
    /// An engine that runs this kind of stage and has this model loaded.
    Stage(StageKind, &'a ModelRef),
    /// A replica of a service that is not an engine.
    Service(&'a ServiceName),
}

/// A zone in the arena.
#[derive(Clone, Debug)]
pub struct ZoneEntry {
    /// Its name.
    pub name: ZoneName,
    /// Whether it accepts new calls.
    pub state: State,
    /// How its entry daemons behave without a valid lease.
    pub on_partition: OnPartition,
}

/// A target in the arena.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Its name.
    pub name: TargetName,
    /// Its address. A target that moves to another address counts as a new one.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneKey,
    /// Concurrency limit when warm.
    pub limit: u32,
    /// Concurrency limit in cold start.
    pub cold_limit: u32,
    /// State of the target itself; its zone may be draining independently.
    pub state: State,
    /// Targets of one group serve the same calls, so outlier detection compares them.
    pub group: u32,
    /// The candidate lists it is in.
    pub(super) lists: Vec<usize>,
}

/// Stage kind or service name, and the loaded models.
type Group<'a> = (
    Option<StageKind>,
    Option<&'a ServiceName>,
    Vec<&'a ModelRef>,
);

/// A compiled configuration version.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: Version,
    zones: Vec<ZoneEntry>,
    targets: Vec<Option<TargetEntry>>,
    by_name: HashMap<TargetName, TargetKey>,
    models: HashMap<StageKind, HashMap<ModelRef, usize>>,
    services: HashMap<ServiceName, usize>,
    needs: usize,
    groups: u32,
}

impl Table {
    /// Compiles a configuration. Targets with the same name and address keep the key they have in
    /// `previous`. Keys for which `busy` returns true still have calls in flight and are not
    /// reused.
    #[must_use]
    pub fn compile(config: &Config, previous: &Self, busy: impl Fn(TargetKey) -> bool) -> Self {
        let mut table = Self {
            version: config.version,
            zones: merge_zones(config, previous),
            ..Self::default()
        };
        table.targets.resize_with(previous.targets.len(), || None);
        let mut groups: HashMap<Group<'_>, u32> = HashMap::new();
        let mut added = Vec::new();
        for (name, target) in &config.targets {
            let Some(zone) = table.zone(&target.zone) else {
                continue;
            };
            let next_group = groups.len() as u32;
            let group = *groups.entry(group_of(target)).or_insert(next_group);
            let entry = TargetEntry {
                name: name.clone(),
                address: target.address,
                zone,
                limit: target.limit,
                cold_limit: target.cold_limit,
                state: target.state,
                group,
                lists: table.candidate_lists(target, zone),
            };
            match previous.matching_key(name, target.address) {
                Some(key) => table.insert(key, entry),
                None => added.push(entry),
            }
        }
        table.groups = groups.len() as u32;
        let mut free: Vec<TargetKey> = (0..table.targets.len() as u32)
            .rev()
            .map(TargetKey)
            .filter(|key| table.targets[key.0 as usize].is_none() && !busy(*key))
            .collect();
        for entry in added {
            let key = free.pop().unwrap_or_else(|| {
                table.targets.push(None);
                TargetKey(table.targets.len() as u32 - 1)
            });
            table.insert(key, entry);
        }
        table
    }

    /// The configuration version that was compiled.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The key of a target.
    #[must_use]
    pub fn key(&self, name: &TargetName) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// The entry of a target, unless it was removed.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key.0 as usize)?.as_ref()
    }

    /// All targets of this version with their keys.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &TargetEntry)> {
        self.targets
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| Some((TargetKey(index as u32), entry.as_ref()?)))
    }

    /// The key of a zone.
    #[must_use]
    pub fn zone(&self, name: &ZoneName) -> Option<ZoneKey> {
        let index = self.zones.iter().position(|zone| zone.name == *name)?;
        Some(ZoneKey(index as u16))
    }

    /// The zones by key.
    #[must_use]
    pub fn zones(&self) -> &[ZoneEntry] {
        &self.zones
    }

    /// Whether the configuration allows new calls to the target.
    #[must_use]
    pub fn in_service(&self, key: TargetKey) -> bool {
        self.target(key).is_some_and(|target| {
            target.state == State::Active
                && self.zones[target.zone.0 as usize].state == State::Active
        })
    }

    /// Number of arena slots, including free ones.
    pub(super) fn arena_len(&self) -> usize {
        self.targets.len()
    }

    /// Number of target groups.
    pub(super) fn group_count(&self) -> usize {
        self.groups as usize
    }

    /// The number of different needs.
    pub(crate) fn needs(&self) -> usize {
        self.needs
    }

    /// The needs that a target can serve.
    pub(crate) fn needs_of(&self, entry: &TargetEntry) -> impl Iterator<Item = usize> {
        let zones = self.zones.len();
        entry.lists.iter().map(move |list| list / zones)
    }

    /// The number of candidate lists.
    pub(super) fn list_count(&self) -> usize {
        self.needs * self.zones.len()
    }

    /// The index of a need; the list of a zone is at `need * zones + zone`.
    pub(crate) fn need(&self, need: Requirement<'_>) -> Option<usize> {
        match need {
            Requirement::Stage(kind, model) => self.models.get(&kind)?.get(model).copied(),
            Requirement::Service(name) => self.services.get(name).copied(),
        }
    }

    /// The candidate list of a need in a zone.
    pub(super) fn list_index(&self, need: usize, zone: usize) -> usize {
        need * self.zones.len() + zone
    }

    /// The key of the target with this name and address, if it is in this table.
    pub(super) fn matching_key(&self, name: &TargetName, address: SocketAddr) -> Option<TargetKey> {
        let key = self.key(name)?;
        (self.target(key)?.address == address).then_some(key)
    }

    fn insert(&mut self, key: TargetKey, entry: TargetEntry) {
        self.by_name.insert(entry.name.clone(), key);
        self.targets[key.0 as usize] = Some(entry);
    }

    fn candidate_lists(&mut self, target: &Target, zone: ZoneKey) -> Vec<usize> {
        let mut lists: Vec<usize> = match &target.role {
            Role::Engine(kind) => target
                .loaded
                .iter()
                .map(|model| {
                    let next = self.needs;
                    let known = self.models.entry(*kind).or_default();
                    let need = *known.entry(model.clone()).or_insert(next);
                    self.needs = self.needs.max(need + 1);
                    need
                })
                .collect(),
            Role::Service(name) => {
                let next = self.needs;
                let need = *self.services.entry(name.clone()).or_insert(next);
                self.needs = self.needs.max(need + 1);
                vec![need]
            }
        };
        lists.sort_unstable();
        lists.dedup();
        lists
            .into_iter()
            .map(|need| self.list_index(need, zone.0 as usize))
            .collect()
    }
}

/// Builds the zone list. Zones keep their keys, so that the keys in local drains and earlier
/// choices stay valid. A removed zone is kept as draining.
fn merge_zones(config: &Config, previous: &Table) -> Vec<ZoneEntry> {
    let mut zones = previous.zones.clone();
    for zone in &mut zones {
        zone.state = State::Draining;
    }
    for (name, zone) in &config.zones {
        let entry = ZoneEntry {
            name: name.clone(),
            state: zone.state,
            on_partition: zone.on_partition,
        };
        match zones.iter_mut().find(|known| known.name == *name) {
            Some(known) => *known = entry,
            None => zones.push(entry),
        }
    }
    zones
}

/// The outlier detection group of a target: its role and its loaded models.
fn group_of(target: &Target) -> Group<'_> {
    let mut loaded: Vec<&ModelRef> = target.loaded.iter().collect();
    loaded.sort_unstable();
    match &target.role {
        Role::Engine(kind) => (Some(*kind), None, loaded),
        Role::Service(name) => (None, Some(name), loaded),
    }
}
