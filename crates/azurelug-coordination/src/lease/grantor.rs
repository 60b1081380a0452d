use std::time::Duration;

use super::{Fence, Grant, Identity, Release, Request, drift_safe_wait};

/// Leases one resource to one holder at a time.
#[derive(Debug)]
pub struct Grantor {
    term: Duration,
    fence: Fence,
    opens_at: Duration,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct Lease {
    holder: Identity,
    /// The holder's latest request. An older release is ignored, because the
    /// holder has requested the lease again since.
    sequence: u64,
    ends: Duration,
}

/// The answer to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The requester holds the lease.
    Granted(Grant),
    /// Another holder may have the lease.
    Unavailable {
        /// Time after which the lease is free, unless it is renewed.
        retry_after: Duration,
    },
}

impl Grantor {
    /// A grantor that has just started. It grants nothing until any lease of an
    /// earlier start has ended. `epoch` must be higher than at each earlier
    /// start.
    pub fn new(now: Duration, epoch: u64, term: Duration) -> Self {
        Self {
            term,
            fence: Fence { epoch, number: 0 },
            opens_at: now + drift_safe_wait(term),
            lease: None,
        }
    }

    /// Answers a request.
    pub fn request(&mut self, now: Duration, request: Request) -> Reply {
        if now < self.opens_at {
            return Reply::Unavailable {
                retry_after: self.opens_at - now,
            };
        }
        let ends = now + drift_safe_wait(self.term);
        match &mut self.lease {
            Some(lease) if lease.holder == request.holder && now < lease.ends => {
                lease.ends = ends;
                lease.sequence = lease.sequence.max(request.sequence);
            }
            Some(lease) if now < lease.ends => {
                return Reply::Unavailable {
                    retry_after: lease.ends - now,
                };
            }
            _ => {
                self.fence.number += 1;
                let Request { holder, sequence } = request;
                self.lease = Some(Lease {
                    holder,
                    sequence,
                    ends,
                });
            }
        }
        Reply::Granted(Grant {
            holder: request.holder,
            sequence: request.sequence,
            term: self.term,
            fence: self.fence,
        })
    }

    /// Frees the lease, unless the message is older than the holder's latest
    /// request.
    pub fn release(&mut self, message: Release) {
        let is_current = self.lease.as_ref().is_some_and(|lease| {
            lease.holder == message.holder && lease.sequence < message.sequence
        });
        if is_current {
            self.lease = None;
        }
    }

    /// The fencing number of the current or last holder.
    pub fn fence(&self) -> Fence {
        self.fence
    }
}
