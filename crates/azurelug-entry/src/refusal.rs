//! Builds refusals and their HTTP responses.

use std::time::Duration;

use azurelug_http::answer;
use azurelug_types::outcome::{Execution, Reason, Refusal};
use http::HeaderValue;
use http::header::RETRY_AFTER;
use volo_http::response::Response;

/// Builds the refusal of `request`; set `retry_after` if a retry can succeed.
pub fn new_refusal(
    request: &str,
    reason: Reason,
    execution: Execution,
    retry_after: Option<Duration>,
) -> Refusal {
    Refusal {
        request_id: request.to_owned(),
        execution,
        reason,
        retry_after_ms: retry_after.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        help: reason.help().to_owned(),
    }
}

/// Builds the HTTP response for a refusal.
pub fn to_response(refusal: &Refusal) -> Response {
    let mut response = answer::json(refusal.reason.status(), refusal);
    if let Some(millis) = refusal.retry_after_ms {
        // Retry-After counts whole seconds (RFC 9110); the body has the exact time.
        let seconds = millis.div_ceil(1000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
