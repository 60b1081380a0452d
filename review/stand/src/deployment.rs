//! A small deployment: control daemons and gateways as processes, with settings as the templates in
//! `platform/templates` give them, and the stand-ins that they need.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use azurelug_testkit::port;
use bytes::Bytes;
use http::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::Failure;
use crate::process::Process;
use crate::record::Record;
use crate::stand_ins::{self, HOST, KEY, Requests, Targets};

/// The only tenant.
pub const TENANT: &str = "shop";

const CONTROL: &str = "target/release/azurelug-control";
const GATEWAY: &str = "target/release/azurelug-gateway";

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// What differs between deployments.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of gateways.
    pub gateways: u8,
    /// `cold_start_s` and `cold_per_s` of the service.
    pub cold: (f64, f64),
    /// Time between two requests of the clients.
    pub pause: Duration,
}

impl Default for Options {
    /// Two gateways, a service without cold starts and 20 requests a second.
    fn default() -> Self {
        Self {
            gateways: 2,
            cold: (0.0, 0.0),
            pause: Duration::from_millis(50),
        }
    }
}

/// Most control VMs that a case uses.
const MAX_CONTROLS: u8 = 40;

/// `grace_period_s` of the sites.
pub const GRACE: Duration = Duration::from_secs(8);

/// Longest time until the deployment serves.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A control VM.
pub struct Control {
    /// Its process.
    pub process: Process,
    /// Address for the users' operators.
    pub operators: SocketAddr,
    /// The product's own operators' API, for the harness only.
    pub status: SocketAddr,
    data: PathBuf,
}

/// The processes and stand-ins of a case.
pub struct Deployment {
    record: Record,
    folder: PathBuf,
    network: u8,
    internal: u16,
    status: u16,
    operators: u16,
    list: SocketAddr,
    options: Options,
    /// The replicas and what they received.
    pub targets: Targets,
    /// Control VMs; those that were removed for good stay here without a process.
    pub controls: Vec<Control>,
    gateways: Vec<Process>,
    clients: Vec<SocketAddr>,
    /// The clients' requests.
    pub requests: Requests,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.controls.clear();
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // The folder is one of the temporary ones.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn io(error: std::io::Error) -> Failure {
    error.to_string()
}

/// The configuration with a version: one safe route with a key.
fn configuration(
    version: u64,
    (cold_start_s, cold_per_s): (f64, f64),
    tenants: &serde_json::Value,
) -> Bytes {
    let document = json!({
        "version": version,
        "routes": [{
            "name": "cart-lookup", "host": HOST, "path_prefix": "/look/", "kind": "safe",
            "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "depot-desk",
            "max_attempts": 2, "allow_anonymous": false, "stages": [],
        }],
        "services": [{
            "name": "depot-desk", "health_check_path": "/health", "max_connections": 100,
            "protocol": "h1", "transport_security": false, "cold_start_s": cold_start_s,
            "cold_per_s": cold_per_s,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    });
    Bytes::from(document.to_string())
}

impl Deployment {
    fn ip(&self, group: u8, number: u8) -> IpAddr {
        address(self.network, group, number)
    }

    /// Starts three control VMs, gateways, three replicas and clients, and waits until requests are
    /// served.
    ///
    /// # Errors
    /// Why it doesn't serve.
    pub async fn start(record: &Record, options: Options) -> Result<Self, Failure> {
        let network = u8::try_from(1 + std::process::id() % 250).expect("at most 250");
        let folder = std::env::temp_dir().join(format!("azurelug-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(io)?;
        let mut daemons: Vec<IpAddr> = (1..=MAX_CONTROLS)
            .map(|it| address(network, 1, it))
            .collect();
        daemons.extend((1..=options.gateways).map(|it| address(network, 2, it)));
        let targets = Targets::new(record);
        for (number, zone) in (1..).zip(ZONES) {
            let ip = address(network, 4, number);
            targets.start(ip, format!("i-desk-{zone}"), zone).await?;
        }
        let list = targets.start_list(address(network, 3, 1)).await?;
        let mut deployment = Self {
            record: record.clone(),
            folder,
            network,
            internal: port::free(&daemons),
            status: port::free(&daemons),
            operators: port::free(&daemons),
            list,
            options,
            targets,
            controls: Vec::new(),
            gateways: Vec::new(),
            clients: Vec::new(),
            requests: Requests::default(),
        };
        for _ in ZONES {
            deployment.add_control(true)?;
        }
        let clients = port::free(&daemons);
        let ready = port::free(&daemons);
        let mut entries = Vec::new();
        for number in 1..=options.gateways {
            let ip = deployment.ip(2, number);
            let settings = deployment.gateway_settings(number, (ip, clients), (ip, ready))?;
            let log = deployment.folder.join(format!("gateway-{number}.log"));
            let mut process = Process::new(GATEWAY, settings, log);
            process.start().map_err(io)?;
            deployment.gateways.push(process);
            entries.push((
                SocketAddr::from((ip, clients)),
                SocketAddr::from((ip, ready)),
            ));
        }
        let controls = deployment.operators();
        stand_ins::order(
            record,
            &controls,
            1,
            &deployment.configuration(1),
            START_LIMIT,
        )
        .await
        .ok_or("the first configuration was not acknowledged")?;
        let started = Instant::now();
        for (_, ready) in &entries {
            loop {
                let limit = Duration::from_secs(1);
                let headers = [("host", "balancer".to_owned())];
                let answer =
                    stand_ins::call(*ready, Method::GET, "/ready", &headers, Bytes::new(), limit);
                if answer.await.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if started.elapsed() > START_LIMIT {
                    return Err("a gateway is not ready in time".to_owned());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        // From now on the settings say that the system has started before.
        for number in 1..=deployment.controls.len() {
            deployment.control_settings(number, false)?;
        }
        let clients: Vec<SocketAddr> = entries.iter().map(|(clients, _)| *clients).collect();
        deployment.clients.clone_from(&clients);
        deployment.requests = stand_ins::start_clients(record, clients, options.pause);
        let gateways = options.gateways;
        record.line(format!(
            "the deployment serves: 3 control VMs, {gateways} gateways, 3 replicas"
        ));
        Ok(deployment)
    }

    /// The configuration with a version.
    pub fn configuration(&self, version: u64) -> Bytes {
        let tenants = json!([{ "name": TENANT, "api_keys": [KEY], "priority": 1 }]);
        self.configuration_of(version, &tenants)
    }

    /// The configuration with a version and other tenants.
    pub fn configuration_of(&self, version: u64, tenants: &serde_json::Value) -> Bytes {
        configuration(version, self.options.cold, tenants)
    }

    /// The configuration with a version and more routes, none of which is used.
    pub fn configuration_with_routes(&self, version: u64, more: usize) -> Bytes {
        let mut document: serde_json::Value =
            serde_json::from_slice(&self.configuration(version)).expect("it is valid JSON");
        let routes = document["routes"].as_array_mut().expect("it has routes");
        for number in 0..more {
            routes.push(json!({
                "name": format!("r-{number:06}"), "host": format!("shop{}.example", number % 40),
                "path_prefix": format!("/idle{number}/"), "kind": "safe", "timeout_ms": 600,
                "target_latency_ms": 100, "priority": 2, "service": "depot-desk",
                "max_attempts": 2, "allow_anonymous": false, "stages": [],
            }));
        }
        Bytes::from(document.to_string())
    }

    /// Addresses of the gateways for clients.
    pub fn gateways(&self) -> &[SocketAddr] {
        &self.clients
    }

    /// Addresses for operators of the control VMs that have not been removed.
    pub fn operators(&mut self) -> Vec<SocketAddr> {
        let running = self
            .controls
            .iter_mut()
            .filter_map(|it| it.process.runs().then_some(it.operators));
        running.collect()
    }

    /// Starts a control VM at an address of its own, with an empty disk. Returns its position.
    ///
    /// # Errors
    /// It can't be started.
    pub fn add_control(&mut self, first_start: bool) -> Result<usize, Failure> {
        let number = self.controls.len() + 1;
        let settings = self.control_settings(number, first_start)?;
        let ip = self.ip(1, u8::try_from(number).map_err(|error| error.to_string())?);
        let disk = self.folder.join(format!("disk-{number}"));
        std::fs::create_dir_all(&disk).map_err(io)?;
        let log = self.folder.join(format!("control-{number}.log"));
        let mut process = Process::new(CONTROL, settings, log);
        process.start().map_err(io)?;
        self.controls.push(Control {
            process,
            operators: (ip, self.operators).into(),
            status: (ip, self.status).into(),
            data: disk.join("state"),
        });
        self.record.line(format!(
            "control VM {number} at {ip} started with an empty disk"
        ));
        Ok(number - 1)
    }

    /// Kills a control VM that loses its disk. It isn't started again here.
    ///
    /// # Errors
    /// The folder can't be removed.
    pub fn lose_disk(&mut self, position: usize) -> Result<(), Failure> {
        let control = &mut self.controls[position];
        control.process.kill();
        std::fs::remove_dir_all(&control.data).map_err(io)?;
        self.record.line(format!(
            "control VM {} is down and has lost its disk",
            position + 1
        ));
        Ok(())
    }

    /// Starts a control VM again at its old address, with the seeds of this moment.
    ///
    /// # Errors
    /// It can't be started.
    pub fn restart_control(&mut self, position: usize) -> Result<(), Failure> {
        self.control_settings(position + 1, false)?;
        self.controls[position].process.start().map_err(io)?;
        self.record
            .line(format!("control VM {} is back", position + 1));
        Ok(())
    }

    /// The three control VMs that `seed_nodes` names: the newest that run.
    fn seeds(&mut self) -> String {
        let operators = self.operators();
        let mut seeds: Vec<SocketAddr> = operators.into_iter().rev().take(3).collect();
        // At the first start all get the same three addresses.
        for number in 1..=3 {
            let first = SocketAddr::from((self.ip(1, number), self.operators));
            if seeds.len() < 3 && !seeds.contains(&first) {
                seeds.push(first);
            }
        }
        seeds.sort();
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        seeds.join(",")
    }

    /// Writes the settings of a control VM and returns their path.
    fn control_settings(&mut self, number: usize, first_start: bool) -> Result<PathBuf, Failure> {
        let ip = self.ip(1, u8::try_from(number).map_err(|error| error.to_string())?);
        let seeds = match first_start {
            true => (1..=3)
                .map(|it| format!("\"{}:{}\"", self.ip(1, it), self.operators))
                .collect::<Vec<_>>()
                .join(","),
            false => self.seeds(),
        };
        let text = format!(
            "name: \"core-{number}\"\nzone: \"{}\"\ncluster: azurelug\nkey_file: deploy/cluster.key\n\
             internal: \"{ip}:{}\"\noperators: \"{ip}:{}\"\ndata: \"{}/state\"\n\
             discovery:\n  seeds: [{seeds}]\n  first_start: {first_start}\n  disk_losses: 1\n\
             deployment:\n  operators: \"{ip}:{}\"\n  targets:\n    address: \"{}\"\n    \
             calls_per_second: 42.0\nlog:\n  stdout: true\n",
            ZONES[(number - 1) % 3],
            self.internal,
            self.status,
            self.folder.join(format!("disk-{number}")).display(),
            self.operators,
            self.list,
        );
        let path = self.folder.join(format!("control-{number}.yaml"));
        std::fs::write(&path, text).map_err(io)?;
        Ok(path)
    }

    fn gateway_settings(
        &mut self,
        number: u8,
        clients: (IpAddr, u16),
        ready: (IpAddr, u16),
    ) -> Result<PathBuf, Failure> {
        let ip = self.ip(2, number);
        let seeds = self.seeds();
        let (clients, ready) = (SocketAddr::from(clients), SocketAddr::from(ready));
        let text = format!(
            "name: \"front-{number}\"\nzone: \"{}\"\ncluster: azurelug\nkey_file: deploy/cluster.key\n\
             clients: \"{clients}\"\nadmin: \"{ready}\"\ninternal: \"{ip}:{}\"\nseeds: [{seeds}]\n\
             bounds:\n  revocation: \"5000ms\"\n  apply: \"2000ms\"\n  drain: \"3000ms\"\n  \
             grace: \"8s\"\n  retry_ratio: 0.2\n  retry_window: \"10s\"\n  retry_extra: 54\n  \
             cold_factor: 1.5\n  cold_extra: 5\nlog:\n  stdout: true\n",
            ZONES[usize::from(number - 1) % 3],
            self.internal,
        );
        let path = self.folder.join(format!("gateway-{number}.yaml"));
        std::fs::write(&path, text).map_err(io)?;
        Ok(path)
    }

    /// The members of the replicated log as a control VM reports them: position, whether it votes,
    /// and whether it leads. For the harness only; none if it doesn't answer.
    pub async fn members(&self, position: usize) -> Option<Vec<(usize, bool, bool)>> {
        let at = self.controls[position].status;
        let headers = [("host", "harness".to_owned())];
        let limit = Duration::from_millis(500);
        let answer = stand_ins::call(
            at,
            Method::GET,
            "/debug/state",
            &headers,
            Bytes::new(),
            limit,
        )
        .await;
        let dump: serde_json::Value = serde_json::from_slice(&answer.ok()?.body).ok()?;
        let slot = |value: &serde_json::Value| {
            let ip = Ipv4Addr::from(u32::try_from(value.as_u64()?).ok()?);
            Some(usize::from(ip.octets()[3]) - 1)
        };
        let leader = slot(&dump["log"]["leader"]["slot"]);
        let seats = dump["log"]["membership"]["seats"].as_array()?.iter();
        let members = seats.filter_map(|seat| {
            let member = slot(&seat["member"]["slot"])?;
            Some((member, seat["standing"] == "Voter", leader == Some(member)))
        });
        Some(members.collect())
    }
}

fn address(network: u8, group: u8, number: u8) -> IpAddr {
    Ipv4Addr::new(127, network, group, number).into()
}
