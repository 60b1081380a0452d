//! Requests that reach several services: their crashes count together, and they have one schedule
//! of probes. Progress counts for the service that made it.

use std::time::Duration;

use azurelug_types::fleet::PartKey;

use super::{ACCUSED_CRASHES, Entry, Ledger};
use crate::gateway::quarantine::record::{Crash, Record};

impl Ledger {
    /// The records of a request with crashes, one for each service.
    pub(super) fn crashed_services(
        &self,
        request: &PartKey,
    ) -> impl Iterator<Item = (PartKey, &Entry)> {
        let id = request.id;
        let keys = self.requests.range((id, 0)..=(id, u64::MAX));
        let keys = keys.map(move |(_, service)| PartKey {
            service: *service,
            id,
        });
        let found = keys.filter_map(|key| Some((key, self.entries.get(&key)?)));
        found.filter(|(_, entry)| !entry.record.crashes().is_empty())
    }

    /// All crashes of a request, and the number of services with crashes.
    pub(super) fn count_crashes(&self, request: &PartKey) -> (usize, usize) {
        let totals = self.crashed_services(request);
        totals.fold((0, 0), |(crashes, services), (_, entry)| {
            (crashes + entry.evidence.total, services + 1)
        })
    }

    /// Whether the crashes at several services may accuse a request together.
    pub(super) fn has_spread(&self, request: &PartKey) -> bool {
        if !request.is_request() {
            return false;
        }
        let (crashes, services) = self.count_crashes(request);
        crashes >= ACCUSED_CRASHES && services > 1
    }

    /// Whether the crashes at several services accuse a request at the service of this key, which
    /// may have no record.
    pub(super) fn is_accused_by_services(
        &self,
        request: &PartKey,
        is_proven: impl Fn(&PartKey, &Record) -> bool,
    ) -> bool {
        if !self.has_spread(request) {
            return false;
        }
        let mut crashes: Vec<Duration> = Vec::new();
        let mut services = 0;
        for (key, entry) in self.crashed_services(request) {
            let stronger = self.stronger_than(&key, entry.evidence, &is_proven);
            let is_explained = |crash: &Crash| {
                let mut others = stronger.iter().flat_map(|record| record.crashes());
                others.any(|other| other.is_same(crash))
            };
            let count = crashes.len();
            let own = entry.record.crashes().iter();
            crashes.extend(own.filter(|it| !is_explained(it)).map(|crash| crash.at));
            services += usize::from(crashes.len() > count);
        }
        crashes.sort_unstable();
        let Some(accused_at) = crashes.get(ACCUSED_CRASHES - 1) else {
            return false;
        };
        let own = self.record(request);
        let is_sound = own.is_some_and(|own| own.is_sound_since(*accused_at));
        services > 1 && !is_sound
    }

    /// When the next probe of a part, or of a request at any service, may be sent; none if all have
    /// been sent.
    #[must_use]
    pub fn probe_due_at(&self, part: &PartKey) -> Option<Duration> {
        if !part.is_request() {
            return self.record(part)?.probe_due_at(false);
        }
        let services = self.crashed_services(part);
        let records: Vec<&Record> = services.map(|(_, entry)| &entry.record).collect();
        let is_spread = records.len() > 1;
        let all = Record::union(&records)?;
        let is_unique = || all.has_independent_crashes() && !self.has_twin(part, &all);
        all.probe_due_at(is_spread || is_unique())
    }

    /// Whether another request that its crashes accuse shares all early ones of this request, so
    /// that either may be to blame.
    fn has_twin(&self, request: &PartKey, record: &Record) -> bool {
        let early = record.early_crashes();
        let others = self.conclusive.iter();
        let others = others.filter(|other| other.is_request() && other.id != request.id);
        let mut others = others.filter_map(|other| self.record(other));
        others.any(|other| {
            let is_shared = |crash: &&Crash| other.crashes().iter().any(|it| it.is_same(crash));
            early.iter().all(is_shared)
        })
    }

    /// Adds a probe of the part, or of the request at all services.
    pub fn record_probe(&mut self, part: PartKey, now: Duration) {
        for key in self.probed_keys(part) {
            self.update(key, |record| record.add_probe(now));
        }
    }

    /// Removes a probe that was recorded at `at` and did not reach a target.
    pub fn remove_probe(&mut self, part: PartKey, at: Duration) {
        for key in self.probed_keys(part) {
            self.update(key, |record| record.remove_probe(at));
        }
    }

    fn probed_keys(&self, part: PartKey) -> Vec<PartKey> {
        if part.is_request() {
            return self.crashed_services(&part).map(|(key, _)| key).collect();
        }
        let has_record = self.entries.contains_key(&part);
        has_record.then_some(part).into_iter().collect()
    }
}
