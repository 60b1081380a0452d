//! The task that owns one member of the replicated log.
//!
//! It receives all waiting requests, passes each to the log, and then performs the actions of the
//! whole batch in the order that the log requires: write and sync once, then send, then apply.

mod actions;
mod disk_full;
mod recovery;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use azurelug_clock::{Clock, Watch};
use azurelug_coordination::once;
use azurelug_coordination::raft::{
    self, Action, Event, Message, Node, RecoveredState, Role, StartError, Write,
};
use azurelug_core::gateway::orders::Orders;
use azurelug_core::machine::{Command, Machine, Outcome};
use azurelug_types::config::Config;
use azurelug_wire::{Frame, codec};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::block_in_place;
use tokio::time::{Instant, sleep_until, timeout_at};

use self::disk_full::{Leader, refuse};
use self::recovery::RecoveredMember;
pub use self::recovery::decode_machine;
use super::growth;
use super::refusals::Refusals;
use super::{Leadership, ProposeError, Replica, Request};
use crate::disk::{self, Disk};
use crate::internal::wall_clock_ms;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// Maximum number of requests that are queued for the task.
const MAX_QUEUED_REQUESTS: usize = 4096;

/// Maximum number of requests in a batch; one sync covers all of them.
const MAX_BATCH_REQUESTS: usize = 128;

/// Interval at which a leader checks for overdue claims.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum lag of the watermark of expired keys. Each advance of it costs one log entry.
const WATERMARK_LAG_MS: u64 = 60_000;

/// Duration of a write from which on it is logged. Elections and commits wait for it.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Pause before the data folder is opened again while the disk is full.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);

/// Why the task ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The member can't start from the state on the disk.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] disk::Error),
    /// The state in a snapshot or entry can't be decoded.
    #[error("the replicated state can't be decoded: {message}; run the release that wrote it")]
    Decode {
        /// The cause.
        message: String,
    },
}

type Reply = oneshot::Sender<Result<Outcome, ProposeError>>;

/// The task and its state.
pub struct Task {
    settings: raft::Settings,
    node: Node,
    data_folder: disk::DataFolder,
    disk: Disk,
    peers: Peers,
    /// The log's clock.
    clock: Clock,
    requests: mpsc::Receiver<Request>,
    machine: Arc<RwLock<Machine>>,
    config: watch::Sender<Arc<Config>>,
    orders: watch::Sender<Orders>,
    fresh_as_of: watch::Sender<Option<Duration>>,
    leadership: watch::Sender<Option<Leadership>>,
    next_token: u64,
    /// Proposals that are not in the log yet, by token.
    pending: HashMap<u64, Reply>,
    /// Proposals in the log that are not applied yet, by index, each with its term.
    appended: BTreeMap<u64, (u64, Reply)>,
    role: Role,
    expire_due: Instant,
    has_snapshot: bool,
    refusals: Refusals,
    growth_lines: growth::Lines,
    suspensions: Watch,
    metrics: Arc<Metrics>,
}

/// The actions of one batch, in the order in which they are performed.
#[derive(Default)]
struct Batch {
    writes: Vec<Write>,
    sends: Vec<Message>,
    rest: Vec<Action>,
}

impl Task {
    /// Creates the member; [`Task::run`] starts it.
    ///
    /// # Errors
    /// The state on the disk can't be used.
    pub fn new(
        settings: raft::Settings,
        data_folder: disk::DataFolder,
        (disk, recovered): (Disk, RecoveredState),
        peers: Peers,
    ) -> Result<(Self, Replica), Error> {
        let RecoveredMember {
            node,
            machine,
            has_snapshot,
            state_bytes,
        } = RecoveredMember::new(&settings, recovered, Duration::ZERO)?;
        let metrics = Arc::new(Metrics::new());
        metrics.set_state_bytes(state_bytes);
        let (sender, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let config = watch::Sender::new(Arc::clone(machine.store().config()));
        let orders = watch::Sender::new(machine.orders().clone());
        let machine = Arc::new(RwLock::new(machine));
        let clock = Clock::start();
        let fresh_as_of = watch::Sender::new(None);
        let leadership = watch::Sender::new(None);
        let replica = Replica {
            requests: sender,
            machine: Arc::clone(&machine),
            config: config.subscribe(),
            orders: orders.subscribe(),
            clock,
            fresh_as_of: fresh_as_of.subscribe(),
            leadership: leadership.subscribe(),
            peers: peers.clone(),
            target_voters: settings.target_voters,
            metrics: Arc::clone(&metrics),
        };
        let task = Self {
            settings,
            node,
            data_folder,
            disk,
            peers,
            clock,
            requests,
            machine,
            config,
            orders,
            fresh_as_of,
            leadership,
            next_token: 0,
            pending: HashMap::new(),
            appended: BTreeMap::new(),
            role: Role::Follower,
            expire_due: Instant::now(),
            has_snapshot,
            refusals: Refusals::default(),
            growth_lines: growth::Lines::default(),
            suspensions: Watch::start(),
            metrics,
        };
        Ok((task, replica))
    }

    /// Runs until all handles are dropped or the disk fails. While the disk is full, commands are
    /// referred to the leader and the durable state is still served. After a failed sync the data
    /// folder is set aside, because reads from it may return data that is not on the disk.
    ///
    /// # Errors
    /// The member can't continue.
    pub async fn run(mut self) -> Result<(), Error> {
        loop {
            let error = match self.process_requests().await {
                Ok(()) => return Ok(()),
                Err(Error::Disk(error)) => error,
                Err(error) => return Err(error),
            };
            log::error!("control: {error}");
            if error.is_full() {
                self = self.wait_for_room().await?;
                continue;
            }
            if error.is_lost() {
                match self.disk.set_aside() {
                    Ok(folder) => log::error!(
                        "control: the data folder was set aside as {}; restart to rejoin",
                        folder.display()
                    ),
                    Err(error) => log::error!("control: {error}"),
                }
            }
            return Err(error.into());
        }
    }

    /// Opens the data folder again once the disk has room, and continues from its content. No
    /// message that depends on the failed writes was sent.
    async fn wait_for_room(mut self) -> Result<Self, Error> {
        log::error!("control: the disk is full; nothing is written until it has room");
        self.role = Role::Follower;
        self.leadership.send_replace(None);
        for action in self.node.step(Event::Resign, self.clock.elapsed()) {
            if let Action::Send(message) = action {
                self.send(&message);
            }
        }
        let appended = std::mem::take(&mut self.appended).into_values();
        let pending = std::mem::take(&mut self.pending).into_values();
        for reply in appended.map(|(_, reply)| reply).chain(pending) {
            // The caller may have given up.
            let _ = reply.send(Err(ProposeError::Lost));
        }
        let mut leader = Leader {
            term: self.node.term(),
            slot: self.node.leader().map(|leader| leader.slot),
        };
        // The folder can be opened again only after its lock is released.
        drop(self.disk);
        let (disk, recovered) = loop {
            match block_in_place(|| Disk::open(&self.data_folder, false)) {
                Ok(opened) => break opened,
                Err(error) if error.is_full() => {}
                Err(error) => return Err(error.into()),
            }
            let until = Instant::now() + DISK_FULL_PAUSE;
            while let Ok(Some(request)) = timeout_at(until, self.requests.recv()).await {
                refuse(request, &self.node, &mut leader);
            }
            sleep_until(until).await;
        };
        let RecoveredMember {
            mut node,
            machine,
            has_snapshot,
            state_bytes,
        } = RecoveredMember::new(&self.settings, recovered, self.clock.elapsed())?;
        node.continue_from(&self.node);
        self.metrics.set_state_bytes(state_bytes);
        log::info!("control: the disk has room again");
        *self.machine.write().expect("no holder of the lock panics") = machine;
        Ok(Self {
            node,
            disk,
            has_snapshot,
            ..self
        })
    }

    async fn process_requests(&mut self) -> Result<(), Error> {
        let mut received = Vec::with_capacity(MAX_BATCH_REQUESTS);
        loop {
            let tick = self.node.next_deadline();
            let next = self.clock.instant(tick).min(self.expire_due);
            let mut batch = Batch::default();
            let due = tick.max(self.clock.elapsed());
            tokio::select! {
                // What has arrived is handled before the timer: a heartbeat that waited during a
                // slow write shows that the leader is there.
                biased;
                count = self.requests.recv_many(&mut received, MAX_BATCH_REQUESTS) => {
                    if count == 0 {
                        return Ok(());
                    }
                }
                () = sleep_until(next) => {}
            }
            if let Some(suspended) = self.suspensions.take() {
                self.log_suspension(suspended);
            }
            self.report_lateness(due, &mut batch);
            for request in received.drain(..) {
                self.handle_request(request, &mut batch);
            }
            if self.clock.elapsed() >= tick {
                self.step(Event::Tick, &mut batch);
            }
            let now = Instant::now();
            if now >= self.expire_due {
                self.expire_due = now + EXPIRE_INTERVAL;
                self.expire(&mut batch);
            }
            while !batch.is_empty() {
                batch = self.perform_batch(batch)?;
            }
        }
    }

    /// Tells the log how long after its next deadline this task was run, on a busy or suspended
    /// machine.
    fn report_lateness(&mut self, due: Duration, batch: &mut Batch) {
        let duration = self.clock.elapsed().saturating_sub(due);
        if !duration.is_zero() {
            self.step(Event::Stalled { duration }, batch);
        }
    }

    fn log_suspension(&self, suspended: Duration) {
        let millis = u64::try_from(suspended.as_millis()).unwrap_or(u64::MAX);
        self.metrics.count_suspension(millis);
        let (role, term) = (self.role, self.node.term());
        log::warn!("control: the machine was suspended for {millis} ms; {role:?} in term {term}");
    }

    fn handle_request(&mut self, request: Request, batch: &mut Batch) {
        match request {
            Request::Propose { command, reply } => self.propose(command, reply, batch),
            Request::Receive(message) => self.step(Event::Receive(message), batch),
            Request::LogState(reply) => {
                // The caller may have given up.
                let _ = reply.send(self.node.state());
            }
            Request::Leave => self.step(Event::Leave, batch),
        }
    }

    fn propose(&mut self, command: Vec<u8>, reply: Reply, batch: &mut Batch) {
        self.next_token += 1;
        let token = self.next_token;
        self.pending.insert(token, reply);
        let event = if self.is_reduction(&command) {
            Event::Reduce { token, command }
        } else {
            Event::Propose { token, command }
        };
        self.step(event, batch);
    }

    /// Whether a command is accepted although the state leaves no room for a larger one.
    fn is_reduction(&self, command: &[u8]) -> bool {
        if self.role != Role::Leader || !self.node.is_state_full(command.len()) {
            return false;
        }
        let machine = self.machine.read().expect("no holder of the lock panics");
        !growth::is_enlarged_by(&machine, command)
    }

    /// If this member leads, proposes a command that marks overdue claims as unknown and advances
    /// the watermark. The watermark must also advance without overdue claims: otherwise records
    /// whose calls all ended in time are never removed, and keys older than the retention count as
    /// new.
    fn expire(&mut self, batch: &mut Batch) {
        if self.role != Role::Leader {
            return;
        }
        let now_ms = wall_clock_ms();
        let is_due = {
            let machine = self.machine.read().expect("no holder of the lock panics");
            let watermark_due = machine.once().watermark_ms()
                + once::Limits::default().retention_ms
                + WATERMARK_LAG_MS;
            let claim_due = machine.once().next_due_ms().unwrap_or(u64::MAX);
            now_ms >= claim_due.min(watermark_due)
        };
        if !is_due {
            return;
        }
        let command = Command::Once(once::Command::Expire { now_ms });
        if let Ok(command) = codec::encode(&command) {
            let (reply, _) = oneshot::channel();
            self.propose(command, reply, batch);
        }
    }

    fn step(&mut self, event: Event, batch: &mut Batch) {
        let now = self.clock.elapsed();
        let actions = self.node.step(event, now);
        // Published before any message is sent: a leader gives up its lease before it hands over.
        let until = self.node.lease_until();
        let leadership = until.map(|until| Leadership {
            term: self.node.term(),
            until,
        });
        self.leadership.send_replace(leadership);
        for action in actions {
            match action {
                Action::Persist(write) => batch.writes.push(write),
                Action::Send(message) => batch.sends.push(message),
                other => batch.rest.push(other),
            }
        }
    }

    /// Performs the actions of a batch; returns the actions that result from them.
    fn perform_batch(&mut self, batch: Batch) -> Result<Batch, Error> {
        let mut following = Batch::default();
        if !batch.writes.is_empty() {
            let started = self.clock.elapsed();
            block_in_place(|| self.disk.write(batch.writes))?;
            let duration = self.clock.elapsed().saturating_sub(started);
            self.metrics.observe_sync(duration);
            if duration >= SLOW_WRITE {
                let (millis, term) = (duration.as_millis(), self.node.term());
                log::warn!(
                    "control: a write to the data folder took {millis} ms; {:?} in term {term}",
                    self.role
                );
            }
            self.step(Event::Written { duration }, &mut following);
        }
        for message in &batch.sends {
            self.send(message);
        }
        for action in batch.rest {
            self.perform_action(action, &mut following)?;
        }
        Ok(following)
    }

    fn send(&self, message: &Message) {
        let slot = message.to.slot;
        match codec::encode(message) {
            Ok(message) => self.peers.send(slot, Frame::Raft { message }),
            Err(error) => log::error!("control: message to member {slot}: {error}"),
        }
    }
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.sends.is_empty() && self.rest.is_empty()
    }
}
