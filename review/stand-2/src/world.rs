//! The daemons of a small deployment as separate processes, and the record of a run.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals that a case sends to processes that it started.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code)]
pub enum Signal {
    /// Ends the process at once.
    Kill = 9,
    /// Asks the process to end.
    Terminate = 15,
    /// Lets a stopped process go on.
    Continue = 18,
    /// Stops the process.
    Stop = 19,
}

/// The lines of `record.txt`, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7}.{:03} {text}", at / 1000, at % 1000);
    }
}

/// A daemon's process.
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Where clients or operators reach it.
    pub front: SocketAddr,
    /// Where the platform asks whether it is ready; for control daemons their status.
    pub admin: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Starts the process in the root of the repository.
    pub fn start(&mut self, root: &Path) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("open a log file");
        let child = Command::new(&self.program)
            .current_dir(root)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("copy a descriptor"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("start a daemon"));
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        self.signal(Signal::Kill);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Size of what the process holds in memory, in KiB.
    #[allow(dead_code)]
    pub fn resident_kib(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1));
        size.and_then(|size| size.parse().ok()).unwrap_or(0)
    }
}

/// An entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its slots.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// From when the list shows that the target is cold, and until when it is.
    pub cold: Option<(Instant, Instant)>,
}

/// All processes and stand-ins of a run. Dropping it ends the processes.
pub struct World {
    /// The root of the repository.
    pub root: PathBuf,
    /// Temporary folder of settings, logs and data.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// The record of the run.
    pub record: Record,
    /// The gateways.
    pub gateways: Vec<Daemon>,
    /// The control daemons.
    pub controls: Vec<Daemon>,
    /// The platform's list.
    pub list: Arc<Mutex<Vec<Listed>>>,
    network: u8,
}

impl Drop for World {
    fn drop(&mut self) {
        for daemon in self.gateways.iter_mut().chain(&mut self.controls) {
            daemon.end();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl World {
    /// Prepares the run of the case in `case`; `root` is the repository.
    pub fn new(root: &Path, case: &Path) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("azurelug-review-{process}"));
        fs::create_dir_all(&folder).expect("create the temporary folder");
        Self {
            root: root.to_owned(),
            folder,
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            record: Record::create(case).expect("create record.txt"),
            gateways: Vec::new(),
            controls: Vec::new(),
            list: Arc::default(),
            network: (1 + process % 250) as u8,
        }
    }

    /// An address of this run; the third number tells the kind of process.
    pub fn ip(&self, kind: u8, number: usize) -> IpAddr {
        Ipv4Addr::new(127, self.network, kind, 1 + number as u8).into()
    }

    /// Listens at a free port of an address of targets.
    pub fn listen(&self, number: usize) -> TcpListener {
        TcpListener::bind((self.ip(4, number), 0)).expect("listen")
    }

    fn free_port(ips: &[IpAddr]) -> u16 {
        for _ in 0..200 {
            let first = TcpListener::bind((ips[0], 0)).expect("listen");
            let port = first.local_addr().expect("a bound listener").port();
            let others = ips[1..].iter().map(|ip| TcpListener::bind((*ip, port)));
            if others.collect::<Result<Vec<_>, _>>().is_ok() {
                return port;
            }
        }
        panic!("no free port");
    }

    /// Adds a target to the platform's list.
    pub fn add(&self, id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32) {
        self.list.lock().unwrap().push(Listed {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            state: "ready".to_owned(),
            cold: None,
        });
    }

    fn start_platform(&self) -> SocketAddr {
        let listener = TcpListener::bind((self.ip(1, 0), 0)).expect("listen");
        let address = listener.local_addr().expect("a bound listener");
        let list = Arc::clone(&self.list);
        http::serve(listener, move |_, channel| {
            let entries: Vec<Value> = list.lock().unwrap().iter().map(entry).collect();
            let page = json!({ "instances": entries, "next": null }).to_string();
            let headers = [("Content-Type", "application/json")];
            channel
                .stream
                .write_all(&http::answer("200 OK", &headers, &page))?;
            Ok(true)
        });
        address
    }

    /// Starts the platform's list, three control daemons and a gateway for each name of `zones`, and
    /// puts `document` in force. Returns whether all gateways are ready in time.
    pub fn start(&mut self, zones: &[&str], document: &Value) -> bool {
        self.start_some(zones, zones.len(), document)
    }

    /// As [`World::start`], but only the first `count` gateways are started; the others are spare.
    pub fn start_some(&mut self, zones: &[&str], count: usize, document: &Value) -> bool {
        let platform = self.start_platform();
        let control_ips: Vec<IpAddr> = (0..3).map(|it| self.ip(2, it)).collect();
        let gateway_ips: Vec<IpAddr> = (0..zones.len()).map(|it| self.ip(3, it)).collect();
        let all: Vec<IpAddr> = control_ips.iter().chain(&gateway_ips).copied().collect();
        let internal = Self::free_port(&all);
        let seeds: Vec<String> = control_ips.iter().map(|ip| format!("\"{ip}:1\"")).collect();
        let seeds = seeds.join(",");
        for (number, zone) in ZONES.iter().enumerate() {
            let ip = control_ips[number];
            let operators = SocketAddr::from((ip, Self::free_port(&[ip])));
            let status = SocketAddr::from((ip, Self::free_port(&[ip])));
            let name = format!("core-{zone}");
            let data = self.folder.join(format!("{name}.data"));
            fs::create_dir_all(&data).expect("create a data folder");
            let text = format!(
                "name: \"{name}\"\nzone: \"{zone}\"\ncluster: azurelug\nkey_file: {key}\n\
                 internal: \"{ip}:{internal}\"\noperators: \"{status}\"\ndata: \"{data}/state\"\n\
                 discovery:\n  seeds: [{seeds}]\n  first_start: true\n  disk_losses: 1\n  \
                 catch_up_s: 4\ndeployment:\n  operators: \"{operators}\"\n  targets:\n    \
                 address: \"{platform}\"\n    calls_per_second: 42.0\nmemory_mb: 256\n\
                 file_descriptors: 4096\nlog:\n  stdout: true\n",
                key = self.root.join("deploy/cluster.key").display(),
                data = data.display(),
            );
            let daemon = self.daemon("azurelug-control", name, (operators, status), &text);
            self.controls.push(daemon);
        }
        for (number, zone) in zones.iter().enumerate() {
            let ip = gateway_ips[number];
            let clients = SocketAddr::from((ip, Self::free_port(&[ip])));
            let admin = SocketAddr::from((ip, Self::free_port(&[ip])));
            let name = format!("front-{number}");
            let text = format!(
                "name: \"{name}\"\nzone: \"{zone}\"\ncluster: azurelug\nkey_file: {key}\n\
                 clients: \"{clients}\"\nadmin: \"{admin}\"\ninternal: \"{ip}:{internal}\"\n\
                 seeds: [{seeds}]\nbounds:\n  revocation: \"5000ms\"\n  apply: \"2000ms\"\n  \
                 drain: \"3000ms\"\n  grace: \"8s\"\n  retry_ratio: 0.2\n  retry_window: \"10s\"\n  \
                 retry_extra: 54\n  cold_factor: 1.5\n  cold_extra: 5\nmemory_mb: 260\n\
                 file_descriptors: 4100\ncpu_share: 0.25\nlink_bandwidth_mbps: 1000.0\n\
                 contracts: [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
                 \"stream\",\"tenants\",\"places\",\"stages\"]\nlog:\n  stdout: true\n",
                key = self.root.join("deploy/cluster.key").display(),
            );
            let daemon = self.daemon("azurelug-gateway", name, (clients, admin), &text);
            self.gateways.push(daemon);
        }
        let root = self.root.clone();
        let gateways = self.gateways.iter_mut().take(count);
        for daemon in self.controls.iter_mut().chain(gateways) {
            daemon.start(&root);
        }
        self.configure(document) && self.wait_ready(Duration::from_secs(20))
    }

    fn daemon(
        &self,
        program: &str,
        name: String,
        (front, admin): (SocketAddr, SocketAddr),
        settings: &str,
    ) -> Daemon {
        let file = self.folder.join(format!("{name}.yaml"));
        fs::write(&file, settings).expect("write settings");
        Daemon {
            program: self.root.join("target/release").join(program),
            settings: file,
            log: self.folder.join(format!("{name}.log")),
            name,
            front,
            admin,
            child: None,
        }
    }

    /// Whether all gateways that were started report ready within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        let ready = http::request("GET", "/ready", "platform", &[], "");
        let is_ready = |daemon: &Daemon| {
            let answer = http::call(daemon.admin, &ready, Duration::from_secs(1));
            answer.is_ok_and(|it| it.status() == 200)
        };
        let started_gateways = self.gateways.iter().filter(|it| it.child.is_some());
        while !started_gateways.clone().all(is_ready) {
            if started.elapsed() > limit {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Sends an operator's call to one control daemon after the other until one answers with a 2xx
    /// status; a daemon without an answer for a second is left. Returns the answer.
    pub fn operator(&self, request: &[u8], first: usize, limit: Duration) -> Option<http::Message> {
        let started = Instant::now();
        let line = String::from_utf8_lossy(request);
        let line = line.lines().next().unwrap_or_default().to_owned();
        for attempt in 0.. {
            let daemon = &self.controls[(first + attempt) % self.controls.len()];
            let answer = http::call(daemon.front, request, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, http::Message::status);
            self.record
                .line(&format!("operator: {line} at {}: {status}", daemon.name));
            if let Ok(answer) = answer
                && answer.status() / 100 == 2
            {
                return Some(answer);
            }
            if started.elapsed() > limit {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Puts a configuration in force.
    pub fn configure(&self, document: &Value) -> bool {
        let body = document.to_string();
        let headers = [("Content-Type", "application/json")];
        let request = http::request("PUT", "/configuration", "control", &headers, &body);
        self.operator(&request, 0, Duration::from_secs(20))
            .is_some()
    }

    /// Evacuates a zone, or takes it back.
    pub fn evacuate(&self, zone: &str, is_evacuated: bool) -> bool {
        let method = if is_evacuated { "POST" } else { "DELETE" };
        let path = format!("/evacuation/{zone}");
        let request = http::request(method, &path, "control", &[], "");
        self.operator(&request, 0, Duration::from_secs(4)).is_some()
    }

    /// Whether a daemon has ended by itself.
    pub fn has_lost_daemon(&mut self) -> bool {
        let mut daemons = self.gateways.iter_mut().chain(&mut self.controls);
        daemons.any(Daemon::has_ended)
    }

    /// A line for each daemon with the last of its log, for a run that could not start.
    pub fn last_lines(&self) -> String {
        let mut text = String::new();
        for daemon in self.gateways.iter().chain(&self.controls) {
            let log = fs::read_to_string(&daemon.log).unwrap_or_default();
            let last = log.lines().last().unwrap_or_default();
            let _ = writeln!(text, "{}: {last}", daemon.name);
        }
        text
    }
}

fn entry(listed: &Listed) -> Value {
    let now = Instant::now();
    let cold = listed.cold.filter(|(shown_from, _)| *shown_from <= now);
    let cold_ms = cold.map_or(0, |(_, until)| {
        until.saturating_duration_since(now).as_millis() as u64
    });
    json!({
        "id": listed.id,
        "service": listed.service,
        "address": listed.address.to_string(),
        "zone": listed.zone,
        "version": "v1",
        "slots": listed.slots,
        "state": listed.state,
        "cold_remaining_ms": cold_ms,
    })
}
