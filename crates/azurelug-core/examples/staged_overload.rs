//! Simulates bursts beyond the capacity of a pipeline and prints what ended in each interval of two
//! seconds: `cargo run --release -p azurelug-core --example staged_overload`.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/overload.rs"]
mod overload;
#[path = "../tests/support/staged.rs"]
mod staged;

use std::time::Duration;

use overload::{QUOTE, REVIEW, USUAL, best_level, burst, capacity, deployment, interval, wasted};
use staged::Simulation;

fn print(name: &str, mut simulation: Simulation, seconds: u64) {
    simulation.run(Duration::from_secs(seconds));
    println!("{name}");
    println!("   from  in time   late  refused  of it late  abandoned  value  review in time");
    for from in (0..seconds).step_by(2) {
        let span = (from as f64, from as f64 + 2.0);
        let quote = interval(&simulation, span, |it| it.class == QUOTE);
        let review = interval(&simulation, span, |it| it.class == REVIEW);
        println!(
            "  {from:5} {:8} {:6} {:8} {:11} {:10} {:6.0} {:15}",
            quote.in_time,
            quote.late,
            quote.refused,
            quote.refused_late,
            quote.abandoned,
            quote.value_in_time,
            review.in_time
        );
    }
    let time = simulation.target_time;
    println!(
        "  wasted {:.3} of the targets' time, late pieces {}, missing inputs {}",
        wasted(&simulation),
        time.late_pieces,
        time.missing_inputs
    );
    for (service, it) in simulation.calls.iter().enumerate() {
        println!(
            "  service {service}: calls {} pieces a call {:.1}",
            it.calls,
            f64::from(it.pieces) / f64::from(it.calls)
        );
    }
}

fn main() {
    let seed = 1;
    println!(
        "capacity of the second stage {:.0} a second, best steady level {:.0} in 2 s",
        capacity(),
        best_level(seed)
    );
    print("usual load", deployment(|_| USUAL[QUOTE], seed), 12);
    for times in [2.0, 3.0, 5.0] {
        let name = format!("burst of {times} times the capacity from 4 to 10 s");
        print(&name, deployment(burst(times, 4.0, 10.0), seed), 18);
    }
    let day = |at: f64| match at {
        4.0..10.0 => 2.4 * USUAL[QUOTE],
        14.0..20.0 => 5.0 * USUAL[QUOTE],
        _ => USUAL[QUOTE],
    };
    print(
        "bursts of 2.4 and 5 times the usual load",
        deployment(day, seed),
        26,
    );
}
