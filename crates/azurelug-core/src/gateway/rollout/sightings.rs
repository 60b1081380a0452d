//! Versions in the platform's list that no order has named.
//!
//! Load pattern: targets of a new version appear in the list before the order that names them is
//! known, or they replace the old targets one after the other without any order. A version that
//! appears is held until no order for it can be on its way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurelug_types::deployment::Target;
use azurelug_types::id::ServiceName;

use super::state::{Command, Rollouts};

/// Time after which a version that was absent from the list counts as new: several reads of the
/// list, and longer than the targets of a rolled-back version take to drain.
const ABSENCE: Duration = Duration::from_secs(10);

/// When a version was seen in the list.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    /// Since when it has been listed.
    since: Duration,
    last: Duration,
    /// Whether it was rejected when it appeared, after an absence, and has been rejected since. A version
    /// that was rejected while it was listed stays so.
    is_back: bool,
}

/// The versions in the list, as seen during one leadership.
#[derive(Clone, Debug, Default)]
pub struct Sightings {
    versions: BTreeMap<(ServiceName, String), Sighting>,
    began: Option<Duration>,
}

impl Sightings {
    /// Records a list that was just read or received. Returns the versions to allow: at once for a
    /// service of which none is known, after `hold` for others.
    pub fn observe(
        &mut self,
        targets: &[Target],
        rollouts: &Rollouts,
        hold: Duration,
        now: Duration,
    ) -> Vec<Command> {
        let began = *self.began.get_or_insert(now);
        let listed: BTreeSet<(ServiceName, String)> = targets
            .iter()
            .filter(|target| !target.is_leaving)
            .map(|target| (target.service.clone(), target.version.clone()))
            .collect();
        self.versions
            .retain(|key, it| listed.contains(key) || now.saturating_sub(it.last) < ABSENCE);
        let mut commands = Vec::new();
        for key in listed {
            let sighting = self.versions.entry(key.clone()).or_insert(Sighting {
                since: now,
                last: now,
                is_back: now.saturating_sub(began) >= ABSENCE,
            });
            sighting.last = now;
            let (service, version) = key;
            let known = rollouts.service(&service);
            sighting.is_back &= known.is_some_and(|it| it.rejected.contains(&version));
            let is_held = now.saturating_sub(sighting.since) < hold;
            let is_due = match known {
                None => true,
                Some(known) if known.running().is_some() => false,
                Some(known) if known.allowed.is_empty() => true,
                Some(known) if known.allowed.contains(&version) => false,
                Some(known) if known.rejected.contains(&version) => sighting.is_back && !is_held,
                Some(_) => !is_held,
            };
            if is_due {
                commands.push(Command::Admit {
                    after: known.map_or(0, super::state::Service::last_number),
                    service,
                    version,
                });
            }
        }
        commands
    }
}
