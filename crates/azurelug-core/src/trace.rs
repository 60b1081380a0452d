//! Recorded traces with stated outcomes, replayed through the modules that the daemons run.
//!
//! A trace is a file with events and what must follow from each. Replaying reads no clock and draws
//! random numbers only from the trace's seed, so that a trace has the same result everywhere.

pub mod configuration;
pub mod once;
pub mod pipeline;
pub mod routing;

use serde::{Deserialize, Serialize};

/// One trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The guarantee of docs/design.md, section 2, that the trace attacks, such as `P1`.
    pub guarantee: String,
    /// The failure that it guards against.
    pub failure: String,
    /// Where it was recorded, or that it was written by hand.
    pub source: String,
    /// Events and outcomes.
    pub body: Body,
}

/// The events of a trace, by the module that they go to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// One request through its pipeline.
    Pipeline(pipeline::Script),
    /// Patches.
    Configuration(configuration::Script),
    /// Calls that must not repeat.
    Once(once::Script),
    /// Choices of targets.
    Routing(routing::Script),
}

/// A step whose outcome is not the stated one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step {step}: expected {expected}, got {got}")]
pub struct Mismatch {
    /// The step, from 0.
    pub step: usize,
    /// The stated outcome.
    pub expected: String,
    /// What happened.
    pub got: String,
}

impl Trace {
    /// Replays the trace; returns the number of its steps.
    ///
    /// # Errors
    /// The first step whose outcome is not the stated one.
    pub fn replay(&self) -> Result<usize, Mismatch> {
        match &self.body {
            Body::Pipeline(script) => script.replay(),
            Body::Configuration(script) => script.replay(),
            Body::Once(script) => script.replay(),
            Body::Routing(script) => script.replay(),
        }
    }
}

/// Compares an outcome with the stated one by their debug texts.
fn check<T: std::fmt::Debug + PartialEq>(
    step: usize,
    expected: &T,
    got: &T,
) -> Result<(), Mismatch> {
    if expected == got {
        return Ok(());
    }
    Err(Mismatch {
        step,
        expected: format!("{expected:?}"),
        got: format!("{got:?}"),
    })
}
