//! Discrete-event simulation of staged services: dispatchers, targets that run one call at a time,
//! and requests with dependent stages.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use azurelug_core::gateway::dispatch::{
    Action, CallEnd, CallKey, DispatchTarget, Dispatcher, Released, Token,
};
use azurelug_core::gateway::plan::Plan;
use azurelug_types::deployment::{
    Batch, Deployment, RequestKind, Route, Service, ServiceKey, Stage, WeightedService,
};
use azurelug_types::fleet::{Booking, ItemOutcome, Pieces, Source};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// One-way latency between two gateways, including the processing on a small VM.
const HOP_LATENCY: Duration = Duration::from_millis(5);

/// Time of a call beyond the configured times: the connection and the transfer of inputs.
const CALL_OVERHEAD: Duration = Duration::from_millis(12);

/// Time of a model engine to its first event.
const ENGINE_TIME: Duration = Duration::from_millis(60);

/// Time from the start of a call until its inputs are released.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(115);

/// A class of requests.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) route: Route,
    /// Requests a second as a function of the time in seconds.
    pub(crate) rate: fn(f64) -> f64,
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
    Order {
        request: usize,
        stage: usize,
    },
    CallEnded {
        zone_dispatcher: usize,
        call: CallKey,
        items: Vec<(u64, String)>,
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

struct Request {
    class: usize,
    home: usize,
    arrived: Duration,
    value_rank: f64,
    size: f64,
    plan: Plan,
    done: Vec<bool>,
    started: Vec<bool>,
    handles: Vec<Vec<(usize, Released)>>,
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
        timeout: Duration::from_secs(5),
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
            until: Duration::ZERO,
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
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(class) => self.arrive(class),
            Event::Order { request, stage } => self.submit_order(request, stage),
            Event::CallEnded {
                zone_dispatcher,
                call,
                items,
            } => {
                let ends = items
                    .iter()
                    .map(|(_, handle)| ItemOutcome::Done(handle.clone()));
                let end = CallEnd::Items(ends.collect());
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
        let waits: Vec<Duration> = (0..self.deployment.services.len())
            .map(|service| {
                let zone_dispatcher = &self.zone_dispatchers[service * self.zones];
                zone_dispatcher
                    .dispatcher
                    .delay(self.now)
                    .unwrap_or_default()
            })
            .collect();
        let names: Vec<ServiceName> = self
            .deployment
            .services
            .iter()
            .map(|it| it.name.clone())
            .collect();
        let plan = Plan::new(&self.deployment, &kind.route, &pieces, |service| {
            waits[names.iter().position(|name| *name == service.name).unwrap()]
        })
        .unwrap();
        let count = pieces.len();
        let request = self.requests.len();
        self.outcomes[class].submitted += 1;
        self.outcomes[class].total_value += size;
        self.requests.push(Request {
            class,
            home: self.random.random_range(0..self.zones),
            arrived: self.now,
            value_rank: rank,
            size,
            plan,
            done: pieces.iter().map(|it| *it == 0).collect(),
            started: pieces.iter().map(|it| *it == 0).collect(),
            handles: vec![Vec::new(); count],
            is_over: false,
            has_run: false,
        });
        if !self.book(request) {
            return;
        }
        self.start_ready(request);
    }

    fn dispatcher_of(&self, request: usize, stage: usize) -> usize {
        let it = &self.requests[request];
        let service = self.classes[it.class].route.stages[stage].service;
        usize::from(service.0) * self.zones + it.home
    }

    fn due(&self, request: usize, stage: usize) -> Duration {
        let it = &self.requests[request];
        let objective = self.classes[it.class].route.latency_objective;
        it.plan.due(stage, it.arrived + objective)
    }

    fn book(&mut self, request: usize) -> bool {
        for stage in 0..self.requests[request].plan.steps.len() {
            let it = &self.requests[request];
            let step = &it.plan.steps[stage];
            let route = &self.classes[it.class].route;
            if step.pieces == 0 || step.after.is_empty() {
                continue;
            }
            let due = self.due(request, stage);
            let booking = Booking {
                service: self
                    .deployment
                    .service(route.stages[stage].service)
                    .name
                    .clone(),
                scope: None,
                request: format!("r{request}"),
                stage: u8::try_from(stage).unwrap(),
                kind: (it.class * 8 + stage) as u64,
                pieces: step.pieces,
                rank: u16::from(route.priority),
                worth: it.value_rank,
                due_ms: due.saturating_sub(self.now).as_millis() as u64,
                deadline_ms: 3000,
                account: 0,
                digest: 0,
            };
            let zone_dispatcher = self.dispatcher_of(request, stage);
            let booked = self.zone_dispatchers[zone_dispatcher]
                .dispatcher
                .book(&booking, self.now);
            if booked.is_err() {
                self.refuse(request);
                return false;
            }
        }
        true
    }

    fn refuse(&mut self, request: usize) {
        let it = &mut self.requests[request];
        it.is_over = true;
        let has_run = it.has_run;
        let outcome = &mut self.outcomes[it.class];
        outcome.refused += 1;
        outcome.wasted += u32::from(has_run);
        for zone_dispatcher in &mut self.zone_dispatchers {
            zone_dispatcher.dispatcher.unbook(&format!("r{request}"));
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
            self.schedule(self.now + ENGINE_TIME, Event::Answered { request });
        }
    }

    fn submit_order(&mut self, request: usize, stage: usize) {
        if self.requests[request].is_over {
            return;
        }
        let due = self.due(request, stage).as_millis() as i64 - self.now.as_millis() as i64;
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
            deadline_ms: 3000,
            account: 0,
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
                    let service = self.zone_dispatchers[zone_dispatcher].service;
                    let batch = self.deployment.services[service].batch.unwrap();
                    let mut time = batch.call_time + CALL_OVERHEAD;
                    let mut ended = Vec::new();
                    for item in &items {
                        let request: usize = item.request[1..].parse().unwrap();
                        let stage = usize::from(item.stage);
                        self.requests[request].has_run = true;
                        let class = &self.classes[self.requests[request].class];
                        time += batch.piece_time.mul_f64(class.work[stage]);
                        let handle =
                            format!("{}/{}-{stage}-{}", target.address, request, item.piece);
                        ended.push((request as u64, handle));
                    }
                    let free = self.zone_dispatchers[zone_dispatcher]
                        .free_at
                        .entry(target.name)
                        .or_default();
                    let start = (*free).max(self.now);
                    let end = start + time;
                    *free = end;
                    let most = batch.max_pieces;
                    self.calls[service].calls += 1;
                    self.calls[service].pieces += items.len() as u32;
                    self.calls[service].small += u32::from(items.len() * 4 < most);
                    self.release_inputs(&items, start + INPUT_FETCH_TIME);
                    self.schedule(
                        end + HOP_LATENCY,
                        Event::CallEnded {
                            zone_dispatcher,
                            call,
                            items: ended,
                        },
                    );
                }
                Action::End { token, result } => {
                    let (request, stage) = self.tokens[&(zone_dispatcher, token)];
                    match result {
                        Ok(handles) => {
                            let results = handles.into_iter().map(|handle| {
                                let maker = handle.split('/').next().unwrap().parse().unwrap();
                                (zone_dispatcher, Released { handle, maker })
                            });
                            self.requests[request].handles[stage] = results.collect();
                            self.schedule(self.now + HOP_LATENCY, Event::Ended { request, stage });
                        }
                        Err(_) if self.requests[request].is_over => {}
                        Err(_) => self.refuse(request),
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

    /// Releases the inputs of orders that are completely in one call, soon after its start.
    fn release_inputs(&mut self, items: &[azurelug_types::fleet::WorkItem], at: Duration) {
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
        let it = &mut self.requests[request];
        if it.is_over {
            return;
        }
        it.is_over = true;
        let taken = self.now - it.arrived;
        let is_late = taken > self.classes[it.class].route.latency_objective;
        let size = it.size;
        let outcome = &mut self.outcomes[it.class];
        if is_late {
            outcome.late += 1;
        } else {
            outcome.in_time += 1;
            outcome.value_in_time += size;
        }
        self.release(request, |_| true);
    }
}

/// Two classes of requests: one with a single stage of large results, and one with three stages.
fn classes(digest: fn(f64) -> f64, brief: fn(f64) -> f64) -> Vec<Class> {
    vec![
        Class {
            route: route("digest", 790, 1, &[(0, &[], 1_500_000)]),
            rate: digest,
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
            rate: brief,
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
