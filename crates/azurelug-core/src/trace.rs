//! Recorded traces with expected outcomes, replayed through the modules that the daemons run.
//!
//! A trace is a file with events and the expected outcome of each. A replay reads no clock and
//! draws random numbers only from the trace's seed, so that a trace has the same result on every
//! machine.

pub mod configuration;
pub mod once;
pub mod pipeline;
pub mod routing;

use serde::{Deserialize, Serialize};

/// One trace file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// The guarantee of docs/design.md, section 2, that the trace tests, such as `P1`.
    pub guarantee: String,
    /// The failure that it guards against.
    pub failure: String,
    /// Where it was recorded, or that it was written by hand.
    pub source: String,
    /// The events and their expected outcomes.
    pub body: Body,
}

/// The events of a trace, by the module that handles them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// One request through its pipeline.
    Pipeline(pipeline::Script),
    /// Patches of the configuration.
    Configuration(configuration::Script),
    /// Commands for the records of calls that run at most once.
    Once(once::Script),
    /// Choices of targets.
    Routing(routing::Script),
}

/// A step whose outcome differs from the expected one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step {step}: expected {expected}, got {got}")]
pub struct Mismatch {
    /// The index of the step, starting at 0.
    pub step: usize,
    /// The expected outcome.
    pub expected: String,
    /// The actual outcome.
    pub got: String,
}

impl Trace {
    /// Replays the trace; returns the number of its steps.
    ///
    /// # Errors
    /// The first step whose outcome differs from the expected one.
    pub fn replay(&self) -> Result<usize, Mismatch> {
        match &self.body {
            Body::Pipeline(script) => script.replay(),
            Body::Configuration(script) => script.replay(),
            Body::Once(script) => script.replay(),
            Body::Routing(script) => script.replay(),
        }
    }
}

/// Compares an outcome with the expected one.
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
