//! Starts the control daemon from its settings.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::raft::{self, RecoveredState};
use azurelug_http::h1::server::ShutdownState;
use azurelug_http::server::ShutdownHook;
use azurelug_http::{Client, Server, h1};
use azurelug_settings::read;
use azurelug_settings::runtime::run_to_exit;
use azurelug_storage::Files;
use azurelug_wire::Listener;
use azurelug_wire::handshake::Identity;

use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clients;
use crate::cluster::Cluster;
use crate::daemons::{self, Registry};
use crate::deployment::{handle, read_targets};
use crate::disk::{self, Disk, Generation};
use crate::gateways::Gateways;
use crate::internal::{FrameHandler, wall_clock_ms};
use crate::operators::OperatorApi;
use crate::orders::Engines;
use crate::peers::Peers;
use crate::platform;
use crate::quarantine::Archive;
use crate::replica::Replica;
use crate::replica::task::{self, Task};
use crate::rollouts::Rollouts;
use crate::settings::{Discovery, Options, Settings};
use crate::shares::Shares;
use crate::updates::Updates;
use crate::versions;

/// Why the daemon could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] azurelug_settings::Error),
    /// The operators' server failed.
    #[error(transparent)]
    Http(#[from] azurelug_http::Error),
    /// The internal listener failed.
    #[error(transparent)]
    Wire(#[from] azurelug_wire::Error),
    /// The data folder can't be used.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The member of the replicated log ended.
    #[error(transparent)]
    Replica(#[from] task::Error),
    /// The runtime could not be started.
    #[error("can't start the runtime: {0}; check the limits on threads and memory")]
    Runtime(#[from] std::io::Error),
}

/// Runs the daemon; prints an error as one line and returns the exit code.
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
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    settings.log.start()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    run_to_exit(runtime, serve(settings, options))
}

async fn serve(settings: Settings, options: &Options) -> Result<(), Error> {
    let path = &options.settings;
    let cluster = Cluster::new(&settings);
    let identity = Arc::new(Identity {
        cluster: settings.cluster.clone(),
        daemon: cluster.own_name(&settings),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        key: read::shared_key(path, &settings.key_file)?,
    });
    let listener = Listener::bind(settings.internal, Arc::clone(&identity)).await;
    let listener = listener.map_err(|error| bind_error(path, "internal", error))?;
    let server = Server::bind(settings.operators).await;
    let server = server.map_err(|error| bind_error(path, "operators", error))?;
    let peers = Peers::new(cluster.clone(), &identity);
    let (task, replica, generation) =
        prepare_member(&settings, options.initialize, &cluster, &peers).await?;
    let own_slot = cluster.own_slot(&settings);
    let gateways = Gateways::new(replica.clone(), peers, cluster.clone(), own_slot);
    let gateways = match settings.bounds {
        Some(_) => gateways.with_rollouts(),
        None => gateways,
    };
    let rollouts = settings
        .bounds
        .map(|bounds| Rollouts::new(replica.clone(), gateways.clone(), bounds));
    let shares = Shares::new(
        settings.zone.clone(),
        generation.number,
        generation.is_first,
        &settings.data,
    );
    tokio::spawn(shares.clone().run(replica.watch_config()));
    let engines = Engines::new(settings.orders, replica.clone())?;
    tokio::spawn(engines.clone().run());
    let registry = Arc::new(Registry::new());
    tokio::spawn(daemons::run_ticks(Arc::clone(&registry)));
    if let Some(platform) = settings.platform {
        tokio::spawn(platform::poll(
            Arc::clone(&registry),
            Client::pooled()?,
            platform,
        ));
    }
    let frame_handler = FrameHandler {
        replica: replica.clone(),
        registry: Arc::clone(&registry),
        updates: Updates::new(replica.clone()),
        shares: shares.clone(),
        cluster,
        gateways: gateways.clone(),
    };
    let clients = clients::bounds(&settings);
    let operator_limits = h1::server::Limits::idle(OPERATORS_IDLE_TIMEOUT);
    let operator_bounds = (clients.connections.clone(), operator_limits);
    let operator_api = OperatorApi {
        clients: clients.clone(),
        name: settings.name.clone(),
        zone: settings.zone,
        replica: replica.clone(),
        registry,
        shares,
        engines,
        rollouts: rollouts.clone(),
    };
    log::info!(
        "control: {} serves operators on {} and daemons on {}",
        settings.name,
        server.address(),
        listener.address()
    );
    tokio::spawn(listener.serve(move |peer, frame| frame_handler.clone().handle(peer, frame)));
    if let Some(deployment) = settings.deployment {
        let listener = TcpListener::bind(deployment.operators).await;
        let listener = listener.map_err(|error| bind_error(path, "deployment.operators", error))?;
        let archive = Archive::new(&settings.data, Files::new());
        gateways.receive_suspects(&archive.read(wall_clock_ms()));
        tokio::spawn(gateways.clone().run_archive(archive));
        tokio::spawn(gateways.clone().run_exchange());
        tokio::spawn(versions::run(replica.clone(), gateways.clone()));
        tokio::spawn(read_targets(gateways, deployment.targets));
        let (stage, stages) = watch::channel(ShutdownState::Serving);
        let call_replica = replica.clone();
        let connections = clients.connections.clone();
        let limits = move || operator_limits;
        if let Some(rollouts) = &rollouts {
            tokio::spawn(rollouts.clone().run());
        }
        let handler = move |request| {
            handle(
                call_replica.clone(),
                clients.clone(),
                rollouts.clone(),
                request,
            )
        };
        let calls =
            h1::server::serve_bounded(listener, connections, limits, stages.clone(), handler);
        tokio::spawn(calls);
        tokio::spawn(server.serve_until(operator_api.router(), operator_bounds, stages));
        return tokio::select! {
            result = task.run() => Ok(result?),
            result = stop_signal() => {
                result?;
                log::info!("control: stopping");
                leave(&replica).await;
                stage.send_replace(ShutdownState::Closing);
                sleep(HAND_OVER_PAUSE).await;
                Ok(())
            }
        };
    }
    let hand_over: ShutdownHook = Box::new(move || Box::pin(async move { leave(&replica).await }));
    tokio::select! {
        result = task.run() => result?,
        result = server.serve_bounded(operator_api.router(), hand_over, operator_bounds) => result?,
    }
    Ok(())
}

/// Pause before the data folder is opened again if the disk is full at the start.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);

/// Idle timeout of operators' connections.
const OPERATORS_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time that a stopping daemon waits until a learner has its vote: an election, a learner
/// that is a heartbeat behind, and two changes of the membership, each with a sync on a slow disk.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Hands over what the cluster needs of this daemon before it stops.
async fn leave(replica: &Replica) {
    if !replica.leave(LEAVE_TIMEOUT).await {
        log::warn!(
            "control: no other member has taken over in time; check that a majority of the voters \
             and a caught-up learner run"
        );
    }
}

/// Time in which running calls are answered after the leadership was handed over.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(500);

/// Waits for SIGTERM or SIGINT. SIGHUP means that the settings file has changed, but settings take
/// effect only at a start.
async fn stop_signal() -> Result<(), std::io::Error> {
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut hung_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminated.recv() => return Ok(()),
            _ = interrupted.recv() => return Ok(()),
            _ = hung_up.recv() => {
                log::info!("control: SIGHUP ignored; settings change only after a restart");
            }
        }
    }
}

/// Opens the data folder and prepares the member of the replicated log.
async fn prepare_member(
    settings: &Settings,
    initialize: bool,
    cluster: &Cluster,
    peers: &Peers,
) -> Result<(Task, Replica, Generation), Error> {
    let own_slot = cluster.own_slot(settings);
    let slots = cluster.slots();
    let is_first = settings.discovery.as_ref().is_some_and(|it| it.first_start);
    let initialize = (initialize || is_first) && cluster.is_founder();
    let number = cluster_number(&settings.cluster);
    let data_folder = disk::DataFolder {
        folder: settings.data.clone(),
        cluster: number,
        slot: own_slot,
        founders: slots.clone(),
        storage: rand::random(),
        files: Arc::new(Files::new),
    };
    let opened = open_data_folder(&data_folder, initialize).await?;
    let generation = opened.0.generation();
    let raft = raft::Settings {
        peers: slots.into_iter().filter(|slot| *slot != own_slot).collect(),
        target_voters: settings.discovery.as_ref().map(Discovery::voters),
        ..raft::Settings::default()
    };
    let raft = match settings
        .discovery
        .as_ref()
        .and_then(Discovery::replace_after)
    {
        Some(replace_after) => raft::Settings {
            replace_after: replace_after.max(raft.election_timeout),
            remove_after: raft.remove_after.max(replace_after),
            ..raft
        },
        None => raft,
    };
    let (task, replica) = Task::new(raft, data_folder, opened, peers.clone())?;
    Ok((task, replica, generation))
}

/// Opens the data folder; waits for room if the disk is full.
async fn open_data_folder(
    data_folder: &disk::DataFolder,
    initialize: bool,
) -> Result<(Disk, RecoveredState), disk::Error> {
    let mut is_first = true;
    loop {
        match Disk::open(data_folder, initialize) {
            Err(error) if error.is_full() => {
                if std::mem::take(&mut is_first) {
                    log::error!("control: {error}; retrying until the disk has room");
                }
                sleep(DISK_FULL_PAUSE).await;
            }
            opened => return opened,
        }
    }
}

/// The number of a cluster in the log and on the disk: the first 16 bytes of the SHA-256 of its id.
fn cluster_number(id: &str) -> u128 {
    let digest = Sha256::digest(id.as_bytes());
    u128::from_be_bytes(*digest.first_chunk().expect("a SHA-256 has 32 bytes"))
}

/// The error for an address that can't be bound, with the settings field of the address.
fn bind_error(path: &Path, field: &str, error: impl Display) -> Error {
    let help = "or choose another address here";
    azurelug_settings::Error::value(path, field, error.to_string(), help).into()
}
