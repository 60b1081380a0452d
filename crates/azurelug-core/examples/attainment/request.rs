//! One simulated request, and the results of a run.

use std::time::Duration;

use azurelug_core::admission::Ticket;
use azurelug_core::routing::CallKey;
use azurelug_types::config::StageKind;
use azurelug_types::id::TargetKey;

use crate::breakdown::Breakdown;
use crate::model::KINDS;

/// Target for the p95 of the time to the first token.
const FIRST_TOKEN_GOAL: Duration = Duration::from_secs(2);

pub(crate) struct Request {
    pub(crate) daemon: usize,
    pub(crate) short: bool,
    pub(crate) arrived: Duration,
    pub(crate) kind: usize,
    pub(crate) ticket: Option<Ticket>,
    /// The running call: its key, target, start, and time from the start to the first token.
    pub(crate) call: Option<(CallKey, usize, Duration, Duration)>,
    pub(crate) attempt: u32,
    /// Targets that the current stage has been sent to.
    pub(crate) tried: Vec<TargetKey>,
    /// Slot-seconds of the successful calls, by stage.
    pub(crate) slot_seconds: [f64; KINDS],
    pub(crate) first_token: Option<Duration>,
    pub(crate) ended: bool,
    pub(crate) admitted: Option<Duration>,
    /// When it began to wait for a slot of its current stage.
    pub(crate) waiting_since: Duration,
    /// Time spent waiting for a slot, by stage.
    pub(crate) slot_waits: [Duration; KINDS],
    /// The cause if it ends without an answer.
    pub(crate) failure_cause: &'static str,
}

impl Request {
    pub(crate) fn new(daemon: usize, short: bool, now: Duration) -> Self {
        Self {
            daemon,
            short,
            arrived: now,
            kind: 0,
            ticket: None,
            call: None,
            attempt: 0,
            tried: Vec::new(),
            slot_seconds: [0.0; KINDS],
            first_token: None,
            ended: false,
            admitted: None,
            waiting_since: now,
            slot_waits: [Duration::ZERO; KINDS],
            failure_cause: "deadline",
        }
    }

    /// Records the cause of a missed deadline, and the waiting times if the first token was late.
    pub(crate) fn record_causes(&self, met: bool, refused: bool, causes: &mut Breakdown) {
        if !met {
            let cause = if refused {
                "refused"
            } else {
                self.failure_cause
            };
            causes.add(
                format!("miss, {cause} {}", self.name()),
                self.slot_seconds.iter().sum(),
            );
        }
        if self.first_token.is_some_and(|it| it > FIRST_TOKEN_GOAL) {
            let waits = [
                (
                    "in admission",
                    self.admitted.unwrap_or(self.arrived) - self.arrived,
                ),
                ("for slots", self.slot_waits.iter().sum()),
            ];
            for (place, wait) in waits {
                causes.add(format!("late first token, {place}"), wait.as_secs_f64());
            }
        }
    }

    pub(crate) fn name(&self) -> String {
        let length = if self.short { "short" } else { "long" };
        format!("{length} {}", StageKind::ALL[self.kind].as_str())
    }
}

#[derive(Default, Clone)]
pub(crate) struct RunResult {
    /// For each request: arrival time in seconds, whether it met its deadline, whether it was
    /// refused, and the time to its first token in seconds.
    pub(crate) requests: Vec<(f64, bool, bool, Option<f64>)>,
    pub(crate) useful: [f64; KINDS],
    pub(crate) wasted: [f64; KINDS],
    pub(crate) above_cold_limit: u32,
    /// Causes of wasted calls and missed deadlines, and the waiting times before late first tokens.
    pub(crate) causes: Breakdown,
}
