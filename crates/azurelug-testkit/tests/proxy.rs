//! The fault proxy: dropped bytes, half-open connections, closed connections and delays.

#[path = "support/common.rs"]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_http::Client;
use azurelug_testkit::Proxy;
use azurelug_testkit::proxy::{Link, NewConnections, Rule, Settings};
use common::{TIMEOUT, get, local_address, post, wait_until};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

struct ProxiedConnection {
    client: TcpStream,
    target: TcpStream,
}

async fn start() -> (TcpListener, Proxy) {
    let listener = TcpListener::bind(local_address())
        .await
        .expect("a free port");
    let settings = Settings {
        target: listener.local_addr().expect("a bound listener"),
        control_address: local_address(),
        link: Link::default(),
    };
    let proxy = Proxy::start(local_address(), settings)
        .await
        .expect("a free port");
    (listener, proxy)
}

/// Opens a connection through the proxy and checks that it works.
async fn connect(listener: &TcpListener, address: SocketAddr) -> ProxiedConnection {
    let open = async {
        let client = TcpStream::connect(address).await.expect("the proxy");
        let (target, _) = listener.accept().await.expect("a connection");
        let mut connection = ProxiedConnection { client, target };
        exchange_messages(&mut connection).await;
        connection
    };
    timeout(TIMEOUT, open).await.expect("a working connection")
}

async fn exchange_messages(connection: &mut ProxiedConnection) {
    let mut bytes = [0; 4];
    connection
        .client
        .write_all(b"ping")
        .await
        .expect("a writable connection");
    connection
        .target
        .read_exact(&mut bytes)
        .await
        .expect("a forwarded request");
    connection
        .target
        .write_all(b"pong")
        .await
        .expect("a writable connection");
    connection
        .client
        .read_exact(&mut bytes)
        .await
        .expect("a forwarded response");
    assert_eq!(&bytes, b"pong");
}

/// How long a stream is watched for bytes or an end that must not arrive.
const SILENCE: Duration = Duration::from_millis(100);

/// Whether the stream stays open without bytes to read.
async fn is_silent(stream: &TcpStream) -> bool {
    timeout(SILENCE, stream.peek(&mut [0; 16])).await.is_err()
}

/// Guards against a drop rule that closes the connection or forwards bytes: a half-open connection
/// must look alive to both sides.
#[tokio::test]
async fn dropped_bytes_are_discarded_and_the_connection_stays_open() {
    let (listener, proxy) = start().await;
    let mut old = connect(&listener, proxy.address()).await;
    proxy.set_link(Link {
        forward: Rule::Drop,
        backward: Rule::Drop,
        new_connections: NewConnections::Pass,
        ..Link::default()
    });
    old.client.write_all(b"lost").await.unwrap();
    old.target.write_all(b"missing").await.unwrap();
    wait_until("the bytes of both directions to be discarded", || {
        let traffic = proxy.traffic();
        (traffic.dropped_forward, traffic.dropped_backward) == (4, 7)
    })
    .await;
    assert!(is_silent(&old.client).await && is_silent(&old.target).await);

    connect(&listener, proxy.address()).await;

    // The link is restored, but the old connection has lost bytes and must stay silent.
    proxy.set_link(Link::default());
    old.client.write_all(b"again").await.unwrap();
    wait_until(
        "the new bytes of the old connection to be discarded",
        || proxy.traffic().dropped_forward == 9,
    )
    .await;
    // The end of the stream is discarded like the bytes before it, so the target sees no end.
    old.client.shutdown().await.unwrap();
    connect(&listener, proxy.address()).await;
    assert!(is_silent(&old.client).await && is_silent(&old.target).await);
    assert_eq!(proxy.traffic().accepted, 3);
}

/// Guards against a new connection that is closed, or that reaches the target, although the rule
/// drops its bytes.
#[tokio::test]
async fn a_new_connection_with_dropped_bytes_stays_open_and_does_not_reach_the_target() {
    let (listener, proxy) = start().await;
    proxy.set_link(Link {
        forward: Rule::Drop,
        ..Link::default()
    });
    let mut client = TcpStream::connect(proxy.address()).await.unwrap();
    client.write_all(b"lost").await.unwrap();
    wait_until("the bytes to be discarded", || {
        proxy.traffic().dropped_forward == 4
    })
    .await;
    client.shutdown().await.unwrap();
    assert!(is_silent(&client).await);
    assert!(timeout(SILENCE, listener.accept()).await.is_err());
}

/// Guards against a one-way partition that also blocks the other direction.
#[tokio::test]
async fn dropping_one_direction_leaves_the_other_working() {
    let (listener, proxy) = start().await;
    let mut connection = connect(&listener, proxy.address()).await;
    proxy.set_link(Link {
        backward: Rule::Drop,
        ..Link::default()
    });
    let mut bytes = [0; 4];
    connection.client.write_all(b"ping").await.unwrap();
    let read = timeout(TIMEOUT, connection.target.read_exact(&mut bytes)).await;
    assert_eq!(read.expect("a forwarded request").unwrap(), 4);
    connection.target.write_all(b"pong").await.unwrap();
    wait_until("the response to be discarded", || {
        proxy.traffic().dropped_backward == 4
    })
    .await;
    assert!(is_silent(&connection.client).await);
}

/// Guards against a close rule that takes effect only with the next byte, and against a closed
/// proxy that keeps connections open.
#[tokio::test]
async fn close_ends_idle_connections_on_both_sides() {
    let (listener, proxy) = start().await;
    let client = Client::pooled().unwrap();
    let mut connection = connect(&listener, proxy.address()).await;
    let link = json!({ "forward": "close", "new_connections": "pass" });
    let (status, _) = post(&client, proxy.control(), "/test/link", &link)
        .await
        .unwrap();
    assert_eq!(status, 200);
    let ends = async {
        assert_eq!(connection.client.read(&mut [0; 4]).await.unwrap(), 0);
        assert_eq!(connection.target.read(&mut [0; 4]).await.unwrap(), 0);
    };
    timeout(TIMEOUT, ends).await.expect("both ends");
    let mut new = connect(&listener, proxy.address()).await;
    let traffic = get(&client, proxy.control(), "/test/traffic").await;
    assert_eq!(traffic["accepted"], 2);
    proxy.close();
    let end = timeout(TIMEOUT, new.client.read(&mut [0; 4])).await;
    assert_eq!(end.expect("an end").unwrap(), 0);
}

/// Guards against new connections that work although they are set to be closed.
#[tokio::test]
async fn new_connections_can_be_closed_while_old_ones_work() {
    let (listener, proxy) = start().await;
    let mut old = connect(&listener, proxy.address()).await;
    proxy.set_link(Link {
        new_connections: NewConnections::Close,
        ..Link::default()
    });
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    let end = timeout(TIMEOUT, new.read(&mut [0; 4])).await;
    assert!(matches!(end.expect("an end"), Ok(0) | Err(_)));
    exchange_messages(&mut old).await;
}

/// Guards against a delay that is not applied, or that is applied to each chunk one after another.
#[tokio::test]
async fn delay_applies_to_each_direction() {
    let (listener, proxy) = start().await;
    let mut connection = connect(&listener, proxy.address()).await;
    proxy.set_link(Link {
        delay_ms: 100,
        ..Link::default()
    });
    let started = Instant::now();
    timeout(TIMEOUT, exchange_messages(&mut connection))
        .await
        .unwrap();
    assert!(started.elapsed() >= Duration::from_millis(200));
}
