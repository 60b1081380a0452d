//! The checks of a run, and the events that they need.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::plan::{Fault, Step};

/// Time after which a drained zone or a leaving target must get no requests: the guaranteed bound
/// of 3 s, and 1 s for requests in transit and for processes that share one machine.
const LEFT_ALONE: Duration = Duration::from_millis(4000);

/// Time after the resume of a gateway or a control daemon fault during which gateways may still
/// send requests by outdated target state.
const CATCH_UP: Duration = Duration::from_millis(2000);

/// Minimum fraction of requests that must be served after the faults.
const SERVED: f64 = 0.95;

/// Maximum number of violations that are kept as text; further ones are only counted.
const MAX_VIOLATIONS: usize = 40;

/// The outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
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
    more_violations: usize,
    runs: HashMap<String, u32>,
    /// Requests of which a target has received pieces.
    staged: HashSet<String>,
    once: Vec<String>,
    refused: Vec<String>,
    ends: BTreeMap<(String, End), u64>,
    faults: BTreeMap<String, u64>,
    /// Targets that must get no requests, and since when.
    left: HashMap<String, Instant>,
    disturbed: Option<Instant>,
    reads: u64,
}

/// Records the events of a run and the violations found in them.
#[derive(Default)]
pub struct Verdict {
    state: Mutex<State>,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The violations.
    pub violations: Vec<String>,
    /// Folder with the logs of a failed run.
    pub logs: Option<PathBuf>,
    /// The results and the fault schedule as JSON.
    pub summary: Value,
}

impl Verdict {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Records a violation.
    pub fn violated(&self, text: String) {
        let mut state = self.state();
        if state.violations.len() < MAX_VIOLATIONS {
            state.violations.push(text);
        } else {
            state.more_violations += 1;
        }
    }

    /// Counts an injected fault by its kind.
    pub fn injected(&self, fault: &Fault) {
        let text = format!("{fault:?}");
        let kind = text.split('(').next().unwrap_or_default().to_owned();
        *self.state().faults.entry(kind).or_default() += 1;
    }

    /// Records that a target has run a request.
    pub fn ran(&self, id: &str) {
        *self.state().runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Whether a target has received a request or a piece of it.
    pub fn was_seen(&self, id: &str) -> bool {
        let state = self.state();
        state.runs.contains_key(id) || state.staged.contains(id)
    }

    /// Records a request that must run at most once.
    pub fn may_run_once(&self, id: &str) {
        self.state().once.push(id.to_owned());
    }

    /// Records the outcome of a request.
    pub fn ended(&self, id: &str, kind: &str, end: End) {
        let mut state = self.state();
        if end == End::Refused {
            state.refused.push(id.to_owned());
        }
        *state.ends.entry((kind.to_owned(), end)).or_default() += 1;
    }

    /// Counts a read of the configuration.
    pub fn read(&self) {
        self.state().reads += 1;
    }

    /// Records a piece of a request, and checks that its inputs belong to the same request.
    pub fn check_inputs(&self, id: &str, inputs: &[Value]) {
        self.state().staged.insert(id.to_owned());
        let is_own = |input: &Value| {
            let handle = input.as_str().unwrap_or_default();
            handle
                .split('/')
                .nth(1)
                .is_some_and(|it| it.starts_with(&format!("{id}.")))
        };
        if !inputs.iter().all(is_own) {
            self.violated(format!(
                "a piece of {id} got inputs of another request: {inputs:?}"
            ));
        }
    }

    /// Records that a target must get no requests from now on, or that it may get requests again.
    pub fn leave_alone(&self, target: &str, is_left: bool) {
        let mut state = self.state();
        if is_left {
            state.left.insert(target.to_owned(), Instant::now());
        } else {
            state.left.remove(target);
        }
    }

    /// Records that the gateways' target state may be outdated for a while.
    pub fn disturbed(&self) {
        self.state().disturbed = Some(Instant::now());
    }

    /// Checks, when a request arrives at a target, that the target may get requests.
    pub fn arrived(&self, target: &str) {
        let late = {
            let state = self.state();
            let is_calm = state.disturbed.is_none_or(|at| at.elapsed() > CATCH_UP);
            let left = state.left.get(target).filter(|_| is_calm);
            left.map(Instant::elapsed).filter(|it| *it > LEFT_ALONE)
        };
        if let Some(late) = late {
            let millis = late.as_millis();
            self.violated(format!(
                "{target} got a request {millis} ms after it was drained"
            ));
        }
    }

    /// The number of requests so far by outcome.
    pub fn counts(&self) -> BTreeMap<End, u64> {
        let mut counts = BTreeMap::new();
        for ((_, end), count) in &self.state().ends {
            *counts.entry(*end).or_default() += count;
        }
        counts
    }

    /// Checks that at least 95% of the requests since `before` were served.
    pub fn check_recovery(&self, before: &BTreeMap<End, u64>) {
        let now = self.counts();
        let since = |end: End| {
            let before = before.get(&end).copied().unwrap_or_default();
            now.get(&end).copied().unwrap_or_default() - before
        };
        let all = [End::Served, End::Refused, End::Failed, End::Lost];
        let sum: u64 = all.into_iter().map(since).sum();
        let served = since(End::Served);
        if served == 0 || (served as f64) < SERVED * sum as f64 {
            let what = all.map(|end| format!("{end:?} {}", since(end)));
            self.violated(format!(
                "too few requests were served after the faults: {}",
                what.join(", ")
            ));
        }
    }

    /// Runs the final checks and builds the report.
    pub fn close(&self, seed: u64, plan: &[Step]) -> Report {
        self.check_runs();
        let mut state = self.state();
        let mut violations = std::mem::take(&mut state.violations);
        if state.more_violations > 0 {
            violations.push(format!("and {} more", state.more_violations));
        }
        let ends = state.ends.iter();
        let ends: BTreeMap<String, u64> = ends
            .map(|((kind, end), count)| (format!("{kind} {end:?}").to_lowercase(), *count))
            .collect();
        let plan: Vec<String> = plan
            .iter()
            .map(|step| {
                let (at, lasts) = (step.at.as_millis(), step.lasts.as_millis());
                format!("{at} ms, for {lasts} ms: {:?}", step.fault)
            })
            .collect();
        let summary = json!({"seed": seed, "violations": violations, "requests": ends,
            "faults": state.faults, "reads": state.reads, "plan": plan});
        Report {
            seed,
            violations,
            logs: None,
            summary,
        }
    }

    fn check_runs(&self) {
        let (twice, untrue) = {
            let state = self.state();
            let runs = |id: &&String| state.runs.get(*id).copied().unwrap_or_default();
            let twice: Vec<String> = state
                .once
                .iter()
                .filter(|id| runs(id) > 1)
                .cloned()
                .collect();
            let untrue: Vec<String> = state
                .refused
                .iter()
                .filter(|id| runs(id) > 0)
                .cloned()
                .collect();
            (twice, untrue)
        };
        for id in twice {
            self.violated(format!("{id} ran more than once"));
        }
        for id in untrue {
            self.violated(format!("{id} was refused as not run, but has run"));
        }
    }
}
