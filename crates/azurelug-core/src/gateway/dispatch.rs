//! Batching dispatcher: combines the pieces of many requests into calls to the targets of a
//! service.
//!
//! Load pattern: a call costs 200 ms regardless of its size, and a target runs one call at a time.
//! If each daemon sent its own small calls, the call overhead would saturate the targets, and at
//! two or three times the usual load every request would be late. One dispatcher for many targets
//! fills calls up to their limit, earliest due time first. Under overload, orders that can still be
//! in time have priority over orders that can't, and orders that can't be completed at all are
//! refused immediately.

mod admission;
mod capacity;
mod pressure;
mod queue;
mod reported;
mod start;
mod times;
mod workers;

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_types::deployment::Batch;
use azurelug_types::fleet::{ItemOutcome, PiecesError, WorkItem};
use azurelug_types::id::TargetName;

use super::shares::Shares;
use admission::Reservation;
use capacity::Utilization;
pub use pressure::Pressure;
use queue::{Queue, QueuedOrder};
use times::{Load, PieceTimes};
pub use workers::DispatchTarget;
use workers::{WorkerKey, Workers};

/// Identifier of a `Pieces` order at its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Identifier of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Maximum attempts for a piece before its order fails. Targets fail independently, so a third
/// consecutive failure is rare.
const MAX_ATTEMPTS: u32 = 3;

/// A call is overdue after this multiple of its expected time plus [`OVERDUE_MARGIN`]; its pieces
/// are then hedged on another target. The call times of healthy targets vary little.
const OVERDUE_FACTOR: f64 = 1.4;

/// Allowance for the connection and the transfer of inputs before a call is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(60);

/// A call is abandoned after this multiple of its expected time plus [`CALL_TIMEOUT_MARGIN`]. Until
/// then the target is still busy with it and could run nothing else.
const CALL_TIMEOUT_FACTOR: f64 = 6.0;

/// Averaging window for the shares of accounts: about as long as work waits under overload.
const SHARE_WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the targets' time with full calls that accounts share. A lower one would refuse work
/// of accounts while targets are idle.
const SHARED_FRACTION: f64 = 1.0;

/// Constant part of the time limit of a call.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Piece times are learned only from targets with a slowness below this.
const MAX_LEARNING_SLOWNESS: f64 = 1.1;

/// Minimum retry delay for a refused client: about one call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A result that is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// Handle of the result.
    pub handle: String,
    /// Address of the target that produced it.
    pub maker: SocketAddr,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Outcome of each item, in the order of the items.
    Items(Vec<ItemOutcome>),
    /// The target refused the call and did not run it.
    NotRun {
        /// How long the target accepts no calls; zero if it gave no time.
        closed: Duration,
    },
    /// The connection to the target could not be opened, so the call did not run.
    Unreached,
    /// The target failed, or its answer did not arrive in time.
    Failed,
}

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call and report its outcome with [`Dispatcher::complete_call`].
    Call {
        /// Identifier of the call.
        call: CallKey,
        /// Target of the call.
        target: DispatchTarget,
        /// Items of the call.
        items: Vec<WorkItem>,
        /// Results to release at the target before the call, to make room.
        release: Vec<String>,
        /// How long the call waits at the target for the previous one.
        starts_in: Duration,
        /// Expected duration.
        expected: Duration,
        /// Pieces that remain in the queue.
        waiting: usize,
        /// Longest time that an order of the call has waited.
        longest_wait: Duration,
        /// Timeout of the call.
        limit: Duration,
    },
    /// An order has ended.
    End {
        /// Identifier of the order.
        token: Token,
        /// Result handles in the order of the pieces, or the error.
        result: Result<Vec<String>, PiecesError>,
    },
    /// Release results at a target.
    Release {
        /// Target that holds the results.
        target: DispatchTarget,
        /// Handles of the results.
        handles: Vec<String>,
    },
}

/// A piece in a call.
#[derive(Clone, Copy, Debug)]
struct CallItem {
    token: Token,
    /// Index of the piece in its order.
    index: usize,
    kind: u64,
    bytes: u64,
}

#[derive(Debug)]
struct Call {
    key: CallKey,
    worker: WorkerKey,
    started: Duration,
    expected: Duration,
    items: Vec<CallItem>,
    bytes: u64,
    is_overdue: bool,
}

impl Call {
    fn overdue_at(&self) -> Duration {
        self.started + self.expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN
    }
}

/// Dispatcher for targets of one service.
#[derive(Debug)]
pub struct Dispatcher {
    batch: Batch,
    workers: Workers,
    queue: Queue,
    calls: Vec<Call>,
    times: PieceTimes,
    next_call: u64,
    last_start: Option<Duration>,
    bookings: Vec<Reservation>,
    /// Utilization of the targets by work that can be in time.
    utilization: Utilization,
    shares: Shares,
}

impl Dispatcher {
    /// Creates a dispatcher without targets.
    #[must_use]
    pub fn new(batch: Batch) -> Self {
        Self {
            batch,
            workers: Workers::default(),
            queue: Queue::default(),
            calls: Vec::new(),
            times: PieceTimes::default(),
            next_call: 0,
            last_start: None,
            bookings: Vec::new(),
            utilization: Utilization::default(),
            shares: Shares::new(SHARE_WINDOW, SHARED_FRACTION),
        }
    }

    /// Shares the targets fairly between client accounts where capacity is short.
    #[must_use]
    pub fn with_fair_shares(mut self) -> Self {
        self.shares.enable();
        self
    }

    /// Applies the settings of a newer configuration.
    pub fn configure(&mut self, batch: Batch) {
        self.batch = batch;
    }

    /// Replaces the list of usable targets.
    pub fn list(&mut self, targets: &[DispatchTarget], now: Duration) -> Vec<Action> {
        self.workers.list(targets);
        self.advance(now)
    }

    /// Returns the expected wait of a new order before its call starts.
    #[must_use]
    pub fn delay(&self, now: Duration) -> Option<Duration> {
        self.wait_behind(self.queue.load(), now)
    }

    /// Returns the time at which [`Dispatcher::advance`] has to be called if nothing else happens.
    #[must_use]
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let calls = self.calls.iter().filter(|call| !call.is_overdue);
        let overdue = calls.map(Call::overdue_at).min();
        let waiting = self.queue.first_deadline();
        let returning = waiting.and_then(|_| self.workers.next_exclusion_end(now));
        let held = waiting.and_then(|_| self.delayed_until(now));
        let ahead = waiting.filter(|_| self.sends_ahead());
        let ahead = ahead.and_then(|_| self.workers.next_send_ahead(now));
        let times = [overdue, waiting, returning, held, ahead];
        times.into_iter().flatten().min()
    }

    /// Removes an order whose client has disconnected or was refused elsewhere, and releases the
    /// results that it already has. Pieces in a running call are not cancelled.
    pub fn cancel(&mut self, token: Token, now: Duration) -> Vec<Action> {
        let Some(waiting) = self.queue.remove(token) else {
            return Vec::new();
        };
        self.release_produced(waiting, now)
    }

    /// Marks results as no longer needed. Targets are notified when a call needs the room; results
    /// also expire by themselves.
    pub fn release(&mut self, results: &[Released], now: Duration) -> Vec<Action> {
        let flushed = self.workers.release(results, &self.batch, now);
        let releases = flushed.into_iter();
        let releases = releases.map(|(target, handles)| Action::Release { target, handles });
        releases.collect()
    }

    /// Whether an answer to a call contains a result of an earlier answer. It is then a duplicate
    /// of that answer and not the answer to this call.
    #[must_use]
    pub fn is_duplicate(&self, ends: &[ItemOutcome]) -> bool {
        ends.iter().any(|end| match end {
            ItemOutcome::Done(handle) => self.workers.knows_result(handle),
            _ => false,
        })
    }

    /// Processes the outcome of a call.
    pub fn complete_call(&mut self, key: CallKey, call_end: CallEnd, now: Duration) -> Vec<Action> {
        let Some(position) = self.calls.iter().position(|call| call.key == key) else {
            return Vec::new();
        };
        let call = self.calls.swap_remove(position);
        let ends = self.call_ended(&call, call_end, now);
        let mut actions = Vec::new();
        for (item, item_end) in call.items.iter().zip(ends) {
            actions.extend(self.item_ended(call.worker, *item, item_end, now));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Updates the state of the target from the outcome of a call; returns the end of each item.
    fn call_ended(&mut self, call: &Call, call_end: CallEnd, now: Duration) -> Vec<ItemOutcome> {
        let elapsed = now.saturating_sub(call.started);
        let worker = self.workers.get_mut(call.worker);
        worker.running -= 1;
        worker.held_bytes = worker.held_bytes.saturating_sub(call.bytes);
        match call_end {
            CallEnd::Items(ends) if ends.len() == call.items.len() => {
                let is_usual = worker.slowness(now) < MAX_LEARNING_SLOWNESS;
                worker.record_success(elapsed, call.expected, now);
                let is_whole = ends.iter().all(|end| matches!(end, ItemOutcome::Done(_)));
                if is_usual && is_whole {
                    let kinds: Vec<u64> = call.items.iter().map(|item| item.kind).collect();
                    self.times.learn(&self.batch, &kinds, elapsed);
                }
                if ends.contains(&ItemOutcome::ResultMemoryFull) {
                    let done = call.items.iter().zip(&ends);
                    let done = done.filter(|(_, end)| matches!(end, ItemOutcome::Done(_)));
                    let produced = done.map(|(item, _)| item.bytes).sum();
                    self.workers
                        .record_no_room(call.worker, produced, &self.batch, now);
                }
                ends
            }
            CallEnd::NotRun { closed } => {
                worker.record_refusal(closed, now);
                vec![ItemOutcome::ResultMemoryFull; call.items.len()]
            }
            CallEnd::Unreached => {
                worker.record_failure(elapsed, call.expected, now);
                self.last_start = None;
                vec![ItemOutcome::ResultMemoryFull; call.items.len()]
            }
            CallEnd::Items(_) | CallEnd::Failed => {
                worker.record_failure(elapsed, call.expected, now);
                // Not spaced: the pieces are already delayed.
                self.last_start = None;
                // The target may still produce the results.
                let until = now + call.expected + self.batch.result_lifetime;
                self.workers
                    .add_unknown_result(call.worker, call.bytes, until);
                vec![ItemOutcome::Failed; call.items.len()]
            }
        }
    }

    fn item_ended(
        &mut self,
        worker: WorkerKey,
        item: CallItem,
        item_end: ItemOutcome,
        now: Duration,
    ) -> Vec<Action> {
        let CallItem { token, index, .. } = item;
        if let ItemOutcome::Done(handle) = &item_end {
            let until = now + self.batch.result_lifetime;
            self.workers.add_result(worker, handle, item.bytes, until);
        }
        let Some(waiting) = self.queue.get_mut(token) else {
            // The order has already ended.
            return match item_end {
                ItemOutcome::Done(handle) => self.release_result(worker, handle, now),
                _ => Vec::new(),
            };
        };
        waiting.record_end(index);
        let failure = match item_end {
            ItemOutcome::Done(handle) => return self.finish(worker, item, handle, now),
            ItemOutcome::ResultMemoryFull => {
                waiting.requeue(index);
                return Vec::new();
            }
            ItemOutcome::Failed => {
                if waiting.record_failure(index) < MAX_ATTEMPTS || waiting.is_done_or_running(index)
                {
                    waiting.requeue(index);
                    return Vec::new();
                }
                PiecesError::Failed
            }
            // Another call that holds the piece may have fetched the inputs in time.
            ItemOutcome::InputMissing | ItemOutcome::Late if waiting.is_done_or_running(index) => {
                return Vec::new();
            }
            ItemOutcome::InputMissing => PiecesError::ResultsGone,
            ItemOutcome::Late => PiecesError::Late {
                retry_after_ms: millis(MIN_RETRY_DELAY),
            },
        };
        self.fail(token, failure, now)
    }

    /// Releases a result that was just produced but is no longer needed.
    fn release_result(&mut self, worker: WorkerKey, handle: String, now: Duration) -> Vec<Action> {
        let maker = self.workers.get(worker).target.address;
        self.release(&[Released { handle, maker }], now)
    }

    fn finish(
        &mut self,
        worker: WorkerKey,
        item: CallItem,
        handle: String,
        now: Duration,
    ) -> Vec<Action> {
        let CallItem { token, index, .. } = item;
        let waiting = self.queue.get_mut(token).expect("it was just found");
        if let Some(duplicate) = waiting.finish(index, worker, handle) {
            return self.release_result(worker, duplicate, now);
        }
        if !waiting.is_done() {
            return Vec::new();
        }
        let waiting = self.queue.remove(token).expect("it was just found");
        vec![end_action(token, Ok(waiting.into_handles()))]
    }

    /// Ends an order with an error and releases the results that it already has.
    fn fail(&mut self, token: Token, error: PiecesError, now: Duration) -> Vec<Action> {
        let Some(waiting) = self.queue.remove(token) else {
            return Vec::new();
        };
        let mut actions = self.release_produced(waiting, now);
        actions.push(end_action(token, Err(error)));
        actions
    }

    /// Releases the results of an order that has ended without needing them.
    fn release_produced(&mut self, waiting: QueuedOrder, now: Duration) -> Vec<Action> {
        let produced = waiting.into_results().into_iter();
        let produced = produced.map(|(worker, handle)| Released {
            handle,
            maker: self.workers.get(worker).target.address,
        });
        let produced: Vec<Released> = produced.collect();
        self.release(&produced, now)
    }

    /// Hedges overdue pieces, refuses orders that can't be completed any more, and starts calls on
    /// free targets.
    pub fn advance(&mut self, now: Duration) -> Vec<Action> {
        self.workers.expire(now);
        self.hedge_overdue(now);
        let mut actions = self.return_queued(now);
        actions.extend(self.refuse_infeasible(now));
        while let Some(call) = self.next_call(now) {
            actions.push(call);
        }
        actions
    }

    fn hedge_overdue(&mut self, now: Duration) {
        for call in &mut self.calls {
            if call.is_overdue || now < call.overdue_at() {
                continue;
            }
            call.is_overdue = true;
            let elapsed = now.saturating_sub(call.started);
            let worker = self.workers.get_mut(call.worker);
            worker.record_overdue(elapsed, call.expected, now);
            for item in &call.items {
                if let Some(waiting) = self.queue.get_mut(item.token) {
                    waiting.hedge(item.index);
                }
            }
        }
    }

    /// Typical duration of one call with this load.
    fn call_time(&self, load: Load) -> Duration {
        let most = self.batch.piece_time * u32::try_from(self.batch.max_pieces).unwrap_or(u32::MAX);
        self.batch.call_time + load.time.min(most)
    }

    /// Target time that a load uses if its calls are full.
    fn target_time(&self, load: Load) -> Duration {
        let calls = load.pieces as f64 / self.batch.max_pieces.max(1) as f64;
        self.batch.call_time.mul_f64(calls) + load.time
    }

    /// Target time of the full calls in a load, without the remainder.
    fn full_calls_time(&self, load: Load) -> Duration {
        let calls = load.pieces / self.batch.max_pieces.max(1);
        if calls == 0 {
            return Duration::ZERO;
        }
        let part = (calls * self.batch.max_pieces) as f64 / load.pieces as f64;
        self.batch.call_time.mul_f64(calls as f64) + load.time.mul_f64(part)
    }

    /// Time until a call can start behind a queued load; none without targets.
    fn wait_behind(&self, load: Load, now: Duration) -> Option<Duration> {
        let Some((first_free, rate)) = self.workers.capacity(now) else {
            // Every target is excluded; the first one is retried at this time.
            let next = self.workers.next_exclusion_end(now)?;
            return Some(next.saturating_sub(now));
        };
        Some(first_free + self.full_calls_time(load).div_f64(rate))
    }

    /// Sets the targets that get no call now, because a roll-out allows none to their version.
    pub fn hold_back(&mut self, names: &[TargetName]) {
        self.workers.hold_back(names);
    }

    /// Returns what is pending at each target: running calls, and results that are still needed.
    pub fn pending(&self) -> impl Iterator<Item = (&TargetName, u64)> {
        let workers = self.workers.all();
        workers.map(|worker| (&worker.target.name, worker.pending()))
    }
}

fn end_action(token: Token, result: Result<Vec<String>, PiecesError>) -> Action {
    Action::End { token, result }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
