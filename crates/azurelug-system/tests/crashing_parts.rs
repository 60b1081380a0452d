//! Tests of gateways and control daemons as real processes with targets that crash when they begin
//! to answer a request with a certain part in its prompt.
#![allow(clippy::unwrap_used)]

#[path = "support/crashing.rs"]
mod crashing;

use std::time::Duration;

use azurelug_system::soak::crashes::{Crashes, Draft};
use azurelug_system::soak::load::Answer;
use azurelug_system::soak::plan::Fault;
use azurelug_system::soak::targets::Behaviour;
use crashing::{
    BASE, CRASHING, CRASHING_TIME, Crashing, END_TIME, LONG_CRASHING_TIME, SOUND, Scenario,
    check_refusals, count_begun, options, sound, talk,
};
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::time::sleep;

/// Sound parts that few requests share.
const RARE: [&str; 16] = [
    "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9", "aa", "ab", "ac", "ad", "ae", "af",
];

/// The targets that stream.
const ENGINES: [&str; 6] = ["llm-a", "llm-b", "llm-c", "llm-a-2", "llm-b-2", "llm-c-2"];

/// For how long a target that has crashed is cold.
const COLD_TIME: Duration = Duration::from_millis(1500);

/// Time after a crash without a cause in requests in which sound requests may fail: the longest
/// time for which a target is down, and the time of contact.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Whether requests share a part with others.
fn has_part(answer: &Answer, part: &str) -> bool {
    answer.draft.prompt.contains(&format!("{part}:400,"))
}

/// Checks that at least `percent` of the requests with each sound part are answered from a time on.
fn check_parts(parts: &[&str], answers: &[Answer], start: Duration, percent: usize) {
    for part in parts {
        let of = answers
            .iter()
            .filter(|it| it.sent >= start && has_part(it, part));
        let (begun, all) = count_begun(of);
        let is_enough = all > 0 && begun * 100 >= all * percent;
        assert!(is_enough, "part {part}: {begun} of {all}");
    }
}

/// Guards against requests with one part that crash one target after another, because each gateway
/// sees few of the crashes, and against the loss of the sound requests beside them.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_does_not_crash_one_target_after_another() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let scenario = Scenario::start(options(9101, 2), Crashing::engines(0.08), sound, unsound).await;
    scenario.begin();
    let check = |crashes: &Crashes, answers: &[Answer]| {
        let known = crashes.summary().into_values();
        let known = known.map(|it| it.known_from.unwrap_or(Duration::MAX));
        known
            .filter_map(|it| check_refusals(answers.iter(), it))
            .collect()
    };
    scenario.finish_with(LONG_CRASHING_TIME, check).await;
}

/// Guards against a decision on one part that hides another, and against one that requests with
/// stages pass by.
#[tokio::test(flavor = "multi_thread")]
async fn two_parts_at_once_do_not_crash_one_target_after_another() {
    let path = |random: &mut Pcg64| ["/talk/x", "/chat/x"][random.random_range(0..2)];
    let sound = move |random: &mut Pcg64| Draft {
        path: path(random),
        ..sound(random)
    };
    let unsound = move |random: &mut Pcg64| {
        let part = CRASHING[random.random_range(0..CRASHING.len())];
        Draft {
            path: path(random),
            ..talk(random, &[BASE, part])
        }
    };
    let scenario = Scenario::start(
        options(9102, 1),
        Crashing {
            parts: &CRASHING,
            ..Crashing::engines(0.12)
        },
        sound,
        unsound,
    )
    .await;
    scenario.begin();
    scenario.finish(CRASHING_TIME).await;
}

/// Guards against an account that is refused altogether, and other accounts with it, because all
/// of its requests have the part.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_in_all_requests_of_one_key_does_not_crash_one_target_after_another() {
    let unsound = |random: &mut Pcg64| {
        let part = SOUND[random.random_range(0..SOUND.len())];
        Draft {
            key: "key-2",
            ..talk(random, &[BASE, part, CRASHING[0]])
        }
    };
    let scenario = Scenario::start(options(9103, 1), Crashing::engines(0.1), sound, unsound).await;
    scenario.begin();
    let start = scenario.now() + CRASHING_TIME - END_TIME;
    let answers = scenario.finish(CRASHING_TIME).await;
    check_parts(&SOUND, &answers, start, 50);
}

/// Guards against rare sound parts that are blamed, because each crash was by a request that had
/// one of them as well, and few others clear them.
#[tokio::test(flavor = "multi_thread")]
async fn rare_parts_beside_the_one_that_crashes_targets_are_not_refused() {
    let rare = |random: &mut Pcg64| RARE[random.random_range(0..RARE.len())];
    let sound = move |random: &mut Pcg64| {
        let part = rare(random);
        talk(random, &[BASE, part])
    };
    let unsound = move |random: &mut Pcg64| {
        let part = rare(random);
        talk(random, &[BASE, part, CRASHING[0]])
    };
    let crashing = Crashing::engines(0.1);
    let scenario = Scenario::start(options(9112, 1), crashing, sound, unsound).await;
    scenario.begin();
    let start = scenario.now() + CRASHING_TIME - END_TIME;
    let answers = scenario.finish(CRASHING_TIME).await;
    check_parts(&RARE, &answers, start, 50);
}

/// Guards against sound requests that are refused because several targets ended for another reason
/// when they began to answer them.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_without_a_cause_in_requests_refuse_no_sound_request() {
    let scenario = Scenario::start(options(9104, 1), Crashing::none(), sound, sound).await;
    scenario.deployment.set_cold_time(COLD_TIME);
    for engines in [&ENGINES[..4], &ENGINES, &ENGINES[2..]] {
        scenario.crash(engines);
        sleep(Duration::from_secs(3)).await;
    }
    let start = scenario.now() + RECOVERY_TIME;
    let answers = scenario
        .finish(RECOVERY_TIME + Duration::from_secs(5))
        .await;
    check_parts(&SOUND, &answers, start, 95);
}

/// Guards against parts that are blamed for the crashes of targets which crash on every request.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_crash_on_every_request_do_not_hide_the_sound_ones() {
    let scenario = Scenario::start(options(9110, 1), Crashing::none(), sound, sound).await;
    let start = scenario.now();
    for engine in ["llm-a", "llm-a-2"] {
        scenario
            .deployment
            .set_behaviour(engine, Behaviour::Crashes);
    }
    let answers = scenario.finish(CRASHING_TIME).await;
    check_parts(&SOUND, &answers, start, 50);
}

/// Guards against a decision that blames sound parts for crashes without a cause in requests, or
/// that misses the part which is to blame, while targets come back cold.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_without_a_cause_beside_a_part_that_crashes_targets_hide_nothing() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let scenario = Scenario::start(options(9105, 1), Crashing::engines(0.1), sound, unsound).await;
    scenario.deployment.set_cold_time(COLD_TIME);
    scenario.begin();
    for _ in 0..2 {
        sleep(Duration::from_secs(2)).await;
        scenario.crash(&ENGINES[..3]);
    }
    let start = scenario.now() + CRASHING_TIME - END_TIME;
    let answers = scenario.finish(CRASHING_TIME).await;
    check_parts(&SOUND, &answers, start, 50);
}

/// Guards against a restarted gateway that has lost the decision and begins anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_gateway_does_not_forget_the_part() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let mut scenario =
        Scenario::start(options(9106, 1), Crashing::engines(0.15), sound, unsound).await;
    scenario.begin();
    sleep(Duration::from_secs(5)).await;
    for gateway in [0, 1] {
        let fault = Fault::KillGateway(gateway);
        scenario.fail(&fault, Duration::from_millis(500)).await;
    }
    scenario.finish(Duration::from_secs(12)).await;
}

/// Guards against a decision that needs all control daemons, or the one that leads.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_control_daemon_does_not_hide_the_part() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let mut scenario =
        Scenario::start(options(9107, 1), Crashing::engines(0.1), sound, unsound).await;
    scenario.begin();
    let fault = Fault::KillControl(0);
    scenario.fail(&fault, Duration::from_secs(3)).await;
    scenario.finish(CRASHING_TIME).await;
}

/// Guards against a gateway that was frozen while the others learned of the part, and that does not
/// learn of it afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_was_frozen_learns_of_the_part() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let crashing = Crashing::engines(0.15);
    let mut scenario = Scenario::start(options(9113, 1), crashing, sound, unsound).await;
    scenario.begin();
    let fault = Fault::FreezeGateway(0);
    scenario.fail(&fault, Duration::from_secs(6)).await;
    scenario.finish(Duration::from_secs(11)).await;
}

/// Guards against a decision that is lost with the memory of the control daemons, so that a
/// restarted gateway begins anew.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_control_daemons_do_not_forget_the_part() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let crashing = Crashing::engines(0.15);
    let mut scenario = Scenario::start(options(9114, 1), crashing, sound, unsound).await;
    scenario.begin();
    sleep(Duration::from_secs(4)).await;
    for control in 0..3 {
        let fault = Fault::KillControl(control);
        scenario.fail(&fault, Duration::from_millis(500)).await;
        sleep(Duration::from_millis(500)).await;
    }
    let fault = Fault::KillGateway(0);
    scenario.fail(&fault, Duration::from_millis(500)).await;
    scenario.finish(Duration::from_secs(11)).await;
}

/// Guards against a decision that is lost when all daemons restart at once, so that the part
/// crashes targets again.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_all_restart_at_once_do_not_forget_the_part() {
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let crashing = Crashing::engines(0.15);
    let scenario = Scenario::start(options(9115, 1), crashing, sound, unsound).await;
    scenario.begin();
    sleep(Duration::from_secs(8)).await;
    scenario.restart_all(Duration::from_secs(11)).await;
}

/// Guards against requests that are refused because their prompt has a single part or none, and
/// against a first part that crashes targets.
#[tokio::test(flavor = "multi_thread")]
async fn prompts_of_one_part_are_not_refused() {
    let sound = |random: &mut Pcg64| match random.random_range(0..3) {
        0 => talk(random, &[]),
        1 => Draft {
            prompt: String::new(),
            ..talk(random, &[])
        },
        _ => talk(random, &[SOUND[0]]),
    };
    let unsound = |random: &mut Pcg64| talk(random, &[CRASHING[0]]);
    let scenario = Scenario::start(options(9108, 1), Crashing::engines(0.1), sound, unsound).await;
    scenario.begin();
    scenario.finish(CRASHING_TIME).await;
}

/// Guards against a decision that holds for services at which the part crashes no target.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_one_service_is_served_by_another() {
    let look = |random: &mut Pcg64| Draft {
        path: "/look/x",
        ..talk(random, &[BASE, CRASHING[0]])
    };
    let sound = move |random: &mut Pcg64| {
        if random.random_bool(0.5) {
            look(random)
        } else {
            sound(random)
        }
    };
    let unsound = |random: &mut Pcg64| talk(random, &[BASE, CRASHING[0]]);
    let scenario = Scenario::start(options(9109, 1), Crashing::engines(0.1), sound, unsound).await;
    scenario.begin();
    let answers = scenario.finish(CRASHING_TIME).await;
    let (begun, all) = count_begun(answers.iter().filter(|it| it.draft.path == "/look/x"));
    assert!(all > 0 && begun * 100 >= all * 95, "{begun} of {all}");
}

/// Guards against plain targets that a part crashes one after another.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_does_not_crash_one_plain_target_after_another() {
    let look = |random: &mut Pcg64, part: &str| Draft {
        path: "/look/x",
        ..talk(random, &[BASE, part])
    };
    let sound = move |random: &mut Pcg64| look(random, SOUND[0]);
    let unsound = move |random: &mut Pcg64| look(random, CRASHING[0]);
    let crashing = Crashing {
        service: "desk",
        ..Crashing::engines(0.1)
    };
    let scenario = Scenario::start(options(9111, 1), crashing, sound, unsound).await;
    scenario.begin();
    scenario.finish(CRASHING_TIME).await;
}
