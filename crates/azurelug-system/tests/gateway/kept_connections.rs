//! Tests of clients that keep their connections open while the limits of the configuration change.

use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::deployment::{Deployment, configuration};

/// Time until a configuration is in force (`apply` of the gateway's settings), with a margin.
const APPLY: Duration = Duration::from_millis(2500);

fn limits(version: u64, head_bytes: u64, head_ms: u64, idle_ms: u64) -> Value {
    let mut document = configuration(version);
    document["limits"] = json!({"max_header_bytes": head_bytes, "max_body_bytes": 1_000_000,
        "header_timeout_ms": head_ms, "idle_timeout_ms": idle_ms});
    document
}

async fn put_limits(deployment: &Deployment, document: Value) {
    deployment.put_configuration(&document, 200).await;
    sleep(APPLY).await;
}

/// Guards against kept connections that are closed by the idle timeout of an earlier configuration.
/// Clients use connections that were idle for up to four fifths of the timeout in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_is_not_closed_by_an_earlier_idle_timeout() {
    let deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 16_384, 3000, 4000)).await;
    let mut client = deployment.client().await;
    client.request("first", "/look/x", &[]).await.unwrap();
    put_limits(&deployment, limits(3, 16_384, 3000, 10_000)).await;
    client.request("second", "/look/x", &[]).await.unwrap();
    sleep(Duration::from_secs(7)).await;
    let third = client.request("third", "/look/x", &[]).await;
    let third = third.unwrap_or_else(|error| panic!("{error}: {}", deployment.log()));
    assert_eq!(third.status, 200);
}

/// Guards against requests on kept connections that are refused by an earlier limit for heads.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_on_a_kept_connection_is_not_refused_by_an_earlier_limit() {
    let deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 8192, 3000, 15_000)).await;
    let mut client = deployment.client().await;
    client.request("first", "/look/x", &[]).await.unwrap();
    put_limits(&deployment, limits(3, 65_536, 3000, 15_000)).await;
    let long = "x".repeat(30_000);
    let headers = [("x-long", long.as_str())];
    let second = client.request("second", "/look/x", &headers).await.unwrap();
    assert_eq!(second.status, 200, "{}", deployment.log());
}

/// Guards against slow heads on kept connections that are refused by an earlier time limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_head_on_a_kept_connection_is_not_refused_by_an_earlier_limit() {
    let deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 16_384, 500, 15_000)).await;
    let mut stream = deployment.connect().await.unwrap();
    assert_eq!(
        send_slowly(&mut stream, "first", Duration::ZERO).await,
        "200"
    );
    put_limits(&deployment, limits(3, 16_384, 6000, 15_000)).await;
    let pause = Duration::from_secs(2);
    let status = send_slowly(&mut stream, "second", pause).await;
    assert_eq!(status, "200", "{}", deployment.log());
}

/// Guards against a request that is cut off because the idle time before its head is added to the
/// time that the head takes, which are limited separately.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_head_after_an_idle_time_is_answered() {
    let deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 16_384, 6000, 3000)).await;
    let mut stream = deployment.connect().await.unwrap();
    let first = send_slowly(&mut stream, "first", Duration::ZERO).await;
    assert_eq!(first, "200", "{}", deployment.log());
    sleep(Duration::from_millis(2000)).await;
    let second = send_slowly(&mut stream, "second", Duration::from_millis(2500)).await;
    assert_eq!(second, "200", "{}", deployment.log());
}

/// Guards against connections that keep the default limits because they were accepted before the
/// gateway had a configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_from_before_the_first_configuration_has_the_limits_in_force() {
    let mut deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 65_536, 8000, 60_000)).await;
    assert!(deployment.gateway.terminate(Duration::from_secs(10)));
    deployment.gateway.start();
    let mut stream = loop {
        match deployment.connect().await {
            Ok(stream) => break stream,
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    };
    deployment.wait_ready(true).await;
    let long = format!("a\r\nX-Long: {}", "x".repeat(30_000));
    assert_eq!(send_slowly(&mut stream, &long, Duration::ZERO).await, "200");
    let slow = send_slowly(&mut stream, "second", Duration::from_secs(5)).await;
    assert_eq!(slow, "200", "{}", deployment.log());
}

/// Guards against a whole request without an answer if the configuration changes, or the gateway
/// stops, between its head and the rest of its body.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_arrives_after_a_change_is_answered() {
    let deployment = Deployment::start().await;
    let mut without_key = configuration(4);
    without_key["tenants"][0]["api_keys"] = json!(["key-2"]);
    let mut without_route = configuration(6);
    let routes = without_route["routes"].as_array_mut().unwrap();
    routes.retain(|it| it["name"] != "look");
    let changes = [
        limits(2, 200, 100, 100),
        limits(3, 16_384, 3000, 15_000),
        without_key,
        configuration(5),
        without_route,
        configuration(7),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut stream = deployment.connect().await.unwrap();
        let id = format!("change-{number}");
        let pause = APPLY + Duration::from_millis(500);
        let (status, ()) = tokio::join!(send_slowly(&mut stream, &id, pause), async {
            sleep(Duration::from_millis(200)).await;
            put_limits(&deployment, change).await;
        });
        let is_answered = ["200", "401", "404", "408", "413", "431"].contains(&status.as_str());
        assert!(is_answered, "{number}: {status}, {}", deployment.log());
    }
}

/// Guards against kept connections that are closed, or requests that are refused, while the limits
/// change often, although the requests keep within each of them.
#[tokio::test(flavor = "multi_thread")]
async fn limits_that_change_often_end_no_connection_in_use() {
    let deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 8192, 1500, 1000)).await;
    let changes = async {
        for version in 3..60 {
            let document = match version % 3 {
                0 => limits(version, 65_536, 5000, 8000),
                1 => limits(version, 8192, 1500, 1000),
                _ => limits(version, 16_384, 3000, 2000),
            };
            deployment.put_configuration(&document, 200).await;
            sleep(Duration::from_millis(100)).await;
        }
    };
    let heads = (0..12).map(async |number: u64| {
        let mut client = deployment.client().await;
        let long = "x".repeat(6000);
        for round in 0..12 {
            let id = format!("kept-{number}-{round}");
            let headers = [("x-long", long.as_str())];
            let answer = client.request(&id, "/look/x", &headers).await;
            let is_served = answer.as_ref().is_ok_and(|it| it.status == 200);
            assert!(is_served, "{id}: {answer:?}\n{}", deployment.log());
            sleep(Duration::from_millis(50 * number)).await;
        }
    });
    let slow_heads = (0..8).map(async |number: u64| {
        let mut stream = deployment.connect().await.unwrap();
        for round in 0..8 {
            let pause = Duration::from_millis(50 * number + 20 * round);
            let status = send_slowly(&mut stream, "second", pause).await;
            assert_eq!(status, "200", "{pause:?}: {}", deployment.log());
            sleep(Duration::from_millis(400)).await;
        }
    });
    tokio::join!(changes, join_all(heads), join_all(slow_heads));
}

/// Guards against a second answer to a request that is refused before its body has been read.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_beyond_the_limit_gets_one_answer() {
    let deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 8192, 500, 1000)).await;
    for (number, length) in [1_000_001, 1_020_000, 4_000_000].into_iter().enumerate() {
        let mut stream = deployment.connect().await.unwrap();
        let id = format!("large-{number}");
        let head = format!(
            "POST /look/x HTTP/1.1\r\nHost: carts.example\r\nAuthorization: Bearer key-1\r\n\
             Content-Length: {length}\r\nX-Request-Attempt-Id: {id}\r\n\r\n"
        );
        let (mut reader, mut writer) = stream.split();
        let upload = async {
            writer.write_all(head.as_bytes()).await?;
            for part in vec![b'x'; length].chunks(50_000) {
                writer.write_all(part).await?;
                sleep(Duration::from_millis(5)).await;
            }
            Ok::<_, std::io::Error>(())
        };
        let mut answer = Vec::new();
        let read = timeout(Duration::from_secs(8), reader.read_to_end(&mut answer));
        // The gateway may close the connection before it has read everything.
        let _ = tokio::join!(upload, read);
        let text = String::from_utf8_lossy(&answer);
        let count = text.matches("HTTP/1.1 ").count();
        assert!(count <= 1, "{length}: {text}");
        assert!(deployment.received(&id).is_empty());
    }
}

/// Guards against a request that is passed on to a target and gets no answer because the gateway
/// closes the kept connection at that moment, after a stop or an idle time.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crosses_a_close_is_answered_or_not_passed_on() {
    let mut deployment = Deployment::start().await;
    put_limits(&deployment, limits(2, 16_384, 3000, 250)).await;
    let crossing = async |number: u64, pause: Duration| {
        let mut client = deployment.client().await;
        let mut answered = 0;
        for round in 0..40 {
            let id = format!("cross-{number}-{round}");
            match client.request(&id, "/look/x", &[]).await {
                Ok(answer) if answer.is_whole && answer.status == 200 => answered += 1,
                Ok(answer) => return Err(format!("{id}: {answer:?}")),
                // The connection was closed, which the client may see only now.
                Err(_) if deployment.received(&id).is_empty() => {
                    match deployment.try_client().await {
                        Some(other) => client = other,
                        None => return Ok(answered),
                    }
                }
                Err(error) => return Err(format!("{id} was passed on: {error}")),
            }
            sleep(pause).await;
        }
        Ok(answered)
    };
    // The clients' pauses are around the idle timeout.
    let pauses = (0..24).map(|it| (it, Duration::from_millis(238 + it)));
    let idle = join_all(pauses.map(|(number, pause)| crossing(number, pause))).await;
    deployment.gateway.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(2300)).await;
    let pauses = (24..48).map(|it| (it, Duration::from_millis(it % 25)));
    let stop = join_all(pauses.map(|(number, pause)| crossing(number, pause))).await;
    let results: Result<Vec<u32>, String> = idle.into_iter().chain(stop).collect();
    let answered = results.unwrap_or_else(|error| panic!("{error}: {}", deployment.log()));
    assert!(answered[..24].iter().all(|&it| it > 0), "{answered:?}");
    assert!(deployment.gateway.terminate(Duration::from_secs(8)));
}

/// Guards against a whole request without an answer if the gateway stops while the request arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_during_a_stop_is_answered() {
    let mut deployment = Deployment::start().await;
    let mut streams = Vec::new();
    for _ in 0..4 {
        let mut stream = deployment.connect().await.unwrap();
        assert_eq!(
            send_slowly(&mut stream, "first", Duration::ZERO).await,
            "200"
        );
        streams.push(stream);
    }
    deployment.gateway.signal(Signal::SIGTERM);
    // The gateway closes idle connections 2.6 s after the signal.
    sleep(Duration::from_millis(2000)).await;
    let requests = streams.iter_mut().zip(["second", "body", "second", "body"]);
    let requests = requests.zip([900, 900, 1200, 2500]);
    let requests = requests.map(|((stream, id), pause)| {
        let pause = Duration::from_millis(pause);
        async move { (id, pause, send_slowly(stream, id, pause).await) }
    });
    for (id, pause, status) in join_all(requests).await {
        assert_eq!(status, "200", "{id} {pause:?}: {}", deployment.log());
    }
    assert!(deployment.gateway.terminate(Duration::from_secs(8)));
}

/// Sends a request with a pause in its head if `id` is `second`, otherwise in its body, and returns
/// the status of the answer; `closed` if the connection ends.
async fn send_slowly(stream: &mut TcpStream, id: &str, pause: Duration) -> String {
    let head = format!(
        "POST /look/x HTTP/1.1\r\nHost: carts.example\r\nAuthorization: Bearer key-1\r\n\
         Content-Length: 6\r\nX-Request-Attempt-Id: {id}\r\n\r\n"
    );
    let at = if id == "second" { 40 } else { head.len() };
    let request = format!("{head}a body");
    let (start, rest) = request.split_at(at);
    let mut answer = Vec::new();
    let exchange = async {
        stream.write_all(start.as_bytes()).await?;
        sleep(pause).await;
        stream.write_all(rest.as_bytes()).await?;
        while !is_whole(&answer) && stream.read_buf(&mut answer).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    // An early answer may be followed by the end of the connection.
    let _ = timeout(Duration::from_secs(20), exchange).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1);
    status.unwrap_or("closed").to_owned()
}

/// Whether the bytes contain an answer and its body, which has a length.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|it| it.lines().next()?.parse().ok());
    body.len() >= length.unwrap_or(0)
}
