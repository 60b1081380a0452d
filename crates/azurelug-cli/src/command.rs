//! The commands, one file each.

mod config;
mod dump;
mod history;
mod patch;
mod status;
mod zone;

use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::control::Control;
use crate::error::Error;

/// Operators' command line of azurelug
///
/// Examples:
///   azurelug --control 10.0.0.1:7101 status
///   azurelug --control 10.0.0.1:7101 zone drain zone-a --author ana
///   azurelug --control 10.0.0.1:7101 patch changes.yaml --author ana --dry-run
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// Operators' address of a control daemon; may be repeated, tried in order
    #[bpaf(
        argument("ADDRESS"),
        some("name at least one control daemon with --control ADDRESS")
    )]
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
    #[bpaf(command)]
    Status,
    /// Show the configuration in force
    #[bpaf(command)]
    Config,
    /// Show the accepted patches
    #[bpaf(command)]
    History,
    /// Send a patch from a YAML file with a list of changes
    #[bpaf(command)]
    Patch(#[bpaf(external(patch::arguments))] patch::Arguments),
    /// Drain a zone or take it back into service
    #[bpaf(command)]
    Zone(#[bpaf(external(zone::arguments))] zone::Arguments),
    /// Print the state of any daemon
    #[bpaf(command)]
    Dump(#[bpaf(external(dump::arguments))] dump::Arguments),
}

impl Options {
    pub(crate) async fn run(self) -> Result<(), Error> {
        let control = Control::new(self.control)?;
        match self.command {
            Command::Status => status::run(&control, self.json).await,
            Command::Config => config::run(&control).await,
            Command::History => history::run(&control, self.json).await,
            Command::Patch(arguments) => patch::run(&control, arguments).await,
            Command::Zone(arguments) => zone::run(&control, arguments).await,
            Command::Dump(arguments) => dump::run(&control, &arguments).await,
        }
    }
}
