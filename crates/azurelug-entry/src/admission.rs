//! Admission control of the daemon: executes the decisions of `azurelug_core::admission`.
//!
//! Owns the admission state and the channels on which waiting requests get their decision. Dropping
//! a permit, also because a caller disconnects while it waits, frees its place at once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use azurelug_core::admission::{
    Action, Admission, AdmissionRequest, Admitted, Refused, Settings, Ticket, pipeline_capacity,
};
use azurelug_core::routing::{Requirement, Router};
use azurelug_types::config::{Config, ModelRef, StageKind};
use azurelug_types::id::{AccountName, PipelineName};
use azurelug_types::outcome::Reason;
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::entry_state::EntryState;
use crate::estimates::{Classes, Estimates};
use crate::slots::RESERVED_DIVISOR;

/// Interval of the check for waiting requests that can no longer meet their deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Capacity and latency quantiles are computed once in this many ticks.
const TICKS_PER_SECOND: u32 = 10;

/// Factor by which the counts of recent arrivals decay every second.
const ARRIVALS_DECAY_FACTOR: f64 = 0.9;

/// Minimum capacity. One short and one long request may always start, so that a daemon without
/// usable targets refuses with the actual reason and not because its queue is full.
const MIN_CAPACITY: u32 = 2;

/// Retry time for a request whose account was just removed from the configuration.
const UNKNOWN_ACCOUNT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The channel on which a waiting request gets its decision.
type DecisionReceiver = oneshot::Receiver<Result<(), Refused>>;

/// A request for admission.
pub struct Request<'a> {
    /// The account that the request is charged to.
    pub account: &'a AccountName,
    /// The configuration version under which it was accepted.
    pub config: &'a Config,
    /// The pipeline.
    pub pipeline: &'a PipelineName,
    /// The latency classes of its stages.
    pub classes: &'a Classes,
    /// Whether it counts as a short request.
    pub is_short: bool,
    /// The most tokens that it may generate.
    pub max_tokens: u32,
    /// When its answer must be complete.
    pub deadline: Instant,
}

/// The admission control of one daemon.
pub struct AdmissionController {
    started: Instant,
    estimates: Arc<Estimates>,
    state: Mutex<State>,
}

struct State {
    admission: Admission,
    capacity: u32,
    long_limit: u32,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refused>>>,
    /// Decaying counts of arrivals by pipeline and by whether they are short: the request mix that
    /// the capacity is computed for.
    arrivals: HashMap<(PipelineName, bool), f64>,
}

impl AdmissionController {
    /// Creates the admission control without any account.
    pub fn new(estimates: Arc<Estimates>) -> Self {
        let settings = Settings::default();
        let state = State {
            admission: Admission::new(settings),
            capacity: settings.capacity,
            long_limit: settings.capacity,
            waiting: HashMap::new(),
            arrivals: HashMap::new(),
        };
        Self {
            started: Instant::now(),
            estimates,
            state: Mutex::new(state),
        }
    }

    /// Waits until the request may run. Dropping the future frees its place in the queue.
    ///
    /// # Errors
    /// The reason why the request is refused, without waiting if it is known beforehand.
    pub async fn admit(self: &Arc<Self>, request: Request<'_>) -> Result<Permit, Refused> {
        let (ticket, answer) = self.offer(&request)?;
        // From here on, dropping the permit frees the place.
        let permit = Permit {
            ticket,
            controller: Arc::clone(self),
        };
        if let Some(answer) = answer {
            let decided = answer.await;
            decided.expect("the sender is kept until the decision")?;
            // The stages may have got their first measurements while the request waited.
            let needed = self.estimates.usual_duration(request.classes);
            let time_left = request.deadline.saturating_duration_since(Instant::now());
            if time_left < needed {
                return Err(Refused {
                    reason: Reason::DeadlineUnreachable,
                    retry_after: (needed - time_left).max(TICK_INTERVAL),
                });
            }
        }
        Ok(permit)
    }

    /// Offers the request to the admission. A request that has to wait gets its decision on the
    /// returned receiver.
    fn offer(&self, request: &Request<'_>) -> Result<(Ticket, Option<DecisionReceiver>), Refused> {
        let now = self.now();
        let mut state = self.lock();
        state.admission.apply(request.config);
        let Some(account) = state.admission.account(request.account) else {
            return Err(Refused {
                reason: Reason::Overloaded,
                retry_after: UNKNOWN_ACCOUNT_RETRY_AFTER,
            });
        };
        let key = (request.pipeline.clone(), request.is_short);
        *state.arrivals.entry(key).or_insert(0.0) += 1.0;
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        let overhead = self.estimates.queueing_overhead(request.classes);
        let entry = self
            .estimates
            .with_measured(request.classes, |latencies, stages| {
                let ask = AdmissionRequest {
                    account,
                    short: request.is_short,
                    cost: request.max_tokens,
                    deadline: now + time_left.saturating_sub(overhead),
                    stages,
                };
                state.admission.offer(&ask, latencies, now)
            })?;
        match entry {
            Admitted::Start(ticket) => Ok((ticket, None)),
            Admitted::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Ok((ticket, Some(receiver)))
            }
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline.
    pub fn tick(&self) {
        let now = self.now();
        let mut state = self.lock();
        let actions = state.admission.tick(now);
        state.execute(actions);
    }

    /// The number of running requests, of waiting requests, and the capacity.
    pub fn load(&self) -> (u32, usize, u32) {
        let state = self.lock();
        let (running, waiting) = state.admission.load();
        (running, waiting, state.capacity)
    }

    /// Applies the capacity that is computed once a second.
    ///
    /// The capacity is at most halved each time: a share lease that lapses while its connection is
    /// replaced is granted again within a second, and refusals in between would be wrong. Requests
    /// that exceed the slots wait for a slot.
    pub fn update_capacity(&self, computed: Capacity) {
        let previous = {
            let state = self.lock();
            (state.capacity, state.long_limit)
        };
        self.set_capacity(Capacity {
            total: computed.total.max(previous.0 / 2),
            long: computed.long.max(previous.1 / 2),
        });
    }

    /// Raises the capacity between two regular computations, while requests wait.
    pub fn raise_capacity(&self, computed: Capacity) {
        let (total, long) = {
            let state = self.lock();
            (state.capacity, state.long_limit)
        };
        if computed.total > total || computed.long > long {
            self.set_capacity(Capacity {
                total: computed.total.max(total),
                long: computed.long.max(long),
            });
        }
    }

    /// Sets how many requests may run at the same time.
    pub fn set_capacity(&self, capacity: Capacity) {
        let now = self.now();
        let mut state = self.lock();
        state.capacity = capacity.total;
        state.long_limit = capacity.long;
        state.admission.set_long_limit(capacity.long);
        let actions = state.admission.set_capacity(capacity.total, now);
        state.execute(actions);
    }

    /// Decays the counts of arrivals; called once a second.
    fn decay_arrivals(&self, config: &Config) {
        self.lock().arrivals.retain(|(pipeline, _), count| {
            *count *= ARRIVALS_DECAY_FACTOR;
            *count > 0.1 && config.pipelines.contains_key(pipeline)
        });
    }

    /// The recent request mix, weighted by arrivals; all pipelines have the same weight if no
    /// request arrived recently.
    fn request_mix(&self, config: &Config) -> Vec<(PipelineName, bool, f64)> {
        let state = self.lock();
        if state.arrivals.is_empty() {
            let both =
                |name: &PipelineName| [(name.clone(), true, 1.0), (name.clone(), false, 1.0)];
            return config.pipelines.keys().flat_map(both).collect();
        }
        let arrivals = state.arrivals.iter();
        arrivals
            .map(|((name, is_short), count)| (name.clone(), *is_short, *count))
            .collect()
    }

    fn finish(&self, ticket: Ticket) {
        let now = self.now();
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let actions = state.admission.finish(ticket, now);
        state.execute(actions);
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (ticket, decision) = match action {
                Action::Start(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refused) => (ticket, Err(refused)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // If the request was abandoned in the meantime, dropping its permit frees the slot.
                let _ = sender.send(decision);
            }
        }
    }
}

/// The slot of a running request or the queue place of a waiting one; freed on drop.
pub struct Permit {
    ticket: Ticket,
    controller: Arc<AdmissionController>,
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_tuple("Permit").field(&self.ticket).finish()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.controller.finish(self.ticket);
    }
}

/// How many requests the targets can run at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// All requests.
    pub total: u32,
    /// Long requests.
    pub long: u32,
}

/// Computes the capacity for the recent request mix, and the limit for long requests as if only
/// long requests arrived.
fn computed_capacity(entry_state: &EntryState, config: &Config) -> Capacity {
    let mix = entry_state.admission.request_mix(config);
    let mut long: Vec<_> = mix.iter().filter(|it| !it.1).cloned().collect();
    if long.is_empty() {
        // The limit must be in force before the first long request arrives.
        let names = mix.iter().map(|(name, ..)| (name.clone(), false, 1.0));
        long = names.collect();
    }
    let long = capacity_for(entry_state, config, &long);
    Capacity {
        total: capacity_for(entry_state, config, &mix),
        long: long - long.div_ceil(RESERVED_DIVISOR),
    }
}

/// Computes the capacity for a request mix by Little's law: a request spends a part of its time in
/// each combination of stage kind and model, and the one with the fewest slots for its part is the
/// bottleneck. For a single pipeline this is the minimum over its stages.
///
/// Until the whole mix is measured, the capacity is the smallest slot count of any generate stage,
/// where requests spend most of their time, or of any stage if none generates.
fn capacity_for(
    entry_state: &EntryState,
    config: &Config,
    mix: &[(PipelineName, bool, f64)],
) -> u32 {
    let mut stage_times: HashMap<(StageKind, &ModelRef), f64> = HashMap::new();
    let total: f64 = mix.iter().map(|(_, _, count)| count).sum();
    let estimates = &entry_state.estimates;
    let mut is_measured = true;
    for (name, is_short, count) in mix {
        let Some(pipeline) = config.pipelines.get(name) else {
            continue;
        };
        let classes = estimates.classes(name, &pipeline.stages, *is_short);
        is_measured &= estimates.is_measured(&classes);
        for (stage_index, stage) in pipeline.stages.iter().enumerate() {
            let median = estimates.median(classes.stage(stage_index)).as_secs_f64();
            *stage_times.entry((stage.kind, &stage.model)).or_insert(0.0) += median * count / total;
        }
    }
    let slots = |kind, model| entry_state.slot_queues.slots(kind, model);
    if !is_measured {
        let kinds = || stage_times.keys();
        let generate = kinds().filter(|(kind, _)| *kind == StageKind::Generate);
        let fewest = generate.map(|(kind, model)| slots(*kind, model)).min();
        let fewest = fewest.or_else(|| kinds().map(|(kind, model)| slots(*kind, model)).min());
        return fewest.unwrap_or(0).max(MIN_CAPACITY);
    }
    let stages: Vec<(u32, Duration)> = stage_times
        .into_iter()
        .map(|((kind, model), time)| (slots(kind, model), Duration::from_secs_f64(time)))
        .collect();
    pipeline_capacity(&stages).max(MIN_CAPACITY)
}

/// Periodically updates admission, estimates and router until the entry state is dropped.
pub async fn run(entry_state: Weak<EntryState>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0;
    loop {
        ticks.tick().await;
        let Some(entry_state) = entry_state.upgrade() else {
            return;
        };
        count = (count + 1) % TICKS_PER_SECOND;
        if count == 0 {
            entry_state.estimates.tick(entry_state.now());
            entry_state.with_router(Router::tick);
            if let Some(view) = entry_state.view() {
                entry_state.admission.decay_arrivals(&view.config);
                entry_state
                    .slot_queues
                    .count_slots(&entry_state, &view.config);
                entry_state
                    .admission
                    .update_capacity(computed_capacity(&entry_state, &view.config));
            }
        }
        entry_state.admission.tick();
        let (running, waiting, capacity) = entry_state.admission.load();
        entry_state
            .metrics
            .set_admission(running, waiting, capacity);
        if waiting > 0
            && let Some(view) = entry_state.view()
        {
            request_more_slots(&entry_state, &view.config);
            // Slots that were granted for the waiting requests count immediately. Until the next
            // regular computation the queue would otherwise seem too long, and requests would be
            // refused.
            entry_state
                .slot_queues
                .count_slots(&entry_state, &view.config);
            let computed = computed_capacity(&entry_state, &view.config);
            entry_state.admission.raise_capacity(computed);
        }
    }
}

/// Requests more slots for every stage, also of targets in other zones. The capacity is computed
/// from the slots that this daemon holds, so that the demand of requests waiting for admission
/// would otherwise never reach the shares.
fn request_more_slots(entry_state: &EntryState, config: &Config) {
    for stage in config
        .pipelines
        .values()
        .flat_map(|pipeline| &pipeline.stages)
    {
        entry_state
            .shares
            .mark_starved(Requirement::Stage(stage.kind, &stage.model));
    }
}
