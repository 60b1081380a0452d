//! Polls the platform's list of VMs for the registry of entry daemons. While the platform does not
//! answer, its last list stays in use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use serde::Deserialize;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemons::Registry;

/// Time between two polls. The list lags by more than this.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Size limit of the answer in bytes; it is enough for several thousand VMs.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

#[derive(Deserialize)]
struct Vm {
    name: String,
    state: State,
}

#[derive(PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

/// Polls until the process ends.
pub async fn poll(registry: Arc<Registry>, client: Client, platform: SocketAddr) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_answered = true;
    loop {
        ticks.tick().await;
        match fetch_vms(&client, platform).await {
            Ok(vms) => {
                has_answered = true;
                let vms = vms.into_iter();
                registry.set_vm_list(vms.map(|vm| (vm.name, vm.state == State::Leaving)));
            }
            Err(message) => {
                if std::mem::take(&mut has_answered) {
                    log::warn!(
                        "control: platform {platform}: {message}; its last list stays in use"
                    );
                }
            }
        }
    }
}

async fn fetch_vms(client: &Client, platform: SocketAddr) -> Result<Vec<Vm>, String> {
    let call = Call::get(platform, "/v1/vms", POLL_TIMEOUT);
    let answer = client.send_whole(call, MAX_ANSWER_BYTES).await;
    let (status, body) = answer.map_err(|error| error.to_string())?;
    if status != 200 {
        return Err(format!("status {status}"));
    }
    serde_json::from_slice(&body).map_err(|error| format!("malformed answer: {error}"))
}
