//! Events that change which targets are available: load reports, lease grants, VMs that leave, and
//! outlier ejections.

use std::cmp::Reverse;
use std::time::Duration;

use azurelug_types::config::State;
use azurelug_types::id::TargetKey;

use super::Router;
use super::choice::{TargetState, UnavailableReason};
use super::pool::{Pool, Segment};
use super::prefix::CacheEvent;
use crate::lease_mode::Mode;
use crate::outlier;
use crate::slow_start::{LoadReport, Phase};

impl Router {
    /// Applies a load report. Reports older than the last one or older than five seconds are
    /// ignored.
    pub fn report(&mut self, target: TargetKey, report: LoadReport, now: Duration) {
        let Some(runtime) = self.runtimes.get_mut(target.0 as usize) else {
            return;
        };
        if !runtime
            .load
            .apply_report(report.calls, report.taken_at, now)
        {
            return;
        }
        let part = runtime
            .slow_start
            .allowance(self.settings.position, target.0);
        runtime.slow_start.apply_report(&report, part, now);
        self.prefixes.update_engine(target, report.start_stamp);
        self.refresh(target, now);
    }

    /// Applies a cache event of a target.
    pub fn apply_cache_event(&mut self, target: TargetKey, event: &CacheEvent, now: Duration) {
        if self.table.target(target).is_some() {
            self.prefixes.apply_event(target, event, now);
        }
    }

    /// Applies the answer to a poll of a target's cache events: the events that its engine has
    /// published since `next_cache_sequence`, in any order. Entries from before a gap are dropped, because a
    /// lost event may have removed them; entries stored after the gap are used again.
    pub fn apply_cache_poll(
        &mut self,
        target: TargetKey,
        start_stamp: u64,
        events: &[CacheEvent],
        now: Duration,
    ) {
        if self.table.target(target).is_some() {
            self.prefixes.apply_poll(target, start_stamp, events, now);
        }
    }

    /// Sequence number of the next cache event to request from a target.
    #[must_use]
    pub fn next_cache_sequence(&self, target: TargetKey) -> u64 {
        self.table
            .target(target)
            .map_or(0, |_| self.prefixes.next_sequence(target))
    }

    /// Replaces a target's cached blocks by the complete list as of `sequence`. Returns whether the
    /// list was recent enough to be used.
    pub fn cache_resync(
        &mut self,
        target: TargetKey,
        start_stamp: u64,
        sequence: u64,
        blocks: &[u64],
        now: Duration,
    ) -> bool {
        self.table.target(target).is_some()
            && self
                .prefixes
                .resync(target, start_stamp, sequence, blocks, now)
    }

    /// Targets whose cache events have a gap and that therefore need a resync.
    pub fn needs_resync(&self) -> impl Iterator<Item = TargetKey> {
        self.table
            .targets()
            .map(|(key, _)| key)
            .filter(|key| !self.prefixes.is_complete(*key))
    }

    /// Sets the slots granted under a lease; `None` if shares are not used for the target. When a
    /// grant expires, the caller sets the base share instead.
    pub fn grant(&mut self, target: TargetKey, slots: Option<u32>, now: Duration) {
        if let Some(runtime) = self.runtimes.get_mut(target.0 as usize) {
            runtime.granted = slots;
            self.refresh(target, now);
        }
    }

    /// Targets that are in cold start and have not begun to warm up.
    #[must_use]
    pub fn cold_targets(&self) -> Vec<TargetKey> {
        let is_cold =
            |key: &TargetKey| self.runtimes[key.0 as usize].slow_start.phase() == Phase::Cold;
        self.table
            .targets()
            .map(|(key, _)| key)
            .filter(is_cold)
            .collect()
    }

    /// Sets whether the platform lists the target's VM as leaving.
    pub fn set_leaving(&mut self, target: TargetKey, leaving: bool, now: Duration) {
        if let Some(runtime) = self.runtimes.get_mut(target.0 as usize) {
            runtime.leaving = leaving;
            self.refresh(target, now);
        }
    }

    /// Whether a target is being taken out of service: drained, removed, or on a VM that is
    /// leaving.
    #[must_use]
    pub fn is_leaving(&self, target: TargetKey) -> bool {
        let is_drained_here = self
            .table
            .target(target)
            .is_some_and(|entry| self.locally_drained.contains(&entry.zone));
        let runtime = self.runtimes.get(target.0 as usize);
        is_drained_here || !self.table.in_service(target) || runtime.is_some_and(|it| it.leaving)
    }

    /// Runs outlier detection on each group of targets. To be called about once a second, because
    /// the cost grows with the number of targets.
    pub fn tick(&mut self, now: Duration) {
        self.run_due_checks(now);
        let mut groups: Vec<Vec<TargetKey>> = vec![Vec::new(); self.table.group_count()];
        for (key, entry) in self.table.targets() {
            if self.table.in_service(key) {
                groups[entry.group as usize].push(key);
            }
        }
        for group in groups {
            let mut group_stats: Vec<_> = group
                .iter()
                .map(|key| std::mem::take(&mut self.runtimes[key.0 as usize].stats))
                .collect();
            let mut borrowed: Vec<_> = group_stats.iter_mut().collect();
            let ejected = outlier::eject_outliers(&mut borrowed, now);
            for (key, stats) in group.iter().zip(group_stats) {
                self.runtimes[key.0 as usize].stats = stats;
            }
            for (position, _) in ejected {
                self.refresh(group[position], now);
            }
        }
    }

    /// Returns the reasons why a target receives no new calls; empty if it does receive them.
    #[must_use]
    pub fn unavailable_reasons(&self, target: TargetKey, now: Duration) -> Vec<UnavailableReason> {
        let Some(entry) = self.table.target(target) else {
            return vec![UnavailableReason::Unknown];
        };
        let runtime = &self.runtimes[target.0 as usize];
        let mut reasons = Vec::new();
        if entry.state == State::Draining {
            reasons.push(UnavailableReason::TargetDraining);
        }
        if self.table.zones()[entry.zone.0 as usize].state == State::Draining {
            reasons.push(UnavailableReason::ZoneDraining);
        }
        if self.locally_drained.contains(&entry.zone) {
            reasons.push(UnavailableReason::ZoneDrainedLocally);
        }
        match self.mode {
            Mode::Refuse => reasons.push(UnavailableReason::NoLease),
            Mode::Degraded if self.own_zone != Some(entry.zone) => {
                reasons.push(UnavailableReason::OtherZoneWithoutLease);
            }
            _ => {}
        }
        if runtime.leaving {
            reasons.push(UnavailableReason::Leaving);
        }
        if let Some(until) = runtime.stats.ejected_until(now) {
            reasons.push(UnavailableReason::Ejected {
                until_ms: until.as_millis() as u64,
            });
        }
        let slots = runtime.allowance(self.settings.position, target);
        if runtime.load.own() >= slots {
            reasons.push(UnavailableReason::NoSlots {
                own: runtime.load.own(),
                slots,
            });
        }
        if runtime.is_full(now) {
            reasons.push(UnavailableReason::Full {
                own: runtime.load.own(),
                others: runtime.load.others(now).unwrap_or(0),
                limit: runtime.slow_start.current_limit(),
            });
        }
        reasons
    }

    /// Returns the state of every target.
    #[must_use]
    pub fn dump(&self, now: Duration) -> Vec<TargetState> {
        self.table
            .targets()
            .map(|(key, entry)| {
                let runtime = &self.runtimes[key.0 as usize];
                TargetState {
                    name: entry.name.clone(),
                    zone: self.table.zones()[entry.zone.0 as usize].name.clone(),
                    own: runtime.load.own(),
                    others: runtime.load.others(now),
                    limit: runtime.slow_start.current_limit(),
                    phase: runtime.slow_start.phase(),
                    granted: runtime.granted,
                    cache_complete: self.prefixes.is_complete(key),
                    median_us: runtime.stats.median().map(|(median, _)| median),
                    unused: self.unavailable_reasons(key, now),
                }
            })
            .collect()
    }

    /// This daemon's calls in flight at a target.
    #[must_use]
    pub fn in_flight(&self, target: TargetKey) -> u32 {
        self.runtimes
            .get(target.0 as usize)
            .map_or(0, |runtime| runtime.load.own())
    }

    /// Total slots that this daemon may use for a need, over all targets that accept new calls. The
    /// cost grows with the number of targets; meant for the capacity of admission control, about
    /// once a second.
    #[must_use]
    pub fn total_slots(&self, need: super::Requirement<'_>, now: Duration) -> u32 {
        let Some(need) = self.table.need(need) else {
            return 0;
        };
        let zones = 0..self.table.zones().len();
        zones
            .flat_map(|zone| self.pools[self.table.list_index(need, zone)].members())
            .filter(|key| self.is_allowed(**key) && self.is_healthy(**key, now))
            .map(|key| self.runtimes[key.0 as usize].allowance(self.settings.position, *key))
            .sum()
    }

    /// Targets of the own zone that may receive new calls, regardless of the lease mode and of
    /// their free slots.
    #[must_use]
    pub fn healthy_targets_in_own_zone(&self, now: Duration) -> Vec<TargetKey> {
        let is_own = |zone| self.own_zone == Some(zone) && !self.locally_drained.contains(&zone);
        self.table
            .targets()
            .filter(|(key, entry)| is_own(entry.zone) && self.table.in_service(*key))
            .map(|(key, _)| key)
            .filter(|key| self.is_healthy(*key, now))
            .collect()
    }

    fn is_healthy(&self, target: TargetKey, now: Duration) -> bool {
        let runtime = &self.runtimes[target.0 as usize];
        !runtime.leaving && runtime.stats.ejected_until(now).is_none()
    }

    /// Updates the availability of targets whose ejection or load report has expired.
    pub(super) fn run_due_checks(&mut self, now: Duration) {
        while let Some(Reverse((at, target))) = self.scheduled_checks.peek().copied()
            && at <= now
        {
            self.scheduled_checks.pop();
            if (target.0 as usize) < self.runtimes.len() {
                self.refresh(target, now);
            }
        }
    }

    /// Recomputes a target's availability and moves it to the matching segment of its pools.
    pub(super) fn refresh(&mut self, target: TargetKey, now: Duration) {
        let index = target.0 as usize;
        let runtime = &self.runtimes[index];
        let ejected = runtime.stats.ejected_until(now);
        let full = runtime.is_full(now);
        let available = !runtime.pool_positions.is_empty()
            && !runtime.leaving
            && ejected.is_none()
            && !full
            && runtime.load.own() < runtime.allowance(self.settings.position, target);
        let expiry = runtime.load.report_expiry().filter(|_| full);
        if let Some(due) = ejected.into_iter().chain(expiry).min() {
            self.schedule_check(target, due, now);
        }
        let runtime = &self.runtimes[index];
        let is_cold = runtime.slow_start.phase() == Phase::Cold;
        if is_cold != runtime.is_cold {
            for (pool, _) in &runtime.pool_positions {
                self.pools[*pool].count_cold(is_cold);
            }
            self.runtimes[index].is_cold = is_cold;
        } else if available == runtime.available {
            return;
        }
        self.runtimes[index].available = available;
        let segment = match (available, is_cold) {
            (true, false) => Segment::Warm,
            (true, true) => Segment::Cold,
            (false, _) => Segment::Unavailable,
        };
        for membership in 0..self.runtimes[index].pool_positions.len() {
            let (pool, position) = self.runtimes[index].pool_positions[membership];
            let runtimes = &mut self.runtimes;
            let moved_to = self.pools[pool].move_to(position, segment, |other, position| {
                let pool_positions = &mut runtimes[other.0 as usize].pool_positions;
                if let Some(entry) = pool_positions.iter_mut().find(|(it, _)| *it == pool) {
                    entry.1 = position;
                }
            });
            self.runtimes[index].pool_positions[membership].1 = moved_to;
        }
    }

    /// Schedules an availability check of a target at `due`, unless an earlier one is pending. That
    /// one schedules the next when it runs, so there is about one entry per target.
    fn schedule_check(&mut self, target: TargetKey, due: Duration, now: Duration) {
        let scheduled = &mut self.runtimes[target.0 as usize].next_check;
        if scheduled.is_none_or(|at| at <= now || due < at) {
            *scheduled = Some(due);
            self.scheduled_checks.push(Reverse((due, target)));
        }
    }

    pub(super) fn refresh_all(&mut self, now: Duration) {
        for index in 0..self.runtimes.len() {
            self.refresh(TargetKey(index as u32), now);
        }
    }

    /// Builds the pools of a new table. Targets that are not in service are in no pool.
    pub(super) fn rebuild_pools(&mut self, now: Duration) {
        self.pools = vec![Pool::default(); self.table.list_count()];
        for (index, runtime) in self.runtimes.iter_mut().enumerate() {
            let key = TargetKey(index as u32);
            runtime.pool_positions.clear();
            runtime.available = false;
            runtime.is_cold = false;
            let Some(entry) = self.table.target(key) else {
                continue;
            };
            if !self.table.in_service(key) {
                continue;
            }
            for list in &entry.lists {
                runtime
                    .pool_positions
                    .push((*list, self.pools[*list].add(key)));
            }
        }
        self.refresh_all(now);
    }
}
