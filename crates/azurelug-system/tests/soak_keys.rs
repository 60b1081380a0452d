//! The soak's record of keys: which probes must not run.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::soak::keys::{Credential, Keys, Probe, REVOCATION, Rotated, rotated};
use azurelug_system::soak::operator::configuration;

const SECOND: Duration = Duration::from_secs(1);

/// Versions 1, 2, 3 and 7, acknowledged at as many seconds, of which the last doesn't hold `key-4`.
fn keys() -> (Keys, Rotated) {
    let keys = Keys::default();
    for version in [1_u32, 2, 3, 7] {
        keys.record_sent(version.into());
        keys.record_acknowledged(version.into(), version * SECOND);
    }
    let key = rotated(3).find(|key| key.text() == "key-4").unwrap();
    assert_eq!(key.end(), 5);
    (keys, key)
}

fn probe(credential: Credential, sent: Duration) -> Probe {
    Probe {
        credential,
        gateway: 1,
        target: "GET /look/x".to_owned(),
        is_open: false,
        is_halved: false,
        is_at_suspended: false,
        sent,
    }
}

/// Runs a probe and returns the violations.
fn run(credential: Credential, sent: Duration) -> Vec<String> {
    let (keys, _) = keys();
    keys.record_probe("a", probe(credential, sent));
    keys.check_run("a", "desk-a", sent + SECOND);
    keys.violations()
}

/// Guards against a check that misses late requests, or counts those within the bound.
#[test]
fn a_request_that_is_sent_later_than_the_bound_after_the_removal_may_not_run() {
    let (_, key) = keys();
    let bound = 7 * SECOND + REVOCATION;
    assert!(run(Credential::Rotated(key), bound).is_empty());
    let late = run(Credential::Rotated(key), bound + SECOND / 10);
    assert!(late[0].contains("version 7 without the key"), "{late:?}");
    assert_eq!(run(Credential::Unknown, SECOND).len(), 1);
    assert!(run(Credential::None, bound + SECOND).is_empty());
}

/// Guards against denials that are excused by versions that can't be in force any more, and against
/// violations for denials that a version in force demands.
#[test]
fn a_key_that_all_versions_in_force_hold_may_not_be_denied() {
    let (keys, key) = keys();
    let held = rotated(7).find(|key| key.text() == "key-3").unwrap();
    let cases = [
        ("held", Credential::Rotated(held), 8 * SECOND),
        ("too new", Credential::Rotated(held), 6 * SECOND),
        ("removed", Credential::Rotated(key), 8 * SECOND),
        ("permanent", Credential::Permanent, SECOND),
        ("unknown", Credential::Unknown, SECOND),
    ];
    for (id, credential, sent) in cases {
        keys.record_probe(id, probe(credential, sent));
        keys.check_denied(id);
    }
    let violations = keys.violations();
    assert_eq!(violations.len(), 2, "{violations:?}");
    assert!(violations[0].starts_with("held"), "{violations:?}");
    assert!(violations[1].starts_with("permanent"), "{violations:?}");
}

/// Guards against configurations that give a removed key back, which would excuse its requests.
#[test]
fn a_removed_key_never_returns() {
    let keys_of = |version| {
        let document = configuration(version);
        let keys = document["tenants"][0]["api_keys"].as_array().unwrap();
        keys.iter()
            .map(ToString::to_string)
            .collect::<Vec<String>>()
    };
    let mut removed: Vec<String> = Vec::new();
    for version in 1..100 {
        let (before, after) = (keys_of(version), keys_of(version + 1));
        removed.extend(before.into_iter().filter(|key| !after.contains(key)));
        let returned = after.iter().find(|key| removed.contains(key));
        assert_eq!(returned, None, "version {}", version + 1);
    }
    assert_eq!(removed.len(), 94);
}
