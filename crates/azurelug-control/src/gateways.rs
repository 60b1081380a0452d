//! The data that gateways fetch from a control daemon: the operators' orders in force, the targets
//! and the other gateways.
//!
//! A gateway polls one control daemon. The control daemons exchange the lists of the gateways that
//! poll them, so that every gateway learns about all others.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::gateway::limits::CLOCK_START;
use azurelug_core::gateway::read_rotation;
use azurelug_core::gateway::rollout::evidence::{Evidence, Summary};
use azurelug_core::gateway::rollout::state::Rollouts;
use azurelug_core::gateway::roster::{GATEWAY_TIMEOUT, Register};
use azurelug_types::deployment::Target;
use azurelug_types::fleet::{
    Inventory, List, Peer, Poll, Polled, SuspectPart, TargetLimit, TargetSpeed,
};
use azurelug_types::id::{DaemonName, ServiceName, TargetName};
use azurelug_types::rollout::{GatewayReports, Policy};
use azurelug_wire::Frame;
use azurelug_wire::frame::PART_LIMIT;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;
use tokio::time::{MissedTickBehavior, interval};

use crate::cluster::Cluster;
use crate::internal::wall_clock_ms;
use crate::limits::Limits;
use crate::peers::Peers;
use crate::quarantine::{Archive, Suspects};
use crate::replica::Replica;
use crate::speeds::Speeds;

/// Interval at which the control daemons exchange the lists of gateways that poll them.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which changed records of accused parts are written to the disk.
const ARCHIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of frames of a document that are queued for a slow gateway.
const MAX_QUEUED_DOCUMENT_FRAMES: usize = 2;

#[derive(Debug, Default)]
struct State {
    gateways: Register,
    /// The platform's list, and when it was read.
    targets: Option<(Arc<List<Target>>, Duration)>,
    limits: Limits,
    suspects: Suspects,
    /// What gateways have seen of the roll-outs in progress.
    evidence: Evidence,
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
    /// Whether the deployment has roll-outs, so that gateways need policies for versions.
    has_rollouts: bool,
    started: Clock,
    state: Arc<Mutex<State>>,
}

/// Reports of gateways in one frame to another control daemon: 64 of 6 KB, for 8 roll-outs, are less
/// than half of a frame.
const MAX_REPORTS_PER_FRAME: usize = 64;

impl Gateways {
    /// Creates the state without gateways and targets.
    pub fn new(replica: Replica, peers: Peers, cluster: Cluster, own_slot: u32) -> Self {
        Self {
            replica,
            peers,
            cluster,
            own_slot,
            has_rollouts: false,
            started: Clock::start(),
            state: Arc::default(),
        }
    }

    /// Sends policies for versions to gateways.
    #[must_use]
    pub fn with_rollouts(mut self) -> Self {
        self.has_rollouts = true;
        self
    }

    /// The time since the start, by which reports on roll-outs are dated.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The platform's list, if there is one.
    pub fn targets(&self) -> Option<Arc<List<Target>>> {
        let state = self.state();
        state.targets.as_ref().map(|(list, _)| Arc::clone(list))
    }

    /// The time by which reads of the platform's list are dated.
    fn list_clock(&self) -> Duration {
        CLOCK_START + self.started.elapsed()
    }

    /// Takes over what gateways that poll another control daemon have seen of roll-outs.
    pub fn receive_rollouts(&self, reports: Vec<GatewayReports>) {
        let now = self.now();
        let mut state = self.state();
        for report in reports {
            state.evidence.receive(report, false, now);
        }
    }

    /// Sums up what gateways have seen of a roll-out. All listed gateways must have reported for it
    /// to be complete, so that one that has not counts as silent.
    pub fn rollout_summary(&self, service: &ServiceName, number: u64) -> Summary {
        let now = self.now();
        let state = self.state();
        let mut summary = state
            .evidence
            .summary(service, number, GATEWAY_TIMEOUT, now);
        let live = state.gateways.listed(now).len();
        summary.silent += live.saturating_sub(summary.gateways);
        summary
    }

    fn send_rollouts(&self, slots: &[u32]) {
        let orders = self.replica.orders();
        let now = self.now();
        let reports = {
            let mut state = self.state();
            state.evidence.prune(|service, number| {
                let known = orders.rollouts().service(service);
                let running = known.and_then(|it| it.running());
                running.is_some_and(|rollout| rollout.number <= number)
            });
            state.evidence.local(now)
        };
        for chunk in reports.chunks(MAX_REPORTS_PER_FRAME) {
            for slot in slots.iter().filter(|slot| **slot != self.own_slot) {
                self.peers.send(*slot, Frame::Rollouts(chunk.to_vec()));
            }
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
            state.targets = Some((Arc::new(list), self.list_clock()));
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
        let Some(read) = self.list_clock().checked_sub(age) else {
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
        let now = self.list_clock();
        let age = state
            .targets
            .as_ref()
            .map(|(_, read)| now.saturating_sub(*read));
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
        if poll.is_leaving {
            return self.remove_leaving(&poll.peer.name);
        }
        // The age is read before the orders: if an order commits in between, the state is newer
        // than the reported age.
        let Some(age) = self.replica.freshness_age() else {
            return Frame::Refused {
                message: "this member has not met the leader yet; poll another one".to_owned(),
            };
        };
        let orders = self.replica.orders();
        let mut state = self.state();
        let reports = GatewayReports {
            gateway: poll.peer.name.clone(),
            incarnation: poll.incarnation,
            poll: poll.number,
            age_ms: 0,
            reports: poll.rollouts,
        };
        let now = self.now();
        state.evidence.receive(reports, true, now);
        state.gateways.record_poll(poll.peer, now);
        state.limits.merge(poll.observed_limits);
        state.suspects.merge(&poll.suspects);
        state.speeds.record(&poll.speeds);
        let suspects = state.suspects.changes_since(poll.suspects_revision);
        let peers = list_with_digest(state.gateways.listed(now), digest);
        let limits = list_with_digest(state.limits.reports(), |limit| {
            digest(&(&limit.target, limit.rate, limit.is_ended))
        });
        let speeds = state.speeds.merged();
        let targets = state.targets.as_ref();
        let targets_age = targets.map(|(_, read)| millis(self.list_clock().saturating_sub(*read)));
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
            known_for_ms: millis(state.gateways.known_for(now)),
            policies: self.policies(orders.rollouts(), orders.sequence(), poll.policies),
            speeds,
        }))
    }

    /// Removes a gateway that stops as planned from the lists of all control daemons.
    fn remove_leaving(&self, name: &DaemonName) -> Frame {
        log::info!("control: gateway {name} leaves");
        let slots = {
            let mut state = self.state();
            state.gateways.remove(name, true);
            state.control_slots.clone()
        };
        for slot in slots.into_iter().filter(|slot| *slot != self.own_slot) {
            self.peers.send(slot, Frame::GatewayLeft(name.clone()));
        }
        Frame::Done
    }

    /// Removes a gateway that has told another control daemon that it stops.
    pub fn receive_leave(&self, name: &DaemonName) {
        self.state().gateways.remove(name, false);
    }

    /// The policies for versions, if the gateway's may be older.
    fn policies(
        &self,
        rollouts: &Rollouts,
        sequence: u64,
        known: Option<u64>,
    ) -> Option<Vec<Policy>> {
        (self.has_rollouts && known != Some(sequence)).then(|| rollouts.policies())
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
        let now = self.started.elapsed();
        self.state().gateways.record_remote(peers, now);
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
                state.remove_expired(self.started.elapsed());
                let suspects = state.suspects.next_broadcast();
                let (limits, speeds) = (state.limits.reports(), state.speeds.own());
                (state.gateways.local(), limits, suspects, speeds)
            };
            if self.has_rollouts {
                self.send_rollouts(&slots);
            }
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
    fn remove_expired(&mut self, now: Duration) {
        self.gateways.work(now);
        let targets = self.targets.as_ref().map(|(list, _)| &list.entries);
        let targets = targets.into_iter().flatten();
        let listed: HashSet<&TargetName> = targets.map(|target| &target.name).collect();
        self.limits.prune(|target| listed.contains(target));
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
