//! Tests of the clock. A stopped clock of the runtime stands for a suspension of the machine: the
//! steady clock stands still, while the kernel's clock since boot goes on.

use std::thread;
use std::time::Duration;

use azurelug_clock::{Clock, Watch};
use tokio::time::{Instant, advance, pause, resume};

const SUSPENSION: Duration = Duration::from_millis(300);

/// Suspends the test's thread as with its machine.
fn suspend() {
    pause();
    thread::sleep(SUSPENSION);
    resume();
}

/// Guards against leases and ages that outlive a suspension.
#[tokio::test]
async fn a_suspension_counts_as_elapsed_time() {
    let (clock, steady) = (Clock::start(), Instant::now());
    suspend();
    assert!(steady.elapsed() < SUSPENSION, "the steady clock went on");
    assert!(clock.elapsed() >= SUSPENSION, "{:?}", clock.elapsed());
    assert!(clock.suspended() <= clock.elapsed());
}

/// Guards against timers that wait for the time of a suspension once more.
#[tokio::test]
async fn a_timer_set_after_a_suspension_is_not_late_by_it() {
    let clock = Clock::start();
    suspend();
    let due = clock.elapsed() + Duration::from_millis(50);
    let wait = clock.instant(due).saturating_duration_since(Instant::now());
    assert!(wait <= Duration::from_millis(50), "{wait:?}");
    let past = clock.instant(Duration::ZERO);
    assert!(past <= Instant::now());
}

/// Guards against tests and daemons in which the runtime's clock leads.
#[tokio::test(start_paused = true)]
async fn an_advanced_clock_of_the_runtime_counts_without_a_suspension() {
    let clock = Clock::start();
    advance(Duration::from_secs(10)).await;
    assert!(clock.elapsed() >= Duration::from_secs(10));
    assert_eq!(clock.suspended(), Duration::ZERO);
}

/// Guards against suspensions that are reported twice or not at all.
#[tokio::test]
async fn a_suspension_is_reported_once() {
    let mut watch = Watch::start();
    assert_eq!(watch.take(), None);
    suspend();
    let reported = watch.take().expect("a suspension");
    assert!(reported >= SUSPENSION - Duration::from_millis(20));
    assert_eq!(watch.take(), None);
}
