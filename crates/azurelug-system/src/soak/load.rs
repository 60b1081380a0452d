//! Clients that send requests at a steady rate, whether or not earlier ones have been answered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::h1::client::Connection;
use azurelug_platform::names;
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderName, Request};
use http_body_util::{BodyExt, Full};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

use super::checker::{Checker, Outcome};
use super::crashes::Draft;
use super::deployment::Deployment;

/// How long a client waits for an answer.
pub(super) const DEADLINE: Duration = Duration::from_millis(4000);

/// Longest time to open a connection, and for an answer after [`DEADLINE`].
const CONNECTION_LIMIT: Duration = Duration::from_secs(5);

/// Pause before a request is repeated, unless the answer asks for a longer one.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause before a request is repeated.
const MAX_REPEAT_PAUSE: Duration = Duration::from_secs(1);

/// What a client received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The id of this attempt, by which logs name it.
    pub id: String,
    /// The request.
    pub draft: Draft,
    /// Number of the gateway that it was sent to.
    pub gateway: usize,
    /// How often it had been sent before.
    pub repeat: u32,
    /// When it was sent, as time since the start of the run.
    pub sent: Duration,
    /// Whether neither it nor a part of its prompt crashes targets.
    pub is_sound: bool,
    /// HTTP status; none without an answer.
    pub status: Option<u16>,
    /// The target that answered.
    pub target: Option<String>,
    /// Seconds until the request may be sent again.
    pub retry_after: Option<f64>,
    /// Time from the request to the answer's head.
    pub elapsed: Duration,
    /// Whether the first bytes of a successful answer arrived.
    pub has_begun: bool,
    /// Whether the answer ended as it should.
    pub is_whole: bool,
}

impl Answer {
    /// Whether the status promises that the request has not run.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self.status, Some(408 | 421 | 429 | 503))
    }

    /// Whether the status blames the client, which may not happen to a proper request.
    #[must_use]
    pub fn is_denied(&self) -> bool {
        !self.is_refused() && matches!(self.status, Some(300..500))
    }

    fn may_be_repeated(&self) -> bool {
        self.is_refused() || self.status.is_none_or(|status| status >= 500)
    }
}

/// Clients of a run.
pub struct Load {
    answers: Arc<Mutex<Vec<Answer>>>,
    clients: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

/// Where and how often clients send.
#[derive(Clone, Copy, Debug)]
pub struct Pace<'a> {
    /// Numbers of the gateways; all if empty.
    pub gateways: &'a [usize],
    /// Time between two requests at one gateway.
    pub interval: Duration,
    /// Seed of the requests' content.
    pub seed: u64,
    /// How often a client repeats a request that failed, each time at another gateway.
    pub repeats: u32,
}

impl Load {
    /// Starts one client for each gateway. `draw` chooses the content of each request.
    pub fn start<F>(deployment: &Deployment, pace: Pace<'_>, draw: F) -> Self
    where
        F: Fn(&mut Pcg64) -> Draft + Clone + Send + 'static,
    {
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let stop = watch::Sender::new(false);
        let addresses = deployment.gateways();
        let used = pace.gateways;
        let gateways = 0..addresses.len();
        let gateways = gateways.filter(|number| used.is_empty() || used.contains(number));
        let nonce = rand::random();
        let clients = gateways.map(|gateway| {
            let client = Client {
                nonce,
                gateway,
                addresses: addresses.clone(),
                checker: deployment.checker(),
                answers: Arc::clone(&answers),
            };
            let random = Pcg64::seed_from_u64(pace.seed * 1000 + gateway as u64);
            let draw = draw.clone();
            tokio::spawn(client.run(pace.interval, pace.repeats, random, draw, stop.subscribe()))
        });
        Self {
            clients: clients.collect(),
            answers,
            stop,
        }
    }

    /// Stops the clients, waits for their last answers and returns all.
    ///
    /// # Panics
    /// If a client has panicked.
    pub async fn close(self) -> Vec<Answer> {
        self.stop.send_replace(true);
        for client in self.clients {
            client.await.expect("a client does not panic");
        }
        let answers = self.answers.lock().expect("the lock is not poisoned");
        answers.clone()
    }
}

#[derive(Clone)]
struct Client {
    /// Distinguishes the ids of this load's requests.
    nonce: u32,
    /// The gateway that gets the first attempt of each request.
    gateway: usize,
    addresses: Vec<SocketAddr>,
    checker: Arc<Checker>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

impl Client {
    async fn run(
        self,
        interval: Duration,
        repeats: u32,
        mut random: Pcg64,
        draw: impl Fn(&mut Pcg64) -> Draft,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut ticks = tokio::time::interval(interval);
        let mut requests = JoinSet::new();
        for number in 0_u64.. {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = stop.wait_for(|is_stopped| *is_stopped) => break,
            }
            let draft = draw(&mut random);
            requests.spawn(self.clone().send_until_served(number, draft, repeats));
        }
        requests.join_all().await;
    }

    async fn send_until_served(self, number: u64, draft: Draft, repeats: u32) {
        for repeat in 0..=repeats {
            let id = format!("{:x}-{}-{number}-{repeat}", self.nonce, self.gateway);
            let answer = self.send(&id, &draft, repeat).await;
            let is_final = answer.is_whole && !answer.may_be_repeated();
            let after = Duration::from_secs_f64(answer.retry_after.unwrap_or_default());
            self.record(answer);
            if is_final {
                return;
            }
            sleep(after.clamp(REPEAT_PAUSE, MAX_REPEAT_PAUSE)).await;
        }
    }

    fn record(&self, answer: Answer) {
        let mut answers = self.answers.lock().expect("the lock is not poisoned");
        answers.push(answer);
    }

    async fn send(&self, id: &str, draft: &Draft, repeat: u32) -> Answer {
        let limits = &self.checker.limits;
        let gateway = (self.gateway + repeat as usize) % self.addresses.len();
        limits.record_sent(id, gateway);
        if draft.is_unsafe() {
            self.checker.expect_at_most_once(id);
        }
        let mut answer = Answer {
            id: id.to_owned(),
            draft: draft.clone(),
            gateway,
            repeat,
            sent: limits.now(),
            is_sound: self.checker.crashes.is_sound(draft),
            status: None,
            target: None,
            retry_after: None,
            elapsed: Duration::ZERO,
            has_begun: false,
            is_whole: false,
        };
        // A gateway that is killed gives no answer.
        let _ = self.exchange(id, &mut answer).await;
        if repeat == 0 {
            let (sent, has_begun) = (answer.sent, answer.has_begun);
            let crashes = &self.checker.crashes;
            crashes.record_request(draft, gateway, sent, has_begun);
        }
        if answer.is_refused() {
            self.checker.record_outcome(id, "load", Outcome::Refused);
        }
        answer
    }

    /// Sends a request and records its answer; none if it does not end as it should.
    async fn exchange(&self, id: &str, answer: &mut Answer) -> Option<()> {
        let started = Instant::now();
        let request = request(id, &answer.draft);
        let (address, limit) = (self.addresses[answer.gateway], CONNECTION_LIMIT);
        let mut connection = Connection::open(address, limit, limit).await.ok()?;
        let response = connection.send(request).await.ok()?;
        let (parts, mut body) = response.into_parts();
        let text = |name: HeaderName| parts.headers.get(name).and_then(|it| it.to_str().ok());
        answer.status = Some(parts.status.as_u16());
        answer.target = text(names::TARGET).map(str::to_owned);
        answer.retry_after = text(RETRY_AFTER).and_then(|it| it.parse().ok());
        answer.elapsed = started.elapsed();
        if let Some(target) = &answer.target
            && parts.headers.contains_key(names::RATE_LIMIT)
        {
            self.checker.limits.record_told(target, answer.gateway);
        }
        while let Some(frame) = body.frame().await {
            frame.ok()?;
            answer.has_begun |= parts.status.is_success();
        }
        answer.is_whole = true;
        Some(())
    }
}

/// Builds a client's request.
pub(super) fn request(id: &str, draft: &Draft) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(&draft.method)
        .uri(draft.path)
        .header("host", "carts.example")
        .header("authorization", format!("Bearer {}", draft.key))
        .header(names::REQUEST_ID, id)
        .header(names::TIME_LEFT, DEADLINE.as_millis().to_string())
        .header(names::PIECES, "2,3")
        .header(names::PIECE_KEY, "k");
    if !draft.prompt.is_empty() {
        request = request.header(names::PROMPT_PARTS, &draft.prompt);
    }
    let body = Full::new(Bytes::from(draft.body.clone()));
    request.body(body).expect("build a request")
}
