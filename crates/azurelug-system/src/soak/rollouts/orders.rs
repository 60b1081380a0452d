//! An operator that orders roll-outs to new versions, good or bad ones, and reads their states.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::{FIRST_VERSION, Progress, SERVICE};
use crate::soak::Options;
use crate::soak::checker::Checker;
use crate::soak::deployment::{Deployment, Starter};
use crate::soak::operator::{call, send_order};
use crate::soak::targets::Behaviour;

/// Distinguishes the random numbers of roll-outs from those of the faults, which stay as they are for a
/// seed.
const ROLLOUT_SEED: u64 = 0x726f_6c6c_6f75;

/// Time of the first order, in milliseconds: the versions of the first targets are allowed by then.
const FIRST_ORDER_MS: std::ops::Range<u64> = 2000..3000;

/// Time between two orders, in milliseconds.
const ORDER_INTERVAL_MS: std::ops::Range<u64> = 15_000..20_000;

/// Time within which a roll-out has to be complete.
const DURATION: Duration = Duration::from_secs(12);

/// Time after the last fault within which a roll-out may end. Service is measured later.
const LATE_END: Duration = Duration::from_secs(5);

/// Longest time between the start of new targets and their order, in milliseconds.
const MAX_LEAD_MS: u64 = 500;

/// Time from an order to the start of targets that no order names, in milliseconds.
const UNORDERED_START_MS: std::ops::Range<u64> = 1000..10_000;

/// Time for which they are there, less than the time after which a version without an order is a plain
/// release.
const UNORDERED_TIME: Duration = Duration::from_secs(4);

/// Number of the first version that no order names.
const FIRST_UNORDERED: u8 = 101;

/// Time between two reads, in milliseconds.
const READ_INTERVAL_MS: std::ops::Range<u64> = 50..250;

/// Starts the operator of a run.
pub fn start(deployment: &Deployment, options: &Options) -> JoinHandle<()> {
    let orderer = Orderer {
        controls: deployment.controls(),
        checker: deployment.checker(),
        starter: deployment.starter(),
        last_order: (options.fault_duration + LATE_END).saturating_sub(DURATION),
    };
    let random = Pcg64::seed_from_u64(options.seed ^ ROLLOUT_SEED);
    tokio::spawn(orderer.run(random))
}

struct Orderer {
    controls: Vec<SocketAddr>,
    checker: Arc<Checker>,
    starter: Starter,
    /// Time of the run after which no order is sent.
    last_order: Duration,
}

impl Orderer {
    async fn run(self, mut random: Pcg64) {
        let started = Instant::now();
        let mut at = Duration::from_millis(random.random_range(FIRST_ORDER_MS));
        for version in FIRST_VERSION + 1.. {
            let is_bad = random.random();
            let lead = Duration::from_millis(random.random_range(0..MAX_LEAD_MS));
            let is_early = random.random();
            let unordered = Duration::from_millis(random.random_range(UNORDERED_START_MS));
            let unordered = started + at + unordered;
            self.read_until(started + at).await;
            if at > self.last_order {
                break;
            }
            let behaviour = if is_bad {
                Behaviour::Fails
            } else {
                Behaviour::Normal
            };
            if is_early {
                self.starter.start(SERVICE, version, behaviour).await;
                sleep(lead).await;
            }
            let now = || self.checker.limits.now();
            self.checker.rollouts.record_order(version, is_bad, now());
            let order = self.order(version);
            let targets = async {
                if !is_early {
                    sleep(lead).await;
                    self.starter.start(SERVICE, version, behaviour).await;
                }
            };
            tokio::join!(order, targets);
            self.read_until(unordered).await;
            let other = FIRST_UNORDERED + version;
            self.starter.start(SERVICE, other, Behaviour::Normal).await;
            self.read_until(unordered + UNORDERED_TIME).await;
            self.starter.end(SERVICE, other);
            at += Duration::from_millis(random.random_range(ORDER_INTERVAL_MS));
        }
        self.read_until(started + Duration::MAX / 4).await;
    }

    async fn order(&self, version: u8) {
        let order = json!({"service": SERVICE, "target": format!("v{version}"),
            "duration_s": DURATION.as_secs_f64()});
        let body = Bytes::from(order.to_string());
        if send_order(&self.controls, Method::POST, "/rollouts", body).await {
            let now = self.checker.limits.now();
            self.checker.rollouts.record_acknowledged(version, now);
        }
    }

    /// Reads the state of the last roll-out at control daemons until a time. The number of reads depends
    /// on the processes, so that their random numbers are not the seed's.
    async fn read_until(&self, until: Instant) {
        while Instant::now() < until {
            let control = rand::rng().random_range(0..self.controls.len());
            self.read(self.controls[control]).await;
            let pause = Duration::from_millis(rand::rng().random_range(READ_INTERVAL_MS));
            sleep(pause.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    async fn read(&self, control: SocketAddr) {
        let rollouts = &self.checker.rollouts;
        let known = rollouts.known();
        let path = format!("/rollouts/{SERVICE}");
        let read = match call(control, Method::GET, &path, Bytes::new()).await {
            Some((200, body)) => {
                let state: Value = serde_json::from_slice(&body).unwrap_or_default();
                let text = |field: &str| state[field].as_str().unwrap_or_default();
                let version = text("target").strip_prefix('v');
                let version = version.and_then(|it| it.parse().ok()).unwrap_or(0);
                Progress::read(text("state")).map(|progress| (version, progress))
            }
            Some((404, _)) => None,
            // Daemons that can't be sure refuse, and faulty ones don't answer.
            _ => return,
        };
        rollouts.record_read(known, read, self.checker.limits.now());
    }
}
