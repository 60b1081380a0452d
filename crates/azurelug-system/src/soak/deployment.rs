//! The processes of a run, the test doubles behind proxies, and the injection of faults.

mod layout;
mod recent_faults;
mod releases;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use azurelug_http::h1::server::ShutdownState;
use azurelug_testkit::port;
use azurelug_testkit::proxy::{Link, NewConnections, Proxy, Rule};
use azurelug_types::rate::Rate;
use bytes::Bytes;
use http::Method;
use nix::sys::signal::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::Options;
use super::checker::{Checker, Report};
use super::operator::{self, configuration};
use super::plan::{CONTROL_COUNT, Fault, LinkFault, SERVICES, TARGETS_PER_SERVICE, zone_name};
use super::targets::{self, Behaviour, Manner, TargetPool};
use crate::process::Process;
use layout::Layout;
pub use recent_faults::GatewayFaults;
pub use releases::Starter;

/// Longest time until all gateways report ready.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Time after a start in which a gateway may have no signal handlers yet.
const START_TIME: Duration = Duration::from_secs(3);

/// Longest time in which a gateway must exit after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(8);

struct Gateway {
    process: Process,
    clients: SocketAddr,
    admin: SocketAddr,
}

struct Control {
    process: Process,
    operators: SocketAddr,
    settings: PathBuf,
    data: PathBuf,
}

/// All processes and test doubles of a run.
pub struct Deployment {
    folder: PathBuf,
    gateways: Vec<Gateway>,
    controls: Vec<Control>,
    pool: Arc<TargetPool>,
    checker: Arc<Checker>,
    gateway_faults: Arc<GatewayFaults>,
    drain_orders: Vec<JoinHandle<()>>,
    targets_per_zone: u8,
    stage: watch::Sender<ShutdownState>,
}

/// The second number of a run's loopback addresses. Runs of one process have different ones, so
/// that none takes a port that another has chosen, or that one of its crashed targets returns to.
fn network(seed: u64) -> u8 {
    (1 + (seed + u64::from(std::process::id())) % 254) as u8
}

fn address(network: u8, third: u8, last: u8, port: u16) -> SocketAddr {
    (IpAddr::V4(Ipv4Addr::new(127, network, third, last)), port).into()
}

/// Name of a target. Numbers go round the zones.
fn target_name(service: &str, number: u8) -> String {
    let zone = zone_name(number);
    match number / TARGETS_PER_SERVICE {
        0 => format!("{service}-{zone}"),
        more => format!("{service}-{zone}-{}", more + 1),
    }
}

impl Deployment {
    /// Starts the test doubles and the daemons, and waits until all gateways are ready.
    ///
    /// # Panics
    /// If a process can't be started or does not become ready within 30 s.
    pub async fn start(options: &Options, checker: Arc<Checker>) -> Self {
        let name = format!("azurelug-soak-{}-{}", std::process::id(), options.seed);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("create the folder of the run");
        std::fs::write(
            folder.join("key"),
            "a key of the soak, longer than 32 bytes of text",
        )
        .expect("write the key file");
        let (stage, stages) = watch::channel(ShutdownState::Serving);
        let pool = Arc::new(TargetPool::default());
        let network = network(options.seed);
        for service in SERVICES {
            for number in 0..TARGETS_PER_SERVICE * options.targets_per_zone {
                let name = target_name(service, number);
                let state = (Arc::clone(&pool), Arc::clone(&checker));
                let at =
                    targets::start_target(name.clone(), state.0, state.1, stages.clone()).await;
                let proxy = Proxy::start(address(network, 1, 1, 0), targets::proxy_settings(at))
                    .await
                    .expect("start a proxy");
                pool.add(&name, service, zone_name(number), proxy);
            }
        }
        let list = targets::start_list(Arc::clone(&pool), stages).await;
        let count = options.gateways_per_zone * CONTROL_COUNT;
        let controls: Vec<IpAddr> = (0..CONTROL_COUNT)
            .map(|it| address(network, 2, it + 1, 0).ip())
            .collect();
        let gateways: Vec<IpAddr> = (0..count)
            .map(|it| address(network, 3, it + 1, 0).ip())
            .collect();
        let all: Vec<IpAddr> = controls.iter().chain(&gateways).copied().collect();
        let internal = port::free(&all);
        let seeds: Vec<String> = controls.iter().map(|ip| format!("\"{ip}:1\"")).collect();
        let layout = Layout {
            folder: folder.clone(),
            network,
            seeds: seeds.join(", "),
            internal,
            list,
            has_rollouts: options.rollouts,
        };
        let deployment = Self {
            controls: (0..CONTROL_COUNT).map(|it| layout.control(it)).collect(),
            gateways: (0..count).map(|it| layout.gateway(it)).collect(),
            folder,
            pool,
            checker,
            gateway_faults: Arc::default(),
            drain_orders: Vec::new(),
            targets_per_zone: options.targets_per_zone,
            stage,
        };
        let body = Bytes::from(configuration(1).to_string());
        let is_configured =
            operator::send_order(&deployment.controls(), Method::PUT, "/configuration", body).await;
        assert!(
            is_configured,
            "the control daemons did not accept the initial configuration"
        );
        deployment.wait_ready().await;
        for control in &deployment.controls {
            // Only the first start creates the cluster. A restart with an empty data folder must
            // join the existing one.
            let settings =
                std::fs::read_to_string(&control.settings).expect("read a settings file");
            let settings = settings.replace("first_start: true", "first_start: false");
            std::fs::write(&control.settings, settings).expect("write a settings file");
        }
        deployment
    }

    async fn wait_ready(&self) {
        let started = Instant::now();
        for gateway in &self.gateways {
            while !is_ready(gateway.admin).await {
                let log = || gateway.process.log();
                assert!(
                    started.elapsed() < START_LIMIT,
                    "a gateway is not ready in time; its log:\n{}",
                    log()
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// The gateways' addresses for clients.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|it| it.clients).collect()
    }

    /// The control daemons' addresses for operators.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|it| it.operators).collect()
    }

    /// The logs of all gateways.
    pub fn gateway_logs(&self) -> String {
        let logs = self.gateways.iter().map(|gateway| gateway.process.log());
        logs.collect()
    }

    /// The recent faults of the gateways.
    pub fn gateway_faults(&self) -> Arc<GatewayFaults> {
        Arc::clone(&self.gateway_faults)
    }

    /// The checks of this run.
    pub fn checker(&self) -> Arc<Checker> {
        Arc::clone(&self.checker)
    }

    /// Sets the behaviour of a target.
    pub fn set_behaviour(&self, target: &str, behaviour: Behaviour) {
        self.pool.set_behaviour(target, behaviour);
    }

    /// Sets the limit that a target names in its answers.
    pub fn set_limit(&self, target: &str, limit: Option<Rate>) {
        self.pool.set_limit(target, limit);
        self.checker.limits.set_limit(target, limit);
    }

    /// Sets the time for which targets are cold after a crash.
    pub fn set_cold_time(&self, time: Duration) {
        self.pool.set_cold_time(time);
    }

    /// Crashes a target, which starts again after a while. No request is the cause.
    pub fn crash(&self, target: &str) {
        if self.pool.crash(target) {
            self.checker.limits.record_crash(target);
        }
    }

    /// Starts a fault.
    pub fn start_fault(&mut self, fault: &Fault) {
        self.note_disruption(fault, true);
        if let Some(gateway) = fault.gateway() {
            self.checker.start_fault(gateway);
        }
        match fault {
            Fault::KillGateway(it) => {
                // Noted first, because callers may see the connection close before `kill` returns.
                self.gateway_faults
                    .update(*it, |history| history.is_down = true);
                self.gateway(*it).kill();
            }
            Fault::StopGateway(it) => {
                self.gateway_faults.update(*it, |history| {
                    history.stopped = Some(Instant::now());
                    history.exited = None;
                });
                self.gateway(*it).signal(Signal::SIGTERM);
            }
            Fault::FreezeGateway(it) => {
                self.gateway_faults
                    .update(*it, |history| history.suspended = Some(Instant::now()));
                self.gateway(*it).signal(Signal::SIGSTOP);
            }
            Fault::KillControl(it) => self.control(*it).kill(),
            Fault::StopControl(it) => self.control(*it).signal(Signal::SIGTERM),
            Fault::FreezeControl(it) => self.control(*it).signal(Signal::SIGSTOP),
            Fault::WipeControl(it) => {
                self.control(*it).kill();
                let data = &self.controls[usize::from(*it)].data;
                std::fs::remove_dir_all(data).expect("remove the data folder");
            }
            Fault::Target(name, behaviour) => self.pool.set_behaviour(name, *behaviour),
            Fault::Manner(name, manner) => self.pool.set_manner(name, *manner),
            Fault::ReloadGateway(it) => self.reload(*it),
            Fault::Limit(name, rate) => self.set_limit(name, Some(*rate)),
            Fault::Link(name, kind) => {
                self.pool.set_link_fault(name, true);
                self.pool.set_link(name, link_settings(*kind));
            }
            Fault::Leave(name) => {
                self.pool.set_state(name, "draining");
                self.checker.set_drained(name, true);
            }
            Fault::Part(part, share) => {
                let share = f64::from(*share) / 1000.0;
                self.checker.crashes.start_use(part, share);
            }
            Fault::Request(draft, share) => {
                let share = f64::from(*share) / 1000.0;
                self.checker.crashes.start_request(draft, share);
            }
            Fault::Release(version, _) => self.start_release(*version),
            Fault::Drain(number) => self.drain(*number, true),
        }
    }

    /// Ends a fault.
    pub async fn end_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::KillGateway(it) => {
                self.gateway_faults.update(*it, |history| {
                    history.is_down = false;
                    history.restarted = Some(Instant::now());
                });
                self.gateway(*it).start();
            }
            Fault::StopGateway(it) => {
                let has_exited = self.wait_exited(*it).await;
                self.gateway_faults
                    .update(*it, |history| history.exited = Some(Instant::now()));
                if !has_exited {
                    let text = format!("gateway {it} did not exit within its grace period");
                    self.checker.record_violation(text);
                    self.gateway(*it).kill();
                }
                self.gateway(*it).start();
            }
            Fault::FreezeGateway(it) => {
                self.gateway(*it).signal(Signal::SIGCONT);
                self.gateway_faults.update(*it, |history| {
                    history.suspended = None;
                    history.resumed = Some(Instant::now());
                });
            }
            Fault::KillControl(it) | Fault::WipeControl(it) => self.control(*it).start(),
            Fault::StopControl(it) => {
                self.control(*it).kill();
                self.control(*it).start();
            }
            Fault::FreezeControl(it) => self.control(*it).signal(Signal::SIGCONT),
            Fault::Target(name, _) => self.pool.set_behaviour(name, Behaviour::Normal),
            Fault::Manner(name, _) => self.pool.set_manner(name, Manner::Usual),
            Fault::ReloadGateway(_) => {}
            Fault::Limit(name, _) => self.set_limit(name, None),
            Fault::Link(name, _) => {
                self.pool.set_link(name, Link::default());
                self.pool.set_link_fault(name, false);
            }
            Fault::Leave(name) => {
                self.checker.set_drained(name, false);
                self.pool.set_state(name, "ready");
            }
            Fault::Part(part, _) => self.checker.crashes.end_use(part),
            Fault::Request(draft, _) => self.checker.crashes.end_request(draft),
            Fault::Release(version, crashes) => self.end_release(*version, *crashes),
            Fault::Drain(number) => self.drain(*number, false),
        }
        if let Some(gateway) = fault.gateway() {
            self.checker.end_fault(gateway);
        }
        self.note_disruption(fault, false);
    }

    /// Records faults after which gateways may use outdated target state for a while: a resumed
    /// gateway sends requests that it assigned before it was suspended, and during control daemon
    /// faults gateways receive changes late.
    fn note_disruption(&self, fault: &Fault, is_start: bool) {
        let is_disruption = match fault {
            Fault::FreezeGateway(_) => !is_start,
            Fault::KillControl(_)
            | Fault::StopControl(_)
            | Fault::FreezeControl(_)
            | Fault::WipeControl(_) => true,
            _ => false,
        };
        if is_disruption {
            self.checker.record_disruption();
        }
        if is_disruption && fault.gateway().is_none() {
            self.checker.record_control_fault(is_start);
        }
    }

    fn gateway(&mut self, number: u8) -> &mut Process {
        &mut self.gateways[usize::from(number)].process
    }

    /// Sends SIGHUP to a gateway, unless it may not have set its signal handlers up yet.
    fn reload(&mut self, number: u8) {
        let is_starting = self.gateway_faults.has_restarted_within(number, START_TIME);
        if !is_starting && !self.gateway(number).has_ended() {
            self.gateway(number).signal(Signal::SIGHUP);
        }
    }

    fn control(&mut self, number: u8) -> &mut Process {
        &mut self.controls[usize::from(number)].process
    }

    /// Waits until a stopping gateway has exited; false if it takes longer than [`STOP_LIMIT`].
    async fn wait_exited(&mut self, number: u8) -> bool {
        let limit = Instant::now() + STOP_LIMIT;
        while !self.gateway(number).has_ended() {
            if Instant::now() > limit {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Starts or undoes the drain of a zone. Its targets must get no requests from the
    /// acknowledgement of the drain until it is undone.
    fn drain(&mut self, number: u8, is_drained: bool) {
        let numbers = (0..self.targets_per_zone).map(|it| it * TARGETS_PER_SERVICE + number);
        let names: Vec<String> = numbers
            .flat_map(|number| SERVICES.map(|service| target_name(service, number)))
            .collect();
        if !is_drained {
            for name in &names {
                self.checker.set_drained(name, false);
            }
        }
        let controls = self.controls();
        let checker = Arc::clone(&self.checker);
        let earlier = self.drain_orders.pop();
        self.drain_orders.push(tokio::spawn(async move {
            // Drain orders are sent one after another.
            if let Some(earlier) = earlier {
                let _ = earlier.await;
            }
            let path = format!("/evacuation/{}", zone_name(number));
            let method = if is_drained {
                Method::POST
            } else {
                Method::DELETE
            };
            let is_done = operator::send_order(&controls, method, &path, Bytes::new()).await;
            if is_done && is_drained {
                for name in &names {
                    checker.set_drained(name, true);
                }
            }
        }));
    }

    /// Kills all processes and returns the report. The logs of a failed run are kept.
    pub fn finish(
        mut self,
        seed: u64,
        checker: &Checker,
        plan: &[super::plan::ScheduledFault],
    ) -> Report {
        for gateway in &mut self.gateways {
            gateway.process.kill();
        }
        for control in &mut self.controls {
            control.process.kill();
        }
        let mut report = checker.finish(seed, plan);
        if report.violations.is_empty() {
            // Errors are ignored: the files are in the system's folder for temporary files.
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            report.log_folder = Some(self.folder.clone());
        }
        report
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Also kills the processes of a run that panics.
        for gateway in &mut self.gateways {
            gateway.process.kill();
        }
        for control in &mut self.controls {
            control.process.kill();
        }
    }
}

fn link_settings(link_fault: LinkFault) -> Link {
    match link_fault {
        LinkFault::Delayed => Link {
            delay_ms: 80,
            ..Link::default()
        },
        LinkFault::Reset => Link {
            forward: Rule::Close,
            new_connections: NewConnections::Pass,
            ..Link::default()
        },
        LinkFault::OneWay => Link {
            backward: Rule::Drop,
            ..Link::default()
        },
        LinkFault::Silent => Link {
            forward: Rule::Drop,
            backward: Rule::Drop,
            new_connections: NewConnections::Pass,
            ..Link::default()
        },
    }
}

async fn is_ready(admin: SocketAddr) -> bool {
    let limit = Duration::from_secs(1);
    let Ok(mut connection) = azurelug_http::h1::client::Connection::open(admin, limit, limit).await
    else {
        return false;
    };
    let request = http::Request::get("/ready").header("host", "admin");
    let request = request
        .body(http_body_util::Full::new(Bytes::new()))
        .expect("build a request");
    let answer = connection.send(request).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
