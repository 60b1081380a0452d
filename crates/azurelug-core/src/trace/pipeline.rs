//! Traces of one request through its pipeline.

use azurelug_types::config::{ModelRef, Pipeline, Stage, StageKind};
use azurelug_types::id::{ModelName, RequestId};
use serde::{Deserialize, Serialize};

use super::{Mismatch, check};
use crate::pipeline::{Action, Event, RequestRun};

/// The events of one request and the expected actions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The request's id.
    pub request: String,
    /// The pipeline's stages.
    pub stages: Vec<StageKind>,
    /// The caller's input.
    pub input: String,
    /// The expected actions at the start, written as in [`Step::expect`].
    pub start: Vec<String>,
    /// Events in order of arrival.
    pub steps: Vec<Step>,
    /// The whole text that the client must have received at the end.
    pub text: String,
}

/// One event and the expected actions, each as one text, for instance `dispatch r/1/0 from 0`,
/// `deliver 3`, `cancel r/0/1`, `reject r/0/1`, `waste 0`, `complete`, `fail StageFailed`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The event.
    pub event: Event,
    /// The expected actions.
    pub expect: Vec<String>,
}

impl Script {
    pub(super) fn replay(&self) -> Result<usize, Mismatch> {
        let model = ModelRef {
            model: ModelName::from("m"),
            adapter: None,
            version: "1".to_owned(),
        };
        let stage = |kind: &StageKind| Stage {
            kind: *kind,
            model: model.clone(),
        };
        let pipeline = Pipeline {
            stages: self.stages.iter().map(stage).collect(),
        };
        let request = RequestId(self.request.clone());
        let (mut run, actions) = RequestRun::start(request, &pipeline, self.input.clone());
        let mut text = String::new();
        check(0, &self.start, &describe(&actions, &mut text))?;
        for (index, step) in self.steps.iter().enumerate() {
            let actions = run.step(step.event.clone());
            check(index + 1, &step.expect, &describe(&actions, &mut text))?;
        }
        check(self.steps.len(), &self.text, &text)?;
        Ok(self.steps.len())
    }
}

fn describe(actions: &[Action], text: &mut String) -> Vec<String> {
    let describe = |action: &Action| match action {
        Action::Dispatch {
            call, resume_from, ..
        } => format!("dispatch {call} from {resume_from}"),
        Action::Deliver(token) => {
            text.push_str(&token.text);
            format!("deliver {}", token.index)
        }
        Action::Cancel(call) => format!("cancel {call}"),
        Action::Reject(call) => format!("reject {call}"),
        Action::CountWasted(stage) => format!("waste {}", stage.0),
        Action::Complete => "complete".to_owned(),
        Action::Fail { reason, .. } => format!("fail {reason:?}"),
    };
    actions.iter().map(describe).collect()
}
