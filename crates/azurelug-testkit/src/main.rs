//! Runs one test double as a process.
#![forbid(unsafe_code)]

mod command;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let command = command::command().run();
    match command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azurelug-testkit: {error}");
            ExitCode::FAILURE
        }
    }
}
