//! The requests that crash targets, by a part of their prompt or as a whole, and those beside them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_testkit::crash::{Answered, CONTACT, Cause, Identity, Ledger, Request};
use azurelug_testkit::outage::Outages;
use http::Method;
use rand::RngExt;
use rand_pcg::Pcg64;

/// Parts of prompts that crash no target.
const SOUND_PARTS: [&str; 4] = ["91bd", "a402", "77f0", "03cc"];

/// What a client put into a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The method.
    pub method: Method,
    /// The path, which selects the route, and the query.
    pub path: &'static str,
    /// The account's key.
    pub key: &'static str,
    /// The parts of the prompt with their tokens.
    pub prompt: String,
    /// The body.
    pub body: String,
}

impl Draft {
    /// A POST of the account `carts` whose body belongs to its prompt.
    #[must_use]
    pub fn post(path: &'static str, prompt: String) -> Self {
        Self {
            method: Method::POST,
            path,
            key: "key-1",
            body: format!("a body with {prompt}"),
            prompt,
        }
    }

    /// Whether it may run once only.
    #[must_use]
    pub fn is_unsafe(&self) -> bool {
        route(self.path) == "book"
    }

    fn identity(&self) -> Identity {
        Identity {
            method: self.method.to_string(),
            path: self.path.to_owned(),
            account: account(self.key).to_owned(),
            body: self.body.clone().into_bytes(),
        }
    }
}

/// A request that has arrived at a target.
#[derive(Debug)]
pub struct Arrival<'a> {
    /// What its repeats share with it.
    pub identity: Identity,
    /// Its prompt.
    pub prompt: &'a str,
    /// The gateway that sent it, if it is known.
    pub gateway: Option<usize>,
}

/// What happened to one cause of crashes.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Targets that it crashed.
    pub crashes: usize,
    /// When every gateway in contact must know it; none before enough crashes.
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
    /// By service and cause.
    ledgers: BTreeMap<(String, Cause), Ledger>,
    outages: Outages,
    /// Gateways under a fault, and since when.
    faulty: HashMap<usize, Duration>,
    /// Parts that callers use, with the share of their requests.
    used: Vec<(String, f64)>,
    /// Requests that callers send, with the share of their requests.
    requests: Vec<(Draft, f64)>,
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
        self.add(service, Cause::Part(part.to_owned()));
    }

    /// Makes a request crash each target of its service that begins to answer it.
    pub fn add_request(&self, draft: &Draft) {
        self.add(service(draft.path), Cause::Request(draft.identity()));
    }

    fn add(&self, service: &str, cause: Cause) {
        let ledger = Ledger::new(cause.clone());
        let key = (service.to_owned(), cause);
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

    /// Has callers send a request as a share of theirs.
    pub fn start_request(&self, draft: &Draft, share: f64) {
        self.state().requests.push((draft.clone(), share));
    }

    /// Ends the use of a request.
    pub fn end_request(&self, draft: &Draft) {
        self.state().requests.retain(|(used, _)| used != draft);
    }

    /// Draws whether a caller sends a request that is in use.
    pub fn draw_request(&self, random: &mut Pcg64) -> Option<Draft> {
        let state = self.state();
        let mut used = state.requests.iter();
        let drawn = used.find(|(_, share)| random.random_bool(*share));
        drawn.map(|(draft, _)| draft.clone())
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

    /// Records a request that has arrived at a target, and returns what crashes the target, if
    /// anything does.
    pub fn record_arrival(
        &self,
        service: &str,
        arrival: &Arrival<'_>,
        now: Duration,
    ) -> Option<Cause> {
        let parts = shared_parts(arrival.prompt);
        let gateway = arrival.gateway.map_or_else(|| "unknown".to_owned(), name);
        let mut found = None;
        for ((of, cause), ledger) in &mut self.state().ledgers {
            if of == service && cause.is_in(&arrival.identity, &parts) {
                ledger.record_arrival(&gateway, now);
                found = Some(cause.clone());
            }
        }
        found
    }

    /// Records that a cause has crashed a target.
    pub fn record_crash(&self, service: &str, cause: &Cause, now: Duration) {
        let key = (service.to_owned(), cause.clone());
        if let Some(ledger) = self.state().ledgers.get_mut(&key) {
            ledger.record_crash(now);
        }
    }

    /// Whether neither a request nor a part of it crashes targets.
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
            route: route(draft.path).to_owned(),
            identity: draft.identity(),
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

    /// When every gateway in contact must know that a request crashes targets; none before enough
    /// crashes.
    pub fn known_from(&self, draft: &Draft) -> Option<Duration> {
        let state = self.state();
        let ledgers = state.ledgers_of(draft);
        ledgers.filter_map(Ledger::known_from).min()
    }

    /// What happened to each cause, by the cause and its service.
    pub fn summary(&self) -> BTreeMap<String, Summary> {
        let state = self.state();
        let outages = state.all_outages();
        let ledgers = state.ledgers.iter();
        let summaries = ledgers.map(|((service, cause), ledger)| {
            let (during, before) = ledger.answered(&outages);
            let summary = Summary {
                crashes: ledger.crash_count(),
                known_from: ledger.known_from(),
                late: ledger.late_arrivals(&outages).values().sum(),
                before,
                during,
            };
            (format!("{cause} at {service}"), summary)
        });
        summaries.collect()
    }

    /// The broken rules, as text.
    pub fn violations(&self) -> Vec<String> {
        let state = self.state();
        let outages = state.all_outages();
        let mut violations = Vec::new();
        for ((service, cause), ledger) in &state.ledgers {
            let found = ledger.violations(&outages);
            violations.extend(found.iter().map(|it| format!("{cause} at {service}: {it}")));
        }
        violations
    }
}

impl State {
    /// The ledgers of the causes that a request has.
    fn ledgers_of(&self, draft: &Draft) -> impl Iterator<Item = &Ledger> {
        let (service, identity) = (service(draft.path), draft.identity());
        let parts = shared_parts(&draft.prompt);
        let ledgers = self.ledgers.iter();
        let of_draft =
            ledgers.filter(move |((of, cause), _)| of == service && cause.is_in(&identity, &parts));
        of_draft.map(|(_, ledger)| ledger)
    }

    fn is_sound(&self, draft: &Draft) -> bool {
        self.ledgers_of(draft).next().is_none()
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

/// The route of a path.
fn route(path: &str) -> &str {
    path.split('/').nth(1).unwrap_or_default()
}

/// The service of a path in [`super::operator::configuration`].
fn service(path: &str) -> &'static str {
    match route(path) {
        "look" | "book" => "desk",
        _ => "llm",
    }
}

/// The account of a key in [`super::operator::configuration`].
fn account(key: &str) -> &'static str {
    match key {
        "key-2" => "tolls",
        _ => "carts",
    }
}

fn name(gateway: usize) -> String {
    format!("gateway-{gateway}")
}
