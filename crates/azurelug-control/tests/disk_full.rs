//! Tests of a member of the replicated log whose disk is full for a while. The errors are injected.
#![allow(clippy::unwrap_used)]

#[path = "support/fillable_disk.rs"]
mod fillable_disk;

use std::sync::Arc;
use std::time::Duration;

use azurelug_control::cluster::Cluster;
use azurelug_control::disk::Disk;
use azurelug_control::peers::Peers;
use azurelug_control::replica::Replica;
use azurelug_control::replica::task::Task;
use azurelug_coordination::raft;
use azurelug_core::gateway::orders::Order;
use azurelug_core::machine::Command;
use azurelug_types::id::{DaemonName, ZoneName};
use azurelug_wire::codec;
use azurelug_wire::handshake::Identity;
use tokio::time::{Instant, sleep};

use fillable_disk::{FillableDisk, Refusal};

const SLOT: u32 = 1;

/// Time limit for a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the only member of a cluster.
fn start(disk: &FillableDisk) -> (Replica, tokio::task::JoinHandle<()>) {
    let identity = Arc::new(Identity {
        cluster: "test".to_owned(),
        daemon: DaemonName("control".to_owned()),
        zone: ZoneName::from("a"),
        incarnation: 1,
        key: vec![7; 32],
    });
    let peers = Peers::new(Cluster::Listed(Arc::from([])), &identity);
    let opened = Disk::open(&disk.data_folder, true).unwrap();
    let settings = raft::Settings::default();
    let (task, replica) = Task::new(settings, disk.data_folder.clone(), opened, peers).unwrap();
    let running = tokio::spawn(async move { task.run().await.unwrap() });
    (replica, running)
}

fn configure(version: u64) -> Command {
    Command::Deployment(Order::Configure {
        version,
        document: Arc::from(vec![b'x'; 300]),
    })
}

async fn commit(replica: &Replica, version: u64) {
    let started = Instant::now();
    while let Err(error) = replica.propose(&configure(version)).await {
        assert!(
            started.elapsed() < COMMIT_TIMEOUT,
            "version {version}: {error}"
        );
    }
}

fn version(replica: &Replica) -> Option<u64> {
    replica.orders().document().map(|document| document.version)
}

/// Guards against a member that ends or sets its data folder aside because its disk is full.
/// Acknowledged writes are kept, none is acknowledged without room, and the member recovers by
/// itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_stops_acknowledgements_and_loses_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FillableDisk::new(folder.path(), SLOT, &[SLOT]);
    let (replica, running) = start(&disk);
    commit(&replica, 1).await;
    for round in 0..3 {
        let durable = version(&replica);
        disk.set_full(Some(Refusal::WritesAndFiles), 0);
        for _ in 0..3 {
            let command = codec::encode(&configure(100 + round)).unwrap();
            let refused = replica.propose_locally(command).await;
            assert!(
                refused.is_err(),
                "a command was acknowledged while the disk was full"
            );
            sleep(Duration::from_millis(150)).await;
        }
        assert!(
            !running.is_finished(),
            "the member ended because of a full disk"
        );
        assert_eq!(
            version(&replica),
            durable,
            "the durable version must still be readable"
        );
        assert!(
            replica.leadership().is_none(),
            "the member leads while its disk is full"
        );
        assert!(replica.log_state().await.is_some());
        disk.set_full(None, 0);
        commit(&replica, 200 + round).await;
        assert_eq!(version(&replica), Some(200 + round));
    }
    let names = std::fs::read_dir(folder.path()).unwrap();
    let names: Vec<_> = names.map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(names, ["state"], "the data folder was set aside");
    running.abort();
    drop(replica);
    // The folder's lock is released when the task has ended.
    while !running.is_finished() {
        sleep(Duration::from_millis(10)).await;
    }
    let (replica, running) = start(&disk);
    commit(&replica, 1).await;
    assert_eq!(
        version(&replica),
        Some(202),
        "the version was lost by a restart"
    );
    running.abort();
}
