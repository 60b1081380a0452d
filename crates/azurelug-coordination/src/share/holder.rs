use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{Answer, Need, Request, Timing};
use crate::lease::{Identity, drift_safe_wait};

/// Tracks the slots and the calls in flight of one daemon.
#[derive(Debug)]
pub struct Holder {
    identity: Identity,
    timing: Timing,
    epoch: u64,
    applied_answer: u64,
    last_sequence: u64,
    acknowledged_request: u64,
    valid_until: Duration,
    sent_requests: VecDeque<(u64, Duration)>,
    targets: BTreeMap<u32, Target>,
    /// Base shares can't be used until the calls of the daemon's previous process have
    /// ended, because no grantor counts those calls.
    base_opens_at: Duration,
    is_base_open: bool,
    /// Running calls as (expiry of the slot, call id, target), ordered by expiry.
    running_calls: BTreeSet<(Duration, u64, u32)>,
    last_call_id: u64,
}

#[derive(Debug, Default)]
struct Target {
    /// Base share of the configuration.
    configured: u32,
    /// Base share that can be used now.
    base: u32,
    /// Base slots that running calls may occupy. It exceeds `base` only while calls
    /// that started before a reduction of the base share are still running.
    base_occupancy: u32,
    leased: u32,
    in_flight: u32,
    wanted: u32,
    /// Sequence number of the first request that reports the target as cold.
    cold_reported_in: Option<u64>,
    last_report: Report,
    /// Sequence number of the first request that contains `last_report`.
    first_reported_in: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Report {
    wanted: u32,
    in_use: u32,
}

/// A permit for one call. Return it with [`Holder::end`] when the call has ended
/// at the target.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot {
    target: u32,
    call_id: u64,
    expires_at: Duration,
}

/// Why a call may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// All slots of the daemon at the target are in use.
    #[error("no slot left at the target; route to another target or wait for a renewal")]
    NoSlot,
    /// The remaining time to the deadline exceeds [`Timing::longest_call`].
    #[error("the deadline is later than the longest call; shorten it")]
    TooLong,
}

impl Target {
    fn in_use(&self) -> u32 {
        self.in_flight.saturating_sub(self.base_occupancy)
    }

    /// Reassigns calls that exceed a reduced base share to leased slots. `leased` is
    /// the number of leased slots that can be used now.
    fn update_base_occupancy(&mut self, leased: u32) {
        let occupied = self.in_flight.saturating_sub(leased);
        self.base_occupancy = self.base_occupancy.min(occupied).max(self.base);
    }

    fn usable_leased_slots(&self, lease_is_valid: bool) -> u32 {
        if lease_is_valid && self.cold_reported_in.is_none() {
            self.leased
        } else {
            0
        }
    }
}

impl Holder {
    /// Maximum number of sent requests that are kept to match their answers. With one
    /// request every 500 ms, they cover twice the length of a lease.
    const MAX_SENT_REQUESTS: usize = 8;

    /// Creates a holder without slots. Base shares can be used after the duration of the
    /// longest call, when the calls of the daemon's previous process have ended.
    pub fn new(now: Duration, identity: Identity, timing: Timing) -> Self {
        Self {
            identity,
            timing,
            epoch: 0,
            applied_answer: 0,
            last_sequence: 0,
            acknowledged_request: 0,
            valid_until: Duration::ZERO,
            sent_requests: VecDeque::new(),
            targets: BTreeMap::new(),
            base_opens_at: now + drift_safe_wait(timing.longest_call),
            is_base_open: false,
            running_calls: BTreeSet::new(),
            last_call_id: 0,
        }
    }

    /// Sets the base share from the current configuration. After a reduction, the
    /// slots may be assigned to another daemon once [`Holder::is_base_settled`] is true.
    pub fn set_base(&mut self, target: u32, base: u32) {
        let target = self.targets.entry(target).or_default();
        target.configured = base;
        if self.is_base_open {
            target.base = base;
            target.update_base_occupancy(0);
        }
    }

    /// Whether all running calls, including those of the daemon's previous process, fit
    /// into the current base share and the leased slots.
    pub fn is_base_settled(&self, target: u32) -> bool {
        let is_settled = self
            .targets
            .get(&target)
            .is_none_or(|target| target.base_occupancy == target.base);
        is_settled && self.is_base_open
    }

    /// Whether base shares can be used, because no call of the daemon's previous process
    /// can still be running.
    pub fn is_base_open(&self) -> bool {
        self.is_base_open
    }

    /// Sets the daemon's current demand at the target: its calls in flight and those
    /// that it could start now.
    pub fn set_demand(&mut self, target: u32, calls: u32) {
        self.targets.entry(target).or_default().wanted = calls;
    }

    /// Reports a cold start of the target. Only the base share is used until the
    /// grantor has answered a request that contains the report. Call it once per cold
    /// start, because each report makes the grantor fall back to the cold limit.
    pub fn report_cold_start(&mut self, target: u32) {
        let next_sequence = self.last_sequence + 1;
        self.targets
            .entry(target)
            .or_default()
            .cold_reported_in
            .get_or_insert(next_sequence);
    }

    /// Maximum number of calls that may be in flight at the target now.
    pub fn allowed(&self, now: Duration, target: u32) -> u32 {
        let Some(target) = self.targets.get(&target) else {
            return 0;
        };
        target.base + target.usable_leased_slots(now < self.valid_until)
    }

    /// The time at which the lease expires unless it is renewed.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// Epoch of the grantor that sent the latest applied answer, or 0.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of calls at the target whose slots are neither returned nor expired.
    pub fn in_flight(&self, target: u32) -> u32 {
        self.targets
            .get(&target)
            .map_or(0, |target| target.in_flight)
    }

    /// Acquires a slot for a call that ends after `time_left` at the latest. Call it
    /// immediately before the first byte is sent, with a fresh clock reading.
    pub fn start(
        &mut self,
        now: Duration,
        target: u32,
        time_left: Duration,
    ) -> Result<Slot, Refusal> {
        if time_left > self.timing.longest_call {
            return Err(Refusal::TooLong);
        }
        if self.in_flight(target) >= self.allowed(now, target) {
            return Err(Refusal::NoSlot);
        }
        self.last_call_id += 1;
        let slot = Slot {
            target,
            call_id: self.last_call_id,
            expires_at: now + drift_safe_wait(time_left),
        };
        self.running_calls
            .insert((slot.expires_at, slot.call_id, target));
        self.targets.entry(target).or_default().in_flight += 1;
        Ok(slot)
    }

    /// Returns the slot of a call that has ended at the target. A call whose
    /// connection failed may still be running: drop its slot instead, which is then
    /// freed after the deadline.
    #[allow(clippy::needless_pass_by_value, reason = "a slot is returned once")]
    pub fn end(&mut self, slot: Slot) {
        if self
            .running_calls
            .remove(&(slot.expires_at, slot.call_id, slot.target))
        {
            self.free_slot(slot.target);
        }
    }

    /// Frees the slots of calls whose deadline has passed. [`Holder::request`] also
    /// calls it.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&call) = self.running_calls.first().filter(|call| call.0 <= now) {
            self.running_calls.remove(&call);
            self.free_slot(call.2);
        }
    }

    fn free_slot(&mut self, target: u32) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.in_flight -= 1;
            target.update_base_occupancy(0);
        }
    }

    /// Creates the next renewal request. Send it immediately, because the lease counts
    /// from `now`.
    pub fn request(&mut self, now: Duration) -> Request {
        self.expire(now);
        if !self.is_base_open && now >= self.base_opens_at {
            self.is_base_open = true;
            for target in self.targets.values_mut() {
                target.base = target.configured;
            }
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if self.sent_requests.len() == Self::MAX_SENT_REQUESTS {
            self.sent_requests.pop_front();
        }
        self.sent_requests.push_back((sequence, now));
        let acknowledged = self.acknowledged_request;
        let lease_is_valid = now < self.valid_until;
        let needs = self.targets.iter_mut().filter_map(|(&id, target)| {
            target.update_base_occupancy(target.usable_leased_slots(lease_is_valid));
            let in_use = target.in_use();
            let wanted = target.wanted.saturating_sub(target.base).max(in_use);
            let report = Report { wanted, in_use };
            if report != target.last_report {
                target.last_report = report;
                target.first_reported_in = sequence;
            }
            let cold = target.cold_reported_in.is_some();
            let changed = target.first_reported_in > acknowledged || cold;
            changed.then_some(Need {
                target: id,
                wanted,
                in_use,
                cold,
            })
        });
        let needs = needs.collect();
        self.targets.retain(|_, target| {
            let is_unused = target.configured == 0 && target.in_flight == 0 && target.leased == 0;
            let is_idle = target.wanted == 0 && target.cold_reported_in.is_none();
            !(is_unused && is_idle && target.first_reported_in <= acknowledged)
        });
        Request {
            holder: self.identity,
            sequence,
            epoch: self.epoch,
            applied: self.applied_answer,
            basis: acknowledged,
            needs,
        }
    }

    /// Applies an answer. Outdated and duplicate answers are ignored.
    pub fn answer(&mut self, answer: &Answer) {
        let answer_order = (answer.epoch, answer.number);
        if answer.holder != self.identity || answer_order <= (self.epoch, self.applied_answer) {
            return;
        }
        let Some(&(_, sent_at)) = self
            .sent_requests
            .iter()
            .find(|(sequence, _)| *sequence == answer.sequence)
        else {
            return;
        };
        self.epoch = answer.epoch;
        self.applied_answer = answer.number;
        self.acknowledged_request = answer.heard;
        self.valid_until = sent_at + self.timing.term;
        for target in self.targets.values_mut() {
            if answer.full {
                target.leased = 0;
            }
            if target
                .cold_reported_in
                .is_some_and(|sequence| sequence <= answer.heard)
            {
                target.cold_reported_in = None;
            }
        }
        for &(id, slots) in &answer.slots {
            self.targets.entry(id).or_default().leased = slots;
        }
    }
}
