//! Counts the outcomes of both versions at a gateway, and merges the counts of all gateways.
//!
//! Load pattern: gateways restart, change the control daemon that they poll, and report the same
//! counts several times. Counts are cumulative within one process of a gateway, so that a newer
//! report replaces an older one and nothing counts twice.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use azurelug_types::id::{DaemonName, ServiceName};
use azurelug_types::rollout::{GatewayReports, Report, Row, Step};

/// Classes of response times: two for each doubling, from 1 ms to a minute.
pub const TIME_CLASSES: usize = 33;

/// Kinds of outcomes that a gateway counts for one roll-out: 30 kinds of requests, 8 groups of targets
/// of 2 versions, 4 steps. More are not counted, so that a report stays small.
const MAX_ROWS: usize = 2000;

/// An outcome of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// An answer, with its response time if that can be compared.
    Answer(Option<Duration>),
    /// A failure of the target.
    Failure,
    /// A failure of an answer that has been counted when it started.
    LateFailure,
}

/// Which outcomes are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Step of the roll-out.
    pub step: Step,
    /// Whether the new version gave the answers.
    pub is_new: bool,
    /// Hash of the route and the kind of request.
    pub subject: u64,
    /// Group of the target.
    pub group: u8,
}

/// Counted outcomes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Count {
    /// All outcomes.
    pub answers: u64,
    /// Those that are failures.
    pub failures: u64,
    /// Answers in each class of response times.
    pub times: Vec<u32>,
}

impl Count {
    /// Adds the counts of another one.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (own, added) in self.times.iter_mut().zip(&other.times) {
            *own = own.saturating_add(*added);
        }
    }

    /// Returns the counts without those of an earlier time.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let times = self.times.iter().enumerate();
        let before = |class| earlier.times.get(class).copied().unwrap_or(0);
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            times: times
                .map(|(class, count)| count.saturating_sub(before(class)))
                .collect(),
        }
    }
}

/// Returns the class of a response time.
#[must_use]
pub fn time_class(time: Duration) -> usize {
    let millis = (time.as_secs_f64() * 1000.0).max(1.0);
    ((millis.log2() * 2.0).round() as usize).min(TIME_CLASSES - 1)
}

/// The outcomes that are counted for one roll-out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts(BTreeMap<Key, Count>);

impl Counts {
    /// Counts an outcome.
    pub fn record(&mut self, key: Key, observation: Observation) {
        if self.0.len() >= MAX_ROWS && !self.0.contains_key(&key) {
            return;
        }
        let count = self.0.entry(key).or_default();
        match observation {
            Observation::Answer(time) => {
                count.answers += 1;
                let Some(class) = time.map(time_class) else {
                    return;
                };
                if count.times.len() <= class {
                    count.times.resize(class + 1, 0);
                }
                count.times[class] += 1;
            }
            Observation::Failure => {
                count.answers += 1;
                count.failures += 1;
            }
            Observation::LateFailure => count.failures += 1,
        }
    }

    /// Adds counts under a key.
    pub fn add(&mut self, key: Key, count: &Count) {
        self.0.entry(key).or_default().add(count);
    }

    /// All counts.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Count)> {
        self.0.iter()
    }

    /// Returns the counts without those of an earlier time.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let rest = self.0.iter().map(|(key, count)| {
            let before = earlier.0.get(key);
            (
                *key,
                before.map_or_else(|| count.clone(), |it| count.since(it)),
            )
        });
        Self(rest.collect())
    }

    /// Sum of the answers and the failures of one version.
    #[must_use]
    pub fn total(&self, is_new: bool) -> (u64, u64) {
        let own = self.0.iter().filter(|(key, _)| key.is_new == is_new);
        own.fold((0, 0), |(answers, failures), (_, count)| {
            (answers + count.answers, failures + count.failures)
        })
    }

    /// The counts in the form in which they are sent.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let row = |(key, count): (&Key, &Count)| Row {
            step: key.step,
            is_new: key.is_new,
            subject: key.subject,
            group: key.group,
            answers: count.answers,
            failures: count.failures,
            times: count.times.clone(),
        };
        self.0.iter().map(row).collect()
    }

    fn add_row(&mut self, row: &Row) {
        let key = Key {
            step: row.step,
            is_new: row.is_new,
            subject: row.subject,
            group: row.group,
        };
        let count = Count {
            answers: row.answers,
            failures: row.failures.min(row.answers),
            times: row.times.iter().copied().take(TIME_CLASSES).collect(),
        };
        self.add(key, &count);
    }
}

/// The newest reports of one process of a gateway.
#[derive(Clone, Debug)]
struct Source {
    poll: u64,
    received: Duration,
    /// Whether it polls this daemon and not another one.
    is_local: bool,
    reports: Vec<Report>,
}

/// What is known of one roll-out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Outcomes, over all gateways.
    pub counts: Counts,
    /// Sends to the new version.
    pub new_sends: u64,
    /// Requests that reached the service.
    pub requests: u64,
    /// What is pending at the old version, as reported by gateways in contact.
    pub pending_old: u64,
    /// The step that gateways in contact follow at least; none without such gateways.
    pub followed: Option<Step>,
    /// Number of gateways in contact.
    pub gateways: usize,
    /// Number of gateways that have reported and are not in contact now.
    pub silent: usize,
}

/// The reports of all gateways on the roll-outs in progress.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    sources: HashMap<(DaemonName, u64), Source>,
}

impl Evidence {
    /// Stores the reports of a gateway if they are newer than the known ones.
    pub fn receive(&mut self, from: GatewayReports, is_local: bool, now: Duration) {
        let received = now.saturating_sub(Duration::from_millis(from.age_ms));
        let key = (from.gateway, from.incarnation);
        if let Some(known) = self.sources.get(&key)
            && known.poll >= from.poll
        {
            return;
        }
        if from.reports.is_empty() && !self.sources.contains_key(&key) {
            return;
        }
        let source = Source {
            poll: from.poll,
            received,
            is_local,
            reports: from.reports,
        };
        self.sources.insert(key, source);
    }

    /// Removes the reports on roll-outs that have ended.
    pub fn prune(&mut self, is_running: impl Fn(&ServiceName, u64) -> bool) {
        for source in self.sources.values_mut() {
            source
                .reports
                .retain(|report| is_running(&report.service, report.number));
        }
        self.sources.retain(|_, source| !source.reports.is_empty());
    }

    /// The reports of the gateways that poll this daemon.
    #[must_use]
    pub fn local(&self, now: Duration) -> Vec<GatewayReports> {
        let local = self.sources.iter().filter(|(_, source)| source.is_local);
        let reports = local.map(|((gateway, incarnation), source)| GatewayReports {
            gateway: gateway.clone(),
            incarnation: *incarnation,
            poll: source.poll,
            age_ms: u64::try_from(now.saturating_sub(source.received).as_millis())
                .unwrap_or(u64::MAX),
            reports: source.reports.clone(),
        });
        reports.collect()
    }

    /// Sums up the reports on one roll-out. A gateway whose last report is older than `contact` is
    /// not in contact. A gateway that restarted is one gateway; its earlier counts stay.
    #[must_use]
    pub fn summary(
        &self,
        service: &ServiceName,
        number: u64,
        contact: Duration,
        now: Duration,
    ) -> Summary {
        let mut summary = Summary::default();
        let mut newest: HashMap<&DaemonName, (Duration, &Report)> = HashMap::new();
        for ((gateway, _), source) in &self.sources {
            let is_own = |it: &&Report| it.service == *service && it.number == number;
            let Some(report) = source.reports.iter().find(is_own) else {
                continue;
            };
            report
                .rows
                .iter()
                .for_each(|row| summary.counts.add_row(row));
            summary.new_sends += report.new_sends;
            summary.requests += report.requests;
            let known = newest.get(gateway);
            if known.is_none_or(|(received, _)| *received < source.received) {
                newest.insert(gateway, (source.received, report));
            }
        }
        for (received, report) in newest.into_values() {
            if now.saturating_sub(received) > contact {
                summary.silent += 1;
                continue;
            }
            summary.gateways += 1;
            summary.pending_old += report.pending_old;
            let followed = summary.followed;
            summary.followed = Some(followed.map_or(report.step, |step| step.min(report.step)));
        }
        summary
    }
}
