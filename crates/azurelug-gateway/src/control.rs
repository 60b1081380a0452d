//! Polls a control daemon for operators' orders, the configuration, the targets and the other
//! gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_clock::Watch;
use azurelug_core::gateway::limits::Knowledge;
use azurelug_core::gateway::rendezvous;
use azurelug_core::gateway::table::Table;
use azurelug_platform::document;
use azurelug_types::fleet::{Poll, Polled};
use azurelug_types::id::TargetName;
use azurelug_wire::frame::CONFIGURATION_LIMIT;
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame};
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::settings::{Bounds, Settings};

/// Poll interval as a fraction of the time within which a change must be in force. A change waits
/// for a heartbeat of the replicated log, a poll and the transfer of the document.
const POLL_INTERVAL_FRACTION: f64 = 0.15;

/// Longest poll interval; polls also report gateways that have left.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// State age at which the gateway switches to another control daemon, as a fraction of the time
/// within which a change must be in force. Control daemons probe freshness four times a second.
const MAX_STATE_AGE_FRACTION: f64 = 0.6;

/// Lower limit of that age: several freshness probes.
const MIN_STATE_AGE_LIMIT: Duration = Duration::from_millis(600);

/// Upper limit of that age.
const MAX_STATE_AGE_LIMIT: Duration = Duration::from_millis(1200);

/// Fraction of the drain bound that is available for the poll. The rest covers the control daemons'
/// read of the target list and its transfer.
const DRAIN_POLL_FRACTION: f64 = 2.0 / 3.0;

/// Timeout of a poll: several round trips between zones.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for fetching the configuration document: half a megabyte over a 10 Mbit/s link takes
/// 0.4 s.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Age of the target list at which the gateway switches to another control daemon.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Timeout for the announcement of a planned stop: a few round trips between zones. The process ends
/// after it at the latest.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after all known control daemons have failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Poll interval and the state age at which the control daemon is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTiming {
    /// Time between two polls.
    pub interval: Duration,
    /// State age at which the gateway switches to another control daemon.
    pub max_state_age: Duration,
}

impl PollTiming {
    /// Derives the timing from the operators' bounds.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        let time = bounds
            .apply
            .0
            .min(bounds.drain.0.mul_f64(DRAIN_POLL_FRACTION));
        Self {
            interval: time.mul_f64(POLL_INTERVAL_FRACTION).min(MAX_POLL_INTERVAL),
            max_state_age: time
                .mul_f64(MAX_STATE_AGE_FRACTION)
                .clamp(MIN_STATE_AGE_LIMIT, MAX_STATE_AGE_LIMIT),
        }
    }
}

/// Polls until the program ends.
pub async fn run(gateway: Arc<Gateway>, settings: Settings, identity: Arc<Identity>) {
    let port = settings.internal.port();
    let seeds = settings.seeds.iter();
    let seeds: Vec<SocketAddr> = seeds.map(|seed| (seed.ip(), port).into()).collect();
    let mut poller = ControlPoller {
        timing: PollTiming::new(&settings.bounds),
        gateway,
        identity,
        controls: seeds.clone(),
        targets_digest: 0,
        limits_digest: 0,
        reported_limits: HashMap::new(),
        suspects_received: 0,
        suspects_sent: 0,
        polls: 0,
        policies: None,
        versions: None,
        suspensions: Watch::start(),
    };
    loop {
        // The order differs by gateway, which spreads the polls over the control daemons.
        let mut candidates: Vec<SocketAddr> = poller.controls.clone();
        candidates.extend(seeds.iter().filter(|seed| !poller.controls.contains(seed)));
        let own = poller.gateway.name.clone();
        let ranked = rendezvous::ranked(own.as_str(), &candidates);
        let ranked: Vec<SocketAddr> = ranked.into_iter().copied().collect();
        for address in ranked {
            poller.poll_until_failure(address).await;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Tells the control daemons that this gateway stops now, so that the others divide by one less at
/// once. Without an answer they notice it by its silence.
pub async fn announce_leave(gateway: &Gateway, identity: Arc<Identity>) {
    let Some(address) = gateway.peers.control() else {
        return;
    };
    let poll = Poll {
        peer: gateway.peers.own().clone(),
        targets: 0,
        peers: 0,
        limits: 0,
        observed_limits: Vec::new(),
        suspects_revision: 0,
        suspects: Vec::new(),
        is_leaving: true,
        incarnation: identity.incarnation,
        number: u64::MAX,
        policies: None,
        rollouts: Vec::new(),
        speeds: Vec::new(),
        versions: None,
    };
    let sent = timeout(LEAVE_TIMEOUT, async {
        let connection = Connection::open(address, identity).await?;
        let frame = Frame::Poll(Box::new(poll));
        connection.call(frame, LEAVE_TIMEOUT).await
    });
    match sent.await {
        Ok(Ok(_)) => log::info!("gateway: control {address} knows that this gateway stops"),
        Ok(Err(error)) => log::warn!("gateway: control {address}: {error}; leaves unannounced"),
        Err(_) => log::warn!("gateway: control {address} is silent; leaves unannounced"),
    }
}

struct ControlPoller {
    timing: PollTiming,
    gateway: Arc<Gateway>,
    identity: Arc<Identity>,
    /// Internal addresses of the control daemons.
    controls: Vec<SocketAddr>,
    /// Digest of the targets in force.
    targets_digest: u64,
    /// Digest of the targets' limits that were received last.
    limits_digest: u64,
    /// These limits.
    reported_limits: HashMap<TargetName, Knowledge>,
    /// Revision of the suspected parts that the control daemon sent last on this connection.
    suspects_received: u64,
    /// Own revision that the control daemon has received on this connection.
    suspects_sent: u64,
    /// Number of polls so far.
    polls: u64,
    /// Sequence number of the orders from which the policies for versions are.
    policies: Option<u64>,
    /// Sequence number of the orders from which the versions of services are.
    versions: Option<u64>,
    suspensions: Watch,
}

impl ControlPoller {
    /// Polls one control daemon for as long as it answers with current state.
    async fn poll_until_failure(&mut self, address: SocketAddr) {
        let connection = match Connection::open(address, Arc::clone(&self.identity)).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("gateway: control {address}: {error}");
                return;
            }
        };
        log::info!("gateway: polling control {address}");
        // Another daemon, or one that has restarted, has other records.
        (self.suspects_received, self.suspects_sent) = (0, 0);
        let mut is_first = true;
        loop {
            if let Some(suspended) = self.suspensions.take() {
                self.gateway.record_suspension(suspended);
            }
            self.gateway.peers.probe_suspects(&self.gateway);
            self.gateway.update_unreachable_zones();
            if let Err(reason) = self.poll(&connection).await {
                self.gateway.metrics.control_disconnects.inc();
                log::warn!("gateway: leaves control {address}: {reason}");
                return;
            }
            self.gateway.peers.set_control(address);
            if std::mem::take(&mut is_first) {
                self.gateway.report_all_streams();
            }
            if self.gateway.is_exiting() {
                // Another poll would list this gateway again.
                std::future::pending::<()>().await;
            }
            let jitter = rand::rng().random_range(0.85..1.15);
            sleep(self.timing.interval.mul_f64(jitter)).await;
        }
    }

    async fn poll(&mut self, connection: &Connection) -> Result<(), String> {
        let suspects = self.gateway.suspect_changes(self.suspects_sent);
        self.polls += 1;
        let poll = Poll {
            peer: self.gateway.peers.own().clone(),
            targets: self.targets_digest,
            peers: self.gateway.peers.digest(),
            limits: self.limits_digest,
            observed_limits: self.gateway.unreported_limits(&self.reported_limits),
            suspects_revision: self.suspects_received,
            suspects: suspects.reports,
            is_leaving: false,
            incarnation: self.identity.incarnation,
            number: self.polls,
            policies: self.policies,
            rollouts: self.gateway.rollout_reports(),
            speeds: self.gateway.take_speed_reports(),
            versions: self.versions,
        };
        let sent = self.gateway.now();
        let answer = connection
            .call(Frame::Poll(Box::new(poll)), POLL_TIMEOUT)
            .await;
        let polled = match answer.map_err(|error| error.to_string())? {
            Frame::Polled(polled) => *polled,
            _ => return Err("unexpected answer to a poll".to_owned()),
        };
        self.suspects_sent = suspects.revision;
        // Before the first configuration, without which the gateway serves nothing.
        self.gateway.merge_suspects(&polled.suspects);
        self.suspects_received = polled.suspects_revision;
        self.apply(connection, polled, sent).await
    }

    async fn apply(
        &mut self,
        connection: &Connection,
        polled: Polled,
        sent: Duration,
    ) -> Result<(), String> {
        let age = Duration::from_millis(polled.age_ms);
        if let Some(version) = polled.version {
            self.fetch(connection, version).await?;
        }
        let as_of = sent.saturating_sub(age);
        let had_contact = self.gateway.has_contact();
        if polled.version.is_some() && !self.gateway.record_freshness(polled.sequence, as_of) {
            return Err("its state is older than this gateway's".to_owned());
        }
        // Before the targets, so that a new version is held until its policy is known.
        if polled.version.is_some() {
            if polled.policies.is_some() {
                self.policies = Some(polled.sequence);
            }
            self.gateway.follow_policies(polled.policies, as_of);
            if let Some(versions) = polled.versions {
                self.gateway.set_versions(versions);
                self.versions = Some(polled.sequence);
            }
        }
        if !had_contact {
            self.gateway.permits.regain_contact(self.gateway.now());
        }
        if !polled.controls.is_empty() {
            self.controls = polled.controls;
        }
        if let Some(peers) = polled.peers {
            let known_for = Duration::from_millis(polled.known_for_ms);
            let now = self.gateway.now();
            if self.gateway.peers.set_peers(&peers, known_for, now) {
                let peers = self.gateway.peers.list();
                self.gateway.permits.set_peers(peers, now);
            }
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
                self.targets_digest = targets.digest;
            }
        }
        if let Some(limits) = polled.limits {
            // After the targets, because limits of unknown targets are dropped.
            self.gateway.learn_limits(&limits.entries);
            self.limits_digest = limits.digest;
            let reports = limits.entries.into_iter();
            let reported = reports.map(|it| (it.target.clone(), self.gateway.knowledge(&it)));
            self.reported_limits = reported.collect();
        }
        self.gateway.learn_speeds(&polled.speeds);
        self.gateway.dispatch_workers.relist(&self.gateway);
        self.gateway.update_idle_limit();
        if age > self.timing.max_state_age {
            return Err(format!("its state is {} ms old", age.as_millis()));
        }
        match list_age {
            Some(age) if age > MAX_LIST_AGE => {
                Err(format!("its list of targets is {} ms old", age.as_millis()))
            }
            _ => Ok(()),
        }
    }

    /// Fetches the configuration document if it is newer than the one in force in this gateway.
    async fn fetch(&self, connection: &Connection, version: u64) -> Result<(), String> {
        let current = self.gateway.table();
        if current.is_some_and(|table| table.deployment().version >= version) {
            return Ok(());
        }
        let fetched = timeout(DOCUMENT_TIMEOUT, fetch(connection)).await;
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
