//! Waits for a free slot of a target, first come first served for each kind of work.
//!
//! Owns the order of waiting calls and the slots that are reserved for short calls. A call that stops
//! waiting gives up its place at once. Never lets a new call pass one of the same length that waits
//! for the same model, and never gives reserved slots to long calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::routing::{Need, NoTarget, Query};
use azurelug_types::config::{Config, ModelRef, StageKind};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::gateway::{Gateway, InFlight};

/// Slots also become free without the end of a call, for instance when slow start raises a limit or a
/// load report expires.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// One of this many slots is reserved for short calls, as in admission. Admission alone does not keep
/// long calls from all slots of one stage, because it counts requests and not the stage they are in.
pub const RESERVED_PART: u32 = 5;

/// What a call needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Work {
    /// The kind of its stage.
    pub kind: StageKind,
    /// The model.
    pub model: ModelRef,
    /// Whether it belongs to a short request.
    pub is_short: bool,
}

/// Calls that wait for slots.
#[derive(Debug, Default)]
pub struct Waiting {
    freed: Notify,
    queues: Mutex<Queues>,
}

/// The number of entries is bounded by that of the models that were configured.
#[derive(Debug, Default)]
struct Queues {
    /// The lock of a kind of work is held by its first waiting call, and is fair.
    first: HashMap<Work, Arc<tokio::sync::Mutex<()>>>,
    /// All slots, as of the last count.
    slots: HashMap<(StageKind, ModelRef), u32>,
    /// Long calls in flight.
    long: HashMap<(StageKind, ModelRef), u32>,
}

impl Waiting {
    /// A call has ended and may have freed a slot.
    pub fn freed(&self) {
        self.freed.notify_waiters();
    }

    /// Returns when a slot may have become free, at `end` at the latest.
    pub async fn until_freed(&self, end: Instant) {
        let until = end.min(Instant::now() + LOOK_AGAIN);
        // Either way it is time to look again.
        let _ = timeout_at(until, self.freed.notified()).await;
    }

    /// Counts the slots for all stages of all pipelines; about once a second, because the cost grows
    /// with the number of targets.
    pub fn count_slots(&self, gateway: &Gateway, config: &Config) {
        let stages = config.pipelines.values().flat_map(|it| &it.stages);
        let slots: HashMap<_, _> = stages
            .map(|stage| {
                let need = Need::Stage(stage.kind, &stage.model);
                let slots = gateway.with_router(|router, now| router.slots(need, now));
                ((stage.kind, stage.model.clone()), slots)
            })
            .collect();
        self.lock().slots = slots;
    }

    /// Slots for a kind of work, as of the last count.
    pub fn slots(&self, kind: StageKind, model: &ModelRef) -> u32 {
        let queues = self.lock();
        let slots = queues.slots.get(&(kind, model.clone()));
        slots.copied().unwrap_or(0)
    }

    fn first(&self, work: &Work) -> Arc<tokio::sync::Mutex<()>> {
        Arc::clone(self.lock().first.entry(work.clone()).or_default())
    }

    /// Whether a call may take one more slot. A long call counts until the guard is dropped. A call
    /// that takes the place of another one always may: the slots of a target that leaves are no
    /// longer counted, but its calls are.
    fn reserve(gateway: &Arc<Gateway>, work: &Work, takes_over: bool) -> Option<Reserve> {
        if work.is_short {
            return Some(Reserve(None));
        }
        let key = (work.kind, work.model.clone());
        let mut queues = gateway.waiting.lock();
        let slots = queues.slots.get(&key).copied();
        let long = queues.long.entry(key.clone()).or_insert(0);
        // Before the first count nothing is known, and the router's limits hold anyway.
        let most = slots.map_or(u32::MAX, |slots| slots - slots.div_ceil(RESERVED_PART));
        if !takes_over && *long >= most.max(1) {
            return None;
        }
        *long += 1;
        drop(queues);
        Some(Reserve(Some((key, Arc::clone(gateway)))))
    }

    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().expect("no holder of the lock panics")
    }
}

/// Counts a long call in flight until it is dropped.
pub struct Reserve(Option<((StageKind, ModelRef), Arc<Gateway>)>);

impl Drop for Reserve {
    fn drop(&mut self) {
        if let Some((key, gateway)) = self.0.take() {
            if let Some(long) = gateway.waiting.lock().long.get_mut(&key) {
                *long -= 1;
            }
            gateway.waiting.freed();
        }
    }
}

/// A taken slot.
pub struct Slot {
    /// The slot of the target.
    pub in_flight: InFlight,
    /// The long call's place beside the reserved slots; to be kept as long as the slot.
    pub reserve: Reserve,
}

/// Chooses a target and takes a slot of it without waiting, for a call that ends at `deadline` at the
/// latest. `takes_over` tells that another call of the same request ends once this one delivers.
///
/// # Errors
/// Why no target can be used now.
pub fn begin_now(
    gateway: &Arc<Gateway>,
    call: &str,
    work: &Work,
    query: &Query<'_>,
    deadline: Instant,
    takes_over: bool,
) -> Result<Slot, NoTarget> {
    let Some(reserve) = Waiting::reserve(gateway, work, takes_over) else {
        return Err(NoTarget::AllBusy {
            members: 0,
            retry_after: LOOK_AGAIN,
        });
    };
    let in_flight = gateway.begin(
        call,
        query,
        deadline.saturating_duration_since(Instant::now()),
    )?;
    Ok(Slot { in_flight, reserve })
}

/// Chooses a target and takes a slot of it; waits up to `limit` while all targets are busy.
///
/// A repeated call avoids the targets in `query.exclude` for half of the time and waits beside the
/// queue: it may want only some of the targets, and earlier stages were already run for it.
///
/// # Errors
/// Why no target can be used, or that all were busy until the limit.
pub async fn begin(
    gateway: &Arc<Gateway>,
    call: &str,
    work: &Work,
    query: &Query<'_>,
    limit: Duration,
    deadline: Instant,
) -> Result<Slot, NoTarget> {
    let end = Instant::now() + limit;
    let first = gateway.waiting.first(work);
    let _turn = if query.exclude.is_empty() {
        match timeout_at(end, first.lock_owned()).await {
            Ok(turn) => Some(turn),
            Err(_) => return begin_now(gateway, call, work, query, deadline, false),
        }
    } else {
        None
    };
    let other = Query {
        exclude: &[],
        ..*query
    };
    let half = Instant::now() + limit / 2;
    let mut query = query;
    loop {
        // Registered before the look, so that a slot freed in between is not missed.
        let mut freed = std::pin::pin!(gateway.waiting.freed.notified());
        freed.as_mut().enable();
        let now = Instant::now();
        if now >= half {
            query = &other;
        }
        // A look leaves no trace in the recent decisions, which a waiting call would fill.
        let look = gateway.with_router(|router, now| router.choose(query, now).map(|_| ()));
        match look {
            Err(NoTarget::AllBusy { .. }) if now < end => gateway.shares.starved(query.need),
            _ => match begin_now(gateway, call, work, query, deadline, false) {
                Err(NoTarget::AllBusy { .. }) if now < end => {}
                result => return result,
            },
        }
        let until = end.min(now + LOOK_AGAIN);
        // Either way it is time to look again.
        let _ = timeout_at(until, freed).await;
    }
}
