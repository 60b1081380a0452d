//! Admission to the running batch, the waiting queue, cold starts and cancellation.
//!
//! Tracks the phase of every call. A [`CallGuard`] represents one call and releases its slot when
//! it is dropped, so that the disconnect of a client cancels its call.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tokio::sync::watch;

use super::reports::{Counts, LoadSample};
use super::{Settings, Shared};

/// Maximum number of request ids with a counter of their own; further ids are not counted.
const MAX_COUNTED_REQUESTS: usize = 100_000;

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Cancelled,
    Failed,
}

/// Why a call ended without completing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbortReason {
    /// Cancelled by request id.
    Cancelled,
    /// Failed together with the whole batch.
    Failed,
}

/// Priority and number of the call. Lower priorities come first, equal ones in order of arrival.
type QueueKey = (i64, u64);

struct Call {
    request_id: String,
    queue_key: QueueKey,
    phase: watch::Sender<Phase>,
}

/// All calls of an engine.
pub(super) struct Schedule {
    limit: usize,
    queue_limit: usize,
    cold_limit: usize,
    warm_after: u64,
    /// Calls completed since the cold start began.
    completed: u64,
    next_id: u64,
    running: usize,
    calls: HashMap<u64, Call>,
    waiting: BTreeMap<QueueKey, u64>,
    pub(super) counts: Counts,
}

impl Schedule {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            limit: settings.max_running,
            queue_limit: settings.max_waiting,
            cold_limit: settings.cold_limit,
            warm_after: settings.warm_after,
            completed: 0,
            next_id: 0,
            running: 0,
            calls: HashMap::new(),
            waiting: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub(super) fn is_warm(&self) -> bool {
        self.completed >= self.warm_after
    }

    pub(super) fn sample(&self) -> LoadSample {
        LoadSample {
            running: self.running,
            waiting: self.waiting.len(),
            warm: self.is_warm(),
        }
    }

    /// Starts a cold start. If `warm_after` is 0, it lasts for as many calls as the cold limit, at
    /// least one.
    pub(super) fn go_cold(&mut self) {
        if self.warm_after == 0 {
            self.warm_after = self.cold_limit.max(1) as u64;
        }
        self.completed = 0;
    }

    /// Cancels all calls of a request. Returns whether it had any.
    pub(super) fn cancel(&mut self, request_id: &str) -> bool {
        let of_request = self
            .calls
            .iter()
            .filter(|(_, c)| c.request_id == request_id);
        let ids: Vec<u64> = of_request.map(|(id, _)| *id).collect();
        for id in &ids {
            self.end_call(*id, Some(AbortReason::Cancelled));
        }
        !ids.is_empty()
    }

    /// Starts or queues a call. Returns `None` if the queue is full.
    fn admit(
        &mut self,
        request_id: String,
        priority: i64,
    ) -> Option<(u64, watch::Receiver<Phase>)> {
        let starts = self.running < self.limit;
        if !starts && self.waiting.len() >= self.queue_limit {
            self.counts.refused += 1;
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        let queue_key = (priority, id);
        let (phase, receiver) = watch::channel(Phase::Waiting);
        let call = Call {
            request_id,
            queue_key,
            phase,
        };
        self.calls.insert(id, call);
        if starts {
            self.start(id);
        } else {
            self.waiting.insert(queue_key, id);
        }
        Some((id, receiver))
    }

    fn start(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        call.phase.send_replace(Phase::Running);
        self.running += 1;
        self.counts.started += 1;
        self.counts.max_running = self.counts.max_running.max(self.running);
        let by_request = &mut self.counts.by_request;
        if by_request.len() < MAX_COUNTED_REQUESTS || by_request.contains_key(&call.request_id) {
            *by_request.entry(call.request_id.clone()).or_default() += 1;
        }
        if !self.is_warm() && self.running > self.cold_limit {
            self.counts.over_cold_limit += 1;
            self.fail_running();
        }
    }

    fn fail_running(&mut self) {
        let running = |call: &&Call| *call.phase.borrow() == Phase::Running;
        let ids: Vec<u64> = self
            .calls
            .iter()
            .filter_map(|(id, call)| running(&call).then_some(*id))
            .collect();
        for id in ids {
            self.remove(id, Some(AbortReason::Failed));
        }
    }

    fn end_call(&mut self, id: u64, abort: Option<AbortReason>) {
        self.remove(id, abort);
        self.start_waiting();
    }

    /// Removes a call; an `abort` of `None` means that it completed. Does nothing if the call was
    /// already removed.
    fn remove(&mut self, id: u64, abort: Option<AbortReason>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let was_running = *call.phase.borrow() == Phase::Running;
        match abort {
            Some(AbortReason::Cancelled) => call.phase.send_replace(Phase::Cancelled),
            Some(AbortReason::Failed) => call.phase.send_replace(Phase::Failed),
            None => Phase::Running,
        };
        if !was_running {
            self.waiting.remove(&call.queue_key);
            return;
        }
        self.running -= 1;
        match abort {
            Some(AbortReason::Cancelled) => self.counts.cancelled += 1,
            Some(AbortReason::Failed) => self.counts.failed += 1,
            None => {
                self.counts.finished += 1;
                self.completed += 1;
            }
        }
    }

    /// Starts waiting calls in free slots. The engine observes the cold limit here; only arriving
    /// calls can exceed it.
    fn start_waiting(&mut self) {
        while let Some((queue_key, id)) = self.waiting.first_key_value() {
            let (queue_key, id) = (*queue_key, *id);
            let limit = if self.is_warm() {
                self.limit
            } else {
                self.limit.min(self.cold_limit)
            };
            if self.running >= limit {
                return;
            }
            self.waiting.remove(&queue_key);
            self.start(id);
        }
    }
}

/// A call in the queue or in the batch. Dropping it ends the call.
pub(super) struct CallGuard {
    shared: Arc<Shared>,
    id: u64,
    phase: watch::Receiver<Phase>,
    abort: Option<AbortReason>,
}

impl CallGuard {
    /// Admits a call and waits until it runs. Returns `None` if the queue is full.
    pub(super) async fn admit(
        shared: &Arc<Shared>,
        request_id: &str,
        priority: i64,
    ) -> Option<Result<Self, AbortReason>> {
        let admitted =
            shared.update_schedule(|schedule| schedule.admit(request_id.to_owned(), priority));
        let (id, phase) = admitted?;
        let mut guard = Self {
            shared: shared.clone(),
            id,
            phase,
            abort: Some(AbortReason::Cancelled),
        };
        let phase = guard.phase_after(Phase::Waiting).await;
        Some(match abort_reason(phase) {
            Some(abort) => Err(abort),
            None => Ok(guard),
        })
    }

    /// Number of the call, counted from 0 in order of arrival.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Runs `work` unless the call is cancelled or failed first.
    pub(super) async fn run<F: Future>(&mut self, work: F) -> Result<F::Output, AbortReason> {
        tokio::select! {
            biased;
            phase = self.phase_after(Phase::Running) => {
                Err(abort_reason(phase).unwrap_or(AbortReason::Failed))
            }
            output = work => Ok(output),
        }
    }

    /// Counts the call as completed.
    pub(super) fn finish(mut self) {
        self.abort = None;
    }

    /// Counts the call as failed.
    pub(super) fn fail(mut self) {
        self.abort = Some(AbortReason::Failed);
    }

    async fn phase_after(&mut self, phase: Phase) -> Phase {
        // The sender of an ended call is dropped; the last phase remains readable.
        let _ = self.phase.wait_for(|now| *now != phase).await;
        *self.phase.borrow()
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let (id, abort) = (self.id, self.abort);
        self.shared
            .update_schedule(|schedule| schedule.end_call(id, abort));
    }
}

fn abort_reason(phase: Phase) -> Option<AbortReason> {
    match phase {
        Phase::Waiting | Phase::Running => None,
        Phase::Cancelled => Some(AbortReason::Cancelled),
        Phase::Failed => Some(AbortReason::Failed),
    }
}
