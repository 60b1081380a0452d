//! `azurelug`: the operators' command line.

mod command;
mod control;
mod difference;
mod error;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = command::options().run();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(options.run()),
        Err(source) => Err(error::Error::Runtime { source }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azurelug: {error}");
            error.exit_code()
        }
    }
}
