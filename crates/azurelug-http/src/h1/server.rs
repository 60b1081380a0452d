//! Serves HTTP/1.1 connections and stops without cutting off a request.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A client that acknowledges nothing for this long is gone. Longer than a cut that a client is
/// likely to survive.
const SILENCE: Duration = Duration::from_secs(10);

/// Bytes that one connection may buffer. Bounds the memory of a slow reader or writer.
const BUFFER: usize = 64 * 1024;

/// Pause after a failed accept, which means that descriptors or memory have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
/// of a request is dropped when its client closes the connection.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    idle: Duration,
    mut stage: watch::Receiver<Stage>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, idle, stage.clone(), handler.clone()));
                }
                Err(error) => {
                    log::warn!("http: accept failed: {error}; tried again in 50 ms");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            // Collects ended connections as they end.
            Some(_) = connections.join_next() => {}
            changed = stage.changed() => {
                if changed.is_err() || *stage.borrow() == Stage::Closing {
                    break;
                }
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection<H, F, B>(
    stream: TcpStream,
    idle: Duration,
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
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    // hyper's timer covers the wait for a head as well as its transfer, so that the idle time
    // bounds both.
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            result = serving.as_mut() => {
                if let Err(error) = result {
                    log::debug!("http: connection ended: {error}");
                }
                return;
            }
            changed = stage.changed() => {
                if changed.is_err() || *stage.borrow() == Stage::Closing {
                    serving.as_mut().graceful_shutdown();
                    if changed.is_err() {
                        // Nobody can change the stage any more.
                        let _ = serving.as_mut().await;
                        return;
                    }
                }
            }
        }
    }
}
