//! Metrics in the OpenMetrics format. All label values come from fixed lists, and every series
//! exists from the start, so that rates include the first event.

use std::time::Duration;

use azurelug_coordination::once;
use azurelug_coordination::raft::{Role, State};
use azurelug_types::patch::Answer;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histogram buckets in seconds. A sync takes from a fraction of a millisecond
/// to about 10 ms on common disks; a commit waits up to 1.5 s.
const BUCKETS: [f64; 12] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.25, 0.5, 1.5,
];

const ROLES: [&str; 5] = [
    "joining",
    "follower",
    "pre_candidate",
    "candidate",
    "leader",
];

/// Results of patches. Dry runs are not counted.
const PATCH_RESULTS: [&str; 6] = [
    "accepted", "conflict", "invalid", TOO_LONG, NO_QUORUM, STATE_FULL,
];

/// The result of a command for which no quorum was reached.
pub const NO_QUORUM: &str = "no_quorum";

/// The result of a command that is too long for the log.
pub const TOO_LONG: &str = "too_long";

/// The result of a command for which the replicated state has no room.
pub const STATE_FULL: &str = "state_full";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RoleLabel {
    role: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// Values of the daemon's state for one scrape.
#[derive(Default)]
pub struct GaugeValues {
    /// State of the replicated log; none while the member stops.
    pub log: Option<State>,
    /// The version in force here.
    pub version: u64,
    /// Number of at-most-once records.
    pub once_records: usize,
    /// Size of the at-most-once records in bytes.
    pub once_record_bytes: u64,
    /// Sum of the limits in force of the own zone's targets.
    pub share_limit: u64,
    /// Sum of the slots that count as in use under leases.
    pub share_granted: u64,
}

/// All metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    role: Family<RoleLabel, Gauge>,
    term: Gauge,
    commit_index: Gauge,
    version: Gauge,
    commit_seconds: Histogram,
    journal_sync_seconds: Histogram,
    patches: Family<ResultLabel, Counter>,
    once_commands: Family<ResultLabel, Counter>,
    once_records: Gauge,
    once_record_bytes: Gauge,
    lease_renewals: Family<ResultLabel, Counter>,
    share_renewals: Family<ResultLabel, Counter>,
    rollout_steps: Family<ResultLabel, Counter>,
    share_limit: Gauge,
    share_granted: Gauge,
    suspended_ms: Counter,
    state_bytes: Gauge,
    state_full: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("azurelug_control"),
            role: Family::default(),
            term: Gauge::default(),
            commit_index: Gauge::default(),
            version: Gauge::default(),
            commit_seconds: Histogram::new(BUCKETS),
            journal_sync_seconds: Histogram::new(BUCKETS),
            patches: Family::default(),
            once_commands: Family::default(),
            once_records: Gauge::default(),
            once_record_bytes: Gauge::default(),
            lease_renewals: Family::default(),
            share_renewals: Family::default(),
            rollout_steps: Family::default(),
            share_limit: Gauge::default(),
            share_granted: Gauge::default(),
            suspended_ms: Counter::default(),
            state_bytes: Gauge::default(),
            state_full: Counter::default(),
        };
        metrics.register_log();
        metrics.register_state();
        metrics.register_grants();
        for role in ROLES {
            drop(metrics.role.get_or_create(&RoleLabel { role }));
        }
        let once = once::Outcome::NAMES
            .into_iter()
            .chain([NO_QUORUM, TOO_LONG, STATE_FULL]);
        create_series(&metrics.once_commands, once);
        create_series(&metrics.patches, PATCH_RESULTS);
        create_series(&metrics.lease_renewals, ["granted", "refused"]);
        create_series(&metrics.share_renewals, ["granted", "dropped"]);
        metrics
    }

    fn register_log(&mut self) {
        let registry = &mut self.registry;
        registry.register("role", "1 for the member's role, else 0", self.role.clone());
        registry.register("term", "Term of the replicated log", self.term.clone());
        let help = "Last committed index known here";
        registry.register("commit_index", help, self.commit_index.clone());
        let help = "Configuration version in force";
        registry.register("config_version", help, self.version.clone());
        let help = "Time from a proposal at this leader to its outcome";
        registry.register("commit_seconds", help, self.commit_seconds.clone());
        let help = "Time to write and sync a batch to the journal";
        registry.register(
            "journal_sync_seconds",
            help,
            self.journal_sync_seconds.clone(),
        );
        let help = "Patches received here by result";
        registry.register("patches", help, self.patches.clone());
        let help = "Milliseconds in which the machine was suspended";
        registry.register("suspended_ms", help, self.suspended_ms.clone());
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        let help = "Size of the replicated state in the last snapshot";
        registry.register("state_bytes", help, self.state_bytes.clone());
        let help = "Commands that this leader refused because the state has no room";
        registry.register("state_full", help, self.state_full.clone());
    }

    fn register_grants(&mut self) {
        let registry = &mut self.registry;
        let help = "At-most-once commands received here by outcome";
        registry.register("once_commands", help, self.once_commands.clone());
        registry.register(
            "once_records",
            "At-most-once records",
            self.once_records.clone(),
        );
        let help = "Size of the at-most-once records";
        registry.register("once_record_bytes", help, self.once_record_bytes.clone());
        let help = "Steps of roll-outs that this leader began";
        registry.register("rollout_steps", help, self.rollout_steps.clone());
        let help = "Renewals of configuration leases by result";
        registry.register("lease_renewals", help, self.lease_renewals.clone());
        let help = "Renewals of shares by result";
        registry.register("share_renewals", help, self.share_renewals.clone());
        let help = "Limits in force of the own zone's targets";
        registry.register("share_limit", help, self.share_limit.clone());
        let help = "Slots of the own zone's targets in use under leases";
        registry.register("share_granted", help, self.share_granted.clone());
    }

    /// Records the duration of a commit at this leader.
    pub fn observe_commit(&self, after: Duration) {
        self.commit_seconds.observe(after.as_secs_f64());
    }

    /// Sets the size of the replicated state, as encoded for a snapshot.
    pub fn set_state_bytes(&self, bytes: usize) {
        self.state_bytes.set(signed(bytes));
    }

    /// Counts a command for which the replicated state has no room.
    pub fn count_state_full(&self) {
        self.state_full.inc();
    }

    /// Counts a suspension of the machine.
    pub fn count_suspension(&self, millis: u64) {
        self.suspended_ms.inc_by(millis);
    }

    /// Records the time to write and sync a batch.
    pub fn observe_sync(&self, after: Duration) {
        self.journal_sync_seconds.observe(after.as_secs_f64());
    }

    /// Counts an answered patch.
    pub fn count_patch(&self, answer: &Answer) {
        let result = match answer {
            Answer::Accepted { .. } => "accepted",
            Answer::Conflict { .. } => "conflict",
            Answer::Invalid { .. } => "invalid",
        };
        self.patches.get_or_create(&ResultLabel { result }).inc();
    }

    /// Counts a patch without an answer: `result` is [`NO_QUORUM`], [`TOO_LONG`] or [`STATE_FULL`].
    pub fn count_failed_patch(&self, result: &'static str) {
        self.patches.get_or_create(&ResultLabel { result }).inc();
    }

    /// Counts an at-most-once command. `result` is an outcome's name, [`NO_QUORUM`],
    /// [`TOO_LONG`] or [`STATE_FULL`].
    pub fn count_once(&self, result: &'static str) {
        self.once_commands
            .get_or_create(&ResultLabel { result })
            .inc();
    }

    /// Counts a transition of a roll-out that this leader committed.
    pub fn count_rollout_step(&self, result: &'static str) {
        self.rollout_steps
            .get_or_create(&ResultLabel { result })
            .inc();
    }

    /// Counts a renewal of a configuration lease.
    pub fn count_lease_renewal(&self, is_granted: bool) {
        let result = if is_granted { "granted" } else { "refused" };
        self.lease_renewals
            .get_or_create(&ResultLabel { result })
            .inc();
    }

    /// Counts a renewal of shares. A late or duplicate one is dropped.
    pub fn count_share_renewal(&self, is_answered: bool) {
        let result = if is_answered { "granted" } else { "dropped" };
        self.share_renewals
            .get_or_create(&ResultLabel { result })
            .inc();
    }

    /// All metrics as text, with the gauges of `values`.
    pub fn encode_text(&self, values: &GaugeValues) -> String {
        let own = values.log.as_ref().map(|log| role_label(log.role));
        for role in ROLES {
            let gauge = self.role.get_or_create_owned(&RoleLabel { role });
            gauge.set(i64::from(own == Some(role)));
        }
        if let Some(log) = &values.log {
            self.term.set(signed(log.term));
            self.commit_index.set(signed(log.commit));
        }
        self.version.set(signed(values.version));
        self.once_records.set(signed(values.once_records));
        self.once_record_bytes.set(signed(values.once_record_bytes));
        self.share_limit.set(signed(values.share_limit));
        self.share_granted.set(signed(values.share_granted));
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

fn create_series(
    family: &Family<ResultLabel, Counter>,
    results: impl IntoIterator<Item = &'static str>,
) {
    for result in results {
        drop(family.get_or_create(&ResultLabel { result }));
    }
}

fn role_label(role: Role) -> &'static str {
    match role {
        Role::Joining => ROLES[0],
        Role::Follower => ROLES[1],
        Role::PreCandidate => ROLES[2],
        Role::Candidate => ROLES[3],
        Role::Leader => ROLES[4],
    }
}

fn signed<T: TryInto<i64>>(number: T) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
