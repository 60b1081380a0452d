//! Compares the settings with docs/settings.md and the example file.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use azurelug_control::settings::{
    Deployment, Discovery, Member, Orders, RolloutBounds, Settings, TargetList,
};
use azurelug_settings::read;
use azurelug_testkit::settings_page;
use serde_json::Value;

/// Guards against an invalid example file, and a page whose keys or required keys differ from the
/// code.
#[test]
fn the_example_is_valid_and_the_settings_page_has_exactly_the_keys_of_the_code() {
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = repository.join("examples/control.yaml");
    read::file::<Settings>(&file).unwrap();
    let example: Value = read::file(&file).unwrap();
    let page = std::fs::read_to_string(repository.join("docs/settings.md")).unwrap();
    settings_page::assert_matches_struct::<Settings>(&page, "azurelug-control", &example);
    settings_page::assert_elements_match_struct::<Member>(&page, "azurelug-control", "members");
    settings_page::assert_matches_struct::<Orders>(&page, "orders", &example["orders"]);
    let found =
        serde_json::json!({"seeds": ["10.0.1.20:7200"], "disk_losses": 1, "catch_up_s": 4.0});
    settings_page::assert_matches_struct::<Discovery>(&page, "discovery", &found);
    let targets = serde_json::json!({"address": "10.0.0.5:80", "calls_per_second": 40.0});
    settings_page::assert_matches_struct::<TargetList>(&page, "deployment.targets", &targets);
    let deployment = serde_json::json!({"operators": "10.0.1.20:7200", "targets": targets});
    settings_page::assert_matches_struct::<Deployment>(&page, "deployment", &deployment);
    let bounds = serde_json::json!({"exposure_share": 0.1, "exposure_slack": 50.0,
        "rollback": "5s", "ack_timeout": "5s"});
    settings_page::assert_matches_struct::<RolloutBounds>(&page, "bounds of roll-outs", &bounds);
}
