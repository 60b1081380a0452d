//! The subcommands. Most start a test double, print its address and run until a signal arrives.

mod booker;
mod caller;
mod engine;
mod platform;
mod ports;
mod proxy;
mod reporter;
mod service;

use std::fmt::Display;
use std::io::Write;

use bpaf::Bpaf;
use tokio::signal::unix::{SignalKind, signal};

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Http(#[from] azurelug_http::Error),
    #[error("the check of the responses failed: {0}; see the lines above")]
    CheckFailed(String),
    #[error("can't bind a port, print or wait for signals: {0}; keep standard output open")]
    Process(#[from] std::io::Error),
}

/// Test doubles for azurelug: each prints `ready ADDRESS` once it serves.
#[derive(Bpaf)]
#[bpaf(options)]
pub(crate) enum Command {
    /// A model engine
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::arguments))] engine::Arguments),
    /// A service that counts its executions
    #[bpaf(command)]
    Service(#[bpaf(external(service::arguments))] service::Arguments),
    /// Call a pipeline and check every response
    #[bpaf(command)]
    Caller(#[bpaf(external(caller::arguments))] caller::Arguments),
    /// Send each booking twice and check that it was executed once
    #[bpaf(command)]
    Booker(#[bpaf(external(booker::arguments))] booker::Arguments),
    /// Print ports that are currently free
    #[bpaf(command)]
    Ports(#[bpaf(external(ports::arguments))] ports::Arguments),
    /// A reporter of the engines' loads
    #[bpaf(command)]
    Reporter(#[bpaf(external(reporter::arguments))] reporter::Arguments),
    /// The platform's list of VMs
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::arguments))] platform::Arguments),
    /// A TCP proxy that injects faults
    #[bpaf(command)]
    Proxy(#[bpaf(external(proxy::arguments))] proxy::Arguments),
}

impl Command {
    pub(crate) async fn run(self) -> Result<(), Error> {
        match self {
            Self::Engine(arguments) => engine::run(arguments).await,
            Self::Service(arguments) => service::run(arguments).await,
            Self::Caller(arguments) => caller::run(arguments).await,
            Self::Booker(arguments) => booker::run(arguments).await,
            Self::Ports(arguments) => ports::run(&arguments),
            Self::Reporter(arguments) => reporter::run(arguments).await,
            Self::Platform(arguments) => platform::run(arguments).await,
            Self::Proxy(arguments) => proxy::run(arguments).await,
        }
    }
}

/// Prints the ready line and waits for SIGINT or SIGTERM.
async fn serve_until_signal(address: impl Display) -> Result<(), Error> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut output = std::io::stdout();
    writeln!(output, "ready {address}")?;
    output.flush()?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
