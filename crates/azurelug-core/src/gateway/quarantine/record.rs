//! The evidence about one part or request.
//!
//! Records of several daemons merge to the union of their crashes and probes, whatever the order of
//! the messages. Progress removes everything that is older.

use std::time::Duration;

use azurelug_types::fleet::{PartKey, SuspectPart, TargetCrash};

/// Time within which crashes of a target under one name are the same crash, seen by several
/// gateways. A target takes longer to come back.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// Time within which crashes of several targets count as one: a rack or a zone failed.
const MASS_FAILURE: Duration = Duration::from_millis(200);

/// Error of a reported time: the message's time on the way is not part of the age.
const TRANSIT: Duration = Duration::from_millis(50);

/// Time within which later progress is not reported again.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Crashes of a record that are kept: the first ones, the last ones and a sample of all.
const FIRST_CRASHES: usize = 3;
const LAST_CRASHES: usize = 2;
const SAMPLED_CRASHES: usize = 7;

/// Most crashes of a record.
const MAX_CRASHES: usize = FIRST_CRASHES + LAST_CRASHES + SAMPLED_CRASHES;

/// Independent crashes of a request that no failure of a rack or a zone explains.
const INDEPENDENT_CRASHES: usize = 3;

/// Time from the last crash and the last probe until the next probe, by the number of probes sent.
/// All gateways know of the last crash before the first one. The first one is left out for a
/// request with [`INDEPENDENT_CRASHES`] that no other request explains.
pub const PROBE_PAUSES: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(15),
    Duration::from_secs(600),
];

/// A crash of a target while a request with the part was pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the target's name.
    pub target: u64,
    /// When the target crashed.
    pub at: Duration,
}

impl Crash {
    /// Whether two reports are about the same crash.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.target == other.target && self.at.abs_diff(other.at) < SAME_CRASH
    }

    /// The target is a hash, so that the smallest crashes of a record are a random sample.
    fn order(&self) -> (u64, Duration) {
        (self.target, self.at)
    }

    fn is_independent_of(&self, earlier: &Self) -> bool {
        self.at >= earlier.at + MASS_FAILURE
    }
}

/// The weight of a record's crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes that are independent of each other.
    pub crashes: usize,
    /// Different targets among these.
    pub targets: usize,
    /// All crashes, including those of targets that may have failed together.
    pub total: usize,
    /// When the last of all crashes happened.
    pub last: Option<Duration>,
    /// When the last of the first three crashes happened.
    pub third: Option<Duration>,
}

/// What is known of a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Crashes since the last progress, oldest first.
    crashes: Vec<Crash>,
    /// Probes since the last progress, oldest first.
    probes: Vec<Duration>,
    /// The last known progress.
    progress: Option<Duration>,
}

impl Record {
    /// The crashes since the last progress, oldest first.
    #[must_use]
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Number of probes since the last progress.
    #[must_use]
    pub fn probe_count(&self) -> usize {
        self.probes.len()
    }

    /// When the first crash since the last progress happened.
    #[must_use]
    pub fn first_crash(&self) -> Option<Duration> {
        self.crashes.first().map(|crash| crash.at)
    }

    /// When the last crash, probe or progress happened.
    #[must_use]
    pub fn last_event(&self) -> Duration {
        let last_crash = self.crashes.last().map(|crash| crash.at);
        let last_probe = self.probes.last().copied();
        let last = last_crash.max(last_probe).max(self.progress);
        last.unwrap_or_default()
    }

    /// Whether a crash is one of the record's, or may be one that was not kept.
    #[must_use]
    pub fn may_contain(&self, crash: &Crash) -> bool {
        if self.crashes.iter().any(|it| it.is_same(crash)) {
            return true;
        }
        let last = self.crashes.len().saturating_sub(LAST_CRASHES);
        let edges = self
            .crashes
            .get(FIRST_CRASHES - 1)
            .zip(self.crashes.get(last));
        let is_between =
            edges.is_some_and(|(first, last)| crash.at > first.at && crash.at < last.at);
        is_between
            && self
                .largest_sampled()
                .is_some_and(|largest| crash.order() > largest)
    }

    /// Adds a crash. Returns whether the record has changed.
    pub fn add_crash(&mut self, crash: Crash) -> bool {
        if self.progress.is_some_and(|progress| progress >= crash.at) {
            return false;
        }
        let known = self.crashes.iter_mut().find(|it| it.is_same(&crash));
        if let Some(known) = known {
            let is_earlier = crash.at + TRANSIT < known.at;
            if is_earlier {
                known.at = crash.at;
                self.crashes.sort_by_key(|it| it.at);
            }
            return is_earlier;
        }
        let position = self.crashes.partition_point(|it| it.at <= crash.at);
        self.crashes.insert(position, crash);
        self.remove_excess();
        self.crashes.contains(&crash)
    }

    /// Keeps the first and the last crashes and a sample of all. Which ones these are does not
    /// depend on the order in which daemons learn of the crashes.
    fn remove_excess(&mut self) {
        let largest = self.largest_sampled();
        let last = self.crashes.len().saturating_sub(LAST_CRASHES);
        let mut position = 0;
        self.crashes.retain(|crash| {
            let is_edge = position < FIRST_CRASHES || position >= last;
            position += 1;
            is_edge || largest.is_none_or(|largest| crash.order() <= largest)
        });
    }

    /// The largest of the sampled crashes; none if all crashes are kept.
    fn largest_sampled(&self) -> Option<(u64, Duration)> {
        let mut ordered: Vec<(u64, Duration)> = self.crashes.iter().map(Crash::order).collect();
        ordered.sort_unstable();
        ordered.get(SAMPLED_CRASHES - 1).copied()
    }

    /// Adds a probe that was sent. Returns whether the record has changed.
    pub fn add_probe(&mut self, at: Duration) -> bool {
        let is_old = self.progress.is_some_and(|progress| progress >= at);
        let is_known = |known: &Duration| known.abs_diff(at) < SAME_CRASH;
        if is_old || self.probes.iter().any(is_known) || self.probes.len() >= PROBE_PAUSES.len() {
            return false;
        }
        let position = self.probes.partition_point(|it| *it <= at);
        self.probes.insert(position, at);
        true
    }

    /// Removes a probe that did not reach a target. Returns whether the record has changed.
    pub fn remove_probe(&mut self, at: Duration) -> bool {
        let count = self.probes.len();
        self.probes.retain(|probe| *probe != at);
        self.probes.len() < count
    }

    /// Adds progress. Returns whether the record has changed.
    pub fn add_progress(&mut self, at: Duration) -> bool {
        let last = self.progress.unwrap_or_default();
        let is_cleared = self.crashes.first().is_some_and(|crash| crash.at <= at);
        if at <= last || !is_cleared && at < last + PROGRESS_INTERVAL {
            return false;
        }
        self.progress = Some(at);
        self.crashes.retain(|crash| crash.at > at);
        self.probes.retain(|probe| *probe > at);
        true
    }

    /// Takes over what another record contains. Returns whether this one has changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut is_changed = false;
        if let Some(progress) = other.progress
            && self.progress.is_none_or(|own| own + TRANSIT < progress)
        {
            is_changed |= self.add_progress(progress);
        }
        for crash in &other.crashes {
            is_changed |= self.add_crash(*crash);
        }
        for probe in &other.probes {
            is_changed |= self.add_probe(*probe);
        }
        is_changed
    }

    /// Weighs the crashes for which `is_explained` is false.
    #[must_use]
    pub fn evidence(&self, is_explained: impl Fn(&Crash) -> bool) -> Evidence {
        let crashes = self.crashes.iter().filter(|crash| !is_explained(crash));
        let crashes: Vec<&Crash> = crashes.collect();
        let counted = independent(&crashes);
        let mut targets: Vec<u64> = counted.iter().map(|crash| crash.target).collect();
        targets.sort_unstable();
        targets.dedup();
        Evidence {
            crashes: counted.len(),
            targets: targets.len(),
            total: crashes.len(),
            last: crashes.last().map(|crash| crash.at),
            third: counted.get(2).map(|crash| crash.at),
        }
    }

    /// Whether two records consist of the same crashes.
    #[must_use]
    pub fn has_same_crashes(&self, other: &Self) -> bool {
        let mut pairs = self.crashes.iter().zip(&other.crashes);
        self.crashes.len() == other.crashes.len() && pairs.all(|(own, other)| own.is_same(other))
    }

    /// The crashes and probes of all of these records; none without records.
    #[must_use]
    pub fn union(records: &[&Self]) -> Option<Self> {
        let (first, others) = records.split_first()?;
        let mut union = Self {
            progress: None,
            ..(*first).clone()
        };
        for other in others {
            other.crashes.iter().for_each(|crash| {
                union.add_crash(*crash);
            });
            other.probes.iter().for_each(|probe| {
                union.add_probe(*probe);
            });
        }
        Some(union)
    }

    /// Whether there was progress at `at` or later, and no crash since.
    #[must_use]
    pub fn is_sound_since(&self, at: Duration) -> bool {
        self.crashes.is_empty() && self.progress.is_some_and(|progress| progress >= at)
    }

    /// When the next probe may be sent; none if all have been sent.
    #[must_use]
    pub fn probe_due_at(&self, is_first_omitted: bool) -> Option<Duration> {
        let pause = PROBE_PAUSES.get(self.probes.len() + usize::from(is_first_omitted))?;
        let last_crash = self.crashes.last().map(|crash| crash.at);
        let last_event = last_crash.max(self.probes.last().copied());
        Some(last_event.unwrap_or_default() + *pause)
    }

    /// The crashes before the first probe.
    #[must_use]
    pub fn early_crashes(&self) -> Vec<&Crash> {
        let first_probe = self.probes.first();
        let is_before = |crash: &&Crash| first_probe.is_none_or(|probe| crash.at <= *probe);
        self.crashes.iter().filter(is_before).collect()
    }

    /// Whether [`INDEPENDENT_CRASHES`] of several targets came before the first probe.
    #[must_use]
    pub fn has_independent_crashes(&self) -> bool {
        let early = self.early_crashes();
        let mut targets = early.iter().map(|crash| crash.target);
        let first = targets.next();
        let has_several = targets.any(|target| Some(target) != first);
        has_several && independent(&early).len() >= INDEPENDENT_CRASHES
    }

    /// A report for other daemons.
    #[must_use]
    pub fn report(&self, part: PartKey, now: Duration) -> SuspectPart {
        let crashes = self.crashes.iter().map(|crash| TargetCrash {
            target: crash.target,
            age_ms: millis(now.saturating_sub(crash.at)),
        });
        let age = |at: &Duration| millis(now.saturating_sub(*at));
        SuspectPart {
            part,
            crashes: crashes.collect(),
            probe_ages_ms: self.probes.iter().map(age).collect(),
            progress_age_ms: self.progress.as_ref().map(age),
        }
    }

    /// The record that a report describes.
    #[must_use]
    pub fn of_report(report: &SuspectPart, now: Duration) -> Self {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let mut record = Self {
            progress: report.progress_age_ms.map(at),
            ..Self::default()
        };
        for crash in report.crashes.iter().take(MAX_CRASHES) {
            record.add_crash(Crash {
                target: crash.target,
                at: at(crash.age_ms),
            });
        }
        for age_ms in report.probe_ages_ms.iter().take(PROBE_PAUSES.len()) {
            record.add_probe(at(*age_ms));
        }
        record
    }
}

/// The crashes that are independent of each other, oldest first.
fn independent<'a>(crashes: &[&'a Crash]) -> Vec<&'a Crash> {
    let mut independent: Vec<&Crash> = Vec::with_capacity(crashes.len());
    for crash in crashes {
        let last = independent.last();
        if last.is_none_or(|last| crash.is_independent_of(last)) {
            independent.push(crash);
        }
    }
    independent
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
