//! One modelled request, and the results of a run.

use std::time::Duration;

use azurelug_core::admission::Ticket;
use azurelug_core::routing::CallKey;
use azurelug_types::config::StageKind;
use azurelug_types::id::TargetKey;

use crate::breakdown::Breakdown;
use crate::model::KINDS;

/// The goal for the first token's p95.
const FIRST_TOKEN: Duration = Duration::from_secs(2);

pub(crate) struct Request {
    pub(crate) daemon: usize,
    pub(crate) short: bool,
    pub(crate) arrived: Duration,
    pub(crate) kind: usize,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) call: Option<(CallKey, usize, Duration, Duration)>,
    pub(crate) attempt: u32,
    pub(crate) tried: Vec<TargetKey>,
    pub(crate) spent: [f64; KINDS],
    pub(crate) first_token: Option<Duration>,
    pub(crate) ended: bool,
    pub(crate) admitted: Option<Duration>,
    /// Since when it wants a slot.
    pub(crate) since: Duration,
    /// Time without a slot, by stage.
    pub(crate) waits: [Duration; KINDS],
    /// Why it ended without an answer.
    pub(crate) why: &'static str,
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
            spent: [0.0; KINDS],
            first_token: None,
            ended: false,
            admitted: None,
            since: now,
            waits: [Duration::ZERO; KINDS],
            why: "deadline",
        }
    }

    /// Adds why it failed, or where it waited if its first token was late.
    pub(crate) fn explain(&self, met: bool, refused: bool, causes: &mut Breakdown) {
        if !met {
            let why = if refused { "refused" } else { self.why };
            causes.add(
                format!("miss, {why} {}", self.name()),
                self.spent.iter().sum(),
            );
        }
        if self.first_token.is_some_and(|it| it > FIRST_TOKEN) {
            let waits = [
                (
                    "in admission",
                    self.admitted.unwrap_or(self.arrived) - self.arrived,
                ),
                ("for slots", self.waits.iter().sum()),
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
pub(crate) struct Result {
    /// Arrival second, met its deadline, was refused, first-token time.
    pub(crate) requests: Vec<(f64, bool, bool, Option<f64>)>,
    pub(crate) useful: [f64; KINDS],
    pub(crate) wasted: [f64; KINDS],
    pub(crate) above_cold: u32,
    /// Wasted calls, missed deadlines, and where late first tokens waited.
    pub(crate) causes: Breakdown,
}
