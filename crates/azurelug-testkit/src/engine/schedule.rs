//! Admission to the running batch, the waiting queue, cold starts and cancellation.
//!
//! Tracks the phase of every call. A [`Ticket`] represents one call and releases its slot when it is
//! dropped, so that the disconnect of a client cancels its call.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tokio::sync::watch;

use super::reports::{Counts, Sample};
use super::{Settings, Shared};

/// Maximum number of request ids with a counter of their own; further ids are not counted.
const COUNTED: usize = 100_000;

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
pub(super) enum End {
    /// Cancelled by request id.
    Cancelled,
    /// Failed together with the whole batch.
    Failed,
}

/// Priority and number of the call. Lower priorities come first, equal ones in order of arrival.
type Place = (i64, u64);

struct Call {
    request_id: String,
    place: Place,
    phase: watch::Sender<Phase>,
}

/// All calls of an engine.
pub(super) struct Schedule {
    limit: usize,
    queue: usize,
    cold_limit: usize,
    warm_after: u64,
    /// Calls completed since the cold start began.
    completed: u64,
    next: u64,
    running: usize,
    calls: HashMap<u64, Call>,
    waiting: BTreeMap<Place, u64>,
    pub(super) counts: Counts,
}

impl Schedule {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            limit: settings.limit,
            queue: settings.queue,
            cold_limit: settings.cold_limit,
            warm_after: settings.warm_after,
            completed: 0,
            next: 0,
            running: 0,
            calls: HashMap::new(),
            waiting: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub(super) fn is_warm(&self) -> bool {
        self.completed >= self.warm_after
    }

    pub(super) fn sample(&self) -> Sample {
        Sample {
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
            self.end(*id, Some(End::Cancelled));
        }
        !ids.is_empty()
    }

    /// Starts or queues a call. Returns `None` if the queue is full.
    fn enter(
        &mut self,
        request_id: String,
        priority: i64,
    ) -> Option<(u64, watch::Receiver<Phase>)> {
        let starts = self.running < self.limit;
        if !starts && self.waiting.len() >= self.queue {
            self.counts.refused += 1;
            return None;
        }
        let id = self.next;
        self.next += 1;
        let place = (priority, id);
        let (phase, receiver) = watch::channel(Phase::Waiting);
        let call = Call {
            request_id,
            place,
            phase,
        };
        self.calls.insert(id, call);
        if starts {
            self.run(id);
        } else {
            self.waiting.insert(place, id);
        }
        Some((id, receiver))
    }

    fn run(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        call.phase.send_replace(Phase::Running);
        self.running += 1;
        self.counts.started += 1;
        self.counts.max_running = self.counts.max_running.max(self.running);
        let by_request = &mut self.counts.by_request;
        if by_request.len() < COUNTED || by_request.contains_key(&call.request_id) {
            *by_request.entry(call.request_id.clone()).or_default() += 1;
        }
        if !self.is_warm() && self.running > self.cold_limit {
            self.counts.over_cold_limit += 1;
            self.fail_all();
        }
    }

    fn fail_all(&mut self) {
        let running = |call: &&Call| *call.phase.borrow() == Phase::Running;
        let ids: Vec<u64> = self
            .calls
            .iter()
            .filter_map(|(id, call)| running(&call).then_some(*id))
            .collect();
        for id in ids {
            self.take(id, Some(End::Failed));
        }
    }

    fn end(&mut self, id: u64, end: Option<End>) {
        self.take(id, end);
        self.promote();
    }

    /// Removes a call; an `end` of `None` means that it completed. Does nothing if the call was
    /// already removed.
    fn take(&mut self, id: u64, end: Option<End>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let was_running = *call.phase.borrow() == Phase::Running;
        match end {
            Some(End::Cancelled) => call.phase.send_replace(Phase::Cancelled),
            Some(End::Failed) => call.phase.send_replace(Phase::Failed),
            None => Phase::Running,
        };
        if !was_running {
            self.waiting.remove(&call.place);
            return;
        }
        self.running -= 1;
        match end {
            Some(End::Cancelled) => self.counts.cancelled += 1,
            Some(End::Failed) => self.counts.failed += 1,
            None => {
                self.counts.finished += 1;
                self.completed += 1;
            }
        }
    }

    /// Starts waiting calls in free slots. The engine observes the cold limit here; only arriving
    /// calls can exceed it.
    fn promote(&mut self) {
        while let Some((place, id)) = self.waiting.first_key_value() {
            let (place, id) = (*place, *id);
            let limit = if self.is_warm() {
                self.limit
            } else {
                self.limit.min(self.cold_limit)
            };
            if self.running >= limit {
                return;
            }
            self.waiting.remove(&place);
            self.run(id);
        }
    }
}

/// A call in the queue or in the batch. Dropping it ends the call.
pub(super) struct Ticket {
    shared: Arc<Shared>,
    id: u64,
    phase: watch::Receiver<Phase>,
    end: Option<End>,
}

impl Ticket {
    /// Admits a call and waits until it runs. Returns `None` if the queue is full.
    pub(super) async fn enter(
        shared: &Arc<Shared>,
        request_id: &str,
        priority: i64,
    ) -> Option<Result<Self, End>> {
        let entered = shared.change(|schedule| schedule.enter(request_id.to_owned(), priority));
        let (id, phase) = entered?;
        let mut ticket = Self {
            shared: shared.clone(),
            id,
            phase,
            end: Some(End::Cancelled),
        };
        let phase = ticket.leaves(Phase::Waiting).await;
        Some(match end_of(phase) {
            Some(end) => Err(end),
            None => Ok(ticket),
        })
    }

    /// Number of the call, counted from 0 in order of arrival.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Runs `work` unless the call is cancelled or failed first.
    pub(super) async fn run<F: Future>(&mut self, work: F) -> Result<F::Output, End> {
        tokio::select! {
            biased;
            phase = self.leaves(Phase::Running) => Err(end_of(phase).unwrap_or(End::Failed)),
            output = work => Ok(output),
        }
    }

    /// Counts the call as completed.
    pub(super) fn finish(mut self) {
        self.end = None;
    }

    /// Counts the call as failed.
    pub(super) fn fail(mut self) {
        self.end = Some(End::Failed);
    }

    async fn leaves(&mut self, phase: Phase) -> Phase {
        // The sender of an ended call is dropped; the last phase remains readable.
        let _ = self.phase.wait_for(|now| *now != phase).await;
        *self.phase.borrow()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (id, end) = (self.id, self.end);
        self.shared.change(|schedule| schedule.end(id, end));
    }
}

fn end_of(phase: Phase) -> Option<End> {
    match phase {
        Phase::Waiting | Phase::Running => None,
        Phase::Cancelled => Some(End::Cancelled),
        Phase::Failed => Some(End::Failed),
    }
}
