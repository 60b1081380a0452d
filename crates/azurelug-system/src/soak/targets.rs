//! Test doubles of targets and of the platform's list. Each target records the requests that it
//! runs.

mod crash;
mod manner;
pub mod versions;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_gateway::body::{Body, BodyInterrupted};
use azurelug_http::h1::server::{Limits, ShutdownState, serve};
use azurelug_platform::names;
use azurelug_testkit::crash::Identity;
use azurelug_testkit::proxy::{Link, Proxy, Settings};
use azurelug_types::rate::Rate;
use bytes::Bytes;
use http::{HeaderName, Request, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use super::checker::Checker;
use super::crashes::Arrival;
pub use manner::Manner;
use manner::{Run, send_events, send_halves};

/// Number of events in a complete stream.
pub const EVENT_COUNT: u64 = 8;

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// Time from the arrival of a request until a stream begins.
const PREFILL_TIME: Duration = Duration::from_millis(50);

/// Further delay of each answer of a cold target.
const COLD_DELAY: Duration = Duration::from_millis(200);

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers correctly.
    #[default]
    Normal,
    /// Refuses every request because it has no room.
    Full,
    /// Refuses every request and asks for none within the next 0.8 s (`retry-after`).
    Closed,
    /// Runs a request and closes the connection without an answer.
    LosesAnswers,
    /// Breaks off answers before their end.
    BreaksOff,
    /// Delays each request by a second.
    Slow,
    /// Answers half of the requests with a failure.
    Fails,
    /// Crashes when it begins to answer, whatever the request is.
    Crashes,
}

impl Behaviour {
    pub(super) fn draw(random: &mut Pcg64) -> Self {
        let all = [
            Self::Full,
            Self::Closed,
            Self::LosesAnswers,
            Self::BreaksOff,
            Self::Slow,
            Self::Fails,
        ];
        all[random.random_range(0..all.len())]
    }
}

/// The behaviours and list entries of all targets.
#[derive(Default)]
pub struct TargetPool {
    behaviours: Mutex<HashMap<String, Behaviour>>,
    manners: Mutex<HashMap<String, Manner>>,
    /// When faults of the connections to a target ended; none during a fault.
    link_faults: Mutex<HashMap<String, Option<Instant>>>,
    /// Limits that targets name in their answers.
    limits: Mutex<HashMap<String, Rate>>,
    list: Mutex<Vec<Value>>,
    /// The names that restarted targets have on the list.
    ids: Mutex<HashMap<String, String>>,
    /// Time for which a restarted target is cold.
    cold_time: Mutex<Duration>,
    /// Until when restarted targets are cold, by their names on the list.
    cold: Mutex<HashMap<String, Instant>>,
    /// The proxies in front of the targets that run.
    proxies: Mutex<HashMap<String, Proxy>>,
    /// Targets that have left or will, whose state doesn't change any more.
    retired: Mutex<HashSet<String>>,
}

impl TargetPool {
    fn behaviours(&self) -> MutexGuard<'_, HashMap<String, Behaviour>> {
        self.behaviours.lock().expect("the lock is not poisoned")
    }

    fn list(&self) -> MutexGuard<'_, Vec<Value>> {
        self.list.lock().expect("the lock is not poisoned")
    }

    /// Sets the behaviour of a target.
    pub fn set_behaviour(&self, name: &str, behaviour: Behaviour) {
        self.behaviours().insert(name.to_owned(), behaviour);
    }

    /// Sets the manner in which a target answers.
    pub fn set_manner(&self, name: &str, manner: Manner) {
        let mut manners = self.manners.lock().expect("the lock is not poisoned");
        manners.insert(name.to_owned(), manner);
    }

    fn manner(&self, name: &str) -> Manner {
        let manners = self.manners.lock().expect("the lock is not poisoned");
        manners.get(name).copied().unwrap_or_default()
    }

    /// Records the start or the end of a fault of the connections to a target.
    pub fn set_link_fault(&self, name: &str, is_faulty: bool) {
        let ended = (!is_faulty).then(Instant::now);
        let mut faults = self.link_faults.lock().expect("the lock is not poisoned");
        faults.insert(name.to_owned(), ended);
    }

    /// Whether the connections to a target have been sound since `time`.
    fn is_link_sound(&self, name: &str, time: Instant) -> bool {
        let faults = self.link_faults.lock().expect("the lock is not poisoned");
        let ended = faults.get(name);
        ended.is_none_or(|ended| ended.is_some_and(|ended| ended < time))
    }

    fn limits(&self) -> MutexGuard<'_, HashMap<String, Rate>> {
        self.limits.lock().expect("the lock is not poisoned")
    }

    /// Sets the limit that a target names in its answers.
    pub fn set_limit(&self, name: &str, limit: Option<Rate>) {
        match limit {
            Some(rate) => self.limits().insert(name.to_owned(), rate),
            None => self.limits().remove(name),
        };
    }

    fn ids(&self) -> MutexGuard<'_, HashMap<String, String>> {
        self.ids.lock().expect("the lock is not poisoned")
    }

    fn cold(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.cold.lock().expect("the lock is not poisoned")
    }

    fn cold_time(&self) -> Duration {
        *self.cold_time.lock().expect("the lock is not poisoned")
    }

    /// Sets the time for which targets are cold after a crash.
    pub fn set_cold_time(&self, time: Duration) {
        *self.cold_time.lock().expect("the lock is not poisoned") = time;
    }

    fn proxies(&self) -> MutexGuard<'_, HashMap<String, Proxy>> {
        self.proxies.lock().expect("the lock is not poisoned")
    }

    fn retired(&self) -> MutexGuard<'_, HashSet<String>> {
        self.retired.lock().expect("the lock is not poisoned")
    }

    /// The name of a target on the platform's list.
    fn id(&self, name: &str) -> String {
        let id = self.ids().get(name).cloned();
        id.unwrap_or_else(|| name.to_owned())
    }

    /// For how much longer a target is cold, by its name on the platform's list.
    fn cold_left(&self, id: &str) -> Duration {
        let until = self.cold().get(id).copied();
        until.map_or(Duration::ZERO, |it| {
            it.saturating_duration_since(Instant::now())
        })
    }

    /// Sets the rules of the link to a target that runs.
    pub fn set_link(&self, name: &str, link: Link) {
        if let Some(proxy) = self.proxies().get(name) {
            proxy.set_link(link);
        }
    }

    /// Adds a target behind a proxy to the platform's list.
    pub fn add(&self, name: &str, service: &str, zone: &str, proxy: Proxy) {
        let address = proxy.address();
        self.proxies().insert(name.to_owned(), proxy);
        self.list()
            .push(json!({"id": name, "service": service, "address": address,
            "zone": zone, "version": versions::version(name), "slots": 8, "state": "ready",
            "cold_remaining_ms": 0}));
    }

    /// The address of a target on the platform's list.
    fn address(&self, name: &str) -> String {
        let id = self.id(name);
        let list = self.list();
        let entry = list.iter().find(|entry| entry["id"] == id);
        let address = entry.and_then(|entry| entry["address"].as_str());
        address.unwrap_or_default().to_owned()
    }

    /// Sets the state of a target on the platform's list.
    pub fn set_state(&self, name: &str, state: &str) {
        if self.retired().contains(name) {
            return;
        }
        let id = self.id(name);
        for entry in self.list().iter_mut().filter(|entry| entry["id"] == id) {
            entry["state"] = Value::from(state);
        }
    }
}

/// Starts a server for the platform's list and returns its address.
pub async fn start_list(
    pool: Arc<TargetPool>,
    stages: watch::Receiver<ShutdownState>,
) -> SocketAddr {
    let (listener, address) = bind().await;
    let handler = move |_| {
        let mut list = pool.list().clone();
        for entry in &mut list {
            let left = pool.cold_left(entry["id"].as_str().unwrap_or_default());
            entry["cold_remaining_ms"] = Value::from(left.as_millis() as u64);
        }
        let body = json!({"instances": list, "next": null}).to_string();
        async move { Response::new(Body::complete(Bytes::from(body))) }
    };
    tokio::spawn(serve(listener, connection_limits, stages, handler));
    address
}

/// Starts a target and returns its address.
pub async fn start_target(
    name: String,
    pool: Arc<TargetPool>,
    checker: Arc<Checker>,
    stages: watch::Receiver<ShutdownState>,
) -> SocketAddr {
    let (listener, address) = bind().await;
    let handler = move |request| {
        let target = Target {
            name: name.clone(),
            pool: Arc::clone(&pool),
            checker: Arc::clone(&checker),
        };
        target.answer_with_limit(request)
    };
    tokio::spawn(serve(listener, connection_limits, stages, handler));
    address
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a listener");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    (listener, address)
}

/// Connection limits of a test double, with an idle timeout that is not reached during a run.
fn connection_limits() -> Limits {
    Limits::idle(Duration::from_secs(60))
}

/// Settings of the proxy in front of a target.
pub fn proxy_settings(target: SocketAddr) -> Settings {
    Settings {
        target,
        control_address: (target.ip(), 0).into(),
        link: Link::default(),
    }
}

#[derive(Clone)]
struct Target {
    name: String,
    pool: Arc<TargetPool>,
    checker: Arc<Checker>,
}

impl Target {
    async fn answer_with_limit(self, request: Request<Incoming>) -> Response<Body> {
        let mut response = self.answer(request).await;
        let headers = response.headers_mut();
        let id = self.pool.id(&self.name);
        headers.insert(names::TARGET, id.parse().expect("a valid header value"));
        if let Some(rate) = self.pool.limits().get(&self.name) {
            let text = rate.per_second().to_string();
            headers.insert(
                names::RATE_LIMIT,
                text.parse().expect("a valid header value"),
            );
        }
        response
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        // An incomplete request is not run.
        let Ok(body) = body.collect().await else {
            return Response::new(Body::complete(Bytes::new()));
        };
        let header = |name: HeaderName| {
            let value = parts.headers.get(name).and_then(|it| it.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let id = header(names::REQUEST_ID);
        let behaviour = self.pool.behaviours().get(&self.name).copied();
        let behaviour = behaviour.unwrap_or_default();
        self.checker.check_arrival(&self.name, &id);
        let body = body.to_bytes();
        let arrival = Arrival {
            identity: Identity {
                method: parts.method.to_string(),
                path: parts.uri.to_string(),
                account: header(names::ACCOUNT),
                body: body.to_vec(),
            },
            prompt: &header(names::PROMPT_PARTS),
            gateway: self.checker.limits.gateway(&id),
        };
        let now = self.checker.limits.now();
        let crashes = &self.checker.crashes;
        let cause = crashes.record_arrival(self.service(), &arrival, now);
        let expected = header(names::EXPECTED_TARGET);
        if !expected.is_empty() && expected != self.pool.id(&self.name) {
            return not_run(&id, StatusCode::MISDIRECTED_REQUEST);
        }
        if matches!(behaviour, Behaviour::Full | Behaviour::Closed) {
            return refusal(&id, behaviour);
        }
        let path = parts.uri.path();
        let is_call = path.starts_with("/stage-");
        if is_call {
            self.checker.limits.record_call(&self.name);
        }
        let mut run = Run::new(self, &id, behaviour, is_call);
        if behaviour == Behaviour::Slow {
            sleep(Duration::from_secs(1)).await;
        }
        run.pause_at(0).await;
        match path {
            "/stage-run" => self.run_pieces(&body).await,
            "/stage-free" => Response::new(Body::complete(Bytes::from_static(b"{}"))),
            _ => {
                self.prefill().await;
                if cause.is_some() || behaviour == Behaviour::Crashes {
                    run.end();
                    return self.crash_on(&id, cause, run).await;
                }
                let last = header(names::LAST_EVENT).parse().unwrap_or(0);
                self.run(&id, last, behaviour, run)
            }
        }
    }

    fn service(&self) -> &str {
        versions::service(&self.name)
    }

    /// Waits until an answer begins.
    async fn prefill(&self) {
        if self.service() == "llm" {
            sleep(PREFILL_TIME).await;
        }
        if !self.pool.cold_left(&self.pool.id(&self.name)).is_zero() {
            sleep(COLD_DELAY).await;
        }
    }

    /// Runs pieces. Each handle contains its request's id, so that inputs of another request are
    /// detected.
    async fn run_pieces(&self, body: &[u8]) -> Response<Body> {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let items = call["items"].as_array().cloned().unwrap_or_default();
        let address = self.pool.address(&self.name);
        let results = items.iter().map(|item| {
            let id = item["id"].as_str().unwrap_or_default();
            let inputs = item["inputs"].as_array().cloned().unwrap_or_default();
            self.checker.check_inputs(id, &self.name, &inputs);
            let nonce = rand::random::<u32>();
            let handle = format!("{address}/{id}.{}.{nonce}", item["piece"]);
            json!({ "handle": handle })
        });
        let results: Vec<Value> = results.collect();
        sleep(Duration::from_millis(20)).await;
        let body = Bytes::from(json!({ "items": results }).to_string());
        if !self.pool.manner(&self.name).is_unframed() {
            return Response::new(Body::complete(body));
        }
        let (sender, parts) = mpsc::channel(1);
        drop(sender.try_send(Ok(body)));
        let mut response = Response::new(Body::Stream(parts));
        *response.version_mut() = Version::HTTP_10;
        response
    }

    fn run(&self, id: &str, last: u64, behaviour: Behaviour, mut run: Run) -> Response<Body> {
        self.checker.record_run(id, &self.name);
        let mut response = Response::new(Body::complete(Bytes::from(format!("answer to {id}"))));
        let headers = response.headers_mut();
        if let Ok(id) = id.parse() {
            headers.insert(names::REQUEST_ID, id);
        }
        headers.insert(
            names::SIGNATURE,
            "signed".parse().expect("a valid header value"),
        );
        if behaviour == Behaviour::Fails && rand::random() {
            let (version, now) = (versions::number(&self.name), self.checker.limits.now());
            self.checker.rollouts.record_bad_answer(version, now);
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            run.end();
            return response;
        }
        let is_stream = self.name.starts_with("llm");
        if behaviour == Behaviour::LosesAnswers || (behaviour == Behaviour::BreaksOff && !is_stream)
        {
            let (sender, parts) = mpsc::channel(1);
            drop(sender.try_send(Err(BodyInterrupted)));
            *response.body_mut() = Body::Stream(parts);
            run.end();
            return response;
        }
        self.checker.record_answering(id, &self.name);
        // The server library does not send the last part of a body that breaks off, without which an
        // unframed answer looks complete.
        let is_cut = behaviour == Behaviour::BreaksOff;
        if self.pool.manner(&self.name).is_unframed() && !is_cut {
            // The library marks the end of such a body by the end of the connection.
            *response.version_mut() = Version::HTTP_10;
        }
        if is_stream {
            let kind = "text/event-stream".parse().expect("a valid header value");
            response.headers_mut().insert("content-type", kind);
            let (sender, events) = mpsc::channel(1);
            tokio::spawn(send_events(sender, behaviour, last, run));
            *response.body_mut() = Body::Stream(events);
        } else if response.version() == Version::HTTP_10 {
            let (sender, parts) = mpsc::channel(1);
            tokio::spawn(send_halves(sender, format!("answer to {id}"), run));
            *response.body_mut() = Body::Stream(parts);
        } else {
            run.end();
        }
        response
    }
}

fn refusal(id: &str, behaviour: Behaviour) -> Response<Body> {
    let mut response = not_run(id, StatusCode::SERVICE_UNAVAILABLE);
    if behaviour == Behaviour::Closed {
        let after = "0.8".parse().expect("a valid header value");
        response.headers_mut().insert("retry-after", after);
    }
    response
}

fn not_run(id: &str, status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::complete(Bytes::new()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(names::NOT_RUN, "1".parse().expect("a valid header value"));
    if let Ok(id) = id.parse() {
        headers.insert(names::REQUEST_ID, id);
    }
    response
}
