//! What the fleet knows of the limits that targets name, and the permits for requests to them.

use std::time::Duration;

use azurelug_types::id::TargetName;
use azurelug_types::rate::Rate;

use super::{Fleet, Key};
use crate::gateway::limits;

impl Fleet {
    /// Takes over what another daemon knows of a target's limit. Returns whether the limit has
    /// changed.
    pub fn learn_limit(&mut self, key: Key, knowledge: limits::Knowledge) -> bool {
        self.records[key.0 as usize].limit.merge(knowledge)
    }

    /// Returns what is known of a target's limit.
    #[must_use]
    pub fn limit_knowledge(&self, key: Key) -> limits::Knowledge {
        self.records[key.0 as usize].limit
    }

    /// Returns the targets whose limits are known, or were known before they ended.
    pub fn limits(&self) -> impl Iterator<Item = (&TargetName, limits::Knowledge)> {
        let listed = self.records.iter().filter(|record| record.is_listed);
        let known = listed.filter(|record| record.limit != limits::Knowledge::default());
        known.map(|record| (&record.target.name, record.limit))
    }

    /// Uses a permit for a request to a target.
    ///
    /// # Errors
    /// The number of permits to ask for, if there is none and the target has a limit.
    pub fn take_permit(&mut self, key: Key, now: Duration) -> Result<(), u32> {
        let record = &mut self.records[key.0 as usize];
        if record.limit.permitted(now).is_none() || record.permits.take(now) {
            return Ok(());
        }
        Err(record.permits.wanted(now))
    }

    /// Adds permits for a target and uses one of them.
    pub fn add_permits(&mut self, key: Key, granted: u32, now: Duration) {
        self.records[key.0 as usize].permits.add(granted, now);
    }

    /// Records that there is no permit for a target before `until`.
    pub fn deny_permits(&mut self, key: Key, until: Duration) {
        self.records[key.0 as usize].permits.deny(until);
    }

    /// Returns the limit that a target has named for the requests from all gateways.
    #[must_use]
    pub fn limit(&self, name: &TargetName) -> Option<Rate> {
        let key = self.key(name)?;
        self.records[key.0 as usize].limit.in_force()
    }
}
