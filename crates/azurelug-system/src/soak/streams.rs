//! Checks of streams that targets of several versions make and clients resume.

use std::sync::{Mutex, MutexGuard};

use serde_json::{Value, json};

/// Resumed streams from which their share that goes on is checked.
const MIN_RESUMED: u64 = 12;

/// Minimum share of resumed streams that go on, as a fraction of the share of new streams that begin.
const MIN_GONE_ON: f64 = 0.5;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, from 1.
    pub id: u64,
    /// The software version of the target that made it.
    pub version: String,
}

/// The complete events in a part of a stream.
#[must_use]
pub fn events(text: &str) -> Vec<Event> {
    let Some((whole, _)) = text.rsplit_once("\n\n") else {
        return Vec::new();
    };
    let event = |block: &str| {
        let field = |name| block.lines().find_map(|line| line.strip_prefix(name));
        let id = field("id: ")?.parse().ok()?;
        let version = field("data: ")?.to_owned();
        Some(Event { id, version })
    };
    whole.split("\n\n").filter_map(event).collect()
}

/// The end of one try of a client to resume a stream.
#[derive(Clone, Copy, Debug)]
pub struct Resumed {
    /// Whether a further event came.
    pub is_gone_on: bool,
    /// Whether it was refused as not run.
    pub is_refused: bool,
    /// Whether two targets of the stream's version were listed and up all the while.
    pub is_covered: bool,
}

#[derive(Default)]
struct State {
    new: u64,
    begun: u64,
    resumed: u64,
    gone_on: u64,
    refused: u64,
    covered: u64,
    covered_gone_on: u64,
    violations: Vec<String>,
}

/// Records the streams of clients that resume them.
#[derive(Default)]
pub struct Streams(Mutex<State>);

impl Streams {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Records a try to start a stream, and whether its first event came.
    pub fn record_new(&self, has_begun: bool) {
        let mut state = self.state();
        state.new += 1;
        state.begun += u64::from(has_begun);
    }

    /// Records a try to resume a stream.
    pub fn record_resumed(&self, resumed: Resumed) {
        let mut state = self.state();
        state.resumed += 1;
        state.gone_on += u64::from(resumed.is_gone_on);
        state.refused += u64::from(resumed.is_refused);
        state.covered += u64::from(resumed.is_covered);
        state.covered_gone_on += u64::from(resumed.is_covered && resumed.is_gone_on);
    }

    /// Checks the events of a stream so far, in one answer or over several tries of a client: all of
    /// one version, each once and in order. False if they are not.
    pub fn check(&self, id: &str, events: &[Event]) -> bool {
        let versions = events.windows(2).find(|it| it[0].version != it[1].version);
        let order = events.iter().zip(1..).find(|(event, id)| event.id != *id);
        let violation = if let Some([before, after]) = versions {
            format!(
                "{id}: event {} is of {}, event {} of {}",
                before.id, before.version, after.id, after.version
            )
        } else if let Some((event, expected)) = order {
            format!("{id}: event {} came instead of {expected}", event.id)
        } else {
            return true;
        };
        self.state().violations.push(violation);
        false
    }

    /// The violations as text.
    pub fn violations(&self) -> Vec<String> {
        let state = self.state();
        let mut violations = state.violations.clone();
        let share = |part: u64, all: u64| part as f64 / all.max(1) as f64;
        let (went, began) = (
            share(state.covered_gone_on, state.covered),
            share(state.begun, state.new),
        );
        if state.covered >= MIN_RESUMED && went < MIN_GONE_ON * began {
            violations.push(format!(
                "of {} streams resumed while two targets of their version were up {} went on, of {} \
                 new ones {} began",
                state.covered, state.covered_gone_on, state.new, state.begun
            ));
        }
        violations
    }

    /// Numbers of streams by kind.
    pub fn summary(&self) -> Value {
        let state = self.state();
        json!({"new": state.new, "begun": state.begun, "resumed": state.resumed,
            "gone_on": state.gone_on, "refused": state.refused,
            "resumed_beside_two_targets": state.covered,
            "gone_on_beside_two_targets": state.covered_gone_on,
            "violations": state.violations.len()})
    }
}
