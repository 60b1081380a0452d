//! Tests of the rate limit on log lines about refused requests.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_entry::refusal_log::RefusalLog;

/// Guards against an overload in which every request waits for the log, and against suppressed
/// lines that are not counted.
#[test]
fn an_overload_writes_few_lines_and_counts_the_rest() {
    let refusal_log = RefusalLog::default();
    let now = Duration::from_millis(7_300);
    let written = (0..5000)
        .filter(|_| refusal_log.count_line(now).is_some())
        .count();
    assert_eq!(written, 100);
    assert_eq!(
        refusal_log.count_line(now + Duration::from_secs(1)),
        Some(4900)
    );
    assert_eq!(
        refusal_log.count_line(now + Duration::from_secs(1)),
        Some(0)
    );
}
