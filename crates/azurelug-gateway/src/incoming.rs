//! Reads bodies of requests and answers into memory within fixed limits.
//!
//! A faulty target may send bytes without end, and many targets can be faulty at the same time. So
//! each body has its own limit, and all of them count against the gateway's memory.

use azurelug_http::h1::client::is_ended_by_server;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory::{Exhausted, Held, Holder, wait_evicted};

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body exceeds its limit.
    #[error("the body is longer than {limit} bytes; check its sender")]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// The gateway holds too much.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// The connection failed before the end of the body.
    #[error("the body was interrupted: {message}; send the request again")]
    Interrupted {
        /// The cause.
        message: String,
        /// Whether the server ended the connection.
        is_ended_by_server: bool,
    },
}

impl Error {
    /// Whether the server ended the connection.
    #[must_use]
    pub fn is_ended_by_server(&self) -> bool {
        matches!(
            self,
            Self::Interrupted {
                is_ended_by_server: true,
                ..
            }
        )
    }
}

/// Reads a body of at most `limit` bytes, which `holder` holds until the result is dropped.
///
/// # Errors
/// Why the body could not be read completely.
pub async fn read(holder: &Holder, body: Incoming, limit: usize) -> Result<Bytes, Error> {
    let eviction = holder.eviction();
    tokio::select! {
        read = read_body(holder, body, limit) => read,
        () = wait_evicted(&eviction) => Err(Exhausted.into()),
    }
}

async fn read_body(holder: &Holder, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLong { limit });
    }
    let announced = body.size_hint().exact().map(|bytes| bytes as usize);
    let mut buffer = BytesMut::new();
    let mut held = Held::empty(holder);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Interrupted {
            message: error.to_string(),
            is_ended_by_server: is_ended_by_server(&error),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > limit {
            return Err(Error::TooLong { limit });
        }
        held.grow_to(length).await?;
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(held.attach(data));
        }
        if buffer.is_empty() {
            // Reserved memory takes no room until it is written.
            buffer.reserve(announced.unwrap_or(data.len()));
        }
        buffer.extend_from_slice(&data);
        if announced.is_none() {
            // The buffer grows, and is copied, ahead of its content.
            held.grow_to(buffer.capacity()).await?;
        }
    }
    Ok(held.attach(buffer.freeze()))
}
