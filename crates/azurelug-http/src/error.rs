//! Errors of the HTTP server and client.

use std::net::SocketAddr;
use std::time::Duration;

/// Why an HTTP operation failed. Each text says what to do.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listener could not be bound.
    #[error(
        "can't listen on {address}: {source}; choose a free address or stop the process that uses it"
    )]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The server ended with an error.
    #[error("HTTP server on {address} ended: {message}; restart the process")]
    Serve {
        /// The listener's address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// No connection could be opened, so that no byte of the request was sent.
    #[error("can't connect to {address}: {message}; check that it is running and reachable")]
    NotSent {
        /// The peer's address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The request was sent at least in part, and the connection broke before the complete answer.
    #[error("no complete answer from {address}: {message}; the call may have run")]
    NoAnswer {
        /// The peer's address.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
    /// The request was sent at least in part, and no complete answer arrived in time.
    #[error("no complete answer from {address} within {waited:?}; the call may have run")]
    TimedOut {
        /// The peer's address.
        address: SocketAddr,
        /// The timeout of the call.
        waited: Duration,
    },
    /// The body is longer than the limit.
    #[error("body of more than {limit} bytes; send a shorter one")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The request could not be built.
    #[error("can't build the request: {message}; check path and headers")]
    Build {
        /// The cause.
        message: String,
    },
}

impl Error {
    /// Whether the request was provably not sent, not even in part.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Build { .. })
    }
}
