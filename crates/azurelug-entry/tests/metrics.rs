//! Compares the metrics with their documentation.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_entry::metrics::{End, Metrics, Repeat, Use};
use azurelug_entry::refuse::refusal;
use azurelug_testkit::openmetrics;
use azurelug_types::config::StageKind;
use azurelug_types::outcome::{Execution, Reason};

/// Guards against metrics missing from the page, and against documented ones that no longer exist.
#[test]
fn the_page_names_exactly_the_metrics_with_their_labels() {
    let metrics = Metrics::new();
    // Metrics without a sample are not exported.
    metrics.ended("season-summary", End::InTime, Duration::ZERO);
    metrics.refused(&refusal("1", Reason::NoTarget, Execution::NotRun, None));
    metrics.call(StageKind::Encode, Use::Useful, Duration::ZERO, 1);
    metrics.repeated(StageKind::Encode, Repeat::Retry);
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = std::fs::read_to_string(page).unwrap();
    let documented = openmetrics::documented(&page, "azurelug_entry_");
    assert_eq!(openmetrics::metrics(&metrics.text()), documented);
}
