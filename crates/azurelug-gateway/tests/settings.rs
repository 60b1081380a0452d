//! Attacks the settings of the gateway and the page about them.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use azurelug_gateway::settings::{Bounds, Settings};
use azurelug_settings::read;
use azurelug_testkit::settings_page;
use serde_json::Value;

/// Guards against an example that does not fit, and a page with other keys or required keys than the
/// code.
#[test]
fn the_example_fits_and_the_page_has_exactly_the_keys_of_the_code() {
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = repository.join("examples/gateway.yaml");
    read::file::<Settings>(&file).unwrap();
    let example: Value = read::file(&file).unwrap();
    let page = std::fs::read_to_string(repository.join("docs/settings.md")).unwrap();
    settings_page::compare::<Settings>(&page, "azurelug-gateway", &example);
    settings_page::compare::<Bounds>(&page, "bounds", &example["bounds"]);
}
