//! Starts the control daemon from its settings.

use std::process::ExitCode;
use std::sync::Arc;

use azurelug_http::Server;
use azurelug_settings::read;
use azurelug_wire::Listener;
use azurelug_wire::handshake::Identity;

use crate::daemons::Registry;
use crate::internal::Internal;
use crate::operators::Operators;
use crate::replica::Replica;
use crate::settings::{Options, Settings};

/// Why the daemon could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings do not fit.
    #[error(transparent)]
    Settings(#[from] azurelug_settings::Error),
    /// The operators' server failed.
    #[error(transparent)]
    Http(#[from] azurelug_http::Error),
    /// The internal listener failed.
    #[error(transparent)]
    Wire(#[from] azurelug_wire::Error),
    /// The runtime could not be started.
    #[error("can't start the runtime: {0}; check the limits on threads and memory")]
    Runtime(#[from] std::io::Error),
}

/// Runs the daemon and turns an error into one line and an exit code.
pub fn main(options: &Options) -> ExitCode {
    match start(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azurelug-control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> Result<(), Error> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: settings fit", options.settings.display());
        return Ok(());
    }
    settings.log.start()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let identity = Arc::new(Identity {
        cluster: settings.cluster.clone(),
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        key: read::shared_key(&settings.key_file)?,
    });
    let listener = Listener::bind(settings.internal, identity).await?;
    let server = Server::bind(settings.operators).await?;
    let replica = Replica::start();
    let registry = Arc::new(Registry::default());
    let internal = Internal {
        replica: replica.clone(),
        registry: Arc::clone(&registry),
    };
    let operators = Operators {
        name: settings.name.clone(),
        zone: settings.zone,
        replica,
        registry,
    };
    log::info!(
        "control: {} serves operators on {} and daemons on {}",
        settings.name,
        server.address(),
        listener.address()
    );
    tokio::spawn(listener.serve(move |peer, frame| internal.clone().handle(peer, frame)));
    server.serve(operators.router(), None).await?;
    Ok(())
}
