//! One simulated entry daemon, with the production modules or the naive baseline.

use std::time::Duration;

use azurelug_core::admission::pipeline_capacity;
use azurelug_core::admission::{
    Action, Admission, AdmissionRequest, Admitted, Refused, Settings, Ticket,
};
use azurelug_core::latency::{Class, Latencies};
use azurelug_core::lease_mode::Mode;
use azurelug_core::naive;
use azurelug_core::retry::{Budget, FailedCall};
use azurelug_core::routing::{
    CallKey, Choice, LoadReport, NoTarget, Outcome, Query, Requirement, Router,
    Settings as RouterSettings,
};
use azurelug_core::slow_start::DaemonRank;
use azurelug_types::config::{Config, ModelRef, StageKind};
use azurelug_types::id::TargetKey;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::model::{GENERATE, KINDS, ZONES, model, zone_name};

pub(crate) const DAEMONS: usize = 6;

pub(crate) enum Modules {
    Production(Box<Router>, Box<Admission>, [Budget; KINDS]),
    Naive(Box<naive::Router>, naive::Admission, naive::Budget),
}

pub(crate) struct Daemon {
    pub(crate) zone: usize,
    pub(crate) modules: Modules,
    pub(crate) latencies: Latencies,
    /// Latency classes of short calls, of long calls and of both together, by stage kind.
    pub(crate) classes: [[Class; KINDS]; 3],
    /// Latency classes for the time to the first token of generate calls, for short and long calls.
    first_token_classes: [Class; 2],
    models: [ModelRef; KINDS],
}

impl Daemon {
    pub(crate) fn new(rank: usize, is_naive: bool, config: &Config, seed: u64) -> Self {
        let zone = rank % ZONES;
        let random = Pcg32::seed_from_u64(seed * 1000 + rank as u64);
        let mut latencies = Latencies::default();
        let classes = ["short", "long", "all"]
            .map(|length| std::array::from_fn(|kind| latencies.class(&format!("{length}/{kind}"))));
        let first_token_classes =
            ["short", "long"].map(|length| latencies.class(&format!("{length}/head")));
        let mut daemon = Self {
            zone,
            modules: if is_naive {
                Modules::Naive(
                    Box::new(naive::Router::new(random)),
                    naive::Admission::default(),
                    naive::Budget,
                )
            } else {
                let position = DaemonRank {
                    rank: rank as u32,
                    daemons: DAEMONS as u32,
                };
                let router_settings = RouterSettings::new(zone_name(zone)).with_position(position);
                let limits = Settings {
                    reserved_short_percent: 10,
                    ..Settings::default()
                };
                let mut router = Router::new(router_settings, random);
                router.set_mode(Mode::Normal);
                let admission = Box::new(Admission::new(limits));
                Modules::Production(Box::new(router), admission, Default::default())
            },
            latencies,
            classes,
            first_token_classes,
            models: std::array::from_fn(model),
        };
        daemon.apply(config, Duration::ZERO);
        daemon
    }

    pub(crate) fn apply(&mut self, config: &Config, now: Duration) {
        match &mut self.modules {
            Modules::Production(router, admission, _) => {
                router.apply(config, now);
                admission.apply(config);
            }
            Modules::Naive(router, ..) => {
                router.apply(config, now);
            }
        }
    }

    pub(crate) fn set_mode(&mut self, mode: Mode) {
        if let Modules::Production(router, ..) = &mut self.modules {
            router.set_mode(mode);
        }
    }

    pub(crate) fn report(&mut self, target: TargetKey, report: LoadReport, now: Duration) {
        match &mut self.modules {
            Modules::Production(router, ..) => router.report(target, report, now),
            Modules::Naive(router, ..) => router.report(target, report, now),
        }
    }

    /// The number of this daemon's calls at a target.
    pub(crate) fn in_flight(&self, target: TargetKey) -> u32 {
        match &self.modules {
            Modules::Production(router, ..) => router.in_flight(target),
            Modules::Naive(..) => 0,
        }
    }

    pub(crate) fn grant(&mut self, target: TargetKey, slots: u32, now: Duration) {
        if let Modules::Production(router, ..) = &mut self.modules {
            router.grant(target, Some(slots), now);
        }
    }

    pub(crate) fn offer(
        &mut self,
        ask: &AdmissionRequest<'_>,
        now: Duration,
    ) -> Result<Admitted, Refused> {
        match &mut self.modules {
            Modules::Production(_, admission, _) => admission.offer(ask, &self.latencies, now),
            Modules::Naive(_, admission, _) => admission.offer(ask, &self.latencies, now),
        }
    }

    pub(crate) fn release(&mut self, ticket: Ticket, now: Duration) -> Vec<Action> {
        match &mut self.modules {
            Modules::Production(_, admission, _) => admission.finish(ticket, now),
            Modules::Naive(_, admission, _) => admission.finish(ticket, now),
        }
    }

    /// Called every 100 ms. Once a second it also updates the quantiles, the outliers and the
    /// capacity.
    pub(crate) fn tick(&mut self, whole_second: bool, now: Duration) -> Vec<Action> {
        let Modules::Production(router, admission, _) = &mut self.modules else {
            return Vec::new();
        };
        if !whole_second {
            return admission.tick(now);
        }
        self.latencies.tick(now);
        router.tick(now);
        let stages: [(u32, Duration); KINDS] = std::array::from_fn(|kind| {
            let need = Requirement::Stage(StageKind::ALL[kind], &self.models[kind]);
            let mean = self.latencies.quantiles(self.classes[2][kind]).mean;
            (router.total_slots(need, now), mean)
        });
        // The router counts only the slots that are granted to this daemon.
        let capacity = pipeline_capacity(&stages);
        admission.set_capacity(capacity, now)
    }

    pub(crate) fn choose(
        &mut self,
        kind: usize,
        exclude: &[TargetKey],
        short: bool,
        remaining: Duration,
        now: Duration,
    ) -> Result<Choice, NoTarget> {
        let stages = &self.classes[usize::from(!short)][kind..];
        let query = Query {
            avoid_cold: !self.latencies.fits_cold(remaining, stages),
            need: Requirement::Stage(StageKind::ALL[kind], &self.models[kind]),
            idempotent: true,
            prefix: &[],
            exclude,
        };
        match &mut self.modules {
            Modules::Production(router, ..) => router.choose(&query, now),
            Modules::Naive(router, ..) => router.choose(&query, now),
        }
    }

    pub(crate) fn begin(&mut self, target: TargetKey, now: Duration) -> Option<CallKey> {
        match &mut self.modules {
            Modules::Production(router, ..) => router.begin(target, now),
            Modules::Naive(router, ..) => router.begin(target, now),
        }
    }

    pub(crate) fn finish(&mut self, call: CallKey, outcome: Outcome, now: Duration) {
        match &mut self.modules {
            Modules::Production(router, ..) => router.finish(call, outcome, now),
            Modules::Naive(router, ..) => router.finish(call, outcome, now),
        };
    }

    pub(crate) fn record_success(
        &mut self,
        kind: usize,
        short: bool,
        first_token: Duration,
        total: Duration,
    ) {
        self.record(kind, short, total);
        if kind == GENERATE {
            self.latencies
                .record(self.first_token_classes[usize::from(!short)], first_token);
        }
        if let Modules::Production(_, _, budgets) = &mut self.modules {
            budgets[kind].success();
        }
    }

    fn record(&mut self, kind: usize, short: bool, latency: Duration) {
        for length in [usize::from(!short), 2] {
            self.latencies.record(self.classes[length][kind], latency);
        }
    }

    /// The latency class for the time until a call shows progress: the first token of a generate
    /// call, the whole result of any other call.
    fn progress_class(&self, kind: usize, short: bool) -> Class {
        if kind == GENERATE {
            self.first_token_classes[usize::from(!short)]
        } else {
            self.classes[usize::from(!short)][kind]
        }
    }

    pub(crate) fn record_timeout(&mut self, kind: usize, short: bool, waited: Duration) {
        self.latencies
            .record_cut_off(self.progress_class(kind, short), waited);
        if kind != GENERATE {
            self.latencies.record_cut_off(self.classes[2][kind], waited);
        }
    }

    pub(crate) fn may_retry(&mut self, kind: usize, failure: FailedCall) -> bool {
        match &mut self.modules {
            Modules::Production(_, _, budgets) => budgets[kind].retry(failure).is_ok(),
            Modules::Naive(_, _, budget) => budget.retry(failure).is_ok(),
        }
    }

    /// Whether too little time remains for the stages from `kind` on. The naive baseline never
    /// checks.
    pub(crate) fn cannot_meet_deadline(
        &self,
        kind: usize,
        short: bool,
        remaining: Duration,
    ) -> bool {
        let stages = &self.classes[usize::from(!short)][kind..];
        matches!(self.modules, Modules::Production(..))
            && remaining < self.latencies.expected_time(stages)
    }

    /// The time limit of a call until it shows progress. The naive baseline limits the whole call.
    pub(crate) fn call_timeout(&self, kind: usize, short: bool, remaining: Duration) -> Duration {
        match self.modules {
            Modules::Production(..) => {
                let stages = &self.classes[usize::from(!short)][kind..];
                let class = self.progress_class(kind, short);
                self.latencies.time_limit(remaining, class, stages)
            }
            Modules::Naive(..) => naive::STAGE_TIMEOUT,
        }
    }
}
