//! A deployment of three availability zones.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use azurelug_testkit::caller;
use azurelug_testkit::platform::{Vm, VmState};
use azurelug_testkit::{Engine, Service, engine, service};
use azurelug_types::config::StageKind;
use azurelug_types::id::Version;

use crate::links::Links;
use crate::observers::Observers;
use crate::operator::{Operator, patch};
use crate::process::Process;

pub mod counts;
mod initial_config;

pub use initial_config::account;
use initial_config::model_reference;

/// The names of the zones.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The API key of the only client account.
pub const ACCOUNT_KEY: &str = "carts-key";

/// The name of the only pipeline.
pub const PIPELINE: &str = "season-summary";

/// Longest wait for any condition; generous, for busy machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Concurrent calls of each target.
const TARGET_LIMIT: u32 = 8;

static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// The daemons and targets of one zone.
pub struct ZoneDeployment {
    /// The control daemon.
    pub control: Process,
    /// The entry daemon.
    pub entry: Process,
    /// Engines by stage kind.
    pub engines: BTreeMap<StageKind, Engine>,
    /// A replica of the service `stock`.
    pub stock: Service,
    /// Addresses at which daemons reach the engines, directly or by proxy.
    engine_addresses: BTreeMap<StageKind, SocketAddr>,
    /// Address at which daemons reach the replica, directly or by proxy.
    stock_address: SocketAddr,
}

/// A running system. Dropping it kills its processes and removes its files.
pub struct System {
    /// The zones, in the order of [`ZONES`].
    pub zones: Vec<ZoneDeployment>,
    /// The links to control daemons and targets.
    pub links: Links,
    /// External state sources that the entry daemons poll; none if they rely on their own calls.
    pub observers: Option<Observers>,
    folder: PathBuf,
    address: Ipv4Addr,
    /// The engines' cold limit in the configuration.
    cold_limit: u32,
}

impl System {
    /// Starts the system, applies the initial configuration and waits until every entry daemon is
    /// ready.
    ///
    /// # Panics
    /// If anything does not become ready in time.
    pub async fn start() -> Self {
        Self::start_with(engine::Settings::default()).await
    }

    /// As [`System::start`], with the given engine settings.
    ///
    /// # Panics
    /// If anything does not become ready in time.
    pub async fn start_with(engines: engine::Settings) -> Self {
        Self::prepare(engines, false).await.launch().await
    }

    /// As [`System::start`], with links that a test can interrupt.
    ///
    /// # Panics
    /// If anything does not become ready in time.
    pub async fn start_with_links() -> Self {
        let system = Self::prepare(engine::Settings::default(), true).await;
        system.launch().await
    }

    /// As [`System::start_with`], with a load reporter and the platform's list.
    ///
    /// # Panics
    /// If anything does not become ready in time.
    pub async fn start_with_observers(engines: engine::Settings) -> Self {
        let observers = Observers::start().await;
        let system = Self::prepare_with(engines, false, Some(observers)).await;
        system.launch().await
    }

    /// As [`System::start_with_observers`], with links that a test can interrupt and the entry daemons on
    /// the platform's list.
    ///
    /// # Panics
    /// If anything does not become ready in time.
    pub async fn start_with_links_and_observers() -> Self {
        let observers = Observers::start().await;
        let vms = (0..ZONES.len()).map(|zone| Self::entry_vm(zone, VmState::Live));
        observers.platform.set_vms(vms.collect());
        let engines = engine::Settings::default();
        let system = Self::prepare_with(engines, true, Some(observers)).await;
        system.launch().await
    }

    /// Builds the platform's list entry for an entry daemon's VM.
    pub fn entry_vm(zone: usize, state: VmState) -> Vm {
        Vm {
            name: entry_name(zone),
            zone: ZONES[zone].to_owned(),
            address: loopback(),
            state,
        }
    }

    /// Appends lines to the settings file of every control daemon; they apply at its next start.
    ///
    /// # Panics
    /// If a file can't be written.
    pub fn add_control_settings(&self, lines: &str) {
        for zone in 0..ZONES.len() {
            let file = self.folder.join(control_name(zone)).with_extension("yaml");
            let text = std::fs::read_to_string(&file).expect("read a settings file");
            std::fs::write(&file, text + lines).expect("write a settings file");
        }
    }

    /// Starts the processes of a prepared system, applies the initial configuration and waits until
    /// every entry daemon is ready.
    ///
    /// # Panics
    /// If anything does not become ready in time.
    pub async fn launch(self) -> Self {
        let mut system = self;
        for zone in &mut system.zones {
            zone.control.set_argument("--initialize", true);
            zone.control.start();
            zone.control.set_argument("--initialize", false);
            zone.entry.start();
        }
        let operator = Operator::new();
        let patch = patch(Version(0), system.initial_changes());
        let control = system.operators_address(0);
        wait_until("the initial configuration to be accepted", || async {
            operator.patch(control, &patch).await.is_some()
        })
        .await;
        for zone in 0..ZONES.len() {
            // A follower learns of the commit with the leader's next heartbeat. Without this wait,
            // a test could read version 0 there and base its first patch on it.
            let address = system.operators_address(zone);
            wait_until(
                "the initial configuration at every control daemon",
                || async {
                    let config = operator.config(address).await;
                    config.is_some_and(|config| config.version > Version(0))
                },
            )
            .await;
        }
        system.wait_ready().await;
        system
    }

    /// Writes settings files and starts the test doubles, but no daemon.
    ///
    /// # Panics
    /// If files can't be written or test doubles can't be started.
    pub async fn prepare(engines: engine::Settings, has_links: bool) -> Self {
        Self::prepare_with(engines, has_links, None).await
    }

    async fn prepare_with(
        engines: engine::Settings,
        has_links: bool,
        observers: Option<Observers>,
    ) -> Self {
        let address = unique_address();
        let folder = std::env::temp_dir().join(format!("azurelug-{address}"));
        // Left over if an earlier run with the same process id was killed.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("create the folder of the system");
        std::fs::write(folder.join("key"), "0123456789abcdef0123456789abcdef")
            .expect("write the key file");
        // Engines without a cold start accept their full limit from the start.
        let cold_limit = match engines.warm_after {
            0 => TARGET_LIMIT,
            _ => u32::try_from(engines.cold_limit).expect("cold limits are small"),
        };
        let mut system = Self {
            cold_limit,
            zones: Vec::new(),
            links: Links::default(),
            observers,
            folder,
            address,
        };
        if has_links {
            system.links = Links::start(ZONES.len(), |zone| system.internal_address(zone)).await;
        }
        for index in 0..ZONES.len() {
            let zone = system.prepare_zone(index, &engines).await;
            system.zones.push(zone);
        }
        if let Some(observers) = &system.observers {
            let engines = system.zones.iter().flat_map(|zone| zone.engines.values());
            let addresses = engines.map(Engine::address).collect();
            observers.reporter.set_engines(addresses);
        }
        system
    }

    async fn prepare_zone(&mut self, index: usize, settings: &engine::Settings) -> ZoneDeployment {
        let mut engines = BTreeMap::new();
        let mut engine_addresses = BTreeMap::new();
        for kind in StageKind::ALL {
            let settings = engine::Settings {
                models: vec![model_reference(kind).to_owned()],
                role: kind.as_str().to_owned(),
                ..settings.clone()
            };
            let engine = Engine::start(loopback(), settings)
                .await
                .expect("start an engine");
            let address = self.links.add_target(index, engine.address()).await;
            engine_addresses.insert(kind, address);
            engines.insert(kind, engine);
        }
        let stock = Service::start(loopback(), service::Settings::default())
            .await
            .expect("start a replica of the service");
        let stock_address = self.links.add_target(index, stock.address()).await;
        let control = self.write_settings(&control_name(index), &self.control_settings(index));
        let entry = self.write_settings(&entry_name(index), &self.entry_settings(index));
        let arguments = |file: PathBuf| vec!["--settings".to_owned(), file.display().to_string()];
        let log = |name: String| self.folder.join(name).with_extension("log");
        ZoneDeployment {
            control: Process::new(
                "azurelug-control",
                arguments(control),
                log(control_name(index)),
            ),
            entry: Process::new("azurelug-entry", arguments(entry), log(entry_name(index))),
            engines,
            stock,
            engine_addresses,
            stock_address,
        }
    }

    fn write_settings(&self, name: &str, text: &str) -> PathBuf {
        let file = self.folder.join(name).with_extension("yaml");
        std::fs::write(&file, text).expect("write a settings file");
        file
    }

    fn control_settings(&self, index: usize) -> String {
        use std::fmt::Write;
        let mut members = String::new();
        for other in 0..ZONES.len() {
            let address = match self.links.address(index, other) {
                Some(link) if other != index => link,
                _ => self.internal_address(other),
            };
            let (slot, name) = (other + 1, control_name(other));
            let _ = writeln!(
                members,
                "  - {{ slot: {slot}, name: {name}, address: \"{address}\" }}"
            );
        }
        let (name, zone) = (control_name(index), ZONES[index]);
        let (internal, operators) = (self.internal_address(index), self.operators_address(index));
        let folder = self.folder.display();
        let platform = self.observers.as_ref().map(Observers::platform_setting);
        let platform = platform.unwrap_or_default();
        format!(
            "{platform}name: {name}\nzone: {zone}\ncluster: test\nkey_file: {folder}/key\n\
             internal: \"{internal}\"\noperators: \"{operators}\"\ndata: {folder}/{name}\n\
             members:\n{members}"
        )
    }

    fn entry_settings(&self, index: usize) -> String {
        let nearest_first = (0..ZONES.len()).map(|offset| (index + offset) % ZONES.len());
        let address = |zone| self.links.address(index, zone);
        let control = |zone| {
            let address = address(zone).unwrap_or(self.internal_address(zone));
            format!("{{ zone: {}, address: \"{address}\" }}", ZONES[zone])
        };
        let controls: Vec<String> = nearest_first.map(control).collect();
        let (name, zone, folder) = (entry_name(index), ZONES[index], self.folder.display());
        let observers = self.observers.as_ref().map(Observers::settings);
        let observers = observers.unwrap_or_default();
        format!(
            "{observers}name: {name}\nzone: {zone}\ncluster: test\nkey_file: {folder}/key\n\
             callers: \"{}\"\nadmin: \"{}\"\ncontrol: [{}]\ndrain_wait: 1s\nfinish_wait: 13s\n",
            self.callers_address(index),
            self.admin_address(index),
            controls.join(", ")
        )
    }

    /// A control daemon's address for other daemons.
    pub fn internal_address(&self, zone: usize) -> SocketAddr {
        self.zone_address(7000, zone)
    }

    /// A control daemon's address for operators.
    pub fn operators_address(&self, zone: usize) -> SocketAddr {
        self.zone_address(7100, zone)
    }

    /// An entry daemon's address for callers.
    pub fn callers_address(&self, zone: usize) -> SocketAddr {
        self.zone_address(7200, zone)
    }

    /// An entry daemon's administration address.
    pub fn admin_address(&self, zone: usize) -> SocketAddr {
        self.zone_address(7300, zone)
    }

    fn zone_address(&self, base: u16, zone: usize) -> SocketAddr {
        let zone = u16::try_from(zone).expect("zone numbers fit into a u16");
        SocketAddr::from((self.address, base + zone))
    }

    /// The folder of all files of this system.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder
    }

    /// The data folder of a control daemon.
    pub fn control_data_folder(&self, zone: usize) -> PathBuf {
        self.folder.join(control_name(zone))
    }

    /// Waits until every entry daemon has a valid lease (mode `normal`).
    ///
    /// # Panics
    /// If one is not within 30 s.
    pub async fn wait_ready(&self) {
        for zone in 0..ZONES.len() {
            self.wait_state(zone, |state| state["mode"] == "normal")
                .await;
        }
    }

    /// Waits until an entry daemon's state dump satisfies `check`.
    ///
    /// # Panics
    /// If it does not within 30 s.
    pub async fn wait_state(&self, zone: usize, check: impl Fn(&serde_json::Value) -> bool) {
        let operator = Operator::new();
        let admin = self.admin_address(zone);
        wait_until(&entry_name(zone), || async {
            let dump = operator.get(admin, "/debug/state").await;
            dump.is_some_and(|(_, state)| check(&state))
        })
        .await;
    }

    /// Waits until every entry daemon may use its base shares, which open once the longest possible
    /// call has ended.
    ///
    /// # Panics
    /// If one may not within 30 s.
    pub async fn wait_base_shares(&self) {
        for zone in 0..ZONES.len() {
            self.wait_base_shares_of(zone).await;
        }
    }

    /// As [`System::wait_base_shares`], for one entry daemon.
    ///
    /// # Panics
    /// If it may not within 30 s.
    pub async fn wait_base_shares_of(&self, zone: usize) {
        self.wait_state(zone, |state| state["base_shares_open"] == true)
            .await;
    }

    /// Waits until a control daemon is the leader and returns its zone.
    ///
    /// # Panics
    /// If there is no leader within 30 s.
    pub async fn wait_leader(&self) -> usize {
        let operator = Operator::new();
        let found = std::sync::Mutex::new(0);
        wait_until("a leader", || async {
            for zone in 0..ZONES.len() {
                let status = operator
                    .get(self.operators_address(zone), "/v1/status")
                    .await;
                if status.is_some_and(|(_, status)| status["role"] == "Leader") {
                    *found.lock().expect("the lock is not poisoned") = zone;
                    return true;
                }
            }
            false
        })
        .await;
        found.into_inner().expect("the lock is not poisoned")
    }

    /// Settings for callers that send calls to the pipeline through the entry daemons of `zones`.
    pub fn call_settings(
        &self,
        zones: &[usize],
        requests: u64,
        interval: Duration,
    ) -> caller::Settings {
        caller::Settings {
            entries: zones
                .iter()
                .map(|zone| self.callers_address(*zone))
                .collect(),
            key: ACCOUNT_KEY.to_owned(),
            pipeline: PIPELINE.to_owned(),
            stages: StageKind::ALL
                .map(|kind| (kind, model_reference(kind).to_owned()))
                .to_vec(),
            requests,
            interval,
            max_tokens: 16,
            deadline: Duration::from_secs(12),
        }
    }

    /// Number of executions with an idempotency key, over all replicas of the service.
    pub fn executions_of_key(&self, key: &str) -> u64 {
        let count =
            |zone: &ZoneDeployment| zone.stock.executions().keys.get(key).copied().unwrap_or(0);
        self.zones.iter().map(count).sum()
    }

    /// Sets the faults of all replicas of the service.
    pub fn set_stock_faults(&self, faults: &service::Faults) {
        for zone in &self.zones {
            zone.stock.set_faults(faults.clone());
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for zone in &self.zones {
                eprintln!(
                    "--- control\n{}\n--- entry\n{}",
                    zone.control.log(),
                    zone.entry.log()
                );
            }
        }
        self.zones.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls `check` until it returns true; `what` names the condition in the panic message.
///
/// # Panics
/// If it does not within 30 s.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let started = tokio::time::Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if check().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!(
        "timed out after {} s waiting for {what}",
        WAIT_TIMEOUT.as_secs()
    );
}

/// A loopback address that differs for each system of each test process.
fn unique_address() -> Ipv4Addr {
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(
        127,
        high.wrapping_add(64),
        low,
        NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed),
    )
}

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn control_name(zone: usize) -> String {
    format!("control-{}", &ZONES[zone]["zone-".len()..])
}

fn entry_name(zone: usize) -> String {
    format!("entry-{}", &ZONES[zone]["zone-".len()..])
}
