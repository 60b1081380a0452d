//! Baseline against which the decision modules are measured: random choice among the configured
//! targets, no admission control, fixed timeouts, and a retry after any error.
//!
//! It has the same interface as the production modules, but its only state is the candidate lists
//! and the calls in flight. It must never serve production requests.

use std::time::Duration;

use azurelug_types::config::Config;
use azurelug_types::id::{TargetKey, ZoneKey};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::admission::{Action, AdmissionRequest, Admitted, Refused, Ticket};
use crate::latency::Latencies;
use crate::lease_mode::Mode;
use crate::retry::{Denied, FailedCall, SlowCall};
use crate::routing::{
    CallKey, Choice, Finished, LoadReport, NoTarget, Outcome, Query, Table, ZoneReason,
};
use crate::slab::Slab;

/// Timeout of every stage, independent of the remaining time to the deadline. It is longer than any
/// call under normal load: with 4 s, a quarter of the requests failed under normal load, so the
/// result depended more on this constant than on the use of fixed timeouts.
pub const STAGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Maximum number of attempts per stage of a request.
const MAX_ATTEMPTS: u16 = 3;

/// Chooses a random target among those in service that can handle the call.
#[derive(Clone, Debug)]
pub struct Router {
    table: Table,
    candidates: Vec<Vec<TargetKey>>,
    calls: Slab<(TargetKey, Duration)>,
    rng: Pcg32,
}

/// Admits every request immediately.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    running: Slab<()>,
}

/// Retries every failed call, even if it is not idempotent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget;

impl Router {
    /// Creates a router without a configuration.
    #[must_use]
    pub fn new(rng: Pcg32) -> Self {
        Self {
            table: Table::default(),
            candidates: Vec::new(),
            calls: Slab::default(),
            rng,
        }
    }

    /// The current routing table, compiled from the configuration.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Applies a configuration and rebuilds the candidate lists.
    pub fn apply(&mut self, config: &Config, _now: Duration) -> bool {
        self.table = Table::compile(config, &self.table, |_| false);
        self.candidates = vec![Vec::new(); self.table.needs()];
        for (key, entry) in self.table.targets() {
            if self.table.in_service(key) {
                for need in self.table.needs_of(entry) {
                    self.candidates[need].push(key);
                }
            }
        }
        true
    }

    /// Chooses a target at random.
    pub fn choose(&mut self, query: &Query<'_>, _now: Duration) -> Result<Choice, NoTarget> {
        let need = self.table.need(query.need).ok_or(NoTarget::NotConfigured)?;
        let candidates = &self.candidates[need];
        if candidates.is_empty() {
            return Err(NoTarget::NotConfigured);
        }
        let target = candidates[self.rng.random_range(0..candidates.len())];
        Ok(Choice {
            target,
            zone: self
                .table
                .target(target)
                .map_or(ZoneKey(0), |entry| entry.zone),
            version: self.table.version(),
            mode: Mode::Normal,
            step: ZoneReason::OwnZone,
            own_zone_score: None,
            compared: [None; 3],
        })
    }

    /// Starts a call regardless of the load of its target.
    pub fn begin(&mut self, target: TargetKey, now: Duration) -> Option<CallKey> {
        Some(CallKey(self.calls.insert((target, now))))
    }

    /// Ends a call and ignores its outcome.
    pub fn finish(&mut self, call: CallKey, _outcome: Outcome, now: Duration) -> Option<Finished> {
        let (target, started_at) = self.calls.remove(call.0)?;
        Some(Finished {
            target,
            latency: now.saturating_sub(started_at),
            turned_cold: false,
        })
    }

    /// Does nothing, because load reports do not affect the choice.
    pub fn report(&mut self, _target: TargetKey, _report: LoadReport, _now: Duration) {}
}

impl Admission {
    /// Admits the request immediately.
    pub fn offer(
        &mut self,
        _request: &AdmissionRequest<'_>,
        _latencies: &Latencies,
        _now: Duration,
    ) -> Result<Admitted, Refused> {
        Ok(Admitted::Start(Ticket(self.running.insert(()))))
    }

    /// Ends a request. No action follows, because no request is ever queued.
    pub fn finish(&mut self, ticket: Ticket, _now: Duration) -> Vec<Action> {
        self.running.remove(ticket.0);
        Vec::new()
    }
}

impl Budget {
    /// Does nothing, because retries are not limited by a budget.
    pub fn success(&mut self) {}

    /// Allows a retry of any error until the attempts are exhausted.
    pub fn retry(&mut self, failure: FailedCall) -> Result<(), Denied> {
        if failure.attempts < MAX_ATTEMPTS {
            Ok(())
        } else {
            Err(Denied::Attempts)
        }
    }

    /// Denies every hedged call.
    pub fn hedge(&mut self, _slow: SlowCall) -> Result<(), Denied> {
        Err(Denied::Budget)
    }
}
