//! Orders that wait for calls, in the order of the times at which their results are needed.

use std::time::Duration;

use azurelug_types::fleet::{Item, Pieces};

use super::Token;

/// How much later an order counts as due for each step of its rank. Less urgent work gives way to
/// more urgent work that is due about the same time, but isn't starved by it.
const RANK_STEP: Duration = Duration::from_millis(60);

/// Ranks beyond this count as this one.
const MAX_RANK: u32 = 8;

/// How far a piece has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Running,
    Done,
}

/// One order.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) token: Token,
    pub(super) order: Pieces,
    /// When the results are needed.
    pub(super) due: Duration,
    /// When the client gives up.
    pub(super) deadline: Duration,
    /// Handles by piece.
    pub(super) results: Vec<Option<String>>,
    /// Pieces that failed so far.
    pub(super) tries: u32,
    progress: Vec<Progress>,
    waiting: usize,
}

impl Waiting {
    pub(super) fn new(token: Token, order: Pieces, now: Duration) -> Self {
        let count = order.pieces.len();
        let offset = Duration::from_millis(order.due_ms.unsigned_abs());
        let due = if order.due_ms < 0 {
            now.saturating_sub(offset)
        } else {
            now + offset
        };
        Self {
            token,
            due,
            deadline: now + Duration::from_millis(order.deadline_ms),
            results: vec![None; count],
            tries: 0,
            progress: vec![Progress::Waiting; count],
            waiting: count,
            order,
        }
    }

    /// Pieces that wait.
    pub(super) fn left(&self) -> usize {
        self.waiting
    }

    pub(super) fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    pub(super) fn started(&mut self, place: usize) {
        self.progress[place] = Progress::Running;
        self.waiting -= 1;
    }

    pub(super) fn returned(&mut self, place: usize) {
        self.progress[place] = Progress::Done;
    }

    pub(super) fn requeue(&mut self, place: usize) {
        self.progress[place] = Progress::Waiting;
        self.waiting += 1;
    }

    pub(super) fn item(&self, place: usize, now: Duration) -> Item {
        Item {
            request: self.order.request.clone(),
            stage: self.order.stage,
            piece: self.order.pieces[place],
            source: self.order.source.clone(),
            left: self.deadline.saturating_sub(now),
        }
    }

    fn is_running(&self) -> bool {
        self.progress.contains(&Progress::Running)
    }

    fn places(&self) -> impl Iterator<Item = usize> + '_ {
        let places = self.progress.iter().enumerate();
        places
            .filter(|(_, progress)| **progress == Progress::Waiting)
            .map(|(place, _)| place)
    }

    /// The time by which orders are served; earlier goes first.
    fn turn(&self) -> Duration {
        self.due + RANK_STEP * u32::from(self.order.rank).min(MAX_RANK)
    }
}

/// All orders that have not ended.
#[derive(Debug, Default)]
pub(super) struct Queue {
    orders: Vec<Waiting>,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Pieces that wait.
    pub(super) fn pieces(&self) -> usize {
        self.orders.iter().map(Waiting::left).sum()
    }

    /// Pieces that wait and go before those of `new`.
    pub(super) fn pieces_before(&self, new: &Waiting) -> usize {
        let earlier = self.orders.iter().filter(|it| it.turn() <= new.turn());
        earlier.map(Waiting::left).sum()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let turn = waiting.turn();
        let position = self.orders.partition_point(|it| it.turn() <= turn);
        self.orders.insert(position, waiting);
    }

    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut Waiting> {
        self.orders.iter_mut().find(|it| it.token == token)
    }

    pub(super) fn result_bytes(&self, token: Token) -> u64 {
        let order = self.orders.iter().find(|it| it.token == token);
        order.map_or(0, |it| it.order.result_bytes)
    }

    pub(super) fn remove(&mut self, token: Token) -> Option<Waiting> {
        let position = self.orders.iter().position(|it| it.token == token)?;
        Some(self.orders.remove(position))
    }

    /// Orders that match and have no piece in a call.
    pub(super) fn idle_tokens(&self, matches: impl Fn(&Waiting) -> bool) -> Vec<Token> {
        let idle = self.orders.iter().filter(|it| it.left() > 0 && !it.is_running());
        idle.filter(|it| matches(it)).map(|it| it.token).collect()
    }

    /// The earliest deadline of an order that waits.
    pub(super) fn first_deadline(&self) -> Option<Duration> {
        let waiting = self.orders.iter().filter(|it| it.left() > 0);
        waiting.map(|it| it.deadline).min()
    }

    /// Pieces for one call that ends at `end` at the earliest: those that can be in time first, in
    /// the order of their turns, then the others. An order is split only if it fits no call.
    pub(super) fn pick(
        &self,
        max_pieces: usize,
        max_bytes: Option<u64>,
        end: Duration,
    ) -> Vec<(Token, usize)> {
        let mut picked = Vec::new();
        let mut bytes = 0;
        let in_time = self.orders.iter().filter(|it| it.due >= end);
        let late = self.orders.iter().filter(|it| it.due < end);
        for waiting in in_time.chain(late) {
            let room = max_pieces - picked.len();
            if room == 0 {
                break;
            }
            let splits = waiting.left() > max_pieces;
            if waiting.left() > room && !splits {
                continue;
            }
            for place in waiting.places().take(room) {
                bytes += waiting.order.result_bytes;
                if max_bytes.is_some_and(|limit| bytes > limit) {
                    return picked;
                }
                picked.push((waiting.token, place));
            }
        }
        picked
    }
}
