//! Patches: numbered, explicit changes of the configuration.

use crate::config::{Account, Entry, Model, Pipeline, Service, State, Target, Zone};
use crate::data;
use crate::id::{
    AccountName, DaemonName, ModelName, PipelineName, ServiceName, TargetName, Version, ZoneName,
};

data! {
    /// A set of changes that is accepted or rejected as a whole.
    #[serde(deny_unknown_fields)]
    pub struct Patch {
        /// Chosen by the sender. A resent patch has the same id and gets the original answer.
        pub patch_id: String,
        /// The configuration version that the changes are based on.
        pub base_version: Version,
        /// The sender, recorded in the history.
        pub author: String,
        /// The changes, applied in order.
        pub changes: Vec<Change>,
    }

    /// One change of the configuration.
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum Change {
        /// Creates or replaces a zone.
        SetZone {
            /// The zone's name.
            name: ZoneName,
            /// Its new definition.
            zone: Zone,
        },
        /// Drains a zone or returns it to service.
        SetZoneState {
            /// The zone's name.
            name: ZoneName,
            /// Its new state.
            state: State,
        },
        /// Registers an entry daemon.
        SetEntry {
            /// The daemon's name.
            name: DaemonName,
            /// Its definition.
            entry: Entry,
        },
        /// Removes an entry daemon.
        RemoveEntry {
            /// The daemon's name.
            name: DaemonName,
        },
        /// Creates or replaces a client account.
        SetAccount {
            /// The account's name.
            name: AccountName,
            /// Its new definition.
            account: Account,
        },
        /// Removes a client account.
        RemoveAccount {
            /// The account's name.
            name: AccountName,
        },
        /// Creates or replaces a model.
        SetModel {
            /// The model's name.
            name: ModelName,
            /// Its new definition.
            model: Model,
        },
        /// Creates or replaces a target.
        SetTarget {
            /// The target's name.
            name: TargetName,
            /// Its new definition.
            target: Target,
        },
        /// Drains a target or returns it to service.
        SetTargetState {
            /// The target's name.
            name: TargetName,
            /// Its new state.
            state: State,
        },
        /// Removes a target.
        RemoveTarget {
            /// The target's name.
            name: TargetName,
        },
        /// Creates or replaces a pipeline.
        SetPipeline {
            /// The pipeline's name.
            name: PipelineName,
            /// Its new definition.
            pipeline: Pipeline,
        },
        /// Removes a pipeline.
        RemovePipeline {
            /// The pipeline's name.
            name: PipelineName,
        },
        /// Creates or replaces a plain service.
        SetService {
            /// The service's name.
            name: ServiceName,
            /// Its new definition.
            service: Service,
        },
        /// Removes a plain service.
        RemoveService {
            /// The service's name.
            name: ServiceName,
        },
    }

    /// The answer to a patch. A resent patch id gets the same answer again.
    #[serde(rename_all = "snake_case")]
    pub enum Answer {
        /// The patch created this version.
        Accepted {
            /// The created version.
            version: Version,
        },
        /// Another patch based on the same version was accepted first.
        Conflict {
            /// The version in force when the patch was decided.
            current: Version,
        },
        /// The changes can't be applied to the base version.
        Invalid {
            /// Which part of the patch is wrong, for instance `changes[2].target.zone`.
            field: String,
            /// How to correct it.
            help: String,
        },
    }
}
