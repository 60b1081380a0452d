//! Replays the trace files in the repository.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use azurelug_core::trace::Trace;

/// Guarantees that a replay in this crate can test. P5 has a test of its own, and P8 needs running
/// processes.
const GUARANTEES: [&str; 7] = ["P1", "P2", "P3", "P4", "P6", "P7", "P9"];

/// Guards against a change that breaks an expected outcome, and against a guarantee without a
/// trace.
#[test]
fn every_trace_has_its_expected_outcome() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut shown = BTreeSet::new();
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let trace: Trace = serde_json::from_str(&text).unwrap();
        if let Err(mismatch) = trace.replay() {
            panic!("{}: {}: {mismatch}", path.display(), trace.failure);
        }
        shown.insert(trace.guarantee);
    }
    for guarantee in GUARANTEES {
        assert!(shown.contains(guarantee), "no trace for {guarantee}");
    }
}
