//! What members without a seat are told, on a small simulated network.

use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Event, JoinRefusal, Member, Node, NodeOptions, RecoveredState, Role, Settings, Standing,
};
use rand::SeedableRng;

#[path = "support/net.rs"]
mod net;

use net::Net;

fn maintained(recovered: RecoveredState, seed: u64, now: Duration) -> Node {
    let settings = Settings {
        peers: vec![0, 1, 2, 3, 4],
        target_voters: Some(3),
        remove_after: Duration::from_secs(4),
        max_voters: 3,
        max_members: 4,
        ..Settings::default()
    };
    let random = rand_pcg::Pcg64::seed_from_u64(seed);
    let start = NodeOptions {
        settings,
        recovered,
        random,
    };
    Node::new(start, now).expect("the data folder is complete")
}

/// Three voters that maintain the membership, and a learner in the fourth and last seat.
fn full_cluster() -> Net {
    let mut net = Net::started();
    for slot in 0..3 {
        let initial = RecoveredState::initialize(7, slot, &[0, 1, 2], 100 + u64::from(slot));
        net.nodes[slot as usize] = maintained(initial, 40 + u64::from(slot), net.now);
    }
    net.run(4000);
    join(&mut net, 3);
    net.run(1500);
    net
}

fn join(net: &mut Net, slot: u32) {
    let joining = maintained(
        RecoveredState::empty(7, slot),
        70 + u64::from(slot),
        net.now,
    );
    net.nodes.push(joining);
}

/// A refused join that nobody reports leaves operators without a sign that a successor is missing.
#[test]
fn a_join_refused_for_lack_of_seats_is_reported_at_both_ends() {
    let mut net = full_cluster();
    join(&mut net, 4);
    net.run(2000);
    let leader = net.leader();
    let expected = JoinRefusal::Full { members: 4 };
    for at in [leader, 4] {
        let refused = net.state(at).refused_join.map(|it| (it.slot, it.refusal));
        assert_eq!(refused, Some((4, expected)), "at member {at}");
        let is_reported = net.actions.iter().any(|(slot, action)| {
            *slot == at && matches!(action, Action::JoinRefused(it) if it.refusal == expected)
        });
        assert!(is_reported, "at member {at}");
    }
    assert_eq!(net.state(4).role, Role::Joining);
    // A learner that is silent gives its seat to one that asks.
    net.isolate(3);
    net.run(6000);
    assert_ne!(net.state(4).member.incarnation, 0);
    assert_eq!(net.state(4).refused_join, None);
}

/// A member that returns after its removal would stay without the log and without a word, or vote
/// with an identity that the others no longer count.
#[test]
fn a_removed_member_joins_anew_with_another_identity() {
    let mut net = full_cluster();
    let lost = net.follower();
    net.isolate(lost);
    net.run(14_000);
    let (leader, old) = (
        net.leader(),
        Member {
            slot: lost,
            incarnation: 1,
        },
    );
    assert_eq!(
        net.state(leader).membership.seat(old),
        None,
        "a silent member keeps its seat"
    );
    net.actions.clear();
    net.closed.clear();
    net.run(6000);
    let told = Action::Removed { member: old };
    assert!(
        net.actions
            .iter()
            .any(|(slot, action)| *slot == lost && *action == told)
    );
    let (state, membership) = (net.state(lost), net.state(net.leader()).membership);
    assert!(state.member.incarnation > 1, "{:?}", state.member);
    let seat = membership.seat(state.member).map(|seat| seat.standing);
    assert_eq!(seat, Some(Standing::Learner { replaces: false }));
    assert!(net.nodes.iter().all(|node| node.state().vote != Some(old)));
    let (leader, command) = (net.leader(), b"a".to_vec());
    net.step(leader, Event::Propose { token: 1, command });
    net.run(400);
    assert_eq!(net.refusal(), None);
    assert_eq!(net.applied(lost).last(), Some(&b"a"[..]));
}
