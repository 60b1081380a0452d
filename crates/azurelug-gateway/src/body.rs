//! Answer bodies for clients: complete, or streamed as a target produces them.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer was interrupted. The client's connection is closed so that the answer does not look
/// complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was interrupted; the client has to send the request again")]
pub struct BodyInterrupted;

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Complete(Option<Bytes>),
    /// Bytes arrive as they are produced. The body ends when the sender is dropped.
    Stream(mpsc::Receiver<Result<Bytes, BodyInterrupted>>),
}

impl Body {
    /// Creates a complete body.
    #[must_use]
    pub fn complete(bytes: Bytes) -> Self {
        Self::Complete(Some(bytes))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Stream(parts) => {
                let part = parts.poll_recv(context);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
