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
        /// Entry daemons by name. The base shares of a zone's targets are divided among them.
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
        /// Numbers that identify targets in the accounting of limit shares. Assigned by the system;
        /// a target that moves to another address gets a new one.
        #[serde(default)]
        pub target_numbers: BTreeMap<TargetName, u32>,
        /// The highest target number assigned so far.
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
        /// Whether the zone accepts new work.
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
        /// Maximum number of this account's calls that one entry daemon runs at the same time.
        #[serde(default = "default_account_limit")]
        pub max_in_flight: u32,
    }

    /// A model with the versions and adapters that engines can load.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Versions that stages may refer to.
        pub versions: BTreeSet<String>,
        /// Adapters that stages may refer to.
        #[serde(default)]
        pub adapters: BTreeSet<String>,
    }

    /// One replica of a model engine or a plain service.
    #[serde(deny_unknown_fields)]
    pub struct Target {
        /// The availability zone in which it runs.
        pub zone: ZoneName,
        /// Its HTTP address.
        pub address: SocketAddr,
        /// Its role.
        pub role: Role,
        /// Models that an engine has loaded; empty for a plain service.
        #[serde(default)]
        pub loaded: Vec<ModelRef>,
        /// Calls that it can handle at the same time after its cold start.
        pub limit: u32,
        /// Calls that it can handle at the same time during its cold start.
        pub cold_limit: u32,
        /// Whether it accepts new work.
        #[serde(default)]
        pub state: State,
        /// Whether it rejects orders with an outdated fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
    }

    /// A model with adapter and version, required by a stage or loaded by an engine.
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
        /// At least one stage; three to six in production.
        pub stages: Vec<Stage>,
    }

    /// One stage of a pipeline.
    #[serde(deny_unknown_fields)]
    pub struct Stage {
        /// The kind of work.
        pub kind: StageKind,
        /// The model that an engine must have loaded to run the stage.
        pub model: ModelRef,
    }

    /// A plain service, which is not a model engine.
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
    /// Whether a zone or a target accepts new work.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// It accepts new work.
        #[default]
        Active,
        /// It finishes running work and accepts no new work.
        Draining,
    }

    /// What entry daemons of a zone do after their configuration lease has expired.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum OnPartition {
        /// Continue idempotent work on targets of the same zone.
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
        /// Documents to reordered documents.
        Rerank,
        /// Documents and question to text, token by token.
        Generate,
    }
}

fn default_weight() -> u32 {
    1
}

/// Lets a small account use an entry daemon without taking all of its capacity.
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
