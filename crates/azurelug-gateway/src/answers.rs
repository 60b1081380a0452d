//! Reads the bodies of answers that are held as a whole, within bounds of memory.
//!
//! A target in trouble may send bytes without end. One answer is bounded by its own limit, and all
//! that are read at the same time by a common one, as many targets can be in trouble together.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one answer that need no part of the common room. Nearly all answers are shorter, so that
/// they are read although long ones have used the room up.
const FREE: usize = 64 * 1024;

/// Bytes that all answers together may hold beyond [`FREE`] each. Buffers grow by doubling, so that
/// they take up to twice as much, which is a third of the memory of a small VM.
const ROOM: usize = 24 * 1024 * 1024;

/// Bytes of one permit; the room is taken in such steps.
const STEP: usize = 64 * 1024;

/// Why an answer was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is longer than one answer may be.
    #[error("the answer is longer than {limit} bytes; the target has to be looked at")]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// Other long answers have used the room up.
    #[error("there is no room for a long answer; fewer have to be read at the same time")]
    NoRoom,
    /// It broke off.
    #[error("the answer broke off: {message}; the target has to be asked again")]
    BrokeOff {
        /// The cause.
        message: String,
    },
}

/// The common room of all answers.
#[derive(Debug)]
pub struct Answers {
    room: Arc<Semaphore>,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            room: Arc::new(Semaphore::new(ROOM / STEP)),
        }
    }
}

impl Answers {
    /// Reads a body of `limit` bytes at most. The room is given back with the read; the caller passes
    /// the body on at once.
    ///
    /// # Errors
    /// Why the body is not whole.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
        if body.size_hint().lower() > limit as u64 {
            return Err(Error::TooLong { limit });
        }
        let mut whole = BytesMut::new();
        let mut taken: Vec<OwnedSemaphorePermit> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::BrokeOff {
                message: error.to_string(),
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = whole.len() + data.len();
            if length > limit {
                return Err(Error::TooLong { limit });
            }
            while length > FREE + taken.len() * STEP {
                let permit = Arc::clone(&self.room).try_acquire_owned();
                taken.push(permit.map_err(|_| Error::NoRoom)?);
            }
            if whole.is_empty() && body.is_end_stream() {
                return Ok(data);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}
