//! Tests that errors distinguish calls that were provably not sent from calls that may have run.

use std::time::Duration;

use azurelug_http::client::Call;
use azurelug_http::{Client, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against reporting a refused connection as an unknown outcome, which would prevent safe
/// retries.
#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    for client in [Client::pooled().unwrap(), Client::unpooled().unwrap()] {
        let answer = client.send(Call::get(address, "/", TIMEOUT)).await;
        assert!(matches!(answer, Err(Error::NotSent { .. })), "{answer:?}");
    }
}

/// Guards against reporting a call as not sent although the peer has read it, which would allow a
/// second execution.
#[tokio::test]
async fn a_connection_closed_after_the_request_is_an_unknown_outcome() {
    for client in [Client::pooled().unwrap(), Client::unpooled().unwrap()] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
        };
        let call = Call::post_json(address, "/", &"x", TIMEOUT);
        let (answer, ()) = tokio::join!(client.send(call), peer);
        assert!(matches!(answer, Err(Error::NoAnswer { .. })), "{answer:?}");
    }
}

/// Guards against reporting a peer that is slow or hangs as a broken connection. In both cases the
/// call may have run.
#[tokio::test]
async fn a_peer_that_does_not_answer_in_time_has_timed_out() {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab".as_slice();
    for sent in [b"".as_slice(), head] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = Client::pooled().unwrap();
        let call = Call::post_json(address, "/", &"x", Duration::from_millis(300));
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.write_all(sent).await.unwrap();
            stream
        };
        let (answer, _open) = tokio::join!(client.send_whole(call, 1024), peer);
        let error = answer.unwrap_err();
        assert!(matches!(error, Error::TimedOut { .. }), "{error:?}");
        assert!(!error.is_not_sent());
    }
}
