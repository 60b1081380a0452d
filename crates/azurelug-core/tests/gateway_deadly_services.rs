//! Tests of the quarantine for requests that crash targets of several services, or beside others.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::limits::Rota;
use azurelug_core::gateway::quarantine::{CLOCK_START, Crash, Quarantine, Status, Verdict};
use azurelug_types::fleet::{PartKey, Peer};
use azurelug_types::id::{DaemonName, ZoneName};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Most sends of a request later than the contact time after its third crash.
const MAX_LATE_SENDS: usize = 3;

/// Time within which all gateways learn of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn request(service: u64) -> PartKey {
    PartKey::request(service, 42)
}

fn at(seconds: u32) -> Duration {
    CLOCK_START + SECOND * seconds
}

/// Crashes targets of a service at these seconds.
fn crash_targets(quarantine: &mut Quarantine, key: PartKey, seconds: &[u32]) {
    for second in seconds {
        let crash = Crash {
            target: key.service * 1000 + u64::from(*second),
            at: at(*second),
        };
        quarantine.record_crash(&[key], crash, crash.at);
    }
}

/// Repeats a request that crashes each target for an hour; returns the late sends.
fn late_sends(interval: Duration, service_of: impl Fn(u32) -> u64) -> Vec<Duration> {
    let mut quarantine = Quarantine::default();
    let mut sends = Vec::new();
    let steps = (Duration::from_secs(3600).as_millis() / interval.as_millis()) as u32;
    for step in 0..steps {
        let now = CLOCK_START + interval * step;
        let keys = [request(service_of(step))];
        match quarantine.check(&keys, now) {
            Verdict::Allowed => {}
            Verdict::ProbeDue(keys) if quarantine.grant_probe(&keys, now) => {
                quarantine.record_probe(&keys, now);
            }
            Verdict::ProbeDue(_) | Verdict::Refused(_) => continue,
        }
        let crash = Crash {
            target: 100 + u64::from(step),
            at: now + 50 * MS,
        };
        quarantine.record_crash(&keys, crash, crash.at);
        sends.push(crash.at);
    }
    assert!(sends.len() >= 3, "{sends:?}");
    let contact = sends[2] + CONTACT_TIME;
    let late = sends.into_iter().filter(|sent| *sent > contact);
    late.map(|sent| sent - CLOCK_START).collect()
}

/// Guards against a request that crashes targets of each service anew, because routes have several
/// services or configurations move them.
#[test]
fn crashes_at_several_services_count_for_one_request() {
    let mut failures = Vec::new();
    for interval in [500, 1300, 5000] {
        let interval = MS * interval;
        let moved = |step: u32| 1 + (interval * step).as_secs() / 5;
        for (name, late) in [
            ("1 service", late_sends(interval, |_| 1)),
            (
                "2 services",
                late_sends(interval, |step| 1 + u64::from(step % 2)),
            ),
            (
                "3 services",
                late_sends(interval, |step| 1 + u64::from(step % 3)),
            ),
            ("a moved route", late_sends(interval, moved)),
        ] {
            if late.len() > MAX_LATE_SENDS {
                let count = late.len();
                failures.push(format!("{name}, each {interval:?}: {count} late sends"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a sound service that is refused the requests that crash others, and against its
/// answers that clear them there.
#[test]
fn progress_clears_a_request_at_its_own_service_only() {
    let mut quarantine = Quarantine::default();
    crash_targets(&mut quarantine, request(1), &[0, 1, 2, 3]);
    assert_eq!(quarantine.status(&request(3), at(4)), Status::Clear);
    crash_targets(&mut quarantine, request(2), &[4]);
    let statuses = |quarantine: &Quarantine, now| {
        [1, 2, 3].map(|service| quarantine.status(&request(service), now))
    };
    assert_eq!(statuses(&quarantine, at(5)), [Status::Accused; 3]);
    let Verdict::ProbeDue(probed) = quarantine.check(&[request(3)], at(20)) else {
        panic!("no probe at a service without a record");
    };
    quarantine.record_probe(&probed, at(20));
    for service in [1, 2, 3] {
        let verdict = quarantine.check(&[request(service)], at(40));
        assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    }
    quarantine.record_progress(&[request(3)], at(41));
    let mut other = Quarantine::default();
    other.merge(&quarantine.changes_since(0, at(42)).reports, at(42));
    let expected = [Status::Accused, Status::Accused, Status::Clear];
    for mut quarantine in [quarantine, other] {
        assert_eq!(statuses(&quarantine, at(43)), expected);
        quarantine.prune(at(3600));
        assert_eq!(statuses(&quarantine, at(3600)), expected);
        quarantine.prune(at(25 * 3600));
        assert_eq!(quarantine.record_count(), 0);
    }
}

/// Guards against gateways that grant probes of the same request for different services.
#[test]
fn a_request_has_one_owner_at_all_services() {
    let peer = |number: usize| Peer {
        name: DaemonName(format!("gw-{number}")),
        zone: ZoneName("a".to_owned()),
        address: "127.0.0.1:1".parse().unwrap(),
        capacity: 100,
    };
    let mut rota = Rota::default();
    let peers: Arc<[Peer]> = (0..9).map(peer).collect();
    rota.replace(peers, SECOND);
    let owner = rota.owner(&request(1)).unwrap();
    for service in 2..30 {
        assert_eq!(rota.owner(&request(service)).unwrap(), owner);
        let own = rota.owns(&owner.name, &request(service), true, 9 * SECOND);
        assert!(own, "service {service}");
    }
}

/// Guards against a sound request that is refused for long because it was pending at the targets
/// that a deadly one crashed, or at a single target that crashes by itself.
#[test]
fn a_request_that_may_be_sound_has_an_early_probe() {
    let key = |number| PartKey::request(1, number);
    let record = |quarantine: &mut Quarantine, numbers: &[u64], target, second| {
        let crash = Crash {
            target,
            at: at(second),
        };
        let keys: Vec<PartKey> = numbers.iter().map(|number| key(*number)).collect();
        for key in keys {
            quarantine.record_crash(&[key], crash, crash.at);
        }
    };
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        record(&mut quarantine, &[1, 2], u64::from(second), second);
        record(&mut quarantine, &[3], 50, second);
        record(&mut quarantine, &[4], 60 + u64::from(second), second);
    }
    for number in 1..=4 {
        let verdict = quarantine.check(&[key(number)], at(3));
        assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    }
    let is_due = |quarantine: &Quarantine, number, second| {
        quarantine.check(&[key(number)], at(second)) == Verdict::ProbeDue(vec![key(number)])
    };
    let due = [1, 2, 3, 4].map(|number| is_due(&quarantine, number, 4));
    assert_eq!(due, [true, true, true, false]);
    // Request 1 is deadly, and request 2 is not.
    quarantine.record_probe(&[key(1)], at(4));
    record(&mut quarantine, &[1], 70, 4);
    quarantine.record_probe(&[key(2)], at(4));
    quarantine.record_progress(&[key(2)], at(5));
    assert_eq!(quarantine.check(&[key(2)], at(5)), Verdict::Allowed);
    assert!(!is_due(&quarantine, 1, 18));
    let mut probes = 1;
    for second in 18..10_000 {
        if is_due(&quarantine, 1, second) {
            quarantine.record_probe(&[key(1)], at(second));
            record(&mut quarantine, &[1], 100 + u64::from(second), second);
            probes += 1;
        }
    }
    assert!(probes <= MAX_LATE_SENDS, "{probes} probes");
}
