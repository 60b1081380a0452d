//! `azurelug-replay`: replays recorded traces through the modules that the daemons run.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use azurelug_core::trace::Trace;
use bpaf::Bpaf;

/// Replays recorded traces with stated outcomes
///
/// Example: azurelug-replay traces/*.json
///
/// Exit codes: 0 if every outcome is the stated one, 1 if one is not, 2 if a file can't be read.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Trace files in JSON
    #[bpaf(positional("FILE"), some("name at least one trace file"))]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let mut failed = 0;
    let files = options().run().files;
    for file in &files {
        let trace = match read_trace(file) {
            Ok(trace) => trace,
            Err(message) => {
                eprintln!("azurelug-replay: {}: {message}", file.display());
                return ExitCode::from(2);
            }
        };
        match trace.replay() {
            Ok(steps) => {
                println!("ok   {} {} ({steps} steps)", trace.guarantee, trace.failure);
            }
            Err(mismatch) => {
                failed += 1;
                println!(
                    "FAIL {} {}: {}: {mismatch}",
                    trace.guarantee,
                    trace.failure,
                    file.display()
                );
            }
        }
    }
    println!("{} passed, {failed} failed", files.len() - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn read_trace(file: &Path) -> Result<Trace, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| format!("not a trace: {error}"))
}
