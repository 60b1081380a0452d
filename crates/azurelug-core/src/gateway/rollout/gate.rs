//! Decides which version of a service one gateway sends a request to.

use std::time::Duration;

use azurelug_types::rollout::{Policy, Report, Step};

use super::evidence::{Counts, Key, Observation};
use super::ledger::{Exposure, Ledger};
use crate::gateway::rendezvous;

/// Part of the used share that the first step uses. A version that fails at once gets a quarter of
/// the exposure until its first answers have been seen.
const PROBE_FRACTION: f64 = 0.25;

/// Part of the requests that go to the old version in the step after the canary. They show whether
/// trouble affects both versions, and what a version that fails only under load costs.
const CONTROL_SHARE: f64 = 0.5;

/// Number of groups of targets whose outcomes are counted separately, so that the worst group can be
/// left out. More of them would make the reports longer.
const TARGET_GROUPS: u64 = 8;

/// A version's role in a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// In force.
    Old,
    /// Named by the roll-out in progress.
    New,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The preferred version.
    pub first: Side,
    /// The other one, if it may get the request when no target of the first has room.
    pub overflow: Option<Side>,
    /// Whether the other one gets the request only if the first has no target at all.
    pub only_without_target: bool,
}

impl Choice {
    fn only(side: Side) -> Self {
        Self {
            first: side,
            overflow: None,
            only_without_target: false,
        }
    }
}

/// The roll-out that a gateway follows.
#[derive(Clone, Debug)]
struct Progress {
    number: u64,
    ledger: Ledger,
    /// Counts the requests to the control group.
    control: Ledger,
    counts: Counts,
}

/// The versions of one service as one gateway knows them.
#[derive(Clone, Debug)]
pub struct Gate {
    policy: Policy,
    progress: Option<Progress>,
}

impl Gate {
    /// Creates a gate that follows a policy. `seed` is a random number of the gateway's process.
    #[must_use]
    pub fn new(policy: Policy, exposure: Exposure, seed: u64) -> Self {
        let mut gate = Self {
            policy,
            progress: None,
        };
        gate.begin(exposure, seed);
        gate
    }

    /// Follows a newer policy. Counts of a roll-out that goes on are kept.
    pub fn follow(&mut self, policy: Policy, exposure: Exposure, seed: u64) {
        self.policy = policy;
        self.begin(exposure, seed);
    }

    fn begin(&mut self, exposure: Exposure, seed: u64) {
        let running = self.policy.running.as_ref().map(|it| it.number);
        let known = self.progress.as_ref().map(|it| it.number);
        if running == known {
            return;
        }
        let service = &self.policy.service;
        self.progress = running.map(|number| Progress {
            number,
            ledger: Ledger::new(exposure, rendezvous::uniform(&(seed, number), service)),
            control: Ledger::of_share(
                CONTROL_SHARE,
                rendezvous::uniform(&(seed, number, "control"), service),
            ),
            counts: Counts::default(),
        });
    }

    /// The policy that the gateway follows.
    #[must_use]
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Whether a roll-out is in progress.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.policy.running.is_some()
    }

    /// The role of a version; none if it may get nothing.
    #[must_use]
    pub fn side(&self, version: &str) -> Option<Side> {
        if let Some(running) = &self.policy.running
            && running.target == version
        {
            return Some(Side::New);
        }
        let is_in = |versions: &[String]| versions.iter().any(|it| it == version);
        let is_allowed = self.policy.allowed.is_empty() || is_in(&self.policy.allowed);
        (is_allowed && !is_in(&self.policy.rejected)).then_some(Side::Old)
    }

    /// Whether a version that is not allowed may replace allowed ones that have no target: a plain
    /// release that nobody ordered. A version that was replaced or rolled back may not.
    #[must_use]
    pub fn may_substitute(&self, version: &str) -> bool {
        !self.is_running() && !self.policy.rejected.iter().any(|it| it == version)
    }

    /// Returns where the next request goes; none without a roll-out. `is_fresh` tells whether the
    /// policy is known to be recent; an older one sends nothing to the new version.
    #[must_use]
    pub fn choice(&self, is_fresh: bool) -> Option<Choice> {
        let (running, progress) = (self.policy.running.as_ref()?, self.progress.as_ref()?);
        if !is_fresh {
            return Some(Choice::only(Side::Old));
        }
        let both = |first, overflow| Choice {
            first,
            overflow: Some(overflow),
            only_without_target: false,
        };
        Some(match running.step {
            Step::Probe if progress.ledger.may_send(PROBE_FRACTION) => both(Side::New, Side::Old),
            Step::Canary if progress.ledger.may_send(1.0) => both(Side::New, Side::Old),
            Step::Half if progress.control.may_send(1.0) => both(Side::Old, Side::New),
            Step::Half => both(Side::New, Side::Old),
            Step::Full => Choice {
                only_without_target: true,
                ..both(Side::New, Side::Old)
            },
            _ => Choice::only(Side::Old),
        })
    }

    /// Number of calls that may be sent to each version now: old, new.
    #[must_use]
    pub fn room(&self, is_fresh: bool) -> Option<(u64, u64)> {
        let (running, progress) = (self.policy.running.as_ref()?, self.progress.as_ref()?);
        Some(match running.step {
            _ if !is_fresh => (u64::MAX, 0),
            Step::Probe => (u64::MAX, progress.ledger.room(PROBE_FRACTION)),
            Step::Canary => (u64::MAX, progress.ledger.room(1.0)),
            Step::Half => (progress.control.room(1.0), u64::MAX),
            Step::Full => (0, u64::MAX),
            Step::Completed | Step::RolledBack => (u64::MAX, 0),
        })
    }

    /// Counts a request that reaches the service. Repeats of it do not count.
    pub fn record_request(&mut self) {
        let is_half = self.step() == Some(Step::Half);
        if let Some(progress) = &mut self.progress {
            progress.ledger.record_request();
            if is_half {
                progress.control.record_request();
            }
        }
    }

    fn step(&self) -> Option<Step> {
        self.policy.running.as_ref().map(|it| it.step)
    }

    /// Counts a send of any kind to a version.
    pub fn record_send(&mut self, version: &str) {
        let side = self.side(version);
        let is_half = self.step() == Some(Step::Half);
        match (&mut self.progress, side) {
            (Some(progress), Some(Side::New)) => progress.ledger.record_send(),
            (Some(progress), Some(Side::Old)) if is_half => progress.control.record_send(),
            _ => {}
        }
    }

    /// Takes back a send that was not made.
    pub fn cancel_send(&mut self, version: &str) {
        let side = self.side(version);
        let is_half = self.step() == Some(Step::Half);
        match (&mut self.progress, side) {
            (Some(progress), Some(Side::New)) => progress.ledger.cancel_send(),
            (Some(progress), Some(Side::Old)) if is_half => progress.control.cancel_send(),
            _ => {}
        }
    }

    /// Counts an outcome at a target.
    pub fn record(&mut self, version: &str, target: &str, subject: u64, observation: Observation) {
        let (Some(side), Some(step)) = (self.side(version), self.step()) else {
            return;
        };
        let is_new = side == Side::New;
        let key = Key {
            step,
            is_new,
            subject,
            group: (rendezvous::weight("target", target) % TARGET_GROUPS) as u8,
        };
        if let Some(progress) = &mut self.progress {
            progress.counts.record(key, observation);
        }
    }

    /// The gateway's report on the roll-out in progress. One that has no recent policy sends to the old
    /// version, so that it does not count as one that follows the last step.
    #[must_use]
    pub fn report(&self, pending_old: u64, is_fresh: bool) -> Option<Report> {
        let (running, progress) = (self.policy.running.as_ref()?, self.progress.as_ref()?);
        Some(Report {
            service: self.policy.service.clone(),
            number: running.number,
            step: if is_fresh {
                running.step
            } else {
                running.step.min(Step::Half)
            },
            pending_old,
            new_sends: progress.ledger.sends(),
            requests: progress.ledger.requests(),
            rows: progress.counts.rows(),
        })
    }
}

/// How long a policy may be followed after it was last known to be the newest, as a fraction of the
/// time in which a bad version must be rolled back. The rest is for the report of its failures, the
/// decision and the commit.
pub const FRESHNESS_FRACTION: f64 = 0.4;

/// Returns how long a policy may be followed without newer information.
#[must_use]
pub fn freshness(rollback: Duration) -> Duration {
    rollback.mul_f64(FRESHNESS_FRACTION)
}
