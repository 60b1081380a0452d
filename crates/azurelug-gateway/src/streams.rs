//! The versions at which this gateway's streams began, for clients that take a stream up again.
//!
//! A gateway keeps its own records. While a service has several versions it also reports them to the
//! control daemons, which outlive it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::streams::{self, Book, Origin};
use azurelug_types::deployment::{RequestKind, Target};
use azurelug_types::fleet::{ServiceVersions, StreamOrigin, StreamQuery};
use azurelug_types::id::ServiceName;
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::exchange::{Exchange, Failure};
use crate::gateway::Gateway;

/// Time for which reports are collected. A kill loses the records of about that time.
const REPORT_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a report that no control daemon confirmed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Timeout of a report: a few round trips between zones.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a question: the control daemon may confirm that its state is the newest, and ask the
/// other daemons.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// `Retry-After` of a stream that can't be continued now, or not at all: a new one may begin at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Records that wait for a report, at most; the oldest are dropped.
const MAX_QUEUED: usize = 16_384;

/// The records of one gateway.
pub struct Streams {
    identity: Arc<Identity>,
    state: Mutex<State>,
    /// Notified when a record waits for a report.
    queued: Notify,
}

#[derive(Default)]
struct State {
    book: Book,
    /// Services at several versions of which streams may begin.
    mixed: HashSet<ServiceName>,
    queue: Vec<(u64, Arc<Origin>)>,
    connection: Option<(SocketAddr, Connection)>,
}

impl State {
    fn queue(&mut self, records: impl IntoIterator<Item = (u64, Arc<Origin>)>) {
        self.queue.extend(records);
        let excess = self.queue.len().saturating_sub(MAX_QUEUED);
        self.queue.drain(..excess);
    }
}

impl Streams {
    /// Creates a state without records.
    pub fn new(identity: Arc<Identity>) -> Self {
        Self {
            identity,
            state: Mutex::default(),
            queued: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The number of streams whose versions are recorded here.
    pub fn count(&self) -> usize {
        self.state().book.len()
    }

    /// A connection to a control daemon, which is kept for further calls.
    async fn connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        let known = self.state().connection.clone();
        if let Some((at, connection)) = known
            && at == address
            && !connection.is_closed()
        {
            return Ok(connection);
        }
        let connection = Connection::open(address, Arc::clone(&self.identity)).await?;
        self.state().connection = Some((address, connection.clone()));
        Ok(connection)
    }

    async fn call(
        &self,
        address: Option<SocketAddr>,
        frame: Frame,
        timeout: Duration,
    ) -> Result<Frame, Error> {
        let Some(address) = address else {
            return Err(Error::Closed {
                message: "no control daemon has answered yet".to_owned(),
            });
        };
        let connection = self.connection(address).await?;
        connection.call(frame, timeout).await
    }
}

/// The id of the attempt that names a stream: the client's first one.
fn stream_key(exchange: &Exchange) -> u64 {
    streams::key(exchange.fields.resumes.as_ref().unwrap_or(&exchange.id))
}

impl Gateway {
    /// Sets the versions at which streams may begin. Streams that began while there was one version
    /// are reported once there is another.
    pub fn set_versions(&self, versions: Vec<ServiceVersions>) {
        let several = versions.iter().filter(|it| it.versions.len() > 1);
        let mixed: HashSet<ServiceName> = several.map(|it| it.service.clone()).collect();
        {
            let mut state = self.streams.state();
            for service in mixed.difference(&state.mixed).cloned().collect::<Vec<_>>() {
                log::info!("gateway: streams of {service} may begin at several versions");
                let records: Vec<_> = state.book.of_service(&service).collect();
                state.queue(records);
            }
            state.mixed = mixed;
        }
        self.streams.queued.notify_one();
        self.fleet().set_versions(versions);
    }

    /// Reports the streams of all services with several versions: the control daemon that the gateway
    /// polls from now on may have been restarted, and all others as well.
    pub fn report_all_streams(&self) {
        {
            let mut state = self.streams.state();
            let mixed = state.mixed.iter();
            let records: Vec<_> = mixed.flat_map(|it| state.book.of_service(it)).collect();
            state.queue(records);
        }
        self.streams.queued.notify_one();
    }

    /// Records that a client's stream begins, or goes on, at a target.
    pub fn record_stream(&self, exchange: &Exchange, target: &Target) {
        if exchange.route.kind != (RequestKind::Stream { resumable: true }) {
            return;
        }
        let stream = stream_key(exchange);
        let origin = Origin {
            service: target.service.clone(),
            version: target.version.clone(),
        };
        let now = self.now();
        let mut state = self.streams.state();
        let origin = state.book.record(stream, origin, now);
        if state.mixed.contains(&target.service) {
            state.queue([(stream, origin)]);
            drop(state);
            self.streams.queued.notify_one();
        }
    }

    /// Sends reports of streams to the control daemons until the process ends.
    pub async fn report_streams(self: Arc<Self>) {
        loop {
            self.streams.queued.notified().await;
            sleep(REPORT_PAUSE).await;
            let queue = std::mem::take(&mut self.streams.state().queue);
            if queue.is_empty() {
                continue;
            }
            let report = Frame::Streams(streams::group(queue.iter().cloned()));
            let control = self.peers.control();
            let Err(error) = self.streams.call(control, report, REPORT_TIMEOUT).await else {
                continue;
            };
            log::warn!(
                "gateway: report of {} streams: {error}; sent again",
                queue.len()
            );
            {
                let mut state = self.streams.state();
                let newer = std::mem::replace(&mut state.queue, queue);
                state.queue(newer);
            }
            sleep(RETRY_PAUSE).await;
            self.streams.queued.notify_one();
        }
    }
}

/// The version at which a stream began that a client takes up.
///
/// # Errors
/// It is not certain, or no target of it is left. Nothing has run.
pub async fn resumed_version(exchange: &Exchange) -> Result<String, Failure> {
    let gateway = &exchange.gateway;
    let service = &exchange.service.name;
    let stream = exchange.fields.resumes.as_ref().map(|id| streams::key(id));
    let own = {
        let state = gateway.streams.state();
        stream.and_then(|stream| state.book.find(service, stream).map(str::to_owned))
    };
    let (source, version) = match own {
        Some(version) => ("own record", Ok(version)),
        None => ask_control(exchange, stream).await,
    };
    let is_served = |version: &String| gateway.fleet().has_version(service, version);
    let version = version.and_then(|version| {
        if is_served(&version) {
            Ok(version)
        } else {
            Err("no target of the stream's version is left")
        }
    });
    log::info!(
        "gateway: request {} resumes {} after event {}: version={} source={source}",
        exchange.id,
        exchange.fields.resumes.as_deref().unwrap_or("-"),
        exchange.fields.last_event.unwrap_or_default(),
        version.as_deref().unwrap_or("-"),
    );
    gateway.metrics.record_resumed(version.is_ok());
    version.map_err(|reason| Failure::Refused(RETRY_AFTER, reason))
}

/// Asks a control daemon. Returns where the answer is from, and the version or why there is none.
async fn ask_control(
    exchange: &Exchange,
    stream: Option<u64>,
) -> (&'static str, Result<String, &'static str>) {
    let gateway = &exchange.gateway;
    let query = Frame::FindStream(StreamQuery {
        service: exchange.service.name.clone(),
        stream,
        is_relayed: false,
    });
    let timeout = QUERY_TIMEOUT.min(exchange.time_left());
    let control = gateway.peers.control();
    match gateway.streams.call(control, query, timeout).await {
        Ok(Frame::StreamFound(StreamOrigin::Recorded(version))) => ("report", Ok(version)),
        Ok(Frame::StreamFound(StreamOrigin::Only(version))) => ("only version", Ok(version)),
        Ok(Frame::StreamFound(StreamOrigin::Unrecorded)) => {
            ("control", Err("the version of the stream is not known"))
        }
        Ok(Frame::StreamFound(StreamOrigin::NotCurrent)) => (
            "control",
            Err("the versions of the service may be out of date"),
        ),
        Ok(_) => ("control", Err("the version of the stream is not known")),
        Err(error) => {
            log::info!("gateway: request {}: control: {error}", exchange.id);
            ("none", Err("no control daemon knows the stream"))
        }
    }
}
