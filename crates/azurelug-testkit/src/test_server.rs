//! Serves a router on a bound listener and keeps a handle to every open connection.
//!
//! With these handles a test double can close a connection without a response, and closing a double
//! looks to its peers like a crashed process. It never interprets requests.

use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use azurelug_http::{Error, Server};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use volo::net::MakeIncoming;
use volo::net::conn::{Conn, ConnStream};
use volo::net::incoming::Incoming;
use volo_http::server::route::Router;

/// Handles of closed connections are removed when this many handles, or twice as many as remained
/// after the last removal, are held, because a handle keeps the file descriptor open.
const MIN_SWEEP_THRESHOLD: usize = 64;

/// The server of a test double. Dropping it closes the listener and all connections.
pub(crate) struct TestServer {
    address: SocketAddr,
    connections: Arc<Connections>,
}

/// The open connections of a test double.
pub(crate) struct Connections {
    open: Mutex<OpenConnections>,
    closed: watch::Sender<bool>,
}

struct OpenConnections {
    streams: HashMap<SocketAddr, std::net::TcpStream>,
    sweep_threshold: usize,
}

impl TestServer {
    /// Binds `address` and serves the router that `build_router` builds.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub(crate) async fn start(
        address: SocketAddr,
        build_router: impl FnOnce(Arc<Connections>) -> Router,
    ) -> Result<Self, Error> {
        let server = Server::bind(address).await?;
        let address = server.address();
        let connections = Arc::new(Connections {
            open: Mutex::new(OpenConnections {
                streams: HashMap::new(),
                sweep_threshold: MIN_SWEEP_THRESHOLD,
            }),
            closed: watch::Sender::new(false),
        });
        let router = build_router(connections.clone());
        let source = connections.clone();
        tokio::spawn(async move {
            let served = server
                .serve_incoming(router, None, |listener| TrackedListener {
                    listener: Some(listener),
                    connections: source,
                })
                .await;
            if let Err(error) = served {
                log::error!("testkit: the server of a test double stopped: {error}");
            }
        });
        Ok(Self {
            address,
            connections,
        })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, as a crash of the process would.
    pub(crate) fn close(self) {
        drop(self);
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.connections.closed.send_replace(true);
        for (_, stream) in self.connections.lock().streams.drain() {
            close_stream(&stream);
        }
    }
}

impl Connections {
    /// Closes the connection from `peer` in both directions.
    pub(crate) fn close(&self, peer: SocketAddr) {
        if let Some(stream) = self.lock().streams.remove(&peer) {
            close_stream(&stream);
        }
    }

    fn register(&self, peer: SocketAddr, stream: std::net::TcpStream) {
        let mut open = self.lock();
        if open.streams.len() >= open.sweep_threshold {
            open.streams.retain(|_, stream| is_open(stream));
            open.sweep_threshold = MIN_SWEEP_THRESHOLD.max(open.streams.len() * 2);
        }
        open.streams.insert(peer, stream);
        drop(open);
        if *self.closed.borrow() {
            self.close(peer);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn close_stream(stream: &std::net::TcpStream) {
    // Fails only if the peer has already closed the connection.
    let _ = stream.shutdown(Shutdown::Both);
}

/// The stream is non-blocking, so that peeking at an open connection returns immediately.
fn is_open(stream: &std::net::TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(count) => count > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

struct TrackedListener {
    listener: Option<TcpListener>,
    connections: Arc<Connections>,
}

impl std::fmt::Debug for TrackedListener {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_tuple("TrackedListener")
            .field(&self.listener)
            .finish()
    }
}

impl TrackedListener {
    async fn accept_tracked(listener: &TcpListener, connections: &Connections) -> io::Result<Conn> {
        let (stream, peer) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        connections.register(peer, stream.try_clone()?);
        Ok(Conn::from(ConnStream::from(TcpStream::from_std(stream)?)))
    }
}

impl Incoming for TrackedListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let mut closed = self.connections.closed.subscribe();
        if let Some(listener) = &self.listener {
            tokio::select! {
                biased;
                _ = closed.wait_for(|closed| *closed) => {}
                accepted = Self::accept_tracked(listener, &self.connections) => {
                    return accepted.map(Some);
                }
            }
        }
        self.listener = None;
        // `volo-http` calls again immediately if it gets no connection, so this must never return.
        pending().await
    }
}

impl MakeIncoming for TrackedListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
