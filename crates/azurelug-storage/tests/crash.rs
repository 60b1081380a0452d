//! Tests of crashes between any two file operations, with every kind of loss of unsynced data.
//!
//! Each run tracks the store with a model. After a crash, the store may contain the last state that
//! was acknowledged as durable, or any state requested after it.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

#[path = "support/disk.rs"]
mod disk;

use std::path::Path;

use azurelug_storage::{Entry, Error, Files, HardState, HookDecision, Recovered, Snapshot, Store};
use disk::{DiskModel, Loss};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tempfile::TempDir;

const CLUSTER: u128 = 9;

/// Content of the store, with only the entries after the snapshot.
type Content = Recovered;

struct Model {
    possible: Vec<Content>,
}

impl Model {
    fn latest(&self) -> &Content {
        self.possible.last().unwrap()
    }

    fn request(&mut self, change: impl FnOnce(&mut Content)) {
        let mut next = self.latest().clone();
        change(&mut next);
        self.possible.push(next);
    }

    fn acknowledge(&mut self) {
        self.possible.drain(..self.possible.len() - 1);
    }

    fn last_index(&self) -> u64 {
        let latest = self.latest();
        let snapshot = latest
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        latest.entries.last().map_or(snapshot, |entry| entry.index)
    }

    fn is_possible(&self, found: &Content) -> bool {
        self.possible.iter().any(|content| {
            content
                == &Content {
                    torn_bytes: 0,
                    ..found.clone()
                }
        })
    }
}

fn append(store: &mut Store, model: &mut Model, count: u64, term: u64) -> Result<(), Error> {
    let next = model.last_index() + 1;
    let entries: Vec<_> = (next..next + count)
        .map(|index| Entry {
            index,
            term,
            payload: vec![index as u8; 20 + (index % 7) as usize],
        })
        .collect();
    for entry in &entries {
        model.request(|content| content.entries.push(entry.clone()));
    }
    store.append(&entries)
}

fn sync(store: &mut Store, model: &mut Model) -> Result<(), Error> {
    store.sync()?;
    model.acknowledge();
    Ok(())
}

fn save_hard_state(store: &mut Store, model: &mut Model, state: HardState) -> Result<(), Error> {
    model.request(|content| content.hard_state = state);
    store.save_hard_state(state)?;
    model.acknowledge();
    Ok(())
}

fn save_snapshot(store: &mut Store, model: &mut Model, index: u64, term: u64) -> Result<(), Error> {
    let snapshot = Snapshot {
        index,
        term,
        payload: vec![7; 40],
    };
    model.request(|content| {
        let same = content
            .entries
            .iter()
            .any(|entry| (entry.index, entry.term) == (index, term));
        content.entries.retain(|entry| same && entry.index > index);
        content.snapshot = Some(snapshot.clone());
    });
    store.save_snapshot(&snapshot)?;
    model.acknowledge();
    Ok(())
}

/// Opens the store, runs random operations of every kind and ends with a sync; the seed determines
/// the operations.
fn run_writer(folder: &Path, files: Files, model: &mut Model, seed: u64) -> Result<(), Error> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut store, found) = Store::open(folder, CLUSTER, files)?;
    assert!(
        model.is_possible(&found),
        "seed {seed}: found {found:?}, possible {:?}",
        model.possible
    );
    model.possible = vec![Content {
        torn_bytes: 0,
        ..found
    }];
    let store = &mut store;
    for _ in 0..14 {
        let latest = model.latest().clone();
        let term = latest.hard_state.term + 1;
        let last = model.last_index();
        let commit = latest.hard_state.commit;
        let snapshot = latest
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        match random.random_range(0..12) {
            0..4 => append(store, model, random.random_range(1..4), term)?,
            4..7 => sync(store, model)?,
            7 | 8 => {
                let commit = random.random_range(commit..=last.max(commit));
                let vote = Some((random.random_range(0..5), term));
                let state = HardState {
                    slot: 2,
                    storage: 11,
                    term,
                    vote,
                    incarnation: seed + 1,
                    commit,
                };
                save_hard_state(store, model, state)?;
            }
            9 if commit.max(snapshot) < last => {
                let index = random.random_range(commit.max(snapshot) + 1..=last);
                model.request(|content| content.entries.retain(|entry| entry.index < index));
                store.truncate_from(index)?;
            }
            10 if snapshot < last => {
                let index = random.random_range(snapshot + 1..=last);
                let at = latest
                    .entries
                    .iter()
                    .find(|entry| entry.index == index)
                    .unwrap();
                save_snapshot(store, model, index, at.term)?;
            }
            11 => {
                // A snapshot that diverges from the log and replaces it.
                let index = random.random_range(commit.max(snapshot) + 1..=last + 3);
                save_snapshot(store, model, index, term + 7)?;
            }
            _ => {}
        }
    }
    sync(store, model)
}

fn losses(seed: u64) -> impl Iterator<Item = Loss> {
    let torn = (0..4).map(move |number| Loss::Torn(seed * 1_000 + number));
    [Loss::Nothing, Loss::Unsynced].into_iter().chain(torn)
}

/// File access without real syncs, for checks that simulate no further data loss.
fn without_syncs() -> Files {
    Files::with_hook(Box::new(|_| HookDecision::SkipSync))
}

/// Opens the folder after a crash and checks that the store contains one of the possible states and
/// accepts further entries.
fn check(folder: &Path, model: &Model, context: &str) {
    let (mut store, found) = Store::open(folder, CLUSTER, without_syncs())
        .unwrap_or_else(|error| panic!("{context}: {error}"));
    let temporary = std::fs::read_dir(folder)
        .unwrap()
        .map(|item| item.unwrap().file_name());
    let temporary: Vec<_> = temporary
        .filter(|name| name.to_str().unwrap().contains("tmp"))
        .collect();
    assert!(temporary.is_empty(), "{context}: {temporary:?} not removed");
    let possible = &model.possible;
    assert!(
        model.is_possible(&found),
        "{context}: found {found:#?}, possible {possible:#?}"
    );
    let mut model = Model {
        possible: vec![Content {
            torn_bytes: 0,
            ..found
        }],
    };
    append(&mut store, &mut model, 2, 99).unwrap();
    sync(&mut store, &mut model).unwrap();
    drop(store);
    let (_, found) = Store::open(folder, CLUSTER, without_syncs()).unwrap();
    assert!(model.is_possible(&found), "{context}: after more entries");
}

fn empty_model() -> Model {
    Model {
        possible: vec![Content::default()],
    }
}

#[test]
fn a_crash_between_any_two_operations_loses_nothing_acknowledged() {
    let mut crashes = 0;
    for seed in 0..6 {
        for fail_from in 0.. {
            let folder = TempDir::new().unwrap();
            let data = folder.path().join("data");
            std::fs::create_dir(&data).unwrap();
            let disk = DiskModel::new(&data, Some(fail_from));
            let mut model = empty_model();
            let done = run_writer(&data, disk.files(), &mut model, seed).is_ok();
            for (number, loss) in losses(seed).enumerate() {
                let found = folder.path().join(format!("found-{number}"));
                disk.write_after_crash(loss, &found);
                check(
                    &found,
                    &model,
                    &format!("seed {seed} operation {fail_from} {loss:?}"),
                );
            }
            crashes += 1;
            if done {
                break;
            }
        }
    }
    assert!(crashes > 250, "{crashes} crashes");
}

#[test]
fn crashes_during_recovery_lose_nothing_acknowledged() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let folder = TempDir::new().unwrap();
        let mut data = folder.path().join("data-0");
        std::fs::create_dir(&data).unwrap();
        let mut model = empty_model();
        for round in 1..=12 {
            // A small number of operations makes the run crash while it opens the folder.
            let operations = random.random_range(0..if round % 2 == 0 { 70 } else { 14 });
            let disk = DiskModel::new(&data, Some(operations));
            let _ = run_writer(&data, disk.files(), &mut model, seed * 100 + round);
            assert!(disk.operations() <= operations);
            let loss = losses(random.random_range(0..1_000_000))
                .nth(random.random_range(0..6))
                .unwrap();
            data = folder.path().join(format!("data-{round}"));
            disk.write_after_crash(loss, &data);
        }
        check(&data, &model, &format!("seed {seed}"));
    }
}

/// Guards against a member that gives up its folder because a sync failed on a full disk, and
/// against data that was read back after that sync and is not on the disk.
#[test]
fn a_sync_without_room_loses_nothing_acknowledged() {
    let mut failures = 0;
    for seed in 0..12 {
        for syncs in 0.. {
            let folder = TempDir::new().unwrap();
            let data = folder.path().join("data");
            std::fs::create_dir(&data).unwrap();
            let disk = DiskModel::new(&data, None);
            disk.fail_sync_after(syncs);
            let mut model = empty_model();
            let Err(error) = run_writer(&data, disk.files(), &mut model, seed) else {
                break;
            };
            let context = format!("seed {seed} sync {syncs}");
            assert!(error.is_full(), "{context}: {error}");
            let opened = Store::open(&data, CLUSTER, disk.files());
            let (store, found) = opened.unwrap_or_else(|error| panic!("{context}: {error}"));
            assert!(model.is_possible(&found), "{context}: {found:?}");
            drop(store);
            let remaining = folder.path().join("remaining");
            disk.write_after_crash(Loss::Unsynced, &remaining);
            check(
                &remaining,
                &Model {
                    possible: vec![found],
                },
                &context,
            );
            failures += 1;
        }
    }
    assert!(failures > 100, "{failures} failed syncs");
}
