//! Tests of the check of targets' limits.

use std::time::Duration;

use azurelug_testkit::limit::Ledger;

const MS: Duration = Duration::from_millis(1);

/// A target that names 2 requests a second from second 1, and a gateway that passes that on at
/// once.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.set_limit(Some(2.0), 1000 * MS);
    ledger.record_told("a", 1000 * MS);
    ledger
}

/// Guards against a check that misses a window with too many requests, or whose bound is off by
/// one.
#[test]
fn a_window_with_one_request_too_many_is_found() {
    let mut allowed = ledger();
    let mut exceeded = ledger();
    // 1.5 * 2 * 4 + 5 = 17.
    for number in 0..17 {
        allowed.record_arrival("a", (5000 + number * 200) * MS);
        exceeded.record_arrival("a", (5000 + number * 200) * MS);
    }
    exceeded.record_arrival("a", 8999 * MS);
    allowed.record_arrival("a", 9000 * MS);
    assert_eq!(allowed.violations(), []);
    let found = exceeded.violations();
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].count, found[0].allowed), (18, 17));
    assert_eq!(found[0].gateways, [("a".to_owned(), 18)]);
}

/// Guards against a check that counts requests which are allowed: those of gateways that don't
/// know the limit or were excused, and those after its end.
#[test]
fn requests_of_uninformed_gateways_and_after_the_end_of_the_limit_are_allowed() {
    let mut ledger = ledger();
    ledger.excuse("a", 5000 * MS, 6000 * MS);
    for number in 0..100 {
        ledger.record_arrival("b", (5000 + number * 10) * MS);
        ledger.record_arrival("a", (5000 + number * 10) * MS);
    }
    assert_eq!(ledger.violations(), []);
    ledger.set_limit(None, 7000 * MS);
    for number in 0..100 {
        ledger.record_arrival("a", (7000 + number * 10) * MS);
    }
    assert_eq!(ledger.violations(), []);
}
