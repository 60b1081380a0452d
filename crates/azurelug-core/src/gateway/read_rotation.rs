//! Decides which control daemon reads the platform's list of targets, so that one daemon reads it
//! on behalf of all.
//!
//! Load pattern: every read costs one API call for each page. With five daemons and six pages, one
//! read by each daemon every second is most of what the platform charges. All daemons compute the
//! same ranking. The first one reads at a fixed interval and sends the list to the others. A daemon
//! of a higher rank reads only if its newest list is older than the daemons before it should allow:
//! they are down, partitioned from it, or can't reach the platform.

use std::time::Duration;

/// Interval between reads by the first daemon. Together with the time to send the list to the other
/// daemons and a gateway's poll interval, a leaving target stops receiving new work after about a
/// second.
pub const READ_INTERVAL: Duration = Duration::from_millis(700);

/// Upper bound of the extra delay of the last rank. Operators expect a leaving target to receive
/// nothing after three seconds, even if the daemons can't reach each other.
const MAX_RANK_DELAY: Duration = Duration::from_millis(900);

/// Upper bound of the delay between two ranks. Sending a list to the other daemons takes less.
const MAX_RANK_STEP: Duration = Duration::from_millis(300);

/// Returns the time until a daemon has to read the list itself, given the `age` of its newest list.
/// `rank` is its position among `count` daemons.
#[must_use]
pub fn wait(rank: usize, count: usize, age: Option<Duration>) -> Duration {
    let Some(age) = age else {
        return Duration::ZERO;
    };
    let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    let step = (MAX_RANK_DELAY / count).min(MAX_RANK_STEP);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(count);
    (READ_INTERVAL + step * rank).saturating_sub(age)
}
