//! The processes of a run, the test doubles behind proxies, and the injection of faults.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::h1::server::ShutdownState;
use azurelug_testkit::port;
use azurelug_testkit::proxy::{Link, NewConnections, Proxy, Rule, Settings};
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
use super::targets::{self, Behaviour, TargetPool};
use crate::process::Process;

/// Longest time until all gateways report ready.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Longest time in which a gateway must exit after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// Time after the exit of a gateway during which callers may still send on connections to it.
const STALE_CONNECTION_TIME: Duration = Duration::from_secs(1);

/// Time for which a stopping gateway accepts requests, a little below its specified time.
const ACCEPT_TIME: Duration = Duration::from_millis(2300);

/// The most recent faults of one gateway.
#[derive(Clone, Copy, Debug, Default)]
struct FaultHistory {
    /// Whether it has been killed and not been restarted.
    is_down: bool,
    /// When it was last restarted after a kill.
    restarted: Option<Instant>,
    is_suspended: bool,
    resumed: Option<Instant>,
    /// When it received SIGTERM, and when it exited.
    stopped: Option<Instant>,
    exited: Option<Instant>,
}

/// The most recent faults of the gateways, to decide whether a request must be answered.
#[derive(Default)]
pub struct GatewayFaults(Mutex<HashMap<usize, FaultHistory>>);

impl GatewayFaults {
    /// Whether a request that was sent to a gateway at `sent` must be answered, whatever the
    /// targets do: the gateway has not been killed or suspended since, and was accepting requests
    /// at `sent`.
    pub fn must_answer(&self, gateway: usize, sent: Instant) -> bool {
        let histories = self.0.lock().expect("the lock is not poisoned");
        let history = histories.get(&gateway).copied().unwrap_or_default();
        let since = |at: Option<Instant>| at.is_some_and(|at| at >= sent);
        let is_closing = history.stopped.is_some_and(|at| at + ACCEPT_TIME <= sent)
            && history
                .exited
                .is_none_or(|at| sent < at + STALE_CONNECTION_TIME);
        !history.is_down
            && !since(history.restarted)
            && !history.is_suspended
            && !since(history.resumed)
            && !is_closing
    }

    fn update(&self, gateway: u8, change: impl FnOnce(&mut FaultHistory)) {
        let mut histories = self.0.lock().expect("the lock is not poisoned");
        change(histories.entry(usize::from(gateway)).or_default());
    }
}

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
    proxies: HashMap<String, Proxy>,
    pool: Arc<TargetPool>,
    checker: Arc<Checker>,
    gateway_faults: Arc<GatewayFaults>,
    drain_orders: Vec<JoinHandle<()>>,
    _stage: watch::Sender<ShutdownState>,
}

fn address(third: u8, last: u8, port: u16) -> SocketAddr {
    (IpAddr::V4(Ipv4Addr::new(127, 0, third, last)), port).into()
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
        let mut proxies = HashMap::new();
        for service in SERVICES {
            for number in 0..TARGETS_PER_SERVICE {
                let name = format!("{service}-{}", zone_name(number));
                let state = (Arc::clone(&pool), Arc::clone(&checker));
                let at =
                    targets::start_target(name.clone(), state.0, state.1, stages.clone()).await;
                let settings = Settings {
                    target: at,
                    control_address: address(0, 1, 0),
                    link: Link::default(),
                };
                let proxy = Proxy::start(address(0, 1, 0), settings)
                    .await
                    .expect("start a proxy");
                pool.add(&name, service, zone_name(number), proxy.address());
                proxies.insert(name, proxy);
            }
        }
        let list = targets::start_list(Arc::clone(&pool), stages).await;
        let count = options.gateways_per_zone * CONTROL_COUNT;
        let controls: Vec<IpAddr> = (0..CONTROL_COUNT)
            .map(|it| address(2, it + 1, 0).ip())
            .collect();
        let gateways: Vec<IpAddr> = (0..count).map(|it| address(3, it + 1, 0).ip()).collect();
        let all: Vec<IpAddr> = controls.iter().chain(&gateways).copied().collect();
        let internal = port::free(&all);
        let seeds: Vec<String> = controls.iter().map(|ip| format!("\"{ip}:1\"")).collect();
        let layout = Layout {
            folder: folder.clone(),
            seeds: seeds.join(", "),
            internal,
            list,
        };
        let deployment = Self {
            controls: (0..CONTROL_COUNT).map(|it| layout.control(it)).collect(),
            gateways: (0..count).map(|it| layout.gateway(it)).collect(),
            folder,
            proxies,
            pool,
            checker,
            gateway_faults: Arc::default(),
            drain_orders: Vec::new(),
            _stage: stage,
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

    /// Starts a fault.
    pub fn start_fault(&mut self, fault: &Fault) {
        self.note_disruption(fault, true);
        if let Some(gateway) = fault.gateway() {
            self.checker.limits.start_fault(gateway);
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
                    .update(*it, |history| history.is_suspended = true);
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
            Fault::Limit(name, rate) => self.set_limit(name, Some(*rate)),
            Fault::Link(name, kind) => self.proxies[name].set_link(link_settings(*kind)),
            Fault::Leave(name) => {
                self.pool.set_state(name, "draining");
                self.checker.set_drained(name, true);
            }
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
                    history.is_suspended = false;
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
            Fault::Limit(name, _) => self.set_limit(name, None),
            Fault::Link(name, _) => self.proxies[name].set_link(Link::default()),
            Fault::Leave(name) => {
                self.checker.set_drained(name, false);
                self.pool.set_state(name, "ready");
            }
            Fault::Drain(number) => self.drain(*number, false),
        }
        if let Some(gateway) = fault.gateway() {
            self.checker.limits.end_fault(gateway);
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
    }

    fn gateway(&mut self, number: u8) -> &mut Process {
        &mut self.gateways[usize::from(number)].process
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
        let names: Vec<String> = SERVICES
            .iter()
            .map(|it| format!("{it}-{}", zone_name(number)))
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

/// Addresses and files for the daemons' settings.
struct Layout {
    folder: PathBuf,
    seeds: String,
    internal: u16,
    list: SocketAddr,
}

impl Layout {
    fn process(&self, binary: &str, name: &str, settings: &str) -> (Process, PathBuf) {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("write a settings file");
        let arguments = vec!["--settings".to_owned(), file.display().to_string()];
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process::new(binary, arguments, log);
        process.start();
        (process, file)
    }

    fn common(&self) -> String {
        let key: &Path = &self.folder.join("key");
        format!("cluster: soak\nkey_file: {}\n", key.display())
    }

    fn control(&self, number: u8) -> Control {
        let name = format!("control-{}", zone_name(number));
        let at = |port| address(2, number + 1, port);
        let operators = at(port::free(&[at(0).ip()]));
        let status = at(port::free(&[at(0).ip()]));
        let data = self.folder.join(format!("{name}.state"));
        let settings = format!(
            "name: {name}\nzone: {}\n{}internal: \"{}\"\noperators: \"{status}\"\ndata: {}\n\
             discovery:\n  seeds: [{}]\n  first_start: true\n  disk_losses: 1\ndeployment:\n  \
             operators: \"{operators}\"\n  targets:\n    address: \"{}\"\n    \
             calls_per_second: 50\n",
            zone_name(number),
            self.common(),
            at(self.internal),
            data.display(),
            self.seeds,
            self.list,
        );
        let (process, file) = self.process("azurelug-control", &name, &settings);
        Control {
            process,
            operators,
            settings: file,
            data,
        }
    }

    fn gateway(&self, number: u8) -> Gateway {
        let name = format!("gateway-{number}");
        let at = |port| address(3, number + 1, port);
        let clients = at(port::free(&[at(0).ip()]));
        let admin = at(port::free(&[at(0).ip()]));
        let settings = format!(
            "name: {name}\nzone: {}\n{}internal: \"{}\"\nclients: \"{clients}\"\n\
             admin: \"{admin}\"\nseeds: [{}]\nbounds:\n  revocation: 5s\n  apply: 2s\n  \
             drain: 3s\n  grace: 8s\n  retry_ratio: 0.2\n  retry_window: 10s\n  \
             retry_extra: 200\n  cold_factor: 1.5\n  cold_extra: 5\n",
            zone_name(number),
            self.common(),
            at(self.internal),
            self.seeds,
        );
        let (process, _) = self.process("azurelug-gateway", &name, &settings);
        Gateway {
            process,
            clients,
            admin,
        }
    }
}
