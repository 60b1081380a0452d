//! Starts the gateway from its settings and shuts it down gracefully.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::shutdown::Shutdown;
use azurelug_http::clients::ADMIN_CONNECTIONS;
use azurelug_http::h1::server::{Connections, Limits, ShutdownState, serve_bounded};
use azurelug_settings::read;
use azurelug_settings::runtime::run_to_exit;
use azurelug_types::fleet::Pieces;
use azurelug_wire::frame::Hello;
use azurelug_wire::handshake::Identity;
use azurelug_wire::server::Reply;
use azurelug_wire::{Frame, Listener};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until, timeout_at};

use crate::gateway::Gateway;
use crate::settings::{Options, Settings};
use crate::{admin, control, serve as clients};

/// How often a stopping gateway checks whether all requests have ended.
const IN_FLIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often expired idle connections to targets are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// A fatal error of the gateway.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] azurelug_settings::Error),
    /// The logger, the runtime or the signal handlers could not be set up.
    #[error("can't start: {0}; check the limits on threads, memory and descriptors")]
    Runtime(#[from] std::io::Error),
}

/// Runs the gateway; prints an error as one line and returns the exit code.
pub fn main(options: &Options) -> ExitCode {
    match start(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("azurelug-gateway: {error}");
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
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    run_to_exit(runtime, run(settings, &options.settings))
}

async fn run(settings: Settings, path: &Path) -> Result<(), Error> {
    let identity = Arc::new(Identity {
        cluster: settings.cluster.clone(),
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        key: read::shared_key(path, &settings.key_file)?,
    });
    let client_listener = bind(path, "clients", settings.clients).await?;
    let admin_listener = bind(path, "admin", settings.admin).await?;
    let internal_listener = Listener::bind(settings.internal, Arc::clone(&identity)).await;
    let internal_listener =
        internal_listener.map_err(|error| bind_error(path, "internal", error))?;
    let gateway = Arc::new(Gateway::new(&settings, Arc::clone(&identity)));
    log::info!(
        "gateway: {} in zone {} serves clients on {}",
        settings.name,
        settings.zone,
        settings.clients
    );
    let grace_period = settings.bounds.grace.0;
    let leaver = Arc::clone(&identity);
    tokio::spawn(control::run(Arc::clone(&gateway), settings, identity));
    tokio::spawn(Arc::clone(&gateway).report_streams());
    tokio::spawn(prune_idle_connections(Arc::clone(&gateway)));
    let peer_gateway = Arc::clone(&gateway);
    tokio::spawn(
        internal_listener
            .serve(move |peer, frame| handle_peer_frame(Arc::clone(&peer_gateway), peer, frame)),
    );
    let (client_shutdown, client_shutdown_receiver) = watch::channel(ShutdownState::Serving);
    // The admin server runs until the process exits, so that readiness checks are still answered.
    let (_admin_shutdown, admin_shutdown_receiver) = watch::channel(ShutdownState::Serving);
    let admin_gateway = Arc::clone(&gateway);
    let admin_handler = move |request| admin::handle(Arc::clone(&admin_gateway), request);
    tokio::spawn(serve_bounded(
        admin_listener,
        Connections::new(ADMIN_CONNECTIONS),
        Limits::default,
        admin_shutdown_receiver,
        admin_handler,
    ));
    let limits_gateway = Arc::clone(&gateway);
    let limits = move || client_limits(&limits_gateway);
    let client_gateway = Arc::clone(&gateway);
    let client_handler = move |request| clients::handle(Arc::clone(&client_gateway), request);
    let mut client_server = tokio::spawn(serve_bounded(
        client_listener,
        gateway.clients.connections.clone(),
        limits,
        client_shutdown_receiver,
        client_handler,
    ));
    wait_for_stop_signal().await?;
    let shutdown = Shutdown::new(gateway.now(), grace_period);
    log::info!("gateway: stopping, not ready");
    gateway.stop(shutdown);
    sleep_until(gateway.at(shutdown.accepts_until())).await;
    client_shutdown.send_replace(ShutdownState::Closing);
    let drained = async {
        // The server ends with its connections; a panic in it has been logged.
        let _ = (&mut client_server).await;
        // Requests that may run only once go on without their clients.
        while gateway.metrics.in_flight.get() > 0 {
            sleep(IN_FLIGHT_CHECK_INTERVAL).await;
        }
    };
    let exits_at = gateway.at(shutdown.exits_at());
    let is_finished = timeout_at(exits_at, drained).await.is_ok();
    gateway.set_exiting();
    control::announce_leave(&gateway, leaver).await;
    let in_flight = gateway.metrics.in_flight.get();
    log::info!("gateway: stopped; finished={is_finished} in_flight={in_flight}");
    Ok(())
}

/// The configured limits of client connections.
fn client_limits(gateway: &Gateway) -> Limits {
    let limits = gateway.client_limits();
    Limits {
        idle: limits.idle_timeout,
        head: limits.head_timeout,
        head_bytes: limits.max_head_bytes,
    }
}

/// Answers a frame from another gateway.
async fn handle_peer_frame(gateway: Arc<Gateway>, peer: Arc<Hello>, frame: Frame) -> Reply {
    match frame {
        Frame::Pieces(pieces) => {
            let (sender, frames) = mpsc::channel(2);
            tokio::spawn(run_pieces(gateway, *pieces, sender));
            Reply::Stream(frames)
        }
        Frame::Book(booking) => Reply::One(gateway.dispatch_workers.book(&gateway, &booking)),
        Frame::Unbook { request } => {
            gateway.dispatch_workers.unbook(&request);
            Reply::One(Frame::Done)
        }
        Frame::Release { handles } => {
            gateway.dispatch_workers.release(&gateway, &handles);
            Reply::One(Frame::Done)
        }
        Frame::TakePermits(request) => Reply::One(gateway.grant_permits(&request)),
        Frame::TakeProbe(parts) => Reply::One(Frame::ProbeTaken {
            is_granted: gateway.grant_probe(&parts),
        }),
        Frame::Probe => Reply::One(Frame::Done),
        _ => {
            log::warn!(
                "gateway: {} sent a frame that is not a request",
                peer.sender
            );
            Reply::One(Frame::Refused {
                message: "not a request".to_owned(),
            })
        }
    }
}

/// Confirms pieces from another gateway and runs them; cancels them if it closes the stream.
async fn run_pieces(gateway: Arc<Gateway>, pieces: Pieces, frames: mpsc::Sender<Frame>) {
    if frames.send(Frame::PiecesTaken).await.is_err() {
        return;
    }
    let end = tokio::select! {
        end = gateway.dispatch_workers.run(&gateway, pieces) => end,
        () = frames.closed() => return,
    };
    // The other gateway may have closed the stream in the meantime.
    let _ = frames.send(Frame::PiecesEnd(end)).await;
}

async fn prune_idle_connections(gateway: Arc<Gateway>) {
    let mut ticker = interval(PRUNE_INTERVAL);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        gateway.upstream.prune();
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged, because settings are read at startup only.
async fn wait_for_stop_signal() -> Result<(), std::io::Error> {
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut hung_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminated.recv() => return Ok(()),
            _ = interrupted.recv() => return Ok(()),
            _ = hung_up.recv() => {
                log::info!("gateway: SIGHUP ignored; settings change only after a restart");
            }
        }
    }
}

async fn bind(path: &Path, field: &str, address: SocketAddr) -> Result<TcpListener, Error> {
    let result = TcpListener::bind(address).await;
    result.map_err(|error| bind_error(path, field, error))
}

/// Reports that the address in the given settings field can't be result.
fn bind_error(path: &Path, field: &str, error: impl Display) -> Error {
    let hint = "free the address or choose another one here";
    azurelug_settings::Error::value(path, field, error.to_string(), hint).into()
}
