//! A gateway and a control daemon as real processes, with test doubles of the platform's list and
//! of targets that record the requests they receive.

use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_gateway::body::{Body, BodyInterrupted};
use azurelug_http::h1::client::Connection;
use azurelug_http::h1::server::{Limits, ShutdownState, serve};
use azurelug_system::process::Process;
use azurelug_testkit::port;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

#[path = "kept_client.rs"]
pub(crate) mod kept_client;
#[path = "raw.rs"]
mod raw;
#[path = "scripted.rs"]
pub(crate) mod scripted;
pub(crate) use raw::Reply;

/// A generous time limit for any expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Number of events in a complete stream.
pub(crate) const EVENT_COUNT: u64 = 6;

/// Connection limits of a test double, with an idle timeout that is not reached during a test.
fn connection_limits() -> Limits {
    Limits {
        head_bytes: 1024 * 1024,
        ..Limits::idle(TIMEOUT)
    }
}

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Answers correctly.
    Normal,
    /// Refuses every request because it has no room.
    Full,
    /// Runs a request and closes the connection without an answer.
    LosesAnswers,
    /// Breaks off streams after three events.
    BreaksOff,
    /// Sends an event every 200 ms.
    Slow,
    /// Sends an event every 1.3 s.
    VerySlow,
    /// Sends only comments after the second event.
    Comments,
    /// Announces in its answers that it is leaving (`server-leaving`).
    Leaving,
    /// Refuses every request and asks for none within the next 1.5 s (`retry-after`).
    Closed,
    /// Sends a body that does not end.
    EndlessBody,
    /// Sends a complete body of 7 MiB.
    LargeBody,
    /// Sends complete events of 250 KB without end.
    LargeEvents,
    /// Repeats the previous answer on the connection before each answer.
    DuplicatesAnswers,
    /// Sends a head that does not end.
    EndlessHead,
    /// Sends an endless series of interim responses (status 102).
    EndlessInterim,
    /// Sends endless bytes after its answer.
    EndlessTail,
    /// Closes the connection before the end of the body.
    TruncatesBody,
}

/// The target of the service `raw`, which can send malformed HTTP answers.
pub(crate) const RAW: &str = "raw-a";

/// The target of the stage service `copier`, which can send malformed HTTP answers.
pub(crate) const COPIER: &str = "copier-a";

/// A request that a target received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) target: String,
    pub(crate) path: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Bytes,
}

#[derive(Default)]
struct SharedState {
    received: Vec<ReceivedRequest>,
    behaviours: HashMap<String, Behaviour>,
    /// The entries of the platform's list as JSON text.
    list: Vec<String>,
    /// Token of the next page in each page of the list.
    next_page: Value,
    list_calls: u32,
    /// Answers of the targets that write raw bytes, by the request's id or the call's path.
    replies: HashMap<String, VecDeque<Reply>>,
}

/// The processes and test doubles of one test.
pub(crate) struct Deployment {
    shared: Arc<Mutex<SharedState>>,
    pub(crate) gateway: Process,
    pub(crate) control: Process,
    clients: SocketAddr,
    admin: SocketAddr,
    operators: SocketAddr,
    control_internal: SocketAddr,
    folder: PathBuf,
    _stage: watch::Sender<ShutdownState>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateway.kill();
        self.control.kill();
        // Errors are ignored: the files are in the system's folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn address(last: u8, port: u16) -> SocketAddr {
    (IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), port).into()
}

/// Finds a port that is free on the addresses of all daemons.
fn free_port() -> u16 {
    port::free(&[2, 3, 4].map(|last| address(last, 0).ip()))
}

impl Deployment {
    /// Starts the daemons with an engine, a plain target and a stage target in each of the zones
    /// `a` and `b` and the targets that write raw bytes, and waits until the gateway is ready.
    pub(crate) async fn start() -> Self {
        Self::start_with("8s", "").await
    }

    /// As [`Deployment::start`], with the gateway's grace period and its log section.
    pub(crate) async fn start_with(grace: &str, log: &str) -> Self {
        let shared = Arc::new(Mutex::new(SharedState::default()));
        let (stage, stages) = watch::channel(ShutdownState::Serving);
        for zone in ["a", "b"] {
            for service in ["llm", "desk", "encode"] {
                let name = format!("{service}-{zone}");
                let listener = TcpListener::bind(address(1, 0))
                    .await
                    .expect("bind a listener");
                let at = listener
                    .local_addr()
                    .expect("a bound listener has an address");
                let listed = list_entry(&name, Some(service), at, zone);
                shared.lock().unwrap().list.push(listed);
                let state = Arc::clone(&shared);
                let handler =
                    move |request| answer_request(Arc::clone(&state), name.clone(), at, request);
                tokio::spawn(serve(listener, connection_limits, stages.clone(), handler));
            }
        }
        for name in [RAW, COPIER, "wire-a", "wire-b"] {
            let listener = TcpListener::bind(address(1, 0))
                .await
                .expect("bind a listener");
            let at = listener
                .local_addr()
                .expect("a bound listener has an address");
            let service = name.split('-').next();
            shared
                .lock()
                .unwrap()
                .list
                .push(list_entry(name, service, at, "a"));
            tokio::spawn(raw::serve(listener, Arc::clone(&shared), name));
        }
        let listener = TcpListener::bind(address(1, 0))
            .await
            .expect("bind a listener");
        let list = listener
            .local_addr()
            .expect("a bound listener has an address");
        let state = Arc::clone(&shared);
        let handler = move |_| list_answer(Arc::clone(&state));
        tokio::spawn(serve(listener, connection_limits, stages, handler));

        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir();
        let folder = folder.join(format!("azurelug-gateway-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the folder of the deployment");
        let key = folder.join("key");
        std::fs::write(&key, "a key of the test, longer than 32 bytes of text")
            .expect("write the key file");
        let internal = free_port();
        let (operators, status) = (address(2, free_port()), address(2, free_port()));
        let (clients, admin) = (address(3, free_port()), address(3, free_port()));
        let common = format!("cluster: test\nkey_file: {}\n", key.display());
        let control = format!(
            "name: control\nzone: a\n{common}internal: \"{}\"\noperators: \"{status}\"\n\
             data: {}\ndiscovery:\n  seeds: [\"{}\"]\n  first_start: true\n  disk_losses: 0\n\
             deployment:\n  operators: \"{operators}\"\n  targets:\n    address: \"{list}\"\n    \
             calls_per_second: 50\n",
            address(2, internal),
            folder.join("state").display(),
            address(2, 1),
        );
        let gateway = format!(
            "name: gateway\nzone: a\n{common}internal: \"{}\"\nclients: \"{clients}\"\n\
             admin: \"{admin}\"\nseeds: [\"{}\"]\nbounds:\n  revocation: 5s\n  apply: 2s\n  drain: 3s\n  grace: {grace}\n  \
             retry_ratio: 0.2\n  retry_window: 10s\n  retry_extra: 50\n  cold_factor: 1.5\n  \
             cold_extra: 5\n{log}",
            address(3, internal),
            address(2, 1),
        );
        let daemon = |name: &str, settings: String| {
            let file = folder.join(format!("{name}.yaml"));
            std::fs::write(&file, settings).expect("write a settings file");
            let arguments = vec!["--settings".to_owned(), file.display().to_string()];
            let log = folder.join(format!("{name}.log"));
            let mut process = Process::new(&format!("azurelug-{name}"), arguments, log);
            process.start();
            process
        };
        let deployment = Self {
            control: daemon("control", control),
            gateway: daemon("gateway", gateway),
            shared,
            clients,
            admin,
            operators,
            control_internal: address(2, internal),
            folder,
            _stage: stage,
        };
        deployment.put_configuration(&configuration(1), 200).await;
        deployment.wait_ready(true).await;
        deployment
    }

    /// Sets the behaviour of a target.
    pub(crate) fn set_behaviour(&self, target: &str, behaviour: Behaviour) {
        let mut shared = self.shared.lock().unwrap();
        shared.behaviours.insert(target.to_owned(), behaviour);
    }

    /// Changes the entries of the platform's list.
    pub(crate) fn change_list(&self, change: impl FnOnce(&mut Vec<String>)) {
        change(&mut self.shared.lock().unwrap().list);
    }

    /// The number of reads of a page of the platform's list.
    pub(crate) fn list_calls(&self) -> u32 {
        self.shared.lock().unwrap().list_calls
    }

    /// Sets the token of the next page in each page of the platform's list.
    pub(crate) fn set_next_page(&self, token: Value) {
        self.shared.lock().unwrap().next_page = token;
    }

    /// Sets the answers to the requests with an id, or to the calls with a path, in their order. Only
    /// the targets that write raw bytes use them.
    pub(crate) fn set_replies(&self, key: &str, replies: impl IntoIterator<Item = Reply>) {
        let mut shared = self.shared.lock().unwrap();
        let queue = shared.replies.entry(key.to_owned()).or_default();
        queue.extend(replies);
    }

    /// Removes the answers that were set and not used.
    pub(crate) fn clear_replies(&self) {
        self.shared.lock().unwrap().replies.clear();
    }

    /// The requests with an id that targets received.
    pub(crate) fn received(&self, id: &str) -> Vec<ReceivedRequest> {
        let shared = self.shared.lock().unwrap();
        let is_own = |received: &&ReceivedRequest| {
            received
                .headers
                .get("x-request-attempt-id")
                .is_some_and(|it| it == id)
        };
        shared.received.iter().filter(is_own).cloned().collect()
    }

    /// The requests with a path that targets received.
    pub(crate) fn received_at_path(&self, path: &str) -> Vec<ReceivedRequest> {
        let shared = self.shared.lock().unwrap();
        shared
            .received
            .iter()
            .filter(|received| received.path == path)
            .cloned()
            .collect()
    }

    /// Whether the gateway reports ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let answer = call(self.admin, Method::GET, "/ready", &[], Bytes::new()).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the gateway's readiness is as `expected`.
    pub(crate) async fn wait_ready(&self, expected: bool) {
        let started = std::time::Instant::now();
        while self.is_ready().await != expected {
            let logs = || format!("{}\n{}", self.control.log(), self.gateway.log());
            assert!(
                started.elapsed() < TIMEOUT,
                "the gateway's readiness is not {expected} in time; logs:\n{}",
                logs()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a configuration, as [`Deployment::send_order`] does, until the answer is `status`.
    pub(crate) async fn put_configuration(&self, configuration: &Value, status: u16) {
        let body = Bytes::from(configuration.to_string());
        self.send_order(Method::PUT, "/configuration", body, status)
            .await;
    }

    /// Sends an operator's call until the answer is `status`. Retries on status 503, which a
    /// control daemon without a leader returns, and on connection errors.
    pub(crate) async fn send_order(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        status: u16,
    ) -> Bytes {
        let started = std::time::Instant::now();
        loop {
            let answer = call(self.operators, method.clone(), path, &[], body.clone()).await;
            match answer {
                Ok(answer) if answer.status == status => return answer.body,
                Ok(answer) if answer.status != 503 => {
                    panic!(
                        "{method} {path}: status {} instead of {status}",
                        answer.status
                    )
                }
                _ => assert!(
                    started.elapsed() < TIMEOUT,
                    "{method} {path}: no status {status} in time; log of the control daemon:\n{}",
                    self.control.log()
                ),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends an operator's call once; an error if there is no complete answer.
    #[allow(dead_code, reason = "not all test binaries use it")]
    pub(crate) async fn try_order(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        call(self.operators, method, path, &[], body).await
    }

    /// The control daemon's address for operators' documents.
    #[allow(dead_code, reason = "not all test binaries use it")]
    pub(crate) fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// The control daemon's address for other processes.
    #[allow(dead_code, reason = "not all test binaries use it")]
    pub(crate) fn control_internal(&self) -> SocketAddr {
        self.control_internal
    }

    /// Sends a client's request with a valid key and returns the complete answer. `headers` replace
    /// or extend the default headers.
    pub(crate) async fn request(&self, id: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
        self.try_request(id, path, headers)
            .await
            .expect("a complete answer")
    }

    /// As [`Deployment::request`], but returns an error if there is no complete answer.
    pub(crate) async fn try_request(
        &self,
        id: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<Answer, String> {
        let mut all = vec![
            ("host", "carts.example"),
            ("x-request-attempt-id", id),
            ("x-deadline-milliseconds", "4000"),
            ("authorization", "Bearer key-1"),
        ];
        all.retain(|(name, _)| !headers.iter().any(|(other, _)| other == name));
        all.extend_from_slice(headers);
        let body = Bytes::from_static(b"a body");
        call(self.clients, Method::POST, path, &all, body).await
    }

    /// Sends bytes to the gateway and returns what it answers. Waits up to 8 s for the first bytes,
    /// then reads until the connection is closed or silent for 250 ms.
    pub(crate) async fn send_raw(&self, bytes: &[u8]) -> String {
        let stream = TcpStream::connect(self.clients)
            .await
            .expect("connect to the gateway");
        let (mut reader, mut writer) = stream.into_split();
        // The gateway may close the connection before it has read everything.
        let _ = writer.write_all(bytes).await;
        let mut answer = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            let limit = if answer.is_empty() { 8000 } else { 250 };
            let read = timeout(Duration::from_millis(limit), reader.read(&mut buffer)).await;
            match read {
                Ok(Ok(count)) if count > 0 => answer.extend_from_slice(&buffer[..count]),
                Err(_) if answer.is_empty() => {
                    panic!("the gateway neither answered nor closed the connection within 8 s")
                }
                _ => return String::from_utf8_lossy(&answer).into_owned(),
            }
        }
    }

    /// The gateway's peak resident memory, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let id = self.gateway.id().expect("the gateway runs");
        let status =
            std::fs::read_to_string(format!("/proc/{id}/status")).expect("read the process status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kilobytes
            .and_then(|it| it.trim().parse::<u64>().ok())
            .expect("VmHWM is a number")
            * 1024
    }

    /// Writes the settings of another gateway, with the address 127.0.0.4.
    #[allow(dead_code, reason = "not all test binaries use it")]
    pub(crate) fn settings_of_another_gateway(&self) -> PathBuf {
        let first = std::fs::read_to_string(self.folder.join("gateway.yaml"));
        let settings = first.expect("the gateway's settings");
        let settings = settings.replace("name: gateway", "name: gateway-2");
        let settings = settings.replace(&address(3, 0).ip().to_string(), "127.0.0.4");
        let file = self.folder.join("gateway-2.yaml");
        std::fs::write(&file, settings).expect("write a settings file");
        file
    }

    /// The gateway's address for clients.
    pub(crate) fn client_address(&self) -> SocketAddr {
        self.clients
    }

    /// Opens a connection to the gateway's address for clients.
    pub(crate) async fn connect(&self) -> std::io::Result<TcpStream> {
        TcpStream::connect(self.clients).await
    }

    /// The contents of the gateway's log file.
    pub(crate) fn log(&self) -> String {
        self.gateway.log()
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// The ids of the events in the body, in order.
    pub(crate) fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Answer, String> {
    let mut connection = Connection::open(address, TIMEOUT, TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).expect("build a request");
    let response = connection
        .send(request)
        .await
        .map_err(|error| error.to_string())?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Builds a target's entry in the platform's list.
fn list_entry(name: &str, service: Option<&str>, at: SocketAddr, zone: &str) -> String {
    let entry = json!({"id": name, "service": service, "address": at, "zone": zone,
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0});
    entry.to_string()
}

/// A configuration with idempotent routes, routes that are not idempotent, and streaming routes
/// with and without stages.
pub(crate) fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "carts.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 0,
            "service": service, "max_attempts": attempts, "resume_streams": true,
            "gap_aim_ms": 400, "stages": []})
    };
    let mut chat = route("chat", "streaming", "llm", 2);
    chat["stages"] = json!([
        {"service": "encode", "after": [], "bytes": 1000},
        {"service": "encode", "after": [0], "bytes": 1000}
    ]);
    let mut copied = route("copied", "streaming", "llm", 2);
    copied["stages"] = json!([{"service": "copier", "after": [], "bytes": 1000}]);
    let mut flow = route("flow", "streaming", "raw", 1);
    flow["resume_streams"] = json!(false);
    let pieces = json!({"slots": 1, "queue": 2, "batch": 8, "call_ms": 10, "item_ms": 1,
        "room_mb": 10, "handle_s": 4});
    json!({"version": version,
        "routes": [chat, route("look", "safe", "desk", 2), route("book", "unsafe", "desk", 1),
            route("talk", "streaming", "llm", 2), route("raw", "safe", "raw", 2),
            route("once", "unsafe", "raw", 1), copied, flow, route("wire", "streaming", "wire", 2)],
        "services": [
            {"name": "llm", "max_connections": 50, "cold_start_s": 0, "cold_per_s": 0},
            {"name": "desk"}, {"name": "raw"}, {"name": "wire"}, {"name": "encode", "pieces": pieces},
            {"name": "copier", "pieces": pieces}],
        "tenants": [{"name": "carts", "api_keys": ["key-1"], "priority": 0}]})
}

async fn list_answer(shared: Arc<Mutex<SharedState>>) -> Response<Body> {
    let mut shared = shared.lock().unwrap();
    shared.list_calls += 1;
    let (list, next) = (shared.list.join(","), &shared.next_page);
    let body = format!("{{\"instances\":[{list}],\"next\":{next}}}");
    Response::new(Body::complete(Bytes::from(body)))
}

async fn answer_request(
    shared: Arc<Mutex<SharedState>>,
    name: String,
    at: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.expect("a complete request").to_bytes();
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        (
            name.to_string(),
            value.to_str().unwrap_or_default().to_owned(),
        )
    };
    let received = ReceivedRequest {
        target: name.clone(),
        path: parts.uri.path().to_owned(),
        headers: parts.headers.iter().map(header).collect(),
        body: body.clone(),
    };
    let behaviour = {
        let mut shared = shared.lock().unwrap();
        shared.received.push(received.clone());
        shared
            .behaviours
            .get(&name)
            .copied()
            .unwrap_or(Behaviour::Normal)
    };
    if received.path == "/stage-run" {
        let items: Value = serde_json::from_slice(&body).expect("a call is JSON");
        let count = items["items"].as_array().expect("a call has items").len();
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let handle = |piece| json!({"handle": format!("{at}/{number}-{piece}")});
        let results: Vec<Value> = (0..count).map(handle).collect();
        sleep(Duration::from_millis(10)).await;
        return Response::new(Body::complete(json!({"items": results}).to_string().into()));
    }
    let mut response = Response::new(Body::complete(Bytes::from(format!("answer of {name}"))));
    let id = received
        .headers
        .get("x-request-attempt-id")
        .cloned()
        .unwrap_or_default();
    response
        .headers_mut()
        .insert("x-request-attempt-id", id.parse().unwrap());
    if matches!(behaviour, Behaviour::Full | Behaviour::Closed) {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert("x-not-executed", "1".parse().unwrap());
        if behaviour == Behaviour::Closed {
            headers.insert("retry-after", "1.5".parse().unwrap());
        }
        return response;
    }
    if behaviour == Behaviour::Leaving {
        let headers = response.headers_mut();
        headers.insert("server-leaving", "1".parse().unwrap());
    }
    response
        .headers_mut()
        .insert("x-response-signature", "signed".parse().unwrap());
    if behaviour == Behaviour::LosesAnswers {
        let (sender, events) = mpsc::channel(1);
        drop(sender.try_send(Err(BodyInterrupted)));
        *response.body_mut() = Body::Stream(events);
        return response;
    }
    if behaviour == Behaviour::LargeBody {
        *response.body_mut() = Body::complete(Bytes::from(vec![b'x'; 7 * 1024 * 1024]));
        return response;
    }
    if behaviour == Behaviour::EndlessBody {
        *response.body_mut() = Body::Stream(endless_body());
        return response;
    }
    if name.starts_with("llm") {
        let kind = "text/event-stream".parse().unwrap();
        response.headers_mut().insert("content-type", kind);
        let last = received
            .headers
            .get("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let events = if behaviour == Behaviour::LargeEvents {
            large_events()
        } else {
            events(behaviour, last)
        };
        *response.body_mut() = Body::Stream(events);
    }
    response
}

/// Sends a comment line every 200 ms, half of the route's `gap_aim_ms`, until the gateway closes
/// the connection.
async fn send_comments(sender: mpsc::Sender<Result<Bytes, BodyInterrupted>>) {
    let line = || Bytes::from_static(b": still here\n");
    while sender.send(Ok(line())).await.is_ok() {
        sleep(Duration::from_millis(200)).await;
    }
}

/// Returns a body without an end.
fn endless_body() -> mpsc::Receiver<Result<Bytes, BodyInterrupted>> {
    let (sender, bytes) = mpsc::channel(1);
    tokio::spawn(async move {
        let part = Bytes::from(vec![b'x'; 64 * 1024]);
        while sender.send(Ok(part.clone())).await.is_ok() {}
    });
    bytes
}

/// Returns a stream of large events without an end.
fn large_events() -> mpsc::Receiver<Result<Bytes, BodyInterrupted>> {
    let (sender, events) = mpsc::channel(1);
    tokio::spawn(async move {
        let data = "x".repeat(250_000);
        for id in 1u64.. {
            let event = Bytes::from(format!("id: {id}\ndata: {data}\n\n"));
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
    });
    events
}

fn events(behaviour: Behaviour, last: u64) -> mpsc::Receiver<Result<Bytes, BodyInterrupted>> {
    let (sender, events) = mpsc::channel(1);
    tokio::spawn(async move {
        for id in last + 1..=EVENT_COUNT {
            if behaviour == Behaviour::BreaksOff && id == last + 4 {
                // Cuts the event in the middle.
                let _ = sender.send(Ok(Bytes::from(format!("id: {id}\nda")))).await;
                let _ = sender.send(Err(BodyInterrupted)).await;
                return;
            }
            match behaviour {
                Behaviour::Slow => sleep(Duration::from_millis(200)).await,
                Behaviour::VerySlow => sleep(Duration::from_millis(1300)).await,
                Behaviour::Comments if id == last + 3 => return send_comments(sender).await,
                _ => {}
            }
            let event = Bytes::from(format!("id: {id}\ndata: {id}\n\n"));
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
    });
    events
}
