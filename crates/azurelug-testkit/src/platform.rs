//! The platform's list of VMs, whose changes are reported with a delay.
//!
//! Holds the list and its recent versions. It never checks whether a VM is alive.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use azurelug_http::{Error, answer};
use http::Method;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::error_response::{ErrorResponse, parse_json};
use crate::history::History;
use crate::test_server::TestServer;

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address of the process on the VM.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// Settings of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// VMs at startup.
    pub vms: Vec<Vm>,
    /// Age of the list that is reported.
    pub lag: Duration,
}

/// A running server of the platform's list.
pub struct Platform {
    server: TestServer,
    shared: Arc<Shared>,
}

struct Shared {
    started_at: Instant,
    vms: Mutex<History<Vec<Vm>>>,
}

impl Platform {
    /// Starts the server of the list on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            vms: Mutex::new(History::new(settings.lag, settings.vms)),
        });
        let shared_state = shared.clone();
        let server = TestServer::start(address, |_| {
            Router::new().fallback(move |request: Request| {
                let shared = shared.clone();
                async move { shared.handle(request).await }
            })
        })
        .await?;
        Ok(Self {
            server,
            shared: shared_state,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list. The change is reported after the configured lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.set(vms);
    }

    /// Closes the listener and all connections, as a crash of the process would.
    pub fn close(self) {
        self.server.close();
    }
}

impl Shared {
    fn set(&self, vms: Vec<Vm>) {
        let mut history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        history.record(self.started_at.elapsed(), vms);
    }

    async fn handle(&self, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/vms") => {
                let mut history = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
                answer::json(200, history.report(self.started_at.elapsed()).1)
            }
            (&Method::POST, "/test/vms") => match parse_json::<Vec<Vm>>(request).await {
                Ok(vms) => {
                    self.set(vms.clone());
                    answer::json(200, &vms)
                }
                Err(error) => error.into_response(),
            },
            _ => ErrorResponse::new(404, "GET /v1/vms or POST /test/vms").into_response(),
        }
    }
}
