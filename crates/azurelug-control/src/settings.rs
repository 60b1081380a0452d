//! Command line and settings of the control daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use azurelug_coordination::orders::StoreLimit;
use azurelug_coordination::{once, raft};
use azurelug_settings::clients::Machine;
use azurelug_settings::log_setup::Log;
use azurelug_settings::span::SettingDuration;
use azurelug_settings::{ClientLimits, Error, read};
use azurelug_types::id::{DaemonName, ZoneName};
use bpaf::Bpaf;
use serde::Deserialize;

use crate::{bounds, clients};

/// Upper limit of `disk_losses`; more than 2 would need more than five voters.
const MAX_DISK_LOSSES: usize = 2;

/// Control daemon of azurelug: replicated configuration, claims, leases and shares
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings file in YAML, for instance control.yaml
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    #[bpaf(switch)]
    pub check: bool,
    /// Initialize an empty data folder as a founding member; once for each member of a new cluster
    #[bpaf(switch)]
    pub initialize: bool,
}

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This daemon's name, unique in the cluster.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The cluster's id, the same in all settings files.
    pub cluster: String,
    /// File with the shared key, at least 32 bytes of text.
    pub key_file: PathBuf,
    /// Address for entry daemons and other control daemons.
    pub internal: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Folder for the durable state. No other process may use it.
    pub data: PathBuf,
    /// All control daemons of the cluster, this one included. Empty with `discovery`.
    #[serde(default)]
    pub members: Vec<Member>,
    /// How the control daemons find each other where they are not listed.
    #[serde(default)]
    pub discovery: Option<Discovery>,
    /// Operators' whole configurations, for gateways.
    #[serde(default)]
    pub deployment: Option<Deployment>,
    /// The operators' bounds for roll-outs; without them none can be ordered.
    #[serde(default)]
    pub bounds: Option<RolloutBounds>,
    /// Orders to engines.
    #[serde(default)]
    pub orders: Orders,
    /// The platform's list of live and leaving VMs.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Memory of the process in megabytes; 256 MB are assumed without it. Parts of it are for
    /// what clients send.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Descriptors that the process may open. Half of them are for clients.
    #[serde(default)]
    pub file_descriptors: Option<usize>,
    /// Limits on what is held for clients.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Control daemons that find each other by address. Each is a member under its own address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Addresses of some control daemons; their ports are ignored. On the first start of the
    /// cluster these are the founding members, the same in all settings files.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster starts for the first time, with empty disks. Then an empty data folder
    /// of a seed makes it a founding member, as `--initialize` does; otherwise it rejoins.
    #[serde(default)]
    pub first_start: bool,
    /// Number of disks that may be lost at the same time without loss of data, 0 to 2. The number
    /// of voting members is one more than twice this number.
    pub disk_losses: usize,
    /// Seconds after the start of a replacement for a lost control daemon within which the loss of
    /// another disk must be harmless again; by default 4.
    #[serde(default)]
    pub catch_up_s: Option<f64>,
}

/// Part of `catch_up_s` after which the vote of a silent daemon is given to another one. The rest is
/// for the replacement to join and for the change itself.
const SILENT_PART_OF_CATCH_UP: f64 = 0.5;

impl Discovery {
    /// The number of voting members.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.disk_losses + 1
    }

    /// Time without an answer after which another daemon gets a voting member's place; none if
    /// `catch_up_s` is not set or not a length of time.
    #[must_use]
    pub fn replace_after(&self) -> Option<Duration> {
        let seconds = self.catch_up_s? * SILENT_PART_OF_CATCH_UP;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Operators' whole configurations.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Address for operators' calls.
    pub operators: SocketAddr,
    /// The platform's list of targets.
    pub targets: TargetList,
}

/// The platform's list of targets.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetList {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Calls a second that it accepts from all daemons together.
    pub calls_per_second: f64,
}

/// Bounds for roll-outs. All control daemons must have the same values, because any may lead.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutBounds {
    /// Largest part of a service's requests that a version gets before it is judged.
    pub exposure_share: f64,
    /// Requests that are allowed in addition.
    pub exposure_slack: f64,
    /// Time after which a bad version must get nothing.
    pub rollback: SettingDuration,
    /// Time within which an order is acknowledged, and in which it may be sent again.
    pub ack_timeout: SettingDuration,
}

/// Orders to engines. All control daemons must have the same values, because any may lead.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// The longest time that an engine takes to carry out an order, such as loading a model.
    pub longest_order: SettingDuration,
    /// Time between two reads of an engine that is as desired.
    pub read_interval: SettingDuration,
    /// The weight store's rate; unlimited if none.
    pub weight_store: Option<WeightStore>,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            longest_order: SettingDuration(Duration::from_secs(120)),
            read_interval: SettingDuration(Duration::from_secs(60)),
            weight_store: None,
        }
    }
}

/// The rate at which engines may start to load models from the weight store.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Loads that may start within any period of length `per`; they are spread evenly.
    pub loads: u32,
    /// Length of the period.
    pub per: SettingDuration,
}

impl WeightStore {
    /// The rate as a limit in tokens; none if the numbers are 0 or too large.
    pub fn store(self) -> Option<StoreLimit> {
        StoreLimit::spread(self.loads, self.per.0)
    }
}

/// One control daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its position in the replicated log, from 1; never reused for another VM.
    pub slot: u32,
    /// Its name.
    pub name: DaemonName,
    /// Its address for internal connections.
    pub address: SocketAddr,
}

impl Settings {
    /// What the VM has.
    #[must_use]
    pub fn machine(&self) -> Machine {
        Machine {
            memory_mb: self.memory_mb,
            file_descriptors: self.file_descriptors,
        }
    }

    /// Reads and checks the file.
    ///
    /// # Errors
    /// The first invalid field, with the reason and how to correct it.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = read::file(path)?;
        settings.check(path)?;
        Ok(settings)
    }

    /// The entry of this daemon in `members`.
    pub fn own_member(&self) -> Option<&Member> {
        self.members.iter().find(|member| member.name == self.name)
    }

    fn check(&self, path: &Path) -> Result<(), Error> {
        let problem = |field: &str, message: String, help: &str| {
            Err(Error::value(path, field, message, help))
        };
        if self.cluster.is_empty() {
            return problem(
                "cluster",
                "empty".to_owned(),
                "choose an id for the cluster",
            );
        }
        match &self.discovery {
            Some(discovery) => self.check_discovery(path, discovery)?,
            None => self.check_members(path)?,
        }
        if self.orders.longest_order.0.is_zero() {
            let help = "write how long an engine takes to load a model at most, for instance 2m";
            return problem("orders.longest_order", "0ms".to_owned(), help);
        }
        if self.orders.read_interval.0 < Duration::from_secs(1) {
            let help = "write 1s or more; 60s keeps the cost of 1,900 engines low";
            return problem(
                "orders.read_interval",
                self.orders.read_interval.to_string(),
                help,
            );
        }
        if let Some(limit) = self.orders.weight_store
            && limit.store().is_none()
        {
            let message = format!("{} loads per {} can't be counted", limit.loads, limit.per);
            let help = "write 1 to 4,000,000 loads per 1ms to 40 days, or leave `weight_store` out";
            return problem("orders.weight_store", message, help);
        }
        if let Some(deployment) = &self.deployment
            && (deployment.targets.calls_per_second <= 0.0
                || !deployment.targets.calls_per_second.is_finite())
        {
            let help = "write how many calls a second the platform accepts, above 0";
            let message = deployment.targets.calls_per_second.to_string();
            return problem("deployment.targets.calls_per_second", message, help);
        }
        self.client_limits.check(path, &self.machine())?;
        let memory = self.machine().memory(clients::DEFAULT_MEMORY);
        if let Err(conflict) =
            bounds::check(&raft::Settings::default(), &once::Limits::default(), memory)
        {
            let help = "set the megabytes of the VM, 143 or more, or leave it out";
            return problem("memory_mb", conflict.to_string(), help);
        }
        if let Some(bounds) = &self.bounds {
            let is_share = bounds.exposure_share > 0.0 && bounds.exposure_share <= 1.0;
            if !is_share || !bounds.exposure_slack.is_finite() || bounds.exposure_slack < 0.0 {
                let message = format!("{} and {}", bounds.exposure_share, bounds.exposure_slack);
                let help = "set exposure_share above 0, up to 1, and exposure_slack of 0 or more";
                return problem("bounds", message, help);
            }
            if bounds.rollback.0.is_zero() || bounds.ack_timeout.0.is_zero() {
                let help = "set rollback and ack_timeout above 0ms, for instance 5s";
                return problem("bounds", "0ms".to_owned(), help);
            }
        }
        self.log.check(path)?;
        read::shared_key(path, &self.key_file).map(|_| ())
    }

    fn check_discovery(&self, path: &Path, discovery: &Discovery) -> Result<(), Error> {
        let problem = |field: &str, message: &str, help: &str| {
            Err(Error::value(path, field, message.to_owned(), help))
        };
        if !self.members.is_empty() {
            let help = "leave out one of the two";
            return problem("members", "can't be combined with `discovery`", help);
        }
        if !self.internal.is_ipv4() || self.internal.ip().is_unspecified() {
            let help = "write the address under which other daemons reach this one";
            return problem("internal", "not an IPv4 address of this VM", help);
        }
        if discovery.seeds.is_empty() || !discovery.seeds.iter().all(SocketAddr::is_ipv4) {
            let help = "write the IPv4 addresses of some control daemons";
            return problem("discovery.seeds", "no usable addresses", help);
        }
        if discovery.catch_up_s.is_some() && discovery.replace_after().is_none() {
            let help = "write the seconds that a replacement may take, or leave it out";
            return problem("discovery.catch_up_s", "not a length of time", help);
        }
        if discovery.disk_losses > MAX_DISK_LOSSES {
            let help = "write 0, 1 or 2: at most five members vote";
            return problem("discovery.disk_losses", "out of range", help);
        }
        Ok(())
    }

    fn check_members(&self, path: &Path) -> Result<(), Error> {
        let problem = |field: &str, message: String, help: &str| {
            Err(Error::value(path, field, message, help))
        };
        let Some(own) = self.own_member() else {
            let message = format!("none is named '{}'", self.name);
            return problem("members", message, "list this daemon too");
        };
        if own.address != self.internal {
            let message = format!("'{}' has address {}", self.name, own.address);
            return problem("members", message, "use the address of `internal`");
        }
        for (index, member) in self.members.iter().enumerate() {
            let earlier = &self.members[..index];
            let is_repeated = |other: &Member| {
                other.slot == member.slot
                    || other.name == member.name
                    || other.address == member.address
            };
            if member.slot == 0 || earlier.iter().any(is_repeated) {
                let field = format!("members[{index}]");
                let help = "give each member its own slot from 1, name and address";
                return problem(
                    &field,
                    "slot, name or address is used twice".to_owned(),
                    help,
                );
            }
        }
        Ok(())
    }
}
