//! What the router decided and why, in a form that logs and state dumps print.

use std::time::Duration;

use azurelug_types::data;
use azurelug_types::id::{TargetKey, TargetName, Version, ZoneKey, ZoneName};
use azurelug_types::key;
use azurelug_types::outcome::Reason;

use super::table::{Need, Table};
use crate::lease_mode::Mode;
use crate::slow_start::Phase;

/// A stage or service call that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// What the target must have.
    pub need: Need<'a>,
    /// Whether a repeated call has the same effect as one call.
    pub idempotent: bool,
    /// Hashes of the prompt's blocks, each covering the prompt up to its end; may be empty.
    pub prefix: &'a [u64],
    /// Targets that earlier attempts have used; at most the first four count.
    pub exclude: &'a [TargetKey],
    /// Whether the call would probably not end in time at a target in cold start. Such targets are
    /// then left out, unless there are no others.
    pub avoid_cold: bool,
}

key! {
    /// Why the chosen target's zone was used.
    #[serde(rename_all = "snake_case")]
    pub enum Step {
        /// The own zone has a target below the spill-over threshold.
        OwnZone,
        /// The own zone's best score is over the threshold and another zone's is better.
        SpillBusy,
        /// The own zone has no available target.
        SpillEmpty,
    }
}

data! {
    /// A target that was compared, with the figures that were compared.
    #[derive(Copy)]
    pub struct Candidate {
        /// The target.
        pub target: TargetKey,
        /// Calls in flight over the limit in force, less the prefix bonus; lower is better.
        pub score: f32,
        /// Own calls in flight.
        pub own: u32,
        /// Calls of other daemons by the last report; none if it is too old.
        pub others: Option<u32>,
        /// The limit in force for the whole target.
        pub limit: u32,
        /// Blocks of the prefix that the target is known to hold.
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
        /// Why this zone.
        pub step: Step,
        /// The best score of the own zone, if it had an available target.
        pub own_zone_score: Option<f32>,
        /// The candidates compared in the chosen zone, the chosen one first.
        pub compared: [Option<Candidate>; 3],
    }

    /// One reason why a target gets no new work.
    #[serde(rename_all = "snake_case", tag = "reason")]
    pub enum Unused {
        /// It is not in the configuration.
        Unknown,
        /// It is draining.
        TargetDraining,
        /// Its zone is draining.
        ZoneDraining,
        /// Its zone is drained on this daemon only.
        ZoneDrainedLocally,
        /// The platform's list says that it is leaving.
        Leaving,
        /// Outlier detection has ejected it.
        Ejected {
            /// End of the ejection since process start, in milliseconds.
            until_ms: u64,
        },
        /// This daemon has used up its slots.
        NoSlots {
            /// Own calls in flight.
            own: u32,
            /// Own slots: the granted share or the part in slow start, whichever is less.
            slots: u32,
        },
        /// All daemons together use up the limit in force, by the last report.
        Full {
            /// Own calls in flight.
            own: u32,
            /// Calls of other daemons.
            others: u32,
            /// The limit in force.
            limit: u32,
        },
        /// The configuration lease has expired and the target is in another zone.
        OtherZoneWithoutLease,
        /// The lease mode allows no work.
        NoLease,
    }

    /// The state of one target in a dump.
    pub struct TargetState {
        /// Its name.
        pub name: TargetName,
        /// Its zone.
        pub zone: ZoneName,
        /// Own calls in flight.
        pub own: u32,
        /// Calls of other daemons by the last report.
        pub others: Option<u32>,
        /// The limit in force.
        pub limit: u32,
        /// Slow start.
        pub phase: Phase,
        /// Slots granted under a lease, if any.
        pub granted: Option<u32>,
        /// Whether its cache events are complete.
        pub cache_complete: bool,
        /// Median first-token time in microseconds.
        pub median_us: Option<u32>,
        /// Why it gets no new work; empty if it does.
        pub unused: Vec<Unused>,
    }
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoTarget {
    /// The lease mode allows no work.
    #[error("the configuration lease has expired and the policy is to refuse; renew the lease")]
    NoLease,
    /// The call must not repeat and there is no lease.
    #[error("a call that must not repeat needs a configuration lease; retry after it is renewed")]
    NoQuorum,
    /// No target in service has what the call needs.
    #[error("no target in service has what the call needs; check the configuration")]
    NotConfigured,
    /// All targets are full, ejected, leaving or drained on this daemon.
    #[error("all {members} targets for the call are in use; retry after {retry_after:?}")]
    AllBusy {
        /// Targets in service in the zones that may be used.
        members: u32,
        /// When a target can be expected back at the earliest.
        retry_after: Duration,
    },
}

impl NoTarget {
    /// The reason that the caller gets.
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
    /// One line for a log or a state dump.
    #[must_use]
    pub fn describe(&self, table: &Table) -> String {
        use std::fmt::Write;
        let name = |key: TargetKey| table.target(key).map_or("removed", |it| it.name.as_str());
        let why = match self.step {
            Step::OwnZone => "own zone",
            Step::SpillBusy => "own zone over its threshold",
            Step::SpillEmpty => "own zone has no available target",
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
