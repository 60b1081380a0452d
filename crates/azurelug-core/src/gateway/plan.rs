//! The order of a request's stages, and the time that each may take.

use std::time::Duration;

use azurelug_types::deployment::{Deployment, Route, Service, Stage};

/// The stages of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The stages, in the route's order.
    pub steps: Vec<Step>,
}

/// One stage of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its pieces; 0 if the request leaves it out.
    pub pieces: u16,
    /// Positions of the stages whose results it needs and that are not left out.
    pub after: Vec<u8>,
    /// Usual time from the end of this stage until the first event of the answer.
    pub rest: Duration,
    /// Whether its results go to the model engine, because no other stage uses them.
    pub is_last: bool,
}

/// Usual time of a model engine until its first event, beside a few other requests.
const ENGINE_TIME: Duration = Duration::from_millis(120);

/// The least wait before a call of a stage starts, in parts of the call: with several targets one
/// becomes free every few dozen milliseconds.
const STAGE_WAIT: f64 = 0.3;

/// The usual share of a call's room for pieces that is filled.
const USUAL_FILL: f64 = 0.6;

/// How much earlier than needed results are asked for. Calls and transfers take a little longer or
/// shorter than usual, and what is planned to the last moment comes late half of the time.
const MARGIN: Duration = Duration::from_millis(80);

/// Why the pieces of a request don't fit its route.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the request names {found} stages, its route has {expected}; send one number for each stage"
)]
pub struct Mismatch {
    /// Stages of the route.
    pub expected: usize,
    /// Numbers in the request.
    pub found: usize,
}

impl Plan {
    /// Plans the stages of a request that has these numbers of pieces. `wait` tells how long work
    /// of a service waits at present.
    ///
    /// # Errors
    /// There isn't one number for each stage.
    pub fn new(
        deployment: &Deployment,
        route: &Route,
        pieces: &[u16],
        wait: impl Fn(&Service) -> Duration,
    ) -> Result<Self, Mismatch> {
        if pieces.len() != route.stages.len() {
            return Err(Mismatch {
                expected: route.stages.len(),
                found: pieces.len(),
            });
        }
        let mut steps: Vec<Step> = Vec::with_capacity(pieces.len());
        for (position, stage) in route.stages.iter().enumerate() {
            let followers = followers(route, position);
            steps.push(Step {
                pieces: pieces[position],
                after: used(stage, pieces),
                rest: Duration::ZERO,
                is_last: followers.is_empty(),
            });
        }
        let times: Vec<Duration> = (0..steps.len())
            .map(|position| match pieces[position] {
                0 => Duration::ZERO,
                _ => usual_time(deployment.service(route.stages[position].service), &wait),
            })
            .collect();
        // One pass for each stage settles the longest path, in whatever order the route lists them.
        for position in (0..steps.len())
            .rev()
            .cycle()
            .take(steps.len() * steps.len())
        {
            let rest = followers(route, position).into_iter();
            let rest = rest.map(|follower| steps[follower].rest + times[follower]);
            steps[position].rest = rest.max().unwrap_or(ENGINE_TIME);
        }
        Ok(Self { steps })
    }

    /// Bytes that the targets of a stage fetch. Each piece fetches all results that the stage needs.
    #[must_use]
    pub fn input_bytes(&self, position: usize, route: &Route) -> u64 {
        let step = &self.steps[position];
        let inputs = step.after.iter().map(|&it| usize::from(it));
        let bytes = inputs.map(|it| self.result_bytes(it, route));
        u64::from(step.pieces) * bytes.sum::<u64>()
    }

    /// Bytes of all results of a stage.
    #[must_use]
    pub fn result_bytes(&self, position: usize, route: &Route) -> u64 {
        u64::from(self.steps[position].pieces) * route.stages[position].result_bytes
    }

    /// When the results of a stage are needed for an answer that is due at `due`.
    #[must_use]
    pub fn due(&self, position: usize, due: Duration) -> Duration {
        due.saturating_sub(self.steps[position].rest + MARGIN)
    }
}

fn used(stage: &Stage, pieces: &[u16]) -> Vec<u8> {
    let needed = stage.after.iter().copied();
    needed.filter(|&it| pieces[usize::from(it)] > 0).collect()
}

fn followers(route: &Route, position: usize) -> Vec<usize> {
    let stages = route.stages.iter().enumerate();
    let follows = stages.filter(|(_, it)| it.after.iter().any(|&a| usize::from(a) == position));
    follows.map(|(at, _)| at).collect()
}

/// Usual time of one stage: the wait for a call and the call itself.
fn usual_time(service: &Service, wait: impl Fn(&Service) -> Duration) -> Duration {
    let Some(batch) = service.batch else {
        return Duration::ZERO;
    };
    let call = batch.call_time
        + batch
            .piece_time
            .mul_f64(batch.max_pieces as f64 * USUAL_FILL);
    wait(service).max(call.mul_f64(STAGE_WAIT)) + call
}
