//! The state machine's size against the largest snapshot.

use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Entry, Event, Node, NodeOptions, Payload, RecoveredState, Refusal, Settings,
};
use rand::SeedableRng;

const COMMAND_BYTES: usize = 512;

/// Shortest time after which a snapshot is requested again.
const PAUSE: Duration = Duration::from_secs(6);

fn settings() -> Settings {
    Settings {
        max_command_bytes: 1024,
        max_batch_bytes: 4096,
        max_uncommitted: 16,
        max_log_entries: 512,
        max_log_bytes: 32 * 1024,
        snapshot_entries: 64,
        snapshot_bytes: 4096,
        kept_entries: 16,
        kept_bytes: 4096,
        max_snapshot_bytes: 64 * 1024,
        state_reserve_bytes: 8 * 1024,
        ..Settings::default()
    }
}

/// The only member of a cluster. Its state machine keeps every command whose first byte is 1, and
/// removes the newest one for every other command.
struct Member {
    node: Node,
    now: Duration,
    state: Vec<Vec<u8>>,
    token: u64,
}

impl Member {
    fn started() -> Self {
        let options = NodeOptions {
            settings: settings(),
            recovered: RecoveredState::initialize(7, 1, &[1], 2),
            random: rand_pcg::Pcg64::seed_from_u64(1),
        };
        let node = Node::new(options, Duration::ZERO).expect("the settings are valid");
        let mut member = Self {
            now: node.next_deadline(),
            node,
            state: Vec::new(),
            token: 0,
        };
        member.step(Event::Tick);
        member
    }

    fn size(&self) -> usize {
        self.state.iter().map(Vec::len).sum()
    }

    /// Steps the node, applies its entries and takes the requested snapshots; returns the refusal.
    fn step(&mut self, event: Event) -> Option<Refusal> {
        let mut refused = None;
        let mut actions = self.node.step(event, self.now);
        while !actions.is_empty() {
            let mut following = Vec::new();
            for action in actions {
                match action {
                    Action::Refused { refusal, .. } => refused = Some(refusal),
                    Action::Apply(Entry {
                        payload: Payload::Command(command),
                        ..
                    }) => {
                        if command[0] == 1 {
                            self.state.push(command);
                        } else {
                            self.state.pop();
                        }
                    }
                    Action::TakeSnapshot { index } => {
                        let data = self.state.concat().into();
                        let taken = Event::SnapshotTaken { index, data };
                        following.extend(self.node.step(taken, self.now));
                    }
                    _ => {}
                }
            }
            actions = following;
        }
        refused
    }

    fn grow(&mut self) -> Option<Refusal> {
        self.token += 1;
        let (token, command) = (self.token, vec![1; COMMAND_BYTES]);
        self.step(Event::Propose { token, command })
    }

    fn shrink(&mut self) -> Option<Refusal> {
        self.token += 1;
        let (token, command) = (self.token, vec![0]);
        self.step(Event::Reduce { token, command })
    }

    fn wait(&mut self) {
        self.now += PAUSE;
        self.step(Event::Tick);
    }
}

/// Guards against a state that outgrows its snapshots: the log can't be compacted then, fills up, and
/// no command is accepted again, not even one that would shrink the state.
#[test]
fn a_state_of_the_largest_size_does_not_fill_the_log_for_good() {
    let settings = settings();
    let mut member = Member::started();
    for round in 0..5 {
        let mut refused = None;
        for _ in 0..1000 {
            refused = refused.or(member.grow());
            member.now += Duration::from_millis(10);
        }
        let Some(Refusal::StateFull { size, limit }) = refused else {
            panic!("round {round}: {refused:?} with {} bytes", member.size());
        };
        assert!(size > limit, "{size} is within {limit}");
        assert!(member.size() <= settings.max_snapshot_bytes);
        assert!(
            member.size() > limit - settings.state_reserve_bytes,
            "growth is refused although {} of {limit} bytes are used",
            member.size()
        );
        for command in 0..40 {
            let refused = member.shrink();
            assert_eq!(refused, None, "round {round}, command {command}");
        }
        member.wait();
        assert_eq!(member.grow(), None, "round {round}: no room was made");
    }
}

/// Guards against a refusal that lasts because the size of the state is only estimated from the
/// commands since the last snapshot.
#[test]
fn commands_that_do_not_grow_the_state_do_not_count_for_good() {
    let mut member = Member::started();
    while member.grow().is_none() {}
    for _ in 0..200 {
        assert_eq!(member.shrink(), None);
        member.now += Duration::from_millis(10);
    }
    assert_eq!(member.size(), 0);
    member.wait();
    for command in 0..20 {
        assert_eq!(member.grow(), None, "command {command}");
    }
}

/// Guards against a refusal that doesn't name the bound and the remedy.
#[test]
fn the_refusal_names_the_bound_and_the_remedy() {
    let refusal = Refusal::StateFull { size: 2, limit: 1 };
    let message = refusal.to_string();
    assert!(message.contains("max_snapshot_bytes"), "{message}");
    assert!(message.contains("remove"), "{message}");
}
