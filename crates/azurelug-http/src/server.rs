//! An HTTP server. Binding and serving are separate steps, so that an address in use is reported
//! before anything else is started.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;
use volo::Service;
use volo::net::MakeIncoming;
use volo::net::incoming::DefaultIncoming;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::Error;
use crate::h1::server::{Connections, Limits, ShutdownState, serve_bounded};

/// How long requests that still run after the shutdown hook may take. Longer than the longest deadline of
/// 12 s twice, and as long as `volo-http` waits.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A server whose listener is bound but does not accept connections yet.
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

/// Runs when the process gets a termination signal, before the server stops accepting connections.
pub type ShutdownHook = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = ()> + Send>> + Send>;

impl Server {
    /// Binds `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let bound = TcpListener::bind(address)
            .await
            .and_then(|l| Ok((l.local_addr()?, l)));
        let (address, listener) = bound.map_err(|source| Error::Bind { address, source })?;
        Ok(Self { listener, address })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process gets SIGINT, SIGTERM or SIGHUP and the hook has completed. Requests
    /// are still accepted while the hook runs; then `volo-http` waits for open connections.
    ///
    /// # Errors
    /// `Serve` if the listener fails.
    pub async fn serve(self, router: Router, hook: Option<ShutdownHook>) -> Result<(), Error> {
        self.serve_incoming(router, hook, DefaultIncoming::from)
            .await
    }

    /// Serves until `stage` is [`ShutdownState::Closing`], with a bound on connections. The caller
    /// handles signals: `run` of `volo-http` would end the process on SIGHUP.
    pub async fn serve_until(
        self,
        router: Router,
        (connections, limits): (Connections, Limits),
        stage: watch::Receiver<ShutdownState>,
    ) {
        let router = Arc::new(router);
        let address = self.address;
        let limits = move || limits;
        serve_bounded(self.listener, connections, limits, stage, move |request| {
            call(Arc::clone(&router), address, request)
        })
        .await;
    }

    /// As [`Server::serve`], with a bound on connections: until the process gets SIGINT, SIGTERM or
    /// SIGHUP, the hook has completed, and every connection has ended or 30 s have passed.
    ///
    /// # Errors
    /// `Serve` if the signals can't be received.
    pub async fn serve_bounded(
        self,
        router: Router,
        hook: ShutdownHook,
        bounds: (Connections, Limits),
    ) -> Result<(), Error> {
        let address = self.address;
        let failed = |error: std::io::Error| Error::Serve {
            address,
            message: error.to_string(),
        };
        let mut signals = Vec::new();
        for kind in [
            SignalKind::interrupt(),
            SignalKind::hangup(),
            SignalKind::terminate(),
        ] {
            signals.push(signal(kind).map_err(failed)?);
        }
        let (stage, stages) = watch::channel(ShutdownState::Serving);
        let serving = self.serve_until(router, bounds, stages);
        let stopping = async {
            let received = signals.iter_mut().map(|signal| Box::pin(signal.recv()));
            futures_util::future::select_all(received).await;
            hook().await;
            stage.send_replace(ShutdownState::Closing);
            sleep(CLOSE_TIMEOUT).await;
        };
        tokio::select! {
            () = serving => {}
            () = stopping => {}
        }
        Ok(())
    }

    /// Like [`Server::serve`], with a source of connections that `make` creates from the bound
    /// listener. Test doubles use it to close connections from outside.
    ///
    /// # Errors
    /// `Serve` if the listener fails.
    pub async fn serve_incoming<M: MakeIncoming>(
        self,
        router: Router,
        hook: Option<ShutdownHook>,
        make: impl FnOnce(TcpListener) -> M,
    ) -> Result<(), Error> {
        let mut server = volo_http::server::Server::new(router);
        if let Some(hook) = hook {
            server = server.register_shutdown_hook(hook);
        }
        let address = self.address;
        server
            .run(make(self.listener))
            .await
            .map_err(|error| Error::Serve {
                address,
                message: error.to_string(),
            })
    }
}

async fn call(router: Arc<Router>, address: SocketAddr, request: Request<Incoming>) -> Response {
    let mut context = ServerContext::new(volo::net::Address::from(address));
    let answered: Result<Response, Infallible> = router
        .call(&mut context, request.map(Body::from_incoming))
        .await;
    match answered {
        Ok(response) => response,
        Err(never) => match never {},
    }
}
