//! A counter that three members replicate, in one thread with a simulated clock, disks in memory
//! and a network that is a queue. The leader crashes; then a power cut ends all processes, and they
//! start again from their disks.
//!
//! Run it with `cargo run -p azurelug-coordination --example replicated_counter`.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Event, Message, Node, NodeOptions, Payload, RecoveredState, Role, Settings, StartError,
    Write,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const CLUSTER: u128 = 7;
const SLOTS: [u32; 3] = [1, 2, 3];

/// Network delay of each message.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Carries out a write. An implementation with a real disk syncs before it returns.
fn write(disk: &mut RecoveredState, write: Write) {
    match write {
        Write::Vote(record) => disk.vote = Some(record),
        Write::Truncate { from } => disk.entries.retain(|entry| entry.position.index < from),
        Write::Append(entries) => disk.entries.extend(entries),
        Write::Snapshot(snapshot) => {
            // The entry at the position stays, so that recovery can compare its term.
            let index = snapshot.position.index;
            disk.entries.retain(|entry| entry.position.index >= index);
            disk.snapshot = Some(snapshot);
        }
    }
}

/// The counter's value in a snapshot.
fn decode(data: &[u8]) -> u64 {
    // The first snapshot of a cluster is empty.
    data.try_into().map_or(0, u64::from_le_bytes)
}

/// One process: the node, its disk, and the replicated state.
struct Member {
    node: Node,
    disk: RecoveredState,
    counter: u64,
    is_up: bool,
}

impl Member {
    fn start(disk: RecoveredState, seed: u64, now: Duration) -> Result<Self, StartError> {
        let peers = SLOTS
            .into_iter()
            .filter(|slot| *slot != disk.slot)
            .collect();
        let snapshot = disk.snapshot.as_ref();
        let counter = snapshot.map_or(0, |snapshot| decode(&snapshot.data));
        let settings = Settings {
            peers,
            ..Settings::default()
        };
        let (recovered, random) = (disk.clone(), Pcg64::seed_from_u64(seed));
        let node = Node::new(
            NodeOptions {
                settings,
                recovered,
                random,
            },
            now,
        )?;
        Ok(Self {
            node,
            disk,
            counter,
            is_up: true,
        })
    }

    /// Steps the node and carries out the actions in their order.
    fn step(&mut self, event: Event, now: Duration, network: &mut VecDeque<Message>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.node.step(event, now) {
                match action {
                    Action::Persist(change) => write(&mut self.disk, change),
                    Action::Send(message) => network.push_back(message),
                    Action::Apply(entry) => {
                        if let Payload::Command(amount) = &entry.payload {
                            self.counter += decode(amount);
                        }
                    }
                    Action::Restore(snapshot) => self.counter = decode(&snapshot.data),
                    Action::TakeSnapshot { index } => {
                        let data = Arc::from(self.counter.to_le_bytes());
                        events.push_back(Event::SnapshotTaken { index, data });
                    }
                    // A server answers its caller when the entry of `Proposed` is applied.
                    Action::Proposed { .. }
                    | Action::Refused { .. }
                    | Action::RoleChanged { .. }
                    | Action::LostQuorum { .. }
                    | Action::Fresh { .. }
                    | Action::JoinRefused(_)
                    | Action::Removed { .. }
                    | Action::Rejected { .. } => {}
                }
            }
        }
    }
}

struct Cluster {
    members: Vec<Member>,
    network: VecDeque<Message>,
    now: Duration,
}

impl Cluster {
    /// Runs until `is_done` returns true, for a minute of simulated time at most.
    fn run_until(&mut self, is_done: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(60);
        while !is_done(self) {
            assert!(self.now < end, "not done within a minute of simulated time");
            self.now += NETWORK_DELAY;
            for message in std::mem::take(&mut self.network) {
                let index = (message.to.slot - 1) as usize;
                let member = &mut self.members[index];
                if member.is_up {
                    member.step(Event::Receive(message), self.now, &mut self.network);
                }
            }
            for member in self.members.iter_mut().filter(|member| member.is_up) {
                if self.now >= member.node.next_deadline() {
                    member.step(Event::Tick, self.now, &mut self.network);
                }
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |member: &Member| member.is_up && member.node.state().role == Role::Leader;
        self.members.iter().position(leads)
    }

    /// Adds to the counter through the leader and waits until all running members have applied it.
    fn add(&mut self, amount: u64) {
        self.run_until(|cluster| cluster.leader().is_some());
        let leader = self.leader().expect("the loop ended with a leader");
        let expected = self.members[leader].counter + amount;
        let (token, command) = (expected, amount.to_le_bytes().to_vec());
        let event = Event::Propose { token, command };
        self.members[leader].step(event, self.now, &mut self.network);
        self.run_until(|cluster| cluster.all_have_reached(expected));
    }

    fn all_have_reached(&self, value: u64) -> bool {
        let mut running = self.members.iter().filter(|member| member.is_up);
        running.all(|member| member.counter == value)
    }
}

/// Counts to 60 across a crash of the leader and a power cut; returns each member's counter.
///
/// # Errors
/// A member's disk is incomplete.
pub(crate) fn run() -> Result<Vec<u64>, StartError> {
    let mut members = Vec::new();
    for slot in SLOTS {
        let storage = 100 + u64::from(slot);
        let disk = RecoveredState::initialize(CLUSTER, slot, &SLOTS, storage);
        members.push(Member::start(disk, storage, Duration::ZERO)?);
    }
    let (network, now) = (VecDeque::new(), Duration::ZERO);
    let mut cluster = Cluster {
        members,
        network,
        now,
    };
    cluster.add(10);
    let leader = cluster.leader().expect("a leader added to the counter");
    cluster.members[leader].is_up = false;
    cluster.add(20);
    // A power cut: only the disks remain. Each process run needs a different seed.
    for index in 0..cluster.members.len() {
        let disk = cluster.members[index].disk.clone();
        let seed = 200 + u64::from(disk.slot);
        cluster.members[index] = Member::start(disk, seed, cluster.now)?;
    }
    cluster.network.clear();
    cluster.run_until(|cluster| cluster.all_have_reached(30));
    cluster.add(30);
    Ok(cluster
        .members
        .iter()
        .map(|member| member.counter)
        .collect())
}

#[allow(dead_code, reason = "a test includes this file and calls `run`")]
fn main() -> Result<(), StartError> {
    println!("counters of the members: {:?}", run()?);
    Ok(())
}
