//! Tests admission with large accounts, long calls, full queues and unreachable deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use azurelug_core::admission::{
    Action, Admission, AdmissionRequest, Admitted, Settings, Ticket, pipeline_capacity,
};
use azurelug_core::latency::{Class, Latencies};
use azurelug_types::config::{Account, Config};
use azurelug_types::id::{AccountKey, AccountName, Version};
use azurelug_types::outcome::Reason;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const SECOND: Duration = Duration::from_secs(1);
const LARGE: AccountKey = AccountKey(0);
const SMALL: AccountKey = AccountKey(1);

fn admission(settings: Settings, accounts: &[(u32, u32)]) -> Admission {
    let mut config = Config {
        version: Version(1),
        ..Config::default()
    };
    for (index, (weight, max_in_flight)) in accounts.iter().enumerate() {
        let account = Account {
            key_digest: String::new(),
            weight: *weight,
            max_in_flight: *max_in_flight,
        };
        config
            .accounts
            .insert(AccountName(format!("account{index}")), account);
    }
    let mut admission = Admission::new(settings);
    admission.apply(&config);
    admission
}

fn settings(capacity: u32, reserved_short_percent: u32) -> Settings {
    Settings {
        capacity,
        reserved_short_percent,
        queue_per_account: 20,
        queue_total: 50,
    }
}

fn long(account: AccountKey) -> AdmissionRequest<'static> {
    AdmissionRequest {
        account,
        short: false,
        cost: 1000,
        deadline: 100_000 * SECOND,
        stages: &[],
    }
}

fn ticket(entry: Admitted) -> Ticket {
    match entry {
        Admitted::Start(ticket) | Admitted::Wait(ticket) => ticket,
    }
}

/// One stage that takes one second.
fn latencies_of_one_second() -> (Latencies, Class) {
    let mut latencies = Latencies::default();
    let class = latencies.class("summary/generate");
    (0..20).for_each(|_| latencies.record(class, SECOND));
    latencies.tick(SECOND);
    (latencies, class)
}

/// Guards against an idle daemon that refuses all requests after a burst, because calls that the burst
/// cut off still count, and against one that ignores them while its slots are in use.
#[test]
fn calls_that_a_burst_cut_off_refuse_no_request_once_the_slots_are_free() {
    let mut latencies = Latencies::default();
    let stages = ["embed", "rerank", "generate"].map(|name| latencies.class(name));
    for stage in stages {
        for _ in 0..20 {
            latencies.record(stage, SECOND);
            latencies.record_cut_off(stage, 5 * SECOND / 2);
        }
    }
    latencies.tick(SECOND);
    let ask = AdmissionRequest {
        deadline: 13 * SECOND,
        stages: &stages,
        ..long(LARGE)
    };
    let mut admission = admission(settings(4, 0), &[(1, 64)]);
    let first = admission.offer(&ask, &latencies, SECOND);
    let second = admission.offer(&ask, &latencies, SECOND);
    assert!(matches!(first, Ok(Admitted::Start(_))), "{first:?}");
    assert!(matches!(second, Ok(Admitted::Start(_))), "{second:?}");
    let busy = admission.offer(&ask, &latencies, SECOND).unwrap_err();
    assert_eq!(busy.reason, Reason::DeadlineUnreachable);
    for running in [first, second] {
        admission.finish(ticket(running.unwrap()), 2 * SECOND);
    }
    let idle = admission.offer(&ask, &latencies, 2 * SECOND);
    assert!(matches!(idle, Ok(Admitted::Start(_))), "{idle:?}");
    // Completed calls that are too slow are no result of the load.
    let mut slow = Latencies::default();
    let stages = ["embed", "rerank", "generate"].map(|name| slow.class(name));
    for stage in stages {
        (0..20).for_each(|_| slow.record(stage, 5 * SECOND));
    }
    slow.tick(SECOND);
    let ask = AdmissionRequest {
        stages: &stages,
        ..ask
    };
    let refused = admission.offer(&ask, &slow, 2 * SECOND).unwrap_err();
    assert_eq!(refused.reason, Reason::DeadlineUnreachable);
}

/// Guards against a large account whose queue delays the requests of all others.
#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let latencies = Latencies::default();
    let mut admission = admission(settings(2, 0), &[(1, 64), (1, 64)]);
    let first = ticket(admission.offer(&long(LARGE), &latencies, SECOND).unwrap());
    for _ in 0..15 {
        admission.offer(&long(LARGE), &latencies, SECOND).unwrap();
    }
    let small = ticket(admission.offer(&long(SMALL), &latencies, SECOND).unwrap());
    let mut running = first;
    for served in 1.. {
        let actions = admission.finish(running, 2 * SECOND);
        let [Action::Start(next)] = actions[..] else {
            panic!("{actions:?}")
        };
        running = next;
        if next == small {
            assert!(
                served <= 5,
                "{served} calls of the large account came first"
            );
            break;
        }
    }
    // The queue of the large account is full before the small one's.
    while admission.offer(&long(LARGE), &latencies, SECOND).is_ok() {}
    assert!(admission.offer(&long(SMALL), &latencies, SECOND).is_ok());
}

/// Guards against weights without effect, including when requests differ in cost.
#[test]
fn accounts_are_served_by_cost_in_proportion_to_their_weights() {
    let latencies = Latencies::default();
    let open = Settings {
        queue_per_account: 4000,
        queue_total: 8000,
        ..settings(2, 0)
    };
    let mut admission = admission(open, &[(3, 64), (1, 64)]);
    let mut owner = BTreeMap::new();
    let mut running = None;
    for _ in 0..2000 {
        for (account, cost) in [(LARGE, 3000), (SMALL, 100)] {
            let ask = AdmissionRequest {
                cost,
                ..long(account)
            };
            match admission.offer(&ask, &latencies, SECOND).unwrap() {
                Admitted::Start(ticket) => running = Some(ticket),
                Admitted::Wait(ticket) => {
                    owner.insert(ticket, (account, cost));
                }
            }
        }
    }
    let mut served = [0; 2];
    let mut running = running.unwrap();
    for _ in 0..1000 {
        let [Action::Start(next)] = admission.finish(running, SECOND)[..] else {
            panic!()
        };
        running = next;
        let (account, cost) = owner[&next];
        served[account.0 as usize] += cost;
    }
    let ratio = f64::from(served[0]) / f64::from(served[1]);
    assert!((2.7..3.3).contains(&ratio), "{served:?}");
}

/// Guards against short calls that wait behind long ones.
#[test]
fn short_calls_are_not_starved_by_long_ones() {
    let latencies = Latencies::default();
    let mut admission = admission(settings(10, 20), &[(1, 64), (1, 64)]);
    let mut long_calls = Vec::new();
    for _ in 0..20 {
        long_calls.push(admission.offer(&long(LARGE), &latencies, SECOND).unwrap());
    }
    let started = long_calls
        .iter()
        .filter(|it| matches!(it, Admitted::Start(_)))
        .count();
    assert_eq!(started, 8);
    let short = AdmissionRequest {
        short: true,
        cost: 10,
        ..long(SMALL)
    };
    for _ in 0..2 {
        let entry = admission.offer(&short, &latencies, SECOND).unwrap();
        assert!(matches!(entry, Admitted::Start(_)));
    }
    let waiting = ticket(admission.offer(&short, &latencies, SECOND).unwrap());
    // Slots that are not reserved alternate between the lanes.
    let first = admission.finish(ticket(long_calls[0]), SECOND);
    assert_eq!(first, vec![Action::Start(waiting)]);
    let second = admission.finish(ticket(long_calls[1]), SECOND);
    assert_eq!(second, vec![Action::Start(ticket(long_calls[8]))]);
    for _ in 0..5 {
        admission.offer(&short, &latencies, SECOND).unwrap();
    }
    let third = admission.finish(waiting, SECOND);
    assert!(
        matches!(third[..], [Action::Start(it)] if !long_calls.iter().any(|l| ticket(*l) == it))
    );
    let fourth = admission.finish(ticket(long_calls[2]), SECOND);
    assert_eq!(fourth, vec![Action::Start(ticket(long_calls[9]))]);
}

/// Guards against callers that wait for an answer that can only arrive after the deadline, and
/// against a retry time that does not follow from the queue.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once_with_the_drain_time() {
    let (latencies, class) = latencies_of_one_second();
    let mut admission = admission(settings(3, 1), &[(1, 64), (1, 64)]);
    let stages = [class];
    let ask = AdmissionRequest {
        stages: &stages,
        deadline: 10 * SECOND,
        ..long(LARGE)
    };
    let late = AdmissionRequest {
        deadline: SECOND + SECOND / 2,
        ..ask
    };
    let refused = admission.offer(&late, &latencies, SECOND).unwrap_err();
    assert_eq!(refused.reason, Reason::DeadlineUnreachable);
    // Two slots for long calls of one second each: the 7th waiting request would wait for 3.5 s.
    // With a slack of four seconds, it may wait for two.
    let mut entries = Vec::new();
    for _ in 0..8 {
        entries.push(admission.offer(
            &AdmissionRequest {
                deadline: 100 * SECOND,
                ..ask
            },
            &latencies,
            SECOND,
        ));
    }
    let tight = AdmissionRequest {
        deadline: 6 * SECOND,
        ..ask
    };
    let refused = admission.offer(&tight, &latencies, SECOND).unwrap_err();
    assert_eq!(refused.reason, Reason::DeadlineUnreachable);
    let millis = refused.retry_after.as_millis();
    assert!((1400..=1600).contains(&millis), "{millis} ms");
}

/// Guards against work on a request whose deadline became unreachable while it waited.
#[test]
fn a_waiting_request_that_can_no_longer_meet_its_deadline_is_refused_and_not_started() {
    let (latencies, class) = latencies_of_one_second();
    let mut admission = admission(settings(2, 0), &[(1, 64)]);
    let stages = [class];
    let ask = AdmissionRequest {
        stages: &stages,
        deadline: 5 * SECOND,
        ..long(LARGE)
    };
    let running = ticket(admission.offer(&ask, &latencies, SECOND).unwrap());
    let waiting = ticket(admission.offer(&ask, &latencies, SECOND).unwrap());
    let actions = admission.finish(running, 9 * SECOND / 2);
    assert!(
        matches!(actions[..], [Action::Refuse(it, _)] if it == waiting),
        "{actions:?}"
    );
    assert_eq!(admission.load(), (0, 0));
}

/// Guards against unbounded queues, and against cancelled requests that still occupy the queue.
#[test]
fn queues_are_bounded_for_each_account_and_in_total() {
    let latencies = Latencies::default();
    let mut admission = admission(settings(2, 0), &[(1, 1), (1, 64), (1, 64), (1, 64)]);
    let mut last = None;
    for account in 0..4 {
        for _ in 0..21 {
            last = admission
                .offer(&long(AccountKey(account)), &latencies, SECOND)
                .ok()
                .or(last);
        }
    }
    assert_eq!(admission.load(), (1, 50));
    let refused = |admission: &mut Admission, account| {
        admission
            .offer(&long(AccountKey(account)), &latencies, SECOND)
            .map_err(|it| it.reason)
    };
    assert_eq!(refused(&mut admission, 0), Err(Reason::AccountLimit));
    assert_eq!(refused(&mut admission, 3), Err(Reason::Overloaded));
    assert_eq!(admission.finish(ticket(last.unwrap()), SECOND), vec![]);
    assert_eq!(admission.load(), (1, 49));
    assert!(refused(&mut admission, 3).is_ok());
}

/// Guards against lost or duplicated requests, idle slots while requests wait, and more running
/// requests than slots or than an account's limit, under random events.
#[test]
fn every_request_gets_one_answer_and_no_slot_stays_idle() {
    for seed in 0..100 {
        let mut random = Pcg32::seed_from_u64(seed);
        let latencies = Latencies::default();
        let limits = [(1, 2), (2, 3), (5, 50)];
        let mut admission = admission(settings(6, 20), &limits);
        let mut running: BTreeMap<Ticket, usize> = BTreeMap::new();
        let mut waiting: BTreeMap<Ticket, usize> = BTreeMap::new();
        let mut capacity = 6;
        for step in 0..500 {
            let now = step * SECOND / 50;
            let actions = match random.random_range(0..5) {
                0..=2 => {
                    let account = random.random_range(0..3);
                    let ask = AdmissionRequest {
                        short: random.random(),
                        cost: random.random_range(0..9000),
                        deadline: now + random.random_range(1..40) * SECOND / 10,
                        ..long(AccountKey(account as u32))
                    };
                    match admission.offer(&ask, &latencies, now) {
                        Ok(Admitted::Start(ticket)) => {
                            assert!(running.insert(ticket, account).is_none());
                        }
                        Ok(Admitted::Wait(ticket)) => {
                            assert!(waiting.insert(ticket, account).is_none());
                        }
                        Err(_) => {}
                    }
                    Vec::new()
                }
                3 => {
                    let pool = if random.random() {
                        &mut running
                    } else {
                        &mut waiting
                    };
                    let index = random.random_range(0..pool.len().max(1));
                    match pool.keys().nth(index).copied() {
                        Some(ticket) => {
                            pool.remove(&ticket);
                            admission.finish(ticket, now)
                        }
                        None => admission.tick(now),
                    }
                }
                _ => {
                    capacity = random.random_range(2..8);
                    admission.set_capacity(capacity, now)
                }
            };
            for action in actions {
                let (Action::Start(ticket) | Action::Refuse(ticket, _)) = action;
                let account = waiting
                    .remove(&ticket)
                    .expect("a request of an action is waiting");
                if matches!(action, Action::Start(_)) {
                    running.insert(ticket, account);
                    assert!(
                        running.len() <= capacity as usize,
                        "seed {seed}, step {step}"
                    );
                }
            }
            assert_eq!(
                admission.load(),
                (running.len() as u32, waiting.len()),
                "seed {seed}"
            );
            let free = |account: usize| {
                running.values().filter(|it| **it == account).count() < limits[account].1 as usize
            };
            // One slot is reserved for short calls, so it may be idle while long ones wait.
            let idle = running.len() + 1 < capacity as usize;
            let stuck = idle && waiting.values().any(|account| free(*account));
            assert!(!stuck, "seed {seed}, step {step}");
            for (account, limit) in limits.iter().enumerate() {
                let calls = running.values().filter(|it| **it == account).count();
                assert!(calls <= limit.1 as usize, "seed {seed}, step {step}");
            }
        }
    }
}

/// Guards against a stage with too small a share of the deadline because shares ignore how long
/// stages take, and against estimates that do not follow a change in latency.
#[test]
fn stages_share_the_deadline_in_proportion_to_their_measured_p90() {
    let mut latencies = Latencies::default();
    let stages = [latencies.class("encode"), latencies.class("generate")];
    for _ in 0..10_000 {
        latencies.record(stages[0], Duration::from_millis(100));
        latencies.record(stages[1], Duration::from_millis(1900));
    }
    latencies.tick(SECOND);
    let share = latencies.share(10 * SECOND, &stages).as_millis();
    assert!((480..=520).contains(&share), "{share} ms");
    assert_eq!(latencies.share(9 * SECOND, &stages[1..]), 9 * SECOND);
    for second in 2..40 {
        (0..20).for_each(|_| latencies.record(stages[0], Duration::from_millis(1900)));
        (0..20).for_each(|_| latencies.record(stages[1], Duration::from_millis(1900)));
        latencies.tick(second * SECOND);
    }
    let share = latencies.share(10 * SECOND, &stages).as_millis();
    assert!((4_900..=5_100).contains(&share), "{share} ms");
}

/// Guards against a capacity that ignores the slowest stage, or leaves its slots empty whenever
/// more requests than usual are in the other stages. The expected capacities are 22.2 plus the
/// square root of 2.2, and 10.5 plus the square root of 5.5.
#[test]
fn the_capacity_follows_the_bottleneck_stage() {
    let stages = [(100, SECOND / 10), (20, 9 * SECOND / 10)];
    assert_eq!(pipeline_capacity(&stages), 23);
    assert_eq!(
        pipeline_capacity(&[(100, SECOND / 10), (20, SECOND), (5, SECOND)]),
        12
    );
}

/// Guards against waiting requests that are refused only when a slot becomes free, long after their
/// deadline became unreachable.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_while_no_slot_is_free() {
    let (latencies, class) = latencies_of_one_second();
    let mut admission = admission(settings(2, 0), &[(1, 64)]);
    let stages = [class];
    let ask = AdmissionRequest {
        stages: &stages,
        deadline: 5 * SECOND,
        ..long(LARGE)
    };
    admission.offer(&ask, &latencies, SECOND).unwrap();
    let waiting = ticket(admission.offer(&ask, &latencies, SECOND).unwrap());
    assert_eq!(admission.tick(7 * SECOND / 2), Vec::new());
    let actions = admission.tick(9 * SECOND / 2);
    assert!(
        matches!(actions[..], [Action::Refuse(it, _)] if it == waiting),
        "{actions:?}"
    );
    assert_eq!(admission.load(), (1, 0));
}

/// Guards against long calls that occupy all slots of a stage in which they spend nearly all their
/// time, because the capacity was computed for a mix with mostly short calls.
#[test]
fn long_calls_stay_under_their_own_limit() {
    let latencies = Latencies::default();
    let mut admission = admission(settings(32, 20), &[(1, 64)]);
    admission.set_long_limit(19);
    for _ in 0..26 {
        admission.offer(&long(LARGE), &latencies, SECOND).unwrap();
    }
    assert_eq!(admission.load(), (19, 7));
}

/// Guards against estimates that never expire: requests that are refused because of them would
/// prevent new measurements.
#[test]
fn old_estimates_do_not_count_as_measured() {
    let mut latencies = Latencies::default();
    let class = latencies.class("encode");
    assert!(!latencies.is_measured(class));
    (0..20).for_each(|_| latencies.record(class, 9 * SECOND));
    latencies.tick(SECOND);
    assert!(latencies.is_measured(class));
    for second in 2..40 {
        latencies.tick(second * SECOND);
    }
    assert!(!latencies.is_measured(class));
}

/// Guards against a stage whose calls keep timing out because its share of the deadline stays
/// small, and against starting the next stage without enough time to complete it.
#[test]
fn calls_that_time_out_increase_the_share_of_their_stage() {
    let (mut latencies, generate) = latencies_of_one_second();
    let rerank = latencies.class("summary/rerank");
    let stages = [rerank, generate];
    let mut shares = Vec::new();
    for second in 2..32 {
        let share = latencies.share(10 * SECOND, &stages);
        shares.push(share);
        (0..20).for_each(|_| latencies.record_cut_off(rerank, share));
        (0..20).for_each(|_| latencies.record(generate, SECOND));
        latencies.tick(second * SECOND);
    }
    assert!(*shares.last().unwrap() > 8 * SECOND, "{shares:?}");
    assert!(latencies.expected_time(&stages) > 10 * SECOND);
}

/// Guards against latency estimates that drop because calls with little time left time out early.
#[test]
fn calls_that_time_out_early_do_not_lower_the_estimate_of_their_stage() {
    let (mut latencies, generate) = latencies_of_one_second();
    let before = latencies.quantiles(generate).p50;
    (0..200).for_each(|_| latencies.record_cut_off(generate, SECOND / 100));
    latencies.tick(2 * SECOND);
    assert!(latencies.quantiles(generate).p50 >= before);
}

/// Guards against one hanging target whose timed-out calls raise the time limit of calls at the
/// other targets so far that no time for a retry remains.
#[test]
fn calls_that_time_out_do_not_change_the_late_threshold_while_others_complete() {
    let (mut latencies, generate) = latencies_of_one_second();
    (0..20).for_each(|_| latencies.record_cut_off(generate, 4 * SECOND));
    latencies.tick(2 * SECOND);
    assert!(latencies.completed_quantiles(generate).p95 < 2 * SECOND);
    assert!(latencies.quantiles(generate).p90 >= 8 * SECOND);
    // In the next two windows no call completes, so the whole stage counts as slow.
    for second in 3..40 {
        latencies.record_cut_off(generate, 4 * SECOND);
        latencies.tick(second * SECOND);
    }
    assert!(latencies.completed_quantiles(generate).p95 >= 8 * SECOND);
}
