//! Tests the choice of targets by expected cost: engines of different speeds, requests of different
//! length, and services whose targets are even.
#![allow(clippy::unwrap_used)]

#[path = "support/placement_model.rs"]
mod placement_model;

use std::collections::HashMap;
use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::cost::board::Board;
use azurelug_core::gateway::cost::model::Model;
use azurelug_core::gateway::fleet::{Bounds, Fleet, Outcome, Placement, TargetQuery, Weights};
use azurelug_core::gateway::rendezvous;
use azurelug_types::deployment::Target;
use azurelug_types::fleet::TargetSpeed;
use azurelug_types::id::{DaemonName, ServiceName, TargetName, ZoneName};
use placement_model::{Choice, Load, load, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Guards against requests that wait at slow or busy targets while others are free: the choice by
/// costs must be better than both the choice by requests in flight and two random choices.
#[test]
fn uneven_targets_answer_sooner_than_by_requests_in_flight() {
    for gateways in [9, 66, 295] {
        let [in_flight, random, cost] = [Choice::InFlight, Choice::TwoRandom, Choice::Shared]
            .map(|choice| run(&load(gateways, 30.0), choice));
        let p90 = [&in_flight, &random, &cost].map(|report| report.quantile(0.9));
        assert!(
            p90[2] < p90[0] && p90[2] < p90[1],
            "seed 1, {gateways} gateways: 0.9 quantiles of the first event: {p90:?} ms"
        );
        let in_time = [&in_flight, &random, &cost].map(placement_model::Report::share_in_time);
        assert!(
            in_time[2] > in_time[0] && in_time[2] > in_time[1],
            "seed 1, {gateways} gateways: in time: {in_time:?}"
        );
        // With 295 gateways each has 30 outcomes of its own by then.
        assert!(
            cost.uneven * 2 > gateways,
            "seed 1: {} of {gateways} gateways act on speeds",
            cost.uneven
        );
        assert!(
            cost.tokens_read_again * 2 < random.tokens_read_again,
            "seed 1, {gateways} gateways: read again: {} and {} tokens",
            cost.tokens_read_again,
            random.tokens_read_again
        );
    }
}

/// Guards against a choice that changes where targets are even: outcomes are learned and exchanged,
/// and every request goes where it goes without them.
#[test]
fn even_targets_get_the_same_requests_as_without_costs() {
    for (gateways, seed) in [(9, 1), (9, 4), (66, 2), (295, 3)] {
        let load = Load {
            is_even: true,
            seed,
            ..load(gateways, 20.0)
        };
        let [without, with] = [Choice::InFlight, Choice::Shared].map(|choice| run(&load, choice));
        assert_eq!(with.uneven, 0, "seed {seed}, {gateways} gateways");
        assert!(
            with.placed == without.placed,
            "seed {seed}, {gateways} gateways: placements differ"
        );
    }
}

fn targets(count: usize) -> Vec<Target> {
    let zones = ["a", "b", "c"];
    let target = |number: usize| Target {
        name: TargetName(format!("t{number}")),
        service: ServiceName::from("llm"),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: ZoneName::from(zones[number % zones.len()]),
        slots: 16,
        is_leaving: false,
        cold_ms: 0,
        version: String::new(),
    };
    (0..count).map(target).collect()
}

struct Caller {
    fleet: Fleet,
    work: Work,
}

impl Caller {
    fn place(&mut self, affinity: Option<u64>, random: f64, now: Duration) -> Placement {
        let wanted = TargetQuery {
            versions: azurelug_core::gateway::fleet::Versions::Any,
            service: &ServiceName::from("llm"),
            affinity,
            zone: &ZoneName::from("a"),
            weights: &Weights::default(),
            tried: &[],
            bounds: Bounds {
                gateways: 3,
                cold_rate: 0.0,
                cold_limit: 0.0,
                slots: None,
            },
            work: self.work,
        };
        self.fleet.place(&wanted, random, now).unwrap()
    }

    fn answer(&mut self, placed: &Placement, time: Duration, now: Duration) {
        self.fleet.settle(placed, Some(time), now);
        let outcome = Outcome::Answered(time);
        self.fleet.finished(placed.key, outcome, now);
    }
}

/// The cost function as it was before costs of requests were learned.
struct EarlierCost {
    in_flight: u32,
    error_rate: f64,
    mean_response_start_s: f64,
}

impl EarlierCost {
    fn of(&self, target: &Target, affinity: Option<u64>, preference: usize, random: f64) -> f64 {
        // 16 slots for 3 gateways, times 1.5.
        let load = f64::from(self.in_flight) / 8.0;
        let zone = if target.zone.as_str() == "a" {
            0.0
        } else {
            0.4
        };
        let slowness = ((self.mean_response_start_s - 0.25) / 0.25).clamp(0.0, 1.5);
        let locality = match affinity {
            Some(_) => preference as f64 * 0.5,
            None => ((preference as f64 + 1.0) * 0.618 + random).fract() * 0.05,
        };
        load + zone + 0.0 + (self.error_rate * 2.0 + slowness) + locality
    }
}

/// Guards against a changed choice where targets differ by less than the ratio from which speeds
/// count: random requests, answers and errors, against a copy of the earlier cost function.
#[test]
fn targets_of_similar_speed_are_chosen_by_the_earlier_cost_function() {
    for seed in 0..8 {
        let mut random = Pcg64::seed_from_u64(seed);
        let targets = targets(12);
        let mut caller = Caller {
            fleet: Fleet::default(),
            work: Work::default(),
        };
        caller.fleet.list(&targets, Duration::ZERO);
        let mut earlier: Vec<EarlierCost> = (0..12)
            .map(|_| EarlierCost {
                in_flight: 0,
                error_rate: 0.0,
                mean_response_start_s: 0.0,
            })
            .collect();
        let mut running: Vec<(Placement, usize)> = Vec::new();
        for step in 0..4000_u32 {
            let now = SECOND + 7 * MS * step;
            let affinity = random
                .random_bool(0.7)
                .then(|| random.random_range(0..20_u64));
            caller.work = Work {
                shared_tokens: random.random_range(0..9000),
                own_tokens: random.random_range(100..9000),
                output_tokens: 0,
            };
            let mut order: Vec<usize> = (0..12).collect();
            if let Some(affinity) = affinity {
                let weight = |at: &usize| rendezvous::weighted(&affinity, &targets[*at].name, 1.0);
                order.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
            }
            let tie: f64 = random.random();
            let costs = order.iter().enumerate().filter_map(|(preference, at)| {
                let cost = earlier[*at].of(&targets[*at], affinity, preference, tie);
                (earlier[*at].in_flight < 8).then_some((cost, *at))
            });
            let expected = costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).unwrap().1;
            let placed = caller.place(affinity, tie, now);
            let chosen = &caller.fleet.target(placed.key).name;
            assert_eq!(*chosen, targets[expected].name, "seed {seed}, step {step}");
            earlier[expected].in_flight += 1;
            running.push((placed, expected));
            if running.len() < 20 {
                continue;
            }
            let ended = random.random_range(0..running.len());
            let (placed, at) = running.swap_remove(ended);
            let record = &mut earlier[at];
            record.in_flight -= 1;
            if random.random_bool(0.1) {
                record.error_rate += (1.0 - record.error_rate) * 0.15;
                caller.fleet.settle(&placed, None, now);
                caller.fleet.finished(placed.key, Outcome::Error, now);
            } else {
                // Speeds from 1.0 to 1.2 times the usual time.
                let speed = 1.0 + at as f64 * 0.018;
                let time = (300 * MS).mul_f64(speed * random.random_range(0.5..1.5));
                record.error_rate += (0.0 - record.error_rate) * 0.15;
                record.mean_response_start_s +=
                    (time.as_secs_f64() - record.mean_response_start_s) * 0.15;
                caller.answer(&placed, time, now);
            }
        }
        let uneven = caller.fleet.costs().any(|(_, costs)| costs.is_uneven());
        assert!(!uneven, "seed {seed}: speeds of 1.0 to 1.2 count as uneven");
    }
}

/// Lets a gateway learn that every third target takes three times as long.
fn uneven_caller() -> Caller {
    let mut caller = Caller {
        fleet: Fleet::default(),
        work: Work {
            shared_tokens: 1000,
            own_tokens: 1000,
            output_tokens: 0,
        },
    };
    caller.fleet.list(&targets(12), Duration::ZERO);
    let mut random = Pcg64::seed_from_u64(1);
    for step in 0..600_u32 {
        let now = SECOND + 10 * MS * step;
        let placed = caller.place(Some(random.random()), 0.5, now);
        let time = 60 * MS * slowness(&caller, &placed);
        caller.answer(&placed, time.mul_f64(random.random_range(0.8..1.2)), now);
    }
    assert!(caller.fleet.costs().all(|(_, costs)| costs.is_uneven()));
    caller
}

fn slowness(caller: &Caller, placed: &Placement) -> u32 {
    let name = caller.fleet.target(placed.key).name.as_str();
    let number: u32 = name[1..].parse().unwrap();
    if number.is_multiple_of(3) { 3 } else { 1 }
}

/// Guards against requests that stay at slow targets, and against prompt prefixes that are read by
/// several targets because requests with the same prefix leave a slow one for different targets.
#[test]
fn slow_targets_are_left_for_the_next_one_in_the_shared_order() {
    let mut caller = uneven_caller();
    let service = ServiceName::from("llm");
    let weights = Weights::default();
    for affinity in 0..200_u64 {
        let now = SECOND * 8 + 10 * MS * u32::try_from(affinity).unwrap();
        let home = caller.fleet.home(&service, affinity, &weights).unwrap();
        let home = home.name.clone();
        let placed = [0.1, 0.9].map(|random| {
            let placed = caller.place(Some(affinity), random, now);
            caller.fleet.settle(&placed, None, now);
            let outcome = Outcome::Unknown;
            caller.fleet.finished(placed.key, outcome, now);
            placed
        });
        for placed in &placed {
            let is_home = caller.fleet.target(placed.key).name == home;
            assert_eq!(slowness(&caller, placed), 1, "prefix {affinity}");
            assert_eq!(placed.has_left_preferred, !is_home, "prefix {affinity}");
        }
        assert_eq!(placed[0].key, placed[1].key, "prefix {affinity}");
    }
}

/// Guards against the speed of a target that outlives it: after a restart its speed is unknown, and
/// reports of outcomes before it don't count.
#[test]
fn a_restarted_target_has_the_usual_speed() {
    let mut caller = uneven_caller();
    let mut board = Board::default();
    board.record(&caller.fleet.take_speed_reports(8 * SECOND), 8 * SECOND);
    let mut listed = targets(12);
    listed[0].address = "10.0.9.9:80".parse().unwrap();
    caller.fleet.list(&listed, 8 * SECOND);
    for now in [8 * SECOND, 10 * SECOND] {
        caller.fleet.learn_speeds(&board.merged(now), now);
        let placed = caller.place(Some(1), 0.5, now);
        caller.fleet.settle(&placed, None, now);
        caller.fleet.finished(placed.key, Outcome::Unknown, now);
        let costs = caller.fleet.target_costs(now);
        let slowness: HashMap<&str, f64> = costs
            .map(|(target, cost)| (target.name.as_str(), cost.slowness))
            .collect();
        assert_eq!(slowness["t0"], 1.0, "{now:?}: {slowness:?}");
        assert!(slowness["t3"] > 1.5, "{now:?}: {slowness:?}");
    }
}

/// Guards against targets that count as slow for a minute because they were cold.
#[test]
fn answers_of_cold_targets_say_nothing_of_their_speed() {
    let mut caller = Caller {
        fleet: Fleet::default(),
        work: Work::default(),
    };
    let mut listed = targets(12);
    for target in &mut listed {
        target.cold_ms = 60_000;
    }
    caller.fleet.list(&listed, Duration::ZERO);
    for step in 0..100_u32 {
        let now = SECOND + 10 * MS * step;
        let placed = caller.place(Some(u64::from(step)), 0.5, now);
        caller.answer(&placed, 500 * MS, now);
    }
    assert_eq!(caller.fleet.take_speed_reports(3 * SECOND), []);
    assert_eq!(caller.fleet.costs().count(), 0);
}

/// Guards against a fit that a stalled target distorts, and against one that grows without end
/// because a quantity is always 0.
#[test]
fn the_expected_time_follows_the_tokens_despite_stalls() {
    let mut model = Model::default();
    let mut random = Pcg64::seed_from_u64(1);
    let time = |work: &Work| 0.02 + (work.own_tokens + work.shared_tokens / 10) as f64 / 80_000.0;
    for count in 0..20_000 {
        let work = Work {
            shared_tokens: random.random_range(0..20_000),
            own_tokens: random.random_range(100..9000),
            output_tokens: 0,
        };
        let stall = if count % 50 == 49 { 20.0 } else { 1.0 };
        model.learn(&work.features(true), time(&work) * stall);
    }
    for own_tokens in [500, 2000, 9000] {
        let work = Work {
            shared_tokens: 5000,
            own_tokens,
            output_tokens: 0,
        };
        let ratio = model.expected(&work.features(true)) / time(&work);
        assert!((0.8..1.3).contains(&ratio), "{own_tokens}: {ratio}");
    }
}

fn report(target: &str, outcomes: f32, mean_log: f32) -> TargetSpeed {
    TargetSpeed {
        target: TargetName(target.to_owned()),
        address: 1,
        outcomes,
        mean_log,
        squares: 0.1,
        deviations: 1.0,
        age_ms: 0,
        delay_ms: 0,
    }
}

/// Guards against outcomes that count twice because control daemons send each other all that they
/// know again and again, and against those of a daemon that failed long ago.
#[test]
fn outcomes_of_all_control_daemons_are_summed_up_once() {
    let mut board = Board::default();
    board.record(&[report("t1", 2.0, 0.5)], SECOND);
    let other = DaemonName::from("c2");
    for _ in 0..5 {
        board.replace(other.clone(), &[report("t1", 6.0, 0.1)], SECOND);
    }
    let merged = board.merged(SECOND);
    assert_eq!(merged.len(), 1);
    assert!((merged[0].outcomes - 8.0).abs() < 0.01, "{merged:?}");
    assert!((merged[0].mean_log - 0.2).abs() < 0.01, "{merged:?}");
    assert!((merged[0].deviations - 2.0).abs() < 0.01, "{merged:?}");
    assert!((board.own(SECOND)[0].outcomes - 2.0).abs() < 0.01);
    let later = board.merged(40 * SECOND);
    assert!(later[0].outcomes < 2.0, "{later:?}");
}

/// Guards against messages with impossible numbers, which must not spoil the speeds of targets.
#[test]
fn impossible_reports_of_speeds_are_ignored() {
    let mut board = Board::default();
    for outcomes in [f32::NAN, f32::INFINITY, -1.0, 0.0] {
        board.record(&[report("t1", outcomes, 0.1)], SECOND);
        board.record(&[report("t1", 1.0, outcomes / 0.0)], SECOND);
    }
    for merged in board.merged(SECOND) {
        assert!(merged.outcomes.is_finite() && merged.mean_log.is_finite());
    }
}

/// Guards against small VMs that dispatch as often as large ones, and against another placement
/// where all VMs are of the same size.
#[test]
fn large_gateways_dispatch_more_often_and_equal_ones_as_before() {
    let gateways: Vec<u32> = (0..30).collect();
    let share = |gateway: &u32| if *gateway < 10 { 3.0 } else { 1.0 };
    let services: Vec<u64> = (0..3).collect();
    let mut on_large = 0;
    for seed in 0..1000_u64 {
        let keys: Vec<u64> = services.iter().map(|it| it + 100 * seed).collect();
        for position in 0..3 {
            let chosen = rendezvous::spread_weighted(&keys, position, &gateways, share);
            on_large += u32::from(*chosen[0] < 10);
            let equal = rendezvous::spread_weighted(&keys, position, &gateways, |_| 0.75);
            assert_eq!(equal, rendezvous::spread(&keys, position, &gateways));
        }
    }
    // A third of the gateways has three fifths of the capacity.
    assert!((1650..1950).contains(&on_large), "{on_large} of 3000");
}
