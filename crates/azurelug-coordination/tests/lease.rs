//! Tests of leases. Random schedules are in `schedules.rs`.

use std::time::Duration;

use azurelug_coordination::lease::{Grantor, Holder, Identity, Reply, drift_safe_wait};

const TERM: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn holder(id: u64) -> Holder {
    Holder::new(Identity { id, incarnation: 1 })
}

/// Requests or renews the lease without message delay; returns whether it was granted.
fn renew(grantor: &mut Grantor, holder: &mut Holder, now: Duration) -> bool {
    let request = holder.request(now);
    match grantor.request(now, request) {
        Reply::Granted(grant) => {
            holder.grant(&grant);
            true
        }
        Reply::Unavailable { .. } => false,
    }
}

#[test]
fn a_lease_is_not_granted_before_drift_and_margin_have_passed() {
    assert_eq!(drift_safe_wait(TERM), at(2_070));
    let mut grantor = Grantor::new(at(0), 1, TERM);
    let (mut first, mut second) = (holder(1), holder(2));
    assert!(!renew(&mut grantor, &mut first, at(2_069)));
    assert!(renew(&mut grantor, &mut first, at(2_070)));
    assert!(first.fence(at(4_069)).is_some());
    assert!(first.fence(at(4_070)).is_none());
    assert!(!renew(&mut grantor, &mut second, at(4_139)));
    assert!(renew(&mut grantor, &mut second, at(4_140)));
    assert!(second.fence(at(4_141)) > first.fence(at(2_071)));
}

#[test]
fn a_delayed_grant_counts_from_its_request() {
    let mut grantor = Grantor::new(at(0), 1, TERM);
    let mut first = holder(1);
    let request = first.request(at(3_000));
    let Reply::Granted(grant) = grantor.request(at(3_001), request) else {
        panic!("a free lease was not granted");
    };
    // The holder handles the grant only after the lease has ended.
    first.grant(&grant);
    assert!(first.fence(at(5_000)).is_none());
    assert!(first.fence(at(4_999)).is_some());
}

#[test]
fn a_released_lease_is_free_at_once_and_not_renewed_by_a_late_grant() {
    let mut grantor = Grantor::new(at(0), 1, TERM);
    let (mut first, mut second) = (holder(1), holder(2));
    assert!(renew(&mut grantor, &mut first, at(3_000)));
    let request = first.request(at(3_100));
    let Reply::Granted(late) = grantor.request(at(3_100), request) else {
        panic!("a renewal was refused");
    };
    grantor.release(first.release());
    assert!(renew(&mut grantor, &mut second, at(3_200)));
    first.grant(&late);
    assert!(first.fence(at(3_200)).is_none());
}
