//! The refusal of a request, with its reason and the time until a retry.

use std::time::Duration;

use azurelug_types::key;
use azurelug_types::outcome::Reason;

/// Shortest and longest `retry_after`. A retry that comes sooner only costs another refusal; a
/// caller that is told to wait longer misses the end of the overload.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));

key! {
    /// Why a request was refused, and when to retry it.
    pub struct Refused {
        /// The reason of the refusal.
        pub reason: Reason,
        /// Estimated time until the queue has drained far enough for a retry.
        pub retry_after: Duration,
    }
}

impl Refused {
    pub(super) fn new(reason: Reason, after: Duration) -> Self {
        Self {
            reason,
            retry_after: after.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1),
        }
    }
}
