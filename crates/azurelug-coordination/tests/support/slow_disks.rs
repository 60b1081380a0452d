//! Three members whose disks take long to sync. A member handles no events while it writes, as the
//! control daemon's task: it handles everything that has arrived, then writes, sends and applies.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Event, Message, Node, NodeOptions, Payload, RecoveredState, Role, Settings, Write,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const STEP: Duration = Duration::from_millis(1);

/// Syncs of one write in the control daemon's data folder: the vote record replaces a file, and a
/// snapshot is followed by a new segment and the hard state.
fn syncs(write: &Write) -> u32 {
    match write {
        Write::Vote(_) => 2,
        Write::Truncate { .. } | Write::Append(_) => 1,
        Write::Snapshot(_) => 8,
    }
}

/// The actions of events that were handled together, with the time at which the writes are durable.
#[derive(Default)]
struct Batch {
    started: Duration,
    durable: Duration,
    writes: u32,
    appends: bool,
    actions: Vec<Action>,
}

struct Host {
    node: Node,
    inbox: Vec<Event>,
    batch: Option<Batch>,
    has_snapshot: bool,
}

pub(crate) struct SlowDisks {
    hosts: Vec<Host>,
    pub(crate) now: Duration,
    in_transit: Vec<Message>,
    random: Pcg64,
    /// Duration of a sync in milliseconds.
    pub(crate) sync: Range<u64>,
    /// Terms in which a member became the leader.
    pub(crate) led: BTreeSet<u64>,
    /// Commands that their proposer applied.
    pub(crate) committed: u64,
}

impl SlowDisks {
    pub(crate) fn new(seed: u64, sync: Range<u64>) -> Self {
        let host = |slot: u32| {
            let start = NodeOptions {
                settings: Settings::default(),
                recovered: RecoveredState::initialize(7, slot, &[0, 1, 2], 100 + u64::from(slot)),
                random: Pcg64::seed_from_u64(seed * 3 + u64::from(slot)),
            };
            Host {
                node: Node::new(start, Duration::ZERO).expect("the data folder is complete"),
                inbox: Vec::new(),
                batch: None,
                has_snapshot: false,
            }
        };
        Self {
            hosts: (0..3).map(host).collect(),
            now: Duration::ZERO,
            in_transit: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
            sync,
            led: BTreeSet::new(),
            committed: 0,
        }
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.node.state().role == Role::Leader;
        let leaders = (0..self.hosts.len()).filter(|&slot| leads(&self.hosts[slot]));
        leaders.max_by_key(|&slot| self.hosts[slot].node.term())
    }

    /// Whether the leader has committed an entry of its term.
    pub(crate) fn has_working_leader(&self) -> bool {
        let leader = self.leader().map(|slot| &self.hosts[slot].node);
        leader.is_some_and(|node| node.lease_until().is_some())
    }

    pub(crate) fn propose(&mut self) {
        if let Some(leader) = self.leader() {
            let command = vec![0; 100];
            let event = Event::Propose { token: 1, command };
            self.hosts[leader].inbox.push(event);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for message in std::mem::take(&mut self.in_transit) {
                let host = &mut self.hosts[message.to.slot as usize];
                host.inbox.push(Event::Receive(message));
            }
            for slot in 0..self.hosts.len() {
                self.advance(slot);
            }
        }
    }

    fn advance(&mut self, slot: usize) {
        loop {
            let batch = match self.hosts[slot].batch.take() {
                Some(batch) if self.now < batch.durable => {
                    self.hosts[slot].batch = Some(batch);
                    return;
                }
                Some(batch) => self.perform(slot, batch),
                None => self.handle_inbox(slot),
            };
            if batch.actions.is_empty() {
                if self.hosts[slot].inbox.is_empty() {
                    return;
                }
                continue;
            }
            self.hosts[slot].batch = Some(batch);
        }
    }

    fn handle_inbox(&mut self, slot: usize) -> Batch {
        let mut batch = self.batch();
        for event in std::mem::take(&mut self.hosts[slot].inbox) {
            self.step(slot, event, &mut batch);
        }
        if self.now >= self.hosts[slot].node.next_deadline() {
            self.step(slot, Event::Tick, &mut batch);
        }
        batch
    }

    fn batch(&self) -> Batch {
        Batch {
            started: self.now,
            durable: self.now,
            ..Batch::default()
        }
    }

    fn step(&mut self, slot: usize, event: Event, batch: &mut Batch) {
        let actions = self.hosts[slot].node.step(event, self.now);
        for action in &actions {
            if let Action::Persist(write) = action {
                batch.writes += 1;
                let appends = matches!(write, Write::Truncate { .. } | Write::Append(_));
                // The appends of a batch share one sync of the journal.
                let is_shared = appends && std::mem::replace(&mut batch.appends, true);
                for _ in 0..if is_shared { 0 } else { syncs(write) } {
                    let sync = self.random.random_range(self.sync.clone());
                    batch.durable += Duration::from_millis(sync);
                }
            }
        }
        batch.actions.extend(actions);
    }

    /// Performs the actions after the writes; returns those that result from them.
    fn perform(&mut self, slot: usize, batch: Batch) -> Batch {
        let mut following = self.batch();
        if batch.writes > 0 {
            let duration = self.now - batch.started;
            self.step(slot, Event::Written { duration }, &mut following);
        }
        for action in batch.actions {
            match action {
                Action::Send(message) => self.in_transit.push(message),
                Action::RoleChanged {
                    role: Role::Leader,
                    term,
                    ..
                } => {
                    self.led.insert(term);
                }
                Action::Apply(entry) => {
                    let node = &self.hosts[slot].node;
                    let leads = node.state().role == Role::Leader;
                    if leads && matches!(entry.payload, Payload::Command(_)) {
                        self.committed += 1;
                    }
                    // Founding members store their first snapshot with the first entry.
                    if !std::mem::replace(&mut self.hosts[slot].has_snapshot, true) {
                        self.take_snapshot(slot, entry.position.index, &mut following);
                    }
                }
                Action::TakeSnapshot { index } => self.take_snapshot(slot, index, &mut following),
                _ => {}
            }
        }
        following
    }

    fn take_snapshot(&mut self, slot: usize, index: u64, batch: &mut Batch) {
        let data = Arc::from([]);
        self.step(slot, Event::SnapshotTaken { index, data }, batch);
    }
}
