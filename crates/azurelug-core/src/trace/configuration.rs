//! Traces of patches.

use azurelug_types::patch::{Answer, Patch};
use serde::{Deserialize, Serialize};

use super::{Mismatch, check};
use crate::configuration::{Store, digest};

/// Patches in the order in which they were committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The steps.
    pub steps: Vec<Step>,
}

/// One committed patch or a restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// A patch and its expected answer.
    Patch {
        /// The patch.
        patch: Patch,
        /// The expected answer.
        expect: Answer,
    },
    /// The state is written to a snapshot and read back.
    Restart,
}

impl Script {
    pub(super) fn replay(&self) -> Result<usize, Mismatch> {
        let mut store = Store::default();
        for (index, step) in self.steps.iter().enumerate() {
            match step {
                Step::Patch { patch, expect } => {
                    let before = store.config().version;
                    let got = store.apply(patch, digest(patch), 0);
                    check(index, expect, &got)?;
                    // The version never decreases.
                    check(index, &true, &(store.config().version >= before))?;
                }
                Step::Restart => {
                    let text = serde_json::to_string(&store).unwrap_or_default();
                    let restored: Option<Store> = serde_json::from_str(&text).ok();
                    check(index, &Some(store.clone()), &restored)?;
                    store = restored.unwrap_or_default();
                }
            }
        }
        Ok(self.steps.len())
    }
}
