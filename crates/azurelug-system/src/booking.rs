//! Bookings: calls of an operation that is not idempotent.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use http::{HeaderName, HeaderValue};
use serde_json::{Value, json};

use crate::system::ACCOUNT_KEY;

/// Timeout of a call, longer than every deadline, so that a suspended daemon can still answer.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum length of an answer, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024;

/// One booking. Sending it again repeats the same idempotency key.
#[derive(Clone, Debug)]
pub struct Booking {
    /// The idempotency key.
    pub key: String,
    /// The API key of the client account.
    pub account_key: String,
    /// The request body.
    pub body: Value,
    /// The deadline sent with each call.
    pub deadline: Duration,
}

/// The answer to a booking.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Whether this is the recorded answer to an earlier call with the same key.
    pub is_replayed: bool,
    /// The answer's body.
    pub body: Value,
}

impl Answer {
    /// Status, `reason` and `execution` of a refusal; `reason` and `execution` are empty for other
    /// answers.
    pub fn refusal(&self) -> (u16, &str, &str) {
        let text = |name: &str| self.body[name].as_str().unwrap_or_default();
        (self.status, text("reason"), text("execution"))
    }

    /// Whether the answer states that no byte of the call was sent to a target.
    pub fn is_not_run(&self) -> bool {
        self.body["execution"] == "not_run"
    }
}

impl Booking {
    /// Creates a booking with a new idempotency key.
    pub fn new(deadline: Duration) -> Self {
        let key = uuid::Uuid::now_v7().to_string();
        Self::with_key(key, deadline)
    }

    /// Creates a booking with the given idempotency key.
    pub fn with_key(key: String, deadline: Duration) -> Self {
        Self {
            key,
            account_key: ACCOUNT_KEY.to_owned(),
            body: json!({"item": "roasted corn", "count": 3}),
            deadline,
        }
    }

    /// Sends the booking once; none without a complete answer.
    ///
    /// # Panics
    /// If the HTTP client can't be built.
    pub async fn send(&self, entry: SocketAddr) -> Option<Answer> {
        let client = Client::unpooled().expect("build the client");
        let mut call = Call::post_json(entry, "/v1/services/stock/book", &self.body, TIMEOUT);
        let deadline = self.deadline.as_millis().to_string();
        for (name, text) in [
            ("authorization", format!("Bearer {}", self.account_key)),
            ("idempotency-key", self.key.clone()),
            ("azurelug-deadline-ms", deadline),
        ] {
            let value = HeaderValue::from_str(&text).expect("header values are plain text");
            call.headers.push((HeaderName::from_static(name), value));
        }
        let response = client.send(call).await.ok()?;
        let status = response.status().as_u16();
        let is_replayed = response.headers().contains_key("azurelug-replayed");
        let body = azurelug_http::answer::read_body(response.into_body(), ANSWER_LIMIT).await;
        let body = serde_json::from_slice(&body.ok()?).unwrap_or_default();
        Some(Answer {
            status,
            is_replayed,
            body,
        })
    }
}
