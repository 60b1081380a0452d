//! Fills the calls of one service's targets with pieces of many requests.
//!
//! Load pattern: a call costs 200 ms whatever it holds, and a target runs one call at a time. Daemons
//! that each send their own small calls use up the targets with call overhead, and at two or three
//! times the usual load every request is late. One dispatcher for the targets of a zone fills calls
//! up to their limit, in the order of the times at which results are needed, and refuses at once
//! what can't be done in time, so that a burst delays nobody beyond it.

mod queue;
mod workers;

use std::time::Duration;

use azurelug_types::deployment::Batch;
use azurelug_types::fleet::{Item, ItemEnd, Pieces, PiecesError};
use azurelug_types::id::TargetName;

use queue::{Queue, Waiting};
pub use workers::Listed;
use workers::{Worker, WorkerKey, Workers};

/// The number of a [`Pieces`] order at its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// The number of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Backlog up to which an order is accepted although its results will be late. Beyond it, late work
/// would only push back work that can still be in time.
const LATE_BACKLOG: Duration = Duration::from_millis(400);

/// Calls of an order's pieces that may fail before the order does. Targets fail independently, so
/// that a third failure in a row is rare.
const MAX_TRIES: u32 = 3;

/// A call that takes this many times its usual time, and [`CALL_GRACE`] more, is given up. Slow
/// targets take four to five times as long; waiting for them costs the request its deadline.
const CALL_PATIENCE: f64 = 2.0;

/// Added to the patience, for the connection and the transfer of inputs.
const CALL_GRACE: Duration = Duration::from_millis(250);

/// The shortest time after which a refused client is told to come back: half a usual call.
const MIN_RETRY: Duration = Duration::from_millis(150);

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The end of each item, in the order of the items.
    Items(Vec<ItemEnd>),
    /// The target refused the call and did not run it.
    NotRun,
    /// The target failed, or nothing came in time.
    Failed,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call and report its end with [`Dispatcher::called`].
    Call {
        /// Its number.
        call: CallKey,
        /// The target.
        target: Listed,
        /// Its items.
        items: Vec<Item>,
        /// When to give up.
        limit: Duration,
    },
    /// An order has ended.
    End {
        /// The order.
        token: Token,
        /// Its handles in the order of its pieces, or why there are none.
        result: Result<Vec<String>, PiecesError>,
    },
    /// Tell a target that results are no longer needed.
    Release {
        /// The target.
        target: Listed,
        /// The results.
        handles: Vec<String>,
    },
}

#[derive(Debug)]
struct Call {
    key: CallKey,
    worker: WorkerKey,
    started: Duration,
    expected: Duration,
    /// The order of each item and the item's place among the order's pieces.
    items: Vec<(Token, usize)>,
    bytes: u64,
}

/// The dispatcher of one service's targets in one zone.
#[derive(Debug)]
pub struct Dispatcher {
    batch: Batch,
    workers: Workers,
    queue: Queue,
    calls: Vec<Call>,
    next_call: u64,
}

impl Dispatcher {
    /// A dispatcher without targets.
    #[must_use]
    pub fn new(batch: Batch) -> Self {
        Self {
            batch,
            workers: Workers::default(),
            queue: Queue::default(),
            calls: Vec::new(),
            next_call: 0,
        }
    }

    /// Takes the settings of a newer configuration.
    pub fn configure(&mut self, batch: Batch) {
        self.batch = batch;
    }

    /// Takes the present list of usable targets.
    pub fn list(&mut self, targets: &[Listed], now: Duration) -> Vec<Action> {
        self.workers.list(targets);
        self.advance(now)
    }

    /// Whether there is nothing to wait for.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.calls.is_empty()
    }

    /// The wait that a new order has to expect before its call starts.
    #[must_use]
    pub fn delay(&self, now: Duration) -> Option<Duration> {
        self.wait_for(self.queue.pieces(), now)
    }

    /// When [`Dispatcher::advance`] is to be called although nothing has happened.
    #[must_use]
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        if self.queue.is_empty() {
            return None;
        }
        let returning = self.workers.next_return(now);
        let latest_start = self.queue.first_deadline();
        [returning, latest_start].into_iter().flatten().min()
    }

    /// Takes an order.
    pub fn submit(&mut self, token: Token, order: Pieces, now: Duration) -> Vec<Action> {
        let waiting = Waiting::new(token, order, now);
        if !self.workers.has_usable() {
            return vec![end(token, Err(PiecesError::NoTarget))];
        }
        let ahead = self.queue.pieces_before(&waiting);
        let wait = self.wait_for(ahead, now).unwrap_or_default();
        let shared = ahead % self.batch.max_pieces.max(1);
        let done = now + wait + self.usual_time(shared + waiting.left());
        let is_late = done > waiting.due;
        if done > waiting.deadline || (is_late && wait > LATE_BACKLOG) {
            return vec![end(token, Err(self.refusal(now)))];
        }
        self.queue.push(waiting);
        self.advance(now)
    }

    /// Forgets an order whose client is gone. Pieces that are in a call are not taken back.
    pub fn cancel(&mut self, token: Token) {
        self.queue.remove(token);
    }

    /// Notes that results are no longer needed. Targets are told when they need the room: each
    /// result also ends by itself.
    pub fn release(&mut self, handles: &[String], now: Duration) -> Vec<Action> {
        let flushed = self.workers.release(handles, &self.batch, now);
        let releases = flushed.into_iter();
        let releases = releases.map(|(target, handles)| Action::Release { target, handles });
        releases.collect()
    }

    /// Takes the end of a call.
    pub fn called(&mut self, key: CallKey, call_end: CallEnd, now: Duration) -> Vec<Action> {
        let Some(position) = self.calls.iter().position(|call| call.key == key) else {
            return Vec::new();
        };
        let call = self.calls.swap_remove(position);
        let taken = now.saturating_sub(call.started);
        let worker = self.workers.get_mut(call.worker);
        worker.running -= 1;
        worker.held = worker.held.saturating_sub(call.bytes);
        let is_refused = call_end == CallEnd::NotRun;
        let ends = match call_end {
            CallEnd::Items(ends) if ends.len() == call.items.len() => {
                worker.succeeded(taken, call.expected, now);
                ends
            }
            CallEnd::NotRun => {
                worker.refused(now);
                vec![ItemEnd::NoRoom; call.items.len()]
            }
            CallEnd::Items(_) | CallEnd::Failed => {
                worker.failed(taken, call.expected, now);
                let until = now + call.expected + self.batch.result_lifetime;
                self.workers.hold_unknown(call.worker, call.bytes, until);
                vec![ItemEnd::Failed; call.items.len()]
            }
        };
        if !is_refused && ends.contains(&ItemEnd::NoRoom) {
            self.workers.get_mut(call.worker).had_no_room(now);
        }
        let mut actions = Vec::new();
        for ((token, place), item_end) in call.items.iter().zip(ends) {
            self.item_ended(call.worker, *token, *place, item_end, now, &mut actions);
        }
        actions.extend(self.advance(now));
        actions
    }

    fn item_ended(
        &mut self,
        worker: WorkerKey,
        token: Token,
        place: usize,
        item_end: ItemEnd,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if let ItemEnd::Done(handle) = &item_end {
            let bytes = self.queue.result_bytes(token);
            self.workers
                .hold(worker, handle, bytes, now + self.batch.result_lifetime);
        }
        let Some(waiting) = self.queue.get_mut(token) else {
            if let ItemEnd::Done(handle) = item_end {
                // The order has ended without this result.
                let released = self.release(&[handle], now);
                actions.extend(released);
            }
            return;
        };
        waiting.returned(place);
        let failure = match item_end {
            ItemEnd::Done(handle) => {
                waiting.results[place] = Some(handle);
                if waiting.is_done() {
                    let waiting = self.queue.remove(token).expect("it was just found");
                    let handles = waiting.results.into_iter().flatten().collect();
                    actions.push(end(token, Ok(handles)));
                }
                return;
            }
            ItemEnd::NoRoom => {
                waiting.requeue(place);
                return;
            }
            ItemEnd::Failed => {
                waiting.tries += 1;
                if waiting.tries < MAX_TRIES {
                    waiting.requeue(place);
                    return;
                }
                PiecesError::Failed
            }
            ItemEnd::InputGone => PiecesError::ResultsGone,
            ItemEnd::Late => PiecesError::Late {
                retry_after_ms: millis(MIN_RETRY),
            },
        };
        actions.extend(self.fail(token, failure, now));
    }

    /// Ends an order without results and releases those that it has.
    fn fail(&mut self, token: Token, error: PiecesError, now: Duration) -> Vec<Action> {
        let Some(waiting) = self.queue.remove(token) else {
            return Vec::new();
        };
        let handles: Vec<String> = waiting.results.into_iter().flatten().collect();
        let mut actions = self.release(&handles, now);
        actions.push(end(token, Err(error)));
        actions
    }

    /// Refuses what can't be done any more and starts calls on free targets.
    pub fn advance(&mut self, now: Duration) -> Vec<Action> {
        self.workers.expire(now);
        let mut actions = self.refuse_late(now);
        while let Some(worker) = self.choose_worker(now) {
            let Some(call) = self.start_call(worker, now) else {
                break;
            };
            actions.push(call);
        }
        actions
    }

    fn refuse_late(&mut self, now: Duration) -> Vec<Action> {
        let soonest = now + self.usual_time(1);
        let backlog = self.delay(now);
        let has_backlog = backlog.is_none_or(|backlog| backlog > LATE_BACKLOG);
        let is_hopeless = |waiting: &Waiting| {
            let is_late = soonest > waiting.due;
            soonest > waiting.deadline || (is_late && has_backlog)
        };
        let hopeless = self.queue.idle_tokens(is_hopeless);
        if hopeless.is_empty() {
            return Vec::new();
        }
        let refusal = self.refusal(now);
        let refusals = hopeless.into_iter();
        refusals
            .flat_map(|token| self.fail(token, refusal.clone(), now))
            .collect()
    }

    /// The target for the next call; none if nothing waits or no target is worth starting on.
    fn choose_worker(&self, now: Duration) -> Option<WorkerKey> {
        let pieces = self.queue.pieces();
        if pieces == 0 {
            return None;
        }
        let (key, worker) = self.workers.free(self.batch.slots, now)?;
        let usual = self.usual_time(pieces.min(self.batch.max_pieces));
        let here = now + usual.mul_f64(worker.slowness(now));
        // A slow target is used only if waiting for another one would take longer.
        let elsewhere = self.workers.best_other(key, now).map(|other| {
            let backlog = self.wait_for(pieces, now).unwrap_or_default();
            other.expected_end.max(now) + usual.mul_f64(other.slowness(now)) + backlog / 2
        });
        let is_worth = elsewhere.is_none_or(|elsewhere| here <= elsewhere);
        is_worth.then_some(key)
    }

    fn start_call(&mut self, key: WorkerKey, now: Duration) -> Option<Action> {
        let worker = self.workers.get_mut(key);
        let slowness = worker.slowness(now);
        let free_bytes = worker.free_room(self.batch.result_room, now);
        let usual_one = self.usual_time(1).mul_f64(slowness);
        let picked = self
            .queue
            .pick(self.batch.max_pieces, free_bytes, now + usual_one);
        if picked.is_empty() {
            return None;
        }
        let expected = self.usual_time(picked.len()).mul_f64(slowness);
        self.next_call += 1;
        let call = CallKey(self.next_call);
        let mut items = Vec::with_capacity(picked.len());
        let mut bytes = 0;
        for &(token, place) in &picked {
            let waiting = self.queue.get_mut(token).expect("it was just picked");
            waiting.started(place);
            bytes += waiting.order.result_bytes;
            items.push(waiting.item(place, now));
        }
        let worker = self.workers.get_mut(key);
        worker.started(now + expected, bytes);
        let target = worker.target.clone();
        self.calls.push(Call {
            key: call,
            worker: key,
            started: now,
            expected,
            items: picked,
            bytes,
        });
        Some(Action::Call {
            call,
            target,
            items,
            limit: expected.mul_f64(CALL_PATIENCE) + CALL_GRACE,
        })
    }

    /// Usual time of a call with this many pieces.
    fn usual_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces.min(self.batch.max_pieces)).unwrap_or(u32::MAX);
        self.batch.call_time + self.batch.piece_time * pieces
    }

    /// Time until a call can start behind `pieces` that wait; none without targets.
    fn wait_for(&self, pieces: usize, now: Duration) -> Option<Duration> {
        let Some((first_free, rate)) = self.workers.capacity(now) else {
            // Every target failed lately; the first one is tried again then.
            let next = self.workers.next_return(now)?;
            return Some(next.saturating_sub(now));
        };
        let calls = pieces / self.batch.max_pieces.max(1);
        let work = self.usual_time(self.batch.max_pieces).mul_f64(calls as f64);
        Some(first_free + work.div_f64(rate))
    }

    /// A refusal with the time until the backlog has gone.
    fn refusal(&self, now: Duration) -> PiecesError {
        let backlog = self.delay(now).unwrap_or(LATE_BACKLOG);
        PiecesError::Late {
            retry_after_ms: millis(backlog.max(MIN_RETRY)),
        }
    }

    /// What each target is doing, for a dump.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, u32, u64)> {
        self.workers.iter().map(dump)
    }
}

fn dump(worker: &Worker) -> (&TargetName, u32, u64) {
    (&worker.target.name, worker.running, worker.held)
}

fn end(token: Token, result: Result<Vec<String>, PiecesError>) -> Action {
    Action::End { token, result }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
