//! Tests of calls with an account's key that the operators have replaced, against real processes.
#![allow(clippy::unwrap_used)]

#[path = "support/status.rs"]
mod status;

use std::time::Duration;

use azurelug_system::operator::{self, Operator};
use azurelug_system::system::{ACCOUNT_KEY, PIPELINE, System, ZONES, account, wait_until};
use azurelug_types::config::{OnPartition, State, Zone};
use azurelug_types::id::ZoneName;
use azurelug_types::patch::Change;
use futures_util::future::join_all;
use status::read_status;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Longer than the time after which an accepted version is in force everywhere (7 s) and a lease (2 s).
const SILENCE: Duration = Duration::from_millis(9500);

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of calls.
const CALLS: usize = 10;

const BODY: &str = r#"{"input": "how was the season?", "max_tokens": 4}"#;

/// Guards against a key that is looked up in the configuration from before the body of its call
/// arrived, while the lease that is checked after the body is that of a newer configuration. The zone
/// refuses calls without a lease, so that the older configuration alone permits none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_was_replaced_before_the_body_arrived_is_refused() {
    let system = System::start_with_links().await;
    let operator = Operator::new();
    let zone = Zone {
        state: State::Active,
        on_partition: OnPartition::Refuse,
    };
    let name = ZoneName::from(ZONES[0]);
    let set_zone = vec![Change::SetZone { name, zone }];
    let version = operator.change(system.operators_address(1), set_zone).await;
    system
        .wait_state(0, |state| state["version"] == version.0)
        .await;
    system.links.isolate(0);
    let replaced = || async {
        let config = operator.config(system.operators_address(1)).await;
        let Some(config) = config else { return false };
        let change = vec![account("carts", "another-key")];
        let patch = operator::patch(config.version, change);
        let answer = operator.patch(system.operators_address(1), &patch).await;
        answer.is_some()
    };
    wait_until("a patch outside the partition", replaced).await;
    sleep(SILENCE).await;
    system.wait_lease_mode(0, "refuse").await;
    let (first, second) = BODY.split_at(BODY.len() / 2);
    let mut streams = Vec::new();
    for _ in 0..CALLS {
        let address = system.callers_address(0);
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /v1/pipelines/{PIPELINE} HTTP/1.1\r\nHost: entry\r\n\
             Authorization: Bearer {ACCOUNT_KEY}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{first}",
            BODY.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    // The heads are read while the older configuration is in force.
    sleep(Duration::from_millis(300)).await;
    system.links.heal();
    system
        .wait_state(0, |state| state["version"] == version.0 + 1)
        .await;
    system.wait_lease_mode(0, "normal").await;
    for stream in &mut streams {
        stream.write_all(second.as_bytes()).await.unwrap();
    }
    let statuses = join_all(streams.iter_mut().map(|it| read_status(it, ANSWER_TIMEOUT))).await;
    assert!(
        statuses.iter().all(|status| [401, 503].contains(status)),
        "calls ran with a key that was replaced {SILENCE:?} before they were sent: {statuses:?}"
    );
}
