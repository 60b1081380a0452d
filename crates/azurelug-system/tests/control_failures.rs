//! Failures of control daemons, against real processes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::operator::{Operator, patch, zone_state};
use azurelug_system::system::{System, wait_until};
use azurelug_types::config::State;
use azurelug_types::patch::Answer;
use nix::sys::signal::Signal;

/// Guards against a patch that is lost, applied twice or reverted when the leader is killed before,
/// while or after it commits the patch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn patches_survive_a_kill_of_the_leader() {
    let mut system = System::start().await;
    let operator = Operator::new();
    for round in 0..3 {
        let leader = system.wait_leader().await;
        let other = (leader + 1) % 3;
        let base = operator
            .config(system.operators_address(other))
            .await
            .unwrap()
            .version;
        let change = vec![zone_state("zone-a", State::Draining)];
        let first = patch(base, change);
        let sent = operator.patch(system.operators_address(other), &first);
        let mut control = &mut system.zones[leader].control;
        let killed = async {
            tokio::time::sleep(Duration::from_millis(round)).await;
            control.kill();
        };
        let (answer, ()) = tokio::join!(sent, killed);
        // The operator resends the patch through the third daemon until there is an answer.
        let third = (leader + 2) % 3;
        let address = system.operators_address(third);
        wait_until("an answer to the resent patch", || async {
            operator.patch(address, &first).await.is_some()
        })
        .await;
        let resent = operator.patch(address, &first).await.unwrap();
        let Answer::Accepted { version } = resent else {
            panic!("round {round}: {resent:?}")
        };
        assert_eq!(
            version,
            base.next(),
            "round {round}: the patch was applied more than once"
        );
        if let Some(answer) = answer {
            assert_eq!(
                answer, resent,
                "round {round}: a resent patch got another answer"
            );
        }
        control = &mut system.zones[leader].control;
        control.start();
        let address = system.operators_address(leader);
        wait_until("the restarted member", || async {
            operator
                .config(address)
                .await
                .is_some_and(|config| config.version >= version)
        })
        .await;
    }
}

/// Guards against an accepted version that is lost when every process of the system is killed at
/// once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_versions_survive_the_restart_of_every_process() {
    let mut system = System::start().await;
    let operator = Operator::new();
    let change = || vec![zone_state("zone-b", State::Draining)];
    let version = operator.change(system.operators_address(0), change()).await;
    for zone in &mut system.zones {
        zone.control.kill();
        zone.entry.kill();
    }
    for zone in &mut system.zones {
        zone.control.start();
        zone.entry.start();
    }
    system.wait_ready().await;
    for zone in 0..3 {
        let config = operator
            .config(system.operators_address(zone))
            .await
            .unwrap();
        assert_eq!(config.version, version);
        system
            .wait_state(zone, |state| state["version"] == version.0)
            .await;
    }
}

/// Guards against a member that votes or counts for a quorum after its disk was replaced, and against
/// a repair that is not durable: a second disk is lost right after the first was repaired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_lost_disks_in_a_row_lose_no_version() {
    let mut system = System::start().await;
    let operator = Operator::new();
    for lost in [0, 1] {
        let version = operator
            .change(
                system.operators_address(2),
                vec![zone_state("zone-c", State::Active)],
            )
            .await;
        system.zones[lost].control.kill();
        std::fs::remove_dir_all(system.control_data_folder(lost)).unwrap();
        system.zones[lost].control.start();
        let address = system.operators_address(lost);
        wait_until("the repair", || async {
            let Some((_, state)) = operator.get(address, "/debug/state").await else {
                return false;
            };
            let member = &state["log"]["member"];
            let voters = state["log"]["membership"]["seats"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let is_voter = voters.iter().any(|seat| {
                seat["member"] == *member && seat["standing"].to_string().contains("Voter")
            });
            member["incarnation"].as_u64() > Some(1) && is_voter && state["version"] == version.0
        })
        .await;
    }
    let expected = operator.config(system.operators_address(2)).await.unwrap();
    // Only the two repaired members are left.
    system.zones[2].control.kill();
    let change = vec![zone_state("zone-c", State::Draining)];
    let address = system.operators_address(0);
    wait_until("a leader among the repaired members", || async {
        let first = patch(expected.version, change.clone());
        matches!(
            operator.patch(address, &first).await,
            Some(Answer::Accepted { .. } | Answer::Conflict { .. })
        )
    })
    .await;
    let config = operator.config(address).await.unwrap();
    assert_eq!(config.version, expected.version.next());
    assert_eq!(config.targets, expected.targets);
}

/// Guards against a leader that is resumed after a freeze and still acts as the leader: it must
/// neither return an old version as the newest nor revert what was committed while it was frozen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_leader_does_not_revert_what_was_committed_without_it() {
    let system = System::start().await;
    let operator = Operator::new();
    let frozen = system.wait_leader().await;
    system.zones[frozen].control.signal(Signal::SIGSTOP);
    let other = (frozen + 1) % 3;
    let base = operator
        .config(system.operators_address(other))
        .await
        .unwrap()
        .version;
    let first = patch(base, vec![zone_state("zone-a", State::Draining)]);
    let address = system.operators_address(other);
    wait_until("a patch without the frozen leader", || async {
        matches!(
            operator.patch(address, &first).await,
            Some(Answer::Accepted { .. })
        )
    })
    .await;
    system.zones[frozen].control.signal(Signal::SIGCONT);
    let address = system.operators_address(frozen);
    wait_until("the resumed member", || async {
        operator
            .config(address)
            .await
            .is_some_and(|config| config.version == base.next())
    })
    .await;
    for zone in 0..3 {
        system
            .wait_state(zone, |state| state["version"] == base.next().0)
            .await;
    }
}

/// Guards against two patches that are both accepted against the same base version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_many_patches_against_one_version_one_is_accepted() {
    let system = System::start().await;
    let operator = Operator::new();
    let base = operator
        .config(system.operators_address(0))
        .await
        .unwrap()
        .version;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..12 {
        let (operator, address) = (operator.clone(), system.operators_address(number % 3));
        let state = if number % 2 == 0 {
            State::Draining
        } else {
            State::Active
        };
        let patch = patch(base, vec![zone_state("zone-b", state)]);
        tasks.spawn(async move { operator.patch(address, &patch).await });
    }
    let answers: Vec<Answer> = tasks.join_all().await.into_iter().flatten().collect();
    let accepted = answers
        .iter()
        .filter(|it| matches!(it, Answer::Accepted { .. }))
        .count();
    assert_eq!(accepted, 1, "{answers:?}");
    assert_eq!(answers.len(), 12, "{answers:?}");
}

/// Guards against a follower that returns an older version than the one that it has just reported
/// as accepted: the operator's next patch would conflict with the operator's own previous one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_returns_the_version_that_it_has_accepted() {
    let system = System::start().await;
    let operator = Operator::new();
    for number in 0..6 {
        for zone in 0..3 {
            let state = [State::Draining, State::Active][number % 2];
            // `change` reads the version at this daemon and expects the patch to be accepted.
            let changes = vec![zone_state("zone-c", state)];
            let version = operator
                .change(system.operators_address(zone), changes)
                .await;
            let config = operator
                .config(system.operators_address(zone))
                .await
                .unwrap();
            assert!(config.version >= version, "round {number}, zone {zone}");
            // Other daemons may be a heartbeat behind; the next change starts at one of them.
            for other in 0..3 {
                let address = system.operators_address(other);
                wait_until("the version at every control daemon", || async {
                    let config = operator.config(address).await;
                    config.is_some_and(|config| config.version >= version)
                })
                .await;
            }
        }
    }
}

/// Guards against an entry daemon that is restarted while its zone's control daemon is down and
/// never uses the targets of its zone again, because its base shares stay closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn base_shares_open_without_the_zones_control_daemon() {
    let mut system = System::start().await;
    system.zones[0].control.kill();
    system.zones[0].entry.kill();
    system.zones[0].entry.start();
    system
        .wait_state(0, |state| state["mode"] == "normal")
        .await;
    system.wait_base_shares_of(0).await;
    let calls = system.call_settings(&[0], 10, Duration::from_millis(100));
    let report = azurelug_testkit::caller::run(calls).await.unwrap();
    assert_eq!(
        report.correct(),
        10,
        "{:?} {:?}",
        report.refused(),
        report.wrong()
    );
    let is_in_own_zone = |stage: &azurelug_testkit::caller::Stage| stage.target.ends_with("zone-a");
    assert!(
        report.stages().any(is_in_own_zone),
        "no call used a target of its own zone"
    );
}
