//! Callers that disconnect, against a real entry daemon.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use azurelug_system::System;
use azurelug_system::system::{ACCOUNT_KEY, PIPELINE};
use azurelug_testkit::engine::Faults;

/// Guards against slots, queue entries and calls that are held for callers that have disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnected_callers_free_their_slots_and_queue_entries() {
    let system = System::start().await;
    let set_hang = |hang| {
        for engine in system.zones.iter().flat_map(|zone| zone.engines.values()) {
            engine.set_faults(Faults {
                hang,
                ..Faults::default()
            });
        }
    };
    set_hang(true);
    // More than the six slots of cold encode engines, so that some calls are queued.
    let connections: Vec<TcpStream> = (0..12).map(|_| send_call(&system)).collect();
    system.wait_state(0, |state| state["in_flight"] == 12).await;
    drop(connections);
    let dropped = std::time::Instant::now();
    system
        .wait_state(0, |state| {
            let targets = state["targets"].as_array().cloned().unwrap_or_default();
            state["in_flight"] == 0 && targets.iter().all(|target| target["own"] == 0)
        })
        .await;
    // If the daemon did not notice the disconnects, the calls would end at their deadline of 12 s.
    assert!(dropped.elapsed() < Duration::from_secs(6));
    set_hang(false);
    let calls = system.call_settings(&[0], 10, Duration::from_millis(50));
    let report = azurelug_testkit::caller::run(calls).await.unwrap();
    assert_eq!(report.correct(), 10, "{:?}", report.refused());
}

/// Sends a call and does not wait for its answer.
fn send_call(system: &System) -> TcpStream {
    let body = r#"{"input":"season summary","max_tokens":16}"#;
    let head = format!(
        "POST /v1/pipelines/{PIPELINE} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer \
         {ACCOUNT_KEY}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream =
        TcpStream::connect(system.callers_address(0)).expect("connect to the entry daemon");
    stream.write_all(head.as_bytes()).expect("send the head");
    stream.write_all(body.as_bytes()).expect("send the body");
    stream
}
