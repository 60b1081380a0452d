//! Tests of the client's HTTP/1.1 connections.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_http::h1::client::{Connection, Error};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const LIMIT: Duration = Duration::from_secs(30);

/// Starts a server that answers one request with `answer`, `count` times, and returns the number of
/// bytes that it could send.
async fn serve(answer: &'static [u8], count: usize) -> (Connection, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).await.unwrap();
        let block = answer.repeat(1024);
        let mut sent = 0;
        for _ in 0..count.div_ceil(1024) {
            if stream.write_all(&block).await.is_err() {
                break;
            }
            sent += block.len();
        }
        sent
    });
    let connection = Connection::open(address, LIMIT, LIMIT).await.unwrap();
    (connection, server)
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/")
        .header("host", "a")
        .body(Full::default())
        .unwrap()
}

/// Guards against an endless series of interim answers that keeps the thread busy until the
/// request's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_series_of_interim_answers_ends_the_connection() {
    let interim = b"HTTP/1.1 102 Processing\r\n\r\n";
    let count = 4 * 1024 * 1024;
    let (mut connection, server) = serve(interim, count).await;
    let failed = connection.send(request()).await;
    assert!(matches!(failed, Err(Error::Lost { .. })), "{failed:?}");
    drop(connection);
    let (sent, all) = (server.await.unwrap(), interim.len() * count);
    assert!(sent < all / 2, "the client read {sent} of {all} bytes");
}

/// Guards against a long body that counts as a part of the head.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_longer_than_the_limit_of_the_head_is_read_completely() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = vec![b'x'; 4 * 1024 * 1024];
    let sent = body.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1024];
        for _ in 0..2 {
            let _ = stream.read(&mut head).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", sent.len());
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&sent).await.unwrap();
        }
        // Keeps the connection open.
        std::future::pending::<()>().await;
    });
    let mut connection = Connection::open(address, LIMIT, LIMIT).await.unwrap();
    for _ in 0..2 {
        let response = connection.send(request()).await.unwrap();
        // The body arrives while nobody reads it.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let read = response.into_body().collect().await.unwrap().to_bytes();
        assert!(read == body, "{} bytes", read.len());
        assert!(connection.wait_ready().await);
    }
}
