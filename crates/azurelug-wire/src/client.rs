//! Opens authenticated connections and exchanges frames on them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_types::id::DaemonName;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, Version};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use crate::codec::{self, Reader};
use crate::handshake::Identity;
use crate::{Error, Frame};

/// Timeout of the TCP connection and the handshake together.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the TCP connection alone. TCP resends a lost SYN, for instance to a peer that is just
/// starting, only after a second; a new attempt is made sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between PINGs.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A connection is closed if a PING is not answered for this long. An established connection can
/// stop passing data for good while new ones work, and TCP alone takes minutes to detect that.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// Frames that are queued for a slow reader of a subscription.
const SUBSCRIPTION_QUEUE: usize = 16;

/// Frames that are queued on an uplink. Further ones are dropped; the protocol above resends them.
const UPLINK_QUEUE: usize = 256;

/// An authenticated connection. Clones share the underlying connection.
#[derive(Clone)]
pub struct Connection {
    sender: SendRequest<Bytes>,
    peer: DaemonName,
    closed: watch::Receiver<bool>,
}

impl Connection {
    /// Connects and authenticates both sides.
    ///
    /// # Errors
    /// `Connect`, `Handshake` or `Timeout`.
    pub async fn open(address: SocketAddr, identity: Arc<Identity>) -> Result<Self, Error> {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, open(address, &identity)).await;
        opened.map_err(|_| Error::Timeout {
            millis: OPEN_TIMEOUT.as_millis(),
        })?
    }

    /// The name of the daemon at the other end.
    pub fn peer(&self) -> &DaemonName {
        &self.peer
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the connection has ended.
    pub async fn wait_closed(&self) {
        let mut closed = self.closed.clone();
        // An error means that the task that drives the connection has ended.
        let _ = closed.wait_for(|is_closed| *is_closed).await;
    }

    /// Sends one frame on a new stream and returns the answer.
    ///
    /// # Errors
    /// `Timeout` or `Closed`, in which case the peer may have processed the frame; `Refused` if the
    /// peer refused it.
    pub async fn call(&self, frame: Frame, timeout: Duration) -> Result<Frame, Error> {
        let exchange = async {
            let mut reader = self.start_exchange(&frame).await?;
            reader
                .next()
                .await?
                .ok_or_else(|| Error::closed("the stream ended without an answer"))
        };
        let answered = tokio::time::timeout(timeout, exchange).await;
        match answered.map_err(|_| Error::Timeout {
            millis: timeout.as_millis(),
        })?? {
            Frame::Refused { message } => Err(Error::Refused { message }),
            answer => Ok(answer),
        }
    }

    /// Sends one frame and returns a receiver for all frames that the peer sends in response. The
    /// receiver is closed when the stream ends.
    ///
    /// # Errors
    /// `Closed` if the stream can't be opened.
    pub async fn subscribe(&self, frame: Frame) -> Result<mpsc::Receiver<Frame>, Error> {
        let mut reader = self.start_exchange(&frame).await?;
        let (queue, receiver) = mpsc::channel(SUBSCRIPTION_QUEUE);
        tokio::spawn(async move {
            // Dropping the reader resets the stream, which tells the peer to stop sending.
            loop {
                let read = tokio::select! {
                    read = reader.next() => read,
                    () = queue.closed() => return,
                };
                let Ok(Some(frame)) = read else { return };
                if queue.send(frame).await.is_err() {
                    return;
                }
            }
        });
        Ok(receiver)
    }

    /// Opens a stream for frames that need no answer. `try_send` fails while the queue is full.
    ///
    /// # Errors
    /// `Closed` if the stream can't be opened.
    pub async fn open_uplink(&self) -> Result<mpsc::Sender<Frame>, Error> {
        let (mut sender, _reader) = self.open_stream().await?;
        let (queue, mut frames) = mpsc::channel::<Frame>(UPLINK_QUEUE);
        tokio::spawn(async move {
            while let Some(frame) = frames.recv().await {
                if codec::send(&mut sender, &frame, false).await.is_err() {
                    break;
                }
            }
        });
        Ok(queue)
    }

    /// Opens a stream and sends one frame without waiting for the response head first.
    async fn start_exchange(&self, frame: &Frame) -> Result<Reader, Error> {
        let mut ready = self.sender.clone().ready().await.map_err(Error::closed)?;
        let (response, mut sender) = ready
            .send_request(request_head(), false)
            .map_err(Error::closed)?;
        codec::send(&mut sender, frame, true).await?;
        let response = response.await.map_err(Error::closed)?;
        Ok(Reader::new(response.into_body()))
    }

    async fn open_stream(&self) -> Result<(h2::SendStream<Bytes>, Reader), Error> {
        let mut ready = self.sender.clone().ready().await.map_err(Error::closed)?;
        let (response, sender) = ready
            .send_request(request_head(), false)
            .map_err(Error::closed)?;
        let response = response.await.map_err(Error::closed)?;
        Ok((sender, Reader::new(response.into_body())))
    }
}

fn request_head() -> Request<()> {
    Request::builder()
        .method(Method::POST)
        .version(Version::HTTP_2)
        .uri("http://azurelug/")
        .body(())
        .expect("all parts of the request are constant and valid")
}

async fn open(address: SocketAddr, identity: &Identity) -> Result<Connection, Error> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let failed = |message: String| Error::Connect { address, message };
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(failed(error.to_string())),
        Err(_) => return Err(failed("the peer does not answer".to_owned())),
    };
    stream.set_nodelay(true).map_err(Error::closed)?;
    let (sender, mut connection) = h2::client::handshake(stream).await.map_err(Error::closed)?;
    let pings = connection
        .ping_pong()
        .expect("the first call returns a handle");
    let (closed_sender, closed) = watch::channel(false);
    tokio::spawn(async move {
        let reason = tokio::select! {
            result = connection => result.err().map(|error| error.to_string()),
            () = watch_pings(pings) => Some("no answer to a PING".to_owned()),
        };
        if let Some(reason) = reason {
            log::debug!("wire: connection to {address} closed: {reason}");
        }
        closed_sender.send_replace(true);
    });

    let unverified = Connection {
        sender,
        peer: DaemonName::from(""),
        closed,
    };
    let (mut sender, mut reader) = unverified.open_stream().await?;
    let Some(Frame::Challenge { nonce: challenge }) = reader.next().await? else {
        return Err(Error::Handshake {
            message: "the first frame is not a Challenge".to_owned(),
        });
    };
    let nonce: [u8; 16] = rand::random();
    codec::send(
        &mut sender,
        &Frame::Hello(identity.hello(&challenge, nonce)),
        true,
    )
    .await?;
    match reader.next().await? {
        Some(Frame::Welcome { sender: peer, mac }) => {
            identity.check_welcome(&peer, &nonce, &mac)?;
            Ok(Connection { peer, ..unverified })
        }
        Some(Frame::Refused { message }) => Err(Error::Handshake { message }),
        _ => Err(Error::Handshake {
            message: "the answer to Hello is not a Welcome".to_owned(),
        }),
    }
}

/// Sends PINGs and returns when one is not answered in time.
async fn watch_pings(mut pings: h2::PingPong) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        match tokio::time::timeout(PING_TIMEOUT, pings.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
