//! A TCP proxy between two processes that delays bytes, drops them or closes connections.
//!
//! Holds the rules of the link and the bytes in flight. It never interprets the forwarded bytes.

mod forwarding;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use azurelug_http::{Error, answer};
use http::Method;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use crate::error_response::{ErrorResponse, parse_json};
use crate::test_server::TestServer;

/// Maximum number of open connections; further ones are closed on arrival.
const MAX_CONNECTIONS: u64 = 4_096;

/// Delay after a failed accept, so that the loop does not spin while the failure lasts.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// They are forwarded.
    #[default]
    Pass,
    /// They are discarded, and so is the end of the stream. The connection stays open on both
    /// sides, but a direction that has lost bytes never forwards any again.
    Drop,
    /// Connections are closed on both sides.
    Close,
}

/// What happens to connections that are opened after the last change of the link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NewConnections {
    /// The rules apply to them.
    #[default]
    Follow,
    /// Their bytes are forwarded until the next change.
    Pass,
    /// They are closed on arrival.
    Close,
}

/// The rules of the link. `POST /test/link` replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Bytes from the client to the target.
    pub forward: Rule,
    /// Bytes from the target to the client.
    pub backward: Rule,
    /// Milliseconds by which forwarded bytes are delayed in each direction.
    pub delay_ms: u64,
    /// Rule for connections that are opened after this change.
    pub new_connections: NewConnections,
}

/// Counters of the proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Open connections.
    pub open: u64,
    /// Connections accepted so far.
    pub accepted: u64,
    /// Bytes from the client to the target that were discarded.
    pub dropped_forward: u64,
    /// Bytes from the target to the client that were discarded.
    pub dropped_backward: u64,
}

/// Settings of a proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// Address of the control interface.
    pub control_address: SocketAddr,
    /// Rules at startup.
    pub link: Link,
}

/// A running proxy. Dropping it closes the listener and all connections.
pub struct Proxy {
    address: SocketAddr,
    control: TestServer,
    shared: Arc<Shared>,
}

/// The rules and the number of changes to them so far.
#[derive(Clone, Debug, Default)]
struct Rules {
    link: Link,
    revision: u64,
    closed: bool,
}

struct Shared {
    target: SocketAddr,
    rules: watch::Sender<Rules>,
    open: AtomicU64,
    accepted: AtomicU64,
    dropped: [AtomicU64; 2],
}

impl Proxy {
    /// Starts a proxy on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if an address is in use or not local.
    pub async fn start(address: SocketAddr, settings: Settings) -> Result<Self, Error> {
        let bind = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let shared = Arc::new(Shared {
            target: settings.target,
            rules: watch::Sender::new(Rules {
                link: settings.link,
                ..Rules::default()
            }),
            open: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            dropped: [AtomicU64::new(0), AtomicU64::new(0)],
        });
        let shared_state = shared.clone();
        let control = TestServer::start(settings.control_address, |_| {
            Router::new().fallback(move |request: Request| {
                let shared = shared_state.clone();
                async move { shared.handle(request).await }
            })
        })
        .await?;
        tokio::spawn(accept_connections(listener, shared.clone()));
        Ok(Self {
            address,
            control,
            shared,
        })
    }

    /// The bound address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that connections are forwarded to.
    pub fn target(&self) -> SocketAddr {
        self.shared.target
    }

    /// The bound address of the control interface.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Replaces the rules.
    pub fn set_link(&self, link: Link) {
        self.shared.set_link(link);
    }

    /// Counters of the proxy so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic()
    }

    /// Closes the listener and all connections.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.rules.send_modify(|rules| rules.closed = true);
    }
}

impl Rules {
    /// The rules for a connection that was accepted at `revision`. Once the proxy is closed, they
    /// close every connection.
    fn link_for(&self, revision: u64) -> Link {
        let is_new = revision == self.revision;
        match self.link.new_connections {
            _ if self.closed => Link {
                forward: Rule::Close,
                ..Link::default()
            },
            NewConnections::Pass if is_new => Link {
                delay_ms: self.link.delay_ms,
                ..Link::default()
            },
            NewConnections::Close if is_new => Link {
                forward: Rule::Close,
                ..Link::default()
            },
            _ => self.link.clone(),
        }
    }
}

impl Shared {
    fn set_link(&self, link: Link) {
        self.rules.send_modify(|rules| {
            rules.link = link;
            rules.revision += 1;
        });
    }

    fn traffic(&self) -> Traffic {
        let [forward, backward] = &self.dropped;
        Traffic {
            open: self.open.load(Ordering::Relaxed),
            accepted: self.accepted.load(Ordering::Relaxed),
            dropped_forward: forward.load(Ordering::Relaxed),
            dropped_backward: backward.load(Ordering::Relaxed),
        }
    }

    async fn handle(&self, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/test/link") => answer::json(200, &self.rules.borrow().link),
            (&Method::GET, "/test/traffic") => answer::json(200, &self.traffic()),
            (&Method::POST, "/test/link") => match parse_json::<Link>(request).await {
                Ok(link) => {
                    self.set_link(link.clone());
                    answer::json(200, &link)
                }
                Err(error) => error.into_response(),
            },
            _ => ErrorResponse::new(404, "/test/link or GET /test/traffic").into_response(),
        }
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let mut rules = shared.rules.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = rules.wait_for(|rules| rules.closed) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else {
            // Accepting fails when file descriptors run out; closed connections free some.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        shared.accepted.fetch_add(1, Ordering::Relaxed);
        if shared.open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        shared.open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(handle_connection(client, shared.clone()));
    }
}

async fn handle_connection(client: TcpStream, shared: Arc<Shared>) {
    let revision = shared.rules.borrow().revision;
    let mut rules = shared.rules.subscribe();
    let closing = rules.wait_for(|rules| {
        let link = rules.link_for(revision);
        link.forward == Rule::Close || link.backward == Rule::Close
    });
    tokio::select! {
        biased;
        _ = closing => {}
        () = forwarding::forward_connection(client, &shared, revision) => {}
    }
    shared.open.fetch_sub(1, Ordering::Relaxed);
}
