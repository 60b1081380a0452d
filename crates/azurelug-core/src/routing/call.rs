//! Types that describe the start and the end of a call.

use std::time::Duration;

use azurelug_types::id::TargetKey;
use azurelug_types::key;

use crate::slab::Handle;

key! {
    /// Key of a call in flight. It becomes invalid with the call's first outcome.
    pub struct CallKey(pub(crate) Handle);

    /// How a call ended, as needed for the target's statistics.
    #[serde(rename_all = "snake_case")]
    pub enum Completion {
        /// The target answered in full.
        Success,
        /// The target failed or refused.
        Failure,
        /// The connection broke before the answer was complete. The target has probably restarted,
        /// so its cold limit applies at once, without waiting for a load report.
        Broken,
        /// The target did not answer within the call's time limit. This counts as a slow answer,
        /// not as an error, so that no target is ejected when the whole stage is slow.
        TimedOut,
        /// The call was cancelled for reasons unrelated to the target.
        Cancelled,
    }

    /// The outcome of a call.
    pub struct Outcome {
        /// How it ended.
        pub completion: Completion,
        /// Time from the start to the first token; `None` for calls without tokens.
        pub first_token: Option<Duration>,
    }

    /// Summary of a finished call.
    pub struct Finished {
        /// The target.
        pub target: TargetKey,
        /// Time from `begin` to `finish`.
        pub latency: Duration,
        /// Whether the call showed that the target is in cold start again.
        pub turned_cold: bool,
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) target: TargetKey,
    pub(super) started: Duration,
}
