//! Bookings of the later stages of a request.

use std::sync::Arc;

use azurelug_core::gateway::plan::Plan;
use azurelug_core::gateway::rendezvous;
use azurelug_types::fleet::Booking;
use azurelug_types::id::ZoneName;
use futures_util::stream::{FuturesUnordered, StreamExt};

use super::{bounds, millis, overload_retry_after, refusal, scopes, stage_time_left};
use crate::exchange::{Exchange, Failure};
use crate::metrics::StageEnd;
use crate::peers::Scope;

/// Target time that dispatchers have reserved for a request's later stages. It is cancelled if this
/// is dropped before the stages have finished.
pub(super) struct Bookings<'a> {
    exchange: &'a Exchange,
    bookings: Vec<Booking>,
}

impl<'a> Bookings<'a> {
    /// Creates bookings for all stages that follow another one, unless the request is already late.
    /// Each is made at one group of targets only, because in a burst the others are as loaded.
    pub(super) fn new(exchange: &'a Exchange, plan: &Plan, home: &ZoneName) -> Self {
        let now = exchange.gateway.now();
        let steps = plan.steps.iter().enumerate();
        let later = steps.filter(|(_, step)| step.pieces > 0 && !step.after.is_empty());
        let bookings = later.filter_map(|(position, step)| {
            let is_late = plan.due(position, exchange.due_at()) <= now;
            let due = plan.admission_due(position, &bounds(exchange));
            let stage = &exchange.route.stages[position];
            let service = &exchange.table.service(stage.service).name;
            let bytes = plan.result_bytes(position, &exchange.route);
            let scope = scopes(exchange, service, home, bytes).into_iter().next()?;
            (!is_late).then(|| Booking {
                service: service.clone(),
                scope,
                request: exchange.id.clone(),
                stage: u8::try_from(position).unwrap_or(u8::MAX),
                kind: rendezvous::weight(&exchange.route.name, &position),
                pieces: step.pieces,
                rank: exchange.rank,
                worth: exchange.value_rank,
                due_ms: millis(due.saturating_sub(now)),
                deadline_ms: millis(stage_time_left(exchange, step.rest)),
                account: exchange.account_hash(),
                digest: 0,
            })
        });
        let bookings = bookings.collect();
        Self { exchange, bookings }
    }

    /// The group of targets at which a stage is booked.
    pub(super) fn scope(&self, stage: u8) -> Option<&Scope> {
        let booking = self.bookings.iter().find(|it| it.stage == stage);
        booking.map(|it| &it.scope)
    }

    pub(super) async fn book(&self) -> Result<(), Failure> {
        let gateway = &self.exchange.gateway;
        let pending = self.bookings.iter();
        let pending = pending.map(|booking| gateway.peers.book(gateway, booking.clone()));
        let mut pending: FuturesUnordered<_> = pending.collect();
        while let Some(booked) = pending.next().await {
            booked.map_err(|after| {
                let after = overload_retry_after(self.exchange, after);
                let reason = StageEnd::LaterStageOverloaded;
                refusal(self.exchange, reason, after)
            })?;
        }
        Ok(())
    }

    /// Ends the bookings without cancelling them: the finished stages' orders have used them.
    pub(super) fn close(mut self) {
        self.bookings.clear();
    }
}

impl Drop for Bookings<'_> {
    fn drop(&mut self) {
        if self.bookings.is_empty() {
            return;
        }
        let gateway = Arc::clone(&self.exchange.gateway);
        let bookings = std::mem::take(&mut self.bookings);
        tokio::spawn(async move {
            gateway.peers.unbook(&gateway, &bookings).await;
        });
    }
}
