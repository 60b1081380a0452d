//! Answers frames from entry daemons and other control daemons.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use azurelug_coordination::once;
use azurelug_core::machine::{Command, Outcome};
use azurelug_types::id::Version;
use azurelug_wire::Frame;
use azurelug_wire::frame::Hello;
use azurelug_wire::server::Reply;
use tokio::sync::mpsc;

use crate::daemons::Registry;
use crate::replica::Replica;

/// Configurations that wait for a slow daemon. It gets the newest one in any case.
const WATCH_QUEUE: usize = 2;

/// What the handlers share.
#[derive(Clone)]
pub struct Internal {
    /// The replicated state.
    pub replica: Replica,
    /// The entry daemons seen here.
    pub registry: Arc<Registry>,
}

impl Internal {
    /// Answers one frame.
    pub async fn handle(self, peer: Arc<Hello>, frame: Frame) -> Reply {
        match frame {
            Frame::Renew { version, in_flight } => {
                self.registry
                    .renewed(&peer.sender, &peer.zone, version, in_flight);
                let latest_version = self.replica.config().version;
                Reply::One(Frame::Renewed {
                    latest_version,
                    freshness_age_ms: 0,
                })
            }
            Frame::Watch { after_version } => Reply::Stream(self.watch(after_version)),
            Frame::Once(command) => Reply::One(self.once(command).await),
            _ => Reply::One(Frame::Refused {
                message: "not a request".to_owned(),
            }),
        }
    }

    /// Sends the present configuration if it is newer, and then each newer one.
    fn watch(&self, after_version: Version) -> mpsc::Receiver<Frame> {
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE);
        let mut states = self.replica.watch();
        let mut known = after_version;
        tokio::spawn(async move {
            loop {
                let config = Arc::clone(states.borrow_and_update().store().config());
                if config.version > known {
                    known = config.version;
                    let frame = Frame::Configuration {
                        config: Box::new((*config).clone()),
                    };
                    if sender.send(frame).await.is_err() {
                        return;
                    }
                }
                tokio::select! {
                    changed = states.changed() => if changed.is_err() { return },
                    () = sender.closed() => return,
                }
            }
        });
        receiver
    }

    async fn once(&self, mut command: once::Command) -> Frame {
        stamp(&mut command, wall_clock_ms());
        match self.replica.propose(Command::Once(command)).await {
            Ok(Outcome::Once(outcome)) => Frame::OnceOutcome(outcome),
            Ok(Outcome::Patch(_)) => Frame::Refused {
                message: "wrong outcome".to_owned(),
            },
            Err(error) => Frame::Refused {
                message: error.to_string(),
            },
        }
    }
}

/// Sets the clock reading of a command; a sender's own reading is never trusted.
fn stamp(command: &mut once::Command, wall_clock_ms: u64) {
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
