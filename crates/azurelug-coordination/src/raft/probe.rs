//! The leader lease and the freshness probes that rely on it.

use std::time::Duration;

use super::{Action, Body, Member, Node};

impl Node {
    /// Latest time such that a majority has answered messages sent at that time or later.
    pub(super) fn quorum_time(&self, now: Duration) -> Option<Duration> {
        let own = self.record.member;
        let leadership = self.leadership.as_ref()?;
        let membership = self.history.latest();
        let mut times: Vec<Option<Duration>> = membership
            .voters()
            .map(|voter| match leadership.followers.get(&voter) {
                Some(progress) => progress.answered,
                None => (voter == own).then_some(now),
            })
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(membership.majority() - 1).copied().flatten()
    }

    /// End of the leader lease on the clock of `step`; `None` without a lease. Until then no other
    /// member can become leader, so orders that require a single leader may be sent.
    #[must_use]
    pub fn lease_until(&self) -> Option<Duration> {
        let leadership = self.leadership.as_ref()?;
        let is_transferring = leadership
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.sent);
        // Until an entry of its own term is committed, a leader may not know the latest commit
        // index.
        if is_transferring || self.commit < leadership.first_index {
            return None;
        }
        Some(self.quorum_time(self.now)? + self.settings.leader_lease())
    }

    pub(super) fn has_lease(&self, now: Duration) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Sends a probe to the leader; a leader with a lease records its own freshness instead.
    pub(super) fn tick_probe(&mut self, now: Duration) {
        if now < self.probe_due {
            return;
        }
        let Some(leader) = self.leader else { return };
        self.probe_due = now + self.settings.probe_interval;
        if leader != self.record.member {
            self.send(
                leader,
                Body::Probe {
                    run: self.run,
                    stamp: now,
                },
            );
        } else if self.has_lease(now) {
            self.record_freshness(now);
        }
    }

    pub(super) fn on_probe(&mut self, from: Member, run: u64, stamp: Duration, now: Duration) {
        if self.has_lease(now) {
            self.send(
                from,
                Body::ProbeAnswer {
                    run,
                    stamp,
                    commit: self.commit,
                },
            );
        }
    }

    pub(super) fn on_probe_answer(
        &mut self,
        run: u64,
        stamp: Duration,
        commit: u64,
        now: Duration,
    ) {
        if run != self.run || stamp > now {
            return;
        }
        if commit <= self.commit {
            self.record_freshness(stamp);
            return;
        }
        if self.waiting_probes.len() >= self.settings.max_waiting_probes {
            self.waiting_probes.pop_front();
        }
        self.waiting_probes.push_back((stamp, commit));
    }

    /// Completes the waiting probes whose entries have been applied.
    pub(super) fn complete_probes(&mut self) {
        let commit = self.commit;
        let completed = self
            .waiting_probes
            .iter()
            .filter(|(_, needed)| *needed <= commit);
        let latest = completed.map(|(stamp, _)| *stamp).max();
        self.waiting_probes.retain(|(_, needed)| *needed > commit);
        if let Some(stamp) = latest {
            self.record_freshness(stamp);
        }
    }

    fn record_freshness(&mut self, as_of: Duration) {
        if self.fresh_as_of.is_none_or(|known| as_of > known) {
            self.fresh_as_of = Some(as_of);
            self.out.after_applies.push(Action::Fresh { as_of });
        }
    }
}
