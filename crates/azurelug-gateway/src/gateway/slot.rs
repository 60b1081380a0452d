//! Slots at targets: their reservation and release.

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::{
    self, Key, Outcome, Placement, SelectionError, TargetQuery, Versions, Weights,
};
use azurelug_types::deployment::{Service, Target};
use azurelug_types::id::ZoneName;

use super::Gateway;
use crate::quarantine::Progress;
use crate::rollouts;

/// Targets that one request is refused a permit for before it counts as held back.
const MAX_PERMIT_REQUESTS: usize = 6;

/// Criteria for the target of a request.
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Service,
    /// Hash of the shared prompt prefix.
    pub affinity: Option<u64>,
    /// The preferred zone.
    pub zone: &'a ZoneName,
    /// Share of the route's requests for each zone.
    pub weights: &'a Weights,
    /// Targets that are not eligible.
    pub tried: &'a [Key],
    /// What is known of the request's work.
    pub work: Work,
    /// The eligible software versions.
    pub versions: Versions<'a>,
}

impl Gateway {
    fn fleet_bounds(&self, service: &Service) -> fleet::Bounds {
        fleet::Bounds {
            gateways: self.gateway_count(),
            cold_rate: service.cold_rate_limit,
            cold_limit: service.cold_rate_limit * self.bounds.cold_factor + self.bounds.cold_extra,
            slots: service.engine.map(|engine| engine.slots),
        }
    }

    /// This gateway's part of the slots of a service.
    pub fn slots_of(&self, service: &Service) -> f64 {
        let bounds = self.fleet_bounds(service);
        self.fleet().slots(&service.name, &bounds, self.now())
    }

    /// Reserves a slot at a target for a request.
    ///
    /// # Errors
    /// Why no target is available.
    fn reserve_slot(self: &Arc<Self>, wanted: &Wanted<'_>) -> Result<Slot, SelectionError> {
        let wanted = TargetQuery {
            service: &wanted.service.name,
            affinity: wanted.affinity,
            zone: wanted.zone,
            weights: wanted.weights,
            tried: wanted.tried,
            bounds: self.fleet_bounds(wanted.service),
            work: wanted.work,
            versions: wanted.versions,
        };
        let now = self.now();
        let mut fleet = self.fleet();
        let placement = fleet.place(&wanted, rand::random(), now)?;
        let target = fleet.target(placement.key).clone();
        drop(fleet);
        if placement.has_left_preferred {
            self.record_left(&target);
        }
        Ok(Slot {
            gateway: Arc::clone(self),
            key: placement.key,
            placement,
            is_settled: false,
            target,
            sent: now,
            outcome: Outcome::Unknown,
            is_cancelled: false,
            subject: 0,
            is_started: false,
            progress: Arc::default(),
        })
    }

    /// Reserves a slot at a target for a request, together with a permit if the target has a limit.
    /// Targets without a permit are passed over.
    ///
    /// # Errors
    /// Why no target is available.
    pub async fn reserve_permitted_slot(
        self: &Arc<Self>,
        wanted: &Wanted<'_>,
    ) -> Result<Slot, SelectionError> {
        let mut shortest_wait = Duration::MAX;
        for _ in 0..MAX_PERMIT_REQUESTS {
            let slot = self.reserve_slot(wanted)?;
            match self.acquire_permit(&slot.target.name).await {
                Ok(()) => return Ok(slot),
                Err(wait) => shortest_wait = shortest_wait.min(wait),
            }
            slot.cancel();
        }
        // The request may get a permit for one of the remaining targets.
        Err(SelectionError::Full {
            opens_in: Some(shortest_wait),
        })
    }
}

/// Why a request is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// The first attempt of a client's request.
    First,
    /// A further attempt.
    Repeat,
    /// A further attempt that continues a stream.
    Resume,
    /// A call that runs pieces of stages.
    Pieces,
    /// A call that releases results.
    Release,
}

impl SendKind {
    /// Returns the name for log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Repeat => "repeat",
            Self::Resume => "resume",
            Self::Pieces => "pieces",
            Self::Release => "release",
        }
    }
}

/// A request's reserved slot at a target. Dropping it releases the slot.
pub struct Slot {
    gateway: Arc<Gateway>,
    /// The target's key in the fleet.
    pub key: Key,
    /// The target that the slot belongs to.
    pub target: Target,
    sent: Duration,
    placement: Placement,
    /// Whether the fleet knows the time until the answer began, or that there was none.
    is_settled: bool,
    outcome: Outcome,
    is_cancelled: bool,
    /// Identifies the route and the kind of the request.
    pub subject: u64,
    /// Whether the start of an answer has been counted.
    is_started: bool,
    /// Evidence about the request's prompt parts.
    pub progress: Arc<Progress>,
}

impl Slot {
    /// Time since the slot was reserved.
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.sent)
    }

    /// When the slot was reserved.
    pub fn reserved_at(&self) -> Duration {
        self.sent
    }

    /// Sets the outcome that is reported to the target's health record on release.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        match outcome {
            Outcome::Answered(first) => self.settle(Some(first)),
            _ => self.settle(None),
        }
        if outcome == Outcome::Full {
            let (service, now) = (&self.target.service, self.gateway.now());
            self.gateway.slots.record_shortage(service, now);
        }
    }

    fn settle(&mut self, answered: Option<Duration>) {
        if !std::mem::replace(&mut self.is_settled, true) {
            let now = self.gateway.now();
            self.gateway.fleet().settle(&self.placement, answered, now);
        }
    }

    /// Sets that a stream has started, and counts its response time.
    pub fn set_started(&mut self, first: Duration) {
        self.set_outcome(Outcome::Answered(first));
        self.count(self.outcome);
        self.is_started = true;
    }

    /// Counts an outcome for the version of the target.
    fn count(&self, outcome: Outcome) {
        if let Some(observation) = rollouts::observation(outcome, self.is_started) {
            self.gateway
                .record_attempt_outcome(self.key, self.subject, observation);
        }
    }

    /// Releases the slot.
    pub fn release(self) {}

    /// Releases the slot of a request that was not sent.
    pub fn cancel(mut self) {
        self.is_cancelled = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.settle(None);
        let now = self.gateway.now();
        if self.is_cancelled {
            self.gateway.fleet().cancelled(self.key, now);
        } else {
            let outcome = self.gateway.close_attempt(&self.progress, self.outcome);
            self.count(outcome);
            if matches!(outcome, Outcome::Answered(_)) {
                let (service, duration) = (&self.target.service, self.elapsed());
                self.gateway.slots.record_duration(service, duration, now);
            }
            self.gateway.fleet().finished(self.key, outcome, now);
        }
        self.gateway.slot_freed.notify_one();
    }
}
