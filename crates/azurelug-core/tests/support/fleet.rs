//! Test fixture: a small fleet of generate engines and a router for it.

use std::time::Duration;

use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::{Completion, LoadReport, Outcome, Router, Settings};
use azurelug_core::slow_start::DaemonRank;
use azurelug_types::config::{Config, ModelRef, OnPartition, Role, StageKind, State, Target, Zone};
use azurelug_types::id::{ModelName, TargetName, Version, ZoneName};
use rand::SeedableRng;
use rand_pcg::Pcg32;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) const SUCCESS: Outcome = Outcome {
    completion: Completion::Success,
    first_token: Some(Duration::from_millis(100)),
};

pub(crate) fn model() -> ModelRef {
    ModelRef {
        model: ModelName::from("summary"),
        adapter: None,
        version: "1".to_owned(),
    }
}

/// Creates zones a, b and so on with `per_zone` targets each, named a0, a1, b0 and so on. Targets
/// have a limit of 10 and a cold limit of 2.
pub(crate) fn fleet(zones: usize, per_zone: usize) -> Config {
    let mut config = Config {
        version: Version(1),
        ..Config::default()
    };
    for zone in 0..zones {
        let name = char::from(b'a' + zone as u8).to_string();
        config.zones.insert(
            ZoneName(name.clone()),
            Zone {
                state: State::Active,
                on_partition: OnPartition::ServeLocal,
            },
        );
        for index in 0..per_zone {
            let port = 10_000 + (zone * per_zone + index) as u16;
            config.targets.insert(
                TargetName(format!("{name}{index}")),
                Target {
                    zone: ZoneName(name.clone()),
                    address: ([127, 0, 0, 1], port).into(),
                    role: Role::Engine(StageKind::Generate),
                    loaded: vec![model()],
                    limit: 10,
                    cold_limit: 2,
                    state: State::Active,
                    checks_fencing: false,
                },
            );
        }
    }
    config
}

/// Creates a router in zone a with a valid lease.
pub(crate) fn router(config: &Config, seed: u64, position: DaemonRank) -> Router {
    let settings = Settings::new(ZoneName::from("a")).with_position(position);
    let mut router = Router::new(settings, Pcg32::seed_from_u64(seed));
    router.apply(config, Duration::ZERO);
    router.set_mode(Mode::Normal);
    router
}

/// Creates a router whose targets have all reported that they are warm and idle.
pub(crate) fn warm_router(config: &Config, seed: u64) -> Router {
    let mut router = router(config, seed, DaemonRank::ALONE);
    for name in config.targets.keys() {
        report(&mut router, name.as_str(), 0, true, 1, Duration::ZERO);
    }
    router
}

pub(crate) fn report(
    router: &mut Router,
    name: &str,
    calls: u32,
    warm: bool,
    start_stamp: u64,
    now: Duration,
) {
    let key = router
        .table()
        .key(&TargetName::from(name))
        .expect("the fleet has this target");
    let report = LoadReport {
        calls,
        taken_at: now,
        warm,
        start_stamp,
    };
    router.report(key, report, now);
}
