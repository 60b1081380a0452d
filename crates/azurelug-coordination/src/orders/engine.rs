use std::time::Duration;

use super::{Catalog, EngineStatus, Order, OrderResult, Settings, State, Waiting};

/// The leader's state of one engine.
#[derive(Debug)]
pub(super) struct Engine<C: Catalog> {
    pub(super) desired: State<C>,
    pub(super) checks_fencing: bool,
    pub(super) phase: Phase<C>,
    observed: Option<Observed<C>>,
    /// The latest read showed the desired state.
    is_settled: bool,
    /// The last order, until a read shows its effect or was started after `until`.
    unconfirmed: Option<Unconfirmed<C>>,
    pub(super) read_due: Duration,
    order_due: Duration,
    misses: u32,
    last: Option<(Order<C>, Duration, Option<OrderResult>)>,
}

#[derive(Debug)]
pub(super) enum Phase<C: Catalog> {
    Idle,
    Reading {
        number: u64,
        asked_at: Duration,
    },
    /// `Orders::confirm_send` has not been called yet.
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
struct Observed<C: Catalog> {
    state: State<C>,
    asked_at: Duration,
    /// No order has been sent and no read has failed since.
    is_current: bool,
}

#[derive(Debug)]
struct Unconfirmed<C: Catalog> {
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
            observed: None,
            is_settled: false,
            unconfirmed: None,
            read_due,
            order_due: Duration::ZERO,
            misses: 0,
            last: None,
        }
    }

    /// Sets a new desired state. The engine is read without delay, regardless of earlier failures.
    pub(super) fn set_desired(
        &mut self,
        desired: State<C>,
        checks_fencing: bool,
        read_due: Duration,
    ) {
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
        let observed = self.observed.as_ref().filter(|observed| {
            observed.is_current && now.saturating_sub(observed.asked_at) <= settings.read_interval
        })?;
        Order::next(&self.desired, &observed.state)
    }

    pub(super) fn may_order(&self, now: Duration) -> bool {
        self.unconfirmed.is_none() && now >= self.order_due
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
            if let Some(observed) = &mut self.observed {
                observed.is_current = false;
            }
            self.count_failure();
            self.read_due = now + self.retry_delay(settings);
            return;
        };
        self.read_due = now + settings.read_interval;
        if let Some(unconfirmed) = self.unconfirmed.take() {
            if unconfirmed.order.is_done_in(&state) {
                self.misses = 0;
            } else if asked_at >= unconfirmed.until {
                self.count_failure();
                self.order_due = now + self.retry_delay(settings);
            } else {
                self.unconfirmed = Some(unconfirmed);
                self.read_due = now + settings.retry;
            }
        }
        self.is_settled = Order::next(&self.desired, &state).is_none();
        if self.is_settled && self.unconfirmed.is_none() {
            self.misses = 0;
        }
        self.observed = Some(Observed {
            state,
            asked_at,
            is_current: true,
        });
    }

    pub(super) fn sent(&mut self, number: u64, order: Order<C>, sent_at: Duration) {
        if let Some(observed) = &mut self.observed {
            observed.is_current = false;
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
        end: OrderResult,
        settings: &Settings,
    ) {
        self.phase = Phase::Idle;
        self.last = Some((order.clone(), sent_at, Some(end)));
        let until = if end == OrderResult::Unanswered && !self.checks_fencing {
            sent_at + settings.longest_order
        } else {
            Duration::ZERO
        };
        self.unconfirmed = Some(Unconfirmed { order, until });
        self.read_due = now;
    }

    fn count_failure(&mut self) {
        self.misses = self.misses.saturating_add(1);
    }

    /// Delay of the next attempt, which doubles with each of the `misses` consecutive failures.
    fn retry_delay(&self, settings: &Settings) -> Duration {
        let doubled = settings.retry * (1 << self.misses.saturating_sub(1).min(16));
        doubled.min(settings.read_interval)
    }

    pub(super) fn row(
        &self,
        engine: C::Engine,
        now: Duration,
        opens_at: Duration,
        settings: &Settings,
    ) -> EngineStatus<C> {
        let next = self.next(now, settings);
        let is_as_desired = self.observed.as_ref().is_some_and(|observed| {
            observed.is_current && Order::next(&self.desired, &observed.state).is_none()
        });
        let waiting = match (&self.phase, &next) {
            _ if now < opens_at => Waiting::EarlierLeader,
            (Phase::Issued { .. } | Phase::Sent { .. }, _) => Waiting::Running,
            _ if self.unconfirmed.as_ref().is_some_and(|it| now < it.until) => Waiting::Unanswered,
            (_, None) if is_as_desired => Waiting::Nothing,
            (_, None) => Waiting::Read,
            _ if now < self.order_due => Waiting::Retry,
            (_, Some(Order::Load(_))) if settings.store.is_some() => Waiting::StoreRate,
            _ => Waiting::OrderLimit,
        };
        EngineStatus {
            engine,
            state: self
                .observed
                .as_ref()
                .map(|observed| observed.state.clone()),
            read_at: self.observed.as_ref().map(|observed| observed.asked_at),
            last: self.last.clone(),
            misses: self.misses,
            waiting,
        }
    }
}
