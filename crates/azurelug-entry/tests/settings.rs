//! Tests of reading and validating the settings file.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use azurelug_entry::settings::{Control, Settings};
use azurelug_settings::log_setup::Log;
use azurelug_settings::read;
use azurelug_testkit::settings_page;
use serde_json::Value;

fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// Returns the error for the example file with `from` replaced by `to`, without the file's folder.
fn error_for(name: &str, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(repository("examples/entry.yaml")).unwrap();
    assert!(text.contains(from), "the example has no '{from}'");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text.replace(from, to)).unwrap();
    let error = Settings::load(&file).unwrap_err().to_string();
    error.replace(env!("CARGO_TARGET_TMPDIR"), "")
}

/// Guards against an invalid example, and against a page whose keys, required keys or defaults
/// differ from the code. That the page has every key of the example follows, because unknown keys
/// are invalid.
#[test]
fn the_example_is_valid_and_the_settings_page_has_exactly_the_keys_of_the_code() {
    let file = repository("examples/entry.yaml");
    read::file::<Settings>(&file).unwrap();
    let example: Value = read::file(&file).unwrap();
    let page = std::fs::read_to_string(repository("docs/settings.md")).unwrap();
    settings_page::assert_matches_struct::<Settings>(&page, "azurelug-entry", &example);
    settings_page::assert_elements_match_struct::<Control>(&page, "azurelug-entry", "control");
    settings_page::assert_matches_struct::<Log>(&page, "log", &example["log"]);
}

/// Guards against a misspelled key that is silently ignored.
#[test]
fn an_unknown_key_is_named_with_its_line() {
    let error = error_for("unknown.yaml", "drain_wait:", "drain_wiat:");
    insta::assert_snapshot!(error);
}

/// Guards against a duration that is interpreted in the wrong unit.
#[test]
fn a_length_of_time_needs_a_unit() {
    let error = error_for("unit.yaml", "drain_wait: 10s", "drain_wait: 10");
    insta::assert_snapshot!(error);
}

/// Guards against a daemon that starts without a shared key.
#[test]
fn a_missing_key_file_is_named() {
    let error = error_for("key.yaml", "/etc/azurelug/key", "/nonexistent/key");
    insta::assert_snapshot!(error);
}

/// Guards against a misspelled log level that disables all logging.
#[test]
fn an_unknown_log_level_is_named() {
    let error = error_for("level.yaml", "level: info", "level: loud");
    insta::assert_snapshot!(error);
}
