//! Lag, missing entries and changes in the load reporter and in the platform's list.

#[path = "support/common.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_testkit::engine;
use azurelug_testkit::platform::{self, Vm, VmState};
use azurelug_testkit::reporter::{self, Loads};
use azurelug_testkit::{Engine, Platform, Reporter};
use common::{TIMEOUT, get, local_address, post};
use serde_json::json;

/// Longer than the test run.
const NEVER: Duration = Duration::from_secs(3600);

/// Waits for a poll after number `poll` and returns its loads.
async fn loads_after(client: &Client, address: SocketAddr, poll: u64) -> Loads {
    let polled = async {
        loop {
            let loads = get(client, address, "/v1/loads").await;
            let loads: Loads = serde_json::from_value(loads).expect("loads");
            if loads.poll > poll {
                return loads;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TIMEOUT, polled).await.expect("a poll")
}

fn settings(engines: &[&Engine]) -> reporter::Settings {
    reporter::Settings {
        engines: engines.iter().map(|engine| engine.address()).collect(),
        interval: Duration::from_millis(5),
        ..reporter::Settings::default()
    }
}

/// Guards against a reporter that lists engines that are down, or omits engines that run.
#[tokio::test]
async fn an_engine_that_is_down_is_omitted_from_the_report() {
    let client = Client::pooled().unwrap();
    let first = Engine::start(local_address(), engine::Settings::default())
        .await
        .unwrap();
    let second = Engine::start(local_address(), engine::Settings::default())
        .await
        .unwrap();
    let settings = settings(&[&first, &second]);
    let reporter = Reporter::start(local_address(), settings).await.unwrap();
    let loads = loads_after(&client, reporter.address(), 0).await;
    assert_eq!(loads.loads.len(), 2);
    assert_eq!(loads.loads[0].address, first.address());
    assert_eq!(loads.loads[0].load.limit, 8);
    second.close();
    // The poll in progress may still have reached the second engine; the next one can't have.
    let loads = loads_after(&client, reporter.address(), loads.poll + 2).await;
    assert_eq!(loads.loads.len(), 1);
}

/// Guards against a `missing` setting without effect, which would leave gaps in reports untested.
#[tokio::test]
async fn entries_are_omitted_at_the_configured_rate() {
    let client = Client::pooled().unwrap();
    let engine = Engine::start(local_address(), engine::Settings::default())
        .await
        .unwrap();
    let reporter = Reporter::start(local_address(), settings(&[&engine]))
        .await
        .unwrap();
    let address = reporter.address();
    assert_eq!(loads_after(&client, address, 0).await.loads.len(), 1);
    let change = json!({ "missing": 1.0 });
    let (status, _) = post(&client, address, "/test/reporter", &change)
        .await
        .unwrap();
    assert_eq!(status, 200);
    let now = loads_after(&client, address, 0).await.poll;
    let loads = loads_after(&client, address, now + 1).await;
    assert!(loads.loads.is_empty());
}

/// Guards against a `lag` setting without effect, which would leave stale lists untested.
#[tokio::test]
async fn a_changed_list_is_reported_after_the_lag() {
    let client = Client::pooled().unwrap();
    let vm = Vm {
        name: "vm-1".to_owned(),
        zone: "a".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        state: VmState::Live,
    };
    for (lag, state) in [(NEVER, "live"), (Duration::ZERO, "leaving")] {
        let settings = platform::Settings {
            vms: vec![vm.clone()],
            lag,
        };
        let platform = Platform::start(local_address(), settings).await.unwrap();
        let list = get(&client, platform.address(), "/v1/vms").await;
        assert_eq!(list[0]["state"], "live");
        let change = json!([
            { "name": "vm-1", "zone": "a", "address": "127.0.0.1:9", "state": "leaving" },
        ]);
        let (status, _) = post(&client, platform.address(), "/test/vms", &change)
            .await
            .unwrap();
        assert_eq!(status, 200);
        let list = get(&client, platform.address(), "/v1/vms").await;
        assert_eq!(list[0]["state"], state, "lag {lag:?}");
    }
}
