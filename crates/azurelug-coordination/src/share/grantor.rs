mod list;
mod member;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use list::List;
use member::Member;

use super::demand::Demand;
use super::{Answer, Capacity, Need, Request, Timing};
use crate::lease::{Identity, drift_safe_wait};

/// Divides the limits of a zone's targets among holders.
#[derive(Debug)]
pub struct Grantor {
    timing: Timing,
    limits: Limits,
    epoch: u64,
    opens_at: Duration,
    number: u64,
    members: BTreeMap<Identity, Member>,
    targets: BTreeMap<u32, Target>,
    member_timers: BTreeSet<(Duration, Identity)>,
    pending_timers: BTreeSet<(Duration, Identity, u32)>,
    /// The holders that may be granted slots; `None` if the grantor uses no list.
    list: Option<List>,
}

/// Limits of a grantor's state.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of holders, including those that stopped within the settling
    /// time.
    pub holders: usize,
    /// Maximum number of targets.
    pub targets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            holders: 1_024,
            targets: 4_096,
        }
    }
}

#[derive(Debug, Default)]
struct Target {
    capacity: Option<Capacity>,
    demand: Demand,
    /// Leased slots that may be in use, over all members.
    exposed: u64,
    /// Holders with demand and without a slot, longest wait first.
    queue: BTreeSet<(Duration, Identity)>,
    entries: u32,
}

#[derive(Debug, Default)]
struct Entry {
    wanted: u32,
    in_use: u32,
    slots: u32,
    /// The answer that first carried `slots`.
    changed: u64,
    /// When the entry last gained its first slot or lost its last one.
    occupancy_changed_at: Duration,
    pending: Option<Pending>,
    demanded: u32,
    exposed: u32,
    /// When the entry joined the target's queue.
    queued: Option<Duration>,
}

/// A withdrawal of slots that the holder has not acknowledged and may still use.
#[derive(Debug, Clone, Copy)]
struct Pending {
    slots: u32,
    /// The answer whose acknowledgement completes the withdrawal.
    until: u64,
    /// The time after which it is complete without an acknowledgement.
    retires_at: Duration,
}

impl Entry {
    fn set_slots(&mut self, slots: u32, now: Duration, number: u64, retires_at: Duration) {
        if slots < self.slots {
            let old_slots = self.pending.map_or(0, |pending| pending.slots);
            let old_retires_at = self
                .pending
                .map_or(retires_at, |pending| pending.retires_at);
            self.pending = Some(Pending {
                slots: old_slots.max(self.slots),
                until: number,
                retires_at: old_retires_at.max(retires_at),
            });
        }
        if (slots == 0) != (self.slots == 0) {
            self.occupancy_changed_at = now;
        }
        if slots != self.slots {
            self.slots = slots;
            self.changed = number;
        }
    }

    fn is_idle(&self, applied: u64) -> bool {
        let unused = self.wanted == 0 && self.in_use == 0 && self.slots == 0;
        unused && self.pending.is_none() && self.changed <= applied
    }
}

impl Target {
    fn pool(&self) -> u32 {
        self.capacity.map_or(0, Capacity::leased)
    }

    /// Updates the target's sums and queue after a change of an entry.
    fn update_sums(&mut self, now: Duration, entry: &mut Entry, holder: Identity, is_active: bool) {
        let demanded = if is_active { entry.wanted } else { 0 };
        self.demand.wanted = self.demand.wanted - u64::from(entry.demanded) + u64::from(demanded);
        self.demand.holders =
            self.demand.holders - u64::from(entry.demanded > 0) + u64::from(demanded > 0);
        entry.demanded = demanded;
        let pending = entry.pending.map_or(0, |pending| pending.slots);
        let exposed = entry.slots.max(entry.in_use).max(pending);
        self.exposed = self.exposed - u64::from(entry.exposed) + u64::from(exposed);
        entry.exposed = exposed;
        let is_waiting = demanded > 0 && entry.slots == 0;
        match entry.queued {
            None if is_waiting => {
                entry.queued = Some(now);
                self.queue.insert((now, holder));
            }
            Some(since) if !is_waiting => {
                entry.queued = None;
                self.queue.remove(&(since, holder));
            }
            _ => {}
        }
    }

    /// The slots that a holder should have now.
    fn slots_for(&self, entry: &Entry, holder: Identity, now: Duration, max_hold: Duration) -> u32 {
        let others = self.exposed - u64::from(entry.exposed);
        let free = u64::from(self.pool()).saturating_sub(others);
        let free = u32::try_from(free).expect("what is free is not larger than the pool");
        let part = match self.demand.allocation(self.pool(), entry.demanded) {
            // More slots than the demand would only cost a message.
            Some(part) if entry.demanded <= entry.slots => part.min(entry.slots),
            Some(part) => part,
            None if entry.slots > 0 => {
                let must_yield =
                    now >= entry.occupancy_changed_at + max_hold && !self.queue.is_empty();
                u32::from(!must_yield)
            }
            None => {
                let first = self.queue.iter().take(free as usize);
                u32::from(first.into_iter().any(|&(_, queued)| queued == holder))
            }
        };
        part.min(free)
    }
}

impl Grantor {
    /// A grantor that has just started. It grants nothing until each lease and
    /// call of an earlier start has ended. `epoch` must be higher than at each
    /// earlier start, and above 0.
    pub fn new(now: Duration, epoch: u64, timing: Timing, limits: Limits) -> Self {
        Self {
            timing,
            limits,
            epoch,
            opens_at: now + timing.settled(),
            number: 0,
            members: BTreeMap::new(),
            targets: BTreeMap::new(),
            member_timers: BTreeSet::new(),
            pending_timers: BTreeSet::new(),
            list: None,
        }
    }

    /// The first grantor of a new system. It grants at once.
    pub fn for_new_system(now: Duration, epoch: u64, timing: Timing, limits: Limits) -> Self {
        Self {
            opens_at: now,
            ..Self::new(now, epoch, timing, limits)
        }
    }

    /// Grants nothing before `at`, when that is later than the settling time.
    pub(crate) fn open_after(&mut self, at: Duration) {
        self.opens_at = self.opens_at.max(at);
    }

    /// Sets a target's capacity. Slots above a lower limit are withdrawn at
    /// the holders' next renewals. Returns whether the target was stored; it is
    /// not when the limit on targets is reached.
    pub fn set_capacity(&mut self, target: u32, capacity: Capacity) -> bool {
        let Some(target) = self.target(target) else {
            return false;
        };
        target.capacity = Some(capacity);
        true
    }

    /// Withdraws all slots of a target.
    pub fn remove_target(&mut self, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.capacity = None;
        }
        self.remove_unused(target);
    }

    /// Leased slots of the target that may be in use. A base share may grow once
    /// this and the new sum of base shares fit the limit.
    pub fn exposed(&self, target: u32) -> u64 {
        self.targets.get(&target).map_or(0, |target| target.exposed)
    }

    /// The target's capacity in force.
    pub fn capacity(&self, target: u32) -> Option<Capacity> {
        self.targets.get(&target)?.capacity
    }

    /// Number of known holders.
    pub fn holders(&self) -> usize {
        self.members.len()
    }

    /// Answers a renewal. Returns `None` for a late or repeated request, when
    /// there are too many holders, or when a later grantor has started. The
    /// targets reported cold are added to `turned_cold`; their limit is reduced
    /// to the cold limit, and the caller raises it again step by step.
    pub fn request(
        &mut self,
        now: Duration,
        request: &Request,
        turned_cold: &mut Vec<u32>,
    ) -> Option<Answer> {
        self.advance(now);
        let holder = request.holder;
        let is_too_long = request.needs.len() > self.limits.targets;
        if request.epoch > self.epoch || request.sequence == 0 || is_too_long {
            return None;
        }
        if !self.members.contains_key(&holder) {
            if self.members.len() >= self.limits.holders {
                return None;
            }
            self.members.insert(holder, Member::new(now, self.number));
            self.member_timers
                .insert((now + drift_safe_wait(self.timing.term), holder));
        }
        let mut member = self
            .members
            .remove(&holder)
            .expect("the member was just added");
        let answer = if request.sequence > member.sequence {
            let was_inactive = !member.is_active;
            if was_inactive {
                self.set_timer(holder, &mut member, now + drift_safe_wait(self.timing.term));
            }
            let heard = member.apply_header(now, request, self.epoch);
            self.apply_needs(now, holder, &mut member, request, turned_cold);
            // The holder has applied an answer of this start, which replaced all earlier slots,
            // and has reported its use since: no use from an earlier start is uncounted.
            if request.epoch == self.epoch && request.applied > member.answers_before {
                self.mark_reported(holder);
            }
            let full = request.epoch != self.epoch || request.applied <= member.answers_before;
            let slots = self.divide(now, &mut member, request, full, was_inactive);
            let Request { sequence, .. } = *request;
            let number = self.number;
            Some(Answer {
                holder,
                epoch: self.epoch,
                number,
                sequence,
                heard,
                full,
                slots,
            })
        } else {
            None
        };
        self.members.insert(holder, member);
        answer
    }

    /// Applies the timers that are due: ended leases, withdrawals and waits. Called by
    /// [`Grantor::request`] as well.
    pub fn advance(&mut self, now: Duration) {
        while let Some(&timer) = self.pending_timers.first().filter(|timer| timer.0 <= now) {
            self.pending_timers.remove(&timer);
            let (at, holder, id) = timer;
            let Some(member) = self.members.get_mut(&holder) else {
                continue;
            };
            let Some(entry) = member.entries.get_mut(&id) else {
                continue;
            };
            if entry
                .pending
                .is_some_and(|pending| pending.retires_at <= at)
            {
                entry.pending = None;
                let target = self.targets.get_mut(&id).expect("an entry has its target");
                target.update_sums(now, entry, holder, member.is_active);
            }
        }
        while let Some(&timer) = self.member_timers.first().filter(|timer| timer.0 <= now) {
            self.member_timers.remove(&timer);
            self.expire_member(now, timer.1);
        }
        if now >= self.opens_at {
            self.stop_waiting();
        }
    }

    /// Withdraws the slots of a member whose lease has ended, and removes the
    /// member once its calls have ended too.
    fn expire_member(&mut self, now: Duration, holder: Identity) {
        let Some(mut member) = self.members.remove(&holder) else {
            return;
        };
        let lease_ends_at = member.answered_at + drift_safe_wait(self.timing.term);
        let settles_at = member.answered_at + self.timing.settled();
        if now >= settles_at {
            for (id, mut entry) in std::mem::take(&mut member.entries) {
                let target = self.targets.get_mut(&id).expect("an entry has its target");
                (entry.slots, entry.in_use, entry.pending) = (0, 0, None);
                target.update_sums(now, &mut entry, holder, false);
                target.entries -= 1;
                self.remove_unused(id);
            }
            self.unlist(holder);
            return;
        }
        if now >= lease_ends_at {
            member.is_active = false;
            for (&id, entry) in &mut member.entries {
                entry.set_slots(0, now, self.number + 1, settles_at);
                self.pending_timers.insert((settles_at, holder, id));
                let target = self.targets.get_mut(&id).expect("an entry has its target");
                target.update_sums(now, entry, holder, false);
            }
            self.set_timer(holder, &mut member, settles_at);
        } else {
            self.set_timer(holder, &mut member, lease_ends_at);
        }
        self.members.insert(holder, member);
    }

    fn set_timer(&mut self, holder: Identity, member: &mut Member, at: Duration) {
        self.member_timers.remove(&(member.timer, holder));
        self.member_timers.insert((at, holder));
        member.timer = at;
    }

    fn apply_needs(
        &mut self,
        now: Duration,
        holder: Identity,
        member: &mut Member,
        request: &Request,
        turned_cold: &mut Vec<u32>,
    ) {
        for &Need {
            target: id,
            wanted,
            in_use,
            cold,
        } in &request.needs
        {
            let Some(target) = self.target(id) else {
                continue;
            };
            if !member.entries.contains_key(&id) {
                target.entries += 1;
            }
            let entry = member.entries.entry(id).or_default();
            (entry.wanted, entry.in_use) = (wanted, in_use);
            if let Some(capacity) = target.capacity.as_mut().filter(|_| cold) {
                capacity.limit = capacity.limit.min(capacity.cold);
                turned_cold.push(id);
            }
            target.update_sums(now, entry, holder, true);
        }
    }

    /// Sets the member's slots and returns those that the holder does not know.
    fn divide(
        &mut self,
        now: Duration,
        member: &mut Member,
        request: &Request,
        full: bool,
        was_inactive: bool,
    ) -> Vec<(u32, u32)> {
        let Request {
            holder, applied, ..
        } = *request;
        self.number += 1;
        let settles_at = member.answered_at + self.timing.settled();
        let is_silent = now >= member.acknowledged_at + drift_safe_wait(self.timing.term);
        let is_closed = !self.is_open(now) || !self.is_listed(holder);
        let mut slots = Vec::new();
        let mut unused = Vec::new();
        for (&id, entry) in &mut member.entries {
            let target = self.targets.get_mut(&id).expect("an entry has its target");
            let is_settled = entry
                .pending
                .is_some_and(|pending| pending.until <= member.applied);
            if is_settled {
                entry.pending = None;
            }
            if is_settled || was_inactive {
                target.update_sums(now, entry, holder, true);
            }
            let share = if is_silent || is_closed {
                0
            } else {
                target.slots_for(entry, holder, now, self.timing.term)
            };
            if share < entry.slots {
                self.pending_timers.insert((settles_at, holder, id));
            }
            if share != entry.slots {
                entry.set_slots(share, now, self.number, settles_at);
                target.update_sums(now, entry, holder, true);
            }
            if (full && share > 0) || (!full && entry.changed > applied) {
                slots.push((id, share));
            } else if entry.is_idle(member.applied) {
                unused.push(id);
            }
        }
        for id in unused {
            member.entries.remove(&id);
            self.targets
                .get_mut(&id)
                .expect("an entry has its target")
                .entries -= 1;
            self.remove_unused(id);
        }
        member.answered_at = now;
        slots
    }

    fn target(&mut self, id: u32) -> Option<&mut Target> {
        let has_room = self.targets.len() < self.limits.targets || self.targets.contains_key(&id);
        has_room.then(|| self.targets.entry(id).or_default())
    }

    fn remove_unused(&mut self, id: u32) {
        if self
            .targets
            .get(&id)
            .is_some_and(|t| t.capacity.is_none() && t.entries == 0)
        {
            self.targets.remove(&id);
        }
    }
}
