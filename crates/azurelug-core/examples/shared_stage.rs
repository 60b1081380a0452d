//! Simulates urgent requests with three stages that share the first one with less urgent requests:
//! `cargo run --release -p azurelug-core --example shared_stage`.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/overload.rs"]
mod overload;
#[path = "../tests/support/staged.rs"]
mod staged;

use std::time::Duration;

use overload::{BRIEF, DIGEST, shared_stage};

fn main() {
    let jitter = Duration::from_millis(100);
    for (digest, brief) in [
        (1.0, 1.0),
        (1.0, 2.0),
        (2.5, 1.0),
        (4.0, 1.0),
        (2.0, 2.0),
        (3.0, 2.0),
        (4.0, 2.0),
    ] {
        println!("digest {digest} times, brief {brief} times the usual load from 4 to 10 s");
        for seed in [1, 2] {
            let mut simulation = shared_stage(digest, brief, jitter, seed);
            simulation.run(Duration::from_secs(12));
            for (name, class) in [("digest", DIGEST), ("brief", BRIEF)] {
                let it = simulation.outcomes[class];
                let part = |count: u32| f64::from(count) / f64::from(it.submitted);
                println!(
                    "  seed {seed} {name:6}: {:5} in time {:.3} of value {:.3}; late {:.3} refused {:.3} wasted {:.3}",
                    it.submitted,
                    it.fraction_in_time(),
                    it.value_fraction(),
                    part(it.late),
                    part(it.refused),
                    part(it.wasted),
                );
            }
        }
    }
}
