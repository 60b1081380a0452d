use std::collections::VecDeque;
use std::time::Duration;

use super::{Fence, Grant, Identity, Release, Request};

/// The holder's side of a lease.
#[derive(Debug)]
pub struct Holder {
    identity: Identity,
    sequence: u64,
    /// Requests that may still be answered, with the time each was sent.
    sent: VecDeque<(u64, Duration)>,
    lease: Option<CurrentLease>,
}

#[derive(Debug, Clone, Copy)]
struct CurrentLease {
    until: Duration,
    fence: Fence,
}

impl Holder {
    /// Requests kept to match their answers. An answer to an older request is
    /// ignored, which can only shorten the lease.
    const SENT_LIMIT: usize = 16;

    /// A holder without a lease.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            sequence: 0,
            sent: VecDeque::new(),
            lease: None,
        }
    }

    /// The next request; send it at once.
    pub fn request(&mut self, now: Duration) -> Request {
        self.sequence += 1;
        if self.sent.len() == Self::SENT_LIMIT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.sequence, now));
        Request {
            holder: self.identity,
            sequence: self.sequence,
        }
    }

    /// Applies a grant. A grant for another incarnation, for a request from before
    /// a release, or with an older fencing number is ignored.
    pub fn grant(&mut self, grant: &Grant) {
        if grant.holder != self.identity
            || self.lease.is_some_and(|lease| grant.fence < lease.fence)
        {
            return;
        }
        let Some(&(_, sent)) = self
            .sent
            .iter()
            .find(|(number, _)| *number == grant.sequence)
        else {
            return;
        };
        let until = sent + grant.term;
        match &mut self.lease {
            Some(lease) if lease.fence == grant.fence => lease.until = lease.until.max(until),
            lease => {
                *lease = Some(CurrentLease {
                    until,
                    fence: grant.fence,
                });
            }
        }
    }

    /// The fencing number while the lease is valid. Call it immediately before
    /// each use with a fresh clock reading: the process may have been suspended.
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        self.lease
            .filter(|lease| now < lease.until)
            .map(|lease| lease.fence)
    }

    /// Ends the lease. Answers to earlier requests cannot renew it.
    pub fn release(&mut self) -> Release {
        self.lease = None;
        self.sent.clear();
        self.sequence += 1;
        Release {
            holder: self.identity,
            sequence: self.sequence,
        }
    }
}
