//! A short run of the soak test with a fixed seed.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::soak::{self, Options};

/// Guards against failures under overlapping faults of processes, connections and targets: no check
/// of the soak may find a violation.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_of_the_soak_holds() {
    let options = Options {
        faults_for: Duration::from_secs(12),
        gateways: 1,
        callers: 12,
        ..Options::default()
    };
    let report = soak::run(&options).await;
    let logs = report.logs;
    assert!(
        report.violations.is_empty(),
        "{:#?}\nlogs in {logs:?}",
        report.violations
    );
    let requests = report.summary["requests"].as_object().unwrap();
    assert!(
        requests.keys().any(|kind| kind == "chat served"),
        "{requests:?}"
    );
}
