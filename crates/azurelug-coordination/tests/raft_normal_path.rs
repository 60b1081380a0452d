//! Three members on a perfect network. Guards against a log that does not work without faults.

use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Event, Message, Node, Payload, Recovered, Role, Settings, Start,
};
use rand::SeedableRng;

fn node(slot: u16, slots: &[u16]) -> Node {
    let start = Start {
        settings: Settings::default(),
        recovered: Recovered::initialize(7, slot, slots, u64::from(slot)),
        random: rand_pcg::Pcg64::seed_from_u64(u64::from(slot)),
    };
    Node::new(start, Duration::ZERO).expect("the settings are the defaults")
}

/// Runs all nodes for `span`, one millisecond at a time, and returns the commands each applied.
fn run(
    nodes: &mut [Node],
    from: Duration,
    span: Duration,
    first: Vec<Message>,
) -> Vec<Vec<Vec<u8>>> {
    let mut applied = vec![Vec::new(); nodes.len()];
    let mut inbox = first;
    for step in 0..span.as_millis() {
        let now = from + Duration::from_millis(u64::try_from(step).expect("a short span"));
        let mut sent = Vec::new();
        for (place, node) in nodes.iter_mut().enumerate() {
            let own = node.member();
            let mut events = vec![Event::Tick];
            events.extend(
                inbox
                    .iter()
                    .filter(|m| m.to == own)
                    .cloned()
                    .map(Event::Receive),
            );
            for action in events.into_iter().flat_map(|event| node.step(event, now)) {
                match action {
                    Action::Send(message) => sent.push(message),
                    Action::Apply(entry) => {
                        if let Payload::Command(command) = entry.payload {
                            applied[place].push(command);
                        }
                    }
                    Action::Rejected { fault, .. } => panic!("refused: {fault}"),
                    _ => {}
                }
            }
        }
        inbox = sent;
    }
    applied
}

#[test]
fn three_members_elect_one_leader_and_apply_the_same_commands() {
    let mut nodes: Vec<Node> = [1, 2, 3].map(|slot| node(slot, &[1, 2, 3])).into();
    let settled = Duration::from_secs(4);
    run(&mut nodes, Duration::ZERO, settled, Vec::new());
    let leaders: Vec<_> = nodes
        .iter()
        .filter(|node| node.state().role == Role::Leader)
        .collect();
    assert_eq!(leaders.len(), 1);
    let leader = leaders[0].member();

    let mut messages = Vec::new();
    let node = nodes
        .iter_mut()
        .find(|node| node.member() == leader)
        .unwrap();
    for command in [b"a", b"b", b"c"] {
        let event = Event::Propose {
            token: 1,
            command: command.to_vec(),
        };
        for action in node.step(event, settled) {
            if let Action::Send(message) = action {
                messages.push(message);
            }
        }
    }
    let applied = run(&mut nodes, settled, Duration::from_millis(400), messages);
    for commands in applied {
        assert_eq!(commands, [b"a", b"b", b"c"]);
    }
    assert!(
        nodes
            .iter()
            .all(|node| node.state().fresh_as_of > Some(settled))
    );
    let state = serde_json::to_string(&nodes[0].state()).unwrap();
    assert!(state.contains("\"membership\""), "{state}");
}
