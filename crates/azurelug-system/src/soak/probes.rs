//! Callers that probe keys, one for each gateway: they send requests with removed keys, on kept and
//! new connections, whole or with bodies in two halves, also while the gateway is suspended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_platform::names::{PIECE_KEY, PIECES, PROMPT_PARTS, REQUEST_ID, TIME_LEFT};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::Options;
use super::checker::{Checker, Outcome};
use super::deployment::{Deployment, GatewayFaults};
use super::keys::{Credential, Probe, Removal};
use super::load::DEADLINE;

/// Range of the time between two probes at a gateway, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 40..160;

/// Range of the time between the halves of a body, or from the end of a suspension to the second
/// half, in milliseconds: from before a resumed gateway's first poll to well after it.
const HALF_PAUSE_MS: std::ops::Range<u64> = 0..1500;

/// Maximum number of unanswered probes at a gateway.
const MAX_PENDING: usize = 48;

/// Time within which a connection opens.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time within which an answer must come; longer than a suspension and a request's deadline.
const ANSWER_LIMIT: Duration = Duration::from_secs(14);

/// Interval at which the end of a suspension is noticed.
const SUSPENSION_POLL: Duration = Duration::from_millis(10);

/// Maximum number of kept connections to a gateway.
const MAX_KEPT: usize = 6;

/// A route that serves requests without a key in every version.
const OPEN: &str = "/open/x";

/// Paths of probes. The route `half` serves requests without a key in some versions.
const PATHS: [&str; 6] = ["/look/x", "/book/x", "/talk/x", "/chat/x", OPEN, "/half/x"];

#[derive(Clone)]
struct Prober {
    gateway: usize,
    address: SocketAddr,
    faults: Arc<GatewayFaults>,
    checker: Arc<Checker>,
    kept: Arc<Mutex<Vec<TcpStream>>>,
}

/// A request before it is sent.
struct Draft {
    id: String,
    credential: Credential,
    method: &'static str,
    path: &'static str,
    /// Times between the halves of the body: after the first half, and after a suspension that
    /// follows it.
    pauses: Option<[Duration; 2]>,
    is_on_new_connection: bool,
}

/// Starts the callers of a run.
pub fn start(deployment: &Deployment, options: &Options) -> Vec<JoinHandle<()>> {
    let gateways = deployment.gateways().into_iter().enumerate();
    let probers = gateways.map(|(gateway, address)| {
        let prober = Prober {
            gateway,
            address,
            faults: deployment.gateway_faults(),
            checker: deployment.checker(),
            kept: Arc::default(),
        };
        let random = Pcg64::seed_from_u64(options.seed * 1000 + 500 + gateway as u64);
        tokio::spawn(prober.run(options.seed, random))
    });
    probers.collect()
}

impl Prober {
    async fn run(self, seed: u64, mut random: Pcg64) {
        let mut pending = JoinSet::new();
        for number in 0_u64.. {
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
            while pending.try_join_next().is_some() {}
            if pending.len() >= MAX_PENDING {
                continue;
            }
            let id = format!("{seed}-probe-{}-{number}", self.gateway);
            if let Some(draft) = self.draw(id, &mut random) {
                pending.spawn(self.clone().send(draft));
            }
        }
    }

    /// Draws a request; none while the gateway is suspended and no key has been removed for long
    /// enough since.
    fn draw(&self, id: String, random: &mut Pcg64) -> Option<Draft> {
        let mut draft = Draft {
            id,
            credential: self.draw_credential(random)?,
            method: "GET",
            path: PATHS[random.random_range(0..PATHS.len())],
            pauses: None,
            is_on_new_connection: random.random(),
        };
        match draft.credential {
            Credential::None => draft.path = OPEN,
            Credential::Permanent => draft.path = "/look/x",
            Credential::Unknown | Credential::Rotated(_) if random.random_bool(0.6) => {
                draft.method = "POST";
                let pause = Duration::from_millis(random.random_range(HALF_PAUSE_MS));
                let after = Duration::from_millis(random.random_range(HALF_PAUSE_MS));
                draft.pauses = Some([pause, after]);
            }
            Credential::Unknown | Credential::Rotated(_) => {}
        }
        Some(draft)
    }

    fn draw_credential(&self, random: &mut Pcg64) -> Option<Credential> {
        let now = self.checker.limits.now();
        let mut removals = self.checker.keys.removals();
        if let Some(suspended) = self.faults.suspended_for(self.gateway) {
            removals.retain(|it| it.forbids(now) && it.at + suspended > now);
            return pick(&removals, random);
        }
        match random.random_range(0..10) {
            0 => Some(Credential::None),
            1 => Some(Credential::Permanent),
            2 => Some(Credential::Unknown),
            3 | 4 => {
                let keys = self.checker.keys.in_force();
                let key = *keys.get(random.random_range(0..keys.len().max(1)))?;
                Some(Credential::Rotated(key))
            }
            // Removed a moment ago, newest or any.
            5 => pick(&removals, random),
            6..8 => {
                removals.retain(|it| it.forbids(now));
                removals.last().map(|it| Credential::Rotated(it.key))
            }
            _ => {
                removals.retain(|it| it.forbids(now));
                pick(&removals, random)
            }
        }
    }

    fn kept(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.kept.lock().expect("the lock is not poisoned")
    }

    async fn send(self, draft: Draft) {
        let kept = (!draft.is_on_new_connection).then(|| self.kept().pop());
        let mut stream = match kept.flatten() {
            Some(stream) => stream,
            None => match timeout(CONNECT_LIMIT, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(_)) | Err(_) => return,
            },
        };
        let probe = Probe {
            credential: draft.credential,
            gateway: self.gateway,
            target: format!("{} {}", draft.method, draft.path),
            is_open: [OPEN, "/half/x"].contains(&draft.path),
            is_halved: draft.pauses.is_some(),
            is_at_suspended: self.faults.suspended_for(self.gateway).is_some(),
            sent: self.checker.limits.now(),
        };
        self.checker.limits.record_sent(&draft.id, self.gateway);
        self.checker.keys.record_probe(&draft.id, probe);
        let answer = self.exchange(&mut stream, &draft).await;
        if answer.as_ref().is_some_and(|it| it.status == 401) {
            self.checker.keys.check_denied(&draft.id);
        }
        if matches!(draft.credential, Credential::None | Credential::Permanent) {
            let outcome = match answer.as_ref().map(|it| it.status) {
                Some(200) => Outcome::Served,
                Some(408 | 421 | 429 | 503) => Outcome::Refused,
                Some(_) => Outcome::Failed,
                None => Outcome::Lost,
            };
            self.checker.record_outcome(&draft.id, "probe", outcome);
        }
        if answer.is_some_and(|it| it.is_reusable) && self.kept().len() < MAX_KEPT {
            self.kept().push(stream);
        }
    }

    /// Sends a request and reads its answer; none if the connection fails.
    async fn exchange(&self, stream: &mut TcpStream, draft: &Draft) -> Option<Answer> {
        let (first, second) = draft.text();
        stream.write_all(first.as_bytes()).await.ok()?;
        if let Some([pause, after]) = draft.pauses {
            sleep(pause).await;
            if self.faults.suspended_for(self.gateway).is_some() {
                while self.faults.suspended_for(self.gateway).is_some() {
                    sleep(SUSPENSION_POLL).await;
                }
                sleep(after).await;
            }
            stream.write_all(second.as_bytes()).await.ok()?;
        }
        timeout(ANSWER_LIMIT, read_answer(stream)).await.ok()?
    }
}

fn pick(removals: &[Removal], random: &mut Pcg64) -> Option<Credential> {
    let removal = removals.get(random.random_range(0..removals.len().max(1)));
    removal.map(|it| Credential::Rotated(it.key))
}

impl Draft {
    /// The head with the first half of the body, and the second half.
    fn text(&self) -> (String, &'static str) {
        let Self {
            id, method, path, ..
        } = self;
        let key = self.credential.key();
        let key = key.map(|key| format!("Authorization: Bearer {key}\r\n"));
        let key = key.unwrap_or_default();
        let deadline = DEADLINE.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: carts.example\r\n{key}{REQUEST_ID}: {id}\r\n\
             {TIME_LEFT}: {deadline}\r\n{PIECES}: 2,3\r\n{PIECE_KEY}: k\r\n\
             {PROMPT_PARTS}: 5c1e:800,91bd:410\r\n"
        );
        match self.pauses {
            Some(_) => (head + "Content-Length: 10\r\n\r\n12345", "67890"),
            None => (head + "\r\n", ""),
        }
    }
}

struct Answer {
    status: u16,
    is_reusable: bool,
}

/// Reads an answer. Connections are reusable after bodies with a length.
async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut read = Vec::new();
    let end = loop {
        if let Some(at) = read.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length = field("content-length:").and_then(|it| it.trim().parse::<usize>().ok());
    let is_closed = field("connection:").is_some_and(|it| it.contains("close"));
    let mut is_reusable = false;
    if let Some(length) = length {
        while read.len() < end + length {
            if stream.read_buf(&mut read).await.ok()? == 0 {
                return None;
            }
        }
        is_reusable = !is_closed;
    }
    Some(Answer {
        status,
        is_reusable,
    })
}
