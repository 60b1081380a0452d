//! Measures the store on one disk: commit latency compared with a bare write and sync, recovery
//! time, snapshots compared with keeping all segments, and which truncations recovery detects.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use azurelug_coordination::journal::{self, Position, ScanContext, Segment};
use azurelug_storage::{Entry, Files, HardState, HookDecision, Op, Snapshot, Store};
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

type BoxResult<T> = Result<T, Box<dyn Error>>;

const CLUSTER: u128 = 1;
const BATCHES: [usize; 3] = [1, 8, 64];
const RECORDS: [u64; 3] = [1_000, 10_000, 100_000];
/// Payload of an entry in bytes, about one idempotency record (docs/design.md, section 13).
const PAYLOAD_LEN: usize = 200;
/// Length of a mark record, in bytes.
const SYNC_MARK_LEN: usize = journal::RECORD_HEADER_LEN + 9;
/// Number of keys in the state of `compaction`.
const KEYS: u64 = 1_000;
/// Entries between two snapshots (docs/design.md, section 10).
const SNAPSHOT_ENTRIES: u64 = 512;
/// Repetitions of each recovery; the median is printed.
const REPEATS: usize = 7;

/// Measure the cost of the store on one disk.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Seed for payloads and the order of the measurements
    #[bpaf(fallback(1))]
    seed: u64,
    /// Seconds for each pair of batch size and kind of write
    #[bpaf(fallback(5.0))]
    seconds: f64,
    /// Folder on the disk to measure; files are created in a new folder inside and removed
    #[bpaf(fallback(PathBuf::from(".")))]
    folder: PathBuf,
}

fn main() -> BoxResult<()> {
    let settings = settings().run();
    let (seed, seconds) = (settings.seed, settings.seconds);
    println!(
        "command: cargo run --release -p azurelug-storage --example sync_cost -- --seed {seed} \
         --seconds {seconds}"
    );
    let folder = tempfile::tempdir_in(&settings.folder)?;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    commit_latency(folder.path(), seconds, &mut random)?;
    recovery(folder.path(), &mut random)?;
    compaction(folder.path(), &mut random)?;
    detected_truncations(folder.path(), &mut random)?;
    Ok(())
}

fn entry(index: u64, random: &mut Pcg64Mcg) -> Entry {
    let mut payload = vec![0; PAYLOAD_LEN];
    random.fill_bytes(&mut payload);
    // Key that the entry sets in the state machine of `compaction`.
    payload[..8].copy_from_slice(&random.random_range(0..KEYS).to_le_bytes());
    Entry {
        index,
        term: 1,
        payload,
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Write {
    Store,
    Bare,
    /// Two writes with a sync each, as a synced mark after each batch would require.
    BareTwice,
    /// The hard state only.
    HardState,
}

struct Case {
    batch: usize,
    write: Write,
    latency: Histogram<u64>,
    spent: Duration,
}

/// Repeats rounds with one commit of each kind in random order, so that all kinds run under the
/// same disk load.
fn commit_latency(folder: &Path, seconds: f64, random: &mut Pcg64Mcg) -> BoxResult<()> {
    let (mut store, _) = Store::open(&folder.join("latency"), CLUSTER, Files::new())?;
    let bare = File::create(folder.join("bare"))?;
    let mut offset = 0;
    let mut cases = Vec::new();
    for batch in BATCHES {
        for write in [Write::Store, Write::Bare, Write::BareTwice] {
            let latency = Histogram::new_with_bounds(1, 60_000_000_000, 3)?;
            cases.push(Case {
                batch,
                write,
                latency,
                spent: Duration::ZERO,
            });
        }
    }
    let latency = Histogram::new_with_bounds(1, 60_000_000_000, 3)?;
    cases.push(Case {
        batch: 0,
        write: Write::HardState,
        latency,
        spent: Duration::ZERO,
    });
    let budget = Duration::from_secs_f64(seconds);
    let mut order: Vec<usize> = (0..cases.len()).collect();
    while cases.iter().any(|case| case.spent < budget) {
        order.shuffle(random);
        for &at in &order {
            let case = &mut cases[at];
            let next = store.last_index() + 1;
            let entries: Vec<_> = (next..next + case.batch as u64)
                .map(|index| entry(index, random))
                .collect();
            let bytes = vec![7_u8; journal::entry_len(PAYLOAD_LEN) * case.batch];
            let start = Instant::now();
            match case.write {
                Write::Store => {
                    for entry in &entries {
                        store.append(std::slice::from_ref(entry))?;
                    }
                    store.sync()?;
                }
                Write::HardState => {
                    let term = case.latency.len();
                    store.save_hard_state(HardState {
                        term,
                        ..HardState::default()
                    })?;
                }
                Write::Bare | Write::BareTwice => {
                    offset = write_and_sync(&bare, offset, &bytes)?;
                    if case.write == Write::BareTwice {
                        offset = write_and_sync(&bare, offset, &bytes[..SYNC_MARK_LEN])?;
                    }
                }
            }
            let elapsed = start.elapsed();
            case.latency.record(u64::try_from(elapsed.as_nanos())?)?;
            case.spent += elapsed;
        }
    }
    println!("\ncommit latency, entries of {PAYLOAD_LEN} bytes, all rows interleaved");
    println!("batch  write        commits   p50 us   p99 us  mean us  entries/s");
    for case in &cases {
        let name = match case.write {
            Write::Store => "store",
            Write::Bare => "bare",
            Write::BareTwice => "bare twice",
            Write::HardState => "hard state",
        };
        let micros = |nanos: u64| nanos as f64 / 1e3;
        println!(
            "{:>5}  {name:<10} {:>9} {:>8.1} {:>8.1} {:>8.1} {:>10.0}",
            case.batch,
            case.latency.len(),
            micros(case.latency.value_at_quantile(0.5)),
            micros(case.latency.value_at_quantile(0.99)),
            case.latency.mean() / 1e3,
            (case.batch as u64 * case.latency.len()) as f64 / case.spent.as_secs_f64(),
        );
    }
    Ok(store.close()?)
}

fn write_and_sync(file: &File, offset: u64, bytes: &[u8]) -> BoxResult<u64> {
    file.write_all_at(bytes, offset)?;
    file.sync_data()?;
    Ok(offset + bytes.len() as u64)
}

/// Writes entries in batches of 64, reopens the store after every `entries_per_writer` entries, and
/// stops without closing it.
fn write_entries(
    folder: &Path,
    count: u64,
    entries_per_writer: u64,
    random: &mut Pcg64Mcg,
) -> BoxResult<()> {
    let mut next = 1;
    while next <= count {
        let (mut store, _) = Store::open(folder, CLUSTER, Files::new())?;
        let end = (next + entries_per_writer).min(count + 1);
        while next < end {
            let stop = (next + 64).min(end);
            let entries: Vec<_> = (next..stop).map(|index| entry(index, random)).collect();
            store.append(&entries)?;
            store.sync()?;
            next = stop;
        }
    }
    Ok(())
}

fn recovery(folder: &Path, random: &mut Pcg64Mcg) -> BoxResult<()> {
    println!("\nrecovery (open after a stop without close, files in the page cache)");
    println!("records  writers  open ms  of which read ms    bytes");
    let one_writer = RECORDS.map(|records| (records, 1));
    for (records, writers) in one_writer.into_iter().chain([(10_000, 100)]) {
        let data = folder.join(format!("recovery-{records}-{writers}"));
        write_entries(&data, records, records.div_ceil(writers), random)?;
        let bytes = folder_size(&data)?;
        let read = median(|| {
            fs::read_dir(&data)?.try_for_each(|item| fs::read(item?.path()).map(drop))?;
            Ok(())
        })?;
        let open = median(|| {
            let (_, found) = Store::open(&data, CLUSTER, Files::new())?;
            if found.entries.len() as u64 == records {
                Ok(())
            } else {
                Err("records lost".into())
            }
        })?;
        println!("{records:>7}  {writers:>7}  {open:>7.2}  {read:>16.2} {bytes:>8}");
    }
    Ok(())
}

/// State machine for `compaction`: the last payload of each key.
#[derive(Default)]
struct State(BTreeMap<[u8; 8], Vec<u8>>);

impl State {
    fn apply(&mut self, entry: &Entry) {
        let key = entry.payload[..8]
            .try_into()
            .expect("each payload starts with its key");
        self.0.insert(key, entry.payload.clone());
    }

    fn snapshot(&self, index: u64) -> Snapshot {
        let payload = self.0.values().flatten().copied().collect();
        Snapshot {
            index,
            term: 1,
            payload,
        }
    }

    fn recover(folder: &Path) -> BoxResult<Self> {
        let (_, found) = Store::open(folder, CLUSTER, Files::new())?;
        let mut state = Self::default();
        if let Some(snapshot) = found.snapshot {
            for payload in snapshot.payload.chunks(PAYLOAD_LEN) {
                state.apply(&Entry {
                    payload: payload.to_vec(),
                    ..Entry::default()
                });
            }
        }
        found.entries.iter().for_each(|entry| state.apply(entry));
        Ok(state)
    }
}

fn compaction(folder: &Path, random: &mut Pcg64Mcg) -> BoxResult<()> {
    println!("\nsnapshot every {SNAPSHOT_ENTRIES} entries against keeping all segments");
    println!("(state of {KEYS} keys; recovery includes rebuilding the state)");
    println!("records  snapshots  recovery ms  bytes on disk  bytes written  run ms");
    for records in RECORDS {
        for snapshots in [true, false] {
            let data = folder.join(format!("compaction-{records}-{snapshots}"));
            let written = Arc::new(AtomicU64::new(0));
            let count = Arc::clone(&written);
            let files = Files::with_hook(Box::new(move |op| {
                if let Op::Write { bytes, .. } = op {
                    count.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                }
                HookDecision::Proceed
            }));
            let start = Instant::now();
            let (mut store, _) = Store::open(&data, CLUSTER, files)?;
            let mut state = State::default();
            for first in (1..=records).step_by(64) {
                let entries: Vec<_> = (first..=records.min(first + 63))
                    .map(|index| entry(index, random))
                    .collect();
                store.append(&entries)?;
                store.sync()?;
                entries.iter().for_each(|entry| state.apply(entry));
                if snapshots && store.last_index() % SNAPSHOT_ENTRIES == 0 {
                    store.save_snapshot(&state.snapshot(store.last_index()))?;
                }
            }
            drop(store);
            let run = start.elapsed().as_secs_f64() * 1e3;
            let bytes = folder_size(&data)?;
            let recovery = median(|| {
                let found = State::recover(&data)?;
                if found.0 == state.0 {
                    Ok(())
                } else {
                    Err("the state differs".into())
                }
            })?;
            println!(
                "{records:>7}  {:>9}  {recovery:>11.2}  {bytes:>13}  {:>13}  {run:>6.0}",
                if snapshots { "yes" } else { "no" },
                written.load(Ordering::Relaxed),
            );
        }
    }
    Ok(())
}

/// Truncates a closed journal at every length and counts the truncations that the scan detects,
/// once with the position from the hard state and once from the file size alone.
fn detected_truncations(folder: &Path, random: &mut Pcg64Mcg) -> BoxResult<()> {
    let data = folder.join("truncations");
    let (mut store, _) = Store::open(&data, CLUSTER, Files::new())?;
    for index in 1..=20 {
        store.append(&[entry(index, random)])?;
        store.sync()?;
    }
    let generation = store.generation();
    store.close()?;
    let bytes = fs::read(data.join(format!("journal-{generation:020}")))?;
    let synced = Position {
        generation,
        offset: bytes.len() as u64,
    };
    let count_detected = |synced: Position| {
        let context = ScanContext {
            cluster: CLUSTER,
            synced,
            ..ScanContext::default()
        };
        let truncations = (journal::SEGMENT_HEADER_LEN..bytes.len()).filter(|&len| {
            let bytes = bytes[..len].to_vec();
            let segment = Segment {
                file: "journal".to_owned(),
                generation,
                bytes,
            };
            journal::scan(&[segment], &context).is_err()
        });
        truncations.count()
    };
    println!("\ntruncations of a closed journal of 20 synced entries that recovery detects");
    println!("truncations {}", bytes.len() - journal::SEGMENT_HEADER_LEN);
    println!(
        "detected with the position from the hard state {}",
        count_detected(synced)
    );
    println!(
        "detected from the file size {}",
        count_detected(Position::default())
    );
    Ok(())
}

/// Median time in milliseconds.
fn median(mut work: impl FnMut() -> BoxResult<()>) -> BoxResult<f64> {
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let start = Instant::now();
        work()?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    Ok(times[REPEATS / 2].as_secs_f64() * 1e3)
}

fn folder_size(folder: &Path) -> BoxResult<u64> {
    let mut sum = 0;
    for item in fs::read_dir(folder)? {
        sum += item?.metadata()?.len();
    }
    Ok(sum)
}
