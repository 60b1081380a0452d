//! Priority queue of orders, by the due time of their results.

use std::time::Duration;

use azurelug_types::fleet::{Pieces, Source, WorkItem};

use super::Token;
use super::times::Load;
use super::workers::WorkerKey;

/// Offset of the due time for each step of an order's rank: the fixed time of a call, so that less
/// urgent work leaves its place in one call to more urgent work that is due at about the same time,
/// but isn't starved by it. A shorter offset makes urgent requests with further stages late.
const RANK_STEP: Duration = Duration::from_millis(200);

/// Ranks are capped at this value.
const MAX_RANK: u32 = 8;

/// State of one piece of an order.
#[derive(Clone, Debug, Default)]
struct Piece {
    is_waiting: bool,
    /// Running calls that contain the piece.
    running: u32,
    /// Failed calls that contained the piece.
    failures: u32,
    result: Option<(WorkerKey, String)>,
}

/// An order that has not ended.
#[derive(Debug)]
pub(super) struct QueuedOrder {
    pub(super) token: Token,
    pub(super) order: Pieces,
    /// Time at which the results are needed.
    pub(super) due: Duration,
    /// Time at which the client times out.
    pub(super) deadline: Duration,
    /// When the order arrived.
    pub(super) queued_at: Duration,
    /// Time that one piece adds to a call.
    piece_time: Duration,
    pieces: Vec<Piece>,
    queued_count: usize,
}

impl QueuedOrder {
    pub(super) fn new(token: Token, order: Pieces, piece_time: Duration, now: Duration) -> Self {
        let offset = Duration::from_millis(order.due_ms.unsigned_abs());
        let due = if order.due_ms < 0 {
            now.saturating_sub(offset)
        } else {
            now + offset
        };
        let piece = Piece {
            is_waiting: true,
            ..Piece::default()
        };
        Self {
            token,
            due,
            deadline: now + Duration::from_millis(order.deadline_ms),
            queued_at: now,
            piece_time,
            queued_count: order.pieces.len(),
            pieces: vec![piece; order.pieces.len()],
            order,
        }
    }

    /// Number of queued pieces.
    pub(super) fn queued_count(&self) -> usize {
        self.queued_count
    }

    /// Returns the queued pieces and the time that they add to calls.
    pub(super) fn load(&self) -> Load {
        let count = u32::try_from(self.queued_count).unwrap_or(u32::MAX);
        Load {
            pieces: self.queued_count,
            time: self.piece_time * count,
        }
    }

    /// Time that one piece adds to a call.
    pub(super) fn piece_time(&self) -> Duration {
        self.piece_time
    }

    pub(super) fn is_done(&self) -> bool {
        self.pieces.iter().all(|piece| piece.result.is_some())
    }

    /// Returns the handles of all available results, in the order of the pieces.
    pub(super) fn into_handles(self) -> Vec<String> {
        let results = self.into_results().into_iter();
        results.map(|(_, handle)| handle).collect()
    }

    /// Returns all available results and the targets that produced them, in the order of the
    /// pieces.
    pub(super) fn into_results(self) -> Vec<(WorkerKey, String)> {
        self.pieces
            .into_iter()
            .filter_map(|piece| piece.result)
            .collect()
    }

    pub(super) fn record_start(&mut self, index: usize) {
        self.dequeue(index);
        self.pieces[index].running += 1;
    }

    /// Whether a piece is done or in a running call.
    pub(super) fn is_done_or_running(&self, index: usize) -> bool {
        let piece = &self.pieces[index];
        piece.running > 0 || piece.result.is_some()
    }

    /// Records that a call with a piece has ended.
    pub(super) fn record_end(&mut self, index: usize) {
        self.pieces[index].running -= 1;
    }

    /// Records that a call with a piece failed; returns the number of failures.
    pub(super) fn record_failure(&mut self, index: usize) -> u32 {
        self.pieces[index].failures += 1;
        self.pieces[index].failures
    }

    /// Stores a piece's result; returns it to the caller if there already is one.
    pub(super) fn finish(
        &mut self,
        index: usize,
        worker: WorkerKey,
        handle: String,
    ) -> Option<String> {
        if self.pieces[index].result.is_some() {
            return Some(handle);
        }
        self.dequeue(index);
        self.pieces[index].result = Some((worker, handle));
        None
    }

    /// Queues a piece again, unless another running call contains it.
    pub(super) fn requeue(&mut self, index: usize) {
        if self.pieces[index].running == 0 {
            self.hedge(index);
        }
    }

    /// Hedges a piece: queues it for another call in addition to the running one.
    pub(super) fn hedge(&mut self, index: usize) {
        let piece = &mut self.pieces[index];
        if piece.result.is_none() && !piece.is_waiting {
            piece.is_waiting = true;
            self.queued_count += 1;
        }
    }

    fn dequeue(&mut self, index: usize) {
        let piece = &mut self.pieces[index];
        if piece.is_waiting {
            piece.is_waiting = false;
            self.queued_count -= 1;
        }
    }

    pub(super) fn item(&self, index: usize, now: Duration) -> WorkItem {
        WorkItem {
            request: self.order.request.clone(),
            stage: self.order.stage,
            piece: self.order.pieces[index],
            source: self.order.source.clone(),
            time_left: self.deadline.saturating_sub(now),
            is_whole_order: self.queued_count == 0 && self.pieces.iter().all(|it| it.failures == 0),
        }
    }

    /// Whether the inputs are results of earlier stages, which are done.
    pub(super) fn has_inputs(&self) -> bool {
        matches!(self.order.source, Source::Results(_))
    }

    pub(super) fn is_running(&self) -> bool {
        self.pieces.iter().any(|piece| piece.running > 0)
    }

    fn queued_indices(&self) -> impl Iterator<Item = usize> + '_ {
        let pieces = self.pieces.iter().enumerate();
        pieces
            .filter(|(_, piece)| piece.is_waiting)
            .map(|(index, _)| index)
    }

    /// Sort key of the queue: due time with the offset of the rank; the earliest is served first.
    pub(super) fn sort_key(&self) -> Duration {
        self.due + RANK_STEP * u32::from(self.order.rank).min(MAX_RANK)
    }
}

/// Capacity of one call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallCapacity {
    pub(super) pieces: usize,
    /// None if it is unlimited.
    pub(super) bytes: Option<u64>,
    /// When the target starts the call, at the earliest.
    pub(super) start: Duration,
    /// Earliest end of the call.
    pub(super) end: Duration,
}

/// Time between the start of a call and the moment at which its target checks the deadlines of the
/// pieces: the transfer of a call on a slow link.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// All orders that have not ended.
#[derive(Debug, Default)]
pub(super) struct Queue {
    orders: Vec<QueuedOrder>,
}

impl Queue {
    /// Returns the orders with queued pieces, in queue order.
    pub(super) fn waiting(&self) -> impl Iterator<Item = &QueuedOrder> {
        self.orders.iter().filter(|it| it.queued_count() > 0)
    }

    /// Returns the total load of the queue.
    pub(super) fn load(&self) -> Load {
        self.orders.iter().map(QueuedOrder::load).sum()
    }

    /// Returns the queued load that is served before `new`.
    pub(super) fn load_before(&self, new: &QueuedOrder) -> Load {
        let earlier = self
            .orders
            .iter()
            .filter(|it| it.sort_key() <= new.sort_key());
        earlier.map(QueuedOrder::load).sum()
    }

    pub(super) fn push(&mut self, waiting: QueuedOrder) {
        let sort_key = waiting.sort_key();
        let position = self.orders.partition_point(|it| it.sort_key() <= sort_key);
        self.orders.insert(position, waiting);
    }

    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut QueuedOrder> {
        self.orders.iter_mut().find(|it| it.token == token)
    }

    pub(super) fn get(&self, token: Token) -> Option<&QueuedOrder> {
        self.orders.iter().find(|it| it.token == token)
    }

    pub(super) fn remove(&mut self, token: Token) -> Option<QueuedOrder> {
        let position = self.orders.iter().position(|it| it.token == token)?;
        Some(self.orders.remove(position))
    }

    /// Returns the earliest deadline of an order that has only queued pieces.
    pub(super) fn first_deadline(&self) -> Option<Duration> {
        let idle = self.waiting().filter(|it| !it.is_running());
        idle.map(|it| it.deadline).min()
    }

    /// Selects pieces for one call: first those that can be in time, in queue order, then the
    /// others. An order is split only if it doesn't fit into any call. Pieces whose deadline passes
    /// before their turn are left out: the target would not run them.
    pub(super) fn pick(
        &self,
        room: CallCapacity,
        max_pieces: usize,
        is_eligible: impl Fn(&QueuedOrder) -> bool,
    ) -> Vec<(Token, usize)> {
        let mut picked = Vec::new();
        let mut bytes = 0;
        let in_time = self.waiting().filter(|it| it.due >= room.end);
        let late = self.waiting().filter(|it| it.due < room.end);
        let has_turn = |it: &&QueuedOrder| it.deadline > room.start + CHECK_DELAY;
        let eligible = in_time.chain(late).filter(has_turn);
        for waiting in eligible.filter(|it| is_eligible(it)) {
            let free = room.pieces - picked.len();
            if free == 0 {
                break;
            }
            let is_split = waiting.queued_count() > max_pieces;
            if waiting.queued_count() > free && !is_split {
                continue;
            }
            for index in waiting.queued_indices().take(free) {
                bytes += waiting.order.result_bytes;
                if room.bytes.is_some_and(|limit| bytes > limit) {
                    return picked;
                }
                picked.push((waiting.token, index));
            }
        }
        picked
    }
}
