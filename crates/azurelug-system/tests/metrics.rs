//! The daemons' metrics and readiness, against real processes.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::Booking;
use azurelug_system::system::{ACCOUNT_KEY, PIPELINE, System, wait_until};
use azurelug_testkit::{engine, openmetrics};
use http::{HeaderName, HeaderValue};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(8);

async fn get_text(address: SocketAddr, path: &str) -> (u16, String) {
    let client = Client::unpooled().unwrap();
    let sent = client.send_whole(Call::get(address, path, TIMEOUT), 1 << 20);
    let (status, body) = sent.await.unwrap();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

/// The sum of a series over the control daemons.
async fn sum_over_control_daemons(system: &System, series: &str) -> f64 {
    let mut sum = 0.0;
    for zone in 0..3 {
        let (status, text) = get_text(system.operators_address(zone), "/metrics").await;
        assert_eq!(status, 200);
        sum += openmetrics::sample_value(&text, series)
            .unwrap_or_else(|| panic!("no series {series} in the metrics"));
    }
    sum
}

/// Guards against work of control daemons that is missing from their metrics.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_daemons_count_their_work() {
    let system = System::start().await;
    let booking = Booking::new(Duration::from_secs(8));
    assert_eq!(
        booking
            .send(system.callers_address(0))
            .await
            .unwrap()
            .status,
        200
    );
    let counted = [
        ("azurelug_control_role{role=\"leader\"}", 1.0),
        ("azurelug_control_patches_total{result=\"accepted\"}", 1.0),
        (
            "azurelug_control_once_commands_total{result=\"claimed\"}",
            1.0,
        ),
        ("azurelug_control_config_version", 3.0),
        ("azurelug_control_once_records", 3.0),
    ];
    for (series, expected) in counted {
        wait_until(series, async || {
            sum_over_control_daemons(&system, series).await == expected
        })
        .await;
    }
    // Commits of the first patch, the claim and its result; each member syncs at least once for
    // each.
    assert!(
        sum_over_control_daemons(&system, "azurelug_control_commit_seconds_count").await >= 3.0
    );
    assert!(
        sum_over_control_daemons(&system, "azurelug_control_journal_sync_seconds_count").await
            >= 9.0
    );
    for series in [
        "azurelug_control_term",
        "azurelug_control_commit_index",
        "azurelug_control_lease_renewals_total{result=\"granted\"}",
        "azurelug_control_share_renewals_total{result=\"granted\"}",
        "azurelug_control_share_limit",
        "azurelug_control_share_granted",
    ] {
        wait_until(series, async || {
            sum_over_control_daemons(&system, series).await > 0.0
        })
        .await;
    }
}

/// Guards against a control daemon that reports ready while no lease can be renewed there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_daemon_without_a_majority_is_not_ready() {
    let mut system = System::start().await;
    wait_until("readiness", async || {
        get_text(system.operators_address(0), "/readyz").await.0 == 200
    })
    .await;
    system.zones[1].control.kill();
    system.zones[2].control.kill();
    wait_until("the end of readiness", async || {
        get_text(system.operators_address(0), "/readyz").await.0 == 503
    })
    .await;
    assert_eq!(
        get_text(system.operators_address(0), "/healthz").await.0,
        200
    );
}

/// Guards against work for a disconnected caller that is not counted as wasted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_for_a_disconnected_caller_is_counted_as_wasted() {
    let system = System::start_with(engine::Settings {
        prefill_time: Duration::from_millis(700),
        ..engine::Settings::default()
    })
    .await;
    let path = format!("/v1/pipelines/{PIPELINE}");
    let body = json!({ "input": "corn", "max_tokens": 4 });
    let limit = Duration::from_millis(300);
    let mut call = Call::post_json(system.callers_address(0), path, &body, limit);
    let key = HeaderValue::from_str(&format!("Bearer {ACCOUNT_KEY}")).unwrap();
    call.headers
        .push((HeaderName::from_static("authorization"), key));
    let sent = Client::unpooled().unwrap().send_whole(call, 1 << 20).await;
    assert!(
        sent.is_err(),
        "answered before the caller disconnected: {sent:?}"
    );
    let wasted = "azurelug_entry_stage_milliseconds_total{stage=\"encode\",used=\"Wasted\"}";
    let abandoned =
        format!("azurelug_entry_requests_total{{route=\"{PIPELINE}\",end=\"Abandoned\"}}");
    wait_until(
        "the counts of wasted work and of abandoned requests",
        async || {
            let (_, text) = get_text(system.admin_address(0), "/metrics").await;
            let wasted = openmetrics::sample_value(&text, wasted).unwrap_or_default();
            wasted >= 200.0 && openmetrics::sample_value(&text, &abandoned) == Some(1.0)
        },
    )
    .await;
}
