//! Bounds the bytes that a server may send before the head of its answer.
//!
//! A server may send any number of interim answers first. The library skips them, so that an
//! endless series would keep the only thread busy until the request's deadline, and delay it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes before the end of an answer's head. They include interim answers, and what is read of
/// the body together with the head.
const MAX_BYTES: usize = 256 * 1024;

/// Bytes that may still be read; unlimited while no head is expected.
#[derive(Clone, Debug)]
pub(super) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    pub(super) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Limits the bytes from now on, because a request is sent.
    pub(super) fn expect_head(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, because the head has arrived.
    pub(super) fn record_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn use_up(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            let left = left.saturating_sub(bytes);
            self.0.store(left, Ordering::Relaxed);
            return left > 0;
        }
        true
    }
}

/// A socket that fails when more bytes than allowed are read.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.allowance.use_up(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let message = format!("no head of an answer within {MAX_BYTES} bytes; check the server");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
