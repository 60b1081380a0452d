//! What all gateways have learned about the speeds of targets, at a control daemon.
//!
//! Load pattern: with hundreds of gateways, each sees the outcome of a target's request once in
//! tens of seconds. Together they see several a second.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::fleet::TargetSpeed;
use azurelug_types::id::{DaemonName, TargetName};

use super::speed::Speed;

/// Age after which the outcomes of a target are dropped: their weight has fallen to a 32nd.
const MAX_AGE: Duration = Duration::from_secs(300);

/// Age after which what another control daemon has sent is dropped; it has failed or is cut off.
const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

/// Most targets that are kept. A report of so many to a gateway has 25 kB; several a second are a
/// tenth of the slowest link of 7.5 Mbit/s.
const MAX_TARGETS: usize = 512;

/// Name of a target and hash of its address, so that a restart on another VM begins anew.
type Start = (TargetName, u64);

/// Outcomes that gateways have sent to this control daemon, and those that other control daemons
/// got. Each outcome is sent to one control daemon, so the sum counts none twice.
#[derive(Debug, Default)]
pub struct Board {
    own: HashMap<Start, Speed>,
    others: HashMap<DaemonName, (Duration, HashMap<Start, Speed>)>,
}

impl Board {
    /// Adds outcomes that a gateway has seen since its last report.
    pub fn record(&mut self, reports: &[TargetSpeed], now: Duration) {
        if !reports.is_empty() {
            let is_recent = |speed: &Speed| speed.age(now).is_some_and(|age| age < MAX_AGE);
            self.own.retain(|_, speed| is_recent(speed));
        }
        for report in reports {
            let start = (report.target.clone(), report.address);
            if self.own.len() < MAX_TARGETS || self.own.contains_key(&start) {
                let speed = self.own.entry(start).or_default();
                speed.add(&Speed::from_report(report, now), now);
            }
        }
    }

    /// Replaces what another control daemon has sent before.
    pub fn replace(&mut self, daemon: DaemonName, reports: &[TargetSpeed], now: Duration) {
        let speeds = reports.iter().take(MAX_TARGETS);
        let speeds =
            speeds.map(|it| ((it.target.clone(), it.address), Speed::from_report(it, now)));
        self.others.insert(daemon, (now, speeds.collect()));
    }

    /// What this control daemon has got from gateways, for the other control daemons.
    #[must_use]
    pub fn own(&self, now: Duration) -> Vec<TargetSpeed> {
        reports(&self.own, now)
    }

    /// What all gateways have learned, for a gateway.
    #[must_use]
    pub fn merged(&self, now: Duration) -> Vec<TargetSpeed> {
        let mut merged = self.own.clone();
        for (received_at, speeds) in self.others.values() {
            if now.saturating_sub(*received_at) > MAX_REPORT_AGE {
                continue;
            }
            for (start, speed) in speeds {
                merged.entry(start.clone()).or_default().add(speed, now);
            }
        }
        reports(&merged, now)
    }
}

fn reports(speeds: &HashMap<Start, Speed>, now: Duration) -> Vec<TargetSpeed> {
    let known = speeds.iter();
    known
        .map(|((target, address), speed)| speed.report(target, *address, now))
        .collect()
}
