//! Tests of the gateway, the control daemon and the entry daemon with clients outside the limits of
//! the configuration, as real processes. After each crowd the process is the same and alive, its peak
//! memory and open descriptors are under their bounds, and an ordinary request is answered while the
//! crowd is still connected.
#![allow(clippy::unwrap_used)]

#[path = "support/crowd.rs"]
mod crowd;
#[allow(dead_code)]
#[path = "support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use azurelug_system::booking::Booking;
use azurelug_system::operator::Operator;
use azurelug_system::process::Process;
use azurelug_system::system::{ACCOUNT_KEY, System};
use bytes::Bytes;
use crowd::{Crowd, Kind, Target, peak_descriptors, peak_memory};
use deployment::{Behaviour, Deployment, RAW, configuration};
use http::Method;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// One crowd at a time: each takes much of the machine's memory and processor time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Time within which the ordinary request is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Memory of the gateway's VM in megabytes: a third of the smallest one's (120), so that few clients
/// suffice.
const GATEWAY_MB: usize = 40;

/// Largest legal request body of the gateway.
const GATEWAY_BODY: usize = 1024 * 1024;

/// Memory of an entry daemon's VM in megabytes: that of the smallest gateway.
const ENTRY_MB: usize = 120;

/// Memory of a control daemon's VM in megabytes.
const CONTROL_MB: usize = 256;

/// Clients that send bodies to the gateway or an entry daemon.
const BODIES: usize = 300;

/// Clients that send documents of 8 MiB to a control daemon.
const DOCUMENTS: usize = 60;

/// Clients that hold connections without a complete head.
const CONNECTIONS: usize = 3000;

/// Clients that don't read their answers.
const UNREAD: usize = 100;

/// Bound on open descriptors. A VM of the smallest size has 3,075; the rest is for connections to
/// targets and files.
const DESCRIPTORS: usize = 2500;

/// Checks that a daemon is still the process with the id `process`, and that its memory and its most
/// `open` descriptors are within their bounds.
fn check(kind: Kind, daemon: &mut Process, process: u32, (megabytes, open): (usize, usize)) {
    assert!(!daemon.has_ended(), "{kind:?}: the process ended");
    assert_eq!(daemon.id(), Some(process));
    let peak = peak_memory(process);
    println!(
        "{kind:?}: peak {} MB of {megabytes}, {open} descriptors",
        peak / 1_000_000
    );
    let bound = megabytes as u64 * 1_000_000;
    assert!(peak < bound, "{kind:?}: {peak} bytes, {bound} allowed");
    assert!(open < DESCRIPTORS, "{kind:?}: {open} descriptors");
}

/// Repeats an ordinary request until it is answered.
async fn wait_answered<F: Future<Output = bool>>(kind: Kind, request: impl Fn(usize) -> F) {
    let started = Instant::now();
    for number in 0.. {
        if request(number).await {
            return;
        }
        assert!(
            started.elapsed() < ANSWER_TIMEOUT,
            "{kind:?}: the ordinary request was not answered"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Connects a crowd to the gateway's address for clients.
async fn crowd_gateway(kind: Kind, count: usize) {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut deployment = Deployment::start_with("8s", &format!("memory_mb: {GATEWAY_MB}\n")).await;
    // Keeps the requests of the crowd until their deadline.
    deployment.set_behaviour(RAW, Behaviour::EndlessInterim);
    let mut document = configuration(2);
    document["limits"] = json!({"max_header_bytes": 16_384, "max_body_bytes": GATEWAY_BODY,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15_000});
    deployment.put_configuration(&document, 200).await;
    let process = deployment.gateway.id().unwrap();
    let target = Target {
        address: deployment.client_address(),
        head: "POST /raw/x HTTP/1.1\r\nhost: carts.example\r\nauthorization: Bearer key-1\r\n\
            x-request-attempt-id: crowd-NUMBER\r\nx-deadline-milliseconds: 4000\r\n"
            .to_owned(),
        body_bytes: GATEWAY_BODY,
    };
    let crowd = Crowd::connect(kind, &target, count).await;
    let open = peak_descriptors(process).await;
    wait_answered(kind, |number| {
        let deployment = &deployment;
        async move {
            let id = format!("ordinary-{number}");
            let answer = deployment.try_request(&id, "/book/x", &[]).await;
            answer.is_ok_and(|answer| answer.status == 200)
        }
    })
    .await;
    check(kind, &mut deployment.gateway, process, (GATEWAY_MB, open));
    drop(crowd);
}

/// Connects a crowd to the address for operators' documents of a control daemon.
async fn crowd_control(kind: Kind, count: usize) {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut deployment = Deployment::start().await;
    let process = deployment.control.id().unwrap();
    let target = Target {
        address: deployment.operators_address(),
        head: "PUT /configuration HTTP/1.1\r\nhost: control\r\n".to_owned(),
        body_bytes: 8 * 1024 * 1024,
    };
    let crowd = Crowd::connect(kind, &target, count).await;
    let open = peak_descriptors(process).await;
    wait_answered(kind, |_| async {
        let body = Bytes::from(configuration(2).to_string());
        let answer = deployment
            .try_order(Method::PUT, "/configuration", body)
            .await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    check(kind, &mut deployment.control, process, (CONTROL_MB, open));
    drop(crowd);
}

/// Connects a crowd to an entry daemon's address for callers.
async fn crowd_entry(kind: Kind, count: usize) {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut system = System::start().await;
    let process = system.zones[0].entry.id().unwrap();
    let target = Target {
        address: system.callers_address(0),
        head: format!(
            "POST /v1/pipelines/season-summary HTTP/1.1\r\nhost: entry\r\n\
             authorization: Bearer {ACCOUNT_KEY}\r\ncontent-type: application/json\r\n"
        ),
        body_bytes: 1024 * 1024,
    };
    let crowd = Crowd::connect(kind, &target, count).await;
    let open = peak_descriptors(process).await;
    wait_answered(kind, |_| async {
        let answer = Booking::new(Duration::from_secs(4));
        let answer = answer.send(system.callers_address(0)).await;
        answer.is_some_and(|answer| answer.status == 200)
    })
    .await;
    check(kind, &mut system.zones[0].entry, process, (ENTRY_MB, open));
    drop(crowd);
}

/// Connects a crowd to the address for patches of a control daemon.
async fn crowd_operators(kind: Kind, count: usize) {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut system = System::start().await;
    let process = system.zones[0].control.id().unwrap();
    let target = Target {
        address: system.operators_address(0),
        head: "POST /v1/patches HTTP/1.1\r\nhost: control\r\n".to_owned(),
        body_bytes: 1024 * 1024,
    };
    let crowd = Crowd::connect(kind, &target, count).await;
    let open = peak_descriptors(process).await;
    wait_answered(kind, |_| async {
        let operator = Operator::new();
        operator.config(system.operators_address(0)).await.is_some()
    })
    .await;
    check(
        kind,
        &mut system.zones[0].control,
        process,
        (CONTROL_MB, open),
    );
    drop(crowd);
}

/// Connects clients that send nothing to a port for other processes.
async fn crowd_frames(address: impl Fn(&Deployment) -> SocketAddr, count: usize) {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut deployment = Deployment::start().await;
    let process = deployment.control.id().unwrap();
    let target = Target {
        address: address(&deployment),
        head: String::new(),
        body_bytes: 0,
    };
    let crowd = Crowd::connect(Kind::Idle, &target, count).await;
    let open = peak_descriptors(process).await;
    check(
        Kind::Idle,
        &mut deployment.control,
        process,
        (CONTROL_MB, open),
    );
    drop(crowd);
}

/// Guards against a bound that refuses the operators' orders at once, each of the largest size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_daemon_reads_eight_documents_of_the_largest_size_at_once() {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut deployment = Deployment::start().await;
    let process = deployment.control.id().unwrap();
    // Unknown fields are ignored, and the version is in force, so that it is acknowledged.
    let mut document = configuration(1);
    document["padding"] = json!("x".repeat(8 * 1024 * 1024 - 20_000));
    let body = Bytes::from(document.to_string());
    let orders = (0..8).map(|_| deployment.try_order(Method::PUT, "/configuration", body.clone()));
    let answers = futures_util::future::join_all(orders).await;
    for answer in answers {
        assert_eq!(answer.unwrap().status, 200, "{}", deployment.control.log());
    }
    check(
        Kind::Whole,
        &mut deployment.control,
        process,
        (CONTROL_MB, 0),
    );
}

/// Opens connections to a gateway whose clients don't read their answers, which `behaviour` makes
/// large.
async fn crowd_unread(path: &str, targets: [&str; 2], behaviour: Behaviour, ordinary: &str) {
    let _only = ONE_AT_A_TIME.lock().await;
    let mut deployment = Deployment::start_with("8s", &format!("memory_mb: {GATEWAY_MB}\n")).await;
    let process = deployment.gateway.id().unwrap();
    for target in targets {
        deployment.set_behaviour(target, behaviour);
    }
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: carts.example\r\nauthorization: Bearer key-1\r\n\
         x-request-attempt-id: unread-NUMBER\r\nx-deadline-milliseconds: 4000\r\n\
         content-length: 0\r\n\r\n"
    );
    let mut unread = Vec::new();
    for number in 0..UNREAD {
        let mut stream = deployment.connect().await.unwrap();
        let request = request.replace("NUMBER", &number.to_string());
        stream.write_all(request.as_bytes()).await.unwrap();
        unread.push(stream);
    }
    let open = peak_descriptors(process).await;
    wait_answered(Kind::Idle, |number| {
        let deployment = &deployment;
        async move {
            let id = format!("ordinary-{number}");
            let answer = deployment.try_request(&id, ordinary, &[]).await;
            answer.is_ok_and(|answer| answer.status == 200)
        }
    })
    .await;
    check(
        Kind::Idle,
        &mut deployment.gateway,
        process,
        (GATEWAY_MB, open),
    );
    drop(unread);
}

/// Guards against streams that take the memory while their clients don't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_survives_unread_streams() {
    crowd_unread(
        "/talk/x",
        ["llm-a", "llm-b"],
        Behaviour::LargeEvents,
        "/book/x",
    )
    .await;
}

/// Guards against whole answers that take the memory while their clients don't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_survives_unread_answers() {
    crowd_unread(
        "/book/x",
        ["desk-a", "desk-b"],
        Behaviour::LargeBody,
        "/talk/x",
    )
    .await;
}

macro_rules! crowds {
    ($($(#[$doc:meta])* $name:ident: $run:ident($kind:expr, $count:expr);)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $run($kind, $count).await;
        })*
    };
}

crowds! {
    /// Guards against a gateway that reads bodies whose announced length is over the limit.
    a_gateway_survives_bodies_announced_far_over_the_limit:
        crowd_gateway(Kind::AnnouncedFarOver, BODIES);
    /// Guards against a gateway that reads bodies without an announced length past the limit.
    a_gateway_survives_bodies_sent_far_over_the_limit:
        crowd_gateway(Kind::EndlessChunks, BODIES);
    /// Guards against a gateway that bounds each legal body, but not what all of them take.
    a_gateway_survives_many_large_bodies: crowd_gateway(Kind::Whole, BODIES);
    /// Guards against buffers that grow, and are copied, for many bodies at once.
    a_gateway_survives_many_large_bodies_piece_by_piece: crowd_gateway(Kind::Piecewise, BODIES);
    /// Guards against a gateway that keeps bodies that stop short of their end.
    a_gateway_survives_bodies_that_stop_short: crowd_gateway(Kind::Stalled, BODIES);
    /// Guards against the same for bodies without an announced length.
    a_gateway_survives_chunked_bodies_that_stop_short:
        crowd_gateway(Kind::StalledChunks, BODIES);
    /// Guards against heads that are bounded one by one, but not in their number.
    a_gateway_survives_half_heads: crowd_gateway(Kind::HalfHeads, CONNECTIONS);
    /// Guards against connections that take all descriptors.
    a_gateway_survives_idle_connections: crowd_gateway(Kind::Idle, CONNECTIONS);

    /// Guards against a control daemon that reads documents far over the limit.
    a_control_daemon_survives_documents_announced_far_over_the_limit:
        crowd_control(Kind::AnnouncedFarOver, DOCUMENTS);
    /// Guards against a control daemon that bounds each document, but not their sum.
    a_control_daemon_survives_many_large_documents: crowd_control(Kind::Whole, DOCUMENTS);
    /// Guards against documents that stop short of their end and stay.
    a_control_daemon_survives_documents_that_stop_short:
        crowd_control(Kind::Stalled, DOCUMENTS);
    /// Guards against the same without an announced length.
    a_control_daemon_survives_chunked_documents_that_stop_short:
        crowd_control(Kind::StalledChunks, DOCUMENTS);
    /// Guards against connections that take all descriptors.
    a_control_daemon_survives_idle_connections: crowd_control(Kind::Idle, CONNECTIONS);
    /// Guards against patches that stop short of their end and stay.
    a_control_daemon_survives_patches_that_stop_short: crowd_operators(Kind::Stalled, BODIES);
    /// Guards against half heads at the address for patches.
    a_control_daemon_survives_half_heads_of_patches:
        crowd_operators(Kind::HalfHeads, CONNECTIONS);

    /// Guards against connections without a handshake that take all descriptors of a control daemon.
    a_control_daemon_survives_connections_without_a_handshake:
        crowd_frames(Deployment::control_internal, CONNECTIONS);

    /// Guards against an entry daemon that reads bodies past the limit.
    an_entry_daemon_survives_bodies_sent_far_over_the_limit:
        crowd_entry(Kind::EndlessChunks, BODIES);
    /// Guards against an entry daemon that bounds each body, but not their sum.
    an_entry_daemon_survives_many_large_bodies: crowd_entry(Kind::Whole, BODIES);
    /// Guards against bodies that stop short of their end and stay.
    an_entry_daemon_survives_bodies_that_stop_short: crowd_entry(Kind::Stalled, BODIES);
    /// Guards against heads without a bound on their number.
    an_entry_daemon_survives_half_heads: crowd_entry(Kind::HalfHeads, CONNECTIONS);
    /// Guards against connections that take all descriptors.
    an_entry_daemon_survives_idle_connections: crowd_entry(Kind::Idle, CONNECTIONS);
}
