//! Runs seeded fault schedules against the replicated log:
//! `schedules --seeds 0..100000 [--jobs 4]`. With `--replacements 2000` each seed replaces that many
//! members one after the other instead.

#[path = "../tests/support/schedule.rs"]
mod schedule;

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let value = |name: &str| {
        let index = arguments.iter().position(|argument| argument == name)?;
        arguments.get(index + 1).map(String::as_str)
    };
    let seeds = value("--seeds").and_then(|seeds| {
        let (from, to) = seeds.split_once("..")?;
        Some((from.parse().ok()?, to.parse().ok()?))
    });
    let Some((from, to)) = seeds else {
        eprintln!("usage: schedules --seeds FROM..TO [--jobs N]");
        return ExitCode::FAILURE;
    };
    let jobs = value("--jobs")
        .and_then(|jobs| jobs.parse().ok())
        .unwrap_or(4);
    match value("--replacements").map(str::parse) {
        Some(Ok(rounds)) => replace(from, to, rounds),
        _ => run(from, to, jobs),
    }
}

/// Replaces `rounds` members for each of the seeds `from..to`, and prints the maxima.
fn replace(from: u64, to: u64, rounds: usize) -> ExitCode {
    for seed in from..to {
        let results = match schedule::replace_many(seed, rounds) {
            Ok(results) => results,
            Err(failure) => {
                println!("FAILED {failure}");
                return ExitCode::FAILURE;
            }
        };
        let max = |of: fn(&schedule::Round) -> u64| results.iter().map(of).max().unwrap_or(0);
        println!(
            "seed {seed}: {rounds} replacements, at most {} seats, {} bytes, admission {} us",
            max(|round| round.seats as u64),
            max(|round| round.bytes as u64),
            max(|round| round.admission)
        );
    }
    ExitCode::SUCCESS
}

/// Runs the seeds `from..to` on `jobs` threads and prints every failure and the totals.
fn run(from: u64, to: u64, jobs: usize) -> ExitCode {
    let next = AtomicU64::new(from);
    let work = || {
        let mut totals = schedule::Counts::default();
        let (mut seeds, mut failures) = (0u64, 0u64);
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= to {
                return (totals, seeds, failures);
            }
            seeds += 1;
            match schedule::run(seed) {
                Ok(counts) => totals += counts,
                Err(failure) => {
                    failures += 1;
                    println!("FAILED {failure}");
                }
            }
        }
    };
    let mut totals = schedule::Counts::default();
    let (mut seeds, mut failures) = (0, 0);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(work)).collect();
        for thread in threads {
            let (counts, run, failed) = thread.join().expect("a schedule does not panic");
            totals += counts;
            seeds += run;
            failures += failed;
        }
    });
    println!("seeds {seeds} ({from}..{to}), failures {failures}, {totals}");
    if failures == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
