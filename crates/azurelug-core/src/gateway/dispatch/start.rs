//! Scheduling: which call to start, at which target, and with which pieces.

use std::time::Duration;

use azurelug_types::id::ZoneName;

use super::queue::{CallCapacity, QueuedOrder};
use super::times::Load;
use super::workers::WorkerKey;
use super::{
    Action, CALL_TIMEOUT_FACTOR, CALL_TIMEOUT_MARGIN, Call, CallItem, CallKey, Dispatcher,
    OVERDUE_MARGIN, Token,
};

/// Maximum wait for a target in the local zone instead of a transfer between zones, plus
/// [`CROSS_ZONE_WAIT_PER_MB`] for each megabyte.
const CROSS_ZONE_WAIT: Duration = Duration::from_millis(40);

/// See [`CROSS_ZONE_WAIT`]. A wait of this length rarely makes an answer late, while every megabyte
/// between zones is billed.
const CROSS_ZONE_WAIT_PER_MB: Duration = Duration::from_millis(80);

/// Upper bound of the wait for the local zone: about half of a call. Longer waits often cause late
/// answers.
const MAX_CROSS_ZONE_WAIT: Duration = Duration::from_millis(200);

/// Fraction of the duration of a call over which the call starts of all targets are spread. Below
/// 1, so that targets do not wait for each other when calls take longer than expected.
const SPACING_FRACTION: f64 = 0.9;

/// Fraction of busy targets below which small calls are harmless and are not delayed.
const LOW_LOAD_FRACTION: f64 = 0.3;

impl Dispatcher {
    /// Starts the next call if one should start now.
    pub(super) fn next_call(&mut self, now: Duration) -> Option<Action> {
        if self.queue.load().pieces == 0 || self.delayed_until(now).is_some() {
            return None;
        }
        let sends_ahead = self.sends_ahead();
        let free = self.workers.free(self.batch.slots, sends_ahead, now);
        free.into_iter().find_map(|key| self.start_call(key, now))
    }

    /// Whether calls are sent to targets before their running ones end. Load pattern: in a burst,
    /// full calls are queued, and every gap between two calls of a target is lost capacity.
    pub(super) fn sends_ahead(&self) -> bool {
        self.batch.queue > 0 && self.queue.load().pieces >= self.batch.max_pieces
    }

    /// Returns the time until which a partial call is delayed, if it is. If calls start together,
    /// the first one takes all pieces and the others are almost empty, although each costs its
    /// target the same time. If the starts are spread over the duration of a call, the calls are of
    /// equal size.
    pub(super) fn delayed_until(&self, now: Duration) -> Option<Duration> {
        let load = self.queue.load();
        if load.pieces >= self.batch.max_pieces {
            return None;
        }
        if self.workers.busy_fraction(now) < LOW_LOAD_FRACTION {
            return None;
        }
        let (_, rate) = self.workers.capacity(now)?;
        let call = self.call_time(load);
        let spacing = call.mul_f64(SPACING_FRACTION / rate.max(1.0));
        let until = self.last_start? + spacing;
        let is_urgent = self
            .queue
            .waiting()
            .any(|it| it.due >= now + call && it.due < until + call);
        (now < until && !is_urgent).then_some(until)
    }

    fn start_call(&mut self, key: WorkerKey, now: Duration) -> Option<Action> {
        let worker = self.workers.get(key);
        let slowness = worker.slowness(now);
        let start = worker.call_start(self.batch.slots, now);
        let room = CallCapacity {
            pieces: self.batch.max_pieces,
            bytes: worker.free_room(self.batch.result_capacity),
            start,
            end: start + self.call_time(self.queue.load()).mul_f64(slowness),
        };
        let zone = worker.target.zone.clone();
        let waits = self.zone_waits(now);
        let is_eligible = |waiting: &QueuedOrder| {
            let home = &waiting.order.home;
            let wait = waits.iter().find(|(zone, _)| zone == home);
            zone == *home
                || wait
                    .is_none_or(|(_, wait)| *wait > cross_zone_wait(waiting.order.crossing_bytes))
        };
        let picked = self.queue.pick(room, self.batch.max_pieces, is_eligible);
        if picked.is_empty() {
            return None;
        }
        let usual = self.call_time(self.picked_load(&picked));
        if !self.ends_first(key, usual, now) {
            return None;
        }
        Some(self.create_call(key, &picked, usual.mul_f64(slowness), now))
    }

    /// Whether a call on a target ends earlier than if it waited for another target. Only slow
    /// targets are rejected.
    fn ends_first(&self, key: WorkerKey, usual: Duration, now: Duration) -> bool {
        let worker = self.workers.get(key);
        let start = worker.call_start(self.batch.slots, now);
        let here = start + usual.mul_f64(worker.slowness(now));
        let elsewhere = self.workers.first_free_other(key, now).map(|other| {
            let backlog = self.delay(now).unwrap_or_default();
            other.expected_end.max(now) + usual.mul_f64(other.slowness(now)) + backlog / 2
        });
        elsewhere.is_none_or(|elsewhere| here <= elsewhere + OVERDUE_MARGIN)
    }

    fn create_call(
        &mut self,
        key: WorkerKey,
        picked: &[(Token, usize)],
        expected: Duration,
        now: Duration,
    ) -> Action {
        self.next_call += 1;
        self.last_start = Some(now);
        let call = CallKey(self.next_call);
        let mut items = Vec::with_capacity(picked.len());
        let mut call_items = Vec::with_capacity(picked.len());
        let mut bytes = 0;
        let mut longest_wait = Duration::ZERO;
        for &(token, index) in picked {
            let waiting = self.queue.get_mut(token).expect("it was just picked");
            longest_wait = longest_wait.max(now.saturating_sub(waiting.queued_at));
            waiting.record_start(index);
            bytes += waiting.order.result_bytes;
            call_items.push(CallItem {
                token,
                index,
                kind: waiting.order.kind,
                bytes: waiting.order.result_bytes,
            });
        }
        // Whether the call contains whole orders is known only after all pieces have been marked.
        for item in &call_items {
            let waiting = self.queue.get(item.token).expect("it was just picked");
            items.push(waiting.item(item.index, now));
        }
        let release = self.workers.make_room(key, bytes, &self.batch, now);
        let slots = self.batch.slots;
        let worker = self.workers.get_mut(key);
        let started = worker.call_start(slots, now);
        worker.record_start(started + expected, bytes);
        let target = worker.target.clone();
        self.calls.push(Call {
            key: call,
            worker: key,
            started,
            expected,
            items: call_items,
            bytes,
            is_overdue: false,
        });
        Action::Call {
            call,
            target,
            items,
            release,
            starts_in: started - now,
            expected,
            waiting: self.queue.load().pieces,
            longest_wait,
            limit: expected.mul_f64(CALL_TIMEOUT_FACTOR) + CALL_TIMEOUT_MARGIN,
        }
    }

    /// Returns the wait for a target in each zone, for orders that prefer that zone.
    fn zone_waits(&self, now: Duration) -> Vec<(ZoneName, Duration)> {
        let zones = self.workers.zones(now).into_iter();
        let waits = zones.map(|(zone, first_free, rate)| {
            let own = self.queue.waiting().filter(|it| it.order.home == zone);
            let work = self.full_calls_time(own.map(QueuedOrder::load).sum());
            (zone, first_free + work.div_f64(rate))
        });
        waits.collect()
    }

    fn picked_load(&self, picked: &[(Token, usize)]) -> Load {
        let orders = picked
            .iter()
            .filter_map(|(token, _)| self.queue.get(*token));
        let loads = orders.map(|order| Load {
            pieces: 1,
            time: order.piece_time(),
        });
        loads.sum()
    }
}

/// Returns the maximum wait for a target in the local zone that avoids a transfer of `bytes`.
fn cross_zone_wait(bytes: u64) -> Duration {
    let wait = CROSS_ZONE_WAIT + CROSS_ZONE_WAIT_PER_MB.mul_f64(bytes as f64 / 1e6);
    wait.min(MAX_CROSS_ZONE_WAIT)
}
