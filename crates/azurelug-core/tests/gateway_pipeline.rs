//! Replays bursts of requests with three stages against the dispatchers of their services.
#![allow(clippy::unwrap_used)]

#[path = "support/staged.rs"]
mod staged;

use std::time::Duration;

use staged::grown;

/// Guards against calls that start together, of which the first takes all pieces and the others
/// next to none: at half of what full calls can do, nothing needs to be late.
#[test]
fn a_calm_load_is_in_time() {
    let mut model = grown(|_| 171.0, |_| 212.0, 1);
    model.run(Duration::from_secs(14));
    for outcome in &model.outcomes {
        let part = outcome.part_in_time();
        assert!(part >= 0.99, "{part} in time: {outcome:?}");
    }
}
