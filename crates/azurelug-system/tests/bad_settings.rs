//! Invalid settings: the daemon logs one line with the location and the remedy, and exits with a
//! non-zero code.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::time::Duration;

use azurelug_system::system::{System, wait_until};
use azurelug_system::{Booking, Process};

/// Runs a daemon that must refuse its settings, and returns the only line of its log.
async fn refusal(binary: &str, file: &Path, log: PathBuf) -> String {
    // An earlier case may have used the same log.
    let _ = std::fs::remove_file(&log);
    let arguments = vec!["--settings".to_owned(), file.display().to_string()];
    let mut process = Process::new(binary, arguments, log);
    process.start();
    let process = std::sync::Mutex::new(process);
    wait_until("the exit of the daemon", || async {
        process.lock().unwrap().has_ended()
    })
    .await;
    let mut process = process.into_inner().unwrap();
    let text = process.log();
    let code = process.exit_code();
    assert!(
        code.is_some_and(|code| code != 0),
        "exit code {code:?}: {text}"
    );
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

fn assert_contains_all(line: &str, parts: &[&str]) {
    for part in parts {
        assert!(line.contains(part), "no '{part}' in: {line}");
    }
}

/// Guards against a daemon that starts with invalid settings, and against errors without the
/// location or the remedy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_settings_are_refused_with_location_and_remedy() {
    let system = System::prepare(Default::default(), false).await;
    let folder = system.folder().to_owned();
    for (binary, name) in [
        ("azurelug-entry", "entry-a.yaml"),
        ("azurelug-control", "control-a.yaml"),
    ] {
        let valid_settings = std::fs::read_to_string(folder.join(name)).unwrap();
        let lines = valid_settings.lines().count();
        let end_location = format!("bad.yaml:{}:", lines + 1);
        let key_location = valid_settings
            .lines()
            .position(|line| line.starts_with("key_file"));
        let key_location = format!("bad.yaml:{}:", key_location.unwrap() + 1);
        let file = folder.join("bad.yaml");
        let log = || folder.join("bad.log");
        let mut cases = vec![
            (
                format!("{valid_settings}colour: red\n"),
                vec![
                    end_location.as_str(),
                    "colour",
                    "expected one of name, zone",
                ],
            ),
            (
                format!("{valid_settings}log: {{ level: loud }}\n"),
                vec!["log.level", "loud", "error, warn, info"],
            ),
            (
                valid_settings.replace("name: ", "nom: "),
                vec!["bad.yaml:1:", "nom", "expected one of name"],
            ),
            (
                valid_settings.replace("zone: zone-a\n", ""),
                vec!["bad.yaml:", "missing field `zone`"],
            ),
            (
                valid_settings.replace("/key", "/no-key"),
                vec![
                    &key_location,
                    "key_file",
                    "no-key",
                    "No such file",
                    "create the file",
                ],
            ),
        ];
        if name == "entry-a.yaml" {
            for value in ["10", "10 parsecs", "-1s"] {
                let line = valid_settings
                    .lines()
                    .position(|line| line.starts_with("drain_wait"));
                let location: &str = Box::leak(format!("bad.yaml:{}:", line.unwrap() + 1).into());
                cases.push((
                    valid_settings.replace("drain_wait: 1s", &format!("drain_wait: {value}")),
                    vec![location, "drain_wait", "500ms, 10s, 5m"],
                ));
            }
        }
        if name == "control-a.yaml" {
            for (orders, parts) in [
                (
                    "weight_store: { loads: 0, per: 1m }",
                    vec!["orders.weight_store", "0 loads", "leave `weight_store` out"],
                ),
                (
                    "weight_store: { loads: 6, per: 0s }",
                    vec!["orders.weight_store", "per 0ms"],
                ),
                (
                    "read_interval: 10ms",
                    vec!["orders.read_interval", "10ms", "1s or more"],
                ),
                (
                    "longest_order: 0s",
                    vec!["orders.longest_order", "for instance 2m"],
                ),
            ] {
                cases.push((format!("{valid_settings}orders: {{ {orders} }}\n"), parts));
            }
        }
        for (text, parts) in cases {
            std::fs::write(&file, text).unwrap();
            let line = refusal(binary, &file, log()).await;
            assert_contains_all(&line, &[binary]);
            assert_contains_all(&line, &parts);
        }
        let line = refusal(binary, &folder.join("none.yaml"), log()).await;
        assert_contains_all(&line, &["none.yaml", "create the file or correct the path"]);
    }
}

/// Guards against a daemon that starts without its port, and against one that disturbs the process
/// that uses the port.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_port_in_use_is_refused_with_the_remedy() {
    let system = System::start().await;
    let folder = system.folder().to_owned();
    for (binary, name, field, address) in [
        (
            "azurelug-entry",
            "entry-a.yaml",
            "callers",
            system.callers_address(0),
        ),
        (
            "azurelug-control",
            "control-a.yaml",
            "internal",
            system.internal_address(0),
        ),
    ] {
        let text = std::fs::read_to_string(folder.join(name)).unwrap();
        let is_field = |line: &str| line.starts_with(&format!("{field}:"));
        let number = text.lines().position(is_field).unwrap() + 1;
        let location = format!("{name}:{number}: {field}");
        let line = refusal(binary, &folder.join(name), folder.join("bad.log")).await;
        assert_contains_all(
            &line,
            &[&location, &address.to_string(), "choose a free address"],
        );
    }
    assert_bookings_work(&system).await;
}

/// Guards against two processes that write to the same data folder.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_process_on_one_data_folder_is_refused() {
    let system = System::start().await;
    let folder = system.folder().to_owned();
    let valid_settings = std::fs::read_to_string(folder.join("control-a.yaml")).unwrap();
    let second_settings = valid_settings
        .replace(":7000\"", ":7900\"")
        .replace(":7100\"", ":7901\"");
    std::fs::write(folder.join("second.yaml"), second_settings).unwrap();
    let log = folder.join("bad.log");
    let line = refusal("azurelug-control", &folder.join("second.yaml"), log).await;
    assert_contains_all(&line, &["in use by another process", "control-a"]);
    assert_bookings_work(&system).await;
}

async fn assert_bookings_work(system: &System) {
    for zone in 0..3 {
        let booking = Booking::new(Duration::from_secs(4));
        let answer = booking.send(system.callers_address(zone)).await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
