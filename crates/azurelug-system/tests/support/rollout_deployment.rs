//! Three control daemons and two gateways as real processes, with targets of two versions that record
//! what they receive, and clients that send requests all the time.

#[path = "rollout_targets.rs"]
mod rollout_targets;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use azurelug_gateway::body::Body;
use azurelug_http::h1::client::Connection;
use azurelug_http::h1::server::{Limits, ShutdownState, serve};
use azurelug_system::process::Process;
use azurelug_testkit::port;
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
pub(crate) use rollout_targets::{ANSWER_TIME, Fault, Received};
use rollout_targets::{Shared, Target};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

/// A generous time limit for any expected event.
const TIMEOUT: Duration = Duration::from_secs(25);

/// Pause between two requests of one client; the clients send about 150 requests a second.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);

/// Clients of each gateway.
const CLIENTS: usize = 2;

/// Targets of each version.
const TARGETS: usize = 3;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A service whose targets run pieces of stages.
pub(crate) const STAGE: &str = "encode";

/// The service that answers requests.
const PLAIN: &str = "desk";

/// Bytes of each result of a piece. The targets have little memory for results, so that released ones
/// are freed by calls.
const RESULT_BYTES: u64 = 200_000;

pub(crate) struct Deployment {
    /// The service with roll-outs.
    service: &'static str,
    shared: Arc<Mutex<Shared>>,
    pub(crate) controls: Vec<Process>,
    gateways: Vec<Process>,
    pub(crate) operators: Vec<SocketAddr>,
    pub(crate) status: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    clients: Vec<SocketAddr>,
    is_loading: Arc<AtomicBool>,
    folder: PathBuf,
    _stage: watch::Sender<ShutdownState>,
    stages: watch::Receiver<ShutdownState>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.is_loading.store(false, Ordering::Relaxed);
        let processes = self.controls.iter_mut().chain(&mut self.gateways);
        processes.for_each(Process::kill);
        // Errors are ignored: the files are in the system's folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn address(last: usize, port: u16) -> SocketAddr {
    format!("127.0.0.{last}:{port}").parse().unwrap()
}

fn limits() -> Limits {
    Limits::idle(TIMEOUT)
}

const CONTROL_BOUNDS: &str = "bounds:\n  exposure_share: 0.1\n  exposure_slack: 50\n  \
    rollback: 5s\n  ack_timeout: 5s\n";

const GATEWAY_BOUNDS: &str = "  exposure_share: 0.1\n  exposure_slack: 50\n  rollback: 5s\n";

fn configuration(has_stages: bool) -> Value {
    let (mut stages, mut services) = (Vec::new(), vec![json!({"name": PLAIN})]);
    if has_stages {
        let pieces = json!({"slots": 1, "queue": 2, "batch": 8, "call_ms": 20, "item_ms": 1,
            "room_mb": 10, "handle_s": 4});
        stages.push(json!({"service": STAGE, "after": [], "bytes": RESULT_BYTES}));
        services.push(json!({"name": STAGE, "pieces": pieces}));
    }
    let route = |name: &str| {
        json!({"name": name, "host": "carts.example", "path_prefix": format!("/{name}/"),
            "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 0,
            "service": PLAIN, "max_attempts": 2, "resume_streams": true, "gap_aim_ms": 400,
            "stages": stages})
    };
    json!({"version": 1, "routes": [route("look"), route("find")],
        "services": services,
        "tenants": [{"name": "carts", "api_keys": ["key-1"], "priority": 0}]})
}

impl Deployment {
    /// Starts the processes with targets of the version `v1`, and waits until the gateways are ready.
    pub(crate) async fn start(has_bounds: bool) -> Self {
        Self::start_for(PLAIN, has_bounds).await
    }

    /// As [`Deployment::start`], with roll-outs of the service [`STAGE`], of which each request needs
    /// pieces.
    pub(crate) async fn start_stages() -> Self {
        Self::start_for(STAGE, true).await
    }

    async fn start_for(service: &'static str, has_bounds: bool) -> Self {
        let (stage, stages) = watch::channel(ShutdownState::Serving);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir();
        let folder = folder.join(format!("azurelug-rollout-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let ips: Vec<_> = (11..16).map(|last| address(last, 0).ip()).collect();
        let ports: Vec<u16> = (0..3).map(|_| port::free(&ips)).collect();
        let of = |lasts: std::ops::Range<usize>, port| lasts.map(|it| address(it, port)).collect();
        let mut deployment = Self {
            service,
            shared: Arc::default(),
            controls: Vec::new(),
            gateways: Vec::new(),
            operators: of(11..14, ports[1]),
            status: of(11..14, ports[2]),
            clients: of(14..16, ports[1]),
            admin: of(14..16, ports[2]),
            is_loading: Arc::new(AtomicBool::new(true)),
            folder,
            _stage: stage,
            stages,
        };
        deployment.add_targets("v1").await;
        if service != PLAIN {
            deployment.add_targets_of(PLAIN, "v1").await;
        }
        let list = deployment.serve_list().await;
        deployment.start_daemons(ports[0], list, has_bounds);
        let body = Bytes::from(configuration(service == STAGE).to_string());
        let first = deployment.operators[0];
        deployment
            .until("the configuration is accepted", async || {
                status(first, Method::PUT, "/configuration", &body).await == Some(200)
            })
            .await;
        for admin in &deployment.admin {
            let ready = async || status(*admin, Method::GET, "/ready", &Bytes::new()).await;
            deployment
                .until("the gateway is ready", async || ready().await == Some(200))
                .await;
        }
        deployment
    }

    fn start_daemons(&mut self, internal: u16, list: SocketAddr, has_bounds: bool) {
        let key = self.folder.join("key");
        std::fs::write(&key, "a key of the test, longer than 32 bytes of text").unwrap();
        let common = format!("cluster: test\nkey_file: {}\n", key.display());
        let seeds: Vec<String> = (11..14).map(|it| address(it, 1).to_string()).collect();
        let bounds = |text| if has_bounds { text } else { "" };
        for position in 0..3 {
            let settings = format!(
                "name: control-{position}\nzone: a\n{common}internal: \"{}\"\noperators: \"{}\"\n\
                 data: {}\ndiscovery:\n  seeds: {}\n  first_start: true\n  disk_losses: 1\n\
                 deployment:\n  operators: \"{}\"\n  targets:\n    address: \"{list}\"\n    \
                 calls_per_second: 50\n{}",
                address(11 + position, internal),
                self.status[position],
                self.folder.join(format!("state-{position}")).display(),
                json!(seeds),
                self.operators[position],
                bounds(CONTROL_BOUNDS),
            );
            let process = self.daemon("control", position, &settings);
            self.controls.push(process);
        }
        for position in 0..2 {
            let settings = format!(
                "name: gateway-{position}\nzone: a\n{common}internal: \"{}\"\nclients: \"{}\"\n\
                 admin: \"{}\"\nseeds: {}\nbounds:\n  revocation: 20s\n  apply: 2s\n  drain: 3s\n  \
                 grace: 8s\n  retry_ratio: 0.2\n  retry_window: 10s\n  retry_extra: 50\n  \
                 cold_factor: 1.5\n  cold_extra: 5\n{}",
                address(14 + position, internal),
                self.clients[position],
                self.admin[position],
                json!(seeds),
                bounds(GATEWAY_BOUNDS),
            );
            let process = self.daemon("gateway", position, &settings);
            self.gateways.push(process);
        }
    }

    fn daemon(&self, kind: &str, position: usize, settings: &str) -> Process {
        let file = self.folder.join(format!("{kind}-{position}.yaml"));
        std::fs::write(&file, settings).unwrap();
        let arguments = vec!["--settings".to_owned(), file.display().to_string()];
        let log = self.folder.join(format!("{kind}-{position}.log"));
        let mut process = Process::new(&format!("azurelug-{kind}"), arguments, log);
        process.start();
        process
    }

    /// Starts targets of a version and adds them to the platform's list.
    pub(crate) async fn add_targets(&self, version: &'static str) {
        self.add_targets_of(self.service, version).await;
    }

    async fn add_targets_of(&self, service: &'static str, version: &'static str) {
        for number in 0..TARGETS {
            let listener = TcpListener::bind(address(1, 0)).await.unwrap();
            let at = listener.local_addr().unwrap();
            let shared = Arc::clone(&self.shared);
            let target = Target {
                service,
                version,
                at,
            };
            let answer = move |request| target.answer(Arc::clone(&shared), request);
            tokio::spawn(serve(listener, limits, self.stages.clone(), answer));
            let entry = json!({"id": format!("{service}-{version}-{number}"), "service": service,
                "address": at, "zone": "a", "version": version, "slots": 64, "state": "ready",
                "cold_remaining_ms": 0});
            self.shared.lock().unwrap().list.push(entry);
        }
    }

    async fn serve_list(&self) -> SocketAddr {
        let listener = TcpListener::bind(address(1, 0)).await.unwrap();
        let at = listener.local_addr().unwrap();
        let shared = Arc::clone(&self.shared);
        let answer = move |_| {
            let list = shared.lock().unwrap().list.clone();
            let body = json!({"instances": list, "next": null}).to_string();
            async move { Response::new(Body::complete(Bytes::from(body))) }
        };
        tokio::spawn(serve(listener, limits, self.stages.clone(), answer));
        at
    }

    /// Starts clients that send requests until the deployment ends.
    pub(crate) fn start_load(&self) {
        for (number, at) in self.clients.iter().cycle().take(2 * CLIENTS).enumerate() {
            let path = ["/look/x", "/find/x"][number / 2 % 2];
            let (at, shared) = (*at, Arc::clone(&self.shared));
            let is_loading = Arc::clone(&self.is_loading);
            let has_stages = self.service == STAGE;
            tokio::spawn(async move {
                while is_loading.load(Ordering::Relaxed) {
                    let answer = request(at, path, has_stages).await;
                    shared.lock().unwrap().statuses.push(answer);
                    sleep(CLIENT_PAUSE).await;
                }
            });
        }
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.shared.lock().unwrap().fault = fault;
    }

    /// What targets of the service with roll-outs received, in the order of arrival.
    pub(crate) fn arrivals(&self) -> Vec<Received> {
        let shared = self.shared.lock().unwrap();
        let own = shared.received.iter();
        own.filter(|it| it.service == self.service)
            .copied()
            .collect()
    }

    /// Number of requests that targets of a version received, and of failures among its answers.
    pub(crate) fn received(&self, version: &str) -> (usize, usize) {
        let mut own = self.arrivals();
        own.retain(|it| it.version == version);
        (own.len(), own.iter().filter(|it| it.is_failed).count())
    }

    /// Statuses of the answers that clients got.
    pub(crate) fn statuses(&self) -> Vec<u16> {
        self.shared.lock().unwrap().statuses.clone()
    }

    /// Orders a roll-out at a control daemon; returns the status, if it answers within a second.
    pub(crate) async fn order(&self, control: usize, target: &str, duration_s: f64) -> Option<u16> {
        let order = json!({"service": self.service, "target": target, "duration_s": duration_s});
        let body = Bytes::from(order.to_string());
        status(self.operators[control], Method::POST, "/rollouts", &body).await
    }

    /// Orders a roll-out until it is acknowledged.
    pub(crate) async fn start_rollout(&self, target: &str, duration_s: f64) {
        let order = async || self.order(0, target, duration_s).await == Some(200);
        self.until("the order is acknowledged", order).await;
    }

    /// The state and the target of the roll-out at a control daemon, if it knows the newest.
    pub(crate) async fn state(&self, control: usize) -> Option<(String, String)> {
        let at = self.operators[control];
        let path = format!("/rollouts/{}", self.service);
        let (status, body) = call(at, Method::GET, &path, &Bytes::new()).await?;
        let state: Value = serde_json::from_slice(&body).ok()?;
        let text = |field: &str| state[field].as_str().map(str::to_owned);
        (status == 200).then_some((text("state")?, text("target")?))
    }

    /// Waits until a control daemon reports a state of the roll-out.
    pub(crate) async fn wait_state(&self, control: usize, state: &str) {
        let reached = async || self.state(control).await.is_some_and(|it| it.0 == state);
        self.until(state, reached).await;
    }

    /// Waits until gateways follow a policy of which this holds.
    pub(crate) async fn wait_gateways(&self, what: &str, holds: impl Fn(&Value) -> bool) {
        for at in &self.admin {
            self.until(what, async || {
                let policy = self.policy(*at).await;
                policy.is_some_and(|policy| holds(&policy))
            })
            .await;
        }
    }

    /// The policies that all gateways follow; none if one doesn't answer or has none.
    pub(crate) async fn policies(&self) -> Option<Vec<Value>> {
        let mut policies = Vec::new();
        for at in &self.admin {
            policies.push(self.policy(*at).await?);
        }
        Some(policies)
    }

    async fn policy(&self, admin: SocketAddr) -> Option<Value> {
        let (_, dump) = call(admin, Method::GET, "/debug/state", &Bytes::new()).await?;
        let dump: Value = serde_json::from_slice(&dump).ok()?;
        let mut rows = dump["rollouts"].as_array()?.iter();
        rows.find(|row| row["service"] == self.service).cloned()
    }

    /// Waits until clients have got this many further answers.
    pub(crate) async fn wait_answers(&self, count: usize) {
        let before = self.statuses().len();
        let reached = async || self.statuses().len() >= before + count;
        self.until("further answers", reached).await;
    }

    /// The position of the control daemon that leads.
    pub(crate) async fn leader(&self) -> Option<usize> {
        for (position, at) in self.status.iter().enumerate() {
            let answer = call(*at, Method::GET, "/v1/status", &Bytes::new()).await;
            let status: Option<Value> = answer.and_then(|it| serde_json::from_slice(&it.1).ok());
            if status.is_some_and(|status| status["role"] == "Leader") {
                return Some(position);
            }
        }
        None
    }

    /// Waits until something is the case.
    pub(crate) async fn until(&self, what: &str, mut is_so: impl AsyncFnMut() -> bool) {
        let started = Instant::now();
        while !is_so().await {
            assert!(
                started.elapsed() < TIMEOUT,
                "{what}: not in time\n{}",
                self.log()
            );
            sleep(Duration::from_millis(30)).await;
        }
    }

    /// The daemons' log lines about roll-outs and the leadership, in the order of their times.
    pub(crate) fn log(&self) -> String {
        let logs = self.controls.iter().chain(&self.gateways).map(Process::log);
        let logs: Vec<String> = logs.collect();
        let lines = logs.iter().flat_map(|log| log.lines());
        let words = ["roll", "version", "lead", "state is", "term"];
        let lines = lines.filter(|line| words.iter().any(|word| line.contains(word)));
        let mut lines: Vec<&str> = lines.collect();
        lines.sort_unstable();
        lines.join("\n")
    }
}

/// Sends a client's request; returns the status, 0 without an answer.
async fn request(at: SocketAddr, path: &str, has_stages: bool) -> u16 {
    let id = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed).to_string();
    let mut headers = vec![
        ("host", "carts.example"),
        ("x-request-attempt-id", &id),
        ("x-deadline-milliseconds", "4000"),
        ("authorization", "Bearer key-1"),
    ];
    if has_stages {
        headers.extend([("x-pieces", "2"), ("x-piece-key", &id)]);
    }
    let answer = send(at, Method::POST, path, &headers, &Bytes::new()).await;
    answer.map_or(0, |it| it.0)
}

pub(crate) async fn status(
    at: SocketAddr,
    method: Method,
    path: &str,
    body: &Bytes,
) -> Option<u16> {
    call(at, method, path, body).await.map(|it| it.0)
}

pub(crate) async fn call(
    at: SocketAddr,
    method: Method,
    path: &str,
    body: &Bytes,
) -> Option<(u16, Bytes)> {
    send(at, method, path, &[("host", "control")], body).await
}

async fn send(
    at: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &Bytes,
) -> Option<(u16, Bytes)> {
    // Operators ask another daemon after a second; elections and slow machines take longer.
    let limit = Duration::from_secs(5);
    let sent = async {
        let mut connection = Connection::open(at, limit, limit).await.ok()?;
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.clone())).ok()?;
        let (parts, body) = connection.send(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((parts.status.as_u16(), body))
    };
    tokio::time::timeout(limit, sent).await.ok()?
}
