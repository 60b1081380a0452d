//! Tests the decisions about patches, also against a simple reference model.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use azurelug_core::configuration::{KEPT_DECISIONS, KEPT_STEPS, Store, apply_step, digest};
use azurelug_types::config::{Config, OnPartition, State, Zone};
use azurelug_types::id::{Version, ZoneName};
use azurelug_types::patch::{Answer, Change, Patch};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

fn patch(id: &str, base: u64, zone: &str, state: State) -> Patch {
    let change = Change::SetZone {
        name: ZoneName::from(zone),
        zone: Zone {
            state,
            on_partition: OnPartition::ServeLocal,
        },
    };
    Patch {
        patch_id: id.to_owned(),
        base_version: Version(base),
        author: "ana".to_owned(),
        changes: vec![change],
    }
}

fn apply(store: &mut Store, patch: &Patch) -> Answer {
    store.apply(patch, digest(patch), 0)
}

/// The reference model: keeps every answer and replays all changes from the start.
#[derive(Default)]
struct ReferenceModel {
    answers: BTreeMap<String, Answer>,
    accepted: Vec<Patch>,
}

impl ReferenceModel {
    fn apply(&mut self, patch: &Patch) -> Answer {
        if let Some(answer) = self.answers.get(&patch.patch_id) {
            return answer.clone();
        }
        let current = Version(self.accepted.len() as u64);
        let answer = if patch.base_version == current {
            self.accepted.push(patch.clone());
            Answer::Accepted {
                version: current.next(),
            }
        } else {
            Answer::Conflict { current }
        };
        self.answers.insert(patch.patch_id.clone(), answer.clone());
        answer
    }

    fn zones(&self) -> BTreeMap<ZoneName, Zone> {
        let mut zones = BTreeMap::new();
        for change in self.accepted.iter().flat_map(|patch| &patch.changes) {
            if let Change::SetZone { name, zone } = change {
                zones.insert(name.clone(), zone.clone());
            }
        }
        zones
    }
}

/// Guards against answers and versions that differ from the reference model after conflicting and
/// resent patches and restarts.
#[test]
fn random_patches_get_the_answers_of_the_reference_model() {
    for seed in 0..200 {
        let mut random = Pcg32::seed_from_u64(seed);
        let (mut store, mut model) = (Store::default(), ReferenceModel::default());
        for step in 0..200 {
            let current = store.config().version.0;
            let base =
                current.saturating_sub(random.random_range(0..3)) + random.random_range(0..2);
            // Few ids, so that many patches are resent. The id determines the content.
            let number: u64 = random.random_range(0..150);
            let id = format!("p{number}-{base}");
            let zone = format!("zone-{}", number % 4);
            let state = if number.is_multiple_of(2) {
                State::Active
            } else {
                State::Draining
            };
            let patch = patch(&id, base, &zone, state);
            let expected = model.apply(&patch);
            let got = apply(&mut store, &patch);
            assert_eq!(got, expected, "seed {seed}, step {step}");
            if random.random_range(0..20) == 0 {
                let text = serde_json::to_vec(&store).unwrap();
                store = serde_json::from_slice(&text).unwrap();
            }
        }
        assert_eq!(store.config().zones, model.zones(), "seed {seed}");
    }
}

/// Guards against memory use that grows with every patch.
#[test]
fn answers_and_history_are_bounded() {
    let mut store = Store::default();
    let count = KEPT_DECISIONS as u64 + 50;
    for number in 0..count {
        let state = if number.is_multiple_of(2) {
            State::Active
        } else {
            State::Draining
        };
        apply(
            &mut store,
            &patch(&format!("p{number}"), number, "zone-a", state),
        );
    }
    assert_eq!(store.history().count(), KEPT_DECISIONS);
    assert_eq!(store.config().version, Version(count));
    // A patch whose answer was dropped is out of date, so it is not applied again.
    let answer = apply(&mut store, &patch("p0", 0, "zone-a", State::Active));
    assert_eq!(
        answer,
        Answer::Conflict {
            current: Version(count)
        }
    );
}

/// Guards against a refused patch that is partly applied.
#[test]
fn a_refused_patch_changes_nothing() {
    let mut store = Store::default();
    apply(&mut store, &patch("a", 0, "zone-a", State::Active));
    let before: Config = (**store.config()).clone();
    let mut second = patch("b", 1, "zone-b", State::Active);
    second.changes.push(Change::RemoveTarget {
        name: "missing".into(),
    });
    let answer = apply(&mut store, &second);
    assert!(matches!(answer, Answer::Invalid { ref field, .. } if field.starts_with("changes[1]")));
    assert_eq!(before, **store.config());
}

/// Guards against a daemon that applies the steps and has a different configuration than one that
/// fetched the whole, and against steps that are applied twice or out of sequence.
#[test]
fn steps_lead_to_the_whole_configuration() {
    for seed in 0..50 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut store = Store::default();
        let mut follower: Config = (**store.config()).clone();
        for number in 0..100_u64 {
            let zone = format!("zone-{}", random.random_range(0..5));
            let state = if random.random_bool(0.5) {
                State::Active
            } else {
                State::Draining
            };
            apply(
                &mut store,
                &patch(&format!("p{number}"), number, &zone, state),
            );
            if random.random_range(0..4) == 0 {
                let steps = store.steps_after(follower.version).unwrap();
                for step in &steps {
                    follower = apply_step(&follower, step).unwrap();
                    assert!(
                        apply_step(&follower, step).is_none(),
                        "seed {seed}: a step was applied twice"
                    );
                }
                assert_eq!(follower, **store.config(), "seed {seed}");
            }
        }
        let version = store.config().version;
        assert!(store.steps_after(Version(version.0 + 1)).is_none());
    }
}

/// Guards against an incomplete list of steps if the first ones are no longer retained.
#[test]
fn a_daemon_too_far_behind_gets_the_whole_configuration() {
    let mut store = Store::default();
    for number in 0..KEPT_STEPS as u64 + 10 {
        apply(
            &mut store,
            &patch(&format!("p{number}"), number, "zone-a", State::Active),
        );
    }
    assert!(store.steps_after(Version(9)).is_none());
    assert_eq!(store.steps_after(Version(10)).unwrap().len(), KEPT_STEPS);
}
