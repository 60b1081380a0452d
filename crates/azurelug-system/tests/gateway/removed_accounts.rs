//! Tests of requests after the operators have removed accounts.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::deployment::{Deployment, configuration};

/// Time after which no request with a removed key may run (`outer_bound` of the settings).
const REVOCATION: Duration = Duration::from_secs(5);

/// Guards against the removal of the last account, after which requests with removed, unknown or no
/// keys were served.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_served_after_the_last_account_was_removed() {
    let deployment = Deployment::start().await;
    assert_eq!(
        deployment.request("before", "/book/x", &[]).await.status,
        200
    );
    let mut without_accounts = configuration(2);
    without_accounts["tenants"] = json!([]);
    deployment.put_configuration(&without_accounts, 200).await;
    sleep(REVOCATION).await;
    let keys = ["Bearer key-1", "Bearer unknown", "none"];
    for (number, key) in keys.into_iter().enumerate() {
        let id = format!("after-{number}");
        let headers = [("authorization", key)];
        let answer = deployment.request(&id, "/book/x", &headers).await;
        assert_eq!(answer.status, 401, "{key}");
        assert!(
            deployment.received(&id).is_empty(),
            "{key} reached a target"
        );
    }
}
