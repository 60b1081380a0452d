//! Scheduling: which call to start, at which target, and with which pieces.

use std::time::Duration;

use azurelug_types::id::ZoneName;

use super::queue::{Room, Waiting};
use super::times::Load;
use super::workers::WorkerKey;
use super::{
    Action, CALL_GRACE, CALL_PATIENCE, Call, CallItem, CallKey, Dispatcher, OVERDUE_GRACE, Token,
};

/// Maximum wait for a target in the local zone instead of a transfer between zones, plus
/// [`CROSSING_PER_MB`] for each megabyte.
const CROSSING: Duration = Duration::from_millis(40);

/// See [`CROSSING`]. A wait of this length rarely makes an answer late, while every megabyte
/// between zones is billed.
const CROSSING_PER_MB: Duration = Duration::from_millis(80);

/// Upper bound of the wait for the local zone: about half of a call. Longer waits often cause late
/// answers.
const MAX_CROSSING: Duration = Duration::from_millis(200);

/// Fraction of the duration of a call over which the call starts of all targets are spread. Below
/// 1, so that targets do not wait for each other when calls take longer than expected.
const SPACING_PART: f64 = 0.9;

/// Fraction of busy targets below which small calls are harmless and are not delayed.
const CALM_PART: f64 = 0.3;

impl Dispatcher {
    /// Starts the next call if one should start now.
    pub(super) fn next_call(&mut self, now: Duration) -> Option<Action> {
        if self.queue.load().pieces == 0 || self.held_until(now).is_some() {
            return None;
        }
        let is_ahead = self.is_ahead();
        let free = self.workers.free(self.batch.slots, is_ahead, now);
        free.into_iter().find_map(|key| self.start_call(key, now))
    }

    /// Whether calls are sent to targets before their running ones end. Load pattern: in a burst,
    /// full calls are queued, and every gap between two calls of a target is lost capacity.
    pub(super) fn is_ahead(&self) -> bool {
        self.batch.queue > 0 && self.queue.load().pieces >= self.batch.max_pieces
    }

    /// Returns the time until which a partial call is delayed, if it is. If calls start together,
    /// the first one takes all pieces and the others are almost empty, although each costs its
    /// target the same time. If the starts are spread over the duration of a call, the calls are of
    /// equal size.
    pub(super) fn held_until(&self, now: Duration) -> Option<Duration> {
        let load = self.queue.load();
        if load.pieces >= self.batch.max_pieces {
            return None;
        }
        if self.workers.busy_part(now) < CALM_PART {
            return None;
        }
        let (_, rate) = self.workers.capacity(now)?;
        let call = self.call_time(load);
        let spacing = call.mul_f64(SPACING_PART / rate.max(1.0));
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
        let start = worker.start_of_call(self.batch.slots, now);
        let room = Room {
            pieces: self.batch.max_pieces,
            bytes: worker.free_room(self.batch.result_room),
            end: start + self.call_time(self.queue.load()).mul_f64(slowness),
        };
        let zone = worker.target.zone.clone();
        let waits = self.zone_waits(now);
        let suits = |waiting: &Waiting| {
            let home = &waiting.order.home;
            let wait = waits.iter().find(|(zone, _)| zone == home);
            zone == *home
                || wait.is_none_or(|(_, wait)| *wait > crossing(waiting.order.crossing_bytes))
        };
        let picked = self.queue.pick(room, self.batch.max_pieces, suits);
        if picked.is_empty() {
            return None;
        }
        let usual = self.call_time(self.picked_load(&picked));
        if !self.is_worth(key, usual, now) {
            return None;
        }
        Some(self.call(key, &picked, usual.mul_f64(slowness), now))
    }

    /// Whether a call on a target ends earlier than if it waited for another target. Only slow
    /// targets are rejected.
    fn is_worth(&self, key: WorkerKey, usual: Duration, now: Duration) -> bool {
        let worker = self.workers.get(key);
        let start = worker.start_of_call(self.batch.slots, now);
        let here = start + usual.mul_f64(worker.slowness(now));
        let elsewhere = self.workers.best_other(key, now).map(|other| {
            let backlog = self.delay(now).unwrap_or_default();
            other.expected_end.max(now) + usual.mul_f64(other.slowness(now)) + backlog / 2
        });
        elsewhere.is_none_or(|elsewhere| here <= elsewhere + OVERDUE_GRACE)
    }

    fn call(
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
        let mut held = Vec::with_capacity(picked.len());
        let mut bytes = 0;
        for &(token, place) in picked {
            let waiting = self.queue.get_mut(token).expect("it was just picked");
            waiting.started(place);
            bytes += waiting.order.result_bytes;
            held.push(CallItem {
                token,
                place,
                kind: waiting.order.kind,
                bytes: waiting.order.result_bytes,
            });
        }
        // Whether the call contains whole orders is known only after all pieces have been marked.
        for item in &held {
            let waiting = self.queue.get(item.token).expect("it was just picked");
            items.push(waiting.item(item.place, now));
        }
        let release = self.workers.make_room(key, bytes, &self.batch, now);
        let slots = self.batch.slots;
        let worker = self.workers.get_mut(key);
        let started = worker.start_of_call(slots, now);
        worker.started(started + expected, bytes);
        let target = worker.target.clone();
        self.calls.push(Call {
            key: call,
            worker: key,
            started,
            expected,
            items: held,
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
            limit: expected.mul_f64(CALL_PATIENCE) + CALL_GRACE,
        }
    }

    /// Returns the wait for a target in each zone, for orders that prefer that zone.
    fn zone_waits(&self, now: Duration) -> Vec<(ZoneName, Duration)> {
        let zones = self.workers.zones(now).into_iter();
        let waits = zones.map(|(zone, first_free, rate)| {
            let own = self.queue.waiting().filter(|it| it.order.home == zone);
            let work = self.whole_calls(own.map(Waiting::load).sum());
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
fn crossing(bytes: u64) -> Duration {
    let wait = CROSSING + CROSSING_PER_MB.mul_f64(bytes as f64 / 1e6);
    wait.min(MAX_CROSSING)
}
