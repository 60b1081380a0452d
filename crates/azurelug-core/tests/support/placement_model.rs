//! Replays requests of many gateways against engines of different speeds, without a network. Each
//! gateway has a real [`Fleet`]; the engines are modelled.
#![allow(dead_code, reason = "not every program uses all of it")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::cost::board::Board;
use azurelug_core::gateway::fleet::{Bounds, Fleet, Key, Outcome, Placement, TargetQuery, Weights};
use azurelug_types::deployment::Target;
use azurelug_types::id::{ServiceName, TargetName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const TARGETS: usize = 112;
const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: usize = 12;
/// Time that the engines take, relative to the usual time.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 1.7];
const PREFILL_TOKENS_PER_MS: f64 = 81.9;
const STEP_MS: f64 = 3.74;
const STEP_PER_REQUEST_MS: f64 = 0.08;
const EVENT_TOKENS: f64 = 8.0;
/// Tokens of prompt parts that an engine keeps.
const CACHE_TOKENS: u64 = 478_829;
/// Slow periods: their length, their factor, and their share of the time.
const PERIOD_MS: f64 = 500.0;
const PERIOD_FACTOR: f64 = 2.5;
const PERIOD_SHARE: f64 = 0.15;
/// Time until the first event within which a request counts as in time: half of the objective of
/// *digest*, whose other half its stage takes.
const OBJECTIVE_MS: f64 = 500.0;
/// Time between the polls of a gateway.
const POLL_MS: f64 = 300.0;
/// Pause before a request without a target is placed again.
const PAUSE_MS: f64 = 10.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The choice by this gateway's requests in flight, which learns nothing of costs.
    InFlight,
    /// The better of two random targets by this gateway's requests in flight.
    TwoRandom,
    /// The choice by expected costs, each gateway by its own outcomes.
    Own,
    /// The choice by expected costs, by the outcomes of all gateways.
    Shared,
}

pub(crate) struct Load {
    pub(crate) gateways: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
    /// Whether all engines have the usual speed and no slow periods.
    pub(crate) is_even: bool,
}

/// The load of the comparison of choices.
pub(crate) fn load(gateways: usize, seconds: f64) -> Load {
    Load {
        gateways,
        requests_per_s: 325.0,
        seconds,
        seed: 1,
        is_even: false,
    }
}

/// What came of the requests.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Times until the first event in milliseconds, in ascending order.
    first_events: Vec<f64>,
    pub(crate) requests: u64,
    pub(crate) in_time: u64,
    /// Tokens of shared parts that an engine read although some engine had read them before.
    pub(crate) tokens_read_again: u64,
    pub(crate) left_preferred: u64,
    /// Gateways for which the service is uneven at the end.
    pub(crate) uneven: usize,
    /// The target of each request, in order of arrival.
    pub(crate) placed: Vec<usize>,
}

impl Report {
    pub(crate) fn quantile(&self, part: f64) -> f64 {
        self.first_events[((self.first_events.len() - 1) as f64 * part) as usize]
    }

    pub(crate) fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }
}

struct Request {
    gateway: usize,
    prefix: usize,
    shared_tokens: u64,
    own_tokens: u64,
    output_tokens: f64,
    arrived: f64,
    placed: Option<(usize, Option<Placement>, f64)>,
}

#[derive(Default)]
struct Engine {
    slowness: f64,
    running: usize,
    waiting: VecDeque<usize>,
    prefill_free_at: f64,
    /// Cached shared parts: tokens and time of the last use.
    cached: HashMap<usize, (u64, f64)>,
    cached_tokens: u64,
    own_parts: usize,
    /// Starts of slow periods, in ascending order.
    periods: Vec<f64>,
}

impl Engine {
    fn factor(&self, at: f64) -> f64 {
        let position = self.periods.partition_point(|start| *start <= at);
        let is_slow = position > 0 && at < self.periods[position - 1] + PERIOD_MS;
        self.slowness * if is_slow { PERIOD_FACTOR } else { 1.0 }
    }

    /// Time at which work of usual duration `ms` ends that begins at `start`.
    fn end(&self, start: f64, ms: f64) -> f64 {
        const STEP: f64 = 8.0;
        let (mut at, mut left) = (start, ms);
        while left > 0.0 {
            let part = left.min(STEP);
            at += part * self.factor(at);
            left -= part;
        }
        at
    }

    /// Returns the shared tokens that have to be read.
    fn read_shared(&mut self, prefix: usize, tokens: u64, own: u64, now: f64) -> u64 {
        let known = self.cached.insert(prefix, (tokens, now));
        let fresh = if known.is_some() { 0 } else { tokens };
        // The request's own part takes room as well, and is never used again.
        self.own_parts += 1;
        let own_part = usize::MAX - self.own_parts;
        self.cached.insert(own_part, (own, now));
        self.cached_tokens += fresh + own;
        while self.cached_tokens > CACHE_TOKENS {
            let used = self.cached.iter().map(|(part, (_, used))| (*used, *part));
            let oldest = used.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let removed = oldest.and_then(|(_, part)| self.cached.remove(&part));
            self.cached_tokens -= removed.unwrap().0;
        }
        fresh
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll,
    Place,
    Answer,
    End,
}

struct World {
    choice: Choice,
    gateways: usize,
    fleets: Vec<Fleet>,
    keys: Vec<HashMap<Key, usize>>,
    in_flight: Vec<Vec<u32>>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event, usize)>>,
    random: Pcg64,
    board: Board,
    report: Report,
}

/// Runs the load with one choice. Load and engines depend on the seed only.
pub(crate) fn run(load: &Load, choice: Choice) -> Report {
    let mut random = Pcg64::seed_from_u64(load.seed);
    let targets: Vec<Target> = (0..TARGETS).map(target).collect();
    let engines = (0..TARGETS)
        .map(|at| engine(at, load, &mut random))
        .collect();
    let requests = requests(load, &mut random);
    let fleets: Vec<Fleet> = (0..load.gateways)
        .map(|number| {
            let mut fleet = Fleet::new(load.seed * 1000 + number as u64);
            fleet.list(&targets, Duration::ZERO);
            fleet
        })
        .collect();
    let keys_of = |fleet: &Fleet| {
        let keyed = targets.iter().enumerate();
        keyed
            .map(|(at, it)| (fleet.key(&it.name).unwrap(), at))
            .collect()
    };
    let mut world = World {
        choice,
        gateways: load.gateways,
        keys: fleets.iter().map(keys_of).collect(),
        fleets,
        in_flight: vec![vec![0; TARGETS]; load.gateways],
        engines,
        board: Board::default(),
        events: BinaryHeap::new(),
        report: Report {
            placed: vec![usize::MAX; requests.len()],
            ..Report::default()
        },
        requests,
        random,
    };
    for number in 0..world.requests.len() {
        world.schedule(world.requests[number].arrived, Event::Place, number);
    }
    if choice == Choice::Shared {
        for gateway in 0..load.gateways {
            let first = POLL_MS * gateway as f64 / load.gateways as f64;
            world.schedule(first, Event::Poll, gateway);
        }
    }
    while let Some(Reverse((micros, event, number))) = world.events.pop() {
        let now = micros as f64 / 1000.0;
        match event {
            Event::Poll if now > load.seconds * 1000.0 => {}
            Event::Poll => world.poll(number, now),
            Event::Place => world.place(number, now),
            Event::Answer => world.first_event(number, now),
            Event::End => world.end(number, now),
        }
    }
    let uneven = |fleet: &Fleet| fleet.costs().any(|(_, costs)| costs.is_uneven());
    world.report.uneven = world.fleets.iter().filter(|it| uneven(it)).count();
    world.report.first_events.sort_by(f64::total_cmp);
    world.report
}

fn target(number: usize) -> Target {
    Target {
        name: TargetName(format!("t{number}")),
        service: ServiceName::from("llm"),
        address: ([10, 0, 0, number as u8], 80).into(),
        zone: ZoneName::from(ZONES[number % ZONES.len()]),
        slots: SLOTS as u32,
        is_leaving: false,
        cold_ms: 0,
        version: String::new(),
    }
}

fn engine(number: usize, load: &Load, random: &mut Pcg64) -> Engine {
    let mut engine = Engine {
        // Not in step with the zones.
        slowness: SLOWNESS[number / ZONES.len() % SLOWNESS.len()],
        ..Engine::default()
    };
    let pause = PERIOD_MS * (1.0 - PERIOD_SHARE) / PERIOD_SHARE;
    let mut at = random.random_range(0.0..2.0 * pause);
    while at < load.seconds * 2000.0 {
        engine.periods.push(at);
        at += PERIOD_MS + random.random_range(0.0..2.0 * pause);
    }
    if load.is_even {
        engine.slowness = 1.0;
        engine.periods.clear();
    }
    engine
}

/// A number whose logarithm is uniform.
fn log_uniform(low: f64, high: f64, random: &mut Pcg64) -> f64 {
    (low.ln() + random.random_range(0.0..1.0) * (high / low).ln()).exp()
}

fn requests(load: &Load, random: &mut Pcg64) -> Vec<Request> {
    const PREFIXES: f64 = 3000.0;
    let shared: Vec<u64> = (0..PREFIXES as usize)
        .map(|_| log_uniform(2000.0, 20_000.0, random) as u64)
        .collect();
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let gap: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at -= gap.ln() * 1000.0 / load.requests_per_s;
        if at > load.seconds * 1000.0 {
            return requests;
        }
        // A few prompts are much more popular than others.
        let prefix = log_uniform(1.0, PREFIXES, random) as usize - 1;
        requests.push(Request {
            gateway: random.random_range(0..load.gateways),
            prefix,
            shared_tokens: shared[prefix],
            own_tokens: log_uniform(600.0, 6000.0, random) as u64,
            output_tokens: log_uniform(20.0, 200.0, random),
            arrived: at,
            placed: None,
        });
    }
}

impl World {
    fn schedule(&mut self, at: f64, event: Event, number: usize) {
        let micros = (at * 1000.0).ceil() as u64;
        self.events.push(Reverse((micros, event, number)));
    }

    /// A gateway sends what it has learned to the control daemon and gets the outcomes of all.
    fn poll(&mut self, gateway: usize, now: f64) {
        let fleet = &mut self.fleets[gateway];
        self.board
            .record(&fleet.take_speed_reports(time(now)), time(now));
        fleet.learn_speeds(&self.board.merged(time(now)), time(now));
        self.schedule(now + POLL_MS, Event::Poll, gateway);
    }

    fn place(&mut self, number: usize, now: f64) {
        let gateway = self.requests[number].gateway;
        let chosen = match self.choice {
            Choice::TwoRandom => {
                let two = [(); 2].map(|()| self.random.random_range(0..TARGETS));
                two.into_iter()
                    .min_by_key(|at| self.in_flight[gateway][*at])
                    .map(|at| (at, None))
            }
            Choice::InFlight | Choice::Own | Choice::Shared => self.choose(number, now),
        };
        let Some((at, placed)) = chosen else {
            return self.schedule(now + PAUSE_MS, Event::Place, number);
        };
        self.in_flight[gateway][at] += 1;
        self.report.placed[number] = at;
        self.requests[number].placed = Some((at, placed, now));
        if self.engines[at].running < SLOTS {
            self.start(number, now);
        } else {
            self.engines[at].waiting.push_back(number);
        }
    }

    fn choose(&mut self, number: usize, now: f64) -> Option<(usize, Option<Placement>)> {
        let request = &self.requests[number];
        let wanted = TargetQuery {
            versions: azurelug_core::gateway::fleet::Versions::Any,
            service: &ServiceName::from("llm"),
            affinity: Some(request.prefix as u64),
            zone: &ZoneName::from(ZONES[request.gateway % ZONES.len()]),
            weights: &Weights::default(),
            tried: &[],
            bounds: Bounds {
                gateways: self.gateways,
                cold_rate: 15.0,
                cold_limit: 27.5,
                slots: Some(SLOTS as u32),
            },
            work: Work {
                shared_tokens: request.shared_tokens,
                own_tokens: request.own_tokens,
                output_tokens: 0,
            },
        };
        let fleet = &mut self.fleets[request.gateway];
        let placed = fleet.place(&wanted, self.random.random(), time(now)).ok()?;
        self.report.left_preferred += u64::from(placed.has_left_preferred);
        Some((self.keys[request.gateway][&placed.key], Some(placed)))
    }

    /// The request gets a slot at its engine.
    fn start(&mut self, number: usize, now: f64) {
        let request = &self.requests[number];
        let (at, ..) = request.placed.unwrap();
        let engine = &mut self.engines[at];
        engine.running += 1;
        let own = request.own_tokens;
        let shared = engine.read_shared(request.prefix, request.shared_tokens, own, now);
        self.report.tokens_read_again += shared;
        let prefill = (own + shared) as f64 / PREFILL_TOKENS_PER_MS;
        let read = engine.end(now.max(engine.prefill_free_at), prefill);
        engine.prefill_free_at = read;
        let first = engine.end(read, EVENT_TOKENS * step_ms(engine));
        self.schedule(first, Event::Answer, number);
    }

    fn first_event(&mut self, number: usize, now: f64) {
        let request = &self.requests[number];
        let (at, placed, sent) = request.placed.unwrap();
        let first = now - request.arrived;
        self.report.first_events.push(first);
        self.report.requests += 1;
        self.report.in_time += u64::from(first <= OBJECTIVE_MS);
        if let Some(placed) = placed {
            let answered = (self.choice != Choice::InFlight).then(|| time(now - sent));
            self.fleets[request.gateway].settle(&placed, answered, time(now));
        }
        let engine = &self.engines[at];
        let end = engine.end(now, request.output_tokens * step_ms(engine));
        self.schedule(end, Event::End, number);
    }

    fn end(&mut self, number: usize, now: f64) {
        let request = &self.requests[number];
        let (at, placed, sent) = request.placed.unwrap();
        self.in_flight[request.gateway][at] -= 1;
        if let Some(placed) = placed {
            // Only the order of magnitude counts for health; the first event was earlier.
            let outcome = Outcome::Answered(time(now - sent) / 2);
            self.fleets[request.gateway].finished(placed.key, outcome, time(now));
        }
        let engine = &mut self.engines[at];
        engine.running -= 1;
        if let Some(next) = engine.waiting.pop_front() {
            self.start(next, now);
        }
    }
}

fn step_ms(engine: &Engine) -> f64 {
    STEP_MS + STEP_PER_REQUEST_MS * engine.running as f64
}

fn time(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
