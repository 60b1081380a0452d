//! Tests the batching dispatcher while all of its targets are at capacity for a moment.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::dispatch::{
    Action, CallEnd, CallKey, DispatchTarget, Dispatcher, Token,
};
use azurelug_types::deployment::Batch;
use azurelug_types::fleet::{ItemOutcome, Pieces, PiecesError, Source};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

const MS: Duration = Duration::from_millis(1);

/// When the target refuses a call.
const PAUSED_AT: Duration = Duration::from_millis(102);

/// Just after the end of its pause of 60 ms.
const PAUSE_END: Duration = Duration::from_millis(163);

/// A dispatcher of one target, whose calls take 20 ms and 1 ms a piece.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Batch {
        slots: 1,
        queue: 2,
        max_pieces: 8,
        call_time: Duration::from_millis(20),
        piece_time: Duration::from_millis(1),
        result_capacity: 0,
        result_lifetime: Duration::from_secs(4),
    });
    let target = DispatchTarget {
        name: TargetName::from("encode-a"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::from("a"),
    };
    dispatcher.list(&[target], Duration::ZERO);
    dispatcher
}

/// An order of a first stage, due in 700 ms.
fn order(request: u64) -> Pieces {
    Pieces {
        service: ServiceName::from("encode"),
        scope: None,
        home: ZoneName::from("a"),
        crossing_bytes: 0,
        request: format!("r{request}"),
        stage: 0,
        kind: 7,
        pieces: (0..2).collect(),
        source: Source::Key("k".to_owned()),
        result_bytes: 0,
        rank: 0,
        worth: 0.5,
        due_ms: 700,
        deadline_ms: 2000,
        account: 0,
        digest: 0,
    }
}

/// The calls among some actions, with their number of pieces.
fn calls(actions: &[Action]) -> Vec<(CallKey, usize)> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Call { call, items, .. } => Some((*call, items.len())),
        _ => None,
    });
    calls.collect()
}

/// A dispatcher that has run four orders, and then one whose call the target has refused at
/// [`PAUSED_AT`] without a time.
fn paused() -> Dispatcher {
    let mut dispatcher = dispatcher();
    for number in 0..4 {
        let at = 25 * MS * u32::try_from(number).unwrap();
        let started = calls(&dispatcher.submit(Token(100 + number), order(100 + number), at));
        let ends = (0..2).map(|it| ItemOutcome::Done(format!("h{number}-{it}")));
        let ended = CallEnd::Items(ends.collect());
        dispatcher.complete_call(started[0].0, ended, at + 22 * MS);
    }
    let started = calls(&dispatcher.submit(Token(1), order(1), PAUSED_AT - MS));
    let refused = CallEnd::NotRun {
        closed: Duration::ZERO,
    };
    let actions = dispatcher.complete_call(started[0].0, refused, PAUSED_AT);
    assert_eq!(actions, [], "the order waits for the end of the pause");
    dispatcher
}

/// Guards against orders that are refused as if their service were overloaded, although its only
/// target is free again long before they are due.
#[test]
fn orders_wait_for_the_end_of_a_short_pause_of_the_only_target() {
    let mut dispatcher = paused();
    for (number, after) in [(2, 1), (3, 30), (4, 59)] {
        let at = PAUSED_AT + after * MS;
        let actions = dispatcher.submit(Token(number), order(number), at);
        assert_eq!(actions, [], "order {number} {after} ms later");
    }
    let started = calls(&dispatcher.advance(PAUSE_END));
    let pieces: Vec<usize> = started.iter().map(|(_, pieces)| *pieces).collect();
    assert_eq!(pieces, [8], "all orders run in one call");
}

/// Guards against a queue beyond the targets' capacity that forms during a short pause.
#[test]
fn orders_beyond_the_capacity_are_refused_during_a_short_pause() {
    let mut dispatcher = paused();
    let mut refused = 0;
    for number in 2..402 {
        let actions = dispatcher.submit(Token(number), order(number), PAUSED_AT + MS);
        let is_late = |action: &&Action| match action {
            Action::End { result, .. } => matches!(result, Err(PiecesError::Late { .. })),
            _ => false,
        };
        refused += actions.iter().filter(is_late).count();
    }
    // In 0.7 s the target runs 25 full calls of four orders each.
    assert!(refused > 300, "only {refused} of 400 were refused");
}
