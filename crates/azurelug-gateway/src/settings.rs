//! Command line and settings of the gateway.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use azurelug_core::gateway::rollout::gate;
use azurelug_core::gateway::rollout::ledger::Exposure;

use azurelug_settings::clients::Machine;
use azurelug_settings::log_setup::Log;
use azurelug_settings::span::SettingDuration;
use azurelug_settings::{ClientLimits, Error, read};
use azurelug_types::id::{DaemonName, ZoneName};
use bpaf::Bpaf;
use serde::Deserialize;

/// Gateway of azurelug: forwards requests of a deployment's routes to targets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings file in YAML, for instance gateway.yaml
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    #[bpaf(switch)]
    pub check: bool,
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
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address for readiness, metrics and the state dump.
    pub admin: SocketAddr,
    /// Address for other gateways.
    pub internal: SocketAddr,
    /// Addresses of some control daemons. Their port is that of `internal`.
    pub seeds: Vec<SocketAddr>,
    /// The operators' bounds.
    pub bounds: Bounds,
    /// Memory of the process in megabytes; 192 MiB are assumed without it. An eighth of it is for
    /// what requests hold beyond 64 KiB each, a sixteenth for the rest of what they hold, and a
    /// quarter for connections.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Descriptors that the process may open. Half of them are for clients.
    #[serde(default)]
    pub file_descriptors: Option<usize>,
    /// Limits on what is held for clients.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// Processor time of the VM in cores.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Link of the VM in megabits a second.
    #[serde(default)]
    pub link_bandwidth_mbps: Option<f64>,
    /// Names of the rule sets that are in force for the deployment.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// Log settings.
    #[serde(default)]
    pub log: Log,
}

/// Capacity of a usual VM, to which the settings of a VM are compared. Only ratios between gateways
/// count; these are the VMs of the middle size.
const USUAL_CAPACITY: u16 = 100;
const USUAL_CORES: f64 = 0.12;
const USUAL_MEMORY_MB: f64 = 160.0;
const USUAL_LINK_MBPS: f64 = 10.0;

/// Bounds that the operators set.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest time for which a removed key may still be accepted.
    pub revocation: SettingDuration,
    /// Time within which an accepted order must be in force.
    pub apply: SettingDuration,
    /// Time after which a leaving target must get no new work.
    pub drain: SettingDuration,
    /// Time between the signal to stop and the kill of the process.
    pub grace: SettingDuration,
    /// Retries per first attempt, over all gateways.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: SettingDuration,
    /// Retries in each window beyond the ratio, over all gateways.
    pub retry_extra: f64,
    /// Most requests per second for a cold target, as a multiple of the rate that it can handle,
    /// over all gateways.
    pub cold_factor: f64,
    /// Requests that are allowed in addition.
    pub cold_extra: f64,
    /// Largest part of a service's requests that a version gets before it is judged, over all
    /// gateways. Roll-outs are possible only with this and the next two.
    #[serde(default)]
    pub exposure_share: Option<f64>,
    /// Requests that are allowed in addition.
    #[serde(default)]
    pub exposure_slack: Option<f64>,
    /// Time after which a bad version must get nothing.
    #[serde(default)]
    pub rollback: Option<SettingDuration>,
}

/// Bounds for roll-outs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// How much a version gets before it is judged.
    pub exposure: Exposure,
    /// How long policies for versions are followed without newer information.
    pub freshness: Duration,
}

impl Bounds {
    /// The bounds for roll-outs, if the deployment has any.
    #[must_use]
    pub fn rollouts(&self) -> Option<RolloutBounds> {
        Some(RolloutBounds {
            exposure: Exposure {
                share: self.exposure_share?,
                slack: self.exposure_slack?,
            },
            freshness: gate::freshness(self.rollback?.0),
        })
    }
}

impl Settings {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// The first problem, with its field and how to correct it.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = read::file(path)?;
        settings.check(path)?;
        Ok(settings)
    }

    /// What the VM has.
    #[must_use]
    pub fn machine(&self) -> Machine {
        Machine {
            memory_mb: self.memory_mb,
            file_descriptors: self.file_descriptors,
        }
    }

    /// What the VM can do, in hundredths of a usual VM: by the scarcest of processor time, memory
    /// and link. A VM without these settings is a usual one.
    #[must_use]
    pub fn capacity(&self) -> u16 {
        let memory = self.memory_mb.map(|megabytes| megabytes as f64);
        let (Some(cores), Some(link)) = (self.cpu_share, self.link_bandwidth_mbps) else {
            return USUAL_CAPACITY;
        };
        let shares = [
            cores / USUAL_CORES,
            link / USUAL_LINK_MBPS,
            memory.map_or(1.0, |memory| memory / USUAL_MEMORY_MB),
        ];
        let scarcest = shares.into_iter().fold(f64::INFINITY, f64::min);
        ((scarcest * f64::from(USUAL_CAPACITY)) as u16).max(1)
    }

    fn check(&self, path: &Path) -> Result<(), Error> {
        let problem =
            |field: &str, message: &str, help: &str| Err(Error::value(path, field, message, help));
        if self.cluster.is_empty() {
            return problem("cluster", "empty", "choose an id for the cluster");
        }
        if self.seeds.is_empty() {
            let help = "list the addresses of some control daemons";
            return problem("seeds", "empty", help);
        }
        if self.internal.ip().is_unspecified() {
            let help = "set the address at which other gateways reach this one";
            return problem("internal", "not an address of this VM", help);
        }
        for (field, share) in [
            ("cpu_share", self.cpu_share),
            ("link_bandwidth_mbps", self.link_bandwidth_mbps),
        ] {
            if let Some(share) = share.filter(|it| !(*it > 0.0 && it.is_finite())) {
                return problem(field, &share.to_string(), "set a number above 0");
            }
        }
        let bounds = &self.bounds;
        if bounds.revocation.0.is_zero() {
            let help = "set how long a removed key may still be accepted, for instance 5s";
            return problem("bounds.revocation", "0ms", help);
        }
        for (field, span) in [
            ("bounds.apply", bounds.apply),
            ("bounds.drain", bounds.drain),
        ] {
            if span.0.is_zero() {
                let help = "set the time within which a change must be in force, for instance 2s";
                return problem(field, "0ms", help);
            }
        }
        if bounds.grace.0.is_zero() {
            let help = "set the time between the stop signal and the kill, for instance 8s";
            return problem("bounds.grace", "0ms", help);
        }
        if bounds.retry_window.0.is_zero() {
            let help = "set the window over which retries are counted, for instance 10s";
            return problem("bounds.retry_window", "0ms", help);
        }
        let numbers = [
            ("bounds.retry_ratio", bounds.retry_ratio),
            ("bounds.retry_extra", bounds.retry_extra),
            ("bounds.cold_factor", bounds.cold_factor),
            ("bounds.cold_extra", bounds.cold_extra),
        ];
        for (field, number) in numbers {
            if !(number >= 0.0 && number.is_finite()) {
                return problem(field, &number.to_string(), "set a number of 0 or more");
            }
        }
        self.client_limits.check(path, &self.machine())?;
        self.check_rollouts(path)?;
        self.log.check(path)?;
        read::shared_key(path, &self.key_file).map(|_| ())
    }

    fn check_rollouts(&self, path: &Path) -> Result<(), Error> {
        let problem = |field: &str, message: String, help: &str| {
            Err(Error::value(path, field, message, help))
        };
        let bounds = &self.bounds;
        let set = [
            bounds.exposure_share.is_some(),
            bounds.exposure_slack.is_some(),
            bounds.rollback.is_some(),
        ];
        if set.contains(&true) && set.contains(&false) {
            let help = "set exposure_share, exposure_slack and rollback, or none of them";
            return problem("bounds", "only some bounds for roll-outs".to_owned(), help);
        }
        if let Some(share) = bounds.exposure_share
            && !(share > 0.0 && share <= 1.0)
        {
            return problem(
                "bounds.exposure_share",
                share.to_string(),
                "set a number above 0, up to 1",
            );
        }
        if let Some(slack) = bounds.exposure_slack
            && !(slack >= 0.0 && slack.is_finite())
        {
            return problem(
                "bounds.exposure_slack",
                slack.to_string(),
                "set a number of 0 or more",
            );
        }
        if bounds.rollback.is_some_and(|span| span.0.is_zero()) {
            let help = "set the time after which a bad version must get nothing, for instance 5s";
            return problem("bounds.rollback", "0ms".to_owned(), help);
        }
        Ok(())
    }
}
