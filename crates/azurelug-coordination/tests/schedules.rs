//! A short, fixed set of seeds for the random schedules. For more seeds, run
//! `cargo run --release --example lease_schedules -- --seeds 0..10000`.

#[path = "support/worlds.rs"]
mod worlds;

use worlds::{
    lease_world, membership_world, once_world, orders_world, rate_world, share_world, sim,
};

fn run_all(run: fn(u64) -> Result<sim::Report, String>, seeds: std::ops::Range<u64>) {
    let mut report = sim::Report::default();
    for seed in seeds {
        match run(seed) {
            Ok(one) => report.add(&one),
            Err(fault) => panic!("{fault}"),
        }
    }
    println!("{} steps, {:?}", report.steps, report.faults);
}

#[test]
fn a_lease_is_never_held_by_two_holders() {
    run_all(lease_world::run, 0..40);
}

#[test]
fn calls_in_flight_never_exceed_a_targets_limit() {
    run_all(share_world::run, 0..16);
}

#[test]
fn a_shared_rate_is_never_exceeded_across_leaders() {
    run_all(rate_world::run, 0..40);
}

#[test]
fn a_call_is_never_sent_twice_or_wrongly_answered_as_not_run() {
    run_all(once_world::run, 0..30);
}

#[test]
fn a_member_with_a_lease_is_never_reported_gone() {
    run_all(membership_world::run, 0..40);
}

#[test]
fn engines_converge_across_leaders_and_get_no_orders_from_a_stale_leader() {
    run_all(orders_world::run, 0..30);
}
