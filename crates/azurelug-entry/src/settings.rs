//! Command line and settings of the entry daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use azurelug_settings::clients::Machine;
use azurelug_settings::log_setup::Log;
use azurelug_settings::{ClientLimits, Error, SettingDuration, read};
use azurelug_types::id::{DaemonName, ZoneName};
use bpaf::Bpaf;
use serde::Deserialize;

/// Entry daemon of azurelug: serves callers and routes stages to targets
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings file in YAML, for instance entry.yaml
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
    /// The daemon's name, unique in the cluster.
    pub name: DaemonName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The cluster's id, the same in all settings files.
    pub cluster: String,
    /// File with the shared key, at least 32 bytes of text.
    pub key_file: PathBuf,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for health checks, metrics and state dumps.
    pub admin: SocketAddr,
    /// The control daemons, that of the daemon's own zone first.
    pub control: Vec<Control>,
    /// Load reporters, polled in rotation. Without any, only the daemon's own calls count as load.
    #[serde(default)]
    pub reporters: Vec<SocketAddr>,
    /// Address of the platform's list of live and leaving VMs.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Bandwidth of cache event polls in bytes per second; 0 disables them.
    #[serde(default = "default_cache_events_bytes")]
    pub cache_events_bytes: u32,
    /// How long a stopping daemon still accepts requests after it reports not ready; longer than
    /// the load balancer needs to notice.
    #[serde(default = "default_drain_wait")]
    pub drain_wait: SettingDuration,
    /// How long a stopping daemon then waits for running requests to end.
    #[serde(default = "default_finish_wait")]
    pub finish_wait: SettingDuration,
    /// Memory of the process in megabytes; 120 MB are assumed without it. Parts of it are for
    /// what clients send.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Descriptors that the process may open. Half of them are for clients.
    #[serde(default)]
    pub file_descriptors: Option<usize>,
    /// Limits on what is held for clients.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// A control daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Its availability zone; it grants the shares of the targets in this zone.
    pub zone: ZoneName,
    /// Its address for internal connections.
    pub address: SocketAddr,
}

/// Half of a daemon's bandwidth budget for control traffic.
fn default_cache_events_bytes() -> u32 {
    1024
}

fn default_drain_wait() -> SettingDuration {
    SettingDuration(Duration::from_secs(10))
}

/// Longer than the longest deadline of 12 s.
fn default_finish_wait() -> SettingDuration {
    SettingDuration(Duration::from_secs(15))
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

    /// Reads and validates the settings file.
    ///
    /// # Errors
    /// The first problem found, with its field and how to fix it.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = read::file(path)?;
        if settings.control.is_empty() {
            let help = "list zone and internal address of at least one control daemon";
            return Err(Error::value(path, "control", "empty", help));
        }
        settings.client_limits.check(path, &settings.machine())?;
        settings.log.check(path)?;
        read::shared_key(path, &settings.key_file)?;
        Ok(settings)
    }
}
