//! Tests of failed writes and syncs, and of concurrent processes on the same folder.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use azurelug_storage::{
    Entry, Error, Files, HardState, HookDecision, Op, Recovered, Snapshot, Store, set_aside,
};
use tempfile::TempDir;

type Work = fn(&mut Store) -> Result<(), Error>;

const CLUSTER: u128 = 5;
const FOLDER_VARIABLE: &str = "AZURELUG_STORAGE_TEST_FOLDER";

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: vec![index as u8; 50],
    }
}

/// File access that applies a verdict to operations of one kind while the returned switch is not 0.
fn files(
    kind: impl Fn(&Op<'_>) -> bool + Send + 'static,
    verdict: impl Fn() -> HookDecision + Send + 'static,
) -> (Files, Arc<AtomicUsize>) {
    let switch = Arc::new(AtomicUsize::new(0));
    let is_active = Arc::clone(&switch);
    let hook = move |op: &Op<'_>| {
        if is_active.load(Ordering::Relaxed) != 0 && kind(op) {
            verdict()
        } else {
            HookDecision::Proceed
        }
    };
    (Files::with_hook(Box::new(hook)), switch)
}

fn failure() -> HookDecision {
    HookDecision::Fail(io::Error::other("injected"))
}

fn is_sync(op: &Op<'_>) -> bool {
    matches!(op, Op::Sync(_) | Op::SyncFolder(_))
}

fn assert_lost(result: &Result<(), Error>) {
    assert!(
        matches!(result, Err(Error::EarlierSyncFailed { .. })),
        "{result:?}"
    );
}

#[test]
fn a_failed_sync_makes_the_store_and_the_folder_permanently_unusable() {
    let temporary = TempDir::new().unwrap();
    let folder = temporary.path().join("data");
    let (files, switch) = files(is_sync, failure);
    let (mut store, _) = Store::open(&folder, CLUSTER, files).unwrap();
    store.append(&[entry(1)]).unwrap();
    store.sync().unwrap();
    store.append(&[entry(2)]).unwrap();
    switch.store(1, Ordering::Relaxed);
    let error = store.sync().unwrap_err();
    assert!(matches!(error, Error::Sync { .. }), "{error}");
    let text = error.to_string();
    assert!(
        text.contains("journal-") && text.contains("byte 155"),
        "{text}"
    );
    // A second sync would report success, because the kernel has marked the pages as clean.
    switch.store(0, Ordering::Relaxed);
    assert_lost(&store.sync());
    assert_lost(&store.append(&[entry(3)]));
    assert_lost(&store.truncate_from(2));
    assert_lost(&store.save_hard_state(HardState::default()));
    assert_lost(&store.save_snapshot(&Snapshot {
        index: 1,
        term: 1,
        payload: Vec::new(),
    }));
    assert_eq!(store.synced_index(), 1);
    assert_lost(&store.close());
    let again = Store::open(&folder, CLUSTER, Files::new()).err().unwrap();
    assert!(matches!(again, Error::EarlierSyncFailed { .. }), "{again}");
    let aside = set_aside(&folder).unwrap();
    assert!(aside.ends_with("data.aside-1") && aside.exists() && !folder.exists());
    assert_eq!(
        Store::open(&folder, CLUSTER, Files::new()).unwrap().1,
        Recovered::default()
    );
}

#[test]
fn a_failed_sync_of_any_file_stops_the_store() {
    let work: [Work; 3] = [
        |store| store.sync(),
        |store| {
            store.save_hard_state(HardState {
                term: 3,
                ..HardState::default()
            })
        },
        |store| {
            store.save_snapshot(&Snapshot {
                index: 1,
                term: 1,
                payload: Vec::new(),
            })
        },
    ];
    for work in work {
        for skipped in 0.. {
            let folder = TempDir::new().unwrap();
            let count = AtomicUsize::new(0);
            let later =
                move |op: &Op<'_>| is_sync(op) && count.fetch_add(1, Ordering::Relaxed) == skipped;
            let (files, switch) = files(later, failure);
            let (mut store, _) = Store::open(folder.path(), CLUSTER, files).unwrap();
            store.append(&[entry(1)]).unwrap();
            switch.store(1, Ordering::Relaxed);
            if work(&mut store).is_ok() {
                assert!(skipped > 0);
                break;
            }
            assert_lost(&store.sync());
            drop(store);
            assert!(matches!(
                Store::open(folder.path(), CLUSTER, Files::new())
                    .err()
                    .unwrap(),
                Error::EarlierSyncFailed { .. }
            ));
        }
    }
}

#[test]
fn a_failed_sync_while_opening_refuses_the_folder() {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = Store::open(folder.path(), CLUSTER, Files::new()).unwrap();
    store.append(&[entry(1)]).unwrap();
    store.close().unwrap();
    let (files, switch) = files(is_sync, failure);
    switch.store(1, Ordering::Relaxed);
    let error = Store::open(folder.path(), CLUSTER, files).err().unwrap();
    assert!(matches!(error, Error::Sync { .. }), "{error}");
    let error = Store::open(folder.path(), CLUSTER, Files::new())
        .err()
        .unwrap();
    assert!(matches!(error, Error::EarlierSyncFailed { .. }), "{error}");
}

#[test]
fn a_short_or_failed_write_stops_the_store_until_it_is_opened_again() {
    for len in [0, 1, 30, 83, 84, 120, usize::MAX] {
        let folder = TempDir::new().unwrap();
        let verdict = move || {
            if len == usize::MAX {
                failure()
            } else {
                HookDecision::ShortWrite(len)
            }
        };
        let (files, switch) = files(|op| matches!(op, Op::Write { .. }), verdict);
        let (mut store, _) = Store::open(folder.path(), CLUSTER, files).unwrap();
        store.append(&[entry(1)]).unwrap();
        store.sync().unwrap();
        switch.store(1, Ordering::Relaxed);
        store.append(&[entry(2), entry(3)]).unwrap();
        let error = store.sync().unwrap_err();
        assert!(
            matches!(
                error,
                Error::Io {
                    action: "write",
                    offset: 188,
                    ..
                }
            ),
            "{error}"
        );
        switch.store(0, Ordering::Relaxed);
        assert!(matches!(
            store.sync(),
            Err(Error::EarlierWriteFailed { .. })
        ));
        assert!(matches!(
            store.append(&[entry(4)]),
            Err(Error::EarlierWriteFailed { .. })
        ));
        drop(store);
        let (_, found) = Store::open(folder.path(), CLUSTER, Files::new()).unwrap();
        let whole = if len == usize::MAX { 0 } else { len / 83 };
        let expected: Vec<_> = (1..=1 + whole as u64).map(entry).collect();
        assert_eq!(found.entries, expected, "{len} bytes written");
    }
}

#[test]
fn a_batch_of_appends_is_synced_once() {
    let folder = TempDir::new().unwrap();
    let syncs = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&syncs);
    let hook = move |op: &Op<'_>| {
        count.fetch_add(usize::from(is_sync(op)), Ordering::Relaxed);
        HookDecision::Proceed
    };
    let (mut store, _) =
        Store::open(folder.path(), CLUSTER, Files::with_hook(Box::new(hook))).unwrap();
    let before = syncs.load(Ordering::Relaxed);
    for index in 1..=64 {
        store.append(&[entry(index)]).unwrap();
    }
    store.sync().unwrap();
    store.sync().unwrap();
    assert_eq!(syncs.load(Ordering::Relaxed) - before, 1);
}

#[test]
fn an_open_store_can_be_set_aside() {
    let temporary = TempDir::new().unwrap();
    let folder = temporary.path().join("data");
    for number in 1..=3 {
        let (store, found) = Store::open(&folder, CLUSTER, Files::new()).unwrap();
        assert_eq!(found, Recovered::default());
        assert!(
            store
                .set_aside()
                .unwrap()
                .ends_with(format!("data.aside-{number}"))
        );
    }
}

/// Entry point of the child process that the test below starts; does nothing in a normal test run.
#[test]
fn other_process() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else {
        return;
    };
    let (mut store, _) = Store::open(Path::new(&folder), CLUSTER, Files::new()).unwrap();
    store.append(&[entry(1)]).unwrap();
    store.sync().unwrap();
    println!("\nready");
    let _ = io::stdin().read_line(&mut String::new());
}

fn start_other_process(folder: &Path) -> Child {
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "other_process", "--nocapture"])
        .env(FOLDER_VARIABLE, folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    assert!(
        lines.map_while(Result::ok).any(|line| line == "ready"),
        "the process did not start"
    );
    child
}

#[test]
fn a_folder_in_use_by_another_process_is_refused_until_that_process_is_gone() {
    let folder = TempDir::new().unwrap();
    let mut child = start_other_process(folder.path());
    let error = Store::open(folder.path(), CLUSTER, Files::new())
        .err()
        .unwrap();
    assert!(matches!(error, Error::Locked { .. }), "{error}");
    assert!(matches!(
        set_aside(folder.path()),
        Err(Error::Locked { .. })
    ));
    child.kill().unwrap();
    child.wait().unwrap();
    let (_, found) = Store::open(folder.path(), CLUSTER, Files::new()).unwrap();
    assert_eq!(found.entries, [entry(1)]);
}
