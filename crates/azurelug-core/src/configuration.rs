//! The configuration as a deterministic state machine whose inputs are committed patches.
//!
//! Owns the current version, the answers to earlier patches and the history. The answer to a patch
//! must be the same on every replica and after every restart, so no clock and no random numbers are
//! read here.

pub mod check;
pub mod past;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use azurelug_types::config::Config;
use azurelug_types::id::Version;
use azurelug_types::patch::{Answer, Change, Patch};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of answers that are retained for resent patches, and of history entries. A patch that is
/// resent after that many further decisions gets a conflict, because its base version is out of
/// date.
pub const KEPT_DECISIONS: usize = 10_000;

/// Number of versions whose changes are retained, so that a daemon that is behind fetches only
/// these instead of the whole configuration.
pub const KEPT_STEPS: usize = 512;

/// The changes that lead from one version to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionStep {
    /// The version that they created.
    pub version: Version,
    /// The changes, in the order of the patch.
    pub changes: Vec<Change>,
}

/// One accepted patch in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPatch {
    /// The version it created.
    pub version: Version,
    /// The patch's id.
    pub patch_id: String,
    /// Who sent it.
    pub author: String,
    /// Wall-clock time at the leader in milliseconds since 1970, for display only.
    pub accepted_at_ms: u64,
    /// The number of its changes.
    pub changes: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Decision {
    digest: [u8; 32],
    answer: Answer,
}

/// The configuration, its history and the answers to earlier patches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    config: Arc<Config>,
    decisions: BTreeMap<String, Decision>,
    order: VecDeque<String>,
    history: VecDeque<AcceptedPatch>,
    steps: VecDeque<VersionStep>,
}

impl Store {
    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The accepted patches that are still retained, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &AcceptedPatch> {
        self.history.iter()
    }

    /// Checks a patch and applies it if it is valid. A resent patch gets the same answer again.
    ///
    /// `digest` is computed by [`digest`] on the daemon that received the patch. It is sent with
    /// the patch, because replicas of different releases could compute different digests.
    pub fn apply(&mut self, patch: &Patch, digest: [u8; 32], accepted_at_ms: u64) -> Answer {
        if let Some(decision) = self.decisions.get(&patch.patch_id) {
            if decision.digest == digest {
                return decision.answer.clone();
            }
            return Answer::Invalid {
                field: "patch_id".to_owned(),
                help: "another patch has this id; send this one with a new id".to_owned(),
            };
        }
        let answer = match self.evaluate(patch) {
            Ok(config) => {
                let version = config.version;
                self.config = Arc::new(config);
                self.record_step(VersionStep {
                    version,
                    changes: patch.changes.clone(),
                });
                self.record_accepted_patch(AcceptedPatch {
                    version,
                    patch_id: patch.patch_id.clone(),
                    author: patch.author.clone(),
                    accepted_at_ms,
                    changes: patch.changes.len(),
                });
                Answer::Accepted { version }
            }
            Err(answer) => answer,
        };
        self.record_decision(
            &patch.patch_id,
            Decision {
                digest,
                answer: answer.clone(),
            },
        );
        answer
    }

    /// The configuration that a patch would create, without applying the patch.
    ///
    /// # Errors
    /// The answer that the patch would get now.
    pub fn evaluate(&self, patch: &Patch) -> Result<Config, Answer> {
        check::patch_fields(patch)?;
        if patch.base_version != self.config.version {
            return Err(Answer::Conflict {
                current: self.config.version,
            });
        }
        let mut config = Config::clone(&self.config);
        for (index, change) in patch.changes.iter().enumerate() {
            check::apply(&mut config, change).map_err(|invalid| invalid.at_change(index))?;
        }
        check::configuration(&config).map_err(check::InvalidField::into_answer)?;
        config.version = self.config.version.next();
        Ok(config)
    }

    /// The steps after `version` up to the version in force, oldest first; none if the first of
    /// them is no longer retained or `version` is newer than the one in force.
    pub fn steps_after(&self, version: Version) -> Option<Vec<VersionStep>> {
        let behind = self.config.version.0.checked_sub(version.0)?;
        let behind = usize::try_from(behind).ok()?;
        let first = self.steps.len().checked_sub(behind)?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }

    fn record_step(&mut self, step: VersionStep) {
        self.steps.push_back(step);
        if self.steps.len() > KEPT_STEPS {
            self.steps.pop_front();
        }
    }

    fn record_decision(&mut self, patch_id: &str, decision: Decision) {
        self.decisions.insert(patch_id.to_owned(), decision);
        self.order.push_back(patch_id.to_owned());
        if self.order.len() > KEPT_DECISIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.decisions.remove(&oldest);
        }
    }

    fn record_accepted_patch(&mut self, accepted: AcceptedPatch) {
        self.history.push_back(accepted);
        if self.history.len() > KEPT_DECISIONS {
            self.history.pop_front();
        }
    }
}

/// Applies `step` to `config`; none if the step does not follow `config` or can't be applied to it,
/// in which case the whole configuration has to be fetched.
pub fn apply_step(config: &Config, step: &VersionStep) -> Option<Config> {
    if step.version != config.version.next() {
        return None;
    }
    let mut next = config.clone();
    for change in &step.changes {
        check::apply(&mut next, change).ok()?;
    }
    next.version = step.version;
    Some(next)
}

/// A digest of all fields, which detects a different patch with the same id.
///
/// # Panics
/// Never: a patch is plain data, which serializes to JSON.
pub fn digest(patch: &Patch) -> [u8; 32] {
    let bytes = serde_json::to_vec(patch).expect("a patch is plain data");
    Sha256::digest(&bytes).into()
}
