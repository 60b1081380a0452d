//! Stand-ins for the platform's list, targets, the operator and clients, as the users' pages
//! describe them.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::h1::client::Connection;
use azurelug_http::h1::server::{Limits, ShutdownState, serve};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, interval, sleep, timeout};

use crate::record::Record;

/// The key that the configuration gives to the only tenant.
pub const KEY: &str = "key-of-the-shop-0001";

/// Host and path of the only route.
pub const HOST: &str = "desk.example";
/// Path of the requests.
pub const PATH: &str = "/look/1";

/// Time limit of a request, as `X-Deadline-Milliseconds`: that of `cart-lookup`.
pub const TIME_LIMIT: Duration = Duration::from_millis(600);

/// An operator's call moves on to another daemon after this time.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a large body.
const LARGE_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Length of a large body in bytes.
const LARGE_BODY: usize = 100_000;

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The id of the request, if it was a client's.
    pub id: String,
    /// Status.
    pub status: u16,
    /// Headers by lowercase name.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Bytes,
}

/// Sends one request on a new connection.
///
/// # Errors
/// Why there is no answer.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: Bytes,
    limit: Duration,
) -> Result<Answer, String> {
    let exchange = async {
        let mut connection = Connection::open(address, limit, limit)
            .await
            .map_err(|error| error.to_string())?;
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = connection
            .send(request)
            .await
            .map_err(|error| error.to_string())?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        let text =
            |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        let headers = parts.headers.iter();
        Ok(Answer {
            id: String::new(),
            status: parts.status.as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            body: body.to_bytes(),
        })
    };
    timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(format!("no answer in {} ms", limit.as_millis())))
}

/// Starts a server on a free port of `ip`; it runs until the process ends.
async fn start_server<F, R>(ip: IpAddr, handler: F) -> Result<SocketAddr, String>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind((ip, 0))
        .await
        .map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        let (_stage, stages) = watch::channel(ShutdownState::Serving);
        serve(
            listener,
            || Limits::idle(Duration::from_secs(30)),
            stages,
            handler,
        )
        .await;
    });
    Ok(address)
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Position of the replica.
    pub target: usize,
    /// Time since the start of the case.
    pub at: Duration,
    /// The request's id.
    pub id: String,
}

/// An entry of the platform's list.
#[derive(Clone, Debug)]
struct Entry {
    name: String,
    address: SocketAddr,
    zone: &'static str,
    /// Until when the replica is cold.
    cold_until: Duration,
}

/// Requests that a replica runs at the same time, as the list says.
const SLOTS: u32 = 16;

/// Time of a request at a replica.
const WORK: Duration = Duration::from_millis(15);

/// Lag of the platform's list: `lag_ms` of the sites.
const LIST_LAG: Duration = Duration::from_millis(800);

/// The replicas, their list, and what they received. Clones share them.
#[derive(Clone)]
pub struct Targets {
    record: Record,
    entries: Arc<Mutex<Vec<Entry>>>,
    /// When the replicas became cold last.
    cold_since: Arc<Mutex<Duration>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Targets {
    /// No replicas.
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            entries: Arc::default(),
            cold_since: Arc::default(),
            arrivals: Arc::default(),
        }
    }

    /// Starts a replica that answers every request with its signature and the request's id as the
    /// body.
    ///
    /// # Errors
    /// It can't listen.
    pub async fn start(&self, ip: IpAddr, name: String, zone: &'static str) -> Result<(), String> {
        let target = self
            .entries
            .lock()
            .expect("no holder of the lock panics")
            .len();
        let (shared, own) = (self.clone(), name.clone());
        let address = start_server(ip, move |request: Request<Incoming>| {
            let (shared, own) = (shared.clone(), own.clone());
            async move { shared.run(target, &own, &request).await }
        })
        .await?;
        self.entries
            .lock()
            .expect("no holder of the lock panics")
            .push(Entry {
                name,
                address,
                zone,
                cold_until: Duration::ZERO,
            });
        Ok(())
    }

    async fn run(
        &self,
        target: usize,
        name: &str,
        request: &Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let header = |key: &str| {
            let value = request.headers().get(key);
            let text = value.and_then(|it| it.to_str().ok());
            text.unwrap_or_default().to_owned()
        };
        let id = header("x-request-attempt-id");
        let expected = header("x-expected-instance");
        if !expected.is_empty() && expected != name {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return response;
        }
        let at = self.record.now();
        let tenant = header("x-tenant");
        self.record
            .detail(format!("target {name} runs {id}, tenant {tenant}"));
        let arrival = Arrival { target, at, id };
        let id = arrival.id.clone();
        self.arrivals
            .lock()
            .expect("no holder of the lock panics")
            .push(arrival);
        sleep(WORK).await;
        let response = Response::builder()
            .header("x-request-attempt-id", &id)
            .header("x-response-signature", format!("signature-{id}"));
        response
            .body(Full::new(Bytes::from(id)))
            .expect("ids are valid in headers")
    }

    /// Makes all replicas cold from now on for `time`.
    pub fn make_cold(&self, time: Duration) {
        let now = self.record.now();
        *self
            .cold_since
            .lock()
            .expect("no holder of the lock panics") = now;
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        for entry in entries.iter_mut() {
            entry.cold_until = now + time;
        }
    }

    /// What the replicas received so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    fn list(&self) -> String {
        let now = self.record.now();
        let since = *self
            .cold_since
            .lock()
            .expect("no holder of the lock panics");
        let is_shown = since + LIST_LAG <= now;
        let entries = self.entries.lock().expect("no holder of the lock panics");
        let entries = entries.iter().map(|it| {
            let left = it.cold_until.saturating_sub(now).as_millis();
            let left = if is_shown {
                u64::try_from(left).unwrap_or(0)
            } else {
                0
            };
            serde_json::json!({
                "id": it.name, "service": "depot-desk", "address": it.address.to_string(),
                "zone": it.zone, "version": "v1", "slots": SLOTS, "state": "ready",
                "cold_remaining_ms": left,
            })
        });
        let entries: Vec<serde_json::Value> = entries.collect();
        serde_json::json!({ "instances": entries, "next": null }).to_string()
    }

    /// Starts the platform's list.
    ///
    /// # Errors
    /// It can't listen.
    pub async fn start_list(&self, ip: IpAddr) -> Result<SocketAddr, String> {
        let shared = self.clone();
        start_server(ip, move |_| {
            let body = shared.list();
            async move {
                let response = Response::builder().header("content-type", "application/json");
                response
                    .body(Full::new(Bytes::from(body)))
                    .expect("a valid head")
            }
        })
        .await
    }
}

/// Sends an operator's order, in turn to the daemons, until one acknowledges it or `limit` has
/// passed. Returns the position of the daemon that acknowledged.
pub async fn order(
    record: &Record,
    daemons: &[SocketAddr],
    version: u64,
    body: &Bytes,
    limit: Duration,
) -> Option<usize> {
    let started = Instant::now();
    let what = format!("version {version}");
    send_order(
        record,
        daemons,
        (Method::PUT, "/configuration"),
        body,
        &what,
        limit,
        started,
    )
    .await
}

/// Asks for a zone to be evacuated, as [`order`] does.
pub async fn evacuate(
    record: &Record,
    daemons: &[SocketAddr],
    zone: &str,
    limit: Duration,
) -> Option<usize> {
    let started = Instant::now();
    let path = format!("/evacuation/{zone}");
    let what = format!("evacuation of {zone}");
    let call = (Method::POST, path.as_str());
    send_order(record, daemons, call, &Bytes::new(), &what, limit, started).await
}

async fn send_order(
    record: &Record,
    daemons: &[SocketAddr],
    (method, path): (Method, &str),
    body: &Bytes,
    what: &str,
    limit: Duration,
    started: Instant,
) -> Option<usize> {
    let mut pause = Duration::from_millis(100);
    let call_timeout = if body.len() < LARGE_BODY {
        CALL_TIMEOUT
    } else {
        LARGE_CALL_TIMEOUT
    };
    for position in (0..daemons.len()).cycle() {
        let headers = [
            ("content-type", "application/json".to_owned()),
            ("host", "operator".to_owned()),
        ];
        let address = daemons[position];
        let answer = call(
            address,
            method.clone(),
            path,
            &headers,
            body.clone(),
            call_timeout,
        )
        .await;
        match answer {
            Ok(answer) if answer.status == 200 => {
                record.line(format!("operator: {what} acknowledged by {address}"));
                return Some(position);
            }
            Ok(answer) => record.detail(format!(
                "operator: {what} at {address}: {} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            )),
            Err(error) => record.detail(format!("operator: {what} at {address}: {error}")),
        }
        if started.elapsed() >= limit {
            break;
        }
        sleep(pause).await;
        pause = (pause * 2).min(Duration::from_secs(1));
    }
    record.line(format!(
        "operator: {what} not acknowledged in {} s",
        limit.as_secs()
    ));
    None
}

/// Reads the configuration back, in turn at the daemons, until one answers with 200 or `limit` has
/// passed. Returns the version that was read.
pub async fn read_back(record: &Record, daemons: &[SocketAddr], limit: Duration) -> Option<u64> {
    let started = Instant::now();
    for address in daemons.iter().cycle() {
        let headers = [("host", "operator".to_owned())];
        let answer = call(
            *address,
            Method::GET,
            "/configuration",
            &headers,
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await;
        match answer {
            Ok(answer) if answer.status == 200 => {
                let document: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
                let version = document.and_then(|it| it["version"].as_u64());
                record.line(format!("operator: read version {version:?} at {address}"));
                return version;
            }
            Ok(answer) => record.detail(format!(
                "operator: read at {address}: {} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            )),
            Err(error) => record.detail(format!("operator: read at {address}: {error}")),
        }
        if started.elapsed() >= limit {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    record.line(format!(
        "operator: no daemon returned a configuration in {} s",
        limit.as_secs()
    ));
    None
}

/// What became of a request, with the time at which its first attempt was sent.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Time since the start of the case.
    pub sent: Duration,
    /// Whether an attempt was answered with the whole body of a replica.
    pub is_served: bool,
}

/// Clients' requests so far. Clones share them.
#[derive(Clone, Default)]
pub struct Requests {
    ended: Arc<Mutex<Vec<Served>>>,
    /// When each attempt was sent, by its id.
    sent: Arc<Mutex<HashMap<String, Duration>>>,
}

impl Requests {
    /// When the attempt with an id was sent.
    pub fn sent_at(&self, id: &str) -> Option<Duration> {
        let sent = self.sent.lock().expect("no holder of the lock panics");
        sent.get(id).copied()
    }

    /// Number of the requests that were sent between two times, and how many of them were served.
    pub fn count(&self, from: Duration, to: Duration) -> (usize, usize) {
        let all = self.ended.lock().expect("no holder of the lock panics");
        let sent = all.iter().filter(|it| it.sent >= from && it.sent < to);
        let sent: Vec<&Served> = sent.collect();
        (sent.len(), sent.iter().filter(|it| it.is_served).count())
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends a request, and a retry after a refusal within the time limit. Each attempt has its own id.
async fn request(record: &Record, all: &Requests, gateways: &[SocketAddr], first: usize) -> bool {
    let started = Instant::now();
    for attempt in 0..2 {
        let left = TIME_LIMIT.saturating_sub(started.elapsed());
        if left.is_zero() {
            return false;
        }
        let gateway = gateways[(first + attempt) % gateways.len()];
        let answer = self::attempt(record, all, gateway, KEY, left).await;
        let retry_after = match &answer {
            Ok(answer) => {
                let signature = answer.headers.get("x-response-signature");
                let is_whole = answer.body == answer.id.as_bytes();
                if answer.status == 200 && signature.is_some() && is_whole {
                    return true;
                }
                // Clients don't retry after these.
                if [400, 401, 404].contains(&answer.status) {
                    return false;
                }
                let after = answer.headers.get("retry-after");
                after.and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.05)
            }
            Err(_) => 0.05,
        };
        // Clients honour the time up to a third of what they have left.
        let left = TIME_LIMIT.saturating_sub(started.elapsed());
        sleep(Duration::from_secs_f64(retry_after.max(0.0)).min(left / 3)).await;
    }
    false
}

/// Sends one request with another key, without a retry.
pub async fn request_with_key(
    record: &Record,
    all: &Requests,
    gateway: SocketAddr,
    key: &str,
) -> Option<u16> {
    attempt(record, all, gateway, key, TIME_LIMIT)
        .await
        .ok()
        .map(|answer| answer.status)
}

/// Sends one attempt with an id of its own.
async fn attempt(
    record: &Record,
    all: &Requests,
    gateway: SocketAddr,
    key: &str,
    left: Duration,
) -> Result<Answer, String> {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let sent = record.now();
    all.sent
        .lock()
        .expect("no holder of the lock panics")
        .insert(id.clone(), sent);
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-attempt-id", id.clone()),
        ("x-deadline-milliseconds", left.as_millis().to_string()),
        ("authorization", format!("Bearer {key}")),
    ];
    let answer = call(gateway, Method::GET, PATH, &headers, Bytes::new(), left).await;
    match &answer {
        Ok(answer) => record.detail(format!(
            "client: {id} at {gateway}: {} {}",
            answer.status,
            String::from_utf8_lossy(&answer.body)
        )),
        Err(error) => record.detail(format!("client: {id} at {gateway}: {error}")),
    }
    answer.map(|answer| Answer { id, ..answer })
}

/// Starts clients that send a request to the gateways in turn after each `pause`.
pub fn start_clients(record: &Record, gateways: Vec<SocketAddr>, pause: Duration) -> Requests {
    let requests = Requests::default();
    let (record, all) = (record.clone(), requests.clone());
    tokio::spawn(async move {
        let mut ticks = interval(pause);
        for number in 0.. {
            ticks.tick().await;
            let (record, all, gateways) = (record.clone(), all.clone(), gateways.clone());
            tokio::spawn(async move {
                let sent = record.now();
                let is_served = request(&record, &all, &gateways, number).await;
                let mut all = all.ended.lock().expect("no holder of the lock panics");
                all.push(Served { sent, is_served });
            });
        }
    });
    requests
}
