//! The slot for the next attempt of a request: waits for one, or says why there is none.

use std::time::Duration;

use azurelug_core::gateway::fleet::{SelectionError, Versions};
use azurelug_types::id::ZoneName;
use tokio::time::Instant;

use super::{AttemptHistory, AttemptParams, RETRY_AFTER, is_out_of_time};
use crate::exchange::{Exchange, Failure};
use crate::gateway::{Slot, Wanted};
use crate::slots;

/// Longest wait for a free slot at a target, as a fraction of the latency objective.
const SLOT_WAIT_FRACTION: f64 = 0.35;

/// Shortest pause until a slot is searched for again.
const MIN_SLOT_PAUSE: Duration = Duration::from_millis(5);

/// `Retry-After` of a request beyond the share of its account. An earlier one would only add to what
/// the account asks for.
const SHARE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reserves a slot for the next attempt.
pub(super) async fn next_slot(
    exchange: &Exchange,
    params: &AttemptParams<'_>,
    history: &mut AttemptHistory,
    last: &Failure,
) -> Result<Slot, Failure> {
    if is_out_of_time(exchange) {
        return Err(deadline_failure(history));
    }
    if history.has_arrived && !exchange.gateway.take_retry_token(&exchange.service.name) {
        log::info!(
            "gateway: request {}: no repeat left in the budget",
            exchange.id
        );
        return Err(last.clone());
    }
    // What earlier stages or targets have done for a request would be wasted by a refusal.
    let has_work_done = !params.inputs.is_empty() || exchange.is_resumed() || history.is_counted;
    if !history.is_admitted && !has_work_done && !slots::admit(exchange) {
        let reason = "its account has its share of the slots";
        return Err(Failure::Refused(SHARE_RETRY_AFTER, reason));
    }
    history.is_admitted = true;
    let reserved = wait_for_slot(exchange, params.zone, history).await;
    if !history.is_counted && reserved.is_ok() {
        exchange.gateway.credit_retry_budget(&exchange.service.name);
        history.is_counted = true;
    }
    reserved.map_err(|failure| match (last, failure) {
        (_, failure) if !history.is_counted => failure,
        (Failure::Refused(after, reason), Failure::Refused(open, _)) => {
            Failure::Refused(open.max(*after), reason)
        }
        // The earlier failure tells more than the lack of another target.
        _ => last.clone(),
    })
}

/// Criteria for the target of the next attempt.
fn wanted<'a>(
    exchange: &'a Exchange,
    zone: &'a ZoneName,
    history: &'a AttemptHistory,
) -> Wanted<'a> {
    let versions = match &history.version {
        Some(version) => Versions::Only(version),
        None if exchange.route.kind.is_stream() => Versions::Registered,
        None => Versions::Any,
    };
    Wanted {
        service: &exchange.service,
        affinity: exchange.affinity(),
        zone,
        weights: &exchange.weights,
        tried: &history.tried,
        work: exchange.work(),
        versions,
    }
}

/// Reserves a slot for a retry if one is free now and the retry budget allows it.
pub async fn reserve_retry_slot(
    exchange: &Exchange,
    zone: &ZoneName,
    history: &AttemptHistory,
) -> Option<Slot> {
    if is_out_of_time(exchange) {
        return None;
    }
    let gateway = &exchange.gateway;
    let wanted = wanted(exchange, zone, history);
    let slot = gateway.reserve_permitted_slot(&wanted).await.ok()?;
    if !gateway.take_retry_token(&exchange.service.name) {
        slot.cancel();
        return None;
    }
    Some(slot)
}

fn deadline_failure(history: &AttemptHistory) -> Failure {
    if history.possible_runs == 0 {
        Failure::Refused(RETRY_AFTER, "the time is over")
    } else {
        Failure::TimedOut
    }
}

/// Reserves a slot at a target; waits for a short time if none is free.
async fn wait_for_slot(
    exchange: &Exchange,
    zone: &ZoneName,
    history: &AttemptHistory,
) -> Result<Slot, Failure> {
    let gateway = &exchange.gateway;
    let wait = exchange.route.latency_objective.mul_f64(SLOT_WAIT_FRACTION);
    let limit = gateway.now() + wait;
    loop {
        let wanted = wanted(exchange, zone, history);
        let unavailable = match gateway.reserve_permitted_slot(&wanted).await {
            Ok(slot) => return Ok(slot),
            Err(unavailable) => unavailable,
        };
        if matches!(unavailable, SelectionError::Full { .. }) {
            let service = &exchange.service.name;
            gateway.slots.record_shortage(service, gateway.now());
        }
        let left = limit.saturating_sub(gateway.now());
        let left = left.min(exchange.time_left());
        let pause = match unavailable {
            SelectionError::None => {
                return Err(Failure::Refused(
                    RETRY_AFTER * 2,
                    "the service has no target",
                ));
            }
            SelectionError::Blocked(pause) if pause > left => {
                let after = pause.max(RETRY_AFTER);
                return Err(Failure::Refused(after, "targets are held back"));
            }
            SelectionError::Full { .. } if left.is_zero() => {
                return Err(Failure::Refused(RETRY_AFTER, "targets are full"));
            }
            SelectionError::Blocked(pause) => pause,
            SelectionError::Full { opens_in } => opens_in.unwrap_or(left).min(left),
        };
        // Wakes when a slot becomes free or the pause ends.
        let pause = pause.max(MIN_SLOT_PAUSE);
        let limit = Instant::now() + pause;
        gateway.run_until(limit, gateway.wait_slot_freed()).await;
    }
}
