//! Tests of the store on a real data folder: restarts, damaged, missing and renamed files.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use std::fs;
use std::path::{Path, PathBuf};

use azurelug_storage::{Entry, Error, Files, FormatError, HardState, Recovered, Snapshot, Store};
use tempfile::TempDir;

const CLUSTER: u128 = 77;

fn open(folder: &Path) -> (Store, Recovered) {
    Store::open(folder, CLUSTER, Files::new()).unwrap()
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: format!("payload of {index} in {term}").into_bytes(),
    }
}

fn entries(indices: std::ops::RangeInclusive<u64>, term: u64) -> Vec<Entry> {
    indices.map(|index| entry(index, term)).collect()
}

fn names(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let mut names: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|item| item.unwrap().path())
        .collect();
    names.retain(|path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with(prefix)
    });
    names.sort();
    names
}

fn copy(from: &Path, to: &Path) {
    let _ = fs::remove_dir_all(to);
    fs::create_dir(to).unwrap();
    for path in names(from, "") {
        fs::copy(&path, to.join(path.file_name().unwrap())).unwrap();
    }
}

/// Writes a snapshot at 4, entries 5 to 9 in two segments, and a hard state, and stops without
/// closing the store.
fn sample(folder: &Path) -> Recovered {
    let (mut store, _) = open(folder);
    store.append(&entries(1..=6, 1)).unwrap();
    store.sync().unwrap();
    store
        .save_snapshot(&Snapshot {
            index: 4,
            term: 1,
            payload: b"state".to_vec(),
        })
        .unwrap();
    let hard_state = HardState {
        term: 2,
        vote: Some((1, 5)),
        incarnation: 5,
        commit: 6,
        slot: 2,
        storage: 11,
    };
    store.save_hard_state(hard_state).unwrap();
    store.append(&entries(7..=9, 2)).unwrap();
    store.sync().unwrap();
    drop(store);
    let copied = TempDir::new().unwrap();
    copy(folder, &copied.path().join("data"));
    let (_, recovered) = open(&copied.path().join("data"));
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.snapshot.as_ref().unwrap().payload, b"state");
    assert_eq!(
        recovered.entries,
        [entries(5..=6, 1), entries(7..=9, 2)].concat()
    );
    recovered
}

#[test]
fn an_empty_folder_opens_empty_and_keeps_later_entries() {
    let temporary = TempDir::new().unwrap();
    let folder = temporary.path().join("data");
    let (mut store, recovered) = open(&folder);
    assert_eq!(recovered, Recovered::default());
    store.append(&entries(1..=3, 1)).unwrap();
    assert_eq!((store.last_index(), store.synced_index()), (3, 0));
    store.close().unwrap();
    assert_eq!(open(&folder).1.entries, entries(1..=3, 1));
}

#[test]
fn a_second_writer_is_refused() {
    let folder = TempDir::new().unwrap();
    let (store, _) = open(folder.path());
    let error = Store::open(folder.path(), CLUSTER, Files::new())
        .err()
        .unwrap();
    assert!(matches!(error, Error::Locked { .. }), "{error}");
    assert!(error.to_string().contains("in use by another process"));
    store.close().unwrap();
    open(folder.path());
}

/// Guards against a member that opens its folder again, as after a full disk, while another part of
/// the daemon writes a file there.
#[test]
fn opening_leaves_the_temporary_files_of_other_writers() {
    let temporary = TempDir::new().unwrap();
    let others = temporary.path().join("holders.tmp");
    let own = temporary.path().join("hard-state.tmp");
    std::fs::write(&others, "half").unwrap();
    std::fs::write(&own, "half").unwrap();
    open(temporary.path());
    assert!(others.exists());
    assert!(!own.exists());
}

#[test]
fn a_folder_of_another_cluster_is_refused_and_left_unchanged() {
    let folder = TempDir::new().unwrap();
    sample(folder.path());
    let before = names(folder.path(), "");
    let error = Store::open(folder.path(), 78, Files::new()).err().unwrap();
    assert!(
        matches!(error, Error::Format(FormatError::WrongCluster { .. })),
        "{error}"
    );
    assert_eq!(names(folder.path(), ""), before);
}

#[test]
fn a_flipped_byte_in_any_file_is_refused_or_loses_only_a_sync_mark() {
    let (base, copied) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let expected = sample(base.path());
    let trial = copied.path().join("data");
    let (mut refused, mut cut) = (0, 0);
    for path in names(base.path(), "")
        .iter()
        .filter(|path| !path.ends_with("lock"))
    {
        let name = path.file_name().unwrap();
        for at in 0..fs::metadata(path).unwrap().len() as usize {
            copy(base.path(), &trial);
            let mut bytes = fs::read(path).unwrap();
            bytes[at] ^= 0x20;
            fs::write(trial.join(name), bytes).unwrap();
            match Store::open(&trial, CLUSTER, Files::new()) {
                Err(error) => {
                    assert!(
                        matches!(error, Error::Format(_)),
                        "{name:?} byte {at}: {error}"
                    );
                    assert!(
                        error.to_string().contains(name.to_str().unwrap()),
                        "{error}"
                    );
                    refused += 1;
                }
                Ok((_, recovered)) => {
                    assert_eq!(
                        Recovered {
                            torn_bytes: 0,
                            ..recovered
                        },
                        expected,
                        "{name:?} byte {at}"
                    );
                    cut += 1;
                }
            }
        }
    }
    assert!(refused > 400 && cut <= 33, "{refused} refused, {cut} cut");
}

#[test]
fn a_missing_file_is_detected_unless_the_others_contain_the_whole_log() {
    let (base, copied) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    let recovered = sample(base.path());
    let trial = copied.path().join("data");
    let remove_each_file = |recoverable_prefix: &str| {
        for path in names(base.path(), "")
            .iter()
            .filter(|path| !path.ends_with("lock"))
        {
            copy(base.path(), &trial);
            let name = path.file_name().unwrap().to_str().unwrap();
            fs::remove_file(trial.join(name)).unwrap();
            match Store::open(&trial, CLUSTER, Files::new()) {
                Err(error) => assert!(matches!(error, Error::Format(_)), "{name}: {error}"),
                Ok((_, found)) => {
                    assert!(name.starts_with(recoverable_prefix), "{name}");
                    assert_eq!(found.entries[..4], entries(1..=4, 1), "{name}");
                    assert_eq!(found.entries[4..], recovered.entries, "{name}");
                }
            }
        }
    };
    // The oldest segment still contains the entries that this snapshot covers.
    remove_each_file("snapshot-");
    // Without a close, the hard state records only the start of the newest segment.
    let (mut store, _) = open(base.path());
    store
        .save_snapshot(&Snapshot {
            index: 9,
            term: 2,
            payload: Vec::new(),
        })
        .unwrap();
    store.append(&entries(10..=12, 2)).unwrap();
    store
        .save_snapshot(&Snapshot {
            index: 11,
            term: 2,
            payload: Vec::new(),
        })
        .unwrap();
    store.append(&entries(13..=14, 2)).unwrap();
    store.sync().unwrap();
    drop(store);
    remove_each_file("none");
}

#[test]
fn a_renamed_file_is_refused_with_its_name_and_the_remedy() {
    let (base, copied) = (TempDir::new().unwrap(), TempDir::new().unwrap());
    sample(base.path());
    let trial = copied.path().join("data");
    for prefix in ["snapshot-", "journal-"] {
        copy(base.path(), &trial);
        let old = names(&trial, prefix).pop().unwrap();
        let new = trial.join(format!("{prefix}{:020}", 8));
        fs::rename(old, &new).unwrap();
        let error = Store::open(&trial, CLUSTER, Files::new())
            .err()
            .unwrap()
            .to_string();
        assert!(error.contains(new.to_str().unwrap()), "{error}");
        assert!(
            error.contains("at byte 0") && error.contains("set the data folder aside"),
            "{error}"
        );
    }
}

#[test]
fn a_store_opened_hundreds_of_times_loses_no_entry_and_reuses_no_generation() {
    let folder = TempDir::new().unwrap();
    let mut last_generation = 0;
    for round in 0..400_u64 {
        let (mut store, recovered) = open(folder.path());
        assert!(store.generation() > last_generation);
        last_generation = store.generation();
        let first = recovered
            .snapshot
            .as_ref()
            .map_or(1, |snapshot| snapshot.index + 1);
        assert_eq!(
            recovered.entries,
            entries(first..=round, 1),
            "round {round}"
        );
        store.append(&[entry(round + 1, 1)]).unwrap();
        store.sync().unwrap();
        if round % 150 == 149 {
            let snapshot = Snapshot {
                index: round,
                term: 1,
                payload: Vec::new(),
            };
            store.save_snapshot(&snapshot).unwrap();
        }
        if round % 2 == 0 {
            store.close().unwrap();
        }
    }
    assert!(names(folder.path(), "journal-").len() < 152);
    assert_eq!(names(folder.path(), "snapshot-").len(), 1);
}

#[test]
fn restarts_without_entries_remove_old_segments() {
    let folder = TempDir::new().unwrap();
    for _ in 0..50 {
        open(folder.path());
    }
    assert!(names(folder.path(), "journal-").len() <= 2);
}

#[test]
fn a_snapshot_removes_the_segments_it_covers_and_nothing_more() {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = open(folder.path());
    store.append(&entries(1..=10, 1)).unwrap();
    store
        .save_snapshot(&Snapshot {
            index: 10,
            term: 1,
            payload: Vec::new(),
        })
        .unwrap();
    assert_eq!(names(folder.path(), "journal-").len(), 1);
    store.append(&entries(11..=20, 1)).unwrap();
    store
        .save_snapshot(&Snapshot {
            index: 15,
            term: 1,
            payload: Vec::new(),
        })
        .unwrap();
    drop(store);
    assert_eq!(open(folder.path()).1.entries, entries(16..=20, 1));
}

#[test]
fn a_log_without_snapshots_is_split_into_segments_that_are_all_needed() {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = open(folder.path());
    let large = |index| Entry {
        payload: vec![index as u8; 1 << 20],
        ..entry(index, 1)
    };
    for index in 1..=20 {
        store.append(&[large(index)]).unwrap();
        store.sync().unwrap();
    }
    drop(store);
    assert_eq!(names(folder.path(), "journal-").len(), 2);
    let (store, found) = open(folder.path());
    assert!(found.entries.into_iter().eq((1..=20).map(large)));
    drop(store);
    fs::remove_file(&names(folder.path(), "journal-")[1]).unwrap();
    let error = Store::open(folder.path(), CLUSTER, Files::new()).err();
    assert!(matches!(error, Some(Error::Format(_))), "{error:?}");
}

#[test]
fn a_received_snapshot_beyond_the_log_replaces_it() {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = open(folder.path());
    store.append(&entries(1..=3, 1)).unwrap();
    store
        .save_snapshot(&Snapshot {
            index: 50,
            term: 4,
            payload: Vec::new(),
        })
        .unwrap();
    assert_eq!(store.last_index(), 50);
    store.append(&[entry(51, 4)]).unwrap();
    store.sync().unwrap();
    drop(store);
    assert_eq!(open(folder.path()).1.entries, [entry(51, 4)]);
}

#[test]
fn replaced_entries_stay_replaced_after_a_restart() {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = open(folder.path());
    store.append(&entries(1..=5, 1)).unwrap();
    store.sync().unwrap();
    store.truncate_from(3).unwrap();
    store.append(&entries(3..=4, 2)).unwrap();
    store.sync().unwrap();
    drop(store);
    let (mut store, recovered) = open(folder.path());
    assert_eq!(
        recovered.entries,
        [entries(1..=2, 1), entries(3..=4, 2)].concat()
    );
    store.truncate_from(1).unwrap();
    store.sync().unwrap();
    drop(store);
    assert_eq!(open(folder.path()).1.entries, []);
}

#[test]
fn invalid_arguments_are_refused_without_stopping_the_store() {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = open(folder.path());
    let refused = |result| matches!(result, Err(Error::InvalidArgument { .. }));
    store.append(&entries(1..=4, 1)).unwrap();
    assert!(refused(store.append(&[entry(6, 1)])));
    assert!(refused(store.append(&[entry(5, 1), entry(5, 1)])));
    let large = Entry {
        payload: vec![0; (4 << 20) + 1],
        ..entry(5, 1)
    };
    assert!(refused(store.append(&[large])));
    let state = HardState {
        commit: 5,
        ..HardState::default()
    };
    assert!(refused(store.save_hard_state(state)));
    store
        .save_hard_state(HardState { commit: 3, ..state })
        .unwrap();
    assert!(refused(store.truncate_from(3)));
    let foreign = Snapshot {
        index: 2,
        term: 9,
        payload: Vec::new(),
    };
    let at_commit = Snapshot {
        index: 3,
        ..foreign.clone()
    };
    assert!(refused(store.save_snapshot(&at_commit)));
    assert!(refused(store.save_snapshot(&foreign)));
    store
        .save_snapshot(&Snapshot {
            term: 1,
            ..foreign.clone()
        })
        .unwrap();
    assert!(refused(store.save_snapshot(&foreign)));
    store.append(&[entry(5, 1)]).unwrap();
    store.close().unwrap();
    assert_eq!(open(folder.path()).1.entries, entries(3..=5, 1));
}
