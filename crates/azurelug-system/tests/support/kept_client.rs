//! Clients that keep their connections open, and the check of the answers of scripted targets.

use azurelug_http::h1::client::Connection;
use bytes::{Bytes, BytesMut};
use futures_util::future::join_all;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};

use super::scripted::{Kind, STAGE_HEADERS, Script, body_parts, service_name};
use super::{Deployment, TIMEOUT};

/// Length of a long request in bytes: above the buffers of a connection, and below the gateway's
/// limit for bodies.
const LONG_BODY_BYTES: usize = 3_000_000;

/// A client that keeps its connection open.
pub(crate) struct Client(Connection);

/// What a client received of an answer.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body has reached its end.
    pub(crate) is_whole: bool,
}

/// What the client of a scripted service must receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// The whole answer, and another one on the same connection.
    Complete,
    /// The same, or a refusal of a request that no target has run.
    Served,
    /// No answer that looks complete, and not a refusal, because the request has run.
    Incomplete,
}

impl Client {
    /// Sends a request and reads the answer; an error if there is none.
    pub(crate) async fn request(
        &mut self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<Received, String> {
        let body = Bytes::from_static(b"a body");
        self.request_with_body(id, path, headers, body).await
    }

    /// As [`Client::request`], with a body.
    pub(crate) async fn request_with_body(
        &mut self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Received, String> {
        let mut request = Request::post(path)
            .header("host", "carts.example")
            .header("x-request-attempt-id", id)
            .header("authorization", "Bearer key-1");
        for (name, value) in headers.iter().chain(&STAGE_HEADERS) {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body));
        let request = request.expect("a valid request");
        let response = self.0.send(request).await.map_err(|it| it.to_string())?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        let is_whole = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        // The connection can be used again when its driver has seen the end of the answer.
        self.0.wait_ready().await;
        Ok(Received {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: bytes.freeze(),
            is_whole,
        })
    }
}

impl Received {
    /// Whether this is the complete answer of a scripted target.
    pub(crate) fn is_complete(&self, kind: Kind, id: &str) -> bool {
        let body = body_parts(kind, id, 0).concat();
        let is_signed = self.headers.contains_key("x-response-signature");
        self.status == 200 && is_signed && self.is_whole && self.body == body.as_bytes()
    }

    /// Whether this is recognizable as an answer that has broken off or as a failure.
    fn is_incomplete(&self, kind: Kind, id: &str) -> bool {
        if self.status != 200 {
            return [500, 502, 504].contains(&self.status);
        }
        let body = body_parts(kind, id, 0).concat();
        !self.is_whole && kind.is_stream() && body.as_bytes().starts_with(&self.body)
    }
}

impl Deployment {
    /// Opens a connection for several requests.
    pub(crate) async fn client(&self) -> Client {
        self.try_client().await.expect("connect to the gateway")
    }

    /// As [`Deployment::client`]; none if the gateway accepts no connections.
    pub(crate) async fn try_client(&self) -> Option<Client> {
        let opened = Connection::open(self.clients, TIMEOUT, TIMEOUT).await;
        opened.ok().map(Client)
    }

    /// Sends a request to each scripted service at the same time, and then a second one on the same
    /// connection. Panics if a client receives something other than expected.
    pub(crate) async fn check_scripts(&self, cases: &[(Script, Expected)]) {
        let checks = cases
            .iter()
            .enumerate()
            .map(|(index, case)| self.check_script(index, case));
        let failures: Vec<String> = join_all(checks)
            .await
            .into_iter()
            .filter_map(Result::err)
            .collect();
        assert!(
            failures.is_empty(),
            "{} of {} answers are wrong:\n{}\n{}",
            failures.len(),
            cases.len(),
            failures.join("\n"),
            self.log()
        );
    }

    async fn check_script(
        &self,
        index: usize,
        (script, expected): &(Script, Expected),
    ) -> Result<(), String> {
        let mut client = self.client().await;
        self.open_connections(index, script).await;
        let path = format!("/{}/x", service_name(index));
        let id = format!("first-{index}");
        let length = if script.is_long() { LONG_BODY_BYTES } else { 6 };
        let body = Bytes::from(vec![b'x'; length]);
        let answer = client.request_with_body(&id, &path, &[], body).await;
        let arrivals = self.received(&id).len();
        let report = format!("{id}, {script:?}: {answer:?} after {arrivals} arrivals");
        let limit = script.max_attempts();
        let is_refusal = |it: &Received| it.status == 503 && arrivals == 0;
        let is_expected = answer.is_ok_and(|answer| match expected {
            Expected::Complete => answer.is_complete(script.kind, &id),
            Expected::Served => answer.is_complete(script.kind, &id) || is_refusal(&answer),
            Expected::Incomplete => answer.is_incomplete(script.kind, &id),
        });
        if !is_expected || arrivals > limit {
            return Err(report);
        }
        let id = format!("warm-again-{index}");
        match (expected, client.request(&id, &path, &[]).await) {
            // The connection ends with a stream that was cut.
            (Expected::Incomplete, _) => Ok(()),
            (_, Ok(answer)) if answer.is_complete(script.kind, &id) => Ok(()),
            (Expected::Served, Ok(answer)) if answer.status == 503 => Ok(()),
            (_, other) => Err(format!("{id}, after {script:?}: {other:?}")),
        }
    }
}
