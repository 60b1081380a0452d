//! A complete deployment configuration: routes, services, client accounts and limits.
//!
//! The gateway and the control daemons share these types. They are built from a configuration
//! document by an adapter and do not depend on the document's format.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{AccountName, ServiceName, TargetName, ZoneName};
use crate::rate::Rate;

/// A position in [`Deployment::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceKey(pub u16);

/// One version of the complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Chosen by the operators. A higher number replaces a lower one.
    pub version: u64,
    /// Routes, which assign requests to services.
    pub routes: Vec<Route>,
    /// The services of the routes.
    pub services: Vec<Service>,
    /// Accounts that may send requests. `None` if the configuration doesn't use accounts, so that
    /// requests need no key; an empty list admits only requests of anonymous routes.
    pub accounts: Option<Vec<Account>>,
    /// Limits on client requests and connections.
    pub limits: Limits,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The path prefix, including its slashes.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: time within which an answer is on time; for streams, until the first
    /// event.
    pub latency_objective: Duration,
    /// Latency objective between two events of a stream: longest pause that is on time.
    pub event_gap_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The services and their weights. Never empty, and the sum of the weights is not 0.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets on which one request may run.
    pub max_attempts: u32,
    /// Stages that must complete before the request itself can run.
    pub stages: Vec<Stage>,
    /// Whether requests are accepted without an account key.
    pub is_anonymous: bool,
}

/// How requests of a route behave when they are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another target can resume the stream after the last delivered event.
        resumable: bool,
    },
}

impl RequestKind {
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

/// The share of a route's requests that one service gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// One stage that runs before the request itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The service whose targets run the pieces.
    pub service: ServiceKey,
    /// Indices of earlier stages whose results it needs.
    pub after: Vec<u8>,
    /// Approximate size of one piece's result in bytes.
    pub result_bytes: u64,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections to one target, summed over all daemons.
    pub max_connections: u32,
    /// Duration of the cold start after a target was started.
    pub cold_start_time: Duration,
    /// Maximum requests per second to a target in cold start; 0 for no limit.
    pub cold_rate_limit: f64,
    /// Set if the targets are model engines.
    pub engine: Option<Engine>,
    /// Set if the targets run pieces of stages.
    pub batch: Option<Batch>,
}

/// A model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    pub kv_tokens: u64,
}

/// A target that runs pieces of stages in batched calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch {
    /// Calls that can be in progress at the same time.
    pub slots: u32,
    /// Calls that can be queued behind those in progress.
    pub queue: u32,
    /// Maximum number of pieces in one call.
    pub max_pieces: usize,
    /// Fixed time of a call, without the time for its pieces.
    pub call_time: Duration,
    /// Approximate time that each piece adds.
    pub piece_time: Duration,
    /// Bytes of results that a target can store.
    pub result_capacity: u64,
    /// How long a result is stored unless it is released earlier.
    pub result_lifetime: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Keys with which its clients authenticate.
    pub keys: Vec<String>,
    /// Priority; it is compared before the route's priority.
    pub priority: u8,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for the transfer of a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits that apply until the first configuration arrives.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// The target's name. Most restarts change it.
    pub name: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// Address on which it serves requests. Another target may reuse it when this target is gone.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Whether it is leaving and must get no new requests.
    pub is_leaving: bool,
    /// Remaining time of its cold start, in milliseconds.
    pub cold_ms: u64,
    /// Version of its software.
    pub version: String,
}

/// Status that a target reports along with its answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Remaining time of its cold start.
    pub cold: Option<Duration>,
    /// Whether it is leaving and accepts no new requests from the daemon that it answers.
    pub is_leaving: bool,
    /// How long it accepts no request at all from the daemon that it answers.
    pub unavailable_for: Option<Duration>,
    /// The limit for requests from all daemons together.
    pub limit: LimitNotice,
    /// How long work takes on the target's VM at this moment, in percent of the usual time.
    pub slowness_percent: Option<u16>,
}

/// What an answer says about the target's limit for requests from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing: the limit can't be read, or the answer may be another target's.
    #[default]
    Unknown,
    /// The target has no limit.
    Unlimited,
    /// The target accepts this rate from all daemons together.
    Limited(Rate),
}

impl TargetNotice {
    /// The notice of an answer that need not name the limit in force, for example a refusal or a
    /// late copy of an earlier answer.
    #[must_use]
    pub fn without_limit_end(mut self) -> Self {
        if self.limit == LimitNotice::Unlimited {
            self.limit = LimitNotice::Unknown;
        }
        self
    }
}

impl Deployment {
    /// Looks up a service by a key of this configuration.
    #[must_use]
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }
}

/// A part of a configuration, for messages about it. The adapter of the document knows its name
/// there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The version of the document.
    Version,
    /// The list of routes.
    Routes,
    /// The list of services.
    Services,
    /// The list of client accounts.
    Accounts,
    /// The name of an entry.
    Name,
    /// [`Route::host`].
    Host,
    /// [`Route::prefix`].
    Prefix,
    /// [`Route::timeout`].
    TimeLimit,
    /// [`Route::latency_objective`].
    LatencyObjective,
    /// [`Route::services`].
    Split,
    /// [`Route::max_attempts`].
    MaxAttempts,
    /// [`Route::stages`].
    Stages,
    /// [`Account::keys`].
    Keys,
}
