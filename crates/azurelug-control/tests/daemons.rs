//! Tests of the registry of entry daemons with partitions, restarts and a lagging platform list, on
//! a paused clock.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_control::daemons::{Registry, Report};
use azurelug_types::id::{DaemonName, Version, ZoneName};
use tokio::time::advance;

const STEP: Duration = Duration::from_millis(500);

struct Daemon {
    incarnation: u64,
    sequence: u64,
    heard: u64,
    hears: bool,
}

impl Daemon {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            heard: 0,
            hears: true,
        }
    }

    /// Renews once and returns whether the answer grants a lease.
    fn renew(&mut self, registry: &Registry) -> bool {
        self.sequence += 1;
        let report = Report {
            zone: ZoneName::from("zone-a"),
            version: Version(self.incarnation),
            in_flight: 0,
        };
        let start = (&name(), self.incarnation);
        let answer = registry.renew(start, (self.sequence, self.heard), report);
        let answer = answer.unwrap();
        if self.hears {
            self.heard = answer.number;
        }
        answer.leased
    }
}

fn name() -> DaemonName {
    DaemonName("entry-a".to_owned())
}

/// Sends a renewal of each of `daemons` at every step of half a second.
async fn run(registry: &Registry, steps: u32, daemons: &mut [&mut Daemon]) -> Vec<bool> {
    let mut leased = Vec::new();
    for _ in 0..steps {
        leased.extend(daemons.iter_mut().map(|daemon| daemon.renew(registry)));
        advance(STEP).await;
        registry.tick();
    }
    leased
}

fn state(registry: &Registry) -> (&'static str, u64) {
    let row = registry.rows().remove(0);
    (row.state, row.version.0)
}

/// Guards against a lease that is renewed although none of the answers arrive.
#[tokio::test(start_paused = true)]
async fn renewals_that_hear_nothing_lease_nothing() {
    let registry = Registry::new();
    let mut daemon = Daemon::new(7);
    assert!(
        run(&registry, 4, &mut [&mut daemon])
            .await
            .iter()
            .all(|it| *it)
    );
    assert_eq!(state(&registry), ("alive", 7));
    daemon.hears = false;
    let leased = run(&registry, 8, &mut [&mut daemon]).await;
    assert_eq!(state(&registry).0, "suspect");
    assert!(!leased[5..].contains(&true), "{leased:?}");
    daemon.hears = true;
    run(&registry, 2, &mut [&mut daemon]).await;
    assert_eq!(state(&registry), ("alive", 7));
}

/// Guards against a late renewal of an earlier start that replaces the state of the latest one. The
/// random numbers of the starts are in either order.
#[tokio::test(start_paused = true)]
async fn the_latest_start_counts() {
    for (first, second) in [(1, 9), (9, 1)] {
        let registry = Registry::new();
        let (mut first, mut second) = (Daemon::new(first), Daemon::new(second));
        run(&registry, 2, &mut [&mut first]).await;
        run(&registry, 2, &mut [&mut second, &mut first]).await;
        assert_eq!(state(&registry), ("alive", second.incarnation));
        assert_eq!(registry.rows().len(), 1);
    }
}

/// Guards against a new daemon that is marked gone because the list does not contain it yet, and
/// against one that is never marked gone after it has disappeared from the list.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_the_list_has_not_named_yet_is_not_gone() {
    let registry = Registry::new();
    registry.list([("other".to_owned(), false)].into_iter());
    run(&registry, 2, &mut [&mut Daemon::new(1)]).await;
    run(&registry, 20, &mut []).await;
    assert_eq!(state(&registry).0, "suspect");
    registry.list([("entry-a".to_owned(), false)].into_iter());
    registry.tick();
    assert_eq!(state(&registry).0, "suspect");
    registry.list([("other".to_owned(), false)].into_iter());
    registry.tick();
    assert_eq!(state(&registry).0, "gone");
    run(&registry, 2_000, &mut []).await;
    assert!(registry.rows().is_empty());
}
