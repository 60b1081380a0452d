//! Prompt parts and requests that crash targets.
//!
//! Load pattern: one part of a prompt, or one request that clients repeat, crashes every target that
//! starts an answer to it. Requests with that part come to any gateway, share their other parts with
//! sound requests, and are sent to the next target after each crash. No gateway alone sees enough
//! crashes, so the gateways exchange records of crashes and of progress.
//!
//! A part is accused if several targets crashed under requests with it, and no answer to a request
//! with it has gone on since. Accused parts are refused, except for a few probes.
//!
//! A request has a key of its own beside those of its parts, and is treated like one of them. Its
//! crashes don't accuse its parts.

mod broadcast;
mod ledger;
mod recent;
mod record;

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::fleet::{PartKey, SuspectPart};

pub use broadcast::Broadcast;
pub use ledger::{Changes, Ledger, MAX_RECORDS, Status};
pub use recent::Recent;
pub use record::{Crash, PROBE_PAUSES, Record};

/// Value of a daemon's clock at its start, so that it can represent reports from before its start.
pub const CLOCK_START: Duration = Duration::from_secs(25 * 3600);

/// Time before a part's first crash in which progress counts as proof that the part was sound.
const PROVEN_TIME: Duration = Duration::from_secs(60);

/// Added to a probe's due time for each further accused part of the request, because the outcome of
/// a probe with several accused parts tells less.
const SHARED_PROBE_DELAY: Duration = Duration::from_secs(5);

/// Targets that may crash under one request, unless its parts were sound shortly before.
const MAX_OWN_CRASHES: u32 = 2;

/// Time after a granted probe in which no other one is granted. It covers the time until the sender
/// has sent it and reported that.
pub const GRANT_TIME: Duration = Duration::from_secs(3);

/// Largest hint to clients for the time of a retry. A request with an accused part is refused again
/// until a probe succeeds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether a request may be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of its parts is accused.
    Allowed,
    /// Some of its parts are accused. Carries the time after which a retry may succeed.
    Refused(Duration),
    /// Some of its parts are accused, and a probe of each of these is due.
    ProbeDue(Vec<PartKey>),
}

/// What a gateway knows of requests and their prompt parts. Where a request's parts are expected,
/// its own key may be among them.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: Ledger,
    recent: Recent,
    /// Parts of which this gateway has granted a probe, and until when it grants no other. Those of
    /// requests are without their services.
    grants: HashMap<PartKey, Duration>,
}

impl Quarantine {
    /// Records that a target crashed while a request with these parts was pending: the connection
    /// failed after the request was sent and before the answer went on.
    pub fn record_crash(&mut self, parts: &[PartKey], crash: Crash, now: Duration) {
        // Accused parts explain the crash, but the request itself may have been what accused them.
        let accused = self.accused_of(parts, now);
        let accused: Vec<PartKey> = accused.filter(|part| !part.is_request()).collect();
        let is_blamed =
            |part: &&PartKey| part.is_request() || accused.is_empty() || accused.contains(part);
        for part in parts.iter().filter(is_blamed) {
            if self.recent.get(part).is_none_or(|at| at < crash.at) {
                self.ledger.record_crash(*part, crash);
            }
        }
    }

    /// Records that an answer to a request with these parts went on after its start, or that it is
    /// complete.
    pub fn record_progress(&mut self, parts: &[PartKey], now: Duration) {
        for part in parts {
            if !part.is_request() {
                self.recent.record(*part, now);
            }
            self.ledger.record_progress(*part, now);
        }
    }

    /// Takes over what another daemon knows.
    pub fn merge(&mut self, reports: &[SuspectPart], now: Duration) {
        for report in reports {
            self.ledger.merge(report, now);
            if let Some(at) = self.recent.get(&report.part) {
                self.ledger.record_progress(report.part, at);
            }
        }
    }

    /// Decides whether a request with these parts may be sent to a target.
    #[must_use]
    pub fn check(&self, parts: &[PartKey], now: Duration) -> Verdict {
        let accused: Vec<PartKey> = self.accused_of(parts, now).collect();
        if accused.is_empty() {
            return Verdict::Allowed;
        }
        match self.probe_due_at(&accused) {
            Some(due) if due <= now => Verdict::ProbeDue(accused),
            Some(due) => Verdict::Refused((due - now).min(MAX_RETRY_AFTER)),
            None => Verdict::Refused(MAX_RETRY_AFTER),
        }
    }

    /// Whether a request with these parts may be sent again after an attempt without a usable
    /// answer. `crashes` is the number of targets that crashed under this request.
    #[must_use]
    pub fn may_repeat(&self, parts: &[PartKey], crashes: u32, now: Duration) -> bool {
        let may_repeat = |part: &PartKey| {
            let record = self.ledger.record(part);
            // No record of a request shows nothing: there may have been no room for it.
            let is_proven = record.map_or(!part.is_request(), |it| self.is_proven(part, it));
            self.status(part, now) == Status::Clear && (crashes < MAX_OWN_CRASHES || is_proven)
        };
        parts.iter().all(may_repeat)
    }

    /// Whether a suspected or accused part explains a crash.
    #[must_use]
    pub fn is_explained(&self, crash: &Crash, now: Duration) -> bool {
        let mut parts = self.ledger.parts_with(crash);
        parts.any(|part| self.status(&part, now) != Status::Clear)
    }

    /// Decides on a probe as the only gateway that does so for these parts; returns whether the
    /// probe may be sent. The gateway that sends it reports it within [`GRANT_TIME`].
    pub fn grant_probe(&mut self, parts: &[PartKey], now: Duration) -> bool {
        self.grants.retain(|_, until| *until > now);
        let is_due = self.probe_due_at(parts).is_some_and(|due| due <= now);
        let mut probed = parts.iter().map(probe_key);
        let is_granted = is_due && !probed.any(|key| self.grants.contains_key(&key));
        if is_granted {
            let granted = parts.iter().map(|part| (probe_key(part), now + GRANT_TIME));
            self.grants.extend(granted);
        }
        is_granted
    }

    /// Records that a request with these accused parts is sent as a probe.
    pub fn record_probe(&mut self, parts: &[PartKey], now: Duration) {
        for part in self.accused_of(parts, now).collect::<Vec<_>>() {
            self.ledger.record_probe(part, now);
        }
    }

    /// Removes a probe that was recorded at `at` and did not reach a target.
    pub fn remove_probe(&mut self, parts: &[PartKey], at: Duration) {
        for part in parts {
            self.ledger.remove_probe(*part, at);
        }
    }

    /// The records that have changed since `revision`, oldest change first.
    #[must_use]
    pub fn changes_since(&self, revision: u64, now: Duration) -> Changes {
        self.ledger.changes_since(revision, now)
    }

    /// Removes expired records.
    pub fn prune(&mut self, now: Duration) {
        self.ledger.prune(now);
    }

    /// The accused parts, in no particular order.
    #[must_use]
    pub fn accused(&self, now: Duration) -> Vec<PartKey> {
        let parts = self.ledger.parts();
        parts
            .filter(|part| self.status(part, now) == Status::Accused)
            .collect()
    }

    /// The accused parts, and then the suspected ones.
    #[must_use]
    pub fn suspected(&self, now: Duration) -> Vec<(PartKey, Status)> {
        let parts = self.ledger.parts();
        let mut suspected: Vec<(PartKey, Status)> = parts
            .map(|part| (part, self.status(&part, now)))
            .filter(|(_, status)| *status != Status::Clear)
            .collect();
        suspected.sort_unstable_by_key(|(part, status)| (std::cmp::Reverse(*status), *part));
        suspected
    }

    /// Number of records.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.ledger.len()
    }

    /// What is known of a part.
    #[must_use]
    pub fn record(&self, part: &PartKey) -> Option<&Record> {
        self.ledger.record(part)
    }

    /// The status of a part at this gateway.
    #[must_use]
    pub fn status(&self, part: &PartKey, now: Duration) -> Status {
        let is_proven = |part: &PartKey, record: &Record| self.is_proven(part, record);
        self.ledger.status(part, is_proven, now)
    }

    fn accused_of(&self, parts: &[PartKey], now: Duration) -> impl Iterator<Item = PartKey> {
        parts
            .iter()
            .filter(move |part| self.status(part, now) == Status::Accused)
            .copied()
    }

    /// Whether the part was sound shortly before its first crash.
    fn is_proven(&self, part: &PartKey, record: &Record) -> bool {
        let progress = self.recent.get(part);
        progress
            .zip(record.first_crash())
            .is_some_and(|(progress, crash)| progress + PROVEN_TIME > crash)
    }

    /// When a request with these accused parts may be sent as a probe; none if a part has had all
    /// its probes.
    ///
    /// Several parts are probed together only if nothing distinguishes them: otherwise the guilty
    /// one would be probed, and the others blamed once more.
    fn probe_due_at(&self, accused: &[PartKey]) -> Option<Duration> {
        let (first, others) = accused.split_first()?;
        let mut latest = self.ledger.probe_due_at(first)?;
        for part in others {
            let own = self.ledger.record(part)?;
            if !own.has_same_crashes(self.ledger.record(first)?) {
                return None;
            }
            latest = latest.max(self.ledger.probe_due_at(part)?);
        }
        let others = u32::try_from(others.len()).unwrap_or(u32::MAX);
        Some(latest + SHARED_PROBE_DELAY.saturating_mul(others))
    }
}

/// What the probes of a part, or of a request at any service, have in common.
#[must_use]
pub fn probe_key(part: &PartKey) -> PartKey {
    let service = if part.is_request() { 0 } else { part.service };
    PartKey { service, ..*part }
}
