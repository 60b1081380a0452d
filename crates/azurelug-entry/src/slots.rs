//! Queues of calls that wait for a free slot of a target, first in, first out for each kind of
//! work.
//!
//! Owns the order of waiting calls and the reservation of slots for short calls. A call that stops
//! waiting frees its place in the queue at once. A call never overtakes an earlier one of the same
//! length for the same model, and long calls never get reserved slots.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::routing::{NoTarget, Query, Requirement};
use azurelug_types::config::{Config, ModelRef, StageKind};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::entry_state::{EntryState, InFlightCall};

/// Interval in which a waiting call checks for free slots. Slots can become free without the end of
/// a call, for instance when slow start raises a limit or a load report expires.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// One in this many slots is reserved for short calls, as in admission. Admission alone does not
/// prevent long calls from occupying all slots of one stage, because it counts requests regardless
/// of their current stage.
pub const RESERVED_DIVISOR: u32 = 5;

/// A kind of work; calls of the same kind wait in the same queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkKind {
    /// The kind of the stage.
    pub kind: StageKind,
    /// The model.
    pub model: ModelRef,
    /// Whether the request is short.
    pub is_short: bool,
}

/// The queues of calls that wait for slots.
#[derive(Debug, Default)]
pub struct SlotQueues {
    freed: Notify,
    state: Mutex<State>,
}

/// The number of entries is limited by the number of models that have been configured.
#[derive(Debug, Default)]
struct State {
    /// One fair lock per kind of work, held by the first call in the queue while it waits for a
    /// slot.
    queue_locks: HashMap<WorkKind, Arc<tokio::sync::Mutex<()>>>,
    /// Total slots as of the last count.
    slots: HashMap<(StageKind, ModelRef), u32>,
    /// Long calls in flight.
    long_calls: HashMap<(StageKind, ModelRef), u32>,
}

impl SlotQueues {
    /// Wakes waiting calls after a call has ended and may have freed a slot.
    pub fn notify_freed(&self) {
        self.freed.notify_waiters();
    }

    /// Waits until a slot may have become free, at most until `end`.
    pub async fn wait_freed(&self, end: Instant) {
        let until = end.min(Instant::now() + RECHECK_INTERVAL);
        // After a timeout, the caller checks again too.
        let _ = timeout_at(until, self.freed.notified()).await;
    }

    /// Counts the slots for all stages of all pipelines; called about once a second, because its
    /// cost grows with the number of targets.
    pub fn count_slots(&self, entry_state: &EntryState, config: &Config) {
        let stages = config.pipelines.values().flat_map(|it| &it.stages);
        let slots: HashMap<_, _> = stages
            .map(|stage| {
                let need = Requirement::Stage(stage.kind, &stage.model);
                let slots = entry_state.with_router(|router, now| router.total_slots(need, now));
                ((stage.kind, stage.model.clone()), slots)
            })
            .collect();
        self.lock().slots = slots;
    }

    /// Total slots for a stage kind and a model, as of the last count.
    pub fn slots(&self, kind: StageKind, model: &ModelRef) -> u32 {
        let state = self.lock();
        let slots = state.slots.get(&(kind, model.clone()));
        slots.copied().unwrap_or(0)
    }

    fn queue_lock(&self, work: &WorkKind) -> Arc<tokio::sync::Mutex<()>> {
        Arc::clone(self.lock().queue_locks.entry(work.clone()).or_default())
    }

    /// Reserves one of the slots that are available to the call; returns `None` if long calls use
    /// all slots that are not reserved for short ones. A long call counts until the guard is
    /// dropped. A call that replaces another one always succeeds: the slots of a leaving target are
    /// no longer counted, but its calls still are.
    fn reserve(
        entry_state: &Arc<EntryState>,
        work: &WorkKind,
        replaces_call: bool,
    ) -> Option<Reservation> {
        if work.is_short {
            return Some(Reservation(None));
        }
        let key = (work.kind, work.model.clone());
        let mut state = entry_state.slot_queues.lock();
        let slots = state.slots.get(&key).copied();
        let long_calls = state.long_calls.entry(key.clone()).or_insert(0);
        // Before the first count the number is unknown; the router's limits apply in any case.
        let max_long_calls =
            slots.map_or(u32::MAX, |slots| slots - slots.div_ceil(RESERVED_DIVISOR));
        if !replaces_call && *long_calls >= max_long_calls.max(1) {
            return None;
        }
        *long_calls += 1;
        drop(state);
        Some(Reservation(Some((key, Arc::clone(entry_state)))))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// Counts a long call as in flight until it is dropped; empty for a short call.
pub struct Reservation(Option<((StageKind, ModelRef), Arc<EntryState>)>);

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some((key, entry_state)) = self.0.take() {
            if let Some(long_calls) = entry_state.slot_queues.lock().long_calls.get_mut(&key) {
                *long_calls -= 1;
            }
            entry_state.slot_queues.notify_freed();
        }
    }
}

/// An acquired slot.
pub struct Slot {
    /// The slot of the target.
    pub in_flight: InFlightCall,
    /// The reservation of a long call; must be held for as long as the slot.
    pub reservation: Reservation,
}

/// Chooses a target and acquires a slot there without waiting, for a call that ends by `deadline`.
/// `replaces_call` means that this call replaces another one of the same request, which ends once
/// this one delivers.
///
/// # Errors
/// The reason why no target can be used now.
pub fn try_acquire(
    entry_state: &Arc<EntryState>,
    call: &str,
    work: &WorkKind,
    query: &Query<'_>,
    deadline: Instant,
    replaces_call: bool,
) -> Result<Slot, NoTarget> {
    let Some(reservation) = SlotQueues::reserve(entry_state, work, replaces_call) else {
        return Err(NoTarget::AllBusy {
            members: 0,
            retry_after: RECHECK_INTERVAL,
        });
    };
    let in_flight = entry_state.acquire_slot(
        call,
        query,
        deadline.saturating_duration_since(Instant::now()),
    )?;
    Ok(Slot {
        in_flight,
        reservation,
    })
}

/// Chooses a target and acquires a slot there; waits up to `limit` while all targets are busy.
///
/// A repeated call avoids the targets in `query.exclude` for the first half of the limit. It
/// bypasses the queue, because only some of the targets suit it and its earlier stages have already
/// run.
///
/// # Errors
/// The reason why no target can be used, or that all were busy until the limit.
pub async fn acquire(
    entry_state: &Arc<EntryState>,
    call: &str,
    work: &WorkKind,
    query: &Query<'_>,
    limit: Duration,
    deadline: Instant,
) -> Result<Slot, NoTarget> {
    let end = Instant::now() + limit;
    let queue_lock = entry_state.slot_queues.queue_lock(work);
    let _queue_guard = if query.exclude.is_empty() {
        match timeout_at(end, queue_lock.lock_owned()).await {
            Ok(guard) => Some(guard),
            Err(_) => return try_acquire(entry_state, call, work, query, deadline, false),
        }
    } else {
        None
    };
    let without_exclusions = Query {
        exclude: &[],
        ..*query
    };
    let exclusion_end = Instant::now() + limit / 2;
    let mut query = query;
    loop {
        // Registered before the check, so that a slot freed in between is not missed.
        let mut freed = std::pin::pin!(entry_state.slot_queues.freed.notified());
        freed.as_mut().enable();
        let now = Instant::now();
        if now >= exclusion_end {
            query = &without_exclusions;
        }
        // This check is not recorded in the recent decisions, which waiting calls would otherwise
        // fill.
        let availability =
            entry_state.with_router(|router, now| router.choose(query, now).map(|_| ()));
        match availability {
            Err(NoTarget::AllBusy { .. }) if now < end => {
                entry_state.shares.mark_starved(query.need);
            }
            _ => match try_acquire(entry_state, call, work, query, deadline, false) {
                Err(NoTarget::AllBusy { .. }) if now < end => {}
                result => return result,
            },
        }
        let until = end.min(now + RECHECK_INTERVAL);
        // After a timeout, the next iteration checks again too.
        let _ = timeout_at(until, freed).await;
    }
}
