//! One HTTP/1.1 connection to a server, for one request at a time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::head_limit::{Allowance, LimitedStream};

/// Maximum size of an answer head, and of the buffer of one connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[error("can't connect to {address}: {message}; check that the server is running")]
    Connect {
        /// The server's address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The connection ended before any part of the request was sent.
    #[error("the connection ended before the request was sent; open a new one")]
    NotSent,
    /// The connection failed after the request was sent, at least in part.
    #[error("no answer: {message}; the request may have run")]
    Lost {
        /// The cause.
        message: String,
        /// Whether the server ended the connection, as [`is_ended_by_server`].
        is_ended_by_server: bool,
    },
}

impl Error {
    /// Whether the server can't have received any part of the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }

    /// Whether the server ended the connection after the request was sent.
    #[must_use]
    pub fn is_ended_by_server(&self) -> bool {
        matches!(
            self,
            Self::Lost {
                is_ended_by_server: true,
                ..
            }
        )
    }
}

/// An open connection. Dropping it closes the socket, so that the server can cancel its work.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects within `limit`. The connection is ended if the server acknowledges nothing for
    /// `ack_timeout`.
    ///
    /// # Errors
    /// `Connect` if the connection can't be opened in time.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        ack_timeout: Duration,
    ) -> Result<Self, Error> {
        let failed = |message: String| Error::Connect { address, message };
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Err(_) => return Err(failed(format!("no answer in {} ms", limit.as_millis()))),
        };
        super::configure_socket(&stream, ack_timeout).map_err(|error| failed(error.to_string()))?;
        let allowance = Allowance::unlimited();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("http: connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            allowance,
            driver,
        })
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the next request can be sent at once. False while the previous answer has not been
    /// read completely or a request body is still being sent.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the next request can be sent; false if the connection has ended.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// `NotSent` if no part of the request was sent, otherwise `Lost`.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.allowance.expect_head();
        let sent = self.sender.try_send_request(request).await;
        self.allowance.record_head();
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => Error::NotSent,
            None => Error::Lost {
                message: describe(failure.error()),
                is_ended_by_server: is_ended_by_server(failure.error()),
            },
        })
    }
}

/// Formats an error with its cause, which hyper's own text omits.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Whether the server closed or reset the connection, in contrast to silence, a network that is out
/// of reach or an answer that can't be parsed.
#[must_use]
pub fn is_ended_by_server(error: &hyper::Error) -> bool {
    if error.is_parse() || error.is_canceled() {
        return false;
    }
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return matches!(
                error.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            );
        }
        cause = error.source();
    }
    true
}
