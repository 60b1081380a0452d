//! Deployments with requests of which some crash targets, and the checks of their answers.
// Each test file uses some of it.
#![allow(dead_code)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use azurelug_system::soak::Options;
use azurelug_system::soak::crashes::{Crashes, Draft};
use azurelug_system::soak::deployment::Deployment;
use azurelug_system::soak::load::{Answer, Load, Pace};
use azurelug_system::soak::plan::Fault;
use azurelug_testkit::crash::ALLOWED;
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::time::sleep;

/// How long all requests are sound.
const SOUND_TIME: Duration = Duration::from_millis(2500);

/// How long requests with parts that crash targets come afterwards.
pub(crate) const CRASHING_TIME: Duration = Duration::from_secs(15);

/// How long they come in a long run.
pub(crate) const LONG_CRASHING_TIME: Duration = Duration::from_secs(25);

/// Time between two requests at one gateway.
const INTERVAL: Duration = Duration::from_millis(100);

/// The part that all requests of the route share, unless a test says otherwise.
pub(crate) const BASE: &str = "5c1e";

/// Parts that crash no target.
pub(crate) const SOUND: [&str; 4] = ["91bd", "a402", "77f0", "03cc"];

/// Parts that crash targets.
pub(crate) const CRASHING: [&str; 2] = ["dead", "de4d"];

/// Last part of a run, when the parts that crash targets are known.
pub(crate) const END_TIME: Duration = Duration::from_secs(4);

/// Requests that may be denied, besides one in 500.
const DENIED: usize = 5;

/// Least time after which a refused request may come again, in seconds.
const MIN_RETRY_AFTER: f64 = 1.0;

/// Longest time until a request is refused: a third of the route's latency objective of 1 s, and
/// time for the processes.
const REFUSAL_LIMIT: Duration = Duration::from_millis(800);

/// Most answers that a broken rule names.
const DESCRIBED: usize = 20;

/// A draft on the streaming route. The last part belongs to the request.
pub(crate) fn talk(random: &mut Pcg64, shared: &[&str]) -> Draft {
    let own = format!("{:x}:250", random.random::<u32>());
    let shared = shared.iter().map(|part| format!("{part}:400,"));
    Draft::post("/talk/x", shared.collect::<String>() + &own)
}

/// A sound request, which differs from one that crashes targets in one part.
pub(crate) fn sound(random: &mut Pcg64) -> Draft {
    let part = SOUND[random.random_range(0..SOUND.len())];
    talk(random, &[BASE, part])
}

/// What crashes the targets, and the share of requests with it.
pub(crate) struct Crashing<'a> {
    /// The service whose targets the parts crash.
    pub(crate) service: &'a str,
    /// Parts of prompts.
    pub(crate) parts: &'a [&'a str],
    /// Whole requests.
    pub(crate) requests: &'a [Draft],
    /// The share of requests with one of them.
    pub(crate) share: f64,
}

impl Crashing<'_> {
    /// One part that crashes engines.
    pub(crate) fn engines(share: f64) -> Self {
        Self {
            service: "llm",
            parts: &CRASHING[..1],
            requests: &[],
            share,
        }
    }

    /// Nothing.
    pub(crate) fn none() -> Self {
        Self {
            parts: &[],
            ..Self::engines(0.0)
        }
    }
}

/// A deployment with requests, of which some will crash targets.
pub(crate) struct Scenario {
    seed: u64,
    pub(crate) deployment: Deployment,
    loads: Vec<Load>,
    has_started: Arc<AtomicBool>,
}

impl Scenario {
    /// Starts a deployment and sound requests. `unsound` draws requests that crash targets.
    pub(crate) async fn start<F, G>(
        options: Options,
        crashing: Crashing<'_>,
        sound: F,
        unsound: G,
    ) -> Self
    where
        F: Fn(&mut Pcg64) -> Draft + Clone + Send + 'static,
        G: Fn(&mut Pcg64) -> Draft + Clone + Send + 'static,
    {
        let share = crashing.share;
        let deployment = Deployment::start(&options, Arc::default()).await;
        for part in crashing.parts {
            let crashes = &deployment.checker().crashes;
            crashes.add_part(crashing.service, part);
        }
        for request in crashing.requests {
            deployment.checker().crashes.add_request(request);
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
            let is_unsound = random.random_bool(share);
            if is_unsound && started.load(Ordering::Relaxed) {
                unsound(random)
            } else {
                sound(random)
            }
        });
        sleep(SOUND_TIME).await;
        Self {
            seed: options.seed,
            deployment,
            loads: vec![load],
            has_started,
        }
    }

    /// Lets requests come that crash targets.
    pub(crate) fn begin(&self) {
        self.has_started.store(true, Ordering::Relaxed);
    }

    /// Sends further requests from now on. The clients of all gateways send at the same moments.
    pub(crate) fn send(&mut self, gateways: &[usize], interval: Duration, draft: &Draft) {
        let pace = Pace {
            gateways,
            interval,
            seed: self.seed,
            repeats: 0,
        };
        let draft = draft.clone();
        let load = Load::start(&self.deployment, pace, move |_| draft.clone());
        self.loads.push(load);
    }

    /// Time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.deployment.checker().limits.now()
    }

    /// Number of crashes that requests have caused.
    fn crash_count(&self) -> usize {
        let summary = self.deployment.checker().crashes.summary();
        summary.values().map(|it| it.crashes).sum()
    }

    /// Crashes targets at once without a cause in requests.
    pub(crate) fn crash(&self, targets: &[&str]) {
        for target in targets {
            self.deployment.crash(target);
        }
    }

    /// Has a fault for some time.
    pub(crate) async fn fail(&mut self, fault: &Fault, time: Duration) {
        self.deployment.start_fault(fault);
        sleep(time).await;
        self.deployment.end_fault(fault).await;
    }

    /// Kills all gateways and control daemons at once, and starts them again. Checks that few
    /// crashes follow.
    pub(crate) async fn restart_all(mut self, time_left: Duration) {
        let before = self.crash_count();
        let gateways = (0..3).map(Fault::KillGateway);
        let faults: Vec<Fault> = gateways.chain((0..3).map(Fault::KillControl)).collect();
        for fault in &faults {
            self.deployment.start_fault(fault);
        }
        sleep(Duration::from_millis(500)).await;
        for fault in &faults {
            self.deployment.end_fault(fault).await;
        }
        sleep(time_left).await;
        let later = self.crash_count() - before;
        println!("{later} more crashes, {before} before");
        self.finish(Duration::ZERO).await;
        assert!(later <= ALLOWED, "{later} more crashes, {before} before");
    }

    /// Waits until the end, stops the requests and checks the rules.
    pub(crate) async fn finish(self, time_left: Duration) -> Vec<Answer> {
        self.finish_with(time_left, |_, _| Vec::new()).await
    }

    /// The same with a check of the answers, which returns the broken rules. The logs of the
    /// processes are kept if there are any.
    pub(crate) async fn finish_with(
        self,
        time_left: Duration,
        check: impl FnOnce(&Crashes, &[Answer]) -> Vec<String>,
    ) -> Vec<Answer> {
        sleep(time_left).await;
        let mut answers = Vec::new();
        for load in self.loads {
            answers.extend(load.close().await);
        }
        let checker = self.deployment.checker();
        for violation in check(&checker.crashes, &answers) {
            checker.record_violation(violation);
        }
        let report = self.deployment.finish(self.seed, &checker, &[]);
        for (cause, summary) in checker.crashes.summary() {
            println!("{cause}: {summary:?}");
            assert!(summary.crashes > 0, "{cause} has crashed no target");
        }
        let denied = answers.iter().filter(|answer| answer.is_denied()).count();
        assert!(denied <= DENIED + answers.len() / 500, "{denied} denied");
        let logs = report.log_folder;
        assert_eq!(report.violations, [] as [String; 0], "logs in {logs:?}");
        answers
    }
}

/// Sound requests at the first attempt whose answer has begun, and all of them.
pub(crate) fn count_begun<'a>(answers: impl Iterator<Item = &'a Answer>) -> (usize, usize) {
    let first = answers.filter(|answer| answer.is_sound && answer.repeat == 0);
    first.fold((0, 0), |(begun, all), answer| {
        (begun + usize::from(answer.has_begun), all + 1)
    })
}

/// Checks that requests with a cause that every gateway must know are refused at once, and not to be
/// repeated soon, except the few that may reach targets. Returns what broke the rule.
pub(crate) fn check_refusals<'a>(
    answers: impl Iterator<Item = &'a Answer>,
    known_from: Duration,
) -> Option<String> {
    let unsound = answers.filter(|it| !it.is_sound && it.sent > known_from);
    let is_refused = |it: &Answer| {
        it.status == Some(503)
            && it.is_whole
            && it.elapsed <= REFUSAL_LIMIT
            && it.retry_after.is_some_and(|after| after >= MIN_RETRY_AFTER)
    };
    let others: Vec<&Answer> = unsound.filter(|it| !is_refused(it)).collect();
    if others.len() <= ALLOWED {
        return None;
    }
    let described = others.iter().take(DESCRIBED).map(|it| {
        let Answer {
            id,
            sent,
            status,
            retry_after,
            elapsed,
            ..
        } = it;
        format!("{id} at {sent:?}: {status:?} after {elapsed:?}, again after {retry_after:?} s")
    });
    let described: Vec<String> = described.collect();
    Some(format!(
        "{} requests that gateways had to refuse from {known_from:?} on: {described:#?}",
        others.len()
    ))
}

/// Options with two targets of each service in each zone.
pub(crate) fn options(seed: u64, gateways_per_zone: u8) -> Options {
    Options {
        seed,
        gateways_per_zone,
        targets_per_zone: 2,
        ..Options::default()
    }
}
