//! Tests the retry and hedge budgets.

use std::time::Duration;

use azurelug_core::retry::{Budget, Denied, FailedCall, SlowCall};

const FAILURE: FailedCall = FailedCall {
    idempotent: true,
    attempts: 1,
    remaining: Duration::from_secs(5),
    needed: Duration::from_secs(1),
};

const SLOW: SlowCall = SlowCall {
    idempotent: true,
    has_tokens: false,
    waited: Duration::from_secs(1),
    p95: Duration::from_secs(1),
};

/// Guards against retries that multiply the load of a stage that has begun to fail.
#[test]
fn the_budget_bounds_the_load_of_a_failing_stage() {
    let mut budget = Budget::default();
    (0..10_000).for_each(|_| budget.success());
    let retries = (0..1_000).filter(|_| budget.retry(FAILURE).is_ok()).count();
    // Only the saved retries, although 10% of the earlier successes would be 1,000.
    assert_eq!(retries, 20);
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.success();
        retries += (0..5).filter(|_| budget.retry(FAILURE).is_ok()).count();
    }
    assert_eq!(retries, 103);
    assert_eq!(budget.granted(), (103, 0));
}

/// Guards against a repeated side effect, such as a second charge.
#[test]
fn a_non_idempotent_call_is_never_repeated() {
    let mut budget = Budget::default();
    (0..1_000).for_each(|_| budget.success());
    let once = FailedCall {
        idempotent: false,
        ..FAILURE
    };
    assert_eq!(budget.retry(once), Err(Denied::NotIdempotent));
    let once = SlowCall {
        idempotent: false,
        ..SLOW
    };
    assert_eq!(budget.hedge(once), Err(Denied::NotIdempotent));
}

/// Guards against retries that cannot succeed, and against charging the budget for denied ones.
#[test]
fn a_retry_that_cannot_succeed_is_denied_and_costs_no_budget() {
    let mut budget = Budget::default();
    let late = FailedCall {
        remaining: Duration::from_millis(999),
        ..FAILURE
    };
    let third = FailedCall {
        attempts: 3,
        ..FAILURE
    };
    for _ in 0..100 {
        assert_eq!(budget.retry(late), Err(Denied::Deadline));
        assert_eq!(budget.retry(third), Err(Denied::Attempts));
    }
    assert_eq!(budget.retry(FAILURE), Ok(()));
}

/// Guards against hedging that noticeably increases the load.
#[test]
fn hedges_stay_within_two_percent_and_are_denied_for_stages_with_tokens() {
    let mut budget = Budget::default();
    let mut hedges = 0;
    for _ in 0..5_000 {
        budget.success();
        hedges += usize::from(budget.hedge(SLOW).is_ok());
    }
    assert_eq!(hedges, 100);
    (0..50).for_each(|_| budget.success());
    let tokens = SlowCall {
        has_tokens: true,
        ..SLOW
    };
    assert_eq!(budget.hedge(tokens), Err(Denied::HasTokens));
    let early = SlowCall {
        waited: Duration::from_millis(999),
        ..SLOW
    };
    assert_eq!(budget.hedge(early), Err(Denied::TooEarly));
    assert_eq!(budget.hedge(SLOW), Ok(()));
}
