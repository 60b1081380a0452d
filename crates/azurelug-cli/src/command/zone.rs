//! `azurelug zone drain` and `azurelug zone restore`.

use std::time::Duration;

use azurelug_types::config::State;
use azurelug_types::id::{Version, ZoneName};
use azurelug_types::patch::{Change, Patch};
use bpaf::Bpaf;
use tokio::time::{Instant, sleep};

use crate::control::{self, Control};
use crate::error::Error;

/// Time limit until a version is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Pause between two reads of the status.
const POLL_PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Who sends the patch, for the history
    #[bpaf(argument("NAME"))]
    author: String,
    #[bpaf(external(order))]
    order: Order,
}

#[derive(Clone, Debug, Bpaf)]
enum Order {
    /// Take a zone out of service: it finishes its work and gets no new work
    #[bpaf(command)]
    Drain {
        /// The zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Take a zone back into service
    #[bpaf(command)]
    Restore {
        /// The zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}

pub(crate) async fn run(control: &Control, arguments: Arguments) -> Result<(), Error> {
    let (zone, state) = match arguments.order {
        Order::Drain { zone } => (zone, State::Draining),
        Order::Restore { zone } => (zone, State::Active),
    };
    let patch = Patch {
        patch_id: uuid::Uuid::now_v7().to_string(),
        base_version: control.config().await?.version,
        author: arguments.author,
        changes: vec![Change::SetZoneState {
            name: ZoneName(zone),
            state,
        }],
    };
    let version = control.patch(&patch, false).await?;
    println!("accepted as version {version}");
    wait_in_force(control, version).await
}

/// Waits until all known daemons have acknowledged `version`, and prints the progress.
async fn wait_in_force(control: &Control, version: Version) -> Result<(), Error> {
    let started = Instant::now();
    let mut shown = String::new();
    loop {
        let missing = missing_daemons(control, version).await;
        if missing.is_empty() {
            println!(
                "in force everywhere after {} ms",
                started.elapsed().as_millis()
            );
            return Ok(());
        }
        let missing = missing.join(", ");
        if started.elapsed() > IN_FORCE_TIMEOUT {
            let seconds = IN_FORCE_TIMEOUT.as_secs();
            return Err(Error::NotInForce {
                version,
                seconds,
                missing,
            });
        }
        if missing != shown {
            println!("waiting for {missing}");
            shown = missing;
        }
        sleep(POLL_PAUSE).await;
    }
}

/// Daemons that have not acknowledged the version, and control daemons that don't answer.
async fn missing_daemons(control: &Control, version: Version) -> Vec<String> {
    let mut missing = Vec::new();
    let mut known = Vec::new();
    for (address, status) in control.statuses().await {
        match status {
            Err(_) => missing.push(address.to_string()),
            Ok(status) => {
                if status.version < version {
                    missing.push(status.daemon.to_string());
                }
                // A control daemon that is behind may have the newest state of an entry daemon.
                known.push(status);
            }
        }
    }
    let behind = control::entry_daemons(known.iter())
        .into_values()
        .filter(|entry| entry.version < version && entry.state != "gone")
        .map(|entry| format!("{} (has {})", entry.name, entry.version));
    missing.extend(behind);
    missing
}
