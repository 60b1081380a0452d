//! Keeps the gateway's knowledge of orders, targets and other gateways current by polling a control
//! daemon.

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

/// Time between two polls, as a part of the time in which a change must be in force. A change waits
/// for a heartbeat of the replicated log, a poll and the transfer of a document.
const INTERVAL_PART: f64 = 0.15;

/// The longest time between two polls: they also tell of gateways that are gone.
const MAX_INTERVAL: Duration = Duration::from_millis(300);

/// Age of a control daemon's state at which it is left for another one, as a part of the time in
/// which a change must be in force. Its freshness probes come four times a second.
const STALE_PART: f64 = 0.6;

/// The least such age: several freshness probes.
const MIN_STALE: Duration = Duration::from_millis(600);

/// The largest such age.
const MAX_STALE: Duration = Duration::from_millis(1200);

/// Part of the time in which a leaving target must get no new work that is left for its poll; the
/// control daemons' read of the list and its way take the rest.
const DRAIN_PART: f64 = 2.0 / 3.0;

/// A poll without an answer for this long is given up. Several round trips between zones.
const POLL_LIMIT: Duration = Duration::from_millis(500);

/// A document that does not come within this time is given up: half a megabyte over a 10 Mbit/s
/// link takes 0.4 s.
const DOCUMENT_LIMIT: Duration = Duration::from_secs(2);

/// A control daemon whose list of targets is older than this is left for another one.
const STALE_LIST: Duration = Duration::from_secs(3);

/// Pause after every known control daemon has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How often control daemons are polled, and when they are left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time between two polls.
    pub interval: Duration,
    /// Age of a control daemon's state at which it is left for another one.
    pub stale: Duration,
}

impl Pace {
    /// The pace that keeps the operators' bounds.
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
        // Each gateway starts with another control daemon, so that the polls spread.
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
        log::info!("gateway: follows control {address}");
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
            _ => return Err("not an answer to a poll".to_owned()),
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
            return Err("its state is older than the one held here".to_owned());
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
                log::info!("gateway: {} targets listed", targets.entries.len());
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

    /// Fetches the document in force if it is newer than the one held here.
    async fn fetch(&self, connection: &Connection, version: u64) -> Result<(), String> {
        let held = self.gateway.table();
        if held.is_some_and(|table| table.deployment().version >= version) {
            return Ok(());
        }
        let fetched = timeout(DOCUMENT_LIMIT, fetch(connection)).await;
        let bytes = match fetched {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => return Err(format!("configuration {version}: {error}")),
            Err(_) => return Err(format!("configuration {version} did not come in time")),
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
        message: "the document is not whole".to_owned(),
    })
}
