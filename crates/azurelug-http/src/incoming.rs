//! Reads bodies of requests and answers into memory within fixed limits.
//!
//! A faulty target may send bytes without end, and many clients can stop in the middle of a body at the
//! same time. So each body has its own limit, all of them count against the process's memory, and
//! bodies of requests have to arrive at a pace.

use std::any::Any;
use std::fmt::Display;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::h1::client::is_ended_by_server;
use crate::memory::{Arrival, Exhausted, Held, Holder, Kind, wait_evicted};
use crate::pace::Pace;

/// Size of the blocks into which a body is copied until it is whole. One buffer would be copied while
/// it grows, or leave large gaps in the process's memory when bodies are given up.
const BLOCK_BYTES: usize = 16 * 1024;

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body exceeds its limit.
    #[error("the body is longer than {limit} bytes; check its sender")]
    TooLong {
        /// The limit.
        limit: usize,
    },
    /// The body arrived too slowly, or stopped.
    #[error("the body did not arrive in time; send it without pauses")]
    Late,
    /// The process holds too much.
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

/// `Retry-After` of a request whose body found no memory, in seconds.
const MEMORY_RETRY_AFTER: u64 = 1;

impl Error {
    /// The status of the refusal of a request whose body was not read. 408 and 503 promise that it
    /// has not run.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::Exhausted(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Interrupted { .. } => StatusCode::BAD_REQUEST,
        }
    }

    /// Sets the header fields of the refusal. Nothing more can be read from the connection after a
    /// body that was not read whole.
    pub fn close(&self, headers: &mut HeaderMap) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if matches!(self, Self::Exhausted(_)) {
            headers.insert(RETRY_AFTER, HeaderValue::from(MEMORY_RETRY_AFTER));
        }
    }

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

/// Reads an answer's body of at most `limit` bytes, which `holder` holds until the result is dropped.
///
/// # Errors
/// Why the body could not be read completely.
pub async fn read<B>(holder: &Holder, body: B, limit: usize) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display + 'static,
{
    let reader = Reader::new(holder, Kind::Answer, limit);
    let eviction = holder.eviction();
    tokio::select! {
        read = reader.read(body, None) => read,
        () = wait_evicted(&eviction) => Err(Exhausted.into()),
    }
}

/// As [`read`], for the body of a request, which has to arrive at a pace.
///
/// # Errors
/// Why the body could not be read completely.
pub async fn read_request<B>(
    holder: &Holder,
    body: B,
    limit: usize,
    pace: Pace,
) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display + 'static,
{
    let reader = Reader::new(holder, Kind::Request, limit);
    let eviction = holder.eviction();
    tokio::select! {
        read = reader.read(body, Some(pace)) => read,
        () = wait_evicted(&eviction) => Err(Exhausted.into()),
    }
}

/// The part of a body that has arrived.
struct Reader<'a> {
    holder: &'a Holder,
    limit: usize,
    held: Held,
    /// All but the last are full.
    blocks: Vec<BytesMut>,
    length: usize,
}

impl<'a> Reader<'a> {
    fn new(holder: &'a Holder, kind: Kind, limit: usize) -> Self {
        Self {
            holder,
            limit,
            held: Held::empty_of(holder, kind),
            blocks: Vec::new(),
            length: 0,
        }
    }

    async fn read<B>(mut self, mut body: B, pace: Option<Pace>) -> Result<Bytes, Error>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display + 'static,
    {
        let announced = body.size_hint().lower();
        if announced > self.limit as u64 {
            return Err(Error::TooLong { limit: self.limit });
        }
        if announced > self.holder.capacity() as u64 {
            return Err(Exhausted.into());
        }
        let started = Instant::now();
        let mut last = started;
        let mut arrival: Option<Arrival> = None;
        loop {
            let next = match pace {
                Some(pace) => timeout_at(pace.limit(started, last, self.length), body.frame())
                    .await
                    .map_err(|_| Error::Late)?,
                None => body.frame().await,
            };
            let Some(frame) = next else {
                return Ok(self.join());
            };
            let frame = frame.map_err(|error| interruption(&error))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.length + data.len() > self.limit {
                return Err(Error::TooLong { limit: self.limit });
            }
            last = Instant::now();
            if self.length == 0 && body.is_end_stream() {
                self.held.grow_to(data.len()).await?;
                return Ok(self.held.attach(data));
            }
            if pace.is_some() && arrival.is_none() {
                arrival = Some(self.holder.begin_arrival());
            }
            self.push(&data).await?;
        }
    }

    /// Copies a part of the body.
    async fn push(&mut self, mut data: &[u8]) -> Result<(), Exhausted> {
        self.length += data.len();
        while !data.is_empty() {
            let last = self.blocks.last();
            let room = last.map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                self.held.grow_to(self.held.bytes() + BLOCK_BYTES).await?;
                self.blocks.push(BytesMut::with_capacity(BLOCK_BYTES));
                continue;
            }
            let (now, later) = data.split_at(room.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            data = later;
        }
        Ok(())
    }

    /// The whole body in one buffer. Each block is dropped as soon as it has been copied.
    fn join(mut self) -> Bytes {
        let whole = match self.blocks.len() {
            0 | 1 => self.blocks.pop().unwrap_or_default(),
            _ => {
                let mut whole = BytesMut::with_capacity(self.length);
                for block in self.blocks.drain(..) {
                    whole.extend_from_slice(&block);
                }
                whole
            }
        };
        if whole.capacity() <= self.length {
            self.held.shrink_to(self.length);
        }
        self.held.attach(whole.freeze())
    }
}

fn interruption<E: Display + 'static>(error: &E) -> Error {
    let cause = (error as &dyn Any).downcast_ref::<hyper::Error>();
    Error::Interrupted {
        message: error.to_string(),
        is_ended_by_server: cause.is_some_and(is_ended_by_server),
    }
}
