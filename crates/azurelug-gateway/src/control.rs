//! Polls a control daemon for operators' orders, the configuration, the targets and the other
//! gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::owner;
use azurelug_core::gateway::table::Table;
use azurelug_platform::document;
use azurelug_types::fleet::{Poll, Polled};
use azurelug_wire::frame::CONFIGURATION_LIMIT;
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame};
use rand::RngExt;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::settings::{Bounds, Settings};

/// Poll interval as a fraction of the time within which a change must be in force. A change waits
/// for a heartbeat of the replicated log, a poll and the transfer of the document.
const INTERVAL_PART: f64 = 0.15;

/// Longest poll interval; polls also report gateways that have left.
const MAX_INTERVAL: Duration = Duration::from_millis(300);

/// State age at which the gateway switches to another control daemon, as a fraction of the time
/// within which a change must be in force. Control daemons probe freshness four times a second.
const STALE_PART: f64 = 0.6;

/// Lower limit of that age: several freshness probes.
const MIN_STALE: Duration = Duration::from_millis(600);

/// Upper limit of that age.
const MAX_STALE: Duration = Duration::from_millis(1200);

/// Fraction of the drain bound that is available for the poll. The rest covers the control daemons'
/// read of the target list and its transfer.
const DRAIN_PART: f64 = 2.0 / 3.0;

/// Timeout of a poll: several round trips between zones.
const POLL_LIMIT: Duration = Duration::from_millis(500);

/// Timeout for fetching the configuration document: half a megabyte over a 10 Mbit/s link takes
/// 0.4 s.
const DOCUMENT_LIMIT: Duration = Duration::from_secs(2);

/// Age of the target list at which the gateway switches to another control daemon.
const STALE_LIST: Duration = Duration::from_secs(3);

/// Pause after all known control daemons have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Poll interval and the state age at which the control daemon is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time between two polls.
    pub interval: Duration,
    /// State age at which the gateway switches to another control daemon.
    pub stale: Duration,
}

impl Pace {
    /// Derives the timing from the operators' bounds.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        let time = bounds.apply.0.min(bounds.drain.0.mul_f64(DRAIN_PART));
        Self {
            interval: time.mul_f64(INTERVAL_PART).min(MAX_INTERVAL),
            stale: time.mul_f64(STALE_PART).clamp(MIN_STALE, MAX_STALE),
        }
    }
}

/// Polls until the program ends.
pub async fn run(gateway: Arc<Gateway>, settings: Settings, identity: Arc<Identity>) {
    let port = settings.internal.port();
    let seeds = settings.seeds.iter();
    let seeds: Vec<SocketAddr> = seeds.map(|seed| (seed.ip(), port).into()).collect();
    let mut link = Link {
        pace: Pace::new(&settings.bounds),
        gateway,
        identity,
        known: seeds.clone(),
        targets: 0,
        is_listed: false,
    };
    loop {
        // The order differs by gateway, which spreads the polls over the control daemons.
        let mut candidates: Vec<SocketAddr> = link.known.clone();
        candidates.extend(seeds.iter().filter(|seed| !link.known.contains(seed)));
        let own = link.gateway.name.clone();
        let ranked = owner::ranked(own.as_str(), &candidates);
        let ranked: Vec<SocketAddr> = ranked.into_iter().copied().collect();
        for address in ranked {
            link.follow(address).await;
        }
        sleep(RETRY_PAUSE).await;
    }
}

struct Link {
    pace: Pace,
    gateway: Arc<Gateway>,
    identity: Arc<Identity>,
    /// Internal addresses of the control daemons.
    known: Vec<SocketAddr>,
    /// Digest of the targets in force.
    targets: u64,
    is_listed: bool,
}

impl Link {
    /// Polls one control daemon for as long as it answers with current state.
    async fn follow(&mut self, address: SocketAddr) {
        let connection = match Connection::open(address, Arc::clone(&self.identity)).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("gateway: control {address}: {error}");
                return;
            }
        };
        log::info!("gateway: polling control {address}");
        loop {
            self.gateway.peers.probe(&self.gateway);
            self.gateway.notice_cuts();
            if let Err(reason) = self.poll(&connection).await {
                self.gateway.metrics.control_losses.inc();
                log::warn!("gateway: leaves control {address}: {reason}");
                return;
            }
            let jitter = rand::rng().random_range(0.85..1.15);
            sleep(self.pace.interval.mul_f64(jitter)).await;
        }
    }

    async fn poll(&mut self, connection: &Connection) -> Result<(), String> {
        let poll = Poll {
            peer: self.gateway.peers.own().clone(),
            targets: self.targets,
            peers: self.gateway.peers.digest(),
        };
        let sent = Instant::now();
        let answer = connection.call(Frame::Poll(poll), POLL_LIMIT).await;
        let polled = match answer.map_err(|error| error.to_string())? {
            Frame::Polled(polled) => polled,
            _ => return Err("unexpected answer to a poll".to_owned()),
        };
        self.take(connection, polled, sent).await
    }

    async fn take(
        &mut self,
        connection: &Connection,
        polled: Polled,
        sent: Instant,
    ) -> Result<(), String> {
        let age = Duration::from_millis(polled.age_ms);
        if let Some(version) = polled.version {
            self.fetch(connection, version).await?;
        }
        let as_of = sent.checked_sub(age).unwrap_or(sent);
        if polled.version.is_some() && !self.gateway.refreshed(polled.sequence, as_of) {
            return Err("its state is older than this gateway's".to_owned());
        }
        if !polled.controls.is_empty() {
            self.known = polled.controls;
        }
        if let Some(peers) = polled.peers {
            self.gateway.peers.list(peers);
            self.is_listed = true;
        }
        let list_age = polled.targets_age_ms.map(Duration::from_millis);
        {
            let mut fleet = self.gateway.fleet();
            fleet.drain(polled.drained.into_iter().collect());
            if let Some(targets) = polled.targets {
                log::info!(
                    "gateway: new target list with {} targets",
                    targets.entries.len()
                );
                fleet.list(&targets.entries, self.gateway.now());
                self.targets = targets.digest;
            }
        }
        self.gateway.stations.relist(&self.gateway);
        self.gateway.share_connections();
        if age > self.pace.stale {
            return Err(format!("its state is {} ms old", age.as_millis()));
        }
        match list_age {
            Some(age) if age > STALE_LIST => {
                Err(format!("its list of targets is {} ms old", age.as_millis()))
            }
            _ => Ok(()),
        }
    }

    /// Fetches the configuration document if it is newer than the one in force in this gateway.
    async fn fetch(&self, connection: &Connection, version: u64) -> Result<(), String> {
        let held = self.gateway.table();
        if held.is_some_and(|table| table.deployment().version >= version) {
            return Ok(());
        }
        let fetched = timeout(DOCUMENT_LIMIT, fetch(connection)).await;
        let bytes = match fetched {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => return Err(format!("configuration {version}: {error}")),
            Err(_) => return Err(format!("configuration {version} was not received in time")),
        };
        match document::read(&bytes) {
            Ok(deployment) => {
                self.gateway.configure(Table::new(Arc::new(deployment)));
                Ok(())
            }
            Err(error) => Err(format!("configuration {version}: {error}")),
        }
    }
}

async fn fetch(connection: &Connection) -> Result<Vec<u8>, Error> {
    let mut frames = connection.subscribe(Frame::FetchDocument).await?;
    let mut document = Vec::new();
    while let Some(Frame::ConfigurationPart { total, bytes }) = frames.recv().await {
        document.extend_from_slice(&bytes);
        if total > CONFIGURATION_LIMIT {
            break;
        }
        if document.len() as u64 >= total {
            return Ok(document);
        }
    }
    Err(Error::Closed {
        message: "the configuration document is incomplete".to_owned(),
    })
}
