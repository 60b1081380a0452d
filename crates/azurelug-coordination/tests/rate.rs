//! Tests of the shared rate. Random schedules are in `schedules.rs`.

use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::rate::{Grantor, Holder, LeaseTimes, Rate};
use azurelug_coordination::share::Limits;

const RATE: Rate = Rate {
    per_second: 101,
    window: Duration::from_secs(1),
};
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_secs(2),
    leader_lease: Duration::from_secs(1),
};
const NO_LEASE_END: Duration = Duration::MAX;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn grantor_and_holder() -> (Grantor, Holder) {
    let grantor = Grantor::new(at(0), 1, RATE, LEASE_TIMES, Limits::default());
    let mut holder = Holder::new(
        at(0),
        Identity {
            id: 1,
            incarnation: 1,
        },
        RATE,
        LEASE_TIMES,
    );
    holder.set_demand(1_000);
    (grantor, holder)
}

fn renew(grantor: &mut Grantor, holder: &mut Holder, now: Duration) {
    let request = holder.request(now);
    let answer = grantor
        .request(now, NO_LEASE_END, &request)
        .expect("a leader answers");
    holder.answer(now, &answer);
}

#[test]
fn a_new_leader_does_not_grant_before_the_leader_lease_and_the_holders_lease_end() {
    let (mut grantor, mut holder) = grantor_and_holder();
    renew(&mut grantor, &mut holder, at(3_079));
    assert_eq!(grantor.exposed(), 0);
    renew(&mut grantor, &mut holder, at(3_080));
    // The rate, reduced by the bound on clock drift.
    assert_eq!(grantor.exposed(), 100);
}

#[test]
fn a_leader_whose_lease_has_ended_does_not_grant() {
    let (mut grantor, mut holder) = grantor_and_holder();
    let request = holder.request(at(4_000));
    assert!(grantor.request(at(4_000), at(4_000), &request).is_none());
}

#[test]
fn tokens_from_before_a_lease_gap_are_not_spent() {
    let (mut grantor, mut holder) = grantor_and_holder();
    renew(&mut grantor, &mut holder, at(4_000));
    assert!(!holder.spend(at(4_000), 1));
    assert!(holder.spend(at(4_500), 50));
    assert!(!holder.spend(at(4_500), 1));
    // At most 100 tokens accumulate before the lease ends at 6 s.
    assert!(!holder.spend(at(5_900), 101));
    // The grantor has removed the holder and requests its need first.
    renew(&mut grantor, &mut holder, at(6_990));
    renew(&mut grantor, &mut holder, at(7_000));
    assert!(!holder.spend(at(7_000), 1));
    // At most one window of tokens accumulates.
    assert!(!holder.spend(at(8_990), 101));
    assert!(holder.spend(at(8_990), 100));
}
