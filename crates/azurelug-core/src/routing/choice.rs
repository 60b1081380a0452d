//! Routing queries, and decisions with their reasons as printed in logs and state dumps.

use std::time::Duration;

use azurelug_types::data;
use azurelug_types::id::{TargetKey, TargetName, Version, ZoneKey, ZoneName};
use azurelug_types::key;
use azurelug_types::outcome::Reason;

use super::table::{Requirement, Table};
use crate::lease_mode::Mode;
use crate::slow_start::Phase;

/// A stage or service call that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The model or service that the target must offer.
    pub need: Requirement<'a>,
    /// Whether a repeated call has the same effect as one call.
    pub idempotent: bool,
    /// Hashes of the prompt's blocks, each covering the prompt up to its end; may be empty.
    pub prefix: &'a [u64],
    /// Targets that earlier attempts have used; only the first four are considered.
    pub exclude: &'a [TargetKey],
    /// Whether the call would probably miss its deadline at a target in cold start. Such targets
    /// are then skipped unless there are no others.
    pub avoid_cold: bool,
}

key! {
    /// Why the chosen target's zone was used.
    #[serde(rename_all = "snake_case")]
    pub enum ZoneReason {
        /// The daemon's own zone has a target below the spill-over threshold.
        OwnZone,
        /// The best score in the own zone is over the threshold and another zone's is better.
        SpillBusy,
        /// The own zone has no available target.
        SpillEmpty,
    }
}

data! {
    /// A target that was considered, with the figures used in the comparison.
    #[derive(Copy)]
    pub struct Candidate {
        /// The target.
        pub target: TargetKey,
        /// Calls in flight divided by the current limit, plus the cold start penalty, minus the
        /// prefix bonus; lower is better.
        pub score: f32,
        /// This daemon's calls in flight.
        pub own: u32,
        /// Calls of other daemons according to the last report; `None` if it is too old.
        pub others: Option<u32>,
        /// The current limit of the whole target.
        pub limit: u32,
        /// Blocks of the prefix that the target is known to cache.
        pub prefix_blocks: u32,
    }

    /// The chosen target and the comparison that led to it.
    #[derive(Copy)]
    pub struct Choice {
        /// The chosen target.
        pub target: TargetKey,
        /// Its zone.
        pub zone: ZoneKey,
        /// The configuration version that was used.
        pub version: Version,
        /// The lease mode that was in force.
        pub mode: Mode,
        /// Why this zone was chosen.
        pub step: ZoneReason,
        /// The best score of the own zone, if it had an available target.
        pub own_zone_score: Option<f32>,
        /// The candidates of the chosen zone, the chosen one first.
        pub compared: [Option<Candidate>; 3],
    }

    /// A reason why a target receives no new calls.
    #[serde(rename_all = "snake_case", tag = "reason")]
    pub enum UnavailableReason {
        /// It is not in the configuration.
        Unknown,
        /// It is draining.
        TargetDraining,
        /// Its zone is draining.
        ZoneDraining,
        /// Its zone is drained on this daemon only.
        ZoneDrainedLocally,
        /// The platform lists its VM as leaving.
        Leaving,
        /// Outlier detection has ejected it.
        Ejected {
            /// End of the ejection, in milliseconds since process start.
            until_ms: u64,
        },
        /// This daemon's slots are all in use.
        NoSlots {
            /// This daemon's calls in flight.
            own: u32,
            /// This daemon's slots: the smaller of its granted share and its part in slow start.
            slots: u32,
        },
        /// All daemons together reach the current limit, according to the last report.
        Full {
            /// This daemon's calls in flight.
            own: u32,
            /// Calls of other daemons.
            others: u32,
            /// The current limit.
            limit: u32,
        },
        /// The configuration lease has expired and the target is in another zone.
        OtherZoneWithoutLease,
        /// The lease mode allows no calls.
        NoLease,
    }

    /// The state of one target in a state dump.
    pub struct TargetState {
        /// Its name.
        pub name: TargetName,
        /// Its zone.
        pub zone: ZoneName,
        /// This daemon's calls in flight.
        pub own: u32,
        /// Calls of other daemons according to the last report.
        pub others: Option<u32>,
        /// The current limit.
        pub limit: u32,
        /// Phase of the slow start.
        pub phase: Phase,
        /// Slots granted under a lease, if any.
        pub granted: Option<u32>,
        /// Whether its cache events are complete.
        pub cache_complete: bool,
        /// Median first-token time in microseconds.
        pub median_us: Option<u32>,
        /// Why it receives no new calls; empty if it does receive them.
        pub unused: Vec<UnavailableReason>,
    }
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoTarget {
    /// The lease mode allows no calls.
    #[error("the configuration lease has expired and the policy is to refuse; renew the lease")]
    NoLease,
    /// The call is not idempotent and there is no valid lease.
    #[error("a call that must not repeat needs a configuration lease; retry after it is renewed")]
    NoQuorum,
    /// No target in service offers the model or service.
    #[error("no target in service has what the call needs; check the configuration")]
    NotConfigured,
    /// All targets are full, ejected, leaving or drained on this daemon.
    #[error("all {members} targets for the call are in use; retry after {retry_after:?}")]
    AllBusy {
        /// Targets in service in the zones that may be used.
        members: u32,
        /// Time until a target may become available at the earliest.
        retry_after: Duration,
    },
}

impl NoTarget {
    /// The reason reported to the caller.
    #[must_use]
    pub fn reason(&self) -> Reason {
        match self {
            Self::NoLease | Self::NoQuorum => Reason::NoQuorum,
            Self::NotConfigured => Reason::NoTarget,
            Self::AllBusy { .. } => Reason::Overloaded,
        }
    }
}

impl Choice {
    /// Formats the choice as one line for a log or a state dump.
    #[must_use]
    pub fn describe(&self, table: &Table) -> String {
        use std::fmt::Write;
        let name = |key: TargetKey| table.target(key).map_or("removed", |it| it.name.as_str());
        let why = match self.step {
            ZoneReason::OwnZone => "own zone",
            ZoneReason::SpillBusy => "own zone over its threshold",
            ZoneReason::SpillEmpty => "own zone has no available target",
        };
        let mut line = format!(
            "{} in {} (version {}, {why}",
            name(self.target),
            table.zones()[self.zone.0 as usize].name,
            self.version
        );
        if let Some(score) = self.own_zone_score {
            let _ = write!(line, ", own zone {score:.2}");
        }
        line.push_str("):");
        for candidate in self.compared.iter().flatten() {
            let others = candidate
                .others
                .map_or_else(|| "unknown".to_owned(), |calls| calls.to_string());
            let _ = write!(
                line,
                " {} {:.2} (own {}, others {others}, limit {}, prefix blocks {});",
                name(candidate.target),
                candidate.score,
                candidate.own,
                candidate.limit,
                candidate.prefix_blocks
            );
        }
        line.pop();
        line
    }
}
