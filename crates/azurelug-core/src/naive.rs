//! The baseline for measurements of the decision modules: random choice among the configured
//! targets, no admission control, fixed timeouts, and a retry after any error.
//!
//! It has the interface of the production modules, keeps only the candidate lists and the calls in
//! flight, and must never be used to serve requests.

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

/// Timeout of every stage, independent of the time until the deadline. It is longer than any call
/// takes under normal load: with 4 s, the baseline lost a quarter of its requests there, so that
/// the result depended on this constant more than on the use of fixed timeouts.
pub const STAGE_TIMEOUT: Duration = Duration::from_secs(9);
/// Maximum number of attempts at one stage of one request.
const MAX_ATTEMPTS: u16 = 3;

/// Chooses a random target among those in service that can handle the call.
#[derive(Clone, Debug)]
pub struct Router {
    table: Table,
    candidates: Vec<Vec<TargetKey>>,
    calls: Slab<(TargetKey, Duration)>,
    random: Pcg32,
}

/// Starts every request at once.
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
    pub fn new(random: Pcg32) -> Self {
        Self {
            table: Table::default(),
            candidates: Vec::new(),
            calls: Slab::default(),
            random,
        }
    }

    /// The compiled configuration in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Applies a configuration.
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
        let list = &self.candidates[need];
        if list.is_empty() {
            return Err(NoTarget::NotConfigured);
        }
        let target = list[self.random.random_range(0..list.len())];
        Ok(Choice {
            target,
            zone: self.table.target(target).map_or(ZoneKey(0), |it| it.zone),
            version: self.table.version(),
            mode: Mode::Normal,
            step: ZoneReason::OwnZone,
            own_zone_score: None,
            compared: [None; 3],
        })
    }

    /// Starts a call, whatever the load of its target.
    pub fn begin(&mut self, target: TargetKey, now: Duration) -> Option<CallKey> {
        Some(CallKey(self.calls.insert((target, now))))
    }

    /// Ends a call. Its outcome is ignored.
    pub fn finish(&mut self, call: CallKey, _outcome: Outcome, now: Duration) -> Option<Finished> {
        let (target, started) = self.calls.remove(call.0)?;
        Some(Finished {
            target,
            latency: now.saturating_sub(started),
            turned_cold: false,
        })
    }

    /// Ignores the load report.
    pub fn report(&mut self, _target: TargetKey, _report: LoadReport, _now: Duration) {}
}

impl Admission {
    /// Starts the request at once.
    pub fn offer(
        &mut self,
        _ask: &AdmissionRequest<'_>,
        _latencies: &Latencies,
        _now: Duration,
    ) -> Result<Admitted, Refused> {
        Ok(Admitted::Start(Ticket(self.running.insert(()))))
    }

    /// Ends a request. No action follows, because requests never wait.
    pub fn finish(&mut self, ticket: Ticket, _now: Duration) -> Vec<Action> {
        self.running.remove(ticket.0);
        Vec::new()
    }
}

impl Budget {
    /// Ignores the success, because retries are not limited by a budget.
    pub fn success(&mut self) {}

    /// Retries any error until the attempts are used up.
    pub fn retry(&mut self, failure: FailedCall) -> Result<(), Denied> {
        if failure.attempts < MAX_ATTEMPTS {
            Ok(())
        } else {
            Err(Denied::Attempts)
        }
    }

    /// Never hedges.
    pub fn hedge(&mut self, _slow: SlowCall) -> Result<(), Denied> {
        Err(Denied::Budget)
    }
}
