//! A client's request from arrival to answer.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::Weights;
use azurelug_core::gateway::rendezvous;
use azurelug_core::gateway::table::Table;
use azurelug_platform::answer::Refusal;
use azurelug_platform::client::{Fields, PromptPart};
use azurelug_types::deployment::{Route, Service};
use azurelug_types::id::AccountName;
use bytes::Bytes;
use http::request::Parts;

use crate::gateway::Gateway;
use crate::memory::Holder;

/// A request that has been read and admitted.
pub struct Exchange {
    /// The gateway that serves it.
    pub gateway: Arc<Gateway>,
    /// Configuration in force when the request arrived.
    pub table: Arc<Table>,
    /// The matching route.
    pub route: Route,
    /// The service that answers it.
    pub service: Service,
    /// The account that the API key belongs to.
    pub account: Option<AccountName>,
    /// Age of the configuration by which the key was accepted; none if the request needs no key.
    pub key_age: Option<Duration>,
    /// Rank among waiting requests; 0 is the most urgent.
    pub rank: u16,
    /// Rank among requests of the same route by value per unit of work, from 0 (lowest) to 1.
    pub value_rank: f64,
    /// The client's id for this attempt.
    pub id: String,
    /// Request line and headers.
    pub parts: Parts,
    /// Decoded headers.
    pub fields: Fields,
    /// Request body.
    pub body: Bytes,
    /// The memory that the request and its answer take.
    pub memory: Holder,
    /// Share of the route's requests for each zone.
    pub weights: Weights,
    /// Arrival time.
    pub arrived: Duration,
    /// When the client's or the route's timeout ends, whichever is first. A planned stop may end the
    /// exchange earlier.
    pub deadline: Duration,
    /// Digest by which all gateways recognize the request; computed when it is first needed.
    pub digest: OnceLock<u64>,
    /// Whether the request is sent once although it or a part of its prompt is accused.
    pub is_probe: bool,
    /// Targets that crashed while the request was pending there.
    pub crashes: AtomicU32,
}

/// Why no target answered a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request has not run. The client may retry after this time.
    Refused(Duration, &'static str),
    /// The request may have run, but there is no usable answer.
    NoUsableAnswer(&'static str),
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

/// Ranks within one account priority: more than there are route priorities.
const ROUTE_RANKS: u16 = 4;

impl Exchange {
    /// Rank of a request: ordered by the account's priority, then by the route's.
    #[must_use]
    pub fn rank(account: u8, route: u8) -> u16 {
        u16::from(account) * ROUTE_RANKS + u16::from(route).min(ROUTE_RANKS - 1)
    }

    /// Time until the deadline, or until exchanges end because the gateway is stopping.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        let deadline = self.gateway.cap_deadline(self.deadline);
        deadline.saturating_sub(self.gateway.now())
    }

    /// Time since the arrival.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }

    /// When the answer is due according to the latency objective.
    #[must_use]
    pub fn due_at(&self) -> Duration {
        self.arrived + self.route.latency_objective
    }

    /// Whether the client has a part of the stream and asks for the rest.
    #[must_use]
    pub fn is_resumed(&self) -> bool {
        self.route.kind.is_stream() && self.fields.last_event.is_some()
    }

    /// Hash of the account's name; 0 without an account.
    #[must_use]
    pub fn account_hash(&self) -> u64 {
        let name = self.account.as_ref();
        name.map_or(0, |name| rendezvous::weight("account", name))
    }

    /// What the request declares about its work.
    #[must_use]
    pub fn work(&self) -> Work {
        let prompt = self.fields.prompt.as_slice();
        let (own, shared) = prompt
            .split_last()
            .map_or((0, 0), |(own, shared)| (own.tokens, tokens(shared)));
        let (declared, most) = self.fields.tokens.unwrap_or_default();
        let written = self.fields.length_hint.unwrap_or(most);
        Work {
            shared_tokens: shared,
            own_tokens: own.max(declared.saturating_sub(shared)),
            output_tokens: if self.route.kind.is_stream() {
                0
            } else {
                written.min(most.max(1))
            },
        }
    }

    /// Hash of the shared prompt prefix, which one target should cache: all parts but the last.
    #[must_use]
    pub fn affinity(&self) -> Option<u64> {
        let shared = match self.fields.prompt.as_slice() {
            [] => return None,
            [only] => std::slice::from_ref(only),
            [shared @ .., _] => shared,
        };
        let ids: Vec<&str> = shared.iter().map(part_id).collect();
        Some(rendezvous::weight("prompt", &ids))
    }
}

fn tokens(parts: &[PromptPart]) -> u64 {
    parts
        .iter()
        .fold(0, |sum, part| sum.saturating_add(part.tokens))
}

fn part_id(part: &PromptPart) -> &str {
    &part.id
}

impl Failure {
    /// Raises the retry delay of a refusal to at least `time`.
    #[must_use]
    pub fn with_min_retry_after(self, time: Duration) -> Self {
        match self {
            Self::Refused(after, reason) => Self::Refused(after.max(time), reason),
            other => other,
        }
    }

    /// The HTTP answer for the client.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::Refused(after, _) => Refusal::Busy(*after),
            Self::NoUsableAnswer(_) => Refusal::BadAnswer,
            Self::TimedOut => Refusal::TimedOut,
        }
    }

    /// The reason, for logs and the answer's body.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Refused(_, reason) | Self::NoUsableAnswer(reason) => reason,
            Self::TimedOut => "no answer in time",
        }
    }
}
