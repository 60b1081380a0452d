//! Metrics in the OpenMetrics format. Label values come from the configuration and fixed lists, so
//! the number of series is bounded.

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets in seconds, up to the longest timeout of a route.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 8.0, 12.0,
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum End {
    /// A target's answer was forwarded within the latency objective.
    InTime,
    /// A target's answer was forwarded, but later than the latency objective.
    Late,
    /// The system refused the request before it ran.
    Refused,
    /// The target failed, or the deadline passed.
    Failed,
    /// The client disconnected first.
    Abandoned,
}

impl End {
    /// Name in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
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

/// All metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<RequestLabels, Histogram>,
    repeats: Family<ServiceLabels, Counter>,
    calls: Family<ServiceLabels, Counter>,
    pieces: Family<ServiceLabels, Counter>,
    log_dropped: Gauge,
    /// Requests without a complete answer.
    pub in_flight: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Lost connections to control daemons.
    pub control_losses: Counter,
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
        let repeats = Family::<ServiceLabels, Counter>::default();
        registry.register("repeats", "Requests sent once more", repeats.clone());
        let calls = Family::<ServiceLabels, Counter>::default();
        registry.register("stage_calls", "Calls that run pieces", calls.clone());
        let pieces = Family::<ServiceLabels, Counter>::default();
        registry.register("stage_pieces", "Pieces in these calls", pieces.clone());
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests without an answer", in_flight.clone());
        let version = Gauge::default();
        registry.register("version", "Configuration in force", version.clone());
        let log_dropped = Gauge::default();
        let help = "Log lines that found the queue full";
        registry.register("log_lines_dropped", help, log_dropped.clone());
        let control_losses = Counter::default();
        let help = "Lost connections to control daemons";
        registry.register("control_losses", help, control_losses.clone());
        Self {
            registry,
            requests,
            latency,
            repeats,
            calls,
            pieces,
            log_dropped,
            in_flight,
            version,
            control_losses,
        }
    }
}

impl Metrics {
    /// Counts a finished request and its latency.
    pub fn record_end(&self, end: End, first: Duration) {
        let labels = RequestLabels { end };
        self.requests.get_or_create(&labels).inc();
        let latency = self.latency.get_or_create(&labels);
        latency.observe(first.as_secs_f64());
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: &str) {
        self.repeats.get_or_create(&labels(service)).inc();
    }

    /// Counts a call that runs pieces.
    pub fn record_call(&self, service: &str, pieces: usize) {
        self.calls.get_or_create(&labels(service)).inc();
        let counter = self.pieces.get_or_create(&labels(service));
        counter.inc_by(pieces as u64);
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let dropped = azurelug_settings::queue::dropped_lines();
        self.log_dropped
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("gateway: metrics can't be encoded: {error}");
        }
        text
    }
}

fn labels(service: &str) -> ServiceLabels {
    ServiceLabels {
        service: service.to_owned(),
    }
}
