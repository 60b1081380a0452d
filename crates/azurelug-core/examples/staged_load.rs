//! Simulates several loads on the dispatchers of a pipeline and prints the outcome of the requests:
//! `cargo run --release -p azurelug-core --example staged_load`.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/staged.rs"]
mod staged;

use std::time::Duration;

use staged::{Simulation, large_deployment};

fn print(name: &str, simulation: &Simulation) {
    println!("{name}");
    for (class, it) in simulation.outcomes.iter().enumerate() {
        println!(
            "  class {class}: asked {} in time {:.3} worth {:.3} late {:.3} refused {:.3} wasted {:.3}",
            it.submitted,
            it.fraction_in_time(),
            it.value_fraction(),
            f64::from(it.late) / f64::from(it.submitted),
            f64::from(it.refused) / f64::from(it.submitted),
            f64::from(it.wasted) / f64::from(it.submitted),
        );
    }
    for (service, it) in simulation.calls.iter().enumerate() {
        println!(
            "  service {service}: calls {} pieces a call {:.1} small {:.2}",
            it.calls,
            f64::from(it.pieces) / f64::from(it.calls),
            f64::from(it.small) / f64::from(it.calls)
        );
    }
}

fn main() {
    for (name, digest, brief) in [
        (
            "calm",
            (|_| 171.0) as fn(f64) -> f64,
            (|_| 212.0) as fn(f64) -> f64,
        ),
        (
            "digest 2.4",
            |t| {
                if (4.0..10.8).contains(&t) {
                    410.0
                } else {
                    171.0
                }
            },
            |_| 212.0,
        ),
        (
            "brief 1.7",
            |_| 171.0,
            |t| {
                if (4.0..10.5).contains(&t) {
                    340.0
                } else {
                    212.0
                }
            },
        ),
        (
            "brief 2.1",
            |_| 171.0,
            |t| {
                if (4.0..10.5).contains(&t) {
                    410.0
                } else {
                    212.0
                }
            },
        ),
        (
            "all 1.7",
            |t| {
                if (4.0..8.0).contains(&t) {
                    290.0
                } else {
                    171.0
                }
            },
            |t| {
                if (4.0..8.0).contains(&t) {
                    360.0
                } else {
                    212.0
                }
            },
        ),
    ] {
        let mut simulation = large_deployment(digest, brief, 1);
        simulation.run(Duration::from_secs(14));
        print(name, &simulation);
    }
}
