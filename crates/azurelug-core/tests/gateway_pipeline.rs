//! Simulates load on the dispatchers of a pipeline with three stages.
#![allow(clippy::unwrap_used)]

#[path = "support/staged.rs"]
mod staged;

use std::time::Duration;

use staged::large_deployment;

/// Guards against calls that start together, of which the first takes all pieces and the others are
/// almost empty: at half of the capacity with full calls, no request may be late.
#[test]
fn a_moderate_load_is_in_time() {
    let mut simulation = large_deployment(|_| 171.0, |_| 212.0, 1);
    simulation.run(Duration::from_secs(14));
    for outcome in &simulation.outcomes {
        let part = outcome.fraction_in_time();
        assert!(part >= 0.99, "{part} in time: {outcome:?}");
    }
}

/// Guards against a burst that wastes capacity: for 6.5 of 14 s, the load of the last stage is 1.13
/// times its capacity with full calls. Nine tenths of the possible requests must be in time, and
/// requests of higher value have priority.
#[test]
fn in_a_burst_nine_tenths_of_the_possible_requests_are_in_time() {
    let brief = |at: f64| {
        if (4.0..10.5).contains(&at) {
            410.0
        } else {
            212.0
        }
    };
    let mut simulation = large_deployment(|_| 171.0, brief, 1);
    simulation.run(Duration::from_secs(14));
    let brief = simulation.outcomes[1];
    let capacity = 362.0 / 410.0;
    let asked_in_burst = 6.5 * 410.0 / f64::from(brief.submitted);
    let possible = 1.0 - asked_in_burst * (1.0 - capacity);
    let in_time = brief.fraction_in_time();
    assert!(
        in_time >= 0.9 * possible,
        "{in_time} in time, at most {possible} is possible"
    );
    assert!(brief.value_fraction() >= in_time, "{brief:?}");
    assert_eq!(
        brief.wasted, 0,
        "stages ran for refused requests: {brief:?}"
    );
}
