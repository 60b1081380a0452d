//! `azurelug-gateway`: the gateway daemon.

use std::process::ExitCode;

use azurelug_gateway::run;
use azurelug_gateway::settings::options;

fn main() -> ExitCode {
    run::main(&options().run())
}
