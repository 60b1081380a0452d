//! The connection to a control daemon: receives configuration versions, renews the configuration
//! lease and transports claims.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use azurelug_core::configuration;
use azurelug_types::id::Version;
use azurelug_wire::frame::CONFIGURATION_LIMIT;
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame, codec};
use tokio::time::{Instant, interval, sleep};

use crate::entry_state::EntryState;

/// Interval of lease renewals: three can be lost before the lease of 2 s expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);

/// After this many failed renewals in a row, the next control daemon is tried.
const MAX_RENEW_FAILURES: u32 = 2;

/// Delay before reconnecting after all control daemons were tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// The connection to a control daemon, shared by all clones.
#[derive(Clone)]
pub struct ControlLink {
    addresses: Arc<[SocketAddr]>,
    identity: Arc<Identity>,
    current: Arc<Mutex<Option<Connection>>>,
    /// Number of renewals sent; the sequence number of the latest one.
    renewals: Arc<AtomicU64>,
}

impl ControlLink {
    /// Creates a link that is not connected yet.
    pub fn new(addresses: Vec<SocketAddr>, identity: Arc<Identity>) -> Self {
        Self {
            addresses: addresses.into(),
            identity,
            current: Arc::new(Mutex::new(None)),
            renewals: Arc::default(),
        }
    }

    /// Sends a frame to the connected control daemon.
    ///
    /// # Errors
    /// `Closed` if there is none; otherwise as [`Connection::call`].
    pub async fn call(&self, frame: Frame, timeout: Duration) -> Result<Frame, Error> {
        let connection = self
            .current
            .lock()
            .expect("no holder of the lock panics")
            .clone();
        match connection {
            Some(connection) => connection.call(frame, timeout).await,
            None => Err(Error::Closed {
                message: "no control daemon is connected".to_owned(),
            }),
        }
    }

    /// The connected control daemon, if any.
    pub fn peer(&self) -> Option<String> {
        let current = self.current.lock().expect("no holder of the lock panics");
        current
            .as_ref()
            .map(|connection| connection.peer().to_string())
    }

    /// Maintains a connection to one control daemon until the entry state is dropped. The addresses are
    /// tried in their order.
    pub async fn maintain_connection(self, entry_state: Weak<EntryState>) {
        let mut handshake_errors = HashMap::new();
        loop {
            for address in self.addresses.iter() {
                if entry_state.strong_count() == 0 {
                    return;
                }
                match Connection::open(*address, Arc::clone(&self.identity)).await {
                    Ok(connection) => {
                        log::info!("entry: connected to control {}", connection.peer());
                        handshake_errors.remove(address);
                        self.set_current(Some(connection.clone()));
                        let reason = follow(&connection, &entry_state).await;
                        self.set_current(None);
                        log::warn!(
                            "entry: disconnected from control {}: {reason}",
                            connection.peer()
                        );
                    }
                    // A wrong key or cluster is a permanent error, so it is logged only once.
                    Err(error @ Error::Handshake { .. }) => {
                        let text = error.to_string();
                        if handshake_errors.get(address) != Some(&text) {
                            log::warn!("entry: control at {address}: {text}");
                            handshake_errors.insert(*address, text);
                        }
                    }
                    Err(error) => log::debug!("entry: {error}"),
                }
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    fn set_current(&self, connection: Option<Connection>) {
        *self.current.lock().expect("no holder of the lock panics") = connection;
    }
}

/// Receives configuration versions and renews the lease until the connection fails; returns the
/// reason.
async fn follow(connection: &Connection, entry_state: &Weak<EntryState>) -> String {
    let Some(version) = entry_state
        .upgrade()
        .map(|entry_state| entry_state.version())
    else {
        return "the daemon stops".to_owned();
    };
    let mut versions = match connection
        .subscribe(Frame::Watch {
            after_version: version,
        })
        .await
    {
        Ok(versions) => versions,
        Err(error) => return error.to_string(),
    };
    let mut ticks = interval(RENEW_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut failures = 0;
    let mut last_answer = 0;
    let mut assembler = ConfigurationAssembler::default();
    loop {
        tokio::select! {
            frame = versions.recv() => match (frame, entry_state.upgrade()) {
                (Some(frame), Some(entry_state)) => match assembler.process(frame, &entry_state) {
                    Ok(true) => {
                        // An immediate renewal reports the new version to control, so that
                        // operators see without delay where it is in force.
                        ticks.reset_immediately();
                    }
                    Ok(false) => {}
                    Err(reason) => return reason.to_owned(),
                },
                (None, _) => return "the stream of versions ended".to_owned(),
                (_, None) => return "the daemon stops".to_owned(),
            },
            _ = ticks.tick() => {
                let Some(entry_state) = entry_state.upgrade() else { return "the daemon stops".to_owned() };
                let is_first = last_answer == 0;
                match renew(connection, &entry_state, &mut last_answer).await {
                    Ok(()) => {
                        failures = 0;
                        if is_first {
                            // A control daemon grants a lease only after a proven round trip: the
                            // second renewal confirms the answer to the first.
                            ticks.reset_immediately();
                        }
                    }
                    Err(error) => {
                        failures += 1;
                        if failures >= MAX_RENEW_FAILURES || connection.is_closed() {
                            return error.to_string();
                        }
                    }
                }
            }
            () = connection.wait_closed() => return "the connection was lost".to_owned(),
        }
    }
}

/// Assembles configurations from the parts in which they are sent.
#[derive(Default)]
struct ConfigurationAssembler {
    bytes: Vec<u8>,
}

impl ConfigurationAssembler {
    /// Processes a frame of the stream of versions; returns whether a newer version is in force
    /// now.
    fn process(&mut self, frame: Frame, entry_state: &EntryState) -> Result<bool, &'static str> {
        match frame {
            Frame::ConfigurationPart { total, bytes } => {
                if total > CONFIGURATION_LIMIT || self.bytes.len() + bytes.len() > total as usize {
                    return Err(
                        "a configuration is longer than the limit or than its announced length",
                    );
                }
                self.bytes.extend_from_slice(&bytes);
                if self.bytes.len() < total as usize {
                    return Ok(false);
                }
                let bytes = std::mem::take(&mut self.bytes);
                let config = codec::decode_unlimited(&bytes);
                entry_state.apply(config.map_err(|_| "a configuration can't be decoded")?);
                Ok(true)
            }
            Frame::ConfigurationStep { step } => {
                let step =
                    codec::decode(&step).map_err(|_| "a configuration step can't be decoded")?;
                let view = entry_state
                    .view()
                    .ok_or("a configuration step arrived before any configuration")?;
                let next = configuration::apply_step(&view.config, &step);
                entry_state.apply(
                    next.ok_or("a configuration step doesn't apply to the version in force")?,
                );
                Ok(true)
            }
            _ => Err("unexpected frame in the stream of versions"),
        }
    }
}

/// Renews the lease once. The lease starts at the time before the renewal was sent, minus the age
/// of control's own confirmation that it has the latest version. An answer that grants no lease
/// only updates `last_answer`.
async fn renew(
    connection: &Connection,
    entry_state: &EntryState,
    last_answer: &mut u64,
) -> Result<(), Error> {
    let sent = entry_state.now();
    let version = entry_state.version();
    let in_flight = u32::try_from(entry_state.metrics.in_flight.get()).unwrap_or(0);
    let started = Instant::now();
    let sequence = entry_state
        .control_link
        .renewals
        .fetch_add(1, Ordering::Relaxed)
        + 1;
    let renewal = Frame::Renew {
        version,
        in_flight,
        sequence,
        heard: *last_answer,
    };
    let answer = connection.call(renewal, RENEW_TIMEOUT).await?;
    let Frame::Renewed {
        latest_version,
        freshness_age_ms,
        number,
        leased,
    } = answer
    else {
        return Err(Error::Malformed {
            message: "the answer to a renewal is not a Renewed frame".to_owned(),
        });
    };
    log::trace!("entry: renewed in {} ms", started.elapsed().as_millis());
    *last_answer = number;
    if leased && latest_version <= entry_state.version() && latest_version > Version(0) {
        let age = Duration::from_millis(freshness_age_ms);
        if let Some(at) = sent.checked_sub(age) {
            entry_state.record_renewal(at);
        }
    }
    Ok(())
}
