//! Runs the example programs.
#![allow(clippy::unwrap_used)]

#[path = "../examples/replicated_counter.rs"]
mod replicated_counter;
#[path = "../examples/shared_limit.rs"]
mod shared_limit;

/// Guards against an example that no longer shows how to carry out the log's actions.
#[test]
fn the_replicated_counter_does_not_lose_commands_in_a_crash_or_power_failure() {
    assert_eq!(replicated_counter::run().unwrap(), [60, 60, 60]);
}

/// Guards against an example that no longer shows when a silent client's slots are freed.
#[test]
fn the_shared_limit_is_not_kept_by_a_silent_client() {
    let report = shared_limit::run();
    assert_eq!((report.shared, report.silent, report.alone), ([4, 4], 4, 8));
}
