//! Admission control: accepts or refuses orders, and reserves capacity for later stages.

use std::time::Duration;

use azurelug_types::fleet::{Booking, Pieces, PiecesError};

use super::capacity::{self, Commitment, Priority};
use super::queue::QueuedOrder;
use super::times::Load;
use super::{Action, Dispatcher, MIN_RETRY_DELAY, Token, end_action, millis};

/// Priority of work that is admitted only where there is room.
const LOWEST: Priority = Priority {
    rank: u16::MAX,
    value: 0.0,
};

/// Capacity that is reserved for pieces of a later stage.
#[derive(Debug)]
pub(super) struct Reservation {
    request: String,
    stage: u8,
    account: u64,
    pub(super) commitment: Commitment,
    pub(super) load: Load,
}

impl Dispatcher {
    /// Queues an order, or refuses it.
    pub fn submit(&mut self, token: Token, order: Pieces, now: Duration) -> Vec<Action> {
        let piece_time = self.times.piece(&self.batch, order.kind);
        let waiting = QueuedOrder::new(token, order, piece_time, now);
        if self.workers.all_failed(now) {
            return vec![end_action(token, Err(PiecesError::NoTarget))];
        }
        let is_booked = self.remove_booking(&waiting.order.request, waiting.order.stage);
        if !is_booked && !self.admit(&waiting, now) {
            return vec![end_action(token, Err(self.refusal(now)))];
        }
        self.queue.push(waiting);
        self.advance(now)
    }

    /// Decides on an order without a booking.
    fn admit(&mut self, waiting: &QueuedOrder, now: Duration) -> bool {
        let work = self.target_time(waiting.load());
        let priority = Priority {
            rank: waiting.order.rank,
            value: waiting.order.worth,
        };
        let account = waiting.order.account;
        let priority = self.ask(account, work, priority, now);
        // A refusal would waste the work of earlier stages.
        let Some(priority) = priority.or(waiting.has_inputs().then_some(LOWEST)) else {
            return false;
        };
        if self.fits_in_time(waiting, priority, now) {
            self.utilization.add(work, now);
            self.shares.admit(account, work, now);
            return true;
        }
        self.may_wait(waiting, now)
    }

    /// Asks for target time on behalf of an account; returns the priority, or none if the account
    /// has its share.
    fn ask(
        &mut self,
        account: u64,
        work: Duration,
        priority: Priority,
        now: Duration,
    ) -> Option<Priority> {
        let rate = self.workers.capacity(now).map_or(0.0, |(_, rate)| rate);
        let value = self.shares.ask(account, work, priority.value, rate, now)?;
        Some(Priority { value, ..priority })
    }

    /// Reserves capacity for pieces of a later stage, so that a request whose later stages can't be
    /// in time is refused before its first ones run.
    ///
    /// # Errors
    /// The refusal, if there is no capacity, not even to serve the request late.
    pub fn book(&mut self, booking: &Booking, now: Duration) -> Result<(), PiecesError> {
        self.bookings.retain(|booked| booked.commitment.due > now);
        let pieces = usize::from(booking.pieces);
        let load = self.times.load(&self.batch, booking.kind, pieces);
        let commitment = Commitment {
            due: now + Duration::from_millis(booking.due_ms),
            work: self.target_time(load),
        };
        let priority = Priority {
            rank: booking.rank,
            value: booking.worth,
        };
        let account = booking.account;
        let Some(priority) = self.ask(account, commitment.work, priority, now) else {
            return Err(self.refusal(now));
        };
        if !self.fits(commitment, priority, now) {
            let deadline = now + Duration::from_millis(booking.deadline_ms);
            let has_time = self.has_time(load, deadline, now);
            return has_time.then_some(()).ok_or_else(|| self.refusal(now));
        }
        self.utilization.add(commitment.work, now);
        self.shares.admit(account, commitment.work, now);
        self.bookings.push(Reservation {
            request: booking.request.clone(),
            stage: booking.stage,
            account,
            commitment,
            load,
        });
        Ok(())
    }

    /// Cancels the bookings of a request.
    pub fn unbook(&mut self, request: &str) {
        let shares = &mut self.shares;
        self.bookings.retain(|booked| {
            let is_kept = booked.request != request;
            if !is_kept {
                shares.refund(booked.account, booked.commitment.work);
            }
            is_kept
        });
    }

    /// Removes the booking of an order; returns whether there was one.
    fn remove_booking(&mut self, request: &str, stage: u8) -> bool {
        let is_own = |booked: &Reservation| booked.request == request && booked.stage == stage;
        let position = self.bookings.iter().position(is_own);
        position.map(|it| self.bookings.swap_remove(it)).is_some()
    }

    /// Whether an order can be in time without delaying others beyond their due time.
    fn fits_in_time(&self, waiting: &QueuedOrder, priority: Priority, now: Duration) -> bool {
        let ahead = self.queue.load_before(waiting);
        let wait = self.wait_behind(ahead, now).unwrap_or_default();
        let mut shared = ahead;
        shared.add(waiting.load());
        let done = now + wait + self.call_time(shared);
        let commitment = Commitment {
            due: waiting.due,
            work: self.target_time(waiting.load()),
        };
        done <= waiting.due && self.fits(commitment, priority, now)
    }

    fn fits(&self, new: Commitment, priority: Priority, now: Duration) -> bool {
        let Some((_, rate)) = self.workers.capacity(now) else {
            return false;
        };
        let waiting = self.queue.waiting().map(|waiting| Commitment {
            due: waiting.due,
            work: self.target_time(waiting.load()),
        });
        // Work that is already late has no priority.
        let waiting = waiting.filter(|commitment| commitment.due > now);
        let booked = self.bookings.iter().map(|booked| booked.commitment);
        let commitments = waiting.chain(booked).collect();
        capacity::fits(
            commitments,
            new,
            priority,
            self.workers.busy_time(now),
            rate,
            now,
        )
    }

    /// Whether an order that can't be in time may wait. If its earlier stages are done, it can use
    /// unused places in calls at almost no cost, while a refusal would waste their work.
    fn may_wait(&self, waiting: &QueuedOrder, now: Duration) -> bool {
        if !waiting.has_inputs() {
            return self.has_time(waiting.load(), waiting.deadline, now);
        }
        let mut ahead = self.queue.load();
        ahead.add(waiting.load());
        let wait = self.wait_behind(ahead, now);
        wait.is_some_and(|wait| now + wait + self.call_time(waiting.load()) < waiting.deadline)
    }

    /// Whether late pieces can still be completed by a deadline, after all queued and booked work.
    fn has_time(&self, load: Load, deadline: Duration, now: Duration) -> bool {
        let mut ahead = self.queue.load();
        for booked in &self.bookings {
            ahead.add(booked.load);
        }
        // A load that does not fit into the current call waits for the next one.
        ahead.add(load);
        self.has_time_behind(ahead, load, deadline, now)
    }

    /// Whether late pieces can still be completed by a deadline, after `ahead` and all work that
    /// arrives meanwhile and can be in time.
    fn has_time_behind(&self, ahead: Load, load: Load, deadline: Duration, now: Duration) -> bool {
        let Some(wait) = self.wait_behind(ahead, now) else {
            return false;
        };
        let rate = self.workers.capacity(now).map_or(0.0, |(_, rate)| rate);
        let Some(wait) = self.utilization.extended_wait(wait, rate, now) else {
            return false;
        };
        now + wait + self.call_time(load) < deadline
    }

    /// Returns queued orders to the caller if every target has failed: other targets may run them.
    pub(super) fn return_queued(&mut self, now: Duration) -> Vec<Action> {
        if !self.workers.all_failed(now) {
            return Vec::new();
        }
        let waiting = self.queue.waiting().filter(|it| !it.is_running());
        let tokens: Vec<Token> = waiting.map(|it| it.token).collect();
        let ends = tokens.into_iter();
        ends.flat_map(|token| self.fail(token, PiecesError::NoTarget, now))
            .collect()
    }

    /// Refuses orders that can't be in time and whose deadline is too close to wait for lower load,
    /// and those whose deadline is too close for a call.
    pub(super) fn refuse_infeasible(&mut self, now: Duration) -> Vec<Action> {
        let soonest = now + self.batch.call_time;
        let is_in_time = |it: &&QueuedOrder| it.due >= soonest && it.deadline >= soonest;
        let in_time = self.queue.waiting().filter(is_in_time);
        let mut ahead: Load = in_time.map(QueuedOrder::load).sum();
        let mut infeasible = Vec::new();
        for waiting in self.queue.waiting().filter(|it| !is_in_time(it)) {
            if waiting.is_running() {
                continue;
            }
            let may_wait = if waiting.has_inputs() {
                now + self.call_time(waiting.load()) < waiting.deadline
            } else {
                self.has_time_behind(ahead, waiting.load(), waiting.deadline, now)
            };
            if may_wait {
                ahead.add(waiting.load());
            } else {
                infeasible.push(waiting.token);
            }
        }
        if infeasible.is_empty() {
            return Vec::new();
        }
        let refusal = self.refusal(now);
        let refusals = infeasible.into_iter();
        refusals
            .flat_map(|token| self.fail(token, refusal.clone(), now))
            .collect()
    }

    /// Returns a refusal whose retry delay is the time until the queue is empty.
    fn refusal(&self, now: Duration) -> PiecesError {
        let backlog = self.delay(now).unwrap_or_default();
        PiecesError::Late {
            retry_after_ms: millis(backlog.max(MIN_RETRY_DELAY)),
        }
    }
}
