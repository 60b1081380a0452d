//! Compares the outcomes of both versions of a service.
//!
//! Load pattern: base failure rates from 0.5% to 14% that depend on the route, bursts, crashes and
//! slow zones that affect both versions, and a few dozen answers of the new version when the verdict
//! is due.
//!
//! The versions are compared within each step, because the mix of requests over time differs between
//! steps: both versions answer at the same times, so that trouble of the service affects both. The
//! test is a Bayes factor between "each version has its own rate" and "both have one rate", with
//! uniform priors. By Ville's inequality the probability that such a factor ever exceeds `x` for two
//! equal versions, averaged over the prior, is at most `1/x`, however often it is looked at.
//! [`BAD_LOG_ODDS`] makes that 1.3e-4 for one kind of request and one kind of fault. In addition the
//! rates must differ by a margin, and the worst group of targets of each version is left out, so that one
//! crashed or slow target does not count as a bad version.

use std::collections::{BTreeMap, BTreeSet};

use azurelug_types::rollout::Step;

use super::evidence::{Count, Counts, TIME_CLASSES};

/// Logarithm of the Bayes factor from which a version is bad: false for 1.3e-4 of good versions.
/// Answers with 30% failures against 1% reach it after about 25 answers, 30% against 14% after
/// about 150, which contain 45 failures.
const BAD_LOG_ODDS: f64 = 9.0;

/// Logarithm of the Bayes factor from which a decision is delayed.
const SUSPECT_LOG_ODDS: f64 = 2.5;

/// Part of the needed log odds that is enough for a verdict that can't wait any longer.
const LIKELY_FRACTION: f64 = 0.7;

/// Log odds that are enough for the counts of a short time, of a version that is bad by all counts:
/// a burst that has ended leaves none.
const BRIEF_LOG_ODDS: f64 = 2.0;

/// Smallest difference between the failure rates that counts. Bad versions fail in a third of their
/// answers; a crash of one target of many causes less.
const MIN_FAILURE_EXCESS: f64 = 0.08;

/// A response is slow from this number of classes above the median of the old version, which is 2.4
/// to 2.8 times as long.
const SLOW_CLASSES: usize = 3;

/// Smallest difference between the rates of slow responses that counts. A version that is three
/// times slower exceeds it even if its response times vary by a factor of three.
const MIN_SLOW_EXCESS: f64 = 0.25;

/// Fewest response times of the old version that give a median.
const MIN_REFERENCE: u64 = 12;

/// Number of groups of targets from which the worst one is left out.
const MIN_GROUPS: usize = 3;

/// A group is left out if it has more faults than this multiple of the others' mean and the margin
/// beyond it. A bad version fails at all its targets.
const OUTLIER_FACTOR: f64 = 2.0;

/// See [`OUTLIER_FACTOR`].
const OUTLIER_MARGIN: f64 = 2.0;

/// Without a control group at the same time, trouble of the whole service looks like a bad version:
/// the margins and the odds are higher.
const UNCONTROLLED_LOG_ODDS: f64 = 16.0;

/// See [`UNCONTROLLED_LOG_ODDS`].
const MIN_UNCONTROLLED_FAILURE_EXCESS: f64 = 0.15;

/// See [`UNCONTROLLED_LOG_ODDS`].
const MIN_UNCONTROLLED_SLOW_EXCESS: f64 = 0.45;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More answers are failures.
    Failures,
    /// More answers are slow.
    Slowness,
}

/// A difference between the versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// What is wrong.
    pub fault: Fault,
    /// Step of the roll-out.
    pub step: Step,
    /// The kind of requests; none for all.
    pub subject: Option<u64>,
    /// Outcomes and faults of the new version.
    pub new: (f64, f64),
    /// Outcomes and faults of the old version.
    pub old: (f64, f64),
    /// Logarithm of the Bayes factor.
    pub log_odds: f64,
    /// The log odds that are needed.
    needed: f64,
}

impl Finding {
    /// Whether the new version is bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.log_odds >= self.needed
    }

    /// Whether more evidence is needed.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.log_odds >= SUSPECT_LOG_ODDS
    }

    /// Whether a verdict that can't wait any longer is against the version.
    #[must_use]
    pub fn is_likely(&self) -> bool {
        self.log_odds >= self.needed * LIKELY_FRACTION
    }

    /// Whether the counts of a short time speak against the version.
    #[must_use]
    pub fn is_against(&self) -> bool {
        self.log_odds >= BRIEF_LOG_ODDS
    }
}

impl std::fmt::Display for Finding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let fault = match self.fault {
            Fault::Failures => "failed",
            Fault::Slowness => "slow",
        };
        write!(
            formatter,
            "new {:.0} of {:.0} {fault}, old {:.0} of {:.0}, log odds {:.1}",
            self.new.1, self.new.0, self.old.1, self.old.0, self.log_odds
        )
    }
}

/// Compares the versions; returns the strongest difference to the new version's disadvantage.
#[must_use]
pub fn worst(counts: &Counts) -> Option<Finding> {
    let steps: BTreeSet<Step> = counts.iter().map(|(key, _)| key.step).collect();
    let samples: Vec<Compared> = steps
        .into_iter()
        .flat_map(|step| of_step(counts, step, step < Step::Full))
        .collect();
    let findings = samples.iter().filter_map(Compared::finding);
    let findings = findings
        .chain(combined(&samples))
        .chain(backed(&samples, counts));
    findings.max_by(|a, b| (a.log_odds - a.needed).total_cmp(&(b.log_odds - b.needed)))
}

/// Compares the new version's outcomes after `then`, without a control group, with all those of the
/// old version.
#[must_use]
pub fn worst_uncontrolled(counts: &Counts, then: &Counts) -> Option<Finding> {
    let mut compared = Counts::default();
    for (key, count) in counts.since(then).iter() {
        if key.is_new && key.step == Step::Full {
            compared.add(*key, count);
        }
    }
    for (key, count) in counts.iter().filter(|(key, _)| !key.is_new) {
        compared.add(*key, count);
    }
    let findings = of_step(&compared, Step::Full, false).into_iter();
    let findings = findings.filter_map(|compared| compared.finding());
    findings.max_by(|a, b| a.log_odds.total_cmp(&b.log_odds))
}

/// A sample and what it is of.
#[derive(Clone, Copy, Debug)]
struct Compared {
    fault: Fault,
    step: Step,
    subject: Option<u64>,
    /// Whether the old version's outcomes are of the same step.
    is_controlled: bool,
    sample: Sample,
}

/// Compares the new version, while most requests go there, with the old one in all steps, as far as
/// the small control group of the step speaks against the version, too.
fn backed(samples: &[Compared], counts: &Counts) -> Vec<Finding> {
    let speaks_against = |of: &Compared| {
        let mut own = samples.iter().filter(|it| it.step == of.step);
        let own = own.find(|it| it.fault == of.fault && it.subject == of.subject);
        let finding = own.and_then(Compared::finding);
        finding.is_some_and(|finding| finding.is_suspect())
    };
    if !samples.iter().any(|it| it.step == Step::Half) {
        return Vec::new();
    }
    let all = of_step(counts, Step::Half, false).into_iter();
    let backed = all.filter(speaks_against);
    backed.filter_map(|compared| compared.finding()).collect()
}

/// Compares the versions over all steps with a control group: the product of the Bayes factors of
/// the steps, in which a step that speaks for the new version counts against the finding.
fn combined(samples: &[Compared]) -> Vec<Finding> {
    let mut sums: BTreeMap<(bool, Option<u64>), (Compared, f64)> = BTreeMap::new();
    for compared in samples.iter().filter(|it| it.is_controlled) {
        let (sample, rate) = (compared.sample, |it: (f64, f64)| it.1 / it.0.max(1.0));
        let odds = log_odds(sample.new, sample.old);
        let is_worse = rate(sample.new) > rate(sample.old);
        let odds = if is_worse { odds } else { -odds.abs() };
        let key = (compared.fault == Fault::Failures, compared.subject);
        match sums.get_mut(&key) {
            Some((sum, sum_odds)) => {
                sum.sample.new = add(sum.sample.new, sample.new);
                sum.sample.old = add(sum.sample.old, sample.old);
                *sum_odds += odds;
            }
            None => {
                sums.insert(key, (*compared, odds));
            }
        }
    }
    let findings = sums.into_values().filter_map(|(compared, log_odds)| {
        let finding = compared.finding()?;
        Some(Finding {
            log_odds,
            ..finding
        })
    });
    findings.collect()
}

fn of_step(counts: &Counts, step: Step, is_controlled: bool) -> Vec<Compared> {
    let mut kinds: BTreeMap<u64, Kind> = BTreeMap::new();
    for (key, count) in counts.iter() {
        let kind = kinds.entry(key.subject).or_default();
        if !key.is_new {
            kind.reference.add(count);
        }
        if key.is_new && key.step == step {
            kind.new.entry(key.group).or_default().add(count);
        } else if !key.is_new && (key.step == step || !is_controlled) {
            kind.old.entry(key.group).or_default().add(count);
        }
    }
    let mut compared = Vec::new();
    for fault in [Fault::Failures, Fault::Slowness] {
        let samples = kinds
            .iter()
            .filter_map(|(subject, kind)| Some((*subject, kind.sample(fault)?)));
        let samples: Vec<(u64, Sample)> = samples.collect();
        let of = |subject, sample| Compared {
            fault,
            step,
            subject,
            is_controlled,
            sample,
        };
        compared.extend(samples.iter().map(|(subject, it)| of(Some(*subject), *it)));
        if samples.len() > 1 {
            let pooled = Sample::pooled(samples.iter().map(|(_, sample)| sample));
            compared.push(of(None, pooled));
        }
    }
    compared
}

/// Outcomes of requests of one kind.
#[derive(Clone, Debug, Default)]
struct Kind {
    /// Outcomes of the old version in all steps.
    reference: Count,
    old: BTreeMap<u8, Count>,
    new: BTreeMap<u8, Count>,
}

/// Outcomes and faults of each version.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    new: (f64, f64),
    old: (f64, f64),
}

impl Kind {
    fn sample(&self, fault: Fault) -> Option<Sample> {
        let limit = match fault {
            Fault::Failures => 0,
            Fault::Slowness => median_class(&self.reference.times)? + SLOW_CLASSES,
        };
        Some(Sample {
            new: without_worst(&self.new, fault, limit),
            old: without_worst(&self.old, fault, limit),
        })
    }
}

/// Sum of the outcomes and faults of a version without its worst group of targets.
fn without_worst(groups: &BTreeMap<u8, Count>, fault: Fault, limit: usize) -> (f64, f64) {
    let pair = |count: &Count| match fault {
        Fault::Failures => (count.answers as f64, count.failures as f64),
        Fault::Slowness => slow(&count.times, limit),
    };
    let mut groups: Vec<(f64, f64)> = groups.values().map(pair).collect();
    groups.retain(|(answers, _)| *answers > 0.0);
    groups.sort_by(|a, b| a.1.total_cmp(&b.1));
    if groups.len() >= MIN_GROUPS
        && let Some((worst, others)) = groups.split_last()
    {
        let mean = others.iter().map(|it| it.1).sum::<f64>() / others.len() as f64;
        if worst.1 > mean * OUTLIER_FACTOR + OUTLIER_MARGIN {
            groups.pop();
        }
    }
    groups.into_iter().fold((0.0, 0.0), add)
}

fn add(a: (f64, f64), b: (f64, f64)) -> (f64, f64) {
    (a.0 + b.0, a.1 + b.1)
}

/// Response times, and those of at least the class `limit`.
fn slow(times: &[u32], limit: usize) -> (f64, f64) {
    let all: u64 = times.iter().map(|count| u64::from(*count)).sum();
    let slow: u64 = times.iter().skip(limit).map(|it| u64::from(*it)).sum();
    (all as f64, slow as f64)
}

/// The class of the median; none without enough times, or if none can be slow.
fn median_class(times: &[u32]) -> Option<usize> {
    let all: u64 = times.iter().map(|count| u64::from(*count)).sum();
    if all < MIN_REFERENCE {
        return None;
    }
    let mut below = 0;
    let median = times.iter().position(|count| {
        below += u64::from(*count);
        below * 2 >= all
    })?;
    (median + SLOW_CLASSES < TIME_CLASSES).then_some(median)
}

impl Sample {
    /// Sums up several kinds of requests. The old version's rates are weighted by the new version's
    /// mix of kinds, so that a difference of the mix is not taken for one of the versions.
    fn pooled<'a>(samples: impl Iterator<Item = &'a Self> + Clone) -> Self {
        let known = samples.filter(|it| it.old.0 > 0.0);
        let new = known.clone().map(|it| it.new).fold((0.0, 0.0), add);
        let answers: f64 = known.clone().map(|it| it.old.0).sum();
        let expected: f64 = known.map(|it| it.new.0 * it.old.1 / it.old.0).sum();
        let rate = if new.0 > 0.0 { expected / new.0 } else { 0.0 };
        Self {
            new,
            old: (answers, answers * rate),
        }
    }
}

impl Compared {
    fn finding(&self) -> Option<Finding> {
        let (fault, step, subject) = (self.fault, self.step, self.subject);
        let is_controlled = self.is_controlled;
        let excess = match (fault, is_controlled) {
            (Fault::Failures, true) => MIN_FAILURE_EXCESS,
            (Fault::Failures, false) => MIN_UNCONTROLLED_FAILURE_EXCESS,
            (Fault::Slowness, true) => MIN_SLOW_EXCESS,
            (Fault::Slowness, false) => MIN_UNCONTROLLED_SLOW_EXCESS,
        };
        let Sample { new, old } = self.sample;
        if new.0 <= 0.0 || old.0 <= 0.0 || new.1 / new.0 < old.1 / old.0 + excess {
            return None;
        }
        Some(Finding {
            fault,
            step,
            subject,
            new,
            old,
            log_odds: log_odds(new, old),
            needed: if is_controlled {
                BAD_LOG_ODDS
            } else {
                UNCONTROLLED_LOG_ODDS
            },
        })
    }
}

/// Logarithm of the Bayes factor between two rates and one, with uniform priors.
fn log_odds(new: (f64, f64), old: (f64, f64)) -> f64 {
    let evidence = |(all, faults): (f64, f64)| log_beta(1.0 + faults, 1.0 + all - faults);
    evidence(new) + evidence(old) - evidence((new.0 + old.0, new.1 + old.1))
}

fn log_beta(a: f64, b: f64) -> f64 {
    log_gamma(a) + log_gamma(b) - log_gamma(a + b)
}

/// Logarithm of the gamma function for arguments of 1 or more, by Stirling's series after a shift
/// that makes its error less than 1e-9.
fn log_gamma(mut x: f64) -> f64 {
    let mut shift = 0.0;
    while x < 8.0 {
        shift -= x.ln();
        x += 1.0;
    }
    let inverse = 1.0 / x;
    let series = inverse / 12.0 - inverse.powi(3) / 360.0 + inverse.powi(5) / 1260.0;
    let half_log_two_pi = 0.5 * (2.0 * std::f64::consts::PI).ln();
    shift + (x - 0.5) * x.ln() - x + half_log_two_pi + series
}
