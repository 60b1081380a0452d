//! Base shares of targets' limits: the slots that an entry daemon may use without a lease.
//!
//! They depend on the configuration alone, so that a zone continues to serve when its control
//! daemon is lost. Their sum is at most half of the cold limit, which is safe at any time, and at
//! most a quarter of the limit, because no other daemon can use them.

use azurelug_coordination::share;
use azurelug_types::config::{Config, Target};
use azurelug_types::id::{DaemonName, TargetName};

/// The sum of the base shares of a target; 0 if no entry daemon is registered in its zone.
pub fn of_target(config: &Config, target: &Target) -> u32 {
    let has_entries = config
        .entries
        .values()
        .any(|entry| entry.zone == target.zone);
    if has_entries {
        share::Capacity::new(target.limit, target.cold_limit).base
    } else {
        0
    }
}

/// The base share of one entry daemon. The order of the daemons is rotated for each target, so that
/// the remainders are spread over the daemons.
pub fn of_daemon(config: &Config, name: &TargetName, target: &Target, daemon: &DaemonName) -> u32 {
    let mut daemons = config
        .entries
        .iter()
        .filter(|(_, entry)| entry.zone == target.zone);
    let Some(index) = daemons.clone().position(|(known, _)| known == daemon) else {
        return 0;
    };
    let count = u32::try_from(daemons.by_ref().count()).unwrap_or(u32::MAX);
    let number = config.target_numbers.get(name).copied().unwrap_or(0);
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    share::base_share(
        of_target(config, target),
        count,
        (index + number % count) % count,
    )
}
