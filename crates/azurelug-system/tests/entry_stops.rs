//! Planned stops of entry daemons, against real processes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_system::Booking;
use azurelug_system::system::{System, wait_until};
use azurelug_testkit::service::Faults;

/// A generous time limit for the exit of a daemon.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Guards against a request that is dropped without an answer because it takes longer than
/// `finish_wait`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_longer_than_finish_wait_is_answered() {
    let mut system = System::start().await;
    let file = system.folder().join("entry-a.yaml");
    let settings = std::fs::read_to_string(&file).unwrap();
    let settings = settings.replace("drain_wait: 1s", "drain_wait: 100ms");
    let settings = settings.replace("finish_wait: 13s", "finish_wait: 100ms");
    std::fs::write(&file, settings).unwrap();
    assert!(system.zones[0].entry.terminate(EXIT_TIMEOUT));
    system.zones[0].entry.start();
    system.wait_ready().await;
    system.set_stock_faults(&Faults {
        delay_ms: 4000,
        ..Faults::default()
    });
    let booking = Booking::new(Duration::from_secs(8));
    let (key, address) = (booking.key.clone(), system.callers_address(0));
    let sent = tokio::spawn(async move { booking.send(address).await });
    wait_until("the execution of the request", || async {
        system.executions_of_key(&key) > 0
    })
    .await;
    assert!(system.zones[0].entry.terminate(EXIT_TIMEOUT));
    let log = system.zones[0].entry.log();
    assert!(
        log.contains("entry: stopped with 1 requests in flight"),
        "{log}"
    );
    let answer = sent.await.unwrap();
    assert_eq!(answer.map(|it| it.status), Some(200), "{log}");
}
