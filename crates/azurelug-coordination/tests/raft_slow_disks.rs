//! Tests of members that handle no events for a while, because their own disk or host is slow.

use std::time::Duration;

use azurelug_coordination::raft::{
    Action, Body, Event, Member, Message, Node, NodeOptions, Outcome, RecoveredState, Role,
    Settings,
};
use rand::SeedableRng;

#[path = "support/slow_disks.rs"]
mod slow_disks;

use slow_disks::SlowDisks;

const MS: Duration = Duration::from_millis(1);

const PEER: Member = Member {
    slot: 1,
    incarnation: 1,
};

/// A member of three at its first election, and the time.
fn pre_candidate() -> (Node, Duration) {
    let start = NodeOptions {
        settings: Settings::default(),
        recovered: RecoveredState::initialize(7, 0, &[0, 1, 2], 1),
        random: rand_pcg::Pcg64::seed_from_u64(1),
    };
    let mut node = Node::new(start, Duration::ZERO).expect("the data folder is complete");
    let now = node.next_deadline();
    assert!(!node.step(Event::Tick, now).is_empty());
    (node, now)
}

/// Delivers a message of `PEER` in the node's current term.
fn answer(node: &mut Node, body: Body, now: Duration) -> Vec<Action> {
    let message = Message {
        cluster: 7,
        from: PEER,
        storage: 2,
        to: node.member(),
        term: node.term(),
        body,
    };
    node.step(Event::Receive(message), now)
}

fn candidate() -> (Node, Duration) {
    let (mut node, now) = pre_candidate();
    let body = Body::PreVoteAnswer {
        next_term: 1,
        granted: true,
    };
    let _ = answer(&mut node, body, now);
    assert_eq!(node.state().role, Role::Candidate);
    (node, now)
}

/// A leader that a peer answered at the returned time.
fn leader() -> (Node, Duration) {
    let (mut node, now) = candidate();
    let _ = answer(&mut node, Body::VoteAnswer { granted: true }, now);
    let body = Body::AppendAnswer {
        outcome: Outcome::Matched { index: 1 },
        sent_at: now,
    };
    let _ = answer(&mut node, body, now);
    assert_eq!(node.state().role, Role::Leader);
    (node, now)
}

/// Guards against a candidate that starts the next election before it has asked for the first vote,
/// because it takes longer than the election timeout to store its own.
#[test]
fn a_candidate_that_stores_its_vote_slowly_still_counts_the_answers() {
    let (mut node, now) = candidate();
    let duration = Duration::from_millis(1700);
    let now = now + duration;
    let _ = node.step(Event::Written { duration }, now);
    let _ = node.step(Event::Tick, now);
    // The voter's disk is as slow.
    let _ = node.step(Event::Tick, now + duration);
    let _ = answer(
        &mut node,
        Body::VoteAnswer { granted: true },
        now + duration,
    );
    assert_eq!(node.state().role, Role::Leader);
}

/// Guards against a leader that takes its own stall for a silence of the others.
#[test]
fn a_leader_that_stalled_asks_the_others_before_it_gives_up() {
    let (mut node, now) = leader();
    let duration = Duration::from_secs(3);
    let now = now + duration;
    let _ = node.step(Event::Stalled { duration }, now);
    let actions = node.step(Event::Tick, now);
    assert_eq!(node.state().role, Role::Leader);
    let asks = |action: &Action| matches!(action, Action::Send(message) if message.to == PEER);
    assert!(actions.iter().any(asks), "{actions:?}");
    // The lease is over, whatever the cause of the silence.
    assert!(node.lease_until().is_some_and(|until| until < now));

    // Without answers it gives up an election timeout later.
    let now = now + Settings::default().election_timeout;
    let actions = node.step(Event::Tick, now);
    assert_eq!(node.state().role, Role::Follower);
    let names_stall = |action: &Action| matches!(action, Action::LostQuorum { stalled, .. } if *stalled == duration);
    assert!(actions.iter().any(names_stall), "{actions:?}");
}

/// Guards against a leader that stalls repeatedly and therefore never gives up, although nobody
/// answers.
#[test]
fn a_leader_that_stalls_repeatedly_gives_up_without_answers() {
    let (mut node, mut now) = leader();
    let duration = Duration::from_millis(400);
    for _ in 0..40 {
        now += duration;
        let _ = node.step(Event::Written { duration }, now);
        now += 50 * MS;
        let _ = node.step(Event::Tick, now);
    }
    assert_ne!(node.state().role, Role::Leader);
}

/// Guards against a follower that starts an election after its own stall, before it has read the
/// heartbeats that arrived meanwhile.
#[test]
fn a_follower_that_stalled_waits_for_the_leader_before_it_asks_for_votes() {
    let start = NodeOptions {
        settings: Settings::default(),
        recovered: RecoveredState::initialize(7, 0, &[0, 1, 2], 1),
        random: rand_pcg::Pcg64::seed_from_u64(1),
    };
    let mut node = Node::new(start, Duration::ZERO).expect("the data folder is complete");
    let duration = Duration::from_secs(3);
    let now = duration;
    let _ = node.step(Event::Stalled { duration }, now);
    let _ = node.step(Event::Tick, now);
    let early = now + Settings::default().election_timeout - MS;
    let _ = node.step(Event::Tick, early);
    assert_eq!(node.state().role, Role::Follower);
}

/// Guards against votes that are split because a member starts its own election while the candidate
/// that it supports still stores its vote.
#[test]
fn a_member_that_supports_a_candidate_gives_it_an_election_timeout() {
    let start = NodeOptions {
        settings: Settings::default(),
        recovered: RecoveredState::initialize(7, 0, &[0, 1, 2], 1),
        random: rand_pcg::Pcg64::seed_from_u64(1),
    };
    let mut node = Node::new(start, Duration::ZERO).expect("the data folder is complete");
    let duration = Duration::from_millis(700);
    let _ = node.step(Event::Written { duration }, duration);
    let now = node.next_deadline() - MS;
    let body = Body::PreVote {
        next_term: 1,
        last: node.state().last,
    };
    let _ = answer(&mut node, body, now);
    let end = now + Settings::default().election_timeout + duration;
    let _ = node.step(Event::Tick, end - MS);
    assert_eq!(node.state().role, Role::Follower);
}

/// Time within which three members on slow disks have a leader that commits.
const ELECTION_LIMIT: Duration = Duration::from_secs(12);

/// Time within which a command is committed, or its sender gives up.
const COMMIT_LIMIT: Duration = Duration::from_secs(4);

/// Commands that are proposed on slow disks, and the time between two of them.
const COMMANDS: u32 = 200;
const COMMAND_INTERVAL: Duration = Duration::from_millis(300);

/// Guards against elections that are repeated without end because the votes take longer to store
/// than an election timeout.
#[test]
fn members_on_slow_disks_elect_a_leader() {
    let mut times = Vec::new();
    for seed in 0..40 {
        let mut cluster = SlowDisks::new(seed, 300..900);
        while !cluster.has_working_leader() && cluster.now < Duration::from_secs(60) {
            cluster.run(10 * MS);
        }
        times.push((cluster.now, seed));
    }
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    let late = times.iter().filter(|(time, _)| *time > ELECTION_LIMIT);
    let late = late.count();
    println!("median {median:?}, longest {longest:?} (time and seed), {late} late");
    assert_eq!(late, 0, "median {median:?}, longest {longest:?}");
}

/// Guards against a leadership that ends because a sync of the leader or of a follower takes longer
/// than an election timeout.
#[test]
fn slow_syncs_do_not_end_a_leadership() {
    let (mut changes, mut committed) = (Vec::new(), Vec::new());
    for seed in 0..30 {
        let mut cluster = SlowDisks::new(seed, 1..5);
        cluster.run(Duration::from_secs(10));
        let before = cluster.led.len();
        cluster.sync = 300..1400;
        for _ in 0..COMMANDS {
            cluster.propose();
            cluster.run(COMMAND_INTERVAL);
        }
        changes.push(cluster.led.len() - before);
        committed.push(cluster.committed);
    }
    let (most, fewest) = (changes.iter().max(), committed.iter().min());
    let total: usize = changes.iter().sum();
    println!(
        "{total} changes of leaders, at most {most:?} a seed; at least {fewest:?} of {COMMANDS} committed"
    );
    // The first slow sync may be longer than the members expect and cost one election. The last
    // commands may not be committed yet.
    let excused = (ELECTION_LIMIT + COMMIT_LIMIT).as_millis() / COMMAND_INTERVAL.as_millis();
    let wanted = u64::from(COMMANDS) - excused as u64;
    assert!(most <= Some(&1), "{changes:?}");
    assert!(fewest >= Some(&wanted), "{committed:?}");
}
