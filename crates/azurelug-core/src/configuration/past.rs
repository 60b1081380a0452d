//! The values that accepted patches replaced, from which earlier versions are rebuilt.
//!
//! Only replaced values are stored, because a copy of every version would need memory for the whole
//! configuration with each patch. No decision may depend on this state: members that started with
//! an earlier release have fewer values.

use std::collections::VecDeque;

use azurelug_types::config::{Account, Config, Entry, Model, Pipeline, Service, Target, Zone};
use azurelug_types::id::{
    AccountName, DaemonName, ModelName, PipelineName, ServiceName, TargetName, Version, ZoneName,
};
use azurelug_types::patch::Change;
use serde::{Deserialize, Serialize};

/// Number of versions before the one in force that can be rebuilt.
pub const KEPT_VERSIONS: usize = 512;

/// Maximum number of replaced values over all versions. Patches of thousands of changes are rare,
/// but without this limit 512 of them would need more memory than the configuration itself.
pub const KEPT_VALUES: usize = 50_000;

/// The value that a change replaced; none if the change created it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Replaced {
    Zone(ZoneName, Option<Zone>),
    Entry(DaemonName, Option<Entry>),
    Account(AccountName, Option<Account>),
    Model(ModelName, Option<Model>),
    Target(TargetName, Option<(Target, u32)>),
    Pipeline(PipelineName, Option<Pipeline>),
    Service(ServiceName, Option<Service>),
}

/// The data that turns one version back into the previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Undo {
    former: Vec<Replaced>,
    last_target_number: u32,
}

/// The replaced values of the newest versions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplacedValues {
    undos: VecDeque<Undo>,
    values: usize,
}

impl ReplacedValues {
    /// Records the values in `before` that `changes` replace.
    pub fn record(&mut self, before: &Config, changes: &[Change]) {
        let former: Vec<Replaced> = changes
            .iter()
            .map(|change| replaced_value(before, change))
            .collect();
        self.values += former.len();
        self.undos.push_back(Undo {
            former,
            last_target_number: before.last_target_number,
        });
        while self.undos.len() > KEPT_VERSIONS || self.values > KEPT_VALUES {
            let Some(oldest) = self.undos.pop_front() else {
                return;
            };
            self.values -= oldest.former.len();
        }
    }

    /// The oldest version that can be rebuilt from `current`, the version in force.
    pub fn oldest(&self, current: Version) -> Version {
        let kept = u64::try_from(self.undos.len()).unwrap_or(u64::MAX);
        Version(current.0.saturating_sub(kept))
    }

    /// Rebuilds `version` from `current`, the version in force; none if `version` is newer than
    /// that or its replaced values are no longer retained.
    pub fn rebuild(&self, current: &Config, version: Version) -> Option<Config> {
        let behind = usize::try_from(current.version.0.checked_sub(version.0)?).ok()?;
        if behind > self.undos.len() {
            return None;
        }
        let mut config = current.clone();
        for undo in self.undos.iter().rev().take(behind) {
            for former in &undo.former {
                restore_value(&mut config, former);
            }
            config.last_target_number = undo.last_target_number;
        }
        config.version = version;
        Some(config)
    }
}

fn replaced_value(before: &Config, change: &Change) -> Replaced {
    match change {
        Change::SetZone { name, .. } | Change::SetZoneState { name, .. } => {
            Replaced::Zone(name.clone(), before.zones.get(name).cloned())
        }
        Change::SetEntry { name, .. } | Change::RemoveEntry { name } => {
            Replaced::Entry(name.clone(), before.entries.get(name).cloned())
        }
        Change::SetAccount { name, .. } | Change::RemoveAccount { name } => {
            Replaced::Account(name.clone(), before.accounts.get(name).cloned())
        }
        Change::SetModel { name, .. } => {
            Replaced::Model(name.clone(), before.models.get(name).cloned())
        }
        Change::SetTarget { name, .. }
        | Change::SetTargetState { name, .. }
        | Change::RemoveTarget { name } => {
            let target = before.targets.get(name).cloned();
            let number = before.target_numbers.get(name).copied();
            Replaced::Target(name.clone(), target.zip(number))
        }
        Change::SetPipeline { name, .. } | Change::RemovePipeline { name } => {
            Replaced::Pipeline(name.clone(), before.pipelines.get(name).cloned())
        }
        Change::SetService { name, .. } | Change::RemoveService { name } => {
            Replaced::Service(name.clone(), before.services.get(name).cloned())
        }
    }
}

fn restore_value(config: &mut Config, former: &Replaced) {
    fn set<K: Ord + Clone, V: Clone>(
        map: &mut std::collections::BTreeMap<K, V>,
        name: &K,
        value: Option<&V>,
    ) {
        match value {
            Some(value) => map.insert(name.clone(), value.clone()),
            None => map.remove(name),
        };
    }
    match former {
        Replaced::Zone(name, zone) => set(&mut config.zones, name, zone.as_ref()),
        Replaced::Entry(name, entry) => set(&mut config.entries, name, entry.as_ref()),
        Replaced::Account(name, account) => set(&mut config.accounts, name, account.as_ref()),
        Replaced::Model(name, model) => set(&mut config.models, name, model.as_ref()),
        Replaced::Target(name, known) => {
            let (target, number) = known.as_ref().map(|known| (&known.0, &known.1)).unzip();
            set(&mut config.targets, name, target);
            set(&mut config.target_numbers, name, number);
        }
        Replaced::Pipeline(name, pipeline) => set(&mut config.pipelines, name, pipeline.as_ref()),
        Replaced::Service(name, service) => set(&mut config.services, name, service.as_ref()),
    }
}
