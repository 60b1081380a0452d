//! Cases about API keys.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::deployment::{Deployment, Options, TENANT};
use crate::record::Record;
use crate::stand_ins;
use crate::{Failure, Verdict};

/// `revocation_ms` of the sites.
const REVOCATION: Duration = Duration::from_secs(5);

/// A key that no configuration has ever held.
const FOREIGN_KEY: &str = "key-of-a-stranger-77";

/// The last tenant is taken away, and with it its key.
pub async fn last_tenant(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let deployment = Deployment::start(record, Options::default()).await?;
    sleep(Duration::from_secs(2)).await;
    let (sent, served) = deployment.requests.count(Duration::ZERO, record.now());
    record.line(format!(
        "{served} of {sent} requests with the key served before"
    ));
    if served * 4 < sent * 3 {
        return Err("requests are not served before the change".to_owned());
    }
    let (tenants, what) = if with_trouble {
        (json!([]), "the last tenant is taken away with its key")
    } else {
        let tenant = json!([{ "name": TENANT, "api_keys": [], "priority": 1 }]);
        (tenant, "the last key is taken away, its tenant stays")
    };
    let body = deployment.configuration_of(2, &tenants);
    record.line(format!("version 2: {what}"));
    let mut deployment = deployment;
    let daemons = deployment.operators();
    let acknowledged = stand_ins::order(record, &daemons, 2, &body, Duration::from_secs(4)).await;
    acknowledged.ok_or("version 2 was not acknowledged")?;
    let from = record.now() + REVOCATION;
    sleep(REVOCATION + Duration::from_secs(3)).await;
    let mut foreign = 0;
    for &gateway in deployment.gateways() {
        let requests = &deployment.requests;
        let status = stand_ins::request_with_key(record, requests, gateway, FOREIGN_KEY).await;
        record.line(format!(
            "a request with a key that was never held: {status:?}"
        ));
        foreign += usize::from(status == Some(200));
    }
    sleep(stand_ins::TIME_LIMIT).await;
    let arrivals = deployment.targets.arrivals();
    let sent_at = |id: &str| deployment.requests.sent_at(id);
    let late = arrivals
        .iter()
        .filter(|it| sent_at(&it.id).is_some_and(|at| at > from));
    let late = late.count() - foreign;
    record.line(format!(
        "{late} requests ran that were sent with the key later than 5 s after version 2 was \
         acknowledged"
    ));
    if late > 0 {
        record.line("CONFIG: requests run whose key was taken away".to_owned());
    }
    if foreign > 0 {
        record.line("ROUTE: requests run whose key no configuration ever held".to_owned());
    }
    if late > 0 || foreign > 0 {
        Ok(Verdict::Broken)
    } else {
        Ok(Verdict::Held)
    }
}
