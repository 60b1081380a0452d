//! Roll-outs: operators' orders, and the leader's decisions about their steps.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::orders::{Order, Orders};
use azurelug_core::gateway::rollout::plan::{Monitor, Observed, Transition};
use azurelug_core::gateway::rollout::sightings::Sightings;
use azurelug_core::gateway::rollout::state::{self, Command, Rollout};
use azurelug_core::machine;
use azurelug_platform::document;
use azurelug_types::deployment::Target;
use azurelug_types::id::ServiceName;
use azurelug_types::rollout::Step;
use azurelug_wire::codec;
use http::StatusCode;
use serde::Serialize;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateways::Gateways;
use crate::internal::wall_clock_ms;
use crate::replica::{self, Replica};
use crate::settings::RolloutBounds;

/// Interval between two decisions of the leader, a small part of the time for a roll-back.
const DECISION_INTERVAL: Duration = Duration::from_millis(150);

/// How long an unordered version is held after the last time at which an order for it may be sent: a
/// commit and the age of the list.
const HOLD_MARGIN: Duration = Duration::from_secs(1);

/// Time after which an order is no repeat any more, as a multiple of the time in which it may be sent
/// again. The rest allows for the difference between the daemons' clocks.
const REPEAT_FACTOR: u32 = 2;

/// Why an operator's call on a roll-out has no success.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No configuration names the service.
    #[error("no configuration names the service '{0}'; name one of its services")]
    UnknownService(String),
    /// The service runs towards another version.
    #[error("a roll-out of this service to '{0}' is in progress; wait for its end or end it first")]
    InProgress(String),
    /// There is no roll-out.
    #[error("the service has no roll-out; order one first")]
    None,
    /// There is no configuration to check the order against.
    #[error("no configuration yet; send one first")]
    NoConfiguration,
    /// The newest state is not known here.
    #[error("not known to be the newest; ask another daemon")]
    NotFresh,
    /// The order was not committed.
    #[error("{0}")]
    NotCommitted(String),
}

impl Refusal {
    /// The status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownService(_) => StatusCode::BAD_REQUEST,
            Self::InProgress(_) => StatusCode::CONFLICT,
            Self::None => StatusCode::NOT_FOUND,
            Self::NoConfiguration | Self::NotFresh | Self::NotCommitted(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// A roll-out and its evidence, for the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutRow {
    service: String,
    number: u64,
    target: String,
    allowed: Vec<String>,
    rejected: Vec<String>,
    step: &'static str,
    reason: String,
    duration_ms: u64,
    age_ms: u64,
    new_sends: u64,
    requests: u64,
    new_answers: u64,
    new_failures: u64,
    old_answers: u64,
    old_failures: u64,
    pending_old: u64,
    gateways: usize,
    silent_gateways: usize,
    /// The strongest difference between the versions; none at a daemon that does not lead.
    verdict: Option<String>,
}

/// Orders and decisions. Clones share the state.
#[derive(Clone)]
pub struct Rollouts {
    replica: Replica,
    gateways: Gateways,
    bounds: RolloutBounds,
    watch: Arc<Mutex<Watch>>,
}

/// What the leader remembers during its leadership.
#[derive(Default)]
struct Watch {
    term: u64,
    monitors: BTreeMap<u64, Monitor>,
    sightings: Sightings,
}

impl Rollouts {
    /// Creates the state; [`Rollouts::run`] makes the decisions.
    pub fn new(replica: Replica, gateways: Gateways, bounds: RolloutBounds) -> Self {
        Self {
            replica,
            gateways,
            bounds,
            watch: Arc::default(),
        }
    }

    fn watch(&self) -> MutexGuard<'_, Watch> {
        self.watch.lock().expect("no holder of the lock panics")
    }

    /// Starts a roll-out. The same order may be sent again.
    ///
    /// # Errors
    /// Why it is not in force.
    pub async fn start(
        &self,
        service: ServiceName,
        target: String,
        duration: Duration,
    ) -> Result<(), Refusal> {
        let orders = self.replica.orders();
        let document = orders.document().ok_or(Refusal::NoConfiguration)?;
        let deployment = document::read(&document.bytes).map_err(|_| Refusal::NoConfiguration)?;
        // An accepted order may be repeated although a newer configuration has removed the service.
        let known = orders.rollouts().service(&service);
        let last = known.and_then(|it| it.rollout.as_ref());
        let is_accepted = last.is_some_and(|it| it.target == target);
        if !is_accepted && !deployment.services.iter().any(|it| it.name == service) {
            let refusal = Refusal::UnknownService(service.to_string());
            log::warn!("control: roll-out refused: {refusal}");
            return Err(refusal);
        }
        let repeat = self.bounds.ack_timeout.0 * REPEAT_FACTOR;
        let command = Command::Start {
            service: service.clone(),
            target: target.clone(),
            listed: self.other_versions(&service, &target),
            duration_ms: millis(duration),
            at_ms: wall_clock_ms(),
            repeat_ms: millis(repeat),
        };
        let about = format!("roll-out of {service} to {target} within {duration:?}");
        match self.commit(command, &about).await? {
            state::Outcome::Conflict(running) => Err(Refusal::InProgress(running)),
            state::Outcome::Done | state::Outcome::Stale => Ok(()),
        }
    }

    /// Rolls back the roll-out in progress. A service without one is left as it is.
    ///
    /// # Errors
    /// Why it is not rolled back.
    pub async fn end(&self, service: &ServiceName) -> Result<(), Refusal> {
        let rollout = self.read(service, self.bounds.ack_timeout.0).await?;
        if rollout.step.is_final() {
            return Ok(());
        }
        let command = Command::Cancel {
            service: service.clone(),
            number: rollout.number,
            at_ms: wall_clock_ms(),
        };
        let about = format!("end of the roll-out of {service} to {}", rollout.target);
        self.commit(command, &about).await.map(|_| ())
    }

    /// Reads a service's last roll-out.
    ///
    /// # Errors
    /// `None` if there is none, `NotFresh` if the newest state is not known within `limit`.
    pub async fn read(&self, service: &ServiceName, limit: Duration) -> Result<Rollout, Refusal> {
        if !self.replica.wait_fresh(limit).await {
            return Err(Refusal::NotFresh);
        }
        let orders = self.replica.orders();
        let known = orders.rollouts().service(service);
        known.and_then(|it| it.rollout.clone()).ok_or(Refusal::None)
    }

    async fn commit(&self, command: Command, about: &str) -> Result<state::Outcome, Refusal> {
        let command = machine::Command::Deployment(Order::Rollout(command));
        match self.replica.propose(&command).await {
            Ok(machine::Outcome::Rollout(outcome)) => {
                log::info!("control: {about}: {outcome:?}");
                Ok(outcome)
            }
            Ok(_) => Err(Refusal::NotCommitted(
                "wrong outcome; report this".to_owned(),
            )),
            Err(error) => {
                log::warn!("control: {about}: {error}");
                Err(Refusal::NotCommitted(error.to_string()))
            }
        }
    }

    /// The listed versions of a service other than `target`.
    fn other_versions(&self, service: &ServiceName, target: &str) -> Vec<String> {
        let Some(list) = self.gateways.targets() else {
            return Vec::new();
        };
        let own = list.entries.iter().filter(|it| it.service == *service);
        let mut versions: Vec<String> = own.map(|it| it.version.clone()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.retain(|version| version != target);
        versions
    }

    /// Decides on the steps while this daemon leads, until the process ends.
    pub async fn run(self) {
        let mut ticks = interval(DECISION_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let leadership = self.replica.leadership();
            let Some(leadership) = leadership.filter(|it| !self.replica.lease_left(*it).is_zero())
            else {
                continue;
            };
            for command in self.decide(leadership.term) {
                self.propose(command).await;
            }
        }
    }

    fn decide(&self, term: u64) -> Vec<Command> {
        let orders = self.replica.orders();
        let now = self.gateways.now();
        {
            let mut watch = self.watch();
            if watch.term != term {
                *watch = Watch {
                    term,
                    ..Watch::default()
                };
            }
            let running: Vec<u64> = orders.rollouts().running().map(|it| it.1.number).collect();
            watch.monitors.retain(|number, _| running.contains(number));
        }
        let list = self.gateways.targets();
        let targets = list.as_ref().map_or(&[][..], |list| &list.entries);
        let mut commands = Vec::new();
        for (service, rollout) in orders.rollouts().running() {
            let observed = self.observe(&orders, service, rollout, targets);
            let mut watch = self.watch();
            let monitors = &mut watch.monitors;
            let monitor = monitors.entry(rollout.number).or_insert(Monitor::new(now));
            if let Some(transition) = monitor.decide(rollout, &observed, now) {
                log_transition(service, rollout, &observed, &transition);
                commands.push(advance(service, rollout, transition));
            }
        }
        let hold = self.bounds.ack_timeout.0 + HOLD_MARGIN;
        let mut watch = self.watch();
        let admitted = watch
            .sightings
            .observe(targets, orders.rollouts(), hold, now);
        commands.extend(admitted);
        commands
    }

    fn observe(
        &self,
        orders: &Orders,
        service: &ServiceName,
        rollout: &Rollout,
        targets: &[Target],
    ) -> Observed {
        let known = orders.rollouts().service(service);
        let allowed = known.map_or(&[][..], |it| &it.allowed);
        let is_usable = |it: &&Target| {
            it.service == *service && !it.is_leaving && !orders.drained().contains(&it.zone)
        };
        let usable = targets.iter().filter(is_usable);
        let is_old = |it: &&Target| {
            it.version != rollout.target && (allowed.is_empty() || allowed.contains(&it.version))
        };
        let wall = wall_clock_ms();
        Observed {
            new_targets: usable
                .clone()
                .filter(|it| it.version == rollout.target)
                .count(),
            old_targets: usable.filter(is_old).count(),
            summary: self.gateways.rollout_summary(service, rollout.number),
            elapsed: Duration::from_millis(wall.saturating_sub(rollout.accepted_ms)),
            in_step: Duration::from_millis(wall.saturating_sub(rollout.step_ms)),
        }
    }

    /// Commits a decision. One that is not committed is made again at the next interval.
    async fn propose(&self, command: Command) {
        if let Command::Admit {
            service, version, ..
        } = &command
        {
            log::info!("control: version '{version}' of {service} is allowed: no order names it");
        }
        let command = machine::Command::Deployment(Order::Rollout(command));
        let encoded = match codec::encode(&command) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("control: decision on a roll-out: {error}");
                return;
            }
        };
        match self.replica.propose_locally(encoded).await {
            Ok(_) => {
                if let machine::Command::Deployment(Order::Rollout(Command::Advance {
                    to, ..
                })) = command
                {
                    self.replica.metrics().count_rollout_step(to.as_str());
                }
            }
            Err(
                error @ (replica::ProposeError::NotLeader(_)
                | replica::ProposeError::Lost
                | replica::ProposeError::TimedOut),
            ) => {
                log::info!("control: decision on a roll-out not committed here: {error:?}");
            }
            Err(
                error @ (replica::ProposeError::Busy | replica::ProposeError::StateFull { .. }),
            ) => {
                log::warn!("control: decision on a roll-out not committed: {error:?}");
            }
        }
    }

    /// The last roll-out of each service, for the state dump.
    pub fn rows(&self) -> Vec<RolloutRow> {
        let orders = self.replica.orders();
        let services = orders.rollouts().services();
        let rows = services.filter_map(|(service, known)| {
            let rollout = known.rollout.as_ref()?;
            let summary = self.gateways.rollout_summary(service, rollout.number);
            let verdict = {
                let watch = self.watch();
                let monitor = watch.monitors.get(&rollout.number);
                monitor.and_then(|it| it.finding().map(ToString::to_string))
            };
            let (new_answers, new_failures) = summary.counts.total(true);
            let (old_answers, old_failures) = summary.counts.total(false);
            Some(RolloutRow {
                service: service.to_string(),
                number: rollout.number,
                target: rollout.target.clone(),
                allowed: known.allowed.clone(),
                rejected: known.rejected.clone(),
                step: rollout.step.as_str(),
                reason: rollout.reason.clone(),
                duration_ms: rollout.duration_ms,
                age_ms: wall_clock_ms().saturating_sub(rollout.accepted_ms),
                new_sends: summary.new_sends,
                requests: summary.requests,
                new_answers,
                new_failures,
                old_answers,
                old_failures,
                pending_old: summary.pending_old,
                gateways: summary.gateways,
                silent_gateways: summary.silent,
                verdict,
            })
        });
        rows.collect()
    }
}

fn advance(service: &ServiceName, rollout: &Rollout, transition: Transition) -> Command {
    Command::Advance {
        service: service.clone(),
        number: rollout.number,
        from: rollout.step,
        to: transition.to,
        at_ms: wall_clock_ms(),
        reason: transition.reason,
    }
}

fn log_transition(
    service: &ServiceName,
    rollout: &Rollout,
    observed: &Observed,
    transition: &Transition,
) {
    let summary = &observed.summary;
    let line = format!(
        "control: roll-out {} of {service} to {}: {} -> {}: {}; elapsed_ms={} sends={} requests={} \
         pending_old={} gateways={} silent={}",
        rollout.number,
        rollout.target,
        rollout.step.as_str(),
        transition.to.as_str(),
        transition.reason,
        observed.elapsed.as_millis(),
        summary.new_sends,
        summary.requests,
        summary.pending_old,
        summary.gateways,
        summary.silent
    );
    if transition.to == Step::RolledBack {
        log::warn!("{line}");
    } else {
        log::info!("{line}");
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
