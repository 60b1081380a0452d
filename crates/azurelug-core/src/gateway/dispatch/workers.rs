//! A dispatcher's view of its targets: running calls, speed, and capacity for results.

mod results;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_types::id::{TargetName, ZoneName};

use self::results::HeldResult;
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

/// Fraction of the configured result capacity that is used. Sizes of results are approximate.
const ROOM_FRACTION: f64 = 0.92;

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
}
