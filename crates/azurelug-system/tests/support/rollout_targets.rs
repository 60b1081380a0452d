//! Targets of two versions that record what they receive. Those of a stage run pieces.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use azurelug_gateway::body::Body;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::NEXT_NUMBER;

/// Time from the arrival of a request until its answer.
pub(crate) const ANSWER_TIME: Duration = Duration::from_millis(20);

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Every second answer is a failure after this number of answers.
    After(usize),
    /// All answers are failures.
    Always,
    /// Every second answer to requests of this path is a failure.
    OnPath(&'static str),
    /// Answers take six times as long.
    Slow,
}

/// A request that a target received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    pub(crate) service: &'static str,
    pub(crate) version: &'static str,
    /// Whether it releases results.
    pub(crate) is_release: bool,
    /// Whether the answer was a failure.
    pub(crate) is_failed: bool,
    pub(crate) at: Instant,
}

#[derive(Default)]
pub(super) struct Shared {
    /// The entries of the platform's list.
    pub(super) list: Vec<Value>,
    pub(super) fault: Fault,
    pub(super) received: Vec<Received>,
    /// Statuses of the clients' answers.
    pub(super) statuses: Vec<u16>,
}

impl Shared {
    /// Whether the next answer of a version is a failure.
    fn fails(&self, target: &Target, path: &str) -> bool {
        let own = self.received.iter();
        let own = own.filter(|it| (it.service, it.version) == (target.service, target.version));
        let answers = own.filter(|it| !it.is_release).count();
        let is_second = answers.is_multiple_of(2);
        match self.fault {
            _ if target.version != "v2" => false,
            Fault::Always => true,
            Fault::After(count) => answers >= count && is_second,
            Fault::OnPath(faulty) => path == faulty && is_second,
            Fault::None | Fault::Slow => false,
        }
    }
}

#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) service: &'static str,
    pub(super) version: &'static str,
    pub(super) at: SocketAddr,
}

impl Target {
    pub(super) async fn answer(
        self,
        shared: Arc<Mutex<Shared>>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        // The clients' bodies are empty, those of calls complete.
        let body = body.collect().await.map(Collected::to_bytes);
        let is_release = path == "/stage-free";
        let (is_failed, is_slow) = {
            let mut shared = shared.lock().unwrap();
            let is_failed = !is_release && shared.fails(&self, path);
            shared.received.push(Received {
                service: self.service,
                version: self.version,
                is_release,
                is_failed,
                at: Instant::now(),
            });
            let is_slow = self.version == "v2" && shared.fault == Fault::Slow;
            (is_failed, is_slow)
        };
        if is_release {
            return Response::new(Body::complete(Bytes::from_static(b"{}")));
        }
        let time = if is_slow {
            ANSWER_TIME * 6
        } else {
            ANSWER_TIME
        };
        sleep(time).await;
        let answer = match path {
            "/stage-run" => self.results(&body.unwrap_or_default()),
            _ => Bytes::from_static(b"answer"),
        };
        let mut response = Response::new(Body::complete(answer));
        if is_failed {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let headers = response.headers_mut();
        if let Some(id) = parts.headers.get("x-request-attempt-id") {
            headers.insert("x-request-attempt-id", id.clone());
        }
        headers.insert("x-response-signature", "signed".parse().unwrap());
        response
    }

    /// The answer to a call for pieces: a handle for each.
    fn results(&self, call: &[u8]) -> Bytes {
        let call: Value = serde_json::from_slice(call).unwrap_or_default();
        let count = call["items"].as_array().map_or(0, Vec::len);
        let handles = (0..count).map(|_| {
            let number = NEXT_NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            json!({"handle": format!("{}/{number}", self.at)})
        });
        let handles: Vec<Value> = handles.collect();
        Bytes::from(json!({ "items": handles }).to_string())
    }
}
