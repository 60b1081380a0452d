//! The replicated state of roll-outs.
//!
//! Load pattern: operators resend orders to several control daemons, and leaders change. Every
//! transition names the roll-out and the step that it leaves, so that it is applied at most once.

use std::collections::BTreeMap;

use azurelug_types::data;
use azurelug_types::id::ServiceName;
use azurelug_types::rollout::{Policy, Running, Step};

/// Versions and past orders that are stored for each service. A service seldom runs more than two
/// versions; orders are repeated for seconds.
const MAX_STORED: usize = 8;

data! {
    /// A command on roll-outs.
    #[derive(Eq)]
    pub enum Command {
        /// Starts a roll-out.
        Start {
            /// The service.
            service: ServiceName,
            /// The new version.
            target: String,
            /// Versions of the service in the platform's list, used if none is in force yet.
            listed: Vec<String>,
            /// Time within which it has to be complete, in milliseconds.
            duration_ms: u64,
            /// The receiving daemon's wall clock in milliseconds since 1970.
            at_ms: u64,
            /// Time for which the same order is a repeat, in milliseconds.
            repeat_ms: u64,
        },
        /// Moves a roll-out from one step to another.
        Advance {
            /// The service.
            service: ServiceName,
            /// The roll-out's number.
            number: u64,
            /// The step that is left; a roll-out in another step is not changed.
            from: Step,
            /// The next step.
            to: Step,
            /// The leader's wall clock in milliseconds since 1970.
            at_ms: u64,
            /// The reason, for operators.
            reason: String,
        },
        /// Rolls a roll-out back, whatever its step is.
        Cancel {
            /// The service.
            service: ServiceName,
            /// The roll-out's number.
            number: u64,
            /// The receiving daemon's wall clock in milliseconds since 1970.
            at_ms: u64,
        },
        /// Allows a version that was released without an order.
        Admit {
            /// The service.
            service: ServiceName,
            /// The version.
            version: String,
            /// Number of the service's last roll-out; a service with a newer one is not changed.
            after: u64,
        },
    }

    /// The result of a command.
    #[derive(Eq)]
    pub enum Outcome {
        /// The command, or an earlier one with the same effect, is in force.
        Done,
        /// Another roll-out of the service, towards this version, is in progress.
        Conflict(String),
        /// The command is out of date and has changed nothing.
        Stale,
    }

    /// One roll-out.
    #[derive(Eq)]
    pub struct Rollout {
        /// Its number, which is unique in the cluster.
        pub number: u64,
        /// The new version.
        pub target: String,
        /// Time within which it has to be complete, in milliseconds.
        pub duration_ms: u64,
        /// When it was accepted, in milliseconds since 1970.
        pub accepted_ms: u64,
        /// Its step.
        pub step: Step,
        /// When the step began, in milliseconds since 1970.
        pub step_ms: u64,
        /// Why the step began.
        pub reason: String,
    }

    /// The versions of one service.
    #[derive(Eq, Default)]
    pub struct Service {
        /// The versions in force; all are if it is empty.
        pub allowed: Vec<String>,
        /// Versions that were replaced or rolled back.
        pub rejected: Vec<String>,
        /// The last roll-out.
        pub rollout: Option<Rollout>,
        /// Target and time of acceptance of the last orders.
        orders: Vec<(String, u64)>,
    }

    /// The roll-outs of all services.
    #[derive(Eq, Default)]
    pub struct Rollouts {
        last_number: u64,
        services: BTreeMap<ServiceName, Service>,
    }
}

impl Rollout {
    /// When it has to be complete, in milliseconds since 1970.
    #[must_use]
    pub fn limit_ms(&self) -> u64 {
        self.accepted_ms.saturating_add(self.duration_ms)
    }
}

impl Service {
    /// The roll-out in progress.
    #[must_use]
    pub fn running(&self) -> Option<&Rollout> {
        self.rollout.as_ref().filter(|it| !it.step.is_final())
    }

    /// Number of the last roll-out; 0 if there was none.
    #[must_use]
    pub fn last_number(&self) -> u64 {
        self.rollout.as_ref().map_or(0, |rollout| rollout.number)
    }

    fn is_repeated(&self, target: &str, at_ms: u64, repeat_ms: u64) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|(ordered, at)| ordered == target && at_ms <= at.saturating_add(repeat_ms))
    }

    fn finish(&mut self, to: Step) {
        let Some(rollout) = &self.rollout else { return };
        let target = rollout.target.clone();
        if to == Step::Completed {
            let replaced = std::mem::replace(&mut self.allowed, vec![target]);
            replaced.into_iter().for_each(|it| self.reject(it));
        } else {
            self.reject(target);
        }
    }

    fn reject(&mut self, version: String) {
        self.rejected.retain(|it| *it != version);
        store(&mut self.rejected, version);
    }

    fn admit(&mut self, version: String) {
        self.rejected.retain(|it| *it != version);
        store(&mut self.allowed, version);
    }
}

/// Adds an entry and removes the oldest one above the limit.
fn store<T>(entries: &mut Vec<T>, entry: T) {
    entries.push(entry);
    if entries.len() > MAX_STORED {
        entries.remove(0);
    }
}

impl Rollouts {
    /// Applies a committed command. Returns its outcome and whether the state has changed.
    pub fn apply(&mut self, command: Command) -> (Outcome, bool) {
        match command {
            Command::Start {
                service,
                target,
                listed,
                duration_ms,
                at_ms,
                repeat_ms,
            } => {
                let number = self.last_number + 1;
                let rollout = Rollout {
                    number,
                    target,
                    duration_ms,
                    accepted_ms: at_ms,
                    step: Step::Probe,
                    step_ms: at_ms,
                    reason: "ordered".to_owned(),
                };
                let state = self.services.entry(service).or_default();
                let ended = state.start(rollout, listed, repeat_ms);
                if ended.1 {
                    self.last_number = number;
                }
                ended
            }
            Command::Advance {
                service,
                number,
                from,
                to,
                at_ms,
                reason,
            } => self.advance(&service, number, to, at_ms, reason, |step| step == from),
            Command::Cancel {
                service,
                number,
                at_ms,
            } => {
                let reason = "ended by an operator".to_owned();
                self.advance(&service, number, Step::RolledBack, at_ms, reason, |_| true)
            }
            Command::Admit {
                service,
                version,
                after,
            } => {
                let state = self.services.entry(service).or_default();
                let is_current = state.last_number() == after && state.running().is_none();
                if !is_current {
                    return (Outcome::Stale, false);
                }
                if state.allowed.contains(&version) {
                    return (Outcome::Done, false);
                }
                state.admit(version);
                (Outcome::Done, true)
            }
        }
    }

    fn advance(
        &mut self,
        service: &ServiceName,
        number: u64,
        to: Step,
        at_ms: u64,
        reason: String,
        may_leave: impl Fn(Step) -> bool,
    ) -> (Outcome, bool) {
        let Some(state) = self.services.get_mut(service) else {
            return (Outcome::Stale, false);
        };
        let Some(rollout) = &mut state.rollout else {
            return (Outcome::Stale, false);
        };
        if rollout.number != number || rollout.step.is_final() || !may_leave(rollout.step) {
            let is_done = rollout.number == number && rollout.step == to;
            return (
                if is_done {
                    Outcome::Done
                } else {
                    Outcome::Stale
                },
                false,
            );
        }
        rollout.step = to;
        rollout.step_ms = at_ms;
        rollout.reason = reason;
        if to.is_final() {
            state.finish(to);
        }
        (Outcome::Done, true)
    }

    /// The versions of a service, if anything is known of them.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&Service> {
        self.services.get(service)
    }

    /// The services of which versions are known.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }

    /// The roll-outs in progress.
    pub fn running(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        let services = self.services.iter();
        services.filter_map(|(name, service)| Some((name, service.running()?)))
    }

    /// What gateways have to know.
    #[must_use]
    pub fn policies(&self) -> Vec<Policy> {
        let policy = |(name, service): (&ServiceName, &Service)| Policy {
            service: name.clone(),
            allowed: service.allowed.clone(),
            rejected: service.rejected.clone(),
            running: service.running().map(|rollout| Running {
                number: rollout.number,
                target: rollout.target.clone(),
                step: rollout.step,
            }),
        };
        self.services.iter().map(policy).collect()
    }
}

impl Service {
    fn start(
        &mut self,
        mut rollout: Rollout,
        listed: Vec<String>,
        repeat_ms: u64,
    ) -> (Outcome, bool) {
        let target = rollout.target.clone();
        if let Some(running) = self.running()
            && running.target == target
        {
            return (Outcome::Done, false);
        }
        if self.is_repeated(&target, rollout.accepted_ms, repeat_ms) {
            return (Outcome::Done, false);
        }
        if let Some(running) = self.running() {
            return (Outcome::Conflict(running.target.clone()), false);
        }
        if self.allowed.is_empty() {
            self.allowed = listed;
        }
        store(&mut self.orders, (target.clone(), rollout.accepted_ms));
        if self.allowed == [target.clone()] {
            rollout.step = Step::Completed;
            rollout.reason = "already in force".to_owned();
        }
        if rollout.step != Step::Completed {
            self.allowed.retain(|it| *it != target);
        }
        self.rejected.retain(|it| *it != target);
        self.rollout = Some(rollout);
        (Outcome::Done, true)
    }
}
