//! Tests of admission control: abandoned requests, waiting requests and deadlines.

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::admission::Refused;
use azurelug_entry::admission::{AdmissionController, Capacity, Permit, Request};
use azurelug_entry::estimates::{Classes, Estimates};
use azurelug_types::config::{Account, Config, ModelRef, Stage, StageKind};
use azurelug_types::id::{AccountName, ModelName, PipelineName, Version};
use azurelug_types::outcome::Reason;
use tokio::time::{Instant, timeout};

const SECOND: Duration = Duration::from_secs(1);

struct Fixture {
    controller: Arc<AdmissionController>,
    estimates: Arc<Estimates>,
    config: Config,
    classes: Classes,
}

/// Creates a fixture with one account, one rerank stage and a capacity of `capacity` requests.
fn fixture(capacity: u32) -> Fixture {
    let estimates = Arc::new(Estimates::default());
    let controller = Arc::new(AdmissionController::new(Arc::clone(&estimates)));
    controller.set_capacity(Capacity {
        total: capacity,
        long: capacity,
    });
    let account = Account {
        key_digest: String::new(),
        weight: 1,
        max_in_flight: 64,
    };
    let mut config = Config {
        version: Version(1),
        ..Config::default()
    };
    config.accounts.insert(AccountName::from("carts"), account);
    let model = ModelRef {
        model: ModelName::from("rank"),
        adapter: None,
        version: "1".to_owned(),
    };
    let kind = StageKind::Rerank;
    let stages = [Stage { kind, model }];
    let classes = estimates.classes(&PipelineName::from("summary"), &stages, true);
    Fixture {
        controller,
        estimates,
        config,
        classes,
    }
}

impl Fixture {
    async fn admit(&self, deadline: Duration) -> Result<Permit, Refused> {
        let request = Request {
            account: &AccountName::from("carts"),
            config: &self.config,
            pipeline: &PipelineName::from("summary"),
            classes: &self.classes,
            is_short: true,
            max_tokens: 16,
            deadline: Instant::now() + deadline,
        };
        self.controller.admit(request).await
    }

    /// Records a latency of `latency` for the stage and updates the quantiles.
    fn measure(&self, latency: Duration, now: Duration) {
        for _ in 0..20 {
            self.estimates.record(self.classes.stage(0), latency);
        }
        self.estimates.tick(now);
    }
}

/// Guards against a queue place or a slot that stays occupied after its caller has disconnected.
#[tokio::test]
async fn a_caller_that_disconnects_gives_up_its_queue_place_or_slot() {
    let fixture = fixture(1);
    let running = fixture.admit(12 * SECOND).await.unwrap();
    let abandoned = timeout(Duration::from_millis(20), fixture.admit(12 * SECOND)).await;
    assert!(abandoned.is_err(), "the request has to wait");
    assert_eq!(fixture.controller.load(), (1, 0, 1));
    drop(running);
    assert_eq!(fixture.controller.load(), (0, 0, 1));
    let next = fixture.admit(12 * SECOND).await;
    assert!(next.is_ok(), "the slot is free again");
}

/// Guards against a waiting request that is not started when a running one ends.
#[tokio::test]
async fn a_waiting_request_starts_when_a_slot_becomes_free() {
    let fixture = fixture(1);
    let running = fixture.admit(12 * SECOND).await.unwrap();
    let waiting = fixture.admit(12 * SECOND);
    let finish_running = async {
        tokio::task::yield_now().await;
        assert_eq!(fixture.controller.load(), (1, 1, 1));
        drop(running);
    };
    let (started, ()) = tokio::join!(waiting, finish_running);
    assert!(started.is_ok());
    assert_eq!(fixture.controller.load(), (1, 0, 1));
}

/// Guards against a request that starts although its stages take longer than its deadline allows,
/// and against estimates that never expire: all requests are refused and nothing is measured again.
#[tokio::test]
async fn an_unreachable_deadline_is_refused_until_the_estimates_expire() {
    let fixture = fixture(4);
    assert!(
        fixture.admit(SECOND).await.is_ok(),
        "nothing is measured yet"
    );
    fixture.measure(3 * SECOND, SECOND);
    let refused = fixture.admit(SECOND).await.unwrap_err();
    assert_eq!(refused.reason, Reason::DeadlineUnreachable);
    assert!(!refused.retry_after.is_zero());
    for second in 2..40 {
        fixture.estimates.tick(second * SECOND);
    }
    assert!(
        fixture.admit(SECOND).await.is_ok(),
        "the estimate has expired"
    );
}

/// Guards against starting a request whose stages got their first measurements while it waited, if
/// they are too slow for the rest of its deadline.
#[tokio::test]
async fn a_request_whose_deadline_became_unreachable_while_it_waited_does_not_start() {
    let fixture = fixture(1);
    let running = fixture.admit(12 * SECOND).await.unwrap();
    let waiting = fixture.admit(2 * SECOND);
    let finish_running = async {
        tokio::task::yield_now().await;
        fixture.measure(3 * SECOND, SECOND);
        drop(running);
    };
    let (refused, ()) = tokio::join!(waiting, finish_running);
    let refused = refused.unwrap_err();
    assert_eq!(refused.reason, Reason::DeadlineUnreachable);
    assert_eq!(fixture.controller.load(), (0, 0, 1));
}

/// Guards against a timeout that cuts off attempts which are only slow, and against one that leaves
/// no time for a retry.
#[test]
fn an_attempt_gets_three_times_its_p95_and_leaves_time_for_a_retry() {
    let fixture = fixture(4);
    fixture.measure(100 * SECOND / 1000, SECOND);
    let limit = |remaining| {
        fixture
            .estimates
            .attempt_timeout(&fixture.classes, 0, remaining)
    };
    let millis = |count| Duration::from_millis(count);
    // The only stage gets the whole deadline; half of it is reserved for a retry.
    assert_eq!(limit(12 * SECOND), 6 * SECOND);
    // Three times the p95, which leaves one p90 for a retry.
    assert!((millis(290)..=millis(310)).contains(&limit(millis(450))));
    // There is only time for one attempt, which may use all of it.
    assert_eq!(limit(millis(150)), millis(150));
}
