//! Directed tests of cases that random schedules seldom reach: each guards one rule of elections,
//! leases or membership, on a small simulated network whose links can be closed.

use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Body, Change, Event, Fault, Member, Message, Node, NodeOptions, Outcome, Position,
    RecoveredState, Refusal, Role, Settings, Standing, StartError, State, VoteRecord,
};
use rand::SeedableRng;

#[path = "support/net.rs"]
mod net;

use net::{MS, Net, node};

/// Guards against a log that does not work even without faults.
#[test]
fn members_without_faults_do_not_diverge() {
    let mut net = Net::started();
    let leaders = net
        .nodes
        .iter()
        .filter(|node| node.state().role == Role::Leader);
    assert_eq!(leaders.count(), 1);
    let (leader, settled) = (net.leader(), net.now);
    net.actions.clear();
    for command in [b"a", b"b", b"c"] {
        let command = command.to_vec();
        net.step(leader, Event::Propose { token: 1, command });
    }
    net.run(400);
    for slot in 0..3 {
        let applied: Vec<&[u8]> = net.applied(slot).collect();
        assert_eq!(applied, [b"a", b"b", b"c"]);
    }
    let rejected = |(_, action): &(u32, Action)| matches!(action, Action::Rejected { .. });
    assert!(!net.actions.iter().any(rejected));
    assert!(
        net.nodes
            .iter()
            .all(|node| node.state().fresh_as_of > Some(settled))
    );
    let state = serde_json::to_string(&net.nodes[0].state()).unwrap();
    assert!(state.contains("\"membership\""), "{state}");
}

/// Without pre-votes, a member that was cut off raises its term and deposes the leader.
#[test]
fn a_returning_member_does_not_depose_the_leader() {
    let mut net = Net::started();
    let (leader, term) = (net.leader(), net.nodes[0].state().term);
    let other = net.follower();
    net.isolate(other);
    net.run(10_000);
    net.closed.clear();
    net.run(3000);
    assert_eq!((net.leader(), net.state(other).term), (leader, term));
}

/// Without check-quorum, a leader that receives no answers keeps the others from electing a new
/// one, because they still receive its heartbeats.
#[test]
fn a_leader_without_answers_does_not_block_elections() {
    let mut net = Net::started();
    let leader = net.leader();
    net.closed.extend((0..3).map(|other| (other, leader)));
    net.run(6000);
    assert_ne!(net.leader(), leader);
    assert_ne!(net.state(leader).role, Role::Leader);
    let next = net.leader();
    net.step(
        next,
        Event::Propose {
            token: 1,
            command: vec![1],
        },
    );
    net.run(300);
    assert_eq!(net.state(next).commit, net.state(next).last.index);
}

/// A leader that a majority no longer answers must not confirm that any state is fresh, even if its
/// process was frozen and handles a probe before the next tick.
#[test]
fn an_expired_lease_does_not_confirm_freshness() {
    let mut net = Net::started();
    let (leader, follower) = (net.leader(), net.follower());
    let (lease, vote_withheld) = (
        Settings::default().leader_lease(),
        Settings::default().election_timeout,
    );
    assert!(
        lease * 101 / 100 + 50 * MS <= vote_withheld,
        "the lease outlives the time in which voters withhold their votes"
    );
    net.isolate(leader);
    let cut = net.now;
    net.run(10);
    let (from, storage) = (
        net.nodes[follower as usize].member(),
        100 + u64::from(follower),
    );
    let node = &mut net.nodes[leader as usize];
    let state = node.state();
    let end = state.lease_until.expect("a majority answered just now");
    assert!(end <= cut + lease, "{state:?}");
    let body = Body::Probe { run: 1, stamp: cut };
    let probe = Message {
        cluster: 7,
        from,
        storage,
        to: state.member,
        term: state.term,
        body,
    };
    let early = node.step(Event::Receive(probe.clone()), end - MS);
    assert!(matches!(
        early[..],
        [Action::Send(Message {
            body: Body::ProbeAnswer { .. },
            ..
        })]
    ));
    assert_eq!(node.step(Event::Receive(probe), end), []);
    net.run(5000);
    let state = net.state(leader);
    assert!(
        state.fresh_as_of.is_some_and(|as_of| as_of < end),
        "{state:?}"
    );
}

/// The old incarnation may be replaced only after the new one has acknowledged a durable copy.
#[test]
fn a_lost_disk_is_not_replaced_before_a_durable_copy() {
    let mut net = Net::started();
    let (lost, leader) = (net.follower(), net.leader());
    net.nodes[lost as usize] = node(RecoveredState::empty(7, lost), 90, net.now);
    net.is_dropped = |m| {
        let Body::AppendAnswer { outcome, .. } = m.body else {
            return false;
        };
        m.from.incarnation == 2 && matches!(outcome, Outcome::Matched { .. })
    };
    net.run(8000);
    let (old, new) = (
        Member {
            slot: lost,
            incarnation: 1,
        },
        Member {
            slot: lost,
            incarnation: 2,
        },
    );
    let membership = net.state(leader).membership;
    assert!(
        membership.is_voter(old),
        "replaced without a copy: {membership:?}"
    );
    assert_eq!(
        membership.seat(new).map(|s| s.standing),
        Some(Standing::Learner { replaces: true })
    );
    net.step(
        leader,
        Event::Change {
            token: 1,
            change: Change::Promote(new),
        },
    );
    assert!(matches!(net.refusal(), Some(Refusal::Impossible(_))));

    net.is_dropped = |_| false;
    net.run(3000);
    let membership = net.state(leader).membership;
    assert!(
        membership.is_voter(new) && membership.seat(old).is_none(),
        "{membership:?}"
    );
}

/// A second `--initialize` on an emptied data folder must not reuse an identity that has voted.
#[test]
fn an_identity_is_not_reused_with_another_data_folder() {
    let mut net = Net::started();
    let slot = net.follower();
    let again = RecoveredState::initialize(7, slot, &[0, 1, 2], 999);
    net.nodes[slot as usize] = node(again, 91, net.now);
    net.actions.clear();
    net.run(4000);
    let refused = |(_, action): &(u32, Action)| {
        matches!(
            action,
            Action::Rejected {
                fault: Fault::WrongStorage,
                ..
            }
        )
    };
    assert!(net.actions.iter().any(refused));
    assert!(net.nodes.iter().all(|node| node.state().vote
        != Some(Member {
            slot,
            incarnation: 1
        })));
}

/// A graceful shutdown must not cost an election timeout.
#[test]
fn a_leadership_transfer_does_not_wait_for_an_election_timeout() {
    let mut net = Net::started();
    let (leader, other) = (net.leader(), net.follower());
    let to = Some(Member {
        slot: other,
        incarnation: 1,
    });
    net.step(leader, Event::Transfer { token: 1, to });
    net.step(
        leader,
        Event::Propose {
            token: 2,
            command: vec![1],
        },
    );
    assert_eq!(net.refusal(), Some(Refusal::Transferring));
    net.run(10);
    assert_eq!(net.leader(), other);
    assert_eq!(net.state(leader).role, Role::Follower);
}

/// Guards against an election timeout without a leader when the leader's disk is full.
#[test]
fn a_leader_that_resigns_is_replaced_before_an_election_timeout() {
    let mut net = Net::started();
    let leader = net.leader();
    net.step(leader, Event::Resign);
    assert_eq!(net.nodes[leader as usize].lease_until(), None);
    assert_eq!(net.state(leader).role, Role::Follower);
    net.run(10);
    assert_ne!(net.leader(), leader);
}

/// Guards against an election that fails because a member opened its data folder again, and against
/// a vote in the time of a lease that relies on the member.
#[test]
fn a_reopened_member_withholds_its_vote_no_longer_than_a_lease_relies_on_it() {
    let mut recovered = RecoveredState::initialize(7, 0, &[0, 1, 2], 100);
    recovered.vote = recovered.vote.map(|vote| VoteRecord { term: 1, ..vote });
    let earlier = node(recovered.clone(), 1, Duration::ZERO);
    for (reopened_at, expected) in [(100 * MS, false), (5000 * MS, true)] {
        let mut reopened = node(recovered.clone(), 2, reopened_at);
        reopened.continue_from(&earlier);
        let member = |slot| Member {
            slot,
            incarnation: 1,
        };
        let message = Message {
            cluster: 7,
            from: member(1),
            storage: 101,
            to: member(0),
            term: 1,
            body: Body::PreVote {
                next_term: 2,
                last: Position::default(),
            },
        };
        let actions = reopened.step(Event::Receive(message), reopened_at);
        let is_granted = actions.iter().any(|action| {
            let Action::Send(answer) = action else {
                return false;
            };
            matches!(answer.body, Body::PreVoteAnswer { granted: true, .. })
        });
        assert_eq!(is_granted, expected, "reopened at {reopened_at:?}");
    }
}

/// A frame above the wire's limit of 1 MiB would close the connection of a healthy member.
#[test]
fn the_largest_messages_do_not_exceed_a_frame() {
    let mut net = Net::started();
    let leader = net.leader();
    for token in 0..8 {
        net.step(
            leader,
            Event::Propose {
                token,
                command: vec![255; Settings::default().max_command_bytes],
            },
        );
    }
    let standard = bincode::config::standard();
    let mut largest = 0;
    for _ in 0..400 {
        for message in &net.in_transit {
            let frame = bincode::serde::encode_to_vec(message, standard).unwrap();
            largest = largest.max(frame.len());
            let (decoded, _): (Message, usize) =
                bincode::serde::decode_from_slice(&frame, standard).unwrap();
            assert_eq!(decoded, *message);
        }
        net.run(1);
    }
    assert!(
        (Settings::default().max_command_bytes..1024 * 1024).contains(&largest),
        "largest frame: {largest} bytes"
    );
}

/// Guards against messages and data folders of another cluster being accepted.
#[test]
fn messages_and_folders_of_another_cluster_are_not_accepted() {
    let mut net = Net::started();
    let to = net.nodes[0].member();
    let from = Member {
        slot: 1,
        incarnation: 1,
    };
    let body = Body::TimeoutNow;
    let message = Message {
        cluster: 8,
        from,
        storage: 101,
        to,
        term: 99,
        body,
    };
    let rejected = Action::Rejected {
        from,
        fault: Fault::WrongCluster,
    };
    assert_eq!(
        net.nodes[0].step(Event::Receive(message), net.now),
        [rejected]
    );

    let recovered = RecoveredState {
        cluster: 8,
        ..RecoveredState::initialize(7, 0, &[0], 1)
    };
    let random = rand_pcg::Pcg64::seed_from_u64(1);
    let start = NodeOptions {
        settings: Settings::default(),
        recovered,
        random,
    };
    assert!(matches!(
        Node::new(start, MS),
        Err(StartError::WrongFolder { .. })
    ));
}

/// Queues without a limit would let one slow majority exhaust the leader's memory.
#[test]
fn pending_proposals_do_not_exceed_the_limits() {
    let mut net = Net::started();
    let leader = net.leader();
    net.isolate(leader);
    for token in 0..Settings::default().max_uncommitted {
        net.step(
            leader,
            Event::Propose {
                token,
                command: vec![0; 10],
            },
        );
    }
    assert_eq!(net.refusal(), None);
    net.step(
        leader,
        Event::Propose {
            token: 0,
            command: vec![0; 10],
        },
    );
    assert_eq!(net.refusal(), Some(Refusal::Busy));
    let limit = Settings::default().max_command_bytes;
    let size = limit + 1;
    net.step(
        leader,
        Event::Propose {
            token: 0,
            command: vec![0; size],
        },
    );
    assert_eq!(net.refusal(), Some(Refusal::TooLarge { size, limit }));
    let in_flight = net.state(leader).followers;
    assert!(
        in_flight
            .iter()
            .all(|f| f.in_flight <= Settings::default().max_in_flight)
    );
}

fn node_with_target_voters(recovered: RecoveredState, seed: u64, now: Duration) -> Node {
    let settings = Settings {
        peers: vec![0, 1, 2, 3],
        target_voters: Some(3),
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

fn voters(state: &State) -> Vec<u32> {
    state
        .membership
        .voters()
        .map(|member| member.slot)
        .collect()
}

/// Guards against a cluster that cannot lose another member after one was replaced by a member at
/// another address. Each member, when leader, promotes and demotes automatically.
#[test]
fn a_lost_voter_does_not_remain_a_voter() {
    let mut net = Net::started();
    for slot in 0..3 {
        let initial = RecoveredState::initialize(7, slot, &[0, 1, 2], 100 + u64::from(slot));
        net.nodes[slot as usize] = node_with_target_voters(initial, 40 + u64::from(slot), net.now);
    }
    net.run(5000);
    let lost = net.follower();
    net.isolate(lost);
    let joining = node_with_target_voters(RecoveredState::empty(7, 3), 77, net.now);
    net.nodes.push(joining);
    net.run(12_000);
    let state = net.state(net.leader());
    let mut expected: Vec<u32> = (0..4).filter(|slot| *slot != lost).collect();
    expected.sort_unstable();
    assert_eq!(voters(&state), expected);
    // The lost voter returns as a learner and does not vote until it is needed.
    net.closed.clear();
    net.run(8000);
    let state = net.state(net.leader());
    assert_eq!(voters(&state), expected);
    assert_eq!(net.state(lost).commit, state.commit);
}

/// Guards against a member that cannot join because it does not know or reach the leader.
#[test]
fn a_member_that_cannot_reach_the_leader_still_joins() {
    let mut net = Net::started();
    let leader = net.leader();
    let joining = node_with_target_voters(RecoveredState::empty(7, 3), 78, net.now);
    net.nodes.push(joining);
    // The joining member can send to the followers only, but the leader can send to it.
    net.closed.insert((3, leader));
    net.run(3000);
    net.closed.clear();
    net.run(3000);
    assert_ne!(
        net.state(3).member.incarnation,
        0,
        "the joining member has no identity"
    );
}
