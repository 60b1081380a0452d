//! Bodies of answers to clients: whole, or passed on as a target produces them.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off; the client's connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off; the client has to send the request again")]
pub struct BrokenOff;

/// A body.
#[derive(Debug)]
pub enum Body {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Bytes arrive as they are made. The sender's end is the body's end.
    Stream(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl Body {
    /// A whole body.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Stream(parts) => {
                let part = parts.poll_recv(context);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
