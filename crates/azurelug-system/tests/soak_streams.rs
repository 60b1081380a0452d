//! The soak's checks of streams that clients resume.

use azurelug_system::soak::streams::{Event, Resumed, Streams, events};

/// The events of a text whose last event is cut off.
fn cut(versions: [&str; 3]) -> Vec<Event> {
    let whole = versions.iter().zip(1..);
    let whole = whole.map(|(version, id)| format!("id: {id}\ndata: {version}\n\n"));
    events(&(whole.collect::<String>() + "id: 4\ndata: v"))
}

/// Guards against streams of two versions, or with a missing event, that pass the check.
#[test]
fn a_stream_of_two_versions_or_without_an_event_is_found() {
    let streams = Streams::default();
    let whole = cut(["v1", "v1", "v1"]);
    assert_eq!(whole.len(), 3);
    assert!(streams.check("whole", &whole));
    assert!(!streams.check("joined", &cut(["v1", "v1", "v2"])));
    assert!(!streams.check("missing", &[whole[0].clone(), whole[2].clone()]));
    let violations = streams.violations();
    assert_eq!(violations.len(), 2, "{violations:?}");
    assert!(violations[0].contains("event 2 is of v1, event 3 of v2"));
}

/// Guards against refusals of all resumed streams that pass the check, and against refusals of
/// streams whose version has gone, or of few, that don't.
#[test]
fn refusals_of_most_resumed_streams_of_a_version_that_is_up_are_found() {
    let violations = |count: usize, is_covered: bool, gone_on: usize| {
        let streams = Streams::default();
        (0..20).for_each(|number| streams.record_new(number < 16));
        for number in 0..count {
            streams.record_resumed(Resumed {
                is_gone_on: number < gone_on,
                is_refused: number >= gone_on,
                is_covered,
            });
        }
        streams.violations().len()
    };
    assert_eq!(violations(20, true, 7), 1);
    assert_eq!(violations(20, true, 8), 0);
    assert_eq!(violations(20, false, 0), 0);
    assert_eq!(violations(11, true, 0), 0);
    assert_eq!(violations(12, true, 0), 1);
}
