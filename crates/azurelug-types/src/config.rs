//! The configuration that all daemons share: zones, accounts, targets, pipelines and services.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::id::{
    AccountName, DaemonName, ModelName, OperationName, PipelineName, ServiceName, TargetName,
    Version, ZoneName,
};
use crate::{data, key};

data! {
    /// One complete configuration version.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Config {
        /// The number of this version; 0 before the first accepted patch.
        pub version: Version,
        /// Availability zones by name.
        pub zones: BTreeMap<ZoneName, Zone>,
        /// Entry daemons by name. Those of a zone divide the base shares of its targets.
        #[serde(default)]
        pub entries: BTreeMap<DaemonName, Entry>,
        /// Client accounts by name.
        pub accounts: BTreeMap<AccountName, Account>,
        /// Models by name.
        pub models: BTreeMap<ModelName, Model>,
        /// Targets by name.
        pub targets: BTreeMap<TargetName, Target>,
        /// Pipelines by name.
        pub pipelines: BTreeMap<PipelineName, Pipeline>,
        /// Plain services by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Numbers by which shares of targets' limits are counted. The system assigns them; a target
        /// that moves to another address gets a new one.
        #[serde(default)]
        pub target_numbers: BTreeMap<TargetName, u32>,
        /// The highest target number that was ever assigned.
        #[serde(default)]
        pub last_target_number: u32,
    }

    /// An entry daemon.
    #[serde(deny_unknown_fields)]
    pub struct Entry {
        /// Its availability zone.
        pub zone: ZoneName,
    }

    /// An availability zone.
    #[serde(deny_unknown_fields)]
    pub struct Zone {
        /// Whether the zone takes new work.
        pub state: State,
        /// What entry daemons in the zone do after their configuration lease has expired.
        #[serde(default)]
        pub on_partition: OnPartition,
    }

    /// A client account.
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// SHA-256 of the account's key in lowercase hex. The key itself is never stored.
        pub key_digest: String,
        /// Weight of the account's queue relative to other accounts, 1 or more.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Calls of this account that one entry daemon runs at the same time.
        #[serde(default = "default_account_limit")]
        pub max_in_flight: u32,
    }

    /// A model and what engines can load of it.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Versions that stages may name.
        pub versions: BTreeSet<String>,
        /// Adapters that stages may name.
        #[serde(default)]
        pub adapters: BTreeSet<String>,
    }

    /// One replica behind the entry daemons.
    #[serde(deny_unknown_fields)]
    pub struct Target {
        /// The availability zone the target runs in.
        pub zone: ZoneName,
        /// Where it listens for HTTP.
        pub address: SocketAddr,
        /// What it does.
        pub role: Role,
        /// Models that an engine has loaded; empty for a plain service.
        #[serde(default)]
        pub loaded: Vec<ModelRef>,
        /// Calls that it can handle at the same time when warm.
        pub limit: u32,
        /// Calls that it can handle at the same time in cold start.
        pub cold_limit: u32,
        /// Whether it takes new work.
        #[serde(default)]
        pub state: State,
        /// Whether it refuses orders that carry an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
    }

    /// A model with adapter and version, as a stage asks for it or an engine has loaded it.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    #[serde(deny_unknown_fields)]
    pub struct ModelRef {
        /// The model.
        pub model: ModelName,
        /// The adapter, if any.
        #[serde(default)]
        pub adapter: Option<String>,
        /// The version.
        pub version: String,
    }

    /// A chain of stages. The output of each stage is the input of the next one.
    #[serde(deny_unknown_fields)]
    pub struct Pipeline {
        /// Three to six stages in production; at least one.
        pub stages: Vec<Stage>,
    }

    /// One stage of a pipeline.
    #[serde(deny_unknown_fields)]
    pub struct Stage {
        /// What the stage does.
        pub kind: StageKind,
        /// What an engine must have loaded to run it.
        pub model: ModelRef,
    }

    /// A plain service beside the model engines.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Operations by name. An operation that is not listed is refused.
        pub operations: BTreeMap<OperationName, Operation>,
    }

    /// One operation of a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Operation {
        /// Whether a repeated call has the same effect as one call. A call that is not idempotent
        /// needs an idempotency key and runs at most once.
        pub idempotent: bool,
    }

    /// The role of a target.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Role {
        /// A model engine that runs one kind of stage.
        Engine(StageKind),
        /// A replica of a plain service.
        Service(ServiceName),
    }
}

key! {
    /// Whether a zone or a target takes new work.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// It takes new work.
        #[default]
        Active,
        /// It finishes running work and takes no new work.
        Draining,
    }

    /// What entry daemons of a zone do after their configuration lease has expired.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum OnPartition {
        /// Go on with idempotent work on targets of the own zone.
        #[default]
        ServeLocal,
        /// Refuse all work.
        Refuse,
    }

    /// The kinds of stages.
    #[serde(rename_all = "snake_case")]
    pub enum StageKind {
        /// Text to embedding.
        Encode,
        /// Embedding to documents.
        Retrieve,
        /// Documents to ordered documents.
        Rerank,
        /// Documents and question to text, token by token.
        Generate,
    }
}

/// An account without a stated weight counts as one unit.
fn default_weight() -> u32 {
    1
}

/// A default that lets a small account use an entry daemon without filling it.
fn default_account_limit() -> u32 {
    64
}

impl std::fmt::Display for ModelRef {
    /// The name under which engines serve a model: `model@version` or `model+adapter@version`.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.model)?;
        if let Some(adapter) = &self.adapter {
            write!(formatter, "+{adapter}")?;
        }
        write!(formatter, "@{}", self.version)
    }
}

impl StageKind {
    /// All kinds, in the usual order of a pipeline.
    pub const ALL: [Self; 4] = [Self::Encode, Self::Retrieve, Self::Rerank, Self::Generate];

    /// The name used in settings, answers and metrics labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
        }
    }
}

impl std::fmt::Display for StageKind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
