use std::collections::BTreeMap;
use std::time::Duration;

use super::Entry;
use crate::share::Request;

/// The grantor's state of one holder.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) sequence: u64,
    /// Number of the last answer before this member was added. An acknowledgement
    /// of it or of an earlier answer is from before the member was removed.
    pub(super) answers_before: u64,
    pub(super) applied: u64,
    pub(super) answered_at: Duration,
    pub(super) acknowledged_at: Duration,
    pub(super) is_active: bool,
    /// The member's timer in `member_timers`.
    pub(super) timer: Duration,
    pub(super) entries: BTreeMap<u32, Entry>,
}

impl Member {
    pub(super) fn new(now: Duration, number: u64) -> Self {
        Self {
            sequence: 0,
            answers_before: number,
            applied: number,
            answered_at: now,
            acknowledged_at: now,
            is_active: false,
            timer: Duration::ZERO,
            entries: BTreeMap::new(),
        }
    }

    /// Applies the request's header and returns the request up to which the needs
    /// are known, or 0 if some are missing.
    pub(super) fn apply_header(&mut self, now: Duration, request: &Request, epoch: u64) -> u64 {
        self.sequence = request.sequence;
        self.is_active = true;
        if request.epoch == epoch && request.applied > self.applied {
            self.applied = request.applied;
            self.acknowledged_at = now;
        }
        // The basis comes from the latest applied answer. If that is from before the
        // member was added, the needs up to the basis are unknown here.
        let are_needs_known =
            request.basis == 0 || (request.epoch == epoch && request.applied > self.answers_before);
        if are_needs_known { request.sequence } else { 0 }
    }
}
