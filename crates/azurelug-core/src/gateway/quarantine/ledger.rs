//! The records of all suspected parts and requests, in bounded memory, with a revision for each
//! change so that daemons send each other only what has changed.

mod room;
mod services;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use azurelug_types::fleet::{PartKey, SuspectPart};

use super::record::{Crash, Evidence, Record};

/// Most records. All of them fit into one message.
pub const MAX_RECORDS: usize = 1024;

/// Independent crashes after which a part is suspected: its requests are not repeated. For a
/// request all crashes count, because it is at one target at a time.
const SUSPECTED_CRASHES: usize = 2;

/// Independent crashes after which a part is accused, and all crashes after which a request is.
const ACCUSED_CRASHES: usize = 3;

/// Different targets among these crashes. A single target may crash by itself.
const ACCUSED_TARGETS: usize = 2;

/// Crashes after which a part is accused in any case. Those of targets that may have failed together
/// count here, unless the part was sound shortly before.
const CONCLUSIVE_CRASHES: usize = 5;

/// Crashes of a part that an accused request need not share in order to explain the others.
const UNSHARED_CRASHES: usize = 1;

/// Time after the third crash within which progress at any gateway is known here. A part that was
/// sound shortly before is accused only then.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time for which progress is reported.
const PROGRESS_RETENTION: Duration = Duration::from_secs(60);

/// Time for which several crashes of a part or request that is not accused are kept.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3600);

/// Time for which the only crash of a part or request is kept. All requests that are pending at a
/// failing rack have one.
const FIRST_RETENTION: Duration = Duration::from_secs(600);

/// Time from the last crash or probe until an accusation expires.
const ACCUSED_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// What the records say about a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Nothing speaks against it, or not enough.
    Clear,
    /// Its requests are not sent again after a crash.
    Suspected,
    /// Its requests are refused.
    Accused,
}

#[derive(Debug, Default)]
struct Entry {
    record: Record,
    /// Weight of the record's crashes.
    evidence: Evidence,
    /// Whether one accused request explains the crashes of this part.
    is_covered: bool,
    revision: u64,
}

/// Records that have changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The records.
    pub reports: Vec<SuspectPart>,
    /// The newest revision.
    pub revision: u64,
}

/// The records by part.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<PartKey, Entry>,
    /// The records whose crashes accuse a part or request, unless others explain them.
    conclusive: BTreeSet<PartKey>,
    /// Id and service of the requests that have a record.
    requests: BTreeSet<(u64, u64)>,
    revision: u64,
}

impl Ledger {
    /// Adds a crash of a target at which a request with the part was pending.
    pub fn record_crash(&mut self, part: PartKey, crash: Crash) {
        self.update(part, |record| record.add_crash(crash));
    }

    /// Adds progress of an answer to a request with the part; ignored without a record,
    /// unless crashes at other services accuse the request.
    pub fn record_progress(&mut self, part: PartKey, at: Duration) {
        if self.entries.contains_key(&part) || self.has_spread(&part) {
            self.update(part, |record| record.add_progress(at));
        }
    }

    /// Takes over a report of another daemon. Returns whether that changes anything.
    pub fn merge(&mut self, report: &SuspectPart, now: Duration) -> bool {
        let theirs = Record::of_report(report, now);
        // A report without crashes only clears a record that exists, or an accusation by others.
        let is_known = self.entries.contains_key(&report.part) || self.has_spread(&report.part);
        if theirs.crashes().is_empty() && !is_known {
            return false;
        }
        self.update(report.part, |record| record.merge(&theirs))
    }

    fn update(&mut self, part: PartKey, change: impl FnOnce(&mut Record) -> bool) -> bool {
        let Some(entry) = self.entries.get_mut(&part) else {
            return self.insert(part, change);
        };
        let is_changed = change(&mut entry.record);
        if is_changed {
            self.weigh(part);
        }
        is_changed
    }

    fn insert(&mut self, part: PartKey, change: impl FnOnce(&mut Record) -> bool) -> bool {
        let mut record = Record::default();
        if !change(&mut record) {
            return false;
        }
        if !self.has_room(&part) {
            self.make_room(part, &record);
        }
        if !self.has_room(&part) {
            return false;
        }
        let entry = Entry {
            record,
            ..Entry::default()
        };
        self.entries.insert(part, entry);
        if part.is_request() {
            self.requests.insert((part.id, part.service));
        }
        self.weigh(part);
        true
    }

    /// Weighs a record that has changed.
    fn weigh(&mut self, part: PartKey) {
        self.revision += 1;
        let Some(entry) = self.entries.get_mut(&part) else {
            return;
        };
        entry.revision = self.revision;
        entry.evidence = entry.record.evidence(|_| false);
        let is_now_conclusive = is_conclusive(&part, entry.evidence);
        let was_conclusive = if is_now_conclusive {
            !self.conclusive.insert(part)
        } else {
            self.conclusive.remove(&part)
        };
        if !part.is_request() {
            let is_covered = self.is_covered(&part);
            self.set_covered(part, is_covered);
        } else if is_now_conclusive || was_conclusive {
            self.cover();
        }
    }

    /// Finds out for all parts whether an accused request explains their crashes.
    fn cover(&mut self) {
        let parts = self.entries.iter().filter(|(part, entry)| {
            let has_several = entry.evidence.total >= SUSPECTED_CRASHES;
            !part.is_request() && (entry.is_covered || has_several)
        });
        let parts: Vec<PartKey> = parts.map(|(part, _)| *part).collect();
        for part in parts {
            let is_covered = self.is_covered(&part);
            self.set_covered(part, is_covered);
        }
    }

    fn set_covered(&mut self, part: PartKey, is_covered: bool) {
        if let Some(entry) = self.entries.get_mut(&part) {
            entry.is_covered = is_covered;
        }
    }

    /// Whether one accused request shares the crashes of a part, except for some before it was
    /// accused. If several requests are needed, the part is what they have in common.
    fn is_covered(&self, part: &PartKey) -> bool {
        let crashes = self.record(part).map_or(&[][..], Record::crashes);
        let requests = self.conclusive.iter().filter(|part| part.is_request());
        let mut requests = requests.filter_map(|part| self.record(part));
        crashes.len() >= SUSPECTED_CRASHES
            && requests.any(|request| {
                let accused_at = request.crashes().get(ACCUSED_CRASHES - 1);
                let mut unshared = crashes.iter().filter(|crash| !request.may_contain(crash));
                let is_early = |crash: &Crash| accused_at.is_some_and(|it| crash.at < it.at);
                let is_tolerated = unshared.by_ref().take(UNSHARED_CRASHES).all(is_early);
                is_tolerated && unshared.next().is_none()
            })
    }

    /// Removes expired records.
    pub fn prune(&mut self, now: Duration) {
        let expires = |(part, entry): (&PartKey, &Entry)| {
            // No record is kept for less than this.
            let is_recent = entry.record.last_event() + PROGRESS_RETENTION > now;
            (!is_recent && self.expires_at(part, entry) <= now).then_some(*part)
        };
        let expired: Vec<PartKey> = self.entries.iter().filter_map(expires).collect();
        if expired.is_empty() {
            return;
        }
        for part in expired {
            self.entries.remove(&part);
        }
        self.forget_removed();
    }

    /// When a record expires. Those of a request at several services expire together.
    fn expires_at(&self, part: &PartKey, entry: &Entry) -> Duration {
        let (crashes, last_event) = if part.is_request() {
            let services = self.crashed_services(part);
            let last = services.map(|(_, entry)| entry.record.last_event()).max();
            (self.count_crashes(part).0, last.unwrap_or_default())
        } else {
            (entry.evidence.total, entry.record.last_event())
        };
        let is_accused = is_conclusive(part, entry.evidence) || self.has_spread(part);
        let has_crashes = !entry.record.crashes().is_empty();
        if is_accused {
            last_event + ACCUSED_RETENTION
        } else if !has_crashes {
            entry.record.last_event() + PROGRESS_RETENTION
        } else if crashes < SUSPECTED_CRASHES {
            last_event + FIRST_RETENTION
        } else {
            last_event + SUSPECT_RETENTION
        }
    }

    /// Updates what depends on removed records.
    fn forget_removed(&mut self) {
        self.requests.retain(|(id, service)| {
            self.entries.contains_key(&PartKey {
                service: *service,
                id: *id,
            })
        });
        let count = self.conclusive.len();
        self.conclusive
            .retain(|part| self.entries.contains_key(part));
        if self.conclusive.len() < count {
            self.cover();
        }
    }

    /// The records that have changed since `revision`, as reports.
    #[must_use]
    pub fn changes_since(&self, revision: u64, now: Duration) -> Changes {
        let mut reports = Vec::new();
        if revision < self.revision {
            let entries = self.entries.iter();
            let changed = entries.filter(|(_, entry)| entry.revision > revision);
            reports.extend(changed.map(|(part, entry)| entry.record.report(*part, now)));
            // Progress without crashes is ignored by those that don't know of the crashes.
            reports.sort_by_key(|report: &SuspectPart| report.crashes.is_empty());
        }
        Changes {
            reports,
            revision: self.revision,
        }
    }

    /// The status of a part. `is_proven` tells whether a part was sound shortly before its first
    /// crash.
    #[must_use]
    pub fn status(
        &self,
        part: &PartKey,
        is_proven: impl Fn(&PartKey, &Record) -> bool,
        now: Duration,
    ) -> Status {
        if self.is_accused_by_services(part, &is_proven) {
            return Status::Accused;
        }
        let Some(entry) = self.entries.get(part) else {
            return Status::Clear;
        };
        let plain = entry.evidence;
        if plain.crashes > 0 && self.is_accused_elsewhere(part) {
            return Status::Accused;
        }
        if plain.total < SUSPECTED_CRASHES || entry.is_covered {
            return Status::Clear;
        }
        let stronger = self.stronger_than(part, plain, &is_proven);
        let is_proven = is_proven(part, &entry.record);
        let is_explained = |crash: &Crash| {
            let mut crashes = stronger.iter().flat_map(|record| record.crashes());
            crashes.any(|other| other.is_same(crash))
        };
        let evidence = entry.record.evidence(is_explained);
        if evidence.crashes >= CONCLUSIVE_CRASHES
            || !is_proven && is_conclusive(part, evidence)
            || is_proven && is_settled(evidence, now)
        {
            Status::Accused
        } else if counted_crashes(part, evidence) >= SUSPECTED_CRASHES && !is_proven {
            Status::Suspected
        } else {
            Status::Clear
        }
    }

    /// Whether the crashes of a part accuse it unless other parts explain them.
    #[must_use]
    pub fn is_conclusive(&self, part: &PartKey) -> bool {
        let entry = self.entries.get(part);
        entry.is_some_and(|entry| is_conclusive(part, entry.evidence)) || self.has_spread(part)
    }

    /// Whether the same part is accused at another service.
    fn is_accused_elsewhere(&self, part: &PartKey) -> bool {
        let mut same = self.conclusive.iter().filter(|other| other.id == part.id);
        same.any(|other| {
            let entry = self.entries.get(other);
            other.service != part.service && entry.is_some_and(|entry| !entry.is_covered)
        })
    }

    /// The records with more evidence, which explain the crashes that they share with the part. A
    /// request explains other requests here, and parts as in [`Self::is_covered`].
    fn stronger_than(
        &self,
        part: &PartKey,
        evidence: Evidence,
        is_proven: impl Fn(&PartKey, &Record) -> bool,
    ) -> Vec<&Record> {
        let crashes = counted_crashes(part, evidence);
        let others = self
            .conclusive
            .iter()
            .filter(|other| *other != part && (part.is_request() || !other.is_request()));
        let others = others.filter_map(|other| Some((other, self.entries.get(other)?)));
        let stronger = others.filter(|(other, entry)| {
            entry.evidence.crashes > crashes
                && !entry.is_covered
                && !is_proven(other, &entry.record)
        });
        stronger.map(|(_, entry)| &entry.record).collect()
    }

    /// What is known of a part.
    #[must_use]
    pub fn record(&self, part: &PartKey) -> Option<&Record> {
        self.entries.get(part).map(|entry| &entry.record)
    }

    /// The parts that have a record.
    pub fn parts(&self) -> impl Iterator<Item = PartKey> {
        self.entries.keys().copied()
    }

    /// The parts of requests that were pending at a target when it crashed.
    pub fn parts_with(&self, crash: &Crash) -> impl Iterator<Item = PartKey> {
        let entries = self.entries.iter();
        let has_crash = |record: &Record| record.crashes().iter().any(|it| it.is_same(crash));
        entries
            .filter(move |(_, entry)| has_crash(&entry.record))
            .map(|(part, _)| *part)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The crashes that count for a part or a request.
fn counted_crashes(part: &PartKey, evidence: Evidence) -> usize {
    if part.is_request() {
        evidence.total
    } else {
        evidence.crashes
    }
}

/// Whether the crashes accuse a request, or a part that is not known to have been sound.
fn is_conclusive(part: &PartKey, evidence: Evidence) -> bool {
    if part.is_request() {
        return evidence.total >= ACCUSED_CRASHES;
    }
    evidence.total >= CONCLUSIVE_CRASHES
        || evidence.crashes >= ACCUSED_CRASHES && evidence.targets >= ACCUSED_TARGETS
}

/// Whether the crashes accuse a part that was sound shortly before.
fn is_settled(evidence: Evidence, now: Duration) -> bool {
    let is_old = |at: Duration| at + SETTLE_TIME <= now;
    let has_spread = evidence.crashes >= SUSPECTED_CRASHES;
    let has_many = evidence.total >= CONCLUSIVE_CRASHES && has_spread;
    let is_accused = evidence.crashes >= ACCUSED_CRASHES && evidence.targets >= ACCUSED_TARGETS;
    is_accused && evidence.third.is_some_and(is_old)
        || has_many && evidence.last.is_some_and(is_old)
}
