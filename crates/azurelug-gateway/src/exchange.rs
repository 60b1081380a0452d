//! One client's request from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::fleet::Weights;
use azurelug_core::gateway::table::Table;
use azurelug_platform::answer::Refusal;
use azurelug_platform::client::{Fields, PromptPart};
use azurelug_types::deployment::{Route, Service};
use azurelug_types::id::AccountName;
use bytes::Bytes;
use http::request::Parts;

use crate::gateway::Gateway;

/// A request that has been read and may be served.
pub struct Exchange {
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// The configuration that the request is served by.
    pub table: Arc<Table>,
    /// Its route.
    pub route: Route,
    /// The service that answers it.
    pub service: Service,
    /// The account that holds its key.
    pub account: Option<AccountName>,
    /// Rank among requests that wait; 0 is the most urgent.
    pub rank: u16,
    /// Place among requests of its route by worth for the work, from 0 to 1.
    pub worth: f64,
    /// The id of this attempt.
    pub id: String,
    /// Its head.
    pub parts: Parts,
    /// What its head says.
    pub fields: Fields,
    /// Its body.
    pub body: Bytes,
    /// How much of the route's requests each zone is to get.
    pub weights: Weights,
    /// When it arrived.
    pub arrived: Duration,
    /// When the client gives up, or the route does.
    pub deadline: Duration,
}

/// Why a request has no answer of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It has not run. The client may come back after this time.
    Refused(Duration, &'static str),
    /// It may have run, and no answer can be used.
    Broken(&'static str),
    /// The time is over, and it may have run.
    TimedOut,
}

/// How many ranks one account priority spans: more than there are route priorities.
const ROUTE_RANKS: u16 = 4;

impl Exchange {
    /// The rank of a route's requests for an account: the account's priority goes first.
    #[must_use]
    pub fn rank(account: u8, route: u8) -> u16 {
        u16::from(account) * ROUTE_RANKS + u16::from(route).min(ROUTE_RANKS - 1)
    }

    /// Time until the deadline.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    /// Time since the arrival.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }

    /// When the answer is due for its full value.
    #[must_use]
    pub fn due(&self) -> Duration {
        self.arrived + self.route.objective
    }

    /// The prompt prefix that is worth keeping at one target: all parts but the request's own.
    #[must_use]
    pub fn affinity(&self) -> Option<u64> {
        let shared = match self.fields.prompt.as_slice() {
            [] => return None,
            [only] => std::slice::from_ref(only),
            [shared @ .., _] => shared,
        };
        let ids: Vec<&str> = shared.iter().map(part_id).collect();
        Some(azurelug_core::gateway::owner::weight("prompt", &ids))
    }
}

fn part_id(part: &PromptPart) -> &str {
    &part.id
}

impl Failure {
    /// The same, with a later time to return if a refused client would come too early.
    #[must_use]
    pub fn not_before(self, time: Duration) -> Self {
        match self {
            Self::Refused(after, reason) => Self::Refused(after.max(time), reason),
            other => other,
        }
    }

    /// The answer for the client.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::Refused(after, _) => Refusal::Busy(*after),
            Self::Broken(_) => Refusal::BadAnswer,
            Self::TimedOut => Refusal::TimedOut,
        }
    }

    /// The reason, for logs and the answer's body.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Refused(_, reason) | Self::Broken(reason) => reason,
            Self::TimedOut => "no answer in time",
        }
    }
}
