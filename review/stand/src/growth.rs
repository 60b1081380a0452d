//! Cases about a configuration that grows and changes often.

use std::time::Duration;

use tokio::time::sleep;

use crate::deployment::{Deployment, Options, ZONES};
use crate::record::Record;
use crate::stand_ins;
use crate::{Failure, Verdict};

/// Changes that add routes, and the routes of each: `big_config` with its largest dose.
const GROWTH: (u64, usize) = (5, 350);

/// Changes of the configuration.
const CHANGES: u64 = 210;

/// Changes of one storm.
const STORM: u64 = 16;

/// Pause between two changes of a storm: `gap_s` of a `config_storm` of the site file.
const PAUSE: Duration = Duration::from_millis(60);

/// Pause after a storm, and after each change that adds routes.
const CALM: Duration = Duration::from_secs(1);

/// `ack_timeout_ms`, and 3 ms for each route.
const ACK_TIMEOUT: Duration = Duration::from_millis(4000 + 3 * (GROWTH.0 * GROWTH.1 as u64 + 1));

/// The configuration grows by many routes and changes often.
pub async fn changes(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(record, Options::default()).await?;
    let daemons = deployment.operators();
    let mut verdict = Verdict::Held;
    let mut routes = 0;
    for number in 1..=CHANGES {
        let is_growth = number <= GROWTH.0;
        if is_growth && with_trouble {
            routes += GROWTH.1;
        }
        let version = number + 1;
        let body = deployment.configuration_with_routes(version, routes);
        if number % STORM == GROWTH.0 {
            record.line(format!(
                "change {number}: {} bytes, {} routes",
                body.len(),
                routes + 1
            ));
        }
        let limit = ACK_TIMEOUT + Duration::from_secs(4);
        let acknowledged = stand_ins::order(record, &daemons, version, &body, limit).await;
        if acknowledged.is_none() {
            record.line(format!("Acks: version {version} has no acknowledgement"));
            verdict = Verdict::Broken;
            break;
        }
        let is_last_of_storm = (number - 1) % STORM == GROWTH.0;
        sleep(if is_growth || is_last_of_storm {
            CALM
        } else {
            PAUSE
        })
        .await;
    }
    sleep(Duration::from_secs(5)).await;
    if stand_ins::evacuate(record, &daemons, ZONES[0], ACK_TIMEOUT)
        .await
        .is_none()
    {
        record.line(format!(
            "Acks: the evacuation of {} has no acknowledgement",
            ZONES[0]
        ));
        verdict = Verdict::Broken;
    }
    let running = deployment.operators().len();
    record.line(format!("{running} of 3 control VMs run"));
    Ok(verdict)
}
