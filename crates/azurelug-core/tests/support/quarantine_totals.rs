//! The size of the model of the quarantine, and what a run of it has shown.

use std::collections::HashMap;
use std::time::Duration;

/// Time within which rules with a time bound begin to hold.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A part or a request that crashes targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadly {
    /// Its id.
    pub(crate) id: u64,
    /// Share of the requests that carry it.
    pub(crate) share: f64,
    /// The service whose targets it crashes; none for all.
    pub(crate) service: Option<u64>,
    /// When it becomes sound.
    pub(crate) until: Duration,
}

/// The size of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) gateways: usize,
    pub(crate) targets: usize,
    pub(crate) services: u64,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Distinct parts in the second position.
    pub(crate) documents: u64,
    /// Whether requests have prompt parts.
    pub(crate) has_parts: bool,
    /// Whether requests have a key of their own.
    pub(crate) has_own_keys: bool,
    /// Id of the own key of a sound request that clients repeat, and its share of the requests.
    pub(crate) hot: (u64, f64),
}

impl Size {
    /// The usual numbers of targets and requests for some gateways.
    pub(crate) fn of(gateways: usize) -> Self {
        let targets = if gateways < 20 { 18 } else { gateways / 3 + 30 };
        Self {
            gateways,
            targets,
            services: 1,
            rate: targets as f64 * 4.0,
            documents: 200,
            has_parts: true,
            has_own_keys: false,
            hot: (0, 0.0),
        }
    }
}

/// What a run has shown.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Times of the crashes by deadly part.
    pub(crate) crashes: HashMap<u64, Vec<Duration>>,
    /// Times at which gateways in touch sent requests with each deadly part.
    pub(crate) sends: HashMap<u64, Vec<Duration>>,
    /// Times of sound requests, and whether their first attempt was sent.
    pub(crate) sound: Vec<(Duration, bool)>,
    /// Sound requests that failed or were not repeated after a crash.
    pub(crate) lost: usize,
    /// Longest time for which any gateway accused a part that is not deadly, by part.
    pub(crate) false_accusations: HashMap<u64, Duration>,
    /// Longest time from the first to the last sound request that was refused for one accusation.
    pub(crate) longest_refusal: Duration,
    /// Deadly requests that were answered.
    pub(crate) deadly_progress: usize,
}

impl Totals {
    /// Sends by gateways in touch later than the contact time after the fifth crash.
    pub(crate) fn late_sends(&self, id: u64) -> usize {
        self.sends_after_crash(5, id)
    }

    /// Sends by gateways in touch later than the contact time after a crash, counted from 1.
    pub(crate) fn sends_after_crash(&self, number: usize, id: u64) -> usize {
        let crashes = self.crashes.get(&id);
        let Some(crash) = crashes.and_then(|crashes| crashes.get(number - 1)) else {
            return 0;
        };
        let sends = self.sends.get(&id).into_iter().flatten();
        sends.filter(|at| **at > *crash + CONTACT_TIME).count()
    }

    /// Number of crashes of a part.
    pub(crate) fn crash_count(&self, id: u64) -> usize {
        self.crashes.get(&id).map_or(0, Vec::len)
    }

    /// Share of the sound requests from `start` on whose first attempt was sent.
    pub(crate) fn sound_share(&self, start: Duration) -> f64 {
        let counted: Vec<bool> = self
            .sound
            .iter()
            .filter(|(at, _)| *at >= start)
            .map(|(_, is_sent)| *is_sent)
            .collect();
        counted.iter().filter(|it| **it).count() as f64 / counted.len().max(1) as f64
    }

    /// Number of sound requests that were refused.
    pub(crate) fn refused(&self) -> usize {
        self.sound.iter().filter(|(_, is_sent)| !is_sent).count()
    }
}
