//! Tests of gateways and control daemons as real processes with targets that crash when they begin
//! to answer a certain request, which clients repeat at all gateways.
#![allow(clippy::unwrap_used)]

#[path = "support/crashing.rs"]
mod crashing;

use std::time::Duration;

use azurelug_system::soak::crashes::{Crashes, Draft};
use azurelug_system::soak::load::Answer;
use azurelug_system::soak::operator::{configuration, send_order};
use azurelug_system::soak::plan::Fault;
use azurelug_testkit::crash::CONTACT;
use bytes::Bytes;
use crashing::{
    BASE, CRASHING, CRASHING_TIME, Crashing, END_TIME, SOUND, Scenario, check_refusals,
    count_begun, options, sound, talk,
};
use http::Method;
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::time::sleep;

/// Share of requests that crash targets. Each is repeated twice.
const SHARE: f64 = 0.08;

/// Time between two moments at which several callers send the same request.
const BURST_INTERVAL: Duration = Duration::from_millis(800);

/// A GET without a body.
fn get(path: &'static str) -> Draft {
    Draft {
        method: Method::GET,
        body: String::new(),
        ..Draft::post(path, String::new())
    }
}

/// A POST with a body of its own and a prompt of `parts`.
fn post(random: &mut Pcg64, path: &'static str, parts: &[&str]) -> Draft {
    Draft {
        path,
        ..talk(random, parts)
    }
}

/// A POST that always has the same body, and whose prompt has the same part of its own after the
/// shared ones.
fn fixed(path: &'static str, shared: &[&str]) -> Draft {
    let shared = shared.iter().map(|part| format!("{part}:400,"));
    Draft::post(path, shared.collect::<String>() + "f1:250")
}

/// The same without a prompt.
fn plain(path: &'static str) -> Draft {
    Draft {
        prompt: String::new(),
        ..fixed(path, &[])
    }
}

/// Whole requests that crash their targets.
fn crashing(requests: &[Draft]) -> Crashing<'_> {
    Crashing {
        requests,
        share: SHARE,
        ..Crashing::none()
    }
}

/// Starts a deployment and sound requests; some will be replaced by the ones that crash targets.
async fn start(
    seed: u64,
    requests: &[Draft],
    sound: impl Fn(&mut Pcg64) -> Draft + Clone + Send + 'static,
) -> Scenario {
    let unsound = requests.to_vec();
    let unsound = move |random: &mut Pcg64| unsound[random.random_range(0..unsound.len())].clone();
    Scenario::start(options(seed, 1), crashing(requests), sound, unsound).await
}

/// Lets the requests come that crash targets, and checks the rules and how they are refused.
async fn check(scenario: Scenario, requests: &[Draft]) -> Vec<Answer> {
    scenario.begin();
    let check = |crashes: &Crashes, answers: &[Answer]| {
        let check_one = |request: &Draft| {
            let known_from = crashes.known_from(request);
            let of = answers.iter().filter(|it| it.draft == *request);
            check_refusals(of, known_from.unwrap_or(Duration::MAX))
        };
        requests.iter().filter_map(check_one).collect()
    };
    scenario.finish_with(CRASHING_TIME, check).await
}

/// Sends one request that crashes targets beside sound ones of the same path.
async fn check_one(seed: u64, request: Draft, sound: fn(&mut Pcg64) -> Draft) -> Vec<Answer> {
    let requests = [request];
    let scenario = start(seed, &requests, sound).await;
    check(scenario, &requests).await
}

/// Checks that 95 of 100 requests of each kind are answered from a time on.
fn check_served(drafts: &[Draft], answers: &[Answer], start: Duration) {
    for draft in drafts {
        let of = answers.iter();
        let of = of.filter(|it| it.sent >= start && it.draft == *draft);
        let (begun, all) = count_begun(of);
        assert!(
            all > 0 && begun * 100 >= all * 95,
            "{draft:?}: {begun} of {all}"
        );
    }
}

/// Guards against a POST that may run once only, each repeat of which crashes the next target.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_unsafe_post_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| post(random, "/book/x", &[]);
    check_one(9201, plain("/book/x"), sound).await;
}

/// Guards against a request that has no body to tell it by, and that gateways repeat by themselves.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_get_without_a_body_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| {
        let paths = ["/look/x?item=1", "/look/x?item=2", "/look/y"];
        get(paths[random.random_range(0..paths.len())])
    };
    check_one(9202, get("/look/x?item=7"), sound).await;
}

/// Guards against a stream that leaves no evidence because its prompt has no parts.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_stream_without_a_prompt_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| post(random, "/talk/x", &[]);
    check_one(9203, plain("/talk/x"), sound).await;
}

/// Guards against a stream that leaves no evidence because its only part belongs to it alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_stream_of_one_part_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| post(random, "/talk/x", &[]);
    check_one(9204, fixed("/talk/x", &[]), sound).await;
}

/// Guards against a staged stream that is known only after its stages have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_staged_stream_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| post(random, "/chat/x", &[]);
    check_one(9205, plain("/chat/x"), sound).await;
}

/// Sends one request that crashes targets beside sound ones with shared parts, and checks that 95
/// of 100 of these are answered at the end.
async fn check_shared_parts(seed: u64, request: Draft, sound: fn(&mut Pcg64) -> Draft) {
    let requests = [request];
    let scenario = start(seed, &requests, sound).await;
    let start = scenario.now() + CRASHING_TIME - END_TIME;
    let answers = check(scenario, &requests).await;
    let (begun, all) = count_begun(answers.iter().filter(|it| it.sent >= start));
    assert!(all > 0 && begun * 100 >= all * 95, "{begun} of {all}");
}

/// Guards against sound requests that are refused because all their shared parts are those of a
/// request that crashes targets.
#[tokio::test(flavor = "multi_thread")]
async fn shared_parts_of_a_request_that_crashes_targets_are_not_refused() {
    let sound = |random: &mut Pcg64| post(random, "/talk/x", &[BASE, SOUND[0]]);
    check_shared_parts(9206, fixed("/talk/x", &[BASE, SOUND[0]]), sound).await;
}

/// Guards against parts that are blamed for a request without them, because requests with them
/// were at the targets that it crashed.
#[tokio::test(flavor = "multi_thread")]
async fn parts_beside_a_request_that_crashes_targets_are_not_refused() {
    check_shared_parts(9214, fixed("/talk/x", &[]), sound).await;
}

/// Guards against a decision on one request that hides another at the same service.
#[tokio::test(flavor = "multi_thread")]
async fn two_requests_at_once_do_not_crash_one_target_after_another() {
    let requests = [plain("/book/x"), get("/look/x?item=7")];
    let sound = |random: &mut Pcg64| {
        let path = ["/book/x", "/look/x"][random.random_range(0..2)];
        post(random, path, &[])
    };
    let scenario = start(9207, &requests, sound).await;
    check(scenario, &requests).await;
}

/// Guards against a part that crashes targets and takes the blame for a request without it, and
/// the other way round.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_beside_a_part_does_not_crash_one_target_after_another() {
    let requests = [fixed("/talk/x", &[BASE, SOUND[0]])];
    let whole = requests[0].clone();
    let unsound = move |random: &mut Pcg64| match random.random_bool(0.5) {
        true => whole.clone(),
        false => talk(random, &[BASE, CRASHING[0]]),
    };
    let crashing = Crashing {
        requests: &requests,
        ..Crashing::engines(2.0 * SHARE)
    };
    let scenario = Scenario::start(options(9208, 1), crashing, sound, unsound).await;
    check(scenario, &requests).await;
}

/// Guards against a decision that comes too late for the copies of a request that several callers
/// send at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_several_callers_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| post(random, "/look/x", &[]);
    let requests = [plain("/look/x")];
    let mut scenario = start(9209, &requests, sound).await;
    for _ in 0..2 {
        scenario.send(&[], BURST_INTERVAL, &requests[0]);
    }
    check(scenario, &requests).await;
}

/// Guards against a decision that needs crashes at several gateways.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_one_gateway_does_not_crash_one_target_after_another() {
    let requests = [plain("/look/x")];
    let sound = |random: &mut Pcg64| post(random, "/look/x", &[]);
    let crashing = Crashing {
        requests: &requests,
        ..Crashing::none()
    };
    let mut scenario = Scenario::start(options(9210, 1), crashing, sound, sound).await;
    scenario.send(&[0], BURST_INTERVAL / 2, &requests[0]);
    check(scenario, &requests).await;
}

/// Guards against a restarted gateway that has lost the decision and begins anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_gateway_does_not_forget_the_request() {
    let sound = |random: &mut Pcg64| post(random, "/book/x", &[]);
    let mut scenario = start(9211, &[plain("/book/x")], sound).await;
    scenario.begin();
    sleep(Duration::from_secs(5)).await;
    for gateway in [0, 1] {
        let fault = Fault::KillGateway(gateway);
        scenario.fail(&fault, Duration::from_millis(500)).await;
    }
    scenario.finish(Duration::from_secs(12)).await;
}

/// Guards against an identity with the text of a key instead of the account.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_two_keys_of_an_account_does_not_crash_one_target_after_another() {
    let sound = |random: &mut Pcg64| post(random, "/book/x", &[]);
    let request = plain("/book/x");
    let with_other_key = Draft {
        key: "key-3",
        ..request.clone()
    };
    let requests = [request, with_other_key];
    let scenario = start(9213, &requests, sound).await;
    // Version 2 has a second key of the account.
    let body = Bytes::from(configuration(2).to_string());
    let controls = scenario.deployment.controls();
    assert!(send_order(&controls, Method::PUT, "/configuration", body).await);
    sleep(CONTACT).await;
    check(scenario, &requests).await;
}

/// Guards against a decision that is lost when all daemons restart at once, so that the request
/// crashes targets again.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_all_restart_at_once_do_not_forget_the_request() {
    let sound = |random: &mut Pcg64| post(random, "/book/x", &[]);
    let scenario = start(9215, &[plain("/book/x")], sound).await;
    scenario.begin();
    sleep(Duration::from_secs(8)).await;
    scenario.restart_all(Duration::from_secs(11)).await;
}

/// Guards against an identity without the account, the query, the method or the body.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_that_differ_in_one_field_are_not_refused() {
    let requests = [plain("/book/x"), get("/look/x?item=7")];
    let [book, look] = requests.clone();
    let of_another_account = |draft: &Draft| Draft {
        key: "key-2",
        ..draft.clone()
    };
    let of_path = |draft: &Draft, path| Draft {
        path,
        ..draft.clone()
    };
    let others = [
        of_another_account(&book),
        of_path(&book, "/book/x?item=7"),
        Draft {
            body: "another body".to_owned(),
            ..book.clone()
        },
        of_another_account(&look),
        of_path(&look, "/look/x?item=8"),
        Draft {
            method: Method::POST,
            ..look.clone()
        },
    ];
    let sound = others.clone();
    let sound = move |random: &mut Pcg64| sound[random.random_range(0..sound.len())].clone();
    let scenario = start(9212, &requests, sound).await;
    let start = scenario.now() + CRASHING_TIME - END_TIME;
    let answers = check(scenario, &requests).await;
    check_served(&others, &answers, start);
}
