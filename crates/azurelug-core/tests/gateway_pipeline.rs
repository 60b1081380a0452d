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

/// Guards against a burst that costs more than the targets lack: for six and a half of fourteen
/// seconds, the last stage is asked for 1.13 of what its full calls can do. Nine tenths of what can
/// be done is to be in time, and what is worth more goes before what is worth less.
#[test]
fn a_burst_leaves_nine_tenths_of_the_capacity_in_time() {
    let brief = |at: f64| {
        if (4.0..10.5).contains(&at) {
            410.0
        } else {
            212.0
        }
    };
    let mut model = grown(|_| 171.0, brief, 1);
    model.run(Duration::from_secs(14));
    let brief = model.outcomes[1];
    let capacity = 362.0 / 410.0;
    let asked_in_burst = 6.5 * 410.0 / f64::from(brief.asked);
    let possible = 1.0 - asked_in_burst * (1.0 - capacity);
    let in_time = brief.part_in_time();
    assert!(
        in_time >= 0.9 * possible,
        "{in_time} in time, {possible} is possible"
    );
    assert!(brief.worth_part() >= in_time, "{brief:?}");
    assert_eq!(brief.wasted, 0, "stages ran in vain: {brief:?}");
}
