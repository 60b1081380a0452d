//! Callers that send requests one at a time and check every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::h1::client::{Connection, Error};
use azurelug_platform::names;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::Options;
use super::checker::{Checker, Outcome};
use super::crashes::Draft;
use super::deployment::{Deployment, GatewayFaults};
use super::load::{DEADLINE, request};
use super::streams::{Event, events};
use super::targets::EVENT_COUNT;

/// A request that ends before this was not ended by its deadline.
const EARLY_END: Duration = Duration::from_millis(3700);

/// Time within which a request fails that was sent while the gateway was closing the connection.
const CLOSE_RACE_LIMIT: Duration = Duration::from_millis(300);

/// Maximum number of requests on one connection.
const MAX_REQUESTS_PER_CONNECTION: u32 = 20;

/// Kind of the requests that crash targets, whatever their path.
const CRASHING: &str = "crashing";

/// Prompt of all requests in a run without such requests.
const PROMPT: &str = "5c1e:800,91bd:410";

/// The kinds of requests and their paths.
const KINDS: [(&str, &str); 4] = [
    ("look", "/look/x"),
    ("book", "/book/x"),
    ("talk", "/talk/x"),
    ("chat", "/chat/x"),
];

struct Caller {
    name: String,
    gateways: Vec<SocketAddr>,
    gateway_faults: Arc<GatewayFaults>,
    checker: Arc<Checker>,
    random: Pcg64,
    /// Whether prompts differ, as requests may crash targets.
    draws_prompts: bool,
}

/// A connection to a gateway, with the number of requests sent on it.
struct GatewayConnection {
    gateway: usize,
    connection: Connection,
    requests: u32,
}

/// Starts the callers of a run.
pub fn start(deployment: &Deployment, options: &Options) -> Vec<JoinHandle<()>> {
    let callers = (0..options.callers).map(|number| {
        let caller = Caller {
            name: format!("{}-{number}", options.seed),
            gateways: deployment.gateways(),
            gateway_faults: deployment.gateway_faults(),
            checker: deployment.checker(),
            random: Pcg64::seed_from_u64(options.seed * 1000 + number as u64),
            draws_prompts: options.has_crashes(),
        };
        tokio::spawn(caller.run())
    });
    callers.collect()
}

impl Caller {
    async fn run(mut self) {
        let mut kept: Option<GatewayConnection> = None;
        for number in 0_u64.. {
            let pause = self.random.random_range(5..120);
            sleep(Duration::from_millis(pause)).await;
            let Some(mut current) = self.connect_or_reuse(kept.take()).await else {
                continue;
            };
            let (mut kind, path) = KINDS[self.random.random_range(0..KINDS.len())];
            let id = format!("{}-{number}", self.name);
            let draft = self.draw(path, &id);
            if !self.checker.crashes.is_sound(&draft) {
                kind = CRASHING;
            }
            if draft.is_unsafe() {
                self.checker.expect_at_most_once(&id);
            }
            let sent = Instant::now();
            let (outcome, is_reusable) = self.exchange(&mut current, &id, kind, &draft).await;
            // A request that no target has received may be lost if it was sent while the gateway
            // was closing the connection.
            let was_processed = self.checker.was_received(&id) || sent.elapsed() > CLOSE_RACE_LIMIT;
            if outcome == Outcome::Lost
                && was_processed
                && self.gateway_faults.must_answer(current.gateway, sent)
            {
                let text = format!("{id} ({kind}) got no answer although its gateway was up");
                self.checker.record_violation(text);
            }
            if outcome == Outcome::Failed
                && sent.elapsed() < EARLY_END
                && self.gateway_faults.must_answer(current.gateway, sent)
            {
                self.checker.record_unserved(&id);
            }
            self.checker.record_outcome(&id, kind, outcome);
            if is_reusable && current.requests < MAX_REQUESTS_PER_CONNECTION {
                kept = Some(current);
            }
        }
    }

    /// Draws the content of a request. A sound one has a body of its own.
    fn draw(&mut self, path: &'static str, id: &str) -> Draft {
        if let Some(draft) = self.checker.crashes.draw_request(&mut self.random) {
            return draft;
        }
        let prompt = if self.draws_prompts {
            self.checker.crashes.draw_prompt(&mut self.random)
        } else {
            PROMPT.to_owned()
        };
        Draft {
            body: format!("a body of {id}"),
            ..Draft::post(path, prompt)
        }
    }

    /// Returns the open connection, or a new one to a randomly chosen gateway.
    async fn connect_or_reuse(
        &mut self,
        kept: Option<GatewayConnection>,
    ) -> Option<GatewayConnection> {
        if let Some(kept) = kept.filter(|kept| kept.connection.is_ready()) {
            return Some(kept);
        }
        let gateway = self.random.random_range(0..self.gateways.len());
        let address = self.gateways[gateway];
        let limit = Duration::from_secs(1);
        let connection = Connection::open(address, limit, DEADLINE).await.ok()?;
        Some(GatewayConnection {
            gateway,
            connection,
            requests: 0,
        })
    }

    /// Sends a request; returns its outcome and whether the connection can be reused.
    async fn exchange(
        &self,
        current: &mut GatewayConnection,
        id: &str,
        kind: &str,
        draft: &Draft,
    ) -> (Outcome, bool) {
        current.requests += 1;
        let sent = self.checker.limits.now();
        self.checker.limits.record_sent(id, current.gateway);
        let request = request(id, draft);
        let answered = timeout(DEADLINE + Duration::from_secs(1), async {
            let response = current.connection.send(request).await?;
            let (parts, body) = response.into_parts();
            self.record_limit(&parts.headers, current.gateway);
            Ok::<_, Error>((parts, body.collect().await))
        });
        let answered = answered.await;
        let is_unsent = matches!(&answered, Ok(Err(error)) if error.is_unsent());
        if !is_unsent {
            let has_begun = matches!(&answered, Ok(Ok((parts, _))) if parts.status.is_success());
            let crashes = &self.checker.crashes;
            crashes.record_request(draft, current.gateway, sent, has_begun);
        }
        match answered {
            Ok(Ok((parts, Ok(body)))) => {
                let outcome =
                    self.check_answer(id, kind, parts.status, &parts.headers, &body.to_bytes());
                let is_open = current.connection.wait_ready().await;
                (outcome, is_open)
            }
            // The caller can tell from the incomplete body that the answer was cut off.
            Ok(Ok((_, Err(_)))) => (Outcome::Failed, false),
            // Nothing was sent, so the gateway does not have to answer.
            Ok(Err(error)) if error.is_unsent() => (Outcome::Failed, false),
            Ok(Err(_)) | Err(_) => (Outcome::Lost, false),
        }
    }

    fn record_limit(&self, headers: &HeaderMap, gateway: usize) {
        let target = headers.get(names::TARGET).and_then(|it| it.to_str().ok());
        if let Some(target) = target
            && headers.contains_key(names::RATE_LIMIT)
        {
            self.checker.limits.record_told(target, gateway);
        }
    }

    fn check_answer(
        &self,
        id: &str,
        kind: &str,
        status: StatusCode,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Outcome {
        let is_refusal = [408, 421, 429, 503].contains(&status.as_u16());
        if is_refusal {
            return Outcome::Refused;
        }
        if status == StatusCode::UNAUTHORIZED {
            self.checker.record_violation(format!(
                "{id} ({kind}) got 401 although every version holds its key"
            ));
        }
        if !status.is_success() {
            return Outcome::Failed;
        }
        let answered_id = headers.get(names::REQUEST_ID);
        let is_signed = headers.contains_key(names::SIGNATURE);
        if answered_id.is_none_or(|it| it != id) || !is_signed {
            self.checker.record_violation(format!(
                "{id} ({kind}) got the success answer of another request"
            ));
        }
        let is_whole = if matches!(kind, "talk" | "chat" | CRASHING) {
            let events = events(&String::from_utf8_lossy(body));
            self.checker.streams.check(id, &events);
            ids(&events) == (1..=EVENT_COUNT).collect::<Vec<u64>>()
        } else {
            *body == format!("answer to {id}")
        };
        if !is_whole {
            let text = String::from_utf8_lossy(body).into_owned();
            self.checker.record_violation(format!(
                "{id} ({kind}) got {text:?} instead of its complete answer"
            ));
        }
        Outcome::Served
    }
}

/// The ids of events, in order.
fn ids(events: &[Event]) -> Vec<u64> {
    events.iter().map(|event| event.id).collect()
}
