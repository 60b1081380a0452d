//! Bounds of the replicated log that only hold together are compared at start.

use std::time::Duration;

use azurelug_coordination::raft::{Node, NodeOptions, RecoveredState, Settings, StartError};
use rand::SeedableRng;

/// Creates the only member of a cluster; returns the message of the refusal.
fn refusal(settings: Settings) -> Option<String> {
    let options = NodeOptions {
        settings,
        recovered: RecoveredState::initialize(7, 1, &[1], 2),
        random: rand_pcg::Pcg64::seed_from_u64(1),
    };
    let started = Node::new(options, Duration::ZERO);
    started.err().map(|error: StartError| error.to_string())
}

/// Guards against a start with bounds that leave no way back from a full log, a refused chunk or an
/// expired lease, and against a message that doesn't name both bounds.
#[test]
fn bounds_that_do_not_hold_together_are_refused_by_name() {
    assert_eq!(refusal(Settings::default()), None);
    type Change = fn(&mut Settings);
    let cases: [(Change, &str, &str); 8] = [
        (
            |it| it.kept_bytes = it.max_log_bytes,
            "max_log_bytes",
            "kept_bytes",
        ),
        (
            |it| it.max_log_bytes = it.snapshot_bytes,
            "max_log_bytes",
            "snapshot_bytes",
        ),
        (
            |it| it.max_log_entries = 512,
            "max_log_entries",
            "max_uncommitted",
        ),
        (|it| it.max_members = 2, "max_members", "max_voters"),
        (|it| it.chunk_bytes = 1 << 20, "chunk", "chunk_bytes"),
        (
            |it| it.heartbeat = it.election_timeout,
            "election_timeout",
            "heartbeat",
        ),
        (
            |it| it.replace_after = Duration::from_millis(100),
            "replace_after",
            "election_timeout",
        ),
        (
            |it| it.remove_after = Duration::from_secs(1),
            "remove_after",
            "replace_after",
        ),
    ];
    for (change, first, second) in cases {
        let mut settings = Settings::default();
        change(&mut settings);
        let message = refusal(settings).expect("the bounds don't hold together");
        assert!(message.contains(first), "{first}: {message}");
        assert!(message.contains(second), "{second}: {message}");
        assert!(message.contains("raise"), "no remedy: {message}");
    }
}

/// Guards against a count of zero, with which nothing is ever sent, and a message without its name.
#[test]
fn a_bound_of_zero_is_refused_by_name() {
    let settings = Settings {
        max_in_flight: 0,
        ..Settings::default()
    };
    let message = refusal(settings).expect("nothing can be sent");
    assert!(message.contains("max_in_flight"), "{message}");
}
