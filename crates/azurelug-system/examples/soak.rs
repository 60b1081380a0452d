//! Runs the soak test: `soak --seed 7`, `soak --seeds 1..51`, or `soak --minutes 5` with random
//! seeds.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use azurelug_system::soak::{self, Options};
use bpaf::Bpaf;

/// Starts gateways and control daemons as processes, injects faults from outside and checks what
/// callers, operators and targets observe
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Run this seed
    #[bpaf(argument("NUMBER"), optional)]
    seed: Option<u64>,
    /// Run the seeds from A up to but not including B, written A..B
    #[bpaf(argument("A..B"), optional)]
    seeds: Option<String>,
    /// Run random seeds for this many minutes
    #[bpaf(argument("MINUTES"), optional)]
    minutes: Option<u64>,
    /// Gateways in each of the three zones
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    size: u8,
    /// Seconds over which faults are injected
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    seconds: u64,
    /// Let parts of prompts crash engines, of which each zone then has two
    #[bpaf(switch)]
    crashing_parts: bool,
    /// Let whole requests crash targets, of which each zone then has two
    #[bpaf(switch)]
    crashing_requests: bool,
    /// Let targets of streams of new software versions replace the old ones, and clients resume
    /// streams
    #[bpaf(switch)]
    versions: bool,
    /// Let an operator order roll-outs of plain targets to new versions, good and bad ones; not
    /// together with --versions
    #[bpaf(switch)]
    rollouts: bool,
    /// Print one JSON object for each seed
    #[bpaf(switch)]
    json: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = arguments().run();
    if arguments.versions && arguments.rollouts {
        eprintln!("--versions and --rollouts exclude each other; give one of them");
        return ExitCode::FAILURE;
    }
    let mut failed = 0;
    let mut count = 0;
    for seed in seeds(&arguments) {
        let options = Options {
            seed,
            fault_duration: Duration::from_secs(arguments.seconds),
            gateways_per_zone: arguments.size,
            targets_per_zone: 1 + u8::from(arguments.crashing_parts || arguments.crashing_requests),
            crashing_parts: arguments.crashing_parts,
            crashing_requests: arguments.crashing_requests,
            versions: arguments.versions,
            rollouts: arguments.rollouts,
            ..Options::default()
        };
        let report = soak::run(&options).await;
        count += 1;
        failed += usize::from(!report.violations.is_empty());
        if arguments.json {
            println!("{}", report.summary);
            continue;
        }
        let verdict = if report.violations.is_empty() {
            "holds"
        } else {
            "FAILED"
        };
        println!(
            "seed {seed}: {verdict}; requests {}; faults {}; probes {}",
            report.summary["requests"], report.summary["faults"], report.summary["probes"]
        );
        if arguments.versions {
            println!("  streams {}", report.summary["streams"]);
        }
        if arguments.rollouts {
            println!("  roll-outs {}", report.summary["rollouts"]);
        }
        for violation in &report.violations {
            println!("  {violation}");
        }
        if let Some(log_folder) = &report.log_folder {
            println!("  logs in {}", log_folder.display());
        }
    }
    println!("{count} seeds, {failed} failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The seeds that the arguments select; seed 1 without arguments.
fn seeds(arguments: &Arguments) -> Box<dyn Iterator<Item = u64>> {
    if let Some(minutes) = arguments.minutes {
        let end = Instant::now() + Duration::from_secs(minutes * 60);
        let fresh = std::iter::repeat_with(|| rand::random::<u32>().into());
        return Box::new(fresh.take_while(move |_| Instant::now() < end));
    }
    let range = arguments.seeds.as_deref().and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    match range {
        Some(range) => Box::new(range),
        None => Box::new(std::iter::once(arguments.seed.unwrap_or(1))),
    }
}
