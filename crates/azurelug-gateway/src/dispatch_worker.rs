//! Runs the dispatchers of the staged services that this gateway is responsible for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::dispatch::{
    Action, CallEnd, CallKey, DispatchTarget, Dispatcher, Released, Token,
};
use azurelug_http::h1::client::{self, Connection};
use azurelug_platform::contracts::Features;
use azurelug_platform::{pieces, target};
use azurelug_types::deployment::Target;
use azurelug_types::fleet::{
    Booking, ItemOutcome, Pieces, PiecesEnd, PiecesError, Source, WorkItem,
};
use azurelug_types::id::{ServiceName, TargetName};
use azurelug_wire::Frame;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::gateway::{Gateway, SendKind};
use crate::incoming;
use crate::peers::Scope;

/// Largest answer to a call. A handle has about 40 bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Time for a target to fetch the inputs of a call: connection setup, a few megabytes over its link
/// and one lost packet.
const FETCH_TIME: Duration = Duration::from_millis(90);

/// How long a call waits until its target has freed released results.
const PRE_CALL_RELEASE_TIMEOUT: Duration = Duration::from_millis(20);

/// Timeout of a release call to a target.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A service and a group of its targets.
type WorkerKey = (ServiceName, Scope);

/// The dispatchers of this gateway, created on first use.
pub struct DispatchWorkers {
    /// Whether accounts share the targets fairly.
    has_fair_shares: bool,
    workers: Mutex<HashMap<WorkerKey, Arc<DispatchWorker>>>,
}

/// A dispatcher with the orders that wait for it.
pub struct DispatchWorker {
    service: ServiceName,
    scope: Scope,
    dispatcher: Mutex<Dispatcher>,
    waiting: Mutex<HashMap<Token, oneshot::Sender<PiecesEnd>>>,
    next_token: Mutex<u64>,
    /// Notified when the dispatcher's next deadline may have changed.
    changed: Notify,
}

impl DispatchWorkers {
    /// Creates a set without dispatchers.
    pub fn new(features: &Features) -> Self {
        Self {
            has_fair_shares: features.fair_shares,
            workers: Mutex::default(),
        }
    }

    fn workers(&self) -> MutexGuard<'_, HashMap<WorkerKey, Arc<DispatchWorker>>> {
        self.workers.lock().expect("no holder of the lock panics")
    }

    /// Runs pieces and waits for their results. Dropping the future cancels them.
    pub async fn run(&self, gateway: &Arc<Gateway>, order: Pieces) -> PiecesEnd {
        let no_target = PiecesEnd {
            result: Err(PiecesError::NoTarget),
            delay_ms: 0,
        };
        let Some(worker) = self.worker(gateway, &order.service, &order.scope) else {
            return no_target;
        };
        let (sender, receiver) = oneshot::channel();
        let token = worker.register(sender);
        let _guard = CancelGuard {
            gateway,
            worker: &worker,
            token,
        };
        let now = gateway.now();
        let actions = worker.ready(gateway).submit(token, order, now);
        worker.perform_and_notify(gateway, actions);
        receiver.await.unwrap_or(no_target)
    }

    /// Reserves target time for pieces of a later stage; returns the answer for the asking gateway.
    pub fn book(&self, gateway: &Arc<Gateway>, booking: &Booking) -> Frame {
        let Some(worker) = self.worker(gateway, &booking.service, &booking.scope) else {
            return Frame::Refused {
                message: "the service runs no pieces".to_owned(),
            };
        };
        let now = gateway.now();
        let mut dispatcher = worker.dispatcher();
        let refused_ms = match dispatcher.book(booking, now) {
            Ok(()) => None,
            Err(PiecesError::Late { retry_after_ms }) => Some(retry_after_ms),
            Err(_) => Some(0),
        };
        let delay = dispatcher.delay(now).unwrap_or_default();
        drop(dispatcher);
        if refused_ms.is_some() {
            let due = booking.due_ms;
            worker.log_refusal(
                gateway,
                &format!("booking of {}, due in {due} ms", booking.request),
            );
        }
        Frame::Booked {
            refused_ms,
            delay_ms: u64::try_from(delay.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Cancels the bookings of a request.
    pub fn unbook(&self, request: &str) {
        for worker in self.workers().values() {
            worker.dispatcher().unbook(request);
        }
    }

    /// Gets or creates the dispatcher of a group of targets; none if the service runs no pieces.
    fn worker(
        &self,
        gateway: &Arc<Gateway>,
        service: &ServiceName,
        scope: &Scope,
    ) -> Option<Arc<DispatchWorker>> {
        let table = gateway.table()?;
        let mut services = table.deployment().services.iter();
        let batch = services.find(|it| it.name == *service)?.batch?;
        let key = (service.clone(), scope.clone());
        let mut workers = self.workers();
        if let Some(worker) = workers.get(&key) {
            worker.dispatcher().configure(batch);
            return Some(Arc::clone(worker));
        }
        let mut dispatcher = Dispatcher::new(batch);
        if self.has_fair_shares {
            dispatcher = dispatcher.with_fair_shares();
        }
        let worker = Arc::new(DispatchWorker {
            service: service.clone(),
            scope: scope.clone(),
            dispatcher: Mutex::new(dispatcher),
            waiting: Mutex::default(),
            next_token: Mutex::default(),
            changed: Notify::new(),
        });
        workers.insert(key, Arc::clone(&worker));
        worker.relist(gateway);
        tokio::spawn(Arc::clone(&worker).run_timer(Arc::clone(gateway)));
        Some(worker)
    }

    /// Updates the targets of all dispatchers.
    pub fn relist(&self, gateway: &Arc<Gateway>) {
        let workers: Vec<Arc<DispatchWorker>> = self.workers().values().cloned().collect();
        for worker in workers {
            worker.relist(gateway);
        }
    }

    /// Passes released results to the dispatchers.
    pub fn release(&self, gateway: &Arc<Gateway>, handles: &[String]) {
        let results = handles.iter().filter_map(|handle| {
            let maker = pieces::producer(handle)?;
            let handle = handle.clone();
            Some(Released { handle, maker })
        });
        let results: Vec<Released> = results.collect();
        let workers: Vec<Arc<DispatchWorker>> = self.workers().values().cloned().collect();
        for worker in workers {
            let actions = worker.ready(gateway).release(&results, gateway.now());
            worker.perform_and_notify(gateway, actions);
        }
    }

    /// What is pending at each target: running calls, and results that are still needed.
    pub fn pending(&self) -> HashMap<TargetName, u64> {
        let mut pending = HashMap::new();
        for worker in self.workers().values() {
            let dispatcher = worker.dispatcher();
            for (name, count) in dispatcher.pending() {
                *pending.entry(name.clone()).or_default() += count;
            }
        }
        pending
    }

    /// The dispatchers' targets with their running calls and held bytes, for the state dump.
    pub fn dump(&self) -> Vec<(String, u32, u64)> {
        let workers = self.workers();
        let mut rows = Vec::new();
        for worker in workers.values() {
            let dispatcher = worker.dispatcher();
            let targets = dispatcher.targets();
            rows.extend(targets.map(|(name, running, held)| (name.to_string(), running, held)));
        }
        rows
    }
}

/// Cancels an order whose requester has gone away.
struct CancelGuard<'a> {
    gateway: &'a Arc<Gateway>,
    worker: &'a Arc<DispatchWorker>,
    token: Token,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.worker.waiting().remove(&self.token).is_some() {
            let now = self.gateway.now();
            let actions = self.worker.dispatcher().cancel(self.token, now);
            self.worker.perform_and_notify(self.gateway, actions);
        }
    }
}

impl DispatchWorker {
    fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .expect("no holder of the lock panics")
    }

    /// The dispatcher, which sends calls only to targets whose version may get one now.
    fn ready(&self, gateway: &Gateway) -> MutexGuard<'_, Dispatcher> {
        let held_back = gateway.fleet().held_back(&self.service, gateway.now());
        let mut dispatcher = self.dispatcher();
        dispatcher.hold_back(&held_back);
        dispatcher
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<Token, oneshot::Sender<PiecesEnd>>> {
        self.waiting.lock().expect("no holder of the lock panics")
    }

    fn register(&self, sender: oneshot::Sender<PiecesEnd>) -> Token {
        let mut next = self
            .next_token
            .lock()
            .expect("no holder of the lock panics");
        *next += 1;
        let token = Token(*next);
        self.waiting().insert(token, sender);
        token
    }

    /// Bytes of results that a target holds as far as is known.
    fn held_bytes(&self, name: &TargetName) -> u64 {
        let dispatcher = self.dispatcher();
        let mut targets = dispatcher.targets();
        let held = targets.find(|(target, ..)| *target == name);
        held.map_or(0, |(_, _, held)| held)
    }

    fn relist(self: &Arc<Self>, gateway: &Arc<Gateway>) {
        let listed: Vec<DispatchTarget> = {
            let fleet = gateway.fleet();
            let targets = fleet.usable(&self.service);
            let is_own =
                |target: &&Target| self.scope.as_ref().is_none_or(|zone| target.zone == *zone);
            targets.filter(is_own).map(listed).collect()
        };
        let actions = self.ready(gateway).list(&listed, gateway.now());
        self.perform_and_notify(gateway, actions);
    }

    /// Advances the dispatcher at its deadlines.
    async fn run_timer(self: Arc<Self>, gateway: Arc<Gateway>) {
        loop {
            let next = self.dispatcher().next_deadline(gateway.now());
            let changed = self.changed.notified();
            match next {
                Some(next) => {
                    let next = gateway.at(next);
                    // The pause avoids a busy loop on a deadline that has just passed.
                    let next = next.max(tokio::time::Instant::now() + Duration::from_millis(5));
                    let _ = tokio::time::timeout_at(next, changed).await;
                }
                None => changed.await,
            }
            let actions = self.ready(&gateway).advance(gateway.now());
            self.perform(&gateway, actions);
        }
    }

    fn perform_and_notify(self: &Arc<Self>, gateway: &Arc<Gateway>, actions: Vec<Action>) {
        self.perform(gateway, actions);
        self.changed.notify_one();
    }

    fn perform(self: &Arc<Self>, gateway: &Arc<Gateway>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call,
                    target,
                    items,
                    release,
                    starts_in,
                    expected,
                    waiting,
                    longest_wait,
                    limit,
                } => {
                    gateway.record_call(&self.service, &target.name);
                    let running = RunningCall {
                        worker: Arc::clone(self),
                        gateway: Arc::clone(gateway),
                        call,
                        target: self.target(target),
                        starts_in,
                        expected,
                        waiting,
                        longest_wait,
                    };
                    tokio::spawn(running.run(items, release, limit));
                }
                Action::End { token, result } => {
                    if matches!(result, Err(PiecesError::Late { .. })) {
                        self.log_refusal(gateway, &format!("order {}", token.0));
                    }
                    let delay = self.dispatcher().delay(gateway.now());
                    let delay_ms = delay.map_or(0, |delay| delay.as_millis() as u64);
                    if let Some(sender) = self.waiting().remove(&token) {
                        // The requester may have gone away in the meantime.
                        let _ = sender.send(PiecesEnd { result, delay_ms });
                    }
                }
                Action::Release { target, handles } => {
                    let target = self.target(target);
                    let gateway = Arc::clone(gateway);
                    tokio::spawn(async move { release(&gateway, &target, handles).await });
                }
            }
        }
    }

    /// Logs a refusal with the load that caused it.
    fn log_refusal(&self, gateway: &Gateway, what: &str) {
        let pressure = self.dispatcher().pressure(gateway.now());
        log::info!(
            "gateway: {what} refused; service={} waiting={} booked={} busy_ms={} targets={:.1} share_ms={}",
            self.service,
            pressure.waiting,
            pressure.booked,
            pressure.busy.as_millis(),
            pressure.targets,
            pressure
                .share
                .map_or_else(|| "none".to_owned(), |share| share.as_millis().to_string())
        );
    }

    fn target(&self, listed: DispatchTarget) -> Target {
        Target {
            name: listed.name,
            service: self.service.clone(),
            address: listed.address,
            zone: listed.zone,
            slots: 1,
            is_leaving: false,
            cold_ms: 0,
            version: String::new(),
        }
    }
}

fn listed(target: &Target) -> DispatchTarget {
    DispatchTarget {
        name: target.name.clone(),
        address: target.address,
        zone: target.zone.clone(),
    }
}

struct RunningCall {
    worker: Arc<DispatchWorker>,
    gateway: Arc<Gateway>,
    call: CallKey,
    target: Target,
    /// How long the call queues at the target behind the previous one.
    starts_in: Duration,
    expected: Duration,
    /// Pieces that were waiting when the call started.
    waiting: usize,
    /// Longest time that an order of the call has waited.
    longest_wait: Duration,
}

impl RunningCall {
    async fn run(self, items: Vec<WorkItem>, release: Vec<String>, limit: Duration) {
        let count = items.len();
        self.gateway.metrics.record_stage_call(
            self.worker.service.as_str(),
            count,
            self.longest_wait,
        );
        let started = self.gateway.now();
        let fetched = inputs(&items);
        if !release.is_empty() {
            let released = self::release(&self.gateway, &self.target, release);
            // Without an answer some pieces may find no room and have to wait for another call.
            let _ = timeout(PRE_CALL_RELEASE_TIMEOUT, released).await;
        }
        let called = timeout(limit, async {
            let call = self.call(&items);
            tokio::pin!(call);
            // The target has fetched the inputs by then; their producers need the memory.
            let fetch_time = self.starts_in + FETCH_TIME;
            if !fetched.is_empty()
                && let Ok(ended) = timeout(fetch_time, call.as_mut()).await
            {
                return ended;
            }
            self.gateway.peers.queue_release(&self.gateway, fetched);
            call.await
        });
        let called = called.await;
        let elapsed = self.gateway.now().saturating_sub(started);
        let elapsed_ms = elapsed.as_millis();
        let name = &self.target.name;
        let end = match called {
            Ok(Ok(end)) => end,
            Ok(Err(message)) => {
                log::warn!("gateway: call to {name}, {count} pieces, {elapsed_ms} ms: {message}");
                CallEnd::Failed
            }
            Err(_) => {
                log::warn!("gateway: call to {name}, {count} pieces: no answer in {elapsed_ms} ms");
                CallEnd::Failed
            }
        };
        log::info!(
            "gateway: call to {name}, {count} pieces, {elapsed_ms} ms; service={} expected_ms={} waiting={} waited_ms={} held={}",
            self.worker.service,
            self.expected.as_millis(),
            self.waiting,
            self.longest_wait.as_millis(),
            self.worker.held_bytes(name)
        );
        self.record_outcome(&end, count, elapsed);
        if let CallEnd::Items(ends) = &end {
            let late = ends.iter().filter(|end| **end == ItemOutcome::Late).count();
            let service = self.worker.service.as_str();
            self.gateway.metrics.record_late_pieces(service, late);
            let refused = ends
                .iter()
                .filter(|end| **end == ItemOutcome::ResultMemoryFull)
                .count();
            if refused > 0 {
                let held = self.worker.held_bytes(name);
                log::warn!(
                    "gateway: {name} had no room for {refused} of {count} pieces; held={held}"
                );
            }
        }
        let actions = {
            let mut dispatcher = self.worker.ready(&self.gateway);
            dispatcher.complete_call(self.call, end, self.gateway.now())
        };
        self.worker.perform_and_notify(&self.gateway, actions);
    }

    /// Counts the outcome for the version of the target. A call that did not run does not count.
    fn record_outcome(&self, end: &CallEnd, count: usize, elapsed: Duration) {
        let elapsed = match end {
            CallEnd::Items(ends) if ends.contains(&ItemOutcome::Failed) => None,
            CallEnd::Items(_) => Some(elapsed.saturating_sub(self.starts_in)),
            CallEnd::Failed => None,
            CallEnd::NotRun { .. } | CallEnd::Unreached => return,
        };
        let table = self.gateway.table();
        let batch = table.and_then(|table| {
            let mut services = table.deployment().services.iter();
            services.find(|it| it.name == self.worker.service)?.batch
        });
        self.gateway
            .record_call_outcome(&self.target.name, batch, count, elapsed);
    }

    async fn call(&self, items: &[WorkItem]) -> Result<CallEnd, String> {
        let closed = self.gateway.target_retry_after(&self.target.name);
        if !closed.is_zero() {
            return Ok(CallEnd::NotRun { closed });
        }
        if let Err(closed) = self.gateway.acquire_permit(&self.target.name).await {
            return Ok(CallEnd::NotRun { closed });
        }
        let upstream = &self.gateway.upstream;
        let acquired = match upstream.acquire(&self.target, false).await {
            Ok(acquired) => acquired,
            Err(error) => return Ok(self.connect_failed(&error)),
        };
        let is_reused = acquired.is_reused;
        match self.call_on(acquired.connection, items).await {
            Err(error) if is_reused && error.is_stale_connection() => {
                log::info!("gateway: call to {}: {error}", self.target.name);
                // The first attempt may have arrived.
                if let Err(closed) = self.gateway.acquire_permit(&self.target.name).await {
                    return Ok(CallEnd::NotRun { closed });
                }
                let acquired = match upstream.open(&self.target).await {
                    Ok(acquired) => acquired,
                    Err(error) => return Ok(self.connect_failed(&error)),
                };
                self.gateway.record_extra_send(&self.target.name);
                let called = self.call_on(acquired.connection, items).await;
                called.map_err(|error| error.to_string())
            }
            called => called.map_err(|error| error.to_string()),
        }
    }

    fn connect_failed(&self, error: &client::Error) -> CallEnd {
        log::warn!("gateway: call to {}: {error}", self.target.name);
        CallEnd::Unreached
    }

    async fn call_on(
        &self,
        mut connection: Connection,
        items: &[WorkItem],
    ) -> Result<CallEnd, CallError> {
        let request = pieces::call(&self.target, items);
        let sent = self.gateway.now();
        let name = &self.target.name;
        let gateway = &self.gateway;
        gateway.log_limited_send(name, SendKind::Pieces, &items[0].request);
        let (parts, body) = connection.send(request).await?.into_parts();
        let head = target::Head::read(parts.status, &parts.headers, "");
        gateway.apply_notice(name, head.notice.without_limit_end(), sent);
        if let Some(percent) = head.notice.slowness_percent {
            let now = gateway.now();
            let mut dispatcher = self.worker.dispatcher();
            dispatcher.record_reported_slowness(name, percent, now);
        }
        let holder = self.gateway.memory.open();
        let body = incoming::read(&holder, body, MAX_ANSWER_BYTES).await?;
        if pieces::is_not_run(head.status, &parts.headers) {
            let closed = head.notice.unavailable_for.unwrap_or_default();
            return Ok(CallEnd::NotRun { closed });
        }
        if !head.status.is_success() {
            let text = String::from_utf8_lossy(&body[..body.len().min(120)]).into_owned();
            let status = head.status.as_u16();
            return Err(CallError::Status { status, text });
        }
        let ends = pieces::read(&body)?;
        if self.worker.dispatcher().is_duplicate(&ends) {
            return Err(CallError::Copy);
        }
        // Answers don't identify their call. Only an answer with new results certainly belongs to
        // this call; after any other, the next answer on the connection may be this call's.
        let is_own = ends.iter().any(|end| matches!(end, ItemOutcome::Done(_)));
        if is_own {
            gateway.apply_notice(name, head.notice, sent);
        }
        if is_own && connection.wait_ready().await {
            self.gateway
                .upstream
                .put_back(name, connection, head.idle_timeout);
        }
        Ok(CallEnd::Items(ends))
    }
}

/// Why a call got no valid answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Connection(#[from] client::Error),
    #[error(transparent)]
    Answer(#[from] incoming::Error),
    #[error("the answer can't be decoded: {0}; check the target")]
    Unreadable(#[from] serde_json::Error),
    #[error("status {status}: {text}; check the target")]
    Status { status: u16, text: String },
    #[error("the answer is a copy of an earlier one; use a new connection")]
    Copy,
}

impl CallError {
    /// Whether the connection was closed or delivered the answer to an earlier call or release, so
    /// that a retry on a new connection makes sense.
    fn is_stale_connection(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Copy | Self::Unreadable(_))
    }
}

/// The results that a call's target fetches.
fn inputs(items: &[WorkItem]) -> Vec<String> {
    let mut inputs: Vec<String> = Vec::new();
    for item in items.iter().filter(|item| item.is_whole_order) {
        if let Source::Results(handles) = &item.source {
            inputs.extend(handles.iter().cloned());
        }
    }
    inputs.sort_unstable();
    inputs.dedup();
    inputs
}

/// Tells a target that results are no longer needed. After a failure the results only occupy
/// memory until they expire.
async fn release(gateway: &Arc<Gateway>, target: &Target, handles: Vec<String>) {
    if !gateway.may_call(&target.name) || !gateway.may_release(&target.name) {
        return;
    }
    if gateway.acquire_permit(&target.name).await.is_err() {
        return;
    }
    gateway.record_extra_send(&target.name);
    let request = pieces::release(target, &handles);
    let released = async {
        let mut acquired = gateway.upstream.acquire(target, false).await?;
        let sent = gateway.now();
        gateway.log_limited_send(&target.name, SendKind::Release, "-");
        let response = acquired.connection.send(request).await?;
        let (parts, body) = response.into_parts();
        let head = target::Head::read(parts.status, &parts.headers, "");
        gateway.apply_notice(&target.name, head.notice.without_limit_end(), sent);
        if !head.status.is_success() {
            let status = head.status.as_u16();
            log::warn!(
                "gateway: release of results at {}: status {status}",
                target.name
            );
        }
        let body = incoming::read(&gateway.memory.open(), body, MAX_ANSWER_BYTES).await;
        if body.is_ok() && acquired.connection.wait_ready().await {
            gateway
                .upstream
                .put_back(&target.name, acquired.connection, None);
        }
        Ok::<(), client::Error>(())
    };
    match timeout(RELEASE_TIMEOUT, released).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!("gateway: release of results at {}: {error}", target.name),
        Err(_) => log::info!("gateway: release of results at {}: no answer", target.name),
    }
}
