//! Tests of the end of a server's listener: connections that the kernel has established when the
//! listener closes.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use azurelug_http::h1::server::{Limits, ShutdownState, serve};
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Fewer than the queue of a listener holds.
const CONNECTIONS: usize = 100;

/// Number of servers that are closed while clients connect.
const ROUNDS: usize = 12;

/// Clients that connect at the same time.
const CLIENTS: usize = 8;

async fn start_server() -> (SocketAddr, watch::Sender<ShutdownState>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stage, stages) = watch::channel(ShutdownState::Serving);
    let handler = |_| async { Response::new(Full::new(Bytes::from_static(b"answer"))) };
    let server = tokio::spawn(serve(listener, Limits::default, stages, handler));
    (address, stage, server)
}

/// Sends a request on a connection that was established.
fn exchange(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
    let mut start = [0; 12];
    stream.read_exact(&mut start)?;
    assert_eq!(&start, b"HTTP/1.1 200");
    Ok(())
}

/// Guards against connections that are reset because the runtime has not noticed them yet when the
/// listener closes.
#[tokio::test]
async fn connections_that_wait_when_the_listener_closes_are_served() {
    let (address, stage, server) = start_server().await;
    // The server's task has found no connection and waits for the next one.
    sleep(Duration::from_millis(20)).await;
    // Blocks the only thread of the runtime, which therefore sees the connections and the shutdown
    // at the same time.
    let connect = |_| TcpStream::connect(address).unwrap();
    let mut streams: Vec<_> = (0..CONNECTIONS).map(connect).collect();
    stage.send_replace(ShutdownState::Closing);
    let clients = thread::spawn(move || {
        let served = streams
            .iter_mut()
            .filter_map(|stream| exchange(stream).ok());
        served.count()
    });
    server.await.unwrap();
    assert_eq!(clients.join().unwrap(), CONNECTIONS);
}

/// Guards against connections that are reset because they are established between the last accept
/// and the close of the listener.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_are_established_while_the_listener_closes_are_served() {
    let (served, cut) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for _ in 0..ROUNDS {
        let (address, stage, server) = start_server().await;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (served, cut) = (Arc::clone(&served), Arc::clone(&cut));
                thread::spawn(move || {
                    while let Ok(mut stream) = TcpStream::connect(address) {
                        let counter = if exchange(&mut stream).is_ok() {
                            &served
                        } else {
                            &cut
                        };
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        sleep(Duration::from_millis(20)).await;
        stage.send_replace(ShutdownState::Closing);
        server.await.unwrap();
        for client in clients {
            client.join().unwrap();
        }
    }
    assert!(served.load(Ordering::Relaxed) > ROUNDS);
    assert_eq!(cut.load(Ordering::Relaxed), 0, "connections were reset");
}
