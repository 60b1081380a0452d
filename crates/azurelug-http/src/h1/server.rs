//! Serves HTTP/1.1 connections and stops without cutting off a request.

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

use phase::{Answer, Phase, Stream, Tracker};

/// A client that acknowledges nothing for this long is gone. Longer than a cut that a client is
/// likely to survive.
const SILENCE: Duration = Duration::from_secs(10);

/// The least buffer of a connection in bytes; hyper takes no smaller one.
const MIN_BUFFER: usize = 8 * 1024;

/// Pause after a failed accept, which means that descriptors or memory have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection that is opened while the server stops may take to send its request. A
/// client sends it right after the connection is established.
const FIRST_REQUEST: Duration = Duration::from_secs(1);

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a connection may stay idle between requests.
    pub idle: Duration,
    /// How long the transfer of a request head may take.
    pub head: Duration,
    /// The longest request head in bytes, and so the buffer of a connection.
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
    /// The defaults with another idle time.
    #[must_use]
    pub fn idle(idle: Duration) -> Self {
        Self {
            idle,
            ..Self::default()
        }
    }
}

/// Length of a request head as it was sent, in bytes. hyper bounds only the buffer, which may hold
/// more than the longest head.
#[must_use]
pub fn head_bytes(parts: &Parts) -> usize {
    // Two spaces, the version and the line end; then the blank line.
    let line = parts.method.as_str().len() + parts.uri.to_string().len() + "  HTTP/1.1\r\n".len();
    let fields = parts.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serving.
    #[default]
    Serving,
    /// No new connections; open ones close after their next answer.
    Closing,
}

/// Serves `listener` until `stage` is [`Stage::Closing`] and every connection has ended. The future
/// of a request is dropped when its client closes the connection. `limits` is asked for each new
/// connection.
pub async fn serve<L, H, F, B>(
    listener: TcpListener,
    limits: L,
    stage: watch::Receiver<Stage>,
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
    let open = |stream| connection(stream, limits(), stage.clone(), handler.clone());
    let mut changes = stage.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(open(stream));
                }
                Err(error) => {
                    log::warn!("http: accept failed: {error}; tried again in 50 ms");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            // Collects ended connections as they end.
            Some(_) = connections.join_next() => {}
            changed = changes.changed() => {
                if changed.is_err() || *changes.borrow() == Stage::Closing {
                    break;
                }
            }
        }
    }
    // The kernel has established connections that wait to be accepted; closing the listener would
    // reset them with the requests that were already sent on them.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(open(stream));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection<H, F, B>(
    stream: TcpStream,
    limits: Limits,
    mut stage: watch::Receiver<Stage>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = super::prepare(&stream, SILENCE) {
        log::debug!("http: connection dropped: {error}");
        return;
    }
    let peer = stream.peer_addr().ok();
    let tracker = Tracker::default();
    let exchanges = tracker.clone();
    let stages = stage.clone();
    let service = service_fn(move |request| {
        let exchange = exchanges.begin();
        let answer = handler(request);
        let stages = stages.clone();
        async move {
            let mut response = answer.await.map(|body| Answer::new(body, exchange));
            if *stages.borrow() == Stage::Closing {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let stream = Stream::new(stream, tracker.clone(), limits.head);
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    // When the connection is closed to further requests.
    let mut closing: Option<Instant> = None;
    let mut is_closed = false;
    loop {
        if closing.is_none() && (stage.has_changed().is_err() || is_closing(&mut stage)) {
            let has_served = matches!(tracker.phase(), Phase::Exchange | Phase::Idle);
            let wait = if has_served {
                Duration::ZERO
            } else {
                FIRST_REQUEST
            };
            closing = Some(Instant::now() + wait);
        }
        tokio::select! {
            result = serving.as_mut() => {
                if let Err(error) = result {
                    ended(&error, peer);
                }
                return;
            }
            _ = stage.changed(), if closing.is_none() => {}
            () = sleep_until(closing.unwrap_or_else(Instant::now)), if closing.is_some() && !is_closed => {
                serving.as_mut().graceful_shutdown();
                is_closed = true;
            }
        }
    }
}

fn is_closing(stage: &mut watch::Receiver<Stage>) -> bool {
    *stage.borrow_and_update() == Stage::Closing
}

/// Logs why a connection ended. Clients that break off are nothing unusual; those that send what
/// is no request, or too slowly, are worth a line.
fn ended(error: &hyper::Error, peer: Option<std::net::SocketAddr>) {
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
