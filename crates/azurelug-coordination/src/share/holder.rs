use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{Answer, Need, Request, Timing};
use crate::lease::{Identity, drift_safe_wait};

/// One daemon's slots and calls in flight.
#[derive(Debug)]
pub struct Holder {
    identity: Identity,
    timing: Timing,
    epoch: u64,
    applied: u64,
    sequence: u64,
    heard: u64,
    valid_until: Duration,
    sent: VecDeque<(u64, Duration)>,
    targets: BTreeMap<u32, Target>,
    /// Base shares are closed until calls of an earlier start of the daemon have
    /// ended, because no grantor counts these.
    base_opens_at: Duration,
    is_base_open: bool,
    /// Running calls, by the time at which their slots are freed without a report.
    calls: BTreeSet<(Duration, u64, u32)>,
    last_call: u64,
}

#[derive(Debug, Default)]
struct Target {
    /// Base share of the configuration.
    configured: u32,
    /// Base share in force.
    base: u32,
    /// Base slots that running calls may occupy; above `base` only while calls
    /// from before a reduction are still running.
    base_held: u32,
    leased: u32,
    in_flight: u32,
    wanted: u32,
    /// The first request that reports the target as cold.
    cold_since: Option<u64>,
    reported: Report,
    /// The first request that carries `reported`.
    reported_since: u64,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Report {
    wanted: u32,
    in_use: u32,
}

/// The permission for one call. Return it with [`Holder::end`] when the call
/// has ended at the target.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot {
    target: u32,
    call: u64,
    frees_at: Duration,
}

/// Why a call may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// All slots of the daemon at the target are in use.
    #[error("no slot left at the target; route to another target or wait for a renewal")]
    NoSlot,
    /// The time to the deadline is longer than the longest call.
    #[error("the deadline is later than the longest call; shorten it")]
    TooLong,
}

impl Target {
    fn in_use(&self) -> u32 {
        self.in_flight.saturating_sub(self.base_held)
    }

    /// Counts calls above a reduced base share under the leased slots, as far as
    /// these are valid and free.
    fn settle_base(&mut self, leased: u32) {
        let occupied = self.in_flight.saturating_sub(leased);
        self.base_held = self.base_held.min(occupied).max(self.base);
    }

    fn valid_slots(&self, lease_is_valid: bool) -> u32 {
        if lease_is_valid && self.cold_since.is_none() {
            self.leased
        } else {
            0
        }
    }
}

impl Holder {
    /// Requests kept to match their answers; at one every 500 ms they span twice
    /// the length of a lease.
    const SENT_LIMIT: usize = 8;

    /// A holder without slots. Base shares open after the longest call, when the
    /// calls of an earlier start of the daemon have ended.
    pub fn new(now: Duration, identity: Identity, timing: Timing) -> Self {
        Self {
            identity,
            timing,
            epoch: 0,
            applied: 0,
            sequence: 0,
            heard: 0,
            valid_until: Duration::ZERO,
            sent: VecDeque::new(),
            targets: BTreeMap::new(),
            base_opens_at: now + drift_safe_wait(timing.longest_call),
            is_base_open: false,
            calls: BTreeSet::new(),
            last_call: 0,
        }
    }

    /// Sets the base share from the configuration in force. After a reduction, the
    /// slots may move to another daemon once [`Holder::is_base_settled`].
    pub fn set_base(&mut self, target: u32, base: u32) {
        let target = self.targets.entry(target).or_default();
        target.configured = base;
        if self.is_base_open {
            target.base = base;
            target.settle_base(0);
        }
    }

    /// Whether all running calls fit the current base share and leased slots,
    /// including those of an earlier start of the daemon.
    pub fn is_base_settled(&self, target: u32) -> bool {
        let is_settled = self
            .targets
            .get(&target)
            .is_none_or(|target| target.base_held == target.base);
        is_settled && self.is_base_open
    }

    /// Whether base shares are open: no call of an earlier start of the daemon can still run.
    pub fn is_base_open(&self) -> bool {
        self.is_base_open
    }

    /// Sets how many calls the daemon could run at the target now, including those
    /// in flight.
    pub fn set_demand(&mut self, target: u32, calls: u32) {
        self.targets.entry(target).or_default().wanted = calls;
    }

    /// Reports a cold start of the target: only the base share is used until the
    /// grantor has answered a request with the report. Call it once for each cold
    /// start; each report makes the grantor fall back to the cold limit.
    pub fn report_cold_start(&mut self, target: u32) {
        let next = self.sequence + 1;
        self.targets
            .entry(target)
            .or_default()
            .cold_since
            .get_or_insert(next);
    }

    /// Calls that may be in flight at the target now.
    pub fn allowed(&self, now: Duration, target: u32) -> u32 {
        let Some(target) = self.targets.get(&target) else {
            return 0;
        };
        target.base + target.valid_slots(now < self.valid_until)
    }

    /// The time at which the lease ends unless it is renewed.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// Epoch of the grantor that sent the latest applied answer, or 0.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Calls that count as in flight at the target.
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
        self.last_call += 1;
        let slot = Slot {
            target,
            call: self.last_call,
            frees_at: now + drift_safe_wait(time_left),
        };
        self.calls.insert((slot.frees_at, slot.call, target));
        self.targets.entry(target).or_default().in_flight += 1;
        Ok(slot)
    }

    /// Returns the slot of a call that has ended at the target. A call whose
    /// connection failed may still run: drop its slot, which is then freed after
    /// the deadline.
    #[allow(clippy::needless_pass_by_value, reason = "a slot is returned once")]
    pub fn end(&mut self, slot: Slot) {
        if self.calls.remove(&(slot.frees_at, slot.call, slot.target)) {
            self.free_slot(slot.target);
        }
    }

    /// Frees the slots of calls whose deadline has passed. Called by
    /// [`Holder::request`] as well.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&call) = self.calls.first().filter(|call| call.0 <= now) {
            self.calls.remove(&call);
            self.free_slot(call.2);
        }
    }

    fn free_slot(&mut self, target: u32) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.in_flight -= 1;
            target.settle_base(0);
        }
    }

    /// The next renewal; send it at once.
    pub fn request(&mut self, now: Duration) -> Request {
        self.expire(now);
        if !self.is_base_open && now >= self.base_opens_at {
            self.is_base_open = true;
            for target in self.targets.values_mut() {
                target.base = target.configured;
            }
        }
        self.sequence += 1;
        let sequence = self.sequence;
        if self.sent.len() == Self::SENT_LIMIT {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
        let heard = self.heard;
        let lease_is_valid = now < self.valid_until;
        let needs = self.targets.iter_mut().filter_map(|(&id, target)| {
            target.settle_base(target.valid_slots(lease_is_valid));
            let in_use = target.in_use();
            let wanted = target.wanted.saturating_sub(target.base).max(in_use);
            let report = Report { wanted, in_use };
            if report != target.reported {
                target.reported = report;
                target.reported_since = sequence;
            }
            let cold = target.cold_since.is_some();
            let changed = target.reported_since > heard || cold;
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
            let is_idle = target.wanted == 0 && target.cold_since.is_none();
            !(is_unused && is_idle && target.reported_since <= heard)
        });
        Request {
            holder: self.identity,
            sequence,
            epoch: self.epoch,
            applied: self.applied,
            basis: heard,
            needs,
        }
    }

    /// Applies an answer. Late and repeated answers have no effect.
    pub fn answer(&mut self, answer: &Answer) {
        let position = (answer.epoch, answer.number);
        if answer.holder != self.identity || position <= (self.epoch, self.applied) {
            return;
        }
        let Some(&(_, sent)) = self
            .sent
            .iter()
            .find(|(number, _)| *number == answer.sequence)
        else {
            return;
        };
        self.epoch = answer.epoch;
        self.applied = answer.number;
        self.heard = answer.heard;
        self.valid_until = sent + self.timing.term;
        for target in self.targets.values_mut() {
            if answer.full {
                target.leased = 0;
            }
            if target.cold_since.is_some_and(|since| since <= answer.heard) {
                target.cold_since = None;
            }
        }
        for &(id, slots) in &answer.slots {
            self.targets.entry(id).or_default().leased = slots;
        }
    }
}
