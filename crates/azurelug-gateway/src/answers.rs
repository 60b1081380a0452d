//! Reads answer bodies into memory within fixed limits.
//!
//! A faulty target may send bytes without end, and many targets can be faulty at the same time. So
//! each answer has its own limit, and all answers that are being read share another one.

use std::sync::Arc;

use azurelug_http::h1::client::is_ended_by_server;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of each answer that don't count against the shared limit. Nearly all answers are shorter,
/// so they can be read even while long answers have used up the shared limit.
const UNSHARED_BYTES: usize = 64 * 1024;

/// Shared limit in bytes for the parts of answers beyond [`UNSHARED_BYTES`]. Buffers grow by
/// doubling and so use up to twice as much memory, which is a third of the memory of a small VM.
const SHARED_BYTES: usize = 24 * 1024 * 1024;

/// Bytes of one permit of the shared limit.
const PERMIT_BYTES: usize = 64 * 1024;

/// Why an answer was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The answer exceeds the limit for one answer.
    #[error("the answer is longer than {limit} bytes; check the target")]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// Other long answers have used up the shared limit.
    #[error("there is no room for a long answer; read fewer at the same time")]
    SharedLimitReached,
    /// The connection failed before the end of the body.
    #[error("the answer was interrupted: {message}; send the request again")]
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

/// Reads answers within the shared limit.
#[derive(Debug)]
pub struct AnswerReader {
    shared_permits: Arc<Semaphore>,
}

impl Default for AnswerReader {
    fn default() -> Self {
        Self {
            shared_permits: Arc::new(Semaphore::new(SHARED_BYTES / PERMIT_BYTES)),
        }
    }
}

impl AnswerReader {
    /// Reads a body of at most `limit` bytes. Its share of the common limit is released when the
    /// read ends, because the caller forwards the body at once.
    ///
    /// # Errors
    /// Why the body could not be read completely.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
        if body.size_hint().lower() > limit as u64 {
            return Err(Error::TooLong { limit });
        }
        let mut buffer = BytesMut::new();
        let mut permits: Vec<OwnedSemaphorePermit> = Vec::new();
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
            while length > UNSHARED_BYTES + permits.len() * PERMIT_BYTES {
                let permit = Arc::clone(&self.shared_permits).try_acquire_owned();
                permits.push(permit.map_err(|_| Error::SharedLimitReached)?);
            }
            if buffer.is_empty() && body.is_end_stream() {
                return Ok(data);
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }
}
