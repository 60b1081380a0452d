//! Tests of members of the replicated log whose disks take long to sync. The delays are injected.
#![allow(clippy::unwrap_used)]

#[path = "support/members.rs"]
mod members;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azurelug_control::disk::DataFolder;
use azurelug_control::replica::Replica;
use azurelug_coordination::raft::{self, Role};
use azurelug_core::gateway::orders::Order;
use azurelug_core::machine::Command;
use azurelug_storage::{Files, HookDecision, Op};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Time limit for the first commit of a cluster on fast disks.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for an acknowledgement, as in docs/design/platform.md.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Members of a cluster in one process. They stop with the test's runtime.
struct Members {
    replicas: Vec<Replica>,
    /// Time that each sync takes in addition, in milliseconds.
    sync_delay_ms: Arc<AtomicU64>,
    _folders: Vec<TempDir>,
}

fn data_folder(folder: &TempDir, slot: u32, slots: &[u32], delay: &Arc<AtomicU64>) -> DataFolder {
    let delay = Arc::clone(delay);
    let files = move || {
        let delay = Arc::clone(&delay);
        Files::with_hook(Box::new(move |op| {
            if matches!(op, Op::Sync(_)) {
                let delay = Duration::from_millis(delay.load(Ordering::SeqCst));
                std::thread::sleep(delay);
            }
            HookDecision::Proceed
        }))
    };
    DataFolder {
        folder: folder.path().join("state"),
        cluster: 7,
        slot,
        founders: slots.to_vec(),
        storage: u64::from(slot) + 2,
        files: Arc::new(files),
    }
}

impl Members {
    /// Starts members on fast disks and commits version 1.
    async fn start(slots: &[u32]) -> Self {
        let sync_delay_ms = Arc::new(AtomicU64::new(0));
        let (listeners, cluster) = members::listen(slots).await;
        let folders: Vec<_> = slots.iter().map(|_| TempDir::new().unwrap()).collect();
        let members = slots.iter().zip(&folders).zip(listeners);
        let replicas = members.map(|((&slot, folder), listener)| {
            let data_folder = data_folder(folder, slot, slots, &sync_delay_ms);
            members::start(&data_folder, raft::Settings::default(), &cluster, listener).0
        });
        let members = Self {
            replicas: replicas.collect(),
            sync_delay_ms,
            _folders: folders,
        };
        let started = Instant::now();
        while let Err(error) = members.replicas[0].propose(&configure(1)).await {
            assert!(started.elapsed() < START_TIMEOUT, "version 1: {error}");
        }
        // Every member stores its first snapshot.
        sleep(Duration::from_secs(1)).await;
        members
    }

    fn set_sync_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap();
        self.sync_delay_ms.store(millis, Ordering::SeqCst);
    }

    async fn leader(&self) -> Option<(usize, u64)> {
        for (index, replica) in self.replicas.iter().enumerate() {
            let state = replica.log_state().await.unwrap();
            if state.role == Role::Leader {
                return Some((index, state.term));
            }
        }
        None
    }
}

fn configure(version: u64) -> Command {
    Command::Deployment(Order::Configure {
        version,
        document: Arc::from(vec![b'x'; 300]),
    })
}

/// Guards against a member that sends a command to its own log again and again while the first one
/// is being written, so that none is acknowledged although all are committed.
#[tokio::test(flavor = "multi_thread")]
async fn the_only_member_acknowledges_a_command_after_a_slow_sync() {
    let members = Members::start(&[1]).await;
    members.set_sync_delay(Duration::from_millis(1800));
    for version in 2..5 {
        let started = Instant::now();
        let result = members.replicas[0].propose(&configure(version)).await;
        let elapsed = started.elapsed();
        assert!(result.is_ok(), "{version} after {elapsed:?}: {result:?}");
        assert!(elapsed < ACK_TIMEOUT, "{version} after {elapsed:?}");
    }
}

/// Guards against a leadership that ends because the sync of the leader or of a follower takes
/// longer than an election timeout, which prevents every commit on such disks.
#[tokio::test(flavor = "multi_thread")]
async fn syncs_longer_than_an_election_timeout_do_not_end_the_leadership() {
    let members = Members::start(&[1, 2, 3]).await;
    let (leader, term) = members.leader().await.unwrap();
    let follower = &members.replicas[(leader + 1) % 3];
    let mut times = Vec::new();
    for version in 2..7 {
        // Members learn from their own writes how slow the disks are. The first sync that takes
        // longer than an election timeout may still end a leadership.
        let delay = if version == 2 { 500 } else { 900 };
        members.set_sync_delay(Duration::from_millis(delay));
        let started = Instant::now();
        let result = follower.propose(&configure(version)).await;
        times.push(started.elapsed());
        assert!(result.is_ok(), "{version}: {result:?}, times {times:?}");
    }
    members.set_sync_delay(Duration::ZERO);
    let now = members.leader().await;
    assert_eq!(now, Some((leader, term)), "times {times:?}");
}
