//! Starts the gateway from its settings and shuts it down gracefully.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::h1::server::{Limits, ShutdownState, serve};
use azurelug_settings::read;
use azurelug_types::fleet::Pieces;
use azurelug_wire::frame::Hello;
use azurelug_wire::handshake::Identity;
use azurelug_wire::server::Reply;
use azurelug_wire::{Frame, Listener};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::gateway::Gateway;
use crate::settings::{Options, Settings};
use crate::{admin, control, serve as clients};

/// How long a stopping gateway still accepts requests after it reports not ready: the load balancer
/// checks once a second and removes a gateway after two failed checks.
const DRAIN_TIME: Duration = Duration::from_millis(2600);

/// Time of the grace period that must remain when the process exits.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// How often expired idle connections to targets are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Why the gateway could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] azurelug_settings::Error),
    /// The runtime or the signals could not be set up.
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
    runtime.block_on(run(settings, &options.settings))
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
    let internal = Listener::bind(settings.internal, Arc::clone(&identity)).await;
    let internal = internal.map_err(|error| bind_error(path, "internal", error))?;
    let gateway = Arc::new(Gateway::new(&settings, Arc::clone(&identity)));
    log::info!(
        "gateway: {} in zone {} serves clients on {}",
        settings.name,
        settings.zone,
        settings.clients
    );
    let grace = settings.bounds.grace.0;
    tokio::spawn(control::run(Arc::clone(&gateway), settings, identity));
    tokio::spawn(prune(Arc::clone(&gateway)));
    let peers = Arc::clone(&gateway);
    tokio::spawn(
        internal.serve(move |peer, frame| handle_peer_frame(Arc::clone(&peers), peer, frame)),
    );
    let (stage, stages) = watch::channel(ShutdownState::Serving);
    // Admin connections stay open until the exit, so that the load balancer can read the readiness.
    let (_admin_stage, admin_stages) = watch::channel(ShutdownState::Serving);
    let state = Arc::clone(&gateway);
    let admin_handler = move |request| admin::handle(Arc::clone(&state), request);
    tokio::spawn(serve(
        admin_listener,
        Limits::default,
        admin_stages,
        admin_handler,
    ));
    let limited = Arc::clone(&gateway);
    let limits = move || client_limits(&limited);
    let handler = Arc::clone(&gateway);
    let client_handler = move |request| clients::handle(Arc::clone(&handler), request);
    let mut serving = tokio::spawn(serve(client_listener, limits, stages, client_handler));
    stop_signal().await?;
    log::info!("gateway: stopping, not ready");
    gateway.set_stopping();
    sleep(DRAIN_TIME).await;
    stage.send_replace(ShutdownState::Closing);
    let time_left = grace.saturating_sub(DRAIN_TIME + GRACE_MARGIN);
    let finished = timeout(time_left, &mut serving).await.is_ok();
    let in_flight = gateway.metrics.in_flight.get();
    log::info!("gateway: stopped; finished={finished} in_flight={in_flight}");
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
        Frame::Pieces(order) => {
            let (sender, frames) = mpsc::channel(2);
            tokio::spawn(run_pieces(gateway, order, sender));
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

/// Confirms another gateway's order and runs it; cancels it if that gateway drops the stream.
async fn run_pieces(gateway: Arc<Gateway>, order: Pieces, frames: mpsc::Sender<Frame>) {
    if frames.send(Frame::PiecesTaken).await.is_err() {
        return;
    }
    let end = tokio::select! {
        end = gateway.dispatch_workers.run(&gateway, order) => end,
        () = frames.closed() => return,
    };
    // The other gateway may have gone away in the meantime.
    let _ = frames.send(Frame::PiecesEnd(end)).await;
}

async fn prune(gateway: Arc<Gateway>) {
    let mut ticks = interval(PRUNE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gateway.upstream.prune();
    }
}

/// Waits for a signal to stop. SIGHUP only causes a log line, because no setting can change while
/// the daemon runs.
async fn stop_signal() -> Result<(), std::io::Error> {
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
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| bind_error(path, field, error))
}

/// Error for an address that can't be bound, with its settings field.
fn bind_error(path: &Path, field: &str, error: impl Display) -> Error {
    let help = "free the address or choose another one here";
    azurelug_settings::Error::value(path, field, error.to_string(), help).into()
}
