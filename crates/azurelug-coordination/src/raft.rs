//! Replicated log: the Raft consensus algorithm as a state machine without I/O.
//!
//! A [`Node`] holds the term, the vote, the log and the membership of one member. The caller
//! carries out the returned actions in order: it persists, then sends, then applies. The module
//! never reads a clock, never blocks, and never interprets a command.

mod admission;
mod change;
mod election;
mod event;
mod follower;
mod leader;
mod log;
mod member;
mod message;
mod probe;
mod progress;
mod settings;
mod snapshot;
mod stall;
mod state;

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

pub use event::{
    Action, Event, Fault, JoinRefusal, Refusal, RefusedJoin, Snapshot, VoteRecord, Write,
};
pub use log::{Entry, Payload, Position};
pub use member::{Change, Member, Membership, Seat, Standing};
pub use message::{Body, Message, Outcome};
pub use settings::{NodeOptions, RecoveredState, Settings, StartError};
pub use state::{FollowerState, Role, State};

use follower::IncomingSnapshot;
use leader::Leadership;
use log::Log;
use member::MembershipHistory;
use stall::Stalls;

/// One member of a replicated log.
///
/// ```
/// use std::time::Duration;
/// use azurelug_coordination::raft::{Action, Event, Node, NodeOptions, RecoveredState, Settings};
/// use rand::SeedableRng;
///
/// let options = NodeOptions {
///     settings: Settings::default(),
///     recovered: RecoveredState::initialize(7, 1, &[1], 42),
///     random: rand_pcg::Pcg64::seed_from_u64(1),
/// };
/// let mut node = Node::new(options, Duration::ZERO)?;
/// let elected = node.next_deadline();
/// node.step(Event::Tick, elected);
/// let actions = node.step(Event::Propose { token: 1, command: b"a".to_vec() }, elected);
/// assert!(actions.iter().any(|action| matches!(action, Action::Apply(_))));
/// # Ok::<(), azurelug_coordination::raft::StartError>(())
/// ```
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    random: Pcg64,
    /// Identity, term and vote; persisted before any message that depends on them is sent.
    record: VoteRecord,
    record_changed: bool,
    /// Random id of this process run; distinguishes its probes from those of earlier runs.
    run: u64,
    role: Role,
    leader: Option<Member>,
    /// The member that led last, and when this node last heard from it as a follower.
    last_leader: Option<(Member, Duration)>,
    leadership: Option<Leadership>,
    /// Whether this member hands over its vote, because it is about to stop.
    leaves: bool,
    /// Voters that granted their vote in the current election or pre-vote.
    granted: Vec<Member>,
    log: Log,
    history: MembershipHistory,
    commit: u64,
    snapshot: Snapshot,
    /// Bytes applied since the last snapshot.
    applied_bytes: usize,
    /// When a snapshot was last requested.
    snapshot_requested_at: Option<Duration>,
    /// Whether that request is unanswered.
    snapshot_pending: bool,
    incoming: Option<IncomingSnapshot>,
    /// End of the time in which this member votes for no other candidate, because a leader's lease
    /// may rely on it.
    vote_withheld_until: Duration,
    election_deadline: Duration,
    stalls: Stalls,
    probe_due: Duration,
    join_due: Duration,
    waiting_probes: VecDeque<(Duration, u64)>,
    fresh_as_of: Option<Duration>,
    refused_join: Option<RefusedJoin>,
    now: Duration,
    out: Outbox,
}

/// Actions of the current step, grouped in the order in which the caller carries them out.
#[derive(Debug, Default)]
struct Outbox {
    writes: Vec<Write>,
    sends: Vec<Message>,
    notices: Vec<Action>,
    applies: Vec<Action>,
    after_applies: Vec<Action>,
    /// Whether to request a snapshot of the state after everything in `applies`.
    snapshot: bool,
}

impl Node {
    /// Creates a node from the durable state. The caller has already restored its state machine
    /// from the same snapshot; later entries are applied again once they are known to be
    /// committed. The first step may return writes that complete the recovery.
    ///
    /// # Errors
    ///
    /// The settings are out of range, or the data folder is incomplete or belongs to another
    /// cluster or slot.
    pub fn new(start: NodeOptions, now: Duration) -> Result<Self, StartError> {
        let NodeOptions {
            settings,
            recovered,
            mut random,
        } = start;
        settings.check()?;
        let joining = recovered.vote.is_none();
        let storage = random.random();
        let validated = settings::validate(recovered, storage)?;
        let settings::ValidatedState {
            mut record,
            snapshot,
            log,
            history,
            repair,
        } = validated;
        record.term = record.term.max(log.last().term);
        // A restarted member does not know when it last heard from a leader, so it assumes now.
        let vote_withheld_until = if record.term == 0 {
            now
        } else {
            now + settings.election_timeout
        };
        let run = random.random();
        let mut node = Self {
            run,
            record,
            record_changed: false,
            role: if joining {
                Role::Joining
            } else {
                Role::Follower
            },
            leader: None,
            last_leader: None,
            leadership: None,
            leaves: false,
            granted: Vec::new(),
            commit: snapshot.position.index,
            snapshot_requested_at: None,
            snapshot_pending: false,
            applied_bytes: 0,
            snapshot,
            log,
            history,
            incoming: None,
            vote_withheld_until,
            election_deadline: now,
            stalls: Stalls::default(),
            probe_due: now,
            join_due: now,
            waiting_probes: VecDeque::new(),
            fresh_as_of: None,
            refused_join: None,
            now,
            out: Outbox {
                writes: repair.into_iter().collect(),
                ..Outbox::default()
            },
            random,
            settings,
        };
        node.reset_election_deadline(now);
        Ok(node)
    }

    /// Continues from an earlier node of the same process on the same data folder, which knows when
    /// it last heard from a leader. Votes are withheld from that time on, not from the creation of
    /// this node.
    pub fn continue_from(&mut self, earlier: &Self) {
        self.vote_withheld_until = self.vote_withheld_until.min(earlier.vote_withheld_until);
    }

    /// Handles one event. `now` is the time since process start on a monotonic clock, read just
    /// before the call.
    #[must_use = "the actions are to be carried out in order"]
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Action> {
        let now = now.max(self.now);
        self.now = now;
        let before = (self.role, self.record.term, self.leader);
        match event {
            Event::Tick => self.tick(now),
            Event::Receive(message) => self.receive(message, now),
            Event::Propose { token, command } => {
                let refusal = self.state_refusal(command.len());
                self.on_propose(token, command, refusal, now);
            }
            Event::Reduce { token, command } => self.on_propose(token, command, None, now),
            Event::Change { token, change } => self.on_change(token, change, now),
            Event::Transfer { token, to } => self.on_transfer(token, to, now),
            Event::Leave => self.leave(now),
            Event::Resign => self.on_resign(now),
            Event::Stalled { duration } => self.on_stalled(duration, false, now),
            Event::Written { duration } => self.on_stalled(duration, true, now),
            Event::SnapshotTaken { index, data } => self.on_snapshot_taken(index, data),
        }
        if before != (self.role, self.record.term, self.leader) {
            self.out.notices.push(Action::RoleChanged {
                role: self.role,
                term: self.record.term,
                leader: self.leader,
            });
        }
        self.take_actions()
    }

    /// Time of the next `Event::Tick`.
    #[must_use]
    pub fn next_deadline(&self) -> Duration {
        match (&self.leadership, self.role) {
            (_, Role::Joining) => self.join_due,
            (Some(leadership), _) => leadership.heartbeat_due,
            (None, _) if self.leader.is_some() => self.election_deadline.min(self.probe_due),
            (None, _) => self.election_deadline,
        }
    }

    /// Identity of this node; incarnation 0 while it has none.
    #[must_use]
    pub fn member(&self) -> Member {
        self.record.member
    }

    /// Leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Current term; also the fencing number of orders sent in it.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.record.term
    }

    /// Current state, as shown to operators.
    #[must_use]
    pub fn state(&self) -> State {
        let leadership = self.leadership.as_ref();
        State {
            member: self.record.member,
            storage: self.record.storage,
            role: self.role,
            term: self.record.term,
            vote: self.record.vote,
            leader: self.leader,
            last: self.log.last(),
            commit: self.commit,
            base: self.log.base(),
            snapshot: self.snapshot.position,
            log_bytes: self.log.bytes(),
            membership: self.history.latest().clone(),
            membership_index: self.history.latest_index(),
            lease_until: self.lease_until(),
            fresh_as_of: self.fresh_as_of,
            transfer_to: leadership.and_then(Leadership::transfer_to),
            followers: leadership
                .map(Leadership::follower_states)
                .unwrap_or_default(),
            refused_join: self.refused_join,
        }
    }

    fn tick(&mut self, now: Duration) {
        match self.role {
            Role::Joining => self.tick_joining(now),
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if now >= self.election_deadline {
                    self.inquire();
                    self.start_pre_vote(now);
                }
                self.tick_probe(now);
            }
        }
    }

    fn receive(&mut self, message: Message, now: Duration) {
        let from = message.from;
        if let Some(fault) = self.message_fault(&message) {
            self.out.notices.push(Action::Rejected { from, fault });
            return;
        }
        match message.body {
            Body::Join => return self.on_join(from, message.storage, message.to, now),
            Body::Joined { member, storage } => return self.on_joined(member, storage, now),
            Body::JoinRefused { storage, refusal } => {
                return self.on_join_refused(from, storage, refusal);
            }
            Body::Inquire => return self.on_inquire(from, message.storage, message.to, now),
            Body::Removed { member, storage } => return self.on_removed(member, storage, now),
            _ if self.role == Role::Joining => return,
            _ => {}
        }
        if !self.accept_term(&message, now) {
            return;
        }
        match message.body {
            Body::PreVote { next_term, last } => self.on_pre_vote(from, next_term, last, now),
            Body::PreVoteAnswer { next_term, granted } => {
                self.on_pre_vote_answer(from, next_term, granted, now);
            }
            Body::Vote { last, .. } => self.on_vote(from, last, now),
            Body::VoteAnswer { granted } => self.on_vote_answer(from, granted, now),
            Body::Append {
                prev,
                entries,
                commit,
                sent_at,
            } => {
                self.on_append(from, prev, entries, commit, sent_at, now);
            }
            Body::AppendAnswer { outcome, sent_at } => {
                self.on_append_answer(from, message.storage, outcome, sent_at, now);
            }
            Body::Chunk {
                position,
                membership,
                total,
                offset,
                data,
                sent_at,
            } => {
                let chunk = follower::SnapshotChunk {
                    position,
                    membership,
                    total,
                    offset,
                    data,
                    sent_at,
                };
                self.on_chunk(from, chunk, now);
            }
            Body::ChunkAnswer {
                position,
                received,
                sent_at,
            } => {
                self.on_chunk_answer(from, position, received, sent_at, now);
            }
            Body::Probe { run, stamp } => self.on_probe(from, run, stamp, now),
            Body::ProbeAnswer { run, stamp, commit } => {
                self.on_probe_answer(run, stamp, commit, now);
            }
            Body::TimeoutNow => self.on_timeout_now(from, now),
            Body::Leave => self.on_leave(from, now),
            Body::Join
            | Body::Joined { .. }
            | Body::JoinRefused { .. }
            | Body::Inquire
            | Body::Removed { .. } => {}
        }
    }

    /// Reason to reject `message` regardless of its content, if there is one.
    fn message_fault(&self, message: &Message) -> Option<Fault> {
        if message.cluster != self.record.cluster {
            return Some(Fault::WrongCluster);
        }
        let own = self.record.member;
        let joins = matches!(message.body, Body::Join);
        let asks = joins || matches!(message.body, Body::Inquire);
        let any_incarnation = asks && message.to.incarnation == 0;
        if message.to != own && !(any_incarnation && message.to.slot == own.slot) {
            return Some(Fault::WrongReceiver);
        }
        if !joins && message.from.incarnation == 0 {
            return Some(Fault::Malformed);
        }
        let seat = self.history.latest().seat(message.from);
        let recorded = seat.and_then(|seat| seat.storage);
        if recorded.is_some_and(|storage| storage != message.storage) {
            return Some(Fault::WrongStorage);
        }
        None
    }

    fn send(&mut self, to: Member, body: Body) {
        self.out.sends.push(Message {
            cluster: self.record.cluster,
            from: self.record.member,
            storage: self.record.storage,
            to,
            term: self.record.term,
            body,
        });
    }

    fn take_actions(&mut self) -> Vec<Action> {
        let out = std::mem::take(&mut self.out);
        let record = std::mem::take(&mut self.record_changed).then_some(Write::Vote(self.record));
        let writes = record.into_iter().chain(out.writes).map(Action::Persist);
        let sends = out.sends.into_iter().map(Action::Send);
        let snapshot = out
            .snapshot
            .then_some(Action::TakeSnapshot { index: self.commit });
        writes
            .chain(sends)
            .chain(out.notices)
            .chain(out.applies)
            .chain(out.after_applies)
            .chain(snapshot)
            .collect()
    }
}
