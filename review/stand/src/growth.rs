//! Cases about a configuration that grows and changes often.

use std::time::Duration;

use tokio::time::sleep;

use crate::deployment::{Deployment, Options, ZONES};
use crate::record::Record;
use crate::stand_ins;
use crate::{Failure, Verdict};

/// Routes that are added: five times `big_config` with its largest dose.
const ROUTES: usize = 5 * 350;

/// Changes of the configuration.
const CHANGES: u64 = 220;

/// Pause between two changes: `gap_s` of a `config_storm` of the site file.
const PAUSE: Duration = Duration::from_millis(60);

/// `ack_timeout_ms`, and 3 ms for each route.
const ACK_TIMEOUT: Duration = Duration::from_millis(4000 + 3 * (ROUTES as u64 + 1));

/// The configuration grows by many routes and changes often.
pub async fn changes(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(record, Options::default()).await?;
    let routes = if with_trouble { ROUTES } else { 0 };
    let daemons = deployment.operators();
    let mut verdict = Verdict::Held;
    for version in 2..2 + CHANGES {
        let body = deployment.configuration_with_routes(version, routes);
        if version == 2 {
            record.line(format!(
                "{CHANGES} changes of a document of {} bytes",
                body.len()
            ));
        }
        let limit = ACK_TIMEOUT + Duration::from_secs(4);
        if stand_ins::order(record, &daemons, version, &body, limit)
            .await
            .is_none()
        {
            record.line(format!("Acks: version {version} has no acknowledgement"));
            verdict = Verdict::Broken;
            break;
        }
        sleep(PAUSE).await;
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
