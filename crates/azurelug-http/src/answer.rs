//! JSON answers, event streams, and reading of bodies with a size limit.

use std::convert::Infallible;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::Error;

/// Maximum size of a request body in bytes.
pub const BODY_LIMIT: usize = 1024 * 1024;

/// The media type of OpenMetrics text.
pub const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Creates a JSON answer.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("answer types serialize to JSON");
    with_type(status, "application/json", Body::from(body))
}

/// Creates a text answer.
pub fn text(status: u16, content_type: &'static str, value: String) -> Response {
    with_type(status, content_type, Body::from(value))
}

/// Creates an answer from status, content type and body.
pub fn with_type(status: u16, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).expect("status codes are constants");
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(content_type),
    );
    response
}

/// Creates a stream of server-sent events. Each received item is one complete event, encoded by
/// [`event`].
pub fn events(receiver: tokio::sync::mpsc::Receiver<Bytes>) -> Response {
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((Ok::<_, Infallible>(http_body::Frame::data(bytes)), receiver))
    });
    let body = Body::from_body(http_body_util::StreamBody::new(SyncStream::new(stream)));
    let mut response = with_type(200, "text/event-stream", body);
    response.headers_mut().insert(
        http::header::CACHE_CONTROL,
        http::HeaderValue::from_static("no-store"),
    );
    response
}

/// Encodes one server-sent event with a JSON payload.
pub fn event<T: Serialize>(name: &str, value: &T) -> Bytes {
    let payload = serde_json::to_string(value).expect("event types serialize to JSON");
    Bytes::from(format!("event: {name}\ndata: {payload}\n\n"))
}

/// Reads a complete body of at most `limit` bytes, which also bounds the memory use.
///
/// # Errors
/// `TooLarge` for a longer body. An incomplete body is reported as `Build`, because the peer's
/// address, which `NoAnswer` contains, is not known here.
pub async fn read_body(mut body: Body, limit: usize) -> Result<Bytes, Error> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Build {
            message: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > limit {
            return Err(Error::TooLarge { limit });
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Makes a stream `Sync`, which `volo-http` requires of bodies, by polling it
/// with exclusive access.
struct SyncStream<S> {
    inner: std::sync::Mutex<std::pin::Pin<Box<S>>>,
}

impl<S> SyncStream<S> {
    fn new(stream: S) -> Self {
        Self {
            inner: std::sync::Mutex::new(Box::pin(stream)),
        }
    }
}

impl<S: futures_util::Stream> futures_util::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let stream = self
            .get_mut()
            .inner
            .get_mut()
            .expect("no poll panics while it holds the lock");
        stream.as_mut().poll_next(context)
    }
}
