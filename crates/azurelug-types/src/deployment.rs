//! A complete deployment configuration: which requests go to which services, and for whom.
//!
//! The gateway and the control daemons share these types. They are built from a configuration
//! document by an adapter; nothing here knows the document's format.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{AccountName, ServiceName, TargetName, ZoneName};

/// A position in [`Deployment::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u16);

/// A complete configuration under one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The operators' number; a higher one replaces a lower one.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What they go to.
    pub services: Vec<Service>,
    /// Who may send them; without any, no key is asked for.
    pub accounts: Vec<Account>,
    /// What a client may send.
    pub limits: Limits,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host that clients name.
    pub host: String,
    /// The beginning of the path, with its slashes.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a client is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full value; for streams, until the first event.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is still on time.
    pub gap_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The services and their weights; never empty, and the weights do not add up to 0.
    pub split: Vec<Share>,
    /// The most targets on which one request may run.
    pub max_attempts: u32,
    /// Work that must be done before the request can run.
    pub stages: Vec<Stage>,
    /// Whether requests need no account key.
    pub is_anonymous: bool,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another target may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent to another target.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's part of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceKey,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// One stage of the work before a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The service whose targets run the pieces.
    pub service: ServiceKey,
    /// Earlier stages whose results it needs.
    pub after: Vec<u8>,
    /// Approximate size of one piece's result in bytes.
    pub result_bytes: u64,
}

/// A group of equal targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one target accepts from all daemons together.
    pub max_connections: u32,
    /// How long a target stays cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold target bears; 0 for no bound.
    pub cold_rate: f64,
    /// Set if the targets are model engines.
    pub engine: Option<Engine>,
    /// Set if the targets run pieces of stages.
    pub batch: Option<Batch>,
}

/// A model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub kv_tokens: u64,
}

/// A target that runs pieces of stages in batched calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch {
    /// Calls in progress at the same time.
    pub slots: u32,
    /// Calls that may wait behind them.
    pub queue: u32,
    /// The most pieces in one call.
    pub max_pieces: usize,
    /// Time of a call without its pieces.
    pub call_time: Duration,
    /// Approximate time that each piece adds.
    pub piece_time: Duration,
    /// Bytes of results that a target can hold.
    pub result_room: u64,
    /// How long a result is held unless it is released before.
    pub result_lifetime: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// The keys that its clients present.
    pub keys: Vec<String>,
    /// Rank; it goes before the route's.
    pub priority: u8,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The longest request head in bytes.
    pub max_head_bytes: usize,
    /// The longest request body in bytes.
    pub max_body_bytes: usize,
    /// The time that a client may take to send a request head.
    pub head_timeout: Duration,
    /// The time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// In force until the first configuration arrives.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A target as the platform's list names it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Changes with most starts.
    pub name: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// Where it serves. The address of a target that is gone may be used by another.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    pub is_leaving: bool,
    /// How much longer it stays cold.
    pub cold_ms: u64,
}

/// What a target says of itself beside its answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// How much longer it stays cold.
    pub cold: Option<Duration>,
    /// Whether it is leaving and wants no new work from the daemon that it answers.
    pub is_leaving: bool,
    /// How long it wants no request at all from the daemon that it answers.
    pub closed: Option<Duration>,
}

impl Deployment {
    /// The service of a key that this configuration gave out.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }
}
