//! Compares the metrics with their documentation.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_entry::metrics::{Metrics, RepeatKind, RequestEnd, Usefulness};
use azurelug_entry::refusal::new_refusal;
use azurelug_testkit::openmetrics;
use azurelug_types::config::StageKind;
use azurelug_types::outcome::{Execution, Reason};

/// Guards against metrics missing from the page, and against documented ones that no longer exist.
#[test]
fn the_page_documents_exactly_the_exported_metrics_with_their_labels() {
    let metrics = Metrics::new();
    // Metrics without a sample are not exported.
    metrics.record_end("season-summary", RequestEnd::InTime, Duration::ZERO);
    metrics.record_refusal(&new_refusal("1", Reason::NoTarget, Execution::NotRun, None));
    metrics.record_call(StageKind::Encode, Usefulness::Useful, Duration::ZERO, 1);
    metrics.record_repeat(StageKind::Encode, RepeatKind::Retry);
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = std::fs::read_to_string(page).unwrap();
    let documented = openmetrics::documented_metrics(&page, "azurelug_entry_");
    assert_eq!(openmetrics::metrics(&metrics.encode_text()), documented);
}
