//! `azurelug-entry`: the entry daemon.

use std::process::ExitCode;

use azurelug_entry::run;
use azurelug_entry::settings::options;

fn main() -> ExitCode {
    run::main(&options().run())
}
