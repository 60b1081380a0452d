//! Runs the random schedules of the coordination modules over a range of seeds
//! and prints seeds, steps and how often each fault occurred.

#[path = "../tests/support/worlds.rs"]
mod worlds;

use std::ops::Range;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use bpaf::{OptionParser, Parser, construct, long};
use worlds::{
    lease_world, membership_world, once_world, orders_world, rate_world, share_world, sim,
};

type Run = fn(u64) -> Result<sim::Report, String>;

const WORLDS: [(&str, Run); 6] = [
    ("once", once_world::run),
    ("lease", lease_world::run),
    ("share", share_world::run),
    ("rate", rate_world::run),
    ("orders", orders_world::run),
    ("membership", membership_world::run),
];

struct Options {
    seeds: Range<u64>,
    world: Option<String>,
    jobs: u64,
}

fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let help = || format!("`{text}` is not a range of seeds such as 0..1000");
    let (from, to) = text.split_once("..").ok_or_else(help)?;
    Ok(from.parse().map_err(|_| help())?..to.parse().map_err(|_| help())?)
}

fn options() -> OptionParser<Options> {
    let seeds = long("seeds")
        .help("Range of seeds to run, without its end")
        .argument::<String>("FROM..TO")
        .parse(|text| parse_seeds(&text));
    let world = long("only")
        .help("Run only one kind of schedule")
        .argument("NAME")
        .optional();
    let jobs = long("jobs")
        .help("Number of threads")
        .argument("COUNT")
        .fallback(2);
    construct!(Options { seeds, world, jobs }).to_options()
}

/// Runs one kind of schedule; returns the number of failed seeds.
fn run_world(name: &str, run: Run, options: &Options) -> u64 {
    let started = Instant::now();
    let next = AtomicU64::new(options.seeds.start);
    let total = Mutex::new((sim::Report::default(), 0));
    std::thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| {
                let mut report = sim::Report::default();
                let mut failed = 0;
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= options.seeds.end {
                        break;
                    }
                    match run(seed) {
                        Ok(one) => report.add(&one),
                        Err(fault) => {
                            failed += 1;
                            println!("{name}: FAILED {fault}");
                        }
                    }
                }
                let mut total = total
                    .lock()
                    .expect("no thread panics while it holds the lock");
                total.0.add(&report);
                total.1 += failed;
            });
        }
    });
    let (report, failed) = total
        .into_inner()
        .expect("no thread panics while it holds the lock");
    println!(
        "{name}: seeds {:?}, {failed} failed, {} steps, {:.1} s",
        options.seeds,
        report.steps,
        started.elapsed().as_secs_f64()
    );
    for (fault, count) in &report.faults {
        println!("  {fault}: {count}");
    }
    failed
}

fn main() -> ExitCode {
    let options = options().run();
    let only = options.world.as_deref();
    let runs = WORLDS
        .iter()
        .filter(|(name, _)| only.is_none_or(|only| only == *name));
    let failed: u64 = runs
        .map(|(name, run)| run_world(name, *run, &options))
        .sum();
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
