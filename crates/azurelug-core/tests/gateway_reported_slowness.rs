//! Tests the dispatcher with targets that report how long work takes on their VMs at this moment.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::dispatch::{
    Action, CallEnd, CallKey, DispatchTarget, Dispatcher, Token,
};
use azurelug_types::deployment::Batch;
use azurelug_types::fleet::{ItemOutcome, Pieces, Source};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

const MS: Duration = Duration::from_millis(1);
const CALL: Duration = Duration::from_millis(200);

struct Caller {
    dispatcher: Dispatcher,
    orders: u64,
}

impl Caller {
    fn new(targets: usize) -> Self {
        let batch = Batch {
            slots: 1,
            queue: 2,
            max_pieces: 8,
            call_time: CALL,
            piece_time: Duration::ZERO,
            result_capacity: 0,
            result_lifetime: Duration::from_secs(4),
        };
        let target = |number: usize| DispatchTarget {
            name: TargetName(format!("t{number}")),
            address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
            zone: ZoneName::from("a"),
        };
        let mut dispatcher = Dispatcher::new(batch);
        let targets: Vec<DispatchTarget> = (0..targets).map(target).collect();
        dispatcher.list(&targets, Duration::ZERO);
        Self {
            dispatcher,
            orders: 0,
        }
    }

    fn report(&mut self, target: &str, percent: u16, now: Duration) {
        let target = TargetName(target.to_owned());
        self.dispatcher
            .record_reported_slowness(&target, percent, now);
    }

    /// Runs one piece; returns the call, its target and its expected duration.
    fn submit(&mut self, now: Duration) -> (CallKey, String, Duration) {
        self.orders += 1;
        let order = Pieces {
            service: ServiceName::from("rank"),
            scope: None,
            home: ZoneName::from("a"),
            crossing_bytes: 0,
            request: format!("r{}", self.orders),
            stage: 0,
            kind: 7,
            pieces: vec![0],
            source: Source::Key("k".to_owned()),
            result_bytes: 0,
            rank: 0,
            worth: 0.5,
            due_ms: 3000,
            deadline_ms: 3500,
            account: 0,
            digest: 0,
        };
        let actions = self.dispatcher.submit(Token(self.orders), order, now);
        let call = actions.into_iter().find_map(|action| match action {
            Action::Call {
                call,
                target,
                expected,
                ..
            } => Some((call, target.name.0, expected)),
            _ => None,
        });
        call.unwrap()
    }

    fn complete(&mut self, call: CallKey, now: Duration) {
        let done = vec![ItemOutcome::Done(format!("10.0.0.1:80/{now:?}"))];
        let end = CallEnd::Items(done);
        self.dispatcher.complete_call(call, end, now);
    }
}

/// Guards against calls to a target that has just reported that it is slow while another is free,
/// and against one that is avoided long after the slow period.
#[test]
fn a_target_that_reports_a_slow_moment_is_used_after_others() {
    let mut caller = Caller::new(2);
    let now = 1000 * MS;
    caller.report("t0", 250, now);
    let (_, target, expected) = caller.submit(now);
    assert_eq!((target.as_str(), expected), ("t1", CALL));
    let mut caller = Caller::new(1);
    caller.report("t0", 250, now);
    assert_eq!(caller.submit(now).2, CALL * 5 / 2);
    let mut caller = Caller::new(1);
    caller.report("t0", 250, now);
    // Half a second is two half-lives.
    let (.., expected) = caller.submit(now + 500 * MS);
    assert_eq!(expected.as_millis(), 275);
}

/// Guards against a figure that counts twice: a call that takes the reported time must leave the
/// learned speed of its target as it was, whatever the target reports at its end.
#[test]
fn a_call_as_slow_as_reported_does_not_change_the_learned_speed() {
    let mut caller = Caller::new(1);
    let mut now = 1000 * MS;
    for _ in 0..6 {
        caller.report("t0", 250, now);
        let (call, ..) = caller.submit(now);
        now += CALL * 5 / 2;
        caller.report("t0", 100, now);
        caller.complete(call, now);
        now += 5000 * MS;
    }
    let (.., expected) = caller.submit(now);
    assert_eq!(expected, CALL);
}
