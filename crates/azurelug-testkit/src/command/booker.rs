//! `azurelug-testkit booker`: sends each booking twice through different entry daemons and checks
//! that the service executed it once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use bpaf::Bpaf;
use bytes::Bytes;
use http::{HeaderName, HeaderValue};
use serde::Deserialize;
use serde_json::json;

use super::Error;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(14);

/// Maximum length of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Client-facing address of an entry daemon; may be repeated
    #[bpaf(argument("ADDRESS"), some("name at least one entry daemon"))]
    entry: Vec<SocketAddr>,
    /// API key of the account
    #[bpaf(argument("KEY"))]
    key: String,
    /// Name of the service
    #[bpaf(argument("NAME"))]
    service: String,
    /// Name of a non-idempotent operation
    #[bpaf(argument("NAME"))]
    operation: String,
    /// Number of bookings
    #[bpaf(argument("CALLS"), fallback(20))]
    requests: u64,
    /// Address of a replica of the service whose executions are counted; may be repeated
    #[bpaf(argument("ADDRESS"), some("name at least one replica of the service"))]
    replica: Vec<SocketAddr>,
}

#[derive(Deserialize)]
struct Executions {
    keys: BTreeMap<String, u64>,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let client = Client::pooled()?;
    let mut booked = Vec::new();
    for number in 0..arguments.requests {
        let key = uuid::Uuid::now_v7().to_string();
        let index = usize::try_from(number).unwrap_or(0);
        let entries = &arguments.entry;
        let first = send_booking(
            &client,
            &arguments,
            entries[index % entries.len()],
            &key,
            number,
        )
        .await?;
        let second = send_booking(
            &client,
            &arguments,
            entries[(index + 1) % entries.len()],
            &key,
            number,
        )
        .await?;
        if first != second {
            let message =
                format!("booking {key}: the first call returned {first:?}, the second {second:?}");
            return Err(Error::CheckFailed(message));
        }
        booked.push(key);
    }
    let mut executions: BTreeMap<String, u64> = BTreeMap::new();
    for replica in &arguments.replica {
        let call = Call::get(*replica, "/test/executions", CALL_TIMEOUT);
        let (_, body) = client.send_whole(call, MAX_RESPONSE_BYTES).await?;
        let counted: Executions = serde_json::from_slice(&body).map_err(|error| {
            Error::CheckFailed(format!(
                "replica {replica} returned invalid execution counts: {error}"
            ))
        })?;
        for (key, count) in counted.keys {
            *executions.entry(key).or_insert(0) += count;
        }
    }
    for key in &booked {
        match executions.get(key) {
            Some(1) => {}
            other => {
                return Err(Error::CheckFailed(format!(
                    "booking {key} was executed {other:?} times instead of once"
                )));
            }
        }
    }
    println!(
        "{} bookings, each sent twice, each executed once",
        booked.len()
    );
    Ok(())
}

async fn send_booking(
    client: &Client,
    arguments: &Arguments,
    entry: SocketAddr,
    key: &str,
    number: u64,
) -> Result<Bytes, Error> {
    let path = format!("/v1/services/{}/{}", arguments.service, arguments.operation);
    // Results are recorded in the background, so a resend may find the first call in progress.
    for _ in 0..50 {
        let body = json!({"sacks": number + 1});
        let mut call = Call::post_json(entry, path.clone(), &body, CALL_TIMEOUT);
        let texts = [
            ("authorization", format!("Bearer {}", arguments.key)),
            ("idempotency-key", key.to_owned()),
        ];
        for (name, text) in texts {
            let value = HeaderValue::from_str(&text)
                .map_err(|error| Error::CheckFailed(error.to_string()))?;
            call.headers.push((HeaderName::from_static(name), value));
        }
        let (status, body) = client.send_whole(call, MAX_RESPONSE_BYTES).await?;
        match status {
            200 => return Ok(body),
            409 => tokio::time::sleep(Duration::from_millis(20)).await,
            _ => {
                let text = String::from_utf8_lossy(&body);
                return Err(Error::CheckFailed(format!(
                    "booking {key} failed with status {status}: {text}"
                )));
            }
        }
    }
    Err(Error::CheckFailed(format!(
        "booking {key} is still in progress after all attempts"
    )))
}
