//! Tests the output of the logger. The logger is process-wide, so this file has only one test.
#![allow(clippy::unwrap_used)]

use azurelug_settings::log_setup::Log;
use serde_json::Value;

/// Guards against lines that a log collector can't parse as JSON, and events that span two lines.
#[test]
fn each_event_is_one_line_of_json() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("daemon.log");
    let log = Log {
        format: "json".to_owned(),
        file: Some(file.clone()),
        ..Log::default()
    };
    log.start().unwrap();
    log::info!("entry: a \"quoted\" name\nand a second line");
    log::debug!("entry: not written at this level");
    log::warn!("entry: request 7 failed");
    let text = std::fs::read_to_string(file).unwrap();
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(
        lines[0]["message"],
        "entry: a \"quoted\" name\nand a second line"
    );
    assert_eq!(lines[1]["level"], "WARN");
    assert!(lines[1]["time"].is_string(), "{text}");
}
