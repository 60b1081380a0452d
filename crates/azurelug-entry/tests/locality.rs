//! Tests of prefix locality with test engines: hashes, popular prefixes and lost events.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::{
    CacheChange, CacheEvent, Completion, LoadReport, Outcome, Query, Requirement, Router, blocks,
};
use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_testkit::Engine;
use azurelug_testkit::engine::{CacheEvents, Settings};
use azurelug_types::config::{Config, ModelRef, OnPartition, Role, StageKind, State, Target, Zone};
use azurelug_types::id::{ModelName, TargetKey, TargetName, Version, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;

const MODEL: &str = "m@1";
const TIMEOUT: Duration = Duration::from_secs(10);
const LIMIT: u32 = 16;

fn model() -> ModelRef {
    ModelRef {
        model: ModelName::from("m"),
        adapter: None,
        version: "1".to_owned(),
    }
}

/// A router and its engines, without the rest of the daemon.
struct Fleet {
    router: Router,
    engines: BTreeMap<TargetKey, Engine>,
    client: Client,
}

impl Fleet {
    async fn start(engines: usize, settings: &Settings, seed: u64) -> Self {
        let mut config = Config {
            version: Version(1),
            ..Config::default()
        };
        let zone = Zone {
            state: State::Active,
            on_partition: OnPartition::ServeLocal,
        };
        config.zones.insert(ZoneName::from("a"), zone);
        let mut started = Vec::new();
        for number in 0..engines {
            let any = ([127, 0, 0, 1], 0).into();
            let engine = Engine::start(any, settings.clone()).await.unwrap();
            let target = Target {
                zone: ZoneName::from("a"),
                address: engine.address(),
                role: Role::Engine(StageKind::Generate),
                loaded: vec![model()],
                limit: LIMIT,
                cold_limit: LIMIT,
                state: State::Active,
                checks_fencing: false,
            };
            config
                .targets
                .insert(TargetName(number.to_string()), target);
            started.push(engine);
        }
        let settings = azurelug_core::routing::Settings::new(ZoneName::from("a"));
        let mut router = Router::new(settings, Pcg32::seed_from_u64(seed));
        router.apply(&config, Duration::ZERO);
        router.set_mode(Mode::Normal);
        let key = |number: usize| router.table().key(&TargetName(number.to_string())).unwrap();
        let engines: BTreeMap<_, _> = started
            .into_iter()
            .enumerate()
            .map(|(number, engine)| (key(number), engine))
            .collect();
        for key in engines.keys() {
            let report = LoadReport {
                calls: 0,
                taken_at: Duration::ZERO,
                warm: true,
                start_stamp: 1,
            };
            router.report(*key, report, Duration::ZERO);
        }
        let client = Client::pooled().unwrap();
        Self {
            router,
            engines,
            client,
        }
    }

    /// Polls the cache events of all engines, as the daemon does.
    async fn poll(&mut self) {
        for (key, engine) in &self.engines {
            let path = format!(
                "/v1/cache_events?after={}",
                self.router.next_cache_sequence(*key)
            );
            let call = Call::get(engine.address(), path, TIMEOUT);
            let (_, body) = self.client.send_whole(call, 1 << 20).await.unwrap();
            let answer: CacheEvents = serde_json::from_slice(&body).unwrap();
            let event = |event: &azurelug_testkit::engine::CacheEvent| {
                let blocks = vec![u64::from(event.prefix_hash)];
                CacheEvent {
                    start_stamp: answer.started_at_ms,
                    sequence: event.seq - 1,
                    change: match event.kind.as_str() {
                        "stored" => CacheChange::Stored(blocks),
                        _ => CacheChange::Removed(blocks),
                    },
                }
            };
            let events: Vec<_> = answer.events.iter().map(event).collect();
            let (stamp, now) = (answer.started_at_ms, Duration::ZERO);
            self.router.apply_cache_poll(*key, stamp, &events, now);
        }
    }

    /// Sends one call for each prompt, all at the same time.
    async fn call(&mut self, prompts: &[String]) {
        let now = Duration::ZERO;
        let model = model();
        let mut calls = Vec::new();
        for prompt in prompts {
            let query = Query {
                need: Requirement::Stage(StageKind::Generate, &model),
                idempotent: true,
                prefix: &blocks(MODEL, prompt),
                exclude: &[],
                avoid_cold: false,
            };
            let target = self.router.choose(&query, now).unwrap().target;
            let key = self.router.begin(target, now).unwrap();
            let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 1 });
            let address = self.engines[&target].address();
            let call = Call::post_json(address, "/v1/completions", &body, TIMEOUT);
            let client = self.client.clone();
            calls.push((key, async move { client.send_whole(call, 1 << 20).await }));
        }
        let (keys, sent): (Vec<_>, Vec<_>) = calls.into_iter().unzip();
        for answer in futures_util::future::join_all(sent).await {
            assert_eq!(answer.unwrap().0, 200);
        }
        for key in keys {
            let outcome = Outcome {
                completion: Completion::Success,
                first_token: Some(Duration::from_millis(5)),
            };
            self.router.finish(key, outcome, now);
        }
    }

    /// Percentage of prompt blocks that were served from the cache.
    fn cached_percent(&self) -> u64 {
        let counts: Vec<_> = self.engines.values().map(Engine::counts).collect();
        let cached: u64 = counts.iter().map(|it| it.cached_blocks).sum();
        cached * 100 / counts.iter().map(|it| it.prompt_blocks).sum::<u64>()
    }
}

/// Builds a prompt whose first eight blocks are shared by all prompts of its group, with an end of
/// its own.
fn prompt(group: u32, number: u32) -> String {
    let line = format!("season summary for the carts of depot {group:04}, with all tours.");
    format!("{} call {number}", line.repeat(9))
}

/// Guards against a block hash that differs from that of the engines: locality then has no effect.
#[tokio::test]
async fn the_block_hashes_of_a_prompt_equal_those_in_the_engines_cache_events() {
    let mut fleet = Fleet::start(1, &Settings::default(), 1).await;
    let prompt = prompt(1, 1);
    fleet.call(std::slice::from_ref(&prompt)).await;
    let engine = fleet.engines.values().next().unwrap();
    let call = Call::get(engine.address(), "/v1/cache_events?after=0", TIMEOUT);
    let (_, body) = fleet.client.send_whole(call, 1 << 20).await.unwrap();
    let answer: CacheEvents = serde_json::from_slice(&body).unwrap();
    let hashes: Vec<u64> = answer
        .events
        .iter()
        .map(|it| it.prefix_hash.into())
        .collect();
    assert!(hashes.len() >= 8);
    assert_eq!(hashes, blocks(MODEL, &prompt));
    let long = "x".repeat(1 << 20);
    assert_eq!(
        blocks(MODEL, &long).len(),
        azurelug_core::routing::MAX_BLOCKS
    );
}

/// Guards against cache events that have no effect on routing, and against lost events that reverse
/// the effect.
#[tokio::test]
async fn repeated_prompts_go_to_engines_that_hold_their_prefix() {
    let mut cached_percent = [0, 0, 0];
    for seed in 1..=3 {
        for (index, cache_gap_rate) in [0.0, 0.05, 1.0].into_iter().enumerate() {
            let settings = Settings {
                cache_gap_rate,
                // Each engine has room for a third of the groups.
                cache_blocks: 80,
                prefill_time: Duration::from_millis(1),
                seed,
                ..Settings::default()
            };
            let mut fleet = Fleet::start(4, &settings, seed).await;
            let mut random = Pcg32::seed_from_u64(seed);
            for round in 0..100 {
                let next = |number: u32| prompt(random.random_range(0..24), round * 4 + number);
                let prompts: Vec<_> = (0..4).map(next).collect();
                fleet.call(&prompts).await;
                fleet.poll().await;
            }
            let percent = fleet.cached_percent();
            println!("seed {seed}, gaps {cache_gap_rate}: {percent}% of blocks cached");
            cached_percent[index] += percent;
        }
    }
    let [all, some, none] = cached_percent;
    assert!(
        all > none + 60,
        "sum of three seeds in percent: {cached_percent:?}"
    );
    assert!(
        some > none,
        "sum of three seeds in percent: {cached_percent:?}"
    );
}

/// Guards against a popular prefix that sends all calls to the one engine which holds it.
#[tokio::test]
async fn a_popular_prefix_does_not_overload_one_engine() {
    let settings = Settings {
        max_running: LIMIT as usize,
        prefill_time: Duration::from_millis(100),
        ..Settings::default()
    };
    let mut fleet = Fleet::start(6, &settings, 7).await;
    fleet.call(&[prompt(0, 0)]).await;
    fleet.poll().await;
    let prompts: Vec<_> = (1..=36).map(|number| prompt(0, number)).collect();
    fleet.call(&prompts).await;
    let peak_calls = fleet.engines.values().map(|it| it.counts().max_running);
    let peak_calls: Vec<_> = peak_calls.collect();
    println!("calls at once: {peak_calls:?}");
    // Without locality each engine gets six calls; the prefix bonus equals a quarter of the limit
    // of 16.
    assert!(
        peak_calls.iter().all(|calls| *calls <= 6 + 4 + 2),
        "{peak_calls:?}"
    );
}
