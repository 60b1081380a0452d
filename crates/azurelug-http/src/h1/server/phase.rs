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
    Fresh,
    /// A part of a request head has arrived.
    Head,
    /// A request is being answered.
    Exchange,
    /// The last request has been answered.
    Idle,
}

/// The phase of one connection, shared by its stream and its requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Tracker(Arc<Mutex<Phase>>);

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.0.lock().expect("no holder of the lock panics")
    }

    pub(super) fn phase(&self) -> Phase {
        *self.lock()
    }

    /// Records that a complete head has arrived. Dropping the returned guard ends the exchange.
    pub(super) fn begin(&self) -> Exchange {
        *self.lock() = Phase::Exchange;
        Exchange(self.clone())
    }

    /// Records that bytes have arrived. Returns whether they are the first ones of a head.
    fn received(&self) -> bool {
        let mut phase = self.lock();
        let is_new = matches!(*phase, Phase::Fresh | Phase::Idle);
        if is_new {
            *phase = Phase::Head;
        }
        is_new
    }
}

/// Guard of a request that is being answered.
#[derive(Debug)]
pub(super) struct Exchange(Tracker);

impl Drop for Exchange {
    fn drop(&mut self) {
        *self.0.lock() = Phase::Idle;
    }
}

/// A client's stream. Reading fails if a request head does not arrive in time.
pub(super) struct Stream {
    stream: TcpStream,
    tracker: Tracker,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(super) fn new(stream: TcpStream, tracker: Tracker, limit: Duration) -> Self {
        Self {
            stream,
            tracker,
            limit,
            timer: None,
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.tracker.received() {
            self.timer = Some(Box::pin(sleep(self.limit)));
        }
        let is_in_head = self.tracker.phase() == Phase::Head;
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

impl AsyncWrite for Stream {
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
    pub(super) struct Answer<B> {
        #[pin]
        body: B,
        exchange: Exchange,
    }
}

impl<B> Answer<B> {
    pub(super) fn new(body: B, exchange: Exchange) -> Self {
        Self { body, exchange }
    }
}

impl<B: Body> Body for Answer<B> {
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
