//! Registers the software versions of services that the platform lists. The leader decides, and the
//! log keeps the result.

use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::gateway::orders::Order;
use azurelug_core::gateway::versions::{Change, Watch};
use azurelug_core::machine::Command;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::gateways::Gateways;
use crate::replica::{Error, Replica};

/// Interval between two comparisons of the list with the registry. A version gets its first streams
/// after it, a commit and a poll of the gateways.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Pause after a refusal that only operators can end, so that the log isn't flooded.
const STATE_FULL_PAUSE: Duration = Duration::from_secs(5);

/// Registers versions while this daemon leads, until the process ends.
pub async fn run(replica: Replica, gateways: Gateways) {
    let clock = Clock::start();
    let (mut term, mut watch) = (0, Watch::default());
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let leadership = replica.leadership();
        let Some(leadership) = leadership.filter(|it| !replica.lease_left(*it).is_zero()) else {
            continue;
        };
        if leadership.term != term {
            (term, watch) = (leadership.term, Watch::default());
        }
        let Some(list) = gateways.targets() else {
            continue;
        };
        let orders = replica.orders();
        let change = watch.change(&list.entries, orders.versions(), clock.elapsed());
        if let Some(change) = change {
            commit(&replica, change).await;
        }
    }
}

async fn commit(replica: &Replica, change: Change) {
    let subject = format!(
        "versions of services: added {:?}, removed {:?}",
        change.added, change.removed
    );
    match replica
        .propose(&Command::Deployment(Order::Versions(change)))
        .await
    {
        Ok(_) => log::info!("control: {subject}"),
        Err(error) => {
            log::warn!("control: {subject}: {error}");
            if matches!(error, Error::StateFull { .. }) {
                sleep(STATE_FULL_PAUSE).await;
            }
        }
    }
}
