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
    receives_answers: bool,
}

impl Daemon {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            heard: 0,
            receives_answers: true,
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
        if self.receives_answers {
            self.heard = answer.number;
        }
        answer.leased
    }
}

fn name() -> DaemonName {
    DaemonName("entry-a".to_owned())
}

/// Sends a renewal of each of `daemons` at every step of half a second.
async fn run_steps(registry: &Registry, steps: u32, daemons: &mut [&mut Daemon]) -> Vec<bool> {
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
async fn a_lease_is_not_renewed_while_no_answers_arrive() {
    let registry = Registry::new();
    let mut daemon = Daemon::new(7);
    assert!(
        run_steps(&registry, 4, &mut [&mut daemon])
            .await
            .iter()
            .all(|it| *it)
    );
    assert_eq!(state(&registry), ("alive", 7));
    daemon.receives_answers = false;
    let leased = run_steps(&registry, 8, &mut [&mut daemon]).await;
    assert_eq!(state(&registry).0, "suspect");
    assert!(!leased[5..].contains(&true), "{leased:?}");
    daemon.receives_answers = true;
    run_steps(&registry, 2, &mut [&mut daemon]).await;
    assert_eq!(state(&registry), ("alive", 7));
}

/// Guards against a late renewal of an earlier start that replaces the state of the latest one. The
/// random numbers of the starts are in either order.
#[tokio::test(start_paused = true)]
async fn a_late_renewal_of_an_earlier_start_does_not_replace_the_latest_start() {
    for (first, second) in [(1, 9), (9, 1)] {
        let registry = Registry::new();
        let (mut first, mut second) = (Daemon::new(first), Daemon::new(second));
        run_steps(&registry, 2, &mut [&mut first]).await;
        run_steps(&registry, 2, &mut [&mut second, &mut first]).await;
        assert_eq!(state(&registry), ("alive", second.incarnation));
        assert_eq!(registry.rows().len(), 1);
    }
}

/// Guards against a new daemon that is marked gone because the list does not contain it yet, and
/// against one that is never marked gone after it has disappeared from the list.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_is_not_listed_yet_is_not_marked_gone() {
    let registry = Registry::new();
    registry.set_vm_list([("other".to_owned(), false)].into_iter());
    run_steps(&registry, 2, &mut [&mut Daemon::new(1)]).await;
    run_steps(&registry, 20, &mut []).await;
    assert_eq!(state(&registry).0, "suspect");
    registry.set_vm_list([("entry-a".to_owned(), false)].into_iter());
    registry.tick();
    assert_eq!(state(&registry).0, "suspect");
    registry.set_vm_list([("other".to_owned(), false)].into_iter());
    registry.tick();
    assert_eq!(state(&registry).0, "gone");
    run_steps(&registry, 2_000, &mut []).await;
    assert!(registry.rows().is_empty());
}
