//! A gateway inside the test's process that can be suspended as with its machine: it doesn't run, and
//! its steady clock stands still, while the kernel goes on to accept connections for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use azurelug_gateway::gateway::Gateway;
use azurelug_gateway::settings::Settings;
use azurelug_gateway::{control, serve as clients};
use azurelug_http::h1::server::{Connections, Limits, ShutdownState, serve_bounded};
use azurelug_settings::read;
use azurelug_wire::handshake::Identity;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{pause, resume, sleep};

use crate::deployment::Deployment;

/// How often the gateway's thread looks for a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The gateway. It runs until the end of the test's process.
pub(crate) struct SuspendableGateway {
    clients: SocketAddr,
    suspensions: Sender<Receiver<()>>,
}

/// Ends the suspension when it is dropped.
pub(crate) struct Suspension {
    _end: Sender<()>,
}

impl SuspendableGateway {
    /// Starts another gateway of the deployment and waits until it is ready.
    pub(crate) async fn start(deployment: &Deployment) -> Self {
        let file = deployment.settings_of_another_gateway();
        let settings = Settings::load(&file).expect("valid settings");
        let identity = Arc::new(Identity {
            cluster: settings.cluster.clone(),
            daemon: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: 1,
            key: read::shared_key(&file, &settings.key_file).expect("a key"),
        });
        let clients = settings.clients;
        let (suspensions, requests) = channel();
        let (ready, is_ready) = tokio::sync::oneshot::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                let gateway = run_gateway(settings, identity).await;
                while !gateway.is_ready() {
                    sleep(CHECK_INTERVAL).await;
                }
                ready.send(()).expect("the test waits");
                run_suspensions(&requests).await;
            });
        });
        is_ready.await.expect("the gateway is ready");
        Self {
            clients,
            suspensions,
        }
    }

    /// The address for clients.
    pub(crate) fn clients(&self) -> SocketAddr {
        self.clients
    }

    /// Suspends the gateway until the result is dropped.
    pub(crate) fn suspend(&self) -> Suspension {
        let (end, ends) = channel();
        self.suspensions.send(ends).expect("the gateway runs");
        Suspension { _end: end }
    }
}

async fn run_gateway(settings: Settings, identity: Arc<Identity>) -> Arc<Gateway> {
    let listener = TcpListener::bind(settings.clients)
        .await
        .expect("bind the clients' address");
    let gateway = Arc::new(Gateway::new(&settings, Arc::clone(&identity)));
    tokio::spawn(control::run(Arc::clone(&gateway), settings, identity));
    let shared = Arc::clone(&gateway);
    let handler = move |request| clients::handle(Arc::clone(&shared), request);
    let bound = Connections::default();
    let (stage, stages) = watch::channel(ShutdownState::Serving);
    tokio::spawn(async move {
        serve_bounded(listener, bound, Limits::default, stages, handler).await;
        drop(stage);
    });
    gateway
}

/// Blocks the only thread of the runtime during a suspension, with its clock stopped.
async fn run_suspensions(requests: &Receiver<Receiver<()>>) {
    loop {
        if let Ok(end) = requests.try_recv() {
            pause();
            while end.recv_timeout(Duration::from_secs(60)) == Err(RecvTimeoutError::Timeout) {}
            resume();
        }
        sleep(CHECK_INTERVAL).await;
    }
}
