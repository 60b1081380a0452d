use std::collections::BTreeMap;
use std::time::Duration;

use super::Entry;
use crate::share::Request;

/// A holder as the grantor knows it.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) sequence: u64,
    /// Number of the last answer before this member was added. A lower or equal
    /// acknowledgement belongs to an earlier stay.
    pub(super) added: u64,
    pub(super) applied: u64,
    pub(super) answered_at: Duration,
    pub(super) acknowledged_at: Duration,
    pub(super) active: bool,
    /// The member's timer in `member_timers`.
    pub(super) timer: Duration,
    pub(super) entries: BTreeMap<u32, Entry>,
}

impl Member {
    pub(super) fn new(now: Duration, number: u64) -> Self {
        Self {
            sequence: 0,
            added: number,
            applied: number,
            answered_at: now,
            acknowledged_at: now,
            active: false,
            timer: Duration::ZERO,
            entries: BTreeMap::new(),
        }
    }

    /// Takes the request's header and returns up to which request the needs are
    /// known, or 0 when some are missing.
    pub(super) fn hear(&mut self, now: Duration, request: &Request, epoch: u64) -> u64 {
        self.sequence = request.sequence;
        self.active = true;
        if request.epoch == epoch && request.applied > self.applied {
            self.applied = request.applied;
            self.acknowledged_at = now;
        }
        // The basis comes from the latest applied answer. One from an earlier stay
        // says nothing about what this stay has heard.
        let known = request.basis == 0 || (request.epoch == epoch && request.applied > self.added);
        if known { request.sequence } else { 0 }
    }
}
