//! Discrete-event simulation of staged services: dispatchers, targets that run one call at a time,
//! and requests with dependent stages.
#![allow(dead_code, reason = "not every program uses all of it")]

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use azurelug_core::gateway::dispatch::{
    Action, CallEnd, CallKey, DispatchTarget, Dispatcher, Released, Token,
};
use azurelug_core::gateway::plan::{Bounds, Plan};
use azurelug_types::deployment::{
    Batch, Deployment, RequestKind, Route, Service, ServiceKey, Stage, WeightedService,
};
use azurelug_types::fleet::{Booking, ItemOutcome, Pieces, PiecesError, Source, WorkItem};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// One-way latency between two gateways, including the processing on a small VM.
const HOP_LATENCY: Duration = Duration::from_millis(5);

/// Time of a call beyond the configured times: the connection and the transfer of inputs.
const CALL_OVERHEAD: Duration = Duration::from_millis(12);

/// Time of a model engine to its first event.
const ENGINE_TIME: Duration = Duration::from_millis(60);

/// Time from the start of a call until its inputs are released.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(115);

/// Longest wait of a client before its retry, and the longest `Retry-After` of a gateway, as a
/// fraction of the client's remaining time.
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// Default `Retry-After` of a gateway.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A class of requests.
#[derive(Clone)]
pub(crate) struct Class {
    pub(crate) route: Route,
    /// Requests a second as a function of the time in seconds.
    pub(crate) rate: Rc<dyn Fn(f64) -> f64>,
    /// Minimum and maximum number of pieces of each stage.
    pub(crate) pieces: Vec<(u16, u16)>,
    /// Fraction of the requests that skip the first stage.
    pub(crate) skip_rate: f64,
    /// Actual time of a piece of each stage, relative to the configured one.
    pub(crate) work: Vec<f64>,
}

/// Results for the requests of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) submitted: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Requests that were refused after a stage had run.
    pub(crate) wasted: u32,
    /// Total size of all requests, and of those in time; the mean size is 1.
    pub(crate) total_value: f64,
    pub(crate) value_in_time: f64,
}

impl Outcome {
    pub(crate) fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted.max(1))
    }

    pub(crate) fn value_fraction(&self) -> f64 {
        self.value_in_time / self.total_value.max(f64::MIN_POSITIVE)
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    InTime,
    Late,
    Refused,
    Abandoned,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    request: usize,
    pub(crate) class: usize,
    pub(crate) account: u64,
    pub(crate) end: End,
    pub(crate) size: f64,
    /// When the client sent its first attempt.
    pub(crate) first_arrived: Duration,
    /// When this attempt arrived.
    pub(crate) arrived: Duration,
    pub(crate) ended: Duration,
    pub(crate) is_retry: bool,
    /// Whether the client retries.
    pub(crate) is_retried: bool,
    /// Time of targets that the attempt used.
    pub(crate) spent: Duration,
}

/// Time of targets that was used for nothing, and all that was used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetTime {
    pub(crate) total: Duration,
    /// For pieces whose deadline had passed at their turn.
    pub(crate) late: Duration,
    pub(crate) late_pieces: u32,
    pub(crate) missing_inputs: u32,
}

/// Statistics of the calls to a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Calls {
    pub(crate) calls: u32,
    pub(crate) pieces: u32,
    pub(crate) small: u32,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Book {
        request: usize,
        stage: usize,
    },
    Order {
        request: usize,
        stage: usize,
    },
    Cancel {
        request: usize,
    },
    Refused {
        request: usize,
        retry_after: Option<Duration>,
    },
    Retry {
        request: usize,
    },
    Deadline {
        request: usize,
    },
    CallEnded {
        zone_dispatcher: usize,
        call: CallKey,
        ends: Vec<ItemOutcome>,
    },
    Release {
        zone_dispatcher: usize,
        results: Vec<Released>,
    },
    Wake {
        zone_dispatcher: usize,
    },
    Ended {
        request: usize,
        stage: usize,
    },
    Answered {
        request: usize,
    },
}

#[derive(Clone)]
struct Request {
    class: usize,
    account: u64,
    gateway: usize,
    home: usize,
    pieces: Vec<u16>,
    first_arrived: Duration,
    arrived: Duration,
    is_retry: bool,
    spent: Duration,
    /// When the orders of the stages ended.
    made: Vec<Duration>,
    value_rank: f64,
    size: f64,
    plan: Plan,
    done: Vec<bool>,
    started: Vec<bool>,
    handles: Vec<Vec<(usize, Released)>>,
    /// Whether a refusal is on its way to the gateway.
    is_refused: bool,
    is_over: bool,
    has_run: bool,
}

struct ZoneDispatcher {
    service: usize,
    dispatcher: Dispatcher,
    free_at: HashMap<TargetName, Duration>,
    woken_at: Option<Duration>,
}

/// State of the simulation.
pub(crate) struct Simulation {
    deployment: Deployment,
    classes: Vec<Class>,
    zone_dispatchers: Vec<ZoneDispatcher>,
    zones: usize,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    requests: Vec<Request>,
    tokens: HashMap<(usize, Token), (usize, usize)>,
    random: Pcg64,
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) calls: Vec<Calls>,
    pub(crate) records: Vec<Record>,
    pub(crate) target_time: TargetTime,
    /// Whether bookings arrive together with the first stage's order, as those of a gateway do,
    /// instead of before it.
    pub(crate) books_in_parallel: bool,
    /// Longest additional time of a call and of an engine to its first event, beyond the usual.
    pub(crate) jitter: Duration,
    /// Whether clients retry once.
    pub(crate) has_retries: bool,
    /// Number of gateways; each knows only the queue delays that it was told.
    pub(crate) gateways: usize,
    /// Draws the account of a request from its class, the time and a random number.
    pub(crate) account: fn(usize, Duration, f64) -> u64,
    delays: HashMap<(usize, usize), (Duration, Duration)>,
    until: Duration,
}

pub(crate) fn service(name: &str, max_pieces: usize, piece_us: u64, room: u64) -> Service {
    Service {
        name: ServiceName::from(name),
        max_connections: 100,
        cold_start_time: Duration::ZERO,
        cold_rate_limit: 0.0,
        engine: None,
        batch: Some(Batch {
            slots: 1,
            queue: 2,
            max_pieces,
            call_time: Duration::from_millis(200),
            piece_time: Duration::from_micros(piece_us),
            result_capacity: room,
            result_lifetime: Duration::from_secs(4),
        }),
    }
}

/// Creates a route; each stage has its service, the stages it depends on and the size of a result.
pub(crate) fn route(
    name: &str,
    objective_ms: u64,
    priority: u8,
    stages: &[(u16, &[u8], u64)],
) -> Route {
    let stages = stages.iter().map(|(service, after, result_bytes)| Stage {
        service: ServiceKey(*service),
        after: after.to_vec(),
        result_bytes: *result_bytes,
    });
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        timeout: Duration::from_secs(6),
        latency_objective: Duration::from_millis(objective_ms),
        event_gap_objective: Duration::from_millis(250),
        priority,
        services: vec![WeightedService {
            service: ServiceKey(0),
            weight: 1,
        }],
        max_attempts: 2,
        stages: stages.collect(),
        is_anonymous: true,
    }
}

impl Simulation {
    /// Creates a simulation; `targets` is the number of targets of each service in each zone.
    pub(crate) fn new(
        services: Vec<Service>,
        classes: Vec<Class>,
        targets: &[usize],
        zones: usize,
        seed: u64,
    ) -> Self {
        let mut zone_dispatchers = Vec::new();
        for (at, service) in services.iter().enumerate() {
            for (zone, name) in ZONES.iter().enumerate().take(zones) {
                let mut dispatcher = Dispatcher::new(service.batch.unwrap());
                let listed: Vec<DispatchTarget> = (0..targets[at])
                    .map(|number| DispatchTarget {
                        name: TargetName(format!("{}-{zone}-{number}", service.name)),
                        address: format!("10.{at}.{zone}.{}:80", number + 1).parse().unwrap(),
                        zone: ZoneName::from(*name),
                    })
                    .collect();
                dispatcher.list(&listed, Duration::ZERO);
                zone_dispatchers.push(ZoneDispatcher {
                    service: at,
                    dispatcher,
                    free_at: HashMap::new(),
                    woken_at: None,
                });
            }
        }
        Self {
            calls: vec![Calls::default(); services.len()],
            deployment: Deployment {
                services,
                ..Deployment::default()
            },
            outcomes: vec![Outcome::default(); classes.len()],
            classes,
            zone_dispatchers,
            zones,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            requests: Vec::new(),
            tokens: HashMap::new(),
            random: Pcg64::seed_from_u64(seed),
            records: Vec::new(),
            target_time: TargetTime::default(),
            books_in_parallel: false,
            jitter: Duration::ZERO,
            has_retries: false,
            gateways: 1,
            account: |_, _, _| 0,
            delays: HashMap::new(),
            until: Duration::ZERO,
        }
    }

    /// Shares the targets fairly between accounts.
    pub(crate) fn share_fairly(&mut self) {
        for it in &mut self.zone_dispatchers {
            let batch = self.deployment.services[it.service].batch.unwrap();
            let dispatcher = std::mem::replace(&mut it.dispatcher, Dispatcher::new(batch));
            it.dispatcher = dispatcher.with_fair_shares();
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    /// Generates load until `until`, and runs until all requests have ended.
    pub(crate) fn run(&mut self, until: Duration) {
        self.until = until;
        for class in 0..self.classes.len() {
            self.schedule(Duration::ZERO, Event::Arrival(class));
        }
        while let Some(((time, _), event)) = self.events.pop_first() {
            self.now = time;
            self.handle(event);
        }
        // Calls may have run on after their requests ended.
        for record in &mut self.records {
            record.spent = self.requests[record.request].spent;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(class) => self.arrive(class),
            Event::Book { request, stage } => self.book(request, stage),
            Event::Order { request, stage } => self.submit_order(request, stage),
            Event::Cancel { request } => self.cancel(request),
            Event::Refused {
                request,
                retry_after,
            } => self.refuse(request, retry_after),
            Event::Retry { request } => self.retry(request),
            Event::Deadline { request } => self.end(request, End::Abandoned),
            Event::CallEnded {
                zone_dispatcher,
                call,
                ends,
            } => {
                let end = CallEnd::Items(ends);
                let actions = self.zone_dispatchers[zone_dispatcher]
                    .dispatcher
                    .complete_call(call, end, self.now);
                self.perform(zone_dispatcher, actions);
            }
            Event::Release {
                zone_dispatcher,
                results,
            } => {
                let actions = self.zone_dispatchers[zone_dispatcher]
                    .dispatcher
                    .release(&results, self.now);
                self.perform(zone_dispatcher, actions);
                let actions = self.zone_dispatchers[zone_dispatcher]
                    .dispatcher
                    .advance(self.now);
                self.perform(zone_dispatcher, actions);
            }
            Event::Wake { zone_dispatcher } => {
                if self.zone_dispatchers[zone_dispatcher].woken_at == Some(self.now) {
                    self.zone_dispatchers[zone_dispatcher].woken_at = None;
                    let actions = self.zone_dispatchers[zone_dispatcher]
                        .dispatcher
                        .advance(self.now);
                    self.perform(zone_dispatcher, actions);
                }
            }
            Event::Ended { request, stage } => self.stage_ended(request, stage),
            Event::Answered { request } => self.answered(request),
        }
    }

    fn arrive(&mut self, class: usize) {
        let rate = (self.classes[class].rate)(self.now.as_secs_f64());
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let next = self.now + Duration::from_secs_f64(gap);
        if next < self.until {
            self.schedule(next, Event::Arrival(class));
        }
        let kind = self.classes[class].clone();
        let skips = self.random.random::<f64>() < kind.skip_rate;
        let pieces: Vec<u16> = kind
            .pieces
            .iter()
            .enumerate()
            .map(|(at, &(least, most))| {
                if at == 0 && skips {
                    0
                } else {
                    self.random.random_range(least..=most)
                }
            })
            .collect();
        // Sizes vary by more than a factor of ten, with a mean of 1.
        let rank = self.random.random::<f64>();
        let size = 0.2 + 2.4 * rank * rank;
        self.outcomes[class].submitted += 1;
        self.outcomes[class].total_value += size;
        let gateway = self.random.random_range(0..self.gateways);
        let account = (self.account)(class, self.now, self.random.random());
        let home = self.random.random_range(0..self.zones);
        self.admit(Request {
            class,
            account,
            gateway,
            home,
            first_arrived: self.now,
            arrived: self.now,
            is_retry: false,
            spent: Duration::ZERO,
            value_rank: rank,
            size,
            plan: Plan {
                steps: Vec::new(),
                usual: Duration::ZERO,
                is_queued: false,
            },
            done: Vec::new(),
            started: Vec::new(),
            handles: Vec::new(),
            made: vec![Duration::ZERO; pieces.len()],
            pieces,
            is_refused: false,
            is_over: false,
            has_run: false,
        });
    }

    /// A client sends a request for the second time.
    fn retry(&mut self, request: usize) {
        let gateway = self.random.random_range(0..self.gateways);
        let home = self.random.random_range(0..self.zones);
        let first = self.requests[request].clone();
        self.admit(Request {
            gateway,
            home,
            arrived: self.now,
            is_retry: true,
            spent: Duration::ZERO,
            is_refused: false,
            is_over: false,
            has_run: false,
            ..first
        });
    }

    fn admit(&mut self, request: Request) {
        let key = self.requests.len();
        let is_skipped: Vec<bool> = request.pieces.iter().map(|it| *it == 0).collect();
        self.requests.push(Request {
            handles: vec![Vec::new(); is_skipped.len()],
            done: is_skipped.clone(),
            started: is_skipped,
            ..request
        });
        let plan = self.plan(key);
        let later = plan.steps.iter().enumerate();
        let later = later.filter(|(_, step)| step.pieces > 0 && !step.after.is_empty());
        let later: Vec<usize> = later.map(|(stage, _)| stage).collect();
        let books_first = !self.books_in_parallel || plan.books_first(&self.bounds(key));
        self.requests[key].plan = plan;
        for stage in later {
            let request = key;
            if self.due(request, stage) <= self.now {
                continue;
            }
            if books_first {
                self.book(request, stage);
            } else {
                self.schedule(self.now + HOP_LATENCY, Event::Book { request, stage });
            }
        }
        let deadline = self.bounds(key).deadline;
        self.schedule(deadline, Event::Deadline { request: key });
        if !self.requests[key].is_refused {
            self.start_ready(key);
        }
    }

    /// Plans a request by the queue delays that its gateway knows.
    fn plan(&self, request: usize) -> Plan {
        let it = &self.requests[request];
        let services = &self.deployment.services;
        let wait = |service: &Service| {
            let position = services.iter().position(|other| other.name == service.name);
            let zone_dispatcher = position.unwrap() * self.zones + it.home;
            let known = self.delays.get(&(it.gateway, zone_dispatcher));
            known.map_or(Duration::ZERO, |(delay, at)| {
                delay.saturating_sub(self.now - *at)
            })
        };
        let route = &self.classes[it.class].route;
        Plan::new(&self.deployment, route, &it.pieces, wait).unwrap()
    }

    fn record_delay(&mut self, request: usize, zone_dispatcher: usize) {
        let dispatcher = &self.zone_dispatchers[zone_dispatcher].dispatcher;
        let delay = dispatcher.delay(self.now).unwrap_or_default();
        let gateway = self.requests[request].gateway;
        self.delays
            .insert((gateway, zone_dispatcher), (delay, self.now));
    }

    fn dispatcher_of(&self, request: usize, stage: usize) -> usize {
        let it = &self.requests[request];
        let service = self.classes[it.class].route.stages[stage].service;
        usize::from(service.0) * self.zones + it.home
    }

    fn bounds(&self, request: usize) -> Bounds {
        let it = &self.requests[request];
        let route = &self.classes[it.class].route;
        Bounds {
            arrived: it.arrived,
            due: it.arrived + route.latency_objective,
            deadline: it.first_arrived + route.timeout,
            limit: route.timeout,
            is_resumed: false,
        }
    }

    fn due(&self, request: usize, stage: usize) -> Duration {
        let bounds = self.bounds(request);
        self.requests[request].plan.due(stage, bounds.due)
    }

    fn admission_due(&self, request: usize, stage: usize) -> Duration {
        let bounds = self.bounds(request);
        self.requests[request].plan.admission_due(stage, &bounds)
    }

    /// Time left until a stage is given up, in milliseconds.
    fn stage_time_left(&self, request: usize, stage: usize) -> u64 {
        let rest = self.requests[request].plan.steps[stage].rest;
        let give_up = self.bounds(request).give_up_at(rest);
        give_up.saturating_sub(self.now).as_millis() as u64
    }

    fn book(&mut self, request: usize, stage: usize) {
        let it = &self.requests[request];
        if it.is_over {
            return;
        }
        let route = &self.classes[it.class].route;
        let due = self.admission_due(request, stage);
        let service = self.deployment.service(route.stages[stage].service);
        let booking = Booking {
            service: service.name.clone(),
            scope: None,
            request: format!("r{request}"),
            stage: u8::try_from(stage).unwrap(),
            kind: (it.class * 8 + stage) as u64,
            pieces: it.plan.steps[stage].pieces,
            rank: u16::from(route.priority),
            worth: it.value_rank,
            due_ms: due.saturating_sub(self.now).as_millis() as u64,
            deadline_ms: self.stage_time_left(request, stage),
            account: it.account,
            digest: 0,
        };
        let zone_dispatcher = self.dispatcher_of(request, stage);
        let dispatcher = &mut self.zone_dispatchers[zone_dispatcher].dispatcher;
        let booked = dispatcher.book(&booking, self.now);
        self.record_delay(request, zone_dispatcher);
        if let Err(error) = booked {
            self.refused(request, &error);
        }
    }

    fn refused(&mut self, request: usize, error: &PiecesError) {
        let retry_after = match error {
            PiecesError::Late { retry_after_ms } => Some(Duration::from_millis(*retry_after_ms)),
            _ => None,
        };
        let refused = Event::Refused {
            request,
            retry_after,
        };
        self.schedule(self.now + HOP_LATENCY, refused);
        self.requests[request].is_refused = true;
    }

    /// Ends an attempt; the client retries after a third of its time at most.
    fn refuse(&mut self, request: usize, backlog: Option<Duration>) {
        if self.requests[request].is_over {
            return;
        }
        let left = self.bounds(request).deadline.saturating_sub(self.now);
        let longest = left.mul_f64(MAX_RETRY_AFTER_FRACTION);
        let spread = self.random.random_range(0.7..1.0);
        let after = backlog.map_or(RETRY_AFTER, |it| it.max(longest.mul_f64(spread)));
        if self.has_retries && !self.requests[request].is_retry {
            let at = self.now + HOP_LATENCY + after.min(longest);
            self.schedule(at, Event::Retry { request });
        }
        self.end(request, End::Refused);
    }

    fn cancel(&mut self, request: usize) {
        for stage in 0..self.requests[request].pieces.len() {
            let zone_dispatcher = self.dispatcher_of(request, stage);
            let dispatcher = &mut self.zone_dispatchers[zone_dispatcher].dispatcher;
            dispatcher.unbook(&format!("r{request}"));
            let token = Token((request * 8 + stage) as u64);
            let actions = dispatcher.cancel(token, self.now);
            self.perform(zone_dispatcher, actions);
        }
    }

    /// Records the end of an attempt and frees what it holds.
    fn end(&mut self, request: usize, end: End) {
        let it = &mut self.requests[request];
        if std::mem::replace(&mut it.is_over, true) {
            return;
        }
        let is_retried = end == End::Refused && self.has_retries && !it.is_retry;
        self.records.push(Record {
            request,
            class: it.class,
            account: it.account,
            end,
            size: it.size,
            first_arrived: it.first_arrived,
            arrived: it.arrived,
            ended: self.now,
            is_retry: it.is_retry,
            is_retried,
            spent: it.spent,
        });
        let outcome = &mut self.outcomes[it.class];
        match end {
            End::InTime => {
                outcome.in_time += 1;
                outcome.value_in_time += it.size;
            }
            End::Late | End::Abandoned => outcome.late += 1,
            End::Refused => {
                outcome.refused += u32::from(!is_retried);
                outcome.wasted += u32::from(it.has_run);
            }
        }
        if matches!(end, End::Refused | End::Abandoned) {
            self.schedule(self.now + HOP_LATENCY, Event::Cancel { request });
        }
        self.release(request, |_| true);
    }

    fn release(&mut self, request: usize, stages: impl Fn(usize) -> bool) {
        let mut by_dispatcher: HashMap<usize, Vec<Released>> = HashMap::new();
        let handles = &mut self.requests[request].handles;
        for (stage, held) in handles.iter_mut().enumerate() {
            if stages(stage) {
                for (zone_dispatcher, released) in held.drain(..) {
                    by_dispatcher
                        .entry(zone_dispatcher)
                        .or_default()
                        .push(released);
                }
            }
        }
        let at = self.now + HOP_LATENCY + Duration::from_millis(25);
        for (zone_dispatcher, results) in by_dispatcher {
            self.schedule(
                at,
                Event::Release {
                    zone_dispatcher,
                    results,
                },
            );
        }
    }

    fn start_ready(&mut self, request: usize) {
        let at = self.now + HOP_LATENCY;
        for stage in 0..self.requests[request].plan.steps.len() {
            let it = &mut self.requests[request];
            let after = &it.plan.steps[stage].after;
            if !it.started[stage] && after.iter().all(|&before| it.done[usize::from(before)]) {
                it.started[stage] = true;
                self.schedule(at, Event::Order { request, stage });
            }
        }
        let it = &self.requests[request];
        if it.done.iter().all(|done| *done) {
            let more = self.jitter.mul_f64(self.random.random::<f64>());
            self.schedule(self.now + ENGINE_TIME + more, Event::Answered { request });
        }
    }

    fn submit_order(&mut self, request: usize, stage: usize) {
        if self.requests[request].is_over {
            return;
        }
        // Queue delays have changed since the first stage.
        self.requests[request].plan = self.plan(request);
        let due = if self.requests[request].plan.steps[stage].after.is_empty() {
            self.admission_due(request, stage)
        } else {
            self.due(request, stage)
        };
        let due = due.as_millis() as i64 - self.now.as_millis() as i64;
        let deadline_ms = self.stage_time_left(request, stage);
        let it = &self.requests[request];
        let route = &self.classes[it.class].route;
        let order = Pieces {
            service: self
                .deployment
                .service(route.stages[stage].service)
                .name
                .clone(),
            scope: None,
            home: ZoneName::from(ZONES[it.home]),
            crossing_bytes: 0,
            request: format!("r{request}"),
            stage: u8::try_from(stage).unwrap(),
            kind: (it.class * 8 + stage) as u64,
            pieces: (0..it.plan.steps[stage].pieces).collect(),
            source: if stage == 0 {
                Source::Key(String::new())
            } else {
                Source::Results(Vec::new())
            },
            result_bytes: route.stages[stage].result_bytes,
            rank: u16::from(route.priority),
            worth: it.value_rank,
            due_ms: due,
            deadline_ms,
            account: it.account,
            digest: 0,
        };
        let zone_dispatcher = self.dispatcher_of(request, stage);
        let token = Token((request * 8 + stage) as u64);
        self.tokens
            .insert((zone_dispatcher, token), (request, stage));
        let actions = self.zone_dispatchers[zone_dispatcher]
            .dispatcher
            .submit(token, order, self.now);
        self.perform(zone_dispatcher, actions);
    }

    fn perform(&mut self, zone_dispatcher: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call,
                    target,
                    items,
                    ..
                } => {
                    self.call(zone_dispatcher, call, &target, &items);
                }
                Action::End { token, result } => {
                    let (request, stage) = self.tokens[&(zone_dispatcher, token)];
                    self.record_delay(request, zone_dispatcher);
                    match result {
                        Ok(handles) => {
                            let results = handles.into_iter().map(|handle| {
                                let maker = handle.split('/').next().unwrap().parse().unwrap();
                                (zone_dispatcher, Released { handle, maker })
                            });
                            self.requests[request].handles[stage] = results.collect();
                            self.requests[request].made[stage] = self.now;
                            self.schedule(self.now + HOP_LATENCY, Event::Ended { request, stage });
                        }
                        Err(error) => self.refused(request, &error),
                    }
                }
                Action::Release { .. } => {}
            }
        }
        let now = self.now;
        let next = self.zone_dispatchers[zone_dispatcher]
            .dispatcher
            .next_deadline(now);
        let next = next.map(|next| next.max(now + Duration::from_millis(2)));
        let woken = &mut self.zone_dispatchers[zone_dispatcher].woken_at;
        if let Some(next) = next
            && woken.is_none_or(|at| next < at)
        {
            *woken = Some(next);
            self.schedule(next, Event::Wake { zone_dispatcher });
        }
    }

    /// Runs a call on a target that runs one at a time. Pieces whose deadline has passed at their
    /// turn are late; the others fetch their inputs.
    fn call(
        &mut self,
        zone_dispatcher: usize,
        call: CallKey,
        target: &DispatchTarget,
        items: &[WorkItem],
    ) {
        let service = self.zone_dispatchers[zone_dispatcher].service;
        let batch = self.deployment.services[service].batch.unwrap();
        let free_at = &mut self.zone_dispatchers[zone_dispatcher].free_at;
        let start = free_at
            .get(&target.name)
            .map_or(self.now, |free| (*free).max(self.now));
        let fixed = batch.call_time + CALL_OVERHEAD;
        let share = fixed / u32::try_from(items.len()).unwrap();
        let mut time = fixed;
        let mut ends = Vec::new();
        for item in items {
            let request: usize = item.request[1..].parse().unwrap();
            let stage = usize::from(item.stage);
            let it = &mut self.requests[request];
            if self.now + item.time_left <= start + CALL_OVERHEAD {
                self.target_time.late += share;
                self.target_time.late_pieces += 1;
                ends.push(ItemOutcome::Late);
                continue;
            }
            let gone = |before: &u8| it.made[usize::from(*before)] + batch.result_lifetime < start;
            if it.plan.steps[stage].after.iter().any(gone) {
                self.target_time.missing_inputs += 1;
                it.spent += share;
                ends.push(ItemOutcome::InputMissing);
                continue;
            }
            it.has_run = true;
            let piece_time = batch.piece_time.mul_f64(self.classes[it.class].work[stage]);
            time += piece_time;
            it.spent += share + piece_time;
            let handle = format!("{}/{request}-{stage}-{}", target.address, item.piece);
            ends.push(ItemOutcome::Done(handle));
        }
        time += self.jitter.mul_f64(self.random.random::<f64>());
        let end = start + time;
        free_at.insert(target.name.clone(), end);
        self.target_time.total += time;
        self.calls[service].calls += 1;
        self.calls[service].pieces += items.len() as u32;
        self.calls[service].small += u32::from(items.len() * 4 < batch.max_pieces);
        self.release_inputs(items, start + INPUT_FETCH_TIME);
        let ended = Event::CallEnded {
            zone_dispatcher,
            call,
            ends,
        };
        self.schedule(end + HOP_LATENCY, ended);
    }

    /// Releases the inputs of orders that are completely in one call, soon after its start.
    fn release_inputs(&mut self, items: &[WorkItem], at: Duration) {
        let mut by_dispatcher: HashMap<usize, Vec<Released>> = HashMap::new();
        for item in items
            .iter()
            .filter(|item| item.is_whole_order && item.piece == 0)
        {
            let request: usize = item.request[1..].parse().unwrap();
            let it = &mut self.requests[request];
            let after = it.plan.steps[usize::from(item.stage)].after.clone();
            for before in after {
                for (zone_dispatcher, released) in it.handles[usize::from(before)].drain(..) {
                    by_dispatcher
                        .entry(zone_dispatcher)
                        .or_default()
                        .push(released);
                }
            }
        }
        for (zone_dispatcher, results) in by_dispatcher {
            self.schedule(
                at + HOP_LATENCY,
                Event::Release {
                    zone_dispatcher,
                    results,
                },
            );
        }
    }

    fn stage_ended(&mut self, request: usize, stage: usize) {
        if self.requests[request].is_over {
            return self.release(request, |_| true);
        }
        self.requests[request].done[stage] = true;
        self.start_ready(request);
    }

    fn answered(&mut self, request: usize) {
        let it = &self.requests[request];
        let taken = self.now - it.first_arrived;
        let is_late = taken > self.classes[it.class].route.latency_objective;
        self.end(request, if is_late { End::Late } else { End::InTime });
    }
}

/// Two classes of requests: one with a single stage of large results, and one with three stages.
fn classes(digest: fn(f64) -> f64, brief: fn(f64) -> f64) -> Vec<Class> {
    vec![
        Class {
            route: route("digest", 790, 1, &[(0, &[], 1_500_000)]),
            rate: Rc::new(digest),
            pieces: vec![(1, 4)],
            skip_rate: 0.3,
            work: vec![1.0],
        },
        Class {
            route: route(
                "brief",
                1700,
                0,
                &[(0, &[], 8000), (1, &[0], 60_000), (2, &[1], 6000)],
            ),
            rate: Rc::new(brief),
            pieces: vec![(1, 1), (6, 6), (4, 16)],
            skip_rate: 0.0,
            work: vec![0.3, 1.03, 1.25],
        },
    ]
}

/// A deployment with three zones and 51 stage targets.
pub(crate) fn large_deployment(
    digest: fn(f64) -> f64,
    brief: fn(f64) -> f64,
    seed: u64,
) -> Simulation {
    let services = vec![
        service("encode", 20, 8600, 45_000_000),
        service("rerank", 62, 2800, 8_100_000),
        service("rank", 86, 2000, 1_100_000),
    ];
    Simulation::new(services, classes(digest, brief), &[6, 5, 6], 3, seed)
}
