//! Nodes on a small simulated network whose links can be closed.

use std::collections::BTreeSet;
use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Entry, Event, Message, Node, NodeOptions, Payload, RecoveredState, Refusal, Role,
    Settings, State,
};
use rand::SeedableRng;

pub(crate) const MS: Duration = Duration::from_millis(1);

/// Nodes on a network that delivers within a millisecond, except on closed links.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Duration,
    pub(crate) in_transit: Vec<Message>,
    /// Closed links, by sending and receiving slot.
    pub(crate) closed: BTreeSet<(u32, u32)>,
    /// Whether a message is dropped on every link.
    pub(crate) is_dropped: fn(&Message) -> bool,
    pub(crate) actions: Vec<(u32, Action)>,
}

pub(crate) fn node(recovered: RecoveredState, seed: u64, now: Duration) -> Node {
    let settings = Settings {
        peers: vec![0, 1, 2, 3],
        ..Settings::default()
    };
    let random = rand_pcg::Pcg64::seed_from_u64(seed);
    Node::new(
        NodeOptions {
            settings,
            recovered,
            random,
        },
        now,
    )
    .expect("the data folder is complete")
}

impl Net {
    /// A cluster of three voters that has elected a leader.
    pub(crate) fn started() -> Self {
        let initial = |slot| RecoveredState::initialize(7, slot, &[0, 1, 2], 100 + u64::from(slot));
        let nodes = (0..3).map(|slot| node(initial(slot), u64::from(slot), Duration::ZERO));
        let mut net = Self {
            nodes: nodes.collect(),
            now: Duration::ZERO,
            in_transit: Vec::new(),
            closed: BTreeSet::new(),
            is_dropped: |_| false,
            actions: Vec::new(),
        };
        net.run(5000);
        net
    }

    pub(crate) fn step(&mut self, slot: u32, event: Event) {
        for action in self.nodes[slot as usize].step(event, self.now) {
            if let Action::Send(message) = &action {
                self.in_transit.push(message.clone());
            }
            self.actions.push((slot, action));
        }
    }

    pub(crate) fn run(&mut self, millis: u32) {
        for _ in 0..millis {
            self.now += MS;
            for message in std::mem::take(&mut self.in_transit) {
                let link = (message.from.slot, message.to.slot);
                let known = (link.1 as usize) < self.nodes.len();
                if known && !self.closed.contains(&link) && !(self.is_dropped)(&message) {
                    self.step(link.1, Event::Receive(message));
                }
            }
            for slot in 0..self.nodes.len() {
                self.step(u32::try_from(slot).expect("few nodes"), Event::Tick);
            }
        }
    }

    pub(crate) fn state(&self, slot: u32) -> State {
        self.nodes[slot as usize].state()
    }

    /// Slot of the leader with the highest term.
    pub(crate) fn leader(&self) -> u32 {
        let states = self
            .nodes
            .iter()
            .map(Node::state)
            .filter(|state| state.role == Role::Leader);
        states
            .max_by_key(|state| state.term)
            .expect("a leader was elected")
            .member
            .slot
    }

    pub(crate) fn follower(&self) -> u32 {
        (self.leader() + 1) % 3
    }

    pub(crate) fn isolate(&mut self, slot: u32) {
        self.closed
            .extend((0..4).flat_map(|other| [(slot, other), (other, slot)]));
    }

    /// Commands that `slot` applied.
    pub(crate) fn applied(&self, slot: u32) -> impl Iterator<Item = &[u8]> {
        self.actions
            .iter()
            .filter_map(move |(at, action)| match action {
                Action::Apply(Entry {
                    payload: Payload::Command(command),
                    ..
                }) if *at == slot => Some(command.as_slice()),
                _ => None,
            })
    }

    pub(crate) fn refusal(&self) -> Option<Refusal> {
        self.actions
            .iter()
            .rev()
            .find_map(|(_, action)| match action {
                Action::Refused { refusal, .. } => Some(*refusal),
                _ => None,
            })
    }
}
