//! What the logs contain about a request, against real processes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::Booking;
use azurelug_system::operator::Operator;
use azurelug_system::system::{ACCOUNT_KEY, System, wait_until};
use azurelug_testkit::service::Faults;
use serde_json::json;

/// The lines of `log` that contain `id`.
fn lines_with<'a>(log: &'a str, id: &str) -> Vec<&'a str> {
    log.lines().filter(|line| line.contains(id)).collect()
}

/// Guards against a process that handles a request without its id, and against bodies and keys in
/// logs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_id_is_found_in_every_process() {
    let system = System::start().await;
    system.set_stock_faults(&Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let booking = Booking::new(Duration::from_secs(1));
    let answer = booking.send(system.callers_address(0)).await.unwrap();
    assert_eq!(answer.refusal(), (504, "unknown_outcome", "unknown"));
    let id = answer.body["request_id"].as_str().unwrap();

    let entry = system.zones[0].entry.log();
    let found = lines_with(&entry, id);
    let claim = found.iter().find_map(|line| line.split_once(": claim "));
    let claim = claim.unwrap().1.to_owned();
    assert!(claim.ends_with(" granted"), "{found:?}");
    let failed = format!("request {id} to stock failed: unknown_outcome, unknown");
    let failed = found.iter().filter(|line| line.ends_with(&failed));
    assert_eq!(failed.count(), 1, "{found:?}");

    let granted = format!("claim of request {id}: claim {claim}");
    let logs: Vec<String> = system.zones.iter().map(|zone| zone.control.log()).collect();
    assert!(logs.iter().any(|log| log.contains(&granted)), "{logs:?}");
    let executed = |zone: &azurelug_system::system::ZoneDeployment| {
        zone.stock.executions().requests.contains_key(id)
    };
    assert!(
        system.zones.iter().any(executed),
        "no replica received the request {id}"
    );

    // A refused call is logged in one line, too.
    let operator = Operator::new();
    let path = "stock/no-such-operation";
    let (entry, body) = (system.callers_address(1), json!({}));
    let sent = operator.service(entry, ACCOUNT_KEY, path, &booking.key, &body);
    let (status, refusal) = sent.await.unwrap();
    assert_eq!(status, 404, "{refusal}");
    let id = refusal["request_id"].as_str().unwrap();
    let refused = format!("request {id} to stock refused: unknown_service, not_run");
    wait_until("the log line of the refused request", || async {
        let entry = system.zones[1].entry.log();
        let found = lines_with(&entry, id);
        found.len() == 1 && found[0].ends_with(&refused)
    })
    .await;

    for secret in ["roasted corn", ACCOUNT_KEY, "0123456789abcdef"] {
        let mut logs = system
            .zones
            .iter()
            .flat_map(|zone| [zone.control.log(), zone.entry.log()]);
        assert!(
            !logs.any(|log| log.contains(secret)),
            "a log contains '{secret}'"
        );
    }
}
