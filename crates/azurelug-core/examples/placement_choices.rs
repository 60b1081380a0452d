//! Compares choices of targets on uneven engines and prints the table of docs/design/placement.md:
//! `cargo run --release -p azurelug-core --example placement_choices`.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/placement_model.rs"]
mod placement_model;

use placement_model::{Choice, load, run};

fn main() {
    println!("gateways choice median p90 p99 in_time read_again left uneven");
    let choices = [
        Choice::InFlight,
        Choice::TwoRandom,
        Choice::Own,
        Choice::Shared,
    ];
    for gateways in [9, 66, 295] {
        for choice in choices {
            let report = run(&load(gateways, 60.0), choice);
            println!(
                "{gateways} {choice:?} {:.0} {:.0} {:.0} {:.4} {} {} {}",
                report.quantile(0.5),
                report.quantile(0.9),
                report.quantile(0.99),
                report.share_in_time(),
                report.tokens_read_again,
                report.left_preferred,
                report.uneven,
            );
        }
    }
}
