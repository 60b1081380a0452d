//! Tests of a gateway with extreme values in the configuration and in clients' requests.

use std::time::Duration;

use crate::deployment::{Deployment, configuration};
use tokio::time::{sleep, timeout};

/// Guards against a configuration that is accepted and then ends gateways or their connections,
/// because a value in it overflows.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_with_extreme_values_is_served() {
    let deployment = Deployment::start().await;
    for (version, number) in [(2, 1.844_674_407_370_955e22), (3, 1e300)] {
        let mut extreme = configuration(version);
        for route in extreme["routes"].as_array_mut().unwrap() {
            for field in ["timeout_ms", "target_latency_ms", "gap_aim_ms"] {
                route[field] = number.into();
            }
            for stage in route["stages"].as_array_mut().unwrap() {
                stage["bytes"] = number.into();
            }
            let service = route["service"].clone();
            route["traffic_split"] = serde_json::json!([
                {"service": service, "weight": u32::MAX}, {"service": service, "weight": 1}]);
        }
        for service in extreme["services"].as_array_mut().unwrap() {
            service["cold_start_s"] = number.into();
            service["max_connections"] = u32::MAX.into();
            if service.get("pieces").is_some() {
                service["pieces"] = serde_json::json!({"slots": u32::MAX, "queue": u32::MAX,
                    "batch": u64::MAX, "call_ms": 10, "item_ms": 1, "room_mb": number,
                    "handle_s": number});
            }
        }
        extreme["limits"] = serde_json::json!({"max_header_bytes": u32::MAX,
            "max_body_bytes": u32::MAX, "header_timeout_ms": number, "idle_timeout_ms": number});
        deployment.put_configuration(&extreme, 200).await;
        sleep(Duration::from_secs(1)).await;
        for path in ["/look/x", "/book/x", "/talk/x", "/chat/x"] {
            let headers = [("x-pieces", "2,3"), ("x-piece-key", "k")];
            let answer = deployment.try_request(path, path, &headers).await;
            let status = answer.map(|answer| answer.status);
            // Calls of so many pieces take longer than the client waits.
            let is_refused = path == "/chat/x" && status == Ok(503);
            let is_served = status == Ok(200);
            assert!(is_served || is_refused, "{path} {number}: {status:?}");
        }
    }
    assert!(!deployment.log().contains("panicked"));
}

/// Guards against a client whose numbers end the gateway or requests of others.
#[tokio::test(flavor = "multi_thread")]
async fn extreme_numbers_of_a_client_do_not_stop_the_gateway() {
    let deployment = Deployment::start().await;
    let numbers = [
        "18446744073709551615",
        "18446744073709550000000",
        "1e300",
        "-1",
        "NaN",
    ];
    for number in numbers.into_iter().chain([&*"9".repeat(5000)]) {
        let tokens = format!("{number},{number}");
        let parts = format!("5c1e:{number},91bd:{number},77aa:{number}");
        for (path, pieces) in [
            ("/chat/x", "65535,65535"),
            ("/chat/x", &*tokens),
            ("/talk/x", ""),
        ] {
            let headers = [
                ("x-deadline-milliseconds", number),
                ("x-token-counts", &tokens),
                ("x-prompt-prefix", &parts),
                ("x-pieces", pieces),
                ("x-piece-key", "k"),
                ("last-event-id", number),
            ];
            let request = deployment.try_request("extreme", path, &headers);
            // A request may end without an answer, and may take as long as the route allows.
            let _ = timeout(Duration::from_millis(500), request).await;
            let other = deployment.request("other", "/talk/x", &[]).await;
            assert_eq!(other.status, 200, "{path} {number}");
        }
    }
    assert!(!deployment.log().contains("panicked"));
}
