//! Tracks the phase of a connection, and limits its idle time and the transfer of request heads.
//!
//! hyper has a single timer for the idle time before a head and the transfer of the head, and
//! limits that are fixed when it takes the connection over. So this module applies the limits in
//! force in the stream below hyper.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use http::StatusCode;
use http_body::{Body, Frame, SizeHint};
use pin_project_lite::pin_project;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::Limits;

/// Most bytes of one read of a head. hyper doubles the size of its reads from 8 KiB after each that is
/// filled, and its buffer with them; a read that is never filled keeps both small.
const MAX_HEAD_READ_BYTES: u64 = 8 * 1024 - 1;

/// The same for bodies, whose reads are doubled once.
const MAX_BODY_READ_BYTES: u64 = 16 * 1024 - 1;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing has arrived yet.
    #[default]
    New,
    /// A part of a request head has arrived.
    ReadingHead,
    /// A request is being answered.
    Answering,
    /// The last request has been answered.
    Idle,
}

/// The phase of one connection, shared by its stream and its requests.
#[derive(Clone, Debug)]
pub(super) struct PhaseTracker(Arc<Mutex<(Phase, Instant)>>);

impl Default for PhaseTracker {
    fn default() -> Self {
        Self(Arc::new(Mutex::new((Phase::New, Instant::now()))))
    }
}

impl PhaseTracker {
    fn lock(&self) -> MutexGuard<'_, (Phase, Instant)> {
        self.0.lock().expect("no holder of the lock panics")
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().0
    }

    /// The phase and its beginning.
    pub(super) fn state(&self) -> (Phase, Instant) {
        *self.lock()
    }

    fn enter(&self, phase: Phase) {
        *self.lock() = (phase, Instant::now());
    }

    /// Records that a complete head has arrived. Dropping the returned guard ends the exchange.
    pub(super) fn begin_exchange(&self) -> ExchangeGuard {
        self.enter(Phase::Answering);
        ExchangeGuard(self.clone())
    }

    /// Records that bytes have arrived. Returns whether they belong to a head, as far as is known.
    fn record_received(&self) -> bool {
        if matches!(self.phase(), Phase::New | Phase::Idle) {
            self.enter(Phase::ReadingHead);
        }
        self.phase() == Phase::ReadingHead
    }
}

/// Guard of a request that is being answered.
#[derive(Debug)]
pub(super) struct ExchangeGuard(PhaseTracker);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}

/// Why a connection is closed while it waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeadError {
    #[error("the head of a request did not arrive in time; send it without pauses")]
    Late,
    #[error("the head of a request is too long; send fewer headers")]
    TooLong,
}

/// A client's stream. It ends when it has been idle for too long; reading fails if a request head
/// does not arrive in time or is too long.
pub(super) struct HeadLimitStream<L> {
    stream: TcpStream,
    tracker: PhaseTracker,
    /// Returns the limits in force.
    limits: L,
    /// Bytes received since the head began.
    head_bytes: usize,
    timer: Pin<Box<Sleep>>,
}

impl<L: Fn() -> Limits> HeadLimitStream<L> {
    pub(super) fn new(stream: TcpStream, tracker: PhaseTracker, limits: L) -> Self {
        let timer = Box::pin(sleep(limits().idle));
        Self {
            stream,
            tracker,
            limits,
            head_bytes: 0,
            timer,
        }
    }

    /// Answers a request whose head was not read, and closes the connection.
    pub(super) async fn reject(mut self, status: StatusCode) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        self.stream.write_all(head.as_bytes()).await?;
        self.stream.shutdown().await
    }

    /// Whether the time limit of the current phase has passed; otherwise the timer wakes the task.
    fn poll_expired(&mut self, context: &mut Context<'_>) -> bool {
        loop {
            let (phase, since) = *self.tracker.lock();
            let limits = (self.limits)();
            let limit = match phase {
                Phase::New | Phase::Idle => limits.idle,
                Phase::ReadingHead => limits.head,
                Phase::Answering => return false,
            };
            // A time that is out of range never passes.
            let Some(expiry) = since.checked_add(limit) else {
                return false;
            };
            if expiry <= Instant::now() {
                return true;
            }
            self.timer.as_mut().reset(expiry);
            // The limit may have changed by the time the timer fires.
            if self.timer.as_mut().poll(context).is_pending() {
                return false;
            }
        }
    }
}

impl<L: Fn() -> Limits + Unpin> AsyncRead for HeadLimitStream<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // What has arrived so far was not a complete head.
        let phase = self.tracker.phase();
        let is_in_head = phase == Phase::ReadingHead;
        if is_in_head && self.head_bytes > (self.limits)().head_bytes {
            return Poll::Ready(Err(io::Error::other(HeadError::TooLong)));
        }
        let before = buffer.filled().len();
        let limit = match phase {
            Phase::Answering => MAX_BODY_READ_BYTES,
            Phase::New | Phase::ReadingHead | Phase::Idle => MAX_HEAD_READ_BYTES,
        };
        let mut limited = (&mut self.stream).take(limit);
        let read = Pin::new(&mut limited).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            if !is_in_head {
                self.head_bytes = 0;
            }
            if self.tracker.record_received() {
                self.head_bytes += received;
            }
        }
        if read.is_ready() || !self.poll_expired(context) {
            return read;
        }
        match self.tracker.phase() {
            Phase::ReadingHead => Poll::Ready(Err(io::Error::other(HeadError::Late))),
            // The end of the stream.
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl<L: Unpin> AsyncWrite for HeadLimitStream<L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

pin_project! {
    /// The body of an answer. Dropping it ends the exchange.
    pub(super) struct TrackedBody<B> {
        #[pin]
        body: B,
        exchange: ExchangeGuard,
    }
}

impl<B> TrackedBody<B> {
    pub(super) fn new(body: B, exchange: ExchangeGuard) -> Self {
        Self { body, exchange }
    }
}

impl<B: Body> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.project().body.poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
