//! Tests of the gateway's settings and their documentation page.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use azurelug_gateway::control::PollTiming;
use azurelug_gateway::settings::{Bounds, Settings};
use azurelug_settings::clients::Machine;
use azurelug_settings::{ClientLimits, read};
use azurelug_testkit::settings_page;
use serde_json::Value;

/// Guards against an invalid example file, and against a settings page whose keys or required keys
/// differ from the code.
#[test]
fn the_example_is_valid_and_the_settings_page_has_exactly_the_keys_of_the_code() {
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = repository.join("examples/gateway.yaml");
    read::file::<Settings>(&file).unwrap();
    let example: Value = read::file(&file).unwrap();
    let page = std::fs::read_to_string(repository.join("docs/settings.md")).unwrap();
    settings_page::assert_matches_struct::<Settings>(&page, "azurelug-gateway", &example);
    settings_page::assert_matches_struct::<Bounds>(&page, "bounds", &example["bounds"]);
    let limits = serde_json::json!({});
    settings_page::assert_matches_struct::<ClientLimits>(&page, "client_limits", &limits);
}

/// Guards against poll timing that fits the bounds of one deployment only: an accepted change and a
/// leaving target must reach a gateway by its polls within halved and doubled bounds, too.
#[test]
fn polls_stay_within_apply_and_drain_bounds_of_other_lengths() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.yaml");
    let mut bounds = read::file::<Settings>(&file).unwrap().bounds;
    // Read and transfer of the target list, heartbeat of the log, transfer of a document, in ms.
    let (list, commit, document) = (750, 150, 400);
    for (apply, drain) in [(1000, 1500), (2000, 3000), (2500, 4000), (6000, 8000)] {
        bounds.apply = span(apply);
        bounds.drain = span(drain);
        let timing = PollTiming::new(&bounds);
        // Jitter makes a poll interval up to 15 % longer.
        let poll = timing.interval.mul_f64(1.15).as_millis();
        assert!(
            poll + commit + document <= apply.into(),
            "{apply}: {timing:?}"
        );
        assert!(poll + list <= drain.into(), "{drain}: {timing:?}");
        assert!(
            timing.max_state_age <= Duration::from_millis(apply.into()),
            "{timing:?}"
        );
    }
}

/// Guards against a gateway that starts with bounds that leave no time for what they limit, and
/// against a message without the remedy.
#[test]
fn a_bound_of_zero_is_refused_with_field_and_remedy() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.yaml");
    let example = std::fs::read_to_string(file).unwrap();
    let folder = tempfile::tempdir().unwrap();
    for field in ["revocation", "apply", "drain", "grace", "retry_window"] {
        let line = example
            .lines()
            .find(|it| it.trim().starts_with(&format!("{field}:")));
        let text = example.replace(line.unwrap(), &format!("  {field}: 0ms"));
        let file = folder.path().join("gateway.yaml");
        std::fs::write(&file, text).unwrap();
        let error = Settings::load(&file).unwrap_err().to_string();
        for part in [&format!("bounds.{field}: 0ms"), "; set ", "for instance"] {
            assert!(error.contains(part), "no '{part}' in: {error}");
        }
    }
}

/// Guards against gateways that dispatch by one resource of their VMs only, and against settings
/// without a value, which the template leaves where the platform names none.
#[test]
fn the_scarcest_resource_of_a_vm_decides_its_capacity() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.yaml");
    let example = std::fs::read_to_string(file).unwrap();
    let lines = example.lines().filter(|it| !it.starts_with("memory_mb:"));
    let example = lines.collect::<Vec<_>>().join("\n");
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("gateway.yaml");
    for (resources, capacity) in [
        ("", 100),
        ("cpu_share:\nlink_bandwidth_mbps:\n", 100),
        ("memory_mb: 400\n", 100),
        (
            "cpu_share: 0.09\nmemory_mb: 120\nlink_bandwidth_mbps: 7.5\n",
            75,
        ),
        (
            "cpu_share: 0.3\nmemory_mb: 400\nlink_bandwidth_mbps: 25\n",
            250,
        ),
        (
            "cpu_share: 0.3\nmemory_mb: 80\nlink_bandwidth_mbps: 25\n",
            50,
        ),
    ] {
        std::fs::write(&file, format!("{example}\n{resources}")).unwrap();
        let settings: Settings = read::file(&file).unwrap();
        assert_eq!(settings.capacity(), capacity, "{resources}");
    }
}

fn span(millis: u32) -> azurelug_settings::span::SettingDuration {
    azurelug_settings::span::SettingDuration(Duration::from_millis(millis.into()))
}

/// Guards against a gateway that starts with limits with which it can serve no client.
#[test]
fn a_client_limit_of_zero_is_refused_with_field_and_remedy() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.yaml");
    let machine = Machine::default();
    let limits = ClientLimits::default();
    limits.check(&file, &machine).unwrap();
    let cases = [
        (
            "connections",
            ClientLimits {
                connections: Some(0),
                ..limits
            },
            machine,
        ),
        (
            "bodies",
            ClientLimits {
                bodies: Some(0),
                ..limits
            },
            machine,
        ),
        (
            "body_stall",
            ClientLimits {
                body_stall: span(999),
                ..limits
            },
            machine,
        ),
        (
            "body_bytes",
            ClientLimits {
                body_bytes_per_second: 0,
                ..limits
            },
            machine,
        ),
        (
            "memory_mb",
            limits,
            Machine {
                memory_mb: Some(31),
                ..machine
            },
        ),
        (
            "file_descriptors",
            limits,
            Machine {
                file_descriptors: Some(63),
                ..machine
            },
        ),
    ];
    for (field, limits, machine) in cases {
        let error = limits.check(&file, &machine).unwrap_err().to_string();
        assert!(
            error.contains(field) && error.contains("or more"),
            "{error}"
        );
    }
}
