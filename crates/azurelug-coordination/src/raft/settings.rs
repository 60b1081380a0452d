//! Times and limits of a node.

use std::time::Duration;

use rand_pcg::Pcg64;
use thiserror::Error;

use super::event::{Snapshot, VoteRecord, Write};
use super::log::{Entry, Log, Payload, Position};
use super::member::{Member, Membership, MembershipHistory};

/// Times and limits. All members of a cluster use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest election timeout; the longest is twice this. A voter that has heard from a leader
    /// votes for no other candidate for this long.
    pub election_timeout: Duration,
    /// Interval of the leader's heartbeats; at most a quarter of `election_timeout`.
    pub heartbeat: Duration,
    /// Interval of the followers' freshness probes.
    pub probe_interval: Duration,
    /// Slots that a member without identity asks to join.
    pub peers: Vec<u32>,
    /// Interval of those requests. A member is admitted with the first one that reaches a leader and
    /// learns its identity with the next.
    pub join_interval: Duration,
    /// Largest number of voters.
    pub max_voters: usize,
    /// Number of voters that the leader maintains automatically: it promotes learners that hold a
    /// durable copy, and demotes voters that are leaving, or have not answered for `replace_after`,
    /// when a learner can replace them. `None` leaves this to operators.
    pub target_voters: Option<usize>,
    /// Time without an answer after which a learner replaces a voter; at least `election_timeout`.
    pub replace_after: Duration,
    /// Time without an answer after which a learner is removed from the membership, if enough
    /// others vote and the leader maintains the voters; at least `replace_after`, which is enough
    /// when more than half of the seats are taken. A member that returns later joins anew.
    pub remove_after: Duration,
    /// Largest number of voters and learners together.
    pub max_members: usize,
    /// Largest command in bytes.
    pub max_command_bytes: usize,
    /// Largest number of entries in one message.
    pub max_batch_entries: usize,
    /// Largest total size in bytes of the entries in one message with more than one entry.
    pub max_batch_bytes: usize,
    /// Largest number of unanswered batches for each member.
    pub max_in_flight: usize,
    /// Largest number of uncommitted entries.
    pub max_uncommitted: u64,
    /// Largest number of entries in the log. A leader refuses commands beyond it, a follower
    /// refuses entries beyond twice this.
    pub max_log_entries: usize,
    /// Largest size of the log in bytes, applied in the same way.
    pub max_log_bytes: usize,
    /// Number of entries applied since the last snapshot after which the next one is requested.
    pub snapshot_entries: u64,
    /// Number of bytes applied since the last snapshot after which the next one is requested.
    pub snapshot_bytes: usize,
    /// Number of entries kept below a new snapshot, so that slow members can catch up without one.
    pub kept_entries: u64,
    /// Largest size in bytes of those entries. Together with the entries since the last snapshot it
    /// leaves room in the log.
    pub kept_bytes: usize,
    /// Largest snapshot in bytes.
    pub max_snapshot_bytes: usize,
    /// Part of `max_snapshot_bytes` that commands which enlarge the state leave free. It holds what
    /// a state grows beyond the sizes of the commands since the last snapshot, and commands that end
    /// what earlier ones began; at least `snapshot_bytes` and one command.
    pub state_reserve_bytes: usize,
    /// Largest part of a snapshot in one message, in bytes; at most 256 KiB.
    pub chunk_bytes: usize,
    /// Largest number of probe answers that wait for entries to be applied.
    pub max_waiting_probes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(800),
            heartbeat: Duration::from_millis(150),
            probe_interval: Duration::from_millis(250),
            peers: Vec::new(),
            join_interval: Duration::from_millis(300),
            max_voters: 5,
            target_voters: None,
            replace_after: Duration::from_secs(2),
            // Longer than the restart of a VM, so that a member that is back soon keeps its identity.
            remove_after: Duration::from_secs(30),
            max_members: 16,
            max_command_bytes: 512 * 1024,
            max_batch_entries: 64,
            max_batch_bytes: 256 * 1024,
            max_in_flight: 8,
            max_uncommitted: 1024,
            max_log_entries: 8192,
            max_log_bytes: 32 * 1024 * 1024,
            snapshot_entries: 512,
            snapshot_bytes: 4 * 1024 * 1024,
            kept_entries: 256,
            kept_bytes: 8 * 1024 * 1024,
            max_snapshot_bytes: 72 * 1024 * 1024,
            state_reserve_bytes: 8 * 1024 * 1024,
            chunk_bytes: 256 * 1024,
            max_waiting_probes: 8,
        }
    }
}

/// Part of the election timeout that the lease leaves unused because of timer granularity, as every
/// lease of the system does.
const LEASE_MARGIN: Duration = Duration::from_millis(50);

/// Largest part of a snapshot in one message, in bytes, so that a message fits a frame of 1 MiB.
const MAX_CHUNK_BYTES: u64 = 256 * 1024;

impl Settings {
    /// Length of the leader lease, counted from the sending of an acknowledged message. Voters vote
    /// for no other candidate during the election timeout, on clocks that may run 1% faster.
    #[must_use]
    pub fn leader_lease(&self) -> Duration {
        self.election_timeout.saturating_sub(LEASE_MARGIN) * 100 / 101
    }

    pub(super) fn check(&self) -> Result<(), StartError> {
        self.check_counts()?;
        self.check_times()?;
        self.check_sizes()
    }

    fn check_counts(&self) -> Result<(), StartError> {
        let counts = [
            ("max_voters", self.max_voters),
            ("max_batch_entries", self.max_batch_entries),
            ("max_in_flight", self.max_in_flight),
            ("max_log_entries", self.max_log_entries),
            ("max_waiting_probes", self.max_waiting_probes),
            ("chunk_bytes", self.chunk_bytes),
        ];
        let times = [
            ("heartbeat", self.heartbeat),
            ("probe_interval", self.probe_interval),
            ("join_interval", self.join_interval),
        ];
        let counts = counts.iter().filter(|(_, count)| *count == 0);
        let times = times.iter().filter(|(_, time)| time.is_zero());
        let mut zeros = counts.map(|it| it.0).chain(times.map(|it| it.0));
        match zeros.next() {
            Some(setting) => Err(StartError::Zero { setting }),
            None => Ok(()),
        }
    }

    fn check_times(&self) -> Result<(), StartError> {
        let election = ("election_timeout in ms", self.election_timeout);
        let replace = ("replace_after in ms", self.replace_after);
        let remove = ("remove_after in ms", self.remove_after);
        let heartbeats = ("4 x heartbeat in ms", self.heartbeat * 4);
        let margin = (
            "the lease margin, twice and 1 ms",
            LEASE_MARGIN * 2 + Duration::from_millis(1),
        );
        let pairs = [
            (election, heartbeats),
            (election, margin),
            (replace, election),
            (remove, replace),
        ];
        pairs
            .iter()
            .try_for_each(|((larger, value), (smaller, least))| {
                let millis = |time: &Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                if value >= least {
                    return Ok(());
                }
                Err(StartError::Bounds {
                    larger,
                    value: millis(value),
                    smaller,
                    least: millis(least),
                })
            })
    }

    fn check_sizes(&self) -> Result<(), StartError> {
        // Compaction must be able to free space while all uncommitted entries are still in the log.
        // Their bytes are bounded by the log's own limit, and make room once they are committed.
        let entries = self.snapshot_entries + self.kept_entries + self.max_uncommitted;
        let retained = self.snapshot_bytes + self.kept_bytes + self.max_command_bytes;
        let growth = self.snapshot_bytes + self.max_command_bytes;
        let log_entries = ("max_log_entries", self.max_log_entries as u64);
        let log_bytes = ("max_log_bytes", self.max_log_bytes as u64);
        let pairs = [
            (
                ("max_members", self.max_members as u64),
                ("max_voters", self.max_voters as u64),
            ),
            (
                log_entries,
                ("snapshot_entries + kept_entries + max_uncommitted", entries),
            ),
            (
                log_bytes,
                (
                    "snapshot_bytes + kept_bytes + max_command_bytes + 1",
                    retained as u64 + 1,
                ),
            ),
            (
                ("state_reserve_bytes", self.state_reserve_bytes as u64),
                ("snapshot_bytes + max_command_bytes", growth as u64),
            ),
            (
                ("max_snapshot_bytes", self.max_snapshot_bytes as u64),
                (
                    "state_reserve_bytes + 1",
                    self.state_reserve_bytes as u64 + 1,
                ),
            ),
            (
                ("the largest chunk of a snapshot", MAX_CHUNK_BYTES),
                ("chunk_bytes", self.chunk_bytes as u64),
            ),
        ];
        pairs
            .iter()
            .try_for_each(|&((larger, value), (smaller, least))| {
                if value >= least {
                    return Ok(());
                }
                Err(StartError::Bounds {
                    larger,
                    value,
                    smaller,
                    least,
                })
            })
    }
}

/// What the caller read from its data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredState {
    /// Cluster id from the settings; a different one on disk is an error.
    pub cluster: u128,
    /// Slot from the settings; a different one on disk is an error.
    pub slot: u32,
    /// Vote record, if the folder holds one.
    pub vote: Option<VoteRecord>,
    /// Latest snapshot, if the folder holds one.
    pub snapshot: Option<Snapshot>,
    /// Entries in order, up to the last intact record.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    /// An empty data folder. The node asks for an identity and does not vote until it has one.
    #[must_use]
    pub fn empty(cluster: u128, slot: u32) -> Self {
        Self {
            cluster,
            slot,
            vote: None,
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// State for the first start of a new cluster with voters `slots`. The caller writes and syncs
    /// the vote record and the snapshot before it creates the node, at most once for each slot.
    #[must_use]
    pub fn initialize(cluster: u128, slot: u32, slots: &[u32], storage: u64) -> Self {
        let member = Member {
            slot,
            incarnation: 1,
        };
        let snapshot = Snapshot {
            position: Position::default(),
            membership: Membership::initial(slots),
            data: std::sync::Arc::from(Vec::new()),
        };
        Self {
            cluster,
            slot,
            vote: Some(VoteRecord {
                cluster,
                member,
                storage,
                term: 0,
                vote: None,
            }),
            snapshot: Some(snapshot),
            entries: Vec::new(),
        }
    }
}

/// Arguments of [`Node::new`](super::Node::new).
#[derive(Debug)]
pub struct NodeOptions {
    /// Times and limits.
    pub settings: Settings,
    /// Durable state.
    pub recovered: RecoveredState,
    /// Random generator for timeouts and ids. Each process run needs a different seed, because the
    /// ids distinguish runs and data folders.
    pub random: Pcg64,
}

/// Why a node cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// A count or interval is zero.
    #[error("the setting {setting} of the replicated log is 0; set 1 or more")]
    Zero {
        /// Name of the setting.
        setting: &'static str,
    },
    /// Two bounds don't hold together.
    #[error(
        "two bounds of the replicated log don't hold together: {larger} is {value}, but {smaller} is \
         {least}; raise the first or lower the second"
    )]
    Bounds {
        /// The bound that is too low.
        larger: &'static str,
        /// Its value.
        value: u64,
        /// The bound, or the sum of bounds, that it must reach.
        smaller: &'static str,
        /// The value of that.
        least: u64,
    },
    /// The data folder belongs to another cluster or slot.
    #[error(
        "the data folder belongs to cluster {cluster:032x}, member {member}; use the folder of this slot"
    )]
    WrongFolder {
        /// Cluster on disk.
        cluster: u128,
        /// Member on disk.
        member: Member,
    },
    /// Entries are missing between the snapshot and the log, or within the log.
    #[error(
        "the log has a gap at index {index}; set the data folder aside so that the member rejoins"
    )]
    Gap {
        /// First index that is missing.
        index: u64,
    },
    /// The folder holds log entries or a snapshot but no vote record.
    #[error(
        "the data folder has a log but no vote record; set the folder aside so that the member rejoins"
    )]
    NoVoteRecord,
}

/// Durable state after validation.
pub(super) struct ValidatedState {
    pub(super) record: VoteRecord,
    pub(super) snapshot: Snapshot,
    pub(super) log: Log,
    pub(super) history: MembershipHistory,
    /// Write that makes the disk match the log in memory.
    pub(super) repair: Option<Write>,
}

/// Validates the recovered state and builds the log from it.
pub(super) fn validate(
    recovered: RecoveredState,
    new_storage: u64,
) -> Result<ValidatedState, StartError> {
    let RecoveredState {
        cluster,
        slot,
        vote,
        snapshot,
        entries,
    } = recovered;
    if vote.is_none() && (snapshot.is_some() || !entries.is_empty()) {
        return Err(StartError::NoVoteRecord);
    }
    let record = vote.unwrap_or(VoteRecord {
        cluster,
        member: Member {
            slot,
            incarnation: 0,
        },
        storage: new_storage,
        term: 0,
        vote: None,
    });
    if record.cluster != cluster || record.member.slot != slot {
        return Err(StartError::WrongFolder {
            cluster: record.cluster,
            member: record.member,
        });
    }
    let snapshot = snapshot.unwrap_or(Snapshot {
        position: Position::default(),
        membership: Membership::default(),
        data: std::sync::Arc::from(Vec::new()),
    });
    let base = snapshot.position;
    let mut log = Log::new(base);
    let mut history = MembershipHistory::new(base.index, snapshot.membership.clone());
    // A crash between the writes of an installed snapshot leaves entries that conflict with the
    // snapshot. They are removed from the disk too; otherwise they would conflict with the entries
    // written next.
    let conflict = entries
        .iter()
        .any(|entry| entry.position.index == base.index && entry.position.term != base.term);
    let repair = conflict.then_some(Write::Truncate { from: base.index });
    let above = entries
        .into_iter()
        .filter(|entry| entry.position.index > base.index && !conflict);
    for entry in above {
        let expected = log.last().index + 1;
        if entry.position.index != expected {
            return Err(StartError::Gap { index: expected });
        }
        if let Payload::Membership(membership) = &entry.payload {
            history.push(entry.position.index, membership.clone());
        }
        log.push(entry);
    }
    Ok(ValidatedState {
        record,
        snapshot,
        log,
        history,
        repair,
    })
}
