//! Random sampling of pool members.

use azurelug_types::id::TargetKey;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::MAX_EXCLUDED;

/// Maximum sample size: two targets to compare, and one for each excluded target.
const MAX_DRAWN: usize = MAX_EXCLUDED + 2;

/// Samples up to `count` distinct members.
pub(super) fn draw(
    available: &[TargetKey],
    random: &mut Pcg32,
    count: usize,
) -> [Option<TargetKey>; MAX_DRAWN] {
    let mut drawn = [None; MAX_DRAWN];
    let total = available.len();
    let count = count.min(total).min(MAX_DRAWN);
    // Floyd's algorithm: each step adds a member that is not in the sample yet.
    for step in 0..count {
        let bound = total - count + step;
        let pick = available[random.random_range(0..=bound)];
        let fresh = if drawn[..step].contains(&Some(pick)) {
            available[bound]
        } else {
            pick
        };
        drawn[step] = Some(fresh);
        // Floyd's algorithm does not randomize the order, and the first of equal candidates is
        // chosen.
        drawn.swap(step, random.random_range(0..=step));
    }
    drawn
}
