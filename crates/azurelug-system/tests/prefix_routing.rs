//! Prefix-aware routing: prompts with common prefixes through a real entry daemon with several
//! engines in its zone.
#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_http::client::Call;
use azurelug_system::operator::Operator;
use azurelug_system::system::{ACCOUNT_KEY, System};
use azurelug_testkit::Engine;
use azurelug_testkit::caller::expected_output;
use azurelug_testkit::engine::Settings;
use azurelug_types::config::{Pipeline, StageKind};
use azurelug_types::id::{PipelineName, TargetName};
use azurelug_types::patch::Change;
use serde_json::{Value, json};

const MODEL: &str = "writer@2";

/// The number of distinct prefixes, of four blocks each. The cache of an engine holds three of
/// them.
const PREFIXES: u32 = 6;

struct Fixture {
    system: System,
    engines: Vec<Engine>,
    client: Client,
    calls: u32,
}

/// Starts a system with four generate engines in zone-a and a pipeline that has only a generate
/// stage.
async fn start(cache_gap_rate: f64) -> Fixture {
    let settings = Settings {
        models: vec![MODEL.to_owned()],
        cache_blocks: 12,
        cache_gap_rate,
        ..Settings::default()
    };
    let mut system = System::start_with(settings.clone()).await;
    let entry = &mut system.zones[0].entry;
    entry.kill();
    let file = system.folder().join("entry-a.yaml");
    let mut file = std::fs::OpenOptions::new().append(true).open(file).unwrap();
    writeln!(file, "cache_events_bytes: 65536").unwrap();
    system.zones[0].entry.start();
    let operator = Operator::new();
    let config = operator.config(system.operators_address(0)).await.unwrap();
    let mut engines = Vec::new();
    let mut changes = Vec::new();
    for number in 1..4 {
        let any = ([127, 0, 0, 1], 0).into();
        let engine = Engine::start(any, settings.clone()).await.unwrap();
        let mut target = config.targets[&TargetName::from("generate-zone-a")].clone();
        target.address = engine.address();
        let name = TargetName(format!("generate-zone-a-{number}"));
        changes.push(Change::SetTarget { name, target });
        engines.push(engine);
    }
    let stages = &config.pipelines.values().next().unwrap().stages;
    let generate = stages.iter().filter(|it| it.kind == StageKind::Generate);
    changes.push(Change::SetPipeline {
        name: PipelineName::from("letters"),
        pipeline: Pipeline {
            stages: generate.cloned().collect(),
        },
    });
    let version = operator.change(system.operators_address(0), changes).await;
    system.wait_ready().await;
    system
        .wait_state(0, |state| state["version"] == version.0)
        .await;
    engines.push(
        system.zones[0]
            .engines
            .remove(&StageKind::Generate)
            .unwrap(),
    );
    Fixture {
        system,
        engines,
        client: Client::pooled().unwrap(),
        calls: 0,
    }
}

impl Fixture {
    /// Sends one call for each prefix, checks the answers and returns the percentage of cached
    /// blocks.
    async fn call_each_prefix(&mut self) -> u64 {
        let before = self.block_counts();
        for prefix in 0..PREFIXES {
            self.calls += 1;
            let line =
                format!("renewal letter for the franchise of region {prefix:04}, in full wording");
            let input = format!("{} {}", line.repeat(4), self.calls);
            let body = json!({ "input": input, "max_tokens": 4 });
            let entry = self.system.callers_address(0);
            let timeout = Duration::from_secs(14);
            let mut call = Call::post_json(entry, "/v1/pipelines/letters", &body, timeout);
            let bearer = format!("Bearer {ACCOUNT_KEY}").parse().unwrap();
            call.headers.push((http::header::AUTHORIZATION, bearer));
            let (status, body) = self.client.send_whole(call, 1 << 20).await.unwrap();
            let answer: Value = serde_json::from_slice(&body).unwrap();
            assert_eq!(status, 200, "{answer}");
            let stages = [(StageKind::Generate, MODEL.to_owned())];
            assert_eq!(answer["output"], expected_output(&stages, &input, 4));
        }
        let after = self.block_counts();
        (after.1 - before.1) * 100 / (after.0 - before.0)
    }

    /// The number of prompt blocks so far, and how many of them were cached.
    fn block_counts(&self) -> (u64, u64) {
        let counts = self.engines.iter().map(Engine::counts);
        counts.fold((0, 0), |(all, cached), counts| {
            (all + counts.prompt_blocks, cached + counts.cached_blocks)
        })
    }
}

/// Guards against a daemon that does not poll the cache events, hashes other prompts than it sends,
/// or returns wrong answers when all events are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_go_to_the_engine_that_holds_their_prefix() {
    for (cache_gaps, has_events) in [(0.0, true), (1.0, false)] {
        let mut fixture = start(cache_gaps).await;
        let mut rounds = Vec::new();
        for _ in 0..30 {
            rounds.push(fixture.call_each_prefix().await);
            // The daemon polls the cache events about as often as this.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        println!("gaps {cache_gaps}: cached blocks by round, in percent: {rounds:?}");
        let later_average: u64 = rounds[10..].iter().sum::<u64>() / 20;
        assert_eq!(later_average > 75, has_events, "{rounds:?}");
    }
}
