//! Execution counts of the service double, also for calls without a response.

#[path = "support/common.rs"]
mod common;

use std::time::Duration;

use azurelug_http::client::Call;
use azurelug_http::{Client, Error};
use azurelug_testkit::Service;
use azurelug_testkit::service::{Answer, Faults, Settings, digest};
use common::{TIMEOUT, get, local_address, post, wait_until};
use http::{HeaderName, HeaderValue};
use serde_json::json;

fn booking(service: &Service, key: &str, timeout: Duration) -> Call {
    let body = json!({ "cart": 7 });
    let mut call = Call::post_json(service.address(), "/book", &body, timeout);
    let key = HeaderValue::from_str(key).expect("keys are plain text");
    call.headers
        .push((HeaderName::from_static("idempotency-key"), key));
    call
}

/// Guards against a service that deduplicates, which would hide that azurelug repeated a call.
#[tokio::test]
async fn a_repeated_call_is_executed_again() {
    let client = Client::unpooled().unwrap();
    let service = Service::start(local_address(), Settings::default())
        .await
        .unwrap();
    for sequence in 1..=2 {
        let call = booking(&service, "k", TIMEOUT);
        let (status, body) = client.send_whole(call, 4096).await.unwrap();
        let answer: Answer = serde_json::from_slice(&body).unwrap();
        assert_eq!((status, answer.sequence), (200, sequence));
        assert_eq!(answer.operation, "book");
        assert_eq!(answer.echo_digest, digest(br#"{"cart":7}"#));
    }
    let counts = get(&client, service.address(), "/test/executions").await;
    assert_eq!(counts["keys"], json!({ "k": 2 }));
    assert_eq!(counts["operations"], json!({ "book": 2 }));
}

/// Guards against counts that omit executions whose response is lost, because an unsafe retry
/// repeats exactly these.
#[tokio::test]
async fn a_call_with_a_lost_response_is_counted_as_executed() {
    let client = Client::pooled().unwrap();
    let service = Service::start(local_address(), Settings::default())
        .await
        .unwrap();
    let faults = json!({ "lose_next": 1 });
    let (status, _) = post(&client, service.address(), "/test/faults", &faults)
        .await
        .unwrap();
    assert_eq!(status, 200);
    let lost = client
        .send_whole(booking(&service, "k", TIMEOUT), 4096)
        .await;
    assert!(matches!(lost, Err(Error::NoAnswer { .. })), "{lost:?}");
    assert_eq!(service.executions().keys["k"], 1);
    let second = client
        .send_whole(booking(&service, "k", TIMEOUT), 4096)
        .await;
    assert_eq!(second.unwrap().0, 200, "only one response is lost");
    assert_eq!(service.executions().keys["k"], 2);
}

/// Guards against counting a call whose body was never read.
#[tokio::test]
async fn a_call_closed_before_reading_is_not_executed() {
    let client = Client::unpooled().unwrap();
    let service = Service::start(local_address(), Settings::default())
        .await
        .unwrap();
    service.set_faults(Faults {
        close_next: 1,
        ..Faults::default()
    });
    let closed = client
        .send_whole(booking(&service, "k", TIMEOUT), 4096)
        .await;
    assert!(matches!(closed, Err(Error::NoAnswer { .. })), "{closed:?}");
    assert!(service.executions().keys.is_empty());
}

/// Guards against a hanging service that closes the connection or does not count the execution.
#[tokio::test]
async fn a_hanging_call_is_executed_and_stays_open() {
    let client = Client::unpooled().unwrap();
    let service = Service::start(local_address(), Settings::default())
        .await
        .unwrap();
    service.set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    let call = client.send_whole(booking(&service, "k", TIMEOUT), 4096);
    tokio::pin!(call);
    let executed = wait_until("the call to be executed", || {
        !service.executions().keys.is_empty()
    });
    tokio::select! {
        answer = &mut call => panic!("a hanging call got a response: {answer:?}"),
        () = executed => {}
    }
    let more = tokio::time::timeout(Duration::from_millis(50), &mut call).await;
    assert!(more.is_err(), "a hanging call ended: {more:?}");
}

/// Guards against a closed double that still holds connections, unlike a crashed process.
#[tokio::test]
async fn closing_the_service_ends_open_calls() {
    let client = Client::unpooled().unwrap();
    let service = Service::start(local_address(), Settings::default())
        .await
        .unwrap();
    service.set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    let address = service.address();
    let call = client.send_whole(booking(&service, "k", TIMEOUT), 4096);
    tokio::pin!(call);
    let executed = wait_until("the call to be executed", || {
        !service.executions().keys.is_empty()
    });
    tokio::select! {
        answer = &mut call => panic!("a hanging call got a response: {answer:?}"),
        () = executed => {}
    }
    service.close();
    let ended = tokio::time::timeout(Duration::from_secs(5), call).await;
    assert!(
        matches!(ended, Ok(Err(Error::NoAnswer { .. }))),
        "{ended:?}"
    );
    let refused = async {
        loop {
            let call = Call::get(address, "/test/executions", TIMEOUT);
            if let Err(Error::NotSent { .. }) = client.send_whole(call, 4096).await {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let refused = tokio::time::timeout(Duration::from_secs(5), refused).await;
    assert!(refused.is_ok(), "the listener is still open");
}
