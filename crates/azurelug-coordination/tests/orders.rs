//! Tests of orders to engines. Random schedules are in `schedules.rs`.

use std::collections::BTreeSet;
use std::time::Duration;

use azurelug_coordination::orders::{
    Action, Catalog, Event, Limits, Order, OrderResult, Orders, Settings, State, StoreLimit,
    Waiting,
};

#[derive(Clone, Debug, PartialEq, Eq)]
struct TestCatalog;

impl Catalog for TestCatalog {
    type Engine = u32;
    type Model = u32;
    type Role = u32;
}

const NO_LEASE_END: Duration = Duration::MAX;

fn settings(store: Option<StoreLimit>) -> Settings {
    Settings {
        leader_lease: Duration::from_millis(742),
        send_delay: Duration::from_millis(500),
        read_interval: Duration::from_secs(30),
        retry: Duration::from_secs(1),
        longest_order: Duration::from_secs(60),
        store,
        limits: Limits::default(),
    }
}

fn state(loaded: impl IntoIterator<Item = u32>) -> State<TestCatalog> {
    State {
        loaded: BTreeSet::from_iter(loaded),
        role: 0,
    }
}

fn desired(engine: u32, loaded: impl IntoIterator<Item = u32>) -> Event<TestCatalog> {
    Event::Desired {
        engine,
        state: state(loaded),
        checks_fencing: true,
    }
}

/// Runs for `span`, answers each read with `actual` and refuses each order; returns the orders.
fn run(
    orders: &mut Orders<TestCatalog>,
    span: Duration,
    actual: &State<TestCatalog>,
) -> Vec<(Duration, u32, Order<TestCatalog>)> {
    let mut sent = Vec::new();
    let mut now = Duration::ZERO;
    while now < span {
        now += Duration::from_millis(100);
        let mut actions = orders.step(Event::Tick, now, NO_LEASE_END);
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::Read { engine, number } => Event::Read {
                    engine,
                    number,
                    state: Some(actual.clone()),
                },
                Action::Order {
                    engine,
                    number,
                    order,
                    ..
                } => {
                    if !orders.confirm_send(engine, number, now, NO_LEASE_END) {
                        continue;
                    }
                    sent.push((now, engine, order));
                    let end = OrderResult::Refused;
                    Event::Ended {
                        engine,
                        number,
                        end,
                    }
                }
            };
            actions.extend(orders.step(event, now, NO_LEASE_END));
        }
    }
    sent
}

/// Guards against an engine that refuses each load and so uses up the weight store's rate, so that
/// the other engines load nothing.
#[test]
fn refused_loads_of_one_engine_do_not_starve_the_others() {
    let store = StoreLimit::spread(1, Duration::from_secs(5));
    let mut orders = Orders::new(Duration::ZERO, 1, settings(store));
    for engine in 0..4 {
        let _ = orders.step(desired(engine, [7]), Duration::ZERO, NO_LEASE_END);
    }
    let sent = run(&mut orders, Duration::from_secs(60), &state([]));
    for engine in 0..4 {
        let count = sent.iter().filter(|it| it.1 == engine).count();
        assert!(count >= 2, "engine {engine}: {sent:?}");
    }
    // Loads are evenly spread, and none starts before the leases of the earlier leader and of the
    // store's rate have ended.
    assert!(sent[0].0 >= Duration::from_secs(3), "{sent:?}");
    for pair in sent.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= Duration::from_secs(5), "{sent:?}");
    }
}

/// Guards against an order without effect that is repeated as fast as the engine answers.
#[test]
fn orders_without_effect_are_not_repeated_without_backoff() {
    let mut orders = Orders::new(Duration::ZERO, 1, settings(None));
    let _ = orders.step(desired(1, [7]), Duration::ZERO, NO_LEASE_END);
    let sent = run(&mut orders, Duration::from_secs(120), &state([]));
    assert!((4..=10).contains(&sent.len()), "{sent:?}");
}

/// Guards against memory use that grows without limit with the report of an engine.
#[test]
fn a_report_of_too_many_models_counts_as_no_answer() {
    let mut orders = Orders::new(Duration::ZERO, 1, settings(None));
    let _ = orders.step(desired(1, [7]), Duration::ZERO, NO_LEASE_END);
    let sent = run(&mut orders, Duration::from_secs(60), &state(1_000..1_300));
    assert!(sent.is_empty(), "{sent:?}");
    let row = orders.engine_statuses(Duration::from_secs(60)).next();
    assert!(row.is_some_and(|row| row.state.is_none() && row.waiting == Waiting::Read));
}

/// Guards against an order to unload a model that was added to the desired state again after the
/// order was issued.
#[test]
fn an_issued_order_that_is_no_longer_desired_is_not_sent() {
    let mut orders = Orders::new(Duration::ZERO, 1, settings(None));
    let now = Duration::from_secs(2);
    let first = orders.step(desired(1, []), now, NO_LEASE_END).pop();
    let Some(Action::Read { number, .. }) = first else {
        panic!("no read");
    };
    let read = Event::Read {
        engine: 1,
        number,
        state: Some(state([7])),
    };
    let Some(Action::Order { number, order, .. }) = orders.step(read, now, NO_LEASE_END).pop()
    else {
        panic!("no order");
    };
    assert_eq!(order, Order::Unload(7));
    let _ = orders.step(desired(1, [7]), now, NO_LEASE_END);
    assert!(!orders.confirm_send(1, number, now, NO_LEASE_END));
}
