//! Simulates one of 16 accounts that sends ten times its usual load, with and without fair sharing:
//! `cargo run --release -p azurelug-core --example greedy_account`.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/overload.rs"]
mod overload;
#[path = "../tests/support/staged.rs"]
mod staged;

use std::time::Duration;

use overload::{ACCOUNTS, QUOTE, greedy_account, interval, served, wasted};

fn main() {
    for times in [1.0, 1.5, 2.0] {
        for (name, is_greedy, is_fair) in [
            ("usual", false, false),
            ("usual, fair", false, true),
            ("greedy", true, false),
            ("greedy, fair", true, true),
        ] {
            let mut simulation = greedy_account(times, is_greedy, 1);
            if is_fair {
                simulation.share_fairly();
            }
            simulation.run(Duration::from_secs(20));
            let others: Vec<f64> = (1..ACCOUNTS).map(|it| served(&simulation, it)).collect();
            let least = others.iter().copied().fold(1.0, f64::min);
            let mean = others.iter().sum::<f64>() / others.len() as f64;
            let all = interval(&simulation, (6.0, 20.0), |it| it.class == QUOTE);
            println!(
                "{times} times, {name:12}: others mean {mean:.3} least {least:.3}, account 0 {:.3}, all in time in 2 s {:.0} of value {:.0}, wasted {:.3}",
                served(&simulation, 0),
                f64::from(all.in_time) / 7.0,
                all.value_in_time / 7.0,
                wasted(&simulation),
            );
        }
    }
}
