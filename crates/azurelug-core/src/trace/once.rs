//! Traces of the records of calls that run at most once.

use azurelug_coordination::once::{Command, Limits, Outcome, Table};
use serde::{Deserialize, Serialize};

use super::{Mismatch, check};

/// Commands in the order in which they were committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The steps.
    pub steps: Vec<Step>,
}

/// One command or a restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// A command and its expected outcome.
    Command {
        /// The command.
        command: Command,
        /// The expected outcome.
        expect: Outcome,
    },
    /// The state is written to a snapshot and read back.
    Restart,
}

impl Script {
    pub(super) fn replay(&self) -> Result<usize, Mismatch> {
        let mut table = Table::new(Limits::default());
        for (index, step) in self.steps.iter().enumerate() {
            match step {
                Step::Command { command, expect } => {
                    check(index, expect, &table.apply(command.clone()))?;
                }
                Step::Restart => {
                    let restored = Table::restore(&table.snapshot()).ok();
                    check(index, &Some(table.clone()), &restored)?;
                }
            }
        }
        Ok(self.steps.len())
    }
}
