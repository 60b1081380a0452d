//! Serves HTTP/1.1 connections and shuts down without aborting requests.

mod phase;

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use futures_util::FutureExt;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use phase::{HeadTimeoutStream, Phase, PhaseTracker, TrackedBody};

/// A connection is closed if its client acknowledges nothing for this long. Longer than the network
/// interruptions that clients are likely to tolerate.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum buffer of a connection in bytes, required by hyper.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Pause after a failed accept, which usually means that file descriptors or memory are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit for the first request on a connection that is opened during the shutdown. Clients
/// send it right after the connection is established.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time that a connection may be idle between requests.
    pub idle: Duration,
    /// Maximum time for the transfer of a request head.
    pub head: Duration,
    /// Maximum size of a request head, and therefore of a connection's buffer, in bytes.
    pub head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(15),
            head: Duration::from_secs(3),
            head_bytes: 16 * 1024,
        }
    }
}

impl Limits {
    /// The default limits with the given idle time.
    #[must_use]
    pub fn idle(idle: Duration) -> Self {
        Self {
            idle,
            ..Self::default()
        }
    }
}

/// Size of a request head as it was sent, in bytes. hyper limits only the buffer, which may be
/// larger than the maximum size of a head.
#[must_use]
pub fn head_bytes(parts: &Parts) -> usize {
    // The request line has two spaces, the version and a line end; the head ends with a blank line.
    let line = parts.method.as_str().len() + parts.uri.to_string().len() + "  HTTP/1.1\r\n".len();
    let fields = parts.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}

/// The state of a server's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownState {
    /// Connections and requests are accepted.
    #[default]
    Serving,
    /// No new connections are accepted; open ones are closed after their next answer.
    Closing,
}

/// Serves `listener` until `stage` is [`ShutdownState::Closing`] and every connection has ended. The future
/// of a request is dropped when its client closes the connection. `limits` is called for each new
/// connection.
pub async fn serve<L, H, F, B>(
    listener: TcpListener,
    limits: L,
    stage: watch::Receiver<ShutdownState>,
    handler: H,
) where
    L: Fn() -> Limits,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    let open = |stream| serve_connection(stream, limits(), stage.clone(), handler.clone());
    let mut stage_changes = stage.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(open(stream));
                }
                Err(error) => {
                    log::warn!("http: accept failed: {error}; retrying in 50 ms");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            // Removes ended connections from the set.
            Some(_) = connections.join_next() => {}
            changed = stage_changes.changed() => {
                if changed.is_err() || *stage_changes.borrow() == ShutdownState::Closing {
                    break;
                }
            }
        }
    }
    // The kernel may have established connections that are not accepted yet. Closing the listener
    // would reset them, with the requests that were already sent on them.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(open(stream));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limits: Limits,
    mut stage: watch::Receiver<ShutdownState>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = super::configure_socket(&stream, ACK_TIMEOUT) {
        log::debug!("http: can't set socket options, connection closed: {error}");
        return;
    }
    let peer = stream.peer_addr().ok();
    let tracker = PhaseTracker::default();
    let request_tracker = tracker.clone();
    let response_stage = stage.clone();
    let service = service_fn(move |request| {
        let exchange = request_tracker.begin_exchange();
        let answer = handler(request);
        let response_stage = response_stage.clone();
        async move {
            let mut response = answer.await.map(|body| TrackedBody::new(body, exchange));
            if *response_stage.borrow() == ShutdownState::Closing {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let stream = HeadTimeoutStream::new(stream, tracker.clone(), limits.head);
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    // When the connection stops accepting further requests; none before the shutdown.
    let mut close_at: Option<Instant> = None;
    let mut is_ending = false;
    loop {
        if close_at.is_none() && (stage.has_changed().is_err() || is_closing(&mut stage)) {
            let has_served = matches!(tracker.phase(), Phase::Answering | Phase::Idle);
            let wait = if has_served {
                Duration::ZERO
            } else {
                FIRST_REQUEST_TIMEOUT
            };
            close_at = Some(Instant::now() + wait);
        }
        tokio::select! {
            result = serving.as_mut() => {
                if let Err(error) = result {
                    log_end(&error, peer);
                }
                return;
            }
            _ = stage.changed(), if close_at.is_none() => {}
            () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() && !is_ending => {
                serving.as_mut().graceful_shutdown();
                is_ending = true;
            }
        }
    }
}

fn is_closing(stage: &mut watch::Receiver<ShutdownState>) -> bool {
    *stage.borrow_and_update() == ShutdownState::Closing
}

/// Logs why a connection ended: at `info` if the client sent a malformed request or sent it too
/// slowly, otherwise at `debug`, because clients often close connections early.
fn log_end(error: &hyper::Error, peer: Option<std::net::SocketAddr>) {
    let peer = peer.map_or_else(|| "-".to_owned(), |peer| peer.to_string());
    let cause = std::error::Error::source(error);
    let timed_out = cause
        .and_then(|cause| cause.downcast_ref::<std::io::Error>())
        .is_some_and(|cause| cause.kind() == std::io::ErrorKind::TimedOut);
    if error.is_parse() || timed_out {
        let cause = cause.map(ToString::to_string).unwrap_or_default();
        log::info!("http: connection of {peer} closed: {error}: {cause}");
    } else {
        log::debug!("http: connection of {peer} ended: {error}");
    }
}
