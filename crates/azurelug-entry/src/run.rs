//! Starts the entry daemon from its settings.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use azurelug_http::Server;
use azurelug_http::clients::ADMIN_CONNECTIONS;
use azurelug_http::h1::server::Connections;
use azurelug_http::server::ShutdownHook;
use azurelug_settings::read;
use azurelug_settings::runtime::run_to_exit;
use azurelug_wire::handshake::Identity;

use crate::control_link::ControlLink;
use crate::entry_state::EntryState;
use crate::settings::{Options, Settings};
use crate::shares::Shares;
use crate::{admin, admission, api, cache_events, clients, polling, shutdown};

/// The daemon could not start, or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] azurelug_settings::Error),
    /// A server failed.
    #[error(transparent)]
    Http(#[from] azurelug_http::Error),
    /// The runtime could not be started.
    #[error("can't start the async runtime: {0}; check the limits on threads and memory")]
    Runtime(#[from] std::io::Error),
}

/// Runs the daemon; prints an error as one line and returns the exit code.
pub fn main(options: &Options) -> ExitCode {
    match start(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azurelug-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(options: &Options) -> Result<(), Error> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    settings.log.start()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    run_to_exit(runtime, serve(settings, &options.settings))
}

async fn serve(settings: Settings, path: &Path) -> Result<(), Error> {
    let identity = Identity {
        cluster: settings.cluster.clone(),
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        key: read::shared_key(path, &settings.key_file)?,
    };
    let callers = Server::bind(settings.callers).await;
    let callers = callers.map_err(|error| bind_error(path, "callers", error))?;
    let admin = Server::bind(settings.admin).await;
    let admin = admin.map_err(|error| bind_error(path, "admin", error))?;
    let identity = Arc::new(identity);
    let addresses = settings
        .control
        .iter()
        .map(|control| control.address)
        .collect();
    let link = ControlLink::new(addresses, Arc::clone(&identity));
    let controls = settings
        .control
        .iter()
        .map(|control| (control.zone.clone(), control.address));
    let shares = Shares::new(
        settings.name.clone(),
        settings.zone.clone(),
        identity.incarnation,
        controls.collect(),
    );
    let bounds = clients::bounds(settings.machine(), &settings.client_limits);
    let (name, zone) = (settings.name.clone(), settings.zone.clone());
    let entry_state = Arc::new(EntryState::new(name, zone, link, shares)?.with_clients(bounds));
    tokio::spawn(
        entry_state
            .control_link
            .clone()
            .maintain_connection(Arc::downgrade(&entry_state)),
    );
    Shares::spawn_renewals(&entry_state, &identity);
    tokio::spawn(admission::run(Arc::downgrade(&entry_state)));
    let polls = cache_events::run(Arc::downgrade(&entry_state), settings.cache_events_bytes);
    tokio::spawn(polls);
    if !settings.reporters.is_empty() {
        let polled = polling::poll_reporters(Arc::downgrade(&entry_state), settings.reporters);
        tokio::spawn(polled);
    }
    if let Some(platform) = settings.platform {
        tokio::spawn(polling::poll_platform(
            Arc::downgrade(&entry_state),
            platform,
        ));
    }
    log::info!(
        "entry: {} serves callers on {} and operators on {}",
        entry_state.name,
        callers.address(),
        admin.address()
    );
    let (drain_wait, finish_wait) = (settings.drain_wait.0, settings.finish_wait.0);
    let stopping = Arc::clone(&entry_state);
    let stop: ShutdownHook =
        Box::new(move || Box::pin(shutdown::run(stopping, drain_wait, finish_wait)));
    let waiting = Arc::clone(&entry_state);
    let wait: ShutdownHook =
        Box::new(move || Box::pin(async move { waiting.shutdown.wait_done().await }));
    let connections = entry_state.clients.connections.clone();
    let caller_bounds = (connections, clients::CONNECTION_LIMITS);
    let admin_bounds = (
        Connections::new(ADMIN_CONNECTIONS),
        clients::CONNECTION_LIMITS,
    );
    let (callers, admin) = tokio::join!(
        callers.serve_bounded(api::router(&entry_state), stop, caller_bounds),
        admin.serve_bounded(admin::router(&entry_state), wait, admin_bounds),
    );
    callers?;
    admin?;
    Ok(())
}

/// Builds the error for an address that can't be bound, with the settings field that holds it.
fn bind_error(path: &Path, field: &str, error: impl Display) -> Error {
    let help = "or choose another address here";
    azurelug_settings::Error::value(path, field, error.to_string(), help).into()
}
