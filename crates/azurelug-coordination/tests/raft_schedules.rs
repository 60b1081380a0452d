//! A short fixed set of seeded schedules. Guards against lost or conflicting entries, two leaders
//! in a term, stale reads, and clusters that do not recover.

#[path = "support/schedule.rs"]
mod schedule;

use schedule::Round;

/// Seeds that each failed with one mechanism removed: the vote record, the repetition of snapshot
/// requests, withholding votes from other candidates, campaigns of members being removed, the start
/// of the lease, persisting the vote, one change at a time, the run id of probes, withholding votes
/// after a restart.
const MECHANISM_SEEDS: [u64; 9] = [384, 703, 1038, 1377, 1433, 3510, 6178, 7579, 7806];

#[test]
fn no_schedule_of_the_fixed_set_diverges_from_the_model() {
    let resigning = schedule::FIRST_RESIGNING_SEED;
    let resigning = resigning..resigning + 100;
    for seed in (0..300).chain(MECHANISM_SEEDS).chain(resigning) {
        if let Err(failure) = schedule::run(seed) {
            panic!("{failure}");
        }
    }
}

/// Guards against a member that keeps its vote after it is gone, so that the loss of one more disk,
/// which the deployment bears by then, ends the quorum for good.
#[test]
fn a_departed_member_does_not_keep_its_vote_past_the_catch_up_time() {
    let first = schedule::FIRST_REPLACING_SEED;
    for seed in first..first + 150 {
        if let Err(failure) = schedule::run(seed) {
            panic!("{failure}");
        }
    }
}

/// Seed of the kinds and times of the replacements.
const SEED: u64 = 2;

/// Guards against seats that stay with members that are gone: after 13 replacements no successor
/// was admitted, and the next lost disk ended the quorum for good (review/2).
#[test]
fn two_thousand_replacements_leave_no_seat_behind() {
    let rounds = schedule::replace_many(SEED, 2000).unwrap_or_else(|error| panic!("{error}"));
    let (first, last) = (&rounds[..100], &rounds[rounds.len() - 100..]);
    let max =
        |rounds: &[Round], of: fn(&Round) -> u64| rounds.iter().map(of).max().unwrap_or_default();
    let mean_admission = |rounds: &[Round]| {
        rounds.iter().map(|round| round.admission).sum::<u64>() / rounds.len() as u64
    };
    let most_seats = rounds.iter().map(|round| round.seats).max();
    // 30 s until removal at 4 s or more for each replacement, three voters and the newest learner.
    assert!(most_seats <= Some(12), "seed {SEED}: {most_seats:?} seats");
    let seats: fn(&Round) -> u64 = |round| round.seats as u64;
    assert!(max(last, seats) <= max(first, seats) + 1, "seed {SEED}");
    // Slots and incarnations above 250 are encoded with 3 bytes instead of 1; each seat and its
    // incarnation have 4 of them.
    let bytes: fn(&Round) -> u64 = |round| round.bytes as u64;
    let widened = 2 * 4 * (max(last, seats) + 1);
    assert!(
        max(last, bytes) <= max(first, bytes) + widened,
        "seed {SEED}: {} bytes at first, {} at last",
        max(first, bytes),
        max(last, bytes)
    );
    let (early, late) = (mean_admission(first), mean_admission(last));
    println!(
        "seats {} and {}, bytes {} and {}, admission {early} and {late} us",
        max(first, seats),
        max(last, seats),
        max(first, bytes),
        max(last, bytes)
    );
    assert!(
        late <= early * 5 / 4,
        "seed {SEED}: mean time to admission {early} us at first, {late} us at last"
    );
}

/// Guards against reports of stalls that prolong a lease, let two leaders act in a term, or end in a
/// cluster that does not recover.
#[test]
fn reported_stalls_do_not_diverge_from_the_model() {
    let first = schedule::FIRST_STALLING_SEED;
    for seed in first..first + 300 {
        if let Err(failure) = schedule::run(seed) {
            panic!("{failure}");
        }
    }
}

/// Guards against removals and rejoins that lose entries, let an old identity vote, or end in a
/// cluster that does not recover. More seeds are a command of their own (docs/proofs.md).
#[test]
fn removals_under_all_faults_do_not_diverge_from_the_model() {
    let first = schedule::FIRST_REMOVING_SEED;
    for seed in first..first + 150 {
        if let Err(failure) = schedule::run(seed) {
            panic!("{failure}");
        }
    }
}
