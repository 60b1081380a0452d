//! Answers frames from entry daemons, gateways and other control daemons.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use azurelug_coordination::{membership, once, raft};
use azurelug_core::machine::{Command, Outcome};
use azurelug_types::id::Version;
use azurelug_wire::frame::Hello;
use azurelug_wire::server::Reply;
use azurelug_wire::{Frame, codec};
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::cluster::Cluster;
use crate::daemons::{Registry, Report};
use crate::gateways::Gateways;
use crate::metrics;
use crate::replica::{self, Replica};
use crate::shares::Shares;
use crate::updates::Updates;

/// Maximum number of frames that are queued for a slow daemon, at most 256 KiB each.
const MAX_QUEUED_WATCH_FRAMES: usize = 4;

/// The state that the handlers share.
#[derive(Clone)]
pub struct FrameHandler {
    /// The replicated state.
    pub replica: Replica,
    /// The entry daemons that are known here.
    pub registry: Arc<Registry>,
    /// The source of configuration versions for entry daemons.
    pub updates: Updates,
    /// The shares of the own zone's targets.
    pub shares: Shares,
    /// The control daemons of the cluster.
    pub cluster: Cluster,
    /// The data that gateways fetch.
    pub gateways: Gateways,
}

impl FrameHandler {
    /// Answers one frame.
    pub async fn handle(self, peer: Arc<Hello>, frame: Frame) -> Reply {
        match frame {
            Frame::Renew {
                version,
                in_flight,
                sequence,
                heard,
            } => {
                let report = Report {
                    zone: peer.zone.clone(),
                    version,
                    in_flight,
                };
                let start = (&peer.sender, peer.incarnation);
                let answer = self.registry.renew(start, (sequence, heard), report);
                let answer = self.renewal_answer(answer);
                let is_granted = matches!(answer, Frame::Renewed { leased: true, .. });
                self.replica.metrics().count_lease_renewal(is_granted);
                Reply::One(answer)
            }
            Frame::Watch { after_version } => Reply::Stream(self.watch(after_version)),
            Frame::Once(command) => Reply::One(self.commit_once(command).await),
            Frame::Share(request) => {
                let answer = self.shares.renew(&request).await;
                self.replica.metrics().count_share_renewal(answer.is_some());
                Reply::One(answer.map_or(Frame::Done, Frame::ShareAnswer))
            }
            Frame::Raft { message } => {
                self.receive_raft(&peer, &message);
                Reply::None
            }
            Frame::Forward { command } => Reply::One(self.commit_forwarded(&peer, command).await),
            Frame::Poll(poll) => Reply::One(self.gateways.answer_poll(*poll)),
            Frame::FetchDocument => Reply::Stream(self.gateways.document()),
            Frame::Gateways(peers) => {
                self.gateways.receive_gateways(peers);
                Reply::None
            }
            Frame::GatewayLeft(name) => {
                self.gateways.receive_leave(&name);
                Reply::None
            }
            Frame::Inventory(inventory) => {
                self.gateways.receive_inventory(inventory);
                Reply::None
            }
            Frame::Limits(limits) => {
                self.gateways.receive_limits(limits);
                Reply::None
            }
            Frame::Rollouts(reports) => {
                self.gateways.receive_rollouts(reports);
                Reply::None
            }
            Frame::Speeds(reports) => {
                self.gateways.receive_speeds(peer.sender.clone(), &reports);
                Reply::None
            }
            Frame::Suspects(reports) => {
                self.gateways.receive_suspects(&reports);
                Reply::None
            }
            Frame::Streams(groups) => {
                self.gateways.receive_streams(&groups, true);
                Reply::One(Frame::Done)
            }
            Frame::StreamsReported(groups) => {
                self.gateways.receive_streams(&groups, false);
                Reply::None
            }
            Frame::FindStream(query) => {
                let origin = self.gateways.find_stream(query).await;
                Reply::One(Frame::StreamFound(origin))
            }
            _ => Reply::One(Frame::Refused {
                message: "not a request".to_owned(),
            }),
        }
    }

    /// The answer to a renewal; a refusal if the greatest possible age of the state here is not
    /// known.
    fn renewal_answer(&self, answer: Option<membership::Answer>) -> Frame {
        let Some(answer) = answer else {
            return Frame::Refused {
                message: "the renewal came late or twice, or too many daemons renew here"
                    .to_owned(),
            };
        };
        // The age is read before the version: if a version commits in between, the daemon only has
        // to wait for it.
        let Some(age) = self.replica.freshness_age() else {
            return Frame::Refused {
                message: "this member has not met the leader yet".to_owned(),
            };
        };
        let latest_version = self.replica.config().version;
        let freshness_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Frame::Renewed {
            latest_version,
            freshness_age_ms: freshness_age_ms.saturating_add(1),
            number: answer.number,
            leased: answer.leased,
        }
    }

    /// Passes a message on to the replicated log if its sender is the member that it names.
    fn receive_raft(&self, peer: &Hello, message: &[u8]) {
        match codec::decode::<raft::Message>(message) {
            Ok(message) if self.cluster.is_member(&peer.sender, message.from.slot) => {
                self.replica.receive(message);
            }
            // A follower forwards what a member asks that doesn't know the leader.
            Ok(message) if self.is_relayed_join(peer, &message) => self.replica.receive(message),
            Ok(message) => {
                let slot = message.from.slot;
                log::warn!(
                    "control: {} sent a message as member {slot}; dropped",
                    peer.sender
                );
            }
            Err(error) => log::warn!("control: message of {}: {error}", peer.sender),
        }
    }

    /// Commits a command of another member if this one leads. It is not forwarded again, so that
    /// two members with outdated information about the leader can't send it back and forth.
    async fn commit_forwarded(&self, peer: &Hello, command: Vec<u8>) -> Frame {
        if !self.cluster.is_control(&peer.sender) {
            return Frame::Refused {
                message: "only control daemons forward commands".to_owned(),
            };
        }
        match self
            .replica
            .propose_locally(command)
            .await
            .map(|outcome| codec::encode(&outcome))
        {
            Ok(Ok(outcome)) => Frame::Forwarded { outcome },
            Ok(Err(error)) => Frame::Refused {
                message: error.to_string(),
            },
            Err(replica::ProposeError::StateFull { size, limit }) => {
                Frame::StateFull { size, limit }
            }
            Err(error) => Frame::Refused {
                message: format!("not committed here: {error:?}"),
            },
        }
    }

    fn is_relayed_join(&self, peer: &Hello, message: &raft::Message) -> bool {
        let is_relayed = matches!(message.body, raft::Body::Join | raft::Body::Inquire);
        is_relayed && self.cluster.is_control(&peer.sender)
    }

    /// Sends the versions that the daemon lacks, and then each newer one: as steps if they are
    /// still stored, otherwise as the whole configuration.
    fn watch(&self, after_version: Version) -> mpsc::Receiver<Frame> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_WATCH_FRAMES);
        let updates = self.updates.clone();
        let mut versions = self.replica.watch_config();
        let mut known = after_version;
        tokio::spawn(async move {
            loop {
                let version = versions.borrow_and_update().version;
                if version > known {
                    match updates.send_after(&mut known, &sender).await {
                        Ok(()) => {}
                        Err(mpsc::error::SendError(_)) => return,
                    }
                }
                tokio::select! {
                    changed = versions.changed() => if changed.is_err() { return },
                    () = sender.closed() => return,
                }
            }
        });
        receiver
    }

    async fn commit_once(&self, mut command: once::Command) -> Frame {
        set_wall_clock(&mut command, wall_clock_ms());
        let subject = describe(&command);
        let proposed = self.replica.propose(&Command::Once(command)).await;
        self.replica.metrics().count_once(result_label(&proposed));
        match &proposed {
            Ok(Outcome::Once(once::Outcome::Claimed { claim })) => {
                log::info!("control: {subject}: claim {} granted", claim.number);
            }
            Ok(Outcome::Once(outcome)) => log::info!("control: {subject}: {}", outcome.as_str()),
            Ok(Outcome::Patch(_) | Outcome::Deployment | Outcome::Rollout(_)) => {}
            Err(error) => log::warn!("control: {subject}: {error}"),
        }
        match proposed {
            Ok(Outcome::Once(outcome)) => Frame::OnceOutcome(outcome),
            Ok(Outcome::Patch(_) | Outcome::Deployment | Outcome::Rollout(_)) => Frame::Refused {
                message: "wrong outcome".to_owned(),
            },
            Err(error) => Frame::Refused {
                message: error.to_string(),
            },
        }
    }
}

/// The subject of a command in log lines: the request that claims, or the number of the claim. A
/// claimant's number is the id of its request.
fn describe(command: &once::Command) -> String {
    match command {
        once::Command::Claim { claimant, .. } => {
            format!("claim of request {}", Uuid::from_u128(*claimant))
        }
        once::Command::Record { claim, .. } => format!("result of claim {}", claim.number),
        once::Command::Release { claim } => format!("release of claim {}", claim.number),
        once::Command::Expire { .. } => "expiry".to_owned(),
    }
}

/// The metric label for the result of a command.
fn result_label(proposed: &Result<Outcome, replica::Error>) -> &'static str {
    match proposed {
        Ok(Outcome::Once(outcome)) => outcome.as_str(),
        // After an unexpected outcome the result is unknown, as without a quorum.
        Ok(Outcome::Patch(_) | Outcome::Deployment | Outcome::Rollout(_))
        | Err(replica::Error::NoQuorum { .. }) => metrics::NO_QUORUM,
        Err(replica::Error::Malformed { .. }) => metrics::TOO_LONG,
        Err(replica::Error::StateFull { .. }) => metrics::STATE_FULL,
    }
}

/// Sets the wall-clock time of a command; the sender's own time is never trusted.
fn set_wall_clock(command: &mut once::Command, wall_clock_ms: u64) {
    match command {
        once::Command::Claim { now_ms, .. } | once::Command::Expire { now_ms } => {
            *now_ms = wall_clock_ms;
        }
        once::Command::Record { .. } | once::Command::Release { .. } => {}
    }
}

/// Wall-clock time in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
