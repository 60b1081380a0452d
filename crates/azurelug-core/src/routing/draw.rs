//! Draws members of a pool at random.

use azurelug_types::id::TargetKey;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::MAX_EXCLUDED;

/// Members drawn from a pool at most: two to compare, and one for each excluded target.
const MAX_DRAWN: usize = MAX_EXCLUDED + 2;

/// Draws up to `count` different members at random.
pub(super) fn draw(
    available: &[TargetKey],
    random: &mut Pcg32,
    count: usize,
) -> [Option<TargetKey>; MAX_DRAWN] {
    let mut drawn = [None; MAX_DRAWN];
    let total = available.len();
    let count = count.min(total).min(MAX_DRAWN);
    // Floyd's sampling: each step adds a member that was not drawn before.
    for step in 0..count {
        let bound = total - count + step;
        let pick = available[random.random_range(0..=bound)];
        let fresh = if drawn[..step].contains(&Some(pick)) {
            available[bound]
        } else {
            pick
        };
        drawn[step] = Some(fresh);
        // The sample is in no random order yet, and the first of equal candidates wins.
        drawn.swap(step, random.random_range(0..=step));
    }
    drawn
}
