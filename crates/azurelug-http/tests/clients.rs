//! Tests of the bounds on what is held for clients: sums, stalled bodies, pace and connections.
#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::clients::Clients;
use azurelug_http::h1::server::{Connections, Limits, ShutdownState, serve_bounded};
use azurelug_http::incoming::{self, Error};
use azurelug_http::memory::{Budget, Exhausted, Limits as MemoryLimits};
use azurelug_http::pace::Pace;
use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

const KIB: usize = 1024;

fn budget(shared: usize, unshared: usize, bodies: usize) -> Budget {
    Budget::new(MemoryLimits {
        shared,
        unshared,
        bodies,
    })
}

/// A body of `parts` parts of 16 KiB, with a pause before each; it never ends if `stops`.
fn body(
    parts: usize,
    pause: Duration,
    stops: bool,
) -> impl http_body::Body<Data = Bytes, Error = Infallible> + Unpin {
    let frames = stream::unfold(0, move |number| async move {
        if number == parts && stops {
            std::future::pending::<()>().await;
        }
        sleep(pause).await;
        let frame = Frame::data(Bytes::from(vec![b'x'; 16 * KIB]));
        (number < parts).then_some((Ok(frame), number + 1))
    });
    StreamBody::new(Box::pin(frames))
}

/// Guards against the first 64 KiB of many exchanges, which are bounded one by one only.
#[tokio::test(start_paused = true)]
async fn the_unshared_bytes_of_all_exchanges_are_bounded() {
    let budget = budget(100 * KIB, 128 * KIB, 10);
    let holders: Vec<_> = (0..4).map(|_| budget.open()).collect();
    let mut held = Vec::new();
    for holder in &holders[..3] {
        held.push(holder.hold(64 * KIB).await.unwrap());
    }
    assert_eq!(budget.shared_bytes(), 64 * KIB);
    assert_eq!(
        holders[3].hold(64 * KIB).await.map(drop),
        Err(Exhausted),
        "a fourth exchange exceeds both limits"
    );
    held.pop();
    assert!(holders[3].hold(64 * KIB).await.is_ok());
    drop(held);
    assert_eq!(budget.usage().answers, 0);
}

/// Guards against a body that is ended, although a smaller one has stopped arriving.
#[tokio::test(start_paused = true)]
async fn a_stalled_body_is_ended_before_a_larger_one() {
    let budget = budget(200 * KIB, 0, 10);
    let (stalled, large, asking) = (budget.open(), budget.open(), budget.open());
    let pace = Pace::default();
    let second = Duration::from_secs(1);
    let stops = incoming::read_request(&stalled, body(4, second / 10, true), KIB * KIB, pace);
    let arrives = incoming::read_request(&large, body(8, second, false), KIB * KIB, pace);
    let asks = async {
        sleep(second * 7).await;
        asking.hold(64 * KIB).await
    };
    let (stops, arrives, asks) = tokio::join!(stops, arrives, asks);
    assert_eq!(stops.map(|_| ()), Err(Error::Exhausted(Exhausted)));
    assert_eq!(arrives.map(|body| body.len()), Ok(128 * KIB));
    assert!(asks.is_ok());
}

/// Guards against any number of bodies that arrive at the same time.
#[tokio::test(start_paused = true)]
async fn the_body_without_a_byte_for_longest_makes_room_for_another() {
    let budget = budget(KIB * KIB, KIB * KIB, 2);
    let (pace, pause) = (Pace::default(), Duration::from_millis(10));
    let holders: Vec<_> = (0..3).map(|_| budget.open()).collect();
    let first = incoming::read_request(&holders[0], body(2, pause, true), KIB * KIB, pace);
    let second = incoming::read_request(&holders[1], body(9, pause, false), KIB * KIB, pace);
    let third = async {
        sleep(pause * 5).await;
        incoming::read_request(&holders[2], body(3, pause, false), KIB * KIB, pace).await
    };
    let (first, second, third) = tokio::join!(first, second, third);
    assert_eq!(first.map(|_| ()), Err(Error::Exhausted(Exhausted)));
    assert!(second.is_ok() && third.is_ok());
    drop((second, third));
    assert_eq!((budget.usage().bodies, budget.usage().requests), (0, 0));
}

/// Guards against a body that stays for ever, and against a time limit that the largest body meets on
/// a slow link with lost packets.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_is_late_and_one_over_a_slow_link_is_not() {
    let budget = budget(8 * KIB * KIB, KIB * KIB, 10);
    let holder = budget.open();
    let (pace, limit) = (Pace::default(), 4 * KIB * KIB);
    let stops = body(3, Duration::from_millis(1), true);
    let stopped = incoming::read_request(&holder, stops, limit, pace).await;
    assert_eq!(stopped.map(|_| ()), Err(Error::Late));
    // 16 KiB in 180 ms, a tenth of a link of 7.5 Mbit/s.
    let slow = body(256, Duration::from_millis(180), false);
    let whole = incoming::read_request(&holder, slow, limit, pace).await;
    assert_eq!(whole.map(|body| body.len()), Ok(limit));
    // Fewer than 16 KiB in a second.
    let trickle = body(256, Duration::from_millis(1100), false);
    let late = incoming::read_request(&holder, trickle, limit, pace).await;
    assert_eq!(late.map(|_| ()), Err(Error::Late));
}

/// Starts a server whose requests to `/wait` are never answered.
async fn start_server(connections: &Connections) -> (SocketAddr, watch::Sender<ShutdownState>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stage, stages) = watch::channel(ShutdownState::Serving);
    let handler = |request: Request<Incoming>| async move {
        if request.uri().path() == "/wait" {
            std::future::pending::<()>().await;
        }
        Response::new(Full::new(Bytes::from_static(b"answer")))
    };
    let bound = connections.clone();
    tokio::spawn(serve_bounded(
        listener,
        bound,
        Limits::default,
        stages,
        handler,
    ));
    (address, stage)
}

async fn exchange(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    // A connection that is refused may be closed already.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = vec![0; 4096];
    let read = stream.read(&mut answer).await.unwrap_or_default();
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

/// Guards against idle connections that keep others out, and against a busy one that is closed for a
/// new one.
#[tokio::test]
async fn a_new_connection_replaces_a_waiting_one_and_never_a_busy_one() {
    let connections = Connections::new(1);
    let (address, _stage) = start_server(&connections).await;
    let mut waiting = TcpStream::connect(address).await.unwrap();
    assert!(
        exchange(&mut waiting, "/")
            .await
            .starts_with("HTTP/1.1 200")
    );
    let mut newer = TcpStream::connect(address).await.unwrap();
    assert!(exchange(&mut newer, "/").await.starts_with("HTTP/1.1 200"));
    assert_eq!(waiting.read(&mut [0; 8]).await.unwrap_or_default(), 0);
    let wait = exchange(&mut newer, "/wait");
    assert!(timeout(Duration::from_millis(200), wait).await.is_err());
    let mut refused = TcpStream::connect(address).await.unwrap();
    let mut answer = String::new();
    refused.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    let counts = connections.counts();
    assert_eq!((counts.closed, counts.refused), (1, 1));
    let clients = Clients {
        memory: budget(1, 1, 1),
        connections,
        pace: Pace::default(),
    };
    let mut text = "# EOF\n".to_owned();
    clients.append_metrics("test", &mut text);
    assert!(text.contains("test_clients_cut_off_total{reason=\"connection_refused\"} 1\n"));
    assert!(text.ends_with("# EOF\n") && text.matches("# EOF").count() == 1);
}
