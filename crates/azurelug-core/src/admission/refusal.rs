//! A refusal with the time after which a retry makes sense.

use std::time::Duration;

use azurelug_types::key;
use azurelug_types::outcome::Reason;

/// Shortest and longest retry time. A caller that comes back sooner only costs a refusal; one that
/// is told to stay away longer misses the end of the overload.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(30));

key! {
    /// Why a request does not run, and when to try again.
    pub struct Refused {
        /// The reason.
        pub reason: Reason,
        /// Time after which the queue has drained far enough.
        pub retry_after: Duration,
    }
}

impl Refused {
    pub(super) fn new(reason: Reason, after: Duration) -> Self {
        Self {
            reason,
            retry_after: after.clamp(BOUNDS.0, BOUNDS.1),
        }
    }
}
