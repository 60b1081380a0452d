//! Which control daemon reads the platform's list of targets, so that one reads it for all.
//!
//! Load pattern: every read costs a call for each page, and with five daemons and six pages a read
//! of each of them every second is most of what the platform charges. The daemons are ranked the same
//! way by all of them. The first reads at an interval and tells the others; one of a higher rank
//! reads only when the newest list that it knows is older than the daemons before it let it become:
//! they are down, cut off from it, or can't reach the platform.

use std::time::Duration;

/// Time between two reads of the first daemon. With the way to the others and a gateway's poll, a
/// target that is leaving gets no new work after a second or so.
pub const INTERVAL: Duration = Duration::from_millis(700);

/// What the last rank waits beyond the first: operators expect a target that is leaving to get
/// nothing after three seconds, also if no daemon reaches the others.
const MAX_DELAY: Duration = Duration::from_millis(900);

/// The longest step between two ranks: a list is on its way to the others for less than this.
const MAX_STEP: Duration = Duration::from_millis(300);

/// The time until a daemon is to read the list, if the newest one that it knows is `age` old. `rank`
/// is its place among `count` daemons.
#[must_use]
pub fn wait(rank: usize, count: usize, age: Option<Duration>) -> Duration {
    let Some(age) = age else {
        return Duration::ZERO;
    };
    let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    let step = (MAX_DELAY / count).min(MAX_STEP);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX).min(count);
    (INTERVAL + step * rank).saturating_sub(age)
}
