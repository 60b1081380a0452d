//! Queries for earlier versions of the configuration, against real processes.
#![allow(clippy::unwrap_used)]

use azurelug_system::operator::{Operator, zone_state};
use azurelug_system::system::{System, wait_until};
use azurelug_types::config::State;

/// Guards against a control daemon that loses earlier versions in a restart, and against one that
/// answers an invalid query with the version in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_earlier_version_is_answered_also_after_a_restart() {
    let mut system = System::start().await;
    let (operator, address) = (Operator::new(), system.operators_address(0));
    let drained = vec![zone_state("zone-b", State::Draining)];
    assert_eq!(operator.change(address, drained).await.0, 2);
    let query_config =
        async |query: &str| operator.get(address, &format!("/v1/config?{query}")).await;
    let state = async |version: u64| {
        let (status, config) = query_config(&format!("version={version}")).await?;
        Some((status, config["zones"]["zone-b"]["state"].clone()))
    };
    for is_restarted in [false, true] {
        if is_restarted {
            system.zones[0].control.kill();
            system.zones[0].control.start();
        }
        wait_until("version 2", async || {
            state(2).await.is_some_and(|(_, state)| state == "draining")
        })
        .await;
        assert_eq!(state(1).await.unwrap(), (200, "active".into()));
    }
    assert_eq!(query_config("version=3").await.unwrap().0, 404);
    assert_eq!(query_config("version=new").await.unwrap().0, 400);
    assert_eq!(query_config("versoin=1").await.unwrap().0, 400);
}
