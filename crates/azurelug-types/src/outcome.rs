//! Outcome of a request as reported to the caller: whether it was run, why it was refused and when
//! to retry.

use crate::{data, key};

key! {
    /// Whether a request was run.
    #[serde(rename_all = "snake_case")]
    pub enum Execution {
        /// No part of any call for the request was sent to a target, and none will be.
        NotRun,
        /// The request was run to completion.
        Done,
        /// It may have been run, and the system cannot tell.
        Unknown,
    }

    /// Why a request was refused or failed.
    #[serde(rename_all = "snake_case")]
    pub enum Reason {
        /// The request is malformed.
        BadRequest,
        /// The account key is missing or unknown.
        Unauthorized,
        /// No pipeline has this name.
        UnknownPipeline,
        /// No service or operation has this name.
        UnknownService,
        /// The body is longer than the limit.
        TooLarge,
        /// The deadline is zero, malformed or has already passed.
        DeadlinePassed,
        /// The estimated completion time is after the deadline.
        DeadlineUnreachable,
        /// The queues are full.
        Overloaded,
        /// The account has reached its maximum number of calls in flight.
        AccountLimit,
        /// No target with the required model is in service.
        NoTarget,
        /// A call that must run at most once needs a quorum, and no quorum is available.
        NoQuorum,
        /// The daemon has no configuration yet.
        NoConfiguration,
        /// Another call with this idempotency key is still running.
        InProgress,
        /// The idempotency key is older than the retained records.
        KeyExpired,
        /// The idempotency key was already used with a different body.
        KeyConflict,
        /// The call was sent and its result is not known.
        UnknownOutcome,
        /// A stage failed on every target that was tried.
        StageFailed,
        /// The daemon is shutting down.
        ShuttingDown,
        /// The body did not arrive in time.
        BodyLate,
    }
}

data! {
    /// The response body of a refused request.
    pub struct Refusal {
        /// The request's id, which the logs of all processes contain.
        pub request_id: String,
        /// Whether the request was run.
        pub execution: Execution,
        /// Why it was refused.
        pub reason: Reason,
        /// Delay before a retry, in milliseconds; none if a retry can't succeed.
        pub retry_after_ms: Option<u64>,
        /// What the caller can do.
        pub help: String,
    }
}

impl Reason {
    /// All reasons, for documentation tests.
    pub const ALL: [Self; 19] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::UnknownPipeline,
        Self::UnknownService,
        Self::TooLarge,
        Self::DeadlinePassed,
        Self::DeadlineUnreachable,
        Self::Overloaded,
        Self::AccountLimit,
        Self::NoTarget,
        Self::NoQuorum,
        Self::NoConfiguration,
        Self::InProgress,
        Self::KeyExpired,
        Self::KeyConflict,
        Self::UnknownOutcome,
        Self::StageFailed,
        Self::ShuttingDown,
        Self::BodyLate,
    ];

    /// The HTTP status code of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::DeadlinePassed => 400,
            Self::Unauthorized => 401,
            Self::UnknownPipeline | Self::UnknownService => 404,
            Self::BodyLate => 408,
            Self::InProgress | Self::KeyExpired => 409,
            Self::TooLarge => 413,
            Self::KeyConflict => 422,
            Self::AccountLimit => 429,
            Self::StageFailed => 502,
            Self::DeadlineUnreachable
            | Self::Overloaded
            | Self::NoTarget
            | Self::NoQuorum
            | Self::NoConfiguration
            | Self::ShuttingDown => 503,
            Self::UnknownOutcome => 504,
        }
    }

    /// What the caller can do about it.
    pub fn help(self) -> &'static str {
        match self {
            Self::BadRequest => "send a JSON body as described in docs/http.md",
            Self::Unauthorized => "send the account's key as a bearer token",
            Self::UnknownPipeline => "check the pipeline's name with `azurelug config`",
            Self::UnknownService => "check the service and operation with `azurelug config`",
            Self::TooLarge => "send a body of at most 1 MiB",
            Self::DeadlinePassed => "send Azurelug-Deadline-Ms from 1 to 12000",
            Self::DeadlineUnreachable => "retry after the stated time or with a longer deadline",
            Self::Overloaded => "retry after the stated time",
            Self::AccountLimit => "wait until a running call of this account has ended",
            Self::NoTarget => "retry after the stated time; operators see why in the state dump",
            Self::NoQuorum => {
                "send the same key again after the stated time; not_run speaks of this request only"
            }
            Self::NoConfiguration => "retry after the stated time on another connection",
            Self::InProgress => "ask again with the same key after the stated time",
            Self::KeyExpired => "use a new UUIDv7 key after checking the earlier call's effect",
            Self::KeyConflict => "use a new UUIDv7 key for a different body",
            Self::UnknownOutcome => "check the effect at the service before sending a new key",
            Self::StageFailed => "retry after the stated time",
            Self::BodyLate => "send the body without pauses",
            Self::ShuttingDown => "retry at once on a new connection",
        }
    }
}
