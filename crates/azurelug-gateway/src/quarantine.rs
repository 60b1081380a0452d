//! Quarantine for requests and prompt parts that crash targets: collects the evidence from answers,
//! refuses accused requests and those with accused parts, and agrees on probes with the other
//! gateways.

pub mod digest;

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::fleet::Outcome;
use azurelug_core::gateway::limits;
use azurelug_core::gateway::quarantine::{
    CLOCK_START, Changes, Crash, Quarantine, Record, Status, Verdict,
};
use azurelug_core::gateway::rendezvous;
use azurelug_types::deployment::Service;
use azurelug_types::fleet::{PartKey, SuspectPart};
use azurelug_types::id::TargetName;
use azurelug_wire::Frame;
use azurelug_wire::handshake::Identity;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use serde::Serialize;

use crate::attempt::{AttemptHistory, BufferedAnswer};
use crate::exchange::{Exchange, Failure};
use crate::gateway::{Gateway, Slot};
use digest::Digester;

/// The reason that clients and logs get for a request with an accused part.
const PART_REASON: &str = "a part of the prompt crashes targets";

/// The reason for an accused request.
const REQUEST_REASON: &str = "the request crashes targets";

/// Timeout of a question to the gateway that decides on probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Shortest time between two such questions about the same part.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest `Retry-After`: a probe and the news of its success take about as long.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Events after which a stream has gone on after its start.
const PROGRESS_EVENTS: u32 = 2;

/// Most rows in the state dump.
const MAX_ROWS: usize = 64;

#[derive(Default)]
struct State {
    quarantine: Quarantine,
    /// Parts that were accused when the log was last written.
    accused: HashSet<PartKey>,
    /// When the gateway that decides on probes was last asked.
    asked: HashMap<PartKey, Duration>,
}

/// Evidence from one attempt about the request and its prompt parts.
#[derive(Debug, Default)]
pub struct Progress {
    /// Events of the target's stream.
    events: AtomicU32,
    /// Whether the target crashed, and the request or a prompt part explains why.
    is_crash_explained: AtomicBool,
    /// The accused keys that the request probes, and when it was sent.
    probe: Option<(Vec<PartKey>, Duration)>,
}

impl Progress {
    /// The outcome for the target's health.
    fn health_outcome(&self, outcome: Outcome) -> Outcome {
        let is_explained = self.is_crash_explained.load(Ordering::Relaxed);
        match outcome {
            Outcome::Unreachable | Outcome::Error if is_explained => Outcome::Crashed,
            outcome => outcome,
        }
    }
}

/// The state about requests and prompt parts.
pub struct RequestQuarantine {
    state: Mutex<State>,
    digester: Digester,
}

/// A suspected request or prompt part in the state dump.
#[derive(Serialize)]
pub struct SuspectRow {
    service: Option<String>,
    kind: &'static str,
    id: String,
    is_accused: bool,
    crashes: usize,
    probes: usize,
}

impl RequestQuarantine {
    /// Creates a quarantine without records.
    #[must_use]
    pub fn new(identity: &Identity) -> Self {
        Self {
            state: Mutex::default(),
            digester: Digester::new(identity),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Gateway {
    /// The time by the clock of the quarantine, which can represent older reports.
    fn quarantine_now(&self) -> Duration {
        self.now() + CLOCK_START.saturating_sub(limits::CLOCK_START)
    }

    /// Takes over what a control daemon knows of suspected requests and parts.
    pub fn merge_suspects(&self, reports: &[SuspectPart]) {
        let now = self.quarantine_now();
        let mut state = self.quarantine.state();
        state.quarantine.merge(reports, now);
        state.quarantine.prune(now);
        state
            .asked
            .retain(|_, asked_at| *asked_at + ASK_INTERVAL > now);
        self.log_accusations(&mut state, now);
    }

    /// The records that have changed since `revision`.
    pub fn suspect_changes(&self, revision: u64) -> Changes {
        let now = self.quarantine_now();
        self.quarantine
            .state()
            .quarantine
            .changes_since(revision, now)
    }

    /// The suspected requests and parts for the state dump, accused ones first.
    pub fn suspect_rows(&self) -> Vec<SuspectRow> {
        let now = self.quarantine_now();
        let state = self.quarantine.state();
        let parts = state.quarantine.suspected(now).into_iter();
        let rows = parts.map(|(part, status)| {
            let record = state.quarantine.record(&part);
            SuspectRow {
                service: self.service_of(&part),
                kind: kind(&part),
                id: format!("{:016x}", part.id),
                is_accused: status == Status::Accused,
                crashes: record.map_or(0, |record| record.crashes().len()),
                probes: record.map_or(0, Record::probe_count),
            }
        });
        rows.take(MAX_ROWS).collect()
    }

    /// Evaluates an attempt that has ended; returns the outcome for the target's health.
    pub fn close_attempt(&self, progress: &Progress, outcome: Outcome) -> Outcome {
        if let (Outcome::Unconnected, Some((parts, sent))) = (outcome, &progress.probe) {
            let mut state = self.quarantine.state();
            state.quarantine.remove_probe(parts, *sent);
        }
        progress.health_outcome(outcome)
    }

    /// Decides on a probe if this gateway is the one that does so.
    pub fn grant_probe(&self, parts: &[PartKey]) -> bool {
        let Some(first) = parts.first() else {
            return false;
        };
        if !self.permits.owns(self, first) {
            return false;
        }
        let now = self.quarantine_now();
        let is_granted = self.quarantine.state().quarantine.grant_probe(parts, now);
        if is_granted {
            log::info!("gateway: probe of {} granted", describe(first));
        }
        is_granted
    }

    /// Asks the gateway that decides on probes whether a request may be sent of which these keys are
    /// accused.
    async fn ask_for_probe(self: &Arc<Self>, parts: &[PartKey]) -> bool {
        let Some(first) = parts.first() else {
            return false;
        };
        let now = self.quarantine_now();
        let asked_at = self.quarantine.state().asked.insert(*first, now);
        if asked_at.is_some_and(|asked_at| asked_at + ASK_INTERVAL > now) {
            self.quarantine
                .state()
                .asked
                .extend(asked_at.map(|it| (*first, it)));
            return false;
        }
        let Some(owner) = self.permits.owner(first) else {
            return false;
        };
        if owner.name == self.name {
            return self.grant_probe(parts);
        }
        let frame = Frame::TakeProbe(parts.to_vec());
        let answer = self.peers.ask(owner.address, frame, PROBE_TIMEOUT).await;
        matches!(answer, Ok(Frame::ProbeTaken { is_granted: true }))
    }

    fn service_of(&self, part: &PartKey) -> Option<String> {
        let table = self.table()?;
        let mut services = table.deployment().services.iter();
        let service = services.find(|service| service_hash(service) == part.service)?;
        Some(service.name.to_string())
    }

    /// Logs what is accused now and was not before, and the other way round.
    fn log_accusations(&self, state: &mut State, now: Duration) {
        let accused: HashSet<PartKey> = state.quarantine.accused(now).into_iter().collect();
        if accused == state.accused {
            return;
        }
        let service = |part: &PartKey| self.service_of(part).unwrap_or_else(|| "-".to_owned());
        for part in accused.difference(&state.accused) {
            let record = state.quarantine.record(part);
            let crashes = record.map_or(0, |record| record.crashes().len());
            log::warn!(
                "gateway: {} is accused: {crashes} targets crashed under it; service={}",
                describe(part),
                service(part)
            );
        }
        for part in state.accused.difference(&accused) {
            log::info!(
                "gateway: {} is accused no longer; service={}",
                describe(part),
                service(part)
            );
        }
        let requests = accused.iter().filter(|key| key.is_request()).count();
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.accused_requests.set(gauge(requests));
        self.metrics
            .accused_parts
            .set(gauge(accused.len() - requests));
        state.accused = accused;
    }
}

fn service_hash(service: &Service) -> u64 {
    rendezvous::weight("service", service.name.as_str())
}

fn kind(key: &PartKey) -> &'static str {
    if key.is_request() {
        "request"
    } else {
        "prompt part"
    }
}

fn describe(key: &PartKey) -> String {
    format!("{} {:016x}", kind(key), key.id)
}

/// The key of the request itself.
fn request_key(exchange: &Exchange) -> PartKey {
    let digest = exchange.digest.get_or_init(|| {
        let digester = &exchange.gateway.quarantine.digester;
        digester.digest(&exchange.parts, exchange.account.as_ref(), &exchange.body)
    });
    PartKey::request(service_hash(&exchange.service), *digest)
}

/// The prompt parts that several requests may share: all but the last.
fn shared_parts(exchange: &Exchange) -> impl Iterator<Item = PartKey> {
    let service = service_hash(&exchange.service);
    let count = exchange.fields.prompt.len().saturating_sub(1);
    let shared = exchange.fields.prompt.iter().take(count);
    shared.map(move |part| PartKey::part(service, rendezvous::weight("prompt part", &part.id)))
}

/// What may be to blame for a crash: the request itself first, then its shared parts.
fn suspects(exchange: &Exchange) -> Vec<PartKey> {
    let request = std::iter::once(request_key(exchange));
    request.chain(shared_parts(exchange)).collect()
}

/// The verdict on a request, and the reason if it is refused.
fn check(exchange: &Exchange) -> (Verdict, &'static str) {
    let gateway = &exchange.gateway;
    let now = gateway.quarantine_now();
    // Without records there is nothing to look up, and the digest of a long body takes a while.
    if gateway.quarantine.state().quarantine.record_count() == 0 {
        return (Verdict::Allowed, PART_REASON);
    }
    let keys = suspects(exchange);
    let state = gateway.quarantine.state();
    let is_request_accused = state.quarantine.status(&keys[0], now) == Status::Accused;
    let reason = if is_request_accused {
        REQUEST_REASON
    } else {
        PART_REASON
    };
    (state.quarantine.check(&keys, now), reason)
}

/// Decides on a request before anything is done for it. A request that is accused or has accused
/// parts is refused, unless it may be sent as a probe.
///
/// # Errors
/// `Refused`.
pub async fn admit(exchange: &mut Exchange) -> Result<(), Failure> {
    let (verdict, reason) = check(exchange);
    let gateway = &exchange.gateway;
    let retry_after = match verdict {
        Verdict::Allowed => return Ok(()),
        Verdict::Refused(after) => after,
        Verdict::ProbeDue(accused) => {
            if gateway.ask_for_probe(&accused).await {
                log::info!("gateway: request {} is sent as a probe", exchange.id);
                exchange.is_probe = true;
                return Ok(());
            }
            MIN_RETRY_AFTER
        }
    };
    gateway.metrics.quarantined_requests.inc();
    Err(Failure::Refused(retry_after.max(MIN_RETRY_AFTER), reason))
}

/// Decides on the next attempt, for which a slot has been reserved. `is_hedge` tells whether an
/// earlier attempt goes on: a suspected request is at one target at a time.
///
/// # Errors
/// Why the request may not be sent; the slot is released.
pub fn check_attempt(
    exchange: &Exchange,
    history: &AttemptHistory,
    is_hedge: bool,
    mut slot: Slot,
) -> Result<Slot, Failure> {
    let (verdict, reason) = check(exchange);
    if is_hedge && !may_repeat(exchange) {
        slot.cancel();
        return Err(Failure::NoUsableAnswer(reason));
    }
    let gateway = &exchange.gateway;
    match verdict {
        Verdict::Allowed => return Ok(slot),
        // A target that can't be connected to does not end the probe.
        Verdict::Refused(_) | Verdict::ProbeDue(_) if exchange.is_probe && !history.has_arrived => {
            let now = gateway.quarantine_now();
            let keys = suspects(exchange);
            gateway
                .quarantine
                .state()
                .quarantine
                .record_probe(&keys, now);
            slot.progress = Arc::new(Progress {
                probe: Some((keys, now)),
                ..Progress::default()
            });
            return Ok(slot);
        }
        Verdict::Refused(_) | Verdict::ProbeDue(_) => slot.cancel(),
    }
    gateway.metrics.quarantined_requests.inc();
    if history.possible_runs == 0 {
        let retry_after = match verdict {
            Verdict::Refused(after) => after.max(MIN_RETRY_AFTER),
            _ => MIN_RETRY_AFTER,
        };
        Err(Failure::Refused(retry_after, reason))
    } else {
        Err(Failure::NoUsableAnswer(reason))
    }
}

/// Whether a request may be sent again after an attempt without a usable answer.
pub fn may_repeat(exchange: &Exchange) -> bool {
    let gateway = &exchange.gateway;
    if gateway.quarantine.state().quarantine.record_count() == 0 {
        return true;
    }
    let keys = suspects(exchange);
    let now = gateway.quarantine_now();
    let crashes = exchange.crashes.load(Ordering::Relaxed);
    let state = gateway.quarantine.state();
    state.quarantine.may_repeat(&keys, crashes, now)
}

/// Records that the target ended the connection while the request was pending there. Ignored if
/// the answer had gone on.
pub fn record_crash(exchange: &Exchange, target: &TargetName, progress: &Progress) {
    if progress.events.load(Ordering::Relaxed) >= PROGRESS_EVENTS {
        return;
    }
    let keys = suspects(exchange);
    let gateway = &exchange.gateway;
    let now = gateway.quarantine_now();
    let crash = Crash {
        target: rendezvous::weight("target", target.as_str()),
        at: now,
    };
    exchange.crashes.fetch_add(1, Ordering::Relaxed);
    let mut state = gateway.quarantine.state();
    state.quarantine.record_crash(&keys, crash, now);
    if state.quarantine.is_explained(&crash, now) {
        progress.is_crash_explained.store(true, Ordering::Relaxed);
    }
    gateway.log_accusations(&mut state, now);
}

/// Records an event of a target's stream.
pub fn record_event(exchange: &Exchange, progress: &Progress) {
    let earlier_events = progress.events.fetch_add(1, Ordering::Relaxed);
    if earlier_events + 1 == PROGRESS_EVENTS {
        record_complete(exchange);
    }
}

/// Records a complete stream with a length or chunks, which may have a single event.
pub fn record_complete(exchange: &Exchange) {
    record_progress(exchange, shared_parts(exchange).collect());
}

/// Records a complete answer. One that ends with its connection may be incomplete.
pub fn record_answer(exchange: &Exchange, answer: &BufferedAnswer) {
    if !is_delimited(&answer.headers) {
        return;
    }
    // A rejection shows that the request crashes no target, and nothing about its prompt.
    let is_success = answer.status.is_success();
    let parts = shared_parts(exchange).filter(|_| is_success);
    record_progress(exchange, parts.collect());
}

/// Records that the target did not crash under the request, nor under these parts of its prompt.
fn record_progress(exchange: &Exchange, mut keys: Vec<PartKey>) {
    let gateway = &exchange.gateway;
    let now = gateway.quarantine_now();
    // Nothing is kept for requests under which no target crashed.
    if gateway.quarantine.state().quarantine.record_count() > 0 {
        keys.push(request_key(exchange));
    }
    let mut state = gateway.quarantine.state();
    state.quarantine.record_progress(&keys, now);
    if keys.iter().any(|key| state.accused.contains(key)) {
        gateway.log_accusations(&mut state, now);
    }
}

fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
