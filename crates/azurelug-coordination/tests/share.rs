//! Tests of leased shares. Random schedules are in `schedules.rs`.

use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{
    Answer, Capacity, Grantor, Holder, Limits, Refusal, Timing, base_share,
};

const OPEN_MS: u64 = 15_000;
const LONGEST_CALL: Duration = Duration::from_secs(12);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn grantor(capacity: Capacity) -> Grantor {
    let mut grantor = Grantor::new(at(0), 1, Timing::default(), Limits::default());
    assert!(grantor.set_capacity(7, capacity));
    grantor
}

fn holder(id: u64) -> Holder {
    Holder::new(at(0), Identity { id, incarnation: 1 }, Timing::default())
}

fn ask(grantor: &mut Grantor, holder: &mut Holder, now: u64) -> Option<Answer> {
    let request = holder.request(at(now));
    grantor.request(at(now), &request, &mut Vec::new())
}

/// Renews the lease without message delay.
fn renew(grantor: &mut Grantor, holder: &mut Holder, now: u64) -> Answer {
    let answer = ask(grantor, holder, now).expect("a renewal in order is answered");
    holder.answer(&answer);
    answer
}

#[test]
fn base_shares_add_up_to_half_the_cold_limit() {
    let shares: Vec<u32> = (0..4).map(|index| base_share(7, 4, index)).collect();
    assert_eq!(shares, [2, 2, 2, 1]);
    assert_eq!((base_share(7, 0, 0), base_share(7, 4, 4)), (0, 0));
}

/// Guards against large base shares of idle daemons, which a daemon with waiting calls cannot use.
#[test]
fn base_shares_do_not_exceed_a_quarter_of_the_limit() {
    assert_eq!(Capacity::new(8, 8).leased(), 6);
    assert_eq!(Capacity::new(30, 4).base, 2);
}

#[test]
fn a_started_grantor_does_not_grant_before_a_lease_and_the_longest_call_have_ended() {
    let mut grantor = grantor(Capacity::new(10, 4));
    let mut first = holder(1);
    first.set_demand(7, 5);
    renew(&mut grantor, &mut first, 14_189);
    assert_eq!(first.allowed(at(14_189), 7), 0);
    renew(&mut grantor, &mut first, 14_190);
    assert_eq!(first.allowed(at(14_190), 7), 8);
    assert_eq!(first.allowed(at(16_190), 7), 0);
}

#[test]
fn a_started_daemon_does_not_use_its_base_share_before_earlier_calls_end() {
    let mut first = holder(1);
    first.set_base(7, 2);
    first.request(at(12_169));
    assert_eq!(
        (first.allowed(at(12_169), 7), first.is_base_settled(7)),
        (0, false)
    );
    first.request(at(12_170));
    assert_eq!(
        (first.allowed(at(12_170), 7), first.is_base_settled(7)),
        (2, true)
    );
}

#[test]
fn contended_slots_follow_demand_and_leave_one_for_each_holder() {
    let mut grantor = grantor(Capacity {
        limit: 30,
        cold: 0,
        base: 0,
    });
    let mut holders: Vec<Holder> = (0..3).map(holder).collect();
    for (holder, wanted) in holders.iter_mut().zip([100, 50, 1]) {
        holder.set_demand(7, wanted);
    }
    for round in 0..4 {
        for holder in &mut holders {
            renew(&mut grantor, holder, OPEN_MS + round * 500);
        }
    }
    let slots: Vec<u32> = holders
        .iter()
        .map(|h| h.allowed(at(OPEN_MS + 1_500), 7))
        .collect();
    // One each, and 27 more in the ratio 99 : 49 : 0.
    assert_eq!(slots, [19, 9, 1]);
}

#[test]
fn holders_do_not_starve_when_there_are_fewer_slots() {
    let mut grantor = grantor(Capacity {
        limit: 1,
        cold: 0,
        base: 0,
    });
    let mut holders: Vec<Holder> = (0..3).map(holder).collect();
    let mut slots_held = [0; 3];
    for round in 0..60 {
        for (id, holder) in holders.iter_mut().enumerate() {
            holder.set_demand(7, 50 - id as u32);
            let now = OPEN_MS + round * 500;
            renew(&mut grantor, holder, now);
            slots_held[id] += holder.allowed(at(now), 7);
        }
    }
    assert!(
        slots_held.iter().all(|&count| count >= 10),
        "slots held: {slots_held:?}"
    );
}

#[test]
fn slots_of_a_silent_holder_are_freed_only_after_its_calls_end() {
    let mut grantor = grantor(Capacity {
        limit: 4,
        cold: 0,
        base: 0,
    });
    let mut silent = holder(1);
    silent.set_demand(7, 4);
    renew(&mut grantor, &mut silent, OPEN_MS);
    // Its requests arrive and the answers are lost, so the lease is not renewed.
    for round in 1..60 {
        let now = OPEN_MS + round * 500;
        ask(&mut grantor, &mut silent, now);
        // Acknowledged once, at 0.5 s. The last answer with slots is sent at 2.5 s,
        // and its lease and calls have ended 14.19 s later.
        assert_eq!(
            grantor.exposed(7),
            if now < OPEN_MS + 17_000 { 4 } else { 0 },
            "at {now}"
        );
    }
}

#[test]
fn reported_slots_are_freed_at_once_and_not_withheld_until_the_lease_ends() {
    let mut grantor = grantor(Capacity {
        limit: 4,
        cold: 0,
        base: 0,
    });
    let (mut first, mut second) = (holder(1), holder(2));
    first.set_demand(7, 4);
    renew(&mut grantor, &mut first, OPEN_MS);
    second.set_demand(7, 4);
    renew(&mut grantor, &mut second, OPEN_MS);
    let slot = first
        .start(at(OPEN_MS), 7, LONGEST_CALL)
        .expect("a granted slot is free");
    first.set_demand(7, 0);
    renew(&mut grantor, &mut first, OPEN_MS + 500);
    assert_eq!(grantor.exposed(7), 4);
    renew(&mut grantor, &mut first, OPEN_MS + 1_000);
    assert_eq!(grantor.exposed(7), 1);
    first.end(slot);
    renew(&mut grantor, &mut first, OPEN_MS + 1_500);
    renew(&mut grantor, &mut first, OPEN_MS + 2_000);
    assert_eq!(grantor.exposed(7), 0);
}

#[test]
fn a_cold_target_gets_only_the_base_share_until_its_cold_start_is_acknowledged() {
    let mut grantor = grantor(Capacity::new(20, 6));
    let mut first = holder(1);
    first.set_base(7, 3);
    first.set_demand(7, 20);
    renew(&mut grantor, &mut first, OPEN_MS);
    assert_eq!(first.allowed(at(OPEN_MS), 7), 20);
    let before = ask(&mut grantor, &mut first, OPEN_MS + 100).expect("in order");
    first.report_cold_start(7);
    first.answer(&before);
    assert_eq!(first.allowed(at(OPEN_MS + 100), 7), 3);
    let request = first.request(at(OPEN_MS + 200));
    let mut cold = Vec::new();
    let answer = grantor
        .request(at(OPEN_MS + 200), &request, &mut cold)
        .expect("in order");
    first.answer(&answer);
    assert_eq!(cold, [7]);
    assert_eq!(first.allowed(at(OPEN_MS + 200), 7), 6);
}

#[test]
fn a_renewal_does_not_carry_unchanged_targets() {
    let mut grantor = grantor(Capacity::new(20, 6));
    let mut first = holder(1);
    first.set_demand(7, 5);
    renew(&mut grantor, &mut first, OPEN_MS);
    renew(&mut grantor, &mut first, OPEN_MS + 500);
    let request = first.request(at(OPEN_MS + 1_000));
    let answer = grantor
        .request(at(OPEN_MS + 1_000), &request, &mut Vec::new())
        .expect("in order");
    assert_eq!(
        (request.needs.len(), answer.slots.len(), answer.full),
        (0, 0, false)
    );
}

#[test]
fn a_removed_holder_gets_no_slots_before_it_reports_all_its_needs_again() {
    let mut grantor = grantor(Capacity::new(20, 6));
    let mut first = holder(1);
    first.set_demand(7, 5);
    renew(&mut grantor, &mut first, OPEN_MS);
    renew(&mut grantor, &mut first, OPEN_MS + 500);
    // The holder was suspended for longer than the settling time, so the grantor
    // has removed it with its needs.
    let answer = renew(&mut grantor, &mut first, OPEN_MS + 20_000);
    assert_eq!(
        (
            answer.heard,
            answer.full,
            first.allowed(at(OPEN_MS + 20_000), 7)
        ),
        (0, true, 0)
    );
    renew(&mut grantor, &mut first, OPEN_MS + 20_500);
    assert_eq!(first.allowed(at(OPEN_MS + 20_500), 7), 17);
}

#[test]
fn state_and_calls_do_not_exceed_their_limits() {
    let limits = Limits {
        holders: 2,
        targets: 1,
    };
    let mut grantor = Grantor::new(at(0), 1, Timing::default(), limits);
    assert!(grantor.set_capacity(7, Capacity::new(9, 0)));
    assert!(!grantor.set_capacity(8, Capacity::new(9, 0)));
    for id in 0..3 {
        let answer = ask(&mut grantor, &mut holder(id), OPEN_MS);
        assert_eq!(answer.is_some(), id < 2);
    }
    grantor.advance(at(OPEN_MS + 14_200));
    assert_eq!(grantor.holders(), 0);
    let longer = LONGEST_CALL + at(1);
    assert_eq!(holder(1).start(at(0), 7, longer), Err(Refusal::TooLong));
    assert_eq!(
        holder(1).start(at(0), 7, LONGEST_CALL),
        Err(Refusal::NoSlot)
    );
}
