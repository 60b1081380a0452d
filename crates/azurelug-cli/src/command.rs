//! The commands, one file each.

mod check;
mod config;
mod diff;
mod dump;
mod history;
mod patch;
mod rollout;
mod status;
mod targets;
mod zone;

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::control::Control;
use crate::error::{self, Error};

/// Operators' command line of azurelug
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(error::EXIT_CODES))]
pub(crate) struct Options {
    /// Operators' address of a control daemon; may be repeated, tried in order
    // Not required by the parser, which would otherwise reject `azurelug COMMAND --help` without
    // it.
    #[bpaf(argument("ADDRESS"))]
    control: Vec<SocketAddr>,
    /// Print JSON instead of tables
    #[bpaf(switch)]
    json: bool,
    #[bpaf(external(command))]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Show the daemons and the version that each has in force
    #[bpaf(command, footer("Example: azurelug --control 10.0.0.1:7101 status"))]
    Status,
    /// Show the configuration in force, or an earlier version
    #[bpaf(
        command,
        footer("Example: azurelug --control 10.0.0.1:7101 config --version 41")
    )]
    Config(#[bpaf(external(config::arguments))] config::Arguments),
    /// Show what differs between two versions of the configuration
    #[bpaf(
        command,
        footer("Example: azurelug --control 10.0.0.1:7101 diff 41 42")
    )]
    Diff(#[bpaf(external(diff::arguments))] diff::Arguments),
    /// Show the accepted patches with author and time in UTC
    #[bpaf(command, footer("Example: azurelug --control 10.0.0.1:7101 history"))]
    History,
    /// Send a patch from a YAML file with a list of changes
    #[bpaf(
        command,
        footer(
            "Example: azurelug --control 10.0.0.1:7101 patch changes.yaml --author ana --dry-run"
        )
    )]
    Patch(#[bpaf(external(patch::arguments))] patch::Arguments),
    /// Show each target as entry daemons see it, and why it is or isn't used
    #[bpaf(
        command,
        footer("Example: azurelug --control 10.0.0.1:7101 targets 10.0.1.1:7301 10.0.2.1:7301")
    )]
    Targets(#[bpaf(external(targets::arguments))] targets::Arguments),
    /// Drain a zone or take it back into service
    #[bpaf(
        command,
        footer("Example: azurelug --control 10.0.0.1:7101 zone --author ana drain zone-a")
    )]
    Zone(#[bpaf(external(zone::arguments))] zone::Arguments),
    /// Check a configuration document before it is sent
    #[bpaf(
        command,
        footer("Example: azurelug check deployment.json --against 10.0.0.1:8080")
    )]
    Check(#[bpaf(external(check::arguments))] check::Arguments),
    /// Start, show or end a roll-out of a service to another version
    #[bpaf(
        command,
        footer("Example: azurelug --control 10.0.0.1:7101 rollout start orders v2 --within 60")
    )]
    Rollout(#[bpaf(external(rollout::arguments))] rollout::Arguments),
    /// Print the state of any daemon
    #[bpaf(
        command,
        footer("Example: azurelug --control 10.0.0.1:7101 dump 10.0.1.1:7301")
    )]
    Dump(#[bpaf(external(dump::arguments))] dump::Arguments),
}

impl Options {
    pub(crate) async fn run(self) -> Result<(), Error> {
        let control = Control::new(self.control)?;
        match self.command {
            Command::Status => status::run(&control, self.json).await,
            Command::Config(arguments) => config::run(&control, &arguments).await,
            Command::Diff(arguments) => diff::run(&control, &arguments, self.json).await,
            Command::History => history::run(&control, self.json).await,
            Command::Patch(arguments) => patch::run(&control, arguments, self.json).await,
            Command::Targets(arguments) => targets::run(&control, &arguments, self.json).await,
            Command::Zone(arguments) => zone::run(&control, arguments).await,
            Command::Check(arguments) => check::run(&control, &arguments, self.json).await,
            Command::Rollout(arguments) => rollout::run(&control, arguments, self.json).await,
            Command::Dump(arguments) => dump::run(&control, &arguments).await,
        }
    }
}
