//! Orders to engines: which models each engine loads and which role it has.
//!
//! [`Orders`] runs on the leader. It reads the state of each engine, compares it with the desired
//! state and gives one order at a time to each engine, with the leader's term as fencing number.
//! Some engines ignore that number, so that an order of an earlier leader, or one whose answer was
//! lost, may still take effect: every order is followed by a read, and reads go on for good. It must
//! never let an order leave after the leader lease, or a load without tokens of the weight store.

mod engine;
mod leader;

pub use leader::Orders;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use crate::rate::Rate;

/// What the caller's engines, models and roles are called.
pub trait Catalog: Clone + Debug + PartialEq + Eq {
    /// Key of an engine. A key is never used again for another engine.
    type Engine: Copy + Ord + Debug;
    /// A model with all that tells it from others, such as adapter and version.
    type Model: Clone + Ord + Debug;
    /// What an engine does.
    type Role: Clone + Eq + Debug;
}

/// What an engine has, or should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State<C: Catalog> {
    /// Loaded models.
    pub loaded: BTreeSet<C::Model>,
    /// Its role.
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
    /// so that no stage is left without a model meanwhile.
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

/// What happened.
#[derive(Clone, Debug)]
pub enum Event<C: Catalog> {
    /// Time has passed; about every 100 ms.
    Tick,
    /// An engine is new or should have another state.
    Desired {
        /// The engine.
        engine: C::Engine,
        /// What it should have.
        state: State<C>,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// An engine is gone from the configuration.
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
        /// Its state; none if no usable answer came.
        state: Option<State<C>>,
    },
    /// The only result of an [`Action::Order`] that [`Orders::send`] let through.
    Ended {
        /// The engine.
        engine: C::Engine,
        /// The number of the action.
        number: u64,
        /// How it ended.
        end: End,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The engine says that it is carried out.
    Done,
    /// The engine refused it, or it provably was not sent.
    Refused,
    /// No answer came. The order may still be carried out.
    Unanswered,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<C: Catalog> {
    /// Read the engine's state and report one [`Event::Read`].
    Read {
        /// The engine.
        engine: C::Engine,
        /// To be given back with the result.
        number: u64,
    },
    /// Call [`Orders::send`] with a fresh clock reading; if it allows so, send the order at once and
    /// report one [`Event::Ended`].
    Order {
        /// The engine.
        engine: C::Engine,
        /// To be given back with the result.
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
    /// The longest time from [`Orders::send`] until the first byte leaves, such as the time in which a
    /// connection must open.
    pub send_delay: Duration,
    /// Time between two reads of an engine that is as desired. An order relies on a read that is no
    /// older.
    pub read_interval: Duration,
    /// Time between two reads or orders of an engine that is not yet as desired; doubled up to
    /// `read_interval` while reads or orders have no success.
    pub retry: Duration,
    /// The longest time that an order may take, counted from its sending. An engine that ignores
    /// fencing numbers and has not answered gets no other order before, unless a read shows the
    /// order's effect.
    pub longest_order: Duration,
    /// The weight store's limit; none if it has none.
    pub store: Option<Store>,
    /// Bounds of the state.
    pub limits: Limits,
}

/// The limit on loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// The rate. What its window saves must be enough for one load.
    pub rate: Rate,
    /// Tokens for one load.
    pub load_cost: u32,
}

impl Store {
    /// At most `loads` loads start within any span of `per`, evenly spread; none if the numbers are 0
    /// or too large to count.
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
        // Saves one load and no more, at the rate that is left for the drift of clocks.
        let nanos = u64::from(load_cost) * 1_000_000_000;
        rate.window = Duration::from_nanos(nanos.div_ceil(u64::from(rate.divided())));
        Some(Self { rate, load_cost })
    }
}

/// Bounds of the state of [`Orders`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most engines. Further ones get no orders.
    pub engines: usize,
    /// Most models that an engine may show. A longer list counts as no answer.
    pub models: usize,
    /// Most reads at a time.
    pub reads: usize,
    /// Most orders at a time.
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
    /// It is as desired.
    Nothing,
    /// The lease of an earlier leader may not have ended.
    EarlierLeader,
    /// Its state has to be read first.
    Read,
    /// An order is on its way or being carried out.
    Running,
    /// An order without an answer may still be carried out.
    Unanswered,
    /// The weight store's rate.
    Store,
    /// Too many orders run at other engines.
    Others,
    /// The last order had no effect; it is given again later.
    Retry,
}

/// What is known of one engine, for a dump.
#[derive(Clone, Debug)]
pub struct Row<C: Catalog> {
    /// The engine.
    pub engine: C::Engine,
    /// Its state at the last read.
    pub state: Option<State<C>>,
    /// When that read was asked for.
    pub read_at: Option<Duration>,
    /// The last order that was sent, when, and how it ended; without an end it runs.
    pub last: Option<(Order<C>, Duration, Option<End>)>,
    /// Failed reads, and orders without effect, in a row.
    pub misses: u32,
    /// Why there is no order now.
    pub waiting: Waiting,
}
