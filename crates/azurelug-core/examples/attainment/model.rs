//! The simulated targets: service times, continuous batching and cold starts.

use std::time::Duration;

use azurelug_core::routing::Completion;
use azurelug_types::config::{
    Account, Config, ModelRef, OnPartition, Role, StageKind, State, Target as TargetConfig, Zone,
};
use azurelug_types::id::{AccountName, ModelName, TargetName, Version, ZoneName};
use rand::RngExt;
use rand_pcg::Pcg32;

pub(crate) const ZONES: usize = 3;
pub(crate) const KINDS: usize = 4;
pub(crate) const GENERATE: usize = 3;
pub(crate) const RERANK: usize = 2;
/// For each stage kind: targets per zone, concurrent calls per warm target and per cold target.
const FLEET: [(usize, u32, u32); KINDS] = [(2, 16, 4), (2, 16, 4), (2, 8, 2), (4, 16, 4)];
/// Service time of each stage in seconds before the random factor; generate adds its tokens.
const BASE_SECONDS: [f64; KINDS] = [0.02, 0.06, 0.1, 0.25];
/// Time in seconds to generate the tokens of a short and of a long call.
const TOKEN_SECONDS: [f64; 2] = [0.3, 3.0];
/// Mean of the random factor of service times.
const MEAN_FACTOR: f64 = 1.03;
/// Duration of a cold start.
pub(crate) const COLD_START: Duration = Duration::from_secs(20);
/// Factor by which calls at a cold target are slower.
const COLD_FACTOR: f64 = 5.0;

pub(crate) struct Target {
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    pub(crate) limit: u32,
    cold_limit: u32,
    pub(crate) running: u32,
    pub(crate) cold_until: Duration,
    pub(crate) start_stamp: u64,
    pub(crate) slowdown: f64,
    /// Number of calls that were started above the cold limit.
    pub(crate) calls_above_cold_limit: u32,
}

/// The simulated course of a call.
pub(crate) struct SimulatedCall {
    pub(crate) duration: Duration,
    pub(crate) first_token: Duration,
    pub(crate) completion: Completion,
}

impl Target {
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    pub(crate) fn limit_in_force(&self, now: Duration) -> u32 {
        if self.is_cold(now) {
            self.cold_limit
        } else {
            self.limit
        }
    }

    /// Starts a call. Calls above the limit of a warm target slow down more than in proportion to
    /// the load, and fail above three times the limit. A cold target fails calls above its cold
    /// limit.
    pub(crate) fn start(
        &mut self,
        short: bool,
        random: &mut Pcg32,
        now: Duration,
    ) -> SimulatedCall {
        self.running += 1;
        let load = f64::from(self.running) / f64::from(self.limit);
        let mut factor = 0.7 + 0.6 * random.random::<f64>();
        if random.random_range(0..100) < 3 {
            factor *= 2.0;
        }
        factor *= self.slowdown * load.max(1.0).powf(1.5);
        let mut failure = (load > 3.0).then_some(0.05);
        if self.is_cold(now) {
            factor *= COLD_FACTOR;
            if self.running > self.cold_limit {
                self.calls_above_cold_limit += 1;
                failure = Some(0.5);
            }
        }
        let tokens = if self.kind == GENERATE {
            TOKEN_SECONDS[usize::from(!short)]
        } else {
            0.0
        };
        let seconds = failure.unwrap_or((BASE_SECONDS[self.kind] + tokens) * factor);
        SimulatedCall {
            duration: Duration::from_secs_f64(seconds),
            first_token: Duration::from_secs_f64(BASE_SECONDS[self.kind] * factor),
            completion: if failure.is_none() {
                Completion::Success
            } else {
                Completion::Failure
            },
        }
    }
}

/// Requests per second that a stage can complete if all its targets are warm and half of the
/// requests are short.
pub(crate) fn capacity(kind: usize, slowdown: f64) -> f64 {
    let (per_zone, limit, _) = FLEET[kind];
    let tokens = if kind == GENERATE {
        (TOKEN_SECONDS[0] + TOKEN_SECONDS[1]) / 2.0
    } else {
        0.0
    };
    let slots = (ZONES * per_zone) as f64 * f64::from(limit);
    slots / ((BASE_SECONDS[kind] + tokens) * MEAN_FACTOR * slowdown)
}

pub(crate) fn model(kind: usize) -> ModelRef {
    ModelRef {
        model: ModelName::from(StageKind::ALL[kind].as_str()),
        adapter: None,
        version: "1".to_owned(),
    }
}

pub(crate) fn zone_name(zone: usize) -> ZoneName {
    ZoneName(format!("zone{zone}"))
}

/// The configuration, and the targets in the order of their keys.
pub(crate) fn fleet() -> (Config, Vec<Target>) {
    let mut config = Config {
        version: Version(1),
        ..Config::default()
    };
    for account in 0..5 {
        let account = (
            AccountName(format!("account{account}")),
            Account {
                key_digest: String::new(),
                weight: 1,
                max_in_flight: 1000,
            },
        );
        config.accounts.insert(account.0, account.1);
    }
    let mut targets = Vec::new();
    for zone in 0..ZONES {
        config.zones.insert(
            zone_name(zone),
            Zone {
                state: State::Active,
                on_partition: OnPartition::ServeLocal,
            },
        );
        for (kind, (per_zone, limit, cold_limit)) in FLEET.into_iter().enumerate() {
            for _ in 0..per_zone {
                let index = targets.len();
                config.targets.insert(
                    TargetName(format!("target{index:03}")),
                    TargetConfig {
                        zone: zone_name(zone),
                        address: ([127, 0, 0, 1], 1000 + index as u16).into(),
                        role: Role::Engine(StageKind::ALL[kind]),
                        loaded: vec![model(kind)],
                        limit,
                        cold_limit,
                        state: State::Active,
                        checks_fencing: false,
                    },
                );
                targets.push(Target {
                    zone,
                    kind,
                    limit,
                    cold_limit,
                    running: 0,
                    cold_until: Duration::ZERO,
                    start_stamp: 1,
                    slowdown: 1.0,
                    calls_above_cold_limit: 0,
                });
            }
        }
    }
    (config, targets)
}
