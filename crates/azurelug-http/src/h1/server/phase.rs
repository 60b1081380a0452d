//! Tracks the phase of a connection, and limits the transfer time of a request head.
//!
//! hyper has a single timer for the idle time before a head and the transfer of the head. The idle
//! time may be long, the transfer may not, so this module times the transfer in the stream below
//! hyper.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use http_body::{Body, Frame, SizeHint};
use pin_project_lite::pin_project;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

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
#[derive(Clone, Debug, Default)]
pub(super) struct PhaseTracker(Arc<Mutex<Phase>>);

impl PhaseTracker {
    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().expect("no holder of the lock panics")
    }

    pub(super) fn phase(&self) -> Phase {
        *self.lock()
    }

    /// Records that a complete head has arrived. Dropping the returned guard ends the exchange.
    pub(super) fn begin_exchange(&self) -> ExchangeGuard {
        *self.lock() = Phase::Answering;
        ExchangeGuard(self.clone())
    }

    /// Records that bytes have arrived. Returns whether they are the first ones of a head.
    fn record_received(&self) -> bool {
        let mut phase = self.lock();
        let starts_head = matches!(*phase, Phase::New | Phase::Idle);
        if starts_head {
            *phase = Phase::ReadingHead;
        }
        starts_head
    }
}

/// Guard of a request that is being answered.
#[derive(Debug)]
pub(super) struct ExchangeGuard(PhaseTracker);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        *self.0.lock() = Phase::Idle;
    }
}

/// A client's stream. Reading fails if a request head does not arrive in time.
pub(super) struct HeadTimeoutStream {
    stream: TcpStream,
    tracker: PhaseTracker,
    head_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimeoutStream {
    pub(super) fn new(stream: TcpStream, tracker: PhaseTracker, head_timeout: Duration) -> Self {
        Self {
            stream,
            tracker,
            head_timeout,
            timer: None,
        }
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.tracker.record_received() {
            self.timer = Some(Box::pin(sleep(self.head_timeout)));
        }
        let is_in_head = self.tracker.phase() == Phase::ReadingHead;
        match (&read, &mut self.timer) {
            (Poll::Pending, Some(timer)) if is_in_head => match timer.as_mut().poll(context) {
                Poll::Ready(()) => {
                    let message = "the head of a request did not arrive in time";
                    Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
                }
                Poll::Pending => Poll::Pending,
            },
            _ => read,
        }
    }
}

impl AsyncWrite for HeadTimeoutStream {
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
