//! Tests of gateways and control daemons as real processes with targets that crash when they begin
//! to answer a request with a certain part in its prompt.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use azurelug_system::soak::Options;
use azurelug_system::soak::crashes::Draft;
use azurelug_system::soak::deployment::Deployment;
use azurelug_system::soak::load::{Answer, Load, Pace};
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::time::sleep;

/// How long all requests are sound.
const SOUND_TIME: Duration = Duration::from_millis(2500);

/// How long requests with parts that crash targets come afterwards.
const CRASHING_TIME: Duration = Duration::from_secs(15);

/// Time between two requests at one gateway.
const INTERVAL: Duration = Duration::from_millis(100);

/// The part that all requests of the route share, unless a test says otherwise.
const BASE: &str = "5c1e";

/// Parts that crash no target.
const SOUND: [&str; 4] = ["91bd", "a402", "77f0", "03cc"];

/// Parts that crash targets.
const CRASHING: [&str; 2] = ["dead", "de4d"];

/// A draft on the streaming route. The last part belongs to the request.
fn talk(random: &mut Pcg64, shared: &[&str]) -> Draft {
    let own = format!("{:x}:250", random.random::<u32>());
    let shared = shared.iter().map(|part| format!("{part}:400,"));
    Draft {
        path: "/talk/x",
        key: "key-1",
        prompt: shared.collect::<String>() + &own,
    }
}

/// A sound request, which differs from one that crashes targets in one part.
fn sound(random: &mut Pcg64) -> Draft {
    let part = SOUND[random.random_range(0..SOUND.len())];
    talk(random, &[BASE, part])
}

/// A deployment with requests, of which some will crash targets.
struct Scenario {
    seed: u64,
    deployment: Deployment,
    load: Load,
    has_started: Arc<AtomicBool>,
}

impl Scenario {
    /// Starts a deployment whose engines crash on `parts`, and sound requests.
    async fn start<F, G>(
        options: Options,
        share: f64,
        parts: &[&str],
        sound: F,
        crashing: G,
    ) -> Self
    where
        F: Fn(&mut Pcg64) -> Draft + Copy + Send + 'static,
        G: Fn(&mut Pcg64) -> Draft + Copy + Send + 'static,
    {
        let deployment = Deployment::start(&options, Arc::default()).await;
        for part in parts {
            deployment.checker().crashes.add_part("llm", part);
        }
        let has_started = Arc::new(AtomicBool::new(false));
        let pace = Pace {
            gateways: &[],
            interval: INTERVAL,
            seed: options.seed,
            repeats: 2,
        };
        let started = Arc::clone(&has_started);
        let load = Load::start(&deployment, pace, move |random| {
            let is_crashing = random.random_bool(share);
            if is_crashing && started.load(Ordering::Relaxed) {
                crashing(random)
            } else {
                sound(random)
            }
        });
        sleep(SOUND_TIME).await;
        Self {
            seed: options.seed,
            deployment,
            load,
            has_started,
        }
    }

    /// Lets requests come that crash targets.
    fn begin(&self) {
        self.has_started.store(true, Ordering::Relaxed);
    }

    /// Waits until the end, stops the requests and checks the rules.
    async fn finish(self, time_left: Duration) -> Vec<Answer> {
        sleep(time_left).await;
        let answers = self.load.close().await;
        let checker = self.deployment.checker();
        let report = self.deployment.finish(self.seed, &checker, &[]);
        for (part, summary) in checker.crashes.summary() {
            println!("{part}: {summary:?}");
            assert!(summary.crashes > 0, "{part} has crashed no target");
        }
        let logs = report.log_folder;
        assert_eq!(report.violations, [] as [String; 0], "logs in {logs:?}");
        answers
    }
}

fn options(seed: u64, gateways_per_zone: u8) -> Options {
    Options {
        seed,
        gateways_per_zone,
        targets_per_zone: 2,
        ..Options::default()
    }
}

/// Guards against requests with one part that crash one target after another, because each gateway
/// sees few of the crashes, and against the loss of the sound requests beside them.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_does_not_crash_one_target_after_another() {
    let crashing = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let scenario = Scenario::start(options(9101, 2), 0.08, &CRASHING[..1], sound, crashing).await;
    scenario.begin();
    scenario.finish(CRASHING_TIME).await;
}
