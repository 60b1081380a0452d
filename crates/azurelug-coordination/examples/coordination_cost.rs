//! Measures the cost of the coordination modules: bytes of at-most-once records,
//! bytes and rate of share renewals, and the time for a grant decision.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use azurelug_coordination::lease::Identity;
use azurelug_coordination::once::{Answer, Command, Key, Limits as OnceLimits, Outcome, Table};
use azurelug_coordination::share::{Capacity, Grantor, Holder, Limits, Timing};
use bpaf::{OptionParser, Parser, construct, long};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const NOW_MS: u64 = 1_700_000_000_000;
/// The time from which on the grantor grants slots.
const OPEN: Duration = Duration::from_secs(15);
const INTERVAL: Duration = Duration::from_millis(500);

struct Options {
    only: Option<String>,
    body: usize,
    daemons: u64,
    changed: u32,
}

fn options() -> OptionParser<Options> {
    let only = long("only")
        .help("once, share or decision")
        .argument("NAME")
        .optional();
    let body = long("body")
        .help("Bytes of each recorded body")
        .argument("BYTES")
        .fallback(100);
    let daemons = long("daemons")
        .help("Holders of a grantor")
        .argument("COUNT")
        .fallback(64);
    let changed = long("changed")
        .help("Percent of targets whose need changes between two renewals")
        .argument("PERCENT")
        .fallback(10);
    construct!(Options {
        only,
        body,
        daemons,
        changed
    })
    .to_options()
}

fn encoded(value: impl serde::Serialize) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("messages have no type that bincode cannot encode")
        .len()
}

/// Resident memory in KiB, from the kernel's status of this process.
fn resident_kib() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn records(count: u64, body: usize) {
    let before = resident_kib();
    let mut random = Pcg64::seed_from_u64(1);
    let mut table = Table::new(OnceLimits {
        bytes: u64::MAX,
        ..OnceLimits::default()
    });
    let started = Instant::now();
    for low in 0..count {
        let time = u128::from(NOW_MS + low);
        let random_part = u128::from(random.random::<u64>() >> 2);
        let key = Key::try_from(time << 80 | 7 << 76 | 2 << 62 | random_part);
        let key = key.expect("version and variant are set");
        let command = Command::Claim {
            account: low % 50_000,
            key,
            fingerprint: random.random(),
            claimant: random.random(),
            now_ms: NOW_MS + low,
            deadline_ms: 12_000,
        };
        let Outcome::Claimed { claim } = table.apply(command) else {
            panic!("a new key was not claimed");
        };
        table.apply(Command::Record {
            claim,
            answer: Answer::whole(200, vec![7; body]),
        });
    }
    let elapsed = started.elapsed();
    let after = resident_kib();
    let memory = before
        .zip(after)
        .map(|(before, after)| (after - before) * 1_024 / count);
    let started = Instant::now();
    let snapshot = table.snapshot();
    println!(
        "once: {count} records with bodies of {body} bytes: {} bytes each counted, {} in memory, \
         {} in a snapshot; {:.2} us for claim and record, {:.1} ms for a snapshot",
        table.bytes() / count,
        memory.map_or("unknown".to_owned(), |bytes| bytes.to_string()),
        snapshot.len() as u64 / count,
        elapsed.as_secs_f64() * 1e6 / count as f64,
        started.elapsed().as_secs_f64() * 1e3,
    );
}

/// Measures renewals with changing needs: the bytes of one daemon of several and the time for each.
fn renewals(targets: u32, options: &Options) {
    let mut random = Pcg64::seed_from_u64(1);
    let mut grantor = Grantor::new(Duration::ZERO, 1, Timing::default(), Limits::default());
    for target in 0..targets {
        grantor.set_capacity(target, Capacity::new(4 * options.daemons as u32, 8));
    }
    let mut holders: Vec<Holder> = (0..options.daemons)
        .map(|id| {
            Holder::new(
                Duration::ZERO,
                Identity { id, incarnation: 1 },
                Timing::default(),
            )
        })
        .collect();
    let (mut up, mut down, mut first) = (0, 0, 0);
    let mut spent = Duration::ZERO;
    let rounds = 24;
    for round in 0..rounds {
        let now = OPEN + INTERVAL * round;
        for (id, holder) in holders.iter_mut().enumerate() {
            for target in 0..targets {
                if round == 0 || random.random_range(0..100) < options.changed {
                    holder.set_demand(target, random.random_range(0..8));
                }
            }
            let request = holder.request(now);
            let started = Instant::now();
            let answer = grantor.request(now, &request, &mut Vec::new());
            let answer = black_box(answer).expect("a renewal in order is answered");
            if round >= 4 {
                spent += started.elapsed();
            }
            if id == 0 {
                let (request, answer) = (encoded(&request), encoded(&answer));
                if round == 0 {
                    first = request;
                } else if round >= 4 {
                    up += request;
                    down += answer;
                }
            }
            holder.answer(&answer);
        }
    }
    let counted = rounds - 4;
    let each = spent / (counted * options.daemons as u32);
    println!(
        "share: {targets} targets, {} daemons, {}% of needs change: 2 renewals/s, {} bytes up and \
         {} down each, {} bytes/s; first renewal {first} bytes; {:.1} us for a renewal, {:.0} ns \
         for each target",
        options.daemons,
        options.changed,
        up as u32 / counted,
        down as u32 / counted,
        (up + down) as u32 * 2 / counted,
        each.as_secs_f64() * 1e6,
        each.as_secs_f64() * 1e9 / f64::from(targets),
    );
}

/// Measures the time for a renewal in which each holder's need of one target has changed.
fn decision(holders: u64) {
    let mut grantor = Grantor::new(Duration::ZERO, 1, Timing::default(), Limits::default());
    grantor.set_capacity(0, Capacity::new(1_000, 8));
    let identity = |id| Identity { id, incarnation: 1 };
    let mut all: Vec<Holder> = (0..holders)
        .map(|id| Holder::new(Duration::ZERO, identity(id), Timing::default()))
        .collect();
    let mut spent = Duration::ZERO;
    let rounds = 2_000 / holders.min(100);
    for round in 0..rounds as u32 {
        for holder in &mut all {
            holder.set_demand(0, 1 + round % 7);
            // Virtual time advances so slowly that no lease ends.
            let now = OPEN + Duration::from_millis(u64::from(round));
            let request = holder.request(now);
            let started = Instant::now();
            let answer = grantor.request(now, &request, &mut Vec::new());
            spent += started.elapsed();
            holder.answer(&answer.expect("a renewal in order is answered"));
        }
    }
    let each = spent.as_secs_f64() * 1e9 / (rounds * holders) as f64;
    println!("decision: one target, {holders} holders: {each:.0} ns for a renewal with its grant");
}

fn main() {
    let options = options().run();
    let runs = |name: &str| options.only.as_deref().is_none_or(|only| only == name);
    if runs("once") {
        for count in [1_000, 10_000, 100_000] {
            records(count, options.body);
        }
    }
    if runs("share") {
        for targets in [20, 200, 1_900] {
            renewals(targets, &options);
        }
    }
    if runs("decision") {
        for holders in [9, 64, 380] {
            decision(holders);
        }
    }
}
