//! Random sampling of pool members.

use azurelug_types::id::TargetKey;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::MAX_EXCLUDED;

/// Maximum sample size: two targets to compare, and one for each excluded target.
const MAX_SAMPLE_SIZE: usize = MAX_EXCLUDED + 2;

/// Samples up to `count` distinct members.
pub(super) fn sample_targets(
    available: &[TargetKey],
    random: &mut Pcg32,
    count: usize,
) -> [Option<TargetKey>; MAX_SAMPLE_SIZE] {
    let mut sampled = [None; MAX_SAMPLE_SIZE];
    let total = available.len();
    let count = count.min(total).min(MAX_SAMPLE_SIZE);
    // Floyd's algorithm: each step adds a member that is not in the sample yet.
    for step in 0..count {
        let bound = total - count + step;
        let pick = available[random.random_range(0..=bound)];
        let fresh = if sampled[..step].contains(&Some(pick)) {
            available[bound]
        } else {
            pick
        };
        sampled[step] = Some(fresh);
        // Floyd's algorithm does not randomize the order, and the first of equal candidates is
        // chosen.
        sampled.swap(step, random.random_range(0..=step));
    }
    sampled
}
