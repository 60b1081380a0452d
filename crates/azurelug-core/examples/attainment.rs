//! Simulates the decision modules and the naive baseline with the same seeds, and compares their
//! deadline attainment, time to the first token, cost of each stage and refusals. Six daemons share
//! 30 targets in three zones and receive the same load reports, which are 300 ms old. Leased shares
//! are simulated without delay: every 500 ms a target's free slots are divided among the daemons
//! that can reach it.
//!
//! Run with `cargo run --release -p azurelug-core --example attainment [seeds] [scenario] [causes]`;
//! `causes` also prints the causes of wasted work, missed deadlines and late first tokens.

#[path = "attainment/breakdown.rs"]
mod breakdown;
#[path = "attainment/daemon.rs"]
mod daemon;
#[path = "attainment/model.rs"]
mod model;
#[path = "attainment/request.rs"]
mod request;
#[path = "attainment/world.rs"]
mod world;

use breakdown::Breakdown;
use model::{GENERATE, RERANK, capacity};
use request::RunResult;
use world::{Change, run};

/// One scenario: the load over time as a fraction of the capacity, and the changes, each with the
/// second in which it happens.
struct Scenario {
    name: &'static str,
    seconds: u64,
    /// The time span in seconds whose arrivals are evaluated.
    evaluated: (f64, f64),
    load: fn(f64) -> f64,
    changes: Vec<(u64, Change)>,
    /// The calculated fraction of the capacity that is available at a given second.
    remaining_capacity: fn(f64) -> f64,
}

fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario {
            name: "a normal morning",
            seconds: 60,
            evaluated: (10.0, 60.0),
            load: |_| 0.7,
            changes: vec![],
            remaining_capacity: |_| 1.0,
        },
        Scenario {
            name: "b morning rush, a zone drained and back",
            seconds: 60,
            evaluated: (10.0, 60.0),
            load: |at| if at < 15.0 { 0.5 } else { 0.8 },
            changes: vec![(20, Change::Drain(2, true)), (40, Change::Drain(2, false))],
            remaining_capacity: |at| {
                if (20.0..40.0).contains(&at) {
                    2.0 / 3.0
                } else {
                    1.0
                }
            },
        },
        Scenario {
            name: "c cold start of a third of the targets",
            seconds: 60,
            evaluated: (10.0, 60.0),
            load: |_| 0.6,
            changes: vec![(20, Change::ColdThird)],
            // A cold target has a quarter of the slots and is five times slower.
            remaining_capacity: |at| {
                if (20.0..40.0).contains(&at) {
                    2.0 / 3.0 + 1.0 / 60.0
                } else {
                    1.0
                }
            },
        },
        Scenario {
            name: "d one stage ten times slower",
            seconds: 60,
            evaluated: (10.0, 60.0),
            load: |_| 0.7,
            changes: vec![
                (20, Change::Slow(RERANK, 10)),
                (40, Change::Slow(RERANK, 1)),
            ],
            remaining_capacity: |at| {
                if (20.0..40.0).contains(&at) {
                    capacity(RERANK, 10.0) / capacity(GENERATE, 1.0)
                } else {
                    1.0
                }
            },
        },
        Scenario {
            name: "e a zone partitioned",
            seconds: 60,
            evaluated: (10.0, 60.0),
            load: |_| 0.7,
            changes: vec![
                (20, Change::Partition(Some(2))),
                (40, Change::Partition(None)),
            ],
            remaining_capacity: |_| 1.0,
        },
        Scenario {
            name: "f overload at twice the capacity and back",
            seconds: 70,
            evaluated: (10.0, 70.0),
            load: |at| if (20.0..45.0).contains(&at) { 2.0 } else { 0.7 },
            changes: vec![],
            remaining_capacity: |_| 1.0,
        },
    ]
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds: u64 = arguments
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or(20);
    let only = arguments.next();
    let with_causes = arguments.next().is_some();
    println!(
        "seeds 1 to {seeds}; capacity {:.1} requests/s (generate), {:.1} (rerank), by calculation",
        capacity(GENERATE, 1.0),
        capacity(RERANK, 1.0)
    );
    let is_selected = |name: &str| only.as_ref().is_none_or(|it| name.starts_with(it.as_str()));
    for scenario in scenarios().iter().filter(|it| is_selected(it.name)) {
        println!(
            "\n{}; bound {:.2}%",
            scenario.name,
            attainment_bound(scenario)
        );
        for is_naive in [false, true] {
            let results: Vec<RunResult> = (1..=seeds)
                .map(|seed| {
                    let rate = |at: f64| (scenario.load)(at) * capacity(GENERATE, 1.0);
                    run(is_naive, seed, scenario.seconds, &rate, &scenario.changes)
                })
                .collect();
            print_results(is_naive, &results, scenario);
            if with_causes {
                let mut causes = Breakdown::default();
                results.iter().for_each(|it| causes.merge(&it.causes));
                causes.print(results.len());
            }
        }
    }
    if is_selected("goodput") {
        print_goodput(seeds);
    }
}

/// The percentage of the evaluated requests that the available capacity can serve, computed for
/// each second on its own. Requests that wait until a later second are left out, so a result may
/// exceed the bound slightly.
fn attainment_bound(scenario: &Scenario) -> f64 {
    let seconds = (scenario.evaluated.0 as u64)..(scenario.evaluated.1 as u64);
    let (mut served, mut offered) = (0.0, 0.0);
    for second in seconds {
        let at = second as f64;
        offered += (scenario.load)(at);
        served += (scenario.load)(at).min((scenario.remaining_capacity)(at));
    }
    100.0 * served / offered
}

fn print_results(is_naive: bool, results: &[RunResult], scenario: &Scenario) {
    let (from, to) = scenario.evaluated;
    let name = if is_naive { "naive" } else { "measured" };
    let part = |result: &RunResult, from: f64, to: f64, is_counted: fn(bool, bool) -> bool| {
        let evaluated = result
            .requests
            .iter()
            .filter(|it| (from..to).contains(&it.0));
        let (mut counted, mut all) = (0, 0);
        for (_, met, refused, _) in evaluated {
            counted += usize::from(is_counted(*met, *refused));
            all += 1;
        }
        100.0 * counted as f64 / all.max(1) as f64
    };
    let attained: Vec<f64> = results
        .iter()
        .map(|it| part(it, from, to, |met, _| met))
        .collect();
    let change: Vec<f64> = results
        .iter()
        .map(|it| part(it, 20.0, 40.0, |met, _| met))
        .collect();
    let after: Vec<f64> = results
        .iter()
        .map(|it| part(it, 55.0, to, |met, _| met))
        .collect();
    let refused: Vec<f64> = results
        .iter()
        .map(|it| part(it, from, to, |_, it| it))
        .collect();
    println!(
        "  {name:<8} attained {} | 20-40 s {} | from 55 s {} | refused {}",
        median_and_range(attained),
        median_and_range(change),
        median_and_range(after),
        median_and_range(refused)
    );
    let mut first: Vec<f64> = results
        .iter()
        .flat_map(|it| it.requests.iter())
        .filter(|it| (from..to).contains(&it.0))
        .filter_map(|it| it.3)
        .collect();
    first.sort_by(f64::total_cmp);
    let at = |part: f64| first[(first.len() as f64 * part) as usize];
    let useful: f64 = results.iter().flat_map(|it| it.useful).sum();
    let wasted: f64 = results.iter().flat_map(|it| it.wasted).sum();
    let stages = ["encode", "retrieve", "rerank", "generate"];
    let cost: Vec<String> = (0..stages.len())
        .map(|kind| {
            let sum = |of: fn(&RunResult) -> &[f64; 4]| -> f64 {
                results.iter().map(|it| of(it)[kind]).sum::<f64>() / results.len() as f64
            };
            let (useful, wasted) = (sum(|it| &it.useful), sum(|it| &it.wasted));
            format!("{} {useful:.0}+{wasted:.1}", stages[kind])
        })
        .collect();
    let above_cold_limit: u32 = results.iter().map(|it| it.above_cold_limit).sum();
    println!(
        "           first token p50 {:.2} s, p95 {:.2} s | wasted {:.2}% of the work | slot-seconds \
         useful+wasted: {} | started above a cold limit {above_cold_limit}",
        at(0.5),
        at(0.95),
        100.0 * wasted / (useful + wasted),
        cost.join(", ")
    );
}

/// The median, minimum and maximum over the seeds as text.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    format!(
        "{:.2}% ({:.2} to {:.2})",
        values[last / 2],
        values[0],
        values[last]
    )
}

/// Prints the requests per second that met their deadline, at several constant loads.
fn print_goodput(seeds: u64) {
    println!("\ngoodput at constant load, requests/s, median (minimum to maximum)");
    for is_naive in [false, true] {
        let mut medians = Vec::new();
        for load in [0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0] {
            let mut values: Vec<f64> = (1..=seeds)
                .map(|seed| {
                    let result = run(is_naive, seed, 60, &|_| load * capacity(GENERATE, 1.0), &[]);
                    let evaluated = result
                        .requests
                        .iter()
                        .filter(|it| (20.0..60.0).contains(&it.0));
                    evaluated.filter(|it| it.1).count() as f64 / 40.0
                })
                .collect();
            values.sort_by(f64::total_cmp);
            let last = values.len() - 1;
            let name = if is_naive { "naive" } else { "measured" };
            println!(
                "  {name:<8} load {load:.1}: {:.1} ({:.1} to {:.1})",
                values[last / 2],
                values[0],
                values[last]
            );
            medians.push(values[last / 2]);
        }
        let peak = medians.iter().copied().fold(0.0, f64::max);
        let last = medians.last().copied().unwrap_or(0.0);
        println!(
            "  at twice the capacity {:.1}% of the peak",
            100.0 * last / peak
        );
    }
}
