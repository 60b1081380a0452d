//! Accepts connections, authenticates them and passes each received frame to a handler.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::codec::{self, Reader};
use crate::frame::Hello;
use crate::handshake::Identity;
use crate::handshakes::{Handshake, Handshakes};
use crate::{Error, Frame};

/// Timeout of each handshake step of a new connection. A round trip within a region takes a few
/// milliseconds.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Streams that one peer may have open at the same time.
const STREAM_LIMIT: u32 = 1024;

/// Timeout of sending one frame on a subscription. The exchange is ended when a peer does not read
/// for this long.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// A handler's answer to a frame.
pub enum Reply {
    /// No answer; the peer expects none to this frame.
    None,
    /// One frame; the stream stays open for further requests.
    One(Frame),
    /// Frames until the sender is dropped; then the stream ends.
    Stream(mpsc::Receiver<Frame>),
}

/// A bound listener.
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    identity: Arc<Identity>,
}

impl Listener {
    /// Binds `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// `Bind` if the address is in use or not local.
    pub async fn bind(address: SocketAddr, identity: Arc<Identity>) -> Result<Self, Error> {
        let bound = TcpListener::bind(address)
            .await
            .and_then(|l| Ok((l.local_addr()?, l)));
        let (address, listener) = bound.map_err(|error| Error::Bind {
            address,
            message: error.to_string(),
        })?;
        Ok(Self {
            listener,
            address,
            identity,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections until the task is dropped. The handler is called with the authenticated
    /// peer and one frame, and returns the answer.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Arc<Hello>, Frame) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let handshakes = Handshakes::default();
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    let identity = Arc::clone(&self.identity);
                    let handler = handler.clone();
                    handshakes.spawn(|handshake| async move {
                        let served = serve_connection(stream, identity, handshake, handler).await;
                        if let Err(error) = served {
                            log::debug!("wire: connection from {peer} ended: {error}");
                        }
                    });
                }
                Err(error) => {
                    log::warn!("wire: accept failed: {error}; retrying in 100 ms");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    identity: Arc<Identity>,
    pending: Handshake,
    handler: H,
) -> Result<(), Error>
where
    H: Fn(Arc<Hello>, Frame) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    stream.set_nodelay(true).map_err(Error::closed)?;
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(STREAM_LIMIT)
        .max_header_list_size(4096);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake(stream)).await;
    let mut connection = handshake
        .map_err(|_| Error::Timeout {
            millis: HANDSHAKE_TIMEOUT.as_millis(),
        })?
        .map_err(Error::closed)?;

    let first = tokio::time::timeout(HANDSHAKE_TIMEOUT, connection.accept()).await;
    let first = first.map_err(|_| Error::Timeout {
        millis: HANDSHAKE_TIMEOUT.as_millis(),
    })?;
    let (request, respond) = first
        .ok_or_else(|| Error::closed("the peer opened no stream"))?
        .map_err(Error::closed)?;

    let (verified_sender, mut verified) = tokio::sync::oneshot::channel();
    let signer = Arc::clone(&identity);
    tokio::spawn(async move {
        let result =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, authenticate(request, respond, &signer)).await;
        let result = result.unwrap_or(Err(Error::Timeout {
            millis: HANDSHAKE_TIMEOUT.as_millis(),
        }));
        // Fails if the connection task has ended already; then the result is not needed.
        let _ = verified_sender.send(result);
    });

    let mut peer: Option<Arc<Hello>> = None;
    let mut pending = Some(pending);
    loop {
        if peer.is_some() {
            drop(pending.take());
        }
        tokio::select! {
            result = &mut verified, if peer.is_none() => {
                let result = result.map_err(|_| Error::closed("handshake task ended"))?;
                match result {
                    Ok(hello) => peer = Some(Arc::new(hello)),
                    Err(error) => {
                        // Sends the pending refusal to the peer before the connection is closed.
                        connection.graceful_shutdown();
                        let _ = tokio::time::timeout(
                            HANDSHAKE_TIMEOUT,
                            std::future::poll_fn(|context| connection.poll_closed(context)),
                        )
                        .await;
                        return Err(error);
                    }
                }
            }
            accepted = connection.accept() => {
                let Some(accepted) = accepted else { return Ok(()) };
                let (request, respond) = accepted.map_err(Error::closed)?;
                let hello = match &peer {
                    Some(hello) => Arc::clone(hello),
                    // The peer may have read the Welcome before this task has the result.
                    None => Arc::clone(peer.insert(Arc::new(verified_peer(&mut verified).await?))),
                };
                let handler = handler.clone();
                tokio::spawn(async move {
                    if let Err(error) = exchange(request, respond, hello, handler).await {
                        log::debug!("wire: exchange ended: {error}");
                    }
                });
            }
        }
    }
}

type VerifiedReceiver = tokio::sync::oneshot::Receiver<Result<Hello, Error>>;

/// Waits for the result of the handshake task.
async fn verified_peer(verified: &mut VerifiedReceiver) -> Result<Hello, Error> {
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, verified).await;
    let result = result.map_err(|_| Error::Timeout {
        millis: HANDSHAKE_TIMEOUT.as_millis(),
    })?;
    result.map_err(|_| Error::closed("handshake task ended"))?
}

/// Authenticates both sides on the first stream: sends the challenge, checks the peer's proof and
/// sends the acceptor's proof.
async fn authenticate(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    identity: &Identity,
) -> Result<Hello, Error> {
    let mut sender = respond
        .send_response(Response::new(()), false)
        .map_err(Error::closed)?;
    let nonce: [u8; 16] = rand::random();
    codec::send(&mut sender, &Frame::Challenge { nonce }, false).await?;
    let mut reader = Reader::new(request.into_body());
    let Some(Frame::Hello(hello)) = reader.next().await? else {
        return Err(Error::Handshake {
            message: "the first frame is not a Hello".to_owned(),
        });
    };
    match identity.check_hello(&hello, &nonce) {
        Ok(()) => {
            let mac = identity.welcome(&hello.nonce);
            let welcome = Frame::Welcome {
                sender: identity.daemon.clone(),
                mac,
            };
            codec::send(&mut sender, &welcome, true).await?;
            Ok(hello)
        }
        Err(error) => {
            let refused = Frame::Refused {
                message: error.to_string(),
            };
            codec::send(&mut sender, &refused, true).await?;
            Err(error)
        }
    }
}

async fn exchange<H, F>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    peer: Arc<Hello>,
    handler: H,
) -> Result<(), Error>
where
    H: Fn(Arc<Hello>, Frame) -> F,
    F: Future<Output = Reply>,
{
    let mut sender = respond
        .send_response(Response::new(()), false)
        .map_err(Error::closed)?;
    let mut reader = Reader::new(request.into_body());
    loop {
        let frame = match reader.next().await {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            Err(error) => {
                sender.send_reset(h2::Reason::PROTOCOL_ERROR);
                return Err(error);
            }
        };
        let reply = tokio::select! {
            reply = handler(Arc::clone(&peer), frame) => reply,
            () = wait_reset(&mut sender) => return Ok(()),
        };
        match reply {
            Reply::None => {}
            Reply::One(frame) => codec::send(&mut sender, &frame, false).await?,
            Reply::Stream(mut frames) => {
                loop {
                    let frame = tokio::select! {
                        frame = frames.recv() => frame,
                        () = wait_reset(&mut sender) => return Ok(()),
                    };
                    let Some(frame) = frame else { break };
                    let sent = codec::send(&mut sender, &frame, false);
                    tokio::time::timeout(SEND_TIMEOUT, sent)
                        .await
                        .map_err(|_| Error::Timeout {
                            millis: SEND_TIMEOUT.as_millis(),
                        })??;
                }
                break;
            }
        }
    }
    sender.send_data(Bytes::new(), true).map_err(Error::closed)
}

/// Waits until the peer resets the stream or the connection ends.
async fn wait_reset(sender: &mut h2::SendStream<Bytes>) {
    // An error means that the connection has ended.
    let _ = std::future::poll_fn(|context| sender.poll_reset(context)).await;
}
