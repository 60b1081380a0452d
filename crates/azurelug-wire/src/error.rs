//! Errors of connections between azurelug processes.

use std::net::SocketAddr;

/// Why an operation on a connection failed. Each text says what to do.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The listener could not be bound.
    #[error("can't listen on {address}: {message}; choose a free address or stop its user")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The TCP connection could not be opened.
    #[error("can't connect to {address}: {message}; check that the process runs and is reachable")]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The peer could not be authenticated.
    #[error("peer refused: {message}; check cluster id and shared key in both settings files")]
    Handshake {
        /// The cause.
        message: String,
    },
    /// A frame is longer than the limit.
    #[error("frame of {length} bytes is over the limit of {limit}; the connection was closed")]
    TooLong {
        /// The frame's length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A frame could not be decoded.
    #[error("malformed frame: {message}; both processes must run releases that fit together")]
    Malformed {
        /// The cause.
        message: String,
    },
    /// The connection ended.
    #[error("connection lost: {message}; a new one is opened")]
    Closed {
        /// The cause.
        message: String,
    },
    /// No answer arrived within the timeout.
    #[error("no answer within {millis} ms; the peer is slow or unreachable")]
    Timeout {
        /// The timeout in milliseconds.
        millis: u128,
    },
    /// The peer refused the request.
    #[error("refused by the peer: {message}")]
    Refused {
        /// The peer's reason.
        message: String,
    },
}

impl Error {
    pub(crate) fn closed(error: impl std::fmt::Display) -> Self {
        Self::Closed {
            message: error.to_string(),
        }
    }
}
