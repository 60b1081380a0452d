//! Admission to the running batch, the waiting queue, cold starts and cancellation.
//!
//! Owns the phase of every call. A [`Ticket`] stands for one call and returns its place when it is
//! dropped, so that a client that disconnects cancels its call.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use tokio::sync::watch;

use super::reports::{Counts, Sample};
use super::{Settings, Shared};

/// The most request ids that are counted one by one; later new ones are not.
const COUNTED: usize = 100_000;

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Cancelled,
    Failed,
}

/// How a call ended other than by its own completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Cancelled by request id.
    Cancelled,
    /// Failed with the whole batch.
    Failed,
}

/// Lower numbers come first, equal ones in order of arrival.
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

    /// Starts a cold start. One without `warm_after` lasts for as many calls as the cold limit.
    pub(super) fn go_cold(&mut self) {
        if self.warm_after == 0 {
            self.warm_after = self.cold_limit.max(1) as u64;
        }
        self.completed = 0;
    }

    /// Cancels the calls of a request; none of them if it has no calls.
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

    /// Takes a call in, or none if the queue is full.
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

    /// Removes a call; `None` means that it completed. A call that is already removed stays so.
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

    /// Starts waiting calls in free places. The engine itself respects the cold limit here; only
    /// arriving calls exceed it.
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

/// One call's place in the queue or in the batch.
pub(super) struct Ticket {
    shared: Arc<Shared>,
    id: u64,
    phase: watch::Receiver<Phase>,
    end: Option<End>,
}

impl Ticket {
    /// Takes a call in and waits until it runs. `None` means that the queue is full.
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

    /// Number of the call, from 0 in order of arrival.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Does `work` unless the call is ended from outside first.
    pub(super) async fn run<F: Future>(&mut self, work: F) -> Result<F::Output, End> {
        tokio::select! {
            biased;
            phase = self.leaves(Phase::Running) => Err(end_of(phase).unwrap_or(End::Failed)),
            output = work => Ok(output),
        }
    }

    /// The call is complete.
    pub(super) fn finish(mut self) {
        self.end = None;
    }

    /// The call has failed on its own.
    pub(super) fn fail(mut self) {
        self.end = Some(End::Failed);
    }

    async fn leaves(&mut self, phase: Phase) -> Phase {
        // An ended call has no sender any more; its last phase remains readable.
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
