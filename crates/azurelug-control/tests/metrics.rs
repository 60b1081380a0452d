//! Compares the metrics with docs/operators.md.
#![allow(clippy::unwrap_used)]

use azurelug_control::metrics::{GaugeValues, Metrics};
use azurelug_testkit::openmetrics;

/// Guards against a metric that is not documented, and a documented one that no longer exists.
#[test]
fn the_page_documents_exactly_the_exported_metrics_with_their_labels() {
    let values = GaugeValues::default();
    let text = Metrics::new().encode_text(&values);
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators.md");
    let page = std::fs::read_to_string(page).unwrap();
    let documented = openmetrics::documented_metrics(&page, "azurelug_control_");
    assert_eq!(openmetrics::metrics(&text), documented);
}
