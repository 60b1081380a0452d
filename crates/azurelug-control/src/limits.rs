//! The limits that targets name, as gateways report them. They are not replicated in the log:
//! gateways that lose contact learn a limit from the target's next answer.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::gateway::limits::CLOCK_START;
use azurelug_types::fleet::TargetLimit;
use azurelug_types::id::TargetName;
use azurelug_types::rate::Rate;

/// Time for which the end of a limit is reported, and a limit of a target that is not listed. All
/// gateways learn of it within a few polls.
const RETENTION: Duration = Duration::from_secs(30);

/// Minimum difference in age of two reports of the same limit for the newer one to replace the
/// other.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Most targets whose limits are kept.
const MAX_LIMITS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Known {
    rate: Rate,
    is_ended: bool,
    /// Time on the clock of [`Limits`].
    as_of: Duration,
}

/// The limits by target.
#[derive(Debug, Default)]
pub struct Limits {
    clock: Clock,
    entries: HashMap<TargetName, Known>,
}

impl Limits {
    fn now(&self) -> Duration {
        CLOCK_START + self.clock.elapsed()
    }

    /// Takes over reports that are newer than what is known here.
    pub fn merge(&mut self, reports: Vec<TargetLimit>) {
        let now = self.now();
        for report in reports {
            let age = Duration::from_millis(report.age_ms);
            let Some(as_of) = now.checked_sub(age) else {
                continue;
            };
            let TargetLimit { rate, is_ended, .. } = report;
            let is_newer = match self.entries.get(&report.target) {
                // Each transfer makes a report appear a little newer.
                Some(known) if (known.rate, known.is_ended) == (rate, is_ended) => {
                    known.as_of + REFRESH_INTERVAL < as_of
                }
                Some(known) => known.as_of < as_of,
                None => self.entries.len() < MAX_LIMITS,
            };
            if is_newer {
                let known = Known {
                    rate,
                    is_ended,
                    as_of,
                };
                self.entries.insert(report.target, known);
            }
        }
    }

    /// Removes old entries of targets for which `is_listed` is false, and of limits that ended.
    pub fn prune(&mut self, is_listed: impl Fn(&TargetName) -> bool) {
        let now = self.now();
        self.entries.retain(|target, known| {
            let is_in_force = !known.is_ended && is_listed(target);
            is_in_force || now.saturating_sub(known.as_of) < RETENTION
        });
    }

    /// The limits in force and those that have ended, with their ages.
    pub fn reports(&self) -> Vec<TargetLimit> {
        let now = self.now();
        let entries = self.entries.iter();
        let reports = entries.map(|(target, known)| TargetLimit {
            target: target.clone(),
            rate: known.rate,
            is_ended: known.is_ended,
            age_ms: u64::try_from(now.saturating_sub(known.as_of).as_millis()).unwrap_or(u64::MAX),
        });
        reports.collect()
    }
}
