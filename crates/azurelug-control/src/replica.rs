//! A member of the replicated log. Only this module changes the replicated state.
//!
//! [`Replica`] is the handle for the rest of the daemon. Its task owns the log, the disk and the
//! connections; see [`task`].

mod growth;
mod refusals;
pub mod task;

use std::future::pending;
use std::sync::{Arc, RwLock, RwLockReadGuard};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_coordination::raft::{Message, State};
use azurelug_core::gateway::orders::Orders;
use azurelug_core::machine::{Command, Machine, Outcome};
use azurelug_types::config::Config;
use azurelug_wire::{Frame, codec};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::metrics::Metrics;
use crate::peers::Peers;

/// Time limit for a command, including the wait for a leader. An election takes up to 2 s.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a command is sent again if the leader has not answered. It may have lost its
/// leadership without being able to say so.
const FORWARD_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// Size limit of an encoded command in bytes, as in the log.
pub const MAX_COMMAND_BYTES: usize = 512 * 1024;

/// Interval at which a member that leaves checks whether its vote has been handed over.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause before another attempt to commit a command.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a command has no outcome.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The command can't be encoded or is too long.
    #[error("the command can't be encoded: {message}; send a smaller one")]
    Malformed {
        /// The cause.
        message: String,
    },
    /// No majority of control daemons can be reached.
    #[error("no quorum: {message}; look at `azurelug status`, then send the same command again")]
    NoQuorum {
        /// Why the last attempt failed.
        message: String,
    },
    /// A snapshot could not hold the replicated state with this command.
    #[error(
        "the replicated state would have {size} bytes, the limit is {limit}; remove what is not \
         needed (drains of zones that no longer exist, accounts, targets, parts of the document), \
         then send the command again"
    )]
    StateFull {
        /// Size of the state with the command, estimated, in bytes.
        size: u64,
        /// Limit in bytes.
        limit: u64,
    },
}

/// A request to the task.
pub enum Request {
    /// Commits a command if this member leads.
    Propose {
        /// The encoded command.
        command: Vec<u8>,
        /// Receives the outcome, or the reason why there is none.
        reply: oneshot::Sender<Result<Outcome, ProposeError>>,
    },
    /// A message of another member.
    Receive(Message),
    /// Returns the log's state, for a dump.
    LogState(oneshot::Sender<State>),
    /// Hands over the leadership and the vote before a shutdown.
    Leave,
}

/// Why this member did not commit a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// It does not lead; the leader's slot, if known.
    NotLeader(Option<u32>),
    /// The leadership changed, so that the outcome is unknown.
    Lost,
    /// The time ran out, so that the outcome is unknown. The disk or the other members are slow.
    TimedOut,
    /// A queue is full.
    Busy,
    /// A snapshot could not hold the replicated state with this command.
    StateFull {
        /// Size of the state with the command, estimated, in bytes.
        size: u64,
        /// Limit in bytes.
        limit: u64,
    },
}

/// A leader lease: until it ends, no other member can act as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term, which is also the fencing number of orders.
    pub term: u64,
    /// End of the leader lease, see [`Replica::lease_left`].
    pub(crate) until: Duration,
}

/// A command's outcome, or a refusal that sending it again would not change.
type Answer = Result<Outcome, Error>;

/// The next answer to a command that was forwarded, also to an earlier call.
async fn next_answer(
    forwarded: &mut JoinSet<Result<Answer, azurelug_wire::Error>>,
) -> Result<Answer, azurelug_wire::Error> {
    loop {
        match forwarded.join_next().await {
            Some(Ok(answer)) => return answer,
            // The calls do not panic, and are cancelled only with the set.
            Some(Err(_)) => {}
            None => return pending().await,
        }
    }
}

/// A handle to the task. Clones share it.
#[derive(Clone)]
pub struct Replica {
    requests: mpsc::Sender<Request>,
    machine: Arc<RwLock<Machine>>,
    config: watch::Receiver<Arc<Config>>,
    orders: watch::Receiver<Orders>,
    /// Measures the lease and the freshness.
    clock: Clock,
    fresh_as_of: watch::Receiver<Option<Duration>>,
    leadership: watch::Receiver<Option<Leadership>>,
    peers: Peers,
    /// Number of voting members that the leader maintains, if any.
    target_voters: Option<usize>,
    metrics: Arc<Metrics>,
}

impl Replica {
    /// Commits a command through the current leader and returns its outcome. The command is sent
    /// again after a change of leadership, which is safe because every command is idempotent: a
    /// patch by its id, a claim by its claimant, a record and a release by the claim's number.
    ///
    /// # Errors
    /// `NoQuorum` if the outcome is not known within 4 s; at once `Malformed` or `StateFull`.
    pub async fn propose(&self, command: &Command) -> Result<Outcome, Error> {
        let malformed = |error: azurelug_wire::Error| Error::Malformed {
            message: error.to_string(),
        };
        let command = codec::encode(command).map_err(malformed)?;
        if command.len() > MAX_COMMAND_BYTES {
            let message = format!(
                "{} bytes are over the limit of {MAX_COMMAND_BYTES}",
                command.len()
            );
            return Err(Error::Malformed { message });
        }
        let limit = Instant::now() + PROPOSE_TIMEOUT;
        // An unanswered call goes on while the command is sent again: on slow disks each commit may
        // take longer than the interval, so that none would be waited for.
        let mut forwarded = JoinSet::new();
        loop {
            let message = match self.propose_until(command.clone(), limit).await {
                Ok(outcome) => return Ok(outcome),
                Err(ProposeError::NotLeader(Some(slot))) => {
                    let replica = self.clone();
                    let command = command.clone();
                    forwarded.spawn(async move { replica.forward(slot, command, limit).await });
                    let retry_at = limit.min(Instant::now() + FORWARD_RETRY_INTERVAL);
                    match timeout_at(retry_at, next_answer(&mut forwarded)).await {
                        Ok(Ok(answer)) => return answer,
                        Ok(Err(error)) => error.to_string(),
                        Err(_) => "the leader did not answer in time".to_owned(),
                    }
                }
                Err(ProposeError::StateFull { size, limit }) => {
                    return Err(Error::StateFull { size, limit });
                }
                Err(ProposeError::NotLeader(None)) => "no leader is known".to_owned(),
                Err(ProposeError::Lost) => "the leadership changed".to_owned(),
                Err(ProposeError::TimedOut) => "the command was not committed in time".to_owned(),
                Err(ProposeError::Busy) => "too many commands wait".to_owned(),
            };
            if Instant::now() + RETRY_PAUSE >= limit {
                return Err(Error::NoQuorum { message });
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Commits an encoded command if this member leads. As long as it leads, the command is in the
    /// log once, and is waited for until the time limit of a command.
    ///
    /// # Errors
    /// Why it did not commit the command.
    pub async fn propose_locally(&self, command: Vec<u8>) -> Result<Outcome, ProposeError> {
        let limit = Instant::now() + PROPOSE_TIMEOUT;
        self.propose_until(command, limit).await
    }

    async fn propose_until(
        &self,
        command: Vec<u8>,
        limit: Instant,
    ) -> Result<Outcome, ProposeError> {
        let proposed = Instant::now();
        let (reply, outcome) = oneshot::channel();
        let request = Request::Propose { command, reply };
        self.requests
            .try_send(request)
            .map_err(|_| ProposeError::Busy)?;
        match timeout_at(limit, outcome).await {
            Ok(Ok(result)) => {
                if result.is_ok() {
                    self.metrics.observe_commit(proposed.elapsed());
                }
                result
            }
            Ok(Err(_)) => Err(ProposeError::Lost),
            Err(_) => Err(ProposeError::TimedOut),
        }
    }

    /// Passes a command on to the leader.
    async fn forward(
        &self,
        slot: u32,
        command: Vec<u8>,
        limit: Instant,
    ) -> Result<Answer, azurelug_wire::Error> {
        let time_left = limit.saturating_duration_since(Instant::now());
        match self
            .peers
            .call(slot, Frame::Forward { command }, time_left)
            .await?
        {
            Frame::Forwarded { outcome } => codec::decode(&outcome).map(Ok),
            Frame::StateFull { size, limit } => Ok(Err(Error::StateFull { size, limit })),
            _ => Err(azurelug_wire::Error::Malformed {
                message: "not an outcome".to_owned(),
            }),
        }
    }

    /// Passes a message of another member to the task. It is dropped if the task's queue is full;
    /// the log sends missing messages again.
    pub fn receive(&self, message: Message) {
        let _ = self.requests.try_send(Request::Receive(message));
    }

    /// The daemon's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The replicated state that is applied here. The guard should be held only for a look-up.
    pub fn machine(&self) -> RwLockReadGuard<'_, Machine> {
        self.machine.read().expect("no holder of the lock panics")
    }

    /// The version in force here.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.borrow())
    }

    /// A receiver that follows the version in force here.
    pub fn watch_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
    }

    /// The operators' orders about the deployment that are in force here.
    pub fn orders(&self) -> Orders {
        self.orders.borrow().clone()
    }

    /// Waits until the state applied here is known to include everything that was acknowledged
    /// before this call. Returns false if this is not known within `limit`.
    pub async fn wait_fresh(&self, limit: Duration) -> bool {
        let asked = self.clock.elapsed();
        let mut fresh = self.fresh_as_of.clone();
        let is_fresh = |as_of: &Option<Duration>| as_of.is_some_and(|as_of| as_of >= asked);
        matches!(timeout(limit, fresh.wait_for(is_fresh)).await, Ok(Ok(_)))
    }

    /// Time since the state applied here was last known to be the newest; none if it never was.
    pub fn freshness_age(&self) -> Option<Duration> {
        let as_of = *self.fresh_as_of.borrow();
        as_of.map(|as_of| self.clock.elapsed().saturating_sub(as_of))
    }

    /// The latest leader lease of this member, if it leads. It may have ended already, see
    /// [`Replica::lease_left`].
    pub fn leadership(&self) -> Option<Leadership> {
        *self.leadership.borrow()
    }

    /// The time until a leader lease ends, also if the machine was suspended since it began; zero
    /// after its end.
    pub fn lease_left(&self, leadership: Leadership) -> Duration {
        leadership.until.saturating_sub(self.clock.elapsed())
    }

    /// The log's state; none if the task has ended.
    pub async fn log_state(&self) -> Option<State> {
        let (reply, state) = oneshot::channel();
        self.requests.send(Request::LogState(reply)).await.ok()?;
        state.await.ok()
    }

    /// The last refused request to join, for operators.
    pub fn refused_join(&self, state: &State) -> Option<String> {
        let refused = state.refused_join?;
        let joining = self.peers.slot_name(refused.slot);
        let by = self.peers.member_name(refused.by);
        Some(format!(
            "{joining} was not admitted by {by}: {}",
            refused.refusal
        ))
    }

    async fn is_needed(&self) -> bool {
        let state = self.log_state().await;
        state.is_some_and(|state| state.is_needed(self.target_voters))
    }

    /// Hands over the leadership, and the vote if another member can take it. Returns true once the
    /// cluster no longer counts on this member, or false after `limit`.
    pub async fn leave(&self, limit: Duration) -> bool {
        // The task may have ended already.
        let _ = self.requests.send(Request::Leave).await;
        let handed_over = async {
            while self.is_needed().await {
                sleep(LEAVE_POLL_INTERVAL).await;
            }
        };
        timeout(limit, handed_over).await.is_ok()
    }
}
