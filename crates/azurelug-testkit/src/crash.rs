//! Checks requests that crash targets, by a part of their prompt or as a whole, and the requests
//! beside them.
//!
//! After the fifth crash by a part, or the third by a whole request, all gateways together may send
//! few further requests with the cause ([`ALLOWED`]). Meanwhile, related requests without it must be
//! answered at least half as often as before: for a part those of the same routes that share the
//! account or the first part, for a whole request all at its service.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::outage::Outages;

/// Crashes after which a part must be known.
pub const PART_CRASHES: usize = 5;

/// Crashes after which a whole request must be known.
pub const REQUEST_CRASHES: usize = 3;

/// Time from the last of these crashes until every gateway must know the cause.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Requests with the cause that may reach targets after that time.
pub const ALLOWED: usize = 3;

/// Requests without the cause that a share of answered ones is taken from.
const MIN_REQUESTS: usize = 20;

/// What all repeats of a request have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Identity {
    /// HTTP method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The client account.
    pub account: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What crashes targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A part of prompts.
    Part(String),
    /// A whole request.
    Request(Identity),
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The gateway that it was sent to.
    pub gateway: String,
    /// When the client sent it, counted from the same moment as all other times.
    pub sent: Duration,
    /// The route.
    pub route: String,
    /// What its repeats share with it.
    pub identity: Identity,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<String>,
    /// Whether neither it nor one of its parts crashes targets.
    pub is_sound: bool,
    /// Whether the client received the beginning of a successful answer.
    pub has_begun: bool,
}

/// The events that concern one cause at the targets of one service.
#[derive(Debug)]
pub struct Ledger {
    cause: Cause,
    crashes: Vec<Duration>,
    arrivals: Vec<(Duration, String)>,
    requests: Vec<Request>,
}

/// Requests without the cause, and how many of them were answered.
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
    /// Too many requests with the cause reached targets after it had to be known.
    Arrivals {
        /// Crashes after which it had to be known.
        crashes: usize,
        /// Their number.
        count: usize,
        /// Requests by gateway.
        gateways: Vec<(String, usize)>,
    },
    /// Requests without the cause were answered less than half as often as before.
    Unanswered {
        /// Requests while the cause had to be known and requests with it still came.
        during: Answered,
        /// Requests before the first request with the cause.
        before: Answered,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arrivals {
                crashes,
                count,
                gateways,
            } => write!(
                formatter,
                "{count} requests reached targets later than {CONTACT:?} after crash {crashes}, \
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

impl Cause {
    /// Crashes after which every gateway in contact must know it.
    #[must_use]
    pub fn crash_limit(&self) -> usize {
        match self {
            Self::Part(_) => PART_CRASHES,
            Self::Request(_) => REQUEST_CRASHES,
        }
    }

    /// Whether a request with these shared parts has it.
    #[must_use]
    pub fn is_in(&self, identity: &Identity, parts: &[String]) -> bool {
        match self {
            Self::Part(part) => parts.contains(part),
            Self::Request(request) => request == identity,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(formatter, "part {part}"),
            Self::Request(Identity {
                method,
                path,
                account,
                body,
            }) => {
                let body = String::from_utf8_lossy(body);
                write!(formatter, "{method} {path} of {account} with {body:?}")
            }
        }
    }
}

impl Ledger {
    /// Creates a ledger without events for a cause.
    #[must_use]
    pub fn new(cause: Cause) -> Self {
        Self {
            cause,
            crashes: Vec::new(),
            arrivals: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Records that the cause has crashed a target. Times don't decrease.
    pub fn record_crash(&mut self, at: Duration) {
        self.crashes.push(at);
    }

    /// Records a request with the cause that has arrived at a target, whether or not it runs.
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

    /// When every gateway in contact must know the cause; none after fewer crashes.
    #[must_use]
    pub fn known_from(&self) -> Option<Duration> {
        let last = self.crashes.get(self.cause.crash_limit() - 1);
        last.map(|at| *at + CONTACT)
    }

    /// Requests with the cause that reached targets after it had to be known, by gateway.
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

    /// Related sound requests from twice [`CONTACT`] after the crash that made the cause known, or
    /// the last one if there are fewer, until the last request with the cause; and those before the
    /// first request with it.
    #[must_use]
    pub fn answered(&self, outages: &Outages) -> (Answered, Answered) {
        let with_cause: Vec<&Request> = self
            .requests
            .iter()
            .filter(|request| self.cause.is_in(&request.identity, &request.parts))
            .collect();
        let sent = || with_cause.iter().map(|request| request.sent);
        let counted = self.crashes.iter().take(self.cause.crash_limit());
        let crash = counted.max();
        let (Some(first), Some(last), Some(crash)) = (sent().min(), sent().max(), crash) else {
            return Default::default();
        };
        let start = *crash + 2 * CONTACT;
        let routes: HashSet<&str> = with_cause.iter().map(|it| it.route.as_str()).collect();
        let accounts = with_cause.iter().map(|it| it.identity.account.as_str());
        let accounts: HashSet<&str> = accounts.collect();
        let firsts: HashSet<&String> = with_cause
            .iter()
            .filter_map(|it| it.parts.first())
            .collect();
        let is_related = |request: &Request| match self.cause {
            Cause::Request(_) => true,
            Cause::Part(_) => {
                let shares_first = request.parts.first().is_some_and(|it| firsts.contains(it));
                let shares_account = accounts.contains(request.identity.account.as_str());
                routes.contains(request.route.as_str()) && (shares_first || shares_account)
            }
        };
        let (mut during, mut before) = (Answered::default(), Answered::default());
        for request in &self.requests {
            let is_counted = request.is_sound
                && is_related(request)
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
            violations.push(Violation::Arrivals {
                crashes: self.cause.crash_limit(),
                count,
                gateways: late.into_iter().collect(),
            });
        }
        let (during, before) = self.answered(outages);
        let is_enough = during.all >= MIN_REQUESTS && before.all >= MIN_REQUESTS;
        if is_enough && 2 * during.begun * before.all < before.begun * during.all {
            violations.push(Violation::Unanswered { during, before });
        }
        violations
    }
}
