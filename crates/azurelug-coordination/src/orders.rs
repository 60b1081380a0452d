//! Orders to engines: which models each engine loads and which role it has.
//!
//! [`Orders`] runs on the leader. It reads the state of each engine, compares it with the desired
//! state and sends one order at a time to each engine, with the leader's term as fencing number.
//! Some engines ignore that number, so that an order of an earlier leader, or one whose answer was
//! lost, may still take effect: every order is followed by a read, and reads are repeated
//! periodically. No order may be sent after the leader lease has ended, and no load without tokens
//! of the weight store's rate limit.

mod engine;
mod leader;

pub use leader::Orders;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use crate::rate::Rate;

/// The caller's types of engines, models and roles.
pub trait Catalog: Clone + Debug + PartialEq + Eq {
    /// Key of an engine. A key is never reused for another engine.
    type Engine: Copy + Ord + Debug;
    /// A model with all that identifies it, such as adapter and version.
    type Model: Clone + Ord + Debug;
    /// What an engine does.
    type Role: Clone + Eq + Debug;
}

/// The actual or desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State<C: Catalog> {
    /// Loaded models.
    pub loaded: BTreeSet<C::Model>,
    /// The engine's role.
    pub role: C::Role,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order<C: Catalog> {
    /// Loads a model from the weight store.
    Load(C::Model),
    /// Changes the role.
    Role(C::Role),
    /// Unloads a model.
    Unload(C::Model),
}

impl<C: Catalog> Order<C> {
    /// Whether `state` shows the effect of the order.
    pub fn is_done_in(&self, state: &State<C>) -> bool {
        match self {
            Self::Load(model) => state.loaded.contains(model),
            Self::Role(role) => state.role == *role,
            Self::Unload(model) => !state.loaded.contains(model),
        }
    }

    /// The next order that brings `actual` closer to `desired`. Loads come first and unloads last,
    /// so that no stage is without a model in between.
    pub fn next(desired: &State<C>, actual: &State<C>) -> Option<Self> {
        let missing = desired.loaded.difference(&actual.loaded).next();
        if let Some(model) = missing {
            return Some(Self::Load(model.clone()));
        }
        if desired.role != actual.role {
            return Some(Self::Role(desired.role.clone()));
        }
        let surplus = actual.loaded.difference(&desired.loaded).next();
        surplus.map(|model| Self::Unload(model.clone()))
    }
}

/// An input of [`Orders::step`].
#[derive(Clone, Debug)]
pub enum Event<C: Catalog> {
    /// Advances the time; sent about every 100 ms.
    Tick,
    /// An engine is new or should have another state.
    Desired {
        /// The engine.
        engine: C::Engine,
        /// Its desired state.
        state: State<C>,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// An engine was removed from the configuration.
    Removed {
        /// The engine.
        engine: C::Engine,
    },
    /// The only result of an [`Action::Read`].
    Read {
        /// The engine.
        engine: C::Engine,
        /// The number of the action.
        number: u64,
        /// Its state; `None` if there was no usable answer.
        state: Option<State<C>>,
    },
    /// The only result of an [`Action::Order`] that [`Orders::confirm_send`] allowed.
    Ended {
        /// The engine.
        engine: C::Engine,
        /// The number of the action.
        number: u64,
        /// How it ended.
        end: OrderResult,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine reports that the order was carried out.
    Done,
    /// The engine refused it, or it provably was not sent.
    Refused,
    /// There was no answer. The order may still be carried out.
    Unanswered,
}

/// An output of [`Orders::step`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<C: Catalog> {
    /// Read the engine's state and report one [`Event::Read`].
    Read {
        /// The engine.
        engine: C::Engine,
        /// Identifies the action; its result carries the same number.
        number: u64,
    },
    /// Call [`Orders::confirm_send`] with a fresh clock reading; if it returns true, send the order at once
    /// and report one [`Event::Ended`].
    Order {
        /// The engine.
        engine: C::Engine,
        /// Identifies the action; its result carries the same number.
        number: u64,
        /// The order.
        order: Order<C>,
        /// The fencing number.
        fencing: u64,
    },
}

/// Times and limits. All control daemons must agree on them.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Length of the lease under which a leader may act as leader.
    pub leader_lease: Duration,
    /// The longest time from [`Orders::confirm_send`] until the first byte is sent, such as the connect
    /// timeout.
    pub send_delay: Duration,
    /// Time between two reads of an engine in its desired state. An order requires a read that is
    /// no older.
    pub read_interval: Duration,
    /// Time between two reads or orders of an engine that is not yet in its desired state; doubled
    /// up to `read_interval` while reads or orders fail.
    pub retry: Duration,
    /// The longest duration of an order, counted from its sending. An engine that ignores
    /// fencing numbers and has not answered gets no other order before, unless a read shows the
    /// order's effect.
    pub longest_order: Duration,
    /// The limit on loads from the weight store; `None` for no limit.
    pub store: Option<StoreLimit>,
    /// Limits of the state.
    pub limits: Limits,
}

/// The limit on loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimit {
    /// The rate. The tokens that accumulate within its window must be enough for one load.
    pub rate: Rate,
    /// Tokens for one load.
    pub load_cost: u32,
}

impl StoreLimit {
    /// At most `loads` loads start within any span of `per`, evenly spread; `None` if a number is 0
    /// or too large.
    pub fn spread(loads: u32, per: Duration) -> Option<Self> {
        let load_cost = u32::try_from(per.as_millis()).ok()?;
        let per_second = loads.checked_mul(1_000)?;
        if load_cost == 0 || per_second == 0 {
            return None;
        }
        let mut rate = Rate {
            per_second,
            window: Duration::ZERO,
        };
        // The tokens of exactly one load accumulate in the window, at the rate that is reduced for
        // the drift of clocks.
        let nanos = u64::from(load_cost) * 1_000_000_000;
        rate.window = Duration::from_nanos(nanos.div_ceil(u64::from(rate.grantable_per_second())));
        Some(Self { rate, load_cost })
    }
}

/// Limits of the state of [`Orders`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of engines. Further ones get no orders.
    pub engines: usize,
    /// Maximum number of models that an engine may report. A longer list counts as no answer.
    pub models: usize,
    /// Maximum number of reads in flight.
    pub reads: usize,
    /// Maximum number of orders in flight.
    pub orders: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            engines: 4_096,
            models: 256,
            reads: 64,
            orders: 256,
        }
    }
}

/// Why an engine gets no order at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// The engine is in its desired state.
    Nothing,
    /// The lease of an earlier leader may not have ended.
    EarlierLeader,
    /// The engine's state must be read first.
    Read,
    /// An order is being sent or carried out.
    Running,
    /// An order without an answer may still be carried out.
    Unanswered,
    /// The weight store's rate limit.
    StoreRate,
    /// The maximum number of orders is in flight at other engines.
    OrderLimit,
    /// The last order had no effect; it is sent again after a delay.
    Retry,
}

/// What is known of one engine, for a dump.
#[derive(Clone, Debug)]
pub struct EngineStatus<C: Catalog> {
    /// The engine.
    pub engine: C::Engine,
    /// Its state at the last read.
    pub state: Option<State<C>>,
    /// When that read was started.
    pub read_at: Option<Duration>,
    /// The last order that was sent, when, and how it ended; `None` while it runs.
    pub last: Option<(Order<C>, Duration, Option<OrderResult>)>,
    /// Consecutive failures: reads that failed and orders without effect.
    pub misses: u32,
    /// Why there is no order now.
    pub waiting: Waiting,
}
