//! Accepts connections, authenticates them and hands each received frame to a handler.

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
use crate::{Error, Frame};

/// Time for a new connection to prove itself. A region's round trip is a few milliseconds.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Streams that one peer may have open at the same time.
const STREAM_LIMIT: u32 = 1024;

/// A stream on which nothing arrives for this long is left to the peer's own timeouts.
const PEER_SILENCE: Duration = Duration::from_secs(5);

/// What the handler wants to send back.
pub enum Reply {
    /// Nothing; the peer expects no answer to this frame.
    None,
    /// One frame; the stream stays open for further requests.
    One(Frame),
    /// Frames for as long as the sender lives.
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

    /// Accepts connections until the task is dropped. The handler gets the authenticated peer and
    /// one frame, and answers it.
    pub async fn serve<H, F>(self, handler: H)
    where
        H: Fn(Arc<Hello>, Frame) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    let identity = Arc::clone(&self.identity);
                    let handler = handler.clone();
                    tokio::spawn(async move {
                        if let Err(error) = connection(stream, identity, handler).await {
                            log::debug!("wire: connection from {peer} ended: {error}");
                        }
                    });
                }
                Err(error) => {
                    log::warn!("wire: accept failed: {error}; retried in 100 ms");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
}

async fn connection<H, F>(
    stream: TcpStream,
    identity: Arc<Identity>,
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
        .ok_or_else(|| Error::closed("no stream opened"))?
        .map_err(Error::closed)?;

    let (proven, mut proof) = tokio::sync::oneshot::channel();
    let prover = Arc::clone(&identity);
    tokio::spawn(async move {
        let result =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, prove(request, respond, &prover)).await;
        let result = result.unwrap_or(Err(Error::Timeout {
            millis: HANDSHAKE_TIMEOUT.as_millis(),
        }));
        // The connection task may have ended already; then nobody needs the result.
        let _ = proven.send(result);
    });

    let mut peer: Option<Arc<Hello>> = None;
    loop {
        tokio::select! {
            result = &mut proof, if peer.is_none() => {
                let result = result.map_err(|_| Error::closed("handshake task ended"))?;
                match result {
                    Ok(hello) => peer = Some(Arc::new(hello)),
                    Err(error) => {
                        // Lets the refusal reach the peer before the connection closes.
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
                    // The peer may have read the Welcome before this task learns of it.
                    None => Arc::clone(peer.insert(Arc::new(proof_of(&mut proof).await?))),
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

type Proof = tokio::sync::oneshot::Receiver<Result<Hello, Error>>;

/// Waits for the result of the handshake task.
async fn proof_of(proof: &mut Proof) -> Result<Hello, Error> {
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, proof).await;
    let result = result.map_err(|_| Error::Timeout {
        millis: HANDSHAKE_TIMEOUT.as_millis(),
    })?;
    result.map_err(|_| Error::closed("handshake task ended"))?
}

/// Sends the challenge and checks the proof on the first stream.
async fn prove(
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
            message: "no Hello frame".to_owned(),
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
            () = reset(&mut sender) => return Ok(()),
        };
        match reply {
            Reply::None => {}
            Reply::One(frame) => codec::send(&mut sender, &frame, false).await?,
            Reply::Stream(mut frames) => {
                loop {
                    let frame = tokio::select! {
                        frame = frames.recv() => frame,
                        () = reset(&mut sender) => return Ok(()),
                    };
                    let Some(frame) = frame else { break };
                    let sent = codec::send(&mut sender, &frame, false);
                    tokio::time::timeout(PEER_SILENCE, sent)
                        .await
                        .map_err(|_| Error::Timeout {
                            millis: PEER_SILENCE.as_millis(),
                        })??;
                }
                break;
            }
        }
    }
    sender.send_data(Bytes::new(), true).map_err(Error::closed)
}

/// Returns when the peer no longer wants the answer.
async fn reset(sender: &mut h2::SendStream<Bytes>) {
    // An error means that the connection has ended.
    let _ = std::future::poll_fn(|context| sender.poll_reset(context)).await;
}
