//! Sends orders to engines while this daemon leads.
//!
//! Runs the state machine of the orders and performs its actions over HTTP: it reads `/v1/state`
//! and posts to `/v1/orders`. A daemon that does not lead calls no engine.

mod report;

pub use report::Report;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_coordination::orders::{
    self, Action, Catalog, Event, Limits, Order, OrderResult, Orders, State,
};
use azurelug_coordination::raft;
use azurelug_http::client::Call;
use azurelug_http::{Client, Error};
use azurelug_types::config::{Config, Role, Target};
use azurelug_types::id::TargetName;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};

use crate::replica::Replica;
use crate::settings;

/// Interval at which due reads and orders are started. With 64 reads at a time, a new leader starts
/// the first reads of 1,900 engines within 3 s.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// First pause after a failed read or order.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Timeout for reading an engine's state.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Connect timeout of the HTTP client. The first byte of an order is sent at most this long after
/// the check of the lease.
const MAX_SEND_DELAY: Duration = Duration::from_millis(500);

/// Size limit of an engine's answer in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Engines are identified by target number, models and roles by the names that engines use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCatalog;

impl Catalog for EngineCatalog {
    type Engine = u32;
    type Model = String;
    type Role = String;
}

/// The engines of all zones. Clones share the state.
#[derive(Clone)]
pub struct Engines {
    settings: orders::Settings,
    started: Clock,
    replica: Replica,
    client: Client,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    /// The orders of the latest term in which this daemon led; none before the first one.
    orders: Option<Orders<EngineCatalog>>,
    targets: HashMap<u32, Engine>,
}

/// An engine in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Engine {
    name: TargetName,
    address: SocketAddr,
    desired: State<EngineCatalog>,
    checks_fencing: bool,
}

/// The part of an engine's state that is used here.
#[derive(Deserialize)]
struct EngineState {
    loaded: BTreeSet<String>,
    role: String,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    fencing: u64,
}

impl Engines {
    /// Creates the state without engines; [`Engines::run`] sends the orders.
    ///
    /// # Errors
    /// The HTTP client can't be built.
    pub fn new(settings: settings::Orders, replica: Replica) -> Result<Self, Error> {
        let store = settings.weight_store;
        let settings = orders::Settings {
            leader_lease: raft::Settings::default().leader_lease(),
            send_delay: MAX_SEND_DELAY,
            read_interval: settings.read_interval.0,
            retry: RETRY_PAUSE,
            longest_order: settings.longest_order.0,
            store: store.map(|store| store.store().expect("the settings were checked")),
            limits: Limits::default(),
        };
        Ok(Self {
            settings,
            started: Clock::start(),
            replica,
            // The interval between reads of an engine is longer than servers keep idle connections,
            // and an order should not be sent on a dead connection.
            client: Client::unpooled()?,
            inner: Arc::default(),
        })
    }

    /// Tracks the leadership and the configuration until the log's task ends.
    pub async fn run(self) {
        let mut configs = self.replica.watch_config();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Ok(is_changed) = configs.has_changed() else {
                return;
            };
            let is_new_term = self.follow_leadership();
            let has_led = self.lock().orders.is_some();
            if is_new_term || (has_led && is_changed) {
                let config = Arc::clone(&configs.borrow_and_update());
                self.configure(&config);
            }
            if has_led {
                self.step(Event::Tick);
            }
        }
    }

    /// Creates a new state machine in each term in which this daemon leads; returns whether it did
    /// so now. A lease that lapses within a term does not require it: there was no other leader
    /// meanwhile.
    fn follow_leadership(&self) -> bool {
        let term = self.replica.leadership().map(|leadership| leadership.term);
        let mut inner = self.lock();
        let known = inner.orders.as_ref().map(Orders::term);
        match term {
            Some(term) if known != Some(term) => {
                log::info!("orders: start in term {term}, after the lease of an earlier leader");
                let orders = Orders::new(self.started.elapsed(), term, self.settings);
                inner.orders = Some(orders);
                inner.targets.clear();
                true
            }
            _ => false,
        }
    }

    /// Passes the changes of the configuration to the state machine.
    fn configure(&self, config: &Config) {
        let engines = config.targets.iter().filter_map(|(name, target)| {
            let number = config.target_numbers.get(name)?;
            Some((*number, Engine::new(name, target)?))
        });
        let engines: HashMap<u32, Engine> = engines.collect();
        let known = std::mem::replace(&mut self.lock().targets, engines.clone());
        for engine in known.keys().filter(|number| !engines.contains_key(number)) {
            self.step(Event::Removed { engine: *engine });
        }
        for (number, engine) in engines {
            if known.get(&number) != Some(&engine) {
                self.step(Event::Desired {
                    engine: number,
                    state: engine.desired,
                    checks_fencing: engine.checks_fencing,
                });
            }
        }
    }

    /// Passes an event to the state machine and starts the resulting actions.
    fn step(&self, event: Event<EngineCatalog>) {
        let mut inner = self.lock();
        let Inner { orders, targets } = &mut *inner;
        let Some(orders) = orders else {
            return;
        };
        let term = orders.term();
        let until = self.leads_until(term);
        for action in orders.step(event, self.started.elapsed(), until) {
            let (Action::Read { engine, .. } | Action::Order { engine, .. }) = &action;
            let Some(target) = targets.get(engine).cloned() else {
                continue;
            };
            tokio::spawn(self.clone().perform(term, action, target));
        }
    }

    /// Passes on the result of an action. It is dropped after a change of term, because the numbers
    /// of actions may be used again.
    fn finish(&self, term: u64, event: Event<EngineCatalog>) {
        let is_current = self.lock().orders.as_ref().map(Orders::term) == Some(term);
        if is_current {
            self.step(event);
        }
    }

    async fn perform(self, term: u64, action: Action<EngineCatalog>, target: Engine) {
        let event = match action {
            Action::Read { engine, number } => Event::Read {
                engine,
                number,
                state: self.read_state(&target).await,
            },
            Action::Order {
                engine,
                number,
                order,
                fencing,
            } => {
                let call = order_call(&target, &order, fencing, self.settings.longest_order);
                if !self.may_send(term, engine, number) {
                    return;
                }
                let end = self.send_order(&target, &order, call).await;
                Event::Ended {
                    engine,
                    number,
                    end,
                }
            }
        };
        self.finish(term, event);
    }

    async fn read_state(&self, target: &Engine) -> Option<State<EngineCatalog>> {
        let call = Call::get(target.address, "/v1/state", READ_TIMEOUT);
        let reason = match self.client.send_whole(call, MAX_ANSWER_BYTES).await {
            Ok((200, body)) => match serde_json::from_slice(&body) {
                Ok(EngineState { loaded, role }) => return Some(State { loaded, role }),
                Err(error) => error.to_string(),
            },
            Ok((status, _)) => format!("status {status}"),
            Err(error) => error.to_string(),
        };
        log::debug!("orders: state of {} not read: {reason}", target.name);
        None
    }

    /// Asks the state machine for permission immediately before an order is sent.
    fn may_send(&self, term: u64, engine: u32, number: u64) -> bool {
        let mut inner = self.lock();
        let orders = inner.orders.as_mut().filter(|orders| orders.term() == term);
        let until = self.leads_until(term);
        // The clock is read after all steps that take time.
        let now = self.started.elapsed();
        orders.is_some_and(|orders| orders.confirm_send(engine, number, now, until))
    }

    async fn send_order(
        &self,
        target: &Engine,
        order: &Order<EngineCatalog>,
        call: Call,
    ) -> OrderResult {
        let Engine { name, .. } = target;
        log::info!("orders: {name}: {} sent", report::order_text(order));
        let (end, reason) = match self.client.send_whole(call, MAX_ANSWER_BYTES).await {
            Ok((200..=299, _)) => return OrderResult::Done,
            Ok((status @ 500.., _)) => (OrderResult::Unanswered, format!("status {status}")),
            Ok((status, body)) => {
                let body = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
                (OrderResult::Refused, format!("status {status}: {body}"))
            }
            Err(error) if error.is_not_sent() => (OrderResult::Refused, error.to_string()),
            Err(error) => (OrderResult::Unanswered, error.to_string()),
        };
        log::warn!(
            "orders: {name}: {} failed: {reason}",
            report::order_text(order)
        );
        end
    }

    /// End of the leader lease of `term` as a time since `started`; zero if there is no lease.
    fn leads_until(&self, term: u64) -> Duration {
        // Read before the rest of the lease, so that the end is not later than it is.
        let now = self.started.elapsed();
        let leadership = self.replica.leadership().filter(|it| it.term == term);
        leadership.map_or(Duration::ZERO, |it| now + self.replica.lease_left(it))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Engine {
    /// The engine of a target; none if the target is a service.
    fn new(name: &TargetName, target: &Target) -> Option<Self> {
        let Role::Engine(kind) = &target.role else {
            return None;
        };
        let loaded = target.loaded.iter().map(ToString::to_string).collect();
        let role = kind.as_str().to_owned();
        Some(Self {
            name: name.clone(),
            address: target.address,
            desired: State { loaded, role },
            checks_fencing: target.checks_fencing,
        })
    }
}

fn order_call(
    target: &Engine,
    order: &Order<EngineCatalog>,
    fencing: u64,
    timeout: Duration,
) -> Call {
    let (order, model, role) = match order {
        Order::Load(model) => ("load", Some(model.as_str()), None),
        Order::Role(role) => ("role", None, Some(role.as_str())),
        Order::Unload(model) => ("unload", Some(model.as_str()), None),
    };
    let body = OrderBody {
        order,
        model,
        role,
        fencing,
    };
    Call::post_json(target.address, "/v1/orders", &body, timeout)
}
