//! A dispatcher's view of its targets: running calls, speed, and capacity for results.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_types::deployment::Batch;
use azurelug_types::id::{TargetName, ZoneName};

use super::Released;
use super::reported::Reported;

/// Index into the arena of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct WorkerKey(usize);

/// A target's name, address and zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DispatchTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
}

/// Duration of the first exclusion after a failed call; each further one is twice as long.
const FIRST_EXCLUSION: Duration = Duration::from_millis(800);

/// Consecutive failures after which the exclusion stops growing, at 13 s.
const MAX_DOUBLINGS: u32 = 4;

/// Pause after a target was at capacity, about a fifth of a call.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// How long before the expected end of a call the next one is sent to its target, where it waits.
/// Covers the preceding release of results and the transfer of the call, during which the target
/// would otherwise be idle.
pub(super) const SEND_AHEAD: Duration = Duration::from_millis(30);

/// Weight of the newest call in the moving average of a target's slowness.
const NEWEST_WEIGHT: f64 = 0.5;

/// Half-life of the decay of the slowness to the usual speed, so that a target that was slow is
/// tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

/// Upper bound of the slowness of a target.
const MAX_SLOWNESS: f64 = 12.0;

/// Fraction of a target's result capacity up to which released results are kept, because a retried
/// piece needs its inputs again. Results are often larger than configured.
const RELEASED_FRACTION: f64 = 0.6;

/// Fraction of the configured result capacity that is used. Sizes of results are approximate.
const ROOM_FRACTION: f64 = 0.92;

/// Assumed lifetime of unknown results, in full calls. Known ones are released after about as long:
/// their own call, a wait, and the start of the next stage's call.
const UNKNOWN_LIFETIME_CALLS: f64 = 2.0;

/// Upper bound of that lifetime, as a fraction of the configured lifetime of results.
const UNKNOWN_LIFETIME_FRACTION: f64 = 0.5;

/// Interval between sweeps of expired results. Most results are released before they expire.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// State of one target.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) target: DispatchTarget,
    is_listed: bool,
    /// Whether a roll-out allows no call to its version now.
    is_held_back: bool,
    /// Calls in progress.
    pub(super) running: u32,
    /// Expected end of the call in progress.
    pub(super) expected_end: Duration,
    /// Bytes of results that the target holds or is producing.
    pub(super) held_bytes: u64,
    /// Released results that the target still holds, oldest first, and their total size.
    released: Vec<String>,
    released_bytes: u64,
    slowness: f64,
    measured_at: Duration,
    reported: Option<Reported>,
    excluded_until: Duration,
    failures: u32,
}

impl Worker {
    fn new(target: DispatchTarget) -> Self {
        Self {
            target,
            is_listed: true,
            is_held_back: false,
            running: 0,
            expected_end: Duration::ZERO,
            held_bytes: 0,
            released: Vec::new(),
            released_bytes: 0,
            slowness: 1.0,
            measured_at: Duration::ZERO,
            reported: None,
            excluded_until: Duration::ZERO,
            failures: 0,
        }
    }

    fn is_usable(&self, now: Duration) -> bool {
        self.is_listed && !self.is_held_back && now >= self.excluded_until
    }

    /// Running calls, and 1 if results are stored that are still needed.
    pub(super) fn pending(&self) -> u64 {
        let has_results = self.held_bytes > self.released_bytes;
        u64::from(self.running) + u64::from(has_results)
    }

    /// Whether a call can be sent to the target: now if it is free, or, with `sends_ahead`, shortly
    /// before its running call ends. A target whose call is overdue may have failed and gets none.
    fn accepts_call(&self, slots: u32, sends_ahead: bool, now: Duration) -> bool {
        let slots = slots.max(1);
        let ends_soon =
            self.expected_end <= now + SEND_AHEAD && now <= self.expected_end + SEND_AHEAD;
        self.running < slots || (sends_ahead && self.running == slots && ends_soon)
    }

    /// Start time of a call that is sent now.
    pub(super) fn call_start(&self, slots: u32, now: Duration) -> Duration {
        if self.running < slots.max(1) {
            now
        } else {
            self.expected_end.max(now)
        }
    }

    /// Time until the target can start the next call.
    fn time_until_free(&self, now: Duration) -> Duration {
        if self.running == 0 {
            Duration::ZERO
        } else {
            self.expected_end.saturating_sub(now)
        }
    }

    pub(super) fn record_start(&mut self, expected_end: Duration, bytes: u64) {
        self.running += 1;
        self.expected_end = expected_end;
        self.held_bytes += bytes;
    }

    /// Duration of calls relative to the usual one, with decay.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        let learned = self.learned_slowness(now);
        self.reported.map_or(learned, |it| it.at(learned, now))
    }

    fn learned_slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * decay
    }

    pub(super) fn record_success(&mut self, elapsed: Duration, expected: Duration, now: Duration) {
        self.failures = 0;
        self.update_slowness(elapsed, expected, now);
    }

    /// Free capacity for results in bytes; none if it is unlimited.
    pub(super) fn free_room(&self, room: u64) -> Option<u64> {
        let usable = room as f64 * ROOM_FRACTION;
        let needed = self.held_bytes.saturating_sub(self.released_bytes);
        (room > 0).then(|| (usable as u64).saturating_sub(needed))
    }

    pub(super) fn record_refusal(&mut self, closed: Duration, now: Duration) {
        self.excluded_until = self.excluded_until.max(now + closed.max(FULL_PAUSE));
    }

    pub(super) fn record_failure(&mut self, elapsed: Duration, expected: Duration, now: Duration) {
        if elapsed > expected {
            self.update_slowness(elapsed, expected, now);
        }
        let exclusion = FIRST_EXCLUSION * (1 << self.failures.min(MAX_DOUBLINGS));
        self.excluded_until = now + exclusion;
        self.failures += 1;
    }

    /// Records that a running call is overdue.
    pub(super) fn record_overdue(&mut self, elapsed: Duration, expected: Duration, now: Duration) {
        self.update_slowness(elapsed, expected, now);
        self.expected_end = now + elapsed;
    }

    fn update_slowness(&mut self, elapsed: Duration, expected: Duration, now: Duration) {
        let known = self.learned_slowness(now);
        // Without a report this is the usual time. A call as slow as reported leaves what is known.
        let usual = expected.as_secs_f64() / known;
        let newest = (elapsed.as_secs_f64() / usual.max(0.001)).clamp(1.0, MAX_SLOWNESS);
        self.slowness = known + (newest - known) * NEWEST_WEIGHT;
        self.measured_at = now;
    }
}

#[derive(Debug)]
struct HeldResult {
    worker: WorkerKey,
    bytes: u64,
    until: Duration,
    is_released: bool,
}

/// All targets, including unlisted ones with a call in progress.
#[derive(Debug, Default)]
pub(super) struct Workers {
    workers: Vec<Worker>,
    results: HashMap<String, HeldResult>,
    /// Number of abandoned calls.
    abandoned_calls: u64,
    /// Results released at their targets, and until when they are remembered.
    recently_released: HashMap<String, Duration>,
    /// Time of the next sweep of expired results.
    next_expiry: Duration,
}

impl Workers {
    pub(super) fn list(&mut self, targets: &[DispatchTarget]) {
        for worker in &mut self.workers {
            worker.is_listed = targets.contains(&worker.target);
        }
        for target in targets {
            if !self.workers.iter().any(|worker| worker.target == *target) {
                self.insert(Worker::new(target.clone()));
            }
        }
    }

    /// Sets the targets that get no call now.
    pub(super) fn hold_back(&mut self, names: &[TargetName]) {
        for worker in &mut self.workers {
            worker.is_held_back = names.contains(&worker.target.name);
        }
    }

    /// All targets, including those that are not listed any more.
    pub(super) fn all(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    /// Adds a target to the arena, in the place of a removed one if possible.
    fn insert(&mut self, worker: Worker) {
        let results = &self.results;
        let is_gone = |(position, it): &(usize, &Worker)| {
            let has_results = || results.values().any(|held| held.worker.0 == *position);
            !it.is_listed && it.running == 0 && !has_results()
        };
        match self.workers.iter().enumerate().find(is_gone) {
            Some((position, _)) => self.workers[position] = worker,
            None => self.workers.push(worker),
        }
    }

    pub(super) fn report_slowness(&mut self, name: &TargetName, percent: u16, now: Duration) {
        let listed = self.workers.iter_mut().filter(|worker| worker.is_listed);
        for worker in listed.filter(|worker| worker.target.name == *name) {
            worker.reported = Some(Reported::new(percent, now));
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(|worker| worker.is_listed)
    }

    pub(super) fn get_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.workers[key.0]
    }

    pub(super) fn get(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0]
    }

    /// Returns the targets that a call can be sent to now, idle and fast ones first. With
    /// `sends_ahead`, targets whose running call is about to end are included.
    pub(super) fn free(&self, slots: u32, sends_ahead: bool, now: Duration) -> Vec<WorkerKey> {
        let workers = self.workers.iter().enumerate();
        let free =
            workers.filter(|(_, it)| it.is_usable(now) && it.accepts_call(slots, sends_ahead, now));
        let mut free: Vec<(usize, &Worker)> = free.collect();
        free.sort_by(|(_, a), (_, b)| {
            let idle = a.running.cmp(&b.running);
            let speed = a.slowness(now).total_cmp(&b.slowness(now));
            idle.then(speed).then(a.held_bytes.cmp(&b.held_bytes))
        });
        free.into_iter()
            .map(|(position, _)| WorkerKey(position))
            .collect()
    }

    /// Time at which the next target can get a call ahead of the end of its running one.
    pub(super) fn next_send_ahead(&self, now: Duration) -> Option<Duration> {
        let running = self.workers.iter().filter(|it| it.running > 0);
        let times = running.map(|it| it.expected_end.saturating_sub(SEND_AHEAD));
        times.filter(|at| *at > now).min()
    }

    /// Returns the other target that is free first.
    pub(super) fn first_free_other(&self, key: WorkerKey, now: Duration) -> Option<&Worker> {
        let workers = self.workers.iter().enumerate();
        let others = workers.filter(|(at, it)| *at != key.0 && it.is_usable(now));
        others
            .map(|(_, worker)| worker)
            .min_by_key(|worker| worker.expected_end.max(now))
    }

    /// For each zone, the time until its first target is free and the capacity of its targets, in
    /// targets of usual speed.
    pub(super) fn zones(&self, now: Duration) -> Vec<(ZoneName, Duration, f64)> {
        let mut zones: Vec<(ZoneName, Duration, f64)> = Vec::new();
        for worker in self.workers.iter().filter(|it| it.is_usable(now)) {
            let free = worker.time_until_free(now);
            let rate = 1.0 / worker.slowness(now);
            let known = zones
                .iter_mut()
                .find(|(zone, ..)| *zone == worker.target.zone);
            match known {
                Some((_, first_free, sum)) => {
                    *first_free = free.min(*first_free);
                    *sum += rate;
                }
                None => zones.push((worker.target.zone.clone(), free, rate)),
            }
        }
        zones
    }

    /// The targets that admission counts, with the time until each can start a call: the usable
    /// ones. If there are none, those whose pause is so short that orders wait for its end, since a
    /// service that is at capacity for a moment has not lost its targets.
    fn available(&self, now: Duration) -> impl Iterator<Item = (&Worker, Duration)> {
        let is_any_usable = self.workers.iter().any(|it| it.is_usable(now));
        let latest = now
            + if is_any_usable {
                Duration::ZERO
            } else {
                FULL_PAUSE
            };
        let available = self.workers.iter().filter(move |it| it.is_usable(latest));
        available.map(move |worker| {
            let pause = worker.excluded_until.saturating_sub(now);
            (worker, worker.time_until_free(now).max(pause))
        })
    }

    /// Time until the first target is free, and the total capacity in targets of usual speed.
    pub(super) fn capacity(&self, now: Duration) -> Option<(Duration, f64)> {
        let mut first_free = None;
        let mut rate = 0.0;
        for (worker, free) in self.available(now) {
            first_free = Some(first_free.map_or(free, |first: Duration| first.min(free)));
            rate += 1.0 / worker.slowness(now);
        }
        Some((first_free?, rate))
    }

    /// Whether all targets are excluded for longer than the pause after one was at capacity, which
    /// means that all failed.
    pub(super) fn all_failed(&self, now: Duration) -> bool {
        let usable_soon = |it: &Worker| it.is_listed && it.excluded_until <= now + FULL_PAUSE;
        !self.workers.iter().any(usable_soon)
    }

    /// Remaining time of the calls in progress and of short pauses, summed over the targets.
    pub(super) fn busy_time(&self, now: Duration) -> Duration {
        self.available(now).map(|(_, free)| free).sum()
    }

    /// Fraction of the usable targets that have a call in progress.
    pub(super) fn busy_fraction(&self, now: Duration) -> f64 {
        let usable = self.workers.iter().filter(|it| it.is_usable(now));
        let (busy, all) = usable.fold((0, 0), |(busy, all), it| {
            (busy + u32::from(it.running > 0), all + 1)
        });
        f64::from(busy) / f64::from(all.max(1))
    }

    /// Time at which the first exclusion of a target ends.
    pub(super) fn next_exclusion_end(&self, now: Duration) -> Option<Duration> {
        let excluded = self.workers.iter().filter(|it| it.is_listed);
        let times = excluded.map(|it| it.excluded_until);
        times.filter(|until| *until > now).min()
    }

    /// Records that a target had room for no more than `produced` bytes. The rest of its capacity
    /// is in use by unknown results: those of a terminated dispatcher, or results larger than
    /// configured.
    pub(super) fn record_no_room(
        &mut self,
        key: WorkerKey,
        produced: u64,
        batch: &Batch,
        now: Duration,
    ) {
        let worker = &mut self.workers[key.0];
        worker.excluded_until = worker.excluded_until.max(now + FULL_PAUSE);
        let room = (batch.result_capacity as f64 * ROOM_FRACTION) as u64;
        let unknown = room.saturating_sub(worker.held_bytes + produced);
        let pieces = u32::try_from(batch.max_pieces).unwrap_or(u32::MAX);
        let call = batch.call_time + batch.piece_time * pieces;
        let longest = batch.result_lifetime.mul_f64(UNKNOWN_LIFETIME_FRACTION);
        let until = now + call.mul_f64(UNKNOWN_LIFETIME_CALLS).min(longest);
        self.add_unknown_result(key, unknown, until);
    }

    /// Whether an earlier answer contained a result.
    pub(super) fn knows_result(&self, handle: &str) -> bool {
        self.results.contains_key(handle) || self.recently_released.contains_key(handle)
    }

    /// Accounts for results with unknown handles, because their call was abandoned. The target may
    /// still produce them.
    pub(super) fn add_unknown_result(&mut self, worker: WorkerKey, bytes: u64, until: Duration) {
        self.abandoned_calls += 1;
        let name = format!("lost/{}", self.abandoned_calls);
        self.add_result(worker, &name, bytes, until);
    }

    pub(super) fn add_result(
        &mut self,
        worker: WorkerKey,
        handle: &str,
        bytes: u64,
        until: Duration,
    ) {
        self.workers[worker.0].held_bytes += bytes;
        let held = HeldResult {
            worker,
            bytes,
            until,
            is_released: false,
        };
        self.results.insert(handle.to_owned(), held);
    }

    /// Marks results as released. Returns those to release at their targets immediately, because
    /// another dispatcher ordered them and their size is not accounted for here.
    pub(super) fn release(
        &mut self,
        results: &[Released],
        batch: &Batch,
        now: Duration,
    ) -> Vec<(DispatchTarget, Vec<String>)> {
        self.expire(now);
        let mut unknown: Vec<(DispatchTarget, Vec<String>)> = Vec::new();
        for result in results {
            if self.recently_released.contains_key(&result.handle) {
                continue;
            }
            if let Some(held) = self.results.get_mut(&result.handle) {
                // Looked up by key: a restarted target may reuse the address of an earlier one.
                let maker = &mut self.workers[held.worker.0];
                if !std::mem::replace(&mut held.is_released, true) {
                    maker.released.push(result.handle.clone());
                    maker.released_bytes += held.bytes;
                }
                continue;
            }
            let is_maker = |it: &&Worker| it.is_listed && it.target.address == result.maker;
            let Some(maker) = self.workers.iter().find(is_maker) else {
                continue;
            };
            let until = now + batch.result_lifetime;
            self.recently_released.insert(result.handle.clone(), until);
            match unknown
                .iter_mut()
                .find(|(target, _)| *target == maker.target)
            {
                Some((_, handles)) => handles.push(result.handle.clone()),
                None => unknown.push((maker.target.clone(), vec![result.handle.clone()])),
            }
        }
        unknown
    }

    /// Removes released results of a target to make room for `bytes` more; returns the handles that
    /// have to be released there.
    pub(super) fn make_room(
        &mut self,
        key: WorkerKey,
        bytes: u64,
        batch: &Batch,
        now: Duration,
    ) -> Vec<String> {
        let limit = (batch.result_capacity as f64 * RELEASED_FRACTION) as u64;
        let worker = &mut self.workers[key.0];
        let mut freed = 0;
        let count = worker
            .released
            .iter()
            .take_while(|handle| {
                let is_needed = worker.held_bytes + bytes > limit + freed;
                freed += self.results.get(*handle).map_or(0, |held| held.bytes);
                is_needed
            })
            .count();
        let handles: Vec<String> = worker.released.drain(..count).collect();
        for handle in &handles {
            if let Some(held) = self.results.remove(handle) {
                worker.held_bytes = worker.held_bytes.saturating_sub(held.bytes);
                worker.released_bytes = worker.released_bytes.saturating_sub(held.bytes);
            }
            let until = now + batch.result_lifetime;
            self.recently_released.insert(handle.clone(), until);
        }
        handles
    }

    /// Removes expired results.
    pub(super) fn expire(&mut self, now: Duration) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.recently_released.retain(|_, until| *until > now);
        let workers = &mut self.workers;
        self.results.retain(|_, held| {
            let is_live = held.until > now;
            if !is_live {
                let worker = &mut workers[held.worker.0];
                worker.held_bytes = worker.held_bytes.saturating_sub(held.bytes);
                if held.is_released {
                    worker.released_bytes = worker.released_bytes.saturating_sub(held.bytes);
                }
            }
            is_live
        });
        for worker in workers {
            let results = &self.results;
            worker
                .released
                .retain(|handle| results.contains_key(handle));
        }
    }
}
