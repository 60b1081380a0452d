//! Runs one case of the review: `review-stand CASE FOLDER`. It writes `record.txt` into the folder
//! and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With
//! `TROUBLE=0` the disruption is left out.

mod cold;
mod deployment;
mod growth;
mod keys;
mod members;
mod process;
mod record;
mod stand_ins;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// Outcome of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case couldn't run.
pub type Failure = String;

async fn run(case: &str, record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    match case {
        "disk-loss-after-replacement" => members::disk_loss(record, with_trouble).await,
        "many-replacements" => members::many_replacements(record, with_trouble).await,
        "core-kill-while-cold" => cold::core_kill(record, with_trouble).await,
        "last-tenant" => keys::last_tenant(record, with_trouble).await,
        "grown-configuration" => growth::changes(record, with_trouble).await,
        _ => Err(format!("no case named {case}")),
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stopped() {
    let mut terminated = signal(SignalKind::terminate()).expect("handle SIGTERM");
    let mut interrupted = signal(SignalKind::interrupt()).expect("handle SIGINT");
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("review-stand: can't write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, disruption: {with_trouble}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("start the runtime");
    let verdict = runtime.block_on(async {
        tokio::select! {
            verdict = run(case, &record, with_trouble) => verdict,
            // Dropping the case ends its processes.
            () = stopped() => Err("stopped by a signal".to_owned()),
        }
    });
    match verdict {
        Ok(Verdict::Held) => {
            record.line("result: the rule held".to_owned());
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("result: the rule was broken".to_owned());
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(format!("result: the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
