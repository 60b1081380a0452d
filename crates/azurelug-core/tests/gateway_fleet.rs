//! Tests target selection with cold starts, failures, drained zones and popular prompts.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::{
    Bounds, Fleet, Key, Outcome, SelectionError, TargetQuery, Weights,
};
use azurelug_core::gateway::reachability::Reachability;
use azurelug_types::deployment::{Target, TargetNotice};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);

fn target(number: usize) -> Target {
    let zones = ["a", "b", "c"];
    Target {
        name: TargetName(format!("t{number}")),
        service: ServiceName::from("llm"),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: ZoneName::from(zones[number % zones.len()]),
        slots: 16,
        is_leaving: false,
        cold_ms: 0,
        version: String::new(),
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let targets: Vec<Target> = (0..count).map(target).collect();
    fleet.list(&targets, Duration::ZERO);
    fleet
}

struct Request {
    service: ServiceName,
    zone: ZoneName,
    weights: Weights,
    affinity: Option<u64>,
    bounds: Bounds,
}

impl Request {
    fn new(affinity: Option<u64>) -> Self {
        Self {
            service: ServiceName::from("llm"),
            zone: ZoneName::from("a"),
            weights: Weights::default(),
            affinity,
            bounds: Bounds {
                gateways: 7,
                cold_rate: 0.0,
                cold_limit: 0.0,
                slots: None,
            },
        }
    }

    fn place(
        &self,
        fleet: &mut Fleet,
        tried: &[Key],
        now: Duration,
    ) -> Result<Key, SelectionError> {
        let wanted = TargetQuery {
            versions: azurelug_core::gateway::fleet::Versions::Any,
            service: &self.service,
            affinity: self.affinity,
            zone: &self.zone,
            weights: &self.weights,
            tried,
            bounds: self.bounds,
            work: Work::default(),
        };
        fleet.select(&wanted, 0.5, now)
    }
}

/// Guards against an overloaded cold target: however requests bunch at seven independent gateways,
/// no second may exceed the limit.
#[test]
fn a_cold_target_gets_no_more_requests_in_any_second_than_its_limit() {
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut gateways: Vec<Fleet> = (0..7).map(|_| fleet(1)).collect();
        let mut request = Request::new(Some(3));
        request.bounds.cold_rate = 24.0;
        request.bounds.cold_limit = 41.0;
        let mut sent: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(4) {
            now += Duration::from_micros(random.random_range(50..3000));
            let fleet = &mut gateways[random.random_range(0..7)];
            if let Ok(key) = request.place(fleet, &[], now) {
                fleet.finished(key, Outcome::Answered(20 * MS), now);
                sent.push(now);
            }
        }
        for (first, at) in sent.iter().enumerate() {
            let second = sent[first..].iter().take_while(|it| **it < *at + 1000 * MS);
            let count = second.count();
            assert!(
                count <= 41,
                "seed {seed}: {count} requests in the second from {at:?}"
            );
        }
    }
}

/// Guards against a cold target that is overloaded because each of hundreds of gateways sends it
/// one request: 190 requests a second for one prompt prefix, as with a hot key.
#[test]
fn hundreds_of_gateways_send_a_cold_target_no_more_than_its_limit() {
    const GATEWAYS: u64 = 295;
    for seed in 0..5 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut cold = target(0);
        cold.cold_ms = 20_000;
        let mut gateways: Vec<Fleet> = (0..GATEWAYS)
            .map(|number| {
                let mut fleet = Fleet::new(seed * 1000 + number);
                fleet.list(std::slice::from_ref(&cold), Duration::ZERO);
                fleet
            })
            .collect();
        let mut request = Request::new(Some(3));
        request.bounds.gateways = GATEWAYS as usize;
        request.bounds.cold_rate = 15.0;
        request.bounds.cold_limit = 27.5;
        let mut sent: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(10) {
            now += Duration::from_micros(random.random_range(1000..9500));
            let fleet = &mut gateways[random.random_range(0..GATEWAYS as usize)];
            if let Ok(key) = request.place(fleet, &[], now) {
                fleet.finished(key, Outcome::Answered(20 * MS), now);
                sent.push(now);
            }
        }
        let counts = sent.iter().enumerate().map(|(first, at)| {
            let second = sent[first..].iter();
            second.take_while(|it| **it < *at + 1000 * MS).count()
        });
        let most = counts.max().unwrap_or_default();
        assert!(most <= 27, "seed {seed}: {most} requests in a second");
        assert!(
            sent.len() >= 40,
            "seed {seed}: the target got too few requests: {}",
            sent.len()
        );
    }
}

/// Guards against a prompt prefix that is processed again by another target although its preferred
/// one has capacity: two requests of a gateway within a second go to the same target.
#[test]
fn a_warm_target_gets_two_requests_from_one_of_hundreds_of_gateways() {
    let mut fleet = fleet(18);
    let mut request = Request::new(Some(3));
    request.bounds.gateways = 295;
    request.bounds.cold_rate = 15.0;
    request.bounds.cold_limit = 27.5;
    let first = request.place(&mut fleet, &[], MS).unwrap();
    fleet.finished(first, Outcome::Answered(20 * MS), 30 * MS);
    let second = request.place(&mut fleet, &[], 700 * MS).unwrap();
    assert_eq!(first, second);
    fleet.finished(second, Outcome::Answered(20 * MS), 730 * MS);
    let third = request.place(&mut fleet, &[], 900 * MS).unwrap();
    assert_ne!(first, third);
}

/// Guards against requests that fail after a few attempts although most targets are healthy.
/// Targets that have crashed refuse connections immediately, so they appear idle, and each of
/// hundreds of gateways has to detect them separately.
#[test]
fn targets_that_refuse_connections_are_tried_once_by_each_gateway() {
    const COUNT: usize = 128;
    let is_down = |fleet: &Fleet, key: Key| fleet.target(key).name.as_str().ends_with('7');
    let mut random = Pcg64::seed_from_u64(1);
    let (mut failed_attempts, mut max_attempts) = (0, 0);
    for gateway in 0..40 {
        let mut fleet = Fleet::new(gateway);
        fleet.list(&(0..COUNT).map(target).collect::<Vec<_>>(), Duration::ZERO);
        for number in 0..30_u64 {
            let now = 10 * MS * u32::try_from(number).unwrap();
            let mut request = Request::new(Some(random.random_range(0..40)));
            request.bounds.gateways = 295;
            let mut tried = Vec::new();
            loop {
                let key = request.place(&mut fleet, &tried, now).unwrap();
                if !is_down(&fleet, key) {
                    fleet.finished(key, Outcome::Answered(20 * MS), now);
                    break;
                }
                fleet.finished(key, Outcome::Unconnected, now);
                tried.push(key);
            }
            failed_attempts += tried.len();
            max_attempts = max_attempts.max(tried.len());
        }
    }
    // 12 of 128 are down; 30 requests of a gateway in 0.3 s try each of them at most once.
    assert!(
        max_attempts <= 5,
        "{max_attempts} attempts of one request failed"
    );
    assert!(
        failed_attempts <= 40 * 12,
        "{failed_attempts} attempts failed"
    );
}

/// Guards against new work for targets that are leaving, removed or in a drained zone, or that were
/// already tried.
#[test]
fn only_targets_that_may_be_used_are_chosen() {
    let mut fleet = Fleet::default();
    let mut targets: Vec<Target> = (0..6).map(target).collect();
    fleet.list(&targets, Duration::ZERO);
    targets[0].is_leaving = true;
    targets.remove(5);
    fleet.list(&targets, MS);
    fleet.drain(BTreeSet::from([ZoneName::from("b")]));
    let request = Request::new(None);
    let first = request.place(&mut fleet, &[], MS).unwrap();
    let second = request.place(&mut fleet, &[first], MS).unwrap();
    let chosen: HashSet<&str> = [first, second]
        .iter()
        .map(|key| fleet.target(*key).name.as_str())
        .collect();
    // Of six, t0 is leaving, t1 and t4 are in zone b, and t5 is no longer listed.
    assert_eq!(chosen, HashSet::from(["t2", "t3"]));
    let third = request.place(&mut fleet, &[first, second], MS);
    assert_eq!(third, Err(SelectionError::None));
}

/// Guards against a prompt prefix that is processed by many targets: independent gateways must send
/// it to the same target, and spill over in the same order.
#[test]
fn gateways_agree_on_the_targets_of_a_prompt_prefix() {
    let mut one = fleet(18);
    let mut other = fleet(18);
    for affinity in 0..50 {
        let request = Request::new(Some(affinity));
        let mut taken = Vec::new();
        for _ in 0..6 {
            let left = request.place(&mut one, &[], MS).unwrap();
            let right = request.place(&mut other, &[], MS).unwrap();
            assert_eq!(one.target(left).name, other.target(right).name);
            taken.push((left, right));
        }
        for (left, right) in taken {
            one.finished(left, Outcome::Answered(20 * MS), MS);
            other.finished(right, Outcome::Answered(20 * MS), MS);
        }
    }
}

/// Guards against prefixes that prefer zones regardless of the weights, which follow the number of
/// stage targets.
#[test]
fn zones_get_prefixes_in_proportion_to_their_weights() {
    let fleet = fleet(18);
    let weights = Weights(vec![
        (ZoneName::from("a"), 2.0),
        (ZoneName::from("b"), 2.0),
        (ZoneName::from("c"), 1.0),
    ]);
    let service = ServiceName::from("llm");
    let in_c = (0..3000_u64)
        .filter(|affinity| {
            let home = fleet.home(&service, *affinity, &weights).unwrap();
            home.zone.as_str() == "c"
        })
        .count();
    assert!(
        (450..750).contains(&in_c),
        "{in_c} of 3000 in a zone with a fifth of the total weight"
    );
}

/// Guards against a failing target that still gets its share of requests, and against a recovered
/// target that stays excluded.
#[test]
fn a_target_that_fails_is_excluded_and_tried_again() {
    let mut fleet = fleet(1);
    let request = Request::new(None);
    for _ in 0..2 {
        let key = request.place(&mut fleet, &[], MS).unwrap();
        fleet.finished(key, Outcome::Unreachable, MS);
    }
    let held = request.place(&mut fleet, &[], 2 * MS);
    let Err(SelectionError::Blocked(wait)) = held else {
        panic!("a failed target was not excluded: {held:?}");
    };
    assert!(wait <= Duration::from_secs(1));
    // A single probe request shows whether it has recovered; others wait for its outcome.
    let later = 2 * MS + wait;
    let trial = request.place(&mut fleet, &[], later).unwrap();
    assert!(matches!(
        request.place(&mut fleet, &[], later),
        Err(SelectionError::Blocked(_))
    ));
    fleet.finished(trial, Outcome::Answered(5 * MS), later + MS);
    assert!(request.place(&mut fleet, &[], later + MS).is_ok());
}

/// Guards against a pool that stays excluded for long after all of its targets failed.
#[test]
fn exclusions_grow_but_stay_bounded() {
    let mut fleet = fleet(1);
    let request = Request::new(None);
    let mut now = MS;
    let mut longest = Duration::ZERO;
    for _ in 0..30 {
        match request.place(&mut fleet, &[], now) {
            Ok(key) => fleet.finished(key, Outcome::Unreachable, now),
            Err(SelectionError::Blocked(wait)) => {
                longest = longest.max(wait);
                now += wait;
            }
            Err(other) => panic!("{other:?}"),
        }
    }
    assert!(
        longest > Duration::from_secs(2),
        "the longest exclusion is {longest:?}"
    );
    assert!(
        longest <= Duration::from_secs(8),
        "the longest exclusion is {longest:?}"
    );
}

/// Guards against one gateway that uses all slots of a target that other gateways share.
#[test]
fn a_gateway_takes_no_more_than_its_part_of_a_targets_slots() {
    let mut fleet = fleet(1);
    let request = Request::new(None);
    let taken = (0..100)
        .take_while(|_| request.place(&mut fleet, &[], MS).is_ok())
        .count();
    // 16 slots for 7 gateways, times 1.5 because they rarely all send at the same time.
    assert_eq!(taken, 4);
    assert_eq!(
        request.place(&mut fleet, &[], MS),
        Err(SelectionError::Full { opens_in: None })
    );
}

/// Guards against a reused address: the state of the old target must not apply to the new one.
#[test]
fn a_target_that_reuses_an_address_does_not_inherit_the_state_of_the_old_one() {
    let mut fleet = fleet(1);
    let request = Request::new(None);
    for _ in 0..2 {
        let key = request.place(&mut fleet, &[], MS).unwrap();
        fleet.finished(key, Outcome::Unreachable, MS);
    }
    let mut other = target(0);
    other.name = TargetName("another".to_owned());
    fleet.list(&[other], 2 * MS);
    let key = request.place(&mut fleet, &[], 2 * MS).unwrap();
    assert_eq!(fleet.target(key).name.as_str(), "another");
}

/// Guards against new work for a target that has reported that it is leaving, before the list shows
/// it, and against a restarted target that gets none.
#[test]
fn a_leaving_target_gets_no_new_work_until_its_next_start_is_listed() {
    let mut fleet = fleet(2);
    let request = Request::new(None);
    let leaving = fleet.key(&target(0).name).unwrap();
    let notice = TargetNotice {
        is_leaving: true,
        ..TargetNotice::default()
    };
    assert!(fleet.apply_notice(leaving, notice, MS, MS).is_leaving);
    assert!(
        !fleet.apply_notice(leaving, notice, MS, MS).is_leaving,
        "a repeated notice was reported as new"
    );
    // The list is stale: it still has the target as ready.
    let listed: Vec<Target> = (0..2).map(target).collect();
    fleet.list(&listed, 2 * MS);
    for _ in 0..4 {
        let key = request.place(&mut fleet, &[], 2 * MS).unwrap();
        assert_ne!(key, leaving);
    }
    assert!(!fleet.may_call(&target(0).name, 2 * MS));
    let only = [fleet.key(&target(1).name).unwrap()];
    let none = request.place(&mut fleet, &only, 2 * MS);
    assert_eq!(none, Err(SelectionError::None));
    // It stops and restarts under the same name.
    fleet.list(&listed[1..], 3 * MS);
    fleet.list(&listed, 4 * MS);
    assert!(fleet.may_call(&target(0).name, 4 * MS));
}

/// Guards against requests to targets that have asked for a pause, and against refusals whose retry
/// delay is shorter than the remaining pause.
#[test]
fn closed_targets_get_no_requests_before_they_open() {
    let mut fleet = fleet(2);
    let request = Request::new(None);
    for (number, seconds) in [(0, 3), (1, 2)] {
        let key = fleet.key(&target(number).name).unwrap();
        let notice = TargetNotice {
            unavailable_for: Some(Duration::from_secs(seconds)),
            ..TargetNotice::default()
        };
        let effect = fleet.apply_notice(key, notice, Duration::ZERO, Duration::ZERO);
        assert!(!effect.is_leaving);
    }
    let wait = Duration::from_millis(1500);
    let held = request.place(&mut fleet, &[], 500 * MS);
    assert_eq!(held, Err(SelectionError::Blocked(wait)));
    assert_eq!(fleet.time_until_open(&request.service, 500 * MS), wait);
    assert!(!fleet.may_call(&target(1).name, 1999 * MS));
    let open = request.place(&mut fleet, &[], 2000 * MS).unwrap();
    assert_eq!(fleet.target(open).name, target(1).name);
    assert_eq!(
        fleet.time_until_open(&request.service, 2000 * MS),
        Duration::ZERO
    );
}

/// Guards against a request that is refused because one target is closed for long, although
/// another one is only full and may have room in a moment.
#[test]
fn a_full_target_counts_although_another_one_is_closed() {
    let mut fleet = fleet(2);
    let request = Request::new(None);
    let closed = fleet.key(&target(0).name).unwrap();
    let notice = TargetNotice {
        unavailable_for: Some(Duration::from_secs(3)),
        ..TargetNotice::default()
    };
    fleet.apply_notice(closed, notice, MS, MS);
    let refused =
        std::iter::repeat_with(|| request.place(&mut fleet, &[], 2 * MS)).find_map(Result::err);
    let opens_in = Some(Duration::from_millis(2999));
    assert_eq!(refused, Some(SelectionError::Full { opens_in }));
}

fn address(number: u8) -> std::net::SocketAddr {
    format!("10.2.0.{number}:7000").parse().unwrap()
}

/// Guards against a zone that is treated as unreachable because one of its gateways was killed, and
/// against an unreachable zone that keeps getting requests.
#[test]
fn a_zone_is_unreachable_when_two_of_its_gateways_are_silent_and_none_answers() {
    let zone = ZoneName::from("b");
    let mut reachability = Reachability::default();
    reachability.list([&zone, &zone, &zone].into_iter());
    reachability.record_no_answer(&zone, address(1));
    reachability.record_no_answer(&zone, address(1));
    assert!(
        reachability.unreachable_zones().is_empty(),
        "unreachable after one silent gateway"
    );
    reachability.record_no_answer(&zone, address(2));
    assert!(
        reachability.unreachable_zones().contains(&zone),
        "reachable after two silent gateways"
    );
    reachability.answered(&zone);
    assert!(
        reachability.unreachable_zones().is_empty(),
        "unreachable although a gateway answered"
    );
    reachability.list([].into_iter());
    assert!(
        reachability.unreachable_zones().contains(&zone),
        "reachable although no gateway is listed"
    );
}

/// Guards against requests that each have to detect an unreachable zone, and against a service that
/// has no usable targets because all of them are in that zone.
#[test]
fn targets_of_an_unreachable_zone_are_used_only_if_there_are_no_others() {
    let cut = BTreeSet::from([ZoneName::from("b")]);
    let mut all = fleet(6);
    assert!(all.set_unreachable_zones(cut.clone()));
    assert!(!all.set_unreachable_zones(cut.clone()));
    let request = Request::new(Some(3));
    for _ in 0..20 {
        let key = request.place(&mut all, &[], Duration::ZERO).unwrap();
        assert_ne!(all.target(key).zone, ZoneName::from("b"));
        all.finished(key, Outcome::Unknown, Duration::ZERO);
    }
    let mut only = Fleet::default();
    only.list(&[target(1)], Duration::ZERO);
    only.set_unreachable_zones(cut);
    assert!(request.place(&mut only, &[], Duration::ZERO).is_ok());
}
