//! Which records are removed when there are too many.

use std::time::Duration;

use azurelug_types::fleet::PartKey;

use super::{Entry, Ledger, MAX_RECORDS, is_conclusive};
use crate::gateway::quarantine::record::{Evidence, Record};

/// Most records of parts, and most of requests, so that neither kind leaves the other no room.
const MAX_RECORDS_OF_KIND: usize = MAX_RECORDS / 4 * 3;

/// Most records that are removed at a time when there are too many.
const EVICTED_RECORDS: usize = MAX_RECORDS / 16;

/// The order in which records are removed when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    is_accused: bool,
    crashes: usize,
    is_part: bool,
    last_event: Duration,
    part: PartKey,
}

impl Weight {
    fn has_evidence_of(&self, other: &Self) -> bool {
        (self.is_accused, self.crashes) == (other.is_accused, other.crashes)
    }
}

impl Ledger {
    fn weight(&self, part: PartKey, record: &Record, evidence: Evidence) -> Weight {
        let crashes = if part.is_request() {
            self.count_crashes(&part).0.max(evidence.total)
        } else {
            evidence.crashes
        };
        Weight {
            is_accused: is_conclusive(&part, evidence) || self.has_spread(&part),
            crashes,
            is_part: !part.is_request(),
            last_event: record.last_event(),
            part,
        }
    }

    /// Number of records of parts or of requests.
    fn kind_count(&self, is_request: bool) -> usize {
        if is_request {
            self.requests.len()
        } else {
            self.entries.len() - self.requests.len()
        }
    }

    /// Whether a new record of this kind fits.
    pub(super) fn has_room(&self, part: &PartKey) -> bool {
        let kind_count = self.kind_count(part.is_request());
        self.entries.len() < MAX_RECORDS && kind_count < MAX_RECORDS_OF_KIND
    }

    /// Makes room for a new record: removes the records with the least evidence, of these those of
    /// requests and the oldest. The other kind keeps what the newcomer's kind can't have. Accused
    /// records are removed one at a time, and none for an older one with as many crashes.
    pub(super) fn make_room(&mut self, part: PartKey, record: &Record) {
        let newcomer = self.weight(part, record, record.evidence(|_| false));
        let is_request = part.is_request();
        let others = self.kind_count(!is_request);
        let mut spare = others.saturating_sub(MAX_RECORDS - MAX_RECORDS_OF_KIND);
        let weigh =
            |(part, entry): (&PartKey, &Entry)| self.weight(*part, &entry.record, entry.evidence);
        let mut weights: Vec<Weight> = self.entries.iter().map(weigh).collect();
        weights.sort_unstable();
        weights.retain(|it| {
            let is_own = it.part.is_request() == is_request;
            let is_spare = !is_own && spare > 0;
            spare -= usize::from(is_spare);
            is_own || is_spare
        });
        let Some(lightest) = weights.first().copied() else {
            return;
        };
        if lightest.has_evidence_of(&newcomer) && lightest > newcomer {
            return;
        }
        let count = if lightest.is_accused {
            1
        } else {
            EVICTED_RECORDS
        };
        let alike = weights
            .iter()
            .take_while(|it| it.has_evidence_of(&lightest));
        for weight in alike.take(count) {
            self.entries.remove(&weight.part);
        }
        self.forget_removed();
    }
}
