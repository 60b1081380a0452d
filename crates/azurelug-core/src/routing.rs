//! Chooses a target for each call.
//!
//! Holds the compiled routing table, the load of each target as this daemon sees it, and the calls
//! in flight. Never starts a call at a target or in a zone that is draining, and never exceeds the
//! concurrency limit of a target.

mod blocks;
mod call;
mod choice;
mod load;
mod observe;
mod pool;
mod prefix;
mod sampling;
mod table;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use azurelug_types::config::Config;
use azurelug_types::id::{TargetKey, ZoneKey, ZoneName};
use rand::RngExt;
use rand_pcg::Pcg32;

pub use crate::slow_start::LoadReport;
pub use blocks::{BLOCK, MAX_BLOCKS, blocks};
pub use call::{CallKey, Completion, Finished, Outcome};
pub use choice::{Candidate, Choice, NoTarget, Query, TargetState, UnavailableReason, ZoneReason};
pub use prefix::{CacheChange, CacheEvent};
pub use table::{Requirement, Table, TargetEntry, ZoneEntry};

use crate::lease_mode::Mode;
use crate::outlier::CallStats;
use crate::slab::Slab;
use crate::slow_start::{DaemonRank, Phase, SlowStart};
use call::Call;
use load::Load;
use pool::Pool;
use prefix::PrefixIndex;
use sampling::sample_targets;

/// Number of excluded targets that a query may name; further ones are ignored.
const MAX_EXCLUDED: usize = 4;
/// Score bonus for a fully cached prefix, as a fraction of the target's limit.
const PREFIX_BONUS: f32 = 0.25;
/// Score penalty for a target in cold start, as a fraction of its limit. Such a target is slow and
/// has a lower limit, so it is used once the warm ones are busier by this much.
const COLD_PENALTY: f32 = 0.5;
/// Minimum score advantage of another zone's target over the best local one. Covers the latency
/// between the zones, and the capacity that is no longer available to that zone's own callers.
const SPILL_MARGIN: f32 = 0.1;
/// Upper bound of the suggested retry delay, used when no availability change is scheduled.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Settings of this daemon's router.
#[derive(Clone, Debug)]
pub struct Settings {
    zone: ZoneName,
    position: DaemonRank,
    spill_threshold: f32,
}

/// State that this daemon keeps for one target.
#[derive(Clone, Debug)]
struct TargetRuntime {
    load: Load,
    slow_start: SlowStart,
    stats: CallStats,
    granted: Option<u32>,
    leaving: bool,
    /// Index of each pool that contains the target, with its position in that pool.
    pool_positions: Vec<(usize, usize)>,
    available: bool,
    /// Whether the target is included in its pools' counts of cold members.
    is_cold: bool,
    /// Time of the earliest scheduled availability check.
    next_check: Option<Duration>,
}

/// Chooses targets for one entry daemon.
#[derive(Clone, Debug)]
pub struct Router {
    settings: Settings,
    random: Pcg32,
    mode: Mode,
    table: Table,
    own_zone: Option<ZoneKey>,
    runtimes: Vec<TargetRuntime>,
    pools: Vec<Pool>,
    /// Calls in flight. Bounded by the sum of the targets' limits, which `begin` enforces.
    calls: Slab<Call>,
    prefixes: PrefixIndex,
    locally_drained: Vec<ZoneKey>,
    /// Scheduled checks of a target's availability, earliest first.
    scheduled_checks: BinaryHeap<Reverse<(Duration, TargetKey)>>,
}

impl Settings {
    /// Settings for a daemon in `zone` that is the only one using its targets.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            position: DaemonRank::ALONE,
            spill_threshold: 0.8,
        }
    }

    /// Sets the daemon's rank among those that share the targets.
    #[must_use]
    pub fn with_position(mut self, position: DaemonRank) -> Self {
        self.position = position;
        self
    }

    /// Sets the score of the best local target above which other zones are considered; 1 is a full
    /// target.
    #[must_use]
    pub fn with_spill_threshold(mut self, threshold: f32) -> Self {
        self.spill_threshold = threshold;
        self
    }
}

impl TargetRuntime {
    fn new(limit: u32, cold_limit: u32) -> Self {
        Self {
            load: Load::default(),
            slow_start: SlowStart::new(limit, cold_limit),
            stats: CallStats::default(),
            granted: None,
            leaving: false,
            pool_positions: Vec::new(),
            available: false,
            is_cold: false,
            next_check: None,
        }
    }

    /// Number of calls that this daemon may have in flight at the target.
    fn allowance(&self, position: DaemonRank, target: TargetKey) -> u32 {
        let part = self.slow_start.allowance(position, target.0);
        self.granted.map_or(part, |granted| granted.min(part))
    }

    /// Whether this daemon's calls and those of the last report together reach the current limit.
    fn is_full(&self, now: Duration) -> bool {
        let others = self.load.others(now).unwrap_or(0);
        self.load.own() + others >= self.slow_start.current_limit()
    }
}

impl Router {
    /// Creates a router without a configuration. It refuses all calls until a configuration is
    /// applied and a lease mode is set.
    #[must_use]
    pub fn new(settings: Settings, random: Pcg32) -> Self {
        Self {
            settings,
            random,
            mode: Mode::default(),
            table: Table::default(),
            own_zone: None,
            runtimes: Vec::new(),
            pools: Vec::new(),
            calls: Slab::default(),
            prefixes: PrefixIndex::default(),
            locally_drained: Vec::new(),
            scheduled_checks: BinaryHeap::new(),
        }
    }

    /// Returns the compiled configuration in use.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Applies a newer configuration and keeps the state of the targets that remain. Clears local
    /// drains. Returns false and changes nothing if the version is not newer than the current one.
    pub fn apply(&mut self, config: &Config, now: Duration) -> bool {
        if config.version <= self.table.version() {
            return false;
        }
        let busy = |key: TargetKey| self.runtimes[key.0 as usize].load.own() > 0;
        let table = Table::compile(config, &self.table, busy);
        self.prefixes.resize(table.arena_len());
        for (key, entry) in table.targets() {
            let known = self.table.matching_key(&entry.name, entry.address) == Some(key);
            match self.runtimes.get_mut(key.0 as usize) {
                Some(runtime) if known => {
                    runtime.slow_start.set_limits(entry.limit, entry.cold_limit);
                }
                Some(runtime) => {
                    *runtime = TargetRuntime::new(entry.limit, entry.cold_limit);
                    self.prefixes.reset(key);
                }
                None => self
                    .runtimes
                    .push(TargetRuntime::new(entry.limit, entry.cold_limit)),
            }
        }
        self.table = table;
        self.own_zone = self.table.zone(&self.settings.zone);
        self.locally_drained.clear();
        self.rebuild_pools(now);
        true
    }

    /// Sets the restriction that follows from the configuration lease.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
    }

    /// Changes this daemon's rank among those that share the targets.
    pub fn set_position(&mut self, position: DaemonRank, now: Duration) {
        self.settings.position = position;
        self.refresh_all(now);
    }

    /// Drains a zone on this daemon only, until a newer configuration is applied. Returns false if
    /// the zone is unknown.
    pub fn drain_locally(&mut self, zone: &ZoneName) -> bool {
        let Some(key) = self.table.zone(zone) else {
            return false;
        };
        if !self.locally_drained.contains(&key) {
            self.locally_drained.push(key);
        }
        true
    }

    /// Chooses a target. The cost depends on the number of zones, not on the number of targets.
    pub fn choose(&mut self, query: &Query<'_>, now: Duration) -> Result<Choice, NoTarget> {
        self.run_due_checks(now);
        match self.mode {
            Mode::Refuse => return Err(NoTarget::NoLease),
            Mode::Degraded if !query.idempotent => return Err(NoTarget::NoQuorum),
            _ => {}
        }
        let need = self.table.need(query.need).ok_or(NoTarget::NotConfigured)?;
        let own = self.own_zone;
        let query = &Query {
            avoid_cold: query.avoid_cold && self.has_warm(need),
            ..*query
        };
        let prefix_match = self.prefix_holder(query, now);
        let local = own.and_then(|zone| self.best_in_zone(need, zone, query, prefix_match, now));
        let own_zone_score = local.and_then(|compared| compared[0]).map(|it| it.score);
        let spill = self.mode == Mode::Normal
            && own_zone_score.is_none_or(|score| score > self.settings.spill_threshold);
        let remote = if spill {
            self.best_in_other_zones(need, query, prefix_match, now)
        } else {
            None
        };
        let (compared, step) = match (local, remote) {
            (Some(local), Some(remote)) if justifies_spill(&remote, &local) => {
                (remote, ZoneReason::SpillBusy)
            }
            (Some(local), _) => (local, ZoneReason::OwnZone),
            (None, Some(remote)) => (remote, ZoneReason::SpillEmpty),
            (None, None) => return Err(self.no_target(need, now)),
        };
        let chosen = compared[0].ok_or(NoTarget::NotConfigured)?.target;
        Ok(Choice {
            target: chosen,
            zone: self
                .table
                .target(chosen)
                .ok_or(NoTarget::NotConfigured)?
                .zone,
            version: self.table.version(),
            mode: self.mode,
            step,
            own_zone_score,
            compared,
        })
    }

    /// Reserves a slot of the target; to be called immediately before the call's first byte is
    /// sent. Returns `None` if the target no longer accepts calls or has no free slot; the caller
    /// then chooses again.
    pub fn begin(&mut self, target: TargetKey, now: Duration) -> Option<CallKey> {
        self.run_due_checks(now);
        let runtime = self.runtimes.get(target.0 as usize)?;
        if !runtime.available || !self.is_allowed(target) {
            return None;
        }
        self.runtimes[target.0 as usize].load.call_started(now);
        self.refresh(target, now);
        let call = Call {
            target,
            started: now,
        };
        Some(CallKey(self.calls.insert(call)))
    }

    /// Releases the slot and updates the target's statistics. A second outcome of the same call is
    /// ignored.
    pub fn finish(&mut self, call: CallKey, outcome: Outcome, now: Duration) -> Option<Finished> {
        let call = self.calls.remove(call.0)?;
        let runtime = &mut self.runtimes[call.target.0 as usize];
        let latency = now.saturating_sub(call.started);
        let sample = outcome.first_token.unwrap_or(latency).as_micros();
        let sample = sample.min(u128::from(u32::MAX)) as u32;
        let part = runtime.allowance(self.settings.position, call.target);
        let mut turned_cold = false;
        match outcome.completion {
            Completion::Success => {
                let median = runtime.stats.median();
                turned_cold = runtime.slow_start.record_success(sample, median, part, now);
                runtime.stats.record_success(sample);
            }
            Completion::Failure => {
                runtime.slow_start.record_failure();
                runtime.stats.record_failure();
            }
            Completion::Broken => {
                turned_cold = runtime.slow_start.phase() != Phase::Cold;
                runtime.slow_start.enter_cold(now);
                runtime.stats.record_failure();
            }
            Completion::TimedOut => {
                runtime.slow_start.record_failure();
                let waited = latency.as_micros().min(u128::from(u32::MAX)) as u32;
                // A call with a short time limit must not lower the target's median.
                let median = runtime.stats.median().map_or(0, |(median, _)| median);
                runtime
                    .stats
                    .record_success(waited.saturating_mul(2).max(median));
            }
            Completion::Cancelled => {}
        }
        runtime.load.call_ended(now);
        self.refresh(call.target, now);
        Some(Finished {
            target: call.target,
            latency,
            turned_cold,
        })
    }

    /// Whether the lease mode and local drains allow new calls to the target.
    fn is_allowed(&self, target: TargetKey) -> bool {
        let Some(zone) = self.table.target(target).map(|it| it.zone) else {
            return false;
        };
        match self.mode {
            Mode::Refuse => false,
            Mode::Degraded if self.own_zone != Some(zone) => false,
            _ => !self.locally_drained.contains(&zone),
        }
    }

    /// Whether the zones that the mode allows have a target that is not in cold start.
    fn has_warm(&self, need: usize) -> bool {
        let zones = 0..self.table.zones().len();
        zones
            .filter(|zone| {
                self.mode == Mode::Normal || self.own_zone == Some(ZoneKey(*zone as u16))
            })
            .any(|zone| self.pools[self.table.list_index(need, zone)].has_warm())
    }

    /// Finds an available target that caches a part of the prefix.
    fn prefix_holder(&mut self, query: &Query<'_>, now: Duration) -> Option<prefix::Match> {
        if query.prefix.is_empty() {
            return None;
        }
        let pick = self.random.random();
        let found = self.prefixes.longest_match(query.prefix, pick, now)?;
        let runtime = &self.runtimes[found.target.0 as usize];
        let usable = runtime.available
            && !(query.avoid_cold && runtime.is_cold)
            && !query.exclude.contains(&found.target);
        usable.then_some(found)
    }

    /// Finds the best candidate of the other zones, with one comparison for each zone.
    fn best_in_other_zones(
        &mut self,
        need: usize,
        query: &Query<'_>,
        prefix_match: Option<prefix::Match>,
        now: Duration,
    ) -> Option<[Option<Candidate>; 3]> {
        let mut best: Option<[Option<Candidate>; 3]> = None;
        for zone in (0..self.table.zones().len() as u16).map(ZoneKey) {
            if Some(zone) == self.own_zone {
                continue;
            }
            let Some(compared) = self.best_in_zone(need, zone, query, prefix_match, now) else {
                continue;
            };
            if best.is_none_or(|best| has_lower_score(&compared, &best)) {
                best = Some(compared);
            }
        }
        best
    }

    /// Compares two random available targets of a zone, and the prefix holder if it is in the zone.
    /// The best candidate comes first.
    fn best_in_zone(
        &mut self,
        need: usize,
        zone: ZoneKey,
        query: &Query<'_>,
        prefix_match: Option<prefix::Match>,
        now: Duration,
    ) -> Option<[Option<Candidate>; 3]> {
        if self.locally_drained.contains(&zone) {
            return None;
        }
        let list = self.table.list_index(need, zone.0 as usize);
        let exclude = &query.exclude[..query.exclude.len().min(MAX_EXCLUDED)];
        let sampled = sample_targets(
            self.pools[list].available(query.avoid_cold),
            &mut self.random,
            2 + exclude.len(),
        );
        let prefix_match = prefix_match.filter(|found| {
            let pool_positions = &self.runtimes[found.target.0 as usize].pool_positions;
            pool_positions.iter().any(|(pool, _)| *pool == list)
        });
        let mut compared = [None; 3];
        let sampled = sampled
            .into_iter()
            .flatten()
            .filter(|target| !exclude.contains(target))
            .take(2);
        let candidates = sampled
            .filter(|target| prefix_match.is_none_or(|found| found.target != *target))
            .map(|target| self.candidate(target, None, query, now))
            .chain(prefix_match.map(|found| self.candidate(found.target, Some(found), query, now)));
        for (entry, candidate) in compared.iter_mut().zip(candidates) {
            *entry = Some(candidate);
        }
        let best = (0..3)
            .filter(|index| compared[*index].is_some())
            .min_by(|left, right| score(&compared[*left]).total_cmp(&score(&compared[*right])))?;
        compared.swap(0, best);
        Some(compared)
    }

    fn candidate(
        &self,
        target: TargetKey,
        found: Option<prefix::Match>,
        query: &Query<'_>,
        now: Duration,
    ) -> Candidate {
        let runtime = &self.runtimes[target.0 as usize];
        let others = runtime.load.others(now);
        let own = runtime.load.own();
        let limit = runtime.slow_start.current_limit();
        let load = (own + others.unwrap_or(0)) as f32 / limit.max(1) as f32;
        let bonus = found.map_or(0.0, |found| {
            PREFIX_BONUS * found.confidence * found.blocks as f32 / query.prefix.len() as f32
        });
        let cold = match runtime.slow_start.phase() {
            Phase::Cold => COLD_PENALTY,
            _ => 0.0,
        };
        Candidate {
            target,
            score: load + cold - bonus,
            own,
            others,
            limit,
            prefix_blocks: found.map_or(0, |found| found.blocks as u32),
        }
    }

    fn no_target(&self, need: usize, now: Duration) -> NoTarget {
        let members: usize = (0..self.table.zones().len())
            .filter(|zone| {
                self.mode == Mode::Normal || self.own_zone == Some(ZoneKey(*zone as u16))
            })
            .map(|zone| {
                self.pools[self.table.list_index(need, zone)]
                    .members()
                    .len()
            })
            .sum();
        if members == 0 {
            return NoTarget::NotConfigured;
        }
        let next = self.scheduled_checks.peek().map(|Reverse((at, _))| *at);
        NoTarget::AllBusy {
            members: members as u32,
            retry_after: next.map_or(RETRY_AFTER, |at| at.saturating_sub(now).min(RETRY_AFTER)),
        }
    }
}

fn score(candidate: &Option<Candidate>) -> f32 {
    candidate.map_or(f32::INFINITY, |candidate| candidate.score)
}

fn has_lower_score(left: &[Option<Candidate>; 3], right: &[Option<Candidate>; 3]) -> bool {
    score(&left[0]) < score(&right[0])
}

fn justifies_spill(remote: &[Option<Candidate>; 3], local: &[Option<Candidate>; 3]) -> bool {
    score(&remote[0]) + SPILL_MARGIN < score(&local[0])
}
