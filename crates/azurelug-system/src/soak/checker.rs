//! The checks of a run, and the events that they need.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::crashes::Crashes;
use super::keys::Keys;
use super::limits::Limits;
use super::plan::{Fault, ScheduledFault};
use super::rollouts::{self, Rollouts};
use super::streams::Streams;
use super::targets::versions;

/// Time after which a drained zone or a leaving target must get no requests: the guaranteed bound
/// of 3 s, and 1 s for requests in transit and for processes that share one machine.
const DRAIN_LIMIT: Duration = Duration::from_millis(4000);

/// Time after the resume of a gateway or a control daemon fault during which gateways may still
/// send requests by outdated target state.
const DISRUPTION_GRACE: Duration = Duration::from_millis(2000);

/// Minimum fraction of requests that must be served after the faults.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// Maximum number of violations that are kept as text; further ones are only counted.
const MAX_VIOLATIONS: usize = 40;

/// The outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A target's complete answer.
    Served,
    /// An answer which states that the request has not run.
    Refused,
    /// Any other failure.
    Failed,
    /// No answer.
    Lost,
}

#[derive(Default)]
struct State {
    violations: Vec<String>,
    omitted_violations: usize,
    runs: HashMap<String, u32>,
    /// Requests of which a target has received pieces.
    with_pieces: HashSet<String>,
    /// Requests that ended early without a success, at gateways that were up.
    unserved: Vec<String>,
    /// Targets that have begun to answer a request with a success.
    answering: HashMap<String, HashSet<String>>,
    /// Of these, sound targets whose gateway closed the connection before the answer was complete.
    given_up: HashMap<String, HashSet<String>>,
    at_most_once: Vec<String>,
    refused: Vec<String>,
    outcomes: BTreeMap<(String, Outcome), u64>,
    faults: BTreeMap<String, u64>,
    /// Targets that must get no requests, and since when.
    drained: HashMap<String, Instant>,
    disrupted: Option<Instant>,
    reads: u64,
}

/// Records the events of a run and the violations found in them.
#[derive(Default)]
pub struct Checker {
    state: Mutex<State>,
    /// The limits of targets.
    pub limits: Limits,
    /// The requests that crash targets.
    pub crashes: Crashes,
    /// The keys of the configurations.
    pub keys: Keys,
    /// The streams that clients resume.
    pub streams: Streams,
    /// The roll-outs.
    pub rollouts: Rollouts,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The violations.
    pub violations: Vec<String>,
    /// Folder with the logs of a failed run.
    pub log_folder: Option<PathBuf>,
    /// The results and the fault schedule as JSON.
    pub summary: Value,
}

impl Checker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Records a violation.
    pub fn record_violation(&self, text: String) {
        let mut state = self.state();
        if state.violations.len() < MAX_VIOLATIONS {
            state.violations.push(text);
        } else {
            state.omitted_violations += 1;
        }
    }

    /// Counts an injected fault by its kind.
    pub fn record_fault(&self, fault: &Fault) {
        let text = format!("{fault:?}");
        let kind = text.split('(').next().unwrap_or_default().to_owned();
        *self.state().faults.entry(kind).or_default() += 1;
    }

    /// Records that a target has run a request.
    pub fn record_run(&self, id: &str, target: &str) {
        self.keys.check_run(id, target, self.limits.now());
        *self.state().runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Records that a target has begun to answer a request with a success.
    pub fn record_answering(&self, id: &str, target: &str) {
        let mut state = self.state();
        let targets = state.answering.entry(id.to_owned()).or_default();
        targets.insert(target.to_owned());
    }

    /// Records that a gateway closed the connection to a sound target that was answering.
    pub fn record_given_up(&self, id: &str, target: &str) {
        let mut state = self.state();
        let targets = state.given_up.entry(id.to_owned()).or_default();
        targets.insert(target.to_owned());
    }

    /// Records a request that ended without a success, although its gateway was up and its time
    /// was not over.
    pub fn record_unserved(&self, id: &str) {
        self.state().unserved.push(id.to_owned());
    }

    /// Whether a target has received a request or a piece of it.
    pub fn was_received(&self, id: &str) -> bool {
        let state = self.state();
        state.runs.contains_key(id) || state.with_pieces.contains(id)
    }

    /// Records a request that must run at most once.
    pub fn expect_at_most_once(&self, id: &str) {
        self.state().at_most_once.push(id.to_owned());
    }

    /// Records a request that was refused as not run.
    pub fn expect_not_run(&self, id: &str) {
        self.state().refused.push(id.to_owned());
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&self, id: &str, kind: &str, outcome: Outcome) {
        let mut state = self.state();
        if outcome == Outcome::Refused {
            state.refused.push(id.to_owned());
        }
        *state
            .outcomes
            .entry((kind.to_owned(), outcome))
            .or_default() += 1;
    }

    /// Counts a read of the configuration.
    pub fn record_config_read(&self) {
        self.state().reads += 1;
    }

    /// Records a piece of a request, and checks that its inputs belong to the same request.
    pub fn check_inputs(&self, id: &str, target: &str, inputs: &[Value]) {
        self.keys.check_run(id, target, self.limits.now());
        self.state().with_pieces.insert(id.to_owned());
        let is_own = |input: &Value| {
            let handle = input.as_str().unwrap_or_default();
            handle
                .split('/')
                .nth(1)
                .is_some_and(|it| it.starts_with(&format!("{id}.")))
        };
        if !inputs.iter().all(is_own) {
            self.record_violation(format!(
                "a piece of {id} got inputs of another request: {inputs:?}"
            ));
        }
    }

    /// Records that a target must get no requests from now on, or that it may get requests again.
    pub fn set_drained(&self, target: &str, is_drained: bool) {
        let mut state = self.state();
        if is_drained {
            state.drained.insert(target.to_owned(), Instant::now());
        } else {
            state.drained.remove(target);
        }
    }

    /// Records that a gateway is killed, stopped or frozen.
    pub fn start_fault(&self, gateway: usize) {
        self.limits.start_fault(gateway);
        self.crashes.start_fault(gateway, self.limits.now());
        self.rollouts.start_fault(gateway, self.limits.now());
    }

    /// Records the end of a gateway's fault.
    pub fn end_fault(&self, gateway: usize) {
        self.limits.end_fault(gateway);
        self.crashes.end_fault(gateway, self.limits.now());
        self.rollouts.end_fault(gateway, self.limits.now());
    }

    /// Records the start or the end of a control daemon's fault.
    pub fn record_control_fault(&self, is_start: bool) {
        let now = self.limits.now();
        self.crashes.record_control_fault(now);
        self.rollouts.record_control_fault(is_start, now);
    }

    /// Records that the gateways' target state may be outdated for a while.
    pub fn record_disruption(&self) {
        self.state().disrupted = Some(Instant::now());
    }

    /// Checks, when a request arrives at a target, that the target may get requests.
    pub fn check_arrival(&self, target: &str, id: &str) {
        self.limits.record_arrival(target, id);
        if versions::service(target) == rollouts::SERVICE {
            self.rollouts.record_arrival(rollouts::Arrival {
                version: versions::number(target),
                id: id.to_owned(),
                gateway: self.limits.gateway(id),
                at: self.limits.now(),
            });
        }
        let late = {
            let state = self.state();
            let is_undisrupted = state
                .disrupted
                .is_none_or(|time| time.elapsed() > DISRUPTION_GRACE);
            let drained = state.drained.get(target).filter(|_| is_undisrupted);
            drained.map(Instant::elapsed).filter(|it| *it > DRAIN_LIMIT)
        };
        if let Some(late) = late {
            let millis = late.as_millis();
            self.record_violation(format!(
                "{target} got a request {millis} ms after it was drained"
            ));
        }
    }

    /// The number of requests so far by outcome.
    pub fn outcome_counts(&self) -> BTreeMap<Outcome, u64> {
        let mut by_outcome = BTreeMap::new();
        for ((_, outcome), count) in &self.state().outcomes {
            *by_outcome.entry(*outcome).or_default() += count;
        }
        by_outcome
    }

    /// Checks that at least 95% of the requests since `before` were served.
    pub fn check_recovery(&self, before: &BTreeMap<Outcome, u64>) {
        let now = self.outcome_counts();
        let since = |outcome: Outcome| {
            let before = before.get(&outcome).copied().unwrap_or_default();
            now.get(&outcome).copied().unwrap_or_default() - before
        };
        let all = [
            Outcome::Served,
            Outcome::Refused,
            Outcome::Failed,
            Outcome::Lost,
        ];
        let sum: u64 = all.into_iter().map(since).sum();
        let served = since(Outcome::Served);
        if served == 0 || (served as f64) < MIN_SERVED_FRACTION * sum as f64 {
            let what = all.map(|outcome| format!("{outcome:?} {}", since(outcome)));
            self.record_violation(format!(
                "too few requests were served after the faults: {}",
                what.join(", ")
            ));
        }
    }

    /// Runs the final checks and builds the report.
    pub fn finish(&self, seed: u64, plan: &[ScheduledFault]) -> Report {
        for violation in self.run_violations() {
            self.record_violation(violation);
        }
        self.check_given_up();
        let found = self.limits.violations().into_iter();
        let found = found.chain(self.crashes.violations());
        let found = found.chain(self.keys.violations());
        let found = found.chain(self.rollouts.violations());
        for violation in found.chain(self.streams.violations()) {
            self.record_violation(violation);
        }
        let mut state = self.state();
        let mut violations = std::mem::take(&mut state.violations);
        if state.omitted_violations > 0 {
            violations.push(format!("and {} more", state.omitted_violations));
        }
        let outcomes = state.outcomes.iter();
        let outcomes: BTreeMap<String, u64> = outcomes
            .map(|((kind, outcome), count)| (format!("{kind} {outcome:?}").to_lowercase(), *count))
            .collect();
        let plan: Vec<String> = plan
            .iter()
            .map(|scheduled| {
                let (start, duration) =
                    (scheduled.start.as_millis(), scheduled.duration.as_millis());
                format!("{start} ms, for {duration} ms: {:?}", scheduled.fault)
            })
            .collect();
        let summary = json!({"seed": seed, "violations": violations, "requests": outcomes,
            "faults": state.faults, "reads": state.reads, "probes": self.keys.summary(),
            "streams": self.streams.summary(), "rollouts": self.rollouts.summary(), "plan": plan});
        Report {
            seed,
            violations,
            log_folder: None,
            summary,
        }
    }

    /// Requests that ran more than once although they may not, or that ran although they were
    /// refused.
    pub fn run_violations(&self) -> Vec<String> {
        let state = self.state();
        let runs = |id: &&String| state.runs.get(*id).copied().unwrap_or_default();
        let repeated = state.at_most_once.iter().filter(|id| runs(id) > 1);
        let repeated = repeated.map(|id| format!("{id} ran more than once"));
        let refused = state.refused.iter().filter(|id| runs(id) > 0);
        let refused = refused.map(|id| format!("{id} was refused as not run, but has run"));
        repeated.chain(refused).collect()
    }

    /// Checks that no request failed because sound targets were given up before another one
    /// answered.
    fn check_given_up(&self) {
        let given_up: Vec<String> = {
            let state = self.state();
            let is_given_up = |id: &&String| {
                let answering = state.answering.get(*id);
                let given_up = state.given_up.get(*id);
                given_up.is_some_and(|it| answering.is_none_or(|targets| targets.is_subset(it)))
            };
            state.unserved.iter().filter(is_given_up).cloned().collect()
        };
        for id in given_up {
            self.record_violation(format!("{id} failed although its target was sound"));
        }
    }
}
