//! Dependencies between the stages of a request, and the due time of each stage.

use std::time::Duration;

use azurelug_types::deployment::{Deployment, Route, Service, Stage};
use azurelug_types::id::ZoneName;

/// The stages of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The stages, in the order of the route.
    pub steps: Vec<Step>,
    /// Typical time from the arrival to the first event of the answer when no stage is overloaded.
    pub usual: Duration,
    /// Whether orders wait for longer than a call in front of a stage that follows another one.
    pub is_queued: bool,
}

/// One stage of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of pieces; 0 if the request skips the stage.
    pub pieces: u16,
    /// Positions of the stages whose results it needs, without those that are skipped.
    pub after: Vec<u8>,
    /// Typical time from the end of this stage to the first event of the answer.
    pub rest: Duration,
    /// Whether its results go to the model engine because no other stage uses them.
    pub is_last: bool,
}

/// Typical time to the first event of a model engine that also serves a few other requests.
const ENGINE_FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// Minimum wait before a call of a stage starts, as a fraction of the call. With several targets,
/// one becomes free every few dozen milliseconds.
const MIN_WAIT_FRACTION: f64 = 0.3;

/// Typical fill level of a call, as a fraction of its maximum number of pieces.
const TYPICAL_FILL: f64 = 0.6;

/// Safety margin before the time at which results are needed. The times of calls and transfers
/// vary, so results without a margin would be late half of the time.
const DUE_MARGIN: Duration = Duration::from_millis(80);

/// Fraction of a request's time limit after which it is refused if its stages have not finished, so
/// that the client has time to retry.
const MAX_STAGES_FRACTION: f64 = 0.5;

/// Longest `Retry-After` that clients honour, as a fraction of their remaining time.
pub const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// Shortest time for which a request may be admitted, as a multiple of the usual time of its path:
/// shorter queues would not fill calls.
const USUAL_FACTOR: f64 = 1.2;

/// Fraction of the time that a returning client has left for which requests are admitted. The rest
/// covers the work of the highest value, which may exceed the targets' time, and transfers.
const PLANNED_FRACTION: f64 = 0.8;

/// The times that bound a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Arrival.
    pub arrived: Duration,
    /// When the answer is due by the latency objective.
    pub due: Duration,
    /// When the client gives up.
    pub deadline: Duration,
    /// Time limit of the route.
    pub limit: Duration,
    /// Whether the client has a part of the answer already. It has waited for longer than others, and
    /// a refusal leaves it too little time to return.
    pub is_resumed: bool,
}

impl Bounds {
    /// Part of the objective that has to be left to a refused client for its return, or that the
    /// client has already lost by an earlier attempt.
    fn reserve(&self) -> Duration {
        let left = self.deadline.saturating_sub(self.arrived);
        let lost = self.limit.saturating_sub(left);
        lost.max(self.limit.mul_f64(MAX_RETRY_AFTER_FRACTION))
    }

    /// Time by which a stage must be done that is followed by steps that take `rest`. It is never
    /// before the time at which the stage is due by the objective: orders are admitted by their due
    /// times, so an earlier end would make targets run pieces whose request is given up.
    #[must_use]
    pub fn give_up_at(&self, rest: Duration) -> Duration {
        let limit = self.deadline.saturating_sub(self.arrived);
        let fraction = if self.is_resumed {
            1.0
        } else {
            MAX_STAGES_FRACTION
        };
        let give_up = self.arrived + limit.mul_f64(fraction);
        let due = self.due.saturating_sub(rest);
        self.deadline.saturating_sub(rest).min(give_up.max(due))
    }
}

/// The request has a different number of stages than its route.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the request has {found} piece counts, its route has {expected} stages; send one for each stage"
)]
pub struct Mismatch {
    /// Number of stages of the route.
    pub expected: usize,
    /// Number of piece counts in the request.
    pub found: usize,
}

impl Plan {
    /// Plans the stages of a request with the given numbers of pieces. `wait` returns the current
    /// queueing delay of a service.
    ///
    /// # Errors
    /// `pieces` does not have one number for each stage.
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
            let dependents = dependents(route, position);
            steps.push(Step {
                pieces: pieces[position],
                after: needed_stages(stage, pieces),
                rest: Duration::ZERO,
                is_last: dependents.is_empty(),
            });
        }
        let times: Vec<Duration> = (0..steps.len())
            .map(|position| match pieces[position] {
                0 => Duration::ZERO,
                _ => typical_time(deployment.service(route.stages[position].service), &wait),
            })
            .collect();
        let usual = longest_path(deployment, route, pieces);
        // One pass for each stage is enough for the longest path, whatever the order of stages.
        for position in (0..steps.len())
            .rev()
            .cycle()
            .take(steps.len() * steps.len())
        {
            let rest = dependents(route, position).into_iter();
            let rest = rest.map(|dependent| steps[dependent].rest + times[dependent]);
            steps[position].rest = rest.max().unwrap_or(ENGINE_FIRST_EVENT_TIME);
        }
        let is_queued = steps.iter().enumerate().any(|(position, step)| {
            let service = deployment.service(route.stages[position].service);
            let call = service.batch.map_or(Duration::ZERO, |it| it.call_time);
            step.pieces > 0 && !step.after.is_empty() && wait(service) > call
        });
        Ok(Self {
            steps,
            usual,
            is_queued,
        })
    }

    /// Time at which a stage has to be done for its request to be admitted. If a refused client can
    /// return and still be in time, it is earlier than the time at which the stage is due: a longer
    /// queue in front of a stage does not serve more requests, and makes returning clients late.
    #[must_use]
    pub fn admission_due(&self, position: usize, bounds: &Bounds) -> Duration {
        let due = self.due(position, bounds.due);
        let planned = self.early_objective(bounds);
        planned.map_or(due, |planned| {
            due.min(self.due(position, bounds.arrived + planned))
        })
    }

    /// Whether the bookings of later stages have to be confirmed before the first stages start.
    /// Load pattern: in a burst most bookings are refused, and the first stages of the refused
    /// requests would have run for nothing.
    #[must_use]
    pub fn books_first(&self, bounds: &Bounds) -> bool {
        self.is_queued && self.early_objective(bounds).is_some()
    }

    /// Time within which a request must be served to be admitted, if a refused client has the time
    /// to return. None for routes whose objective is below the time at which stages are given up:
    /// no queue forms there that is longer than their requests can wait.
    fn early_objective(&self, bounds: &Bounds) -> Option<Duration> {
        let objective = bounds.due.saturating_sub(bounds.arrived);
        if objective <= bounds.limit.mul_f64(MAX_STAGES_FRACTION) {
            return None;
        }
        let returned = objective.saturating_sub(bounds.reserve());
        let shortest = self.usual.mul_f64(USUAL_FACTOR);
        (returned >= shortest).then(|| returned.mul_f64(PLANNED_FRACTION).max(shortest))
    }

    /// Bytes that the targets of a stage fetch. Every piece fetches all results the stage needs.
    #[must_use]
    pub fn input_bytes(&self, position: usize, route: &Route) -> u64 {
        let step = &self.steps[position];
        let inputs = step.after.iter().map(|&it| usize::from(it));
        let bytes = inputs.map(|it| self.result_bytes(it, route));
        u64::from(step.pieces) * bytes.sum::<u64>()
    }

    /// Total size of the results of a stage.
    #[must_use]
    pub fn result_bytes(&self, position: usize, route: &Route) -> u64 {
        u64::from(self.steps[position].pieces) * route.stages[position].result_bytes
    }

    /// Zone in which a stage that has not started is best run, and the bytes that cross zones if it
    /// runs in another one: the zone that is expected to hold most of its inputs if they are larger
    /// than its results, otherwise the zone of the engine. `zones` has the expected zones of the
    /// stages before it.
    #[must_use]
    pub fn expected_zone<'a>(
        &self,
        position: usize,
        route: &Route,
        zones: &'a [ZoneName],
        engine: &'a ZoneName,
    ) -> (&'a ZoneName, u64) {
        let fetched = self.input_bytes(position, route);
        let produced = self.result_bytes(position, route);
        let inputs = self.steps[position].after.iter();
        let inputs = inputs.map(|&it| usize::from(it));
        let largest = inputs.max_by_key(|&it| self.result_bytes(it, route));
        match largest.and_then(|it| zones.get(it)) {
            Some(zone) if fetched > produced => (zone, fetched),
            _ => (engine, produced),
        }
    }

    /// Time at which the results of a stage are needed for an answer that is due at `due`.
    #[must_use]
    pub fn due(&self, position: usize, due: Duration) -> Duration {
        due.saturating_sub(self.steps[position].rest + DUE_MARGIN)
    }
}

/// Time of the longest path through the stages without queues.
fn longest_path(deployment: &Deployment, route: &Route, pieces: &[u16]) -> Duration {
    let mut ends = vec![Duration::ZERO; pieces.len()];
    for _ in 0..pieces.len() {
        for (position, stage) in route.stages.iter().enumerate() {
            let before = stage.after.iter().map(|&it| ends[usize::from(it)]).max();
            let own = match pieces[position] {
                0 => Duration::ZERO,
                _ => typical_time(deployment.service(stage.service), |_| Duration::ZERO),
            };
            ends[position] = before.unwrap_or_default() + own;
        }
    }
    ends.into_iter().max().unwrap_or_default() + ENGINE_FIRST_EVENT_TIME
}

fn needed_stages(stage: &Stage, pieces: &[u16]) -> Vec<u8> {
    let needed = stage.after.iter().copied();
    needed.filter(|&it| pieces[usize::from(it)] > 0).collect()
}

fn dependents(route: &Route, position: usize) -> Vec<usize> {
    let stages = route.stages.iter().enumerate();
    let follows = stages.filter(|(_, it)| it.after.iter().any(|&a| usize::from(a) == position));
    follows.map(|(at, _)| at).collect()
}

/// Typical time of one stage: the wait for a call and the call itself.
fn typical_time(service: &Service, wait: impl Fn(&Service) -> Duration) -> Duration {
    let Some(batch) = service.batch else {
        return Duration::ZERO;
    };
    let call = batch.call_time
        + batch
            .piece_time
            .mul_f64(batch.max_pieces as f64 * TYPICAL_FILL);
    wait(service).max(call.mul_f64(MIN_WAIT_FRACTION)) + call
}
