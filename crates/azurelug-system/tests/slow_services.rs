//! Replicas of a service that are slow to answer idempotent operations, against real processes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::system::{ACCOUNT_KEY, System};
use azurelug_testkit::service::Faults;
use http::{HeaderName, HeaderValue};
use serde_json::json;

/// Time limit of the calls.
const DEADLINE: Duration = Duration::from_secs(3);

/// Size limit of an answer, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024;

/// Calls an idempotent operation through zone-a's entry daemon; returns status and body.
async fn look_up(system: &System) -> (u16, String) {
    let entry = system.callers_address(0);
    let body = json!({"item": "roasted corn"});
    let timeout = DEADLINE + Duration::from_secs(2);
    let mut call = Call::post_json(entry, "/v1/services/stock/look-up", &body, timeout);
    for (name, text) in [
        ("authorization", format!("Bearer {ACCOUNT_KEY}")),
        ("azurelug-deadline-ms", DEADLINE.as_millis().to_string()),
    ] {
        let value = HeaderValue::from_str(&text).unwrap();
        call.headers.push((HeaderName::from_static(name), value));
    }
    let client = Client::unpooled().unwrap();
    let (status, body) = client.send_whole(call, ANSWER_LIMIT).await.unwrap();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn executions(system: &System) -> u64 {
    let services = system.zones.iter().map(|zone| zone.stock.executions());
    services.flat_map(|it| it.operations.into_values()).sum()
}

/// Guards against an idempotent call that ends as `stage_failed` because its answer takes longer
/// than half of the time, although it arrives before the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_answer_before_the_deadline_is_not_refused_as_failed() {
    let system = System::start().await;
    system.set_stock_faults(&Faults {
        delay_ms: 2200,
        ..Faults::default()
    });
    let (status, body) = look_up(&system).await;
    assert_eq!(status, 200, "{body}");
    let executions = executions(&system);
    assert!((1..=3).contains(&executions), "{executions} executions");
}

/// Guards against a call that waits for a replica that never answers while others would.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_a_hung_replica_is_made_elsewhere_in_time() {
    let system = System::start().await;
    system.zones[0].stock.set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    let (status, body) = look_up(&system).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(executions(&system), 2);
}
