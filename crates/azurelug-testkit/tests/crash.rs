//! Tests of the check of requests that crash targets.

use std::time::Duration;

use azurelug_testkit::crash::{Answered, Cause, Identity, Ledger, Request, Violation};
use azurelug_testkit::outage::Outages;

const MS: Duration = Duration::from_millis(1);

fn identity(body: &str) -> Identity {
    Identity {
        method: "POST".to_owned(),
        path: "/talk/x".to_owned(),
        account: "carts".to_owned(),
        body: body.as_bytes().to_vec(),
    }
}

/// A ledger in which the part `d` crashes a target every 500 ms from second 2 on, and the fifth
/// crash is at second 4.
fn ledger() -> Ledger {
    let mut ledger = Ledger::new(Cause::Part("d".to_owned()));
    for number in 0..6 {
        ledger.record_crash((2000 + number * 500) * MS);
    }
    ledger
}

fn request(sent: Duration, part: &str, has_begun: bool) -> Request {
    Request {
        gateway: "a".to_owned(),
        sent,
        route: "talk".to_owned(),
        identity: identity(part),
        parts: vec!["base".to_owned(), part.to_owned()],
        is_sound: part != "d",
        has_begun,
    }
}

/// Records `count` sound requests from `start` on, of which the first `begun` are answered.
fn record_sound(ledger: &mut Ledger, start: u32, begun: u32, count: u32) {
    for number in 0..count {
        let sent = (start + number) * MS;
        ledger.record_request(request(sent, "s", number < begun));
    }
}

/// Guards against a check that misses a request too many, or whose bounds are off by one.
#[test]
fn one_request_too_many_after_the_fifth_crash_is_found() {
    let mut ledger = ledger();
    // The last moment that is allowed, and then the three requests that are.
    for at in [6999, 7000, 7001, 7002, 9000] {
        ledger.record_arrival("a", at * MS);
    }
    assert_eq!(ledger.violations(&Outages::default()), []);
    ledger.record_arrival("b", 20_000 * MS);
    let gateways = vec![("a".to_owned(), 3), ("b".to_owned(), 1)];
    let expected = Violation::Arrivals {
        crashes: 5,
        count: 4,
        gateways,
    };
    assert_eq!(ledger.violations(&Outages::default()), [expected]);
}

/// Guards against a check that counts requests which are allowed: those of gateways out of contact,
/// and all of them before the fifth crash.
#[test]
fn requests_out_of_contact_and_before_the_fifth_crash_are_allowed() {
    let mut late = ledger();
    let mut early = Ledger::new(Cause::Part("d".to_owned()));
    for number in 0..4 {
        early.record_crash((2000 + number * 500) * MS);
    }
    for number in 0..100 {
        late.record_arrival("a", (8000 + number) * MS);
        early.record_arrival("a", (8000 + number) * MS);
    }
    assert_eq!(early.violations(&Outages::default()), []);
    let (mut own, mut others, mut all) = <(Outages, Outages, Outages)>::default();
    own.record("a", 8000 * MS, 9000 * MS);
    others.record("b", 8000 * MS, 9000 * MS);
    all.record_all(8000 * MS, 9000 * MS);
    assert_eq!(late.violations(&own), []);
    assert_eq!(late.violations(&all), []);
    assert_eq!(late.violations(&others).len(), 1);
}

/// Guards against a check that misses sound requests which are answered less than half as often.
#[test]
fn sound_requests_that_are_answered_too_rarely_are_found() {
    let before = Answered { begun: 20, all: 20 };
    for (begun, is_broken) in [(10, false), (9, true)] {
        let mut ledger = ledger();
        record_sound(&mut ledger, 1000, 20, 20);
        ledger.record_request(request(1500 * MS, "d", false));
        // Not counted: twice the time of contact has not passed.
        record_sound(&mut ledger, 9000, 0, 900);
        record_sound(&mut ledger, 10_000, begun, 20);
        ledger.record_request(request(11_000 * MS, "d", false));
        // Not counted: no request with the part comes any more.
        record_sound(&mut ledger, 11_001, 0, 900);
        let during = Answered {
            begun: begun as usize,
            all: 20,
        };
        let expected = Violation::Unanswered { during, before };
        let violations = ledger.violations(&Outages::default());
        assert_eq!(violations.contains(&expected), is_broken, "{violations:?}");
    }
}

/// Guards against a check that counts requests which share neither the account nor the first part,
/// those of other routes and those with another part that crashes targets, and against one that
/// ignores a time after fewer than five crashes.
#[test]
fn only_related_sound_requests_count() {
    let mut ledger = Ledger::new(Cause::Part("d".to_owned()));
    ledger.record_crash(2000 * MS);
    record_sound(&mut ledger, 1000, 20, 20);
    ledger.record_request(request(1500 * MS, "d", false));
    ledger.record_request(request(9000 * MS, "d", false));
    let sound = request(8000 * MS, "s", false);
    let with_other_first = || vec!["other".to_owned()];
    for number in 0..20 {
        let sent = (8000 + number) * MS;
        let unrelated = Request {
            sent,
            identity: Identity {
                account: "another".to_owned(),
                ..identity("s")
            },
            parts: with_other_first(),
            ..sound.clone()
        };
        let other_route = Request {
            sent,
            route: "look".to_owned(),
            ..sound.clone()
        };
        let unsound = Request {
            sent,
            is_sound: false,
            ..sound.clone()
        };
        for request in [unrelated, other_route, unsound] {
            ledger.record_request(request);
        }
    }
    assert_eq!(ledger.violations(&Outages::default()), []);
    for number in 0..20 {
        let sent = (8000 + number) * MS;
        ledger.record_request(Request {
            sent,
            parts: with_other_first(),
            ..sound.clone()
        });
    }
    assert_eq!(ledger.violations(&Outages::default()).len(), 1);
}

/// Guards against a check of whole requests that allows a fourth crash, as for parts.
#[test]
fn one_whole_request_too_many_after_the_third_crash_is_found() {
    let mut ledger = Ledger::new(Cause::Request(identity("d")));
    for number in 0..3 {
        ledger.record_crash((2000 + number * 500) * MS);
    }
    assert_eq!(ledger.known_from(), Some(6000 * MS));
    for at in [5999, 6000, 6001, 6002, 6003] {
        ledger.record_arrival("a", at * MS);
    }
    assert_eq!(ledger.violations(&Outages::default()), []);
    ledger.record_arrival("b", 20_000 * MS);
    let expected = Violation::Arrivals {
        crashes: 3,
        count: 4,
        gateways: vec![("a".to_owned(), 3), ("b".to_owned(), 1)],
    };
    assert_eq!(ledger.violations(&Outages::default()), [expected]);
}

/// Guards against a check that takes a sound request for the one that crashes targets because most
/// of its identity is the same, and against one that counts related requests only.
#[test]
fn sound_requests_that_differ_in_one_field_count() {
    let deadly = identity("d");
    let others = [
        Identity {
            method: "GET".to_owned(),
            ..deadly.clone()
        },
        Identity {
            path: "/talk/x?2".to_owned(),
            ..deadly.clone()
        },
        Identity {
            account: "tolls".to_owned(),
            ..deadly.clone()
        },
        identity("e"),
    ];
    let mut ledger = Ledger::new(Cause::Request(deadly.clone()));
    ledger.record_crash(2000 * MS);
    let record = |ledger: &mut Ledger, at: u32, other: &Identity, has_begun| {
        ledger.record_request(Request {
            identity: other.clone(),
            parts: Vec::new(),
            is_sound: *other != deadly,
            ..request(at * MS, "s", has_begun)
        });
    };
    for number in 0..20 {
        for (index, other) in others.iter().enumerate() {
            record(&mut ledger, 1000 + number, other, true);
            // Two of the four are refused, which is still allowed.
            record(&mut ledger, 8000 + number, other, index < 2);
        }
    }
    record(&mut ledger, 1500, &deadly, false);
    record(&mut ledger, 9000, &deadly, false);
    assert_eq!(ledger.violations(&Outages::default()), []);
    record(&mut ledger, 8500, &others[3], false);
    let expected = Violation::Unanswered {
        during: Answered { begun: 40, all: 81 },
        before: Answered { begun: 80, all: 80 },
    };
    assert_eq!(ledger.violations(&Outages::default()), [expected]);
}
