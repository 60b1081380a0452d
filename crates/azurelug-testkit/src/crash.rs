//! Checks the requests with a part of a prompt that crashes targets, and the requests beside them.
//!
//! After the fifth crash, all gateways together may send few further requests with the part
//! ([`ALLOWED`]). Meanwhile, requests without it that share the account or the first part must be
//! answered at least half as often as before.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::outage::Outages;

/// Crashes after which the part must be known.
pub const CRASHES: usize = 5;

/// Time from the last of these crashes until every gateway must know the part.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Requests with the part that may reach targets after that time.
pub const ALLOWED: usize = 3;

/// Requests without the part that a share of answered ones is taken from.
const MIN_REQUESTS: usize = 20;

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The gateway that it was sent to.
    pub gateway: String,
    /// When the client sent it, counted from the same moment as all other times.
    pub sent: Duration,
    /// The route.
    pub route: String,
    /// The account's key.
    pub key: String,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<String>,
    /// Whether none of its parts crashes targets.
    pub is_sound: bool,
    /// Whether the client received the beginning of a successful answer.
    pub has_begun: bool,
}

/// The events that concern one part at the targets of one service.
#[derive(Debug)]
pub struct Ledger {
    part: String,
    crashes: Vec<Duration>,
    arrivals: Vec<(Duration, String)>,
    requests: Vec<Request>,
}

/// Requests without the part, and how many of them were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answered {
    /// Those whose answer has begun.
    pub begun: usize,
    /// All requests.
    pub all: usize,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Too many requests with the part reached targets after it had to be known.
    Arrivals {
        /// Their number.
        count: usize,
        /// Requests by gateway.
        gateways: Vec<(String, usize)>,
    },
    /// Requests without the part were answered less than half as often as before.
    Unanswered {
        /// Requests while the part had to be known and requests with it still came.
        during: Answered,
        /// Requests before the first request with the part.
        before: Answered,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arrivals { count, gateways } => write!(
                formatter,
                "{count} requests reached targets later than {CONTACT:?} after crash {CRASHES}, \
                 {ALLOWED} are allowed: {gateways:?}"
            ),
            Self::Unanswered { during, before } => write!(
                formatter,
                "{} of {} requests without it were answered, and {} of {} before",
                during.begun, during.all, before.begun, before.all
            ),
        }
    }
}

impl Ledger {
    /// Creates a ledger without events for a part.
    #[must_use]
    pub fn new(part: &str) -> Self {
        Self {
            part: part.to_owned(),
            crashes: Vec::new(),
            arrivals: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Records that the part has crashed a target. Times don't decrease.
    pub fn record_crash(&mut self, at: Duration) {
        self.crashes.push(at);
    }

    /// Records a request with the part that has arrived at a target, whether or not it runs.
    pub fn record_arrival(&mut self, gateway: &str, at: Duration) {
        self.arrivals.push((at, gateway.to_owned()));
    }

    /// Records a client's request after its answer has begun or failed.
    pub fn record_request(&mut self, request: Request) {
        self.requests.push(request);
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// When every gateway in contact must know the part; none after fewer crashes.
    #[must_use]
    pub fn known_from(&self) -> Option<Duration> {
        self.crashes.get(CRASHES - 1).map(|at| *at + CONTACT)
    }

    /// Requests with the part that reached targets after it had to be known, by gateway.
    #[must_use]
    pub fn late_arrivals(&self, outages: &Outages) -> BTreeMap<String, usize> {
        let mut gateways = BTreeMap::new();
        let known_from = self.known_from().unwrap_or(Duration::MAX);
        for (at, gateway) in &self.arrivals {
            if *at > known_from && !outages.covers(gateway, *at) {
                *gateways.entry(gateway.clone()).or_default() += 1;
            }
        }
        gateways
    }

    /// Sound requests from twice [`CONTACT`] after the fifth crash, or the last one if there are
    /// fewer, until the last request with the part; and those before the first request with it.
    #[must_use]
    pub fn answered(&self, outages: &Outages) -> (Answered, Answered) {
        let with_part: Vec<&Request> = self
            .requests
            .iter()
            .filter(|request| request.parts.contains(&self.part))
            .collect();
        let sent = || with_part.iter().map(|request| request.sent);
        let crash = self.crashes.iter().take(CRASHES).next_back();
        let (Some(first), Some(last), Some(crash)) = (sent().min(), sent().max(), crash) else {
            return Default::default();
        };
        let start = *crash + 2 * CONTACT;
        let routes: HashSet<&str> = with_part.iter().map(|it| it.route.as_str()).collect();
        let keys: HashSet<&str> = with_part.iter().map(|it| it.key.as_str()).collect();
        let firsts: HashSet<&String> = with_part.iter().filter_map(|it| it.parts.first()).collect();
        let (mut during, mut before) = (Answered::default(), Answered::default());
        for request in &self.requests {
            let shares_first = request.parts.first().is_some_and(|it| firsts.contains(it));
            let is_related = shares_first || keys.contains(request.key.as_str());
            let is_counted = request.is_sound
                && is_related
                && routes.contains(request.route.as_str())
                && !outages.covers(&request.gateway, request.sent);
            let span = match request.sent {
                _ if !is_counted => continue,
                sent if sent < first => &mut before,
                sent if (start..=last).contains(&sent) => &mut during,
                _ => continue,
            };
            span.all += 1;
            span.begun += usize::from(request.has_begun);
        }
        (during, before)
    }

    /// The broken rules.
    #[must_use]
    pub fn violations(&self, outages: &Outages) -> Vec<Violation> {
        let mut violations = Vec::new();
        let late = self.late_arrivals(outages);
        let count = late.values().sum();
        if count > ALLOWED {
            let gateways = late.into_iter().collect();
            violations.push(Violation::Arrivals { count, gateways });
        }
        let (during, before) = self.answered(outages);
        let is_enough = during.all >= MIN_REQUESTS && before.all >= MIN_REQUESTS;
        if is_enough && 2 * during.begun * before.all < before.begun * during.all {
            violations.push(Violation::Unanswered { during, before });
        }
        violations
    }
}
