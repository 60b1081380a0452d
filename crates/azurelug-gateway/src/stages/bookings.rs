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
        let mut zones: Vec<ZoneName> = Vec::with_capacity(plan.steps.len());
        let mut bookings = Vec::new();
        for (position, step) in plan.steps.iter().enumerate() {
            let (near, bytes) = plan.expected_zone(position, &exchange.route, &zones, home);
            let stage = &exchange.route.stages[position];
            let service = &exchange.table.service(stage.service).name;
            let scope = scopes(exchange, service, near, bytes).into_iter().next();
            let zone = scope.clone().flatten().unwrap_or_else(|| near.clone());
            zones.push(zone);
            let is_late = plan.due(position, exchange.due_at()) <= now;
            let is_later = step.pieces > 0 && !step.after.is_empty();
            let Some(scope) = scope.filter(|_| is_later && !is_late) else {
                continue;
            };
            let due = plan.admission_due(position, &bounds(exchange));
            bookings.push(Booking {
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
            });
        }
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
