//! Tests property P5: `not_run` in a refusal is always true.

use azurelug_core::outcome::ExecutionTracker;
use azurelug_types::outcome::Execution;

/// Guards against `not_run` after a byte may have been sent.
#[test]
fn a_request_that_was_sent_is_never_reported_as_not_run() {
    let mut tracker = ExecutionTracker::default();
    assert_eq!(tracker.execution(), Execution::NotRun);
    tracker.about_to_send();
    assert_eq!(tracker.execution(), Execution::Unknown);
    tracker.was_not_sent();
    assert_eq!(tracker.execution(), Execution::NotRun);
    tracker.about_to_send();
    tracker.about_to_send();
    tracker.was_not_sent();
    assert_eq!(
        tracker.execution(),
        Execution::Unknown,
        "one of two calls was sent"
    );
}

/// Guards against an answered request that is reported as unknown, or as not run after a late
/// `was_not_sent`.
#[test]
fn an_answered_request_is_done() {
    let mut tracker = ExecutionTracker::default();
    tracker.about_to_send();
    tracker.answered();
    tracker.was_not_sent();
    assert_eq!(tracker.execution(), Execution::Done);
}
