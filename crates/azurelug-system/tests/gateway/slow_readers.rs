//! Tests of the memory that a gateway holds for clients that don't read, while targets send much.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::deployment::{Behaviour, Deployment};
use crate::faulty_targets::VM_MEMORY;

/// Time in which answers arrive at the gateway and wait for their clients.
const WAIT: Duration = Duration::from_secs(3);

/// Sends a request whose answer is not read until the connection is dropped.
async fn send_unread(deployment: &Deployment, id: &str, path: &str, body: &[u8]) -> TcpStream {
    let mut stream = deployment.connect().await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: carts.example\r\nauthorization: Bearer key-1\r\n\
         x-request-attempt-id: {id}\r\nx-deadline-milliseconds: 4000\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    // The gateway may refuse the request before it has read the body.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body).await;
    stream
}

/// Opens `clients` connections that don't read their answers; other requests are served meanwhile.
/// Returns the gateway's peak memory.
async fn peak_with(deployment: &Deployment, clients: usize, path: &str) -> u64 {
    let mut unread = Vec::new();
    for number in 0..clients {
        let id = format!("unread-{number}");
        unread.push(send_unread(deployment, &id, path, b"a body").await);
        sleep(Duration::from_millis(30)).await;
    }
    sleep(WAIT).await;
    let peak = deployment.peak_memory();
    println!(
        "peak with {clients} clients that don't read {path}: {} MiB",
        peak >> 20
    );
    drop(unread);
    peak
}

/// Guards against events that are queued by number, whatever their size, until the process ends for
/// lack of memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_events_for_clients_that_do_not_read_take_bounded_memory() {
    let deployment = Deployment::start().await;
    deployment.set_behaviour("llm-a", Behaviour::LargeEvents);
    deployment.set_behaviour("llm-b", Behaviour::LargeEvents);
    let other = async {
        sleep(Duration::from_millis(2500)).await;
        deployment.request("other", "/book/x", &[]).await
    };
    let (peak, other) = tokio::join!(peak_with(&deployment, 90, "/talk/x"), other);
    assert_eq!(other.status, 200, "{}", deployment.log());
    assert!(peak < VM_MEMORY, "{peak} bytes");
}

/// Guards against whole answers that no longer count once they wait for their client.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_for_clients_that_do_not_read_take_bounded_memory() {
    let deployment = Deployment::start().await;
    deployment.set_behaviour("desk-a", Behaviour::LargeBody);
    deployment.set_behaviour("desk-b", Behaviour::LargeBody);
    let other = async {
        sleep(Duration::from_millis(2500)).await;
        deployment.request("other", "/talk/x", &[]).await
    };
    let (peak, other) = tokio::join!(peak_with(&deployment, 60, "/book/x"), other);
    assert_eq!(other.status, 200, "{}", deployment.log());
    assert!(peak < VM_MEMORY, "{peak} bytes");
    // A client that reads is served although others hold the memory.
    let read = deployment.request("read", "/book/x", &[]).await;
    assert_eq!(read.status, 200, "{}", deployment.log());
}

/// Guards against request bodies that take the memory while their requests wait or run.
#[tokio::test(flavor = "multi_thread")]
async fn large_request_bodies_take_bounded_memory() {
    let deployment = Deployment::start().await;
    deployment.set_behaviour("raw-a", Behaviour::EndlessInterim);
    let body = vec![b'x'; 4_000_000];
    let send = |number: usize| {
        let (deployment, body) = (&deployment, &body);
        async move {
            let id = format!("large-{number}");
            send_unread(deployment, &id, "/raw/x", body).await
        }
    };
    let unread = futures_util::future::join_all((0..60).map(send)).await;
    sleep(WAIT).await;
    let peak = deployment.peak_memory();
    println!("peak with 60 large request bodies: {} MiB", peak >> 20);
    drop(unread);
    assert!(peak < VM_MEMORY, "{peak} bytes");
    let other = deployment.request("other", "/book/x", &[]).await;
    assert_eq!(other.status, 200, "{}", deployment.log());
}
