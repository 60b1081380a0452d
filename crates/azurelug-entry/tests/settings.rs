//! Attacks the reading of settings files.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use azurelug_entry::settings::Settings;
use azurelug_settings::read;

fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// The error for the example with `from` replaced by `to`, without the folder of the file.
fn error_for(name: &str, from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(repository("examples/entry.yaml")).unwrap();
    assert!(text.contains(from), "the example has no '{from}'");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text.replace(from, to)).unwrap();
    let error = Settings::load(&file).unwrap_err().to_string();
    error.replace(env!("CARGO_TARGET_TMPDIR"), "")
}

/// Guards against an example or a page that has fallen behind the code.
#[test]
fn the_example_fits_and_the_page_names_each_of_its_keys() {
    let file = repository("examples/entry.yaml");
    read::file::<Settings>(&file).unwrap();
    let page = std::fs::read_to_string(repository("docs/settings.md")).unwrap();
    for line in std::fs::read_to_string(file).unwrap().lines() {
        let key = line.split_once(':').map_or("", |(key, _)| key.trim());
        if !line.trim_start().starts_with(['#', '-']) && !key.is_empty() {
            assert!(
                page.contains(&format!("`{key}`")),
                "docs/settings.md does not name {key}"
            );
        }
    }
}

/// Guards against a misspelt key that is ignored.
#[test]
fn an_unknown_key_is_named_with_its_line() {
    let error = error_for("unknown.yaml", "drain_wait:", "drain_wiat:");
    insta::assert_snapshot!(error);
}

/// Guards against a length of time that is read in another unit.
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

/// Guards against a misspelt log level that silences a daemon.
#[test]
fn an_unknown_log_level_is_named() {
    let error = error_for("level.yaml", "level: info", "level: loud");
    insta::assert_snapshot!(error);
}
