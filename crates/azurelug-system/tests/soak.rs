//! A short run of the soak test with a fixed seed.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::soak::{self, Options};

/// Guards against failures under overlapping faults of processes, connections and targets: no check
/// of the soak may find a violation.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_run_finds_no_violation() {
    let options = Options {
        fault_duration: Duration::from_secs(12),
        gateways_per_zone: 1,
        callers: 12,
        ..Options::default()
    };
    let report = soak::run(&options).await;
    let log_folder = report.log_folder;
    assert!(
        report.violations.is_empty(),
        "{:#?}\nlogs in {log_folder:?}",
        report.violations
    );
    let requests = report.summary["requests"].as_object().unwrap();
    assert!(
        requests.keys().any(|kind| kind == "chat served"),
        "{requests:?}"
    );
}
