//! The processes of a run, the stand-ins behind proxies, and the faults.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_http::h1::server::Stage;
use azurelug_testkit::proxy::{Link, NewConnections, Proxy, Rule, Settings};
use bytes::Bytes;
use http::Method;
use nix::sys::signal::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::Options;
use super::operator::{self, configuration};
use super::plan::{CONTROLS, Disturbance, Fault, SERVICES, TARGETS, zone};
use super::targets::{self, Behaviour, Pool};
use super::verdict::{Report, Verdict};
use crate::process::Process;

/// Time until all gateways report ready.
const START_LIMIT: Duration = Duration::from_secs(30);

/// How long a stopping daemon may take to end by itself.
const GRACE: Duration = Duration::from_secs(8);

/// How long after the end of a gateway its callers may still send on connections to it.
const ENDED: Duration = Duration::from_secs(1);

/// How long a stopping gateway accepts requests: a little less than it states.
const ACCEPTS: Duration = Duration::from_millis(2300);

/// What happened to one gateway last.
#[derive(Clone, Copy, Debug, Default)]
struct Past {
    /// Whether it is being killed or is dead.
    is_down: bool,
    /// When it was last dead.
    killed: Option<Instant>,
    is_frozen: bool,
    thawed: Option<Instant>,
    /// When it was asked to stop, and when it had ended.
    stopped: Option<Instant>,
    ended: Option<Instant>,
}

/// What happened to the gateways, for the promise that each request gets an answer.
#[derive(Default)]
pub struct Stops(Mutex<HashMap<usize, Past>>);

impl Stops {
    /// Whether a request that was sent to a gateway has to be answered, whatever its targets do: the
    /// gateway was not killed and did not stand still since, and accepted requests then.
    pub fn promised(&self, gateway: usize, sent: Instant) -> bool {
        let pasts = self.0.lock().expect("no holder of the lock panics");
        let past = pasts.get(&gateway).copied().unwrap_or_default();
        let since = |at: Option<Instant>| at.is_some_and(|at| at >= sent);
        let is_closing = past.stopped.is_some_and(|at| at + ACCEPTS <= sent)
            && past.ended.is_none_or(|at| sent < at + ENDED);
        !past.is_down
            && !since(past.killed)
            && !past.is_frozen
            && !since(past.thawed)
            && !is_closing
    }

    fn note(&self, gateway: u8, change: impl FnOnce(&mut Past)) {
        let mut pasts = self.0.lock().expect("no holder of the lock panics");
        change(pasts.entry(usize::from(gateway)).or_default());
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

/// Everything that runs.
pub struct World {
    folder: PathBuf,
    gateways: Vec<Gateway>,
    controls: Vec<Control>,
    proxies: HashMap<String, Proxy>,
    pool: Arc<Pool>,
    verdict: Arc<Verdict>,
    stops: Arc<Stops>,
    orders: Vec<JoinHandle<()>>,
    _stage: watch::Sender<Stage>,
}

fn address(third: u8, last: u8, port: u16) -> SocketAddr {
    (IpAddr::V4(Ipv4Addr::new(127, 0, third, last)), port).into()
}

/// A port that is free at all of the daemons' addresses.
fn free_port(addresses: &[IpAddr]) -> u16 {
    loop {
        let first = std::net::TcpListener::bind((addresses[0], 0)).expect("bind");
        let port = first.local_addr().expect("an address").port();
        let others = addresses[1..].iter();
        let bound: Vec<_> = others
            .map(|it| std::net::TcpListener::bind((*it, port)))
            .collect();
        if bound.iter().all(Result::is_ok) {
            return port;
        }
    }
}

impl World {
    /// Starts the stand-ins and the daemons, and waits until all gateways are ready.
    ///
    /// # Panics
    /// If a process can't be started or does not get ready.
    pub async fn start(options: &Options, verdict: Arc<Verdict>) -> Self {
        let name = format!("azurelug-soak-{}-{}", std::process::id(), options.seed);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("create a folder");
        std::fs::write(
            folder.join("key"),
            "a key of the soak, longer than 32 bytes of text",
        )
        .expect("write the key");
        let (stage, stages) = watch::channel(Stage::Serving);
        let pool = Arc::new(Pool::default());
        let mut proxies = HashMap::new();
        for service in SERVICES {
            for number in 0..TARGETS {
                let name = format!("{service}-{}", zone(number));
                let state = (Arc::clone(&pool), Arc::clone(&verdict));
                let at =
                    targets::start_target(name.clone(), state.0, state.1, stages.clone()).await;
                let settings = Settings {
                    target: at,
                    control: address(0, 1, 0),
                    link: Link::default(),
                };
                let proxy = Proxy::start(address(0, 1, 0), settings)
                    .await
                    .expect("a proxy");
                pool.enter(&name, service, zone(number), proxy.address());
                proxies.insert(name, proxy);
            }
        }
        let list = targets::start_list(Arc::clone(&pool), stages).await;
        let count = options.gateways * CONTROLS;
        let controls: Vec<IpAddr> = (0..CONTROLS).map(|it| address(2, it + 1, 0).ip()).collect();
        let gateways: Vec<IpAddr> = (0..count).map(|it| address(3, it + 1, 0).ip()).collect();
        let all: Vec<IpAddr> = controls.iter().chain(&gateways).copied().collect();
        let internal = free_port(&all);
        let seeds: Vec<String> = controls.iter().map(|ip| format!("\"{ip}:1\"")).collect();
        let layout = Layout {
            folder: folder.clone(),
            seeds: seeds.join(", "),
            internal,
            list,
        };
        let world = Self {
            controls: (0..CONTROLS).map(|it| layout.control(it)).collect(),
            gateways: (0..count).map(|it| layout.gateway(it)).collect(),
            folder,
            proxies,
            pool,
            verdict,
            stops: Arc::default(),
            orders: Vec::new(),
            _stage: stage,
        };
        let body = Bytes::from(configuration(1).to_string());
        let is_configured =
            operator::order(&world.controls(), Method::PUT, "/configuration", body).await;
        assert!(is_configured, "the first configuration is not accepted");
        world.wait_ready().await;
        for control in &world.controls {
            // Only the first start founds the cluster; one on an empty disk must not.
            let settings = std::fs::read_to_string(&control.settings).expect("settings");
            let settings = settings.replace("first_start: true", "first_start: false");
            std::fs::write(&control.settings, settings).expect("write settings");
        }
        world
    }

    async fn wait_ready(&self) {
        let started = Instant::now();
        for gateway in &self.gateways {
            while !is_ready(gateway.admin).await {
                let log = || gateway.process.log();
                assert!(started.elapsed() < START_LIMIT, "not ready:\n{}", log());
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Addresses for clients.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|it| it.clients).collect()
    }

    /// Addresses for operators.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|it| it.operators).collect()
    }

    /// The stops of gateways.
    pub fn stops(&self) -> Arc<Stops> {
        Arc::clone(&self.stops)
    }

    /// What was seen.
    pub fn verdict(&self) -> Arc<Verdict> {
        Arc::clone(&self.verdict)
    }

    /// Begins a fault.
    pub fn begin(&mut self, fault: &Fault) {
        self.note(fault, true);
        match fault {
            Fault::KillGateway(it) => {
                // Callers may see its end before this task goes on.
                self.stops.note(*it, |past| past.is_down = true);
                self.gateway(*it).kill();
            }
            Fault::StopGateway(it) => {
                self.stops.note(*it, |past| {
                    past.stopped = Some(Instant::now());
                    past.ended = None;
                });
                self.gateway(*it).signal(Signal::SIGTERM);
            }
            Fault::FreezeGateway(it) => {
                self.stops.note(*it, |past| past.is_frozen = true);
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
            Fault::Target(name, behaviour) => self.pool.set(name, *behaviour),
            Fault::Link(name, disturbance) => self.proxies[name].set_link(link(*disturbance)),
            Fault::Leave(name) => {
                self.pool.mark(name, "draining");
                self.verdict.leave_alone(name, true);
            }
            Fault::Drain(number) => self.drain(*number, true),
        }
    }

    /// Ends a fault.
    pub async fn end(&mut self, fault: &Fault) {
        match fault {
            Fault::KillGateway(it) => {
                self.stops.note(*it, |past| {
                    past.is_down = false;
                    past.killed = Some(Instant::now());
                });
                self.gateway(*it).start();
            }
            Fault::StopGateway(it) => {
                let ended = self.ended(*it).await;
                self.stops
                    .note(*it, |past| past.ended = Some(Instant::now()));
                if !ended {
                    let text = format!("gateway {it} did not end within its grace period");
                    self.verdict.violated(text);
                    self.gateway(*it).kill();
                }
                self.gateway(*it).start();
            }
            Fault::FreezeGateway(it) => {
                self.gateway(*it).signal(Signal::SIGCONT);
                self.stops.note(*it, |past| {
                    past.is_frozen = false;
                    past.thawed = Some(Instant::now());
                });
            }
            Fault::KillControl(it) | Fault::WipeControl(it) => self.control(*it).start(),
            Fault::StopControl(it) => {
                self.control(*it).kill();
                self.control(*it).start();
            }
            Fault::FreezeControl(it) => self.control(*it).signal(Signal::SIGCONT),
            Fault::Target(name, _) => self.pool.set(name, Behaviour::Sound),
            Fault::Link(name, _) => self.proxies[name].set_link(Link::default()),
            Fault::Leave(name) => {
                self.verdict.leave_alone(name, false);
                self.pool.mark(name, "ready");
            }
            Fault::Drain(number) => self.drain(*number, false),
        }
        self.note(fault, false);
    }

    /// Notes what a fault excuses: a gateway that wakes sends what it decided before, and while
    /// control daemons change gateways learn late.
    fn note(&self, fault: &Fault, is_begin: bool) {
        let is_excuse = match fault {
            Fault::FreezeGateway(_) => !is_begin,
            Fault::KillControl(_)
            | Fault::StopControl(_)
            | Fault::FreezeControl(_)
            | Fault::WipeControl(_) => true,
            _ => false,
        };
        if is_excuse {
            self.verdict.disturbed();
        }
    }

    fn gateway(&mut self, number: u8) -> &mut Process {
        &mut self.gateways[usize::from(number)].process
    }

    fn control(&mut self, number: u8) -> &mut Process {
        &mut self.controls[usize::from(number)].process
    }

    /// Waits until a stopping gateway has ended by itself; false if it takes longer than it may.
    async fn ended(&mut self, number: u8) -> bool {
        let limit = Instant::now() + GRACE;
        while !self.gateway(number).has_ended() {
            if Instant::now() > limit {
                return false;
            }
            sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Has operators take a zone out of use or back. The targets are to be left alone from the
    /// acknowledgement until the zone is asked back.
    fn drain(&mut self, number: u8, is_drained: bool) {
        let names: Vec<String> = SERVICES
            .iter()
            .map(|it| format!("{it}-{}", zone(number)))
            .collect();
        if !is_drained {
            for name in &names {
                self.verdict.leave_alone(name, false);
            }
        }
        let controls = self.controls();
        let verdict = Arc::clone(&self.verdict);
        let earlier = self.orders.pop();
        self.orders.push(tokio::spawn(async move {
            // Orders about zones follow each other.
            if let Some(earlier) = earlier {
                let _ = earlier.await;
            }
            let path = format!("/evacuation/{}", zone(number));
            let method = if is_drained {
                Method::POST
            } else {
                Method::DELETE
            };
            let is_done = operator::order(&controls, method, &path, Bytes::new()).await;
            if is_done && is_drained {
                for name in &names {
                    verdict.leave_alone(name, true);
                }
            }
        }));
    }

    /// Ends all processes and sums the run up. The logs of a run that failed are kept.
    pub fn close(mut self, seed: u64, verdict: &Verdict, plan: &[super::plan::Step]) -> Report {
        for gateway in &mut self.gateways {
            gateway.process.kill();
        }
        for control in &mut self.controls {
            control.process.kill();
        }
        let mut report = verdict.close(seed, plan);
        if report.violations.is_empty() {
            // What is left is in the system's folder for temporary files.
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            report.logs = Some(self.folder.clone());
        }
        report
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // A run that is interrupted leaves no process behind.
        for gateway in &mut self.gateways {
            gateway.process.kill();
        }
        for control in &mut self.controls {
            control.process.kill();
        }
    }
}

fn link(disturbance: Disturbance) -> Link {
    match disturbance {
        Disturbance::Delayed => Link {
            delay_ms: 80,
            ..Link::default()
        },
        Disturbance::Reset => Link {
            forward: Rule::Close,
            new_connections: NewConnections::Pass,
            ..Link::default()
        },
        Disturbance::OneWay => Link {
            backward: Rule::Drop,
            ..Link::default()
        },
        Disturbance::Silent => Link {
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
        .expect("a request");
    let answer = connection.send(request).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Where everything is.
struct Layout {
    folder: PathBuf,
    seeds: String,
    internal: u16,
    list: SocketAddr,
}

impl Layout {
    fn process(&self, binary: &str, name: &str, settings: &str) -> (Process, PathBuf) {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("write settings");
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
        let name = format!("control-{}", zone(number));
        let at = |port| address(2, number + 1, port);
        let operators = at(free_port(&[at(0).ip()]));
        let status = at(free_port(&[at(0).ip()]));
        let data = self.folder.join(format!("{name}.state"));
        let settings = format!(
            "name: {name}\nzone: {}\n{}internal: \"{}\"\noperators: \"{status}\"\ndata: {}\n\
             discovery:\n  seeds: [{}]\n  first_start: true\n  disk_losses: 1\ndeployment:\n  \
             operators: \"{operators}\"\n  targets:\n    address: \"{}\"\n    \
             calls_per_second: 50\n",
            zone(number),
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
        let clients = at(free_port(&[at(0).ip()]));
        let admin = at(free_port(&[at(0).ip()]));
        let settings = format!(
            "name: {name}\nzone: {}\n{}internal: \"{}\"\nclients: \"{clients}\"\n\
             admin: \"{admin}\"\nseeds: [{}]\nbounds:\n  revocation: 5s\n  apply: 2s\n  \
             drain: 3s\n  grace: 8s\n  retry_ratio: 0.2\n  retry_window: 10s\n  \
             retry_extra: 200\n  cold_factor: 1.5\n  cold_extra: 5\n",
            zone(number),
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
