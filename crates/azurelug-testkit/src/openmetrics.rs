//! Parses OpenMetrics text as far as the tests need it.

use std::collections::BTreeSet;

/// The value of the first sample of `series`, such as `name_total{label="value"}`.
pub fn sample_value(text: &str, series: &str) -> Option<f64> {
    let sample = |line: &str| line.strip_prefix(series)?.strip_prefix(' ')?.parse().ok();
    text.lines().find_map(sample)
}

/// Every metric in `text` with the names of its labels, such as `name{label}`. Counters end with
/// `_total`; the series of a histogram count as one metric.
pub fn metrics(text: &str) -> BTreeSet<String> {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    samples.filter_map(metric).collect()
}

fn metric(sample: &str) -> Option<String> {
    let series = sample.rsplit_once(' ')?.0;
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    let suffixes = ["_bucket", "_sum", "_count"];
    let name = suffixes
        .iter()
        .find_map(|suffix| name.strip_suffix(suffix))
        .unwrap_or(name);
    let labels = labels.trim_end_matches('}').split(',');
    let labels = labels.filter_map(|label| Some(label.split_once('=')?.0));
    let labels: Vec<&str> = labels.filter(|label| *label != "le").collect();
    if labels.is_empty() {
        return Some(name.to_owned());
    }
    Some(format!("{name}{{{}}}", labels.join(",")))
}

/// Every metric in backticks in `page` that starts with `prefix`.
pub fn documented_metrics(page: &str, prefix: &str) -> BTreeSet<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let quoted = quoted.filter(|text| text.starts_with(prefix));
    quoted.map(str::to_owned).collect()
}
