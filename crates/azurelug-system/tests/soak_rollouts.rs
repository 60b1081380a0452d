//! The soak's checks of roll-outs.

use std::time::Duration;

use azurelug_system::soak::rollouts::{Arrival, Progress, Rollouts};

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time)
}

/// A request to a version at a time in seconds, from gateway 0.
fn arrival(version: u8, at: f64) -> Arrival {
    Arrival {
        version,
        id: format!("{version}-{at}"),
        gateway: Some(0),
        at: seconds(at),
    }
}

/// Roll-outs with an acknowledged order for version 2 at 1 s, and with 20 requests a second to version 1.
fn ordered(is_bad: bool, until: f64) -> Rollouts {
    let rollouts = Rollouts::default();
    let count = (until * 20.0) as u32;
    for number in 0..count {
        rollouts.record_arrival(arrival(1, f64::from(number) / 20.0));
    }
    rollouts.record_order(2, is_bad, seconds(1.0));
    rollouts.record_acknowledged(2, seconds(1.2));
    rollouts
}

/// Records an end of version 2 that is read at a time.
fn end(rollouts: &Rollouts, progress: Progress, at: f64) {
    rollouts.record_read(rollouts.known(), Some((2, progress)), seconds(at));
}

/// Guards against requests to a version that no order names, or before its order, that pass the check.
#[test]
fn requests_to_a_version_without_an_order_are_found() {
    let rollouts = ordered(false, 3.0);
    rollouts.record_arrival(arrival(2, 1.1));
    assert!(rollouts.violations().is_empty());
    rollouts.record_arrival(arrival(2, 0.9));
    rollouts.record_arrival(arrival(101, 2.0));
    assert_eq!(rollouts.violations().len(), 2);
}

/// Guards against requests long after the 50th bad answer that pass the check, and against faults that do
/// not extend the time.
#[test]
fn requests_long_after_the_50th_bad_answer_are_found() {
    let with_answers = |count: u32, has_control_fault: bool| {
        let rollouts = ordered(true, 40.0);
        for number in 0..count {
            rollouts.record_bad_answer(2, seconds(2.0 + f64::from(number) / 100.0));
        }
        if has_control_fault {
            rollouts.record_control_fault(true, seconds(3.0));
            rollouts.record_control_fault(false, seconds(4.0));
        }
        rollouts.record_arrival(arrival(2, 7.4));
        assert!(rollouts.violations().is_empty());
        rollouts.record_arrival(arrival(2, 7.6));
        rollouts.violations().len()
    };
    assert_eq!(with_answers(50, false), 1);
    assert_eq!(with_answers(49, false), 0);
    assert_eq!(with_answers(50, true), 0);
}

/// Guards against requests to rejected versions that pass the check, and against requests of gateways
/// that were not in contact that don't.
#[test]
fn requests_to_a_replaced_or_rolled_back_version_are_found() {
    let later = |progress: Progress, version: u8| {
        let rollouts = ordered(false, 13.0);
        end(&rollouts, progress, 10.0);
        rollouts.record_arrival(arrival(version, 12.9));
        assert!(rollouts.violations().is_empty());
        rollouts.record_arrival(arrival(version, 13.1));
        rollouts.violations().len()
    };
    assert_eq!(later(Progress::Completed, 1), 1);
    assert_eq!(later(Progress::Completed, 2), 0);
    assert_eq!(later(Progress::RolledBack, 2), 1);
    assert_eq!(later(Progress::RolledBack, 1), 0);
    let rollouts = ordered(false, 13.0);
    end(&rollouts, Progress::Completed, 10.0);
    rollouts.start_fault(0, seconds(9.0));
    rollouts.end_fault(0, seconds(12.0));
    rollouts.record_arrival(arrival(1, 14.9));
    assert!(rollouts.violations().is_empty());
    rollouts.record_arrival(arrival(1, 15.1));
    assert_eq!(rollouts.violations().len(), 1);
}

/// Guards against a bad version with too many requests that passes the check, and against repeats that
/// count as requests.
#[test]
fn too_many_requests_to_a_bad_version_are_found() {
    // 200 requests come to version 1 after the order.
    let with_sends = |count: u32, is_bad: bool| {
        let rollouts = ordered(is_bad, 11.0);
        (0..count).for_each(|_| rollouts.record_arrival(arrival(2, 10.9)));
        rollouts.violations().len()
    };
    assert_eq!(with_sends(70, true), 0);
    assert_eq!(with_sends(71, true), 1);
    assert_eq!(with_sends(71, false), 0);
}

/// Guards against reads that are older than what was acknowledged or read before, and against versions
/// that no order names.
#[test]
fn reads_of_an_older_roll_out_are_found() {
    let reads = |known: Option<(u8, Option<Progress>)>, read: Option<(u8, Progress)>| {
        let rollouts = ordered(false, 2.0);
        rollouts.record_read(known, read, seconds(3.0));
        rollouts.violations().len()
    };
    let running = Some((2, Progress::Running));
    let completed = Some(Progress::Completed);
    assert_eq!(reads(None, None), 0);
    assert_eq!(reads(Some((2, None)), running), 0);
    assert_eq!(
        reads(Some((2, completed)), Some((2, Progress::Completed))),
        0
    );
    assert_eq!(reads(Some((2, None)), None), 1);
    assert_eq!(reads(Some((3, None)), running), 1);
    assert_eq!(reads(Some((2, completed)), running), 1);
    assert_eq!(reads(Some((2, None)), Some((9, Progress::Running))), 1);
}
