//! The gateway's part in roll-outs: policies for versions, and counts of sends and outcomes.

use std::time::Duration;

use azurelug_core::gateway::fleet::{Key, Outcome};
use azurelug_core::gateway::rendezvous;
use azurelug_core::gateway::rollout::evidence::Observation;
use azurelug_core::gateway::rollout::gate::Gate;
use azurelug_types::deployment::Batch;
use azurelug_types::id::{ServiceName, TargetName};
use azurelug_types::rollout::{Policy, Report};
use serde::Serialize;

use crate::exchange::Exchange;
use crate::gateway::Gateway;

/// The recorded response time of a call for pieces that takes as long as configured. Calls differ in
/// their number of pieces, so that only relative times can be compared.
const USUAL_CALL: Duration = Duration::from_millis(100);

/// A service's versions and its roll-out, for the state dump.
#[derive(Serialize)]
pub struct RolloutRow {
    service: String,
    allowed: Vec<String>,
    rejected: Vec<String>,
    target: Option<String>,
    step: Option<&'static str>,
    new_sends: u64,
    requests: u64,
    new_answers: u64,
    new_failures: u64,
}

/// Identifies the route and the kind of a request.
#[must_use]
pub fn subject(exchange: &Exchange) -> u64 {
    let is_stream = exchange.route.kind.is_stream();
    rendezvous::weight(&exchange.route.name, &is_stream)
}

/// What an attempt's outcome says about the version of its target; none if the target did not run the
/// request, or the client left first. An answer that was counted when it started counts again only if
/// it failed.
#[must_use]
pub fn observation(outcome: Outcome, is_started: bool) -> Option<Observation> {
    match outcome {
        Outcome::Answered(_) if is_started => None,
        Outcome::Answered(first) => Some(Observation::Answer(Some(first))),
        Outcome::Error | Outcome::Unreachable if is_started => Some(Observation::LateFailure),
        Outcome::Error | Outcome::Unreachable => Some(Observation::Failure),
        Outcome::Full
        | Outcome::Unconnected
        | Outcome::Crashed
        | Outcome::Gone
        | Outcome::Unknown => None,
    }
}

impl Gateway {
    /// Follows the policies of a control daemon, which were the newest at `as_of`.
    pub fn follow_policies(&self, policies: Option<Vec<Policy>>, as_of: Duration) {
        let Some(bounds) = self.rollout_bounds() else {
            return;
        };
        let until = as_of + bounds.freshness;
        let mut fleet = self.fleet();
        if let Some(policies) = policies {
            for policy in &policies {
                log_change(policy, fleet.gates().map(Gate::policy));
            }
            fleet.set_policies(policies, bounds.exposure);
        }
        fleet.confirm_policies(until);
    }

    /// The reports on the roll-outs in progress, which are also shown as metrics.
    pub fn rollout_reports(&self) -> Vec<Report> {
        if self.fleet().gates().all(|gate| !gate.is_running()) {
            return Vec::new();
        }
        let pending = self.dispatch_workers.pending();
        let of = |name: &TargetName| pending.get(name).copied().unwrap_or(0);
        let now = self.now();
        let reports = self.fleet().rollout_reports(of, now);
        for report in &reports {
            let service = report.service.as_str();
            let (sends, requests) = (report.new_sends, report.requests);
            self.metrics.set_rollout(service, sends, requests);
        }
        reports
    }

    /// Counts a call for pieces that is sent to a target.
    pub fn record_call(&self, service: &ServiceName, name: &TargetName) {
        let mut fleet = self.fleet();
        fleet.record_request(service);
        if let Some(key) = fleet.key(name) {
            fleet.record_send(key);
        }
    }

    /// Counts a send to a target that is not a request of a client.
    pub fn record_extra_send(&self, name: &TargetName) {
        let mut fleet = self.fleet();
        if let Some(key) = fleet.key(name) {
            fleet.record_send(key);
        }
    }

    /// Whether a release of results may be sent to a target: it counts as a send to its version.
    pub fn may_release(&self, name: &TargetName) -> bool {
        self.fleet().may_send_optional(name, self.now())
    }

    /// Counts the outcome of a call with `pieces` pieces; none for the time if it failed.
    pub fn record_call_outcome(
        &self,
        name: &TargetName,
        batch: Option<Batch>,
        pieces: usize,
        elapsed: Option<Duration>,
    ) {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        let usual = batch.map(|it| it.call_time + it.piece_time.saturating_mul(pieces));
        let usual = usual.filter(|it| !it.is_zero());
        let relative = |elapsed: Duration| {
            let factor = elapsed.as_secs_f64() / usual?.as_secs_f64();
            Some(USUAL_CALL.mul_f64(factor))
        };
        let observation = match elapsed {
            Some(elapsed) => Observation::Answer(relative(elapsed)),
            None => Observation::Failure,
        };
        let mut fleet = self.fleet();
        if let Some(key) = fleet.key(name) {
            fleet.record_observation(key, 0, observation, self.now());
        }
    }

    /// Counts the outcome of an attempt at a target.
    pub fn record_attempt_outcome(&self, key: Key, subject: u64, observation: Observation) {
        let now = self.now();
        self.fleet()
            .record_observation(key, subject, observation, now);
    }

    /// The versions of the services, for the state dump.
    pub fn rollout_rows(&self) -> Vec<RolloutRow> {
        let fleet = self.fleet();
        let rows = fleet.gates().map(|gate| {
            let (policy, report) = (gate.policy(), gate.report(0, true));
            let new = report.iter().flat_map(|it| &it.rows);
            let new = new.filter(|row| row.is_new);
            let (answers, failures) = new.fold((0, 0), |(answers, failures), row| {
                (answers + row.answers, failures + row.failures)
            });
            RolloutRow {
                service: policy.service.to_string(),
                allowed: policy.allowed.clone(),
                rejected: policy.rejected.clone(),
                target: policy.running.as_ref().map(|it| it.target.clone()),
                step: policy.running.as_ref().map(|it| it.step.as_str()),
                new_sends: report.as_ref().map_or(0, |it| it.new_sends),
                requests: report.as_ref().map_or(0, |it| it.requests),
                new_answers: answers,
                new_failures: failures,
            }
        });
        rows.collect()
    }
}

fn log_change<'a>(policy: &Policy, mut known: impl Iterator<Item = &'a Policy>) {
    let before = known.find(|it| it.service == policy.service);
    if before == Some(policy) {
        return;
    }
    let service = &policy.service;
    match &policy.running {
        Some(running) => log::info!(
            "gateway: roll-out {} of {service} to {}; step={} allowed={:?}",
            running.number,
            running.target,
            running.step.as_str(),
            policy.allowed
        ),
        None => log::info!(
            "gateway: versions of {service}: allowed={:?} rejected={:?}",
            policy.allowed,
            policy.rejected
        ),
    }
}
