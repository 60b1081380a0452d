//! An HTTP client that sends each call only once.
//!
//! It never retries and never follows redirects: the caller decides whether a call may be repeated.
//! Errors distinguish calls that were provably not sent from calls whose outcome is unknown.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method};
use http_body_util::BodyExt;
use volo_http::body::Body;
use volo_http::error::client::{ClientError, ErrorKind};
use volo_http::response::Response;

use crate::{Error, answer};

/// Timeout of a TCP connection. Peers are in the same region, a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of idle connections to each peer.
const MAX_IDLE_PER_PEER: usize = 32;

/// Idle connections are closed before the usual keep-alive limit of servers (60 s and more), so that
/// a call rarely meets a connection that the peer is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The peer's address.
    pub address: SocketAddr,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body; empty for none.
    pub body: Bytes,
    /// Time limit until the head of the answer has arrived.
    pub timeout: Duration,
}

impl Call {
    /// A GET call without a body.
    pub fn get(address: SocketAddr, path: impl Into<String>, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            address,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// A POST call with a JSON body.
    ///
    /// # Panics
    /// If the value can't be serialized, which does not happen for plain data types.
    pub fn post_json<T: serde::Serialize>(
        address: SocketAddr,
        path: impl Into<String>,
        value: &T,
        timeout: Duration,
    ) -> Self {
        let body = serde_json::to_vec(value).expect("request types serialize to JSON");
        Self {
            method: Method::POST,
            address,
            path: path.into(),
            headers: vec![(
                http::header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            )],
            body: Bytes::from(body),
            timeout,
        }
    }
}

/// The client. Clones share one connection pool.
#[derive(Clone)]
pub struct Client {
    inner: volo_http::client::Client,
}

impl Client {
    /// A client that keeps idle connections open.
    ///
    /// # Errors
    /// `Build` if the library rejects the client's settings.
    pub fn pooled() -> Result<Self, Error> {
        Self::build(MAX_IDLE_PER_PEER)
    }

    /// A client that opens a connection for each call. Used for calls that must not be repeated: if
    /// the peer closed a pooled connection at the same moment, their outcome would be unknown.
    ///
    /// # Errors
    /// `Build` if the library rejects the client's settings.
    pub fn unpooled() -> Result<Self, Error> {
        Self::build(0)
    }

    fn build(max_idle: usize) -> Result<Self, Error> {
        let mut builder = volo_http::client::Client::builder();
        builder
            .set_connect_timeout(CONNECT_TIMEOUT)
            .set_pool_idle_timeout(IDLE_TIMEOUT)
            .set_max_idle_per_host(max_idle);
        let inner = builder.build().map_err(|error| Error::Build {
            message: error.to_string(),
        })?;
        Ok(Self { inner })
    }

    /// Sends the call once and returns the head of the answer with its streaming body.
    ///
    /// # Errors
    /// `NotSent` if no connection could be opened. If the call was sent at least in part,
    /// `TimedOut` after the timeout and `NoAnswer` if the connection broke.
    pub async fn send(&self, call: Call) -> Result<Response, Error> {
        let address = call.address;
        let uri = format!("http://{address}{}", call.path);
        let mut request = self.inner.request(call.method, uri);
        for (name, value) in call.headers {
            request.headers_mut().insert(name, value);
        }
        let request = request.body(Body::from(call.body));
        match tokio::time::timeout(call.timeout, request.send::<Body>()).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if failed_to_connect(&error) => Err(Error::NotSent {
                address,
                message: error.to_string(),
            }),
            Ok(Err(error)) if *error.kind() == ErrorKind::Builder => Err(Error::Build {
                message: error.to_string(),
            }),
            Ok(Err(error)) => Err(Error::NoAnswer {
                address,
                message: error.to_string(),
            }),
            Err(_) => Err(Error::TimedOut {
                address,
                waited: call.timeout,
            }),
        }
    }

    /// Sends the call once and reads the whole answer within the call's timeout.
    ///
    /// # Errors
    /// As [`Client::send`]; `TooLarge` if the answer is longer than `limit` bytes.
    pub async fn send_whole(&self, call: Call, limit: usize) -> Result<(u16, Bytes), Error> {
        let address = call.address;
        let call_timeout = call.timeout;
        let started = tokio::time::Instant::now();
        let response = self.send(call).await?;
        let status = response.status().as_u16();
        let left = call_timeout.saturating_sub(started.elapsed());
        match tokio::time::timeout(left, answer::read_body(response.into_body(), limit)).await {
            Ok(Ok(body)) => Ok((status, body)),
            Ok(Err(Error::Build { message })) => Err(Error::NoAnswer { address, message }),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(Error::TimedOut {
                address,
                waited: call_timeout,
            }),
        }
    }
}

/// Whether no connection could be opened. `volo-http` 0.5.7 reports that as `Request` with the I/O
/// error as its direct source; on an open connection the source is an error of `hyper`.
fn failed_to_connect(error: &ClientError) -> bool {
    let source = std::error::Error::source(error);
    match error.kind() {
        ErrorKind::Connect => true,
        ErrorKind::Request => source.is_some_and(<dyn std::error::Error>::is::<std::io::Error>),
        _ => false,
    }
}

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's name; empty if it has none.
    pub name: String,
    /// The payload.
    pub data: String,
}

/// Reads server-sent events from an answer's body.
pub struct Events {
    body: Body,
    buffer: Vec<u8>,
    address: SocketAddr,
}

/// Maximum size of an event in bytes.
const EVENT_LIMIT: usize = 256 * 1024;

impl Events {
    /// Creates a reader for the body of an answer from `address`.
    pub fn new(response: Response, address: SocketAddr) -> Self {
        Self {
            body: response.into_body(),
            buffer: Vec::new(),
            address,
        }
    }

    /// Reads the next event; none at the regular end of the stream.
    ///
    /// # Errors
    /// `NoAnswer` if the connection breaks, `TooLarge` for an event above the limit.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = parse_event(&self.buffer[..end]);
                self.buffer.drain(..end + 2);
                return Ok(Some(event));
            }
            if self.buffer.len() > EVENT_LIMIT {
                return Err(Error::TooLarge { limit: EVENT_LIMIT });
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => {
                    return Err(Error::NoAnswer {
                        address: self.address,
                        message: error.to_string(),
                    });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn parse_event(bytes: &[u8]) -> Event {
    let text = String::from_utf8_lossy(bytes);
    let mut event = Event {
        name: String::new(),
        data: String::new(),
    };
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("event:") {
            event.name = name.trim_start().to_owned();
        } else if let Some(data) = line.strip_prefix("data:") {
            if !event.data.is_empty() {
                event.data.push('\n');
            }
            event.data.push_str(data.strip_prefix(' ').unwrap_or(data));
        }
    }
    event
}
