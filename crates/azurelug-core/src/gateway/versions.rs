//! The software versions at which streams of each service may have begun.
//!
//! Load pattern: several versions of a service serve side by side, with no order to the system, and
//! every gateway sees the platform's list with another lag. The replicated state holds the versions,
//! and a gateway begins streams only at versions that it has read there. So a gateway that reads the
//! newest state knows every version at which a stream has begun anywhere.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use azurelug_types::deployment::Target;
use azurelug_types::fleet::ServiceVersions;
use azurelug_types::id::ServiceName;
use serde::{Deserialize, Serialize};

/// Time for which a version has to be missing in the platform's list before it is removed: longer than
/// any stream, and than a gateway may use an old list while it is cut off.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Most versions of one service; further ones are not registered until others are removed.
const MAX_VERSIONS: usize = 64;

/// A version of a service.
pub type ServiceVersion = (ServiceName, String);

/// A change of the registry, as stored in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Versions at which streams may begin from now on.
    pub added: Vec<ServiceVersion>,
    /// Versions of which no stream is left.
    pub removed: Vec<ServiceVersion>,
}

/// The versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    services: BTreeMap<ServiceName, BTreeSet<String>>,
}

impl Registry {
    /// Applies a committed change. Returns whether the registry differs after it.
    pub fn apply(&mut self, change: Change) -> bool {
        let mut is_changed = false;
        for (service, version) in change.added {
            let versions = self.services.entry(service).or_default();
            is_changed |= versions.len() < MAX_VERSIONS && versions.insert(version);
        }
        for (service, version) in change.removed {
            if let Some(versions) = self.services.get_mut(&service) {
                is_changed |= versions.remove(&version);
            }
        }
        self.services.retain(|_, versions| !versions.is_empty());
        is_changed
    }

    fn contains(&self, service: &ServiceName, version: &str) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.contains(version))
    }

    /// Returns the number of versions of a service.
    #[must_use]
    pub fn count(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, BTreeSet::len)
    }

    /// Returns the version of a service that has only one.
    #[must_use]
    pub fn only(&self, service: &ServiceName) -> Option<&str> {
        let versions = self.services.get(service).filter(|it| it.len() == 1)?;
        versions.first().map(String::as_str)
    }

    /// Returns the versions for a gateway.
    #[must_use]
    pub fn list(&self) -> Vec<ServiceVersions> {
        let services = self.services.iter();
        let listed = services.map(|(service, versions)| ServiceVersions {
            service: service.clone(),
            versions: versions.iter().cloned().collect(),
        });
        listed.collect()
    }
}

/// Decides which versions are added and removed, from the platform's list. Only the leader of the log
/// has one, and starts anew with each leadership.
#[derive(Debug, Default)]
pub struct Watch {
    /// Since when registered versions are missing in the list.
    missing_since: HashMap<ServiceVersion, Duration>,
}

impl Watch {
    /// Compares the list with the registry. Returns none if nothing is to be changed.
    pub fn change(
        &mut self,
        targets: &[Target],
        registry: &Registry,
        now: Duration,
    ) -> Option<Change> {
        let listed: BTreeSet<(&ServiceName, &str)> = targets
            .iter()
            .map(|target| (&target.service, target.version.as_str()))
            .collect();
        let mut change = Change::default();
        for &(service, version) in &listed {
            let has_room = registry.count(service) < MAX_VERSIONS;
            if has_room && !registry.contains(service, version) {
                change.added.push((service.clone(), version.to_owned()));
            }
        }
        let registered = registry.services.iter();
        let registered = registered
            .flat_map(|(service, versions)| versions.iter().map(move |version| (service, version)));
        let missing: Vec<ServiceVersion> = registered
            .filter(|(service, version)| !listed.contains(&(*service, version.as_str())))
            .map(|(service, version)| (service.clone(), version.clone()))
            .collect();
        self.missing_since
            .retain(|known, _| missing.contains(known));
        for version in missing {
            let since = *self.missing_since.entry(version.clone()).or_insert(now);
            if now >= since + RETENTION {
                change.removed.push(version);
            }
        }
        (change != Change::default()).then_some(change)
    }
}
