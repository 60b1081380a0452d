//! Error responses of the test doubles: a status and a JSON body.

use azurelug_http::answer;
use http::{HeaderValue, header};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use volo_http::request::Request;
use volo_http::response::Response;

/// An error response.
pub(crate) struct ErrorResponse {
    status: u16,
    body: Value,
    retry_after: Option<HeaderValue>,
}

impl ErrorResponse {
    /// An error response with the body `{"error": error}`.
    pub(crate) fn new(status: u16, error: &str) -> Self {
        Self::with_body(status, json!({ "error": error }))
    }

    /// An error response with a custom body.
    pub(crate) fn with_body(status: u16, body: Value) -> Self {
        Self {
            status,
            body,
            retry_after: None,
        }
    }

    /// Adds `Retry-After` in seconds.
    pub(crate) fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after = Some(HeaderValue::from(seconds));
        self
    }

    /// Converts this into an HTTP response.
    pub(crate) fn into_response(self) -> Response {
        let mut response = answer::json(self.status, &self.body);
        if let Some(value) = self.retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Reads and deserializes a JSON body.
pub(crate) async fn parse_json<T: DeserializeOwned>(request: Request) -> Result<T, ErrorResponse> {
    let body = answer::read_body(request.into_body(), answer::BODY_LIMIT).await;
    let body = body.map_err(|error| ErrorResponse::new(400, &error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| ErrorResponse::new(400, &error.to_string()))
}
