//! Decides on the next step of a roll-out, at the leader of the replicated log.
//!
//! Load pattern: durations from 12 s, services with 15 to 350 requests a second. A version that fails
//! is rolled back in every step. Without enough evidence a version goes on by time, because a service
//! with few requests gives little evidence within the exposure bound, and the later steps give more.

use std::collections::VecDeque;
use std::time::Duration;

use azurelug_types::rollout::Step;

use super::evidence::{Counts, Summary};
use super::state::Rollout;
use super::verdict::{self, Finding};

/// Shortest step: gateways learn of a step and report their first outcomes.
const MIN_STEP: Duration = Duration::from_millis(800);

/// Shortest step after the time limit, for instance after all control daemons were down: a bad version
/// is seen in it.
const OVERDUE_STEP: Duration = Duration::from_millis(2500);

/// Time beyond the limit for which the end waits for gateways that do not follow the last step yet,
/// for instance because of an election.
const MAX_WAIT: Duration = Duration::from_secs(6);

/// Time after the start of a leadership before a version goes on: all gateways have reported by then.
const MIN_LEADERSHIP: Duration = Duration::from_millis(1500);

/// Answers of the new version that end the first step.
const PROBE_ANSWERS: u64 = 10;

/// Answers of the new version that allow most requests to follow early. They contain 18 failures if
/// 30% are, of which 6 are enough for a verdict against an old version with 1%.
const CANARY_ANSWERS: u64 = 60;

/// Parts of the duration at which steps end.
mod part {
    /// The first step, without enough answers.
    pub(super) const PROBE: f64 = 0.12;
    /// The canary, with enough answers.
    pub(super) const CANARY_EARLY: f64 = 0.3;
    /// The canary, without enough answers.
    pub(super) const CANARY: f64 = 0.45;
    /// The canary, of a suspect version.
    pub(super) const CANARY_LATE: f64 = 0.55;
    /// The step with a control group.
    pub(super) const HALF: f64 = 0.65;
    /// The same, of a suspect version.
    pub(super) const HALF_LATE: f64 = 0.8;
    /// The wait for targets of the new version.
    pub(super) const TARGETS: f64 = 0.75;
    /// Shortest time in which everything goes to the new version while the old one can still take
    /// over.
    pub(super) const FULL: f64 = 0.08;
    /// Time before the limit at which the last commit is made.
    pub(super) const COMMIT: f64 = 0.15;
}

/// Longest time before the limit at which the last commit is made: an election and a commit.
const MAX_COMMIT_TIME: Duration = Duration::from_millis(1500);

/// Smallest number of targets of the new version, relative to the old one.
const MIN_TARGETS: f64 = 0.5;

/// Interval between the counts that are kept for comparison with a recent time.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// The recent time as a part of the duration, and its limits. A version that becomes bad later would
/// be hidden among its earlier answers.
const RECENT_PART: f64 = 0.125;
const MIN_RECENT: Duration = Duration::from_secs(2);
const MAX_RECENT: Duration = Duration::from_secs(20);

/// Time for which each brief period must speak against a version that has no control group any more,
/// so that a burst of failures of the whole service does not count. Together with the reports and the
/// commit it is less than 5 s.
const PERSISTENCE: Duration = Duration::from_secs(2);

/// Length of such a period.
const BRIEF: Duration = Duration::from_secs(1);

/// What the leader knows of a roll-out's surroundings.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Usable targets of the new version.
    pub new_targets: usize,
    /// Usable targets of the versions in force.
    pub old_targets: usize,
    /// What gateways have reported.
    pub summary: Summary,
    /// Time since the order was accepted.
    pub elapsed: Duration,
    /// Time since the step began.
    pub in_step: Duration,
}

/// A transition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The next step.
    pub to: Step,
    /// The reason, for operators.
    pub reason: String,
}

/// Watches one roll-out during one leadership.
#[derive(Clone, Debug)]
pub struct Monitor {
    began: Duration,
    snapshots: VecDeque<(Duration, Counts)>,
    finding: Option<Finding>,
    /// Since when every brief period has spoken against the version, without a control group.
    against_since: Option<Duration>,
}

impl Monitor {
    /// Starts at the begin of a leadership or of a roll-out.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            began: now,
            snapshots: VecDeque::new(),
            finding: None,
            against_since: None,
        }
    }

    /// The strongest difference between the versions at the last decision.
    #[must_use]
    pub fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }

    /// Returns the transition that is due, if any.
    pub fn decide(
        &mut self,
        rollout: &Rollout,
        observed: &Observed,
        now: Duration,
    ) -> Option<Transition> {
        let duration = Duration::from_millis(rollout.duration_ms);
        self.finding = self.compare(&observed.summary.counts, duration, now);
        let lasts = self.lasts(&observed.summary.counts, now);
        let is_bad = |it: &Finding| it.is_bad() && (it.step < Step::Full || lasts);
        if let Some(finding) = self.finding.filter(is_bad) {
            return roll_back(format!("the version is bad: {finding}"));
        }
        if now.saturating_sub(self.began) < MIN_LEADERSHIP.min(duration.mul_f64(part::PROBE)) {
            return None;
        }
        let is_suspect = self.finding.is_some_and(|it| it.is_suspect());
        let is_likely = self.finding.is_some_and(|it| it.is_likely());
        let has_targets = observed.new_targets > 0
            && observed.new_targets as f64 >= observed.old_targets as f64 * MIN_TARGETS;
        let passed = |part: f64| observed.elapsed >= duration.mul_f64(part);
        if !has_targets && rollout.step < Step::Full {
            let reason = format!(
                "the version has {} targets and the old one {}",
                observed.new_targets, observed.old_targets
            );
            return passed(part::TARGETS).then(|| roll_back(reason)).flatten();
        }
        let is_overdue = observed.elapsed >= duration;
        let least = if is_overdue { OVERDUE_STEP } else { MIN_STEP };
        if observed.in_step < least.min(duration.mul_f64(part::PROBE)) {
            return None;
        }
        let (answers, failures) = observed.summary.counts.total(true);
        let evidence = || match &self.finding {
            Some(finding) => finding.to_string(),
            None => format!("{failures} of {answers} answers of the new version failed"),
        };
        let to = match rollout.step {
            Step::Probe => {
                let is_enough = answers >= PROBE_ANSWERS && !is_suspect;
                (is_enough || passed(part::PROBE)).then_some(Step::Canary)
            }
            Step::Canary if is_likely && passed(part::CANARY_LATE) => {
                return roll_back(format!("the version is likely to be bad: {}", evidence()));
            }
            Step::Canary => {
                let is_early = answers >= CANARY_ANSWERS && passed(part::CANARY_EARLY);
                let is_due = (is_early || passed(part::CANARY)) && !is_suspect;
                (is_due || passed(part::CANARY_LATE)).then_some(Step::Half)
            }
            Step::Half if is_likely && passed(part::HALF_LATE) => {
                return roll_back(format!("the version is likely to be bad: {}", evidence()));
            }
            Step::Half => {
                let is_due = passed(part::HALF) && !is_suspect;
                (is_due || passed(part::HALF_LATE)).then_some(Step::Full)
            }
            // The fault is confirmed within a short time, or it is none.
            Step::Full if self.is_unconfirmed(now) => None,
            Step::Full => {
                let is_due = is_complete(observed, is_suspect, duration);
                is_due.then_some(Step::Completed)
            }
            Step::Completed | Step::RolledBack => None,
        }?;
        let reason = evidence();
        Some(Transition { to, reason })
    }

    /// Whether a fault without a control group has begun that may still be confirmed.
    fn is_unconfirmed(&self, now: Duration) -> bool {
        self.against_since
            .is_some_and(|since| now.saturating_sub(since) < PERSISTENCE + BRIEF)
    }

    /// Whether a fault without a control group has lasted long enough.
    fn lasts(&mut self, counts: &Counts, now: Duration) -> bool {
        let is_before = |(at, _): &&(Duration, Counts)| now.saturating_sub(*at) >= BRIEF;
        let before = self.snapshots.iter().rev().find(is_before);
        let brief = before.and_then(|(_, then)| verdict::worst_uncontrolled(counts, then));
        if !brief.is_some_and(|finding| finding.is_against()) {
            self.against_since = None;
            return false;
        }
        let since = *self.against_since.get_or_insert(now);
        now.saturating_sub(since) >= PERSISTENCE
    }

    /// Compares the versions over all counts and over the recent ones.
    fn compare(&mut self, counts: &Counts, duration: Duration, now: Duration) -> Option<Finding> {
        let recent = duration
            .mul_f64(RECENT_PART)
            .clamp(MIN_RECENT, MAX_RECENT)
            .min(duration);
        while self
            .snapshots
            .get(1)
            .is_some_and(|(at, _)| now.saturating_sub(*at) >= recent)
        {
            self.snapshots.pop_front();
        }
        let earlier = self.snapshots.front();
        let earlier = earlier.filter(|(at, _)| now.saturating_sub(*at) >= recent);
        let lately =
            earlier.and_then(|(_, counts_then)| verdict::worst(&counts.since(counts_then)));
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(at, _)| now.saturating_sub(*at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, counts.clone()));
        }
        let findings = [verdict::worst(counts), lately].into_iter().flatten();
        findings.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds))
    }
}

fn roll_back(reason: String) -> Option<Transition> {
    Some(Transition {
        to: Step::RolledBack,
        reason,
    })
}

/// Whether the old targets may stop: all gateways in contact follow the step, and nothing is pending
/// there or no time is left to wait.
fn is_complete(observed: &Observed, is_suspect: bool, duration: Duration) -> bool {
    let commit_time = duration.mul_f64(part::COMMIT).min(MAX_COMMIT_TIME);
    let summary = &observed.summary;
    if summary.followed != Some(Step::Full) {
        return observed.elapsed >= duration + MAX_WAIT;
    }
    if observed.elapsed + commit_time >= duration {
        return true;
    }
    let is_idle = summary.pending_old == 0 && summary.silent == 0;
    is_idle && !is_suspect && observed.in_step >= duration.mul_f64(part::FULL)
}
