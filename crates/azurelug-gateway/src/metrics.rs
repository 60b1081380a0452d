//! Metrics in the OpenMetrics format. Label values come only from the configuration and from
//! enums, so the number of time series is bounded.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets in seconds, up to the maximum timeout of a route.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 8.0, 12.0,
];

/// Outcome of a client request, used as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum End {
    /// A target's response was forwarded within the latency objective.
    InTime,
    /// A target's response was forwarded after the latency objective was exceeded.
    Late,
    /// The request was rejected before it ran.
    Refused,
    /// The target failed, or the deadline passed.
    Failed,
    /// The client disconnected before the request had ended.
    Abandoned,
    /// The process ended before the request had ended.
    CutOff,
}

impl End {
    /// Returns the name for log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
            Self::CutOff => "cut_off",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    end: End,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Why the stages of a request ended without results, used as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StageEnd {
    /// A stage could not be done in time.
    Overloaded,
    /// The booking of a later stage was refused.
    LaterStageOverloaded,
    /// An earlier stage's result no longer exists.
    InputGone,
    /// The targets failed.
    Failed,
    /// No target or no dispatcher was available.
    NoTarget,
}

/// Whether a stream that a client took up may go on, used as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Resumed {
    /// Its version is known, and a target of it is left.
    Admitted,
    /// It is refused.
    Refused,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResumedLabels {
    end: Resumed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageEndLabels {
    reason: StageEnd,
}

/// All metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<RequestLabels, Histogram>,
    retries: Family<ServiceLabels, Counter>,
    share_refusals: Family<ServiceLabels, Counter>,
    stage_refusals: Family<StageEndLabels, Counter>,
    stage_calls: Family<ServiceLabels, Counter>,
    stage_pieces: Family<ServiceLabels, Counter>,
    rollout_sends: Family<ServiceLabels, Gauge>,
    rollout_requests: Family<ServiceLabels, Gauge>,
    late_pieces: Family<ServiceLabels, Counter>,
    stage_waits: Family<ServiceLabels, Histogram>,
    speed_ratios: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    uneven_services: Family<ServiceLabels, Gauge>,
    left_preferred: Family<ServiceLabels, Counter>,
    dropped_log_lines: Gauge,
    /// Requests whose response is not complete.
    pub in_flight: Gauge,
    /// Version of the current configuration.
    pub config_version: Gauge,
    /// Number of lost connections to control daemons.
    pub control_disconnects: Counter,
    resumed_streams: Family<ResumedLabels, Counter>,
    /// Milliseconds in which the machine was suspended.
    pub suspended_ms: Counter,
    /// Streams to clients that ended early.
    pub interrupted_streams: Counter,
    /// Permits that this gateway received for requests to targets that have a limit.
    pub permits_granted: Counter,
    /// Requests for permits that were denied or got no answer.
    pub permits_denied: Counter,
    /// Requests that were refused, or not sent again, because they or a part of their prompt are
    /// accused.
    pub quarantined_requests: Counter,
    /// Requests that are accused of crashing targets.
    pub accused_requests: Gauge,
    /// Prompt parts that are accused of crashing targets.
    pub accused_parts: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("azurelug_gateway");
        let requests = Family::<RequestLabels, Counter>::default();
        registry.register("requests", "Requests by their end", requests.clone());
        let histogram = || Histogram::new(LATENCY_BUCKETS_S);
        let latency = Family::<RequestLabels, Histogram>::new_with_constructor(histogram);
        let help = "Time until the first part of the answer, in seconds";
        registry.register("latency_seconds", help, latency.clone());
        let retries = Family::<ServiceLabels, Counter>::default();
        registry.register("repeats", "Requests sent once more", retries.clone());
        let share_refusals = Family::<ServiceLabels, Counter>::default();
        let help = "Requests refused because their account has its share of the slots";
        registry.register("share_refusals", help, share_refusals.clone());
        let stage_refusals = Family::<StageEndLabels, Counter>::default();
        let help = "Requests refused because of their stages, by reason";
        registry.register("stage_refusals", help, stage_refusals.clone());
        let stage_calls = Family::<ServiceLabels, Counter>::default();
        registry.register("stage_calls", "Calls that run pieces", stage_calls.clone());
        let stage_pieces = Family::<ServiceLabels, Counter>::default();
        registry.register(
            "stage_pieces",
            "Pieces in these calls",
            stage_pieces.clone(),
        );
        let rollout_sends = Family::<ServiceLabels, Gauge>::default();
        let help = "Sends to the new version in the last roll-out";
        registry.register("rollout_sends", help, rollout_sends.clone());
        let rollout_requests = Family::<ServiceLabels, Gauge>::default();
        let help = "Requests to the service in the last roll-out";
        registry.register("rollout_requests", help, rollout_requests.clone());
        let late_pieces = Family::<ServiceLabels, Counter>::default();
        let help = "Pieces that targets did not run because their deadline had passed";
        registry.register("stage_pieces_late", help, late_pieces.clone());
        let stage_waits = Family::<ServiceLabels, Histogram>::new_with_constructor(histogram);
        let help = "Longest wait of an order of each call, in seconds";
        registry.register("stage_wait_seconds", help, stage_waits.clone());
        let speed_ratios = Family::<ServiceLabels, Gauge<f64, AtomicU64>>::default();
        let help = "Ratio of the upper to the lower decile of the targets' slowness";
        registry.register("speed_ratio", help, speed_ratios.clone());
        let uneven_services = Family::<ServiceLabels, Gauge>::default();
        let help = "1 if the choice of a target takes costs into account";
        registry.register("uneven", help, uneven_services.clone());
        let left_preferred = Family::<ServiceLabels, Counter>::default();
        let help = "Requests that left their preferred targets because of costs";
        registry.register("left_preferred", help, left_preferred.clone());
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests without an answer", in_flight.clone());
        let config_version = Gauge::default();
        registry.register("version", "Configuration in force", config_version.clone());
        let dropped_log_lines = Gauge::default();
        let help = "Log lines that found the queue full";
        registry.register("log_lines_dropped", help, dropped_log_lines.clone());
        let control_disconnects = Counter::default();
        let help = "Lost connections to control daemons";
        registry.register("control_losses", help, control_disconnects.clone());
        let resumed_streams = Family::<ResumedLabels, Counter>::default();
        let help = "Streams that clients took up, by whether their version was known and served";
        registry.register("resumed_streams", help, resumed_streams.clone());
        let suspended_ms = Counter::default();
        let help = "Milliseconds in which the machine was suspended";
        registry.register("suspended_ms", help, suspended_ms.clone());
        let interrupted_streams = Counter::default();
        let help = "Streams to clients that ended early";
        registry.register("interrupted_streams", help, interrupted_streams.clone());
        let permits_granted = Counter::default();
        let help = "Permits received for targets that have a limit";
        registry.register("permits_granted", help, permits_granted.clone());
        let permits_denied = Counter::default();
        let help = "Requests for permits that were denied";
        registry.register("permits_denied", help, permits_denied.clone());
        let quarantined_requests = Counter::default();
        let help = "Requests refused because they or a part of their prompt crash targets";
        registry.register("quarantined_requests", help, quarantined_requests.clone());
        let accused_requests = Gauge::default();
        let help = "Requests that are accused of crashing targets";
        registry.register("accused_requests", help, accused_requests.clone());
        let accused_parts = Gauge::default();
        let help = "Prompt parts that are accused of crashing targets";
        registry.register("accused_parts", help, accused_parts.clone());
        Self {
            registry,
            resumed_streams,
            suspended_ms,
            interrupted_streams,
            quarantined_requests,
            accused_requests,
            accused_parts,
            permits_granted,
            permits_denied,
            requests,
            latency,
            retries,
            share_refusals,
            stage_refusals,
            stage_calls,
            stage_pieces,
            rollout_sends,
            rollout_requests,
            late_pieces,
            stage_waits,
            speed_ratios,
            uneven_services,
            left_preferred,
            dropped_log_lines,
            in_flight,
            config_version,
            control_disconnects,
        }
    }
}

impl Metrics {
    /// Counts a stream that a client took up.
    pub fn record_resumed(&self, is_admitted: bool) {
        let end = if is_admitted {
            Resumed::Admitted
        } else {
            Resumed::Refused
        };
        self.resumed_streams
            .get_or_create(&ResumedLabels { end })
            .inc();
    }

    /// Records the outcome and the latency of a request.
    pub fn record_request(&self, end: End, latency: Duration) {
        let labels = RequestLabels { end };
        self.requests.get_or_create(&labels).inc();
        let histogram = self.latency.get_or_create(&labels);
        histogram.observe(latency.as_secs_f64());
    }

    /// Shows the exposure of a roll-out at this gateway.
    pub fn set_rollout(&self, service: &str, new_sends: u64, requests: u64) {
        let labels = service_labels(service);
        let signed = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.rollout_sends
            .get_or_create(&labels)
            .set(signed(new_sends));
        self.rollout_requests
            .get_or_create(&labels)
            .set(signed(requests));
    }

    /// Counts a request that is refused because its account has its share of the slots.
    pub fn record_share_refusal(&self, service: &str) {
        let labels = service_labels(service);
        self.share_refusals.get_or_create(&labels).inc();
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: &str) {
        self.retries.get_or_create(&service_labels(service)).inc();
    }

    /// Counts a request that was refused because of its stages.
    pub fn record_stage_refusal(&self, reason: StageEnd) {
        let labels = StageEndLabels { reason };
        self.stage_refusals.get_or_create(&labels).inc();
    }

    /// Counts pieces that a target did not run because their deadline had passed.
    pub fn record_late_pieces(&self, service: &str, pieces: usize) {
        if pieces > 0 {
            let counter = self.late_pieces.get_or_create(&service_labels(service));
            counter.inc_by(pieces as u64);
        }
    }

    /// Sets how much the speeds of a service's targets differ. Returns whether the mode has changed.
    pub fn set_speed_ratio(&self, service: &str, ratio: f64, is_uneven: bool) -> bool {
        let labels = service_labels(service);
        self.speed_ratios.get_or_create(&labels).set(ratio);
        let mode = self.uneven_services.get_or_create(&labels);
        mode.set(i64::from(is_uneven)) != i64::from(is_uneven)
    }

    /// Counts a request that has left its preferred target because of costs.
    pub fn record_left(&self, service: &str) {
        let counter = self.left_preferred.get_or_create(&service_labels(service));
        counter.inc();
    }

    /// Counts a call to a target and the pieces that it runs. `wait` is the longest wait of one of
    /// its orders.
    pub fn record_stage_call(&self, service: &str, pieces: usize, wait: Duration) {
        let waits = self.stage_waits.get_or_create(&service_labels(service));
        waits.observe(wait.as_secs_f64());
        self.stage_calls
            .get_or_create(&service_labels(service))
            .inc();
        let counter = self.stage_pieces.get_or_create(&service_labels(service));
        counter.inc_by(pieces as u64);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let dropped = azurelug_settings::queue::dropped_lines();
        self.dropped_log_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("gateway: could not encode the metrics: {error}");
        }
        text
    }
}

fn service_labels(service: &str) -> ServiceLabels {
    ServiceLabels {
        service: service.to_owned(),
    }
}
