//! Events that change which targets are available: load reports, lease grants, VMs that leave, and
//! outlier ejections.

use std::cmp::Reverse;
use std::time::Duration;

use azurelug_types::config::State;
use azurelug_types::id::TargetKey;

use super::Router;
use super::choice::{TargetState, Unused};
use super::pool::{Pool, Run};
use super::prefix::CacheEvent;
use crate::lease_mode::Mode;
use crate::outlier;
use crate::slow_start::{LoadReport, Phase};

impl Router {
    /// Applies a load report. Reports older than the last one or older than five seconds are
    /// ignored.
    pub fn report(&mut self, target: TargetKey, report: LoadReport, now: Duration) {
        let Some(slot) = self.slots.get_mut(target.0 as usize) else {
            return;
        };
        if !slot.load.report(report.calls, report.taken_at, now) {
            return;
        }
        let part = slot.slow_start.allowance(self.settings.position, target.0);
        slot.slow_start.report(&report, part, now);
        self.prefixes.engine(target, report.start_stamp);
        self.refresh(target, now);
    }

    /// Applies a cache event of a target.
    pub fn cache_event(&mut self, target: TargetKey, event: &CacheEvent, now: Duration) {
        if self.table.target(target).is_some() {
            self.prefixes.event(target, event, now);
        }
    }

    /// Applies the answer to a poll of a target's cache events: the events that its engine has
    /// published since `cache_next`, in any order. Entries from before a gap are dropped, because a
    /// lost event may have removed them; entries stored after the gap are used again.
    pub fn cache_answer(
        &mut self,
        target: TargetKey,
        start_stamp: u64,
        events: &[CacheEvent],
        now: Duration,
    ) {
        if self.table.target(target).is_some() {
            self.prefixes.answer(target, start_stamp, events, now);
        }
    }

    /// Sequence number of the next cache event to request from a target.
    #[must_use]
    pub fn cache_next(&self, target: TargetKey) -> u64 {
        self.table
            .target(target)
            .map_or(0, |_| self.prefixes.next(target))
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
        if let Some(slot) = self.slots.get_mut(target.0 as usize) {
            slot.granted = slots;
            self.refresh(target, now);
        }
    }

    /// Targets that are in cold start and have not begun to warm up.
    #[must_use]
    pub fn cold(&self) -> Vec<TargetKey> {
        let is_cold =
            |key: &TargetKey| self.slots[key.0 as usize].slow_start.phase() == Phase::Cold;
        self.table
            .targets()
            .map(|(key, _)| key)
            .filter(is_cold)
            .collect()
    }

    /// Sets whether the platform lists the target's VM as leaving.
    pub fn set_leaving(&mut self, target: TargetKey, leaving: bool, now: Duration) {
        if let Some(slot) = self.slots.get_mut(target.0 as usize) {
            slot.leaving = leaving;
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
        let slot = self.slots.get(target.0 as usize);
        is_drained_here || !self.table.in_service(target) || slot.is_some_and(|it| it.leaving)
    }

    /// Runs outlier detection on each group of targets. To be called about once a second, because
    /// the cost grows with the number of targets.
    pub fn tick(&mut self, now: Duration) {
        self.wake(now);
        let mut groups: Vec<Vec<TargetKey>> = vec![Vec::new(); self.table.groups()];
        for (key, entry) in self.table.targets() {
            if self.table.in_service(key) {
                groups[entry.group as usize].push(key);
            }
        }
        for group in groups {
            let mut records: Vec<_> = group
                .iter()
                .map(|key| std::mem::take(&mut self.slots[key.0 as usize].record))
                .collect();
            let mut borrowed: Vec<_> = records.iter_mut().collect();
            let ejected = outlier::judge(&mut borrowed, now);
            for (key, record) in group.iter().zip(records) {
                self.slots[key.0 as usize].record = record;
            }
            for (position, _) in ejected {
                self.refresh(group[position], now);
            }
        }
    }

    /// Returns the reasons why a target receives no new calls; empty if it does receive them.
    #[must_use]
    pub fn why_unused(&self, target: TargetKey, now: Duration) -> Vec<Unused> {
        let Some(entry) = self.table.target(target) else {
            return vec![Unused::Unknown];
        };
        let slot = &self.slots[target.0 as usize];
        let mut reasons = Vec::new();
        if entry.state == State::Draining {
            reasons.push(Unused::TargetDraining);
        }
        if self.table.zones()[entry.zone.0 as usize].state == State::Draining {
            reasons.push(Unused::ZoneDraining);
        }
        if self.locally_drained.contains(&entry.zone) {
            reasons.push(Unused::ZoneDrainedLocally);
        }
        match self.mode {
            Mode::Refuse => reasons.push(Unused::NoLease),
            Mode::Degraded if self.own_zone != Some(entry.zone) => {
                reasons.push(Unused::OtherZoneWithoutLease);
            }
            _ => {}
        }
        if slot.leaving {
            reasons.push(Unused::Leaving);
        }
        if let Some(until) = slot.record.ejected_until(now) {
            reasons.push(Unused::Ejected {
                until_ms: until.as_millis() as u64,
            });
        }
        let slots = slot.allowance(self.settings.position, target);
        if slot.load.own() >= slots {
            reasons.push(Unused::NoSlots {
                own: slot.load.own(),
                slots,
            });
        }
        if slot.is_full(now) {
            reasons.push(Unused::Full {
                own: slot.load.own(),
                others: slot.load.others(now).unwrap_or(0),
                limit: slot.slow_start.level(),
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
                let slot = &self.slots[key.0 as usize];
                TargetState {
                    name: entry.name.clone(),
                    zone: self.table.zones()[entry.zone.0 as usize].name.clone(),
                    own: slot.load.own(),
                    others: slot.load.others(now),
                    limit: slot.slow_start.level(),
                    phase: slot.slow_start.phase(),
                    granted: slot.granted,
                    cache_complete: self.prefixes.is_complete(key),
                    median_us: slot.record.median().map(|(median, _)| median),
                    unused: self.why_unused(key, now),
                }
            })
            .collect()
    }

    /// This daemon's calls in flight at a target.
    #[must_use]
    pub fn in_flight(&self, target: TargetKey) -> u32 {
        self.slots
            .get(target.0 as usize)
            .map_or(0, |slot| slot.load.own())
    }

    /// Total slots that this daemon may use for a need, over all targets that accept new calls. The
    /// cost grows with the number of targets; meant for the capacity of admission control, about
    /// once a second.
    #[must_use]
    pub fn slots(&self, need: super::Need<'_>, now: Duration) -> u32 {
        let Some(need) = self.table.need(need) else {
            return 0;
        };
        let zones = 0..self.table.zones().len();
        zones
            .flat_map(|zone| self.pools[self.table.list(need, zone)].members())
            .filter(|key| self.is_allowed(**key) && self.is_healthy(**key, now))
            .map(|key| self.slots[key.0 as usize].allowance(self.settings.position, *key))
            .sum()
    }

    /// Targets of the own zone that may receive new calls, regardless of the lease mode and of
    /// their free slots.
    #[must_use]
    pub fn own_zone(&self, now: Duration) -> Vec<TargetKey> {
        let is_own = |zone| self.own_zone == Some(zone) && !self.locally_drained.contains(&zone);
        self.table
            .targets()
            .filter(|(key, entry)| is_own(entry.zone) && self.table.in_service(*key))
            .map(|(key, _)| key)
            .filter(|key| self.is_healthy(*key, now))
            .collect()
    }

    fn is_healthy(&self, target: TargetKey, now: Duration) -> bool {
        let slot = &self.slots[target.0 as usize];
        !slot.leaving && slot.record.ejected_until(now).is_none()
    }

    /// Updates the availability of targets whose ejection or load report has expired.
    pub(super) fn wake(&mut self, now: Duration) {
        while let Some(Reverse((at, target))) = self.due.peek().copied()
            && at <= now
        {
            self.due.pop();
            if (target.0 as usize) < self.slots.len() {
                self.refresh(target, now);
            }
        }
    }

    /// Recomputes a target's availability and moves it to the matching segment of its pools.
    pub(super) fn refresh(&mut self, target: TargetKey, now: Duration) {
        let index = target.0 as usize;
        let slot = &self.slots[index];
        let ejected = slot.record.ejected_until(now);
        let full = slot.is_full(now);
        let available = !slot.places.is_empty()
            && !slot.leaving
            && ejected.is_none()
            && !full
            && slot.load.own() < slot.allowance(self.settings.position, target);
        let expiry = slot.load.report_expiry().filter(|_| full);
        if let Some(due) = ejected.into_iter().chain(expiry).min() {
            self.wake_at(target, due, now);
        }
        let slot = &self.slots[index];
        let is_cold = slot.slow_start.phase() == Phase::Cold;
        if is_cold != slot.is_cold {
            for (pool, _) in &slot.places {
                self.pools[*pool].count_cold(is_cold);
            }
            self.slots[index].is_cold = is_cold;
        } else if available == slot.available {
            return;
        }
        self.slots[index].available = available;
        let run = match (available, is_cold) {
            (true, false) => Run::Warm,
            (true, true) => Run::Cold,
            (false, _) => Run::Out,
        };
        for place in 0..self.slots[index].places.len() {
            let (pool, position) = self.slots[index].places[place];
            let slots = &mut self.slots;
            let moved_to = self.pools[pool].place(position, run, |other, position| {
                let places = &mut slots[other.0 as usize].places;
                if let Some(entry) = places.iter_mut().find(|(it, _)| *it == pool) {
                    entry.1 = position;
                }
            });
            self.slots[index].places[place].1 = moved_to;
        }
    }

    /// Schedules an availability check of a target at `due`, unless an earlier one is pending. That
    /// one schedules the next when it runs, so there is about one entry per target.
    fn wake_at(&mut self, target: TargetKey, due: Duration, now: Duration) {
        let planned = &mut self.slots[target.0 as usize].wake_at;
        if planned.is_none_or(|at| at <= now || due < at) {
            *planned = Some(due);
            self.due.push(Reverse((due, target)));
        }
    }

    pub(super) fn refresh_all(&mut self, now: Duration) {
        for index in 0..self.slots.len() {
            self.refresh(TargetKey(index as u32), now);
        }
    }

    /// Builds the pools of a new table. Targets that are not in service are in no pool.
    pub(super) fn rebuild_pools(&mut self, now: Duration) {
        self.pools = vec![Pool::default(); self.table.lists()];
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let key = TargetKey(index as u32);
            slot.places.clear();
            slot.available = false;
            slot.is_cold = false;
            let Some(entry) = self.table.target(key) else {
                continue;
            };
            if !self.table.in_service(key) {
                continue;
            }
            for list in &entry.lists {
                slot.places.push((*list, self.pools[*list].add(key)));
            }
        }
        self.refresh_all(now);
    }
}
