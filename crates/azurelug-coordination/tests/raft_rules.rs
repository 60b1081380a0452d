//! Tests of a single node with hand-written answers, for rules that neither random schedules nor
//! tests of a whole cluster cover.

use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Body, Change, Entry, Event, Member, Message, Node, NodeOptions, Outcome, Payload,
    Position, RecoveredState, Refusal, Settings, Write,
};
use rand::SeedableRng;

const PEER: Member = Member {
    slot: 1,
    incarnation: 1,
};

fn node(recovered: RecoveredState) -> Node {
    let random = rand_pcg::Pcg64::seed_from_u64(1);
    let start = NodeOptions {
        settings: Settings::default(),
        recovered,
        random,
    };
    Node::new(start, Duration::ZERO).expect("the data folder is complete")
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        position: Position { term, index },
        payload: Payload::Empty,
    }
}

/// Delivers a message of `PEER` in the node's current term.
fn answer(node: &mut Node, body: Body) -> Vec<Action> {
    let (to, term, now) = (node.member(), node.term(), node.next_deadline());
    let message = Message {
        cluster: 7,
        from: PEER,
        storage: 2,
        to,
        term,
        body,
    };
    node.step(Event::Receive(message), now)
}

/// Until a new leader has committed an entry of its own term, an entry of an earlier term may still
/// be overwritten although a majority holds it, and so may the latest membership in the leader's
/// log.
#[test]
fn a_new_leader_does_not_commit_or_change_members_before_its_own_entry() {
    let mut recovered = RecoveredState::initialize(7, 0, &[0, 1, 2], 1);
    recovered.entries.push(entry(1, 1));
    let mut node = node(recovered);
    let now = node.next_deadline();
    assert!(!node.step(Event::Tick, now).is_empty());
    answer(
        &mut node,
        Body::PreVoteAnswer {
            next_term: 2,
            granted: true,
        },
    );
    answer(&mut node, Body::VoteAnswer { granted: true });
    assert_eq!(node.leader(), Some(node.member()));

    let matched = |index| Body::AppendAnswer {
        outcome: Outcome::Matched { index },
        sent_at: Duration::ZERO,
    };
    answer(&mut node, matched(1));
    assert_eq!(node.state().commit, 0);
    let change = Event::Change {
        token: 1,
        change: Change::Remove(PEER),
    };
    let refused = Action::Refused {
        token: 1,
        refusal: Refusal::ChangePending,
    };
    assert!(node.step(change.clone(), now).contains(&refused));
    answer(&mut node, matched(2));
    assert_eq!(node.state().commit, 2);
    assert!(!node.step(change, now).contains(&refused));
}

/// A crash between the two writes must neither lose entries that were counted towards a majority
/// nor leave conflicting ones.
#[test]
fn a_crash_while_installing_a_snapshot_does_not_damage_the_log() {
    let mut recovered = RecoveredState::initialize(7, 0, &[0, 1, 2], 1);
    recovered
        .entries
        .extend([entry(1, 1), entry(1, 2), entry(1, 3)]);
    let mut follower = node(recovered.clone());
    let initial = recovered
        .snapshot
        .clone()
        .expect("initialized with a snapshot");
    let chunk = Body::Chunk {
        position: Position { term: 2, index: 2 },
        membership: initial.membership,
        total: 1,
        offset: 0,
        data: vec![1],
        sent_at: Duration::ZERO,
    };
    let actions = answer(&mut follower, chunk);
    let [
        Action::Persist(Write::Snapshot(snapshot)),
        Action::Persist(truncation),
        ..,
    ] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*truncation, Write::Truncate { from: 2 });

    recovered.snapshot = Some(snapshot.clone());
    let first = node(recovered).step(Event::Tick, Duration::ZERO);
    assert_eq!(
        first.first(),
        Some(&Action::Persist(Write::Truncate { from: 2 }))
    );
}
