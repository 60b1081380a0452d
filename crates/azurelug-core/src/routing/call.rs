//! What is said about a call when it starts and ends.

use std::time::Duration;

use azurelug_types::id::TargetKey;
use azurelug_types::key;

use crate::slab::Handle;

key! {
    /// A running call. Its first outcome uses the key up.
    pub struct CallKey(pub(crate) Handle);

    /// How a call ended, as far as its target is concerned.
    #[serde(rename_all = "snake_case")]
    pub enum Completion {
        /// The target answered in full.
        Success,
        /// The target failed or refused.
        Failure,
        /// The connection broke before the answer was complete. The target has probably restarted,
        /// so its cold limit applies at once, before any report says so.
        Broken,
        /// The target did not answer in the time it was given. This counts as a slow answer and
        /// not as an error, so that a stage that is slow as a whole ejects nobody.
        TimedOut,
        /// The call was given up for reasons that say nothing about the target.
        Cancelled,
    }

    /// The outcome of a call.
    pub struct Outcome {
        /// How it ended.
        pub completion: Completion,
        /// Time from start to the first token; none for calls without tokens.
        pub first_token: Option<Duration>,
    }

    /// What the router learned from the end of a call.
    pub struct Finished {
        /// The target.
        pub target: TargetKey,
        /// Time from `begin` to `finish`.
        pub latency: Duration,
        /// Whether the call revealed that the target has turned cold.
        pub turned_cold: bool,
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) target: TargetKey,
    pub(super) started: Duration,
}
