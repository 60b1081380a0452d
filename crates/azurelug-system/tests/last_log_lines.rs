//! The last lines of daemons that log through the queue, against real processes.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use azurelug_system::Process;
use azurelug_system::operator::Operator;
use azurelug_system::system::{System, wait_until};
use tokio::time::{Instant, sleep};

/// A generous time limit for the exit of a daemon.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Prepares a daemon with these settings.
fn daemon(binary: &str, folder: &Path, settings: &str) -> Process {
    let file = folder.join("daemon.yaml");
    std::fs::write(&file, settings).unwrap();
    let log = folder.join("daemon.log");
    // An earlier daemon may have used the same log.
    let _ = std::fs::remove_file(&log);
    let arguments = vec!["--settings".to_owned(), file.display().to_string()];
    Process::new(binary, arguments, log)
}

/// Guards against an entry daemon that exits before it has written how its stop ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_end_of_an_entry_daemons_stop_is_logged() {
    let system = System::prepare(Default::default(), false).await;
    let folder = system.folder();
    let settings = std::fs::read_to_string(folder.join("entry-a.yaml")).unwrap();
    // No pause between the last two lines.
    let settings =
        settings.replace("drain_wait: 1s", "drain_wait: 0ms") + "log: { stdout: true }\n";
    for _ in 0..5 {
        let mut entry = daemon("azurelug-entry", folder, &settings);
        entry.start();
        wait_until("the start of the entry daemon", || async {
            let address = system.admin_address(0);
            Operator::new().get(address, "/metrics").await.is_some()
        })
        .await;
        assert!(entry.terminate(EXIT_TIMEOUT), "{}", entry.log());
        let log = entry.log();
        assert!(
            log.contains("entry: stopped with 0 requests in flight"),
            "{log}"
        );
    }
}

/// Guards against a control daemon that exits with an error before it has written the lines that
/// came before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_lines_before_a_control_daemons_error_are_logged() {
    let system = System::prepare(Default::default(), false).await;
    let folder = system.folder();
    let settings = std::fs::read_to_string(folder.join("control-a.yaml")).unwrap();
    let in_use = system.operators_address(0);
    let settings = settings
        + &format!(
            "deployment:\n  operators: \"{in_use}\"\n  targets:\n    address: \"{in_use}\"\n    \
             calls_per_second: 1\nlog: {{ stdout: true }}\n"
        );
    for _ in 0..5 {
        let mut control = daemon("azurelug-control", folder, &settings);
        control.set_argument("--initialize", true);
        control.start();
        let started = Instant::now();
        while !control.has_ended() {
            assert!(started.elapsed() < EXIT_TIMEOUT, "{}", control.log());
            sleep(Duration::from_millis(20)).await;
        }
        let log = control.log();
        assert!(log.contains("deployment.operators"), "{log}");
        assert!(log.contains("serves operators on"), "{log}");
    }
}
