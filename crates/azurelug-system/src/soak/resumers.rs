//! Clients that start streams and resume them at other gateways after interruptions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::h1::client::Connection;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::Options;
use super::checker::Checker;
use super::crashes::Draft;
use super::deployment::Deployment;
use super::load::{DEADLINE, request};
use super::streams::{Event, Resumed, events};
use super::targets::{EVENT_COUNT, TargetPool};

/// Number of clients.
const CLIENTS: usize = 16;

/// Time within which a stream is resumed or started anew.
const STREAM_LIMIT: Duration = Duration::from_secs(8);

/// Time within which a connection opens.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Range of the time until a stream is resumed, in milliseconds.
const RESUME_PAUSE_MS: std::ops::Range<u64> = 20..1200;

/// Share of tries whose connection breaks, on the client's side, inside the stream.
const BROKEN_SHARE: f64 = 0.25;

struct Client {
    name: String,
    gateways: Vec<SocketAddr>,
    checker: Arc<Checker>,
    pool: Arc<TargetPool>,
    random: Pcg64,
    tries: u64,
}

/// A stream over all tries of a client.
#[derive(Default)]
struct Stream {
    events: Vec<Event>,
    /// The id of the try that brought the first event.
    first_try: String,
}

impl Stream {
    /// Whether all events have come.
    fn is_received(&self) -> bool {
        self.events.len() as u64 == EVENT_COUNT
    }
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The gateway got no request.
    NotSent,
    /// The request was refused as not run.
    Refused,
    /// The answer was not a success, was cut off or did not come.
    Interrupted,
    /// The answer ended as complete, or the stream is broken.
    Done,
}

/// Starts the clients of a run.
pub fn start(deployment: &Deployment, options: &Options) -> Vec<JoinHandle<()>> {
    let clients = (0..CLIENTS).map(|number| {
        let client = Client {
            name: format!("{}-stream-{number}", options.seed),
            gateways: deployment.gateways(),
            checker: deployment.checker(),
            pool: deployment.pool(),
            random: Pcg64::seed_from_u64(options.seed * 1000 + 700 + number as u64),
            tries: 0,
        };
        tokio::spawn(client.run())
    });
    clients.collect()
}

impl Client {
    async fn run(mut self) {
        loop {
            let pause = self.random.random_range(5..120);
            sleep(Duration::from_millis(pause)).await;
            self.receive_stream().await;
        }
    }

    /// Starts a stream and resumes it until it is whole or its time is over.
    async fn receive_stream(&mut self) {
        let started = Instant::now();
        let mut stream = Stream::default();
        let mut gateway = self.random.random_range(0..self.gateways.len());
        while started.elapsed() < STREAM_LIMIT {
            let end = self.attempt(gateway, &mut stream).await;
            match end {
                End::Done => return,
                // Starts anew.
                End::Refused => stream = Stream::default(),
                End::NotSent | End::Interrupted if stream.is_received() => return,
                End::NotSent | End::Interrupted => {}
            }
            let offset = self.random.random_range(1..self.gateways.len().max(2));
            gateway = (gateway + offset) % self.gateways.len();
            let pause = self.random.random_range(RESUME_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Starts a stream, or resumes it if it has events, on a new connection.
    async fn attempt(&mut self, gateway: usize, stream: &mut Stream) -> End {
        self.tries += 1;
        let id = format!("{}-{}", self.name, self.tries);
        let opened = Connection::open(self.gateways[gateway], CONNECT_LIMIT, DEADLINE).await;
        let Ok(mut connection) = opened else {
            return End::NotSent;
        };
        let received = stream.events.len();
        let version = stream.events.first().map(|it| it.version.clone());
        let is_covered = |pool: &TargetPool| {
            let version = version.as_deref();
            version.is_some_and(|version| pool.count_up(version) >= 2)
        };
        let was_covered = is_covered(&self.pool);
        let is_broken = self.random.random_bool(BROKEN_SHARE);
        let limit = is_broken.then(|| self.random.random_range(received + 1..=received + 4));
        self.checker.limits.record_sent(&id, gateway);
        let receive = self.receive(&mut connection, &id, stream, limit);
        let end = timeout(DEADLINE + Duration::from_secs(1), receive).await;
        let end = end.unwrap_or(End::Interrupted);
        let is_gone_on = stream.events.len() > received;
        if received == 0 {
            self.checker.streams.record_new(is_gone_on);
            stream.first_try = id.clone();
        } else {
            self.checker.streams.record_resumed(Resumed {
                is_gone_on,
                is_refused: end == End::Refused,
                is_covered: was_covered && is_covered(&self.pool),
            });
        }
        if end == End::Refused {
            self.checker.expect_not_run(&id);
        }
        if !self.checker.streams.check(&id, &stream.events) {
            return End::Done;
        }
        if end == End::Done && !stream.is_received() {
            let count = stream.events.len();
            let text = format!("{id} ended as complete after {count} events");
            self.checker.record_violation(text);
        }
        end
    }

    /// Sends a request and receives events, until `limit` of the stream if there is one.
    async fn receive(
        &self,
        connection: &mut Connection,
        id: &str,
        stream: &mut Stream,
        limit: Option<usize>,
    ) -> End {
        let draft = Draft {
            body: format!("a body of {}", self.name),
            ..Draft::post("/talk/x", "5c1e:800,91bd:410".to_owned())
        };
        let mut request = request(id, &draft);
        if let Some(last) = stream.events.last() {
            let headers = request.headers_mut();
            headers.insert("last-event-id", HeaderValue::from(last.id));
            let first = stream.first_try.parse();
            headers.insert("resumes", first.expect("ids are valid header values"));
        }
        let Ok(response) = connection.send(request).await else {
            return End::Interrupted;
        };
        let (parts, mut body) = response.into_parts();
        match parts.status.as_u16() {
            200 => {}
            408 | 421 | 429 | 503 => return End::Refused,
            _ => return End::Interrupted,
        }
        let received = stream.events.clone();
        let mut text = String::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return End::Interrupted;
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            text.push_str(&String::from_utf8_lossy(bytes));
            stream.events = received.iter().cloned().chain(events(&text)).collect();
            if limit.is_some_and(|limit| stream.events.len() >= limit) {
                return End::Interrupted;
            }
        }
        End::Done
    }
}
