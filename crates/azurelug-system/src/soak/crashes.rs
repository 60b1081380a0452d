//! The parts of prompts that crash targets, and the requests with and without them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_testkit::crash::{Answered, CONTACT, Ledger, Request};
use azurelug_testkit::outage::Outages;
use rand::RngExt;
use rand_pcg::Pcg64;

/// Parts of prompts that crash no target.
const SOUND_PARTS: [&str; 4] = ["91bd", "a402", "77f0", "03cc"];

/// A part that crashes the targets of one service.
type Part = (String, String);

/// What a client put into a request.
#[derive(Clone, Debug)]
pub struct Draft {
    /// The path, which selects the route.
    pub path: &'static str,
    /// The account's key.
    pub key: &'static str,
    /// The parts of the prompt with their tokens.
    pub prompt: String,
}

/// What happened to one part.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Targets that it crashed.
    pub crashes: usize,
    /// When every gateway in contact must know it; none before the fifth crash.
    pub known_from: Option<Duration>,
    /// Requests with it that reached targets after that.
    pub late: usize,
    /// Sound requests before the first request with it.
    pub before: Answered,
    /// Sound requests when it must be known and requests with it still come.
    pub during: Answered,
}

#[derive(Default)]
struct State {
    ledgers: BTreeMap<Part, Ledger>,
    outages: Outages,
    /// Gateways under a fault, and since when.
    faulty: HashMap<usize, Duration>,
    /// Parts that callers use, with the share of their requests.
    used: Vec<(String, f64)>,
}

/// Records the crashes that requests caused, and the requests.
#[derive(Default)]
pub struct Crashes(Mutex<State>);

impl Crashes {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Makes a part crash each target of a service that begins to answer a request with it.
    pub fn add_part(&self, service: &str, part: &str) {
        let key = (service.to_owned(), part.to_owned());
        let ledger = Ledger::new(part);
        self.state().ledgers.entry(key).or_insert(ledger);
    }

    /// Has callers use a part in a share of their requests.
    pub fn start_use(&self, part: &str, share: f64) {
        self.state().used.push((part.to_owned(), share));
    }

    /// Ends the use of a part.
    pub fn end_use(&self, part: &str) {
        self.state().used.retain(|(used, _)| used != part);
    }

    /// Draws the prompt of a caller's request, with a sound part or one that is in use.
    pub fn draw_prompt(&self, random: &mut Pcg64) -> String {
        let used = self.state().used.clone();
        let mut used = used
            .into_iter()
            .filter(|(_, share)| random.random_bool(*share));
        let part = used.next().map(|(part, _)| part);
        let part = part.unwrap_or_else(|| SOUND_PARTS[random.random_range(0..4)].to_owned());
        let own = random.random::<u32>();
        format!("5c1e:800,{part}:400,{own:x}:250")
    }

    /// Records a request that has arrived at a target, and returns the part that crashes the
    /// target, if it has one.
    pub fn record_arrival(
        &self,
        service: &str,
        prompt: &str,
        gateway: Option<usize>,
        now: Duration,
    ) -> Option<String> {
        let parts = shared_parts(prompt);
        let gateway = gateway.map_or_else(|| "unknown".to_owned(), name);
        let mut found = None;
        for ((of, part), ledger) in &mut self.state().ledgers {
            if of == service && parts.contains(part) {
                ledger.record_arrival(&gateway, now);
                found = Some(part.clone());
            }
        }
        found
    }

    /// Records that a part has crashed a target.
    pub fn record_crash(&self, service: &str, part: &str, now: Duration) {
        let key = (service.to_owned(), part.to_owned());
        if let Some(ledger) = self.state().ledgers.get_mut(&key) {
            ledger.record_crash(now);
        }
    }

    /// Whether a request has no part that crashes targets.
    pub fn is_sound(&self, draft: &Draft) -> bool {
        self.state().is_sound(draft)
    }

    /// Records a client's request after its answer has begun or failed.
    pub fn record_request(&self, draft: &Draft, gateway: usize, sent: Duration, has_begun: bool) {
        let service = service(draft.path);
        let mut state = self.state();
        let request = Request {
            gateway: name(gateway),
            sent,
            route: draft.path.to_owned(),
            key: draft.key.to_owned(),
            parts: shared_parts(&draft.prompt),
            is_sound: state.is_sound(draft),
            has_begun,
        };
        let ledgers = state.ledgers.iter_mut();
        for (_, ledger) in ledgers.filter(|((of, _), _)| of == service) {
            ledger.record_request(request.clone());
        }
    }

    /// Records that a gateway is killed, stopped or frozen.
    pub fn start_fault(&self, gateway: usize, now: Duration) {
        self.state().faulty.insert(gateway, now);
    }

    /// Records the end of a gateway's fault.
    pub fn end_fault(&self, gateway: usize, now: Duration) {
        let mut state = self.state();
        if let Some(start) = state.faulty.remove(&gateway) {
            state.outages.record(&name(gateway), start, now + CONTACT);
        }
    }

    /// Records that a control daemon's fault starts or ends. Gateways are in contact again a while
    /// after it.
    pub fn record_control_fault(&self, now: Duration) {
        self.state().outages.record_all(now, now + CONTACT);
    }

    /// What happened to each part, by the part and its service.
    pub fn summary(&self) -> BTreeMap<String, Summary> {
        let state = self.state();
        let outages = state.all_outages();
        let ledgers = state.ledgers.iter();
        let summaries = ledgers.map(|((service, part), ledger)| {
            let (during, before) = ledger.answered(&outages);
            let summary = Summary {
                crashes: ledger.crash_count(),
                known_from: ledger.known_from(),
                late: ledger.late_arrivals(&outages).values().sum(),
                before,
                during,
            };
            (format!("{part} at {service}"), summary)
        });
        summaries.collect()
    }

    /// The broken rules, as text.
    pub fn violations(&self) -> Vec<String> {
        let state = self.state();
        let outages = state.all_outages();
        let mut violations = Vec::new();
        for ((service, part), ledger) in &state.ledgers {
            let found = ledger.violations(&outages);
            violations.extend(
                found
                    .iter()
                    .map(|it| format!("part {part} at {service}: {it}")),
            );
        }
        violations
    }
}

impl State {
    fn is_sound(&self, draft: &Draft) -> bool {
        let (service, parts) = (service(draft.path), shared_parts(&draft.prompt));
        let mut ledgers = self.ledgers.keys();
        !ledgers.any(|(of, part)| of == service && parts.contains(part))
    }

    /// The outages, with those that have not ended.
    fn all_outages(&self) -> Outages {
        let mut outages = self.outages.clone();
        for (gateway, start) in &self.faulty {
            outages.record(&name(*gateway), *start, Duration::MAX);
        }
        outages
    }
}

/// The parts of a prompt, without the last, which belongs to one request.
fn shared_parts(prompt: &str) -> Vec<String> {
    let parts = prompt.split(',').filter_map(|part| part.split_once(':'));
    let mut parts: Vec<String> = parts.map(|(id, _)| id.to_owned()).collect();
    parts.pop();
    parts
}

/// The service of a route in [`super::operator::configuration`].
fn service(path: &str) -> &'static str {
    match path.split('/').nth(1) {
        Some("look" | "book") => "desk",
        _ => "llm",
    }
}

fn name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}
