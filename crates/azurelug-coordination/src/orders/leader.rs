use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use super::engine::{Engine, Phase};
use super::{
    Action, Catalog, EngineStatus, Event, Order, OrderResult, Settings, State, StoreLimit,
};
use crate::lease::{Identity, drift_safe_wait};
use crate::rate::{Grantor, Holder, LeaseTimes};
use crate::share;

/// Length of the lease under which the leader itself holds the rate of the weight store.
const STORE_TERM: Duration = Duration::from_secs(2);

/// Time between two renewals of that lease.
const STORE_RENEWAL: Duration = Duration::from_millis(500);

/// Sends orders to engines while its process is the leader.
#[derive(Debug)]
pub struct Orders<C: Catalog> {
    settings: Settings,
    term: u64,
    /// The time until which an earlier leader may still send orders.
    opens_at: Duration,
    tokens: Option<StoreTokens>,
    engines: BTreeMap<C::Engine, Engine<C>>,
    /// The engine that got the last order. The search for the next one begins after it, so that an
    /// engine whose orders fail does not use up the rate of the others.
    last_ordered: Option<C::Engine>,
    number: u64,
    reads: usize,
    orders: usize,
}

/// The leader's tokens of the weight store's rate limit.
#[derive(Debug)]
struct StoreTokens {
    grantor: Grantor,
    holder: Holder,
    load_cost: u32,
    renew_due: Duration,
    /// Loads that were issued and have not been sent yet.
    issued: u32,
}

impl<C: Catalog> Orders<C> {
    /// The orders of a newly elected leader; `term` is their fencing number.
    pub fn new(now: Duration, term: u64, settings: Settings) -> Self {
        let opens_at = now + drift_safe_wait(settings.leader_lease + settings.send_delay);
        let tokens = |store| StoreTokens::new(now, term, &settings, store);
        Self {
            tokens: settings.store.map(tokens),
            settings,
            term,
            opens_at,
            engines: BTreeMap::new(),
            last_ordered: None,
            number: 0,
            reads: 0,
            orders: 0,
        }
    }

    /// Handles one event. `leads_until` is the end of the leader lease on the same clock as `now`;
    /// after it there are no actions.
    #[must_use = "the caller must carry out the actions"]
    pub fn step(
        &mut self,
        event: Event<C>,
        now: Duration,
        leads_until: Duration,
    ) -> Vec<Action<C>> {
        let affected = match event {
            Event::Tick => None,
            Event::Desired {
                engine,
                state,
                checks_fencing,
            } => {
                self.set_desired(now, engine, state, checks_fencing);
                Some(engine)
            }
            Event::Removed { engine } => {
                self.remove(engine);
                Some(engine)
            }
            Event::Read {
                engine,
                number,
                state,
            } => {
                self.read(now, engine, number, state);
                Some(engine)
            }
            Event::Ended {
                engine,
                number,
                end,
            } => {
                self.ended(now, engine, number, end);
                Some(engine)
            }
        };
        let mut actions = Vec::new();
        if now >= leads_until {
            return actions;
        }
        if let Some(engine) = affected {
            self.issue_due(engine, now, &mut actions);
            return actions;
        }
        if let Some(tokens) = &mut self.tokens {
            tokens.renew(now, leads_until);
        }
        for engine in self.engines_to_check(now) {
            self.issue_due(engine, now, &mut actions);
        }
        actions
    }

    /// Whether an issued order may be sent now. Call it immediately before sending, with a fresh
    /// reading of the clock and of the lease: the process may have been suspended since the order
    /// was issued. If not, the order is dropped and issued again later; no event follows.
    #[must_use]
    pub fn confirm_send(
        &mut self,
        engine: C::Engine,
        number: u64,
        now: Duration,
        leads_until: Duration,
    ) -> bool {
        let Some(entry) = self.engines.get_mut(&engine) else {
            return false;
        };
        let order = match &entry.phase {
            Phase::Issued {
                number: issued,
                order,
            } if *issued == number => order.clone(),
            _ => return false,
        };
        // The desired state may have changed since the order was issued.
        let is_wanted = entry.next(now, &self.settings).as_ref() == Some(&order);
        let mut may_send = is_wanted && now < leads_until;
        if let (Order::Load(_), Some(tokens)) = (&order, &mut self.tokens) {
            tokens.issued -= 1;
            may_send = may_send && tokens.holder.spend(now, tokens.load_cost);
        }
        if may_send {
            entry.sent(number, order, now);
        } else {
            entry.phase = Phase::Idle;
            self.orders -= 1;
        }
        may_send
    }

    /// All engines, for a dump.
    pub fn engine_statuses(&self, now: Duration) -> impl Iterator<Item = EngineStatus<C>> {
        self.engines
            .iter()
            .map(move |(key, engine)| engine.row(*key, now, self.opens_at, &self.settings))
    }

    /// The fencing number of the orders.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The engines that may need a read or an order, starting after the last one that got an order.
    fn engines_to_check(&self, now: Duration) -> Vec<C::Engine> {
        let start = self.last_ordered.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.last_ordered.map(|last| self.engines.range(..=last));
        let engines = self.engines.range((start, Bound::Unbounded));
        let engines = engines.chain(rest.into_iter().flatten());
        let due = engines.filter(|(_, engine)| !engine.is_quiet(now));
        due.map(|(key, _)| *key).collect()
    }

    fn set_desired(
        &mut self,
        now: Duration,
        engine: C::Engine,
        state: State<C>,
        checks_fencing: bool,
    ) {
        let read_due = now.max(self.opens_at);
        let has_room = self.engines.len() < self.settings.limits.engines;
        match self.engines.get_mut(&engine) {
            Some(existing) => existing.set_desired(state, checks_fencing, read_due),
            None if has_room => {
                let new = Engine::new(state, checks_fencing, read_due);
                self.engines.insert(engine, new);
            }
            None => {}
        }
    }

    fn remove(&mut self, engine: C::Engine) {
        match self.engines.remove(&engine).map(|removed| removed.phase) {
            None | Some(Phase::Idle) => {}
            Some(Phase::Reading { .. }) => self.reads -= 1,
            Some(Phase::Sent { .. }) => self.orders -= 1,
            Some(Phase::Issued { order, .. }) => {
                self.orders -= 1;
                if let (Order::Load(_), Some(tokens)) = (order, &mut self.tokens) {
                    tokens.issued -= 1;
                }
            }
        }
    }

    fn read(&mut self, now: Duration, engine: C::Engine, number: u64, state: Option<State<C>>) {
        let Some(entry) = self.engines.get_mut(&engine) else {
            return;
        };
        match entry.phase {
            Phase::Reading {
                number: asked,
                asked_at,
            } if asked == number => {
                self.reads -= 1;
                let limit = self.settings.limits.models;
                let state = state.filter(|state| state.loaded.len() <= limit);
                entry.read(now, asked_at, state, &self.settings);
            }
            _ => {}
        }
    }

    fn ended(&mut self, now: Duration, engine: C::Engine, number: u64, end: OrderResult) {
        let Some(entry) = self.engines.get_mut(&engine) else {
            return;
        };
        match &entry.phase {
            Phase::Sent {
                number: sent,
                order,
                sent_at,
            } if *sent == number => {
                self.orders -= 1;
                let (order, sent_at) = (order.clone(), *sent_at);
                entry.ended(now, order, sent_at, end, &self.settings);
            }
            _ => {}
        }
    }

    /// Issues a read of one engine's state or an order to it, if either is due.
    fn issue_due(&mut self, engine: C::Engine, now: Duration, actions: &mut Vec<Action<C>>) {
        let Some(entry) = self.engines.get_mut(&engine) else {
            return;
        };
        if !matches!(entry.phase, Phase::Idle) || now < self.opens_at {
            return;
        }
        if now >= entry.read_due {
            if self.reads < self.settings.limits.reads {
                self.number += 1;
                self.reads += 1;
                entry.phase = Phase::Reading {
                    number: self.number,
                    asked_at: now,
                };
                actions.push(Action::Read {
                    engine,
                    number: self.number,
                });
            }
            return;
        }
        let Some(order) = entry.next(now, &self.settings) else {
            return;
        };
        if !entry.may_order(now) || self.orders >= self.settings.limits.orders {
            return;
        }
        if let (Order::Load(_), Some(tokens)) = (&order, &mut self.tokens) {
            if !tokens.can_issue(now) {
                return;
            }
            tokens.issued += 1;
        }
        self.number += 1;
        self.orders += 1;
        self.last_ordered = Some(engine);
        entry.phase = Phase::Issued {
            number: self.number,
            order: order.clone(),
        };
        actions.push(Action::Order {
            engine,
            number: self.number,
            order,
            fencing: self.term,
        });
    }
}

impl StoreTokens {
    fn new(now: Duration, term: u64, settings: &Settings, store: StoreLimit) -> Self {
        let lease_times = LeaseTimes {
            term: STORE_TERM,
            leader_lease: settings.leader_lease + settings.send_delay,
        };
        let limits = share::Limits {
            holders: 1,
            targets: 1,
        };
        let identity = Identity {
            id: 0,
            incarnation: term,
        };
        let mut holder = Holder::new(now, identity, store.rate, lease_times);
        holder.set_demand(store.rate.per_second);
        Self {
            grantor: Grantor::new(now, term, store.rate, lease_times, limits),
            holder,
            load_cost: store.load_cost,
            renew_due: now,
            issued: 0,
        }
    }

    fn renew(&mut self, now: Duration, leads_until: Duration) {
        if now < self.renew_due {
            return;
        }
        self.renew_due = now + STORE_RENEWAL;
        let request = self.holder.request(now);
        if let Some(answer) = self.grantor.request(now, leads_until, &request) {
            self.holder.answer(now, &answer);
        }
    }

    /// Whether there are tokens for one more load in addition to those that were issued.
    fn can_issue(&mut self, now: Duration) -> bool {
        let cost = self.load_cost.saturating_mul(self.issued + 1);
        self.holder.has_tokens(now, cost)
    }
}
