use std::time::Duration;

use super::{Catalog, End, Order, Row, Settings, State, Waiting};

/// The leader's state of one engine.
#[derive(Debug)]
pub(super) struct Engine<C: Catalog> {
    pub(super) desired: State<C>,
    pub(super) checks_fencing: bool,
    pub(super) phase: Phase<C>,
    known: Option<Known<C>>,
    /// The latest read showed the desired state.
    is_settled: bool,
    /// The last order, until a read shows its effect or was started after `until`.
    unproven: Option<Unproven<C>>,
    pub(super) read_due: Duration,
    order_due: Duration,
    misses: u32,
    last: Option<(Order<C>, Duration, Option<End>)>,
}

#[derive(Debug)]
pub(super) enum Phase<C: Catalog> {
    Idle,
    Reading {
        number: u64,
        asked_at: Duration,
    },
    /// `Orders::send` has not been called yet.
    Issued {
        number: u64,
        order: Order<C>,
    },
    Sent {
        number: u64,
        order: Order<C>,
        sent_at: Duration,
    },
}

#[derive(Debug)]
struct Known<C: Catalog> {
    state: State<C>,
    asked_at: Duration,
    /// No order has been sent and no read has failed since.
    is_current: bool,
}

#[derive(Debug)]
struct Unproven<C: Catalog> {
    order: Order<C>,
    /// The time until which the order may still be carried out.
    until: Duration,
}

impl<C: Catalog> Engine<C> {
    pub(super) fn new(desired: State<C>, checks_fencing: bool, read_due: Duration) -> Self {
        Self {
            desired,
            checks_fencing,
            phase: Phase::Idle,
            known: None,
            is_settled: false,
            unproven: None,
            read_due,
            order_due: Duration::ZERO,
            misses: 0,
            last: None,
        }
    }

    /// Sets a new desired state. The engine is read without delay, regardless of earlier failures.
    pub(super) fn desire(&mut self, desired: State<C>, checks_fencing: bool, read_due: Duration) {
        self.desired = desired;
        self.is_settled = false;
        self.checks_fencing = checks_fencing;
        self.misses = 0;
        self.order_due = Duration::ZERO;
        self.read_due = self.read_due.min(read_due);
    }

    /// Whether a tick has nothing to do for this engine before its next read is due.
    pub(super) fn is_quiet(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Idle => self.is_settled && now < self.read_due,
            Phase::Reading { .. } | Phase::Issued { .. } | Phase::Sent { .. } => true,
        }
    }

    /// The next order, if the latest read is recent enough and no order was sent since.
    pub(super) fn next(&self, now: Duration, settings: &Settings) -> Option<Order<C>> {
        let known = self.known.as_ref().filter(|known| {
            known.is_current && now.saturating_sub(known.asked_at) <= settings.read_interval
        })?;
        Order::next(&self.desired, &known.state)
    }

    pub(super) fn may_order(&self, now: Duration) -> bool {
        self.unproven.is_none() && now >= self.order_due
    }

    pub(super) fn read(
        &mut self,
        now: Duration,
        asked_at: Duration,
        state: Option<State<C>>,
        settings: &Settings,
    ) {
        self.phase = Phase::Idle;
        self.is_settled = false;
        let Some(state) = state else {
            if let Some(known) = &mut self.known {
                known.is_current = false;
            }
            self.miss();
            self.read_due = now + self.pause(settings);
            return;
        };
        self.read_due = now + settings.read_interval;
        if let Some(unproven) = self.unproven.take() {
            if unproven.order.is_done_in(&state) {
                self.misses = 0;
            } else if asked_at >= unproven.until {
                self.miss();
                self.order_due = now + self.pause(settings);
            } else {
                self.unproven = Some(unproven);
                self.read_due = now + settings.retry;
            }
        }
        self.is_settled = Order::next(&self.desired, &state).is_none();
        if self.is_settled && self.unproven.is_none() {
            self.misses = 0;
        }
        self.known = Some(Known {
            state,
            asked_at,
            is_current: true,
        });
    }

    pub(super) fn sent(&mut self, number: u64, order: Order<C>, sent_at: Duration) {
        if let Some(known) = &mut self.known {
            known.is_current = false;
        }
        self.last = Some((order.clone(), sent_at, None));
        self.phase = Phase::Sent {
            number,
            order,
            sent_at,
        };
    }

    pub(super) fn ended(
        &mut self,
        now: Duration,
        order: Order<C>,
        sent_at: Duration,
        end: End,
        settings: &Settings,
    ) {
        self.phase = Phase::Idle;
        self.last = Some((order.clone(), sent_at, Some(end)));
        let until = if end == End::Unanswered && !self.checks_fencing {
            sent_at + settings.longest_order
        } else {
            Duration::ZERO
        };
        self.unproven = Some(Unproven { order, until });
        self.read_due = now;
    }

    fn miss(&mut self) {
        self.misses = self.misses.saturating_add(1);
    }

    /// Delay of the next attempt, which doubles with each of the `misses` consecutive failures.
    fn pause(&self, settings: &Settings) -> Duration {
        let doubled = settings.retry * (1 << self.misses.saturating_sub(1).min(16));
        doubled.min(settings.read_interval)
    }

    pub(super) fn row(
        &self,
        engine: C::Engine,
        now: Duration,
        opens_at: Duration,
        settings: &Settings,
    ) -> Row<C> {
        let next = self.next(now, settings);
        let is_as_desired = self.known.as_ref().is_some_and(|known| {
            known.is_current && Order::next(&self.desired, &known.state).is_none()
        });
        let waiting = match (&self.phase, &next) {
            _ if now < opens_at => Waiting::EarlierLeader,
            (Phase::Issued { .. } | Phase::Sent { .. }, _) => Waiting::Running,
            _ if self.unproven.as_ref().is_some_and(|it| now < it.until) => Waiting::Unanswered,
            (_, None) if is_as_desired => Waiting::Nothing,
            (_, None) => Waiting::Read,
            _ if now < self.order_due => Waiting::Retry,
            (_, Some(Order::Load(_))) if settings.store.is_some() => Waiting::Store,
            _ => Waiting::Others,
        };
        Row {
            engine,
            state: self.known.as_ref().map(|known| known.state.clone()),
            read_at: self.known.as_ref().map(|known| known.asked_at),
            last: self.last.clone(),
            misses: self.misses,
            waiting,
        }
    }
}
