//! Tests that earlier configuration versions are rebuilt.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use azurelug_core::configuration::digest;
use azurelug_core::configuration::past::KEPT_VERSIONS;
use azurelug_core::machine::{Command, Machine};
use azurelug_types::config::{Config, Model, OnPartition, Role, State, Target, Zone};
use azurelug_types::id::{ModelName, ServiceName, TargetName, Version, ZoneName};
use azurelug_types::patch::{Change, Patch};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// A random change of one of a few names, so that most changes replace or remove a value. Some of
/// them are invalid.
fn random_change(random: &mut Pcg32) -> Change {
    let number = random.random_range(1..5_u16);
    let name = TargetName(format!("target-{number}"));
    let state = [State::Active, State::Draining][random.random_range(0..2)];
    let zone = ZoneName::from("zone-a");
    match random.random_range(0..6) {
        0 => Change::SetZoneState { name: zone, state },
        1 => Change::SetTargetState { name, state },
        2 => Change::RemoveTarget { name },
        3 => Change::SetModel {
            name: ModelName(format!("model-{number}")),
            model: Model::default(),
        },
        4 => Change::SetService {
            name: ServiceName::from("stock"),
            service: azurelug_types::config::Service::default(),
        },
        _ => Change::SetTarget {
            name,
            target: Target {
                zone,
                address: ([127, 0, 0, 1], number * 10 + random.random_range(0..2)).into(),
                role: Role::Service(ServiceName::from("stock")),
                loaded: Vec::new(),
                limit: random.random_range(1..5),
                cold_limit: 1,
                state,
                checks_fencing: false,
            },
        },
    }
}

/// Applies `count` random patches; returns all versions that they created.
fn apply_random_patches(
    machine: &mut Machine,
    random: &mut Pcg32,
    count: usize,
) -> Vec<Arc<Config>> {
    let zone = Change::SetZone {
        name: ZoneName::from("zone-a"),
        zone: Zone {
            state: State::Active,
            on_partition: OnPartition::ServeLocal,
        },
    };
    let mut versions = vec![Arc::clone(machine.store().config())];
    for step in 0..count {
        // The first patch must be valid, because all targets need the zone.
        let changes = match step {
            0 => vec![zone.clone()],
            _ => (0..random.random_range(1..4))
                .map(|_| random_change(random))
                .collect(),
        };
        let patch = Patch {
            patch_id: format!("patch-{step}"),
            base_version: machine.store().config().version,
            author: "ana".to_owned(),
            changes,
        };
        let digest = digest(&patch);
        machine.apply(Command::Patch {
            patch: Box::new(patch),
            digest,
            at_ms: 0,
        });
        if machine.store().config().version > versions.last().unwrap().version {
            versions.push(Arc::clone(machine.store().config()));
        }
    }
    versions
}

/// Guards against a rebuilt version that differs from the one that was in force, before and after a
/// restart from a snapshot.
#[test]
fn every_kept_version_is_rebuilt_as_it_was() {
    for seed in 0..50 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut machine = Machine::default();
        let versions = apply_random_patches(&mut machine, &mut random, 60);
        assert!(versions.len() > 10, "seed {seed}: too few versions");
        let restored = Machine::restore(machine.snapshot()).unwrap();
        for expected in &versions {
            let version = expected.version;
            assert_eq!(
                machine.version(version).as_ref(),
                Ok(&**expected),
                "seed {seed}"
            );
            assert_eq!(
                restored.version(version).as_ref(),
                Ok(&**expected),
                "seed {seed}"
            );
        }
        let newest = versions.last().unwrap().version;
        assert_eq!(
            machine.version(newest.next()),
            Err(Version(0)),
            "seed {seed}"
        );
    }
}

/// Guards against memory use that grows with every patch, and against a wrong oldest version.
#[test]
fn only_the_newest_versions_are_kept() {
    let mut machine = Machine::default();
    let versions = apply_random_patches(
        &mut machine,
        &mut Pcg32::seed_from_u64(1),
        6 * KEPT_VERSIONS,
    );
    let newest = versions.last().unwrap().version.0;
    let oldest = newest - KEPT_VERSIONS as u64;
    assert!(oldest > 1, "too few versions: {newest}");
    assert!(machine.version(Version(oldest)).is_ok());
    assert_eq!(machine.version(Version(oldest - 1)), Err(Version(oldest)));
}
