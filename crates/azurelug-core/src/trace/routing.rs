//! Traces of the choice of targets.

use std::collections::BTreeMap;
use std::time::Duration;

use azurelug_types::config::{ModelRef, StageKind};
use azurelug_types::id::{ServiceName, TargetName, ZoneName};
use azurelug_types::patch::{Change, Patch};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use super::{Mismatch, check};
use crate::configuration::{Store, digest};
use crate::lease_mode::Mode;
use crate::routing::{CallKey, Completion, Outcome, Query, Requirement, Router, Settings};
use crate::slow_start::LoadReport;

/// Events at one entry daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The daemon's zone.
    pub zone: ZoneName,
    /// The seed of the daemon's random choices.
    pub seed: u64,
    /// The initial configuration, as changes to an empty one.
    pub configuration: Vec<Change>,
    /// The steps.
    pub steps: Vec<Step>,
}

/// One event and its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// The event, with its expected outcome.
    pub event: Event,
}

/// One event.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A newer configuration version came into force.
    Changes(Vec<Change>),
    /// The lease mode changed.
    Mode(Mode),
    /// Calls were started. They stay in flight until `Finish`.
    Calls {
        /// The number of calls.
        count: u32,
        /// A stage's kind and model, or none for a service.
        #[serde(default)]
        stage: Option<(StageKind, ModelRef)>,
        /// A service, or none for a stage.
        #[serde(default)]
        service: Option<ServiceName>,
        /// Whether the calls are idempotent.
        idempotent: bool,
        /// The targets that may get these calls; any target if the list is empty.
        #[serde(default)]
        only: Vec<TargetName>,
        /// The maximum number of calls for each of these targets.
        #[serde(default)]
        at_most: BTreeMap<TargetName, u32>,
        /// The expected number of refused calls.
        refused: u32,
    },
    /// All calls in flight ended.
    Finish {
        /// How they ended.
        completion: Completion,
        /// Time to the first token in milliseconds.
        first_token_ms: u64,
    },
    /// A load report arrived.
    Report {
        /// The target.
        target: TargetName,
        /// The number of calls at the target.
        calls: u32,
        /// Whether it is warm.
        warm: bool,
        /// When its process started.
        start_stamp: u64,
        /// The age of the report in milliseconds.
        age_ms: u64,
    },
    /// The platform's list reports that a target's VM is leaving.
    Leaving(TargetName),
}

struct Replay {
    store: Store,
    router: Router,
    calls: Vec<CallKey>,
}

impl Script {
    pub(super) fn replay(&self) -> Result<usize, Mismatch> {
        let settings = Settings::new(self.zone.clone());
        let mut replay = Replay {
            store: Store::default(),
            router: Router::new(settings, Pcg32::seed_from_u64(self.seed)),
            calls: Vec::new(),
        };
        replay.change(0, &self.configuration, Duration::ZERO)?;
        replay.router.set_mode(Mode::Normal);
        for (index, step) in self.steps.iter().enumerate() {
            replay.step(index, &step.event, Duration::from_millis(step.at_ms))?;
        }
        Ok(self.steps.len())
    }
}

impl Replay {
    fn step(&mut self, index: usize, event: &Event, now: Duration) -> Result<(), Mismatch> {
        match event {
            Event::Changes(changes) => return self.change(index, changes, now),
            Event::Mode(mode) => self.router.set_mode(*mode),
            Event::Calls {
                count,
                stage,
                service,
                idempotent,
                only,
                at_most,
                refused,
            } => {
                let need = match (stage, service) {
                    (Some((kind, model)), None) => Requirement::Stage(*kind, model),
                    (None, Some(service)) => Requirement::Service(service),
                    _ => return check(index, &"a stage or a service", &"both or none"),
                };
                let query = Query {
                    need,
                    idempotent: *idempotent,
                    prefix: &[],
                    exclude: &[],
                    avoid_cold: false,
                };
                let (got, refused_calls) = self.call(*count, &query, now);
                check(index, refused, &refused_calls)?;
                let is_allowed = |target: &TargetName| only.is_empty() || only.contains(target);
                let others: Vec<_> = got.keys().filter(|target| !is_allowed(target)).collect();
                check(index, &Vec::new(), &others)?;
                for (target, most) in at_most {
                    let count = got.get(target).copied().unwrap_or(0);
                    check(index, &true, &(count <= *most))?;
                }
            }
            Event::Finish {
                completion,
                first_token_ms,
            } => {
                let first_token = Some(Duration::from_millis(*first_token_ms));
                for call in std::mem::take(&mut self.calls) {
                    let outcome = Outcome {
                        completion: *completion,
                        first_token,
                    };
                    self.router.finish(call, outcome, now);
                }
            }
            Event::Report {
                target,
                calls,
                warm,
                start_stamp,
                age_ms,
            } => {
                let taken_at = now.saturating_sub(Duration::from_millis(*age_ms));
                let (calls, warm, start_stamp) = (*calls, *warm, *start_stamp);
                let report = LoadReport {
                    calls,
                    taken_at,
                    warm,
                    start_stamp,
                };
                if let Some(key) = self.router.table().key(target) {
                    self.router.report(key, report, now);
                }
            }
            Event::Leaving(target) => {
                if let Some(key) = self.router.table().key(target) {
                    self.router.set_leaving(key, true, now);
                }
            }
        }
        Ok(())
    }

    fn change(&mut self, index: usize, changes: &[Change], now: Duration) -> Result<(), Mismatch> {
        let base_version = self.store.config().version;
        let patch = Patch {
            patch_id: format!("{}", base_version.0),
            base_version,
            author: "trace".to_owned(),
            changes: changes.to_vec(),
        };
        self.store.apply(&patch, digest(&patch), 0);
        check(index, &base_version.next(), &self.store.config().version)?;
        self.router.apply(self.store.config(), now);
        Ok(())
    }

    /// Starts calls; returns the number of calls at each target and the number of refused calls.
    fn call(
        &mut self,
        count: u32,
        query: &Query<'_>,
        now: Duration,
    ) -> (BTreeMap<TargetName, u32>, u32) {
        let mut got = BTreeMap::new();
        let mut refused = 0;
        for _ in 0..count {
            let chosen = self.router.choose(query, now).ok();
            let begun = chosen.and_then(|choice| {
                let call = self.router.begin(choice.target, now)?;
                Some((
                    self.router.table().target(choice.target)?.name.clone(),
                    call,
                ))
            });
            match begun {
                Some((target, call)) => {
                    self.calls.push(call);
                    *got.entry(target).or_insert(0) += 1;
                }
                None => refused += 1,
            }
        }
        (got, refused)
    }
}
