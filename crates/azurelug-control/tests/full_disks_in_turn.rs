//! Tests of a cluster whose members have full disks for a while, never two at once. The errors are
//! injected.
#![allow(clippy::unwrap_used)]

#[path = "support/fillable_disk.rs"]
mod fillable_disk;
#[path = "support/members.rs"]
mod members;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use azurelug_control::cluster::Cluster;
use azurelug_control::replica::Replica;
use azurelug_coordination::raft;
use azurelug_core::gateway::orders::Order;
use azurelug_core::machine::Command;
use azurelug_wire::Listener;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tempfile::TempDir;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};

use fillable_disk::{FillableDisk, Refusal};

const FOUNDERS: [u32; 3] = [1, 2, 3];

/// Members that join later and replace voters which don't answer.
const SPARES: [u32; 2] = [4, 5];

/// Seeds of a run that names none in `AZURELUG_SEEDS` (`FIRST..END`).
const SEEDS: std::ops::Range<u64> = 1..9;

/// Time limit for the acknowledgement of a change, as in docs/design/platform.md.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an operator asks another member.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Time limit for a read to be confirmed as the newest.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for a first leader.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Full disks of a run.
const FULL_DISKS: usize = 5;

/// Changes after the last disk has room again.
const LAST_CHANGES: usize = 15;

/// Most files in a data folder: the lock, the hard state, snapshots and segments.
const MAX_FILES: usize = 32;

/// Which member's disk is full next.
#[derive(Clone, Copy, Debug)]
enum Choice {
    InTurn,
    Leader,
    Follower,
    Any,
}

struct Member {
    replica: Replica,
    disk: Arc<FillableDisk>,
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    async fn start(disk: Arc<FillableDisk>, cluster: Cluster, listener: Listener) -> Self {
        // Small, so that snapshots and their transfer fall into the times of full disks.
        let settings = raft::Settings {
            snapshot_entries: 6,
            kept_entries: 3,
            peers: FOUNDERS.into(),
            target_voters: Some(FOUNDERS.len()),
            replace_after: Duration::from_millis(1200),
            ..raft::Settings::default()
        };
        let (replica, tasks) = members::start(&disk.data_folder, settings, &cluster, listener);
        Self {
            replica,
            disk,
            tasks,
        }
    }

    fn version(&self) -> u64 {
        version(&self.replica)
    }

    async fn stop(self) -> Arc<FillableDisk> {
        for task in &self.tasks {
            task.abort();
        }
        // The folder's lock is released when the task has ended.
        while !self.tasks.iter().all(JoinHandle::is_finished) {
            sleep(Duration::from_millis(10)).await;
        }
        self.disk
    }
}

fn version(replica: &Replica) -> u64 {
    let orders = replica.orders();
    orders.document().map_or(0, |document| document.version)
}

fn create_disks<'a>(
    slots: impl Iterator<Item = &'a u32>,
) -> (Vec<TempDir>, Vec<Arc<FillableDisk>>) {
    let create = |slot: &u32| {
        let folder = TempDir::new().unwrap();
        let disk = FillableDisk::new(folder.path(), *slot, &FOUNDERS);
        (folder, Arc::new(disk))
    };
    slots.map(create).unzip()
}

async fn start_cluster(disks: Vec<Arc<FillableDisk>>) -> Vec<Member> {
    let slots: Vec<u32> = disks.iter().map(|disk| disk.data_folder.slot).collect();
    let (listeners, cluster) = members::listen(&slots).await;
    let mut members = Vec::new();
    for (disk, listener) in disks.into_iter().zip(listeners) {
        members.push(Member::start(disk, cluster.clone(), listener).await);
    }
    members
}

/// An operator who sends changes one after another.
struct Operator {
    replicas: Vec<Replica>,
    random: Pcg64,
    version: u64,
    /// The newest version that was acknowledged.
    acknowledged: Arc<AtomicU64>,
}

impl Operator {
    fn next_command(&mut self) -> Command {
        self.version += 1;
        let length = self.random.random_range(100..20_000);
        Command::Deployment(Order::Configure {
            version: self.version,
            document: Arc::from(vec![b'x'; length]),
        })
    }

    /// Sends the next change until a member acknowledges it; returns the time that this took.
    async fn change(&mut self, limit: Duration) -> Result<Duration, String> {
        let command = self.next_command();
        let started = Instant::now();
        let first = self.random.random_range(0..self.replicas.len());
        let mut answers = Vec::new();
        for replica in self.replicas.iter().cycle().skip(first) {
            let Some(left) = limit.checked_sub(started.elapsed()) else {
                break;
            };
            match timeout(CALL_TIMEOUT.min(left), replica.propose(&command)).await {
                Ok(Ok(_)) => {
                    self.acknowledged.store(self.version, Ordering::SeqCst);
                    return Ok(started.elapsed());
                }
                Ok(Err(error)) => answers.push(error.to_string()),
                Err(_) => answers.push("no answer".to_owned()),
            }
        }
        Err(format!("change {}: {answers:?}", self.version))
    }

    /// Sends changes until `has_ended` is set; returns the failed ones and the longest time.
    async fn run(mut self, has_ended: Arc<AtomicBool>) -> (Self, Vec<String>, Duration) {
        let mut failures = Vec::new();
        let mut longest = Duration::ZERO;
        while !has_ended.load(Ordering::SeqCst) {
            match self.change(ACK_TIMEOUT).await {
                Ok(elapsed) => longest = longest.max(elapsed),
                Err(failure) => failures.push(failure),
            }
            sleep(CHANGE_PAUSE).await;
        }
        (self, failures, longest)
    }
}

/// Reads the version in force from one member again and again; returns reads that were too old.
async fn read(
    replica: Replica,
    acknowledged: Arc<AtomicU64>,
    has_ended: Arc<AtomicBool>,
) -> Vec<String> {
    let mut failures = Vec::new();
    let mut newest = 0;
    while !has_ended.load(Ordering::SeqCst) {
        let expected = acknowledged.load(Ordering::SeqCst).max(newest);
        if replica.wait_fresh(READ_TIMEOUT).await {
            let version = version(&replica);
            if version < expected {
                failures.push(format!("read version {version} after {expected}"));
            }
            newest = newest.max(version);
        }
        sleep(Duration::from_millis(50)).await;
    }
    failures
}

/// Makes disks full one after another.
async fn fill_disks(members: &[Member], random: &mut Pcg64) -> Vec<String> {
    let choices = [
        Choice::InTurn,
        Choice::Leader,
        Choice::Follower,
        Choice::Any,
    ];
    let choice = choices[random.random_range(0..choices.len())];
    let refusals = [
        Refusal::Writes,
        Refusal::WritesAndFiles,
        Refusal::HalfWrites,
        Refusal::Syncs,
        Refusal::Changes,
    ];
    let mut trace = Vec::new();
    for round in 0..FULL_DISKS {
        let leader = members.iter().position(|member| {
            let lease = member.replica.leadership();
            lease.is_some_and(|lease| !member.replica.lease_left(lease).is_zero())
        });
        let any = random.random_range(0..members.len());
        let next = match (choice, leader) {
            (Choice::InTurn, _) => round % members.len(),
            (Choice::Leader, Some(leader)) => leader,
            (Choice::Follower, Some(leader)) => {
                (leader + random.random_range(1..members.len())) % members.len()
            }
            (Choice::Leader | Choice::Follower | Choice::Any, _) => any,
        };
        let refusal = refusals[random.random_range(0..refusals.len())];
        let operations = random.random_range(0..8);
        let time = Duration::from_millis(random.random_range(300..3500));
        let pause = Duration::from_millis([0, 0, 50, 400][random.random_range(0..4)]);
        trace.push(format!(
            "{choice:?} member {next} leader {leader:?} {refusal:?} after {operations} for {time:?}, \
             then {pause:?}"
        ));
        members[next].disk.set_full(Some(refusal), operations);
        sleep(time).await;
        members[next].disk.set_full(None, 0);
        sleep(pause).await;
    }
    trace
}

fn file_names(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).unwrap();
    entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect()
}

/// Plays one run; returns what was wrong.
async fn play(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let spares = if seed.is_multiple_of(3) {
        &SPARES[..]
    } else {
        &[]
    };
    let (folders, disks) = create_disks(FOUNDERS.iter().chain(spares));
    let members = start_cluster(disks).await;
    let replicas: Vec<_> = members.iter().map(|it| it.replica.clone()).collect();
    let acknowledged = Arc::new(AtomicU64::new(0));
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut operator = Operator {
        replicas: replicas.clone(),
        random: Pcg64::seed_from_u64(seed + 1),
        version: 0,
        acknowledged: Arc::clone(&acknowledged),
    };
    operator.change(START_TIMEOUT).await.unwrap();
    let mut readers = JoinSet::new();
    for replica in replicas {
        readers.spawn(read(
            replica,
            Arc::clone(&acknowledged),
            Arc::clone(&has_ended),
        ));
    }
    let changes = tokio::spawn(operator.run(Arc::clone(&has_ended)));
    let trace = fill_disks(&members, &mut random).await;
    has_ended.store(true, Ordering::SeqCst);
    let (mut operator, mut failures, longest) = changes.await.unwrap();
    if !spares.is_empty() {
        // Between the demotion of a voter and the promotion of a spare two voters are left, and a
        // change needs the disks of both.
        println!("seed {seed}: while disks were full: {failures:?}");
        failures.clear();
    }
    let mut slowest = Duration::ZERO;
    for _ in 0..LAST_CHANGES {
        match operator.change(ACK_TIMEOUT).await {
            Ok(elapsed) => slowest = slowest.max(elapsed),
            Err(failure) => failures.push(format!("with room: {failure}")),
        }
    }
    for stale in readers.join_all().await {
        failures.extend(stale);
    }
    for member in &members {
        if !member.replica.wait_fresh(ACK_TIMEOUT).await || member.version() < operator.version {
            failures.push(format!("a member has version {}", member.version()));
        }
        if member.tasks.iter().any(JoinHandle::is_finished) {
            failures.push("a member has ended".to_owned());
        }
    }
    let newest = acknowledged.load(Ordering::SeqCst);
    let mut disks = Vec::new();
    for member in members {
        disks.push(member.stop().await);
    }
    for folder in &folders {
        if file_names(folder.path()) != ["state"] {
            failures.push("a data folder was set aside".to_owned());
        }
        let files = file_names(&folder.path().join("state"));
        if files.len() > MAX_FILES || files.iter().any(|name| name.ends_with(".tmp")) {
            failures.push(format!("files that stay: {files:?}"));
        }
    }
    let members = start_cluster(disks).await;
    let mut operator = Operator {
        replicas: members.iter().map(|it| it.replica.clone()).collect(),
        version: 0,
        ..operator
    };
    if let Err(failure) = operator.change(START_TIMEOUT).await {
        failures.push(format!("after a restart: {failure}"));
    }
    let restored = members.iter().map(Member::version).max();
    if restored < Some(newest) {
        failures.push(format!(
            "version {restored:?} after a restart, not {newest}"
        ));
    }
    for member in members {
        member.stop().await;
    }
    println!("seed {seed}: longest {longest:?}, with room {slowest:?}; {trace:#?}");
    let failures = failures.into_iter();
    failures.map(|it| format!("seed {seed}: {it}")).collect()
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("AZURELUG_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against changes that stay refused or unanswered, or are lost, after the disks of the
/// members were full one after another.
#[tokio::test(flavor = "multi_thread")]
async fn full_disks_in_turn_stop_no_change_and_lose_none() {
    let mut runs = JoinSet::new();
    for seed in seeds() {
        runs.spawn(play(seed));
    }
    let failures: Vec<String> = runs.join_all().await.into_iter().flatten().collect();
    assert_eq!(failures, [] as [String; 0]);
}

/// Guards against changes that are refused because they are sent to the member whose disk is full.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_with_a_full_disk_passes_changes_on() {
    let (_folders, disks) = create_disks(FOUNDERS.iter());
    let members = start_cluster(disks).await;
    let mut operator = Operator {
        replicas: members.iter().map(|it| it.replica.clone()).collect(),
        random: Pcg64::seed_from_u64(1),
        version: 0,
        acknowledged: Arc::default(),
    };
    operator.change(START_TIMEOUT).await.unwrap();
    for member in members.iter().chain(&members) {
        member.disk.set_full(Some(Refusal::WritesAndFiles), 0);
        // The first change makes the member notice that its disk is full.
        for _ in 0..2 {
            let change = member.replica.propose(&operator.next_command()).await;
            assert!(change.is_ok(), "{:?}", change.err());
        }
        member.disk.set_full(None, 0);
        for other in &members {
            assert!(other.replica.wait_fresh(ACK_TIMEOUT).await);
        }
    }
}
