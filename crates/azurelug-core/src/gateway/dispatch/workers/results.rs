//! Results that targets hold until they are released or expire.

use std::time::Duration;

use azurelug_types::deployment::Batch;

use super::{DispatchTarget, FULL_PAUSE, ROOM_FRACTION, Worker, WorkerKey, Workers};
use crate::gateway::dispatch::Released;

/// Fraction of a target's result capacity up to which released results are kept, because a retried
/// piece needs its inputs again. Results are often larger than configured.
const RELEASED_FRACTION: f64 = 0.6;

/// Assumed lifetime of unknown results, in full calls. Known ones are released after about as long:
/// their own call, a wait, and the start of the next stage's call.
const UNKNOWN_LIFETIME_CALLS: f64 = 2.0;

/// Upper bound of that lifetime, as a fraction of the configured lifetime of results.
const UNKNOWN_LIFETIME_FRACTION: f64 = 0.5;

/// Interval between sweeps of expired results. Most results are released before they expire.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub(super) struct HeldResult {
    pub(super) worker: WorkerKey,
    bytes: u64,
    until: Duration,
    is_released: bool,
}

impl Workers {
    /// Records that a target had room for no more than `produced` bytes. The rest of its capacity
    /// is in use by unknown results: those of a terminated dispatcher, or results larger than
    /// configured.
    pub(in crate::gateway::dispatch) fn record_no_room(
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
    pub(in crate::gateway::dispatch) fn knows_result(&self, handle: &str) -> bool {
        self.results.contains_key(handle) || self.recently_released.contains_key(handle)
    }

    /// Accounts for results with unknown handles, because their call was abandoned. The target may
    /// still produce them.
    pub(in crate::gateway::dispatch) fn add_unknown_result(
        &mut self,
        worker: WorkerKey,
        bytes: u64,
        until: Duration,
    ) {
        self.abandoned_calls += 1;
        let name = format!("lost/{}", self.abandoned_calls);
        self.add_result(worker, &name, bytes, until);
    }

    pub(in crate::gateway::dispatch) fn add_result(
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
    pub(in crate::gateway::dispatch) fn release(
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
    pub(in crate::gateway::dispatch) fn make_room(
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
    pub(in crate::gateway::dispatch) fn expire(&mut self, now: Duration) {
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
