//! `azurelug-control`: the control daemon.

use std::process::ExitCode;

use azurelug_control::run;
use azurelug_control::settings::options;

fn main() -> ExitCode {
    run::main(&options().run())
}
