//! Calls to control daemons over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_types::config::Config;
use azurelug_types::id::{DaemonName, Version, ZoneName};
use azurelug_types::patch::{Answer, Patch};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Timeout of a call. A patch may have to wait for an election, which takes up to 2 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Size limit of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The control daemons of a cluster, tried in order.
pub(crate) struct Control {
    addresses: Vec<SocketAddr>,
    client: Client,
}

/// The status of one control daemon and of the entry daemons that renew there.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Status {
    pub(crate) daemon: DaemonName,
    pub(crate) zone: ZoneName,
    pub(crate) version: Version,
    #[serde(flatten)]
    pub(crate) more: serde_json::Map<String, serde_json::Value>,
    pub(crate) entry_daemons: Vec<EntryDaemon>,
}

/// The state of an entry daemon at a control daemon.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct EntryDaemon {
    pub(crate) name: DaemonName,
    pub(crate) zone: ZoneName,
    pub(crate) version: Version,
    pub(crate) in_flight: u32,
    pub(crate) state: String,
    /// Why it is not alive, and its state in the platform's list; empty if neither applies.
    #[serde(default)]
    pub(crate) reason: String,
    pub(crate) renewed_ms_ago: u64,
}

impl Control {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Result<Self, Error> {
        let client = Client::pooled().map_err(|error| Error::Unreachable {
            message: error.to_string(),
        })?;
        Ok(Self { addresses, client })
    }

    /// The configuration in force.
    pub(crate) async fn config(&self) -> Result<Config, Error> {
        self.get_first("/v1/config").await
    }

    /// A version that is in force or still stored. Control daemons store different numbers of
    /// versions, so a daemon without this version is skipped.
    pub(crate) async fn version(&self, version: Version) -> Result<Config, Error> {
        let path = format!("/v1/config?version={version}");
        let mut last_error = Error::NoControl;
        for address in &self.addresses {
            match self.get(*address, &path).await {
                Err(Error::Unreachable { message }) => last_error = Error::Unreachable { message },
                Err(error @ Error::Refused { status: 404, .. }) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    /// Reads a JSON document from the first control daemon that answers.
    pub(crate) async fn document(&self, path: &str) -> Result<serde_json::Value, Error> {
        self.get_first(path).await
    }

    /// The status of every control daemon, or the error of one that doesn't answer.
    pub(crate) async fn statuses(&self) -> Vec<(SocketAddr, Result<Status, Error>)> {
        let mut statuses = Vec::new();
        for address in &self.addresses {
            statuses.push((*address, self.get(*address, "/v1/status").await));
        }
        statuses
    }

    /// Sends a patch. If the answer is lost, it is sent again to the next daemon; the patch id
    /// ensures that it is applied only once.
    pub(crate) async fn patch(&self, patch: &Patch, is_dry_run: bool) -> Result<Version, Error> {
        let path = if is_dry_run {
            "/v1/patches?dry_run=true"
        } else {
            "/v1/patches"
        };
        if self.addresses.is_empty() {
            return Err(Error::NoControl);
        }
        let mut message = String::new();
        for address in &self.addresses {
            let call = Call::post_json(*address, path, patch, CALL_TIMEOUT);
            match self.client.send_whole(call, MAX_ANSWER_BYTES).await {
                Ok((200 | 409 | 422, body)) => return patch_answer(*address, &body),
                Ok((503, body)) => message = String::from_utf8_lossy(&body).into_owned(),
                Ok((status, body)) => {
                    let message = String::from_utf8_lossy(&body).into_owned();
                    return Err(Error::Refused {
                        address: *address,
                        status,
                        message,
                    });
                }
                Err(error) => message = error.to_string(),
            }
        }
        Err(Error::Unreachable { message })
    }

    /// Sends an order that may be repeated: if the answer is lost, it is sent again to the next
    /// daemon.
    pub(crate) async fn order<T: Serialize>(&self, path: &str, order: &T) -> Result<(), Error> {
        let mut last_error = Error::NoControl;
        for address in &self.addresses {
            let call = Call::post_json(*address, path, order, CALL_TIMEOUT);
            match self.client.send_whole(call, MAX_ANSWER_BYTES).await {
                Ok((200, _)) => return Ok(()),
                Ok((503, body)) => {
                    let message = String::from_utf8_lossy(&body).into_owned();
                    last_error = Error::Unreachable { message };
                }
                Ok((status, body)) => {
                    let message = String::from_utf8_lossy(&body).into_owned();
                    return Err(Error::Refused {
                        address: *address,
                        status,
                        message,
                    });
                }
                Err(error) => {
                    let message = error.to_string();
                    last_error = Error::Unreachable { message };
                }
            }
        }
        Err(last_error)
    }

    /// Reads a JSON document from one daemon.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let sent = self
            .client
            .send_whole(Call::get(address, path, CALL_TIMEOUT), MAX_ANSWER_BYTES)
            .await;
        let (status, body) = sent.map_err(|error| Error::Unreachable {
            message: error.to_string(),
        })?;
        if status != 200 {
            let message = String::from_utf8_lossy(&body).into_owned();
            return Err(Error::Refused {
                address,
                status,
                message,
            });
        }
        serde_json::from_slice(&body).map_err(|error| Error::Malformed {
            address,
            message: error.to_string(),
        })
    }

    async fn get_first<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let mut last_error = Error::NoControl;
        for address in &self.addresses {
            match self.get(*address, path).await {
                Err(error @ Error::Unreachable { .. }) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }
}

/// All entry daemons, each with its newest renewal. An entry daemon that moved to another control
/// daemon is still listed by the earlier one.
pub(crate) fn entry_daemons<'a>(
    statuses: impl Iterator<Item = &'a Status>,
) -> BTreeMap<DaemonName, &'a EntryDaemon> {
    let mut newest: BTreeMap<DaemonName, &EntryDaemon> = BTreeMap::new();
    for entry in statuses.flat_map(|status| &status.entry_daemons) {
        let known = newest.entry(entry.name.clone()).or_insert(entry);
        if entry.renewed_ms_ago < known.renewed_ms_ago {
            *known = entry;
        }
    }
    newest
}

fn patch_answer(address: SocketAddr, body: &[u8]) -> Result<Version, Error> {
    let answer: Answer = serde_json::from_slice(body).map_err(|error| Error::Malformed {
        address,
        message: error.to_string(),
    })?;
    match answer {
        Answer::Accepted { version } => Ok(version),
        Answer::Conflict { current } => Err(Error::Conflict { current }),
        Answer::Invalid { field, help } => Err(Error::Invalid { field, help }),
    }
}
