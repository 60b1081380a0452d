//! Outcomes of calls: what was provably not sent, and what may have run.

use std::time::Duration;

use azurelug_http::client::Call;
use azurelug_http::{Client, Error};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against reporting a refused connection as an unknown outcome, which would keep calls
/// that are safe to repeat from being repeated.
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

/// Guards against reporting a call that the peer has read as not sent, which would allow a second
/// execution.
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
