//! Simulates reads of the platform's list by several control daemons, some of which are down or
//! partitioned.

use std::time::Duration;

use azurelug_core::gateway::read_rotation;

const MS: Duration = Duration::from_millis(1);

/// Duration of a read and its distribution to the other daemons.
const DISTRIBUTION_TIME: Duration = Duration::from_millis(60);

/// Result of a simulation of control daemons.
struct Simulation {
    /// Read time of the newest list of each daemon.
    known: Vec<Option<Duration>>,
    reads: usize,
    oldest: Duration,
}

/// Simulates `count` daemons for 20 s, starting without lists. `reaches` returns whether the second
/// daemon receives lists of the first one; a daemon that does not reach itself is down.
fn simulate(count: usize, reaches: impl Fn(usize, usize) -> bool) -> Simulation {
    let mut simulation = Simulation {
        known: vec![None; count],
        reads: 0,
        oldest: Duration::ZERO,
    };
    let mut in_transit: Vec<(Duration, usize, Duration)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(20) {
        now += MS;
        in_transit.retain(|&(at, to, read)| {
            if at <= now {
                simulation.known[to] = simulation.known[to].max(Some(read));
            }
            at > now
        });
        for daemon in (0..count).filter(|it| reaches(*it, *it)) {
            let age = simulation.known[daemon].map(|read| now - read);
            if now > Duration::from_secs(2) {
                simulation.oldest = simulation.oldest.max(age.unwrap_or(now));
            }
            if !read_rotation::wait(daemon, count, age).is_zero() {
                continue;
            }
            simulation.reads += 1;
            simulation.known[daemon] = Some(now);
            let others = (0..count).filter(|it| *it != daemon && reaches(daemon, *it));
            in_transit.extend(others.map(|to| (now + DISTRIBUTION_TIME, to, now)));
        }
    }
    simulation
}

/// Guards against reads by every daemon, each of which is billed.
#[test]
fn one_daemon_reads_the_list_for_all() {
    for count in [1, 3, 5, 8] {
        let simulation = simulate(count, |_, _| true);
        // One read by each daemon at the start, then one every 0.7 s.
        let limit = count + 29;
        assert!(
            simulation.reads <= limit,
            "{count} daemons: {} reads",
            simulation.reads
        );
        assert!(
            simulation.oldest <= 800 * MS,
            "{count} daemons: the list is {:?} old",
            simulation.oldest
        );
    }
}

/// Guards against a stale list when the daemons that should read it are down, or when no daemon can
/// reach another.
#[test]
fn the_list_stays_recent_when_daemons_are_lost() {
    for count in [3, 5, 8] {
        for down in 1..count {
            let simulation = simulate(count, |from, to| from >= down && to >= down);
            assert!(
                simulation.oldest <= 1700 * MS,
                "{down} of {count} down: the list is {:?} old",
                simulation.oldest
            );
        }
        let alone = simulate(count, |from, to| from == to);
        assert!(
            alone.oldest <= 1700 * MS,
            "{count} daemons without a connection: the list is {:?} old",
            alone.oldest
        );
    }
}
