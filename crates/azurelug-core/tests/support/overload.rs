//! Load beyond the capacity of staged services: bursts of a route with three stages, beside a route
//! with one stage.
#![allow(dead_code, reason = "not every program uses all of it")]

use std::rc::Rc;
use std::time::Duration;

use crate::staged::{Class, End, Record, Simulation, route, service};

/// Class of requests with one stage.
pub(crate) const REVIEW: usize = 0;

/// Class of requests with three stages.
pub(crate) const QUOTE: usize = 1;

/// Usual requests a second of each class.
pub(crate) const USUAL: [f64; 2] = [41.6, 77.1];

const ZONES: usize = 4;

/// Requests of [`QUOTE`] a second that the second stage can do with full calls.
pub(crate) fn capacity() -> f64 {
    let call = 0.2 + 26.0 * 0.0066;
    let pieces = (4 * ZONES) as f64 * 26.0 / call;
    pieces / 6.0
}

/// Creates the deployment; `quote` is the rate of [`QUOTE`] by the time in seconds.
pub(crate) fn deployment(quote: impl Fn(f64) -> f64 + 'static, seed: u64) -> Simulation {
    let services = vec![
        service("files", 8, 21_000, 18_000_000),
        service("billing", 26, 6600, 3_500_000),
        service("notify", 38, 4500, 490_000),
    ];
    let review = route("review", 1200, 0, &[(0, &[], 1_500_000)]);
    let quoted = route(
        "quote",
        4000,
        2,
        &[(0, &[], 8000), (1, &[0], 60_000), (2, &[1], 6000)],
    );
    let classes = vec![
        Class {
            route: review,
            rate: Rc::new(|_| USUAL[REVIEW]),
            pieces: vec![(1, 4)],
            skip_rate: 0.3,
            work: vec![1.0],
        },
        Class {
            route: quoted,
            rate: Rc::new(quote),
            pieces: vec![(1, 1), (6, 6), (4, 16)],
            skip_rate: 0.0,
            work: vec![0.3, 1.0, 1.0],
        },
    ];
    let mut simulation = Simulation::new(services, classes, &[4, 4, 5], ZONES, seed);
    simulation.books_in_parallel = true;
    simulation.has_retries = true;
    simulation.gateways = 58;
    simulation
}

/// Rate of [`QUOTE`] with a burst to `times` the capacity of its second stage from `from` to `to`.
pub(crate) fn burst(times: f64, from: f64, to: f64) -> impl Fn(f64) -> f64 {
    move |at| {
        if (from..to).contains(&at) {
            times * capacity()
        } else {
            USUAL[QUOTE]
        }
    }
}

/// What ended in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Interval {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Refused after half of the objective.
    pub(crate) refused_late: u32,
    pub(crate) abandoned: u32,
    pub(crate) value_in_time: f64,
}

/// Counts what ended from `from` to `to` seconds and matches `is_counted`.
pub(crate) fn interval(
    simulation: &Simulation,
    (from, to): (f64, f64),
    is_counted: impl Fn(&Record) -> bool,
) -> Interval {
    let objectives = [1.2, 4.0];
    let mut sum = Interval::default();
    for record in simulation.records.iter().filter(|it| is_counted(it)) {
        if !(from..to).contains(&record.ended.as_secs_f64()) {
            continue;
        }
        let taken = (record.ended - record.arrived).as_secs_f64();
        match record.end {
            End::InTime => {
                sum.in_time += 1;
                sum.value_in_time += record.size;
            }
            End::Late => sum.late += 1,
            End::Refused => {
                sum.refused += 1;
                sum.refused_late += u32::from(taken > objectives[record.class] / 2.0);
            }
            End::Abandoned => sum.abandoned += 1,
        }
    }
    sum
}

/// Fraction of the targets' time that was used for late pieces and for results that nobody got.
pub(crate) fn wasted(simulation: &Simulation) -> f64 {
    let unused = simulation.records.iter();
    let unused = unused.filter(|it| matches!(it.end, End::Refused | End::Abandoned));
    let unused: Duration = unused.map(|it| it.spent).sum();
    let time = simulation.target_time;
    (unused + time.late).as_secs_f64() / time.total.as_secs_f64()
}

/// Best number of requests of [`QUOTE`] in time in two seconds, over steady loads.
pub(crate) fn best_level(seed: u64) -> f64 {
    let level = |times: f64| {
        let mut simulation = deployment(move |_| times * capacity(), seed);
        simulation.run(Duration::from_secs(12));
        let counted = interval(&simulation, (4.0, 12.0), |it| it.class == QUOTE);
        f64::from(counted.in_time) / 4.0
    };
    [1.0, 1.2, 1.5].map(level).into_iter().fold(0.0, f64::max)
}

/// Class of urgent requests with three stages in [`shared_stage`].
pub(crate) const BRIEF: usize = 1;

/// Class of less urgent requests with one stage in [`shared_stage`].
pub(crate) const DIGEST: usize = 0;

/// Creates a deployment in which urgent requests with three stages share the first one with less
/// urgent requests that have only this stage. The rates are multiples of the usual ones from 4 to
/// 10 s. `jitter` is the longest additional time of a call and of an engine.
pub(crate) fn shared_stage(digest: f64, brief: f64, jitter: Duration, seed: u64) -> Simulation {
    let services = vec![
        service("intake", 20, 8600, 45_000_000),
        service("routes", 48, 3600, 8_100_000),
        service("roster", 66, 2600, 1_100_000),
    ];
    let rate = |usual: f64, times: f64| -> Rc<dyn Fn(f64) -> f64> {
        Rc::new(move |at| match at {
            4.0..10.0 => usual * times,
            _ => usual,
        })
    };
    let mut first = route("digest", 1000, 1, &[(0, &[], 1_500_000)]);
    first.timeout = Duration::from_secs(5);
    let classes = vec![
        Class {
            route: first,
            rate: rate(181.0, digest),
            pieces: vec![(1, 4)],
            skip_rate: 0.3,
            work: vec![1.0],
        },
        Class {
            route: route(
                "brief",
                1800,
                0,
                &[(0, &[], 8000), (1, &[0], 60_000), (2, &[1], 6000)],
            ),
            rate: rate(111.0, brief),
            pieces: vec![(1, 1), (6, 6), (4, 16)],
            skip_rate: 0.0,
            work: vec![0.3, 1.0, 1.0],
        },
    ];
    let mut simulation = Simulation::new(services, classes, &[6, 5, 6], 3, seed);
    simulation.books_in_parallel = true;
    simulation.has_retries = true;
    simulation.gateways = 62;
    simulation.jitter = jitter;
    simulation
}

/// Number of accounts in [`greedy_account`].
pub(crate) const ACCOUNTS: u64 = 16;

/// Part of the usual load that account 0 sends; the others send equal parts of the rest.
const LARGE_PART: f64 = 0.2;

/// Part of the load that account 0 sends when it sends ten times as much as usually.
const GREEDY_PART: f64 = 10.0 * LARGE_PART / (1.0 + 9.0 * LARGE_PART);

/// Creates the deployment with 16 accounts at `times` the usual load, of which account 0 sends ten
/// times its usual load from 4 s on.
pub(crate) fn greedy_account(times: f64, is_greedy: bool, seed: u64) -> Simulation {
    let rate = move |at: f64| {
        let usual = times * USUAL[QUOTE];
        if is_greedy && at >= 4.0 {
            usual * (1.0 + 9.0 * LARGE_PART)
        } else {
            usual
        }
    };
    let mut simulation = deployment(rate, seed);
    simulation.account = if is_greedy {
        |class, now, random| {
            let is_usual = class != QUOTE || now < Duration::from_secs(4);
            draw(if is_usual { LARGE_PART } else { GREEDY_PART }, random)
        }
    } else {
        |_, _, random| draw(LARGE_PART, random)
    };
    simulation
}

fn draw(part: f64, random: f64) -> u64 {
    if random < part {
        return 0;
    }
    1 + ((random - part) / (1.0 - part) * (ACCOUNTS - 1) as f64) as u64
}

/// Fraction of the requests of an account from 4 s on that were in time.
pub(crate) fn served(simulation: &Simulation, account: u64) -> f64 {
    let own = simulation.records.iter().filter(|it| {
        let is_counted = it.class == QUOTE && !it.is_retried;
        is_counted && it.account == account && it.first_arrived >= Duration::from_secs(4)
    });
    let (in_time, all) = own.fold((0, 0), |(in_time, all), it| {
        (in_time + u32::from(it.end == End::InTime), all + 1)
    });
    f64::from(in_time) / f64::from(all.max(1))
}
