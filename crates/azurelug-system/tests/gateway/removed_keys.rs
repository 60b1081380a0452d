//! Tests of requests with a key that the operators have removed.

#[path = "../support/status.rs"]
mod status;

use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::deployment::{Deployment, configuration};
use crate::suspendable::SuspendableGateway;
use status::read_status;

/// Time after which no request with a removed key may run (`revocation` of the settings), and a
/// margin for the time between the acknowledgement and the next step of a test.
const REVOCATION: Duration = Duration::from_millis(5500);

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The configuration with another key in place of `key-1`.
fn without_key(version: u64) -> Value {
    let mut document = configuration(version);
    document["tenants"][0]["api_keys"] = json!(["key-2"]);
    document
}

fn get(id: &str) -> String {
    format!(
        "GET /look/x HTTP/1.1\r\nHost: carts.example\r\nAuthorization: Bearer key-1\r\n\
         X-Request-Attempt-Id: {id}\r\nX-Deadline-Milliseconds: 4000\r\n\r\n"
    )
}

/// Guards against keys that are accepted by the configuration from before a suspension of the
/// machine, whose age by the steady clock doesn't include the suspension.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_gateway_refuses_a_key_that_was_removed_meanwhile() {
    let deployment = Deployment::start().await;
    let gateway = SuspendableGateway::start(&deployment).await;
    let mut before = TcpStream::connect(gateway.clients()).await.unwrap();
    before.write_all(get("before").as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut before, ANSWER_TIMEOUT).await, 200);
    let suspension = gateway.suspend();
    deployment.put_configuration(&without_key(2), 200).await;
    sleep(REVOCATION).await;
    let mut waiting = vec![before];
    for _ in 0..20 {
        waiting.push(TcpStream::connect(gateway.clients()).await.unwrap());
    }
    for (number, stream) in waiting.iter_mut().enumerate() {
        let request = get(&format!("late-{number}"));
        stream.write_all(request.as_bytes()).await.unwrap();
    }
    drop(suspension);
    let statuses = join_all(waiting.iter_mut().map(|it| read_status(it, ANSWER_TIMEOUT))).await;
    let ids = (0..waiting.len()).map(|number| format!("late-{number}"));
    let ran = ids.filter(|id| !deployment.received(id).is_empty()).count();
    assert_eq!(ran, 0, "requests ran with a removed key: {statuses:?}");
    assert!(
        statuses.iter().all(|status| [401, 503].contains(status)),
        "{statuses:?}"
    );
}

/// Guards against a key that is looked up in the configuration from before the body of its request
/// arrived, while the newer one vouches for its age.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_removed_before_the_body_arrived_is_refused() {
    let deployment = Deployment::start().await;
    deployment.gateway.signal(Signal::SIGSTOP);
    deployment.put_configuration(&without_key(2), 200).await;
    sleep(REVOCATION).await;
    let mut streams = Vec::new();
    for number in 0..10 {
        let mut stream = deployment.connect().await.unwrap();
        let head = format!(
            "POST /look/x HTTP/1.1\r\nHost: carts.example\r\nAuthorization: Bearer key-1\r\n\
             X-Request-Attempt-Id: late-{number}\r\nX-Deadline-Milliseconds: 4000\r\n\
             Content-Length: 10\r\n\r\n12345"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    deployment.gateway.signal(Signal::SIGCONT);
    wait_for_version(&deployment, 2).await;
    for stream in &mut streams {
        stream.write_all(b"67890").await.unwrap();
    }
    let statuses = join_all(streams.iter_mut().map(|it| read_status(it, ANSWER_TIMEOUT))).await;
    let ids = (0..streams.len()).map(|number| format!("late-{number}"));
    let ran = ids.filter(|id| !deployment.received(id).is_empty()).count();
    assert_eq!(ran, 0, "requests ran with a removed key: {statuses:?}");
    assert!(statuses.iter().all(|it| *it == 401), "{statuses:?}");
}

async fn wait_for_version(deployment: &Deployment, version: u64) {
    let line = format!("configuration {version} in force");
    let in_force = async {
        while !deployment.log().contains(&line) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(ANSWER_TIMEOUT, in_force)
        .await
        .expect("the version is in force in time");
}

/// Guards against requests with a removed key, or with one that never existed, that run on a route
/// which serves requests without a key.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_is_refused_on_a_route_that_needs_none() {
    let deployment = Deployment::start().await;
    let mut open = without_key(2);
    for route in open["routes"].as_array_mut().unwrap() {
        route["allow_anonymous"] = json!(true);
    }
    deployment.put_configuration(&open, 200).await;
    wait_for_version(&deployment, 2).await;
    for (id, key, expected) in [
        ("removed", "Bearer key-1", 401),
        ("unknown", "Bearer none", 401),
        ("valid", "Bearer key-2", 200),
    ] {
        let answer = deployment
            .request(id, "/look/x", &[("authorization", key)])
            .await;
        assert_eq!(answer.status, expected, "{id}");
        let ran = !deployment.received(id).is_empty();
        assert_eq!(ran, expected == 200, "{id}");
    }
    let mut stream = deployment.connect().await.unwrap();
    let keyless = get("keyless").replace("Authorization: Bearer key-1\r\n", "");
    stream.write_all(keyless.as_bytes()).await.unwrap();
    assert_eq!(read_status(&mut stream, ANSWER_TIMEOUT).await, 200);
    assert_eq!(deployment.received("keyless").len(), 1);
}

/// Guards against a removed key that is accepted at any age of the configuration, because an earlier
/// version without a list of accounts is still in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_removed_after_a_version_without_accounts_is_refused() {
    let deployment = Deployment::start().await;
    let mut without_accounts = configuration(2);
    without_accounts.as_object_mut().unwrap().remove("tenants");
    deployment.put_configuration(&without_accounts, 200).await;
    wait_for_version(&deployment, 2).await;
    deployment.gateway.signal(Signal::SIGSTOP);
    deployment.put_configuration(&configuration(3), 200).await;
    deployment.put_configuration(&without_key(4), 200).await;
    sleep(REVOCATION).await;
    let mut streams = Vec::new();
    for number in 0..10 {
        let mut stream = deployment.connect().await.unwrap();
        let request = get(&format!("late-{number}"));
        stream.write_all(request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    deployment.gateway.signal(Signal::SIGCONT);
    let statuses = join_all(streams.iter_mut().map(|it| read_status(it, ANSWER_TIMEOUT))).await;
    let ids = (0..streams.len()).map(|number| format!("late-{number}"));
    let ran = ids.filter(|id| !deployment.received(id).is_empty()).count();
    assert_eq!(ran, 0, "requests ran with a removed key: {statuses:?}");
    assert!(
        statuses.iter().all(|status| [401, 503].contains(status)),
        "{statuses:?}"
    );
}
