//! A short fixed set of seeded schedules. Guards against lost or contradicting entries, two leaders
//! in a term, stale reads, and clusters that do not recover.

#[path = "support/schedule.rs"]
mod schedule;

#[test]
fn no_schedule_of_the_fixed_set_contradicts_the_single_copy() {
    for seed in 0..300 {
        if let Err(failure) = schedule::run(seed) {
            panic!("{failure}");
        }
    }
}
