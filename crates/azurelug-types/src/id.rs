//! Names chosen by operators, and numbers assigned by the system.

use crate::{key, name};

name! {
    /// An availability zone.
    ZoneName;
    /// A client account.
    AccountName;
    /// A target: one replica of a model engine, or one replica of a plain service.
    TargetName;
    /// A pipeline that callers name in the request path.
    PipelineName;
    /// A plain service that callers name in the request path.
    ServiceName;
    /// An operation of a plain service.
    OperationName;
    /// A model that engines load.
    ModelName;
    /// A daemon of the system itself.
    DaemonName;
    /// The id of one caller's request, chosen by the entry daemon.
    RequestId;
}

key! {
    /// A configuration version number. Version 0 is the empty configuration.
    #[derive(Default)]
    pub struct Version(pub u64);

    /// A target's index in the arena of one configuration version.
    pub struct TargetKey(pub u32);

    /// A zone's index in the arena of one configuration version.
    pub struct ZoneKey(pub u16);

    /// A client account's index in the arena of one configuration version.
    pub struct AccountKey(pub u32);

    /// A stage's position in its pipeline, from 0.
    pub struct StageIndex(pub u8);

    /// The number of an attempt to run one stage of one request, from 0.
    pub struct Attempt(pub u16);
}

impl Version {
    /// The version that the next accepted patch creates.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
