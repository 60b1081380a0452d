//! Checks of roll-outs: what targets of several versions of a service receive, and what operators
//! read.

pub mod orders;

use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use azurelug_testkit::outage::Outages;
use serde_json::{Value, json};

/// The service with roll-outs.
pub const SERVICE: &str = "desk";

/// The version of the first targets.
pub const FIRST_VERSION: u8 = 1;

/// Largest part of the requests that a version gets before it is judged, as in the daemons' settings.
pub const EXPOSURE_SHARE: f64 = 0.1;

/// Requests beyond it. A bad version with few answers may go on to half of the requests before it is
/// judged.
pub const EXPOSURE_SLACK: f64 = 50.0;

/// Time from the 50th bad answer of a version until it must get nothing.
pub const ROLLBACK: Duration = Duration::from_secs(5);

/// Bad answers from which [`ROLLBACK`] counts.
const BAD_ANSWERS: usize = 50;

/// Time for which an order may be sent again.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Extension of [`ROLLBACK`] while the control daemons may have no stable majority.
const ELECTION: Duration = Duration::from_secs(6);

/// Time from the first read of an end until the versions that it rejects must get nothing: 2 s for which
/// a gateway may follow an earlier policy, and 1 s for requests in transit.
pub const END_LIMIT: Duration = Duration::from_secs(3);

/// Time after a fault of a gateway or a control daemon until gateways are in contact again.
const CONTACT: Duration = Duration::from_secs(3);

/// A request that a target received.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Version of the target.
    pub version: u8,
    /// The request, whose repeats have the same id.
    pub id: String,
    /// The gateway that its client sent it to.
    pub gateway: Option<usize>,
    /// When it arrived, as time since the start of the run.
    pub at: Duration,
}

/// What operators read of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// In progress.
    Running,
    /// The version is in force.
    Completed,
    /// The version is rejected.
    RolledBack,
}

impl Progress {
    /// Decodes a state as operators read it.
    #[must_use]
    pub fn read(state: &str) -> Option<Self> {
        match state {
            "running" => Some(Self::Running),
            "completed" => Some(Self::Completed),
            "rolled_back" => Some(Self::RolledBack),
            _ => None,
        }
    }
}

/// An order for a version.
#[derive(Clone, Debug)]
struct Order {
    is_bad: bool,
    /// When it was first sent.
    sent: Duration,
    acknowledged: Option<Duration>,
    /// What was first read of its end, and when.
    end: Option<(Progress, Duration)>,
    /// When its targets gave bad answers.
    bad_answers: Vec<Duration>,
}

#[derive(Default)]
struct State {
    orders: BTreeMap<u8, Order>,
    arrivals: Vec<Arrival>,
    /// Spans in which a gateway was faulty or out of contact.
    gateways: Outages,
    /// Spans in which control daemons were faulty, or gateways not yet in contact again.
    controls: Outages,
    /// Gateways and control daemons under a fault, and since when.
    faulty_gateways: BTreeMap<usize, Duration>,
    faulty_control: Option<Duration>,
    reads: u64,
    violations: Vec<String>,
}

/// Records the orders for roll-outs, their effects and the violations.
#[derive(Default)]
pub struct Rollouts(Mutex<State>);

impl Rollouts {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Records that an order for a version is sent for the first time.
    pub fn record_order(&self, version: u8, is_bad: bool, at: Duration) {
        let order = Order {
            is_bad,
            sent: at,
            acknowledged: None,
            end: None,
            bad_answers: Vec::new(),
        };
        self.state().orders.insert(version, order);
    }

    /// Records that the order for a version was acknowledged.
    pub fn record_acknowledged(&self, version: u8, at: Duration) {
        if let Some(order) = self.state().orders.get_mut(&version) {
            order.acknowledged = Some(at);
        }
    }

    /// Records a request that arrived at a target.
    pub fn record_arrival(&self, arrival: Arrival) {
        self.state().arrivals.push(arrival);
    }

    /// Records a bad answer of a target.
    pub fn record_bad_answer(&self, version: u8, at: Duration) {
        if let Some(order) = self.state().orders.get_mut(&version) {
            order.bad_answers.push(at);
        }
    }

    /// Records that a gateway is killed, stopped or frozen.
    pub fn start_fault(&self, gateway: usize, at: Duration) {
        self.state().faulty_gateways.insert(gateway, at);
    }

    /// Records the end of a gateway's fault.
    pub fn end_fault(&self, gateway: usize, at: Duration) {
        let mut state = self.state();
        if let Some(start) = state.faulty_gateways.remove(&gateway) {
            let name = gateway.to_string();
            state.gateways.record(&name, start, at + CONTACT);
        }
    }

    /// Records the start or the end of a control daemon's fault. These faults don't overlap.
    pub fn record_control_fault(&self, is_start: bool, at: Duration) {
        let mut state = self.state();
        let start = state.faulty_control.take();
        if is_start {
            state.faulty_control = Some(at);
        } else if let Some(start) = start {
            state.controls.record_all(start, at + CONTACT);
        }
    }

    /// What is known before a read: the version that was acknowledged last, and its end if that was
    /// read.
    #[must_use]
    pub fn known(&self) -> Option<(u8, Option<Progress>)> {
        let state = self.state();
        let mut orders = state.orders.iter().rev();
        let (version, order) = orders.find(|(_, order)| order.acknowledged.is_some())?;
        Some((*version, order.end.map(|(end, _)| end)))
    }

    /// Checks what an operator read against what was known before the read, and records it. `read` is
    /// none if the control daemon knows no roll-out.
    pub fn record_read(
        &self,
        known: Option<(u8, Option<Progress>)>,
        read: Option<(u8, Progress)>,
        at: Duration,
    ) {
        let mut state = self.state();
        state.reads += 1;
        if let Some((acknowledged, end)) = known {
            let is_older = match read {
                None => true,
                Some((version, _)) if version != acknowledged => version < acknowledged,
                Some((_, progress)) => end.is_some_and(|end| end != progress),
            };
            if is_older {
                state.violations.push(format!(
                    "{read:?} was read of the roll-out at {at:?} after v{acknowledged} had been \
                     acknowledged, {end:?}"
                ));
            }
        }
        let Some((version, progress)) = read else {
            return;
        };
        match state.orders.get_mut(&version) {
            Some(order) if progress != Progress::Running => {
                order.end.get_or_insert((progress, at));
            }
            Some(_) => {}
            None => {
                let text = format!("a roll-out of v{version} was read, which no order names");
                state.violations.push(text);
            }
        }
    }

    /// The violations as text, of each version and check the first.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let state = self.state();
        let mut violations = state.violations.clone();
        violations.extend(state.unordered());
        for (version, order) in &state.orders {
            violations.extend(state.late_to_bad(*version, order));
            violations.extend(state.late_after_end(*version, order));
            violations.extend(state.overexposed(*version, order));
        }
        violations
    }

    /// The orders with their effects, and the number of reads.
    #[must_use]
    pub fn summary(&self) -> Value {
        let state = self.state();
        let orders = state.orders.iter().map(|(version, order)| {
            let millis = |at: Duration| at.as_millis() as u64;
            let (sends, requests) = state.exposure(*version, order).last().unwrap_or_default();
            json!({"version": version, "bad": order.is_bad, "sent_ms": millis(order.sent),
                "acknowledged_ms": order.acknowledged.map(millis),
                "end": order.end.map(|(end, at)| (format!("{end:?}"), millis(at))),
                "bad_answers": order.bad_answers.len(), "sends": sends, "requests": requests})
        });
        let orders: Vec<Value> = orders.collect();
        json!({"orders": orders, "reads": state.reads})
    }
}

impl State {
    /// Whether the gateway of a request was under a fault or out of contact when it arrived.
    fn is_excused(&self, arrival: &Arrival) -> bool {
        arrival.gateway.is_none_or(|gateway| {
            self.gateways.covers(&gateway.to_string(), arrival.at)
                || self.faulty_gateways.contains_key(&gateway)
        })
    }

    fn is_control_faulty(&self, at: Duration) -> bool {
        let is_in_progress = self.faulty_control.is_some_and(|start| start <= at);
        is_in_progress || self.controls.covers("", at)
    }

    fn of(&self, version: u8) -> impl Iterator<Item = &Arrival> + Clone {
        let arrivals = self.arrivals.iter();
        arrivals.filter(move |arrival| arrival.version == version)
    }

    /// Requests at versions before an order names them. No fault makes up for an order.
    fn unordered(&self) -> Vec<String> {
        let versions: HashSet<u8> = self.arrivals.iter().map(|it| it.version).collect();
        let unordered = versions.into_iter().filter_map(|version| {
            let sent = match (version, self.orders.get(&version)) {
                (FIRST_VERSION, _) => Duration::ZERO,
                (_, Some(order)) => order.sent,
                (_, None) => Duration::MAX,
            };
            let early = self.of(version).filter(|arrival| arrival.at < sent);
            let (first, count) = (early.clone().next()?, early.count());
            Some(format!(
                "v{version} got {count} requests before an order named it, {first:?}"
            ))
        });
        unordered.collect()
    }

    /// Requests at a version later than the time for its roll-back after its 50th bad answer.
    fn late_to_bad(&self, version: u8, order: &Order) -> Option<String> {
        let fiftieth = *order.bad_answers.get(BAD_ANSWERS - 1)?;
        let limit = fiftieth + ROLLBACK;
        let is_disturbed = (0..ROLLBACK.as_millis() as u64)
            .step_by(50)
            .any(|offset| self.is_control_faulty(fiftieth + Duration::from_millis(offset)));
        let limit = if is_disturbed {
            limit + ELECTION
        } else {
            limit
        };
        let mut late = self.of(version).filter(|it| it.at > limit);
        let first = late.find(|it| !self.is_excused(it))?;
        Some(format!(
            "v{version} got {first:?}; its 50th bad answer was at {fiftieth:?}"
        ))
    }

    /// Requests at versions that an end has rejected: the version that was rolled back, or those before
    /// the one that is in force.
    fn late_after_end(&self, version: u8, order: &Order) -> Option<String> {
        let (end, at) = order.end?;
        let is_rejected = |it: &&Arrival| match end {
            Progress::Completed => it.version < version,
            _ => it.version == version,
        };
        let arrivals = self.arrivals.iter().filter(is_rejected);
        let late = arrivals.filter(|it| it.at > at + END_LIMIT);
        let is_sound = |it: &&Arrival| !self.is_excused(it) && !self.is_control_faulty(it.at);
        let late = late.filter(is_sound);
        let (first, count) = (late.clone().next()?, late.count());
        Some(format!(
            "{count} requests came after v{version} was read as {end:?} at {at:?}, the first {first:?}"
        ))
    }

    /// For each request since an order: the sends to the version and the different requests to the
    /// service so far.
    fn exposure(&self, version: u8, order: &Order) -> impl Iterator<Item = (u64, u64)> {
        let (mut sends, mut ids) = (0, HashSet::new());
        let sent = order.sent;
        let until = self.orders.range(version + 1..).next();
        let until = until.map_or(Duration::MAX, |(_, next)| next.sent);
        let arrivals = self.arrivals.iter();
        let arrivals = arrivals.filter(move |it| (sent..until).contains(&it.at));
        arrivals.map(move |arrival| {
            ids.insert(&arrival.id);
            sends += u64::from(arrival.version == version);
            (sends, ids.len() as u64)
        })
    }

    /// A bad version that got more than the bound. It is bad from its first request on, so that it is
    /// never judged as good.
    fn overexposed(&self, version: u8, order: &Order) -> Option<String> {
        let bound = |requests: u64| requests as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
        let mut exposure = self.exposure(version, order).filter(|_| order.is_bad);
        let (sends, requests) =
            exposure.find(|(sends, requests)| *sends as f64 > bound(*requests))?;
        Some(format!(
            "v{version}, which is bad, got {sends} sends of {requests} requests"
        ))
    }
}
