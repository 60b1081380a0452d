//! Metrics in the OpenMetrics format. Label values come from the configuration and from fixed sets,
//! so that the number of time series is bounded.

use std::time::Duration;

use azurelug_types::config::StageKind;
use azurelug_types::outcome::Refusal;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::refusal_log;

/// Upper bounds of the latency buckets in seconds, up to the longest deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 12.0,
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestEnd {
    /// Answered before its deadline.
    InTime,
    /// Answered after its deadline.
    Late,
    /// Refused or failed.
    Refused,
    /// The caller disconnected first.
    Abandoned,
}

/// Whether the result of a call was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Usefulness {
    /// The result was used.
    Useful,
    /// The result came too late, was a duplicate, or never came.
    Wasted,
}

/// Why a call was repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RepeatKind {
    /// The earlier call failed or is silent.
    Retry,
    /// The earlier call was late and still running.
    Hedge,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RepeatLabels {
    stage: &'static str,
    repeat: RepeatKind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    end: RequestEnd,
}

/// Labels with the serialized names of `Reason` and `Execution`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: String,
    execution: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
    used: Usefulness,
}

/// All metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    stage_millis: Family<StageLabels, Counter>,
    stage_tokens: Family<StageLabels, Counter>,
    repeats: Family<RepeatLabels, Counter>,
    running: Gauge,
    waiting: Gauge,
    capacity: Gauge,
    first_token: Histogram,
    duration: Histogram,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// The configuration version in force.
    pub version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("azurelug_entry");
        let requests = Family::<RequestLabels, Counter>::default();
        let refusals = Family::<RefusalLabels, Counter>::default();
        let stage_millis = Family::<StageLabels, Counter>::default();
        let stage_tokens = Family::<StageLabels, Counter>::default();
        let repeats = Family::<RepeatLabels, Counter>::default();
        let (running, waiting, capacity) = (Gauge::default(), Gauge::default(), Gauge::default());
        registry.register(
            "repeats",
            "Calls that repeat another call, by stage",
            repeats.clone(),
        );
        registry.register("admitted", "Admitted pipeline requests", running.clone());
        registry.register(
            "waiting",
            "Pipeline requests that wait for admission",
            waiting.clone(),
        );
        registry.register(
            "capacity",
            "Pipeline requests that may run at the same time",
            capacity.clone(),
        );
        let first_token = Histogram::new(LATENCY_BUCKETS_SECONDS);
        let duration = Histogram::new(LATENCY_BUCKETS_SECONDS);
        let in_flight = Gauge::default();
        let version = Gauge::default();
        registry.register("requests", "Requests by route and end", requests.clone());
        registry.register(
            "refusals",
            "Refused and failed requests by reason and execution",
            refusals.clone(),
        );
        registry.register(
            "stage_milliseconds",
            "Time spent in calls, by stage",
            stage_millis.clone(),
        );
        registry.register(
            "stage_tokens",
            "Tokens generated, by stage",
            stage_tokens.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            first_token.clone(),
        );
        registry.register(
            "duration_seconds",
            "Time to the end of the answer",
            duration.clone(),
        );
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        registry.register(
            "config_version",
            "Configuration version in force",
            version.clone(),
        );
        Self {
            registry,
            requests,
            refusals,
            stage_millis,
            stage_tokens,
            repeats,
            running,
            waiting,
            capacity,
            first_token,
            duration,
            in_flight,
            version,
        }
    }

    /// Records the end of a request and its duration. `route` must be a name from the
    /// configuration.
    pub fn record_end(&self, route: &str, end: RequestEnd, duration: Duration) {
        let labels = RequestLabels {
            route: route.to_owned(),
            end,
        };
        self.requests.get_or_create(&labels).inc();
        self.duration.observe(duration.as_secs_f64());
    }

    /// Counts a request whose caller disconnected. `route` must be a name from the configuration.
    pub fn record_abandoned(&self, route: &str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            end: RequestEnd::Abandoned,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a refusal, also if the request names no configured route.
    pub fn record_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels {
            reason: refusal_log::serialized_name(&refusal.reason),
            execution: refusal_log::serialized_name(&refusal.execution),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Records the time to the first token of a request.
    pub fn record_first_token(&self, after: Duration) {
        self.first_token.observe(after.as_secs_f64());
    }

    /// Records the time and the tokens of one call of a stage.
    pub fn record_call(&self, stage: StageKind, used: Usefulness, duration: Duration, tokens: u64) {
        let labels = StageLabels {
            stage: stage.as_str(),
            used,
        };
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.stage_millis.get_or_create(&labels).inc_by(millis);
        self.stage_tokens.get_or_create(&labels).inc_by(tokens);
    }

    /// Counts a repeated call.
    pub fn record_repeat(&self, stage: StageKind, repeat: RepeatKind) {
        let stage = stage.as_str();
        let labels = RepeatLabels { stage, repeat };
        self.repeats.get_or_create(&labels).inc();
    }

    /// Sets the gauges of admission control.
    pub fn set_admission(&self, running: u32, waiting: usize, capacity: u32) {
        self.running.set(i64::from(running));
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.capacity.set(i64::from(capacity));
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
