//! Serves HTTP/1.1 connections and shuts down without aborting requests.

mod abort;
mod connections;
mod listener;
mod phase;

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

pub use abort::Abort;
use abort::{Aborted, LatestAbort};
use connections::Admission;
pub use connections::{Connections, Counts};
use phase::{HeadError, HeadLimitStream, Phase, PhaseTracker, TrackedBody};

/// A connection is closed if its client acknowledges nothing for this long. Longer than the network
/// interruptions that clients are likely to tolerate.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest buffer of a connection in bytes if no longer heads are allowed when it is accepted. The
/// limit for heads may grow later.
const BUFFER_BYTES: usize = 128 * 1024;

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
    /// Maximum size of a request head in bytes.
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

/// As [`serve_bounded`], with any number of connections.
pub async fn serve<L, H, F, B>(
    listener: TcpListener,
    limits: L,
    stage: watch::Receiver<ShutdownState>,
    handler: H,
) where
    L: Fn() -> Limits + Clone + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_bounded(listener, Connections::default(), limits, stage, handler).await;
}

/// Serves `listener` until `stage` is [`ShutdownState::Closing`] and every connection has ended. The
/// future of a request is dropped when its client closes the connection. `limits` returns the limits
/// in force, which also apply to open connections.
pub async fn serve_bounded<L, H, F, B>(
    listener: TcpListener,
    bound: Connections,
    limits: L,
    stage: watch::Receiver<ShutdownState>,
    handler: H,
) where
    L: Fn() -> Limits + Clone + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    let open = |connections: &mut JoinSet<()>, stream: TcpStream| {
        let tracker = PhaseTracker::default();
        let Some(admission) = bound.admit(&tracker) else {
            connections::refuse(&stream);
            return;
        };
        let place = (admission, tracker);
        let (limits, stage, handler) = (limits.clone(), stage.clone(), handler.clone());
        connections.spawn(serve_connection(stream, place, limits, stage, handler));
    };
    let mut stage_changes = stage.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => open(&mut connections, stream),
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
    listener::close(listener, |stream| open(&mut connections, stream)).await;
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<L, H, F, B>(
    stream: TcpStream,
    (admission, tracker): (Admission, PhaseTracker),
    limits: L,
    mut stage: watch::Receiver<ShutdownState>,
    handler: H,
) where
    L: Fn() -> Limits + Send + Unpin + 'static,
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
    let request_tracker = tracker.clone();
    let response_stage = stage.clone();
    let latest_abort = LatestAbort::default();
    let mut aborted = Aborted::new(latest_abort.clone());
    let service = service_fn(move |request| {
        let exchange = request_tracker.begin_exchange();
        // The state of a request is much larger than that of a connection, and an idle connection
        // would keep room for it.
        let answer = Box::pin(handler(request));
        let response_stage = response_stage.clone();
        let latest_abort = latest_abort.clone();
        async move {
            let mut response = answer.await.map(|body| TrackedBody::new(body, exchange));
            latest_abort.replace(response.extensions_mut().remove());
            if *response_stage.borrow() == ShutdownState::Closing {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let buffer_bytes = limits().head_bytes.max(BUFFER_BYTES);
    let stream = HeadLimitStream::new(stream, tracker.clone(), limits);
    let mut serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
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
            biased;
            result = &mut serving => {
                let Err(error) = result else { return };
                log_end(&error, peer);
                if let Some(status) = rejection(&error) {
                    let stream = serving.into_parts().io.into_inner();
                    // The client may have closed the connection.
                    let _ = stream.reject(status).await;
                }
                return;
            }
            // After `serving`, which replaces the abort signal without a wake-up.
            () = &mut aborted => {
                log::info!("http: connection of {peer:?} closed: its answer was aborted");
                return;
            }
            () = admission.wait_replaced(), if close_at.is_none() => {
                if tracker.phase() != Phase::Answering {
                    return;
                }
                // A request has arrived in the meantime.
                close_at = Some(Instant::now());
            }
            _ = stage.changed(), if close_at.is_none() => {}
            () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() && !is_ending => {
                Pin::new(&mut serving).graceful_shutdown();
                is_ending = true;
            }
        }
    }
}

fn is_closing(stage: &mut watch::Receiver<ShutdownState>) -> bool {
    *stage.borrow_and_update() == ShutdownState::Closing
}

/// The answer to a request whose head is late or too long.
fn rejection(error: &hyper::Error) -> Option<StatusCode> {
    head_error(error).map(|error| match error {
        HeadError::Late => StatusCode::REQUEST_TIMEOUT,
        HeadError::TooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
    })
}

fn head_error(error: &hyper::Error) -> Option<HeadError> {
    let cause = std::error::Error::source(error)?;
    let cause = cause.downcast_ref::<std::io::Error>()?.get_ref()?;
    cause.downcast_ref::<HeadError>().copied()
}

/// Logs why a connection ended: at `info` if the client sent a malformed request or sent it too
/// slowly, otherwise at `debug`, because clients often close connections early.
fn log_end(error: &hyper::Error, peer: Option<std::net::SocketAddr>) {
    let peer = peer.map_or_else(|| "-".to_owned(), |peer| peer.to_string());
    let cause = std::error::Error::source(error);
    if error.is_parse() || head_error(error).is_some() {
        let cause = cause.map(ToString::to_string).unwrap_or_default();
        log::info!("http: connection of {peer} closed: {error}: {cause}");
    } else {
        log::debug!("http: connection of {peer} ended: {error}");
    }
}
