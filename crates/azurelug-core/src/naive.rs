//! The baseline that the decisions are measured against: random choice among the configured
//! targets, no admission control, fixed timeouts, and a retry after any error.
//!
//! Owns nothing but the candidate lists. Has the interface of the real modules and must never be
//! used to serve.

use std::time::Duration;

use azurelug_types::config::Config;
use azurelug_types::id::{TargetKey, ZoneKey};
use rand::RngExt;
use rand_pcg::Pcg32;

use crate::admission::{Action, Ask, Entry, Refused, Ticket};
use crate::latency::Latencies;
use crate::lease_mode::Mode;
use crate::retry::{Denied, Failure, Slow};
use crate::routing::{
    CallKey, Choice, Finished, LoadReport, NoTarget, Outcome, Query, Step, Table,
};
use crate::slab::Slab;

/// Every stage gets this long, whatever is left of the deadline. Longer than any call takes on a
/// normal morning: with 4 s, the baseline lost a quarter of its requests there, which said more
/// about the constant than about fixed timeouts.
pub const TIMEOUT: Duration = Duration::from_secs(9);
/// Attempts at one stage of one request.
const MAX_ATTEMPTS: u16 = 3;

/// Chooses any target in service that has what the call needs.
#[derive(Clone, Debug)]
pub struct Router {
    table: Table,
    lists: Vec<Vec<TargetKey>>,
    calls: Slab<(TargetKey, Duration)>,
    random: Pcg32,
}

/// Starts every request at once.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    running: Slab<()>,
}

/// Repeats every failed call, also one that must not repeat.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget;

impl Router {
    /// A router without a configuration.
    #[must_use]
    pub fn new(random: Pcg32) -> Self {
        Self {
            table: Table::default(),
            lists: Vec::new(),
            calls: Slab::default(),
            random,
        }
    }

    /// The compiled configuration in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Puts a configuration in force.
    pub fn apply(&mut self, config: &Config, _now: Duration) -> bool {
        self.table = Table::compile(config, &self.table, |_| false);
        self.lists = vec![Vec::new(); self.table.needs()];
        for (key, entry) in self.table.targets() {
            if self.table.in_service(key) {
                for need in self.table.needs_of(entry) {
                    self.lists[need].push(key);
                }
            }
        }
        true
    }

    /// Chooses at random.
    pub fn choose(&mut self, query: &Query<'_>, _now: Duration) -> Result<Choice, NoTarget> {
        let need = self.table.need(query.need).ok_or(NoTarget::NotConfigured)?;
        let list = &self.lists[need];
        if list.is_empty() {
            return Err(NoTarget::NotConfigured);
        }
        let target = list[self.random.random_range(0..list.len())];
        Ok(Choice {
            target,
            zone: self.table.target(target).map_or(ZoneKey(0), |it| it.zone),
            version: self.table.version(),
            mode: Mode::Normal,
            step: Step::OwnZone,
            own_zone_score: None,
            compared: [None; 3],
        })
    }

    /// Always allowed.
    pub fn begin(&mut self, target: TargetKey, now: Duration) -> Option<CallKey> {
        Some(CallKey(self.calls.insert((target, now))))
    }

    /// Learns nothing.
    pub fn finish(&mut self, call: CallKey, _outcome: Outcome, now: Duration) -> Option<Finished> {
        let (target, started) = self.calls.remove(call.0)?;
        Some(Finished {
            target,
            latency: now.saturating_sub(started),
            turned_cold: false,
        })
    }

    /// Learns nothing.
    pub fn report(&mut self, _target: TargetKey, _report: LoadReport, _now: Duration) {}
}

impl Admission {
    /// Starts the request.
    pub fn offer(
        &mut self,
        _ask: &Ask<'_>,
        _latencies: &Latencies,
        _now: Duration,
    ) -> Result<Entry, Refused> {
        Ok(Entry::Start(Ticket(self.running.insert(()))))
    }

    /// Nothing ever waits.
    pub fn finish(&mut self, ticket: Ticket, _now: Duration) -> Vec<Action> {
        self.running.remove(ticket.0);
        Vec::new()
    }
}

impl Budget {
    /// Learns nothing.
    pub fn success(&mut self) {}

    /// Retries any error until the attempts are used up.
    pub fn retry(&mut self, failure: Failure) -> Result<(), Denied> {
        if failure.attempts < MAX_ATTEMPTS {
            Ok(())
        } else {
            Err(Denied::Attempts)
        }
    }

    /// Never hedges.
    pub fn hedge(&mut self, _slow: Slow) -> Result<(), Denied> {
        Err(Denied::Budget)
    }
}
