//! CPU time of one routing decision and of one admission decision, compared with the naive
//! baseline. The variants are interleaved in one run, so that changes in the machine's load affect
//! all of them equally.
//!
//! Run with `cargo run --release -p azurelug-core --example decision_cost [rounds] [seed]`.

use std::collections::{HashMap, VecDeque};
use std::hint::black_box;
use std::time::{Duration, Instant};

use azurelug_core::admission::{
    Action, Admission, AdmissionRequest, Admitted, Settings as AdmissionSettings, Ticket,
};
use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::{self, Bounds, Fleet, TargetQuery, Weights};
use azurelug_core::latency::Latencies;
use azurelug_core::lease_mode::Mode;
use azurelug_core::naive;
use azurelug_core::routing::{
    CacheChange, CacheEvent, CallKey, Completion, LoadReport, Outcome, Query, Requirement, Router,
    Settings,
};
use azurelug_types::config::{
    Account, Config, ModelRef, OnPartition, Role, StageKind, State, Target, Zone,
};
use azurelug_types::deployment;
use azurelug_types::id::{
    AccountKey, AccountName, ModelName, ServiceName, TargetName, Version, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Decisions in one timed block. Some kernels count CPU time in steps of 4 ms, which is 40 ns for
/// each decision of a block.
const DECISIONS_PER_BLOCK: u32 = 100_000;
const OUTCOME: Outcome = Outcome {
    completion: Completion::Success,
    first_token: Some(Duration::from_millis(100)),
};

/// One measured variant: its name, a function that makes one block of decisions, and the measured
/// nanoseconds per decision of each block.
struct Variant {
    name: String,
    run: Box<dyn FnMut()>,
    nanoseconds: Vec<f64>,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let rounds = arguments
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or(20);
    let seed = arguments.next().and_then(|it| it.parse().ok()).unwrap_or(1);
    let mut variants = Vec::new();
    for targets in [20, 200, 2000] {
        variants.push(routing(targets, seed, &[]));
        let prefix: Vec<u64> = (0..32).collect();
        variants.push(routing(targets, seed, &prefix));
        variants.push(naive_routing(targets, seed));
    }
    for learned in [Learned::Nothing, Learned::Even, Learned::Uneven] {
        variants.push(placement(learned, seed));
    }
    for accounts in [5, 50_000] {
        variants.push(admission(accounts, seed));
    }
    variants.push(naive_admission());
    let mut order = Pcg32::seed_from_u64(seed);
    for round in 0..=rounds {
        let first = order.random_range(0..variants.len());
        for offset in 0..variants.len() {
            let index = (first + offset) % variants.len();
            let variant = &mut variants[index];
            let start = cpu_time();
            (variant.run)();
            let spent = cpu_time() - start;
            // The first round is a warm-up and is not recorded.
            if round > 0 {
                variant
                    .nanoseconds
                    .push(spent.as_nanos() as f64 / f64::from(DECISIONS_PER_BLOCK));
            }
        }
    }
    println!(
        "{rounds} rounds of {DECISIONS_PER_BLOCK} decisions, seed {seed}; nanoseconds per decision"
    );
    println!(
        "{:<46} {:>8} {:>8} {:>8} {:>8}",
        "variant", "median", "p10", "p90", "max"
    );
    for variant in &mut variants {
        variant.nanoseconds.sort_by(f64::total_cmp);
        let quantile = |part: f64| {
            variant.nanoseconds[((variant.nanoseconds.len() - 1) as f64 * part) as usize]
        };
        let [median, low, high, max] = [quantile(0.5), quantile(0.1), quantile(0.9), quantile(1.0)];
        println!(
            "{:<46} {median:>8.0} {low:>8.0} {high:>8.0} {max:>8.0}",
            variant.name
        );
    }
}

/// CPU time of this thread; wall-clock time if the kernel does not report it.
fn cpu_time() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let spent = std::fs::read_to_string("/proc/thread-self/schedstat").ok();
    spent
        .and_then(|text| text.split(' ').next()?.parse().ok())
        .map_or_else(
            || START.get_or_init(Instant::now).elapsed(),
            Duration::from_nanos,
        )
}

fn model() -> ModelRef {
    ModelRef {
        model: ModelName::from("summary"),
        adapter: Some("gujarat".to_owned()),
        version: "2026-11".to_owned(),
    }
}

/// A configuration with targets of one model in six zones.
fn fleet(targets: u32) -> Config {
    let mut config = Config {
        version: Version(1),
        ..Config::default()
    };
    for index in 0..targets {
        let zone = ZoneName(format!("zone{}", index % 6));
        config.zones.entry(zone.clone()).or_insert(Zone {
            state: State::Active,
            on_partition: OnPartition::ServeLocal,
        });
        let target = Target {
            zone,
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
            role: Role::Engine(StageKind::Generate),
            loaded: vec![model()],
            limit: 32,
            cold_limit: 4,
            state: State::Active,
            checks_fencing: false,
        };
        config
            .targets
            .insert(TargetName(format!("engine{index:04}")), target);
    }
    config
}

fn query<'a>(model: &'a ModelRef, prefix: &'a [u64]) -> Query<'a> {
    Query {
        need: Requirement::Stage(StageKind::Generate, model),
        idempotent: true,
        prefix,
        exclude: &[],
        avoid_cold: false,
    }
}

/// Each decision chooses a target and begins a call. Older calls end at the same rate, and every
/// tenth decision follows a load report. About two thirds of all slots are in use, so that some
/// targets are full and calls spill over to other zones.
fn routing(targets: u32, seed: u64, prefix: &[u64]) -> Variant {
    let mut random = Pcg32::seed_from_u64(seed);
    let settings = Settings::new(ZoneName::from("zone0"));
    let mut router = Router::new(settings, Pcg32::seed_from_u64(seed + 1));
    router.apply(&fleet(targets), Duration::ZERO);
    router.set_mode(Mode::Normal);
    let keys: Vec<_> = router.table().targets().map(|(key, _)| key).collect();
    let report = |calls, taken_at| LoadReport {
        calls,
        taken_at,
        warm: true,
        start_stamp: 1,
    };
    for key in &keys {
        router.report(*key, report(0, Duration::ZERO), Duration::ZERO);
        let held = random.random_range(0..=prefix.len());
        let change = CacheChange::Stored(prefix[..held].to_vec());
        let event = CacheEvent {
            start_stamp: 1,
            sequence: 0,
            change,
        };
        router.apply_cache_event(*key, &event, Duration::ZERO);
    }
    let name = format!("routing, {targets} targets, {} prefix blocks", prefix.len());
    let (model, prefix) = (model(), prefix.to_vec());
    let mut calls: VecDeque<CallKey> = VecDeque::new();
    let mut now = Duration::ZERO;
    let run = move || {
        for step in 0..DECISIONS_PER_BLOCK {
            now += Duration::from_micros(100);
            if step % 10 == 0 {
                let key = keys[random.random_range(0..keys.len())];
                let calls = router.in_flight(key) + 2;
                router.report(key, report(calls, now), now);
            }
            if let Ok(choice) = black_box(router.choose(&query(&model, &prefix), now)) {
                calls.extend(router.begin(choice.target, now));
            }
            if calls.len() > targets as usize * 20
                && let Some(call) = calls.pop_front()
            {
                router.finish(call, OUTCOME, now);
            }
        }
    };
    Variant {
        name,
        run: Box::new(run),
        nanoseconds: Vec::new(),
    }
}

fn naive_routing(targets: u32, seed: u64) -> Variant {
    let mut router = naive::Router::new(Pcg32::seed_from_u64(seed));
    router.apply(&fleet(targets), Duration::ZERO);
    let model = model();
    let mut calls: VecDeque<CallKey> = VecDeque::new();
    let run = move || {
        let now = Duration::ZERO;
        for _ in 0..DECISIONS_PER_BLOCK {
            if let Ok(choice) = black_box(router.choose(&query(&model, &[]), now)) {
                calls.extend(router.begin(choice.target, now));
            }
            if calls.len() > targets as usize * 20
                && let Some(call) = calls.pop_front()
            {
                router.finish(call, OUTCOME, now);
            }
        }
    };
    let name = format!("naive routing, {targets} targets");
    Variant {
        name,
        run: Box::new(run),
        nanoseconds: Vec::new(),
    }
}

/// What the gateway has learned of the speeds of its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Learned {
    Nothing,
    Even,
    Uneven,
}

/// Each decision places one request with a prompt prefix at one of 112 targets, and ends an earlier
/// one. The outcome is recorded, unless nothing is learned.
fn placement(learned: Learned, seed: u64) -> Variant {
    let service = ServiceName::from("llm");
    let zones = ["a", "b", "c"].map(ZoneName::from);
    let targets: Vec<deployment::Target> = (0..112_usize)
        .map(|number| deployment::Target {
            name: TargetName(format!("engine{number:04}")),
            service: service.clone(),
            address: ([127, 0, 0, 1], number as u16 + 1).into(),
            zone: zones[number % zones.len()].clone(),
            slots: 12,
            is_leaving: false,
            cold_ms: 0,
            version: String::new(),
        })
        .collect();
    let mut known = Fleet::new(seed);
    known.list(&targets, Duration::ZERO);
    let slow: HashMap<fleet::Key, bool> = targets
        .iter()
        .filter_map(|target| known.key(&target.name))
        .enumerate()
        .map(|(number, key)| (key, number.is_multiple_of(3)))
        .collect();
    let mut random = Pcg32::seed_from_u64(seed);
    let mut now = Duration::from_secs(1);
    let mut running: VecDeque<fleet::Placement> = VecDeque::new();
    let run = move || {
        for _ in 0..DECISIONS_PER_BLOCK {
            // A VM of 0.09 cores gets about five requests a second.
            now += Duration::from_millis(200);
            let wanted = TargetQuery {
                versions: azurelug_core::gateway::fleet::Versions::Any,
                service: &service,
                affinity: Some(random.random()),
                zone: &zones[0],
                weights: &Weights::default(),
                tried: &[],
                bounds: Bounds {
                    gateways: 62,
                    cold_rate: 15.0,
                    cold_limit: 27.5,
                    slots: Some(12),
                },
                work: Work {
                    shared_tokens: random.random_range(2000..20_000),
                    own_tokens: random.random_range(600..6000),
                    output_tokens: 0,
                },
            };
            running.extend(black_box(known.place(&wanted, random.random(), now)));
            if running.len() > 5
                && let Some(placed) = running.pop_front()
            {
                let factor = if learned == Learned::Uneven && slow[&placed.key] {
                    3.0
                } else {
                    1.0
                };
                let time = Duration::from_millis(60).mul_f64(factor);
                let answered = (learned != Learned::Nothing).then_some(time);
                known.settle(&placed, answered, now);
                known.finished(placed.key, fleet::Outcome::Answered(time), now);
            }
        }
        let uneven = known.costs().any(|(_, costs)| costs.is_uneven());
        assert_eq!(uneven, learned == Learned::Uneven);
    };
    Variant {
        name: format!("placement, 112 targets, learned: {learned:?}"),
        run: Box::new(run),
        nanoseconds: Vec::new(),
    }
}

/// Each decision offers one request. Two of three are followed by the end of a running request,
/// which may start waiting ones, so that queues are in use and some requests are refused.
fn admission(accounts: u32, seed: u64) -> Variant {
    let mut config = Config {
        version: Version(1),
        ..Config::default()
    };
    for index in 0..accounts {
        let account = Account {
            key_digest: String::new(),
            weight: 1 + index % 3,
            max_in_flight: 64,
        };
        config
            .accounts
            .insert(AccountName(format!("account{index}")), account);
    }
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.apply(&config);
    let mut latencies = Latencies::default();
    let stages = ["encode", "rerank", "generate"].map(|name| latencies.class(name));
    let mut random = Pcg32::seed_from_u64(seed);
    let mut running: VecDeque<Ticket> = VecDeque::new();
    let mut now = Duration::ZERO;
    let run = move || {
        for step in 0..DECISIONS_PER_BLOCK {
            now += Duration::from_millis(10);
            let ask = AdmissionRequest {
                account: AccountKey(random.random_range(0..accounts)),
                short: step % 4 == 0,
                cost: 1 + step % 2000,
                deadline: now + Duration::from_secs(12),
                stages: &stages,
            };
            if let Ok(Admitted::Start(ticket)) = black_box(admission.offer(&ask, &latencies, now)) {
                running.push_back(ticket);
            }
            if step % 3 != 0
                && let Some(ticket) = running.pop_front()
            {
                let actions = admission.finish(ticket, now);
                running.extend(actions.into_iter().filter_map(|action| match action {
                    Action::Start(ticket) => Some(ticket),
                    Action::Refuse(..) => None,
                }));
            }
        }
    };
    let name = format!("admission, {accounts} accounts");
    Variant {
        name,
        run: Box::new(run),
        nanoseconds: Vec::new(),
    }
}

fn naive_admission() -> Variant {
    let mut admission = naive::Admission::default();
    let latencies = Latencies::default();
    let run = move || {
        let now = Duration::ZERO;
        for _ in 0..DECISIONS_PER_BLOCK {
            let ask = AdmissionRequest {
                account: AccountKey(0),
                short: false,
                cost: 1,
                deadline: Duration::from_secs(12),
                stages: &[],
            };
            if let Ok(Admitted::Start(ticket)) = black_box(admission.offer(&ask, &latencies, now)) {
                black_box(admission.finish(ticket, now));
            }
        }
    };
    Variant {
        name: "naive admission".to_owned(),
        run: Box::new(run),
        nanoseconds: Vec::new(),
    }
}
