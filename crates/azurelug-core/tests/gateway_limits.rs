//! Tests of the limits that targets name for the requests from all gateways together.
#![allow(clippy::unwrap_used)]

#[path = "support/limit_model.rs"]
mod limit_model;

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::limits::{
    Decision, Grantor, HANDOVER, Knowledge, LIFETIME, RAMP_UP, Rota, Standing, Stock,
};
use azurelug_types::deployment::LimitNotice;
use azurelug_types::fleet::Peer;
use azurelug_types::id::{DaemonName, TargetName, ZoneName};
use azurelug_types::rate::Rate;
use limit_model::{Condition, Model};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Numbers of gateways, from the smallest deployment to the largest.
const GATEWAYS: [usize; 3] = [9, 71, 295];

fn rate(per_second: f64) -> Rate {
    Rate::from_per_second(per_second).unwrap()
}

/// Guards against shares of a limit that vanish or multiply with the number of gateways.
#[test]
fn any_number_of_gateways_uses_a_limit_and_does_not_exceed_it() {
    for count in GATEWAYS {
        for limit in [0.3, 2.2, 30.0] {
            let mut model = Model::new(count, 1);
            // Every gateway is told the limit in the first seconds.
            model.set_limit(Some(limit));
            model.run(5 * SECOND, 2000.0);
            let before = model.sent;
            let span = 20 * SECOND;
            model.run(span, 10.0 + 4.0 * limit);
            let used = (model.sent - before) as f64;
            let allowed = limit * span.as_secs_f64();
            assert_eq!(model.ledger.violations(), [], "{count} gateways, {limit}/s");
            // One request more or less belongs to the edges of the span.
            assert!(
                (0.85 * allowed - 1.0..=1.15 * allowed + 1.0).contains(&used),
                "{count} gateways use {used} of {allowed} requests"
            );
        }
    }
}

/// Guards against gateways that together exceed a limit while they disagree on who grants the
/// permits: they are killed, restarted and cut off, and learn of it late.
#[test]
fn gateways_that_disagree_on_the_grantor_do_not_exceed_a_limit() {
    for count in GATEWAYS {
        for seed in 0..4 {
            let mut random = Pcg64::seed_from_u64(seed);
            let limit = [0.3, 2.2, 12.0, 60.0][seed as usize];
            let mut model = Model::new(count, seed);
            model.run(2 * SECOND, 100.0);
            model.set_limit(Some(limit));
            model.run(2 * SECOND, 1000.0);
            let mut faulty = Vec::new();
            for _ in 0..16 {
                let condition = [
                    Condition::Down,
                    Condition::WithoutControl,
                    Condition::Isolated,
                ][random.random_range(0..3)];
                let number = model.pick();
                model.set_condition(number, condition);
                faulty.push(number);
                let span = random.random_range(100..2500);
                model.run(Duration::from_millis(span), 20.0 + 4.0 * limit);
                if faulty.len() > 2 {
                    let number = faulty.remove(random.random_range(0..faulty.len()));
                    model.set_condition(number, Condition::Sound);
                }
            }
            let violations = model.ledger.violations();
            let worst = violations.iter().max_by_key(|it| it.count);
            assert_eq!(worst, None, "{count} gateways, seed {seed}, {limit}/s");
        }
    }
}

/// Guards against a target that gets nothing for long after its grantor has died or was cut off.
#[test]
fn the_second_choice_grants_permits_while_the_first_is_silent() {
    for condition in [Condition::Down, Condition::Isolated] {
        let mut model = Model::new(9, 3);
        model.set_limit(Some(5.0));
        model.run(4 * SECOND, 200.0);
        let first = std::iter::repeat_with(|| model.pick())
            .find(|number| number % 3 == 0)
            .unwrap();
        model.set_condition(first, condition);
        let before = model.sent;
        model.run(2 * SECOND, 200.0);
        assert!(model.sent - before >= 2, "{condition:?}");
        model.run(2 * SECOND, 200.0);
        let before = model.sent;
        model.run(4 * SECOND, 200.0);
        let used = model.sent - before;
        assert!(used >= 18, "{condition:?}: {used} of 20");
        assert_eq!(model.ledger.violations(), []);
    }
}

/// Guards against a limited target that gets nothing, or too much, while no gateway has contact with
/// the control daemons.
#[test]
fn gateways_without_control_daemons_share_a_limit() {
    let mut model = Model::new(9, 7);
    model.set_limit(Some(10.0));
    model.run(4 * SECOND, 200.0);
    for number in 0..9 {
        model.set_condition(number, Condition::WithoutControl);
    }
    model.run(2 * SECOND, 200.0);
    let before = model.sent;
    model.run(10 * SECOND, 200.0);
    let used = model.sent - before;
    assert!((30..=150).contains(&used), "{used} of 100");
    assert_eq!(model.ledger.violations(), []);
}

/// Guards against a limit that stays in force after the target has ended it, and against an answer
/// from before the limit that ends it.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut knowledge = Knowledge::default();
    assert!(knowledge.observe(LimitNotice::Limited(rate(2.0)), 900 * MS, SECOND));
    assert!(!knowledge.observe(LimitNotice::Unlimited, 990 * MS, 1100 * MS));
    assert!(!knowledge.observe(LimitNotice::Unknown, 1050 * MS, 1100 * MS));
    assert_eq!(knowledge.in_force(), Some(rate(2.0)));
    assert!(knowledge.observe(LimitNotice::Limited(rate(0.5)), 1100 * MS, 1200 * MS));
    assert!(knowledge.observe(LimitNotice::Unlimited, 1300 * MS, 1400 * MS));
    assert_eq!(knowledge.in_force(), None);
    let older = Knowledge {
        rate: Some(rate(2.0)),
        is_ended: false,
        as_of: 1300 * MS,
    };
    assert!(!knowledge.merge(older));
    let newer = Knowledge {
        as_of: 1500 * MS,
        ..older
    };
    assert!(knowledge.merge(newer));
    let mut model = Model::new(9, 1);
    model.set_limit(Some(2.0));
    model.run(5 * SECOND, 200.0);
    model.set_limit(None);
    // One gateway needs a permit for the request whose answer ends the limit.
    model.run(SECOND + RAMP_UP, 200.0);
    let before = model.sent;
    model.run(2 * SECOND, 200.0);
    assert!(model.sent - before >= 390, "{}", model.sent - before);
}

/// Guards against a burst from all gateways on a false report that a limit has ended.
#[test]
fn the_rate_grows_slowly_after_the_end_of_a_limit() {
    let mut knowledge = Knowledge::default();
    knowledge.observe(LimitNotice::Limited(rate(2.0)), SECOND, SECOND);
    knowledge.observe(LimitNotice::Unlimited, 2 * SECOND, 2 * SECOND);
    assert_eq!(knowledge.permitted(2 * SECOND), Some(rate(2.0)));
    assert_eq!(knowledge.permitted(4 * SECOND), Some(rate(8.0)));
    assert_eq!(knowledge.permitted(2 * SECOND + RAMP_UP), None);
    assert!(knowledge.observe(LimitNotice::Limited(rate(1.0)), 5 * SECOND, 5 * SECOND));
    assert_eq!(knowledge.permitted(9 * SECOND), Some(rate(1.0)));
}

/// Guards against a limit that rises and falls with each answer and is exceeded by its highest
/// value, and against one so low that no request is ever sent.
#[test]
fn a_limit_that_changes_with_each_answer_is_kept() {
    let mut model = Model::new(71, 5);
    let mut random = Pcg64::seed_from_u64(5);
    for _ in 0..200 {
        model.set_limit(Some(random.random_range(0.0..8.0)));
        model.run(100 * MS, 60.0);
    }
    assert_eq!(model.ledger.violations(), []);
    let before = model.sent;
    model.set_limit(Some(0.0));
    model.run(40 * SECOND, 60.0);
    assert!((3..=16).contains(&(model.sent - before)));
}

fn peers(count: u8) -> Arc<[Peer]> {
    let peer = |number: u8| Peer {
        name: DaemonName::from(format!("gateway-{number}").as_str()),
        zone: ZoneName::from(if number.is_multiple_of(2) { "a" } else { "b" }),
        address: ([10, 0, 0, number], 7700).into(),
        capacity: 100,
    };
    (0..count).map(peer).collect()
}

/// Guards against a gateway that grants a whole limit although an earlier grantor may still do so,
/// and against grantors outside the target's zone.
#[test]
fn a_new_first_choice_grants_a_whole_limit_only_after_the_handover() {
    let (target, zone) = (TargetName::from("target"), ZoneName::from("a"));
    let mut rota = Rota::default();
    let all = peers(10);
    rota.replace(Arc::clone(&all), Duration::ZERO);
    let grantors = rota.grantors(&target, &zone);
    assert_eq!(grantors.len(), 2);
    assert!(grantors.iter().all(|peer| peer.zone == zone));
    let second = grantors[1].name.clone();
    let share = |rota: &Rota, has_contact, now| {
        let standing = rota.standing(&second, &target, &zone, has_contact, now);
        standing.as_ref().and_then(Standing::share)
    };
    assert!(share(&rota, true, 9 * SECOND).unwrap() < 0.5);
    let rest: Arc<[Peer]> = all
        .iter()
        .filter(|it| **it != grantors[0])
        .cloned()
        .collect();
    rota.replace(rest, 10 * SECOND);
    assert!(share(&rota, true, 10 * SECOND + HANDOVER - MS).unwrap() < 0.5);
    assert_eq!(share(&rota, true, 10 * SECOND + HANDOVER), Some(1.0));
    assert!(share(&rota, false, 10 * SECOND + HANDOVER).unwrap() < 0.5);
    // While it was cut off, another gateway may have become the first choice.
    rota.regain_contact(20 * SECOND);
    assert!(share(&rota, true, 20 * SECOND + HANDOVER - MS).unwrap() < 0.5);
    assert_eq!(share(&rota, true, 20 * SECOND + HANDOVER), Some(1.0));
    let far = rota.grantors(&target, &ZoneName::from("nowhere"));
    assert_eq!(
        far.len(),
        2,
        "a zone without gateways has grantors elsewhere"
    );
}

/// Guards against permits that are used long after they were granted, and against one request for
/// permits for each request at a high rate.
#[test]
fn permits_expire_and_are_asked_for_in_batches_at_a_high_rate() {
    let mut grantor = Grantor::default();
    let mut stock = Stock::default();
    let target = TargetName::from("target");
    let (mut asked, mut sent) = (0, 0);
    for step in 0..4000_u32 {
        let now = SECOND + MS * step;
        if stock.take(now) {
            sent += 1;
            continue;
        }
        if stock.denied_until(now).is_some() {
            continue;
        }
        asked += 1;
        match grantor.grant(&target, rate(200.0), 1.0, stock.wanted(now), now) {
            Decision::Granted(count) => {
                stock.add(count, now);
                sent += 1;
            }
            Decision::Denied(wait) => stock.deny(now + wait),
        }
    }
    assert!((700..=850).contains(&sent), "{sent}");
    assert!(
        asked < sent,
        "{asked} requests for permits for {sent} requests"
    );
    let now = 10 * SECOND;
    stock.add(5, now);
    assert!(stock.has_permit(now + LIFETIME - MS));
    assert!(!stock.take(now + LIFETIME));
}

/// Guards against a new grantor that grants a burst right after another one has granted it.
#[test]
fn a_grantor_begins_without_permits() {
    let mut grantor = Grantor::default();
    let target = TargetName::from("target");
    let mut granted = 0;
    for step in 0..40_u32 {
        let now = SECOND + 10 * MS * step;
        let decision = grantor.grant(&target, rate(2.0), 1.0, 8, now);
        granted += u32::from(matches!(decision, Decision::Granted(_)));
    }
    assert_eq!(granted, 0, "granted within 0.4 s at a rate of 2/s");
    let decision = grantor.grant(&target, rate(2.0), 1.0, 8, 1500 * MS);
    assert_eq!(decision, Decision::Granted(1));
}
