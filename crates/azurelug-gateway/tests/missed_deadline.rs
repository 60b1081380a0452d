//! Test of the log lines of an exchange that misses its deadline. The logger is process-wide, so
//! this file has only one test.
#![allow(clippy::unwrap_used)]

use std::future::pending;
use std::path::Path;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use azurelug_gateway::exchange::Exchange;
use azurelug_gateway::gateway::Gateway;
use azurelug_gateway::memory::Budget;
use azurelug_gateway::serve::{PendingGuard, answer_in_time};
use azurelug_gateway::settings::Settings;
use azurelug_settings::read;
use azurelug_types::deployment::{RequestKind, Route, Service};
use azurelug_wire::handshake::Identity;
use log::{LevelFilter, Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Logger;

impl Log for Logger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn exchange(gateway: Arc<Gateway>) -> Exchange {
    let arrived = gateway.now();
    Exchange {
        gateway,
        table: Arc::default(),
        route: Route {
            name: "look".to_owned(),
            host: "carts.example".to_owned(),
            prefix: "/look/".to_owned(),
            kind: RequestKind::Idempotent,
            timeout: Duration::from_secs(4),
            latency_objective: Duration::from_secs(1),
            event_gap_objective: Duration::from_secs(1),
            priority: 0,
            services: Vec::new(),
            max_attempts: 1,
            stages: Vec::new(),
            is_anonymous: true,
        },
        service: Service {
            name: "desk".into(),
            max_connections: 1,
            cold_start_time: Duration::ZERO,
            cold_rate_limit: 0.0,
            engine: None,
            batch: None,
        },
        account: None,
        key_age: None,
        rank: 0,
        value_rank: 0.0,
        id: "id-1".to_owned(),
        parts: http::Request::new(()).into_parts().0,
        fields: Default::default(),
        body: Default::default(),
        memory: Budget::with_limit(24 * 1024 * 1024).open(),
        weights: Default::default(),
        arrived,
        deadline: arrived + Duration::from_secs(4),
        digest: OnceLock::new(),
        is_probe: false,
        crashes: AtomicU32::new(0),
    }
}

/// Guards against an exchange that is answered with 504 because it misses its deadline, and is
/// logged and counted as one whose client disconnected.
#[tokio::test(start_paused = true)]
async fn an_exchange_that_misses_its_deadline_is_logged_once_as_failed() {
    log::set_logger(&Logger).unwrap();
    log::set_max_level(LevelFilter::Info);
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.yaml");
    let settings: Settings = read::file(&file).unwrap();
    let identity = Arc::new(Identity {
        cluster: settings.cluster.clone(),
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: 1,
        key: vec![7; 32],
    });
    let gateway = Arc::new(Gateway::new(&settings, identity));
    gateway.metrics.in_flight.inc();
    let exchange = exchange(Arc::clone(&gateway));
    let guard = PendingGuard::new(&exchange);
    let answer = answer_in_time(guard, exchange.deadline, pending()).await;
    assert_eq!(answer.status(), 504);
    let lines = LINES.lock().unwrap().clone();
    let line = "gateway: request id-1 failed: cancelled after its deadline; route=look total_ms=";
    assert!(lines.len() == 1 && lines[0].starts_with(line), "{lines:#?}");
    let metrics = gateway.metrics.text();
    let count = "requests_total{end=\"Failed\"} 1";
    assert!(metrics.contains(count), "{metrics}");
    assert_eq!(gateway.metrics.in_flight.get(), 0);
}
