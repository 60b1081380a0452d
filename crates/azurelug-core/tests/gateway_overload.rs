//! Simulates bursts beyond the capacity of a pipeline whose clients allow queues of seconds.
#![allow(clippy::unwrap_used)]

#[path = "support/overload.rs"]
mod overload;
#[path = "support/staged.rs"]
mod staged;

use std::time::Duration;

use overload::{
    ACCOUNTS, BRIEF, DIGEST, QUOTE, USUAL, best_level, burst, deployment, greedy_account, interval,
    served, shared_stage, wasted,
};

const SEEDS: [u64; 2] = [1, 2];

/// Guards against goodput that collapses in a burst and stays low after it: orders admitted against
/// due times that they can't reach, targets that are sent pieces too late to run them, and refusals
/// after stages have run.
#[test]
fn in_a_burst_goodput_stays_at_the_best_level_and_is_back_after_it() {
    let count = SEEDS.len() as f64;
    let best = SEEDS.map(best_level).iter().sum::<f64>() / count;
    for times in [2.0, 3.0, 5.0] {
        let mut in_time = [0.0; 3];
        for seed in SEEDS {
            let mut simulation = deployment(burst(times, 4.0, 10.0), seed);
            simulation.run(Duration::from_secs(14));
            let context = format!("burst of {times}, seed {seed}");
            for (sum, from) in in_time.iter_mut().zip([6.0, 8.0, 11.0]) {
                let ended = interval(&simulation, (from, from + 2.0), |it| it.class == QUOTE);
                *sum += f64::from(ended.in_time) / count;
                assert_eq!(
                    ended.refused_late, 0,
                    "refused late: {context}, from {from}"
                );
            }
            let wasted = wasted(&simulation);
            assert!(wasted < 0.02, "{wasted} of the time wasted: {context}");
            let late = simulation.target_time.late_pieces;
            assert_eq!(late, 0, "pieces whose deadline had passed: {context}");
        }
        let [first, second, after] = in_time;
        for level in [first, second] {
            assert!(
                level >= 0.95 * best,
                "burst of {times}: {level} in time in 2 s, best {best}"
            );
        }
        let usual = 2.0 * USUAL[QUOTE];
        assert!(
            after >= 0.95 * usual,
            "1 s after a burst of {times}: {after} in time in 2 s, usually {usual}"
        );
    }
}

/// Guards against a priority inversion: urgent requests with three stages, of which the first one
/// is shared with a burst of less urgent requests that need only this stage, lose their slack there
/// and are served worse than the less urgent ones.
#[test]
fn urgent_requests_are_served_no_worse_than_others_through_the_same_stage() {
    let jitter = Duration::from_millis(50);
    let count = SEEDS.len() as f64;
    let served = |digest: f64| {
        let mut sums = [[0.0; 2]; 2];
        for seed in SEEDS {
            let mut simulation = shared_stage(digest, 2.0, jitter, seed);
            simulation.run(Duration::from_secs(12));
            for (sum, class) in sums.iter_mut().zip([BRIEF, DIGEST]) {
                sum[0] += simulation.outcomes[class].fraction_in_time() / count;
                sum[1] += simulation.outcomes[class].value_fraction() / count;
            }
        }
        sums
    };
    let [alone, _] = served(1.0);
    for times in [3.0, 4.0] {
        let [urgent, other] = served(times);
        let context = format!("{times} times the less urgent requests, seeds {SEEDS:?}");
        assert!(
            urgent[0] >= alone[0] - 0.05,
            "{urgent:?} with a burst, {alone:?} without: {context}"
        );
        assert!(
            urgent[0] >= other[0] - 0.05 && urgent[1] >= other[1] - 0.15,
            "{urgent:?} urgent, {other:?} less urgent: {context}"
        );
    }
}

/// Guards against one account that takes the capacity of the others: it sends ten times its usual
/// load, and no other account may lose more than a twentieth. With enough capacity for all, no
/// account is limited.
#[test]
fn an_account_with_ten_times_its_load_costs_no_other_account_more_than_a_twentieth() {
    for seed in SEEDS {
        for times in [1.0, 1.5] {
            let run = |is_greedy: bool| {
                let mut simulation = greedy_account(times, is_greedy, seed);
                simulation.share_fairly();
                simulation.run(Duration::from_secs(16));
                simulation
            };
            let (usual, greedy) = (run(false), run(true));
            for account in 1..ACCOUNTS {
                let (before, after) = (served(&usual, account), served(&greedy, account));
                assert!(
                    after >= 0.95 * before,
                    "account {account}: {after} in time, otherwise {before}; {times} times the \
                     usual load, seed {seed}"
                );
            }
            let large = served(&usual, 0);
            assert!(
                large >= 0.98,
                "{large} in time of the large account, seed {seed}"
            );
        }
    }
}
