//! Runs the stages of a request in the order of its plan.

mod bookings;

use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::plan::{Bounds, MAX_RETRY_AFTER_FRACTION, Plan};
use azurelug_core::gateway::rendezvous;
use azurelug_types::deployment::Service;
use azurelug_types::fleet::{Peer, Pieces, PiecesEnd, PiecesError, Source};
use azurelug_types::id::{ServiceName, ZoneName};
use bookings::Bookings;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rand::RngExt;

use crate::exchange::{Exchange, Failure};
use crate::gateway::Gateway;
use crate::metrics::StageEnd;
use crate::peers::Scope;

/// Cost of using another zone, as a delay per megabyte of results: transfers between zones are
/// slower, and they are billed.
const ZONE_CROSSING_COST_PER_MB: Duration = Duration::from_millis(40);

/// Fixed part of the cost of using another zone.
const ZONE_CROSSING_COST: Duration = Duration::from_millis(40);

/// Handles of the results that a request holds. Dropping this releases them, also when the client
/// has disconnected.
pub struct HeldResults {
    gateway: Arc<Gateway>,
    handles: Vec<String>,
}

impl HeldResults {
    fn new(exchange: &Exchange) -> Self {
        Self {
            gateway: Arc::clone(&exchange.gateway),
            handles: Vec::new(),
        }
    }

    /// Releases some of the results.
    fn release(&mut self, handles: Vec<String>) {
        self.handles.retain(|held| !handles.contains(held));
        self.queue_release(handles);
    }

    fn queue_release(&self, handles: Vec<String>) {
        if !handles.is_empty() {
            let peers = &self.gateway.peers;
            peers.queue_release(&self.gateway, handles);
        }
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        let handles = std::mem::take(&mut self.handles);
        self.queue_release(handles);
    }
}

/// The results of a request's stages.
pub struct Results {
    /// Handles of the last stages' results, which the engine fetches.
    pub inputs: Vec<String>,
    held: HeldResults,
}

impl Results {
    /// Results of a request without stages.
    #[must_use]
    pub fn none(exchange: &Exchange) -> Self {
        Self {
            inputs: Vec::new(),
            held: HeldResults::new(exchange),
        }
    }

    /// Releases the results after an engine has fetched them. Returns their handles: targets keep
    /// released results until they need the memory, so another engine can often still fetch them.
    #[must_use]
    pub fn close(self) -> Vec<String> {
        drop(self.held);
        self.inputs
    }
}

/// Plans a request's stages by the queue delays that are known now.
fn plan(exchange: &Exchange) -> Result<Plan, Failure> {
    let wait = |service: &Service| {
        let scopes = scopes(exchange, &service.name, &exchange.gateway.zone, 0);
        let delays = scopes.iter();
        let delays = delays.map(|scope| exchange.gateway.peers.delay(&service.name, scope));
        delays.min().unwrap_or_default()
    };
    let pieces = &exchange.fields.pieces;
    let plan = Plan::new(exchange.table.deployment(), &exchange.route, pieces, wait);
    plan.map_err(|error| {
        log::warn!("gateway: request {}: {error}", exchange.id);
        Failure::Refused(RETRY_AFTER, "the pieces don't fit the route")
    })
}

/// Runs the stages. `home` is the zone of the engine that is likely to run the request.
///
/// # Errors
/// Why there are no results. The request itself has not run in this case.
pub async fn run(exchange: &Exchange, home: &ZoneName) -> Result<Results, Failure> {
    let plan = plan(exchange)?;
    let bookings = Bookings::new(exchange, &plan, home);
    let mut held = HeldResults::new(exchange);
    let books_first = plan.books_first(&bounds(exchange));
    if books_first {
        bookings.book().await?;
    }
    let inputs = run_steps(exchange, &plan, home, &bookings, books_first, &mut held).await?;
    bookings.close();
    Ok(Results { inputs, held })
}

/// Runs the stages of a plan and returns the handles for the engine.
async fn run_steps(
    exchange: &Exchange,
    plan: &Plan,
    home: &ZoneName,
    bookings: &Bookings<'_>,
    mut is_booked: bool,
    held: &mut HeldResults,
) -> Result<Vec<String>, Failure> {
    let mut handles: Vec<Option<Vec<String>>> = vec![None; plan.steps.len()];
    let mut started = vec![false; plan.steps.len()];
    for (position, step) in plan.steps.iter().enumerate() {
        if step.pieces == 0 {
            handles[position] = Some(Vec::new());
            started[position] = true;
        }
    }
    let mut running = FuturesUnordered::new();
    let mut booking = std::pin::pin!(bookings.book());
    loop {
        for (position, step) in plan.steps.iter().enumerate() {
            let is_ready = step
                .after
                .iter()
                .all(|&it| handles[usize::from(it)].is_some());
            if started[position] || !is_ready {
                continue;
            }
            started[position] = true;
            let inputs: Vec<String> = step
                .after
                .iter()
                .filter_map(|&it| handles[usize::from(it)].clone())
                .flatten()
                .collect();
            running.push(run_stage(exchange, plan, position, inputs, home, bookings));
        }
        let ended = tokio::select! {
            ended = running.next() => ended,
            booked = &mut booking, if !is_booked => {
                booked?;
                is_booked = true;
                continue;
            }
        };
        let Some((position, result)) = ended else {
            break;
        };
        let produced = result?;
        held.handles.extend(produced.iter().cloned());
        handles[position] = Some(produced);
        held.release(take_consumed(plan, &mut handles));
    }
    let last = plan
        .steps
        .iter()
        .zip(&handles)
        .filter(|(step, _)| step.is_last);
    Ok(last
        .filter_map(|(_, produced)| produced.clone())
        .flatten()
        .collect())
}

/// Removes and returns the results that neither a remaining stage nor the engine needs. They are
/// released early because targets have little memory for results.
fn take_consumed(plan: &Plan, handles: &mut [Option<Vec<String>>]) -> Vec<String> {
    let mut consumed = Vec::new();
    for position in 0..plan.steps.len() {
        let is_needed = plan
            .steps
            .iter()
            .zip(handles.iter())
            .any(|(step, produced)| {
                produced.is_none() && step.after.iter().any(|&it| usize::from(it) == position)
            });
        if is_needed || plan.steps[position].is_last {
            continue;
        }
        if let Some(produced) = &mut handles[position] {
            consumed.append(produced);
        }
    }
    consumed
}

/// Runs one stage and returns its position with the result.
async fn run_stage(
    exchange: &Exchange,
    plan: &Plan,
    position: usize,
    inputs: Vec<String>,
    home: &ZoneName,
    bookings: &Bookings<'_>,
) -> (usize, Result<Vec<String>, Failure>) {
    let step = &plan.steps[position];
    let stage = &exchange.route.stages[position];
    // Queue delays have changed since the first stage.
    let planned = self::plan(exchange);
    let plan = planned.as_ref().unwrap_or(plan);
    let rest = plan.steps[position].rest;
    let gateway = &exchange.gateway;
    let service = exchange.table.service(stage.service);
    let (home, bytes) = preferred_zone(exchange, plan, position, &inputs, home);
    let source = if exchange.route.stages[position].after.is_empty() {
        Source::Key(exchange.fields.piece_key.clone().unwrap_or_default())
    } else {
        Source::Results(inputs)
    };
    let now = gateway.now();
    let due = if step.after.is_empty() {
        plan.admission_due(position, &bounds(exchange))
    } else {
        plan.due(position, exchange.due_at())
    };
    let order = Pieces {
        service: service.name.clone(),
        scope: None,
        home: home.clone(),
        crossing_bytes: bytes,
        request: exchange.id.clone(),
        stage: u8::try_from(position).unwrap_or(u8::MAX),
        kind: rendezvous::weight(&exchange.route.name, &position),
        pieces: (0..step.pieces).collect(),
        source,
        result_bytes: stage.result_bytes,
        rank: exchange.rank,
        worth: exchange.value_rank,
        due_ms: signed_millis(due) - signed_millis(now),
        deadline_ms: millis(stage_time_left(exchange, rest)),
        account: exchange.account_hash(),
        digest: 0,
    };
    let mut scopes = scopes(exchange, &order.service, &home, bytes);
    if let Some(booked) = bookings.scope(order.stage) {
        // A stable sort keeps the order of the others.
        scopes.sort_by_key(|scope| scope != booked);
    }
    let result = run_in_first_scope(exchange, order, &scopes).await;
    (position, result)
}

/// Preferred zone of a stage and the bytes that cross zones if it runs in another one: the zone of
/// its inputs if they are larger than its results, otherwise the zone of the engine.
fn preferred_zone(
    exchange: &Exchange,
    plan: &Plan,
    position: usize,
    inputs: &[String],
    home: &ZoneName,
) -> (ZoneName, u64) {
    let fetched = plan.input_bytes(position, &exchange.route);
    let produced = plan.result_bytes(position, &exchange.route);
    let producers = inputs
        .iter()
        .filter_map(|handle| exchange.gateway.producer(handle));
    let mut zones: Vec<(ZoneName, usize)> = Vec::new();
    for (_, zone) in producers {
        match zones.iter_mut().find(|(name, _)| *name == zone) {
            Some((_, count)) => *count += 1,
            None => zones.push((zone, 1)),
        }
    }
    match zones.into_iter().max_by_key(|(_, count)| *count) {
        Some((zone, _)) if fetched > produced => (zone, fetched),
        _ => (home.clone(), produced),
    }
}

/// The times that bound a request.
fn bounds(exchange: &Exchange) -> Bounds {
    Bounds {
        arrived: exchange.arrived,
        due: exchange.due_at(),
        deadline: exchange.deadline,
        limit: exchange.route.timeout,
        is_resumed: exchange.is_resumed(),
    }
}

/// Time within which a stage must finish that is followed by steps that take `rest`.
fn stage_time_left(exchange: &Exchange, rest: Duration) -> Duration {
    // A planned stop can end the request before its deadline.
    let left = exchange.time_left().saturating_sub(rest);
    let give_up = bounds(exchange).give_up_at(rest);
    left.min(give_up.saturating_sub(exchange.gateway.now()))
}

/// Runs the order at the first group of targets that accepts it.
async fn run_in_first_scope(
    exchange: &Exchange,
    mut order: Pieces,
    scopes: &[Scope],
) -> Result<Vec<String>, Failure> {
    for scope in scopes {
        order.scope.clone_from(scope);
        match send_to_dispatcher(exchange, &order).await {
            Some(Ok(handles)) => return Ok(handles),
            Some(Err(PiecesError::Late { retry_after_ms })) => {
                let after = overload_retry_after(exchange, Duration::from_millis(retry_after_ms));
                return Err(refusal(exchange, StageEnd::Overloaded, after));
            }
            Some(Err(PiecesError::ResultsGone)) => {
                return Err(refusal(exchange, StageEnd::InputGone, RETRY_AFTER));
            }
            Some(Err(PiecesError::Failed)) => {
                return Err(refusal(exchange, StageEnd::Failed, RETRY_AFTER));
            }
            Some(Err(PiecesError::NoTarget)) | None => {}
        }
        if exchange.time_left().is_zero() {
            break;
        }
    }
    Err(refusal(exchange, StageEnd::NoTarget, RETRY_AFTER))
}

/// Counts a request that is refused because of its stages.
fn refusal(exchange: &Exchange, reason: StageEnd, after: Duration) -> Failure {
    exchange.gateway.metrics.record_stage_refusal(reason);
    let reason = match reason {
        StageEnd::Overloaded => "a stage is overloaded",
        StageEnd::LaterStageOverloaded => "a later stage is overloaded",
        StageEnd::InputGone => "a stage's input is gone",
        StageEnd::Failed => "a stage failed",
        StageEnd::NoTarget => "no target for a stage",
    };
    Failure::Refused(after, reason)
}

/// Default `Retry-After`: about the time of two calls.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` after an overload: late enough that the burst may have passed, randomized to
/// spread the retries, and early enough to be served.
fn overload_retry_after(exchange: &Exchange, backlog: Duration) -> Duration {
    let spread = rand::rng().random_range(0.7..1.0);
    let latest = exchange
        .time_left()
        .mul_f64(MAX_RETRY_AFTER_FRACTION * spread);
    latest.max(backlog)
}

/// The groups of targets that are dispatched together, by rising delay and transfer cost.
fn scopes(exchange: &Exchange, service: &ServiceName, home: &ZoneName, bytes: u64) -> Vec<Scope> {
    let gateway = &exchange.gateway;
    let zones = gateway.fleet().zones(service);
    if gateway.scope(service, home).is_none() {
        return vec![None];
    }
    let crossing_cost = ZONE_CROSSING_COST + ZONE_CROSSING_COST_PER_MB.mul_f64(bytes as f64 / 1e6);
    let mut scopes: Vec<(Duration, Scope)> = zones
        .into_iter()
        .map(|(zone, _)| {
            let cost = if zone == *home {
                Duration::ZERO
            } else {
                crossing_cost
            };
            let scope = Some(zone);
            (gateway.peers.delay(service, &scope) + cost, scope)
        })
        .collect();
    scopes.sort();
    scopes.into_iter().map(|(_, scope)| scope).collect()
}

/// Sends the order to the dispatcher of its targets; none if no gateway answers.
async fn send_to_dispatcher(
    exchange: &Exchange,
    order: &Pieces,
) -> Option<Result<Vec<String>, PiecesError>> {
    let gateway = &exchange.gateway;
    let dispatchers = gateway.peers.dispatchers(&order.service, &order.scope);
    for peer in &dispatchers {
        if let Some(end) = send_to_peer(exchange, peer, order).await {
            let delay = Duration::from_millis(end.delay_ms);
            gateway
                .peers
                .record_delay(&order.service, &order.scope, delay);
            return Some(end.result);
        }
    }
    None
}

async fn send_to_peer(exchange: &Exchange, peer: &Peer, order: &Pieces) -> Option<PiecesEnd> {
    let gateway = &exchange.gateway;
    if peer.name == gateway.peers.own().name {
        return Some(gateway.dispatch_workers.run(gateway, order.clone()).await);
    }
    // Logged by the call.
    let ordered = gateway
        .peers
        .run_order(peer.address, order.clone(), exchange.time_left());
    let ended = ordered.await.ok();
    if ended.is_none() {
        gateway.update_unreachable_zones();
    }
    ended
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn signed_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
