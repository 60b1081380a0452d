//! Connections to the other control daemons: messages of the replicated log, and forwarded
//! commands.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_coordination::raft::Member;
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::cluster::Cluster;

/// Maximum number of frames that are queued for a connection. Further ones are dropped, and the log
/// sends them again.
const MAX_QUEUED_FRAMES: usize = 256;

/// Pause between two attempts to connect.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Peer {
    queue: mpsc::Sender<Frame>,
    connection: Arc<Mutex<Option<Connection>>>,
}

/// The connections by slot. Each is opened when it is first needed. Clones share them.
#[derive(Clone)]
pub struct Peers {
    cluster: Cluster,
    identity: Arc<Identity>,
    peers: Arc<Mutex<HashMap<u32, Peer>>>,
}

impl Peers {
    /// Creates the set of connections to the members of `cluster`; none is open yet.
    pub fn new(cluster: Cluster, identity: &Arc<Identity>) -> Self {
        Self {
            cluster,
            identity: Arc::clone(identity),
            peers: Arc::new(Mutex::new(HashMap::new())),
        }
    }

    /// The name of a member, for logs: its own or its address, and its incarnation.
    pub fn member_name(&self, member: Member) -> String {
        let Member { slot, incarnation } = member;
        format!("{} ({incarnation})", self.cluster.member_name(slot))
    }

    /// The name or address of the member with this slot, for logs.
    pub fn slot_name(&self, slot: u32) -> String {
        self.cluster.member_name(slot)
    }

    /// Closes the connections to slots that are not in use. Without this, each member that was ever
    /// replaced would leave a task that tries to connect to it.
    pub fn keep(&self, slots: &[u32]) {
        let mut peers = self.peers.lock().expect("no holder of the lock panics");
        peers.retain(|slot, _| slots.contains(slot));
    }

    /// The peer with this slot. The first call starts a task that keeps a connection to it open.
    fn peer(&self, slot: u32) -> Option<Peer> {
        let mut peers = self.peers.lock().expect("no holder of the lock panics");
        if let Some(peer) = peers.get(&slot) {
            return Some(peer.clone());
        }
        let address = self.cluster.address(slot)?;
        let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let connection = Arc::new(Mutex::new(None));
        let task = maintain_connection(
            address,
            Arc::clone(&self.identity),
            Arc::clone(&connection),
            frames,
        );
        tokio::spawn(task);
        let peer = Peer { queue, connection };
        peers.insert(slot, peer.clone());
        Some(peer)
    }

    /// Sends a frame that needs no answer, or drops it.
    pub fn send(&self, slot: u32, frame: Frame) {
        if let Some(peer) = self.peer(slot) {
            // A full queue means a slow or unreachable peer; the log sends messages again.
            let _ = peer.queue.try_send(frame);
        }
    }

    /// Sends a frame and waits for the answer.
    ///
    /// # Errors
    /// `Closed` if there is no connection; otherwise as [`Connection::call`].
    pub async fn call(&self, slot: u32, frame: Frame, timeout: Duration) -> Result<Frame, Error> {
        let connection = self.peer(slot).and_then(|peer| {
            peer.connection
                .lock()
                .expect("no holder of the lock panics")
                .clone()
        });
        match connection {
            Some(connection) => connection.call(frame, timeout).await,
            None => Err(Error::Closed {
                message: format!("member {slot} is not connected"),
            }),
        }
    }
}

/// Keeps a connection to `address` open and sends the queued frames on it.
async fn maintain_connection(
    address: SocketAddr,
    identity: Arc<Identity>,
    shared: Arc<Mutex<Option<Connection>>>,
    mut frames: mpsc::Receiver<Frame>,
) {
    let mut last_refusal = None;
    loop {
        match Connection::open(address, Arc::clone(&identity)).await {
            Ok(connection) => {
                last_refusal = None;
                log::info!("control: connected to {}", connection.peer());
                let set = |value| {
                    *shared.lock().expect("no holder of the lock panics") = value;
                };
                set(Some(connection.clone()));
                let is_queue_closed = send_frames(&connection, &mut frames).await;
                set(None);
                log::warn!("control: lost the connection to {}", connection.peer());
                if is_queue_closed {
                    return;
                }
            }
            Err(error) => {
                // A wrong key or cluster id remains wrong, so it is logged only once.
                let text = matches!(error, Error::Handshake { .. }).then(|| error.to_string());
                match text {
                    Some(text) if last_refusal.as_ref() != Some(&text) => {
                        log::warn!("control: member at {address}: {text}");
                        last_refusal = Some(text);
                    }
                    _ => log::debug!("control: {error}"),
                }
                // The frames that were queued in the meantime are out of date.
                while frames.try_recv().is_ok() {}
                if frames.is_closed() {
                    return;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Sends frames until the connection is lost; returns whether the queue is closed.
async fn send_frames(connection: &Connection, frames: &mut mpsc::Receiver<Frame>) -> bool {
    let Ok(uplink) = connection.open_uplink().await else {
        return false;
    };
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return true };
                if let Err(mpsc::error::TrySendError::Closed(_)) = uplink.try_send(frame) {
                    return false;
                }
            }
            () = connection.wait_closed() => return false,
        }
    }
}
