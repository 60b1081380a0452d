//! Members of the replicated log that run in the test's own process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use azurelug_control::cluster::Cluster;
use azurelug_control::daemons::Registry;
use azurelug_control::disk::{DataFolder, Disk};
use azurelug_control::gateways::Gateways;
use azurelug_control::internal::FrameHandler;
use azurelug_control::peers::Peers;
use azurelug_control::replica::Replica;
use azurelug_control::replica::task::Task;
use azurelug_control::settings;
use azurelug_control::shares::Shares;
use azurelug_control::updates::Updates;
use azurelug_coordination::raft;
use azurelug_types::id::{DaemonName, ZoneName};
use azurelug_wire::Listener;
use azurelug_wire::handshake::Identity;
use tokio::task::JoinHandle;

fn name(slot: u32) -> DaemonName {
    DaemonName(format!("control-{slot}"))
}

pub(crate) fn identity(slot: u32) -> Arc<Identity> {
    Arc::new(Identity {
        cluster: "test".to_owned(),
        daemon: name(slot),
        zone: ZoneName::from("a"),
        incarnation: 1,
        key: vec![7; 32],
    })
}

/// Listeners on ports that the kernel chooses, and the cluster of their members.
pub(crate) async fn listen(slots: &[u32]) -> (Vec<Listener>, Cluster) {
    let (mut listeners, mut listed) = (Vec::new(), Vec::new());
    for &slot in slots {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Listener::bind(address, identity(slot)).await.unwrap();
        listed.push(settings::Member {
            slot,
            name: name(slot),
            address: listener.address(),
        });
        listeners.push(listener);
    }
    (listeners, Cluster::Listed(listed.into()))
}

/// Starts a member that serves the others; returns it with its tasks.
pub(crate) fn start(
    folder: &DataFolder,
    settings: raft::Settings,
    cluster: &Cluster,
    listener: Listener,
) -> (Replica, Vec<JoinHandle<()>>) {
    let slot = folder.slot;
    let peers = Peers::new(cluster.clone(), &identity(slot));
    let opened = Disk::open(folder, folder.founders.contains(&slot)).unwrap();
    let generation = opened.0.generation();
    let (task, replica) = Task::new(settings, folder.clone(), opened, peers.clone()).unwrap();
    let (zone, number) = (ZoneName::from("a"), generation.number);
    let handler = FrameHandler {
        replica: replica.clone(),
        registry: Arc::new(Registry::new()),
        updates: Updates::new(replica.clone()),
        shares: Shares::new(zone, number, generation.is_first, &folder.folder),
        cluster: cluster.clone(),
        gateways: Gateways::new(replica.clone(), peers, cluster.clone(), slot),
    };
    let serving = listener.serve(move |peer, frame| handler.clone().handle(peer, frame));
    let tasks = vec![
        tokio::spawn(async move { task.run().await.unwrap() }),
        tokio::spawn(serving),
    ];
    (replica, tasks)
}
