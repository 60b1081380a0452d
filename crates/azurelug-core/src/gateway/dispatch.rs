//! Fills the calls of one service's targets with pieces of many requests.
//!
//! Load pattern: a call costs 200 ms whatever it holds, and a target runs one call at a time. Daemons
//! that each send their own small calls use up the targets with call overhead, and at two or three
//! times the usual load every request is late. One dispatcher for many targets fills calls up to
//! their limit, in the order of the times at which results are needed. When more comes than can be
//! done, what can't be in time gives way to what can, and what can't be done at all is refused at
//! once.

mod backlog;
mod queue;
mod workers;

use std::time::Duration;

use azurelug_types::deployment::Batch;
use azurelug_types::fleet::{Item, ItemEnd, Pieces, PiecesError};
use azurelug_types::id::{TargetName, ZoneName};

use backlog::Utilization;
use queue::{Queue, Room, Waiting};
pub use workers::Listed;
use workers::{Worker, WorkerKey, Workers};

/// The number of a [`Pieces`] order at its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// The number of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Calls of an order's pieces that may fail before the order does. Targets fail independently, so
/// that a third failure in a row is rare.
const MAX_TRIES: u32 = 3;

/// A call that takes this many times its usual time, and [`OVERDUE_GRACE`] more, has its pieces run
/// by another target as well. Calls of sound targets hardly differ from their usual time.
const OVERDUE_FACTOR: f64 = 1.4;

/// Added to the time after which a call is overdue, for the connection and the transfer of inputs.
const OVERDUE_GRACE: Duration = Duration::from_millis(60);

/// A call that takes this many times its usual time, and [`CALL_GRACE`] more, is given up. Until
/// then the target is still at work on it and could do nothing else.
const CALL_PATIENCE: f64 = 6.0;

/// Added to the patience.
const CALL_GRACE: Duration = Duration::from_millis(500);

/// The shortest time after which a refused client is told to come back: about a call.
const MIN_RETRY: Duration = Duration::from_millis(300);

/// Results that cross zones are worth waiting for a target of their own zone: this long, and
/// [`CROSSING_PER_MB`] more for each megabyte.
const CROSSING: Duration = Duration::from_millis(40);

/// See [`CROSSING`]. A wait of this length hardly ever makes an answer late, while every megabyte
/// between zones is billed.
const CROSSING_PER_MB: Duration = Duration::from_millis(80);

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
    is_overdue: bool,
}

impl Call {
    fn overdue_at(&self) -> Duration {
        self.started + self.expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_GRACE
    }
}

/// The dispatcher of some targets of one service.
#[derive(Debug)]
pub struct Dispatcher {
    batch: Batch,
    workers: Workers,
    queue: Queue,
    calls: Vec<Call>,
    next_call: u64,
    /// Use of the targets by work that can be in time.
    utilization: Utilization,
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
            utilization: Utilization::default(),
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

    /// The wait that a new order has to expect before its call starts.
    #[must_use]
    pub fn delay(&self, now: Duration) -> Option<Duration> {
        self.wait_for(self.queue.pieces(), now)
    }

    /// When [`Dispatcher::advance`] is to be called although nothing has happened.
    #[must_use]
    pub fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let calls = self.calls.iter().filter(|call| !call.is_overdue);
        let overdue = calls.map(Call::overdue_at).min();
        let waiting = self.queue.first_deadline();
        let returning = waiting.and_then(|_| self.workers.next_return(now));
        [overdue, waiting, returning].into_iter().flatten().min()
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
        if done <= waiting.due {
            self.utilization.add(self.work(waiting.left()), now);
        } else if !self.has_time(&waiting, self.queue.pieces(), now) {
            return vec![end(token, Err(self.refusal(now)))];
        }
        self.queue.push(waiting);
        self.advance(now)
    }

    /// Whether an order that will be late can still be done before its client gives up, behind
    /// `ahead` pieces and all work that comes meanwhile and can be in time.
    fn has_time(&self, waiting: &Waiting, ahead: usize, now: Duration) -> bool {
        let Some(wait) = self.wait_for(ahead, now) else {
            return false;
        };
        let rate = self.workers.capacity(now).map_or(0.0, |(_, rate)| rate);
        let Some(wait) = self.utilization.stretch(wait, rate, now) else {
            return false;
        };
        now + wait + self.usual_time(waiting.left()) < waiting.deadline
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
        let ends = self.call_ended(&call, call_end, now);
        let mut actions = Vec::new();
        for ((token, place), item_end) in call.items.iter().zip(ends) {
            actions.extend(self.item_ended(call.worker, *token, *place, item_end, now));
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Notes what a call shows of its target; returns the end of each item.
    fn call_ended(&mut self, call: &Call, call_end: CallEnd, now: Duration) -> Vec<ItemEnd> {
        let taken = now.saturating_sub(call.started);
        let worker = self.workers.get_mut(call.worker);
        worker.running -= 1;
        worker.held = worker.held.saturating_sub(call.bytes);
        match call_end {
            CallEnd::Items(ends) if ends.len() == call.items.len() => {
                worker.succeeded(taken, call.expected, now);
                if ends.contains(&ItemEnd::NoRoom) {
                    worker.had_no_room(now);
                }
                ends
            }
            CallEnd::NotRun => {
                worker.refused(now);
                vec![ItemEnd::NoRoom; call.items.len()]
            }
            CallEnd::Items(_) | CallEnd::Failed => {
                worker.failed(taken, call.expected, now);
                // The target may still make the results.
                let until = now + call.expected + self.batch.result_lifetime;
                self.workers.hold_unknown(call.worker, call.bytes, until);
                vec![ItemEnd::Failed; call.items.len()]
            }
        }
    }

    fn item_ended(
        &mut self,
        worker: WorkerKey,
        token: Token,
        place: usize,
        item_end: ItemEnd,
        now: Duration,
    ) -> Vec<Action> {
        if let ItemEnd::Done(handle) = &item_end {
            let bytes = self.queue.result_bytes(token);
            self.workers
                .hold(worker, handle, bytes, now + self.batch.result_lifetime);
        }
        let Some(waiting) = self.queue.get_mut(token) else {
            // The order has ended without this result.
            return match item_end {
                ItemEnd::Done(handle) => self.release(&[handle], now),
                _ => Vec::new(),
            };
        };
        waiting.returned(place);
        let failure = match item_end {
            ItemEnd::Done(handle) => return self.finish(token, place, handle, now),
            ItemEnd::NoRoom => {
                waiting.requeue(place);
                return Vec::new();
            }
            ItemEnd::Failed => {
                waiting.tries += 1;
                if waiting.tries < MAX_TRIES || waiting.is_running() {
                    waiting.requeue(place);
                    return Vec::new();
                }
                PiecesError::Failed
            }
            ItemEnd::InputGone => PiecesError::ResultsGone,
            ItemEnd::Late => PiecesError::Late {
                retry_after_ms: millis(MIN_RETRY),
            },
        };
        self.fail(token, failure, now)
    }

    fn finish(&mut self, token: Token, place: usize, handle: String, now: Duration) -> Vec<Action> {
        let waiting = self.queue.get_mut(token).expect("it was just found");
        if let Some(spare) = waiting.finish(place, handle) {
            return self.release(&[spare], now);
        }
        if !waiting.is_done() {
            return Vec::new();
        }
        let waiting = self.queue.remove(token).expect("it was just found");
        vec![end(token, Ok(waiting.into_handles()))]
    }

    /// Ends an order without results and releases those that it has.
    fn fail(&mut self, token: Token, error: PiecesError, now: Duration) -> Vec<Action> {
        let Some(waiting) = self.queue.remove(token) else {
            return Vec::new();
        };
        let mut actions = self.release(&waiting.into_handles(), now);
        actions.push(end(token, Err(error)));
        actions
    }

    /// Has overdue pieces run elsewhere, refuses what can't be done any more, and starts calls on
    /// free targets.
    pub fn advance(&mut self, now: Duration) -> Vec<Action> {
        self.workers.expire(now);
        self.run_overdue_beside(now);
        let mut actions = self.refuse_late(now);
        while let Some(call) = self.next_call(now) {
            actions.push(call);
        }
        actions
    }

    fn run_overdue_beside(&mut self, now: Duration) {
        for call in &mut self.calls {
            if call.is_overdue || now < call.overdue_at() {
                continue;
            }
            call.is_overdue = true;
            let taken = now.saturating_sub(call.started);
            let worker = self.workers.get_mut(call.worker);
            worker.overdue(taken, call.expected, now);
            for (token, place) in &call.items {
                if let Some(waiting) = self.queue.get_mut(*token) {
                    waiting.run_beside(*place);
                }
            }
        }
    }

    /// Refuses orders that can't be in time and have no time left to wait until there is less work.
    fn refuse_late(&mut self, now: Duration) -> Vec<Action> {
        let soonest = now + self.usual_time(1);
        let mut ahead = self.queue.waiting().filter(|it| it.due >= soonest).map(Waiting::left).sum();
        let mut hopeless = Vec::new();
        for waiting in self.queue.waiting().filter(|it| it.due < soonest) {
            if waiting.is_running() {
                continue;
            }
            if self.has_time(waiting, ahead, now) {
                ahead += waiting.left();
            } else {
                hopeless.push(waiting.token);
            }
        }
        if hopeless.is_empty() {
            return Vec::new();
        }
        let refusal = self.refusal(now);
        let refusals = hopeless.into_iter();
        refusals
            .flat_map(|token| self.fail(token, refusal.clone(), now))
            .collect()
    }

    /// The next call that is worth starting now.
    fn next_call(&mut self, now: Duration) -> Option<Action> {
        if self.queue.pieces() == 0 {
            return None;
        }
        let free = self.workers.free(self.batch.slots, now);
        free.into_iter().find_map(|key| self.start_call(key, now))
    }

    fn start_call(&mut self, key: WorkerKey, now: Duration) -> Option<Action> {
        let worker = self.workers.get(key);
        let slowness = worker.slowness(now);
        let room = Room {
            pieces: self.batch.max_pieces,
            bytes: worker.free_room(self.batch.result_room, now),
            end: now + self.usual_time(1).mul_f64(slowness),
        };
        let zone = worker.target.zone.clone();
        let waits = self.zone_waits(now);
        let suits = |waiting: &Waiting| {
            let home = &waiting.order.home;
            let wait = waits.iter().find(|(zone, _)| zone == home);
            zone == *home || wait.is_none_or(|(_, wait)| *wait > crossing(waiting.bytes()))
        };
        let picked = self.queue.pick(room, self.batch.max_pieces, suits);
        if picked.is_empty() {
            return None;
        }
        let usual = self.usual_time(picked.len());
        if !self.is_worth(key, usual, now) {
            return None;
        }
        Some(self.call(key, picked, usual.mul_f64(slowness), now))
    }

    /// Whether a call on a target ends sooner than if it waited for another one. Only slow targets
    /// can lose.
    fn is_worth(&self, key: WorkerKey, usual: Duration, now: Duration) -> bool {
        let here = now + usual.mul_f64(self.workers.get(key).slowness(now));
        let elsewhere = self.workers.best_other(key, now).map(|other| {
            let backlog = self.delay(now).unwrap_or_default();
            other.expected_end.max(now) + usual.mul_f64(other.slowness(now)) + backlog / 2
        });
        elsewhere.is_none_or(|elsewhere| here <= elsewhere + OVERDUE_GRACE)
    }

    fn call(
        &mut self,
        key: WorkerKey,
        picked: Vec<(Token, usize)>,
        expected: Duration,
        now: Duration,
    ) -> Action {
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
            is_overdue: false,
        });
        Action::Call {
            call,
            target,
            items,
            limit: expected.mul_f64(CALL_PATIENCE) + CALL_GRACE,
        }
    }

    /// For each zone with targets, the wait of work that wants to stay there.
    fn zone_waits(&self, now: Duration) -> Vec<(ZoneName, Duration)> {
        let zones = self.workers.zones(now).into_iter();
        let waits = zones.map(|(zone, first_free, rate)| {
            let own = self.queue.waiting().filter(|it| it.order.home == zone);
            let calls = own.map(Waiting::left).sum::<usize>() / self.batch.max_pieces.max(1);
            let work = self.usual_time(self.batch.max_pieces).mul_f64(calls as f64);
            (zone, first_free + work.div_f64(rate))
        });
        waits.collect()
    }

    /// Usual time of a call with this many pieces.
    fn usual_time(&self, pieces: usize) -> Duration {
        let pieces = u32::try_from(pieces.min(self.batch.max_pieces)).unwrap_or(u32::MAX);
        self.batch.call_time + self.batch.piece_time * pieces
    }

    /// Time of a target that pieces take in full calls.
    fn work(&self, pieces: usize) -> Duration {
        let full = self.usual_time(self.batch.max_pieces);
        full.mul_f64(pieces as f64 / self.batch.max_pieces.max(1) as f64)
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

    /// A refusal with the time until the work that waits is done.
    fn refusal(&self, now: Duration) -> PiecesError {
        let backlog = self.delay(now).unwrap_or_default();
        PiecesError::Late {
            retry_after_ms: millis(backlog.max(MIN_RETRY)),
        }
    }

    /// What each target is doing, for a dump.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, u32, u64)> {
        self.workers.iter().map(dump)
    }
}

/// How long results of this size are worth waiting for a target of their own zone.
fn crossing(bytes: u64) -> Duration {
    CROSSING + CROSSING_PER_MB.mul_f64(bytes as f64 / 1e6)
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
