//! The keys of the configurations, their removals, and the requests that probe them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};

/// Time after the acknowledgement of a removal from which no request with the key may run that is
/// sent later (`revocation` of the gateways' settings).
pub const REVOCATION: Duration = Duration::from_secs(5);

/// A key that every configuration holds.
pub const PERMANENT_KEY: &str = "key-1";

/// A key that no configuration holds.
pub const UNKNOWN_KEY: &str = "key-unknown";

/// Number of versions that hold a key, by the remainder of its first version: each version adds one
/// key and, from the eighth on, removes one.
const LIFETIMES: [u64; 3] = [2, 5, 8];

/// Maximum number of violations of one kind that are kept as text; further ones are only counted.
const MAX_VIOLATIONS: usize = 6;

/// A key that some versions in a row hold and no later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rotated {
    first: u64,
}

impl Rotated {
    /// The text of the key.
    #[must_use]
    pub fn text(self) -> String {
        format!("key-{}", self.first + 1)
    }

    /// The first version without the key.
    #[must_use]
    pub fn end(self) -> u64 {
        self.first + LIFETIMES[(self.first % 3) as usize]
    }
}

/// The keys that a version holds beside the permanent ones.
pub fn rotated(version: u64) -> impl Iterator<Item = Rotated> {
    let keys = (2..=version).map(|first| Rotated { first });
    keys.filter(move |key| key.end() > version)
}

/// How a request authenticates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// It doesn't.
    None,
    /// By a key that no configuration ever held.
    Unknown,
    /// By a key that every configuration holds.
    Permanent,
    /// By a key that some versions hold.
    Rotated(Rotated),
}

impl Credential {
    /// The text of the key.
    #[must_use]
    pub fn key(self) -> Option<String> {
        match self {
            Self::None => None,
            Self::Unknown => Some(UNKNOWN_KEY.to_owned()),
            Self::Permanent => Some(PERMANENT_KEY.to_owned()),
            Self::Rotated(key) => Some(key.text()),
        }
    }
}

/// A request that probes keys.
#[derive(Clone, Debug)]
pub struct Probe {
    /// How it authenticates.
    pub credential: Credential,
    /// Number of the gateway that it is sent to.
    pub gateway: usize,
    /// Method and path.
    pub target: String,
    /// Whether the route serves requests without a key, in some versions at least.
    pub is_open: bool,
    /// Whether its body comes in two halves.
    pub is_halved: bool,
    /// Whether the gateway was suspended when the request began to be sent.
    pub is_at_suspended: bool,
    /// When the request began to be sent, as time since the start of the run.
    pub sent: Duration,
}

/// A removal of a key that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    /// The key.
    pub key: Rotated,
    /// The first acknowledged version without it.
    pub version: u64,
    /// When that version was acknowledged, as time since the start of the run.
    pub at: Duration,
}

impl Removal {
    /// Whether a request with the key that was sent at `sent` must not run.
    #[must_use]
    pub fn forbids(&self, sent: Duration) -> bool {
        sent > self.at + REVOCATION
    }
}

#[derive(Default)]
struct State {
    /// The newest version that was sent, whether it was acknowledged or not.
    sent: u64,
    /// The acknowledged versions and when they were acknowledged, in order.
    acknowledged: Vec<(u64, Duration)>,
    probes: HashMap<String, Probe>,
    /// The violations by kind.
    violations: BTreeMap<&'static str, Vec<String>>,
    /// The requests with violations.
    violating: HashSet<String>,
}

/// Records which keys the configurations hold, and the requests that probe them.
#[derive(Default)]
pub struct Keys(Mutex<State>);

impl Keys {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Records that a version is about to be sent.
    pub fn record_sent(&self, version: u64) {
        self.state().sent = version;
    }

    /// Records that a version has been acknowledged.
    pub fn record_acknowledged(&self, version: u64, now: Duration) {
        self.state().acknowledged.push((version, now));
    }

    /// The acknowledged removals, oldest first.
    pub fn removals(&self) -> Vec<Removal> {
        self.state().removals()
    }

    /// The rotated keys of the newest acknowledged version.
    pub fn in_force(&self) -> Vec<Rotated> {
        let newest = self.state().acknowledged.last().copied();
        newest.map_or_else(Vec::new, |(version, _)| rotated(version).collect())
    }

    /// Records a request that is about to be sent.
    pub fn record_probe(&self, id: &str, probe: Probe) {
        self.state().probes.insert(id.to_owned(), probe);
    }

    /// Checks a request that a target runs at `now`, or of which it runs a piece.
    pub fn check_run(&self, id: &str, target: &str, now: Duration) {
        let mut state = self.state();
        let violation = state.run_violation(id, target, now);
        state.record_violation(id, violation);
    }

    /// Checks a request that was denied for its key (401): some version that may have been in force
    /// from its sending to now must deny it.
    pub fn check_denied(&self, id: &str) {
        let mut state = self.state();
        let violation = state.denial_violation(id);
        state.record_violation(id, violation);
    }

    /// The violations as text, by kind.
    pub fn violations(&self) -> Vec<String> {
        let mut texts = Vec::new();
        for (kind, found) in &self.state().violations {
            texts.extend(found.iter().take(MAX_VIOLATIONS).cloned());
            if found.len() > MAX_VIOLATIONS {
                texts.push(format!("{kind}: {} requests in all", found.len()));
            }
        }
        texts
    }

    /// Numbers of probes by kind. `late` ones must not run.
    pub fn summary(&self) -> Value {
        let state = self.state();
        let late: Vec<&Probe> = state
            .probes
            .values()
            .filter(|it| state.is_late(it))
            .collect();
        let count = |of: &dyn Fn(&Probe) -> bool| late.iter().filter(|it| of(it)).count();
        let with = |of: &dyn Fn(Credential) -> bool| {
            let probes = state.probes.values();
            probes.filter(|probe| of(probe.credential)).count()
        };
        json!({
            "all": state.probes.len(),
            "without_key": with(&|it| it == Credential::None),
            "with_unknown_key": with(&|it| it == Credential::Unknown),
            "late": late.len(),
            "late_in_halves": count(&|it| it.is_halved),
            "late_on_open_routes": count(&|it| it.is_open),
            "late_at_suspended_gateways": count(&|it| it.is_at_suspended),
            "late_in_halves_at_suspended_gateways":
                count(&|it| it.is_halved && it.is_at_suspended),
        })
    }
}

/// A kind of violation and its text.
type Violation = (&'static str, String);

impl State {
    /// Records a violation, unless the request has one already.
    fn record_violation(&mut self, id: &str, violation: Option<Violation>) {
        if let Some((kind, text)) = violation
            && self.violating.insert(id.to_owned())
        {
            self.violations.entry(kind).or_default().push(text);
        }
    }

    fn run_violation(&self, id: &str, target: &str, now: Duration) -> Option<Violation> {
        let probe = self.probes.get(id)?;
        let key = probe.credential.key()?;
        let halves = if probe.is_halved {
            " in two halves"
        } else {
            ""
        };
        let (request, sent, gateway) = (&probe.target, probe.sent, probe.gateway);
        let what = format!(
            "{id} ({request}{halves}) with {key} ran at {target} at {now:?}, sent at {sent:?} to \
             gateway {gateway}"
        );
        match probe.credential {
            Credential::None | Credential::Permanent => None,
            Credential::Unknown => {
                let text = format!("{what}: no configuration held the key");
                Some(("with an unknown key", text))
            }
            Credential::Rotated(key) => {
                let removal = self.removal(key).filter(|it| it.forbids(sent))?;
                let (version, at) = (removal.version, removal.at);
                let late = sent - at;
                let text = format!(
                    "{what}: version {version} without the key was acknowledged at {at:?}, \
                     {late:?} before"
                );
                let kind = match (probe.is_open, probe.is_halved) {
                    (true, _) => "with a removed key on a route that serves requests without one",
                    (false, true) => "in two halves with a removed key",
                    (false, false) => "whole with a removed key",
                };
                Some((kind, text))
            }
        }
    }

    fn denial_violation(&self, id: &str) -> Option<Violation> {
        let probe = self.probes.get(id)?;
        // A gateway decides by a configuration that is younger than the bound.
        let oldest = self.version_at(probe.sent.saturating_sub(REVOCATION));
        let newest = self.sent;
        let is_admitted = match probe.credential {
            Credential::None | Credential::Permanent => true,
            Credential::Unknown => false,
            Credential::Rotated(key) => key.first <= oldest && newest < key.end(),
        };
        let key = probe.credential.key();
        let key = key.unwrap_or_else(|| "no key".to_owned());
        let (request, gateway) = (&probe.target, probe.gateway);
        let text = format!(
            "{id} ({request}) with {key}, which versions {oldest} to {newest} admit, got 401 at \
             gateway {gateway}"
        );
        is_admitted.then_some(("denied", text))
    }

    fn removal(&self, key: Rotated) -> Option<Removal> {
        let mut acknowledged = self.acknowledged.iter();
        let first = acknowledged.find(|(version, _)| *version >= key.end());
        first.map(|&(version, at)| Removal { key, version, at })
    }

    fn removals(&self) -> Vec<Removal> {
        let keys = (2..=self.sent).map(|first| Rotated { first });
        let mut removals: Vec<Removal> = keys.filter_map(|key| self.removal(key)).collect();
        removals.sort_by_key(|removal| removal.at);
        removals
    }

    fn is_late(&self, probe: &Probe) -> bool {
        let Credential::Rotated(key) = probe.credential else {
            return false;
        };
        let removal = self.removal(key);
        removal.is_some_and(|it| it.forbids(probe.sent))
    }

    /// The newest version that was acknowledged at a time.
    fn version_at(&self, time: Duration) -> u64 {
        let acknowledged = self.acknowledged.iter();
        let before = acknowledged.take_while(|(_, at)| *at <= time).last();
        before.map_or(1, |(version, _)| *version)
    }
}
