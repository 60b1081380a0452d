//! The data that gateways fetch from a control daemon: the operators' orders in force, the targets
//! and the other gateways.
//!
//! A gateway polls one control daemon. The control daemons exchange the lists of the gateways that
//! poll them, so that every gateway learns about all others.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::read_rotation;
use azurelug_types::deployment::Target;
use azurelug_types::fleet::{
    Inventory, List, Peer, Poll, Polled, SuspectPart, TargetLimit, TargetSpeed,
};
use azurelug_types::id::{DaemonName, TargetName};
use azurelug_wire::Frame;
use azurelug_wire::frame::PART_LIMIT;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::cluster::Cluster;
use crate::internal::wall_clock_ms;
use crate::limits::Limits;
use crate::peers::Peers;
use crate::quarantine::{Archive, Suspects};
use crate::replica::Replica;
use crate::speeds::Speeds;

/// Interval at which the control daemons exchange the lists of gateways that poll them.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A gateway that has polled no control daemon for this long is not listed. The time covers several
/// polls and exchanges, so that one lost message does not move work to other gateways.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which changed records of accused parts are written to the disk.
const ARCHIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of frames of a document that are queued for a slow gateway.
const MAX_QUEUED_DOCUMENT_FRAMES: usize = 2;

#[derive(Debug)]
struct GatewayRecord {
    peer: Peer,
    last_seen: Instant,
    /// Whether it polls this daemon and not another one.
    is_local: bool,
}

#[derive(Debug, Default)]
struct State {
    gateways: HashMap<DaemonName, GatewayRecord>,
    targets: Option<(Arc<List<Target>>, Instant)>,
    limits: Limits,
    suspects: Suspects,
    speeds: Speeds,
    controls: Vec<SocketAddr>,
    /// Slots of the control daemons in ascending order.
    control_slots: Vec<u32>,
}

/// The gateways and the targets. Clones share them.
#[derive(Clone)]
pub struct Gateways {
    replica: Replica,
    peers: Peers,
    cluster: Cluster,
    own_slot: u32,
    state: Arc<Mutex<State>>,
}

impl Gateways {
    /// Creates the state without gateways and targets.
    pub fn new(replica: Replica, peers: Peers, cluster: Cluster, own_slot: u32) -> Self {
        Self {
            replica,
            peers,
            cluster,
            own_slot,
            state: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Stores the platform's list of targets, which has just been read, and sends it to the other
    /// control daemons.
    pub fn set_targets(&self, targets: Vec<Target>) {
        let list = list_with_digest(targets, |target| {
            let is_cold = target.cold_ms > 0;
            digest(&(
                &target.name,
                target.address,
                target.is_leaving,
                is_cold,
                &target.version,
            ))
        });
        let inventory = Inventory {
            targets: list.clone(),
            age_ms: 0,
        };
        let slots = {
            let mut state = self.state();
            state.targets = Some((Arc::new(list), Instant::now()));
            state.control_slots.clone()
        };
        for slot in slots.into_iter().filter(|slot| *slot != self.own_slot) {
            let frame = Frame::Inventory(inventory.clone());
            self.peers.send(slot, frame);
        }
    }

    /// Stores the platform's list that another control daemon has read, if it is newer than the one
    /// here.
    pub fn receive_inventory(&self, inventory: Inventory) {
        let age = Duration::from_millis(inventory.age_ms);
        let Some(read) = Instant::now().checked_sub(age) else {
            return;
        };
        let mut state = self.state();
        if state.targets.as_ref().is_none_or(|(_, held)| *held < read) {
            state.targets = Some((Arc::new(inventory.targets), read));
        }
    }

    /// The time until this daemon itself is due to read the platform's list.
    pub fn time_until_read(&self) -> Duration {
        let state = self.state();
        let age = state.targets.as_ref().map(|(_, read)| read.elapsed());
        let rank = state
            .control_slots
            .iter()
            .position(|slot| *slot == self.own_slot);
        // A daemon that is not a member yet is ranked after all members.
        read_rotation::wait(
            rank.unwrap_or(state.control_slots.len()),
            state.control_slots.len(),
            age,
        )
    }

    /// The number of control daemons, at least 1.
    pub fn control_count(&self) -> usize {
        self.state().controls.len().max(1)
    }

    /// Answers a gateway's poll.
    pub fn answer_poll(&self, poll: Poll) -> Frame {
        // The age is read before the orders: if an order commits in between, the state is newer
        // than the reported age.
        let Some(age) = self.replica.freshness_age() else {
            return Frame::Refused {
                message: "this member has not met the leader yet; poll another one".to_owned(),
            };
        };
        let orders = self.replica.orders();
        let mut state = self.state();
        let record = GatewayRecord {
            peer: poll.peer.clone(),
            last_seen: Instant::now(),
            is_local: true,
        };
        state.gateways.insert(poll.peer.name, record);
        state.limits.merge(poll.observed_limits);
        state.suspects.merge(&poll.suspects);
        state.speeds.record(&poll.speeds);
        let suspects = state.suspects.changes_since(poll.suspects_revision);
        let peers = state.peers();
        let limits = list_with_digest(state.limits.reports(), |limit| {
            digest(&(&limit.target, limit.rate, limit.is_ended))
        });
        let speeds = state.speeds.merged();
        let targets = state.targets.as_ref();
        let targets_age = targets.map(|(_, read)| millis(read.elapsed()));
        let targets = targets.filter(|(list, _)| list.digest != poll.targets);
        Frame::Polled(Box::new(Polled {
            age_ms: millis(age).saturating_add(1),
            sequence: orders.sequence(),
            version: orders.document().map(|document| document.version),
            drained: orders.drained().iter().cloned().collect(),
            targets_age_ms: targets_age,
            targets: targets.map(|(list, _)| (**list).clone()),
            peers: (peers.digest != poll.peers).then_some(peers),
            limits: (limits.digest != poll.limits).then_some(limits),
            suspects_revision: suspects.revision,
            suspects: suspects.reports,
            controls: state.controls.clone(),
            speeds,
        }))
    }

    /// Streams the document in force in parts.
    pub fn document(&self) -> mpsc::Receiver<Frame> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_DOCUMENT_FRAMES);
        let orders = self.replica.orders();
        tokio::spawn(async move {
            let Some(document) = orders.document() else {
                return;
            };
            let total = document.bytes.len() as u64;
            for part in document.bytes.chunks(PART_LIMIT) {
                let bytes = part.to_vec();
                let frame = Frame::ConfigurationPart { total, bytes };
                if sender.send(frame).await.is_err() {
                    return;
                }
            }
        });
        receiver
    }

    /// Stores the gateways that poll another control daemon.
    pub fn receive_gateways(&self, peers: Vec<Peer>) {
        let mut state = self.state();
        let last_seen = Instant::now();
        for peer in peers {
            let known = state.gateways.get(&peer.name);
            if known.is_some_and(|record| {
                record.is_local && record.last_seen.elapsed() < GATEWAY_TIMEOUT
            }) {
                continue;
            }
            let record = GatewayRecord {
                peer: peer.clone(),
                last_seen,
                is_local: false,
            };
            state.gateways.insert(peer.name, record);
        }
    }

    /// Takes over the limits of targets that another control daemon knows.
    pub fn receive_limits(&self, limits: Vec<TargetLimit>) {
        self.state().limits.merge(limits);
    }

    /// Takes over the suspected parts that another control daemon knows.
    pub fn receive_suspects(&self, reports: &[SuspectPart]) {
        self.state().suspects.merge(reports);
    }

    /// Takes over the outcomes that the gateways of another control daemon have seen.
    pub fn receive_speeds(&self, daemon: DaemonName, reports: &[TargetSpeed]) {
        self.state().speeds.replace(daemon, reports);
    }

    /// Writes the records of accused parts to the archive whenever they have changed. A slow disk
    /// delays only this task.
    pub async fn run_archive(self, mut archive: Archive) {
        let mut ticks = interval(ARCHIVE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let changes = self.state().suspects.accused_since(archive.revision());
            let Some(changes) = changes else {
                continue;
            };
            let written = spawn_blocking(move || {
                archive.write(changes, wall_clock_ms());
                archive
            });
            // An error means that the daemon stops.
            let Ok(written) = written.await else {
                return;
            };
            archive = written;
        }
    }

    /// Exchanges lists of gateways with the other control daemons until the log's task ends.
    pub async fn run_exchange(self) {
        let mut ticks = interval(EXCHANGE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(log) = self.replica.log_state().await else {
                return;
            };
            let mut slots: Vec<u32> = log
                .membership
                .seats
                .iter()
                .map(|it| it.member.slot)
                .collect();
            slots.sort_unstable();
            slots.dedup();
            let (local, limits, suspects, speeds) = {
                let mut state = self.state();
                let addresses = slots.iter().filter_map(|slot| self.cluster.address(*slot));
                state.controls = addresses.collect();
                state.control_slots.clone_from(&slots);
                state.remove_expired();
                let suspects = state.suspects.next_broadcast();
                let (limits, speeds) = (state.limits.reports(), state.speeds.own());
                (state.local_gateways(), limits, suspects, speeds)
            };
            for slot in slots.into_iter().filter(|slot| *slot != self.own_slot) {
                if !local.is_empty() {
                    self.peers.send(slot, Frame::Gateways(local.clone()));
                }
                if !limits.is_empty() {
                    self.peers.send(slot, Frame::Limits(limits.clone()));
                }
                if !suspects.is_empty() {
                    self.peers.send(slot, Frame::Suspects(suspects.clone()));
                }
                if !speeds.is_empty() {
                    self.peers.send(slot, Frame::Speeds(speeds.clone()));
                }
            }
        }
    }
}

impl State {
    fn remove_expired(&mut self) {
        self.gateways
            .retain(|_, record| record.last_seen.elapsed() < GATEWAY_TIMEOUT);
        let targets = self.targets.as_ref().map(|(list, _)| &list.entries);
        let targets = targets.into_iter().flatten();
        let listed: HashSet<&TargetName> = targets.map(|target| &target.name).collect();
        self.limits.prune(|target| listed.contains(target));
    }

    fn local_gateways(&self) -> Vec<Peer> {
        let records = self.gateways.values().filter(|record| record.is_local);
        records.map(|record| record.peer.clone()).collect()
    }

    fn peers(&self) -> List<Peer> {
        let live = self.gateways.values();
        let live = live.filter(|record| record.last_seen.elapsed() < GATEWAY_TIMEOUT);
        list_with_digest(live.map(|record| record.peer.clone()).collect(), digest)
    }
}

/// Creates a list whose digest does not depend on the order of the entries.
fn list_with_digest<T>(entries: Vec<T>, digest: impl Fn(&T) -> u64) -> List<T> {
    let sum = entries.iter().map(digest).fold(0, u64::wrapping_add);
    List {
        digest: sum.wrapping_add(entries.len() as u64).max(1),
        entries,
    }
}

/// A hash that is the same in all processes of one build.
fn digest<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
