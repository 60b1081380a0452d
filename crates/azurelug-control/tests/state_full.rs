//! A member of the replicated log whose state has reached the largest size of a snapshot.
#![allow(clippy::unwrap_used)]

#[path = "support/members.rs"]
mod members;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use azurelug_control::cluster::Cluster;
use azurelug_control::disk::{DataFolder, Disk};
use azurelug_control::internal::wall_clock_ms;
use azurelug_control::metrics::GaugeValues;
use azurelug_control::peers::Peers;
use azurelug_control::replica::task::Task;
use azurelug_control::replica::{Error, Replica};
use azurelug_coordination::once::{self, Answer, Claim, Key};
use azurelug_coordination::raft;
use azurelug_core::gateway::orders::Order;
use azurelug_core::gateway::rollout::state as rollout;
use azurelug_core::machine::{Command, Outcome};
use azurelug_storage::Files;
use azurelug_types::id::ZoneName;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const SLOT: u32 = 1;

/// Longest time until the state is measured again after it shrank.
const MEASURED_WITHIN: Duration = Duration::from_secs(10);

const SERVICE: &str = "answers";

/// Time for a first leader.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Length of a zone's name in bytes.
const NAME_BYTES: usize = 1000;

fn log_settings() -> raft::Settings {
    raft::Settings {
        max_command_bytes: 4096,
        max_log_bytes: 64 * 1024,
        snapshot_bytes: 8 * 1024,
        kept_bytes: 8 * 1024,
        max_snapshot_bytes: 128 * 1024,
        state_reserve_bytes: 16 * 1024,
        ..raft::Settings::default()
    }
}

fn data_folder(folder: &Path, slot: u32, founders: &[u32]) -> DataFolder {
    DataFolder {
        folder: folder.join(format!("state-{slot}")),
        cluster: 7,
        slot,
        founders: founders.to_vec(),
        storage: u64::from(slot) + 1,
        files: Arc::new(Files::new),
    }
}

/// Starts the only member of a cluster.
fn start(folder: &DataFolder) -> (Replica, JoinHandle<()>) {
    let peers = Peers::new(Cluster::Listed(Arc::from([])), &members::identity(SLOT));
    let opened = Disk::open(folder, true).unwrap();
    let (task, replica) = Task::new(log_settings(), folder.clone(), opened, peers).unwrap();
    let running = tokio::spawn(async move { task.run().await.unwrap() });
    (replica, running)
}

async fn drain(replica: &Replica, zone: usize, drained: bool) -> Result<(), Error> {
    let zone = ZoneName(format!("{zone:0NAME_BYTES$}"));
    let order = Order::Drain { zone, drained };
    let outcome = replica.propose(&Command::Deployment(order)).await;
    outcome.map(|_| ())
}

fn order(command: rollout::Command) -> Command {
    Command::Deployment(Order::Rollout(command))
}

async fn propose_claim(replica: &Replica, low: u128) -> Result<Outcome, Error> {
    let now_ms = wall_clock_ms();
    // Version and variant of a UUID whose time is now.
    let key = u128::from(now_ms) << 80 | 7 << 76 | 2 << 62 | low;
    let command = once::Command::Claim {
        account: 1,
        key: Key::try_from(key).unwrap(),
        fingerprint: 9,
        claimant: low,
        now_ms,
        deadline_ms: 12_000,
    };
    replica.propose(&Command::Once(command)).await
}

/// The result of a claim is recorded and a roll-out rolled back although the state is full; a new
/// claim is refused.
async fn end_what_has_begun(replica: &Replica, claim: Claim) {
    let answer = Answer::whole(200, vec![b'x'; 3000]);
    let record = once::Command::Record {
        claim,
        answer: answer.clone(),
    };
    let recorded = replica.propose(&Command::Once(record)).await.unwrap();
    let expected = Outcome::Once(once::Outcome::Recorded { answer });
    assert_eq!(recorded, expected);
    let cancel = rollout::Command::Cancel {
        service: SERVICE.into(),
        number: 1,
        at_ms: 2,
    };
    let cancelled = replica.propose(&order(cancel)).await.unwrap();
    assert_eq!(cancelled, Outcome::Rollout(rollout::Outcome::Done));
    let refused = propose_claim(replica, 2).await;
    assert!(
        matches!(refused, Err(Error::StateFull { .. })),
        "{refused:?}"
    );
}

/// Drains zones until one is refused; returns their number and the error.
async fn fill(replica: &Replica, first: usize) -> (usize, Error) {
    for zone in first..1000 {
        if let Err(error) = drain(replica, zone, true).await {
            return (zone, error);
        }
    }
    panic!("no drain was refused");
}

/// Guards against a control daemon that accepts no order at all, not even one that would shrink the
/// state, because its state can't be held by a snapshot and the log therefore not compacted; also
/// after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_state_refuses_growth_with_its_reason_and_recovers_by_removals() {
    let folder = tempfile::tempdir().unwrap();
    let disk = data_folder(folder.path(), SLOT, &[SLOT]);
    let (replica, running) = start(&disk);
    let claimed = propose_claim(&replica, 1).await.unwrap();
    let Outcome::Once(once::Outcome::Claimed { claim }) = claimed else {
        panic!("{claimed:?}");
    };
    let start_rollout = rollout::Command::Start {
        service: SERVICE.into(),
        target: "2".to_owned(),
        listed: vec!["1".to_owned(), "2".to_owned()],
        duration_ms: 60_000,
        at_ms: 1,
        repeat_ms: 1,
    };
    let started = replica.propose(&order(start_rollout)).await.unwrap();
    assert_eq!(started, Outcome::Rollout(rollout::Outcome::Done));
    let (drained, error) = fill(&replica, 0).await;
    let Error::StateFull { size, limit } = error else {
        panic!("{drained} zones: {error}");
    };
    assert!(size > limit, "{size} is within {limit}");
    assert!(error.to_string().contains("remove"), "{error}");
    let values = GaugeValues::default();
    let metrics = replica.metrics().encode_text(&values);
    assert!(metrics.contains("azurelug_control_state_full_total 1\n"));
    end_what_has_begun(&replica, claim).await;
    running.abort();
    drop(replica);
    // The folder's lock is released when the task has ended.
    while !running.is_finished() {
        sleep(Duration::from_millis(10)).await;
    }

    let (replica, running) = start(&disk);
    let (drained, error) = fill(&replica, drained).await;
    assert!(matches!(error, Error::StateFull { .. }), "{error}");
    for zone in 0..drained / 2 {
        drain(&replica, zone, false).await.unwrap();
    }
    let started = Instant::now();
    while let Err(error) = drain(&replica, drained, true).await {
        assert!(started.elapsed() < MEASURED_WITHIN, "{error}");
        sleep(Duration::from_millis(100)).await;
    }
    running.abort();
}

/// Guards against a follower that repeats a refused command for 4 s and then names no quorum as the
/// reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_passes_the_refusal_of_a_full_state_on() {
    let folder = tempfile::tempdir().unwrap();
    let slots = [1, 2];
    let (listeners, cluster) = members::listen(&slots).await;
    let started = slots.into_iter().zip(listeners).map(|(slot, listener)| {
        let disk = data_folder(folder.path(), slot, &slots);
        members::start(&disk, log_settings(), &cluster, listener).0
    });
    let members: Vec<Replica> = started.collect();
    let begun = Instant::now();
    while drain(&members[0], 0, true).await.is_err() {
        assert!(begun.elapsed() < START_TIMEOUT, "no leader was elected");
    }
    let follower = members.iter().find(|it| it.leadership().is_none()).unwrap();
    let (_, error) = fill(follower, 1).await;
    assert!(matches!(error, Error::StateFull { .. }), "{error}");
}
