//! Bounds of different parts that only hold together are compared at start.

use azurelug_control::bounds::{self, Conflict};
use azurelug_control::clients::DEFAULT_MEMORY;
use azurelug_coordination::once::Limits;
use azurelug_coordination::raft::Settings;

/// Guards against defaults that a control VM can't hold.
#[test]
fn the_defaults_hold_together() {
    let checked = bounds::check(&Settings::default(), &Limits::default(), DEFAULT_MEMORY);
    assert_eq!(checked, Ok(()));
}

/// Guards against a process that runs out of memory, a table of records that no snapshot holds, and
/// a message that no frame holds, long after a start that was accepted.
#[test]
fn bounds_that_do_not_hold_together_are_refused_by_name() {
    type Change = fn(&mut Settings, &mut Limits, &mut usize);
    let cases: [(Change, &str, &str); 7] = [
        (
            |_, _, memory| *memory = 128_000_000,
            "memory_mb",
            "max_snapshot_bytes",
        ),
        (
            |log, _, _| log.max_log_bytes = DEFAULT_MEMORY / 2,
            "memory_mb",
            "max_log_bytes",
        ),
        (
            |log, _, _| log.max_snapshot_bytes = 64 << 20,
            "max_snapshot_bytes",
            "at-most-once records",
        ),
        (
            |_, records, _| records.bytes = 128 << 20,
            "max_snapshot_bytes",
            "at-most-once records",
        ),
        (
            |log, _, _| log.max_command_bytes = 1024,
            "max_command_bytes",
            "the largest command",
        ),
        (
            |log, _, _| log.max_command_bytes = 1 << 20,
            "frame",
            "max_command_bytes",
        ),
        (
            |log, _, _| log.max_batch_bytes = 2 << 20,
            "frame",
            "max_batch_bytes",
        ),
    ];
    for (change, first, second) in cases {
        let (mut log, mut records) = (Settings::default(), Limits::default());
        let mut memory = DEFAULT_MEMORY;
        change(&mut log, &mut records, &mut memory);
        let checked = bounds::check(&log, &records, memory);
        let message = checked.err().as_ref().map(Conflict::to_string);
        let message = message.unwrap_or_else(|| panic!("{first} and {second} were accepted"));
        assert!(message.contains(first), "{first}: {message}");
        assert!(message.contains(second), "{second}: {message}");
        assert!(message.contains("raise"), "no remedy: {message}");
    }
}
