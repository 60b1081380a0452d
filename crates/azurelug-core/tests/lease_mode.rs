//! Tests how the lease mode follows from the age of the configuration lease.

use std::time::Duration;

use azurelug_core::lease_mode::Mode;
use azurelug_types::config::OnPartition::{Refuse, ServeLocal};

/// Guards against new calls in a zone that was drained more than 3 s ago while the daemon was
/// partitioned, and against calls before the first configuration.
#[test]
fn a_lease_ends_two_seconds_after_its_renewal_was_sent() {
    let sent = Some(Duration::from_secs(10));
    let last = Duration::from_millis(11_999);
    let expired = Duration::from_secs(12);
    for policy in [ServeLocal, Refuse] {
        assert_eq!(Mode::at(sent, policy, last), Mode::Normal);
        assert_eq!(Mode::at(None, policy, last), Mode::Refuse);
    }
    assert_eq!(Mode::at(sent, ServeLocal, expired), Mode::Degraded);
    assert_eq!(Mode::at(sent, Refuse, expired), Mode::Refuse);
}
